"""Recent first events of servers in their slow start, over all nodes.

Up to ``MAX_FULL_MESH_NODES`` nodes hear each other's counts. With more, the
heads of zones add up their nodes' counts and exchange and distribute the sums.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from wasabiwing.messages import FirstEventEntry
from wasabiwing.timers import TimerService
from wasabiwing.usage_windows import ZONE_PREFIX

# Seconds for which what others reported is used.
REPORT_LIFETIME_S = 2.0

# Source of the sums over all nodes.
FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class FirstEventCounts:
    """Recent requests of a server by how their first event came."""

    in_time: int = 0
    # Late first events, and attempts that failed.
    troubled: int = 0


CountsByServer = Mapping[str, FirstEventCounts]


def total_counts(counts: Iterable[FirstEventCounts]) -> FirstEventCounts:
    """Returns the sum of several nodes' counts of one server."""
    in_time = 0
    troubled = 0
    for item in counts:
        in_time += item.in_time
        troubled += item.troubled
    return FirstEventCounts(in_time, troubled)


class FleetFirstEvents:
    """First events that this node and the others have reported."""

    def __init__(
        self,
        timer: TimerService,
        own_counts: Callable[[], CountsByServer] = dict,
    ) -> None:
        self._timer = timer
        self._own_counts = own_counts
        # Counts with the time at which they were heard, by node id, zone key
        # or ``FLEET``.
        self._counts_by_source: dict[str, tuple[float, CountsByServer]] = {}

    def use_own(self, own_counts: Callable[[], CountsByServer]) -> None:
        """Sets what returns this node's counts by server."""
        self._own_counts = own_counts

    def note_node(
        self, node_id: str, entries: Iterable[FirstEventEntry]
    ) -> None:
        """Replaces the counts of another node."""
        self._counts_by_source[node_id] = (self._timer.now(), _read(entries))

    def note_zone(self, zone: str, entries: Iterable[FirstEventEntry]) -> None:
        """Replaces the sums of another zone's nodes."""
        self.note_node(ZONE_PREFIX + zone, entries)

    def note_fleet(self, entries: Iterable[FirstEventEntry]) -> None:
        """Replaces the sums of all nodes, this one among them."""
        own = self._own_counts()
        none = FirstEventCounts()
        others = {
            server_id: FirstEventCounts(
                max(counts.in_time - own.get(server_id, none).in_time, 0),
                max(counts.troubled - own.get(server_id, none).troubled, 0),
            )
            for server_id, counts in _read(entries).items()
        }
        self._counts_by_source[FLEET] = (self._timer.now(), others)

    def peer_counts(self, server_id: str) -> FirstEventCounts:
        """Returns the counts of all other nodes for a server."""
        none = FirstEventCounts()
        return total_counts(
            counts.get(server_id, none) for _, counts in self._recent_sources()
        )

    def own_entries(self) -> tuple[FirstEventEntry, ...]:
        """Returns this node's counts for its report."""
        return _entries([self._own_counts()])

    def zone_entries(self) -> tuple[FirstEventEntry, ...]:
        """Returns the sums of this zone's nodes, for the other heads."""
        heard = [
            counts
            for source, counts in self._recent_sources()
            if source != FLEET and not source.startswith(ZONE_PREFIX)
        ]
        return _entries([self._own_counts(), *heard])

    def fleet_entries(self) -> tuple[FirstEventEntry, ...]:
        """Returns the sums of all nodes, for the nodes of this zone."""
        heard = [
            counts
            for source, counts in self._recent_sources()
            if source != FLEET
        ]
        return _entries([self._own_counts(), *heard])

    def _recent_sources(self) -> list[tuple[str, CountsByServer]]:
        oldest = self._timer.now() - REPORT_LIFETIME_S
        return [
            (source, counts)
            for source, (heard_at, counts) in self._counts_by_source.items()
            if heard_at >= oldest
        ]


def _read(
    entries: Iterable[FirstEventEntry],
) -> dict[str, FirstEventCounts]:
    return {
        item.server_id: FirstEventCounts(item.in_time, item.troubled)
        for item in entries
    }


def _entries(
    sources: Iterable[CountsByServer],
) -> tuple[FirstEventEntry, ...]:
    counts_by_server: dict[str, list[FirstEventCounts]] = {}
    for source in sources:
        for server_id, counts in source.items():
            counts_by_server.setdefault(server_id, []).append(counts)
    totals = {
        server_id: total_counts(counts)
        for server_id, counts in counts_by_server.items()
    }
    return tuple(
        FirstEventEntry(server_id, total.in_time, total.troubled)
        for server_id, total in totals.items()
    )
