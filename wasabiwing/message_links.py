"""The links of one process to others, and acknowledgements between them.

Load pattern: see ``link_health``. A process names its connection to another
one in each message. The other end names it in its next message back, on a
connection of its own, or in a ``LinkState`` if it sends nothing else. A
process whose messages stay unacknowledged says so, because the connection
that is to bring the acknowledgements may be the silent one.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from anyio import current_time
from anyio import Event
from anyio import move_on_after

from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.link_health import ACKNOWLEDGE_AFTER_S
from wasabiwing.link_health import LinkHealth
from wasabiwing.messages import Envelope
from wasabiwing.messages import LinkState
from wasabiwing.messages import with_link_state

QUEUE_LENGTH = 1024

# Seconds without messages after which a destination's socket and task end.
# Destinations change as members join and leave, 2,700 a day at the target
# scale.
IDLE_CLOSE_S = 60.0

# Interval between two checks of all links, in seconds.
CHECK_PERIOD_S = 0.25

# Connections are numbered from 1 to this, again and again.
MAX_LINK_NUMBER = 65_535


def is_later_link(link: int, other: int) -> bool:
    """Whether a process opened one of two connections after the other."""
    return 0 < (link - other) % MAX_LINK_NUMBER < MAX_LINK_NUMBER // 2


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """An encoded envelope without the state of the link."""

    data: bytes
    # Whether it carries acknowledgements only, and whether it is a probe.
    only_acknowledges: bool
    is_probe: bool


class OutgoingLink:
    """The queue of messages to one destination, and its connection's state."""

    def __init__(self, address: str, health: LinkHealth, now: float) -> None:
        self.address = address
        self.health = health
        # Number of the current connection.
        self.number = 0
        self._queue: deque[QueuedMessage] = deque(maxlen=QUEUE_LENGTH)
        self._filled = Event()
        self._used_at = now
        self.must_dial = False
        # Whether no message was queued for ``IDLE_CLOSE_S`` seconds.
        self.is_idle = False

    def push(self, queued: QueuedMessage, now: float) -> bool:
        """Queues a message; returns whether an older one was dropped."""
        dropped = len(self._queue) == QUEUE_LENGTH
        if not queued.is_probe:
            self._used_at = now
        self._queue.append(queued)
        self._filled.set()
        return dropped

    def request_dial(self) -> None:
        """Makes the sending task open a new connection."""
        self.must_dial = True
        self._filled.set()

    async def pop(self) -> QueuedMessage | None:
        """Waits for a message; ``None`` for a new connection or if idle."""
        while not self._queue and not self.must_dial:
            self._filled = Event()
            idle_at = self._used_at + IDLE_CLOSE_S
            with move_on_after(idle_at - current_time()) as scope:
                await self._filled.wait()
            if scope.cancelled_caught and not self._queue:
                self.is_idle = True
                return None
        return None if self.must_dial else self._queue.popleft()


@dataclass(slots=True)
class _Owed:
    """An acknowledgement that another process is owed."""

    link: int
    since: float


class MessageLinks:
    """All outgoing links of one process, and what it has to acknowledge.

    Times are monotonic, in seconds.
    """

    def __init__(
        self, node_id: str, random: Callable[[], float], now: float
    ) -> None:
        self._node_id = node_id
        self._random = random
        self.link_by_address: dict[str, OutgoingLink] = {}
        self._link_by_number: dict[int, OutgoingLink] = {}
        self._owed_by_address: dict[str, _Owed] = {}
        # A restarted process does not take up the numbers of the earlier one.
        self._last_number = int(random() * MAX_LINK_NUMBER)
        self._checked_at = now
        # Connections that were opened in place of silent ones.
        self.silent_connections = 0

    def open(self, address: str, now: float) -> OutgoingLink:
        """Adds the link to a destination."""
        link = OutgoingLink(address, LinkHealth(now, self._random), now)
        self.link_by_address[address] = link
        return link

    def close(self, link: OutgoingLink) -> None:
        """Removes the link to a destination."""
        del self.link_by_address[link.address]
        self._link_by_number.pop(link.number, None)

    def note_dialled(self, link: OutgoingLink, now: float) -> None:
        """Numbers a new connection, which may replace a silent one."""
        if link.must_dial:
            self._note_silent(link, now)
        self._link_by_number.pop(link.number, None)
        self._last_number = self._last_number % MAX_LINK_NUMBER + 1
        link.number = self._last_number
        self._link_by_number[link.number] = link

    def envelope_to_send(
        self, link: OutgoingLink, queued: QueuedMessage, now: float
    ) -> bytes:
        """Returns the bytes of a message that is sent now."""
        if not queued.only_acknowledges:
            link.health.note_sent(now, queued.is_probe)
        owed = self._owed_by_address.pop(link.address, None)
        return with_link_state(
            queued.data,
            link.number,
            owed.link if owed is not None else 0,
            link.health.is_silent,
        )

    def note_received(self, envelope: Envelope, now: float) -> None:
        """Applies the state of the sender's link."""
        if envelope.heard_link:
            self._note_acknowledged(envelope.heard_link, now)
        link = self.link_by_address.get(envelope.reply_to)
        if link is not None:
            link.health.note_heard(envelope.link > 0, envelope.is_unheard)
        if not envelope.link or _only_acknowledges(envelope):
            return
        owed = self._owed_by_address.get(envelope.reply_to)
        if owed is None:
            owed = _Owed(envelope.link, now)
            self._owed_by_address[envelope.reply_to] = owed
        owed.link = envelope.link

    def check(self, now: float) -> list[tuple[str, LinkState]]:
        """Requests new connections; returns messages to send, by address.

        Called every ``CHECK_PERIOD_S`` seconds. Time in which the process did
        not run is no silence of others.
        """
        pause_s = now - self._checked_at - CHECK_PERIOD_S
        self._checked_at = now
        to_send = []
        for link in self.link_by_address.values():
            if pause_s > CHECK_PERIOD_S:
                link.health.note_pause(pause_s)
            if link.health.must_dial(now):
                link.request_dial()
            elif not link.must_dial and link.health.must_probe(now):
                to_send.append((link.address, LinkState(is_probe=True)))
        to_send += [
            (address, LinkState())
            for address, owed in self._owed_by_address.items()
            if now - owed.since >= ACKNOWLEDGE_AFTER_S
        ]
        return to_send

    def silences_s(self, now: float) -> list[float]:
        """Returns how long each silent link has been so."""
        return [
            link.health.silent_s(now)
            for link in self.link_by_address.values()
            if link.health.is_silent
        ]

    def _note_silent(self, link: OutgoingLink, now: float) -> None:
        link.must_dial = False
        was_silent = link.health.is_silent
        link.health.note_dialled(now)
        self.silent_connections += 1
        if link.health.is_silent and not was_silent:
            log_event(
                LogEvent.LINK_SILENT,
                self._node_id,
                address=link.address,
                silent_s=round(link.health.silent_s(now), 2),
            )

    def _note_acknowledged(self, number: int, now: float) -> None:
        link = self._link_by_number.get(number)
        if link is None:
            return
        silent_s = link.health.note_acknowledged(now)
        if silent_s is not None:
            log_event(
                LogEvent.LINK_HEARD,
                self._node_id,
                address=link.address,
                silent_s=round(silent_s, 2),
            )


def _only_acknowledges(envelope: Envelope) -> bool:
    body = envelope.body
    return isinstance(body, LinkState) and not body.is_probe
