"""Orders backend servers while this node holds the duties.

The autoscaler compares the capacity plan with the servers that are ordered
and registered, and sends the missing orders. A zone that refuses reclaimable
servers counts as exhausted for a while. A holder that knows too little of the
other nodes' demand releases none.
"""

from collections.abc import Callable
from collections.abc import Mapping
from math import inf

from result import Err
from result import Ok
from result import Result

from wasabiwing.capacity_plan import KNOWN_SPEED_RESERVE
from wasabiwing.capacity_plan import plan_servers
from wasabiwing.capacity_plan import ServerCount
from wasabiwing.capacity_plan import ServerOrder
from wasabiwing.capacity_plan import UNKNOWN_SPEED_RESERVE
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.demand_forecast import NEED_WINDOW_S
from wasabiwing.duty_port import DutyCalls
from wasabiwing.duty_port import DutyStamp
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_follower import FleetView
from wasabiwing.sent_orders import SentOrder
from wasabiwing.sent_orders import SentOrders
from wasabiwing.server_need import ServerNeed
from wasabiwing.server_need import ServerNeeds
from wasabiwing.server_statements import ServerStatements
from wasabiwing.service_configuration import ScaleLimits
from wasabiwing.timers import TimerService

# Time for which no more reclaimable servers are ordered in a zone that refused
# them, in seconds.
EXHAUSTED_ZONE_BACKOFF_S = 3.0

# Time without a refusal after which a zone's next refusal counts as the
# beginning of an outage, in seconds. Reclaims come in waves: at its beginning,
# more zones may lose their servers.
OUTAGE_GAP_S = 20.0

# Time after an order for more servers in which none are released, in seconds.
RELEASE_DELAY_S = 2.0

# Time beyond the boot time after which an order without effect is repeated,
# in seconds.
REPEAT_DELAY_S = 2.5

# Share of the nodes that a holder has to hear to release servers: the demand
# of the others is unknown.
MIN_HEARD_SHARE = 0.8


