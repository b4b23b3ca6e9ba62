"""Nodes that report over sockets whose connections can fall silent.

Each inbox is reached through a forwarder that accepts connections for it. A
silent connection stays open, takes what is sent and passes nothing on.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from contextlib import ExitStack
from dataclasses import dataclass
from random import Random

from anyio import BrokenResourceError
from anyio import ClosedResourceError
from anyio import connect_tcp
from anyio import create_task_group
from anyio import create_tcp_listener
from anyio import EndOfStream
from anyio import sleep
from anyio.abc import ByteStream
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from anyio.abc import TaskGroup
from pynng import Pull0

from wasabiwing.first_event_counts import FleetFirstEvents
from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import HeadPush
from wasabiwing.messages import NodeReport
from wasabiwing.nng_transport import NngTransport
from wasabiwing.node_registry import node_lease_name
from wasabiwing.node_registry import NodeRecord
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.node_reports import NodeReports
from wasabiwing.node_reports import REPORT_PERIOD_S
from wasabiwing.node_reports import ReportedState
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.sent_orders import SentOrders
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_loads import ServerLoads
from wasabiwing.store_progress import StoreProgress
from wasabiwing.timers import SystemTimer
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import UsageCaps
from wasabiwing.usage_windows import UsageWindows
from wasabiwing.zone_heads import ZoneHeads

HOST = "127.0.0.1"

ENDED = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)


@dataclass(slots=True)
class Connection:
    """A forwarded connection; the link is silent once ``silent`` is set."""

    # Number of the node that listens.
    target: int
    silent: bool = False
    # Number of ends that have closed it.
    closed_ends: int = 0


class Forwarders:
    """Accepts connections for inboxes and forwards them while not silent."""

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        self.connections: list[Connection] = []
        # Whether a new connection is silent from its first byte.
        self.starts_silent: Callable[[int], bool] = lambda target: False

    async def listen(self, target: int, inbox: str) -> str:
        """Opens the address at which an inbox is reached."""
        listener = await create_tcp_listener(local_host=HOST)
        port = listener.extra(SocketAttribute.local_port)
        host, _, inbox_port = inbox.rpartition(":")

        async def forward(client: SocketStream) -> None:
            found = Connection(target, self.starts_silent(target))
            self.connections.append(found)
            async with client, await connect_tcp(HOST, int(inbox_port)) as far:
                async with create_task_group() as both:
                    both.start_soon(_pass_on, client, far, found, both)
                    both.start_soon(_pass_on, far, client, found, both)

        self._tasks.start_soon(listener.serve, forward)
        return f"{HOST}:{port}"

    def silence(self, is_hit: Callable[[Connection], bool]) -> None:
        """Makes open connections silent for good."""
        for found in self.connections:
            found.silent = found.silent or is_hit(found)


async def _pass_on(
    source: ByteStream,
    target: ByteStream,
    connection: Connection,
    both: TaskGroup,
) -> None:
    try:
        while True:
            data = await source.receive()
            if not connection.silent:
                await target.send(data)
    except ENDED:
        connection.closed_ends += 1
        if not connection.silent:
            both.cancel_scope.cancel()


class LinkedNode:
    """A node that only counts requests, reports and acts as a head."""

    def __init__(
        self, name: str, transport: NngTransport, zone: str, window_s: float
    ) -> None:
        self.name = name
        self.zone = zone
        self.transport = transport
        self.address = transport.address.removeprefix("tcp://")
        self.nodes = NodeRegistry(name)
        timer = SystemTimer()
        self.heads = ZoneHeads(
            NodeRecord(name, self.address, availability_zone=zone),
            timer,
            self.nodes,
        )
        self.reports = NodeReports(
            f"{name}/1", timer, transport, self.nodes, self.heads
        )
        self.windows = UsageWindows(timer, f"{name}/1", window_s)
        self.shared = ReportedState(
            UsageCaps(timer, True, lambda: 1.0, CapTolerance(8.0, 0.0, 0.0)),
            self.windows,
            ServerLoads(timer, PrefillRates()),
            PromptCacheIndex(),
            ServerDemand(timer),
            StoreProgress(timer),
            FleetFirstEvents(timer),
            SentOrders(timer),
        )
        # Requests of this node by window.
        self.counted: dict[int, int] = {}

    def count_request(self) -> None:
        """Counts a request in the current window."""
        window = self.windows.window_now()
        self.counted[window] = self.counted.get(window, 0) + 1
        self.windows.count_request("north")

    def known_count(self, window: int) -> int:
        """Returns what this node would report for a window."""
        totals = self.reports.window_totals(window, self.windows)
        return totals.get("north", 0)

    async def run(self) -> None:
        """Reports, and counts one request in each period."""
        while True:
            await sleep(REPORT_PERIOD_S)
            self.count_request()
            await self.reports.send(self.shared)
            if self.heads.own_rank() is not None:
                self._push_as_head()

    async def receive(self) -> None:
        """Applies what other nodes send."""
        while True:
            envelope = await self.transport.receive()
            if isinstance(envelope.body, NodeReport):
                self.reports.receive(envelope, envelope.body, self.shared)
            elif isinstance(envelope.body, HeadPush):
                self.heads.note_heard(envelope.sender)
                self.reports.receive_push(envelope.body, self.shared)

    def _push_as_head(self) -> None:
        to_heads = self._push(self.reports.aggregate_zone(self.shared))
        to_nodes = self._push(None)
        heads = {
            node_id
            for zone in self.heads.heads_by_zone()
            for node_id in self.heads.push_receivers(zone)
        }
        in_zone = self.nodes.ids_by_zone().get(self.zone, [])
        for node_id in heads.union(in_zone) - {self.name}:
            inbox = self.heads.inbox(node_id)
            if inbox is not None:
                message = to_heads if node_id in heads else to_nodes
                self.transport.send(inbox, message)

    def _push(self, aggregate: AggregatedReport | None) -> HeadPush:
        return HeadPush(self.zone, 1, 1, 0, -1, (), aggregate)


@dataclass(frozen=True, slots=True)
class LinkedNodes:
    """Nodes whose connections pass through forwarders."""

    nodes: tuple[LinkedNode, ...]
    forwarders: Forwarders

    def reporters(self) -> list[LinkedNode]:
        """Returns the nodes that may report usage."""
        return [
            node
            for node in self.nodes
            if not node.heads.uses_heads or node.heads.own_rank() is not None
        ]

    def wrong_windows(self, first: int, last: int) -> list[str]:
        """Returns the windows that a node would not report rightly."""
        wrong = []
        for window in range(first, last + 1):
            true = sum(node.counted.get(window, 0) for node in self.nodes)
            wrong += [
                f"{node.name} window {window}: {known} of {true}"
                for node in self.reporters()
                if abs((known := node.known_count(window)) - true)
                > 0.05 * true
            ]
        return wrong


@asynccontextmanager
async def linked_nodes(
    count: int, zones: int, window_s: float
) -> AsyncIterator[LinkedNodes]:
    """Runs nodes that know each other from the start."""
    with ExitStack() as sockets:
        async with create_task_group() as tasks:
            forwarders = Forwarders(tasks)
            nodes = [
                await _start_node(
                    sockets, tasks, forwarders, number, zones, window_s
                )
                for number in range(count)
            ]
            for node in nodes:
                node.nodes.replace_all(
                    node_lease_name(other.name, other.address, other.zone)
                    for other in nodes
                    if other is not node
                )
                tasks.start_soon(node.run)
                tasks.start_soon(node.receive)
            yield LinkedNodes(tuple(nodes), forwarders)
            tasks.cancel_scope.cancel()


async def _start_node(
    sockets: ExitStack,
    tasks: TaskGroup,
    forwarders: Forwarders,
    number: int,
    zones: int,
    window_s: float,
) -> LinkedNode:
    inbox = sockets.enter_context(Pull0())
    listener = inbox.listen(f"tcp://{HOST}:0")
    address = await forwarders.listen(number, str(listener.local_address))
    name = f"node-{number}"
    transport = NngTransport(name, inbox, f"tcp://{address}", tasks)
    tasks.start_soon(transport.check_links)
    return LinkedNode(name, transport, f"zone-{number % zones}", window_s)


def share_of_links(share: float, seed: int) -> Callable[[Connection], bool]:
    """Selects a random share of the connections."""
    random = Random(seed)
    return lambda found: random.random() < share
