"""Tests of the limit on a controller's writes to the store."""

from anyio import create_task_group
import pytest

from wasabiwing.store_budget import BURST_S
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio


class TestStoreBudget:
    """Tests that writes exceed the rate only by one burst."""

    async def test_writes_follow_the_rate_after_the_burst(self) -> None:
        """Guards the store against a controller that writes too much."""
        timer = FakeTimer()
        budget = StoreBudget(timer, 20.0)
        written: list[float] = []

        async def write() -> None:
            await budget.acquire()
            written.append(timer.now())

        async with create_task_group() as tasks:
            for _ in range(100):
                tasks.start_soon(write)
            counts = []
            for _ in range(4):
                await timer.advance(1.0)
                counts.append(len(written))
            tasks.cancel_scope.cancel()
        burst = int(20.0 * BURST_S)
        assert counts == [20 + burst, 40 + burst, 60 + burst, 80 + burst]
