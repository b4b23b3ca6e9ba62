"""How fleets of several sizes bear a prompt part that crashes servers.

Run with ``python -m benchmarks.crashing_parts``. Prints, with and without
quarantines of parts, the crashes, the requests with the part that were sent
too late, the share of sound requests that began at the first attempt, those
that were refused, and the messages between processes.
"""

from collections.abc import Callable
from random import Random

from fire import Fire

from tests.part_fleet import CONTACT_S
from tests.part_fleet import MAX_SENT_AFTER
from tests.part_fleet import PartFleet

# Requests per second of all callers by number of processes.
RATE_BY_SIZE = {3: 12.0, 7: 30.0, 195: 300.0}
SHARES = (0.01, 0.05, 0.3)
POSITIONS = ("first", "second", "last but one")

# Time with sound requests only, in seconds.
WARM_S = 5.0

DEADLY_PART = "deadly"


def prompts(share: float, position: int) -> Callable[[Random], list[str]]:
    """Returns a source of prompts, of which a share has the deadly part."""

    def parts(random: Random) -> list[str]:
        found = [
            f"first-{random.randrange(3)}",
            f"second-{random.randrange(12)}",
            f"third-{random.randrange(60)}",
        ]
        if random.random() < share:
            found[position] = DEADLY_PART
        return found

    return parts


def play(
    size: int, share: float, position: int, seconds: float, refuses: bool
) -> None:
    """Plays one case and prints its row."""
    fleet = PartFleet(size, refuses=refuses)
    rate = RATE_BY_SIZE[size]
    fleet.clock.advance(2.0)
    fleet.send(WARM_S, rate, prompts(0.0, position))
    fleet.deadly = {DEADLY_PART}
    since = fleet.clock.now() + 2 * CONTACT_S
    before = fleet.sent_messages
    fleet.send(seconds, rate, prompts(share, position))
    refused = sum(outcome.refused for outcome in fleet.outcomes)
    print(
        f"| {size} | {share:g} | {POSITIONS[position]} |"
        f" {'after' if refuses else 'before'} | {fleet.crash_count} |"
        f" {fleet.sent_after_contact} of {MAX_SENT_AFTER} |"
        f" {fleet.served_share(since):.3f} | {refused} |"
        f" {(fleet.sent_messages - before) / size / seconds:.1f} |",
        flush=True,
    )


def start(seconds: float = 22.0, sizes: tuple[int, ...] = (3, 7, 195)) -> None:
    """Prints the table; ``seconds`` is the time of the deadly requests."""
    print(
        "| processes | share | part | | crashes | sent late | sound begun"
        " | sound refused | messages per process and second |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for size in sizes:
        for share in SHARES:
            for position in range(len(POSITIONS)):
                for refuses in (False, True):
                    play(size, share, position, seconds, refuses)


if __name__ == "__main__":
    Fire(start)
