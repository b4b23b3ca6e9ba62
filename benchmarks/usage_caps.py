"""What an organisation gets from fleets of several sizes, against its cap.

Run with ``python -m benchmarks.usage_caps``. Prints, for each size, demand and
spread of the demand, calm and with nodes that restart, are cut off or are
suspended: the worst window as a share of what is allowed, the used share of
the rate, the share of the requests that were refused, and the time to a
decision in fake time.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from math import inf
from time import process_time_ns

from anyio import run
from fire import Fire

from tests.cap_fleet import Action
from tests.cap_fleet import cut
from tests.cap_fleet import Demand
from tests.cap_fleet import freeze
from tests.cap_fleet import issuers
from tests.cap_fleet import MEAN_TOKENS
from tests.cap_fleet import NORTH
from tests.cap_fleet import play
from tests.cap_fleet import restart
from tests.cap_fleet import share_of_nodes
from tests.cap_fleet import TOLERANCE
from wasabiwing.cap_issuer import CapIssuer
from wasabiwing.messages import CapDecision
from wasabiwing.messages import CapRequest
from wasabiwing.messages import CapSpending
from wasabiwing.messages import CapSpent
from wasabiwing.messages import encode_envelope
from wasabiwing.messages import Envelope
from wasabiwing.messages import OrganisationCap
from wasabiwing.timers import FakeTimer

# Part of the 12 s in which the used share is measured, in seconds.
USED_SINCE_S = 4.0
USED_UNTIL_S = 12.0


DECISIONS = 20_000
NS_PER_US = 1000.0

# What happens to a fleet, by the name of the case.
ACTIONS: Mapping[str, Callable[[], list[Action]]] = {
    "calm": list,
    "tenth restarted": lambda: restart(share_of_nodes(0.1)),
    "all restarted": lambda: restart(share_of_nodes(1.0)),
    "issuer restarted": lambda: restart(issuers(1)),
    "two issuers restarted": lambda: restart(issuers(2)),
    "issuer suspended": lambda: freeze(issuers(1)),
    "third cut off": lambda: cut(share_of_nodes(1 / 3)),
    "half cut off": lambda: cut(share_of_nodes(0.5)),
}


async def print_row(
    size: int, times_rate: float, share: float, case: str, seed: int
) -> None:
    """Plays one case and prints its row."""
    demand = Demand(times_rate, first_node_share=share)
    outcome = await play(size, [demand], seed, actions=ACTIONS[case]())
    times = sorted(outcome.decision_s)
    used = outcome.used_share(USED_SINCE_S, USED_UNTIL_S)
    print(
        f"| {size} | {times_rate:g} | {share:g} | {case} |"
        f" {outcome.worst_share:.2f} | {used:.2f} |"
        f" {outcome.refused_share:.3f} |"
        f" {times[len(times) // 2] * 1000:.1f} |"
        f" {times[int(len(times) * 0.99)] * 1000:.1f} |",
        flush=True,
    )


def print_costs() -> None:
    """Prints what the decision on one request costs."""
    timer = FakeTimer()
    issuer = CapIssuer(timer, TOLERANCE, lambda: 1.0, lambda cap: inf)
    cap = OrganisationCap(NORTH.name, 1, NORTH.rate_per_s, NORTH.burst)
    request = CapRequest(cap, float(MEAN_TOKENS))
    begun = process_time_ns()
    for _ in range(DECISIONS):
        issuer.decide(request, True)
    spent_us = (process_time_ns() - begun) / DECISIONS / NS_PER_US
    print(f"CPU time of a decision of the issuer: {spent_us:.1f} us")
    for message in (
        request,
        CapDecision(NORTH.name, request.cost, True, level=100_000.0),
        CapSpending((CapSpent(cap, request.cost),)),
    ):
        data = encode_envelope(
            Envelope("front-lakes-a-1", "tcp://10.0.0.1:7000", 1, message)
        )
        print(f"{type(message).__name__}: {len(data)} bytes")


def main(
    sizes: Sequence[int] = (1, 3, 7, 30, 78, 195),
    times_rates: Sequence[float] = (0.9, 3.0, 7.0, 20.0),
    first_node_shares: Sequence[float] = (0.0, 0.9),
    cases: Sequence[str] = ("calm", "tenth restarted"),
    seed: int = 1,
) -> None:
    """Prints a row for each case, then what a decision costs."""
    print(
        "| nodes | demand, times the rate | share at one node | case |"
        " worst / allowed | rate used from 4 s on | refused |"
        " decision, median ms | 99 in 100 |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for size in sizes:
        for times_rate in times_rates:
            for share in first_node_shares:
                for case in cases:
                    run(print_row, size, times_rate, share, case, seed)
    print_costs()


if __name__ == "__main__":
    Fire(main)
