"""Nodes of fleets of several sizes after their store was restored.

A fake network, store and timer::

    PYTHONPATH=platform python -m benchmarks.store_restores

A row names the number of nodes, the seconds from the store's return until a
configuration that is written at that moment is in force on the first half and
on all of them, and the calls of a node to the store in the first four seconds,
next to those in four seconds before the loss.
"""

from anyio import run
from fire import Fire

from tests.relay_fleet import relay_fleet
from tests.relay_fleet import STEP_S

NODE_COUNTS = (1, 3, 7, 30, 195)
COUNTED_S = 4.0
MAX_WAIT_S = 30.0


async def measure(count: int, lost_s: float, down_s: float) -> str:
    """Returns the row of one fleet."""
    async with relay_fleet(count) as fleet:
        await fleet.run(3.0)
        calls = fleet.store.calls
        await fleet.run(COUNTED_S)
        usual = fleet.store.calls - calls
        copy = fleet.store.copy()
        await fleet.run(lost_s)
        for node in fleet.nodes:
            node.link.unavailable = True
        await fleet.run(down_s)
        fleet.store.restore(copy)
        for node in fleet.nodes:
            node.link.unavailable = False
        fleet.store.put("configuration", b"2")
        calls = fleet.store.calls
        half_s = all_s = counted = None
        waited_s = 0.0
        while waited_s < MAX_WAIT_S and (all_s is None or counted is None):
            await fleet.run(STEP_S)
            waited_s += STEP_S
            done = sum(node.version == 2 for node in fleet.nodes)
            if half_s is None and done * 2 >= count:
                half_s = waited_s
            if all_s is None and done == count:
                all_s = waited_s
            if counted is None and waited_s >= COUNTED_S:
                counted = fleet.store.calls - calls
    return (
        f"| {count} | {half_s or -1:.2f} | {all_s or -1:.2f} |"
        f" {usual / count:.1f} | {(counted or 0) / count:.1f} |"
    )


def rows(lost_s: float = 9.0, down_s: float = 2.0) -> None:
    """Prints the table."""
    print("| nodes | half, s | all, s | calls before | calls after |")
    print("|---|---|---|---|---|")
    for count in NODE_COUNTS:
        print(run(measure, count, lost_s, down_s), flush=True)


def main() -> None:
    """Entry point."""
    Fire(rows)


if __name__ == "__main__":
    main()
