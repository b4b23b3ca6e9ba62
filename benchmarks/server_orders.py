"""Work on time and price of the servers in replays of load patterns.

Runs the autoscalers of three nodes against the fake platform of the tests, in
which servers boot for 4 s. Run with
``python -m benchmarks.server_orders | grep '^|'``.
"""

from collections.abc import Callable
from math import pi
from math import sin

from anyio import run
from fire import Fire

from tests.server_fleet import Fleet

USUAL_LOAD = 8.0
DEPLOYED = 16

Load = Callable[[float], float]


def no_load(elapsed_s: float) -> float:
    """Returns no work at any time."""
    return 0.0


def usual_load(elapsed_s: float) -> float:
    """Returns the usual load at any time."""
    return USUAL_LOAD


def burst(elapsed_s: float) -> float:
    """Returns 1.7 times the usual load from second 20 to second 32."""
    return USUAL_LOAD * (1.7 if 20.0 <= elapsed_s < 32.0 else 1.0)


def wave(elapsed_s: float) -> float:
    """Returns a load that varies by 30% with a period of 40 s."""
    return USUAL_LOAD * (1.0 + 0.3 * sin(2.0 * pi * elapsed_s / 40.0))


def report(name: str, fleet: Fleet, booted_before: int) -> None:
    """Prints the row of one replay."""
    print(
        f"| {name} | {fleet.on_time / fleet.arrived:.2f} |"
        f" {fleet.price:.0f} | {fleet.booted - booted_before} | {fleet.warm} |"
    )


async def settled_fleet() -> Fleet:
    """Returns a fleet that has served the usual load for a while."""
    fleet = Fleet(DEPLOYED)
    await fleet.run(16.0, no_load)
    await fleet.run(30.0, usual_load)
    fleet.arrived = fleet.on_time = fleet.price = 0.0
    return fleet


async def first_seconds() -> None:
    """Holders change while there is no load; then the full rate."""
    fleet = Fleet(DEPLOYED, registered_over_s=3.0)
    await fleet.run(1.0, no_load)
    for seconds in (3.0, 5.0, 4.0, 3.0):
        await fleet.run(seconds, no_load)
        fleet.restart_holder()
    name = f"first 30 s of traffic, {fleet.warm} servers at its beginning"
    await fleet.run(30.0, usual_load)
    report(name, fleet, 0)


async def changing_load(
    name: str, load: Load, restarts_at: tuple[float, ...]
) -> None:
    """A load changes while the holder restarts."""
    fleet = await settled_fleet()
    booted = fleet.booted
    begun = 0.0
    for restart_at in (*restarts_at, 80.0):
        await fleet.run(restart_at - begun, load, begun)
        fleet.start_as_holder()
        begun = restart_at
    report(f"80 s of a {name}, {len(restarts_at)} restarts", fleet, booted)


async def lost_zone(zone: str) -> None:
    """A zone loses its reclaimable servers and has none for 12 s."""
    fleet = await settled_fleet()
    booted = fleet.booted
    fleet.reclaim(zone)
    await fleet.run(12.0, usual_load)
    fleet.exhausted_zones.clear()
    await fleet.run(40.0, usual_load)
    report(f"52 s after the loss of zone {zone}", fleet, booted)


async def power_cut() -> None:
    """All nodes restart at once."""
    fleet = await settled_fleet()
    booted = fleet.booted
    fleet.restart_all()
    await fleet.run(3.0, no_load)
    await fleet.run(10.0, usual_load)
    report("13 s after a restart of all nodes", fleet, booted)


async def play() -> None:
    """Prints the table."""
    print("| replay | on time | price | booted | servers at the end |")
    print("|---|---|---|---|---|")
    await first_seconds()
    for name, load in (("burst", burst), ("wave", wave)):
        for restarts_at in ((), (22.0, 24.5, 31.0)):
            await changing_load(name, load, restarts_at)
    for zone in ("a", "b"):
        await lost_zone(zone)
    await power_cut()


def start() -> None:
    """Runs all replays."""
    run(play)


if __name__ == "__main__":
    Fire(start)
