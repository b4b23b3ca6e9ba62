"""Tests of how the concurrency limit follows outcomes and load reports."""

from wasabiwing.concurrency_limit import ConcurrencyLimit
from wasabiwing.concurrency_limit import FIRST_PAUSE_S
from wasabiwing.concurrency_limit import LOAD_REPORT_TIMEOUT_S
from wasabiwing.concurrency_limit import LoadSample
from wasabiwing.concurrency_limit import OutcomeCounts

COLD = 2
MAX = 16
LAG_S = 1.0


def warm_limit() -> ConcurrencyLimit:
    """Returns a limit that has grown to its maximum at time 10."""
    limit = ConcurrencyLimit(COLD, MAX, LAG_S, now=0.0)
    limit.note_load(LoadSample(2.0, 0, cold=False), 2.0)
    for _ in range(10):
        limit.note_outcomes(
            OutcomeCounts(4, latency_ms=2.0), limit.value, 10.0
        )
    assert limit.value == MAX
    return limit


class TestGrowth:
    """When the limit may rise."""

    def test_a_cold_server_keeps_its_cold_limit(self) -> None:
        """Guards against growth on successful outcomes of a cold server."""
        limit = ConcurrencyLimit(COLD, MAX, LAG_S, now=0.0)
        for second in range(30):
            limit.note_load(LoadSample(second, 2, cold=True), second)
            limit.note_outcomes(OutcomeCounts(4, latency_ms=6.0), 2, second)
            assert limit.value == COLD

    def test_an_unused_limit_does_not_grow(self) -> None:
        limit = ConcurrencyLimit(4, MAX, LAG_S, now=0.0)
        limit.note_load(LoadSample(2.0, 0, cold=False), 2.0)
        limit.note_outcomes(OutcomeCounts(1, latency_ms=2.0), 0, 2.0)
        assert limit.value == 4

    def test_growth_stops_when_latency_exceeds_the_unloaded_one(
        self,
    ) -> None:
        limit = ConcurrencyLimit(COLD, MAX, LAG_S, now=0.0)
        limit.note_load(LoadSample(2.0, 0, cold=False), 2.0)
        limit.note_outcomes(OutcomeCounts(4, latency_ms=2.0), 2, 2.0)
        before = limit.value
        limit.note_outcomes(OutcomeCounts(4, latency_ms=4.2), before, 2.0)
        assert limit.value == before


class TestCuts:
    """When the limit falls."""

    def test_latency_of_a_cold_server_cuts_without_a_load_report(
        self,
    ) -> None:
        limit = warm_limit()
        limit.note_outcomes(OutcomeCounts(4, latency_ms=6.0), 8, 11.0)
        assert (limit.value, limit.cold) == (COLD, True)

    def test_a_lagging_load_report_does_not_end_the_cold_state(self) -> None:
        """Guards against a load report from before the server was cold."""
        limit = warm_limit()
        limit.note_outcomes(OutcomeCounts(4, latency_ms=6.0), 8, 11.0)
        limit.note_load(LoadSample(11.0, 8, cold=False), 11.1)
        assert limit.cold
        limit.note_load(LoadSample(11.0 + LAG_S, 8, cold=False), 12.1)
        assert not limit.cold

    def test_without_load_reports_latency_ends_the_cold_state(self) -> None:
        limit = warm_limit()
        limit.note_outcomes(OutcomeCounts(4, latency_ms=6.0), 8, 11.0)
        limit.note_outcomes(OutcomeCounts(4, latency_ms=2.0), 2, 11.5)
        assert limit.cold
        late = 11.0 + LOAD_REPORT_TIMEOUT_S
        limit.note_outcomes(OutcomeCounts(4, latency_ms=2.0), 2, late)
        assert not limit.cold

    def test_a_refusal_cuts_like_a_failure(self) -> None:
        limit = warm_limit()
        limit.note_outcomes(OutcomeCounts(9, refused=1), 8, 11.0)
        assert limit.value == MAX // 2
        limit.note_outcomes(OutcomeCounts(0, refused=1), 8, 11.0)
        assert limit.value == COLD

    def test_repeated_failures_pause_the_grants(self) -> None:
        """Guards against a server that attracts traffic by failing fast."""
        limit = warm_limit()
        for _ in range(2):
            limit.note_outcomes(OutcomeCounts(failed=5), 0, 11.0)
        assert limit.grantable(11.0) == 0
        assert limit.grantable(11.0 + FIRST_PAUSE_S) == 1
        limit.note_outcomes(OutcomeCounts(failed=1), 0, 12.0)
        assert limit.grantable(12.0 + FIRST_PAUSE_S) == 0
