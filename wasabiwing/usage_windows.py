"""Requests that began to run, by organisation and window of the wall clock.

Every node counts its own and tells all others, so that whichever node holds
the duty can report a window, also for nodes that are gone meanwhile.
"""

from collections import Counter
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass

from wasabiwing.timers import TimerService

# Prefix of the name under which the sum of a zone's nodes is kept.
ZONE_PREFIX = "zone:"

# Windows that are kept after the newest one.
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
    """Counts of this node and of all others."""

    def __init__(
        self, timer: TimerService, own_life: str, window_s: float
    ) -> None:
        self._timer = timer
        self._own_life = own_life
        self._window_s = window_s
        # A step of the wall clock while the process runs is not followed.
        self._wall_offset = timer.wall() - timer.now()
        # Counts by organisation, by life of a node, by window.
        self._counts: dict[int, dict[str, Counter[str]]] = {}

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
            own = self._counts_of(self.window_now(), self._own_life)
            own[organisation] += 1

    def own_counts(self) -> tuple[WindowCount, ...]:
        """Returns what this node tells the others."""
        newest = self.window_now()
        return tuple(
            WindowCount(window, organisation, count)
            for window in range(newest - REPORTED_WINDOWS + 1, newest + 1)
            for organisation, count in self._counts.get(window, {})
            .get(self._own_life, Counter())
            .items()
        )

    def counts_by_other_incarnation(self) -> dict[str, list[WindowCount]]:
        """Returns what is known of other nodes, also of those gone."""
        counts_by_life: dict[str, list[WindowCount]] = {}
        oldest = self.window_now() - REPORTED_WINDOWS
        for window, counts in self._counts.items():
            for life, by_organisation in counts.items():
                if life == self._own_life or life.startswith(ZONE_PREFIX):
                    continue
                if window > oldest:
                    counts_by_life.setdefault(life, []).extend(
                        WindowCount(window, organisation, count)
                        for organisation, count in by_organisation.items()
                    )
        return counts_by_life

    def note_peer_counts(
        self, incarnation_id: str, counts: Iterable[WindowCount]
    ) -> None:
        """Takes over counts of another node; they only grow."""
        for item in counts:
            known = self._counts_of(item.window, incarnation_id)
            known[item.organisation] = max(
                known[item.organisation], item.count
            )

    def note_zone_counts(
        self, zone: str, counts: Iterable[WindowCount]
    ) -> None:
        """Takes over the sum of a zone's nodes; it only grows."""
        self.note_peer_counts(ZONE_PREFIX + zone, counts)

    def count_by_organisation(self, window: int) -> dict[str, int]:
        """Returns the requests of a window by organisation."""
        total: Counter[str] = Counter()
        for life, counts in self._counts.get(window, {}).items():
            if not life.startswith(ZONE_PREFIX):
                total.update(counts)
        return dict(total)

    def zone_counts(
        self, zone: str, lives: Collection[str]
    ) -> tuple[WindowCount, ...]:
        """Returns the sum of this zone's nodes, for the other zones."""
        newest = self.window_now()
        return tuple(
            WindowCount(window, organisation, count)
            for window in range(newest - REPORTED_WINDOWS + 1, newest + 1)
            for organisation, count in self._zone_total(
                window, zone, lives
            ).items()
        )

    def fleet_count_by_organisation(
        self, window: int, zone: str, lives: Collection[str]
    ) -> dict[str, int]:
        """Returns the requests of a window in all zones.

        ``lives`` are the nodes of this node's zone; the others are in the
        sums of their zones.
        """
        total = self._zone_total(window, zone, lives)
        for name, counts in self._counts.get(window, {}).items():
            if name.startswith(ZONE_PREFIX) and name != ZONE_PREFIX + zone:
                total.update(counts)
        return dict(total)

    def _zone_total(
        self, window: int, zone: str, lives: Collection[str]
    ) -> Counter[str]:
        """Returns a zone's sum, with what its other head has seen."""
        counts_by_life = self._counts.get(window, {})
        total: Counter[str] = Counter()
        for life in lives:
            total.update(counts_by_life.get(life, Counter()))
        return total | counts_by_life.get(ZONE_PREFIX + zone, Counter())

    def oldest_window(self) -> int:
        """Returns the first window that any node has counted in."""
        return min(self._counts, default=self.window_now())

    def _counts_of(self, window: int, life: str) -> Counter[str]:
        for old in [
            known for known in self._counts if known < window - KEPT_WINDOWS
        ]:
            del self._counts[old]
        by_life = self._counts.setdefault(window, {})
        return by_life.setdefault(life, Counter())
