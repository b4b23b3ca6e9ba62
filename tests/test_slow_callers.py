"""Tests of callers that read their answers slowly, with a node on loopback.

A caller that does not read for a while is no silence of its server.
"""

from dataclasses import dataclass
from socket import AF_INET
from socket import SO_RCVBUF
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from time import sleep as pause

from anyio import to_thread
import pytest

from tests.node_deployment import deployment
from wasabiwing.asgi import Send
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import route_document
from wasabiwing_platform_standins.server import plain_answer
from wasabiwing_platform_standins.server import ReceivedRequest
from wasabiwing_platform_standins.server import ServerFault
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

# Time for which the caller does not read, in seconds.
PAUSE_S = 4.0

RECEIVE_BUFFER_BYTES = 8192
RECEIVED_BYTES = 1_000_000
TIMEOUT_S = 15.0

# More than the buffers on the way hold.
EVENTS = 400
EVENT_BYTES = 32_768
PLAIN_BYTES = 4_000_000


@dataclass(slots=True)
class LargeStreams(ServerStandIn):
    """A server whose streams have many large events."""

    async def _stream(
        self,
        request: ReceivedRequest,
        headers: dict[str, str],
        fault: ServerFault,
        send: Send,
        added: list[tuple[bytes, bytes]],
    ) -> None:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream"),
                    *self._common_headers(headers),
                    *added,
                ],
            }
        )
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            data = b"x" * EVENT_BYTES
            await send(
                {
                    "type": "http.response.body",
                    "body": b"id: %d\ndata: %s\n\n" % (number, data),
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})


def configuration() -> dict[str, object]:
    """Returns a configuration whose plain requests soon go elsewhere."""
    return configuration_document(
        routes=[
            route_document("read", "idempotent", "desk", targetLatencyMs=400),
            route_document("chat", "stream", "models", streamResume=True),
        ],
        limits={
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 2 * PLAIN_BYTES,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
    )


def ask_blocking(address: str, path: str, body: bytes) -> bytes:
    """Sends a request, reads nothing for a while, then the whole answer."""
    host, _, port = address.rpartition(":")
    fields = caller_headers("attempt-1")
    lines = [f"POST {path} HTTP/1.1", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    data = bytearray()
    with socket(AF_INET, SOCK_STREAM) as stream:
        stream.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        stream.settimeout(TIMEOUT_S)
        stream.connect((host, int(port)))
        stream.sendall("\r\n".join(lines).encode() + body)
        pause(PAUSE_S)
        while part := stream.recv(RECEIVED_BYTES):
            data += part
    return bytes(data)


async def ask_slowly(address: str, path: str, body: bytes) -> bytes:
    """Calls ``ask_blocking`` in a thread."""
    return await to_thread.run_sync(ask_blocking, address, path, body)


class TestCallerThatPauses:
    """Two sound servers; the caller reads nothing for some seconds."""

    async def test_plain_answer_is_whole(self) -> None:
        body = b"x" * PLAIN_BYTES
        async with deployment() as system:
            system.configure(configuration())
            servers = [ServerStandIn(f"server-{n}") for n in range(2)]
            for server in servers:
                await system.add_server("desk", server, slots=100)
            await system.wait_ready()
            data = await ask_slowly(
                str(system.settings.caller_endpoint), "/read/1", body
            )
            runs = sum(server.runs for server in servers)
        head, _, answer = data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert len(answer) == len(plain_answer(body))
        assert runs == 1

    async def test_stream_has_all_events(self) -> None:
        async with deployment() as system:
            system.configure(configuration())
            servers = [LargeStreams(f"server-{n}") for n in range(2)]
            for server in servers:
                await system.add_server("models", server, slots=100)
            await system.wait_ready()
            data = await ask_slowly(
                str(system.settings.caller_endpoint), "/chat/1", b"order"
            )
            runs = sum(server.runs for server in servers)
        numbers = [
            int(line[4:])
            for line in data.split(b"\n")
            if line.startswith(b"id: ")
        ]
        assert data.endswith(b"0\r\n\r\n")
        assert numbers == list(range(1, EVENTS + 1))
        assert runs == 1
