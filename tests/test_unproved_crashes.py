"""Tests of cuts that look like crashes to a process without links."""

from collections.abc import Iterator
from contextlib import closing
from contextlib import contextmanager
from contextlib import ExitStack
from random import Random
from socket import AF_INET
from socket import SOCK_STREAM
from socket import socket

from anyio import create_task_group
from anyio import fail_after
from anyio import sleep
import pytest

from tests.examples import Caller
from tests.examples import error_of
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from tests.node_deployment import POLL_S
from tests.part_fleet import PartCall
from tests.part_fleet import PartFleet
from tests.part_fleet import PartServer
from tests.part_fleet import run_now
from tests.part_fleet import SimulatedClock
from tests.test_node_crashing_requests import call_with_parts
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.codes import ResultCode
from wasabiwing.crashing_parts import JUDGEMENT_DELAY_S
from wasabiwing.crashing_parts import MIN_CRASHES
from wasabiwing.crashing_parts import MIN_OTHER_ANSWERS
from wasabiwing.http_client import HttpClient
from wasabiwing.quarantine import CRASH_FACT_KIND
from wasabiwing.quarantine import CRASHES_TO_QUARANTINE
from wasabiwing.quarantine import Quarantine
from wasabiwing.server_probe import CRASHED_S
from wasabiwing.server_probe import CrashProbe
from wasabiwing.server_probe import server_accepts_connection
from wasabiwing.server_probe import server_answers
from wasabiwing.unproved_crashes import PROOF_TIME_S
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"

# Longer than the judgement of a crash, in seconds.
JUDGED_S = 0.5

# Longer than the judgement of a part, in seconds.
PART_JUDGED_S = JUDGEMENT_DELAY_S + 0.5

# Time in which a request does not end by itself, in seconds.
LONG_S = 30.0

# The same for an engine, as a factor on all of its times.
SLOW_FACTOR = 1000.0


