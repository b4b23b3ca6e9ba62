"""Measures claims over real sockets: rate, store writes and latency.

One controller is the home of all partitions. Each caller acquires one claim
after the other and reports an outcome for each. The path ``journal`` calls
the journals, which write to the store stand-in over HTTP. The path
``messages`` goes from a gateway's claim client to a whole controller.
Everything runs in one process. Run with ``python -m benchmarks.claims``.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from io import StringIO

from anyio import create_task_group
from anyio import current_time
from anyio import Event
from anyio import run
from msgspec.structs import replace
from numpy import percentile
from result import Err
from result import Ok

from wasabiwing.calls import Call
from wasabiwing.claim_client import ClaimClient
from wasabiwing.claim_journal import PartitionJournal
from wasabiwing.claim_records import Claim
from wasabiwing.claim_records import CLAIM_PARTITION_COUNT
from wasabiwing.claim_records import partition_of_key
from wasabiwing.configuration import Organisation
from wasabiwing.configuration import Pool
from wasabiwing.configuration import PoolKind
from wasabiwing.configuration import Route
from wasabiwing.controller import ControllerAddresses
from wasabiwing.controller import run_controller
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.events import open_log
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import ClaimState
from wasabiwing.nng_transport import open_transport
from wasabiwing.ports import HttpReply
from wasabiwing.settings import ControllerSettings
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import SystemTimer
from wasabiwing_standins.store import EtcdStandIn

CONCURRENCIES = (1, 10, 100, 1000)

# Default write budget of a node, and the budget that a lone controller could
# have.
BUDGETS_PER_S = (20.0, 300.0)

MEASURE_S = 4.0

POOL = Pool("desk", PoolKind.PLAIN, ())
ROUTE = Route("book", "/book", "desk", idempotent=False)
ORGANISATION = Organisation("org", "")
ANSWER = HttpReply(200, (), b"x" * 100)


@dataclass(frozen=True, slots=True)
class Row:
    """Measurements of one path, write budget and concurrency."""

    path: str
    budget_per_s: float
    concurrency: int
    claims_per_s: float
    refused: int
    writes_per_s: float
    # 50th, 95th and 99th percentile of the time to acquire a claim.
    latencies_ms: tuple[float, float, float]


# Acquires a claim and starts the report of its outcome; returns whether the
# claim was granted.
AcquireClaim = Callable[[str], Awaitable[bool]]


async def measure_journal(budget_per_s: float, concurrency: int) -> Row:
    """Measures claims that are acquired directly from the journals."""
    timer = SystemTimer()
    async with create_task_group() as tasks:
        stand_in = EtcdStandIn(tasks)
        await stand_in.start()
        store = EtcdStore((stand_in.url,))
        budget = StoreBudget(timer, budget_per_s)
        journals = [
            PartitionJournal("controller", partition, store, timer, budget)
            for partition in range(CLAIM_PARTITION_COUNT)
        ]

        async def acquire_claim(name: str) -> bool:
            journal = journals[partition_of_key(ORGANISATION.id, name)]
            wanted = Claim(
                ORGANISATION.id,
                name,
                b"d" * 32,
                f"request-{name}",
                "gateway",
                ClaimState.GRANTED,
                "",
                10.0,
            )
            claimed = await journal.acquire(wanted)
            if isinstance(claimed, Err):
                return False
            finished = replace(
                claimed.ok_value, state=ClaimState.FINISHED, body=ANSWER.body
            )
            tasks.start_soon(
                journal.record_outcome,
                (ORGANISATION.id, name),
                wanted.request_id,
                lambda claim: finished,
            )
            return True

        row = await _run_callers(
            "journal", acquire_claim, stand_in, budget_per_s, concurrency
        )
        tasks.cancel_scope.cancel()
    return row


async def measure_messages(budget_per_s: float, concurrency: int) -> Row:
    """Measures claims that a gateway's client acquires from a controller."""
    timer = SystemTimer()
    async with (
        open_transport("gateway", "tcp://127.0.0.1:0") as transport,
        create_task_group() as tasks,
    ):
        store = EtcdStandIn(tasks)
        await store.start()
        settings = ControllerSettings(
            "controller",
            "zone",
            "region",
            "tcp://127.0.0.1:0",
            "127.0.0.1",
            0,
            (store.url,),
            store_writes_per_s=budget_per_s,
        )
        controller: ControllerAddresses = await tasks.start(
            run_controller, settings, Event()
        )
        router = MessageRouter("gateway", transport)
        client = ClaimClient(
            "gateway", timer, transport, controller.inbox, tasks
        )
        client.register(router)
        tasks.start_soon(router.run)

        async def acquire_claim(name: str) -> bool:
            call = _call(name, timer.now())
            claimed = await client.acquire(call)
            if isinstance(claimed, Ok):
                client.report_answer(call, ANSWER)
            return isinstance(claimed, Ok)

        row = await _run_callers(
            "messages", acquire_claim, store, budget_per_s, concurrency
        )
        tasks.cancel_scope.cancel()
    return row


async def _run_callers(
    path: str,
    acquire_claim: AcquireClaim,
    store: EtcdStandIn,
    budget_per_s: float,
    concurrency: int,
) -> Row:
    latencies_ms: list[float] = []
    refused = 0
    run_started_at = current_time()
    writes_before = store.writes

    async def caller(number: int) -> None:
        nonlocal refused
        count = 0
        while current_time() < run_started_at + MEASURE_S:
            count += 1
            started_at = current_time()
            if await acquire_claim(f"{number}-{count}"):
                latencies_ms.append((current_time() - started_at) * 1000)
            else:
                refused += 1

    async with create_task_group() as callers:
        for number in range(concurrency):
            callers.start_soon(caller, number)
    elapsed_s = current_time() - run_started_at
    p50, p95, p99 = percentile(latencies_ms or [0.0], (50, 95, 99))
    return Row(
        path,
        budget_per_s,
        concurrency,
        len(latencies_ms) / elapsed_s,
        refused,
        (store.writes - writes_before) / elapsed_s,
        (float(p50), float(p95), float(p99)),
    )


def _call(name: str, now: float) -> Call:
    return Call(
        f"request-{name}",
        ORGANISATION,
        ROUTE,
        POOL,
        "POST",
        "/book",
        b"{}",
        name,
        1,
        1,
        now,
        now + 10.0,
    )


def main() -> None:
    """Prints a table with one row for each path, budget and concurrency."""
    open_log(StringIO())
    print(
        "path      budget/s  concurrent  claims/s  refused  writes/s"
        "  p50 ms  p95 ms  p99 ms"
    )
    for measure in (measure_journal, measure_messages):
        for budget_per_s in BUDGETS_PER_S:
            for concurrency in CONCURRENCIES:
                row = run(
                    measure,
                    budget_per_s,
                    concurrency,
                    backend_options={"use_uvloop": True},
                )
                _print_row(row)


def _print_row(row: Row) -> None:
    p50, p95, p99 = row.latencies_ms
    print(
        f"{row.path:8}  {row.budget_per_s:8.0f}  {row.concurrency:10d}"
        f"  {row.claims_per_s:8.1f}  {row.refused:7d}"
        f"  {row.writes_per_s:8.1f}"
        f"  {p50:6.1f}  {p95:6.1f}  {p99:6.1f}",
        flush=True,
    )


if __name__ == "__main__":
    main()
