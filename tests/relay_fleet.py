"""Nodes that relay changes of the store to each other, on a fake network."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from random import Random

from anyio import CancelScope
from anyio.abc import TaskGroup
from msgspec.json import encode
from result import Ok
from result import Result

from tests.network import bench
from tests.network import FakeNetwork
from tests.platform_fakes import LeaseStoreFake
from tests.platform_fakes import LongPollStoreLink
from wasabiwing.cap_admission import CapAdmission
from wasabiwing.cap_admission import SPENDING_PERIOD_S
from wasabiwing.first_event_counts import FleetFirstEvents
from wasabiwing.fleet_changes import ConfigurationChange
from wasabiwing.fleet_changes import EvacuationChange
from wasabiwing.fleet_changes import FleetChange
from wasabiwing.fleet_changes import ServerChange
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.fleet_follower import FleetView
from wasabiwing.fleet_relay import FleetRelay
from wasabiwing.fleet_relay import PUSH_PERIOD_S
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import FleetContent
from wasabiwing.messages import FleetRequest
from wasabiwing.messages import HeadPush
from wasabiwing.messages import NodeReport
from wasabiwing.node_registry import node_lease_name
from wasabiwing.node_registry import NodeRecord
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.node_reports import NodeReports
from wasabiwing.node_reports import REPORT_PERIOD_S
from wasabiwing.node_reports import ReportedState
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.presence import Presence
from wasabiwing.presence import PRESENCE_PERIOD_S
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.restorable_store import RestorableStore
from wasabiwing.sent_orders import SentOrders
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.server_loads import ServerLoads
from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.service_configuration import RequestLimits
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.store_progress import StoreProgress
from wasabiwing.store_readers import KNOWLEDGE_CHECK_PERIOD_S
from wasabiwing.timers import FakeTimer
from wasabiwing.usage_caps import CapRefusal
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import UsageCaps
from wasabiwing.usage_windows import UsageWindows
from wasabiwing.zone_heads import rank_nodes
from wasabiwing.zone_heads import ZoneHeads

ZONES = ("zone-a", "zone-b", "zone-c")
STEP_S = 0.05
HEARTBEAT_PERIOD_S = 1.2
LARGE_VM_CAPACITY = 20

NO_TOLERANCE = CapTolerance(8.0, 0.0, 0.0)


def decode(key: str, value: bytes | None) -> Result[FleetChange | None, str]:
    """Decodes the test's configurations, evacuations and server entries."""
    if key == "configuration" and value is not None:
        version = int(value.split()[0])
        return Ok(
            ConfigurationChange(
                ServiceConfiguration(version, (), {}, RequestLimits())
            )
        )
    if key.startswith("out/"):
        return Ok(EvacuationChange(key[4:], value is not None))
    if key.startswith("servers/"):
        server_id = key.removeprefix("servers/")
        if value is None:
            return Ok(ServerChange(server_id, None))
        state, _ = value.decode().split()
        return Ok(ServerChange(server_id, server(server_id, state)))
    return Ok(None)


def server(server_id: str, state: str) -> RegisteredServer:
    """Returns the registry entry of a server in a state."""
    return RegisteredServer(
        server_id,
        "models",
        "10.0.0.1:80",
        ZONES[0],
        "v1",
        16,
        draining=state == "draining",
    )


