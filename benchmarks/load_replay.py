"""Placement and refusal under load, against baselines on the same requests.

Run with ``python -m benchmarks.load_replay``.
"""

from anyio import run
from fire import Fire

from tests.load_replay import arrivals
from tests.load_replay import KINDS
from tests.load_replay import least_outstanding
from tests.load_replay import place_without_refusal
from tests.load_replay import Policy
from tests.load_replay import prefix_only
from tests.load_replay import product_policy
from tests.load_replay import PromptKind
from tests.load_replay import random_policy
from tests.load_replay import replay

SECONDS = 12.0


def steady(kind: PromptKind, now: float) -> float:
    """Returns a factor of one: the usual rate at all times."""
    return 1.0


def burst(kind: PromptKind, now: float) -> float:
    """Returns a factor of seven for four seconds."""
    return 7.0 if 3.0 <= now < 7.0 else 1.0


def main(seed: int = 11, servers: int = 3) -> None:
    """Prints a table with one row for each load and policy."""
    policies: dict[str, Policy] = {
        "random": random_policy(seed),
        "least outstanding": least_outstanding,
        "prefix only": prefix_only,
        "placed, none refused": place_without_refusal,
        "placed and refused": product_policy,
    }
    loads = {
        "steady": arrivals(seed, SECONDS, steady),
        "burst": arrivals(seed, SECONDS, burst),
        "hot part": arrivals(seed, SECONDS, steady, 0.6),
    }
    kinds = "  ".join(f"{kind.name:>6}" for kind in KINDS)
    print(f"{'load':8}  {'policy':20}  in time  {kinds}  refused  computed k")
    for load, prompts in loads.items():
        for name, policy in policies.items():
            result = run(replay, prompts, policy, servers)
            in_time = "  ".join(
                f"{result.in_time(kind):6.3f}" for kind in KINDS
            )
            refused = sum(p.refused_at is not None for p in result.prompts)
            print(
                f"{load:8}  {name:20}  {result.in_time():7.3f}  {in_time}"
                f"  {refused:7}  {result.computed_tokens / 1000:10.0f}"
            )


if __name__ == "__main__":
    Fire(main)
