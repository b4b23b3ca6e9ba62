"""Orders backend servers while this node holds the duties.

The autoscaler compares the capacity plan with the servers that are ordered
and registered, and sends the missing orders. A zone that refuses reclaimable
servers counts as exhausted for a while.
"""

from dataclasses import dataclass
from math import inf

from result import Err
from result import Ok
from result import Result

from wasabiwing.capacity_plan import busy_server_count
from wasabiwing.capacity_plan import lost_server_count
from wasabiwing.capacity_plan import plan_servers
from wasabiwing.capacity_plan import presumed_busy_server_count
from wasabiwing.capacity_plan import ServerCount
from wasabiwing.capacity_plan import ServerOrder
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.deployed_servers import DeployedServers
from wasabiwing.duty_port import DutyCalls
from wasabiwing.duty_port import DutyStamp
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_follower import FleetView
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_limits import ServerLimits
from wasabiwing.server_statements import ServerStatements
from wasabiwing.service_configuration import ScaleLimits
from wasabiwing.timers import TimerService

# Time for which no more reclaimable servers are ordered in a zone that refused
# them, in seconds.
EXHAUSTED_ZONE_BACKOFF_S = 3.0

# Time after an order for more servers in which none are released, in seconds.
RELEASE_DELAY_S = 2.0

# Time beyond the boot time after which an order without effect is repeated,
# in seconds.
REPEAT_DELAY_S = 2.5

# Time for which the highest need is kept, in seconds, so that servers are not
# released at a low of fluctuating demand and booted again at the next peak.
NEED_WINDOW_S = 10.0

# Key of an order: service, zone, whether the servers are reclaimable.
OrderKey = tuple[str, str, bool]


@dataclass(frozen=True, slots=True)
class _SentOrder:
    """The last order of a service for one kind of servers in a zone."""

    count: int
    # Servers that were registered when the order was sent.
    present: int
    sent_at: float


