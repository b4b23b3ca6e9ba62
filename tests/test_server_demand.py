"""Tests of the demand for servers: measured, queued and expected."""

from math import ceil
from random import Random

import pytest

from tests.policy_examples import SilentTransport
from wasabiwing.capacity_plan import TARGET_UTILISATION
from wasabiwing.demand_forecast import DemandForecast
from wasabiwing.demand_forecast import NEED_WINDOW_S
from wasabiwing.demand_forecast import RecentNeed
from wasabiwing.facts import Facts
from wasabiwing.fleet_changes import ConfigurationChange
from wasabiwing.fleet_follower import FleetView
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.queued_demand import DRAIN_S
from wasabiwing.queued_demand import queued_demand
from wasabiwing.sent_orders import REPORTED_S
from wasabiwing.sent_orders import SentOrders
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.server_limits import ServerLimits
from wasabiwing.server_loads import ServerLoads
from wasabiwing.server_need import MAX_SLOWDOWN
from wasabiwing.server_need import ServerNeed
from wasabiwing.server_need import ServerNeeds
from wasabiwing.service_configuration import EngineProfile
from wasabiwing.service_configuration import RequestLimits
from wasabiwing.service_configuration import RouteKind
from wasabiwing.service_configuration import ScaleLimits
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.service_configuration import ServiceProfile
from wasabiwing.service_configuration import ServiceRoute
from wasabiwing.service_configuration import WeightedService
from wasabiwing.target_utilisation import MAX_UTILISATION
from wasabiwing.target_utilisation import target_utilisation
from wasabiwing.timers import FakeTimer

BOOT_S = 4.0

KEY = ("models", "a", True)


@pytest.mark.anyio
class TestMeasuredDemand:
    """Demand of the prompts that were sent."""

    async def test_the_first_second_is_not_averaged_with_the_idle_time(
        self,
    ) -> None:
        """Guards against a first order that comes seconds after the traffic.

        With an average of 4 s, the first order under the full rate was sent
        at 3.1 s, for half of the demand.
        """
        timer = FakeTimer()
        demand = ServerDemand(timer)
        for _ in range(10):
            demand.note_work("models", 0.8)
            await timer.advance(0.1)
        assert demand.total_servers("models") == pytest.approx(8.0, rel=0.15)

    async def test_demand_of_rare_requests_is_not_overstated(self) -> None:
        """Guards against 1.7 times the demand where nodes get few requests."""
        timer = FakeTimer()
        demand = ServerDemand(timer)
        total = 0.0
        for step in range(3_000):
            if step % 150 == 0:
                demand.note_work("models", 1.0)
            if step >= 150:
                total += 0.1 * demand.total_servers("models")
            await timer.advance(0.1)
        assert total / 285.0 == pytest.approx(1.0 / 15.0, rel=0.1)


class TestQueuedDemand:
    """Demand of what waits, runs or was refused."""

    def setup_method(self) -> None:
        timer = FakeTimer()
        rates = PrefillRates()
        self.token_s = rates.prefill_s_per_token("models")
        self.loads = ServerLoads(timer, rates)
        view = FleetView("node", ServerDirectory(timer))
        profile = ServiceProfile(
            "models",
            100,
            0.0,
            EngineProfile(32, 100_000),
            ScaleLimits(1, 32, BOOT_S, 0.22, {}),
        )
        view.apply(
            ConfigurationChange(
                ServiceConfiguration(
                    1, (), {"models": profile}, RequestLimits()
                )
            )
        )
        view.directory.put(
            RegisteredServer("s", "models", "10.0.0.1:80", "a", "v1", 32)
        )
        self.waiting = self.refused_per_s = 0.0
        self.source = queued_demand(
            view,
            self.loads,
            rates,
            lambda service: self.waiting,
            lambda service: self.refused_per_s,
        )

    def test_without_a_queue_there_is_none(self) -> None:
        assert self.source() == {"models": 0.0}

    def test_waiting_pending_and_refused_tokens_count(self) -> None:
        """Guards against demand that falls while the queue grows."""
        self.loads.note_sent("s", "r1", 0, 4_000)
        self.waiting = 6_000.0
        self.refused_per_s = 2_000.0
        per_s = (4_000 + 6_000) / DRAIN_S + 2_000
        expected = per_s * self.token_s + 1 / 32
        assert self.source()["models"] == pytest.approx(expected)

    def test_running_streams_count_by_their_share_of_the_slots(self) -> None:
        for number in range(16):
            self.loads.note_sent("s", f"r{number}", 0, 0)
        assert self.source()["models"] == pytest.approx(0.5)


class TestTargetUtilisation:
    """How busy servers may be."""

    def test_short_prompts_and_long_targets_allow_busy_servers(self) -> None:
        utilisation = target_utilisation(0.5, 0.045, 0.0025)
        assert utilisation == MAX_UTILISATION

    def test_it_falls_as_prompts_take_longer(self) -> None:
        found = [
            target_utilisation(0.6, mean_s, 2.0 * mean_s**2)
            for mean_s in (0.04, 0.06, 0.08, 0.3)
        ]
        assert found == sorted(found, reverse=True)
        assert found[0] > found[1] > found[-1]

    def test_it_is_never_below_that_of_earlier_deployments(self) -> None:
        assert target_utilisation(0.2, 0.3, 0.1) == TARGET_UTILISATION
        assert target_utilisation(0.2, 0.0, 0.0) == TARGET_UTILISATION


