"""Judges a new version against the old one by sequential tests.

The scopes of a test are the whole pool, each route, and each route at each
load level. In each scope, every outcome of the new version gives two yes-or-no
results: whether it failed, and whether it was slower than a high quantile of
the old version's latency. Each result moves a CUSUM statistic, the log
likelihood ratio of a bad rate against a good one, never below zero. Good
outcomes therefore do not hide later bad ones, and the threshold bounds the
probability of a false alarm for each sample.
"""

from dataclasses import dataclass
from dataclasses import field
from math import log

from ddsketch import DDSketch

from wasabiwing.evidence import EvidenceKey
from wasabiwing.evidence import LoadLevel
from wasabiwing.evidence import Sample

# Statistic at which a version is bad. Under the good hypothesis the
# probability to cross it is below exp(-16), about 1e-7, for each sample.
BAD_THRESHOLD = 16.0

# Number of outcomes of the new version that it needs to pass.
PASS_OUTCOMES = 150

# A statistic above this keeps a version on probation.
PASS_BELOW = 4.0

# Margin by which a good failure rate may exceed the upper bound of the old
# version's failure rate.
FAILURE_MARGIN = 0.005

# Bad failure rates, as distances from the good one. The small step detects a
# slightly bad version over many samples, the large step a very bad one over
# few.
FAILURE_STEPS = (0.025, 0.15)

# Quantile of the old version's latency from which slow answers are derived.
SLOW_QUANTILE = 0.95

# An answer is slow if its latency exceeds the quantile times this factor, plus
# the margin in milliseconds.
SLOW_FACTOR = 1.15
SLOW_MARGIN_MS = 5.0

# Share of slow answers of a good version. It is above 1 - ``SLOW_QUANTILE``,
# because the quantile is only an estimate.
GOOD_SLOW_SHARE = 0.07

# Shares of slow answers of a bad version.
BAD_SLOW_SHARES = (0.14, 0.4)

# Number of the old version's samples that a comparison of latencies needs.
MIN_BASELINE_SAMPLES = 40

# Number of the old version's samples after which its thresholds are computed
# again. A quantile look-up costs far more than adding a sample.
THRESHOLD_UPDATE_SAMPLES = 32

# Relative accuracy of the latency sketches.
SKETCH_ACCURACY = 0.02

# Confidence of the bound on the old version's failure rate, as a number of
# standard deviations.
BASELINE_DEVIATIONS = 2.0

# Failures added to the baseline, so that a short baseline without a failure
# does not count as perfect.
PRIOR_FAILURES = 0.5

# Upper limit of a bad failure rate.
MAX_BAD_RATE = 0.95


@dataclass(frozen=True, slots=True)
class Alternative:
    """Good and bad rate of one outcome, between which a statistic decides."""

    good: float
    bad: float

    def log_ratio(self, hit: bool) -> float:
        """Returns the log likelihood ratio of bad to good of one outcome."""
        if hit:
            return log(self.bad / self.good)
        return log((1 - self.bad) / (1 - self.good))


SLOW_ALTERNATIVES = tuple(
    Alternative(GOOD_SLOW_SHARE, bad) for bad in BAD_SLOW_SHARES
)


@dataclass(slots=True)
class Cusum:
    """CUSUM statistics of one yes-or-no outcome, one for each alternative."""

    values: list[float] = field(default_factory=list)

    def add(self, hit: bool, alternatives: tuple[Alternative, ...]) -> None:
        """Updates each statistic with one outcome."""
        if not self.values:
            self.values = [0.0] * len(alternatives)
        for index, alternative in enumerate(alternatives):
            value = self.values[index] + alternative.log_ratio(hit)
            self.values[index] = max(value, 0.0)

    @property
    def highest(self) -> float:
        """Returns the largest of the statistics."""
        return max(self.values, default=0.0)


