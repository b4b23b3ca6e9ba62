"""Judges a new version against the old one by sequential tests.

For the pool as a whole, for each route, and for each route and load level
two questions are asked of every outcome of the new version: did it fail, and
was it slower than the old version's usual slowest. Each answer moves a CUSUM
statistic: the log likelihood ratio of a bad rate against a good one, never
below zero. A good stretch therefore does not hide what comes later, and the
chance of a false alarm is bounded by the threshold for each sample.
"""

from dataclasses import dataclass
from dataclasses import field
from math import log

from ddsketch import DDSketch

from wasabiwing.evidence import EvidenceKey
from wasabiwing.evidence import LoadLevel
from wasabiwing.evidence import Sample

# The statistic at which a version is bad. Under the good hypothesis the
# chance to cross it is below exp(-16), about 1e-7, for each sample.
BAD_THRESHOLD = 16.0

# Outcomes of the new version that are needed before it has passed.
PASS_OUTCOMES = 150

# A statistic above this keeps a version on probation.
PASS_BELOW = 4.0

# A failure rate this far above the old version's upper bound is still good.
FAILURE_MARGIN = 0.005

# Bad failure rates as distances from the good one. The small step finds
# slight badness over many samples, the large step strong badness over few.
FAILURE_STEPS = (0.025, 0.15)

# The old version's quantile that counts as its usual slowest.
SLOW_QUANTILE = 0.95

# Answers slower than the quantile by this factor count as slow.
SLOW_FACTOR = 1.15
SLOW_MARGIN_MS = 5.0

# Share of slow answers of a good version. It is above 1 - ``SLOW_QUANTILE``
# because the quantile itself is an estimate.
GOOD_SLOW_SHARE = 0.07

# Shares of slow answers of a bad version.
BAD_SLOW_SHARES = (0.14, 0.4)

# Samples of the old version that a comparison of latencies needs.
MIN_BASELINE_SAMPLES = 40

# The thresholds taken from the old version are renewed after so many of its
# samples: a quantile look-up costs far more than adding a sample.
RENEWAL_SAMPLES = 32

RELATIVE_ACCURACY = 0.02

# Confidence of the bound on the old version's failure rate, as a number of
# standard deviations.
BASELINE_DEVIATIONS = 2.0

# Half a failure is added to the baseline, so that a short one without any
# failure does not count as perfect.
PRIOR_FAILURES = 0.5

HIGHEST_RATE = 0.95


@dataclass(frozen=True, slots=True)
class Alternative:
    """A good and a bad rate that a statistic tells apart."""

    good: float
    bad: float

    def step(self, hit: bool) -> float:
        """Returns the log likelihood ratio of one outcome."""
        if hit:
            return log(self.bad / self.good)
        return log((1 - self.bad) / (1 - self.good))


SLOW_ALTERNATIVES = tuple(
    Alternative(GOOD_SLOW_SHARE, bad) for bad in BAD_SLOW_SHARES
)


@dataclass(slots=True)
class Cusum:
    """CUSUM statistics of one yes-or-no outcome against alternatives."""

    values: list[float] = field(default_factory=list)

    def add(self, hit: bool, alternatives: tuple[Alternative, ...]) -> None:
        """Takes in one outcome."""
        if not self.values:
            self.values = [0.0] * len(alternatives)
        for index, alternative in enumerate(alternatives):
            moved = self.values[index] + alternative.step(hit)
            self.values[index] = max(moved, 0.0)

    @property
    def highest(self) -> float:
        """The largest of the statistics."""
        return max(self.values, default=0.0)


