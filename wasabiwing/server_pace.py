"""Slow start of backend servers that have just started or recovered.

Load pattern: many nodes see the same new server without a queue and all send
to it before one of them hears of the others' requests; or a server that
failed for a while gets its whole share at once. How fast a server takes up
load follows from its answers, not from a fixed ramp: the number of requests
that all nodes together may have there without a first event begins small,
grows with each first event in time and shrinks with late ones and failures.
All nodes compute it from the same reported counts, and rendezvous hashing
says how many of these requests each node may have, without a message of its
own. This module reads no clock but the timer and sends nothing.
"""

from collections import defaultdict
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from wasabiwing.first_event_counts import FirstEventCounts
from wasabiwing.first_event_counts import total_counts
from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

# Requests without a first event that all nodes together may have at a server
# of which no answer is known yet.
INITIAL_WINDOW = 4

# Requests by which a first event in time widens the window; with 2 it at
# least doubles with each round of answers.
WINDOW_GROWTH = 2

# Time for which a first event or failure counts, in seconds: some reports of
# the other nodes, and far less than a swing of the load.
EVENT_LIFETIME_S = 2.0

# First events in time after which a server is steady, if at most this share
# of all events is late or a failure.
STEADY_EVENTS = 16
STEADY_TROUBLE_SHARE = 0.1

# A first event is late if it takes longer than this multiple of the
# prediction, and longer by this many seconds.
LATE_FACTOR = 2.0
LATE_MARGIN_S = 0.1

# Failures without an answer between them after which a server that answers
# again counts as recovered.
RECOVERY_FAILURES = 3

# Time after which a server without trouble leaves the slow start, in seconds,
# so that a server that few requests reach is not limited for ever.
MAX_SLOW_START_S = 8.0

# Period in seconds at which the window's requests are divided anew among the
# nodes, so that it is not reserved for nodes that have no requests.
SHARE_PERIOD_S = 0.25


@dataclass(slots=True)
class _SlowStart:
    """A server whose pace is not known yet."""

    begun_at: float
    # Time and punctuality of each recent first event or failure.
    events: deque[tuple[float, bool]] = field(default_factory=deque)


def is_in_time(predicted_s: float, observed_s: float) -> bool:
    """Whether a first event came about when it was predicted."""
    return observed_s <= max(
        predicted_s * LATE_FACTOR, predicted_s + LATE_MARGIN_S
    )


def admission_window(counts: FirstEventCounts) -> int:
    """Returns how many requests may wait for their first event at a server.

    The number is that of all nodes together and at least 1, so that the
    server's answers are still seen.
    """
    window = INITIAL_WINDOW + WINDOW_GROWTH * counts.in_time
    share = (counts.in_time + 1) / (counts.in_time + counts.troubled + 1)
    return max(int(window * share), 1)


def is_steady(counts: FirstEventCounts) -> bool:
    """Whether a server has answered enough requests in time."""
    allowed = STEADY_TROUBLE_SHARE * (counts.in_time + counts.troubled)
    return counts.in_time >= STEADY_EVENTS and counts.troubled <= allowed


def node_share(
    window: int, node_id: str, node_ids: Sequence[str], key: str
) -> int:
    """Returns how many of a window's requests a node may have.

    The shares of all nodes add up to the window. ``key`` decides which nodes
    get one more than others.
    """
    if node_id not in node_ids:
        # A node without a lease still has requests to serve.
        return 1
    base, rest = divmod(window, len(node_ids))
    if rest == 0:
        return base
    return base + (node_id in rank_members(key, node_ids)[:rest])