@dataclass(slots=True)
class Baseline:
    """Outcomes of the old version in one scope, and thresholds from them."""

    outcome_count: int = 0
    failure_count: int = 0
    latencies: DDSketch = field(
        default_factory=lambda: DDSketch(SKETCH_ACCURACY)
    )
    failure_alternatives: tuple[Alternative, ...] = ()
    # Latency above which an answer is slow; ``None`` until enough samples are
    # known.
    slow_above_ms: float | None = None

    def add(self, sample: Sample) -> None:
        """Adds one outcome of the old version."""
        self.outcome_count += 1
        self.failure_count += sample.failed
        if sample.first_token_ms is not None:
            self.latencies.add(max(sample.first_token_ms, 1))
        if self.outcome_count % THRESHOLD_UPDATE_SAMPLES == 0:
            self.update_thresholds()

    def update_thresholds(self) -> None:
        """Computes the thresholds from the samples so far."""
        good = self._good_failure_rate()
        self.failure_alternatives = tuple(
            Alternative(good, min(good + step, MAX_BAD_RATE))
            for step in FAILURE_STEPS
        )
        if self.latencies.count >= MIN_BASELINE_SAMPLES:
            quantile = self.latencies.get_quantile_value(SLOW_QUANTILE)
            if quantile is not None:
                self.slow_above_ms = quantile * SLOW_FACTOR + SLOW_MARGIN_MS

    def _good_failure_rate(self) -> float:
        """Returns an upper bound of the old failure rate, plus a margin."""
        count = self.outcome_count + 1
        rate = (self.failure_count + PRIOR_FAILURES) / count
        deviation = (rate * (1 - rate) / count) ** 0.5
        bound = rate + BASELINE_DEVIATIONS * deviation + FAILURE_MARGIN
        return float(min(bound, 0.5))


@dataclass(slots=True)
class _ScopeStatistics:
    """Statistics of the new version in one scope."""

    failures: Cusum = field(default_factory=Cusum)
    slowness: Cusum = field(default_factory=Cusum)

    def add(self, sample: Sample, baseline: Baseline) -> None:
        """Compares one outcome of the new version with the baseline."""
        if not baseline.failure_alternatives:
            baseline.update_thresholds()
        self.failures.add(sample.failed, baseline.failure_alternatives)
        slow_above_ms = baseline.slow_above_ms
        if sample.first_token_ms is not None and slow_above_ms is not None:
            slow = sample.first_token_ms > slow_above_ms
            self.slowness.add(slow, SLOW_ALTERNATIVES)


@dataclass(frozen=True, slots=True)
class RolloutVerdict:
    """Judgement of the new version: bad, passed, or neither yet."""

    bad: bool
    passed: bool
    reason: str


@dataclass(frozen=True, slots=True)
class TrafficScope:
    """Part of the traffic that is judged apart; ``None`` stands for all."""

    route_id: str | None
    load: LoadLevel | None

    def __str__(self) -> str:
        route = f"route {self.route_id}" if self.route_id else "all routes"
        if self.load is None:
            return route
        return f"{route} at {self.load.name.lower()} load"


class RolloutJudge:
    """Judges the new version of one pool's rollout."""

    def __init__(self, old_version: str, new_version: str) -> None:
        self._old_version = old_version
        self._new_version = new_version
        self._baseline_by_scope: dict[TrafficScope, Baseline] = {}
        self._statistics_by_scope: dict[TrafficScope, _ScopeStatistics] = {}
        # Number of outcomes of the new version.
        self.outcome_count = 0
        self._bad_reason = ""

    def add(self, key: EvidenceKey, samples: list[Sample]) -> None:
        """Adds outcomes of one version, route and load level."""
        if key.version == self._new_version:
            self.outcome_count += len(samples)
        for scope in (
            TrafficScope(None, None),
            TrafficScope(key.route_id, None),
            TrafficScope(key.route_id, key.load),
        ):
            baseline = self._baseline_by_scope.setdefault(scope, Baseline())
            if key.version == self._old_version:
                for sample in samples:
                    baseline.add(sample)
            elif key.version == self._new_version:
                self._add_to_scope(scope, baseline, samples)

    def verdict(self) -> RolloutVerdict:
        """Returns the verdict on all outcomes so far."""
        if self._bad_reason:
            return RolloutVerdict(True, False, self._bad_reason)
        if self.outcome_count < PASS_OUTCOMES:
            reason = f"{self.outcome_count} of {PASS_OUTCOMES} outcomes"
            return RolloutVerdict(False, False, reason)
        highest = max(
            max(statistics.failures.highest, statistics.slowness.highest)
            for statistics in self._statistics_by_scope.values()
        )
        if highest > PASS_BELOW:
            return RolloutVerdict(False, False, f"suspicion {highest:.1f}")
        return RolloutVerdict(False, True, f"{self.outcome_count} outcomes")

    def _add_to_scope(
        self, scope: TrafficScope, baseline: Baseline, samples: list[Sample]
    ) -> None:
        statistics = self._statistics_by_scope.setdefault(
            scope, _ScopeStatistics()
        )
        for sample in samples:
            statistics.add(sample, baseline)
        if statistics.failures.highest >= BAD_THRESHOLD:
            self._bad_reason = f"failures on {scope}"
        elif statistics.slowness.highest >= BAD_THRESHOLD:
            self._bad_reason = f"slow answers on {scope}"
