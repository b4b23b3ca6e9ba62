"""Clients outside anyone's control, and the programs that they attack."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
from contextlib import contextmanager
from contextlib import ExitStack
from dataclasses import dataclass
from fcntl import flock
from fcntl import LOCK_EX
from itertools import repeat
from os import environ
from os import listdir
from os import pathsep
from pathlib import Path
from sys import executable
from tempfile import gettempdir

from anyio import BrokenResourceError
from anyio import ClosedResourceError
from anyio import connect_tcp
from anyio import create_task_group
from anyio import EndOfStream
from anyio import fail_after
from anyio import move_on_after
from anyio import open_process
from anyio import sleep
from anyio.abc import Process
from msgspec.json import encode

from tests.node_deployment import deployment
from tests.node_deployment import HOST
from tests.node_deployment import reserve_endpoint
from wasabiwing.http_client import HttpClient
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import settings_text
from wasabiwing_platform_standins.server import ServerStandIn

ROOT = Path(__file__).resolve().parent.parent

# The smallest VM, from which the bounds are fixed.
MEMORY_MB = 200
DESCRIPTORS = 4_100

START_TIMEOUT_S = 60.0
POLL_S = 0.05

# Time for which a hostile client goes on if nobody closes its connection, and
# the part of it in which it only keeps the connection, so that the program
# reads what was sent. Nothing is asserted on either.
HOSTILE_S = 6.0
HOLD_S = 2.0

# Settings that differ from what a deployment has.
NODE_FIELDS = {
    "limits.memoryMb": str(MEMORY_MB),
    "limits.maxFds": str(DESCRIPTORS),
}

# The documented limits on sizes, and a short time for headers.
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}


@dataclass(frozen=True, slots=True)
class Program:
    """A program in a process of its own."""

    process: Process
    # Ports that clients can reach, and the page that an ordinary client asks
    # for at the first one.
    ports: tuple[int, ...]
    path: str

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process.returncode is None

    def peak_memory_mb(self) -> float:
        """Returns the largest resident memory since the process started."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        [line] = [
            line for line in status.splitlines() if line.startswith("VmHWM:")
        ]
        return int(line.split()[1]) / 1024

    def descriptors(self) -> int:
        """Returns the number of open descriptors."""
        return len(listdir(f"/proc/{self.process.pid}/fd"))

    async def ordinary_status(self) -> int:
        """Returns the status of an ordinary request; 0 without an answer.

        Each request has a connection of its own, so that no idle one is
        closed at the same time.
        """
        client = HttpClient()
        reply = await client.send(
            "GET",
            f"http://{HOST}:{self.ports[0]}{self.path}",
            caller_headers("ordinary"),
            timeout_s=START_TIMEOUT_S,
        )
        await client.close()
        return reply.map_or(0, lambda answer: answer.status)


@contextmanager
def only_one_at_a_time() -> Iterator[None]:
    """Waits until no other process of the tests holds the same lock."""
    with (Path(gettempdir()) / "wasabiwing-hostile.lock").open("w") as lock:
        flock(lock, LOCK_EX)
        yield


@asynccontextmanager
async def running(
    arguments: list[str],
    ports: tuple[int, ...],
    path: str,
    **variables: str,
) -> AsyncIterator[Program]:
    """Runs a program until the block ends."""
    process = await open_process(
        [executable, "-P", *arguments],
        stdin=None,
        stdout=None,
        stderr=None,
        env={
            **environ,
            "PYTHONPATH": f"{ROOT}{pathsep}{ROOT / 'platform'}",
            **variables,
        },
    )
    try:
        yield Program(process, ports, path)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def running_node(folder: Path, **fields: str) -> AsyncIterator[Program]:
    """Runs a node and waits until it serves an ordinary request."""
    async with AsyncExitStack() as resources:
        system = await resources.enter_async_context(deployment())
        await system.add_server("desk", ServerStandIn("server-1"))
        system.configure(configuration_document(limits=LIMITS))
        settings = system.settings
        relay = settings.relay_endpoint
        assert relay is not None and settings.cloud is not None
        path = folder / "node.conf"
        path.write_text(
            settings_text(
                {
                    "nodeName": settings.node_id,
                    "ip": HOST,
                    "portRange": f"{settings.inbox.port},{relay.port}",
                    "listen.front": str(settings.caller_endpoint),
                    "listen.ready": str(settings.readiness_endpoint),
                    "platform.address": str(settings.store),
                    "cloudApi.address": str(settings.cloud),
                    **NODE_FIELDS,
                    **{
                        name.replace("__", "."): value
                        for name, value in fields.items()
                    },
                }
            )
        )
        program = await resources.enter_async_context(
            running(
                [str(ROOT / "platform" / "run_node.py")],
                (
                    settings.caller_endpoint.port,
                    settings.readiness_endpoint.port,
                    relay.port,
                ),
                "/read/1",
                WASABIWING_CONFIG=str(path),
            )
        )
        with fail_after(START_TIMEOUT_S):
            while await program.ordinary_status() != 200:
                await sleep(POLL_S)
        yield program


