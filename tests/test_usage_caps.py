"""Tests of usage caps that all nodes share."""

from random import Random

import pytest

from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.timers import FakeTimer
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import PEER_LEVEL_MAX_AGE_S
from wasabiwing.usage_caps import UsageCaps

NORTH = OrganisationProfile(
    name="north",
    api_keys=frozenset({"key"}),
    counts_tokens=True,
    default_tokens=200,
    rate_per_s=1000.0,
    burst=2000.0,
)

NO_TOLERANCE = CapTolerance(8.0, 0.0, 0.0)

# Time between two reports of a node, in seconds.
REPORT_S = 0.25


def caps(
    timer: FakeTimer,
    first_start: bool = True,
    tolerance: CapTolerance = NO_TOLERANCE,
    heard_share: float = 1.0,
) -> UsageCaps:
    """Returns the caps of one node."""
    return UsageCaps(timer, first_start, lambda: heard_share, tolerance)


def admitted_tokens(found: UsageCaps, requests: int, tokens: int) -> int:
    """Returns how many tokens of equal requests are admitted at once."""
    return sum(
        tokens for _ in range(requests) if found.admit(NORTH, tokens) is None
    )


@pytest.mark.anyio
class TestOneNode:
    """The bucket of one node."""

    async def test_burst_then_rate(self) -> None:
        timer = FakeTimer()
        found = caps(timer)
        assert admitted_tokens(found, 50, 100) == 2000
        await timer.advance(1.0)
        assert admitted_tokens(found, 50, 100) == 1000

    async def test_refusal_says_when_the_request_fits(self) -> None:
        timer = FakeTimer()
        found = caps(timer)
        admitted_tokens(found, 50, 100)
        refusal = found.admit(NORTH, 500)
        assert refusal is not None
        await timer.advance(refusal.retry_after_s)
        assert found.admit(NORTH, 500) is None

    async def test_plain_requests_count_for_a_fixed_amount(self) -> None:
        found = caps(FakeTimer())
        admitted = sum(found.admit(NORTH, None) is None for _ in range(50))
        assert admitted == 2000 / NORTH.default_tokens

    async def test_request_that_did_not_run_is_given_back(self) -> None:
        found = caps(FakeTimer())
        admitted_tokens(found, 50, 100)
        found.refund(NORTH, 100)
        assert admitted_tokens(found, 5, 100) == 100

    async def test_no_rate_means_no_cap(self) -> None:
        found = caps(FakeTimer())
        free = OrganisationProfile("free", frozenset())
        assert all(found.admit(free, 10_000) is None for _ in range(100))

    async def test_restarted_node_does_not_grant_the_burst_again(
        self,
    ) -> None:
        found = caps(FakeTimer(), first_start=False)
        assert admitted_tokens(found, 50, 100) < 1000


@pytest.mark.anyio
class TestManyNodes:
    """One organisation floods all nodes at once."""

    @pytest.mark.parametrize("seed", range(8))
    async def test_all_nodes_together_stay_within_cap_and_tolerance(
        self, seed: int
    ) -> None:
        random = Random(seed)
        timer = FakeTimer()
        slack = 2000.0
        tolerance = CapTolerance(8.0, 0.1, slack)
        nodes = [caps(timer, tolerance=tolerance) for _ in range(7)]
        admitted: list[tuple[float, int]] = []
        next_report = timer.now()
        while timer.now() < 1030.0:
            await timer.advance(0.02)
            found = random.choice(nodes)
            tokens = random.randint(20, 150)
            if found.admit(NORTH, tokens) is None:
                admitted.append((timer.now(), tokens))
            if timer.now() >= next_report:
                next_report += REPORT_S
                for number, sender in enumerate(nodes):
                    for receiver in nodes:
                        if receiver is not sender:
                            uses = sender.own_use()
                            receiver.note_peer_usage(f"node-{number}", uses)
        bound = (1000.0 * 8 + 2000.0) * 1.1 + slack
        for start, _ in admitted:
            window = sum(
                tokens
                for moment, tokens in admitted
                if start <= moment < start + 8.0
            )
            assert window <= bound

    async def test_silent_peers_leave_only_the_own_share(self) -> None:
        timer = FakeTimer()
        found = caps(timer, heard_share=0.25)
        admitted_tokens(found, 50, 100)
        await timer.advance(2.0)
        assert admitted_tokens(found, 50, 100) == 500


class TestFirstRequest:
    """A node whose first request of an organisation comes late."""

    def test_what_others_have_used_is_known(self) -> None:
        timer = FakeTimer()
        found = caps(timer)
        found.deduct_peer_usage("north", 1900.0, 100.0)
        assert admitted_tokens(found, 50, 100) == 100

    @pytest.mark.anyio
    async def test_an_old_level_is_not_used(self) -> None:
        timer = FakeTimer()
        found = caps(timer)
        found.deduct_peer_usage("north", 1900.0, 100.0)
        await timer.advance(PEER_LEVEL_MAX_AGE_S + 0.1)
        assert admitted_tokens(found, 50, 100) == 2000

    def test_corrections_are_given_back(self) -> None:
        timer = FakeTimer()
        found = caps(timer)
        found.admit(NORTH, 100)
        found.deduct_peer_usage("north", 500.0, 0.0)
        found.deduct_peer_usage("north", -200.0, 0.0)
        [use] = found.own_use()
        assert use.level == 2000.0 - 100.0 - 300.0

    @pytest.mark.anyio
    async def test_a_moment_without_others_does_not_cost_the_refill(
        self,
    ) -> None:
        """Found on the bench, bagline-large, trouble-3: false refusals."""
        timer = FakeTimer()
        shares = [1.0]
        found = UsageCaps(timer, True, lambda: shares[0], NO_TOLERANCE)
        found.admit(NORTH, 100)
        found.deduct_peer_usage("north", 3900.0, -2000.0)
        for _ in range(20):
            await timer.advance(REPORT_S)
            found.refill_buckets()
        shares[0] = 0.01
        await timer.advance(REPORT_S)
        assert found.admit(NORTH, 100) is None
