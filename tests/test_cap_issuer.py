"""Tests of the decisions on an organisation's cap for the whole fleet."""

from math import inf

import pytest

from wasabiwing.cap_issuer import CapIssuer
from wasabiwing.cap_issuer import LATE_REFUND_SHARE
from wasabiwing.cap_issuer import MAX_DEBT_SHARE
from wasabiwing.cap_issuer import MAX_RETURN_S
from wasabiwing.cap_issuer import REPORTED_MARGIN_SHARE
from wasabiwing.cap_issuer import RESERVE_SHARE
from wasabiwing.cap_issuer import TOLERANCE_SHARE
from wasabiwing.cap_issuer import YOUNG_S
from wasabiwing.messages import CapDecision
from wasabiwing.messages import CapRequest
from wasabiwing.messages import CapSpent
from wasabiwing.messages import OrganisationCap
from wasabiwing.timers import FakeTimer
from wasabiwing.usage_caps import CapTolerance

pytestmark = pytest.mark.anyio

CAP = OrganisationCap("north", 1, 1000.0, 2000.0)
TOLERANCE = CapTolerance(8.0, 0.1, 0.0)
CAPACITY = 2000.0 + TOLERANCE.amount(1000.0, 2000.0) * TOLERANCE_SHARE


class Fleet:
    """An issuer, with what it hears of the other nodes."""

    def __init__(self, known_level: float = inf) -> None:
        self.timer = FakeTimer()
        self.heard_share = 1.0
        self.known_level = known_level
        self.issuer = CapIssuer(
            self.timer,
            TOLERANCE,
            lambda: self.heard_share,
            lambda cap: self.known_level,
        )

    def ask(
        self,
        cost: float = 100.0,
        cap: OrganisationCap = CAP,
        acts_first: bool = True,
        is_cautious: bool = False,
    ) -> CapDecision:
        """Returns the decision on one request."""
        request = CapRequest(cap, cost)
        return self.issuer.decide(request, acts_first, is_cautious)

    def admitted(self, count: int, acts_first: bool = True) -> float:
        """Returns what is admitted of equal requests that come at once."""
        return sum(
            100.0
            for _ in range(count)
            if self.ask(acts_first=acts_first).admitted
        )

    async def run(self, seconds: float) -> None:
        """Advances the clock and refills the buckets as a node does."""
        for _ in range(round(seconds / 0.25)):
            await self.timer.advance(0.25)
            self.issuer.refill()


class TestBucket:
    """The bucket of one organisation."""

    async def test_capacity_then_rate(self) -> None:
        fleet = Fleet()
        assert CAPACITY <= fleet.admitted(100) < CAPACITY + 100.0
        await fleet.run(1.0)
        assert 900.0 <= fleet.admitted(100) <= 1000.0

    async def test_request_larger_than_the_burst_is_admitted_once(
        self,
    ) -> None:
        fleet = Fleet()
        assert fleet.ask(50_000.0).admitted
        assert not fleet.ask(1.0).admitted

    async def test_refusal_says_when_a_request_is_admitted(self) -> None:
        fleet = Fleet()
        fleet.admitted(100)
        refusal = fleet.ask(100.0)
        assert not refusal.admitted
        await fleet.timer.advance(refusal.wait_s + 0.001)
        assert fleet.ask(100.0).admitted

    async def test_refused_callers_return_one_after_the_other(self) -> None:
        fleet = Fleet()
        while fleet.ask().admitted:
            pass
        times = [fleet.ask(200.0).return_s for _ in range(30)]
        assert times == sorted(times)
        assert times[0] < times[1] < times[2] <= MAX_RETURN_S
        assert times[-1] == pytest.approx(MAX_RETURN_S)

    async def test_one_request_in_ten_seconds(self) -> None:
        fleet = Fleet()
        cap = OrganisationCap("rare", 1, 0.1, 1.0)
        fleet.known_level = 1.0
        admitted = 0
        for _ in range(240):
            fleet.known_level = inf if admitted else 1.0
            admitted += fleet.ask(1.0, cap).admitted
            await fleet.run(0.25)
        assert 6 <= admitted <= 8

    async def test_suspended_issuer_is_not_refilled_for_its_absence(
        self,
    ) -> None:
        fleet = Fleet()
        fleet.admitted(100)
        await fleet.timer.advance(60.0)
        assert fleet.admitted(100) <= 1100.0

    async def test_debt_is_bounded(self) -> None:
        fleet = Fleet()
        fleet.ask()
        fleet.issuer.note_spent([CapSpent(CAP, 500_000.0)])
        await fleet.run(MAX_DEBT_SHARE * 2.0 + 0.25)
        assert fleet.ask().admitted


