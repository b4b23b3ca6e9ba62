"""Limits one node's writes to its share of the store's write rate."""

from wasabiwing.timers import TimerService

# Burst that is allowed after a time without writes, in seconds of the rate.
BURST_S = 0.5


class StoreBudget:
    """Token bucket for all store writes of one controller."""

    def __init__(self, timer: TimerService, writes_per_s: float) -> None:
        self._timer = timer
        self._interval_s = 1.0 / writes_per_s
        # Monotonic time at which the next token is due without any burst.
        self._next_at = timer.now() - BURST_S
        self.write_count = 0

    async def acquire(self) -> None:
        """Waits until the controller may send one more write."""
        now = self._timer.now()
        self._next_at = max(self._next_at, now - BURST_S) + self._interval_s
        self.write_count += 1
        if self._next_at > now:
            await self._timer.sleep(self._next_at - now)
