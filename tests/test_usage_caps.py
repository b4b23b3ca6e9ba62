"""Tests of usage caps that all nodes share."""

from random import Random

import pytest

from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.timers import FakeTimer
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import CapUsage
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


def admitted_tokens(node_caps: UsageCaps, requests: int, tokens: int) -> int:
    """Returns the tokens admitted when equal requests arrive at once."""
    return sum(
        tokens
        for _ in range(requests)
        if node_caps.admit(NORTH, tokens) is None
    )


@pytest.mark.anyio
class TestOneNode:
    """The token bucket of one node."""

    async def test_burst_then_rate(self) -> None:
        timer = FakeTimer()
        node_caps = caps(timer)
        assert admitted_tokens(node_caps, 50, 100) == 2000
        await timer.advance(1.0)
        assert admitted_tokens(node_caps, 50, 100) == 1000

    async def test_refusal_says_when_the_request_fits(self) -> None:
        timer = FakeTimer()
        node_caps = caps(timer)
        admitted_tokens(node_caps, 50, 100)
        refusal = node_caps.admit(NORTH, 500)
        assert refusal is not None
        await timer.advance(refusal.retry_after_s)
        assert node_caps.admit(NORTH, 500) is None

    async def test_plain_requests_count_for_a_fixed_amount(self) -> None:
        node_caps = caps(FakeTimer())
        admitted = sum(node_caps.admit(NORTH, None) is None for _ in range(50))
        assert admitted == 2000 / NORTH.default_tokens

    async def test_request_that_did_not_run_is_given_back(self) -> None:
        node_caps = caps(FakeTimer())
        admitted_tokens(node_caps, 50, 100)
        node_caps.refund(NORTH, 100)
        assert admitted_tokens(node_caps, 5, 100) == 100

    async def test_no_rate_means_no_cap(self) -> None:
        node_caps = caps(FakeTimer())
        free = OrganisationProfile("free", frozenset())
        assert all(node_caps.admit(free, 10_000) is None for _ in range(100))

    async def test_restarted_node_does_not_grant_the_burst_again(
        self,
    ) -> None:
        node_caps = caps(FakeTimer(), first_start=False)
        assert admitted_tokens(node_caps, 50, 100) < 1000


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
            node_caps = random.choice(nodes)
            tokens = random.randint(20, 150)
            if node_caps.admit(NORTH, tokens) is None:
                admitted.append((timer.now(), tokens))
            if timer.now() >= next_report:
                next_report += REPORT_S
                for number, sender in enumerate(nodes):
                    for receiver in nodes:
                        if receiver is not sender:
                            uses = sender.own_usage()
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
        node_caps = caps(timer, heard_share=0.25)
        admitted_tokens(node_caps, 50, 100)
        await timer.advance(2.0)
        assert admitted_tokens(node_caps, 50, 100) == 500


class TestFirstRequest:
    """A node that hears of an organisation before its first request."""

    def test_what_others_have_used_is_known(self) -> None:
        timer = FakeTimer()
        node_caps = caps(timer)
        node_caps.deduct_peer_usage("north", 1900.0, 100.0)
        assert admitted_tokens(node_caps, 50, 100) == 100

    @pytest.mark.anyio
    async def test_an_old_level_is_not_used(self) -> None:
        timer = FakeTimer()
        node_caps = caps(timer)
        node_caps.deduct_peer_usage("north", 1900.0, 100.0)
        await timer.advance(PEER_LEVEL_MAX_AGE_S + 0.1)
        assert admitted_tokens(node_caps, 50, 100) == 2000

    def test_corrections_are_given_back(self) -> None:
        timer = FakeTimer()
        node_caps = caps(timer)
        node_caps.admit(NORTH, 100)
        node_caps.deduct_peer_usage("north", 500.0, 0.0)
        node_caps.deduct_peer_usage("north", -200.0, 0.0)
        [use] = node_caps.own_usage()
        assert use.level == 2000.0 - 100.0 - 300.0

    def test_totals_from_before_a_restart_are_not_deducted(self) -> None:
        """Guards against refusals within the cap by restarted nodes."""
        node_caps = caps(FakeTimer(), first_start=False)
        node_caps.admit(NORTH, 1)
        for number in range(6):
            use = CapUsage("north", 50_000.0, 1_900.0)
            node_caps.note_peer_usage(f"node-{number}", [use], 60.0)
        assert node_caps.admit(NORTH, 100) is None
        use = CapUsage("north", 50_300.0, 1_600.0)
        node_caps.note_peer_usage("node-1", [use], 60.0)
        [own] = node_caps.own_usage()
        assert own.level == 500.0 - 1.0 - 100.0 - 300.0

    def test_all_that_a_new_node_admitted_is_deducted(self) -> None:
        node_caps = caps(FakeTimer(), first_start=False)
        node_caps.admit(NORTH, 1)
        use = CapUsage("north", 100.0, 1_900.0)
        node_caps.note_peer_usage("node-1", [use], 60.0)
        node_caps.note_peer_usage("node-2", [use], 0.5)
        [own] = node_caps.own_usage()
        assert own.level == 500.0 - 1.0 - 100.0

    @pytest.mark.anyio
    async def test_a_moment_without_others_does_not_cost_the_refill(
        self,
    ) -> None:
        """Guards against refusals after a short loss of all other nodes.

        The share of heard nodes at the refill applied to the whole time since
        the refill before.
        """
        timer = FakeTimer()
        shares = [1.0]
        node_caps = UsageCaps(timer, True, lambda: shares[0], NO_TOLERANCE)
        node_caps.admit(NORTH, 100)
        node_caps.deduct_peer_usage("north", 3900.0, -2000.0)
        for _ in range(20):
            await timer.advance(REPORT_S)
            node_caps.refill_buckets()
        shares[0] = 0.01
        await timer.advance(REPORT_S)
        assert node_caps.admit(NORTH, 100) is None


@pytest.mark.anyio
class TestState:
    """What an operator is told of a cap that is nearly used up."""

    async def test_state_says_what_the_node_knew_and_did(self) -> None:
        timer = FakeTimer()
        node_caps = caps(timer, heard_share=0.5)
        admitted_tokens(node_caps, 8, 100)
        node_caps.deduct_peer_usage("north", 900.0, 1100.0)
        node_caps.refund(NORTH, 100)
        await timer.advance(0.5)
        admitted_tokens(node_caps, 9, 100)
        [state] = node_caps.take_states()
        assert state.organisation == "north"
        assert state.level == pytest.approx(-50.0)
        assert state.news_age_s == pytest.approx(0.5)
        assert (state.heard_share, state.refusals) == (0.5, 2)
        assert (state.admitted, state.refunded) == (1500.0, 100.0)
        assert state.deducted == 900.0

    def test_organisations_far_from_their_cap_are_left_out(self) -> None:
        node_caps = caps(FakeTimer())
        node_caps.admit(NORTH, 100)
        assert node_caps.take_states() == ()

    def test_counts_begin_anew(self) -> None:
        node_caps = caps(FakeTimer())
        admitted_tokens(node_caps, 50, 100)
        assert node_caps.take_states()
        assert node_caps.take_states() == ()