class TestNeed:
    """Servers that a demand needs."""

    def setup_method(self) -> None:
        self.timer = FakeTimer()
        self.view = FleetView("node", ServerDirectory(self.timer))
        limits = ScaleLimits(1, 32, BOOT_S, 0.22, {})
        self.profile = ServiceProfile("models", 100, scale=limits)
        route = ServiceRoute(
            "chat",
            "host",
            "/",
            RouteKind.STREAM,
            (WeightedService("models", 1.0),),
            10.0,
            0.5,
            0,
            3,
        )
        self.view.apply(
            ConfigurationChange(
                ServiceConfiguration(
                    1, (route,), {"models": self.profile}, RequestLimits()
                )
            )
        )
        self.view.directory.put(
            RegisteredServer("s", "models", "10.0.0.1:80", "a", "v1", 32)
        )
        self.demand = ServerDemand(self.timer)
        for _ in range(100):
            self.demand.note_work("models", 0.05)

    def need(self, slowdown: float) -> ServerNeed:
        """Returns the need at servers of a speed."""
        assert self.profile.scale is not None
        facts = Facts(self.timer, SilentTransport(), Random(1), tuple)
        needs = ServerNeeds(
            self.timer,
            self.view,
            self.demand,
            ServerLimits("node", self.timer, facts),
            lambda server_id: slowdown,
        )
        needs.follow("models")
        need = needs.need("models", self.profile.scale)
        assert need is not None
        return need

    def test_servers_of_unknown_speed_are_no_busier_than_before(self) -> None:
        """Guards against fewer servers in deployments that state no speed."""
        need = self.need(1.0)
        assert need.utilisation == TARGET_UTILISATION
        assert need.busy == ceil(need.expected / TARGET_UTILISATION)

    def test_the_demand_grows_with_the_time_that_work_takes(self) -> None:
        usual, slow = self.need(1.01), self.need(2.0)
        assert slow.busy >= 1.9 * usual.busy
        assert usual.utilisation > TARGET_UTILISATION

    def test_a_failing_server_does_not_count_as_endlessly_slow(self) -> None:
        assert self.need(100.0).slowdown == MAX_SLOWDOWN


@pytest.mark.anyio
class TestForecast:
    """Demand that is expected after the boot time."""

    async def test_a_rise_is_believed_at_once(self) -> None:
        timer = FakeTimer()
        forecast = DemandForecast(timer)
        for _ in range(20):
            forecast.note("models", 8.0)
            await timer.advance(0.5)
        forecast.note("models", 8.0 * 1.7)
        assert forecast.expected("models", BOOT_S) >= 8.0 * 1.7

    async def test_a_new_holder_takes_what_it_now_hears_for_no_rise(
        self,
    ) -> None:
        """Guards against 1.3 times the servers at each change of the holder.

        A node that becomes zone head knew only its own demand before.
        """
        timer = FakeTimer()
        forecast = DemandForecast(timer)
        for _ in range(20):
            forecast.note("models", 0.2)
            await timer.advance(0.5)
        forecast.begin_anew()
        for _ in range(20):
            forecast.note("models", 8.0)
            assert forecast.expected("models", BOOT_S) <= 8.0
            await timer.advance(0.5)

    async def test_noise_of_single_requests_is_no_rise(self) -> None:
        """Guards against servers that are ordered for random peaks."""
        timer = FakeTimer()
        forecast = DemandForecast(timer)
        random = Random(7)
        highest = 0.0
        for _ in range(400):
            forecast.note("models", random.gauss(8.0, 0.5))
            highest = max(highest, forecast.expected("models", BOOT_S))
            await timer.advance(0.5)
        assert highest < 8.0 * 1.1

    async def test_the_highest_need_is_kept_for_the_whole_window(
        self,
    ) -> None:
        timer = FakeTimer()
        recent = RecentNeed(timer)
        recent.note("models", 30)
        await timer.advance(NEED_WINDOW_S - 1.0)
        assert recent.note("models", 20) == 30
        await timer.advance(2.0)
        assert recent.note("models", 10) == 20


@pytest.mark.anyio
class TestSentOrders:
    """Orders of other holders."""

    async def test_a_later_holder_takes_precedence(self) -> None:
        """Guards against a stale report that replaces a newer order."""
        timer = FakeTimer()
        first, second = SentOrders(timer), SentOrders(timer)
        first.note_sent(KEY, 1, 17, 5)
        second.note_reported(first.reported())
        known = second.get(KEY)
        assert known is not None
        assert (known.count, known.present) == (17, 5)
        second.note_sent(KEY, 2, 9, 5)
        await timer.advance(1.0)
        first.note_sent(KEY, 1, 20, 5)
        second.note_reported(first.reported())
        known = second.get(KEY)
        assert known is not None
        assert known.count == 9

    async def test_orders_are_reported_for_a_while(self) -> None:
        timer = FakeTimer()
        orders = SentOrders(timer)
        orders.note_sent(KEY, 1, 17, 5)
        await timer.advance(REPORTED_S + 0.1)
        assert orders.reported() == ()
