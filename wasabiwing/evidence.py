"""Evidence about versions: samples of outcomes by version, route and load.

A gateway collects samples and reports them every second to the pool's home
controller. Between two reports it keeps a bounded number of samples for each
key, so the size of a report does not grow with the traffic.
"""

from dataclasses import dataclass
from enum import IntEnum
from enum import unique

from wasabiwing.calls import AttemptOutcome
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState

# Largest number of samples kept for one key between two reports.
MAX_SAMPLES_PER_KEY = 64

# Parts of a server's slots in use from which the load level is middle or high.
MIDDLE_LOAD_FROM = 0.34
HIGH_LOAD_FROM = 0.67


@unique
class LoadLevel(IntEnum):
    """Load of a server at the time when a request was sent to it."""

    LOW = 0
    MIDDLE = 1
    HIGH = 2


@dataclass(frozen=True, slots=True)
class EvidenceKey:
    """Pool, version, route and load level that a sample belongs to."""

    pool_id: str
    version: str
    route_id: str
    load: LoadLevel


@dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of one attempt, as it counts for its version."""

    failed: bool
    # Milliseconds to the first token or byte; ``None`` for a failure, and
    # where the time does not count.
    first_token_ms: int | None


def load_level(in_flight: int, limit: int) -> LoadLevel:
    """Returns the load level of a server by its requests in flight."""
    used = in_flight / max(limit, 1)
    if used >= HIGH_LOAD_FROM:
        return LoadLevel.HIGH
    if used >= MIDDLE_LOAD_FROM:
        return LoadLevel.MIDDLE
    return LoadLevel.LOW


def sample_from_outcome(
    outcome: AttemptOutcome, server_is_cold: bool
) -> Sample | None:
    """Returns the sample of an attempt, or ``None`` if it gives no evidence.

    A refusal indicates missing capacity, and a slow answer of a cold server
    its cold start; neither counts against the version. A cut connection may
    come from a lost VM, and a crash counts against the requests that ran on
    the server; neither gives evidence about the version.
    """
    failure = outcome.failure
    if outcome.crashed:
        return None
    if failure is None:
        if outcome.first_token_s is None or server_is_cold:
            return Sample(False, None)
        return Sample(False, int(outcome.first_token_s * 1000))
    if failure.run_state is RunState.NOT_RUN:
        return None
    if failure.code in (ResultCode.SERVER_CUT, ResultCode.ATTEMPT_FAILED):
        return None
    return Sample(True, None)


class EvidenceCollector:
    """Samples that one gateway has collected since its last report."""

    def __init__(self) -> None:
        self._samples_by_key: dict[EvidenceKey, list[Sample]] = {}

    def add(self, key: EvidenceKey, sample: Sample) -> None:
        """Keeps a sample unless its key has the largest number already."""
        samples = self._samples_by_key.setdefault(key, [])
        if len(samples) < MAX_SAMPLES_PER_KEY:
            samples.append(sample)

    def drain(self) -> dict[EvidenceKey, list[Sample]]:
        """Returns the collected samples and removes them."""
        drained = self._samples_by_key
        self._samples_by_key = {}
        return drained
