"""Replays of load patterns on the server orders of several nodes."""

import pytest

from tests.server_fleet import Fleet
from wasabiwing.capacity_plan import MIN_ON_DEMAND_SERVERS
from wasabiwing.deployed_servers import MAX_IDLE_S

# Servers that the operator deployed, and a load that keeps them half busy.
DEPLOYED = 16
FULL_LOAD = 8.0


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

    async def test_an_idle_deployment_is_reduced_at_last(self) -> None:
        fleet = Fleet(DEPLOYED, node_count=1)
        await fleet.run(20.0, no_load)
        await fleet.timer.advance(MAX_IDLE_S)
        await fleet.run(10.0, no_load)
        assert fleet.warm < DEPLOYED
