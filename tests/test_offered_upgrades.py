"""Requests that offer an upgrade of the protocol, on raw sockets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from random import Random

from anyio import connect_tcp
from anyio import create_task_group
from anyio import Event
from anyio import move_on_after
from anyio import sleep
import pytest

from tests.node_deployment import deployment
from tests.raw_caller import read_answer
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import BodyProblem
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import read_body
from wasabiwing.asgi import Receive
from wasabiwing.asgi import Scope
from wasabiwing.asgi import Send
from wasabiwing.asgi import serve_http
from wasabiwing.header_timeout import header_timeout_protocol
from wasabiwing.header_timeout import PipelineProtocol
from wasabiwing.offered_upgrade import head_without_upgrade
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

# Offers as common HTTP clients send them, and in odd spellings.
OFFERS = {
    "h2c": (
        "Connection: Upgrade, HTTP2-Settings\r\n"
        "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAoAAA\r\n"
    ),
    "websocket": (
        "Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n"
        "Sec-WebSocket-Version: 13\r\n"
    ),
    "several headers": (
        "Connection: keep-alive\r\nUPGRADE: h2c\r\nconnection: uPgRaDe\r\n"
        "Upgrade: websocket, h2c\r\n"
    ),
    "no value": "Connection: upgrade\r\nUpgrade:\r\n",
    "without option": "Upgrade: h2c\r\n",
}

# A body that would be a request of its own.
SMUGGLED = (
    b"POST /smuggled HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n\r\n"
)

CHUNKED = "Transfer-Encoding: chunked\r\n"

# Longest wait for an answer, in seconds.
ANSWER_TIMEOUT_S = 5.0


def request(offer: str, body: bytes, chunked: bool = False) -> bytes:
    """Returns a request that offers an upgrade."""
    length = CHUNKED if chunked else f"Content-Length: {len(body)}\r\n"
    if chunked and body:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    elif chunked:
        body = b"0\r\n\r\n"
    head = f"POST /order/1?a=b HTTP/1.1\r\nHost: desk\r\n{offer}{length}\r\n"
    return head.encode() + body


@dataclass(slots=True)
class Echo:
    """An application that records what it was asked."""

    port: int = 0
    asked: list[tuple[str, str, bytes]] = field(default_factory=list)
    headers: list[list[tuple[bytes, bytes]]] = field(default_factory=list)

    async def application(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers each request with its body."""
        body = await read_body(receive, 1_000_000)
        if isinstance(body, BodyProblem):
            return
        self.asked.append((scope["method"], scope["path"], body))
        self.headers.append(list(scope["headers"]))
        length = str(len(body)).encode()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", length)],
            }
        )
        await send({"type": "http.response.body", "body": body})


@asynccontextmanager
async def echo_server(with_timeout: bool) -> AsyncIterator[Echo]:
    """Serves an ``Echo`` as node (with a header timeout) or gateway do."""
    echo = Echo()
    listener = bind_listener("127.0.0.1", 0)
    echo.port = int(listener_address(listener).rpartition(":")[2])
    stop = Event()
    protocol = (
        header_timeout_protocol(lambda: 5.0, lambda: None)
        if with_timeout
        else PipelineProtocol
    )

    # uvicorn takes a method for an application of an older interface.
    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        await echo.application(scope, receive, send)

    async def serve() -> None:
        await serve_http(application, listener, stop, lambda: 5.0, protocol)

    async with create_task_group() as tasks:
        tasks.start_soon(serve)
        yield echo
        stop.set()


async def exchange(port: int, pieces: list[bytes]) -> bytes:
    """Sends pieces in packets of their own; returns the first answer."""
    async with await connect_tcp("127.0.0.1", port) as stream:
        for piece in pieces:
            await stream.send(piece)
            await sleep(0.001)
        with move_on_after(ANSWER_TIMEOUT_S):
            return await read_answer(stream)
    return b""


