"""Tests of how nodes hear of the speeds that servers state."""

from collections import Counter

from anyio import create_task_group
from anyio import sleep
import pytest

from tests.network import FakeNetwork
from tests.node_deployment import deployment
from tests.node_fleet import node_fleet
from wasabiwing.message_router import MessageRouter
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_speeds import ServerSpeeds
from wasabiwing.speed_notices import MAX_NOTICE_BURST
from wasabiwing.speed_notices import MAX_NOTIFIED_NODES
from wasabiwing.speed_notices import SpeedNotices
from wasabiwing.speed_prober import MAX_PROBES
from wasabiwing.speed_prober import ProbedServers
from wasabiwing.speed_prober import SpeedProber
from wasabiwing.timers import FakeTimer
from wasabiwing_platform.headers import PlatformHeaders
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

HEALTH_PATH = "/health"


class SpeedFleet:
    """Nodes that tell each other of changes."""

    def __init__(self, network: FakeNetwork, timer: FakeTimer) -> None:
        self._network = network
        self._timer = timer
        self.node_count = 3
        self.held_s = 0.0
        self.routers: list[MessageRouter] = []
        self.speeds: list[ServerSpeeds] = []
        self.notices: list[SpeedNotices] = []
        for number in range(3):
            self._add(number)

    def _add(self, number: int) -> None:
        transport = self._network.open(f"n{number}", f"tcp://n{number}")
        speeds = ServerSpeeds(self._timer)
        notices = SpeedNotices(
            self._timer,
            transport,
            speeds,
            lambda: self.node_count,
            lambda: {
                f"n{other}": f"tcp://n{other}"
                for other in range(3)
                if other != number
            },
            lambda server_id: server_id != "gone",
            lambda server_id: self.held_s,
        )
        router = MessageRouter(f"n{number}", transport)
        notices.register(router)
        self.routers.append(router)
        self.speeds.append(speeds)
        self.notices.append(notices)

    def slowdowns(self, server_id: str) -> list[float]:
        """Returns what each node expects of a server."""
        return [round(speeds.slowdown(server_id), 1) for speeds in self.speeds]


class TestNotices:
    """Changes that one node hears of and passes on."""

    async def test_others_hear_of_a_change_and_of_its_end(self) -> None:
        """Guards against nodes that send to a server known as slow."""
        timer = FakeTimer(0.0)
        async with create_task_group() as tasks:
            network = FakeNetwork(timer, tasks)
            fleet = SpeedFleet(network, timer)
            fleet.held_s = 1.0
            for router in fleet.routers:
                tasks.start_soon(router.run)
            fleet.notices[0].note_statement("a", 2.5)
            fleet.notices[0].note_statement("gone", 2.5)
            await timer.advance(0.05)
            assert fleet.slowdowns("a") == [2.5] * 3
            assert fleet.slowdowns("gone") == [2.5, 1.0, 1.0]
            # The statement is held, so that what confirms it is not sent.
            await timer.advance(0.8)
            sent_bytes = network.sent_bytes
            fleet.notices[1].note_statement("a", 2.5)
            await timer.advance(0.05)
            assert network.sent_bytes == sent_bytes
            fleet.notices[2].note_statement("a", 1.0)
            await timer.advance(0.05)
            assert fleet.slowdowns("a") == [1.0] * 3
            assert sent_bytes < 4 * 80
            tasks.cancel_scope.cancel()

    async def test_notices_are_bounded(self) -> None:
        """Guards against a server that states another speed each time."""
        timer = FakeTimer(0.0)
        async with create_task_group() as tasks:
            network = FakeNetwork(timer, tasks)
            fleet = SpeedFleet(network, timer)
            fleet.notices[0].note_statement("a", 2.5)
            each = network.sent_bytes
            for number in range(100):
                fleet.notices[0].note_statement("a", 1.0 + number % 2)
            assert network.sent_bytes <= each * MAX_NOTICE_BURST
            sent_bytes = network.sent_bytes
            fleet.node_count = MAX_NOTIFIED_NODES + 1
            await timer.advance(10.0)
            fleet.notices[0].note_statement("a", 2.5)
            assert network.sent_bytes == sent_bytes
            assert fleet.slowdowns("a")[0] == 2.5
            tasks.cancel_scope.cancel()


class TestProbedServers:
    """Which node reads which server's health path."""

    def test_each_server_has_one_owner(self) -> None:
        servers = [
            RegisteredServer(f"s{number}", "models", "h:1", "z", "v", 8)
            for number in range(45)
        ]
        nodes = [f"node-{number}" for number in range(70)]
        probed = {node: ProbedServers(node) for node in nodes}
        for known in (nodes, nodes[:50]):
            owned = [
                server.id
                for node in known
                for server in probed[node].own(known, servers)
            ]
            assert sorted(owned) == sorted(server.id for server in servers)


class TestTurns:
    """Order in which one node reads its servers."""

    async def test_owner_of_many_servers_reads_them_in_turn(self) -> None:
        """Guards against readings that take more CPU than a node has."""
        timer = FakeTimer(0.0)
        reads = Counter[str]()
        async with node_fleet(1) as fleet:
            node = fleet.nodes[0]
            await timer.advance(0.0)
            prober = SpeedProber(
                "n",
                timer,
                node.connections,
                PlatformHeaders(),
                node.view,
                ServerSpeeds(timer),
                lambda: ["n"],
                lambda server_id, slowdown: None,
            )
            servers = [
                RegisteredServer(f"s{number}", "models", "h:1", "z", "v", 8)
                for number in range(4)
            ]
            for _ in range(10):
                await timer.advance(0.2)
                due = prober.due(servers)
                assert len(due) == MAX_PROBES
                reads.update(server.id for server in due)
        assert set(reads.values()) == {5}


class TestProber:
    """Health paths that two whole nodes read."""

    @pytest.mark.parametrize(
        ("load", "path", "is_read"),
        [
            ("1,0,8,250", HEALTH_PATH, True),
            ("1,0,8", HEALTH_PATH, False),
            ("1,0,8,250", "", False),
            ("1,0,8,250", "no path", False),
        ],
    )
    async def test_health_path_is_read_where_speeds_are_stated(
        self, load: str, path: str, is_read: bool
    ) -> None:
        """Guards against health checks where they are expensive."""
        async with deployment() as found:
            document = configuration_document(2)
            services = document["services"]
            assert isinstance(services, list)
            for service in services:
                service["healthPath"] = path
            found.configure(document)
            server = ServerStandIn("server-1")
            server.added_headers["wasabiwing-worker-load"] = load
            await found.add_server("desk", server)
            await found.wait_ready()
            await found.start_another("node-2")
            assert (await found.call("/read/1")).status == 200
            await sleep(1.2)
            read = [
                request
                for request in server.received_requests
                if request.path == HEALTH_PATH
            ]
            assert bool(read) == is_read
            assert (await found.call("/read/1")).status == 200
