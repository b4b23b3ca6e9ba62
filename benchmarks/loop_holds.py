"""For how long servers with small pieces hold the event loop of a node.

A child process sends endless events, or endless plain bodies, in chunks of one
byte. Beside N such answers a status check is sent again and again::

    PYTHONPATH=platform python -m benchmarks.loop_holds

``node stream`` and ``node plain`` read them through a node, ``http client``
through the client of gateways, controllers and stores. ``hold`` is the longest
time for which the loop did nothing else, as a task that wakes up each
millisecond sees it; ``check`` is the longest status check of a server that is
sound.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from contextlib import suppress
from functools import partial
from multiprocessing import get_context
from multiprocessing.connection import Connection
from socket import create_server
from socket import socket
from threading import Thread
from time import perf_counter

from anyio import create_task_group
from anyio import move_on_after
from anyio import run
from anyio import sleep
from fire import Fire

from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from wasabiwing.answer_log import EventParser
from wasabiwing.http_client import HttpClient
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import route_document
from wasabiwing_platform_standins.server import ServerStandIn

HOST = "127.0.0.1"
COUNTS = (1, 8, 64)
DURATION_S = 4.0
SAMPLE_PERIOD_S = 0.001
CHECK_PERIOD_S = 0.02
PIECES = b"1\r\na\r\n" * 10_000

Flood = Callable[[Deployment, str, int], Awaitable[None]]


def serve_endlessly(pipe: Connection) -> None:
    """Runs the server of endless answers; sends its port."""
    listener = create_server((HOST, 0), backlog=256)
    pipe.send(listener.getsockname()[1])
    while True:
        connection, _ = listener.accept()
        Thread(target=_answer, args=(connection,), daemon=True).start()


def _answer(connection: socket) -> None:
    with suppress(OSError), connection:
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
        attempt = b"x-attempt: none"
        for line in received.split(b"\r\n"):
            if line.lower().startswith(b"wasabiwing-attempt-id:"):
                attempt = line
        connection.sendall(
            b"HTTP/1.1 200 OK\r\n" + attempt + b"\r\n"
            b"wasabiwing-response-stamp: stamp\r\n"
            b"content-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        while True:
            connection.sendall(PIECES)


async def flood_node(
    path: str, system: Deployment, address: str, count: int
) -> None:
    """Reads endless answers through a node."""

    async def call(number: int) -> None:
        with suppress(Exception):
            await system.call(f"{path}/{number}")

    async with create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(call, number)


async def flood_client(system: Deployment, address: str, count: int) -> None:
    """Reads endless answers through the HTTP client of gateways."""
    client = HttpClient()

    async def read() -> None:
        async with client.stream("GET", f"http://{address}/") as opened:
            parser = EventParser()
            async for chunk in opened.unwrap().chunks():
                parser.feed(chunk.unwrap())
                if parser.is_event_too_long:
                    return

    async with create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(read)


FLOOD_BY_PATH: dict[str, Flood] = {
    "node stream": partial(flood_node, "/notes"),
    "node plain": partial(flood_node, "/book"),
    "http client": flood_client,
}


@asynccontextmanager
async def node_before(address: str) -> AsyncIterator[Deployment]:
    """Runs a node; two routes lead to the endless server only."""
    async with deployment(False) as system:
        document = configuration_document(
            routes=[
                route_document("read", "idempotent", "desk"),
                route_document("book", "non_idempotent", "endless"),
                route_document("notes", "stream", "models"),
            ],
            services=[
                {"name": name, "maxConns": 2 * max(COUNTS)}
                for name in ("desk", "endless", "models")
            ],
        )
        system.configure(document)
        await system.add_server("desk", ServerStandIn("desk-1"))
        for service in ("endless", "models"):
            system.address_by_server[service] = address
            system.register(service, service, slots=2 * max(COUNTS))
        await system.wait_ready()
        yield system


async def measure(
    flood: Callable[[], Awaitable[None]], check: Callable[[], Awaitable[None]]
) -> tuple[float, float]:
    """Returns the longest hold of the loop and check, in seconds."""
    longest_hold_s = 0.0
    longest_check_s = 0.0

    async def sample() -> None:
        nonlocal longest_hold_s
        while True:
            began_at = perf_counter()
            await sleep(SAMPLE_PERIOD_S)
            late_s = perf_counter() - began_at - SAMPLE_PERIOD_S
            longest_hold_s = max(longest_hold_s, late_s)

    async def check_again() -> None:
        nonlocal longest_check_s
        while True:
            began_at = perf_counter()
            await check()
            check_s = perf_counter() - began_at
            longest_check_s = max(longest_check_s, check_s)
            await sleep(CHECK_PERIOD_S)

    async with create_task_group() as tasks:
        tasks.start_soon(sample)
        tasks.start_soon(check_again)
        with move_on_after(DURATION_S):
            await flood()
        tasks.cancel_scope.cancel()
    return longest_hold_s, longest_check_s


async def play(address: str) -> None:
    """Prints a line for each data path and number of streams."""
    print("path          streams   hold ms   check ms")
    for path, flood in FLOOD_BY_PATH.items():
        for count in COUNTS:
            async with node_before(address) as system:

                async def check(system: Deployment = system) -> None:
                    await system.call("/read/1")

                await check()
                hold_s, check_s = await measure(
                    partial(flood, system, address, count), check
                )
            print(
                f"{path:12}  {count:7}   {hold_s * 1000:7.1f}"
                f"   {check_s * 1000:8.1f}",
                flush=True,
            )


def main() -> None:
    """Runs the server and plays all cases."""
    ours, theirs = get_context("spawn").Pipe()
    process = get_context("spawn").Process(
        target=serve_endlessly, args=(theirs,), daemon=True
    )
    process.start()
    try:
        address = f"{HOST}:{ours.recv()}"
        run(partial(play, address), backend_options={"use_uvloop": True})
    finally:
        process.kill()


if __name__ == "__main__":
    Fire(main)
