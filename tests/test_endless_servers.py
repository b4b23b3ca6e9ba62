"""Tests with servers that send bytes without end, on raw sockets."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager

from anyio import BrokenResourceError
from anyio import ClosedResourceError
from anyio import create_task_group
from anyio import create_tcp_listener
from anyio import EndOfStream
from anyio import fail_after
from anyio import sleep
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
import pytest

from tests.examples import Caller
from tests.examples import chat_text
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from tests.node_deployment import POLL_S
from tests.raw_server import free_port
from wasabiwing import http_client
from wasabiwing.codes import ResultCode
from wasabiwing.event_splitter import EventSplitter
from wasabiwing.event_splitter import MAX_EVENT_BYTES
from wasabiwing.http_client import HttpClient
from wasabiwing.http_client import MAX_REPLY_BYTES
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing.server_connections import AnswerMemoryBudget
from wasabiwing.server_connections import MAX_ANSWER_BYTES
from wasabiwing.server_connections import MAX_BUFFERED_ANSWER_BYTES
from wasabiwing_platform_standins.server import ServerStandIn
from wasabiwing_standins.engine import answer_text

pytestmark = pytest.mark.anyio

BLOCK = b"x" * 16_384

# Bytes that socket buffers on both sides may hold unread.
SOCKET_BYTES = 16_000_000

# Function from a request's attempt id to the first bytes of its answer, and a
# block that is repeated after them.
Answer = tuple[Callable[[bytes], bytes], bytes]


def success(more: bytes) -> Callable[[bytes], bytes]:
    """Returns a function that builds a valid head of an answer."""

    def head(attempt_id: bytes) -> bytes:
        return (
            b"HTTP/1.1 200 OK\r\n"
            b"wasabiwing-attempt-id: " + attempt_id + b"\r\n"
            b"wasabiwing-response-stamp: stamp\r\n" + more
        )

    return head


ENDLESS_ANSWERS: dict[str, Answer] = {
    "start line": (lambda _: b"HTTP/1.1 200 ", BLOCK),
    "header": (success(b"x-long: "), BLOCK),
    "headers": (success(b""), b"x-more: yes\r\n" * 1000),
    "interim answers": (lambda _: b"", b"HTTP/1.1 102 \r\n\r\n" * 1000),
    "body without length": (success(b"connection: close\r\n\r\n"), BLOCK),
    "chunks": (
        success(b"transfer-encoding: chunked\r\n\r\n"),
        b"4000\r\n" + BLOCK + b"\r\n",
    ),
    "chunk size": (success(b"transfer-encoding: chunked\r\n\r\n"), b"0" * 999),
    "chunk extension": (
        success(b"transfer-encoding: chunked\r\n\r\n4;x="),
        BLOCK,
    ),
    "trailers": (
        success(b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"),
        b"x-more: yes\r\n" * 1000,
    ),
    "bytes after the answer": (
        success(b"content-length: 2\r\n\r\nok"),
        BLOCK,
    ),
}


class EndlessServer:
    """Answers each request with bytes until the caller closes."""

    def __init__(
        self, answer: Answer, pause_s: float = 0.0, path: bytes = b"/"
    ) -> None:
        self._answer = answer
        # Requests for other paths are not answered.
        self._path = path
        # Time between two blocks, in seconds.
        self._pause_s = pause_s
        self.requests = 0
        # Numbers of connections that the caller has closed and of bytes sent.
        self.closed = 0
        self.sent_bytes = 0

    async def serve(self, stream: SocketStream) -> None:
        """Serves one connection."""
        async with stream:
            received = b""
            while b"\r\n\r\n" not in received:
                try:
                    received += await stream.receive()
                except (EndOfStream, BrokenResourceError):
                    return
            if self._path not in received.partition(b"\r\n")[0]:
                return
            self.requests += 1
            first, block = self._answer
            name = b"wasabiwing-attempt-id: "
            attempt_id = b""
            for line in received.split(b"\r\n"):
                if line.lower().startswith(name):
                    attempt_id = line[len(name) :]
            try:
                await stream.send(first(attempt_id))
                while True:
                    await stream.send(block)
                    self.sent_bytes += len(block)
                    await sleep(self._pause_s)
            except (BrokenResourceError, ClosedResourceError):
                self.closed += 1


@asynccontextmanager
async def endless(
    found: Deployment, service: str, answer: Answer
) -> AsyncIterator[EndlessServer]:
    """Runs and registers an endless server."""
    server = EndlessServer(answer)
    listener = await create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve)
        found.address_by_server["endless"] = f"127.0.0.1:{port}"
        found.register("endless", service)
        yield server
        tasks.cancel_scope.cancel()
    await listener.aclose()


class TestEndlessServers:
    """A node in front of servers that never stop sending."""

    @pytest.mark.parametrize("place", ENDLESS_ANSWERS)
    async def test_plain_answer_is_cut_off_and_others_go_on(
        self, place: str
    ) -> None:
        async with deployment() as found:
            answer = ENDLESS_ANSWERS[place]
            async with endless(found, "desk", answer) as server:
                await found.wait_ready()
                reply = await found.call("/book/1")
                is_valid = place == "bytes after the answer"
                expected = (200,) if is_valid else (502, 504)
                assert reply.status in expected
                with fail_after(TEST_TIMEOUT_S):
                    while not server.closed:
                        await sleep(POLL_S)
                bound = MAX_ANSWER_BYTES + SOCKET_BYTES
                if place != "interim answers":
                    assert server.sent_bytes < bound
                healthy = ServerStandIn("sound")
                await found.add_server("desk", healthy)
                found.store.remove("servers/endless")
                while not healthy.runs:
                    reply = await found.call("/read/2")
                    await sleep(POLL_S)
                assert reply.status == 200

    async def test_event_without_an_end_is_cut_off(self) -> None:
        async with deployment() as found:
            head = success(
                b"content-type: text/event-stream\r\n"
                b"connection: close\r\n\r\nid: 1\ndata: "
            )
            async with endless(found, "models", (head, BLOCK)) as server:
                await found.wait_ready()
                reply = await found.call("/chat/1")
                assert reply.status in (502, 504)
                with fail_after(TEST_TIMEOUT_S):
                    while not server.closed:
                        await sleep(POLL_S)
                assert server.sent_bytes < MAX_EVENT_BYTES + SOCKET_BYTES

    async def test_event_without_an_end_is_cut_off_at_a_gateway(self) -> None:
        """Guards against a gateway that buffers an event without bound."""
        server = EndlessServer(
            (success(b"connection: close\r\n\r\nid: 1\ndata: "), BLOCK),
            path=b"/v1/chat/completions",
        )
        async with running_deployment(
            example_configuration(),
            1,
            routing_policy=RoutingPolicy.LEAST_OUTSTANDING,
        ) as system:
            # The policy sends the first request to this engine.
            engine = system.engine_by_id["model-1"].server
            engine.kill()
            port = await free_port(engine.address)
            listener = await create_tcp_listener(
                local_host="127.0.0.1", local_port=port
            )
            async with create_task_group() as tasks:
                tasks.start_soon(listener.serve, server.serve)
                with fail_after(TEST_TIMEOUT_S):
                    reply = await Caller(HttpClient()).chat(
                        system.vms[0], "drop", 20
                    )
                assert chat_text(reply) == answer_text("drop", 20)
                assert server.sent_bytes < MAX_EVENT_BYTES + SOCKET_BYTES
                tasks.cancel_scope.cancel()
            await listener.aclose()

    async def test_reply_of_another_system_is_cut_off(self) -> None:
        client = HttpClient()
        answer = ENDLESS_ANSWERS["body without length"]
        server = EndlessServer(answer)
        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        async with create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            reply = await client.send("GET", f"http://127.0.0.1:{port}/")
            assert reply.is_err()
            with fail_after(TEST_TIMEOUT_S):
                while not server.closed:
                    await sleep(POLL_S)
            assert server.sent_bytes < MAX_REPLY_BYTES + SOCKET_BYTES
            tasks.cancel_scope.cancel()
        await client.close()
        await listener.aclose()


class TestTricklingServices:
    """Stores and clouds that keep sending single bytes."""

    @pytest.mark.parametrize(
        "answer",
        [
            (success(b"x-long: "), b"x"),
            (success(b"connection: close\r\n\r\n"), b"x"),
        ],
        ids=["head", "body"],
    )
    async def test_call_ends_although_each_wait_for_bytes_is_short(
        self, answer: Answer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a renewal of a lease that never returns."""
        monkeypatch.setattr(http_client, "BODY_TIMEOUT_S", 0.5)
        server = EndlessServer(answer, pause_s=0.05)
        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        client = HttpClient()
        async with create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            with fail_after(TEST_TIMEOUT_S):
                reply = await client.send(
                    "GET", f"http://127.0.0.1:{port}/", timeout_s=0.3
                )
            assert reply.unwrap_err().code is ResultCode.SERVER_TIMEOUT
            tasks.cancel_scope.cancel()
        await client.close()
        await listener.aclose()


class TestMemory:
    """Bounds of what a node buffers."""

    def test_all_answers_together_are_bounded(self) -> None:
        memory = AnswerMemoryBudget()
        assert memory.reserve(MAX_BUFFERED_ANSWER_BYTES)
        assert not memory.reserve(1)
        memory.release(MAX_BUFFERED_ANSWER_BYTES)
        assert memory.reserve(1)

    def test_an_event_without_an_end_is_noticed(self) -> None:
        cutter = EventSplitter()
        assert cutter.feed(b"data: " + b"x" * MAX_EVENT_BYTES) == b""
        assert cutter.is_event_too_long
        cutter = EventSplitter()
        cutter.feed(b"data: " + b"x" * MAX_EVENT_BYTES + b"\n\n")
        assert not cutter.is_event_too_long