@pytest.mark.parametrize("with_timeout", [True, False])
class TestServers:
    """The protocol of node and gateway."""

    @pytest.mark.parametrize("chunked", [False, True])
    @pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS.keys())
    async def test_body_behind_an_offer_is_lost(
        self, offer: str, chunked: bool, with_timeout: bool
    ) -> None:
        """Guards against a parser that ends the message at its head."""
        body = b"two bags of gravel"
        data = request(offer, body, chunked)
        head = data.index(b"\r\n\r\n") + 4
        splits = [[data], [data[:head], data[head:]], [data[:9], data[9:]]]
        async with echo_server(with_timeout) as echo:
            for pieces in splits:
                answer = await exchange(echo.port, pieces)
                assert answer.startswith(b"HTTP/1.1 200"), pieces
                assert answer.endswith(body)
        assert echo.asked == [("POST", "/order/1", body)] * len(splits)

    @pytest.mark.parametrize("chunked", [False, True])
    @pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS.keys())
    async def test_body_behind_an_offer_runs_as_a_request(
        self, offer: str, chunked: bool, with_timeout: bool
    ) -> None:
        """Guards against a smuggled request (UNASKED)."""
        data = request(offer, SMUGGLED, chunked)
        head = data.index(b"\r\n\r\n") + 4
        async with echo_server(with_timeout) as echo:
            for pieces in ([data], [data[:head], data[head:]]):
                await exchange(echo.port, pieces)
        assert echo.asked == [("POST", "/order/1", SMUGGLED)] * 2

    async def test_request_split_at_any_byte_is_another_request(
        self, with_timeout: bool
    ) -> None:
        data = request(OFFERS["h2c"], SMUGGLED)
        async with echo_server(with_timeout) as echo:
            for at in range(1, len(data), 7):
                answer = await exchange(echo.port, [data[:at], data[at:]])
                assert answer.endswith(SMUGGLED), at
        assert set(echo.asked) == {("POST", "/order/1", SMUGGLED)}

    async def test_requests_before_and_behind_an_offer_are_lost(
        self, with_timeout: bool
    ) -> None:
        """Generated sequences on one connection, in generated packets."""
        random = Random(53)
        for _ in range(40):
            bodies = [
                random.choice([b"", b"order", SMUGGLED])
                for _ in range(random.randint(1, 4))
            ]
            data = b"".join(
                request(
                    random.choice(["", *OFFERS.values()]),
                    body,
                    random.random() < 0.5,
                )
                for body in bodies
            )
            cuts = sorted(random.sample(range(1, len(data)), 3))
            edges = [0, *cuts, len(data)]
            pieces = [
                data[start:end]
                for start, end in zip(edges, edges[1:], strict=False)
            ]
            async with echo_server(with_timeout) as echo:
                async with await connect_tcp("127.0.0.1", echo.port) as stream:
                    for piece in pieces:
                        await stream.send(piece)
                        await sleep(0.001)
                    with move_on_after(ANSWER_TIMEOUT_S):
                        while len(echo.asked) < len(bodies):
                            await sleep(0.002)
                assert [item[2] for item in echo.asked] == bodies, pieces

    async def test_offer_is_not_passed_on(self, with_timeout: bool) -> None:
        """A server behind could take the offer."""
        async with echo_server(with_timeout) as echo:
            await exchange(echo.port, [request(OFFERS["h2c"], b"order")])
        names = {name for name, _ in echo.headers[0]}
        assert not names & {b"upgrade", b"http2-settings", b"connection"}

    async def test_tunnel_is_opened(self, with_timeout: bool) -> None:
        """``CONNECT`` is nothing without its upgrade; it is refused."""
        data = b"CONNECT desk:80 HTTP/1.1\r\nHost: desk\r\n\r\n" + SMUGGLED
        async with echo_server(with_timeout) as echo:
            answer = await exchange(echo.port, [data])
        assert answer.startswith(b"HTTP/1.1 400")
        assert not echo.asked


class TestNode:
    """A whole node with a stand-in of a server."""

    async def test_server_runs_an_empty_or_a_smuggled_request(self) -> None:
        """Guards against requests that no caller has sent (UNASKED)."""
        server = ServerStandIn("desk-0")
        async with deployment() as system:
            await system.add_server("desk", server)
            await system.wait_ready()
            fields = caller_headers("attempt-1")
            lines = [f"{name}: {value}" for name, value in fields.items()]
            head = "\r\n".join(
                [
                    "POST /book/1 HTTP/1.1",
                    *lines,
                    *OFFERS["h2c"].splitlines(),
                    f"Content-Length: {len(SMUGGLED)}",
                    "",
                    "",
                ]
            ).encode()
            port = system.settings.caller_endpoint.port
            answer = await exchange(port, [head, SMUGGLED])
        assert answer.startswith(b"HTTP/1.1 200"), answer
        assert [item.body for item in server.received_requests] == [SMUGGLED]


class TestHeads:
    """Heads that are parsed a second time."""

    def test_other_options_and_headers_are_kept(self) -> None:
        head = head_without_upgrade(
            b"PUT",
            b"/x?y",
            "1.1",
            [
                (b"host", b"desk"),
                (b"connection", b"close, Upgrade"),
                (b"upgrade", b"h2c"),
                (b"connection", b"http2-settings"),
                (b"x", b""),
            ],
        )
        assert head == (
            b"PUT /x?y HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n"
            b"x: \r\n\r\n"
        )

    @pytest.mark.parametrize("value", [b"a\r\nb: c", b"a\nb"])
    def test_line_break_in_a_value_makes_a_header(self, value: bytes) -> None:
        assert head_without_upgrade(b"GET", b"/", "1.1", [(b"x", value)]) is (
            None
        )