class ServerPace:
    """Slow starts of the servers, as one node knows them."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        peer_counts: Callable[[str], FirstEventCounts],
        on_begun: Callable[[str, str], None] = lambda *_: None,
        on_ended: Callable[[str, FirstEventCounts, float], None] = lambda *_: (
            None
        ),
    ) -> None:
        """``peer_counts`` returns what other nodes reported of a server.

        ``on_begun`` is told a server id and why its slow start begins,
        ``on_ended`` a server id, its counts and the seconds that the slow
        start took.
        """
        self._node_id = node_id
        self._timer = timer
        self._peer_counts = peer_counts
        self._on_begun = on_begun
        self._on_ended = on_ended
        self._slow_start_by_server: dict[str, _SlowStart] = {}
        self._failures_by_server: dict[str, int] = defaultdict(int)
        # Services of which this node has seen a first event: their traffic
        # has begun, and a server that appears now has just started.
        self._busy_services: set[str] = set()

    def note_registered(
        self, server_id: str, service: str, started_ms: int
    ) -> None:
        """Records the entry of a server that is new, or whose process is.

        ``started_ms`` is the start of its process in Unix milliseconds; 0 if
        unknown. Servers that are there before traffic are not limited: all
        begin at the same time, and none has the load of a running fleet to
        take. An entry that lapsed may come back with an old process.
        """
        self._failures_by_server.pop(server_id, None)
        age_s = self._timer.wall_time() - started_ms / 1000.0
        if service in self._busy_services and age_s <= MAX_SLOW_START_S:
            self._begin(server_id, "started")

    def note_first_event(
        self,
        server_id: str,
        service: str,
        predicted_s: float,
        observed_s: float,
    ) -> None:
        """Records a first event with its predicted and observed time."""
        self._busy_services.add(service)
        self._failures_by_server.pop(server_id, None)
        self._note(server_id, is_in_time(predicted_s, observed_s))

    def note_failed(self, server_id: str) -> None:
        """Records an attempt that failed at a server or was refused by it."""
        self._failures_by_server[server_id] += 1
        if (
            self._failures_by_server[server_id] >= RECOVERY_FAILURES
            and server_id not in self._slow_start_by_server
        ):
            self._begin(server_id, "recovers")
        self._note(server_id, False)

    def may_send(
        self, server_id: str, own_pending: int, node_ids: Sequence[str]
    ) -> bool:
        """Whether this node may send one more request to a server now.

        ``own_pending`` is the number of this node's requests without a first
        event there, and ``node_ids`` are all nodes of the fleet.
        """
        slow_start = self._slow_start_by_server.get(server_id)
        if slow_start is None:
            return True
        counts = self._counts(server_id, slow_start)
        age_s = self._timer.now() - slow_start.begun_at
        is_over = age_s > MAX_SLOW_START_S and not counts.troubled
        if is_over or is_steady(counts):
            del self._slow_start_by_server[server_id]
            self._on_ended(server_id, counts, age_s)
            return True
        period = int(age_s / SHARE_PERIOD_S)
        share = node_share(
            admission_window(counts),
            self._node_id,
            node_ids,
            f"{server_id}:{period}",
        )
        return own_pending < share

    def own_counts(self) -> dict[str, FirstEventCounts]:
        """Returns this node's recent counts, for its reports."""
        counts_by_server = {
            server_id: self._recent(slow_start)
            for server_id, slow_start in self._slow_start_by_server.items()
        }
        return {
            server_id: counts
            for server_id, counts in counts_by_server.items()
            if counts.in_time or counts.troubled
        }

    def slow_start_count(self) -> int:
        """Returns the number of servers in a slow start."""
        return len(self._slow_start_by_server)

    def remove_server(self, server_id: str) -> None:
        """Removes a server that is gone."""
        self._slow_start_by_server.pop(server_id, None)
        self._failures_by_server.pop(server_id, None)

    def _begin(self, server_id: str, cause: str) -> None:
        self._slow_start_by_server[server_id] = _SlowStart(self._timer.now())
        self._on_begun(server_id, cause)

    def _note(self, server_id: str, in_time: bool) -> None:
        slow_start = self._slow_start_by_server.get(server_id)
        if slow_start is not None:
            slow_start.events.append((self._timer.now(), in_time))

    def _counts(
        self, server_id: str, slow_start: _SlowStart
    ) -> FirstEventCounts:
        return total_counts(
            (self._recent(slow_start), self._peer_counts(server_id))
        )

    def _recent(self, slow_start: _SlowStart) -> FirstEventCounts:
        oldest = self._timer.now() - EVENT_LIFETIME_S
        events = slow_start.events
        while events and events[0][0] < oldest:
            events.popleft()
        in_time = sum(punctual for _, punctual in events)
        return FirstEventCounts(in_time, len(events) - in_time)
