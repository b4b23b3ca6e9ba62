"""Whole nodes on a fake network, timer and store."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import create_task_group
from anyio.abc import TaskGroup

from tests.network import FakeNetwork
from tests.node_deployment import BOUNDS
from tests.platform_fakes import CloudFake
from tests.platform_fakes import LeaseStoreFake
from tests.platform_fakes import LongPollStoreLink
from wasabiwing.facts import Facts
from wasabiwing.message_router import MessageRouter
from wasabiwing.metrics import NodeMetrics
from wasabiwing.node import Node
from wasabiwing.node import NodePlatform
from wasabiwing.node_settings import Endpoint
from wasabiwing.node_settings import NodeSettings
from wasabiwing.timers import FakeTimer
from wasabiwing.timers import Tick
from wasabiwing_platform.documents import decode_item
from wasabiwing_platform.headers import PlatformHeaders

ZONES = ("zone-a", "zone-b", "zone-c")

# Placeholder for endpoints that these tests do not use.
UNUSED_ENDPOINT = Endpoint("127.0.0.1", 1)


class TaskTimer(FakeTimer):
    """A fake timer that runs each tick in a task, so that ticks may sleep.

    Ticks of duties sleep.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        super().__init__()
        self._tasks = tasks

    def subscribe(self, period_s: float, tick: Tick) -> None:
        async def serve() -> None:
            while True:
                await self.sleep(period_s)
                await tick()

        self._tasks.start_soon(serve)


class NodeFleet:
    """Nodes with their connections to one store."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.timer = TaskTimer(tasks)
        self.store = LeaseStoreFake(self.timer)
        self.network = FakeNetwork(self.timer, tasks)
        self.links: list[LongPollStoreLink] = []
        self.nodes: list[Node] = []
        self._tasks = tasks

    @property
    def facts(self) -> list[Facts]:
        """Facts of each node, in the order of the nodes."""
        return [node.facts for node in self.nodes]

    def count_nodes_with_fact(self, kind: str, key: str) -> int:
        """Returns how many nodes have a fact of a kind with a key."""
        return sum(facts.get(kind, key) is not None for facts in self.facts)

    def start(self, number: int) -> None:
        """Starts the node with a number, in the zone that this gives."""
        settings = NodeSettings(
            node_id=f"node-{number:03}",
            availability_zone=ZONES[number % len(ZONES)],
            region="region-1",
            availability_zones=ZONES,
            caller_endpoint=UNUSED_ENDPOINT,
            readiness_endpoint=UNUSED_ENDPOINT,
            inbox=Endpoint(f"10.0.0.{number}", 7000),
            store=UNUSED_ENDPOINT,
            cloud=UNUSED_ENDPOINT,
            reports_usage=True,
            runs_autoscaler=True,
            first_start=True,
            bounds=BOUNDS,
        )
        link = LongPollStoreLink(self.store, self.timer)

        async def reload() -> None:
            return

        platform = NodePlatform(
            link,
            CloudFake(self.timer),
            PlatformHeaders(),
            decode_item,
            reload,
        )
        transport = self.network.open(
            settings.node_id, f"tcp://{settings.inbox}"
        )
        node = Node(settings, platform, self.timer, transport, NodeMetrics())
        messages = MessageRouter(settings.node_id, transport)
        node.register(messages)
        self._tasks.start_soon(messages.run)
        self._tasks.start_soon(node.follower.run)
        self.links.append(link)
        self.nodes.append(node)


@asynccontextmanager
async def node_fleet(count: int) -> AsyncIterator[NodeFleet]:
    """Runs a number of nodes until the end of the test."""
    async with create_task_group() as tasks:
        fleet = NodeFleet(tasks)
        for number in range(count):
            fleet.start(number)
        yield fleet
        tasks.cancel_scope.cancel()
