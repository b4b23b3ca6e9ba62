"""A platform and nodes that replay load patterns on the autoscaler."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from result import Err
from result import Ok
from result import Result

from tests.policy_examples import SilentTransport
from wasabiwing.autoscaler import Autoscaler
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.duty_port import DutyStamp
from wasabiwing.facts import Facts
from wasabiwing.fleet_changes import ConfigurationChange
from wasabiwing.fleet_follower import FleetView
from wasabiwing.messages import OrderedServers
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

ZONES = ("a", "b", "c")

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}

LIMITS = ScaleLimits(1, 32, 4.0, 0.22, PRICES)

STEP_S = 0.1

# The holder acts once in this many steps.
DUTY_STEPS = 5

# Reports of other nodes arrive after this many steps.
REPORT_STEPS = 10

# Longest queue, in seconds, in which a prompt's first event is on time, and
# beyond which prompts are refused.
ON_TIME_S = 0.3
MAX_QUEUE_S = 1.0

# A node's demand by service, and the orders that it has sent.
Report = tuple[dict[str, float], tuple[OrderedServers, ...]]


@dataclass
class Server:
    """A server that was ordered or deployed."""

    zone: str
    reclaimable: bool
    ready_at: float
    name: str


@dataclass
class Node:
    """What one node knows, and its autoscaler."""

    name: str
    view: FleetView
    demand: ServerDemand
    orders: Autoscaler
    sent_orders: SentOrders


class Fleet:
    """Servers that boot, nodes that restart, and a queue of prompts.

    The queue is a fluid: work arrives in servers' time per second, and each
    warm server completes one second of work per second.
    """

    def __init__(
        self,
        deployed: int,
        limits: ScaleLimits = LIMITS,
        registered_over_s: float = 0.0,
        node_count: int = 3,
    ) -> None:
        self.timer = FakeTimer()
        self.limits = limits
        self.servers = [
            Server(
                ZONES[number % 3],
                False,
                number / deployed * registered_over_s,
                f"deployed-{number}",
            )
            for number in range(deployed)
        ]
        self.exhausted_zones: set[str] = set()
        # Until this time, calls get no reply and are executed a second later
        # than it.
        self.silent_until = 0.0
        self._late_calls: list[tuple[str, int, bool]] = []
        self.queued = 0.0
        self.on_time = 0.0
        self.arrived = 0.0
        self.price = 0.0
        # Servers that were ordered so far.
        self.booted = 0
        self._steps = 0
        self._fence = 1
        self._reports: list[dict[str, Report]] = []
        self.nodes = [self._new_node(f"node-{i}") for i in range(node_count)]

    @property
    def warm(self) -> int:
        """Number of servers that serve."""
        return len(self._registered())

    def count(self, reclaimable: bool) -> int:
        """Returns the number of servers of a kind, booting or not."""
        return sum(
            server.reclaimable is reclaimable for server in self.servers
        )

    def restart_holder(self) -> None:
        """Restarts the holder; the next node takes over."""
        self._fence += 1
        restarted = self._new_node(self.nodes[0].name)
        self.nodes = [*self.nodes[1:], restarted]
        self.nodes[0].orders.reset()

    def start_as_holder(self) -> None:
        """Restarts a node, which becomes the holder immediately."""
        self._fence += 1
        *others, last = self.nodes
        self.nodes = [self._new_node(last.name), *others]
        self.nodes[0].orders.reset()

    def restart_all(self) -> None:
        """Restarts all nodes at once, as after a power cut."""
        self._fence += 1
        self._reports.clear()
        self.nodes = [self._new_node(node.name) for node in self.nodes]

    def reclaim(self, zone: str) -> None:
        """Takes all reclaimable servers of a zone; no more are available."""
        self.exhausted_zones.add(zone)
        self.servers = [
            server
            for server in self.servers
            if server.zone != zone or not server.reclaimable
        ]

    async def run(
        self,
        seconds: float,
        load: Callable[[float], float],
        begun_s: float = 0.0,
    ) -> int:
        """Runs the fleet; returns the lowest number of warm servers.

        ``load`` gives the work that arrives, in servers, at a time in seconds
        that is ``begun_s`` at the call.
        """
        fewest = self.warm
        for step in range(round(seconds / STEP_S)):
            self._serve(load(begun_s + step * STEP_S))
            self._register()
            self._report()
            if self._steps % DUTY_STEPS == 0:
                for node in self.nodes:
                    node.orders.follow_needs()
                stamp = DutyStamp(self.nodes[0].name, self._fence)
                sent = await self.nodes[0].orders.send_orders(stamp)
                assert sent.is_ok() or self.timer.now() < self.silent_until
            self._execute_late_calls()
            self._steps += 1
            fewest = min(fewest, self.warm)
            await self.timer.advance(STEP_S)
        return fewest

    async def order_servers(
        self,
        stamp: DutyStamp,
        service: str,
        availability_zone: str,
        count: int,
        reclaimable: bool,
    ) -> Result[None, Failure]:
        """Sets the number of servers; a surplus is taken from the oldest."""
        if self.timer.now() < self.silent_until:
            self._late_calls.append((availability_zone, count, reclaimable))
            return Err(Failure(ResultCode.CLOUD_UNAVAILABLE))
        return self._set_count(availability_zone, count, reclaimable)

    async def report_usage(
        self, stamp: DutyStamp, window: int, counts: object
    ) -> Result[None, Failure]:
        """Accepts a report of usage."""
        return Ok(None)

    def _set_count(
        self, availability_zone: str, count: int, reclaimable: bool
    ) -> Result[None, Failure]:
        there = [
            server
            for server in self.servers
            if server.zone == availability_zone
            and server.reclaimable is reclaimable
        ]
        missing = count - len(there)
        if (
            missing > 0
            and reclaimable
            and availability_zone in self.exhausted_zones
        ):
            return Err(Failure(ResultCode.CLOUD_REFUSED))
        for server in there[: max(-missing, 0)]:
            self.servers.remove(server)
        for _ in range(missing):
            self.booted += 1
            self.servers.append(
                Server(
                    availability_zone,
                    reclaimable,
                    self.timer.now() + self.limits.boot_s,
                    f"ordered-{self.booted}",
                )
            )
        return Ok(None)

    def _execute_late_calls(self) -> None:
        if self.timer.now() >= self.silent_until + 1.0:
            for call in self._late_calls:
                self._set_count(*call)
            self._late_calls.clear()

    def _registered(self) -> list[Server]:
        now = self.timer.now()
        return [server for server in self.servers if server.ready_at <= now]

    def _serve(self, load: float) -> None:
        """Adds the work that arrives in a step and completes some."""
        work = load * STEP_S
        queue_s = self.queued / max(self.warm, 0.1)
        self.arrived += work
        if queue_s <= ON_TIME_S:
            self.on_time += work
        if queue_s <= MAX_QUEUE_S:
            self.queued += work
            for node in self.nodes:
                if work:
                    node.demand.note_work("models", work / len(self.nodes))
        self.queued = max(self.queued - self.warm * STEP_S, 0.0)
        self.price += STEP_S * sum(
            PRICES[server.zone]
            * (self.limits.reclaimable_price if server.reclaimable else 1.0)
            for server in self.servers
        )

    def _report(self) -> None:
        """Delivers the reports of ``REPORT_STEPS`` ago."""
        self._reports.append(
            {
                node.name: (
                    node.demand.own_by_service(),
                    node.sent_orders.reported(),
                )
                for node in self.nodes
            }
        )
        if len(self._reports) <= REPORT_STEPS:
            return
        for name, report in self._reports[-REPORT_STEPS].items():
            for node in self.nodes:
                if node.name != name:
                    node.demand.note_peer_demand(name, report[0])
                    node.sent_orders.note_reported(report[1])

    def _register(self) -> None:
        entries = {
            server.name: RegisteredServer(
                server.name,
                "models",
                "10.0.0.1:80",
                server.zone,
                "v1",
                16,
                reclaimable=server.reclaimable,
            )
            for server in self._registered()
        }
        for node in self.nodes:
            node.view.directory.replace_all(entries)

    def _new_node(self, name: str) -> Node:
        view = FleetView(name, ServerDirectory(self.timer))
        demand = ServerDemand(self.timer)
        facts = Facts(self.timer, SilentTransport(), Random(1), tuple)
        sent_orders = SentOrders(self.timer)
        orders = Autoscaler(
            name,
            self.timer,
            self,
            view,
            ServerNeeds(
                self.timer,
                view,
                demand,
                ServerLimits(name, self.timer, facts),
            ),
            ZONES,
            ServerStatements(name, self.timer, Random(1)),
            sent_orders,
        )
        profile = ServiceProfile("models", 100, 0.0, None, self.limits)
        view.apply(
            ConfigurationChange(
                ServiceConfiguration(
                    1, (), {"models": profile}, RequestLimits()
                )
            )
        )
        return Node(name, view, demand, orders, sent_orders)
