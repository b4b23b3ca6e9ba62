"""Tests of the rate at which nodes send requests to a cold server."""

from random import Random

import pytest

from wasabiwing.cold_rate_limiter import ColdRateLimiter
from wasabiwing.timers import FakeTimer

PER_S = 17.0

# Requests that the deployment allows in a second: 1.5 times the rate, plus 5.
BOUND = PER_S * 1.5 + 5


@pytest.mark.anyio
class TestColdRateLimiter:
    """A zone's servers come back cold and all nodes have work."""

    @pytest.mark.parametrize("nodes", [1, 3, 7, 8, 78, 300])
    async def test_all_nodes_together_stay_below_the_rate_of_a_cold_server(
        self, nodes: int
    ) -> None:
        random = Random(nodes)
        timer = FakeTimer()
        ids = [f"node-{number}" for number in range(nodes)]
        fleet = [ColdRateLimiter(node_id, timer) for node_id in ids]
        sent: list[float] = []
        for _ in range(300):
            await timer.advance(0.01)
            for limiter in random.sample(fleet, nodes):
                if limiter.has_token("server", PER_S, ids):
                    limiter.take_token("server")
                    sent.append(timer.now())
        for start in sent:
            window = [at for at in sent if start <= at < start + 1.0]
            assert len(window) <= BOUND
        assert len(sent) > 0.5 * PER_S * 3

    async def test_server_without_a_rate_has_no_limit(self) -> None:
        limiter = ColdRateLimiter("node-1", FakeTimer())
        assert all(
            limiter.has_token("server", 0.0, ["node-1"]) for _ in range(100)
        )
