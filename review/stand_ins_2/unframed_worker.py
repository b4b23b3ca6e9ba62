"""Stand-in of a model worker, as a process of its own.

Its streams have neither length nor chunks and end with their connections. It
writes its address, and later the attempt id of each run, to its output.
"""

from asyncio import Event
from asyncio import run
from asyncio import sleep
from asyncio import StreamWriter
from sys import argv

from http_server import address_of
from http_server import Answer
from http_server import Request
from http_server import serve
from stream_worker import event
from worker import STAMP
from worker import Worker

HOST = "127.0.0.1"

# Events of a stream, and the time before each of them in seconds.
EVENTS = 10
EVENT_S = 0.26


def whole_stream() -> bytes:
    """Returns the body of a whole stream."""
    return b"".join(event(number) for number in range(1, EVENTS + 1))


async def main(worker_id: str) -> None:
    """Serves requests until the process is killed."""
    worker = Worker(worker_id, slots=64)

    async def handle(request: Request, writer: StreamWriter) -> Answer | None:
        if request.method == "GET":
            return await worker.handle(request, writer)
        attempt = request.header("wasabiwing-attempt-id")
        headers = worker.headers(attempt)
        if request.header("wasabiwing-expect-instance") != worker_id:
            return Answer(421, b"", headers)
        print(attempt, flush=True)
        del headers["Keep-Alive"]
        headers["Connection"] = "close"
        headers["Content-Type"] = "text/event-stream"
        headers["Wasabiwing-Response-Stamp"] = STAMP
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        worker.running += 1
        try:
            for number in range(1, EVENTS + 1):
                await sleep(EVENT_S)
                writer.write(event(number))
                await writer.drain()
        finally:
            worker.running -= 1
        return None

    server = await serve(handle, HOST)
    print(address_of(server), flush=True)
    await Event().wait()


if __name__ == "__main__":
    run(main(argv[1]))