class RelayNode:
    """The parts of a node that follow the store and relay its changes."""

    def __init__(
        self, fleet: "RelayFleet", number: int, incarnation: int
    ) -> None:
        timer = fleet.timer
        self.id = f"node-{number:03}"
        self.zone = ZONES[number % len(ZONES)]
        capacity = LARGE_VM_CAPACITY if number < fleet.large else 5
        inbox = f"{self.id}:7000"
        record = NodeRecord(self.id, inbox, self.zone, capacity)
        self.link = LongPollStoreLink(fleet.store, timer)
        self.nodes = NodeRegistry(self.id)
        self.directory = ServerDirectory(timer)
        self.view = FleetView(self.id, self.directory)
        progress = StoreProgress(timer)
        store = RestorableStore(self.link)
        self.follower = FleetFollower(
            self.id,
            timer,
            store,
            decode,
            self.view,
            self.nodes,
            progress,
            Random(number),
        )
        self.record = record
        self.heads = ZoneHeads(record, timer, self.nodes)
        self.transport = fleet.network.open(self.id, f"tcp://{inbox}")
        name = f"{self.id}/{incarnation}"
        self.reports = NodeReports(
            name, timer, self.transport, self.nodes, self.heads
        )
        caps = UsageCaps(
            timer,
            incarnation == 1 or fleet.forgets_restarts,
            self.reports.heard_share,
            fleet.tolerance,
        )
        self.cap_admission = CapAdmission(
            self.id,
            timer,
            self.transport,
            caps,
            fleet.tolerance,
            self.reports.known_inboxes,
            lambda: self.reported_share or self.reports.heard_share(),
            Random(number),
        )
        # Share of the nodes that reports show, if the test sets it.
        self.reported_share: float | None = None
        self.shared = ReportedState(
            caps,
            UsageWindows(timer, name, 5.0),
            ServerLoads(timer, PrefillRates()),
            PromptCacheIndex(),
            ServerDemand(timer),
            progress,
            FleetFirstEvents(timer),
            SentOrders(timer),
        )
        self.relay = FleetRelay(
            self.id,
            timer,
            self.transport,
            self.heads,
            self.nodes,
            self.follower,
            self.directory,
            self.reports,
            self.shared,
        )
        self.presence = Presence(
            self.id,
            node_lease_name(self.id, inbox, self.zone, capacity),
            timer,
            store,
            self.follower.store_cache.revision_of,
            lambda: self.link.eras.current,
        )
        self.messages = MessageRouter(self.id, self.transport)
        self.messages.register(HeadPush, self.relay.receive_push)
        self.messages.register(FleetRequest, self.relay.answer_catch_up)
        self.messages.register(FleetContent, self.relay.receive_catch_up)
        self.messages.register(NodeReport, self._receive_report)
        self.cap_admission.register(self.messages)
        self.versions: list[int] = []
        self.view.on_configuration(
            lambda found: self.versions.append(found.version)
        )
        self.paused = False
        self.scope = CancelScope()

    @property
    def version(self) -> int | None:
        """Version of the configuration in force, or ``None``."""
        configuration = self.view.configuration
        return None if configuration is None else configuration.version

    def kill(self) -> None:
        """Ends the node; its store entry stays until its lease expires."""
        self.paused = True
        self.transport.paused = True
        self.scope.cancel()

    async def run(self) -> None:
        """Follows the store until the node is killed."""
        with self.scope:
            await self.follower.run()

    async def receive(self) -> None:
        """Handles the messages that reach the node's inbox."""
        await self.messages.run()

    async def admit(
        self, organisation: OrganisationProfile, tokens: int
    ) -> CapRefusal | None:
        """Admits a request by its organisation's usage cap."""
        return await self.cap_admission.admit(organisation, tokens, 1)

    async def _receive_report(
        self, envelope: Envelope, report: NodeReport
    ) -> None:
        self.reports.receive(envelope, report, self.shared)


Fault = Callable[[RelayNode], None]


def refuse(node: RelayNode) -> None:
    """Makes the store refuse a node's calls."""
    node.link.unavailable = True


def silence(node: RelayNode) -> None:
    """Leaves a node's calls to the store without an answer."""
    node.link.unavailable = True
    node.link.silent = True


def delay(seconds: float) -> Fault:
    """Returns a fault by which answers to a node's watches are late."""

    def apply(node: RelayNode) -> None:
        node.link.answer_delay_s = seconds

    return apply


def restore_path(node: RelayNode) -> None:
    """Ends the faults of a node's path to the store."""
    node.link.unavailable = False
    node.link.silent = False
    node.link.answer_delay_s = 0.0


