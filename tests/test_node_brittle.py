"""Tests of brittle servers, which crash on refusals, through whole nodes."""

from collections.abc import Sequence

from anyio import create_task_group
from anyio import current_time
from anyio import sleep
import pytest

from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from tests.node_deployment import FIRST_START_MS
from tests.test_node_limits import start_nodes
from wasabiwing.node_settings import NodeSettings
from wasabiwing_platform_standins.server import BRITTLE_CONTACT_S
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

SLOTS = 2
PLACES = 4
WORK_S = 0.4

# Time after which a server that crashed is back, in seconds.
BACK_S = 3.0

# Time in which falls and served requests are counted, in seconds.
COUNTED_S = 9.0

POLL_S = 0.02

# Share of what the slots can serve that has to be served while more comes.
SERVED_SHARE = 0.7


def allowed_falls(server_count: int) -> float:
    """Returns how often servers of one service may crash in one period."""
    return 2.0 + server_count / 10.0


async def restart_fallen(
    found: Deployment, servers: Sequence[ServerStandIn]
) -> None:
    """Starts and registers servers anew some time after their falls."""
    restarts = dict.fromkeys((server.id for server in servers), 0)
    while True:
        for server in servers:
            count = restarts[server.id]
            if len(server.falls) <= count:
                continue
            if current_time() < server.falls[count] + BACK_S:
                continue
            restarts[server.id] = count + 1
            await found.restart_server(server.id)
            found.register(
                server.id,
                "desk",
                slots=SLOTS,
                born=FIRST_START_MS + count + 1,
            )
        await sleep(POLL_S)


async def send_in_turn(
    found: Deployment,
    nodes: Sequence[NodeSettings],
    seconds: float,
    per_s: float,
) -> list[tuple[float, int, float]]:
    """Sends requests at a steady rate to all nodes in turn.

    Returns the time of sending, the status and the duration of each; the
    status is 0 without an answer.
    """
    outcomes: list[tuple[float, int, float]] = []

    async def send(via: NodeSettings, number: int) -> None:
        sent_at = current_time()
        reply = await found.call("/read/1", body=b"order %d" % number, via=via)
        outcomes.append((sent_at, reply.status, current_time() - sent_at))

    started_at = current_time()
    async with create_task_group() as tasks:
        for number in range(int(seconds * per_s)):
            due = started_at + number / per_s
            await sleep(max(due - current_time(), 0.0))
            tasks.start_soon(send, nodes[number % len(nodes)], number)
    return outcomes


async def start_and_kill(found: Deployment) -> None:
    """Starts one more node, then kills the first one."""
    await sleep(BRITTLE_CONTACT_S + 1.0)
    await found.start_another("node-another")
    await sleep(2.0)
    found.kill()


async def play(
    found: Deployment,
    node_count: int,
    servers: Sequence[ServerStandIn],
    load: float,
    leave_out_first: bool = False,
) -> tuple[int, float]:
    """Sends more than the slots can serve; returns falls and served share.

    The share is that of what the slots can serve. The first node gets no
    requests if it is left out.
    """
    for server in servers:
        await found.add_server("desk", server, slots=SLOTS)
    nodes = await start_nodes(found, node_count)
    nodes = nodes[leave_out_first:]
    able_per_s = len(servers) * SLOTS / WORK_S
    async with create_task_group() as tasks:
        tasks.start_soon(restart_fallen, found, servers)
        since = current_time() + BRITTLE_CONTACT_S
        outcomes = await send_in_turn(
            found, nodes, BRITTLE_CONTACT_S + COUNTED_S, load * able_per_s
        )
        tasks.cancel_scope.cancel()
    served = sum(
        status == 200 and sent_at >= since for sent_at, status, _ in outcomes
    )
    falls = sum(len(server.falls) for server in servers)
    return falls, served / (able_per_s * COUNTED_S)


def brittle_servers(count: int, max_refusals: int) -> list[ServerStandIn]:
    """Returns servers that state that they are brittle."""
    return [
        ServerStandIn(
            f"server-{number}",
            work_s=WORK_S,
            slots=SLOTS,
            places=PLACES,
            max_refusals=max_refusals,
        )
        for number in range(count)
    ]


class TestBrittleServers:
    """Servers that crash when they refuse too many requests in a second."""

    @pytest.mark.parametrize(
        ("node_count", "server_count", "max_refusals", "load"),
        [(3, 4, 2, 1.5), (7, 4, 2, 1.5), (4, 8, 4, 1.3)],
    )
    async def test_servers_of_a_loaded_service_stay_up(
        self,
        node_count: int,
        server_count: int,
        max_refusals: int,
        load: float,
    ) -> None:
        async with deployment() as found:
            servers = brittle_servers(server_count, max_refusals)
            falls, share = await play(found, node_count, servers, load)
            assert falls <= allowed_falls(server_count)
            assert share >= SERVED_SHARE

    async def test_node_that_comes_and_node_that_is_killed(self) -> None:
        async with deployment() as found:
            servers = brittle_servers(4, 2)
            found.tasks.start_soon(start_and_kill, found)
            falls, share = await play(
                found, 4, servers, 1.5, leave_out_first=True
            )
            assert falls <= allowed_falls(len(servers))
            assert share >= SERVED_SHARE
