"""A small HTTP/1.1 server of the standard library, for stand-ins."""

from asyncio import CancelledError
from asyncio import IncompleteReadError
from asyncio import LimitOverrunError
from asyncio import Server
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
from json import dumps
from typing import Any
from urllib.parse import parse_qs

HEAD_LIMIT_BYTES = 262_144


@dataclass(slots=True)
class Request:
    """A request that a stand-in has received."""

    method: str
    target: str
    # Header lines in order, with names as they were sent.
    lines: list[tuple[str, str]]
    body: bytes
    sender: str

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str:
        """Returns the first header of a name; empty if there is none."""
        for known, value in self.lines:
            if known.lower() == name.lower():
                return value
        return ""

    def query(self, name: str, default: str = "") -> str:
        """Returns the first value of a field of the query."""
        query = self.target.partition("?")[2]
        return parse_qs(query, keep_blank_values=True).get(name, [default])[0]


@dataclass(slots=True)
class Answer:
    """An answer of a stand-in; status 0 if it was written already."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def json_answer(document: Any, status: int = 200) -> Answer:
    """Returns an answer with a JSON document."""
    headers = {"Content-Type": "application/json"}
    return Answer(status, dumps(document).encode(), headers)


# Returns the answer, or ``None`` if the handler has written to the connection
# itself or wants it closed.
Handler = Callable[[Request, StreamWriter], Awaitable[Answer | None]]


async def read_request(reader: StreamReader, sender: str) -> Request | None:
    """Reads a whole request; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (IncompleteReadError, LimitOverrunError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    lines = []
    for line in rest:
        name, separator, value = line.partition(":")
        if separator:
            lines.append((name, value.strip()))
    request = Request(method, target, lines, b"", sender)
    length = int(request.header("content-length") or 0)
    try:
        if request.header("transfer-encoding").lower() == "chunked":
            request.body = await _read_chunks(reader)
        elif length:
            request.body = await reader.readexactly(length)
    except (IncompleteReadError, ConnectionError):
        return None
    return request


async def _read_chunks(reader: StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


def encode_answer(answer: Answer) -> bytes:
    """Returns the bytes of an answer with its length."""
    reason = HTTPStatus(answer.status).phrase
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    lines += [f"Content-Length: {len(answer.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + answer.body


async def serve(handler: Handler, host: str, port: int = 0) -> Server:
    """Serves requests, one after the other on each connection."""

    async def serve_connection(
        reader: StreamReader, writer: StreamWriter
    ) -> None:
        sender = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await read_request(reader, sender)
                if request is None:
                    break
                answer = await handler(request, writer)
                if answer is None:
                    break
                if answer.status == 0:
                    # The handler has written a whole answer itself.
                    continue
                writer.write(encode_answer(answer))
                await writer.drain()
        except (ConnectionError, CancelledError):
            pass
        finally:
            writer.close()

    return await start_server(
        serve_connection, host, port, limit=HEAD_LIMIT_BYTES
    )


def address_of(server: Server) -> str:
    """Returns ``host:port`` of a server."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