class RelayFleet:
    """Nodes whose periodic work the test drives, and their servers."""

    def __init__(
        self,
        timer: FakeTimer,
        network: FakeNetwork,
        tasks: TaskGroup,
        count: int,
        large: int,
        tolerance: CapTolerance,
    ) -> None:
        self.timer = timer
        self.network = network
        self.tasks = tasks
        self.tolerance = tolerance
        # Whether restarted nodes take their start for the deployment's first.
        self.forgets_restarts = True
        # Number of nodes on large VMs; these are the first nodes.
        self.large = large
        self.store = LeaseStoreFake(timer)
        self.store.put("configuration", b"1")
        self.state_by_server = {f"server-{n}": "ready" for n in range(6)}
        self._step = 0
        self._write_heartbeats()
        self.node_by_id: dict[str, RelayNode] = {}
        for number in range(count):
            self.start(number)

    @property
    def nodes(self) -> list[RelayNode]:
        """All nodes that are neither killed nor paused."""
        return [n for n in self.node_by_id.values() if not n.paused]

    def start(self, number: int, incarnation: int = 1) -> RelayNode:
        """Starts a node, or a new incarnation of one that was killed."""
        node = RelayNode(self, number, incarnation)
        self.node_by_id[node.id] = node
        self.tasks.start_soon(node.run)
        self.tasks.start_soon(node.receive)
        return node

    def heads(self, zone: str) -> list[RelayNode]:
        """Returns the nodes that take themselves for heads of a zone."""
        return [
            node
            for node in self.nodes
            if node.zone == zone and node.heads.own_rank() is not None
        ]

    async def run(self, seconds: float) -> None:
        """Advances the timer in steps and does the periodic work."""
        for _ in range(round(seconds / STEP_S)):
            await self.timer.advance(STEP_S)
            self._step += 1
            if self._is_due(HEARTBEAT_PERIOD_S, 0):
                self._write_heartbeats()
            for number, node in enumerate(self.nodes):
                if self._is_due(REPORT_PERIOD_S, number):
                    await node.reports.send(node.shared)
                if self._is_due(SPENDING_PERIOD_S, number):
                    await node.cap_admission.tell_issuers()
                if self._is_due(PUSH_PERIOD_S, number):
                    await node.relay.push()
                if self._is_due(KNOWLEDGE_CHECK_PERIOD_S, number):
                    await node.relay.readers.log_old_knowledge(node.version)
                if self._is_due(PRESENCE_PERIOD_S, number):
                    await node.presence.renew(node.heads.uses_heads)
        await self.timer.advance(0.0)

    def _is_due(self, period_s: float, number: int) -> bool:
        return (self._step + number) % round(period_s / STEP_S) == 0

    def _write_heartbeats(self) -> None:
        for server_id, state in self.state_by_server.items():
            entry = f"{state} {self._step}".encode()
            self.store.put(f"servers/{server_id}", entry)


@asynccontextmanager
async def relay_fleet(
    count: int,
    large: int = 6,
    seed: int = 1,
    tolerance: CapTolerance = NO_TOLERANCE,
) -> AsyncIterator[RelayFleet]:
    """Runs a fleet whose nodes have had six seconds to find each other."""
    async with bench(seed) as found:
        fleet = RelayFleet(
            found.timer, found.network, found.tasks, count, large, tolerance
        )
        await fleet.run(6.0)
        yield fleet


def encode_large_configuration(version: int, routes: int) -> bytes:
    """Returns the stored value of a configuration with many routes."""
    names = [f"route-{number:06}" for number in range(routes)]
    return f"{version} ".encode() + encode(names)


def first_of_each_zone(fleet: RelayFleet, count: int) -> list[RelayNode]:
    """Returns the first nodes of the ranking of each zone."""
    victims = []
    for zone in ZONES:
        members = [node for node in fleet.nodes if node.zone == zone]
        if not members:
            continue
        records = {
            node.id: record
            for node in members
            if (record := members[0].nodes.get(node.id)) is not None
        }
        records[members[0].id] = members[0].record
        ranking = rank_nodes(zone, list(records.values()))
        victims += [fleet.node_by_id[node_id] for node_id in ranking[:count]]
    return victims


PATH_FAULTS: dict[str, Fault] = {
    "heads rejected by store": refuse,
    "heads silent at store": silence,
    "heads answered late": delay(0.9),
}

# Time after the last fault in which all nodes come to the same state. Nodes
# skip a silent head only after a timeout, and a killed head's entry stays
# until its lease expires.
RECOVERY_S = 8.0

FAULTS = (
    "restart",
    "heads",
    "freeze",
    "rejected by store",
    "store down",
    "store restored",
    "loss",
    "late",
    "alone",
    "server",
    "none",
)

# Faults of the way on which heads of zones learn of changes.
HEAD_FAULTS = (
    "heads rejected by store",
    "heads silent at store",
    "heads answered late",
    "slow links",
    "store restored",
    "rejected by store",
    "freeze",
    "server",
)


