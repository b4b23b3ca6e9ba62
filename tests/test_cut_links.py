"""Tests of what a process with cut links to servers tells others."""

from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import AbstractContextManager
from contextlib import asynccontextmanager
from contextlib import closing
from contextlib import contextmanager
from contextlib import ExitStack
from dataclasses import replace
from random import Random
from typing import cast

from anyio import sleep
import pytest

from tests.fake_config_store import FakeConfigStore
from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from tests.policy_examples import policy_bench
from tests.policy_examples import pool_configuration
from tests.policy_examples import SilentTransport
from tests.policy_examples import UNREACHABLE
from tests.test_node_crashing_requests import call_with_parts
from tests.test_node_crashing_requests import NODE_KNOWN_S
from tests.test_unproved_crashes import deaf_listener
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.facts import Facts
from wasabiwing.http_client import HttpClient
from wasabiwing.node_reports import NodeReports
from wasabiwing.notices import NoticeTable
from wasabiwing.ports import Cloud
from wasabiwing.ports import MemberView
from wasabiwing.ports import VmInfo
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_loads import NodeLoad
from wasabiwing.server_loads import ServerLoads
from wasabiwing.timers import FakeTimer
from wasabiwing.vm_manager import DRAIN_PROPAGATION_S
from wasabiwing.vm_manager import VmManager
from wasabiwing.weight_store import HttpWeightStore
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"

SERVERS = 3


@contextmanager
def refusing_port() -> Iterator[str]:
    """Reserves a port that refuses connections."""
    with closing(bind_listener(HOST, 0)) as reserved:
        yield listener_address(reserved)


@asynccontextmanager
async def started_manager(
    other: str,
) -> AsyncIterator[tuple[VmManager, FakeTimer]]:
    """Builds a manager of VMs that knows one other server's address."""
    timer = FakeTimer()
    transport = SilentTransport()
    client = HttpClient()
    manager = VmManager(
        "controller-1",
        timer,
        cast(MemberView, None),
        Facts(timer, transport, Random(1), tuple),
        NoticeTable("controller-1", timer, transport, tuple, tuple),
        FakeConfigStore(),
        cast(Cloud, None),
        cast(HttpWeightStore, None),
        client,
        lambda pool_id, version: True,
    )
    configuration = pool_configuration(1, 4)
    (pool,) = configuration.pools
    server = replace(pool.servers[0], address=other)
    pool = replace(pool, servers=(server,))
    manager.use_configuration(replace(configuration, pools=(pool,)))
    yield manager, timer
    await manager.close()
    await client.close()


class Reported:
    """What a node tells others about its attempts."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Servers that are said to have a prompt, and to run requests.
        self.placements: list[str] = []
        self.loaded: list[str] = []
        # Number of times that each node counted demand.
        self.demands_by_node: Counter[int] = Counter()
        own_load = ServerLoads.own_load_by_server
        note_placement = NodeReports.note_placement
        note_work = ServerDemand.note_work

        def own_load_by_server(loads: ServerLoads) -> dict[str, NodeLoad]:
            found = own_load(loads)
            self.loaded.extend(found)
            return found

        def place(reports: NodeReports, server_id: str, parts: object) -> None:
            self.placements.append(server_id)
            note_placement(reports, server_id, ())

        def demand(
            demand: ServerDemand, service: str, computing_s: float
        ) -> None:
            self.demands_by_node[id(demand)] += 1
            note_work(demand, service, computing_s)

        monkeypatch.setattr(
            ServerLoads, "own_load_by_server", own_load_by_server
        )
        monkeypatch.setattr(NodeReports, "note_placement", place)
        monkeypatch.setattr(ServerDemand, "note_work", demand)


async def start_two_nodes(found: Deployment) -> None:
    """Starts two nodes and waits until they report to each other."""
    await found.wait_ready()
    await found.start_another("node-2")
    await sleep(NODE_KNOWN_S)


class TestReportsOfCutNode:
    """A node to whose servers new connections time out."""

    async def test_servers_without_connection_get_no_load_and_no_prompt(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against other nodes that believe a cut node's attempts.

        They would avoid servers for load that these do not have, and send
        prompts to servers without their parts.
        """
        reported = Reported(monkeypatch)
        with ExitStack() as stack:
            async with deployment() as found:
                for number in range(SERVERS):
                    server_id = f"server-{number}"
                    address = stack.enter_context(deaf_listener())
                    found.address_by_server[server_id] = address
                    found.register(server_id, "models")
                await start_two_nodes(found)
                reply = await call_with_parts(
                    found, "/notes/1", ["shared", "own"]
                )
                assert reply.status == 503
        assert reported.placements == []
        assert reported.loaded == []
        # The other node may get the request once more.
        assert set(reported.demands_by_node.values()) == {1}

    async def test_load_is_told_once_the_request_has_a_connection(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        reported = Reported(monkeypatch)
        async with deployment() as found:
            server = ServerStandIn("server-0", work_s=1.0)
            await found.add_server("models", server)
            await start_two_nodes(found)
            reply = await call_with_parts(found, "/notes/1", ["shared", "own"])
            assert reply.status == 200
        assert reported.placements == ["server-0"]
        assert "server-0" in reported.loaded
        assert list(reported.demands_by_node.values()) == [1]


class TestReportsOfCutGateway:
    """A gateway to whose servers no connection opens."""

    async def test_failed_connections_do_not_lower_a_limit(self) -> None:
        """Guards against a cut gateway that limits servers for all others."""
        on = policy_bench()
        choice = on.router.choose_server(on.call("r"), 1, frozenset())
        on.admission.release(choice.unwrap(), UNREACHABLE)
        uses = on.admission._credits.build_request("x").uses
        assert sum(use.failed + use.refused for use in uses) == 0


class TestCutController:
    """A controller that drains a VM to which its links are cut."""

    @pytest.mark.parametrize("way", [deaf_listener, refusing_port])
    async def test_server_out_of_reach_is_not_taken_for_idle(
        self, way: Callable[[], AbstractContextManager[str]]
    ) -> None:
        """Guards against the end of a VM whose requests still run."""
        with way() as address, way() as other:
            async with started_manager(other) as (manager, timer):
                vm = VmInfo("vm", "a", "small", False, "running", address, {})
                assert not await manager._drain(vm)
                await timer.advance(2 * DRAIN_PROPAGATION_S)
                assert not await manager._drain(vm)

    async def test_crashed_server_is_idle(self) -> None:
        with refusing_port() as address, closing(bind_listener(HOST, 0)) as on:
            on.listen()
            async with started_manager(listener_address(on)) as (
                manager,
                timer,
            ):
                vm = VmInfo("vm", "a", "small", False, "running", address, {})
                assert not await manager._drain(vm)
                await timer.advance(2 * DRAIN_PROPAGATION_S)
                assert await manager._drain(vm)
