"""Replays of load patterns on the server orders of several nodes."""

from collections.abc import Callable
from math import pi
from math import sin

import pytest

from tests.server_fleet import Fleet
from tests.server_fleet import ZONES
from wasabiwing.capacity_plan import MIN_ON_DEMAND_SERVERS
from wasabiwing.capacity_plan import RESERVE_SHARE
from wasabiwing.capacity_plan import TARGET_UTILISATION
from wasabiwing.deployed_servers import MAX_IDLE_S

# Servers that the operator deployed, and a load that keeps them half busy.
DEPLOYED = 16
FULL_LOAD = 8.0

USUAL_LOAD = 8.0


def no_load(elapsed_s: float) -> float:
    """Returns no work at any time."""
    return 0.0


def full_load(elapsed_s: float) -> float:
    """Returns the full rate at any time."""
    return FULL_LOAD


@pytest.mark.anyio
class TestFirstSeconds:
    """Sixteen seconds without a request, then the full rate."""

    @pytest.mark.parametrize("new_nodes", [False, True])
    async def test_deployed_servers_remain_while_holders_change(
        self, new_nodes: bool
    ) -> None:
        """Guards against release of deployed servers before traffic.

        Of 16 servers, 9 were left when the first request came: the second
        holder knew 10 of them, and an order of the first one, which knew
        fewer, replaced the number of a whole zone.
        """
        fleet = Fleet(DEPLOYED, registered_over_s=3.0)
        await fleet.run(1.0, no_load)
        for seconds in (3.0, 5.0, 4.0, 3.0):
            await fleet.run(seconds, no_load)
            if new_nodes:
                fleet.start_as_holder()
            else:
                fleet.restart_holder()
        assert fleet.warm >= DEPLOYED
        for _ in range(3):
            lowest = await fleet.run(4.0, full_load)
            assert lowest >= DEPLOYED
            fleet.start_as_holder()
        assert fleet.on_time == fleet.arrived

    async def test_deployed_servers_are_replaced_by_reclaimable_ones(
        self,
    ) -> None:
        """Guards against a deployment that is kept at the full price."""
        fleet = Fleet(DEPLOYED)
        assert await fleet.run(16.0, no_load) >= DEPLOYED
        assert fleet.count(reclaimable=False) == MIN_ON_DEMAND_SERVERS
        assert fleet.count(reclaimable=True) == DEPLOYED

    async def test_servers_of_an_earlier_load_are_released_when_idle(
        self,
    ) -> None:
        """Guards against a large fleet that is kept after its load has ended.

        A node that starts then cannot tell it from a deployment, but for the
        time without demand.
        """
        fleet = await settled_fleet()
        fleet.restart_all()
        await fleet.run(5.0, no_load)
        await fleet.timer.advance(MAX_IDLE_S)
        await fleet.run(15.0, no_load)
        assert fleet.warm < DEPLOYED / 2

    async def test_servers_that_restart_all_the_time_delay_no_orders(
        self,
    ) -> None:
        """Guards against a large deployment that never settles."""
        fleet = Fleet(DEPLOYED)
        for number in range(20):
            fleet.servers[number % DEPLOYED].ready_at = fleet.timer.now() + 0.5
            await fleet.run(0.6, no_load)
        assert fleet.booted

    async def test_an_idle_deployment_is_reduced_at_last(self) -> None:
        fleet = Fleet(DEPLOYED, node_count=1)
        await fleet.run(20.0, no_load)
        await fleet.timer.advance(MAX_IDLE_S)
        await fleet.run(10.0, no_load)
        assert fleet.warm < DEPLOYED


def burst(elapsed_s: float) -> float:
    """Returns 1.7 times the usual load from second 20 to second 32."""
    return USUAL_LOAD * (1.7 if 20.0 <= elapsed_s < 32.0 else 1.0)


def wave(elapsed_s: float) -> float:
    """Returns a load that varies by 30% with a period of 40 s."""
    return USUAL_LOAD * (1.0 + 0.3 * sin(2.0 * pi * elapsed_s / 40.0))


def usual_load(elapsed_s: float) -> float:
    """Returns the usual load at any time."""
    return USUAL_LOAD


async def settled_fleet() -> Fleet:
    """Returns a fleet that has served the usual load for a while."""
    fleet = Fleet(DEPLOYED)
    await fleet.run(16.0, no_load)
    await fleet.run(30.0, usual_load)
    fleet.arrived = fleet.on_time = fleet.price = 0.0
    return fleet


