"""Callers that read answers as bytes on raw sockets."""

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
