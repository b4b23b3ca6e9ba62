"""A worker's 503 that promises nothing is passed on as a promise.

Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
could not run.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from asyncio import StreamWriter
from dataclasses import dataclass
from os import environ
from pathlib import Path
from random import Random
from time import monotonic

from client import Received
from client import send
from deployment import configuration
from deployment import Deployment
from deployment import HOST_NAME
from deployment import KEY
from deployment import Node
from deployment import Record
from deployment import run_case
from http_server import Answer
from http_server import Request
from worker import Worker

BEGIN_S = 4.0
END_S = 20.0
PERIOD_S = 0.1

# Share of the runs of one worker that fail.
FAILED_SHARE = 0.4

# Statuses by which the system promises that a request has not run.
PROMISES = (408, 421, 429, 503)


@dataclass
class FailingWorker(Worker):
    """A worker that may run a request and then answer 503.

    Its answer has no ``Wasabiwing-Not-Executed``.
    """

    fails: bool = False

    def __post_init__(self) -> None:
        self._random = Random(1)

    async def handle(
        self, request: Request, writer: StreamWriter
    ) -> Answer | None:
        """Serves a request of a node."""
        answer = await super().handle(request, writer)
        if (
            answer is not None
            and "Wasabiwing-Response-Stamp" in answer.headers
            and self.fails
            and self._random.random() < FAILED_SHARE
        ):
            answer.status = 503
            answer.body = b"booked, but the receipt can't be had"
        return answer


@dataclass(frozen=True, slots=True)
class Booking:
    """An attempt of a consumer and the status of its answer."""

    name: str
    attempt: str
    status: int
    stamped: bool


async def attempt(node: Node, name: str, attempt_id: str) -> Received | None:
    """Makes one attempt; ``None`` without an answer."""
    try:
        return await send(
            node.front,
            "POST",
            f"/book-drop/{name}",
            {
                "Host": HOST_NAME,
                "Wasabiwing-Attempt-Id": attempt_id,
                "Wasabiwing-Deadline-Ms": "1000",
                "Authorization": f"Bearer {KEY}",
            },
            name.encode(),
            2.0,
        )
    except (OSError, TimeoutError, ValueError):
        return None


async def book(nodes: list[Node], name: str, bookings: list[Booking]) -> None:
    """Books a drop; after a promise it tries once more, as consumers do."""
    for number, node in enumerate(nodes):
        attempt_id = f"{name}-{number}"
        answer = await attempt(node, name, attempt_id)
        status = 0 if answer is None else answer.status
        stamped = (
            answer is not None
            and "wasabiwing-response-stamp" in answer.headers
        )
        bookings.append(Booking(name, attempt_id, status, stamped))
        if answer is None or status not in PROMISES:
            return
        await sleep(float(answer.headers.get("retry-after", "0.1")))


async def play(deployment: Deployment, record: Record) -> int:
    """Plays the case; returns the exit status."""
    deployment.configure(configuration(1))
    failing = FailingWorker("desk-0")
    await deployment.add_worker(failing, "order-desk")
    for number in (1, 2):
        await deployment.add_worker(Worker(f"desk-{number}"), "order-desk")
    for number in range(2):
        await deployment.add_node(f"front-lakes-a-{number + 1}")
    if not await deployment.start_nodes():
        return 2
    bookings: list[Booking] = []
    tasks = []
    began_at = monotonic()
    number = 0
    while monotonic() < began_at + END_S:
        if monotonic() > began_at + BEGIN_S:
            failing.fails = environ.get("TROUBLE", "1") != "0"
        number += 1
        nodes = deployment.nodes
        nodes = nodes if number % 2 else nodes[::-1]
        tasks.append(create_task(book(nodes, f"b{number}", bookings)))
        await sleep(PERIOD_S)
    await gather(*tasks)
    return judge(deployment, bookings, record)


def judge(
    deployment: Deployment, bookings: list[Booking], record: Record
) -> int:
    """Returns 1 if a booking that has run was said not to have run."""
    runs: dict[str, list[str]] = {}
    for worker in deployment.workers.values():
        for item in worker.runs:
            runs.setdefault(item.attempt, []).append(worker.id)
    false_promises = 0
    run_by_booking: dict[str, int] = {}
    for booking in bookings:
        ran_at = runs.get(booking.attempt, [])
        run_by_booking[booking.name] = run_by_booking.get(
            booking.name, 0
        ) + len(ran_at)
        is_false = booking.status in PROMISES and bool(ran_at)
        false_promises += is_false
        record.write(
            f"{booking.attempt}: answered {booking.status}"
            f"{' with stamp' if booking.stamped else ''}, run by {ran_at}"
            f"{': a false promise' if is_false else ''}"
        )
    doubled = sum(count > 1 for count in run_by_booking.values())
    record.write(
        f"{len(run_by_booking)} bookings; {false_promises} attempts had run"
        f" and were answered as not run; {doubled} bookings ran twice"
    )
    record.write("REFUSED is broken" if false_promises else "REFUSED holds")
    return int(bool(false_promises))


async def main() -> int:
    """Runs the case with its stand-ins; returns the exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    deployment = Deployment(record)
    try:
        return await play(deployment, record)
    finally:
        deployment.stop()


if __name__ == "__main__":
    run_case(main)