@dataclass(slots=True)
class Baseline:
    """What is known of the old version in one scope."""

    outcomes: int = 0
    failures: int = 0
    latencies: DDSketch = field(
        default_factory=lambda: DDSketch(RELATIVE_ACCURACY)
    )
    failure_alternatives: tuple[Alternative, ...] = ()
    # Latency from which an answer is slow; ``None`` until enough is known.
    slow_from_ms: float | None = None

    def add(self, sample: Sample) -> None:
        """Takes in one outcome."""
        self.outcomes += 1
        self.failures += sample.failed
        if sample.first_token_ms is not None:
            self.latencies.add(max(sample.first_token_ms, 1))
        if self.outcomes % RENEWAL_SAMPLES == 0:
            self.renew()

    def renew(self) -> None:
        """Takes the thresholds from the samples so far."""
        good = self._good_failure_rate()
        self.failure_alternatives = tuple(
            Alternative(good, min(good + step, HIGHEST_RATE))
            for step in FAILURE_STEPS
        )
        if self.latencies.count >= MIN_BASELINE_SAMPLES:
            quantile = self.latencies.get_quantile_value(SLOW_QUANTILE)
            if quantile is not None:
                self.slow_from_ms = quantile * SLOW_FACTOR + SLOW_MARGIN_MS

    def _good_failure_rate(self) -> float:
        """Returns an upper bound of the failure rate, with a margin."""
        outcomes = self.outcomes + 1
        rate = (self.failures + PRIOR_FAILURES) / outcomes
        deviation = (rate * (1 - rate) / outcomes) ** 0.5
        bound = rate + BASELINE_DEVIATIONS * deviation + FAILURE_MARGIN
        return float(min(bound, 0.5))


@dataclass(slots=True)
class _Track:
    """The statistics of the new version in one scope."""

    failures: Cusum = field(default_factory=Cusum)
    slowness: Cusum = field(default_factory=Cusum)

    def add(self, sample: Sample, baseline: Baseline) -> None:
        """Takes in one outcome of the new version."""
        if not baseline.failure_alternatives:
            baseline.renew()
        self.failures.add(sample.failed, baseline.failure_alternatives)
        slow_from_ms = baseline.slow_from_ms
        if sample.first_token_ms is not None and slow_from_ms is not None:
            slow = sample.first_token_ms > slow_from_ms
            self.slowness.add(slow, SLOW_ALTERNATIVES)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the evidence says of a version."""

    bad: bool
    passed: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Scope:
    """A part of the traffic; ``None`` stands for all of it."""

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
        self._baseline_by_scope: dict[Scope, Baseline] = {}
        self._track_by_scope: dict[Scope, _Track] = {}
        # Outcomes of the new version.
        self.outcomes = 0
        self._bad_reason = ""

    def add(self, key: EvidenceKey, samples: list[Sample]) -> None:
        """Takes in outcomes of one version, route and load level."""
        if key.version == self._new_version:
            self.outcomes += len(samples)
        for scope in (
            Scope(None, None),
            Scope(key.route_id, None),
            Scope(key.route_id, key.load),
        ):
            baseline = self._baseline_by_scope.setdefault(scope, Baseline())
            if key.version == self._old_version:
                for sample in samples:
                    baseline.add(sample)
            elif key.version == self._new_version:
                self._judge(scope, baseline, samples)

    def verdict(self) -> Verdict:
        """Returns the verdict on all evidence so far."""
        if self._bad_reason:
            return Verdict(True, False, self._bad_reason)
        if self.outcomes < PASS_OUTCOMES:
            reason = f"{self.outcomes} of {PASS_OUTCOMES} outcomes"
            return Verdict(False, False, reason)
        highest = max(
            max(track.failures.highest, track.slowness.highest)
            for track in self._track_by_scope.values()
        )
        if highest > PASS_BELOW:
            return Verdict(False, False, f"suspicion {highest:.1f}")
        return Verdict(False, True, f"{self.outcomes} outcomes")

    def _judge(
        self, scope: Scope, baseline: Baseline, samples: list[Sample]
    ) -> None:
        track = self._track_by_scope.setdefault(scope, _Track())
        for sample in samples:
            track.add(sample, baseline)
        if track.failures.highest >= BAD_THRESHOLD:
            self._bad_reason = f"failures on {scope}"
        elif track.slowness.highest >= BAD_THRESHOLD:
            self._bad_reason = f"slow answers on {scope}"