async def run_with_restarts(
    fleet: Fleet,
    seconds: float,
    load: Callable[[float], float],
    restarts_at: tuple[float, ...],
) -> int:
    """Runs a load; restarts the holder at times in seconds."""
    fewest = fleet.warm
    begun = 0.0
    for restart_at in (*restarts_at, seconds):
        lowest = await fleet.run(restart_at - begun, load, begun)
        fewest = min(fewest, lowest)
        if restart_at < seconds:
            fleet.start_as_holder()
        begun = restart_at
    return fewest


# Restarts before, at the beginning, within and after the peak of each load.
RESTARTS = [(), (19.0, 21.0), (22.0, 24.5, 31.0), (33.0, 36.0)]


@pytest.mark.anyio
class TestChangingLoad:
    """Loads that change faster than servers boot."""

    @pytest.mark.parametrize("restarts_at", RESTARTS)
    @pytest.mark.parametrize("load", [burst, wave])
    async def test_prompts_are_on_time_and_servers_are_not_in_excess(
        self,
        load: Callable[[float], float],
        restarts_at: tuple[float, ...],
    ) -> None:
        """Guards against late servers, and against ones that are not needed.

        The bound of the price is that of the largest load at all times.
        """
        fleet = await settled_fleet()
        highest = max(load(float(second)) for second in range(80))
        await run_with_restarts(fleet, 80.0, load, restarts_at)
        assert fleet.on_time == fleet.arrived
        servers = highest / TARGET_UTILISATION * (1.0 + RESERVE_SHARE)
        assert fleet.price < 80.0 * servers * 0.22 * 1.1

    async def test_servers_do_not_follow_each_wave(self) -> None:
        """Guards against servers that boot at each rise with cold caches."""
        fleet = await settled_fleet()
        booted = fleet.booted
        await fleet.run(120.0, wave)
        assert fleet.booted - booted <= 3 * 0.6 * fleet.warm


@pytest.mark.anyio
class TestLostZone:
    """A zone loses all its reclaimable servers at once."""

    @pytest.mark.parametrize("zone", ZONES)
    @pytest.mark.parametrize("restarts_at", [(), (0.5, 2.0), (6.0,)])
    async def test_the_others_bear_the_load_and_are_replaced(
        self, zone: str, restarts_at: tuple[float, ...]
    ) -> None:
        """Guards against a new holder that orders where none are left."""
        fleet = await settled_fleet()
        before = fleet.warm
        fleet.reclaim(zone)
        await run_with_restarts(fleet, 12.0, usual_load, restarts_at)
        assert fleet.on_time == fleet.arrived
        assert fleet.warm >= before * 0.9
        fleet.exhausted_zones.clear()
        await fleet.run(40.0, usual_load)
        assert fleet.count(reclaimable=False) <= MIN_ON_DEMAND_SERVERS + 1


@pytest.mark.anyio
class TestPowerCut:
    """All nodes restart at once."""

    @pytest.mark.parametrize("pause_s", [0.0, 3.0])
    async def test_servers_are_kept_while_nodes_know_no_demand(
        self, pause_s: float
    ) -> None:
        """Guards against a second collapse some seconds after a power cut.

        Nodes that knew one on-demand server and no demand presumed the least
        need and released the reclaimable servers.
        """
        fleet = await settled_fleet()
        before = fleet.warm
        fleet.restart_all()
        assert await fleet.run(pause_s, no_load) >= before
        assert await fleet.run(10.0, usual_load) >= before
        assert fleet.on_time == fleet.arrived


@pytest.mark.anyio
class TestSilentPlatform:
    """The platform does not reply, and executes calls late."""

    @pytest.mark.parametrize("began_s", [18.0, 19.8, 21.0, 30.0])
    async def test_calls_that_are_executed_late_do_no_lasting_harm(
        self, began_s: float
    ) -> None:
        """Guards against an old number that replaces a newer one for good."""
        fleet = await settled_fleet()
        await fleet.run(began_s, burst)
        fleet.silent_until = fleet.timer.now() + 3.0
        await fleet.run(80.0 - began_s, burst, began_s)
        assert fleet.on_time == fleet.arrived
        other = await settled_fleet()
        await other.run(80.0, burst)
        assert fleet.price <= 1.1 * other.price
        assert abs(fleet.warm - other.warm) <= 2
