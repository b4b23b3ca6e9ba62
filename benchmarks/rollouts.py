"""Detection of bad versions over seeded rollouts, against a threshold.

Draws outcomes of an old and a new version on three routes at three load
levels and feeds them to the judge and to a fixed-threshold baseline. Run
with ``python -m benchmarks.rollouts``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from statistics import quantiles

from fire import Fire

from wasabiwing.evidence import EvidenceKey
from wasabiwing.evidence import LoadLevel
from wasabiwing.evidence import Sample
from wasabiwing.rollout_judge import RolloutJudge
from wasabiwing.rollout_schedule import PROBATION_SHARE

RUNS = 2000

# Requests of the pool in one rollout.
REQUESTS = 12_000

ROUTES = ("quote", "chat", "summary")

# Failure rate of the old version.
OLD_FAILURE_RATE = 0.004

# Share of the schedule after probation, by part of the rollout done.
SHARES = ((0.0, 0.05), (0.25, 0.25), (0.5, 0.5), (0.75, 1.0))

# The baseline takes a version back when, over its last outcomes, the failure
# rate or the share of slow answers is above a fixed limit.
THRESHOLD_WINDOW = 50
THRESHOLD_FAILURES = 0.05
THRESHOLD_SLOW = 0.2
THRESHOLD_SLOW_MS = 400


@dataclass(frozen=True, slots=True)
class Kind:
    """How a new version behaves."""

    name: str
    failure_rate: float = OLD_FAILURE_RATE
    slow_factor: float = 1.0
    # Part of the rollout after which the badness shows.
    from_part: float = 0.0
    # Route and load level on which it shows; ``None`` for all.
    route: str | None = None
    load: LoadLevel | None = None


KINDS = (
    Kind("good"),
    Kind("fails 3%", failure_rate=0.03),
    Kind("fails 10%", failure_rate=0.1),
    Kind("fails 50%", failure_rate=0.5),
    Kind("slow x1.5", slow_factor=1.5),
    Kind("slow x3", slow_factor=3.0),
    Kind("fails 30% late", failure_rate=0.3, from_part=0.6),
    Kind("fails 30% one route", failure_rate=0.3, route="summary"),
    Kind("slow x3 under load", slow_factor=3.0, load=LoadLevel.HIGH),
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one rollout went."""

    # Requests that the new version got; all of them when it was kept.
    exposed: int
    harmed: int
    taken_back: bool


def draw(
    random: Random, kind: Kind, new: bool, part: float
) -> tuple[str, LoadLevel, Sample]:
    """Draws one outcome of the old or the new version."""
    route = random.choices(ROUTES, (5, 4, 1))[0]
    load = random.choices(list(LoadLevel), (5, 3, 2))[0]
    shows = (
        new
        and part >= kind.from_part
        and kind.route in (None, route)
        and kind.load in (None, load)
    )
    failure_rate = kind.failure_rate if shows else OLD_FAILURE_RATE
    if random.random() < failure_rate:
        return route, load, Sample(True, None)
    typical_ms = (60, 90, 200)[ROUTES.index(route)] * (1 + 0.4 * load)
    latency_ms = random.lognormvariate(0.0, 0.35) * typical_ms
    if shows:
        latency_ms *= kind.slow_factor
    return route, load, Sample(False, int(latency_ms))


class ThresholdJudge:
    """The fixed-threshold baseline."""

    def __init__(self) -> None:
        self._last: list[Sample] = []
        self._bad = False

    def add(self, sample: Sample) -> None:
        """Takes in an outcome of the new version."""
        self._last = [*self._last[1 - THRESHOLD_WINDOW :], sample]
        if len(self._last) < THRESHOLD_WINDOW:
            return
        failures = sum(item.failed for item in self._last)
        slow = sum(
            (item.first_token_ms or 0) > THRESHOLD_SLOW_MS
            for item in self._last
        )
        if failures > THRESHOLD_FAILURES * THRESHOLD_WINDOW:
            self._bad = True
        if slow > THRESHOLD_SLOW * THRESHOLD_WINDOW:
            self._bad = True

    @property
    def bad(self) -> bool:
        """Whether the version is to be taken back."""
        return self._bad


def scheduled(part: float) -> float:
    """Returns the schedule's share at a part of the rollout."""
    return max(share for start, share in SHARES if part >= start)


def run_judge(random: Random, kind: Kind) -> Outcome:
    """Runs one rollout under the judge."""
    judge = RolloutJudge("old", "new")
    exposed = harmed = 0
    passed = False
    for number in range(REQUESTS):
        part = number / REQUESTS
        share = scheduled(part) if passed else PROBATION_SHARE
        new = random.random() < share
        route, load, sample = draw(random, kind, new, part)
        key = EvidenceKey("pool", "new" if new else "old", route, load)
        judge.add(key, [sample])
        if not new:
            continue
        exposed += 1
        harmed += sample.failed
        verdict = judge.verdict()
        passed = passed or verdict.passed
        if verdict.bad:
            return Outcome(exposed, harmed, True)
    return Outcome(exposed, harmed, False)


def run_threshold(random: Random, kind: Kind) -> Outcome:
    """Runs one rollout under the fixed threshold."""
    judge = ThresholdJudge()
    exposed = harmed = 0
    for number in range(REQUESTS):
        part = number / REQUESTS
        new = random.random() < scheduled(part)
        _, _, sample = draw(random, kind, new, part)
        if not new:
            continue
        exposed += 1
        harmed += sample.failed
        judge.add(sample)
        if judge.bad:
            return Outcome(exposed, harmed, True)
    return Outcome(exposed, harmed, False)


def print_rows(
    name: str, run: Callable[[Random, Kind], Outcome], runs: int
) -> None:
    """Prints a row for each kind of version."""
    for kind in KINDS:
        outcomes = [run(Random(seed), kind) for seed in range(runs)]
        back = [item for item in outcomes if item.taken_back]
        exposed = sorted(item.exposed for item in back)
        middle = f"{exposed[len(exposed) // 2]}" if back else "-"
        upper = f"{quantiles(exposed, n=20)[-1]:.0f}" if back[1:] else "-"
        print(
            f"{name:<10} {kind.name:<20} {runs:>6}"
            f" {len(back):>10} {middle:>14} {upper:>14}"
        )


def main(runs: int = 100, good_runs: int = RUNS, first_seed: int = 0) -> None:
    """Prints the table, and the false alarms of the good rollouts.

    ``first_seed`` lets several processes share the good rollouts.
    """
    if runs:
        print_table(runs)
    good = KINDS[0]
    false_alarms = sum(
        run_judge(Random(seed), good).taken_back
        for seed in range(first_seed, first_seed + good_runs)
    )
    print(f"good rollouts: {good_runs}, taken back: {false_alarms}")


def print_table(runs: int) -> None:
    """Prints a row for each judge and kind of version."""
    print(
        f"{'judge':<10} {'new version':<20} {'runs':>6} {'taken back':>10}"
        f" {'exposed p50':>14} {'exposed p95':>14}"
    )
    print_rows("sequential", run_judge, runs)
    print_rows("threshold", run_threshold, runs)


if __name__ == "__main__":
    Fire(main)
