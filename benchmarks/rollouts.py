"""Detection of bad versions in seeded rollouts, against a fixed threshold.

Outcomes of an old and a new version are drawn for three routes and three load
levels and given to the rollout judge and to a fixed-threshold baseline. Run
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

# Share of the new version after probation, by the part of the requests that
# has passed.
SHARES = ((0.0, 0.05), (0.25, 0.25), (0.5, 0.5), (0.75, 1.0))

# The baseline rolls a version back when the failure rate or the share of
# slow answers among its latest outcomes is above a fixed limit.
THRESHOLD_WINDOW = 50
THRESHOLD_FAILURES = 0.05
THRESHOLD_SLOW = 0.2
THRESHOLD_SLOW_MS = 400


@dataclass(frozen=True, slots=True)
class VersionKind:
    """Failure rate and latency of a kind of new version."""

    name: str
    failure_rate: float = OLD_FAILURE_RATE
    slow_factor: float = 1.0
    # Part of the rollout from which on the version differs from the old one.
    from_part: float = 0.0
    # Route and load level at which it differs; ``None`` for all.
    route: str | None = None
    load: LoadLevel | None = None


KINDS = (
    VersionKind("good"),
    VersionKind("fails 3%", failure_rate=0.03),
    VersionKind("fails 10%", failure_rate=0.1),
    VersionKind("fails 50%", failure_rate=0.5),
    VersionKind("slow x1.5", slow_factor=1.5),
    VersionKind("slow x3", slow_factor=3.0),
    VersionKind("fails 30% late", failure_rate=0.3, from_part=0.6),
    VersionKind("fails 30% one route", failure_rate=0.3, route="summary"),
    VersionKind("slow x3 under load", slow_factor=3.0, load=LoadLevel.HIGH),
)


@dataclass(frozen=True, slots=True)
class RolloutResult:
    """Result of one rollout."""

    # Requests to the new version until its rollback or the end.
    exposed: int
    harmed: int
    rolled_back: bool


def draw(
    random: Random, kind: VersionKind, new: bool, part: float
) -> tuple[str, LoadLevel, Sample]:
    """Draws one outcome of the old or the new version."""
    route = random.choices(ROUTES, (5, 4, 1))[0]
    load = random.choices(list(LoadLevel), (5, 3, 2))[0]
    differs = (
        new
        and part >= kind.from_part
        and kind.route in (None, route)
        and kind.load in (None, load)
    )
    failure_rate = kind.failure_rate if differs else OLD_FAILURE_RATE
    if random.random() < failure_rate:
        return route, load, Sample(True, None)
    typical_ms = (60, 90, 200)[ROUTES.index(route)] * (1 + 0.4 * load)
    latency_ms = random.lognormvariate(0.0, 0.35) * typical_ms
    if differs:
        latency_ms *= kind.slow_factor
    return route, load, Sample(False, int(latency_ms))


class ThresholdJudge:
    """The fixed-threshold baseline."""

    def __init__(self) -> None:
        self._latest: list[Sample] = []
        self._bad = False

    def add(self, sample: Sample) -> None:
        """Adds an outcome of the new version."""
        self._latest = [*self._latest[1 - THRESHOLD_WINDOW :], sample]
        if len(self._latest) < THRESHOLD_WINDOW:
            return
        failures = sum(item.failed for item in self._latest)
        slow = sum(
            (item.first_token_ms or 0) > THRESHOLD_SLOW_MS
            for item in self._latest
        )
        if failures > THRESHOLD_FAILURES * THRESHOLD_WINDOW:
            self._bad = True
        if slow > THRESHOLD_SLOW * THRESHOLD_WINDOW:
            self._bad = True

    @property
    def bad(self) -> bool:
        """Whether the version is to be rolled back."""
        return self._bad


def scheduled_share(part: float) -> float:
    """Returns the new version's share at a part of the rollout."""
    return max(share for start, share in SHARES if part >= start)


def run_judge(random: Random, kind: VersionKind) -> RolloutResult:
    """Runs one rollout with the rollout judge."""
    judge = RolloutJudge("old", "new")
    exposed = harmed = 0
    passed = False
    for number in range(REQUESTS):
        part = number / REQUESTS
        share = scheduled_share(part) if passed else PROBATION_SHARE
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
            return RolloutResult(exposed, harmed, True)
    return RolloutResult(exposed, harmed, False)


def run_threshold(random: Random, kind: VersionKind) -> RolloutResult:
    """Runs one rollout with the fixed-threshold baseline."""
    judge = ThresholdJudge()
    exposed = harmed = 0
    for number in range(REQUESTS):
        part = number / REQUESTS
        new = random.random() < scheduled_share(part)
        _, _, sample = draw(random, kind, new, part)
        if not new:
            continue
        exposed += 1
        harmed += sample.failed
        judge.add(sample)
        if judge.bad:
            return RolloutResult(exposed, harmed, True)
    return RolloutResult(exposed, harmed, False)


def print_rows(
    name: str, run: Callable[[Random, VersionKind], RolloutResult], runs: int
) -> None:
    """Prints one row of a judge for each kind of new version."""
    for kind in KINDS:
        outcomes = [run(Random(seed), kind) for seed in range(runs)]
        rollbacks = [item for item in outcomes if item.rolled_back]
        exposed = sorted(item.exposed for item in rollbacks)
        middle = f"{exposed[len(exposed) // 2]}" if rollbacks else "-"
        upper = f"{quantiles(exposed, n=20)[-1]:.0f}" if rollbacks[1:] else "-"
        print(
            f"{name:<10} {kind.name:<20} {runs:>6}"
            f" {len(rollbacks):>10} {middle:>14} {upper:>14}"
        )


def main(runs: int = 100, good_runs: int = RUNS, first_seed: int = 0) -> None:
    """Prints the table, and the number of good versions rolled back.

    With different ``first_seed``, several processes share the good rollouts.
    """
    if runs:
        print_table(runs)
    good = KINDS[0]
    false_alarms = sum(
        run_judge(Random(seed), good).rolled_back
        for seed in range(first_seed, first_seed + good_runs)
    )
    print(f"good rollouts: {good_runs}, rolled back: {false_alarms}")


def print_table(runs: int) -> None:
    """Prints the table with one row for each judge and kind of version."""
    print(
        f"{'judge':<10} {'new version':<20} {'runs':>6} {'taken back':>10}"
        f" {'exposed p50':>14} {'exposed p95':>14}"
    )
    print_rows("sequential", run_judge, runs)
    print_rows("threshold", run_threshold, runs)


if __name__ == "__main__":
    Fire(main)
