"""Traffic of the membership protocol at sizes that need one process.

All members run in one process on a fake network and a fake timer. Bytes
and the time to detect a death are therefore exact, and CPU time does not
include that of real sockets. Run from the root of the repository:

    python -m benchmarks.members [--sizes=50,100,200] [--seconds=10]
"""

from collections.abc import Sequence
from random import Random
from time import process_time

from anyio import run
from fire import Fire

from tests.network import Bench
from tests.network import bench
from wasabiwing.membership import Membership
from wasabiwing.message_router import MessageRouter
from wasabiwing.ports import Member

ZONES = 12
REGIONS = 5

# Time before the measurement in which all members find each other and stop
# to disseminate the updates about that.
JOIN_S = 90.0

# Longest wait until all members know of a death.
DEATH_LIMIT_S = 60.0

STEP_S = 0.5


def start(bench_parts: Bench, number: int) -> Membership:
    """Starts a member that joins through the first two members."""
    address = f"tcp://{number}"
    name = f"entry-{number}-controller"
    transport = bench_parts.network.open(name, address)
    router = MessageRouter(name, transport)
    bench_parts.tasks.start_soon(router.run)
    zone = number % ZONES
    members = Membership(
        Member(name, address, f"zone-{zone}", f"region-{zone % REGIONS}"),
        bench_parts.timer,
        transport,
        bench_parts.tasks,
        Random(number),
        ("tcp://0", "tcp://1"),
    )
    members.register(router)
    return members


async def measure(size: int, seconds: float) -> None:
    """Measures one number of members and prints its row."""
    async with bench() as bench_parts:
        nodes = [start(bench_parts, number) for number in range(size)]
        await bench_parts.timer.advance(JOIN_S)
        min_known = min(len(node.live()) for node in nodes)
        before, cpu_started_s = bench_parts.network.sent_bytes, process_time()
        await bench_parts.timer.advance(seconds)
        bytes_per_s = (
            (bench_parts.network.sent_bytes - before) / size / seconds
        )
        cpu_s = process_time() - cpu_started_s
        bench_parts.network.transport_by_address[
            f"tcp://{size - 1}"
        ].paused = True
        before = bench_parts.network.sent_bytes
        name = nodes[-1].own.node_id
        waited_s = 0.0
        while waited_s < DEATH_LIMIT_S and any(
            name in {member.node_id for member in node.live()}
            for node in nodes[:-1]
        ):
            await bench_parts.timer.advance(STEP_S)
            waited_s += STEP_S
        extra = (
            bench_parts.network.sent_bytes - before
        ) / size - bytes_per_s * waited_s
        print(
            f"{size:>6} {min_known:>6} {bytes_per_s:>12.0f} {waited_s:>12.1f}"
            f" {extra:>14.0f} {cpu_s / size / seconds * 100:>10.3f}"
        )


def main(
    sizes: Sequence[int] | int = (50, 100, 200), seconds: float = 10.0
) -> None:
    """Prints a table with one row for each number of members."""
    print(
        f"{'nodes':>6} {'known':>6} {'B/s a node':>12} {'death all s':>12}"
        f" {'B for a death':>14} {'CPU %':>10}"
    )
    for size in (sizes,) if isinstance(sizes, int) else sizes:
        run(measure, size, seconds)


if __name__ == "__main__":
    Fire(main)
