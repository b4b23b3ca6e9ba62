"""Tests of the limits on all clients of a process, and on slow ones."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import replace

from anyio import connect_tcp
from anyio import create_task_group
from anyio import Event
from anyio import fail_after
from anyio import sleep
import pytest

from tests.raw_caller import read_answer
from tests.raw_caller import read_to_end
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import BodyProblem
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import read_body
from wasabiwing.asgi import Receive
from wasabiwing.asgi import Scope
from wasabiwing.asgi import Send
from wasabiwing.asgi import serve_http
from wasabiwing.client_limits import ClientLimits
from wasabiwing.client_limits import process_limits
from wasabiwing.client_limits import ProcessLimits
from wasabiwing.client_limits import Standing
from wasabiwing.connection_budget import ConnectionBudget

SMALLEST_MB = 200
SMALLEST_DESCRIPTORS = 4_100

# Times that a test can wait for.
SHORT = ClientLimits(
    header_timeout_s=0.1,
    body_timeout_s=0.6,
    body_silence_s=0.1,
    silence_timeout_s=0.1,
    unread_timeout_s=0.1,
)
UNFINISHED = b"GET / HTTP/1.1\r\nContent-Length: 5\r\n\r\n1"
ANSWER_BYTES = 20_000_000
WAIT_S = 20.0
POLL_S = 0.05


@dataclass(eq=False, slots=True)
class FakeConnection:
    """A connection with a given standing."""

    given: Standing
    is_cut: bool = False

    def standing(self) -> Standing:
        """Returns what the connection has delivered and holds."""
        return self.given

    def cut(self) -> None:
        """Records that the connection was closed."""
        self.is_cut = True


NEW = Standing(is_running=False, answered=0, held_bytes=10, opened_at=5.0)
OLD = replace(NEW, opened_at=1.0)
USED = replace(OLD, answered=7)
BUSY = replace(OLD, is_running=True)
LARGE = replace(NEW, held_bytes=90)


class TestProcessLimits:
    """The limits that follow from a machine's size."""

    def test_smallest_machine_has_no_room_left(self) -> None:
        """Guards against limits that leave nothing for servers and files."""
        limits = process_limits(SMALLEST_MB, SMALLEST_DESCRIPTORS)
        assert limits == ProcessLimits(1_950, 50_000_000)

    def test_process_without_descriptors_serves_nobody(self) -> None:
        assert process_limits(SMALLEST_MB, 100).max_connections > 0


class TestBudget:
    """Which connections are closed at a limit."""

    @pytest.mark.parametrize(
        ("standings", "cut"),
        [
            ((USED, OLD, NEW), OLD),
            ((BUSY, USED, NEW), NEW),
            ((BUSY, USED, USED), USED),
        ],
    )
    def test_connection_that_delivered_more_is_closed(
        self, standings: tuple[Standing, ...], cut: Standing
    ) -> None:
        causes: list[str] = []
        budget = ConnectionBudget(
            process=ProcessLimits(2, 1_000), count_refusal=causes.append
        )
        connections = [FakeConnection(standing) for standing in standings]
        for connection in connections:
            budget.add(connection, 0.0)
        assert [item.given for item in connections if item.is_cut][0] == cut
        assert set(causes) == {"connections"}

    def test_small_holder_is_closed_for_memory(self) -> None:
        budget = ConnectionBudget(process=ProcessLimits(9, 100))
        connections = [FakeConnection(item) for item in (USED, NEW, LARGE)]
        for connection in connections:
            budget.add(connection, 0.0)
            budget.hold(connection, connection.given.held_bytes, 0.0)
        assert [item.is_cut for item in connections] == [False, False, True]
        assert budget.held_bytes == 20


@asynccontextmanager
async def slow_server(causes: list[str]) -> AsyncIterator[int]:
    """Serves large answers under short limits; yields the port."""
    listener = bind_listener("127.0.0.1", 0)
    stop = Event()
    budget = ConnectionBudget(
        limits=lambda: SHORT, count_refusal=causes.append
    )

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive, ANSWER_BYTES)
        if isinstance(body, BodyProblem):
            return
        head = {"type": "http.response.start", "status": 200}
        await send({**head, "headers": [(b"content-type", b"text/plain")]})
        answer = b"x" * ANSWER_BYTES
        await send({"type": "http.response.body", "body": answer})

    async def serve() -> None:
        await serve_http(application, listener, stop, budget=budget)

    async with create_task_group() as tasks:
        tasks.start_soon(serve)
        yield int(listener_address(listener).rpartition(":")[2])
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
class TestSlowClients:
    """Clients that hold a connection of a server with short limits."""

    @pytest.mark.parametrize(
        ("sent", "cause", "status"),
        [
            (b"GET / HT", "slow_head", b"408"),
            (UNFINISHED, "slow_body", b"408"),
            (b"\r\n", "silent", b""),
            (b"", "silent", b""),
        ],
    )
    async def test_connection_is_held_for_ever(
        self, sent: bytes, cause: str, status: bytes
    ) -> None:
        causes: list[str] = []
        async with slow_server(causes) as port:
            async with await connect_tcp("127.0.0.1", port) as stream:
                if sent:
                    await stream.send(sent)
                with fail_after(WAIT_S):
                    answer = await read_answer(stream)
        assert causes == [cause]
        assert answer.partition(b"\r\n")[0][9:12] == status

    async def test_unread_answer_is_held_for_ever(self) -> None:
        causes: list[str] = []
        async with slow_server(causes) as port:
            async with await connect_tcp("127.0.0.1", port) as stream:
                await stream.send(b"GET / HTTP/1.1\r\n\r\n")
                with fail_after(WAIT_S):
                    while not causes:
                        await sleep(POLL_S)
                reply = await read_to_end(stream)
        assert causes == ["unread"]
        assert len(reply.body) < ANSWER_BYTES
