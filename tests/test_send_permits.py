"""Tests of permits for requests to servers that limit their rate."""

from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from tests.permit_fleet import allowed_requests
from tests.permit_fleet import permit_fleet
from tests.permit_fleet import PermitFleet
from tests.permit_fleet import SERVICE
from tests.policy_examples import SilentTransport
from wasabiwing.facts import Facts
from wasabiwing.messages import PermitRequest
from wasabiwing.permit_issuer import MAX_RETURN_S
from wasabiwing.permit_issuer import PermitIssuer
from wasabiwing.permit_issuer import TRIAL_PER_S
from wasabiwing.rendezvous import owner
from wasabiwing.server_limits import ServerLimits
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio

CONTACT_S = 3.0
TRAFFIC_S = 15.0

# Share of the limits that should be used while callers send more.
USED_SHARE = 0.8

FLEET_SIZES = (1, 3, 7, 195)


def check_limits(fleet: PermitFleet, since: float) -> None:
    """Checks the worst window of each server that names a limit."""
    for server in fleet.servers:
        if server.limit_per_s is not None:
            worst = server.worst_window(since)
            assert worst <= allowed_requests(server.limit_per_s), server.id


def used_share(fleet: PermitFleet, since: float) -> float:
    """Returns the used share of the limits since a time."""
    seconds = fleet.timer.now() - since
    limited = [item for item in fleet.servers if item.limit_per_s]
    used = sum(item.count(since, fleet.timer.now()) for item in limited)
    limit = sum(item.limit_per_s or 0.0 for item in limited)
    return used / (limit * seconds)


def issuer(timer: FakeTimer) -> PermitIssuer:
    """Returns an issuer that knows limits from requests only."""
    facts = Facts(timer, SilentTransport(), Random(1), tuple)
    return PermitIssuer(timer, ServerLimits("node", timer, facts))


def request(
    limits: dict[str, float],
    waiting: int,
    urgency: int = 0,
    wait_s: float = 0.1,
    expected: int = 0,
) -> PermitRequest:
    """Returns a request for permits of one service."""
    return PermitRequest(
        SERVICE, tuple(limits.items()), waiting, urgency, wait_s, expected
    )


class TestFleets:
    """Limits that all processes of a fleet keep together."""

    @pytest.mark.parametrize("size", FLEET_SIZES)
    async def test_one_server_of_six_gets_what_it_named(
        self, size: int
    ) -> None:
        """Nobody is refused: the other servers take the rest."""
        async with permit_fleet(size, [1.5, *[None] * 5]) as fleet:
            since = fleet.timer.now() + CONTACT_S
            await fleet.send(TRAFFIC_S, 48.0)
            check_limits(fleet, since)
            assert used_share(fleet, since) >= USED_SHARE
            assert fleet.outcomes_by_urgency[0].served_share == 1.0

    @pytest.mark.parametrize("size", FLEET_SIZES)
    async def test_limits_that_are_too_small_together_are_used(
        self, size: int
    ) -> None:
        """The more urgent requests get the larger part; refusals are quick."""
        async with permit_fleet(size, [4.0] * 6) as fleet:
            since = fleet.timer.now() + CONTACT_S
            await fleet.send(TRAFFIC_S, 48.0, (0, 2))
            check_limits(fleet, since)
            assert used_share(fleet, since) >= USED_SHARE
            urgent = fleet.outcomes_by_urgency[0]
            others = fleet.outcomes_by_urgency[2]
            assert urgent.served_share > others.served_share + 0.2
            # In fake time; requests may wait 0.075 s.
            assert urgent.median_refusal_s <= 0.075
            assert others.median_refusal_s <= 0.075

    @pytest.mark.parametrize("size", FLEET_SIZES)
    async def test_limits_that_suffice_refuse_nobody(self, size: int) -> None:
        async with permit_fleet(size, [4.0] * 6) as fleet:
            await fleet.send(CONTACT_S, 12.0)
            fleet.outcomes_by_urgency.clear()
            since = fleet.timer.now()
            await fleet.send(TRAFFIC_S, 12.0)
            check_limits(fleet, since)
            assert fleet.outcomes_by_urgency[0].served_share == 1.0

    @pytest.mark.parametrize("limit", [0.0, 0.3, 1.1, 1000.0])
    async def test_small_and_large_limits(self, limit: float) -> None:
        async with permit_fleet(7, [limit, None]) as fleet:
            since = fleet.timer.now() + CONTACT_S
            await fleet.send(TRAFFIC_S, 10.0)
            check_limits(fleet, since)
            assert fleet.outcomes_by_urgency[0].served_share == 1.0
            if limit > 0.0:
                expected = min(limit, 5.0) * TRAFFIC_S * USED_SHARE
                arrivals = fleet.servers[0].count(since - CONTACT_S, 1e9)
                assert arrivals >= int(expected)

    async def test_end_of_a_limit_of_zero_is_noticed(self) -> None:
        async with permit_fleet(3, [0.0]) as fleet:
            await fleet.send(2.0, 10.0)
            fleet.servers[0].limit_per_s = None
            await fleet.send(2.0 / TRIAL_PER_S, 10.0)
            begin = fleet.timer.now()
            await fleet.send(5.0, 10.0)
            assert fleet.servers[0].count(begin, 1e9) >= 0.8 * 50

    async def test_limit_that_falls_and_rises_is_followed(self) -> None:
        async with permit_fleet(7, [10.0, 10.0]) as fleet:
            for limit in (1.1, 10.0, 0.5, 20.0):
                for server in fleet.servers:
                    server.limit_per_s = limit
                await fleet.send(CONTACT_S, 40.0)
                since = fleet.timer.now()
                await fleet.send(6.0, 40.0)
                check_limits(fleet, since)
                assert used_share(fleet, since) >= USED_SHARE


