"""Tests of connections over dead links, and of those to silent peers."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from ctypes import addressof
from ctypes import create_string_buffer
from math import ceil
from socket import IPPROTO_TCP
from socket import SO_KEEPALIVE
from socket import SOL_SOCKET
from socket import TCP_KEEPCNT
from socket import TCP_KEEPIDLE
from socket import TCP_KEEPINTVL
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT
from struct import pack

from anyio import create_task_group
from anyio import fail_after
from anyio import move_on_after
from anyio import sleep
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from httpcore import AnyIOBackend
import pytest
from result import Result

from tests.raw_server import RawServer
from tests.raw_server import serve_raw
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.http_client import HttpClient
from wasabiwing.server_connections import ServerConnections
from wasabiwing.tcp_options import KEEPALIVE_IDLE_S
from wasabiwing.tcp_options import KEEPALIVE_INTERVAL_S
from wasabiwing.tcp_options import KEEPALIVE_PROBES
from wasabiwing.tcp_options import SOCKET_OPTIONS
from wasabiwing.tcp_options import USER_TIMEOUT_MS
from wasabiwing.timers import SystemTimer

pytestmark = pytest.mark.anyio

SILENT_PATH = "/silent"

# Time after which the options end a connection over a dead link, in seconds.
DEAD_S = KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S

# Time that the client waits for an answer, in seconds.
ANSWER_TIMEOUT_S = 60.0

# Linux numbers this option the same on all architectures in use; the module
# ``socket`` does not name it.
SO_ATTACH_FILTER = 26

# Filter program of one instruction: keep 0 bytes of each packet.
DROP_ALL = pack("HBBI", 6, 0, 0, 0)

Ask = Callable[[str], Awaitable[Result[object, Failure]]]


def drop_incoming(stream: SocketStream) -> None:
    """Drops all packets to a connection, so that it acknowledges none."""
    program = create_string_buffer(DROP_ALL, len(DROP_ALL))
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(
        SOL_SOCKET, SO_ATTACH_FILTER, pack("HP", 1, addressof(program))
    )


async def ask_through_node(address: str) -> Result[object, Failure]:
    """Sends a request as a node does."""
    connections = ServerConnections(SystemTimer(), lambda server_id: None)
    return await connections.send(
        "server",
        address,
        b"GET",
        SILENT_PATH.encode(),
        ((b"host", b"server"),),
        b"",
        ANSWER_TIMEOUT_S,
    )


async def ask_through_client(address: str) -> Result[object, Failure]:
    """Sends a request as the gateway and all other adapters do."""
    client = HttpClient()
    try:
        return await client.send(
            "GET",
            f"http://{address}{SILENT_PATH}",
            timeout_s=ANSWER_TIMEOUT_S,
        )
    finally:
        await client.close()


@asynccontextmanager
async def silent_server() -> AsyncIterator[tuple[RawServer, str]]:
    """Runs a server that reads requests and answers none."""
    server = RawServer(
        lambda headers: b"", unanswered_paths=(SILENT_PATH.encode(),)
    )
    async with serve_raw(server) as address:
        yield server, address


class TestOptions:
    """The options of a connection, and whether they fit together."""

    async def test_connection_has_all_options(self) -> None:
        async with silent_server() as (_, address):
            host, _, port = address.rpartition(":")
            stream = await AnyIOBackend().connect_tcp(
                host, int(port), socket_options=SOCKET_OPTIONS
            )
            raw = stream.get_extra_info("socket")
            assert raw.getsockopt(IPPROTO_TCP, TCP_NODELAY)
            assert raw.getsockopt(SOL_SOCKET, SO_KEEPALIVE)
            for option, value in (
                (TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
                (TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
                (TCP_KEEPCNT, KEEPALIVE_PROBES),
                (TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            ):
                assert raw.getsockopt(IPPROTO_TCP, option) == value
            await stream.aclose()

    def test_user_timeout_leaves_all_probes_their_time(self) -> None:
        """Guards against a silent server that one lost probe cuts.

        The kernel ends a connection at the first probe that is due after the
        user timeout.
        """
        user_timeout_s = USER_TIMEOUT_MS / 1000
        probed_s = user_timeout_s - KEEPALIVE_IDLE_S
        assert ceil(probed_s / KEEPALIVE_INTERVAL_S) == KEEPALIVE_PROBES
        assert user_timeout_s < DEAD_S


@pytest.mark.parametrize("ask", [ask_through_node, ask_through_client])
class TestSilence:
    """Requests whose answers do not come."""

    async def test_acknowledged_request_ends_with_its_dead_link(
        self, ask: Ask
    ) -> None:
        """Guards against a request that hangs until its deadline."""
        failures: list[ResultCode] = []
        async with silent_server() as (server, address):

            async def run() -> None:
                failures.append((await ask(address)).unwrap_err().code)

            with fail_after(3 * DEAD_S):
                async with create_task_group() as tasks:
                    tasks.start_soon(run)
                    while not server.waiting:
                        await sleep(0.01)
                    # The request is acknowledged by then.
                    await sleep(0.1)
                    drop_incoming(server.waiting[0])
            assert failures == [ResultCode.SERVER_CUT]

    async def test_request_to_a_silent_server_goes_on(self, ask: Ask) -> None:
        """Guards against an end of requests to slow but sound servers."""
        async with silent_server() as (server, address):
            with move_on_after(DEAD_S + 2.0) as scope:
                await ask(address)
            assert scope.cancelled_caught