class Autoscaler:
    """Sends the server orders of the capacity plan for all services."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        cloud: DutyCalls,
        view: FleetView,
        demand: ServerDemand,
        zones: tuple[str, ...],
        statements: ServerStatements,
        limits: ServerLimits,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._cloud = cloud
        self._view = view
        self._demand = demand
        self._zones = zones
        self._statements = statements
        self._limits = limits
        self._sent_by_key: dict[OrderKey, _SentOrder] = {}
        self._exhausted_until_by_zone: dict[tuple[str, str], float] = {}
        # Last time at which more servers were ordered.
        self._last_growth_at = -inf
        # Highest need by service, and when it was last seen.
        self._need_by_service: dict[str, tuple[int, float]] = {}
        self._deployed = DeployedServers(timer)
        # Time at which this node became holder.
        self._holder_since = timer.now()

    def reset(self) -> None:
        """Forgets earlier orders; called when this node becomes holder."""
        self._sent_by_key.clear()
        self._holder_since = self._timer.now()

    def note_initial_servers(self) -> None:
        """Counts the servers that the deployment started with.

        Called on every node, because any node may become the holder.
        """
        configuration = self._view.configuration
        if configuration is None:
            return
        for profile in configuration.service_by_name.values():
            if profile.scale is None:
                continue
            service = profile.name
            servers = self._view.directory.servers_of_service(service)
            reclaimable = sum(server.reclaimable for server in servers)
            self._deployed.note(
                service,
                len(servers) - reclaimable,
                reclaimable,
                self._demand.total_servers(service),
            )

    async def send_orders(self, stamp: DutyStamp) -> Result[None, Failure]:
        """Sends the orders of the capacity plan under a duty stamp."""
        configuration = self._view.configuration
        if configuration is None:
            return Ok(None)
        for profile in configuration.service_by_name.values():
            if profile.scale is None or not self._deployed.is_settled(
                profile.name
            ):
                continue
            sent = await self._send_for_service(
                stamp, profile.name, profile.scale
            )
            if isinstance(sent, Err):
                return sent
        return Ok(None)

    async def _send_for_service(
        self, stamp: DutyStamp, service: str, limits: ScaleLimits
    ) -> Result[None, Failure]:
        counts = self._server_counts(service, limits)
        now = self._timer.now()
        exhausted_zones = frozenset(
            zone
            for zone in self._zones
            if self._exhausted_until_by_zone.get((service, zone), -inf) > now
        )
        zones = [
            zone
            for zone in self._zones
            if zone not in self._view.evacuated_zones
        ]
        demand = self._demand.total_servers(service)
        busy = self._highest_recent_need(
            service, self._busy_servers(service, demand)
        )
        orders = plan_servers(
            busy,
            zones,
            limits,
            counts,
            exhausted_zones,
            self._may_shrink(demand),
            self._deployed.kept_count(service),
        )
        for order in orders:
            sent = await self._send(stamp, service, order, demand)
            if isinstance(sent, Err):
                return sent
        return Ok(None)

    def _busy_servers(self, service: str, demand: float) -> int:
        """Returns the number of busy servers, presumed before any demand."""
        if demand > 0:
            return busy_server_count(demand) + self._lost_servers(service)
        return presumed_busy_server_count(self._deployed.count(service))

    def _may_shrink(self, demand: float) -> bool:
        """Whether servers may be released now.

        A new holder does not know the highest need of the last seconds, and
        hears the demand of the other nodes only after some reports.
        """
        now = self._timer.now()
        if demand > 0 and now - self._holder_since < NEED_WINDOW_S:
            return False
        return now - self._last_growth_at > RELEASE_DELAY_S

    def _lost_servers(self, service: str) -> int:
        """Returns how many servers' capacity is lost to named limits."""
        limits_per_s = [
            limit
            for server in self._view.directory.servers_of_service(service)
            if (limit := self._limits.limit_per_s(server.id)) is not None
        ]
        return lost_server_count(
            limits_per_s, self._demand.mean_work_s(service)
        )

    def _highest_recent_need(self, service: str, needed: int) -> int:
        """Returns the highest number needed in the last ``NEED_WINDOW_S``."""
        now = self._timer.now()
        highest, seen_at = self._need_by_service.get(service, (0, now))
        if needed >= highest or now - seen_at > NEED_WINDOW_S:
            self._need_by_service[service] = (needed, now)
            return needed
        return highest

    async def _send(
        self,
        stamp: DutyStamp,
        service: str,
        order: ServerOrder,
        demand: float,
    ) -> Result[None, Failure]:
        zone = order.availability_zone
        sent = await self._cloud.order_servers(
            stamp, service, zone, order.count, order.reclaimable
        )
        now = self._timer.now()
        refused = isinstance(sent, Err)
        log_event(
            Event.SERVERS_REFUSED if refused else Event.SERVERS_ORDERED,
            self._node_id,
            service=service,
            zone=zone,
            count=order.count,
            reclaimable=order.reclaimable,
            demand=round(demand, 2),
            fence=stamp.fencing_number,
            failure=str(sent.err_value) if isinstance(sent, Err) else "",
        )
        if isinstance(sent, Err):
            if sent.err_value.code is not ResultCode.CLOUD_REFUSED:
                return sent
            if order.reclaimable:
                self._exhausted_until_by_zone[(service, zone)] = (
                    now + EXHAUSTED_ZONE_BACKOFF_S
                )
            self._last_growth_at = now
            return Ok(None)
        present = sum(
            server.availability_zone == zone
            and server.reclaimable == order.reclaimable
            for server in self._view.directory.servers_of_service(service)
        )
        key = (service, zone, order.reclaimable)
        if order.count > present:
            self._last_growth_at = now
        self._sent_by_key[key] = _SentOrder(order.count, present, now)
        return Ok(None)

    def _server_counts(
        self, service: str, limits: ScaleLimits
    ) -> tuple[ServerCount, ...]:
        directory = self._view.directory
        servers = [
            server
            for server in directory.servers_of_service(service)
            if not self._statements.is_unavailable_for(
                server.id, limits.boot_s
            )
        ]
        counts = []
        for zone in self._zones:
            for reclaimable in (False, True):
                present_servers = [
                    server
                    for server in servers
                    if server.availability_zone == zone
                    and server.reclaimable == reclaimable
                ]
                warm_servers = [
                    server
                    for server in present_servers
                    if not directory.is_cold(server.id)
                ]
                sent = self._sent_by_key.get((service, zone, reclaimable))
                expected = self._expected_count(
                    len(present_servers), sent, limits
                )
                counts.append(
                    ServerCount(zone, reclaimable, len(warm_servers), expected)
                )
        return tuple(counts)

    def _expected_count(
        self, present: int, sent: _SentOrder | None, limits: ScaleLimits
    ) -> int:
        """Returns how many servers are registered or still expected."""
        order_timeout_s = limits.boot_s + REPEAT_DELAY_S
        if sent is None or self._timer.now() - sent.sent_at > order_timeout_s:
            return present
        if sent.count <= sent.present:
            return min(present, sent.count)
        return present + max(sent.count - max(present, sent.present), 0)
