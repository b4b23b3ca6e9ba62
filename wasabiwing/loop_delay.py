"""Measures for how long the event loop of a process is held.

A task that holds the loop delays all others: answers, health checks and what
keeps a process a member of its cluster.
"""

from collections.abc import Callable

from wasabiwing.timers import TimerService

# Period of the measurement, in seconds. Shorter holds are seen by chance.
PERIOD_S = 0.1


class LoopDelay:
    """Reports how late each tick of a timer service is.

    ``observe`` gets the delay in seconds. A suspension of the VM counts.
    """

    def __init__(
        self, timer: TimerService, observe: Callable[[float], None]
    ) -> None:
        self._timer = timer
        self._observe = observe
        self._ticked_at: float | None = None
        timer.subscribe(PERIOD_S, self.check)

    async def check(self) -> None:
        """Reports the delay since the last tick."""
        now = self._timer.now()
        if self._ticked_at is not None:
            self._observe(max(now - self._ticked_at - PERIOD_S, 0.0))
        self._ticked_at = now