class FaultSchedule:
    """Seeded rounds of one fault and one new configuration version each."""

    def __init__(
        self,
        fleet: RelayFleet,
        seed: int,
        faults: tuple[str, ...] = FAULTS,
    ) -> None:
        self._fleet = fleet
        self._random = Random(seed)
        self._faults = faults
        self._last_version = 1
        self._last_incarnation = 1
        self._removed_server_ids: set[str] = set()
        # The state to which the store falls back at the end of a round.
        self._copy: LeaseStoreFake | None = None
        self.faults_run: list[str] = []

    async def run(self, rounds: int) -> list[str]:
        """Runs rounds of one fault each; returns the violations at the end."""
        for _ in range(rounds):
            await self._run_round(self._random.choice(self._faults))
        await self._fleet.run(RECOVERY_S)
        return self._violations()

    async def _run_round(self, fault: str) -> None:
        fleet = self._fleet
        self.faults_run.append(fault)
        if fault == "store restored":
            self._copy = fleet.store.copy()
        affected = self._draw_affected_nodes(fault)
        self._last_version += 1
        fleet.store.put("configuration", str(self._last_version).encode())
        self._start_fault(fault, affected)
        await fleet.run(self._random.uniform(0.2, 4.0))
        self._end_fault(fault, affected)
        if self._random.random() < 0.5:
            await fleet.run(self._random.uniform(0.2, 3.0))

    def _draw_affected_nodes(self, fault: str) -> list[RelayNode]:
        fleet = self._fleet
        if fault == "heads":
            return fleet.heads(self._random.choice(ZONES))
        if fault in ("store down", "slow links"):
            return fleet.nodes
        if fault in PATH_FAULTS:
            return first_of_each_zone(fleet, self._random.randint(1, 4))
        if fault in ("restart", "freeze", "rejected by store", "alone"):
            count = self._random.randint(1, len(fleet.nodes) // 2)
            return self._random.sample(fleet.nodes, count)
        return []

    def _start_fault(self, fault: str, affected: list[RelayNode]) -> None:
        network = self._fleet.network
        for node in affected:
            if fault in ("restart", "heads"):
                node.kill()
            elif fault == "freeze":
                node.paused = True
                node.transport.paused = True
            elif fault in ("rejected by store", "store down"):
                node.link.unavailable = True
            elif fault in PATH_FAULTS:
                PATH_FAULTS[fault](node)
            elif fault == "slow links":
                network.delay_s = (0.3, 0.6)
            else:
                address = node.transport.address
                network.group_by_address[address] = 1
        if fault == "loss":
            network.loss_share = 0.3
        elif fault == "late":
            network.late_share = 0.2
        elif fault == "server" and len(self._fleet.state_by_server) > 2:
            server_id = min(self._fleet.state_by_server)
            del self._fleet.state_by_server[server_id]
            self._fleet.store.put(f"servers/{server_id}", None)
            self._removed_server_ids.add(server_id)

    def _end_fault(self, fault: str, affected: list[RelayNode]) -> None:
        network = self._fleet.network
        network.loss_share = 0.0
        network.late_share = 0.0
        network.delay_s = (0.001, 0.002)
        network.group_by_address.clear()
        if self._copy is not None:
            self._restore(self._copy)
            self._copy = None
        for node in affected:
            restore_path(node)
            if fault in ("restart", "heads"):
                self._last_incarnation += 1
                number = int(node.id.removeprefix("node-"))
                self._fleet.start(number, self._last_incarnation)
            elif fault == "freeze":
                node.paused = False
                node.transport.resume()

    def _restore(self, copy: LeaseStoreFake) -> None:
        """Restores the store; operator and servers write again at once."""
        store = self._fleet.store
        store.restore(copy)
        store.put("configuration", str(self._last_version).encode())
        for server_id in self._removed_server_ids:
            key = f"servers/{server_id}"
            if key in store.item_by_key:
                store.put(key, None)

    def _violations(self) -> list[str]:
        violations = []
        expected = set(self._fleet.state_by_server)
        for node in self._fleet.nodes:
            if node.versions != sorted(node.versions):
                violations.append(f"{node.id} went back: {node.versions}")
            if node.version != self._last_version:
                violations.append(f"{node.id} has {node.version}")
            servers = {found.id for found in node.view.servers("models")}
            if servers != expected:
                violations.append(f"{node.id} uses {sorted(servers)}")
        return violations
