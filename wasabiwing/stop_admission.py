"""Decides which requests a process that was asked to stop still serves.

Load pattern: a rolling restart under load. The load balancer goes on for some
seconds and kept connections until they are closed, so requests arrive up to
the kill. A request that is passed on and cannot end before the kill is lost;
one that is refused at once, as not run, is served by another process. No run
that was seen bounds the next one, and a sound server may be silent for a while
in the middle of a run, so a late request is served only if its own deadline
comes before the kill.
"""

from math import inf

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.run_durations import RunDurations
from wasabiwing.run_durations import RunEstimate
from wasabiwing.timers import TimerService

# Period in seconds in which a load balancer asks whether a process is ready,
# and the number of misses in a row after which it sends callers elsewhere.
READINESS_PERIOD_S = 1.0
READINESS_MISSES = 2

# Time after a request to stop until the load balancer has surely noticed, in
# seconds. Before that a refused caller may come back to this very process, so
# that a request is served unless it probably can't end in time. Later a
# refused caller reaches another process, and a request is served only if its
# deadline bounds it.
UNNOTICED_S = (READINESS_MISSES + 1) * READINESS_PERIOD_S

# Time before the kill in which the last answers reach their callers, in
# seconds.
CLOSING_S = 0.5


def may_end_in_time(
    time_left_s: float,
    came_after_s: float,
    deadline_left_s: float,
    estimate: RunEstimate | None,
) -> bool:
    """Whether a stopping process serves a request.

    ``time_left_s`` are the seconds until the process is killed,
    ``came_after_s`` those from the request to stop to the arrival of this
    request, negative if it came before, and ``deadline_left_s`` those until
    its own deadline, at which it ends in any case.
    """
    usable_s = time_left_s - CLOSING_S
    if deadline_left_s <= usable_s:
        return True
    if came_after_s >= UNNOTICED_S:
        return False
    if estimate is None:
        return usable_s > 0.0
    return estimate.typical_s <= usable_s


class StopAdmission:
    """Whether a process is about to stop, and what it still serves."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self.durations = RunDurations(timer)
        # Monotonic times in seconds.
        self._stopped_at = inf
        self._killed_at = inf

    def begin(self, grace_s: float, lag_s: float = 0.0) -> None:
        """Records a request to stop; the process is killed after it.

        ``grace_s`` is the time until then, in seconds, and ``lag_s`` the time
        for which the process may have been unable to see the request. Later
        calls change nothing.
        """
        if not self.stopping:
            self._stopped_at = self._timer.now() - lag_s
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

    def refusal(
        self,
        kind: str,
        came_at: float,
        deadline: float,
        answer_tokens: int | None,
    ) -> Failure | None:
        """Returns the refusal of a request that can't end in time.

        It is asked before each attempt. ``kind`` is that under which its
        duration is tracked. ``came_at``, when its last byte was read, and
        ``deadline`` are monotonic seconds. ``answer_tokens`` is the largest
        number of tokens of its answer; ``None`` for plain requests. The
        refusal names no pause, as another process takes the request at once.
        """
        if not self.stopping:
            return None
        estimate = self.durations.estimate(kind, answer_tokens)
        if may_end_in_time(
            self.time_left_s,
            came_at - self._stopped_at,
            deadline - self._timer.now(),
            estimate,
        ):
            return None
        takes = (
            "unknown"
            if estimate is None
            else f"{estimate.typical_s:.2f} to {estimate.longest_s:.2f} s"
        )
        return Failure(
            ResultCode.NODE_LEAVING,
            f"{self.time_left_s:.2f} s left, runs take {takes}",
        )
