"""Tests of the servers' speeds and of the choices that follow from them."""

import pytest

from tests.load_replay import arrivals
from tests.load_replay import least_outstanding
from tests.load_replay import place_without_refusal
from tests.load_replay import Policy
from tests.load_replay import random_policy
from tests.load_replay import replay
from tests.load_replay import SlowServers
from wasabiwing.server_choice import Candidate
from wasabiwing.server_choice import choose_server
from wasabiwing.server_loads import LoadEstimate
from wasabiwing.server_speeds import ServerSpeeds
from wasabiwing.timers import FakeTimer


@pytest.mark.anyio
class TestServerSpeeds:
    """Speeds that follow from the servers' statements."""

    async def test_statement_loses_weight_with_age(self) -> None:
        """Guards against choices by a figure that is no longer true."""
        timer = FakeTimer(0.0)
        speeds = ServerSpeeds(timer)
        assert speeds.slowdown("a") == 1.0
        speeds.note_statement("a", 2.5)
        assert speeds.slowdown("a") == 2.5
        await timer.advance(0.05)
        assert speeds.slowdown("a") > 2.2
        await timer.advance(0.95)
        assert 1.0 < speeds.slowdown("a") < 1.15
        await timer.advance(1.0)
        assert speeds.slowdown("a") == 1.0

    async def test_newest_statement_counts(self) -> None:
        speeds = ServerSpeeds(FakeTimer(0.0))
        speeds.note_statement("a", 2.5)
        speeds.note_statement("a", 1.0)
        speeds.note_statement("b", 3.0)
        speeds.remove_server("b")
        assert speeds.slowdown("a") == speeds.slowdown("b") == 1.0


def _candidate(server_id: str, tokens: int, slowdown: float) -> Candidate:
    load = LoadEstimate(float(tokens), 0, 0, 0.0, False, slowdown)
    return Candidate(server_id, True, 8, load, 1000)


class TestChoice:
    """Scores and predictions with speeds."""

    def test_slow_server_with_shorter_queue_is_avoided(self) -> None:
        """Guards against queues that are compared without the speed."""
        choice = choose_server(
            [_candidate("slow", 1000, 2.5), _candidate("usual", 3000, 1.0)],
            "key",
            0.0001,
            0.1,
        )
        assert choice.server_id == "usual"
        assert choice.first_event_s == pytest.approx(0.5)

    def test_prediction_scales_with_slowdown(self) -> None:
        choice = choose_server(
            [_candidate("slow", 1000, 2.5)], "key", 0.0001, 0.1
        )
        assert choice.first_event_s == pytest.approx(0.6)


@pytest.mark.anyio
class TestReplay:
    """15% of the servers are 2.5 times slower, redrawn every 0.6 s."""

    @pytest.mark.parametrize("seed", [11, 12, 13])
    async def test_utility_is_higher_with_statements(self, seed: int) -> None:
        """Guards against prompts that queue at servers that state slowness."""
        prompts = arrivals(seed, 8.0, lambda kind, now: 6.5)

        async def utility(policy: Policy, stated: bool) -> float:
            slow = SlowServers(seed, stated)
            result = await replay(prompts, policy, 10, slow_servers=slow)
            return result.utility_share()

        own = await utility(place_without_refusal, True)
        assert own > await utility(place_without_refusal, False)
        for policy in (random_policy(seed), least_outstanding):
            assert own > await utility(policy, True)
