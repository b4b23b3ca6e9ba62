"""Tests of servers that do not read a request for a while.

A node on loopback sends a body that is larger than the buffers on the way. The
server's kernel acknowledges everything, so the link is not dead.
"""

from socket import SO_RCVBUF
from socket import socket
from socket import SOL_SOCKET
from threading import Thread
from time import sleep as pause

import pytest

from tests.node_deployment import deployment
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing_platform_standins.examples import configuration_document

pytestmark = pytest.mark.anyio

RECEIVE_BUFFER_BYTES = 131_072
BODY_BYTES = 4_000_000
TIMEOUT_S = 20.0


def serve_late(listener: socket, pause_s: float) -> None:
    """Accepts connections; reads the first request after a pause."""
    try:
        connection, _ = listener.accept()
        with connection:
            connection.settimeout(TIMEOUT_S)
            pause(pause_s)
            data = b""
            while b"\r\n\r\n" not in data:
                data += connection.recv(1_000_000)
            head, _, body = data.partition(b"\r\n\r\n")
            left = BODY_BYTES - len(body)
            while left > 0:
                part = connection.recv(1_000_000)
                if not part:
                    return
                left -= len(part)
            names = dict(
                line.split(b": ", 1) for line in head.split(b"\r\n")[1:]
            )
            lower = {name.lower(): value for name, value in names.items()}
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nwasabiwing-attempt-id: "
                + lower[b"wasabiwing-attempt-id"]
                + b"\r\nwasabiwing-worker-id: late"
                + b"\r\nwasabiwing-response-stamp: stamp"
                + b"\r\ncontent-length: 2\r\n\r\n{}"
            )
            pause(0.2)
    except OSError:
        return


class TestServerThatReadsLate:
    """The only server reads nothing for some seconds."""

    @pytest.mark.parametrize("pause_s", [1.0, 7.0])
    async def test_its_answer_is_waited_for(self, pause_s: float) -> None:
        async with deployment() as system:
            system.configure(
                configuration_document(
                    limits={
                        "maxHeaderBytes": 16_384,
                        "maxBodyBytes": 2 * BODY_BYTES,
                        "headerTimeoutMs": 3000,
                        "idleTimeoutMs": 15_000,
                    }
                )
            )
            with bind_listener("127.0.0.1", 0) as listener:
                listener.setsockopt(
                    SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                listener.listen()
                Thread(
                    target=serve_late, args=(listener, pause_s), daemon=True
                ).start()
                system.address_by_server["late"] = listener_address(listener)
                system.register("late", "desk")
                await system.wait_ready()
                reply = await system.call("/book/1", body=b"x" * BODY_BYTES)
        assert (reply.status, reply.body) == (200, b"{}")
