"""Connections of the HTTP client that go silent."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import BrokenResourceError
from anyio import create_task_group
from anyio import create_tcp_listener
from anyio import EndOfStream
from anyio import sleep
from anyio import sleep_forever
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
import pytest
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.http_client import HttpClient
from wasabiwing.ports import HttpReply

pytestmark = pytest.mark.anyio

TIMEOUT_S = 0.5

# Time that the server takes for an answer, in seconds: calls at the same
# moment need connections of their own.
ANSWER_S = 0.05

CALLS = 3

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class PartlySilentServer:
    """Leaves open connections unanswered, once it was told to."""

    def __init__(self, port: int) -> None:
        self.url = f"http://127.0.0.1:{port}/"
        self.connection_count = 0
        # Number of connections, the first ones, that are silent.
        self.silent_count = 0

    async def serve(self, stream: SocketStream) -> None:
        """Answers the requests on a connection."""
        number = self.connection_count
        self.connection_count += 1
        async with stream:
            while True:
                try:
                    await stream.receive()
                except (EndOfStream, BrokenResourceError):
                    return
                await sleep(ANSWER_S)
                if number < self.silent_count:
                    await sleep_forever()
                await stream.send(ANSWER)


@asynccontextmanager
async def partly_silent_server() -> AsyncIterator[PartlySilentServer]:
    """Runs a server until the end of the test."""
    async with (
        await create_tcp_listener(local_host="127.0.0.1") as listener,
        create_task_group() as tasks,
    ):
        port = listener.extra(SocketAttribute.local_port)
        server = PartlySilentServer(port)
        tasks.start_soon(listener.serve, server.serve)
        yield server
        tasks.cancel_scope.cancel()


async def call_at_once(
    client: HttpClient, url: str
) -> list[Result[HttpReply, Failure]]:
    """Makes some calls at the same moment."""
    replies: list[Result[HttpReply, Failure]] = []

    async def call() -> None:
        replies.append(await client.send("GET", url, timeout_s=TIMEOUT_S))

    async with create_task_group() as tasks:
        for _ in range(CALLS):
            tasks.start_soon(call)
    return replies


class TestSilentConnections:
    """Open connections go silent, while new ones work."""

    async def test_call_after_a_silent_one_is_made_on_a_silent_connection(
        self,
    ) -> None:
        """Guards against one time-out for each idle connection."""
        async with partly_silent_server() as server:
            client = HttpClient(doubts_idle=True)
            assert all(
                isinstance(reply, Ok)
                for reply in await call_at_once(client, server.url)
            )
            server.silent_count = server.connection_count
            lost = await client.send("GET", server.url, timeout_s=TIMEOUT_S)
            assert isinstance(lost, Err)
            assert lost.err_value.code is ResultCode.SERVER_TIMEOUT
            for _ in range(CALLS):
                reply = await client.send("GET", server.url)
                assert isinstance(reply, Ok)
            assert server.connection_count == server.silent_count + 1
            await client.close()

    async def test_time_out_ends_the_other_calls(self) -> None:
        """Guards against calls that are cut as one connection is silent."""
        async with partly_silent_server() as server:
            client = HttpClient(doubts_idle=True)
            await client.send("GET", server.url)
            server.silent_count = 1
            replies: list[Result[HttpReply, Failure]] = []

            async def call(timeout_s: float) -> None:
                reply = await client.send(
                    "GET", server.url, timeout_s=timeout_s
                )
                replies.append(reply)

            async with create_task_group() as tasks:
                tasks.start_soon(call, ANSWER_S / 2)
                await sleep(ANSWER_S / 4)
                tasks.start_soon(call, TIMEOUT_S)
            lost, answered = replies
            assert isinstance(lost, Err)
            assert isinstance(answered, Ok)
            await client.close()
