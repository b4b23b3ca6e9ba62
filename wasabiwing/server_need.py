"""Decides how many backend servers each service needs.

Every node follows the need, because any node may become the holder that
orders servers. Before any demand, the servers that the operator deployed are
the best estimate. Later the need follows the demand that is expected when a
server ordered now has booted, the speed of the servers, and the limits that
they name.
"""

from collections.abc import Callable
from dataclasses import dataclass

from wasabiwing.capacity_plan import busy_server_count
from wasabiwing.capacity_plan import lost_server_count
from wasabiwing.capacity_plan import presumed_busy_server_count
from wasabiwing.capacity_plan import TARGET_UTILISATION
from wasabiwing.demand_forecast import DemandForecast
from wasabiwing.demand_forecast import RecentNeed
from wasabiwing.deployed_servers import DeployedServers
from wasabiwing.fleet_follower import FleetView
from wasabiwing.server_demand import IDLE_DEMAND
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_limits import ServerLimits
from wasabiwing.service_configuration import ScaleLimits
from wasabiwing.target_utilisation import target_utilisation
from wasabiwing.timers import TimerService

# Bounds of a server's slowdown in the need: beyond them, a server counts as
# failing instead of slow.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 4.0


@dataclass(frozen=True, slots=True)
class ServerNeed:
    """How many servers a service needs, and why."""

    # Demand of the last second in servers' time, and the demand that is
    # expected after the boot time.
    measured: float
    expected: float
    # Mean factor by which work takes longer at the servers than usual.
    slowdown: float
    # Highest share of the servers' time that prompts may take.
    utilisation: float
    # Servers whose capacity is lost to limits that they name.
    lost: int
    # Servers that can just bear the load: now, and at most in the last
    # seconds.
    busy: int
    highest: int
    # Servers that the operator deployed and that are kept whatever the load.
    kept: int
    # Whether no demand was seen in the last seconds.
    idle: bool
    # Whether the demand is followed closely, as the servers state their speed.
    followed: bool = True

    def figures(self) -> dict[str, float]:
        """Returns the figures by name, for log lines and metrics."""
        return {
            "expected": round(self.expected, 2),
            "slowdown": round(self.slowdown, 2),
            "utilisation": round(self.utilisation, 2),
            "lost": self.lost,
            "busy": self.busy,
            "highest": self.highest,
            "kept": self.kept,
        }


class ServerNeeds:
    """The need of all services, as one node knows it."""

    def __init__(
        self,
        timer: TimerService,
        view: FleetView,
        demand: ServerDemand,
        limits: ServerLimits,
        slowdown_of: Callable[[str], float] = lambda server_id: 1.0,
    ) -> None:
        self._view = view
        self._demand = demand
        self._limits = limits
        # Returns how much longer work takes at a server than usual.
        self._slowdown_of = slowdown_of
        self._forecast = DemandForecast(timer)
        self._recent_need = RecentNeed(timer)
        self._deployed = DeployedServers(timer)
        # Kept while this node itself gets no requests. Services without an
        # entry have servers of unknown speed.
        self._utilisation_by_service: dict[str, float] = {}

    def reset(self) -> None:
        """Forgets the demand that this node knew before it became holder.

        In a fleet with zone heads, only these hear the other nodes' demand.
        """
        self._forecast.begin_anew()

    def follow(self, service: str) -> None:
        """Follows a service's demand; called periodically on every node."""
        measured = self._demand.total_servers(service)
        servers = self._view.directory.servers_of_service(service)
        reclaimable = sum(server.reclaimable for server in servers)
        self._deployed.note(
            service, len(servers) - reclaimable, reclaimable, measured
        )
        self._forecast.note(service, measured)

    def need(self, service: str, limits: ScaleLimits) -> ServerNeed | None:
        """Returns a service's need; called by the holder after ``follow``.

        Returns ``None`` while servers still register and there is no demand.
        """
        if not self._deployed.is_settled(service):
            return None
        servers = self._view.directory.servers_of_service(service)
        server_ids = [server.id for server in servers]
        expected = self._forecast.measured(service)
        if self._demand.is_followed(service):
            expected = self._forecast.expected(service, limits.boot_s)
        slowdown = self._mean_slowdown(server_ids)
        lost = self._lost_servers(service, server_ids)
        utilisation = self._utilisation(service, slowdown)
        idle = self._forecast.level(service) < IDLE_DEMAND
        busy = busy_server_count(expected * slowdown, utilisation) + lost
        if idle:
            busy = presumed_busy_server_count(
                self._deployed.on_demand_count(service)
            )
        return ServerNeed(
            self._forecast.measured(service),
            expected,
            slowdown,
            utilisation,
            lost,
            busy,
            self._recent_need.note(service, busy),
            self._deployed.kept_count(service),
            idle,
            self._demand.is_followed(service),
        )

    def _mean_slowdown(self, server_ids: list[str]) -> float:
        """Returns the harmonic mean, as the servers' capacities add up."""
        if not server_ids:
            return 1.0
        capacity = sum(
            1.0
            / min(
                max(self._slowdown_of(server_id), MIN_SLOWDOWN), MAX_SLOWDOWN
            )
            for server_id in server_ids
        )
        return len(server_ids) / capacity

    def _utilisation(self, service: str, slowdown: float) -> float:
        """Returns how busy a service's servers may be.

        Servers whose speed is unknown get no more than before: the nodes
        cannot avoid those that are slow.
        """
        known = self._utilisation_by_service.get(service)
        if known is None and slowdown == 1.0:
            return TARGET_UTILISATION
        mean_s = self._demand.mean_work_s(service) * slowdown
        target_s = self._shortest_target_s(service)
        if mean_s <= 0.0 or target_s is None:
            return TARGET_UTILISATION if known is None else known
        square_s2 = self._demand.mean_square_work_s2(service) * slowdown**2
        utilisation = target_utilisation(target_s, mean_s, square_s2)
        self._utilisation_by_service[service] = utilisation
        return utilisation

    def _shortest_target_s(self, service: str) -> float | None:
        configuration = self._view.configuration
        if configuration is None:
            return None
        return min(
            (
                route.latency_target_s
                for route in configuration.routes
                if any(target.service == service for target in route.targets)
            ),
            default=None,
        )

    def _lost_servers(self, service: str, server_ids: list[str]) -> int:
        """Returns how many servers' capacity is lost to named limits."""
        limits_per_s = [
            limit
            for server_id in server_ids
            if (limit := self._limits.limit_per_s(server_id)) is not None
        ]
        return lost_server_count(
            limits_per_s, self._demand.mean_work_s(service)
        )