@contextmanager
def deaf_listener() -> Iterator[str]:
    """Runs a listener to which new connections time out."""
    with ExitStack() as stack:
        listener = stack.enter_context(closing(socket(AF_INET, SOCK_STREAM)))
        listener.bind((HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        # These fill the queue; the kernel drops what comes after them.
        for _ in range(2):
            caller = stack.enter_context(closing(socket(AF_INET, SOCK_STREAM)))
            caller.setblocking(False)
            caller.connect_ex(address)
        yield f"{HOST}:{address[1]}"


class Servers:
    """Listeners of servers, with a probe that compares them."""

    def __init__(self, stack: ExitStack) -> None:
        self.clock = SimulatedClock()
        self._stack = stack
        self.group_by_address: dict[str, str] = {}
        self._listener_by_address: dict[str, socket] = {}
        self.probe = CrashProbe(
            self.clock,
            Random(1),
            server_accepts_connection,
            lambda: self.group_by_address.items(),
        )

    def add(self, group: str, count: int) -> list[str]:
        """Starts servers of a service; returns their addresses."""
        addresses = []
        for _ in range(count):
            listener = self._stack.enter_context(bind_listener(HOST, 0))
            listener.listen()
            address = listener_address(listener)
            self.group_by_address[address] = group
            self._listener_by_address[address] = listener
            addresses.append(address)
        return addresses

    def refuse(self, addresses: list[str]) -> None:
        """Lets servers refuse connections."""
        for address in addresses:
            self._listener_by_address[address].close()


@contextmanager
def servers() -> Iterator[Servers]:
    """Provides servers whose listeners are closed in the end."""
    with ExitStack() as stack:
        yield Servers(stack)


class TestProbe:
    """What a probe proves about a server."""

    async def test_connection_that_times_out_proves_nothing(self) -> None:
        """Guards against crashes that are seen behind a silent cut."""
        with deaf_listener() as address:
            assert await server_accepts_connection(address) is None
            client = HttpClient()
            assert await server_answers(client, address) is None
            await client.close()

    async def test_refusal_by_one_server_proves_its_crash(self) -> None:
        with servers() as on:
            first, *_ = on.add("desk", 5)
            on.refuse([first])
            assert await on.probe.runs(first) is False

    async def test_refusal_by_all_servers_proves_nothing(self) -> None:
        with servers() as on:
            addresses = on.add("desk", 5)
            on.refuse(addresses)
            assert await on.probe.runs(addresses[0]) is None

    async def test_refusal_by_all_servers_of_a_service_proves_nothing(
        self,
    ) -> None:
        with servers() as on:
            addresses = on.add("desk", 5)
            on.add("models", 20)
            on.refuse(addresses)
            assert await on.probe.runs(addresses[0]) is None

    async def test_only_server_of_a_service_is_compared_with_others(
        self,
    ) -> None:
        with servers() as on:
            (address,) = on.add("desk", 1)
            others = on.add("models", 3)
            on.refuse([address])
            assert await on.probe.runs(address) is False
            on.refuse(others)
            on.clock.advance(2 * CRASHED_S)
            assert await on.probe.runs(address) is None

    async def test_only_known_server_that_refuses_has_crashed(self) -> None:
        with servers() as on:
            (address,) = on.add("desk", 1)
            on.refuse([address])
            assert await on.probe.runs(address) is False

    async def test_servers_that_crash_in_turn_are_all_found(self) -> None:
        """Guards against a fleet whose crashes look like a cut in the end."""
        with servers() as on:
            for address in on.add("desk", 5):
                on.refuse([address])
                assert await on.probe.runs(address) is False


class Fleet:
    """Two nodes, the first of which has lost its links to servers."""

    def __init__(self) -> None:
        self.fleet = PartFleet(2, 4)
        self.first, self.second = self.fleet.nodes
        self.ended: set[str] = set()
        self.leaving: set[str] = set()
        # What a probe of the first node tells.
        self.runs: bool | None = None

        async def probe(address: str) -> bool | None:
            return self.runs

        self.quarantine: Quarantine[PartServer] = Quarantine(
            self.first.id,
            self.fleet.clock,
            self.first.facts,
            lambda server: server.id in self.leaving,
            probe,
            has_ended=lambda server: server.id in self.ended,
        )

    def cut(self, call: PartCall, number: int) -> None:
        """Cuts the first node's connection to a server with a request."""
        server = self.fleet.servers[number]
        now = self.fleet.clock.now()
        assert run_now(self.quarantine.note_cut(call, server, now))
        self.fleet.clock.advance(JUDGED_S)

    def crash_numbers(self) -> list[int]:
        """Returns the numbers of the crashes that the second node knows."""
        facts = self.second.facts.all(CRASH_FACT_KIND)
        return [fact.epoch for fact in facts]

    def refused(self, call: PartCall) -> bool:
        """Whether the first node refuses a repeat of a request."""
        return self.quarantine.refusal(call) is not None


class TestUnprovedCrash:
    """Cuts that no probe explains."""

    def test_cut_process_accuses_no_request(self) -> None:
        """Guards against a cut process whose suspicions other nodes share."""
        on = Fleet()
        call = on.fleet.call("part")
        for number in range(CRASHES_TO_QUARANTINE):
            on.cut(call, number)
        on.fleet.clock.advance(PROOF_TIME_S)
        assert on.crash_numbers() == []
        assert not on.refused(call)
        assert not on.quarantine.suspect_digest(call)

    def test_servers_that_restarted_have_crashed(self) -> None:
        """Guards against crashes that are forgotten behind a cut."""
        on = Fleet()
        call = on.fleet.call("part")
        for number in range(CRASHES_TO_QUARANTINE):
            on.cut(call, number)
            on.ended.add(on.fleet.servers[number].id)
            on.fleet.clock.advance(JUDGED_S)
        assert on.crash_numbers() == [1] * CRASHES_TO_QUARANTINE
        assert on.refused(call)

    def test_requests_of_one_crash_share_its_number(self) -> None:
        on = Fleet()
        server = on.fleet.servers[0]
        now = on.fleet.clock.now()
        for _ in range(3):
            call = on.fleet.call("part")
            run_now(on.quarantine.note_cut(call, server, now))
        on.fleet.clock.advance(JUDGED_S)
        on.ended.add(server.id)
        on.fleet.clock.advance(JUDGED_S)
        assert on.crash_numbers() == [1]

    def test_crash_that_another_node_proves_counts_once(self) -> None:
        on = Fleet()
        call, other = on.fleet.call("part"), on.fleet.call("part")
        on.cut(call, 0)
        server = on.fleet.servers[0]
        server.up = False
        run_now(on.second.quarantine.note_cut(other, server, 0.0))
        on.fleet.clock.advance(JUDGED_S)
        assert on.crash_numbers() == [1]
        assert on.quarantine.suspect_digest(call)

    def test_success_or_stop_explains_a_cut(self) -> None:
        on = Fleet()
        call, other = on.fleet.call("part"), on.fleet.call("part")
        on.cut(call, 0)
        on.cut(other, 1)
        on.quarantine.note_success(call)
        on.leaving.add(on.fleet.servers[1].id)
        on.fleet.clock.advance(JUDGED_S)
        on.ended.update(server.id for server in on.fleet.servers)
        on.fleet.clock.advance(JUDGED_S)
        assert on.crash_numbers() == []

    def test_late_restart_proves_nothing(self) -> None:
        on = Fleet()
        on.cut(on.fleet.call("part"), 0)
        on.fleet.clock.advance(PROOF_TIME_S)
        on.ended.add(on.fleet.servers[0].id)
        on.fleet.clock.advance(JUDGED_S)
        assert on.crash_numbers() == []


async def start_node(
    found: Deployment, service: str, count: int
) -> list[ServerStandIn]:
    """Starts a node before servers of a service."""
    started = [ServerStandIn(f"server-{number}") for number in range(count)]
    for server in started:
        await found.add_server(service, server)
    await found.wait_ready()
    return started


async def cut_all(
    found: Deployment, standins: list[ServerStandIn], running: int
) -> None:
    """Cuts all links while requests run; new connections are refused.

    The registry tells of no crash, and the links are back at the end.
    """
    with fail_after(TEST_TIMEOUT_S):
        while sum(server.runs for server in standins) < running:
            await sleep(POLL_S)
    for server in standins:
        found.kill_server(server.id)
    await sleep(JUDGED_S)
    for server in standins:
        await found.restart_server(server.id)


class TestCutNode:
    """A node whose links to all servers are cut, on sockets."""

    async def test_request_is_not_refused_after_two_cuts(self) -> None:
        """Guards against a cut node that quarantines sound requests."""
        async with deployment() as found:
            standins = await start_node(found, "desk", 4)
            for number in range(CRASHES_TO_QUARANTINE):
                for server in standins:
                    server.work_s = LONG_S
                async with create_task_group() as tasks:
                    tasks.start_soon(found.call, "/book/1")
                    await cut_all(found, standins, number + 1)
            for server in standins:
                server.work_s = 0.0
            reply = await found.call("/book/1")
            assert reply.status == 200, reply.body

    async def test_part_of_many_prompts_is_not_refused_after_a_cut(
        self,
    ) -> None:
        """Guards against a cut node that quarantines a popular part."""
        async with deployment() as found:
            standins = await start_node(found, "models", 4)
            for server in standins:
                server.work_s = LONG_S

            async def ask(number: int) -> None:
                parts = ["popular", f"own-{number}"]
                reply = await call_with_parts(found, "/notes/1", parts)
                assert error_of(reply)["code"] == ResultCode.SERVER_CUT

            async with create_task_group() as tasks:
                for number in range(2 * MIN_CRASHES):
                    tasks.start_soon(ask, number)
                await cut_all(found, standins, 2 * MIN_CRASHES)
            for server in standins:
                server.work_s = 0.0
            for number in range(2 * MIN_OTHER_ANSWERS):
                parts = [f"first-{number}", "last"]
                reply = await call_with_parts(found, "/notes/1", parts)
                assert reply.status == 200
                await sleep(PART_JUDGED_S / MIN_OTHER_ANSWERS)
            parts = ["popular", "last"]
            reply = await call_with_parts(found, "/notes/1", parts)
            assert reply.status == 200, reply.body


class TestCutGateway:
    """A gateway whose links to all servers are cut, on sockets."""

    async def test_request_is_not_refused_after_two_cuts(self) -> None:
        """Guards against a cut gateway that quarantines sound requests."""
        async with running_deployment(example_configuration(), 1) as found:
            engines = found.engine_by_id.values()
            caller = Caller(HttpClient())
            (vm,) = found.vms
            for _ in range(CRASHES_TO_QUARANTINE):
                for engine in engines:
                    engine.faults.slow_factor = SLOW_FACTOR
                async with create_task_group() as tasks:
                    tasks.start_soon(caller.chat, vm, "sound")
                    await sleep(JUDGED_S)
                    for engine in engines:
                        engine.crash()
                    await sleep(JUDGED_S)
                for engine in engines:
                    engine.faults.slow_factor = 1.0
                    await engine.start()
            reply = await caller.chat(vm, "sound")
            assert reply.status == 200, reply.body