class TestTrouble:
    """Processes that end, come, are cut off or do not answer."""

    @pytest.mark.parametrize("size", [3, 7])
    async def test_issuers_that_end_one_after_the_other(
        self, size: int
    ) -> None:
        async with permit_fleet(size, [1.5] * 4) as fleet:
            await fleet.send(CONTACT_S, 20.0)
            since = fleet.timer.now()
            while len(fleet.senders) > 1:
                by_id = {item.id: item for item in fleet.senders}
                fleet.stop(by_id[owner(SERVICE, by_id) or ""])
                fleet.senders = [
                    item for item in fleet.senders if not item.stopped
                ]
                fleet.weights = [1.0] * len(fleet.senders)
                await fleet.send(3.0, 20.0)
            check_limits(fleet, since)
            assert used_share(fleet, since) >= USED_SHARE

    async def test_issuer_that_stays_registered_but_does_not_answer(
        self,
    ) -> None:
        async with permit_fleet(7, [1.5] * 4) as fleet:
            await fleet.send(CONTACT_S, 20.0)
            since = fleet.timer.now()
            issuer_id = owner(SERVICE, [item.id for item in fleet.senders])
            fleet.network.blocked.update(
                (other.address, f"tcp://{issuer_id}")
                for other in fleet.senders
                if other.id != issuer_id
            )
            await fleet.send(TRAFFIC_S, 20.0)
            check_limits(fleet, since)
            assert fleet.outcomes_by_urgency[0].served > 0

    async def test_two_halves_of_a_fleet_keep_a_limit_together(self) -> None:
        async with permit_fleet(7, [8.0] * 2) as fleet:
            await fleet.send(CONTACT_S, 40.0)
            for sender in fleet.senders[:3]:
                fleet.network.group_by_address[sender.address] = 1
            since = fleet.timer.now()
            await fleet.send(TRAFFIC_S, 40.0)
            check_limits(fleet, since)
            assert used_share(fleet, since) >= USED_SHARE

    async def test_lost_messages_neither_exceed_nor_waste_a_limit(
        self,
    ) -> None:
        async with permit_fleet(7, [1.5] * 4) as fleet:
            fleet.network.loss_share = 0.1
            since = fleet.timer.now() + CONTACT_S
            await fleet.send(TRAFFIC_S, 20.0)
            check_limits(fleet, since)
            assert used_share(fleet, since) >= USED_SHARE


class TestIssuer:
    """Who gets the next permit, and what the others are told."""

    async def test_wait_that_cannot_end_in_time_is_no_wait(self) -> None:
        timer = FakeTimer()
        issuing = issuer(timer)
        assert issuing.issue("a", request({"s": 1.0}, 1)).wait_s == 0.0
        grant = issuing.issue("b", request({"s": 1.0}, 1))
        assert (grant.granted, grant.wait_s) == ((), 0.5)
        # The refused request holds no place: a later one gets the permit.
        await timer.advance(0.5)
        grant = issuing.issue("c", request({"s": 1.0}, 1, urgency=2))
        assert grant.granted == (("s", 1),)

    async def test_more_urgent_requests_that_wait_go_first(self) -> None:
        timer = FakeTimer()
        issuing = issuer(timer)
        issuing.issue("a", request({"s": 10.0}, 6))
        assert issuing.issue("b", request({"s": 10.0}, 1, 0, 0.2)).wait_s > 0
        await timer.advance(0.1)
        late = issuing.issue("c", request({"s": 10.0}, 1, 2, 0.2))
        assert not late.granted and late.wait_s > 0.0
        urgent = issuing.issue("b", request({"s": 10.0}, 1, 0, 0.2))
        assert urgent.granted == (("s", 1),)

    async def test_refused_callers_return_one_after_the_other(self) -> None:
        issuing = issuer(FakeTimer())
        issuing.issue("a", request({"s": 2.0}, 2))
        returns = [
            issuing.issue(f"n{number}", request({"s": 2.0}, 1)).return_s
            for number in range(6)
        ]
        assert returns == sorted(returns)
        assert returns[0] >= 0.5 and returns[1] > returns[0]
        assert returns[-1] == MAX_RETURN_S

    async def test_returned_permits_can_be_issued_again(self) -> None:
        issuing = issuer(FakeTimer())
        issuing.issue("a", request({"s": 2.0}, 2))
        assert not issuing.issue("b", request({"s": 2.0}, 1)).granted
        back = PermitRequest(SERVICE, (), 0, 0, 0.0, 0, (("s", 1),))
        issuing.issue("a", back)
        assert issuing.issue("b", request({"s": 2.0}, 1)).granted

    @settings(deadline=None)
    @given(
        limit=st.floats(0.1, 40.0),
        asks=st.lists(
            st.tuples(
                st.floats(0.0, 0.5),
                st.integers(0, 9),
                st.integers(0, 9),
                st.integers(0, 2),
                st.integers(0, 3),
            ),
            max_size=60,
        ),
    )
    def test_issued_permits_stay_within_the_limit(
        self,
        limit: float,
        asks: list[tuple[float, int, int, int, int]],
    ) -> None:
        timer = FakeTimer()
        issuing = issuer(timer)
        began = timer.now()
        issued = 0
        for gap_s, waiting, expected, urgency, asker in asks:
            timer._now += gap_s
            grant = issuing.issue(
                f"n{asker}",
                request({"s": limit}, waiting, urgency, 0.1, expected),
            )
            issued += sum(count for _, count in grant.granted)
            elapsed_s = timer.now() - began
            assert issued <= limit * (elapsed_s + 0.5) + 1.0 + 1e-6
