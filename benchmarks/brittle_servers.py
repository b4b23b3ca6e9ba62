"""How fleets of several sizes share the slots of brittle servers.

Run with ``python -m benchmarks.brittle_servers``. Prints, with and without
sharing, crashes, the share served of what the slots can do, failed requests,
the median time to a refusal in fake time, and the bytes of messages.
"""

from anyio import run
from fire import Fire

from tests.brittle_fleet import brittle_fleet
from tests.brittle_fleet import CONTACT_S
from tests.brittle_fleet import Outcomes

FLEET_SIZES = (3, 7, 195)

# Refusals that each server can bear, and the load as a multiple of what the
# slots can serve.
CASES: tuple[tuple[str, list[int | None], float], ...] = (
    ("4 of 4, N=2", [2] * 4, 1.5),
    ("8 of 8, N=4", [4] * 8, 1.3),
    ("1 of 4, N=2", [2, None, None, None], 1.0),
    ("4 of 4, N=2", [2] * 4, 0.6),
    ("4 of 4, N=2", [2] * 4, 6.0),
)


async def play(
    size: int,
    name: str,
    refusals: list[int | None],
    load: float,
    seconds: float,
    seed: int,
    spares_servers: bool,
) -> None:
    """Plays one case and prints its row."""
    async with brittle_fleet(size, refusals, seed, spares_servers) as fleet:
        await fleet.send(CONTACT_S, load)
        fleet.outcomes = Outcomes()
        fleet.network.sent_bytes = 0
        await fleet.send(seconds, load)
        outcomes = fleet.outcomes
        able = fleet.able_per_s * seconds
        print(
            f"| {size} | {name}, load {load:g} |"
            f" {'after' if spares_servers else 'before'} |"
            f" {fleet.falls} | {outcomes.served / able:.2f} |"
            f" {outcomes.failed} |"
            f" {outcomes.median_refusal_s * 1000:.0f} ms |"
            f" {fleet.network.sent_bytes / seconds / 1000:.1f} kB/s |",
            flush=True,
        )


def start(seconds: float = 9.0, seed: int = 1) -> None:
    """Prints the table; ``seconds`` is the counted time of each case."""
    for size in FLEET_SIZES:
        for name, refusals, load in CASES:
            for spares_servers in (False, True):
                run(
                    play,
                    size,
                    name,
                    refusals,
                    load,
                    seconds,
                    seed,
                    spares_servers,
                )


if __name__ == "__main__":
    Fire(start)
