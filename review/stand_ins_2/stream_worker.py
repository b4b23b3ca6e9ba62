"""Stand-in of a model worker that streams events."""

from asyncio import sleep
from asyncio import StreamWriter
from dataclasses import dataclass
from time import time

from http_server import Answer
from http_server import Request
from worker import Run
from worker import STAMP
from worker import Worker

# Events of a stream, and the time before each of them in seconds.
EVENTS = 10
EVENT_S = 0.02


def chunk(data: bytes) -> bytes:
    """Returns a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass
class StreamWorker(Worker):
    """A worker whose next answers may be endless events.

    An endless event has no blank line; each of its bytes is a chunk. It
    lasts until the caller closes.
    """

    slots: int = 64
    # Number of the next answers that are spoiled, and of those that were.
    to_spoil: int = 0
    spoiled: int = 0

    async def handle(
        self, request: Request, writer: StreamWriter
    ) -> Answer | None:
        """Serves a request of a node."""
        if request.method == "GET":
            return await super().handle(request, writer)
        attempt = request.header("wasabiwing-attempt-id")
        headers = self.headers(attempt)
        if request.header("wasabiwing-expect-instance") != self.id:
            return Answer(421, b"", headers)
        self.runs.append(Run(time(), attempt, request))
        headers["Wasabiwing-Response-Stamp"] = STAMP
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        writer.write(head.encode())
        first = int(request.header("last-event-id") or 0) + 1
        is_spoiled = self.to_spoil > 0
        self.to_spoil -= is_spoiled
        self.running += 1
        try:
            for number in range(first, EVENTS + 1):
                await sleep(EVENT_S)
                writer.write(chunk(event(number)))
                await writer.drain()
                if is_spoiled:
                    self.spoiled += 1
                    await self._send_endless_event(writer)
        finally:
            self.running -= 1
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        # The connection stays open for the next request.
        return Answer(0)

    async def _send_endless_event(self, writer: StreamWriter) -> None:
        pieces = chunk(b"a") * 10_000
        while True:
            writer.write(pieces)
            await writer.drain()


def event(number: int) -> bytes:
    """Returns an event of a stream, by its number from 1."""
    text = f"piece {number} of this answer, with some words in it"
    return f"id: {number}\ndata: {text}\n\n".encode()


def whole_stream(first: int = 1) -> bytes:
    """Returns a stream's body from an event on."""
    return b"".join(event(number) for number in range(first, EVENTS + 1))
