"""A small HTTP/1.1 client of the standard library, for stand-in consumers."""

from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import StreamReader
from asyncio import wait_for
from dataclasses import dataclass


@dataclass(slots=True)
class Received:
    """What a consumer has got, and whether it looks complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Received:
    """Sends a request on a new connection and reads the answer."""
    return await wait_for(
        _send(address, method, target, headers, body), timeout_s
    )


async def _send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
) -> Received:
    host, _, port = address.rpartition(":")
    reader, writer = await open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        if "Host" not in headers:
            lines.append(f"Host: {address}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        writer.write(head + body)
        await writer.drain()
        return await read_answer(reader, method)
    finally:
        writer.close()


async def read_answer(reader: StreamReader, method: str) -> Received:
    """Reads an answer to its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (IncompleteReadError, ConnectionError) as error:
        raise ValueError("closed without an answer") from error
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    received = Received(int(first.split(" ")[1]), headers, b"", True)
    try:
        if method == "HEAD" or received.status in (204, 304):
            pass
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                part = await reader.readexactly(size + 2)
                received.body += part[:size]
                if not size:
                    break
        elif "content-length" in headers:
            length = int(headers["content-length"])
            received.body = await reader.readexactly(length)
        else:
            while part := await reader.read(65536):
                received.body += part
    except IncompleteReadError as error:
        received.body += error.partial
        received.complete = False
    except ConnectionError:
        received.complete = False
    return received
