"""Forecasts the demand at the time when a server ordered now has booted.

Load patterns: the full rate that arrives at once, a burst of 1.7 times the
usual rate, and a variation of 30% in 40 s. A rise beyond the noise of single
requests is believed at once and continued over the boot time. A fall counts
only when the average of the last seconds has followed it, and the highest
need is kept for a while after it.
"""

from collections import deque
from dataclasses import dataclass
from math import exp

from wasabiwing.server_demand import IDLE_DEMAND
from wasabiwing.timers import TimerService

# Time constant of the average that demand must exceed to count as a rise, in
# seconds: longer than a burst of arrivals, shorter than a wave of traffic.
SLOW_TIME_CONSTANT_S = 4.0

# Ratio of the measured demand to its average above which it has risen. The
# work that arrives within a second varies by 8% at 150 prompts a second of
# equal length, and by twice that at lengths that differ; the reserve bears
# smaller rises.
RISE_RATIO = 1.4

# Largest continued rise, as a ratio to the measured demand. A sudden step
# looks like a steep rise that goes on.
MAX_FORECAST_RATIO = 1.3

# Time for which the highest need is kept, in seconds, so that servers are not
# released at a low of fluctuating demand and booted again at the next peak.
NEED_WINDOW_S = 10.0


@dataclass(slots=True)
class _Average:
    """Average of the demand for one service."""

    level: float
    noted_at: float
    measured: float
    began_at: float


class DemandForecast:
    """Average and last measurement of the demand, by service."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._average_by_service: dict[str, _Average] = {}

    def note(self, service: str, measured: float) -> None:
        """Adds a measurement of the demand; called periodically."""
        now = self._timer.now()
        average = self._average_by_service.get(service)
        if average is None or average.level < IDLE_DEMAND < measured:
            self._average_by_service[service] = _Average(
                measured, now, measured, now
            )
            return
        elapsed_s = now - average.noted_at
        # A plain mean at first: the first reports of the other nodes arrive
        # one after the other.
        weight = max(
            1.0 - exp(-elapsed_s / SLOW_TIME_CONSTANT_S),
            elapsed_s / max(now - average.began_at, elapsed_s, 1e-9),
        )
        average.level += weight * (measured - average.level)
        average.noted_at = now
        average.measured = measured

    def begin_anew(self) -> None:
        """Drops the averages, which may lack the demand of other nodes."""
        for average in self._average_by_service.values():
            average.level = average.measured
            average.began_at = self._timer.now()

    def level(self, service: str) -> float:
        """Returns the average demand of the last seconds."""
        average = self._average_by_service.get(service)
        return 0.0 if average is None else average.level

    def measured(self, service: str) -> float:
        """Returns the last measurement of the demand."""
        average = self._average_by_service.get(service)
        return 0.0 if average is None else average.measured

    def expected(self, service: str, boot_s: float) -> float:
        """Returns the demand that is expected after the boot time."""
        average = self._average_by_service.get(service)
        if average is None:
            return 0.0
        measured, level = average.measured, average.level
        if measured <= RISE_RATIO * level:
            return level
        if average.noted_at - average.began_at < SLOW_TIME_CONSTANT_S:
            return measured
        # The average lags behind a steady rise by its time constant.
        rise_per_s = (measured - level) / SLOW_TIME_CONSTANT_S
        return min(
            measured + rise_per_s * boot_s, MAX_FORECAST_RATIO * measured
        )


class RecentNeed:
    """The highest need of the last ``NEED_WINDOW_S``, by service."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        # Times and needs, of which no later one is as high.
        self._needs_by_service: dict[str, deque[tuple[float, int]]] = {}

    def note(self, service: str, needed: int) -> int:
        """Adds a need and returns the highest one of the window."""
        now = self._timer.now()
        needs = self._needs_by_service.setdefault(service, deque())
        while needs and needs[-1][1] <= needed:
            needs.pop()
        needs.append((now, needed))
        while now - needs[0][0] > NEED_WINDOW_S:
            needs.popleft()
        return needs[0][1]
