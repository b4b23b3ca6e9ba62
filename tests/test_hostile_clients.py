"""Tests of node and gateway processes under clients outside any control.

Each test guards against a process that holds what callers send without a
bound (the trial in ``docs/design/hard-load.md``, section 3.1). The bounds
come from the smallest VM. No test asserts on times or on a share of requests.
"""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import AbstractAsyncContextManager
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path

from anyio import connect_tcp
from anyio import sleep
import pytest

from tests.hostile_clients import attack
from tests.hostile_clients import DESCRIPTORS
from tests.hostile_clients import HOSTILE
from tests.hostile_clients import Hostile
from tests.hostile_clients import MEMORY_MB
from tests.hostile_clients import only_one_at_a_time
from tests.hostile_clients import Program
from tests.hostile_clients import request_head
from tests.hostile_clients import running_gateway
from tests.hostile_clients import running_node
from tests.hostile_clients import short_lines
from tests.hostile_clients import UNFINISHED_BODY
from tests.node_deployment import HOST
from tests.raw_caller import read_answer

pytestmark = pytest.mark.anyio

CONNECTIONS = 10

# Silent connections, and the lowered number of descriptors of that test.
SILENT_CONNECTIONS = 900
FEW_DESCRIPTORS = 600

# Bodies of 0.9 MB each that are never finished.
UNFINISHED_BODIES = 300

# Connections that all send a few heads.
CROWD = 800
CROWD_BYTES = 120_000

PROGRAMS = {"node": running_node, "gateway": running_gateway}

Runner = Callable[[Path], AbstractAsyncContextManager[Program]]


@pytest.fixture(autouse=True)
def _alone() -> Iterator[None]:
    """Keeps these tests from running at the same time as each other."""
    with only_one_at_a_time():
        yield


def hostile_id(hostile: Hostile) -> str:
    """Returns a name that a shell takes for one word."""
    return hostile.name.replace(",", "").replace(" ", "-")


async def assert_sound(program: Program) -> None:
    """Asserts that the process is within its VM and serves its callers."""
    assert program.alive
    assert await program.ordinary_status() in (200, 503)
    assert program.descriptors() <= DESCRIPTORS
    assert program.peak_memory_mb() <= MEMORY_MB


@pytest.mark.parametrize("run", PROGRAMS.values(), ids=PROGRAMS.keys())
class TestHostileClients:
    """A small crowd of clients of one kind at the callers' port."""

    @pytest.mark.parametrize("hostile", HOSTILE, ids=hostile_id)
    async def test_process_outgrows_its_machine(
        self, run: Runner, hostile: Hostile, tmp_path: Path
    ) -> None:
        async with run(tmp_path) as program:
            await attack(program.ports[0], hostile, CONNECTIONS)
            await assert_sound(program)


class TestOtherPorts:
    """Pages of a node that are not for callers, but can be reached."""

    @pytest.mark.parametrize("port", [1, 2], ids=["readiness", "relay"])
    async def test_process_outgrows_its_machine(
        self, port: int, tmp_path: Path
    ) -> None:
        async with running_node(tmp_path) as program:
            for hostile in HOSTILE[:2]:
                await attack(program.ports[port], hostile, CONNECTIONS)
            await assert_sound(program)


class TestCrowds:
    """More connections and bodies than the machine has room for."""

    @pytest.mark.parametrize("run", PROGRAMS.values(), ids=PROGRAMS.keys())
    @pytest.mark.parametrize("hostile", HOSTILE[:2], ids=hostile_id)
    async def test_heads_are_read_from_all_before_any_is_freed(
        self, run: Runner, hostile: Hostile, tmp_path: Path
    ) -> None:
        """Guards against memory that closed connections keep for a while."""
        async with run(tmp_path) as program:
            few = replace(hostile, total=CROWD_BYTES)
            await attack(program.ports[0], few, CROWD)
            await assert_sound(program)

    @pytest.mark.parametrize("run", PROGRAMS.values(), ids=PROGRAMS.keys())
    async def test_unfinished_bodies_take_all_memory(
        self, run: Runner, tmp_path: Path
    ) -> None:
        async with run(tmp_path) as program:
            port = program.ports[0]
            await attack(port, UNFINISHED_BODY, UNFINISHED_BODIES)
            await assert_sound(program)

    async def test_silent_connections_take_all_descriptors(
        self, tmp_path: Path
    ) -> None:
        fields = {"limits__maxFds": str(FEW_DESCRIPTORS)}
        async with (
            running_node(tmp_path, **fields) as program,
            AsyncExitStack() as streams,
        ):
            for _ in range(SILENT_CONNECTIONS):
                await streams.enter_async_context(
                    await connect_tcp(HOST, program.ports[0])
                )
            await sleep(0.5)
            await assert_sound(program)
            assert program.descriptors() <= FEW_DESCRIPTORS


@pytest.mark.parametrize("run", PROGRAMS.values(), ids=PROGRAMS.keys())
class TestLegalRequests:
    """Requests within the limits."""

    async def test_many_short_lines_are_refused(
        self, run: Runner, tmp_path: Path
    ) -> None:
        """Guards against a limit that a legal request alone meets."""
        lines = short_lines(2_300)
        async with run(tmp_path) as program:
            head = request_head(program.path, b"Content-Length: 0")
            data = head.replace(b"POST", b"GET") + lines + b"\r\n"
            async with await connect_tcp(HOST, program.ports[0]) as stream:
                await stream.send(data)
                answer = await read_answer(stream)
        assert answer.split(b" ")[1] in (b"200", b"503")
