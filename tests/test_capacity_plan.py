"""Tests of the plan for backend servers: zones, kinds and reclaims."""

from random import Random

import pytest

from wasabiwing.capacity_plan import busy_server_count
from wasabiwing.capacity_plan import MIN_ON_DEMAND_SERVERS
from wasabiwing.capacity_plan import MIN_SERVERS
from wasabiwing.capacity_plan import plan_servers
from wasabiwing.capacity_plan import ServerCount
from wasabiwing.service_configuration import ScaleLimits

ZONES = ("a", "b", "c")

LIMITS = ScaleLimits(
    min_servers=1,
    max_servers=3,
    boot_s=4.0,
    reclaimable_price=0.22,
    price_by_zone={"a": 0.85, "b": 1.2, "c": 1.0},
)

LARGE_LIMITS = ScaleLimits(1, 32, 4.0, 0.22, LIMITS.price_by_zone)

ALL_EXHAUSTED = frozenset(ZONES)

Counts = dict[tuple[str, bool], int]


def plan(
    needed: int,
    ready: Counts,
    booting: Counts | None = None,
    exhausted_zones: frozenset[str] = frozenset(),
    limits: ScaleLimits = LIMITS,
    may_shrink: bool = True,
    kept: int = 0,
    refusing_zones: frozenset[str] = frozenset(),
) -> Counts:
    """Returns the numbers after the plan, by zone and kind."""
    counts = []
    result: Counts = {}
    for zone in ZONES:
        for kind in (False, True):
            key = (zone, kind)
            warm = ready.get(key, 0)
            expected = warm + (booting or {}).get(key, 0)
            counts.append(ServerCount(zone, kind, warm, expected))
            result[key] = expected
    orders = plan_servers(
        needed,
        ZONES,
        limits,
        counts,
        exhausted_zones,
        may_shrink,
        kept,
        refusing_zones,
    )
    for order in orders:
        result[(order.availability_zone, order.reclaimable)] = order.count
    return result


def total(counts: Counts, reclaimable: bool | None = None) -> int:
    """Returns the number of servers of a kind, or of both."""
    return sum(
        count
        for (_, kind), count in counts.items()
        if reclaimable in (None, kind)
    )


def settled(needed: int, ready: Counts) -> Counts:
    """Applies plans until nothing changes; servers boot immediately."""
    for _ in range(20):
        wanted = plan(needed, ready)
        if wanted == ready:
            return wanted
        ready = wanted
    raise AssertionError("the plan never settles")


class TestNeed:
    """How many servers a demand needs."""

    def test_small_demand_gets_the_least_number(self) -> None:
        assert busy_server_count(0.0) == 0
        assert total(settled(0, {})) >= MIN_SERVERS

    def test_need_grows_with_demand(self) -> None:
        assert (
            busy_server_count(3.0)
            > busy_server_count(1.5)
            > busy_server_count(0.1)
            > 0
        )


class TestAllAvailable:
    """Servers of both kinds are available in all zones."""

    @pytest.mark.parametrize("needed", range(3, 6))
    def test_on_demand_servers_are_replaced_by_reclaimable_ones(
        self, needed: int
    ) -> None:
        wanted = settled(needed, {("a", False): 2, ("b", False): 1})
        assert total(wanted, False) == MIN_ON_DEMAND_SERVERS
        assert total(wanted, True) >= needed

    @pytest.mark.parametrize("needed", range(3, 6))
    def test_loss_of_a_zones_reclaimable_servers_leaves_the_need(
        self, needed: int
    ) -> None:
        wanted = settled(needed, {})
        for zone in ZONES:
            assert total(wanted) - wanted[(zone, True)] >= needed
            assert wanted[(zone, False)] + wanted[(zone, True)] >= 1

    def test_the_need_stays_warm_while_others_boot(self) -> None:
        at_start: Counts = {("a", False): 2, ("b", False): 2}
        booting: Counts = {("a", True): 1, ("b", True): 1, ("c", True): 3}
        wanted = plan(3, at_start, booting)
        assert total(wanted, False) == 3

    def test_booting_servers_are_not_ordered_again(self) -> None:
        """Guards against orders that oscillate while servers boot."""
        booting: Counts = {
            ("a", False): MIN_ON_DEMAND_SERVERS,
            ("a", True): 2,
            ("b", True): 2,
            ("c", True): 1,
        }
        assert plan(3, {}, booting) == {
            (zone, kind): booting.get((zone, kind), 0)
            for zone in ZONES
            for kind in (False, True)
        }

    def test_no_zone_exceeds_its_limit(self) -> None:
        random = Random(3)
        for _ in range(200):
            ready: Counts = {}
            for zone in ZONES:
                ready[(zone, False)] = random.randint(0, 1)
                ready[(zone, True)] = random.randint(0, 2)
            wanted = plan(random.randint(1, 15), ready)
            for zone in ZONES:
                both = wanted[(zone, False)] + wanted[(zone, True)]
                assert both <= LIMITS.max_servers

    def test_without_reclaimable_servers_all_are_on_demand(self) -> None:
        limits = ScaleLimits(1, 3, 4.0, 0.0, LIMITS.price_by_zone)
        wanted = plan(4, {}, limits=limits)
        assert total(wanted, True) == 0
        assert total(wanted, False) >= 4

    def test_no_zones_give_no_orders(self) -> None:
        assert plan_servers(3, (), LIMITS, (), frozenset(), True) == ()


