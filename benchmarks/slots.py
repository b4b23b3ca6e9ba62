"""Cost of slot credits and the time until a warm server is in full use.

Run with ``python -m benchmarks.slots``. The first table runs gateways and
homes in one process on a fake clock: bytes are those of the encoded
envelopes, CPU time is that of the calls measured. The second part runs a
deployment over real sockets.
"""

from asyncio import run
from dataclasses import dataclass
from dataclasses import replace
from time import perf_counter
from time import process_time

from anyio import create_task_group
from anyio import sleep

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import running_deployment
from wasabiwing.cluster_view import ClusterView
from wasabiwing.concurrency_limit import LoadSample
from wasabiwing.configuration import AvailabilityZone
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Pool
from wasabiwing.configuration import PoolKind
from wasabiwing.configuration import Version
from wasabiwing.gateway_credits import GatewayCredits
from wasabiwing.gateway_credits import RENEWALS_PER_LIFETIME
from wasabiwing.home_slots import HomeSlotAllocator
from wasabiwing.http_client import HttpClient
from wasabiwing.messages import CreditGrant
from wasabiwing.messages import CreditRequest
from wasabiwing.messages import encode_envelope
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message
from wasabiwing.ports import Member
from wasabiwing.slot_allocator import SlotTimes
from wasabiwing.timers import FakeTimer
from wasabiwing_demo.deployment import CREDIT_LIFETIME_S
from wasabiwing_demo.deployment import EntryVm

TIMES = SlotTimes()
TICK_S = TIMES.credit_lifetime_s / RENEWALS_PER_LIFETIME

# Ticks before and during the measurement.
WARM_UP_TICKS = 12
MEASURED_TICKS = 16

# Gateways and servers of each run, at one home.
SIZES = ((8, 8), (8, 100), (8, 400), (100, 8), (100, 100), (100, 400))

# Callers that send one request after the other, and how long each answer is.
CALLERS = 32
CALL_TOKENS = 40

# How long the engine stays cold under load, in seconds.
COLD_S = 3.0

REPEATS = 3

# Inbox addresses and names have about their length in production.
HOME = Member("entry-0001-controller", "tcp://10.10.10.10:7000", "z", "r")


@dataclass(slots=True)
class Usage:
    """What one side sent and computed."""

    sent_bytes: int = 0
    cpu_s: float = 0.0


class OneHome:
    """The live members: one controller."""

    own = HOME

    def live(self) -> tuple[Member, ...]:
        return (HOME,)

    def subscribe(self, changed: object) -> None:
        """Takes no note: the members never change."""


class CountingTransport:
    """Keeps messages and counts their bytes."""

    address = HOME.address

    def __init__(self) -> None:
        self.usage = Usage()
        self.messages: list[tuple[str, Message]] = []

    def send(
        self, address: str, message: Message, correlation: int = 0
    ) -> None:
        envelope = Envelope(HOME.node_id, HOME.address, correlation, message)
        self.usage.sent_bytes += len(encode_envelope(envelope))
        self.messages.append((address, message))

    async def receive(self) -> Envelope:
        raise AssertionError("not called by this benchmark")


def configuration_of(server_count: int) -> Configuration:
    """Returns one pool with so many servers."""
    servers = tuple(
        BackendServer(f"model-worker-{number:04}", "", "z", "v")
        for number in range(server_count)
    )
    pool = Pool("pool", PoolKind.MODEL, (Version("v"),), servers)
    zone = AvailabilityZone("z", "r")
    return Configuration("benchmark", (zone,), (), (pool,), ())


