"""What callers see of waiting, refusal and order under load.

Replays four load patterns at the queue of one node and two at the engines of
seven nodes, and prints the outcomes by kind, first tries and repeats apart.
Run with ``python -m benchmarks.caller_figures``.
"""

from collections.abc import Callable
from collections.abc import Sequence
from functools import partial

from anyio import run
from fire import Fire

from tests.caller_figures import table
from tests.caller_figures import Try
from tests.load_replay import arrivals
from tests.load_replay import product_policy
from tests.load_replay import PromptKind
from tests.load_replay import replay
from tests.queue_replay import by_arrival
from tests.queue_replay import Caller
from tests.queue_replay import poisson
from tests.queue_replay import QueueReplay

# Patience of the callers of a priority, in seconds.
PATIENCE_BY_PRIORITY = {0: 4.0, 1: 3.0, 2: 15.0}


def callers_of(
    seed: int, rate: Callable[[float], float], seconds: float
) -> list[Caller]:
    """Draws callers of two organisations and all priorities."""
    return by_arrival(
        *[
            poisson(seed, name, rate, seconds, priority, patience_s)
            for name in "ab"
            for priority, patience_s in PATIENCE_BY_PRIORITY.items()
        ]
    )


async def replay_queue(
    callers: Sequence[Caller],
    slots: Callable[[float], int],
    returns_at_once: bool = False,
) -> list[Try]:
    """Returns the tries of callers at the queue of one node."""
    node = QueueReplay(slots, returns_at_once)
    await node.run(callers)
    return [item for caller in callers for item in caller.tries()]


def burst(factor: float) -> Callable[[PromptKind, float], float]:
    """Returns a rate that is higher by a factor for four seconds."""
    return lambda kind, now: factor if 3.0 <= now < 7.0 else 1.0


def main(seeds: Sequence[int] = (1, 2, 3)) -> None:
    """Prints a table for each load pattern, summed over the seeds."""
    tries_by_pattern: dict[str, list[Try]] = {}

    def add(pattern: str, tries: list[Try]) -> None:
        tries_by_pattern.setdefault(pattern, []).extend(tries)

    for seed in seeds:
        few = callers_of(seed, lambda now: 9.0, 8.0)
        add(
            "queue: 2 slots for 4 s, then 8",
            run(replay_queue, few, lambda now: 2 if now < 4.0 else 8),
        )
        late = callers_of(seed, lambda now: 9.0, 8.0)
        add(
            "queue: no slot for 2 s, then 8",
            run(replay_queue, late, lambda now: 0 if now < 2.0 else 8),
        )
        peak = callers_of(
            seed, lambda now: 15.0 if 2.0 <= now < 4.0 else 8.0, 8.0
        )
        add(
            "queue: burst of 1.9 times the usual rate, 5 slots",
            run(replay_queue, peak, lambda now: 5),
        )
        again = callers_of(seed, lambda now: 10.0, 8.0)
        add(
            "queue: callers that return at once, 5 slots",
            run(replay_queue, again, lambda now: 5, True),
        )
        for factor in (3.0, 7.0):
            prompts = arrivals(10 + seed, 12.0, burst(factor))
            result = run(
                partial(
                    replay, prompts, product_policy, 3, callers_return=True
                )
            )
            add(f"engines: burst of {factor:.0f} times", result.tries())
    for pattern, tries in tries_by_pattern.items():
        print(pattern)
        print("\n".join(table(tries)), end="\n\n")


if __name__ == "__main__":
    Fire(main)
