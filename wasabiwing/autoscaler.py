"""Orders backend servers while this node holds the duty.

Compares the plan with what was ordered and with what is registered, and
sends the orders that are missing. Where none are to be had, the zone counts
as dry for a while.
"""

from dataclasses import dataclass
from math import inf

from result import Err
from result import Ok
from result import Result

from wasabiwing.capacity_plan import plan_servers
from wasabiwing.capacity_plan import presumed_busy
from wasabiwing.capacity_plan import ServerCount
from wasabiwing.capacity_plan import ServerOrder
from wasabiwing.capacity_plan import servers_busy
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.duty_port import DutyCalls
from wasabiwing.duty_port import DutyStamp
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_follower import FleetView
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_statements import ServerStatements
from wasabiwing.service_configuration import ScaleLimits
from wasabiwing.timers import TimerService

# Time for which a zone without reclaimable servers is not asked again, in
# seconds.
DRY_S = 3.0

# Time after asking for more servers in which none are given up, in seconds.
SHRINK_PAUSE_S = 2.0

# Time beyond the boot time after which an order without effect is repeated,
# in seconds.
REPEAT_SLACK_S = 2.5

# A need that was seen is kept for this many seconds, so that servers are not
# given up in the trough of a wave and booted again on its crest.
NEED_WINDOW_S = 10.0

# Key of what was ordered: service, zone, whether reclaimable.
OrderKey = tuple[str, str, bool]


@dataclass(frozen=True, slots=True)
class _Sent:
    """The last order of one kind."""

    count: int
    # Servers that were there at that time.
    present: int
    at: float


class Autoscaler:
    """What this holder has ordered so far."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        cloud: DutyCalls,
        view: FleetView,
        demand: ServerDemand,
        zones: tuple[str, ...],
        statements: ServerStatements,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._cloud = cloud
        self._view = view
        self._demand = demand
        self._zones = zones
        self._statements = statements
        self._sent_by_key: dict[OrderKey, _Sent] = {}
        self._dry_until_by_zone: dict[tuple[str, str], float] = {}
        # Last time at which more servers were asked for.
        self._grown_at = -inf
        # Highest need by service, and when it was last seen.
        self._need_by_service: dict[str, tuple[int, float]] = {}
        # Most firm servers seen by service before any demand: those that the
        # deployment started with. Later holders know them as well.
        self._started_by_service: dict[str, int] = {}

    def reset(self) -> None:
        """Starts over as a new holder of the duty."""
        self._sent_by_key.clear()

    def note_initial_servers(self) -> None:
        """Notes what the deployment started with; on every node."""
        configuration = self._view.configuration
        if configuration is None:
            return
        for profile in configuration.service_by_name.values():
            service = profile.name
            if (
                profile.scale is None
                or self._demand.total_servers(service) > 0
            ):
                continue
            firm = sum(
                not server.reclaimable
                for server in self._view.directory.servers_of_service(service)
            )
            most = max(self._started_by_service.get(service, 0), firm)
            self._started_by_service[service] = most

    async def send_orders(self, stamp: DutyStamp) -> Result[None, Failure]:
        """Sends the orders that the plan asks for."""
        configuration = self._view.configuration
        if configuration is None:
            return Ok(None)
        for profile in configuration.service_by_name.values():
            if profile.scale is None:
                continue
            sent = await self._send_for(stamp, profile.name, profile.scale)
            if isinstance(sent, Err):
                return sent
        return Ok(None)

    async def _send_for(
        self, stamp: DutyStamp, service: str, limits: ScaleLimits
    ) -> Result[None, Failure]:
        counts = self._counts(service, limits)
        now = self._timer.now()
        dry = frozenset(
            zone
            for zone in self._zones
            if self._dry_until_by_zone.get((service, zone), -inf) > now
        )
        zones = [
            zone
            for zone in self._zones
            if zone not in self._view.evacuated_zones
        ]
        demand = self._demand.total_servers(service)
        busy = self._needed(service, self._busy(service, demand))
        may_shrink = now - self._grown_at > SHRINK_PAUSE_S
        orders = plan_servers(busy, zones, limits, counts, dry, may_shrink)
        for order in orders:
            sent = await self._send(stamp, service, order, demand)
            if isinstance(sent, Err):
                return sent
        return Ok(None)

    def _busy(self, service: str, demand: float) -> int:
        """Returns the busy servers, presumed while there is no demand."""
        if demand > 0:
            return servers_busy(demand)
        return presumed_busy(self._started_by_service.get(service, 0))

    def _needed(self, service: str, needed: int) -> int:
        """Returns the highest need of the last seconds."""
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
                self._dry_until_by_zone[(service, zone)] = now + DRY_S
            self._grown_at = now
            return Ok(None)
        present = sum(
            server.availability_zone == zone
            and server.reclaimable == order.reclaimable
            for server in self._view.directory.servers_of_service(service)
        )
        key = (service, zone, order.reclaimable)
        if order.count > present:
            self._grown_at = now
        self._sent_by_key[key] = _Sent(order.count, present, now)
        return Ok(None)

    def _counts(
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
                there = [
                    server
                    for server in servers
                    if server.availability_zone == zone
                    and server.reclaimable == reclaimable
                ]
                warm = [
                    server
                    for server in there
                    if not directory.is_cold(server.id)
                ]
                sent = self._sent_by_key.get((service, zone, reclaimable))
                expected = self._expected(len(there), sent, limits)
                counts.append(
                    ServerCount(zone, reclaimable, len(warm), expected)
                )
        return tuple(counts)

    def _expected(
        self, present: int, sent: _Sent | None, limits: ScaleLimits
    ) -> int:
        """Returns the servers that are there or on their way."""
        patience_s = limits.boot_s + REPEAT_SLACK_S
        if sent is None or self._timer.now() - sent.at > patience_s:
            return present
        if sent.count <= sent.present:
            return min(present, sent.count)
        return present + max(sent.count - max(present, sent.present), 0)
