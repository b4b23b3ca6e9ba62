"""An answer that a leaving worker's end cuts looks complete.

Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
could not run.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from dataclasses import dataclass
from os import environ
from pathlib import Path
from subprocess import PIPE
from subprocess import Popen
from sys import executable
from time import monotonic
from time import time

from client import send
from deployment import configuration
from deployment import Deployment
from deployment import HOST_NAME
from deployment import KEY
from deployment import Node
from deployment import Record
from deployment import route
from deployment import run_case
from unframed_worker import whole_stream

STAND_INS = Path(__file__).resolve().parents[1] / "stand_ins_2"

WORKERS = 7

# Time of the notice, and from it to the worker's end, in seconds.
NOTICE_S = 8.0
GONE_AFTER_S = 2.0

END_S = 18.0
PERIOD_S = 0.05


@dataclass(frozen=True, slots=True)
class Stream:
    """A stream as a consumer has got it."""

    attempt: str
    outcome: str
    looks_complete: bool
    body: bytes
    ended_at: float


async def read_stream(node: Node, attempt: str) -> Stream:
    """Reads a stream as a consumer does."""
    try:
        answer = await send(
            node.front,
            "POST",
            f"/night-summary/{attempt}",
            {
                "Host": HOST_NAME,
                "Wasabiwing-Attempt-Id": attempt,
                "Wasabiwing-Deadline-Ms": "3000",
                "Authorization": f"Bearer {KEY}",
            },
            b"notes",
            6.0,
        )
    except (OSError, TimeoutError, ValueError) as error:
        return Stream(attempt, type(error).__name__, False, b"", time())
    return Stream(
        attempt, str(answer.status), answer.complete, answer.body, time()
    )


async def play(
    deployment: Deployment,
    processes: list[Popen[bytes]],
    record: Record,
) -> int:
    """Plays the case; returns the exit status."""
    document = configuration(1)
    document["routes"] = [
        route(
            "night-summary",
            "stream",
            service="wasabi-pool",
            timeoutMs=3000,
            targetLatencyMs=1000,
            maxAttempts=1,
            priority=1,
        )
    ]
    document["services"] = [{"name": "wasabi-pool", "maxConns": 360}]
    deployment.configure(document)
    address_by_id = {}
    for number in range(WORKERS):
        worker_id = f"model-{number}"
        process = Popen(
            [executable, "unframed_worker.py", worker_id],
            cwd=STAND_INS,
            stdout=PIPE,
        )
        processes.append(process)
        assert process.stdout is not None
        address_by_id[worker_id] = process.stdout.readline().decode().strip()
        deployment.register(
            worker_id,
            address_by_id[worker_id],
            "wasabi-pool",
            slots=64,
            spot=True,
        )
    for number in range(2):
        await deployment.add_node(f"front-lakes-a-{number + 1}")
    if not await deployment.start_nodes():
        return 2
    gone_at = 0.0

    async def reclaim() -> None:
        nonlocal gone_at
        await sleep(NOTICE_S)
        record.write(f"model-0: draining, leaves in {GONE_AFTER_S} s")
        deployment.register(
            "model-0",
            address_by_id["model-0"],
            "wasabi-pool",
            slots=64,
            spot=True,
            state="draining",
            leaves_ms=GONE_AFTER_S * 1000,
        )
        await sleep(GONE_AFTER_S)
        gone_at = time()
        if environ.get("TROUBLE", "1") != "0":
            record.write("model-0: its process is killed")
            processes[0].kill()

    tasks = [create_task(reclaim())]
    streams = []
    began_at = monotonic()
    number = 0
    while monotonic() < began_at + END_S:
        number += 1
        node = deployment.nodes[number % len(deployment.nodes)]
        streams.append(create_task(read_stream(node, f"n{number}")))
        await sleep(PERIOD_S)
    await gather(*tasks)
    received = await gather(*streams)
    for worker_id, process in zip(address_by_id, processes, strict=True):
        process.kill()
        assert process.stdout is not None
        runs = process.stdout.read().decode().split()
        record.write(f"{worker_id}: ran {' '.join(runs)}")
    return judge(received, gone_at, record)


def judge(streams: list[Stream], gone_at: float, record: Record) -> int:
    """Returns 1 if a stream in part looked complete to its consumer."""
    in_part = 0
    broken_off = 0
    for stream in streams:
        is_whole = stream.body == whole_stream()
        looks_whole = stream.outcome == "200" and stream.looks_complete
        in_part += looks_whole and not is_whole
        broken_off += stream.outcome == "200" and not stream.looks_complete
        record.write(
            f"{stream.attempt}: {stream.outcome},"
            f" {'complete' if stream.looks_complete else 'broken off'} to"
            f" its consumer, {stream.body.count(b'id: ')} events, ended"
            f" {stream.ended_at - gone_at:.3f} s after the worker's end"
            f"{': only a part' if looks_whole and not is_whole else ''}"
        )
    record.write(
        f"{len(streams)} streams; {in_part} in part that looked complete;"
        f" {broken_off} that looked broken off"
    )
    record.write("MIXED is broken" if in_part else "MIXED holds")
    return int(bool(in_part))


async def main() -> int:
    """Runs the case with its stand-ins; returns the exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    deployment = Deployment(record)
    processes: list[Popen[bytes]] = []
    try:
        return await play(deployment, processes, record)
    finally:
        for process in processes:
            process.kill()
            process.wait()
        deployment.stop()


if __name__ == "__main__":
    run_case(main)
