"""A stopping node takes streams that it can't end before the kill."""

from asyncio import gather
from asyncio import open_connection
from asyncio import sleep
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import TimeoutError as AsyncTimeoutError
from asyncio import wait_for
from pathlib import Path
from time import monotonic

from harness import Answer
from harness import BROKEN
from harness import CLOSED
from harness import configuration
from harness import HELD
from harness import HOST_NAME
from harness import HttpMessage
from harness import NOT_RUN
from harness import read_answer
from harness import run_case
from harness import Site
from harness import TROUBLE

# Seconds between two events, and numbers of events: most answers are far
# shorter than the largest number of tokens that their requests name.
EVENT_INTERVAL_S = 0.1
USUAL_EVENTS = 10
LONG_EVENTS = 60

# Streams before the stop on each kept connection.
EARLIER_STREAMS = 5

CONNECTIONS = 8
LATE_CONNECTIONS = 6

# Times after SIGTERM, in seconds: of usual streams, of the long ones, and of
# the kill (``graceS``). Rule LOST excuses what is sent in the first 3 s.
USUAL_AFTER_S = 2.7
LONG_AFTER_S = 3.2
GRACE_S = 8.0


async def stream(request: HttpMessage, writer: StreamWriter) -> bool:
    """Answers with a stream in chunks, as a worker does."""
    attempt_id = request.headers["wasabiwing-attempt-id"]
    head = (
        f"HTTP/1.1 200 OK\r\nWasabiwing-Attempt-Id: {attempt_id}\r\n"
        "Wasabiwing-Response-Stamp: 3e1b.07\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    for number in range(1, int(request.target.rpartition("/")[2]) + 1):
        await sleep(EVENT_INTERVAL_S)
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    return True


class KeptConnection:
    """A consumer's connection that is used for many requests."""

    def __init__(self, site: Site, number: int) -> None:
        self._site = site
        self._number = number
        self._sent = 0
        self._reader: StreamReader | None = None
        self._writer: StreamWriter | None = None

    async def open(self) -> None:
        """Opens the connection to the first node."""
        host, port = self._site.nodes[0].front.split(":")
        self._reader, self._writer = await open_connection(host, int(port))

    async def send(self, events: int) -> tuple[str, Answer]:
        """Sends a request; returns its attempt id and the answer."""
        assert self._reader is not None and self._writer is not None
        self._sent += 1
        attempt_id = f"attempt-{self._number}-{self._sent}"
        self._site.record.note(f"consumer sends {attempt_id} /chat/{events}")
        lines = (
            f"POST /chat/{events} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Wasabiwing-Attempt-Id: {attempt_id}",
            "Wasabiwing-Deadline-Ms: 15000",
            "Wasabiwing-Token-Counts: 543,400",
            "Authorization: Bearer key-north",
            "Content-Length: 0",
        )
        answer = Answer()
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            answer = await wait_for(read_answer(self._reader), 15.0)
        except (*CLOSED, AsyncTimeoutError) as error:
            answer.problem = repr(error)
        self._site.record.note(
            f"consumer got {attempt_id} status {answer.status}"
            f" events {answer.body.count(b'data')}"
            f" complete {answer.looks_complete} {answer.problem}"
        )
        return attempt_id, answer


async def play(site: Site) -> int:
    """Plays the case; returns its exit status."""
    site.store.put_json("op/config", configuration(1))
    workers = [
        await site.add_worker(f"i-{number}", "models") for number in "ab"
    ]
    for worker in workers:
        worker.handler = stream
    if not await site.start_nodes(2):
        return NOT_RUN
    await sleep(3.5)
    kept = [KeptConnection(site, number) for number in range(CONNECTIONS)]

    async def use_before(connection: KeptConnection) -> None:
        await connection.open()
        for _ in range(EARLIER_STREAMS):
            await connection.send(USUAL_EVENTS)

    await gather(*(use_before(connection) for connection in kept))
    stopped_at = monotonic()

    async def stop_node() -> None:
        """Stops the node as the platform does."""
        if TROUBLE:
            site.record.note("front-1 gets SIGTERM")
            try:
                await wait_for(site.nodes[0].terminate(), GRACE_S)
                site.record.note("front-1 has ended by itself")
            except AsyncTimeoutError:
                site.record.note("front-1 gets SIGKILL")
                await site.nodes[0].kill()

    async def send_at(
        connection: KeptConnection, after_s: float, events: int
    ) -> tuple[str, Answer]:
        await sleep(stopped_at + after_s - monotonic())
        return await connection.send(events)

    _, *answers = await gather(
        stop_node(),
        *(
            send_at(connection, LONG_AFTER_S, LONG_EVENTS)
            for connection in kept[:LATE_CONNECTIONS]
        ),
        *(
            send_at(connection, USUAL_AFTER_S, USUAL_EVENTS)
            for connection in kept[LATE_CONNECTIONS:]
        ),
    )
    ran = {run.attempt_id for worker in workers for run in worker.runs}
    lost = [
        attempt_id
        for attempt_id, answer in answers[:LATE_CONNECTIONS]
        if attempt_id in ran and not answer.looks_complete
    ]
    site.record.note(
        f"LOST: {len(lost)} requests, sent {LONG_AFTER_S} s after SIGTERM and"
        f" passed on to a worker, got no complete answer: {lost}"
    )
    return BROKEN if lost else HELD


run_case(Path(__file__).resolve().parent, play)
