"""Times until a change is known while nodes lack the store.

Prints, for each size of the fleet and each fault, the worst time at a node
that can read the store, and the calls to the store a second at rest, while
the first nodes of each zone lack it, and while all nodes do.
"""

from anyio import run
from fire import Fire

from tests.relay_fleet import delay
from tests.relay_fleet import Fault
from tests.relay_fleet import first_of_each_zone
from tests.relay_fleet import refuse
from tests.relay_fleet import relay_fleet
from tests.relay_fleet import silence
from tests.test_stale_heads import change_times
from tests.test_stale_heads import store_calls
from wasabiwing.zone_heads import MAX_FULL_MESH_NODES

FAULTS: dict[str, Fault] = {
    "refused": refuse,
    "silent": silence,
    "late by 0.9 s": delay(0.9),
}

# Time over which calls are counted, in seconds.
COUNTED_S = 5.0


async def worst_time_s(nodes: int, fault: Fault, lost: int) -> float:
    """Returns the worst time in seconds until a change is known."""
    async with relay_fleet(nodes) as fleet:
        victims = first_of_each_zone(fleet, lost)
        if nodes <= MAX_FULL_MESH_NODES:
            victims = victims[: nodes - 1]
        for node in victims:
            fault(node)
        return max((await change_times(fleet, victims)).values())


async def calls_per_s(nodes: int, fault: Fault, lost: int) -> float:
    """Returns the calls to the store a second, all nodes together."""
    async with relay_fleet(nodes) as fleet:
        for node in first_of_each_zone(fleet, lost):
            fault(node)
        await fleet.run(4.0)
        before = store_calls(fleet)
        await fleet.run(COUNTED_S)
        return (store_calls(fleet) - before) / COUNTED_S


async def measure(sizes: tuple[int, ...]) -> None:
    """Prints a row for each size, fault and number of lost nodes."""
    print("| nodes | fault | lost a zone | worst s | calls a second |")
    print("|---|---|---|---|---|")
    for nodes in sizes:
        rest = await calls_per_s(nodes, refuse, 0)
        print(f"| {nodes} | none | 0 | | {rest:.1f} |", flush=True)
        for name, fault in FAULTS.items():
            for lost in (1, 2, 4):
                worst = await worst_time_s(nodes, fault, lost)
                calls = await calls_per_s(nodes, fault, lost)
                print(
                    f"| {nodes} | {name} | {lost} | {worst:.2f} "
                    f"| {calls:.1f} |",
                    flush=True,
                )
        for name, fault in FAULTS.items():
            calls = await calls_per_s(nodes, fault, nodes)
            print(f"| {nodes} | {name} | all | | {calls:.1f} |", flush=True)


def main(nodes: tuple[int, ...] = (30, 78)) -> None:
    """Runs the benchmark for fleets of these sizes."""
    run(measure, nodes)


if __name__ == "__main__":
    Fire(main)
