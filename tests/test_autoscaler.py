"""Tests of the autoscaler before traffic begins and when it starts."""

from random import Random

import pytest

from tests.platform_fakes import CloudFake
from tests.policy_examples import SilentTransport
from wasabiwing.autoscaler import Autoscaler
from wasabiwing.capacity_plan import MIN_SERVERS
from wasabiwing.capacity_plan import presumed_busy_server_count
from wasabiwing.demand_forecast import NEED_WINDOW_S
from wasabiwing.duty_port import DutyStamp
from wasabiwing.facts import Facts
from wasabiwing.fleet_changes import ConfigurationChange
from wasabiwing.fleet_follower import FleetView
from wasabiwing.sent_orders import SentOrders
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.server_limits import ServerLimits
from wasabiwing.server_need import ServerNeeds
from wasabiwing.server_statements import ServerStatements
from wasabiwing.service_configuration import RequestLimits
from wasabiwing.service_configuration import ScaleLimits
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.service_configuration import ServiceProfile
from wasabiwing.timers import FakeTimer

ZONES = ("a", "b", "c", "d", "e")

STAMP = DutyStamp("node", 1)

LIMITS = ScaleLimits(1, 32, 4.0, 0.22, {})

STEP_S = 0.5


class Pool:
    """A pool whose servers change with each order immediately."""

    def __init__(self, count: int) -> None:
        self.timer = FakeTimer()
        self.cloud = CloudFake(self.timer)
        directory = ServerDirectory(self.timer)
        self.view = FleetView("node", directory)
        self.demand = ServerDemand(self.timer)
        self.statements = ServerStatements("node", self.timer, Random(1))
        facts = Facts(self.timer, SilentTransport(), Random(1), tuple)
        self.limits = ServerLimits("node", self.timer, facts)
        self.orders = Autoscaler(
            "node",
            self.timer,
            self.cloud,
            self.view,
            ServerNeeds(self.timer, self.view, self.demand, self.limits),
            ZONES,
            self.statements,
            SentOrders(self.timer),
        )
        profile = ServiceProfile("models", 100, 0.0, None, LIMITS)
        self.view.apply(
            ConfigurationChange(
                ServiceConfiguration(
                    1, (), {"models": profile}, RequestLimits()
                )
            )
        )
        self.count_by_kind = {
            (zone, kind): 0 for zone in ZONES for kind in (False, True)
        }
        for number in range(count):
            self.count_by_kind[(ZONES[number % len(ZONES)], False)] += 1
        self.register()

    @property
    def total(self) -> int:
        """Number of registered servers."""
        return sum(self.count_by_kind.values())

    async def run(self, seconds: float, demand: float) -> int:
        """Runs the autoscaler; returns the lowest number of servers."""
        fewest = self.total
        for _ in range(round(seconds / STEP_S)):
            if demand:
                self.demand.note_work("models", demand * STEP_S)
            self.orders.follow_needs()
            (await self.orders.send_orders(STAMP)).unwrap()
            for _, zone, count, kind in self.cloud.orders:
                self.count_by_kind[(zone, kind)] = count
            self.cloud.orders.clear()
            self.register()
            fewest = min(fewest, self.total)
            await self.timer.advance(STEP_S)
        return fewest

    def register(self) -> None:
        """Replaces the registry's entries by the servers of the pool."""
        self.view.directory.replace_all(
            {
                server_id: RegisteredServer(
                    server_id,
                    "models",
                    "10.0.0.1:80",
                    zone,
                    "v1",
                    16,
                    reclaimable=kind,
                )
                for (zone, kind), count in self.count_by_kind.items()
                for number in range(count)
                for server_id in [f"{zone}-{kind}-{number}"]
            }
        )


@pytest.mark.anyio
class TestBeforeTraffic:
    """A fleet that has seen no demand yet."""

    @pytest.mark.parametrize("count", [16, 40, 79])
    async def test_a_large_pool_is_kept_until_demand_is_seen(
        self, count: int
    ) -> None:
        """Guards against release of a large pool before traffic begins.

        Forty servers were reduced to five in the sixteen seconds before the
        traffic, so the first requests met only five.
        """
        pool = Pool(count)
        fewest = await pool.run(16.0, 0.0)
        assert fewest >= count / 3

    async def test_a_later_holder_keeps_what_the_deployment_started_with(
        self,
    ) -> None:
        """Guards against a new holder that underestimates the deployment.

        The first holder counted before all servers had registered; the second
        one saw only the servers that the first had kept.
        """
        pool = Pool(60)
        later = Autoscaler(
            "later",
            pool.timer,
            pool.cloud,
            pool.view,
            ServerNeeds(pool.timer, pool.view, pool.demand, pool.limits),
            ZONES,
            pool.statements,
            SentOrders(pool.timer),
        )
        registered = dict(pool.count_by_kind)
        pool.count_by_kind = dict.fromkeys(registered, 0)
        pool.register()
        for orders in (pool.orders, later):
            orders.follow_needs()
        pool.count_by_kind = registered
        pool.register()
        for orders in (pool.orders, later):
            orders.follow_needs()
        await pool.run(8.0, 0.0)
        pool.orders = later
        assert await pool.run(6.0, 0.0) >= 20

    async def test_servers_that_say_they_leave_count_as_absent(self) -> None:
        """Guards against late orders when the registry lags behind."""
        pool = Pool(40)
        await pool.run(4.0, 20.0)
        registered = pool.view.directory.servers_of_service("models")
        for server in registered[: len(registered) // 2]:
            pool.statements.note_leaving(server.id, server.started_ms)
        pool.cloud.orders.clear()
        await pool.timer.advance(10.0)
        pool.demand.note_work("models", 20.0)
        pool.orders.follow_needs()
        (await pool.orders.send_orders(STAMP)).unwrap()
        assert pool.cloud.orders

    async def test_demand_that_is_seen_decides_after_a_while(self) -> None:
        pool = Pool(40)
        await pool.run(16.0, 0.0)
        await pool.run(2 * NEED_WINDOW_S, 2.0)
        assert pool.total < 20

    async def test_own_orders_are_not_taken_for_the_deployments_size(
        self,
    ) -> None:
        """Guards against own orders that raise the presumed demand.

        Counting its own orders made the servers cost 0.035 more.
        """
        pool = Pool(30)
        await pool.run(4.0, 0.0)
        settled = pool.total
        await pool.run(8.0, 0.0)
        assert pool.total <= settled

    def test_a_small_pool_is_presumed_no_busier_than_before(self) -> None:
        assert presumed_busy_server_count(5) <= MIN_SERVERS


@pytest.mark.anyio
class TestLimitedServers:
    """Servers that take less than their capacity."""

    async def test_limited_servers_are_not_counted_as_whole_ones(
        self,
    ) -> None:
        """Guards against a pool that is full on paper and serves little."""
        pool = Pool(10)
        await pool.run(20.0, 2.0)
        before = pool.total
        for server in pool.view.directory.servers_of_service("models"):
            pool.limits.note_answer(server.id, 0, 0.01, pool.timer.now())
        limited = pool.total
        await pool.run(20.0, 2.0)
        assert pool.total >= before + limited - 1

    async def test_a_limit_beyond_what_a_server_can_do_orders_none(
        self,
    ) -> None:
        pool = Pool(10)
        await pool.run(20.0, 2.0)
        before = pool.total
        for server in pool.view.directory.servers_of_service("models"):
            pool.limits.note_answer(server.id, 0, 1000.0, pool.timer.now())
        await pool.run(20.0, 2.0)
        assert pool.total == before
