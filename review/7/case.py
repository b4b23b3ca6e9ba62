"""An event without an end, in small chunks, hangs the node that reads it.

Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
could not run.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from dataclasses import dataclass
from os import environ
from pathlib import Path
from time import monotonic

from client import send
from deployment import configuration
from deployment import Deployment
from deployment import HOST_NAME
from deployment import KEY
from deployment import Node
from deployment import Record
from deployment import route
from deployment import run_case
from stream_worker import StreamWorker
from stream_worker import whole_stream
from worker import Worker

TIMEOUT_S = 1.0
LATER_S = 0.5

# Consumers wait longer than the route's time limit.
PATIENCE_S = 6.0

# The nodes are in touch from here on, in seconds after their start.
CALM_S = 6.0
TROUBLE_S = 14.0
END_S = 44.0

# Each node gets a status check, and a stream, this often, in seconds.
STATUS_PERIOD_S = 0.1
STREAM_PERIOD_S = 0.06

# Answers of one of three workers that are spoiled.
SPOILED = 8

# Fewer requests without an answer, or a smaller share of those that exceed
# their time limit, break nothing.
MIN_UNANSWERED = 8
UNANSWERED_SHARE = 0.25


@dataclass(slots=True)
class Sent:
    """A status check, and when its answer came."""

    name: str
    node: Node
    sent_at: float
    answered_at: float = float("inf")
    outcome: str = "none"


def headers(name: str, deadline_s: float) -> dict[str, str]:
    """Returns the headers of a consumer's request."""
    return {
        "Host": HOST_NAME,
        "Wasabiwing-Attempt-Id": name,
        "Wasabiwing-Deadline-Ms": str(round(deadline_s * 1000)),
        "Authorization": f"Bearer {KEY}",
    }


async def check_status(sent: Sent) -> None:
    """Sends a status check and notes when its answer comes."""
    try:
        answer = await send(
            sent.node.front,
            "GET",
            f"/order-status/{sent.name}",
            headers(sent.name, PATIENCE_S),
            b"",
            PATIENCE_S,
        )
        sent.outcome = str(answer.status)
        sent.answered_at = monotonic()
    except (OSError, TimeoutError, ValueError) as error:
        sent.outcome = type(error).__name__


async def read_stream(node: Node, name: str, outcomes: dict[str, int]) -> None:
    """Reads a stream as a consumer does."""
    try:
        answer = await send(
            node.front,
            "POST",
            f"/site-quote/{name}",
            headers(name, 5.0),
            b"notes",
            8.0,
        )
        outcome = str(answer.status)
        if answer.status == 200 and answer.body != whole_stream():
            outcome = "200, in part"
    except (OSError, TimeoutError, ValueError) as error:
        outcome = type(error).__name__
    outcomes[outcome] = outcomes.get(outcome, 0) + 1


async def play(deployment: Deployment, record: Record) -> int:
    """Plays the case; returns the exit status."""
    document = configuration(1)
    document["routes"] = [
        route("order-status", "idempotent", timeoutMs=1000),
        route(
            "site-quote",
            "stream",
            service="wasabi-pool",
            targetLatencyMs=600,
            streamResume=True,
            priority=0,
        ),
    ]
    document["services"].append({"name": "wasabi-pool", "maxConns": 360})
    deployment.configure(document)
    for number in range(2):
        await deployment.add_worker(Worker(f"desk-{number}"), "order-desk")
    workers = [StreamWorker(f"model-{number}") for number in range(3)]
    for worker in workers:
        await deployment.add_worker(worker, "wasabi-pool")
    for number in range(2):
        await deployment.add_node(f"front-lakes-a-{number + 1}")
    if not await deployment.start_nodes():
        return 2
    began_at = monotonic()
    checks: list[Sent] = []
    outcomes: dict[str, int] = {}
    unready: dict[str, int] = {}
    tasks = []

    async def send_checks(node: Node) -> None:
        while monotonic() < began_at + END_S:
            sent = Sent(f"s{len(checks)}", node, monotonic())
            checks.append(sent)
            tasks.append(create_task(check_status(sent)))
            await sleep(STATUS_PERIOD_S)

    async def send_streams(node: Node) -> None:
        number = 0
        while monotonic() < began_at + END_S:
            number += 1
            name = f"{node.name}-q{number}"
            tasks.append(create_task(read_stream(node, name, outcomes)))
            await sleep(STREAM_PERIOD_S)

    async def ask_readiness(node: Node) -> None:
        while monotonic() < began_at + END_S:
            if not await node.is_ready():
                unready[node.name] = unready.get(node.name, 0) + 1
            await sleep(1.0)

    async def spoil() -> None:
        await sleep(TROUBLE_S)
        if environ.get("TROUBLE", "1") != "0":
            record.write(f"{workers[0].id}: spoils its next {SPOILED} answers")
            workers[0].to_spoil = SPOILED

    await gather(
        spoil(),
        *(
            action(node)
            for node in deployment.nodes
            for action in (send_checks, send_streams, ask_readiness)
        ),
    )
    await gather(*tasks)
    for worker in workers:
        record.write(
            f"{worker.id}: {len(worker.runs)} answers, {worker.spoiled}"
            " of them endless"
        )
    record.write(f"streams by outcome: {outcomes}")
    record.write(f"readiness pages without 200: {unready}")
    return judge(checks, began_at, record)


def judge(checks: list[Sent], began_at: float, record: Record) -> int:
    """Returns 1 if the rule was broken."""
    judged = [sent for sent in checks if sent.sent_at >= began_at + CALM_S]
    exceeding = [
        sent for sent in judged if sent.answered_at - sent.sent_at > TIMEOUT_S
    ]
    unanswered = [
        sent
        for sent in exceeding
        if sent.answered_at - sent.sent_at > TIMEOUT_S + LATER_S
    ]
    for sent in checks:
        passed_s = sent.answered_at - sent.sent_at
        record.write(
            f"{sent.name} to {sent.node.name} at"
            f" {sent.sent_at - began_at:.3f} s: {sent.outcome} after"
            f" {passed_s:.3f} s"
        )
    record.write(
        f"{len(judged)} status checks, {len(exceeding)} unanswered at their"
        f" route's {TIMEOUT_S} s, {len(unanswered)} of them {LATER_S} s later"
    )
    is_broken = (
        len(unanswered) >= MIN_UNANSWERED
        and len(unanswered) > len(exceeding) * UNANSWERED_SHARE
    )
    record.write("CONFIG is broken" if is_broken else "CONFIG holds")
    return int(is_broken)


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