class TestReclaim:
    """Servers are reclaimed and no other reclaimable ones are available."""

    def test_servers_that_are_left_stay(self) -> None:
        """Guards against the release of servers that survived a reclaim."""
        left: Counts = {("a", True): 1, ("b", True): 1}
        wanted = plan(3, left, exhausted_zones=ALL_EXHAUSTED)
        assert wanted[("a", True)] == 1
        assert wanted[("b", True)] == 1
        assert wanted[("c", True)] == 0

    @pytest.mark.parametrize("left", [0, 1, 2])
    def test_on_demand_servers_cover_the_loss_of_all_others(
        self, left: int
    ) -> None:
        """Guards against a single server left after further reclaims."""
        zones: Counts = {("a", True): left, ("b", True): 1}
        wanted = plan(3, zones, exhausted_zones=ALL_EXHAUSTED)
        assert total(wanted, False) >= 3

    def test_with_five_zones_a_wave_leaves_two(self) -> None:
        """Guards against too many on-demand servers with five zones.

        They must not cover the loss of the reclaimable servers of all zones.
        """
        zones = ("a", "b", "c", "d", "e")
        counts = [ServerCount(zone, True, 5, 5) for zone in zones]
        orders = plan_servers(
            12, zones, LARGE_LIMITS, counts, frozenset("a"), False
        )
        on_demand = sum(
            order.count for order in orders if not order.reclaimable
        )
        kept = 2 * 5
        assert on_demand + kept >= 12
        assert on_demand < 12

    def test_on_demand_servers_that_boot_are_kept(self) -> None:
        """Guards against orders that oscillate after a reclaim."""
        left: Counts = {("a", True): 1}
        booting: Counts = {("b", False): 1, ("c", False): 1}
        once = plan(3, left, booting, exhausted_zones=ALL_EXHAUSTED)
        assert once == plan(
            3, left, booting, exhausted_zones=ALL_EXHAUSTED, may_shrink=False
        )
        assert once[("b", False)] == 1
        assert once[("c", False)] == 1

    def test_reclaimable_servers_return_when_they_can_be_had(self) -> None:
        wanted = settled(3, {("a", True): 1, ("b", False): 2})
        assert total(wanted, False) == MIN_ON_DEMAND_SERVERS


class TestKeptServers:
    """Servers that remain whatever the load."""

    def test_on_demand_servers_wait_for_as_many_warm_reclaimable_ones(
        self,
    ) -> None:
        """Guards against release of deployed servers before traffic."""
        deployed: Counts = {(zone, False): 4 for zone in ZONES}
        booting: Counts = {(zone, True): 4 for zone in ZONES}
        wanted = plan(3, deployed, booting, limits=LARGE_LIMITS, kept=12)
        assert total(wanted, False) == 12
        assert total(wanted, True) == 12
        warm = plan(3, deployed | booting, limits=LARGE_LIMITS, kept=12)
        assert total(warm, False) == MIN_ON_DEMAND_SERVERS
        assert total(warm, True) == 12

    def test_full_zones_replace_them_step_by_step(self) -> None:
        """Guards against zones without room that keep the full price."""
        ready: Counts = {(zone, False): 3 for zone in ZONES}
        for _ in range(20):
            ready = plan(3, ready, kept=8)
            assert total(ready) >= 8
        assert total(ready, False) <= MIN_ON_DEMAND_SERVERS


class TestEvenZones:
    """Reclaimable servers after the loss of a zone, and after its return."""

    def test_surplus_is_released_in_the_fullest_zone(self) -> None:
        """Guards against zones that have to be covered by on-demand servers.

        All surplus was released in the dearest zone: 14, 14 and 3 servers
        were left of 41.
        """
        ready: Counts = {("a", True): 14, ("b", True): 13, ("c", True): 14}
        ready[("a", False)] = 1
        wanted = plan(21, ready, limits=LARGE_LIMITS)
        counts = [wanted[(zone, True)] for zone in ZONES]
        assert max(counts) - min(counts) <= 1
        assert total(wanted, False) == MIN_ON_DEMAND_SERVERS

    def test_two_zones_cover_each_other_while_one_refuses(self) -> None:
        """Guards against on-demand servers where others cost less."""
        ready: Counts = {("a", True): 11, ("c", True): 11, ("a", False): 1}
        wanted = plan(
            22,
            ready,
            limits=LARGE_LIMITS,
            refusing_zones=frozenset(("b",)),
        )
        assert wanted[("b", True)] == 0
        for zone in ("a", "c"):
            assert total(wanted) - wanted[(zone, True)] >= 22
        # One in each zone is the least number of the configuration.
        assert total(wanted, False) <= MIN_ON_DEMAND_SERVERS + 1

    def test_a_zone_that_returns_gets_its_share_first(self) -> None:
        ready: Counts = {("a", True): 21, ("c", True): 21, ("a", False): 1}
        wanted = plan(22, ready, limits=LARGE_LIMITS)
        assert wanted[("b", True)] >= 10
        assert wanted[("a", True)] == wanted[("c", True)] == 21
        settled_again = plan(22, wanted, limits=LARGE_LIMITS)
        assert total(settled_again, True) < total(wanted, True)
        for zone in ZONES:
            left = total(settled_again) - settled_again[(zone, True)]
            assert left >= 22
