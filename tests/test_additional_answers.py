"""Bytes of a server that stand where the answer to a request is expected."""

from anyio import BrokenResourceError
from anyio import create_task_group
from anyio import create_tcp_listener
from anyio import EndOfStream
from anyio import sleep
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from anyio.abc import TaskGroup
import pytest

from tests.node_deployment import Deployment
from tests.node_deployment import deployment

pytestmark = pytest.mark.anyio

WORK_S = 0.05

# Answers that name no request, as a faulty server may send them in addition.
ADDITIONAL = {
    "421": b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
    "503": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "503 with a pause": (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\n"
        b"Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    ),
    "429": b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
    "408": b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
    "500": b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    "200": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "200 with a stamp": (
        b"HTTP/1.1 200 OK\r\nWasabiwing-Response-Stamp: s\r\n"
        b"Content-Length: 4\r\n\r\ndone"
    ),
}

additional_answers = pytest.mark.parametrize(
    "additional", ADDITIONAL.values(), ids=ADDITIONAL.keys()
)


class FaultyServer:
    """A server that sends other bytes before the answer to one request."""

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        self.additional = b""
        # Bodies of the requests that it ran.
        self.ran: list[bytes] = []

    async def start(self) -> str:
        """Listens on loopback; returns the address."""
        listener = await create_tcp_listener(local_host="127.0.0.1")
        self._tasks.start_soon(listener.serve, self._serve)
        port = listener.extra(SocketAttribute.local_port)
        return f"127.0.0.1:{port}"

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with stream:
                pending = b""
                while True:
                    pending = await self._answer(stream, pending)
        except (EndOfStream, BrokenResourceError):
            pass

    async def _answer(self, stream: SocketStream, pending: bytes) -> bytes:
        """Answers a request; returns what was read behind it."""
        while b"\r\n\r\n" not in pending:
            pending += await stream.receive()
        start, _, rest = pending.partition(b"\r\n\r\n")
        fields = dict(
            (name.lower(), value.strip())
            for name, _, value in (
                line.partition(b":") for line in start.split(b"\r\n")[1:]
            )
        )
        length = int(fields.get(b"content-length", b"0"))
        while len(rest) < length:
            rest += await stream.receive()
        body = rest[:length]
        if body == b"order 2" and self.additional:
            await stream.send(self.additional)
        await sleep(WORK_S)
        if body:
            self.ran.append(body)
        attempt_id = fields.get(b"wasabiwing-attempt-id", b"")
        await stream.send(
            b"HTTP/1.1 200 OK\r\nWasabiwing-Attempt-Id: %b\r\n"
            b"Wasabiwing-Response-Stamp: stamp\r\nKeep-Alive: timeout=10\r\n"
            b"Content-Length: 4\r\n\r\ndone" % attempt_id
        )
        return rest[length:]


async def play(path: str, additional: bytes) -> tuple[int, list[bytes]]:
    """Sends two requests; returns the second's status and all runs.

    Two servers send the additional bytes before their answer to the second.
    """
    async with create_task_group() as tasks, deployment() as system:
        servers = [FaultyServer(tasks) for _ in range(2)]
        await _register(system, servers)
        await system.wait_ready()
        for _ in range(4):
            assert (await system.call(path, body=b"order 1")).status == 200
        for server in servers:
            server.additional = additional
        reply = await system.call(path, body=b"order 2")
        # A run goes on after the additional bytes.
        await sleep(2 * WORK_S)
        again = await system.call(path, body=b"order 3")
        assert again.status == 200
        ran = [body for server in servers for body in server.ran]
        tasks.cancel_scope.cancel()
    return reply.status, ran


async def _register(system: Deployment, servers: list[FaultyServer]) -> None:
    for number, server in enumerate(servers):
        server_id = f"desk-{number}"
        system.address_by_server[server_id] = await server.start()
        system.register(server_id, "desk")


class TestNonIdempotent:
    """Requests that may run at most once."""

    @additional_answers
    async def test_additional_answer_is_taken_for_a_refusal(
        self, additional: bytes
    ) -> None:
        """Guards against a second run, and a false "not run" (TWICE)."""
        status, ran = await play("/book/1", additional)
        assert ran.count(b"order 2") == 1
        # Nobody can know whether it runs: a failure that promises nothing.
        assert status == 502

    async def test_refusal_without_an_id_is_lost(self) -> None:
        """A server states with a header that it did not run a request."""
        refusal = (
            b"HTTP/1.1 503 Service Unavailable\r\n"
            b"Wasabiwing-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        async with create_task_group() as tasks, deployment() as system:
            servers = [FaultyServer(tasks) for _ in range(2)]
            await _register(system, servers)
            await system.wait_ready()
            for server in servers:
                server.additional = refusal
            reply = await system.call("/book/1", body=b"order 2")
            tasks.cancel_scope.cancel()
        assert reply.status == 503


class TestIdempotent:
    """Requests that may be repeated."""

    @additional_answers
    async def test_additional_answer_is_taken_for_the_answer(
        self, additional: bytes
    ) -> None:
        """Guards against a false answer: no other server is asked."""
        status, ran = await play("/read/1", additional)
        assert status in (200, 502)
        assert b"order 2" in ran
