"""The concurrency limit of one backend server as a function of evidence.

Used by the server's home controller. Evidence is the outcomes that gateways
report and the server's own load report, which lags and may stop.
"""

from dataclasses import dataclass

# Growth continues up to this multiple of the unloaded latency. The batch
# slope of an engine at its full limit stays below it.
NEAR_RATIO = 1.8

# From this multiple on the server counts as cold: a cold engine is about
# three times slower, and a server at its limit stays below two.
COLD_RATIO = 2.5

# The unloaded latency is the lowest seen, raised by this factor for each
# batch of evidence so that it follows a server that became slower for good.
BASELINE_DRIFT = 1.002

# A larger share of failures in a batch cuts to the cold limit at once.
FAILED_SHARE = 0.5

# Pause of lending after a failing batch that follows another one, doubled
# for each further one, in seconds.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0

# Without a load report for this long, latency alone decides, in seconds.
LOAD_REPORT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """Outcomes at one server, as one gateway reported them."""

    succeeded: int = 0
    failed: int = 0
    # Attempts that the server refused before it started them.
    refused: int = 0
    # Mean over the successes; 0 without any.
    latency_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadSample:
    """One load report of a backend server."""

    # Monotonic time at which the report was asked for.
    requested_at: float
    running: int
    cold: bool


class ConcurrencyLimit:
    """How many requests one server may run at once."""

    def __init__(
        self,
        cold_slots: int,
        max_slots: int,
        load_lag_s: float,
        now: float,
    ) -> None:
        self.cold_slots = min(cold_slots, max_slots)
        self.max_slots = max_slots
        self.value = self.cold_slots
        self.cold = True
        self.paused_until = 0.0
        self._load_lag_s = load_lag_s
        self._baseline_ms = 0.0
        self._failing_batches = 0
        self._cut_at = now
        self._load_heard_at = float("-inf")

    def grantable(self, now: float) -> int:
        """Returns the limit, or 0 while lending pauses after failures."""
        return 0 if now < self.paused_until else self.value

    def note_load(self, sample: LoadSample, now: float) -> None:
        """Takes a load report into account.

        A report that may describe the time before the last cut cannot end
        the cold state, because reports lag.
        """
        self._load_heard_at = now
        if sample.cold:
            self._cut_to_cold(now)
        elif sample.requested_at >= self._cut_at + self._load_lag_s:
            self.cold = False

    def note_unreachable(self, now: float) -> None:
        """Cuts to the cold limit: a server that restarts comes back cold."""
        self._cut_to_cold(now)

    def note_outcomes(
        self, evidence: OutcomeCounts, in_flight: int, now: float
    ) -> None:
        """Takes outcomes into account; ``in_flight`` is over all gateways."""
        bad = evidence.failed + evidence.refused
        if bad:
            self._note_failures(bad, evidence.succeeded, now)
            return
        if not evidence.succeeded:
            return
        self._failing_batches = 0
        ratio = self._ratio(evidence.latency_ms)
        if ratio >= COLD_RATIO:
            self._cut_to_cold(now)
            return
        if self.cold and self._warm_by_latency(now):
            self.cold = False
        if not self.cold and ratio <= NEAR_RATIO:
            self._grow(in_flight + evidence.succeeded)

    def _note_failures(self, bad: int, succeeded: int, now: float) -> None:
        if bad < FAILED_SHARE * (bad + succeeded):
            self.value = max(self.value // 2, 1)
            return
        self._failing_batches += 1
        self._cut_to_cold(now)
        repeats = self._failing_batches - 1
        if repeats:
            pause_s = FIRST_PAUSE_S * 2 ** min(repeats - 1, 10)
            self.value = 1
            self.paused_until = now + min(pause_s, LONGEST_PAUSE_S)

    def _ratio(self, latency_ms: float) -> float:
        """Compares with the unloaded latency, which is learnt when warm."""
        if self.cold and not self._baseline_ms:
            return 1.0
        drifted = self._baseline_ms * BASELINE_DRIFT or latency_ms
        self._baseline_ms = min(drifted, latency_ms)
        return latency_ms / max(self._baseline_ms, 1e-6)

    def _warm_by_latency(self, now: float) -> bool:
        silent = now - self._load_heard_at >= LOAD_REPORT_TIMEOUT_S
        return silent and self._baseline_ms > 0

    def _grow(self, used: int) -> None:
        """Grows by half if the present limit is in use."""
        if 2 * used >= self.value:
            step = max(self.value // 2, 1)
            self.value = min(self.value + step, self.max_slots)

    def _cut_to_cold(self, now: float) -> None:
        self.cold = True
        self._cut_at = now
        self.value = min(self.value, self.cold_slots)
