"""Shares among nodes how late the first events of each server are.

Load pattern: tens of nodes, each of which gets a first event from a given
server once in ten seconds, too few to learn that the server is of a slower
kind. For each server one node, by rendezvous hashing, collects the lateness of
all nodes' first events and tells all nodes the slowdown that follows.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from math import log

from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import FirstEventReport
from wasabiwing.messages import LearnedSpeed
from wasabiwing.messages import LearnedSpeedNotice
from wasabiwing.messages import ServerFirstEvents
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import owner
from wasabiwing.server_speeds import ServerSpeeds
from wasabiwing.server_speeds import USUAL_SLOWDOWN
from wasabiwing.speed_notices import MAX_NOTIFIED_NODES
from wasabiwing.speed_notices import PERCENT
from wasabiwing.timers import TimerService

# Interval between two reports of a node, in seconds.
LEARNING_PERIOD_S = 5.0

# Smallest factor between two learned slowdowns that makes a difference.
LEARNED_CHANGE_FACTOR = 1.1

# Time after which the slowdown of a slower server is told again, in seconds,
# to nodes that have started since.
REPEAT_S = 30.0

# Unit of the logarithms in reports.
HUNDREDTHS = 100.0

# Most first events that one report may count for a server.
MAX_EVENTS = 10_000


class LearnedSpeeds:
    """Sends and receives what the nodes have learned from first events."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        speeds: ServerSpeeds,
        node_ids: Callable[[], Sequence[str]],
        live_inboxes: Callable[[], Mapping[str, str]],
        is_known: Callable[[str], bool],
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._speeds = speeds
        self._node_ids = node_ids
        self._live_inboxes = live_inboxes
        self._is_known = is_known
        # Last slowdown that this node told of a server, and when.
        self._told_by_server: dict[str, tuple[float, float]] = {}

    def register(self, messages: MessageRouter) -> None:
        """Registers the handlers of other nodes' messages."""
        messages.register(FirstEventReport, self._receive_events)
        messages.register(LearnedSpeedNotice, self._receive_speeds)

    def remove_server(self, server_id: str) -> None:
        """Removes a server that is gone."""
        self._told_by_server.pop(server_id, None)

    async def exchange(self) -> None:
        """Reports new first events to the servers' owners and tells slowdowns.

        It is called every ``LEARNING_PERIOD_S`` seconds.
        """
        events_by_server = self._speeds.take_events()
        node_ids = self._node_ids()
        if not 1 < len(node_ids) <= MAX_NOTIFIED_NODES:
            return
        events_by_owner = defaultdict(list)
        for server_id, (count, log_sum) in events_by_server.items():
            owner_id = owner(server_id, node_ids) or self._node_id
            if owner_id == self._node_id:
                self._told_by_server.setdefault(
                    server_id, (USUAL_SLOWDOWN, self._timer.now())
                )
            else:
                events_by_owner[owner_id].append(
                    ServerFirstEvents(
                        server_id, count, round(log_sum * HUNDREDTHS)
                    )
                )
        inbox_by_node = self._live_inboxes()
        for owner_id, events in events_by_owner.items():
            inbox = inbox_by_node.get(owner_id)
            if inbox is not None:
                self._transport.send(inbox, FirstEventReport(tuple(events)))
        self._tell_slowdowns(node_ids, inbox_by_node)

    def _tell_slowdowns(
        self, node_ids: Sequence[str], inbox_by_node: Mapping[str, str]
    ) -> None:
        now = self._timer.now()
        speeds: list[LearnedSpeed] = []
        for server_id, (told, told_at) in list(self._told_by_server.items()):
            if owner(server_id, node_ids) != self._node_id:
                del self._told_by_server[server_id]
                continue
            slowdown = self._speeds.observed_slowdown(server_id)
            changed = _differ(slowdown, told)
            again = _differ(told, USUAL_SLOWDOWN) and now - told_at > REPEAT_S
            if changed or again:
                self._told_by_server[server_id] = (slowdown, now)
                speeds.append(
                    LearnedSpeed(server_id, round(slowdown * PERCENT))
                )
        if speeds:
            notice = LearnedSpeedNotice(tuple(speeds))
            for inbox in inbox_by_node.values():
                self._transport.send(inbox, notice)

    async def _receive_events(
        self, envelope: Envelope, report: FirstEventReport
    ) -> None:
        for item in report.events:
            if self._is_known(item.server_id) and 0 < item.count <= MAX_EVENTS:
                self._speeds.note_peer_events(
                    item.server_id, item.count, item.log_sum / HUNDREDTHS
                )
                self._told_by_server.setdefault(
                    item.server_id, (USUAL_SLOWDOWN, self._timer.now())
                )

    async def _receive_speeds(
        self, envelope: Envelope, notice: LearnedSpeedNotice
    ) -> None:
        for item in notice.speeds:
            if self._is_known(item.server_id) and item.percent > 0:
                self._speeds.note_learned(
                    item.server_id, item.percent / PERCENT
                )


def _differ(slowdown: float, other: float) -> bool:
    return abs(log(slowdown / other)) > log(LEARNED_CHANGE_FACTOR)
