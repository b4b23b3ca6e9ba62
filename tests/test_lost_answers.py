"""Tests of requests that lose a sound server's answer at a node on loopback.

They show ways in which an answer is lost without a fault of its server.
"""

from dataclasses import replace

from anyio import create_task_group
from anyio import Event
from anyio import sleep
import pytest

from tests.cut_nodes import linked_nodes
from tests.cut_nodes import LinkedNodes
from tests.node_deployment import BOUNDS
from tests.node_deployment import POLL_S
from wasabiwing.ports import HttpReply
from wasabiwing_platform_standins.server import plain_answer
from wasabiwing_platform_standins.server import stream_answer
from wasabiwing_platform_standins.server import STREAM_EVENTS
from wasabiwing_soak.loopback_proxy import LinkCut
from wasabiwing_soak.loopback_proxy import LoopbackProxy

pytestmark = pytest.mark.anyio

BODY = b"two bags"

# Run of a sound server, in seconds; longer than the silence after which an
# attempt at a server that accepts no connection is ended.
RUN_S = 3.0

WHOLE_BY_ROUTE = {
    "read": plain_answer(BODY),
    "chat": stream_answer(),
    "book": plain_answer(BODY),
    "notes": stream_answer(),
}


def set_run_s(nodes: LinkedNodes, run_s: float) -> None:
    """Sets how long all servers take for a request."""
    for server in nodes.servers:
        server.run_s = lambda body: run_s


async def wait_received(nodes: LinkedNodes) -> None:
    """Waits until a server has got a request."""
    while not any(server.received_requests for server in nodes.servers):
        await sleep(POLL_S)


class TestServerThatAcceptsNoFurtherConnections:
    """Open connections live on and the runs on them are sound.

    A server that leaves may also close its port and end its runs.
    """

    @pytest.mark.parametrize("count", [1, 2])
    @pytest.mark.parametrize("route", ["read", "chat", "book", "notes"])
    async def test_its_run_is_waited_for(self, route: str, count: int) -> None:
        replies: list[HttpReply | str] = []

        async def call(nodes: LinkedNodes) -> None:
            try:
                replies.append(
                    await nodes.system.call(f"/{route}/1", body=BODY)
                )
            except Exception as error:
                replies.append(repr(error))

        async with linked_nodes(count) as nodes:
            set_run_s(nodes, RUN_S)
            async with create_task_group() as tasks:
                tasks.start_soon(call, nodes)
                await wait_received(nodes)
                await sleep(1.2 * RUN_S / STREAM_EVENTS)
                nodes.set_cut(
                    [item.node_id for item in nodes.nodes], LinkCut.HALF
                )
        (reply,) = replies
        assert isinstance(reply, HttpReply), reply
        assert (reply.status, reply.body) == (200, WHOLE_BY_ROUTE[route])


class TestStoppingNodeThatCarriesRequests:
    """A node of another one's requests is asked to stop."""

    @pytest.mark.parametrize("relayed", [False, True])
    @pytest.mark.parametrize("route", ["book", "notes"])
    async def test_its_requests_may_end_until_the_kill(
        self, route: str, relayed: bool
    ) -> None:
        replies: list[HttpReply | str] = []
        async with linked_nodes(1) as nodes:
            system = nodes.system
            other = replace(system, stop=Event(), stopped=Event())
            links = nodes._links_by_node
            links["node-2"] = links["node-1"]
            if relayed:
                # Only the first node is cut; the second has no proxies.
                links["node-2"] = {
                    server_id: LoopbackProxy(address, address=address)
                    for server_id, address in system.address_by_server.items()
                }
            second = await other.start_another("node-2")
            if relayed:
                nodes.set_cut(["node-1"], LinkCut.REFUSE)
                while (await system.call("/read/1", body=BODY)).status != 200:
                    await sleep(POLL_S)
                for server in nodes.servers:
                    server.received_requests.clear()
            # Ends before the kill.
            set_run_s(nodes, BOUNDS.stop_grace_s - 0.5)

            async def call() -> None:
                try:
                    replies.append(
                        await system.call(
                            f"/{route}/1",
                            body=BODY,
                            via=None if relayed else second,
                        )
                    )
                except Exception as error:
                    replies.append(repr(error))

            async with create_task_group() as tasks:
                tasks.start_soon(call)
                await wait_received(nodes)
                other.stop.set()
        (reply,) = replies
        assert isinstance(reply, HttpReply), reply
        assert (reply.status, reply.body) == (200, WHOLE_BY_ROUTE[route])


class _Direct:
    """Stands for a link that leads to a server's own address."""

    def __init__(self, address: str) -> None:
        self.address = address
