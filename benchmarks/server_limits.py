"""How fleets of several sizes keep and use the limits that servers name.

Run with ``python -m benchmarks.server_limits``. Prints, with and without
permits, the worst window of 4 s at a limited server, the used share of the
limits, the share served, the median time to a refusal in fake time and the
messages about permits. Then prints the CPU time of one answer of an issuer.
"""

from collections.abc import Sequence
from time import process_time_ns

from anyio import run
from fire import Fire

from tests.permit_fleet import allowed_requests
from tests.permit_fleet import permit_fleet
from tests.permit_fleet import SERVICE
from wasabiwing.messages import PermitRequest
from wasabiwing.permit_issuer import PermitIssuer

FLEET_SIZES = (1, 3, 7, 195)

# Limits of the servers, and requests per second of all callers.
CASES: tuple[tuple[str, Sequence[float | None], float], ...] = (
    ("1 of 6 names 1.5", (1.5, *(None,) * 5), 48.0),
    ("4 of 4 name 1.1", (1.1,) * 4, 20.0),
    ("6 of 6 name 4", (4.0,) * 6, 48.0),
    ("6 of 6 name 4", (4.0,) * 6, 16.0),
)

# Time after the first naming from which requests are counted, in seconds.
CONTACT_S = 3.0

ISSUER_CALLS = 20_000


async def play(
    size: int,
    name: str,
    limits: Sequence[float | None],
    per_s: float,
    seconds: float,
    keeps_limits: bool,
) -> None:
    """Plays one case and prints its row."""
    async with permit_fleet(size, limits, keeps_limits=keeps_limits) as fleet:
        since = fleet.timer.now() + CONTACT_S
        await fleet.send(seconds, per_s)
        until = fleet.timer.now()
        limited = [item for item in fleet.servers if item.limit_per_s]
        total = sum(item.limit_per_s or 0.0 for item in limited)
        used = sum(item.count(since, until) for item in limited)
        worst = max(item.worst_window(since) for item in limited)
        allowed = allowed_requests(limited[0].limit_per_s or 0.0)
        outcomes = fleet.outcomes_by_urgency[0]
        print(
            f"| {size} | {name}, {per_s:g} come |"
            f" {'after' if keeps_limits else 'before'} |"
            f" {worst} of {allowed} |"
            f" {used / (total * (until - since)):.2f} |"
            f" {outcomes.served_share:.2f} |"
            f" {outcomes.median_refusal_s * 1000:.0f} ms |",
            flush=True,
        )


async def time_issuer(size: int) -> None:
    """Prints the CPU time of one answer of an issuer in a fleet."""
    async with permit_fleet(size, (4.0,) * 6) as fleet:
        issuer = PermitIssuer(fleet.timer, fleet.senders[0].limits)
        request = PermitRequest(
            SERVICE,
            tuple((server.id, 4.0) for server in fleet.servers),
            1,
            0,
            0.075,
        )
        began = process_time_ns()
        for number in range(ISSUER_CALLS):
            issuer.issue(f"node-{number % size}", request)
        each_us = (process_time_ns() - began) / ISSUER_CALLS / 1000
        print(f"issuer's answer, {size} processes: {each_us:.1f} us of CPU")


def start(seconds: float = 15.0) -> None:
    """Prints the table; ``seconds`` is the time of traffic in each case."""
    for size in FLEET_SIZES:
        for name, limits, per_s in CASES:
            for keeps_limits in (False, True):
                run(play, size, name, limits, per_s, seconds, keeps_limits)
    for size in FLEET_SIZES:
        run(time_issuer, size)


if __name__ == "__main__":
    Fire(start)
