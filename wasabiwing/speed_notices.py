"""Tells the other nodes which backend servers have changed their speed.

Load pattern: tens of nodes in front of tens of servers, each of which answers
a single node once in ten seconds and is slow for half a second. The first
node that hears of a change tells all others at once; a statement that confirms
what is expected is not passed on.
"""

from collections.abc import Callable
from collections.abc import Mapping

from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import SpeedNotice
from wasabiwing.messages import StatedSpeed
from wasabiwing.ports import Transport
from wasabiwing.server_speeds import ServerSpeeds
from wasabiwing.timers import TimerService

# Number of nodes above which changes are not passed on. The messages to a node
# grow with the number of servers, and those that it sends with the number of
# nodes for each server; docs/design/server-speed.md has the figures.
MAX_NOTIFIED_NODES = 100

# Largest rate and burst of the changes that one node passes on; servers may
# state another speed in each answer. A change takes 8 ms of CPU at 70 nodes.
MAX_NOTICES_PER_S = 2.0
MAX_NOTICE_BURST = 5.0

# Longest time for which a received statement is held, in milliseconds.
MAX_HELD_MS = 2000

MILLISECONDS = 1000.0
PERCENT = 100.0


class SpeedNotices:
    """Sends and receives the speeds that backend servers state."""

    def __init__(
        self,
        timer: TimerService,
        transport: Transport,
        speeds: ServerSpeeds,
        node_count: Callable[[], int],
        live_inboxes: Callable[[], Mapping[str, str]],
        is_known: Callable[[str], bool],
        held_s: Callable[[str], float],
        count: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._speeds = speeds
        self._node_count = node_count
        self._live_inboxes = live_inboxes
        self._is_known = is_known
        self._held_s = held_s
        self._count = count
        # What the nodes have been told and therefore expect.
        self._told = ServerSpeeds(timer)
        # Changes that may be passed on now.
        self._allowed_notices = MAX_NOTICE_BURST
        self._refilled_at = timer.now()

    def register(self, messages: MessageRouter) -> None:
        """Registers the handler of other nodes' notices."""
        messages.register(SpeedNotice, self._receive)

    def note_statement(self, server_id: str, slowdown: float) -> None:
        """Records a slowdown that a server states to this node now.

        The other nodes are told if they expect another one.
        """
        held_s = self._held_s(server_id)
        self._speeds.note_statement(server_id, slowdown, held_s)
        if self._node_count() > MAX_NOTIFIED_NODES:
            return
        if self._told.is_change(server_id, slowdown) and self._take_notice():
            self._told.note_statement(server_id, slowdown, held_s)
            speed = StatedSpeed(
                server_id,
                round(slowdown * PERCENT),
                round(held_s * MILLISECONDS),
            )
            notice = SpeedNotice((speed,))
            self._count("told")
            for inbox in self._live_inboxes().values():
                self._transport.send(inbox, notice)

    def _take_notice(self) -> bool:
        now = self._timer.now()
        added = (now - self._refilled_at) * MAX_NOTICES_PER_S
        self._refilled_at = now
        self._allowed_notices = min(
            self._allowed_notices + added, MAX_NOTICE_BURST
        )
        if self._allowed_notices < 1.0:
            return False
        self._allowed_notices -= 1.0
        return True

    async def _receive(self, envelope: Envelope, notice: SpeedNotice) -> None:
        self._count("heard")
        for item in notice.speeds:
            if self._is_known(item.server_id) and item.percent > 0:
                held_ms = min(max(item.held_ms, 0), MAX_HELD_MS)
                for speeds in (self._speeds, self._told):
                    speeds.note_statement(
                        item.server_id,
                        item.percent / PERCENT,
                        held_ms / MILLISECONDS,
                    )

    def remove_server(self, server_id: str) -> None:
        """Removes a server that is gone."""
        self._told.remove_server(server_id)