@asynccontextmanager
async def running_gateway(
    folder: Path, **fields: object
) -> AsyncIterator[Program]:
    """Runs a gateway that knows no configuration, and answers so."""
    with ExitStack() as reserved:
        front, inbox, controller = (
            reserve_endpoint(reserved) for _ in range(3)
        )
        path = folder / "gateway.json"
        path.write_bytes(
            encode(
                {
                    "node_id": "entry-1-gateway",
                    "availability_zone": "zone-a",
                    "listen_host": HOST,
                    "listen_port": front.port,
                    "inbox_address": f"tcp://{inbox}",
                    "controller_address": f"tcp://{controller}",
                    "memory_mb": MEMORY_MB,
                    "max_descriptors": DESCRIPTORS,
                    **fields,
                }
            )
        )
        code = "from wasabiwing.gateway import main; main()"
        arguments = ["-c", code, f"--settings={path}"]
        async with running(arguments, (front.port,), "/healthz") as program:
            with fail_after(START_TIMEOUT_S):
                while not await program.ordinary_status():
                    await sleep(POLL_S)
            yield program


def request_head(path: str, *lines: bytes) -> bytes:
    """Returns the request line and first headers of a request."""
    names = caller_headers("hostile").items()
    fields = [f"{name}: {value}".encode() for name, value in names]
    first = f"POST {path} HTTP/1.1".encode()
    return b"\r\n".join([first, *fields, *lines, b""])


def short_lines(count: int) -> bytes:
    """Returns header lines of few bytes."""
    return b"a:b\r\n" * count


@dataclass(frozen=True, slots=True)
class Hostile:
    """What one kind of client sends."""

    name: str
    # What it sends first, and then again and again.
    opening: bytes
    repeated: bytes
    # Bytes after which it stops, and the pause before each repetition.
    total: int
    pause_s: float = 0.0

    def pieces(self) -> Iterator[bytes]:
        """Yields what is sent."""
        yield self.opening
        yield from repeat(self.repeated, self.total // len(self.repeated))


MEGABYTE = 1_000_000
CHUNKED = b"Transfer-Encoding: chunked\r\n"

HOSTILE = (
    Hostile(
        "head of short lines without end",
        request_head("/read/1"),
        short_lines(12_000),
        3 * MEGABYTE,
    ),
    Hostile(
        "whole heads in short lines, answers unread",
        b"",
        request_head("/read/1")
        + short_lines(2_300)
        + b"Content-Length: 0\r\n\r\n",
        3 * MEGABYTE,
    ),
    Hostile(
        "small requests without end, answers unread",
        b"",
        b"GET /a HTTP/1.1\r\n\r\n" * 3_000,
        3 * MEGABYTE,
    ),
    Hostile(
        "one header without end",
        request_head("/read/1") + b"a: ",
        b"x" * 60_000,
        24 * MEGABYTE,
    ),
    Hostile(
        "one path without end",
        b"GET /",
        b"x" * 60_000,
        24 * MEGABYTE,
    ),
    Hostile(
        "empty lines before a request",
        b"",
        b"\r\n" * 30_000,
        6 * MEGABYTE,
    ),
    Hostile(
        "trailers without end",
        request_head("/read/1") + CHUNKED + b"\r\n1\r\nx\r\n0\r\n",
        short_lines(12_000),
        3 * MEGABYTE,
    ),
    Hostile(
        "one trailer without end",
        request_head("/read/1") + CHUNKED + b"\r\n1\r\nx\r\n0\r\na: ",
        b"x" * 60_000,
        24 * MEGABYTE,
    ),
    Hostile(
        "chunk extension without end",
        request_head("/read/1") + CHUNKED + b"\r\n1;",
        b"x" * 60_000,
        6 * MEGABYTE,
    ),
    Hostile(
        "slow head",
        request_head("/read/1"),
        b"a: b\r\n",
        1_000,
        0.2,
    ),
    Hostile(
        "slow body",
        request_head("/read/1") + b"Content-Length: 90000\r\n\r\n",
        b"x",
        1_000,
        0.2,
    ),
)

# Bodies within the limits of both programs; some hundreds of them need more
# memory than the smallest VM has.
UNFINISHED_BODY = Hostile(
    "bodies that are never finished",
    request_head("/read/1") + b"Content-Length: 960000\r\n\r\n",
    b"x" * 90_000,
    900_000,
)


async def attack(port: int, hostile: Hostile, connections: int) -> None:
    """Lets some clients send on a connection each, and read nothing.

    Ends once all have sent everything, were cut, or no longer get rid of it.
    """
    async with create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(_send_all, port, hostile)


async def _send_all(port: int, hostile: Hostile) -> None:
    with move_on_after(HOSTILE_S):
        try:
            async with await connect_tcp(HOST, port) as stream:
                for piece in hostile.pieces():
                    await stream.send(piece)
                    await sleep(hostile.pause_s)
                await sleep(HOLD_S)
        except (BrokenResourceError, ClosedResourceError, EndOfStream):
            return
        except OSError:
            return
