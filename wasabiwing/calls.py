"""Records of a caller's parsed request to a gateway and of its attempts."""

from dataclasses import dataclass

from wasabiwing.codes import Failure
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Organisation
from wasabiwing.configuration import Pool
from wasabiwing.configuration import Route


@dataclass(frozen=True, slots=True)
class Call:
    """One accepted request to a gateway."""

    request_id: str
    organisation: Organisation
    route: Route
    pool: Pool
    method: str
    path: str
    body: bytes
    # Value of the Idempotency-Key header; empty for none.
    idempotency_key: str
    # Estimated length of the prompt and bound of the answer's, in tokens.
    prompt_tokens: int
    max_tokens: int
    # Monotonic times in seconds of the arrival and of the caller's deadline.
    received_at: float
    deadline: float
    # Whether the caller asked for a stream of events.
    streamed: bool = False
    content_type: str = "application/json"
    # Digests of the prompt's leading blocks; empty for plain services.
    prefix_digests: tuple[int, ...] = ()

    @property
    def digest_scope(self) -> tuple[str, str]:
        """Ids of organisation and route; the same in all repeats."""
        return self.organisation.id, self.route.id

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Digests of the prompt's blocks that other prompts may share."""
        return tuple(f"{digest:016x}" for digest in self.prefix_digests[:-1])

    @property
    def prompt_scope(self) -> str:
        """Id of the pool within which equal blocks are compared."""
        return self.pool.id


@dataclass(frozen=True, slots=True)
class ServerAssignment:
    """A server with a slot that is taken for one attempt of a call."""

    server: BackendServer
    # Number of the attempt, from 1.
    attempt: int
    pool_id: str = ""
    # Estimated tokens of the prompt that the server has to compute.
    uncached_tokens: int = 0
    # Whether the prompt counts as a long one.
    long_prompt: bool = False
    # Tokens of the prompt and of the longest possible answer.
    total_tokens: int = 0
    # Digest of a request that is suspected of crashes; empty for others.
    suspect_digest: str = ""
    # The request; ``None`` only where its outcome is not used as evidence
    # about a version.
    call: Call | None = None
    # Requests in flight at the server, and its concurrency limit, when it was
    # chosen.
    in_flight: int = 0
    limit: int = 0
    # Whether the server was cold, or not known to be warm, when it was chosen.
    server_is_cold: bool = False


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The outcome of one attempt at a backend server."""

    # ``None`` if the attempt succeeded.
    failure: Failure | None
    # Seconds from sending the request to the first token or byte of the
    # answer; ``None`` without one.
    first_token_s: float | None
    # Seconds from sending the request to the end of the attempt.
    duration_s: float
    # Tokens or events received.
    tokens: int = 0
    # Whether the server crashed, for which the requests that ran on it become
    # suspects.
    crashed: bool = False
