"""A worker as a process of its own; it prints its address and each run.

Its streams have neither a length nor chunks and end with their connection.
"""

from asyncio import create_task
from asyncio import Event
from asyncio import run
from asyncio import sleep
from asyncio import StreamWriter
from pathlib import Path
from sys import argv

from harness import HttpMessage
from harness import Record
from harness import Worker

EVENT_INTERVAL_S = 0.1


async def stream(
    request: HttpMessage, writer: StreamWriter, events: int
) -> None:
    """Sends a stream from the event after ``Last-Event-Id`` to its end."""
    attempt_id = request.headers.get("wasabiwing-attempt-id", "")
    head = (
        f"HTTP/1.1 200 OK\r\nWasabiwing-Attempt-Id: {attempt_id}\r\n"
        "Wasabiwing-Response-Stamp: 3e1b.07\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    )
    writer.write(head.encode())
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, events + 1):
        await sleep(EVENT_INTERVAL_S)
        writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        await writer.drain()


async def serve(worker_id: str, service: str, folder: str) -> None:
    """Serves until the process is ended."""
    worker = Worker(worker_id, service, Record(Path(folder)))

    async def handle(request: HttpMessage, writer: StreamWriter) -> bool:
        await stream(request, writer, int(request.target.rpartition("/")[2]))
        return False

    worker.handler = handle
    await worker.listen()
    print(worker.address, flush=True)
    await create_task(Event().wait())


run(serve(*argv[1:4]))
