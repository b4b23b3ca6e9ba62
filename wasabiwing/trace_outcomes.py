"""Stated outcomes of a trace, against which a replay is checked."""

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Annotated

from msgspec import Meta
from result import Err
from result import Result

from wasabiwing.validation import parse_document

Share = Annotated[float, Meta(ge=0, le=1)]
Limit = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=0)]


class LatencyMeasure(StrEnum):
    """The time of a request that a bound applies to."""

    # Time until the first token of a stream.
    FIRST_TOKEN = "first_token"
    # Mean time between the tokens of a stream.
    BETWEEN_TOKENS = "between_tokens"
    # Time until the end of the answer.
    WHOLE = "whole"


@dataclass(frozen=True, slots=True)
class LatencyShare:
    """The minimum share of a class's requests that meet a latency bound.

    Refused, failed and cut requests count as too late. First-token and
    between-token times are measured on streams only.
    """

    priority_class: Count
    measure: LatencyMeasure
    within_ms: Limit
    share: Share
    # Routes that count; empty for all routes of the class.
    routes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Stated outcomes of a trace; ``None`` for one that is not checked."""

    # Name of the trace.
    trace: str
    latency: tuple[LatencyShare, ...] = ()
    # Runs of an idempotency key beyond its first, summed over all keys.
    max_doubled_runs: Count | None = None
    # Answers that were cut, were lost or belong to another request.
    max_lost_or_cut: Count | None = None
    # Requests that failed after they may have run.
    max_failed_accepted: Count | None = None
    # Result codes that do not count as such failures.
    excused_codes: tuple[Count, ...] = ()
    # Requests reported as ``not_run`` that reached a backend server.
    max_false_not_run: Count | None = None
    # Tokens that engines generated per token that callers received.
    max_generated_per_delivered: Limit | None = None
    # Time from an accepted drain of a zone until it gets no new requests, in
    # seconds.
    drain_silence_s: Limit | None = None


def load_outcomes(path: Path) -> Result[Outcomes, list[str]]:
    """Reads and validates a file of stated outcomes."""
    try:
        return parse_document(path.read_bytes(), Outcomes)
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])
