"""Records of a replay, and the port to the system that it runs against."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Protocol

from result import Result

from wasabiwing.configuration import Configuration
from wasabiwing.trace_format import TraceEvent


class Ending(StrEnum):
    """How a request ended for its caller."""

    COMPLETE = "complete"
    # Refused as ``not_run``.
    REFUSED = "refused"
    # Failed after it may have run.
    FAILED = "failed"
    # Accepted as a deferred job; its result is not fetched yet.
    DEFERRED = "deferred"
    # No terminal marker and no failure came, even after resuming.
    CUT = "cut"
    # The answer is whole and belongs to another request.
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class ReplayedRequest:
    """What the caller of one request saw; times after the start."""

    id: str
    organisation: str
    route: str
    priority_class: int
    key: str
    streamed: bool
    # Whether the trace says that it crashes backend servers.
    crashing: bool
    # Time in the trace and time of sending, in seconds.
    due_s: float
    sent_s: float
    ended_s: float
    ending: Ending
    request_id: str = ""
    status: int = 0
    code: int = 0
    detail: str = ""
    # From sending to the first token; ``None`` without one.
    first_token_s: float | None = None
    # Mean time between tokens; ``None`` for fewer than two.
    between_tokens_s: float | None = None
    tokens: int = 0
    resumed: int = 0


@dataclass(frozen=True, slots=True)
class EventRecord:
    """When an event was performed."""

    event: TraceEvent
    started_s: float
    # Time at which it was accepted; ``None`` when it was not.
    accepted_s: float | None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a backend server."""

    at_s: float
    server_id: str
    zone_id: str


@dataclass(frozen=True, slots=True)
class BackendRecords:
    """What the backend servers themselves noted."""

    # Runs by ``organisation/key``.
    runs_by_key: Mapping[str, int] = field(default_factory=dict)
    # Ids of model requests that reached an engine.
    reached_ids: frozenset[str] = frozenset()
    arrivals: tuple[Arrival, ...] = ()
    generated_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ReplayRecords:
    """All that the checks are made on."""

    requests: tuple[ReplayedRequest, ...]
    events: tuple[EventRecord, ...]
    # ``None`` when the servers' records cannot be read.
    backend: BackendRecords | None


class ReplayTarget(Protocol):
    """The system that a trace is replayed against."""

    @property
    def configuration(self) -> Configuration:
        """Configuration in force at the start."""

    @property
    def gateway_urls(self) -> tuple[str, ...]:
        """Base addresses of the gateways, as of now."""

    def token(self, organisation: str) -> str:
        """Bearer token of an organisation."""

    async def perform(self, event: TraceEvent) -> Result[None, str]:
        """Performs an event; returns once it is accepted."""

    def is_expected_answer(
        self, path: str, prompt: str, tokens: int, text: str
    ) -> bool | None:
        """Whether a text answers a prompt; ``None`` when not known."""

    def backend_records(self, started_at: float) -> BackendRecords | None:
        """Servers' records, with times after a monotonic time."""
