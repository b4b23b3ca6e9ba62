"""The share of the key-value service's write rate that one node may use."""

from wasabiwing.timers import TimerService

# Writes that may be sent at once after a quiet time, in seconds of the rate.
BURST_S = 0.5


class StoreBudget:
    """A token bucket over all writes of one controller."""

    def __init__(self, timer: TimerService, writes_per_s: float) -> None:
        self._timer = timer
        self._interval_s = 1.0 / writes_per_s
        # Time at which the next token would be free without any burst.
        self._next_at = timer.now() - BURST_S
        self.write_count = 0

    async def acquire(self) -> None:
        """Waits until the node may send one more write."""
        now = self._timer.now()
        self._next_at = max(self._next_at, now - BURST_S) + self._interval_s
        self.write_count += 1
        if self._next_at > now:
            await self._timer.sleep(self._next_at - now)