async def measure(gateway_count: int, server_count: int) -> str:
    """Returns one line of the table."""
    timer = FakeTimer()
    transport = CountingTransport()
    slots = HomeSlotAllocator(timer, transport, OneHome(), TIMES)
    configuration = configuration_of(server_count)
    slots.put_in_force(configuration)
    view = ClusterView()
    view.put_in_force(1, configuration)
    book_by_address = {
        f"tcp://10.10.11.{number}:7000": GatewayCredits(
            f"entry-{number:04}-gateway", timer, view, TIMES.credit_lifetime_s
        )
        for number in range(gateway_count)
    }
    gateways = Usage()
    servers_asked = 0
    for tick in range(WARM_UP_TICKS + MEASURED_TICKS):
        if tick == WARM_UP_TICKS:
            gateways = Usage()
            transport.usage = Usage()
            servers_asked = 0
        await timer.advance(TICK_S)
        requests = ask(book_by_address, gateways)
        servers_asked += sum(len(item.uses) for item in requests)
        await answer(slots, requests, transport.usage, timer.now())
        take_grants(transport, book_by_address, gateways)
    seconds = MEASURED_TICKS * TICK_S
    home = transport.usage
    uses = servers_asked / MEASURED_TICKS / gateway_count
    return (
        f"| {gateway_count} | {server_count} | {uses:.1f} "
        f"| {gateways.sent_bytes / seconds / gateway_count:.0f} "
        f"| {gateways.cpu_s / seconds / gateway_count * 100:.3f} "
        f"| {home.sent_bytes / seconds:.0f} "
        f"| {home.cpu_s / seconds * 100:.3f} |"
    )


def ask(
    book_by_address: dict[str, GatewayCredits], usage: Usage
) -> list[CreditRequest]:
    """Builds the renewals of one tick."""
    started = process_time()
    requests = [
        book.build_request(address)
        for address, book in book_by_address.items()
    ]
    for request in requests:
        envelope = Envelope(request.gateway, request.address, 0, request)
        usage.sent_bytes += len(encode_envelope(envelope))
    usage.cpu_s += process_time() - started
    return requests


async def answer(
    slots: HomeSlotAllocator,
    requests: list[CreditRequest],
    usage: Usage,
    now: float,
) -> None:
    """Lets the home read the load and answer the renewals."""
    started = process_time()
    for server_id in slots.allocator_by_server:
        slots.note_load(server_id, LoadSample(now, 0, False))
    for request in requests:
        await slots.on_request(Envelope("", "", 0, request), request)
    await slots.send_reports()
    usage.cpu_s += process_time() - started


def take_grants(
    transport: CountingTransport,
    book_by_address: dict[str, GatewayCredits],
    usage: Usage,
) -> None:
    """Hands the grants to the gateways."""
    started = process_time()
    for address, message in transport.messages:
        if isinstance(message, CreditGrant):
            book_by_address[address].on_grant(message)
    transport.messages.clear()
    usage.cpu_s += process_time() - started


async def time_to_full_use() -> None:
    """Measures how long a warm server takes to reach its full limit."""
    async with running_deployment(one_engine(), vm_count=2) as deployment:
        engine = next(iter(deployment.engine_by_id.values()))
        engine.remaining_cold_requests = 10**9
        async with create_task_group() as tasks:
            caller = Caller(HttpClient())
            for number in range(CALLERS):
                vm = deployment.vms[number % 2]
                tasks.start_soon(keep_asking, caller, vm)
            await sleep(COLD_S)
            peak_cold = engine.peak_in_flight_cold
            engine.remaining_cold_requests = 0
            started = perf_counter()
            while engine.in_flight < engine.max_slots:
                await sleep(0.002)
            full_s = perf_counter() - started
            tasks.cancel_scope.cancel()
    print(
        f"{CALLERS} callers, 2 gateways, 1 engine, credit lifetime"
        f" {CREDIT_LIFETIME_S} s: peak in cold start {peak_cold} of"
        f" {engine.cold_slots}, overloads {engine.overloads_cold};"
        f" {full_s:.2f} s from warm to {engine.max_slots} in flight"
    )


async def keep_asking(caller: Caller, vm: EntryVm) -> None:
    """Sends one request after the other."""
    while True:
        await caller.chat(vm, "benchmark", CALL_TOKENS)


def one_engine() -> Configuration:
    """Returns the example with one model engine."""
    example = example_configuration()
    pool = example.pools[0]
    single = replace(pool, servers=pool.servers[:1])
    return replace(example, pools=(single, *example.pools[1:]))


async def main() -> None:
    """Prints both parts."""
    print("| gateways | servers | servers asked for | gateway B/s |", end="")
    print(" gateway CPU % | home B/s | home CPU % |")
    print("|---" * 7 + "|")
    for gateway_count, server_count in SIZES:
        print(await measure(gateway_count, server_count))
    for _ in range(REPEATS):
        await time_to_full_use()


if __name__ == "__main__":
    run(main())
