"""Adapter of the ``Transport`` port: pynng push and pull sockets over TCP.

Each process has one pull socket as its inbox, and one push socket and one
task for each destination. A destination that is unreachable never blocks the
sender: its queue is bounded and the oldest message is dropped. A connection
on which nothing is acknowledged is closed and dialled anew.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextlib import suppress
from dataclasses import dataclass
from random import random
from time import perf_counter

from anyio import create_task_group
from anyio import current_time
from anyio import sleep
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint
from pynng import Message as NngMessage
from pynng import NNGException
from pynng import Pipe
from pynng import Pull0
from pynng import Push0
from pynng import Timeout
from pynng import TryAgain
from result import Err

from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.message_links import CHECK_PERIOD_S
from wasabiwing.message_links import IDLE_CLOSE_S
from wasabiwing.message_links import is_later_link
from wasabiwing.message_links import MessageLinks
from wasabiwing.message_links import OutgoingLink
from wasabiwing.message_links import QueuedMessage
from wasabiwing.messages import decode_envelope
from wasabiwing.messages import encode_envelope
from wasabiwing.messages import Envelope
from wasabiwing.messages import LinkState
from wasabiwing.messages import Message

SEND_TIMEOUT_MS = 1000

# Messages that a connection takes before the event loop has to come back.
SEND_BUFFER_MESSAGES = 16

# Largest message, in bytes; a configuration chunk stays below 1 MB.
MAX_MESSAGE_BYTES = 4_000_000

# Time for which messages that have arrived are read without giving way to
# other tasks, in seconds. They don't share the turns of ``reading_turns``:
# a flood of answers would hold them up.
READING_SLICE_S = 0.005

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000


@dataclass(slots=True)
class _Received:
    """The latest connection of another process to this one."""

    link: int
    pipe: Pipe
    heard_at: float


class NngTransport:
    """Sends to any number of destinations and receives from all."""

    def __init__(
        self, node_id: str, inbox: Pull0, address: str, tasks: TaskGroup
    ) -> None:
        self._node_id = node_id
        self._inbox = inbox
        self._address = address
        self._tasks = tasks
        self._links = MessageLinks(node_id, random, current_time())
        self._received_by_sender: dict[str, _Received] = {}
        # When the inbox was last waited for, or others were given way. The
        # event loop's own clock stands still during a round.
        self._reads_since = perf_counter()
        # The last message with its correlation id and encoded envelope: one
        # message often goes to many destinations.
        self._last_encoded: tuple[Message, int, bytes] | None = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_messages = 0

    @property
    def address(self) -> str:
        return self._address

    def send(
        self, address: str, message: Message, correlation_id: int = 0
    ) -> None:
        now = current_time()
        queued = QueuedMessage(
            self._encode(message, correlation_id),
            only_acknowledges=message == LinkState(),
            is_probe=message == LinkState(is_probe=True),
        )
        link = self._links.link_by_address.get(address)
        if link is None:
            link = self._links.open(address, now)
            self._tasks.start_soon(self._serve_destination, link)
        if link.push(queued, now):
            self.dropped_messages += 1

    async def receive(self) -> Envelope:
        while True:
            received = await self._next_message()
            data = received.bytes
            self.received_bytes += len(data)
            decoded = decode_envelope(data)
            if isinstance(decoded, Err):
                self._report_drop("undecodable", decoded.err_value)
                continue
            envelope = decoded.ok_value
            self._links.note_received(envelope, current_time())
            if envelope.link:
                self._close_replaced(envelope, received.pipe)
            if not isinstance(envelope.body, LinkState):
                return envelope

    async def _next_message(self) -> NngMessage:
        """Returns a message that has arrived, or waits for one.

        Each wait takes rounds of the event loop. If every message took one,
        a process with a late loop would fall behind without end.
        """
        if perf_counter() - self._reads_since > READING_SLICE_S:
            await checkpoint()
            self._reads_since = perf_counter()
        try:
            return self._inbox.recv_msg(block=False)
        except TryAgain:
            received = await self._inbox.arecv_msg()
        self._reads_since = perf_counter()
        return received

    async def check_links(self) -> None:
        """Replaces silent connections and acknowledges, until cancelled."""
        forget_at = current_time() + IDLE_CLOSE_S
        while True:
            await sleep(CHECK_PERIOD_S)
            for address, message in self._links.check(current_time()):
                self.send(address, message)
            if current_time() >= forget_at:
                forget_at = current_time() + IDLE_CLOSE_S
                self._forget_senders()

    @property
    def silent_links(self) -> int:
        """Number of destinations that acknowledge nothing."""
        return len(self._links.silences_s(current_time()))

    @property
    def longest_silence_s(self) -> float:
        """Longest time for which a destination acknowledges nothing."""
        return max(self._links.silences_s(current_time()), default=0.0)

    @property
    def silent_connections(self) -> int:
        """Number of connections that were replaced because of silence."""
        return self._links.silent_connections

    def _encode(self, message: Message, correlation_id: int) -> bytes:
        last = self._last_encoded
        if last and last[0] is message and last[1] == correlation_id:
            return last[2]
        data = encode_envelope(
            Envelope(self._node_id, self._address, correlation_id, message)
        )
        self._last_encoded = (message, correlation_id, data)
        return data

    async def _serve_destination(self, link: OutgoingLink) -> None:
        """Sends to one destination until it is idle or unusable."""
        while True:
            self._links.note_dialled(link, current_time())
            is_usable = await self._serve_connection(link)
            if not is_usable or link.is_idle:
                self._links.close(link)
                return

    async def _serve_connection(self, link: OutgoingLink) -> bool:
        """Sends until the connection is to be replaced or is idle.

        Returns whether the address can be connected to at all.
        """
        with Push0(
            send_timeout=SEND_TIMEOUT_MS,
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        ) as socket:
            try:
                socket.dial(link.address, block=False)
            except NNGException as error:
                self._report_drop(
                    "unusable address", f"{link.address}: {error}"
                )
                return False
            while (queued := await link.pop()) is not None:
                data = self._links.envelope_to_send(
                    link, queued, current_time()
                )
                try:
                    await _send(socket, data)
                except Timeout:
                    self._report_drop("unreachable", link.address)
                except NNGException as error:
                    self._report_drop(
                        "send failed", f"{link.address}: {error}"
                    )
                    await sleep(RECONNECT_MAX_MS / 1000)
                else:
                    self.sent_bytes += len(data)
        return True

    def _close_replaced(self, envelope: Envelope, pipe: Pipe | None) -> None:
        """Closes a sender's earlier connection once it uses a later one.

        The end of a silent connection never arrives, so that its descriptor
        would stay open.
        """
        if pipe is None:
            return
        now = current_time()
        known = self._received_by_sender.get(envelope.reply_to)
        if known is None:
            found = _Received(envelope.link, pipe, now)
            self._received_by_sender[envelope.reply_to] = found
            return
        known.heard_at = now
        if is_later_link(envelope.link, known.link):
            earlier, known.pipe = known.pipe, pipe
            known.link = envelope.link
            with suppress(NNGException):
                earlier.close()

    def _forget_senders(self) -> None:
        """Forgets processes that have closed their connections."""
        oldest = current_time() - 2 * IDLE_CLOSE_S
        for sender, received in list(self._received_by_sender.items()):
            if received.heard_at < oldest:
                del self._received_by_sender[sender]

    def _report_drop(self, reason: str, detail: str) -> None:
        self.dropped_messages += 1
        log_event(
            LogEvent.MESSAGE_DROPPED,
            self._node_id,
            reason=reason,
            detail=detail,
        )


async def _send(socket: Push0, data: bytes) -> None:
    """Sends a message; waits only if the connection does not take it now."""
    try:
        socket.send(data, block=False)
    except TryAgain:
        await socket.asend(data)


@asynccontextmanager
async def open_transport(
    node_id: str, inbox_address: str
) -> AsyncIterator[NngTransport]:
    """Opens a process's inbox; port 0 stands for a free port.

    Raises ``NNGException`` when the address cannot be bound.
    """
    with Pull0(recv_max_size=MAX_MESSAGE_BYTES) as inbox:
        listener = inbox.listen(inbox_address)
        address = f"tcp://{listener.local_address}"
        async with create_task_group() as tasks:
            transport = NngTransport(node_id, inbox, address, tasks)
            tasks.start_soon(transport.check_links)
            yield transport
            tasks.cancel_scope.cancel()
