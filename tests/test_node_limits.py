"""Tests of servers that name a limit of requests, through whole nodes."""

from collections.abc import Sequence

from anyio import create_task_group
from anyio import current_time
from anyio import sleep
import pytest

from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from wasabiwing.node_settings import NodeSettings
from wasabiwing.ports import HttpReply
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

# Time after the first naming of a limit from which it binds, and the length
# of the windows in which requests are counted, in seconds.
CONTACT_S = 3.0
WINDOW_S = 4.0

# Requests that a window may have beyond one and a half times the limit.
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5

TRAFFIC_S = CONTACT_S + WINDOW_S + 1.0


def allowed_requests(limit_per_s: float) -> int:
    """Returns how many requests a limited server may get in a window."""
    return int(limit_per_s * WINDOW_S * EXCESS_FACTOR + EXCESS_REQUESTS)


def worst_window(server: ServerStandIn, since: float) -> int:
    """Returns the most requests that a server got in a window."""
    arrivals = [
        request.arrived_at
        for request in server.received_requests
        if request.arrived_at >= since
    ]
    return max(
        (
            sum(begin <= moment < begin + WINDOW_S for moment in arrivals)
            for begin in arrivals
        ),
        default=0,
    )


async def send_steadily(
    found: Deployment,
    nodes: Sequence[NodeSettings],
    per_s: float,
    path: str = "/read/1",
) -> list[HttpReply]:
    """Sends requests to all nodes in turn, without waiting for answers."""
    replies: list[HttpReply] = []

    async def send(via: NodeSettings, number: int) -> None:
        body = b"order %d" % number
        replies.append(await found.call(path, body=body, via=via))

    started_at = current_time()
    async with create_task_group() as tasks:
        for number in range(int(TRAFFIC_S * per_s)):
            due = started_at + number / per_s
            await sleep(max(due - current_time(), 0.0))
            tasks.start_soon(send, nodes[number % len(nodes)], number)
    return replies


async def start_nodes(found: Deployment, count: int) -> list[NodeSettings]:
    """Starts nodes; returns their settings when all are ready."""
    await found.wait_ready()
    return [
        found.settings,
        *[
            await found.start_another(f"node-{number}")
            for number in range(2, count + 1)
        ],
    ]


class TestNamedLimit:
    """Servers that name in their answers how many requests they take."""

    async def test_three_nodes_together_exceed_the_limit_of_one_server(
        self,
    ) -> None:
        async with deployment() as found:
            servers = [ServerStandIn(f"server-{item}") for item in range(6)]
            for server in servers:
                await found.add_server("desk", server)
            nodes = await start_nodes(found, 3)
            limited = servers[0]
            limited.limit_per_s = 1.5
            started_at = current_time()
            replies = await send_steadily(found, nodes, 48)
            assert {reply.status for reply in replies} == {200}
            worst = worst_window(limited, started_at + CONTACT_S)
            assert worst <= allowed_requests(1.5)

    async def test_limits_of_all_servers_are_exceeded_by_the_excess_load(
        self,
    ) -> None:
        """Guards also against a service that is refused altogether."""
        async with deployment() as found:
            servers = [ServerStandIn(f"server-{item}") for item in range(4)]
            for server in servers:
                server.limit_per_s = 1.5
                await found.add_server("desk", server)
            nodes = await start_nodes(found, 3)
            started_at = current_time()
            replies = await send_steadily(found, nodes, 20)
            for server in servers:
                worst = worst_window(server, started_at + CONTACT_S)
                assert worst <= allowed_requests(1.5)
            assert {reply.status for reply in replies} == {200, 503}
            served = sum(
                request.arrived_at >= started_at + CONTACT_S
                for server in servers
                for request in server.received_requests
            )
            window_s = TRAFFIC_S - CONTACT_S
            assert served >= 0.8 * 4 * 1.5 * window_s
