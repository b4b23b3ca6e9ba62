"""Adapts the concurrency limit of one backend server to what is observed.

The server's home controller keeps the limit. It follows the outcomes that
gateways report and the server's load reports, which lag and may stop.
"""

from dataclasses import dataclass

# The limit grows while the latency is at most this multiple of the unloaded
# latency. An engine stays below it at its full limit, although its latency
# rises with the size of its batch.
NEAR_RATIO = 1.8

# From this multiple of the unloaded latency on the server counts as cold: a
# cold engine is about three times slower than a warm one, and a server at its
# limit takes less than twice the unloaded latency.
COLD_RATIO = 2.5

# The unloaded latency is the lowest one observed, raised by this factor for
# each batch of outcomes so that it follows a server that has become slower
# permanently.
BASELINE_DRIFT = 1.002

# From this share of failures in a batch on, the limit falls to the cold limit;
# below, it is halved.
FAILED_SHARE = 0.5

# Seconds without grants after a second failing batch in a row; doubled for
# each further one, up to the longest pause.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0

# Without a load report for this many seconds, latency alone decides whether
# the server is warm.
LOAD_REPORT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """A batch of outcomes at one server, as one gateway reported them."""

    succeeded: int = 0
    failed: int = 0
    # Attempts that the server refused before it started them.
    refused: int = 0
    # Mean latency of the successful attempts; 0 without any.
    latency_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadSample:
    """One load report of a backend server."""

    # Monotonic time at which the report was requested.
    requested_at: float
    running: int
    cold: bool


class ConcurrencyLimit:
    """The number of requests that one server may run at the same time."""

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
        """Returns how many slots may be granted to gateways now.

        This is the limit, or 0 during a pause after failures.
        """
        return 0 if now < self.paused_until else self.value

    def note_load(self, sample: LoadSample, now: float) -> None:
        """Updates the limit from a load report.

        Reports lag by up to ``load_lag_s``. A report that may describe the
        time before the last cut cannot end the cold state.
        """
        self._load_heard_at = now
        if sample.cold:
            self._cut_to_cold(now)
        elif sample.requested_at >= self._cut_at + self._load_lag_s:
            self.cold = False

    def note_unreachable(self, now: float) -> None:
        """Lowers the limit to the cold one; a restarted server is cold."""
        self._cut_to_cold(now)

    def note_outcomes(
        self, outcomes: OutcomeCounts, in_flight: int, now: float
    ) -> None:
        """Updates the limit from a batch of outcomes.

        ``in_flight`` counts the requests of all gateways at the server.
        """
        unsuccessful = outcomes.failed + outcomes.refused
        if unsuccessful:
            self._note_failures(unsuccessful, outcomes.succeeded, now)
            return
        if not outcomes.succeeded:
            return
        self._failing_batches = 0
        ratio = self._ratio(outcomes.latency_ms)
        if ratio >= COLD_RATIO:
            self._cut_to_cold(now)
            return
        if self.cold and self._is_warm_by_latency(now):
            self.cold = False
        if not self.cold and ratio <= NEAR_RATIO:
            self._grow(in_flight + outcomes.succeeded)

    def _note_failures(
        self, unsuccessful: int, succeeded: int, now: float
    ) -> None:
        if unsuccessful < FAILED_SHARE * (unsuccessful + succeeded):
            self.value = max(self.value // 2, 1)
            return
        self._failing_batches += 1
        self._cut_to_cold(now)
        repeat_count = self._failing_batches - 1
        if repeat_count:
            pause_s = FIRST_PAUSE_S * 2 ** min(repeat_count - 1, 10)
            self.value = 1
            self.paused_until = now + min(pause_s, LONGEST_PAUSE_S)

    def _ratio(self, latency_ms: float) -> float:
        """Returns a latency as a multiple of the unloaded latency.

        The unloaded latency is learned from the first batch of outcomes while
        the server is warm; before that, the result is 1.
        """
        if self.cold and not self._baseline_ms:
            return 1.0
        drifted = self._baseline_ms * BASELINE_DRIFT or latency_ms
        self._baseline_ms = min(drifted, latency_ms)
        return latency_ms / max(self._baseline_ms, 1e-6)

    def _is_warm_by_latency(self, now: float) -> bool:
        reports_stopped = now - self._load_heard_at >= LOAD_REPORT_TIMEOUT_S
        return reports_stopped and self._baseline_ms > 0

    def _grow(self, used: int) -> None:
        """Raises the limit by half if at least half of it is in use."""
        if 2 * used >= self.value:
            step = max(self.value // 2, 1)
            self.value = min(self.value + step, self.max_slots)

    def _cut_to_cold(self, now: float) -> None:
        self.cold = True
        self._cut_at = now
        self.value = min(self.value, self.cold_slots)
