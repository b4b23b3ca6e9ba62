"""What callers of a stopping node get, by the moment of their request.

Load pattern: kept connections on which requests arrive from the request to
stop up to the kill. A whole node with stand-ins of its servers runs on
loopback. Runs before the stop are short; from ``LATE_S`` on, the requests of
the column ``long`` run longer than all before. Those of the column
``1 s left`` have a deadline of one second::

    PYTHONPATH=platform python -m benchmarks.stop_curve
"""

from collections import Counter
from collections import defaultdict
from itertools import product

from anyio import create_task_group
from anyio import move_on_after
from anyio import run
from anyio import sleep
from anyio.abc import SocketStream

from tests.node_deployment import BOUNDS
from tests.test_node_stops import Ending
from tests.test_node_stops import LONG_BODY
from tests.test_node_stops import ROUTES
from tests.test_node_stops import stopping_node
from wasabiwing_platform_standins.server import STREAM_EVENTS

# Lengths of the runs that the node has seen, in seconds.
SEEN_S = (0.05, 0.3, 1.0)

# Length of late runs that are longer, in seconds.
LONG_S = 5.0

# Moments of the requests, in seconds after the request to stop.
MOMENTS_S = tuple(0.4 + 0.48 * number for number in range(16))
LATE_S = 3.0

# Deadlines of requests in milliseconds, by the name of their column.
TIMEOUT_MS_BY_COLUMN = {"short": 20_000, "long": 20_000, "1 s left": 1_000}

# Body of a request that runs until the kill.
STAY_BODY = b"stay"

# Ends of the intervals of moments that are summed up, in seconds.
INTERVAL_ENDS_S = (3.0, 4.0, 5.0, 6.0, 7.0, 8.0)


async def play(seen_s: float) -> dict[tuple[float, str], Counter[Ending]]:
    """Returns how requests ended, by interval of their moment and column."""
    endings: dict[tuple[float, str], Counter[Ending]] = defaultdict(Counter)
    async with stopping_node(seen_s, warm_up=True) as kept:
        for server in kept.servers:
            server.work_s_by_body[LONG_BODY] = LONG_S
            server.work_s_by_body[STAY_BODY] = BOUNDS.stop_grace_s
            if server.streams:
                server.work_s_by_body[LONG_BODY] /= STREAM_EVENTS

        plan = list(product(MOMENTS_S, ROUTES, TIMEOUT_MS_BY_COLUMN))
        streams = [await kept.open() for _ in plan]

        async def ask(
            stream: SocketStream, at_s: float, route: str, column: str
        ) -> None:
            await sleep(at_s)
            is_long = column == "long" and at_s > LATE_S
            ending = await kept.ask(
                stream,
                route,
                at_s,
                LONG_BODY if is_long else b"kept",
                TIMEOUT_MS_BY_COLUMN[column],
            )
            end_s = next(end for end in INTERVAL_ENDS_S if at_s <= end)
            endings[end_s, column][ending] += 1

        async with create_task_group() as tasks:
            # It keeps the node from leaving when nothing else runs.
            stay = await kept.open()
            tasks.start_soon(kept.ask, stay, "read", 0.0, STAY_BODY)
            await sleep(0.1)
            kept.system.stop.set()
            for stream, item in zip(streams, plan, strict=True):
                tasks.start_soon(ask, stream, *item)
            with move_on_after(BOUNDS.stop_grace_s):
                await kept.system.stopped.wait()
            kept.system.kill()
    return endings


def main() -> None:
    """Prints a line for each length, column and interval."""
    for seen_s in SEEN_S:
        endings = run(play, seen_s)
        for (end_s, column), counts in sorted(endings.items()):
            found = ", ".join(
                f"{count} {ending.name.lower()}"
                for ending, count in sorted(counts.items())
            )
            print(f"seen {seen_s} s, up to {end_s:.0f} s, {column}: {found}")


if __name__ == "__main__":
    main()