class Autoscaler:
    """Sends the server orders of the capacity plan for all services."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        cloud: DutyCalls,
        view: FleetView,
        needs: ServerNeeds,
        zones: tuple[str, ...],
        statements: ServerStatements,
        sent_orders: SentOrders,
        heard_share: Callable[[], float] = lambda: 1.0,
        show_need: Callable[[str, ServerNeed], None] = lambda *need: None,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._cloud = cloud
        self._view = view
        self._needs = needs
        self._zones = zones
        self._statements = statements
        # Returns the share of all nodes whose demand this node knows.
        self._heard_share = heard_share
        self._show_need = show_need
        # Orders of all holders, as far as they are known here.
        self._sent_orders = sent_orders
        # Times of each zone's last refusal, and of the beginning of its
        # outage, by service and zone.
        self._refused_at_by_zone: dict[tuple[str, str], float] = {}
        self._outage_began_at_by_zone: dict[tuple[str, str], float] = {}
        # Last time at which more servers were ordered.
        self._last_growth_at = -inf
        # Time at which this node became holder.
        self._holder_since = timer.now()

    def reset(self) -> None:
        """Notes that this node has become the holder."""
        self._needs.reset()
        self._holder_since = self._timer.now()

    def follow_needs(self) -> None:
        """Follows the demand for all services.

        Called periodically on every node, because any may become the holder.
        """
        configuration = self._view.configuration
        if configuration is None:
            return
        for profile in configuration.service_by_name.values():
            if profile.scale is not None:
                self._needs.follow(profile.name)

    async def send_orders(self, stamp: DutyStamp) -> Result[None, Failure]:
        """Sends the orders of the capacity plan under a duty stamp."""
        configuration = self._view.configuration
        if configuration is None:
            return Ok(None)
        for profile in configuration.service_by_name.values():
            if profile.scale is None:
                continue
            need = self._needs.need(profile.name, profile.scale)
            if need is None:
                continue
            self._show_need(profile.name, need)
            sent = await self._send_for_service(
                stamp, profile.name, profile.scale, need
            )
            if isinstance(sent, Err):
                return sent
        return Ok(None)

    async def _send_for_service(
        self,
        stamp: DutyStamp,
        service: str,
        limits: ScaleLimits,
        need: ServerNeed,
    ) -> Result[None, Failure]:
        counts = self._server_counts(service, limits)
        now = self._timer.now()
        # Servers that are ordered against a wave of reclaims are of use only
        # once they have booted.
        exhausted_zones = self._zones_since(
            service,
            self._outage_began_at_by_zone,
            now - limits.boot_s - EXHAUSTED_ZONE_BACKOFF_S,
        )
        refusing_zones = self._zones_since(
            service, self._refused_at_by_zone, now - EXHAUSTED_ZONE_BACKOFF_S
        )
        zones = [
            zone
            for zone in self._zones
            if zone not in self._view.evacuated_zones
        ]
        reserve = KNOWN_SPEED_RESERVE
        if not need.followed:
            # With an unknown speed, a zone counts as exhausted only while it
            # has just refused servers.
            exhausted_zones = refusing_zones
            reserve = UNKNOWN_SPEED_RESERVE
        orders = plan_servers(
            need.highest,
            zones,
            limits,
            counts,
            exhausted_zones,
            self._may_shrink(need),
            need.kept,
            refusing_zones,
            reserve,
        )
        for order in orders:
            sent = await self._send(stamp, service, order, need, counts)
            if isinstance(sent, Err):
                return sent
        return Ok(None)

    def _zones_since(
        self,
        service: str,
        time_by_zone: Mapping[tuple[str, str], float],
        since: float,
    ) -> frozenset[str]:
        """Returns the zones of a service whose time is after ``since``."""
        return frozenset(
            zone
            for zone in self._zones
            if time_by_zone.get((service, zone), -inf) > since
        )

    def _may_shrink(self, need: ServerNeed) -> bool:
        """Whether servers may be released now.

        A new holder does not know the highest need of the last seconds, and
        hears the demand of the other nodes only after some reports.
        """
        now = self._timer.now()
        if need.followed:
            is_new = now - self._holder_since < NEED_WINDOW_S
            if is_new and not need.idle:
                return False
            if self._heard_share() < MIN_HEARD_SHARE:
                return False
        return now - self._last_growth_at > RELEASE_DELAY_S

    async def _send(
        self,
        stamp: DutyStamp,
        service: str,
        order: ServerOrder,
        need: ServerNeed,
        counts: tuple[ServerCount, ...],
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
            demand=round(need.measured, 2),
            warm=sum(count.warm for count in counts),
            present=sum(count.expected for count in counts),
            fence=stamp.fencing_number,
            failure=str(sent.err_value) if isinstance(sent, Err) else "",
            **need.figures(),
        )
        if isinstance(sent, Err):
            if sent.err_value.code is not ResultCode.CLOUD_REFUSED:
                return sent
            if order.reclaimable:
                refused_at = self._refused_at_by_zone.get(
                    (service, zone), -inf
                )
                if now - refused_at > OUTAGE_GAP_S:
                    self._outage_began_at_by_zone[(service, zone)] = now
                self._refused_at_by_zone[(service, zone)] = now
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
        self._sent_orders.note_sent(
            key, stamp.fencing_number, order.count, present
        )
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
                sent = self._sent_orders.get((service, zone, reclaimable))
                expected = self._expected_count(
                    len(present_servers), sent, limits
                )
                counts.append(
                    ServerCount(zone, reclaimable, len(warm_servers), expected)
                )
        return tuple(counts)

    def _expected_count(
        self, present: int, sent: SentOrder | None, limits: ScaleLimits
    ) -> int:
        """Returns how many servers are registered or still expected."""
        order_timeout_s = limits.boot_s + REPEAT_DELAY_S
        if sent is None or self._timer.now() - sent.sent_at > order_timeout_s:
            return present
        if sent.count <= sent.present:
            return min(present, sent.count)
        return present + max(sent.count - max(present, sent.present), 0)
