"""Tests of requests that another node carries, with nodes on loopback."""

from anyio import create_task_group
from anyio import move_on_after
from anyio import sleep
import pytest

from tests.cut_nodes import linked_nodes
from tests.cut_nodes import LinkedNodes
from wasabiwing.cap_admission import CapAdmission
from wasabiwing.ports import HttpReply
from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.usage_caps import CapRefusal
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.server import plain_answer
from wasabiwing_platform_standins.server import ReceivedRequest
from wasabiwing_platform_standins.server import ServerFault
from wasabiwing_platform_standins.server import stream_answer
from wasabiwing_soak.loopback_proxy import LinkCut

pytestmark = pytest.mark.anyio

BODY = b"two bags"
POLL_S = 0.02


def received(nodes: LinkedNodes) -> list[ReceivedRequest]:
    """Returns the requests that reached any server."""
    return [
        request
        for server in nodes.servers
        for request in server.received_requests
    ]


def set_fault(nodes: LinkedNodes, fault: ServerFault) -> None:
    """Lets each server fail its next request."""
    for server in nodes.servers:
        server.faults = [fault]


async def call(nodes: LinkedNodes, path: str) -> HttpReply:
    """Sends a request to the first node."""
    return await nodes.system.call(path, body=BODY)


async def cut_first_node(nodes: LinkedNodes) -> None:
    """Cuts the first node; returns when another one carries its requests."""
    nodes.set_cut(["node-1"], LinkCut.REFUSE)
    while (await call(nodes, "/read/1")).status != 200:
        await sleep(POLL_S)
    for server in nodes.servers:
        server.received_requests.clear()


class TestCarriedRequests:
    """The first of two nodes is cut from all servers."""

    async def test_server_gets_the_request_as_the_caller_sent_it(self) -> None:
        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            reply = await nodes.system.call(
                "/book/7?day=2",
                body=BODY,
                headers={"X-Wasabiwing-Attempts-Left": "9"},
            )
            (request,) = received(nodes)
        assert (reply.status, reply.body) == (200, plain_answer(BODY))
        assert (request.path, request.body) == ("/book/7", BODY)
        assert request.headers["wasabiwing-tenant"] == "north"
        assert "authorization" not in request.headers
        assert "x-wasabiwing-relayed-by" not in request.headers
        assert float(request.headers["wasabiwing-deadline-ms"]) <= 15_000

    @pytest.mark.parametrize("path", ["/chat/1", "/notes/1"])
    async def test_stream_is_passed_on_whole(self, path: str) -> None:
        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            reply = await call(nodes, path)
        assert (reply.status, reply.body) == (200, stream_answer())

    async def test_broken_stream_does_not_look_complete(self) -> None:
        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            set_fault(nodes, ServerFault.PARTIAL_EVENT)
            found = await nodes.system.client.send(
                "POST",
                f"http://{nodes.system.settings.caller_endpoint}/notes/1",
                caller_headers("attempt-1"),
                BODY,
                5.0,
            )
            assert found.is_err()
            assert len(received(nodes)) == 1

    async def test_request_that_may_have_run_is_not_refused_as_not_run(
        self,
    ) -> None:
        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            set_fault(nodes, ServerFault.CUT)
            reply = await call(nodes, "/book/1")
            assert reply.status == 502
            assert len(received(nodes)) == 1

    async def test_error_of_a_server_is_passed_on_unchanged(self) -> None:
        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            set_fault(nodes, ServerFault.ERROR)
            reply = await call(nodes, "/book/1")
        assert (reply.status, reply.body) == (500, b"failed")

    async def test_work_ends_when_the_caller_leaves(self) -> None:
        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            set_fault(nodes, ServerFault.SILENT)
            with move_on_after(1.0):
                await call(nodes, "/book/1")
            (request,) = received(nodes)
            while not request.cancelled:
                await sleep(POLL_S)

    async def test_withdrawn_key_gets_nothing(self) -> None:
        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            nodes.system.configure(
                configuration_document(
                    2, tenants=[{"name": "north", "apiKeys": ["another"]}]
                )
            )
            while (await call(nodes, "/book/1")).status != 401:
                await sleep(POLL_S)
            runs = len(received(nodes))
            assert (await call(nodes, "/book/1")).status == 401
            assert len(received(nodes)) == runs

    async def test_usage_cap_is_charged_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        charged: list[int | None] = []
        admit = CapAdmission.admit

        async def count(
            caps: CapAdmission,
            organisation: OrganisationProfile,
            tokens: int | None,
            version: int,
        ) -> CapRefusal | None:
            charged.append(tokens)
            return await admit(caps, organisation, tokens, version)

        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            monkeypatch.setattr(CapAdmission, "admit", count)
            assert (await call(nodes, "/book/1")).status == 200
        assert len(charged) == 1


class TestRunningRequests:
    """Requests that run when the links of their node are cut."""

    @pytest.mark.parametrize("path", ["/read/1", "/chat/1"])
    async def test_repeatable_request_moves_to_another_node(
        self, path: str
    ) -> None:
        async with linked_nodes(2) as nodes:
            await cut_first_node(nodes)
            nodes.set_cut(["node-1"], None)
            for server in nodes.servers:
                server.work_s = 0.5
            while not received(nodes):
                # The node uses its own links again.
                await call(nodes, "/book/1")
            replies: list[HttpReply] = []
            async with create_task_group() as tasks:

                async def ask() -> None:
                    replies.append(await call(nodes, path))

                running = len(received(nodes))
                tasks.start_soon(ask)
                while len(received(nodes)) == running:
                    await sleep(POLL_S)
                nodes.set_cut(["node-1"], LinkCut.SILENT)
            (reply,) = replies
            assert reply.status == 200
            whole = {"/read/1": plain_answer(BODY), "/chat/1": stream_answer()}
            assert reply.body == whole[path]
            assert len(received(nodes)) == running + 2


class TestNoCarrier:
    """Requests that no other node can carry."""

    async def test_request_is_not_relayed_twice(self) -> None:
        async with linked_nodes(3) as nodes:
            await cut_first_node(nodes)
            ids = [item.node_id for item in nodes.nodes]
            nodes.set_cut(ids, LinkCut.REFUSE)
            reply = await call(nodes, "/book/1")
            assert reply.status == 503
            assert b"retry-after" in dict(reply.headers)
            assert not received(nodes)

    async def test_relay_endpoint_serves_no_stranger(self) -> None:
        async with linked_nodes(1) as nodes:
            settings = nodes.system.settings
            reply = await nodes.system.client.send(
                "POST",
                f"http://{settings.relay_endpoint}/book/1",
                caller_headers("attempt-1"),
                BODY,
            )
            assert reply.unwrap().status == 404
            assert not received(nodes)

    async def test_node_that_is_cut_as_well_is_left_out(self) -> None:
        async with linked_nodes(3) as nodes:
            await cut_first_node(nodes)
            nodes.set_cut(["node-2"], LinkCut.REFUSE)
            statuses = []
            async with create_task_group() as tasks:

                async def ask() -> None:
                    statuses.append((await call(nodes, "/book/1")).status)

                for _ in range(10):
                    tasks.start_soon(ask)
            assert statuses == [200] * 10
            assert len(received(nodes)) == 10
