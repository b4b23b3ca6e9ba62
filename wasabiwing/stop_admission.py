"""Decides which requests a process that was asked to stop still serves."""

from math import inf

from wasabiwing.timers import TimerService


class StopAdmission:
    """Whether a process is about to stop, and how much time it has left."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        # Monotonic times in seconds.
        self._stopped_at = inf
        self._killed_at = inf

    def begin(self, grace_s: float) -> None:
        """Records a request to stop; the process is killed after it.

        ``grace_s`` is the time until then, in seconds. Later calls change
        nothing.
        """
        if not self.stopping:
            self._stopped_at = self._timer.now()
            self._killed_at = self._stopped_at + grace_s

    @property
    def stopping(self) -> bool:
        """Whether the process was asked to stop."""
        return self._stopped_at < inf

    @property
    def stopped_for_s(self) -> float:
        """Seconds since the request to stop; 0 without one."""
        return self._timer.now() - self._stopped_at if self.stopping else 0.0

    @property
    def time_left_s(self) -> float:
        """Seconds until the process is killed."""
        return self._killed_at - self._timer.now()
