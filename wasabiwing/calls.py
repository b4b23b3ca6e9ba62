"""A caller's request after parsing, as the data path passes it on."""

from dataclasses import dataclass

from wasabiwing.codes import Failure
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Organisation
from wasabiwing.configuration import Pool
from wasabiwing.configuration import Route


@dataclass(frozen=True, slots=True)
class Call:
    """One accepted request."""

    request_id: str
    organisation: Organisation
    route: Route
    pool: Pool
    method: str
    path: str
    body: bytes
    # Value of the Idempotency-Key header; empty for none.
    idempotency_key: str
    # Estimate of the prompt's length and bound of the answer's, in tokens.
    prompt_tokens: int
    max_tokens: int
    # Monotonic times in seconds.
    received_at: float
    deadline: float
    # Whether the caller asked for a stream of events.
    streamed: bool = False
    content_type: str = "application/json"
    # Digests of the prompt's leading blocks; empty for plain services.
    prefix_digests: tuple[int, ...] = ()

    @property
    def digest_scope(self) -> tuple[str, str]:
        """Organisation and route, the same in all repeats."""
        return self.organisation.id, self.route.id


@dataclass(frozen=True, slots=True)
class ServerAssignment:
    """The outcome of a routing decision; holds one slot at the server."""

    server: BackendServer
    # Number of the attempt, from 1.
    attempt: int
    pool_id: str = ""
    # Tokens of the prompt that the server must compute, as estimated.
    uncached_tokens: int = 0
    # Whether the prompt counts as a long one.
    long_prompt: bool = False
    # Tokens of the prompt and of the longest answer.
    total_tokens: int = 0
    # Digest of a request that is suspected of crashes; empty for others.
    suspect_digest: str = ""
    # The request; ``None`` only where no outcome is attributed to it.
    call: Call | None = None
    # Requests in flight at the server, and its limit, when it was chosen.
    in_flight: int = 0
    limit: int = 0
    # Whether the server was cold, or not known to be warm, at that time.
    server_is_cold: bool = False


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """What an attempt at a backend server told."""

    # ``None`` when the attempt succeeded.
    failure: Failure | None
    # Seconds from sending to the first token or byte; ``None`` without one.
    first_token_s: float | None
    # Seconds from sending to the end.
    duration_s: float
    # Tokens or events received.
    tokens: int = 0
    # Whether the server crashed; that counts against the requests on it.
    crashed: bool = False
