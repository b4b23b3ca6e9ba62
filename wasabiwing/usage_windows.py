"""Counts of requests that began to run, by organisation and usage window.

Usage windows are consecutive intervals of the wall clock. Every node counts
its own requests and reports the counts to all others, so that whichever node
holds the duties can report a window, also for nodes that are gone by then.
"""

from collections import Counter
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass

from wasabiwing.timers import TimerService

# Prefix of the key under which the aggregate of a zone's nodes is kept; other
# keys are incarnation ids.
ZONE_PREFIX = "zone:"

# Windows that are kept besides the newest one.
KEPT_WINDOWS = 8

# Windows that a report to the other nodes covers.
REPORTED_WINDOWS = 3


@dataclass(frozen=True, slots=True)
class WindowCount:
    """Requests of one organisation in one window."""

    window: int
    organisation: str
    count: int


class UsageWindows:
    """Request counts of this node and of all others, by usage window."""

    def __init__(
        self, timer: TimerService, own_incarnation_id: str, window_s: float
    ) -> None:
        self._timer = timer
        self._own_incarnation_id = own_incarnation_id
        self._window_s = window_s
        # Fixed at the start: later steps of the wall clock are not followed.
        self._wall_offset = timer.wall_time() - timer.now()
        # Counts by window, then by incarnation id or zone key, then by
        # organisation.
        self._counts_by_window: dict[int, dict[str, Counter[str]]] = {}

    def window_now(self) -> int:
        """Returns the number of the current window."""
        wall = self._timer.now() + self._wall_offset
        return int(wall // self._window_s)

    def window_end(self, window: int) -> float:
        """Returns the monotonic time at which a window ends."""
        return (window + 1) * self._window_s - self._wall_offset

    def count_request(self, organisation: str) -> None:
        """Counts a request that begins to run now."""
        if organisation:
            own = self._counts_of(self.window_now(), self._own_incarnation_id)
            own[organisation] += 1

    def own_counts(self) -> tuple[WindowCount, ...]:
        """Returns the recent counts that this node reports to the others."""
        newest = self.window_now()
        return tuple(
            WindowCount(window, organisation, count)
            for window in range(newest - REPORTED_WINDOWS + 1, newest + 1)
            for organisation, count in self._counts_by_window.get(window, {})
            .get(self._own_incarnation_id, Counter())
            .items()
        )

    def counts_by_other_incarnation(self) -> dict[str, list[WindowCount]]:
        """Returns the recent counts of other nodes, also of those gone."""
        counts_by_incarnation: dict[str, list[WindowCount]] = {}
        oldest = self.window_now() - REPORTED_WINDOWS
        for window, counts in self._counts_by_window.items():
            for incarnation_id, by_organisation in counts.items():
                if (
                    incarnation_id == self._own_incarnation_id
                    or incarnation_id.startswith(ZONE_PREFIX)
                ):
                    continue
                if window > oldest:
                    counts_by_incarnation.setdefault(
                        incarnation_id, []
                    ).extend(
                        WindowCount(window, organisation, count)
                        for organisation, count in by_organisation.items()
                    )
        return counts_by_incarnation

    def note_peer_counts(
        self, incarnation_id: str, counts: Iterable[WindowCount]
    ) -> None:
        """Merges the counts of another node, which only grow."""
        for item in counts:
            known = self._counts_of(item.window, incarnation_id)
            known[item.organisation] = max(
                known[item.organisation], item.count
            )

    def note_zone_counts(
        self, zone: str, counts: Iterable[WindowCount]
    ) -> None:
        """Merges the aggregate of a zone's nodes, which only grows."""
        self.note_peer_counts(ZONE_PREFIX + zone, counts)

    def count_by_organisation(self, window: int) -> dict[str, int]:
        """Returns the number of requests in a window by organisation."""
        total: Counter[str] = Counter()
        for key, counts in self._counts_by_window.get(window, {}).items():
            if not key.startswith(ZONE_PREFIX):
                total.update(counts)
        return dict(total)

    def zone_counts(
        self, zone: str, incarnation_ids: Collection[str]
    ) -> tuple[WindowCount, ...]:
        """Returns the recent aggregate of this zone's nodes for the others."""
        newest = self.window_now()
        return tuple(
            WindowCount(window, organisation, count)
            for window in range(newest - REPORTED_WINDOWS + 1, newest + 1)
            for organisation, count in self._zone_total(
                window, zone, incarnation_ids
            ).items()
        )

    def fleet_count_by_organisation(
        self, window: int, zone: str, incarnation_ids: Collection[str]
    ) -> dict[str, int]:
        """Returns the number of requests in a window in all zones.

        ``incarnation_ids`` are those of the nodes of this node's zone; the
        other nodes are in the aggregates of their zones.
        """
        total = self._zone_total(window, zone, incarnation_ids)
        for key, counts in self._counts_by_window.get(window, {}).items():
            if key.startswith(ZONE_PREFIX) and key != ZONE_PREFIX + zone:
                total.update(counts)
        return dict(total)

    def _zone_total(
        self, window: int, zone: str, incarnation_ids: Collection[str]
    ) -> Counter[str]:
        """Returns a zone's aggregate, merged with its other zone head's."""
        counts_by_incarnation = self._counts_by_window.get(window, {})
        total: Counter[str] = Counter()
        for incarnation_id in incarnation_ids:
            total.update(counts_by_incarnation.get(incarnation_id, Counter()))
        return total | counts_by_incarnation.get(ZONE_PREFIX + zone, Counter())

    def oldest_window(self) -> int:
        """Returns the first window that any node has counted in."""
        return min(self._counts_by_window, default=self.window_now())

    def _counts_of(self, window: int, incarnation_id: str) -> Counter[str]:
        for old in [
            known
            for known in self._counts_by_window
            if known < window - KEPT_WINDOWS
        ]:
            del self._counts_by_window[old]
        counts_by_incarnation_id = self._counts_by_window.setdefault(
            window, {}
        )
        return counts_by_incarnation_id.setdefault(incarnation_id, Counter())
