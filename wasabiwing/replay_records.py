"""Records of a replay, and the interface of the system under test."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Protocol

from result import Result

from wasabiwing.configuration import Configuration
from wasabiwing.trace_format import TraceEvent


class Ending(StrEnum):
    """How a replayed request ended for its caller."""

    COMPLETE = "complete"
    # Refused, with the run state ``not_run``.
    REFUSED = "refused"
    # Failed, and may have run.
    FAILED = "failed"
    # Accepted as a deferred job; a replay does not fetch its result.
    DEFERRED = "deferred"
    # Neither a terminal marker nor a failure arrived, even after resuming.
    CUT = "cut"
    # The answer is complete but has the wrong content, such as that of another
    # request.
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class ReplayedRequest:
    """What a caller saw of one request.

    Points in time are in seconds after the start of the replay.
    """

    id: str
    organisation: str
    route: str
    priority_class: int
    key: str
    streamed: bool
    # Whether the trace marks it as one that crashes backend servers.
    crashing: bool
    # When the trace has the request, and when it was sent.
    due_s: float
    sent_s: float
    ended_s: float
    ending: Ending
    request_id: str = ""
    status: int = 0
    code: int = 0
    detail: str = ""
    # Time from sending to the first token; ``None`` without any token.
    first_token_s: float | None = None
    # Mean time between tokens; ``None`` for fewer than two.
    between_tokens_s: float | None = None
    tokens: int = 0
    resumed: int = 0


@dataclass(frozen=True, slots=True)
class EventRecord:
    """When a trace event was performed, in seconds after the start."""

    event: TraceEvent
    started_s: float
    # When the target accepted it; ``None`` if it was refused.
    accepted_s: float | None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of a request at a backend server."""

    at_s: float
    server_id: str
    zone_id: str


@dataclass(frozen=True, slots=True)
class BackendRecords:
    """What the backend servers recorded during a replay."""

    # Number of runs by ``organisation/idempotency key``.
    runs_by_key: Mapping[str, int] = field(default_factory=dict)
    # Ids of the requests that reached a model engine.
    reached_ids: frozenset[str] = frozenset()
    arrivals: tuple[Arrival, ...] = ()
    generated_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ReplayRecords:
    """All records of a replay, on which the outcomes are checked."""

    requests: tuple[ReplayedRequest, ...]
    events: tuple[EventRecord, ...]
    # ``None`` if the target does not return the backend servers' records.
    backend: BackendRecords | None


class ReplayTarget(Protocol):
    """The system that a trace is replayed against."""

    @property
    def configuration(self) -> Configuration:
        """Configuration in force at the start of the replay."""

    @property
    def gateway_urls(self) -> tuple[str, ...]:
        """Base URLs of the gateways that run at present."""

    def token(self, organisation: str) -> str:
        """Returns the bearer token of an organisation."""

    async def perform(self, event: TraceEvent) -> Result[None, str]:
        """Performs an event; returns when it is accepted or refused."""

    def is_expected_answer(
        self, path: str, prompt: str, tokens: int, text: str
    ) -> bool | None:
        """Whether a text is the answer to a prompt; ``None`` if unknown."""

    def backend_records(self, started_at: float) -> BackendRecords | None:
        """Returns the backend servers' records; ``None`` if there are none.

        Their times are in seconds after ``started_at``, a time of the
        monotonic clock.
        """
