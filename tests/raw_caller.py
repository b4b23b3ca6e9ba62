"""Callers that read answers as bytes on raw sockets."""

from collections.abc import Mapping
from dataclasses import dataclass

from anyio import BrokenResourceError
from anyio import EndOfStream
from anyio.abc import SocketStream


async def read_answer(stream: SocketStream) -> bytes:
    """Reads an answer to its end or to that of the connection."""
    data = b""
    try:
        while not is_whole(data):
            data += await stream.receive()
    except (EndOfStream, BrokenResourceError):
        pass
    return data


def is_whole(data: bytes) -> bool:
    """Whether an answer is complete by its length or its last chunk."""
    start, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    for line in start.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return body.endswith(b"0\r\n\r\n")


@dataclass(frozen=True, slots=True)
class RawReply:
    """All bytes that a caller got before its connection ended."""

    head: bytes
    body: bytes
    # Whether the connection ended with FIN and not with a reset.
    ended: bool

    @property
    def states_end(self) -> bool:
        """Whether the head says where the body ends."""
        names = {
            line.partition(b":")[0].lower()
            for line in self.head.split(b"\r\n")
        }
        return bool(names & {b"content-length", b"transfer-encoding"})

    @property
    def status(self) -> int:
        """Status in the first line."""
        return int(self.head.split(b" ")[1])


def request_bytes(
    path: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    method: str = "POST",
    version: str = "1.1",
) -> bytes:
    """Returns a request as it is sent."""
    fields = {**headers, "content-length": str(len(body))}
    lines = [f"{method} {path} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_to_end(stream: SocketStream) -> RawReply:
    """Reads until the connection ends."""
    data = b""
    ended = False
    try:
        while True:
            data += await stream.receive()
    except EndOfStream:
        ended = True
    except BrokenResourceError:
        pass
    head, _, body = data.partition(b"\r\n\r\n")
    return RawReply(head, body, ended)
