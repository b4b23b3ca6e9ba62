"""Tests of the share of a cold server that each node may use."""

from random import Random

import pytest

from wasabiwing.cold_rate_limiter import ColdRateLimiter
from wasabiwing.timers import FakeTimer

PER_S = 17.0

# What the deployment allows in a second: 1.5 times the rate, plus 5.
BOUND = PER_S * 1.5 + 5


@pytest.mark.anyio
class TestColdAllowance:
    """A zone's servers come back cold and all nodes have work."""

    @pytest.mark.parametrize("nodes", [1, 3, 7, 8, 78, 300])
    async def test_all_nodes_together_stay_below_what_a_server_bears(
        self, nodes: int
    ) -> None:
        random = Random(nodes)
        timer = FakeTimer()
        ids = [f"node-{number}" for number in range(nodes)]
        fleet = [ColdRateLimiter(node_id, timer) for node_id in ids]
        sent: list[float] = []
        for _ in range(300):
            await timer.advance(0.01)
            for allowance in random.sample(fleet, nodes):
                if allowance.has_token("server", PER_S, ids):
                    allowance.take_token("server")
                    sent.append(timer.now())
        for start in sent:
            window = [at for at in sent if start <= at < start + 1.0]
            assert len(window) <= BOUND
        assert len(sent) > 0.5 * PER_S * 3

    async def test_server_without_a_rate_bears_everything(self) -> None:
        allowance = ColdRateLimiter("node-1", FakeTimer())
        assert all(
            allowance.has_token("server", 0.0, ["node-1"]) for _ in range(100)
        )