class TestWhatOthersSpend:
    """Usage that the issuer has not decided on."""

    def test_it_is_deducted(self) -> None:
        fleet = Fleet()
        fleet.issuer.note_spent([CapSpent(CAP, 1500.0)])
        assert fleet.admitted(100) <= CAPACITY - 1500.0 + 100.0

    def test_nodes_of_an_earlier_build_count(self) -> None:
        """Guards against two builds that each admit the whole cap."""
        fleet = Fleet()
        fleet.ask()
        fleet.known_level = -2000.0 * REPORTED_MARGIN_SHARE
        assert not fleet.ask().admitted

    def test_quick_refunds_count_in_full(self) -> None:
        fleet = Fleet()
        fleet.admitted(100)
        fleet.issuer.note_spent([CapSpent(CAP, -1000.0)])
        assert fleet.admitted(100) >= 900.0

    async def test_late_refunds_do_not_exceed_the_cap(self) -> None:
        """Guards against requests that wait and lend their charge twice."""
        fleet = Fleet()
        fleet.admitted(100)
        for _ in range(8):
            fleet.issuer.note_spent([CapSpent(CAP, 0.0, 1000.0)])
        most = TOLERANCE.amount(1000.0, 2000.0) * LATE_REFUND_SHARE
        assert fleet.admitted(100) <= most + 100.0


class TestConfiguration:
    """Caps that change while requests come."""

    def test_lower_cap_holds_at_once(self) -> None:
        fleet = Fleet()
        fleet.ask()
        lower = OrganisationCap("north", 2, 10.0, 20.0)
        fleet.ask(1.0, lower)
        admitted = sum(fleet.ask(1.0, lower).admitted for _ in range(100))
        assert admitted <= 40

    def test_node_with_an_older_configuration_changes_nothing(self) -> None:
        fleet = Fleet()
        lower = OrganisationCap("north", 2, 10.0, 20.0)
        fleet.ask(1.0, lower)
        assert fleet.admitted(100) <= 200.0


class TestOtherChoice:
    """A node that decides beside a better choice."""

    def test_a_reserve_is_left_to_the_better_choice(self) -> None:
        fleet = Fleet()
        admitted = fleet.admitted(100, acts_first=False)
        assert admitted <= CAPACITY * (1.0 - RESERVE_SHARE) + 100.0
        assert fleet.admitted(100) > 0.0

    async def test_half_of_the_rate_is_issued_at_first(self) -> None:
        fleet = Fleet()
        fleet.admitted(100)
        fleet.ask(is_cautious=True)
        await fleet.run(1.0)
        assert fleet.admitted(100) <= 600.0

    async def test_part_of_a_fleet_gets_its_share(self) -> None:
        fleet = Fleet()
        await fleet.run(YOUNG_S)
        fleet.heard_share = 0.25
        assert fleet.admitted(100) <= CAPACITY * 0.25 + 100.0
        await fleet.run(1.0)
        assert fleet.admitted(100) <= 350.0

    def test_started_node_says_so_and_takes_the_level_of_another(
        self,
    ) -> None:
        fleet = Fleet(known_level=500.0)
        decision = fleet.ask()
        assert decision.is_young
        fleet.issuer.adopt_level("north", 1900.0)
        assert fleet.admitted(100) == 1900.0


class TestState:
    """What an operator is told."""

    def test_state_of_a_cap_that_denies(self) -> None:
        fleet = Fleet()
        granted = fleet.admitted(50)
        fleet.issuer.note_spent([CapSpent(CAP, 300.0)])
        [state] = fleet.issuer.take_states()
        assert state.granted == granted
        assert state.spent == 300.0
        assert state.denials == 50 - granted / 100.0
        assert fleet.issuer.take_states() == ()
