"""A caller's request to a routed service, from its headers to its end.

The wire format of headers belongs to a platform's adapter; ``CallCodec`` is
what the node program expects of it.
"""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.service_configuration import ServiceRoute

RawHeaders = tuple[tuple[bytes, bytes], ...]

# Classes of urgency; a server computes prompts of the lowest class first.
URGENCY_CLASSES = 3


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests share parts."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallHead:
    """What the headers of a request say."""

    # Identifies one attempt of a caller; answers repeat it.
    attempt_id: str
    host: str
    # API key; empty without one.
    api_key: str
    # Time that the caller waits, in seconds; ``None`` if it does not say.
    timeout_s: float | None
    # Prompt tokens and longest answer; ``None`` for plain requests.
    prompt_tokens: int | None
    answer_tokens: int | None
    prompt_parts: tuple[PromptPart, ...]
    # Event after which a stream continues; empty for the beginning.
    last_event_id: str
    # Headers that a backend server gets unchanged.
    forwarded_headers: RawHeaders


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """One accepted request."""

    head: CallHead
    method: bytes
    # Path and query as the caller sent them.
    target: bytes
    body: bytes
    route: ServiceRoute
    # Service that the route's shares have selected.
    service: str
    # ``None`` on public routes without a key.
    organisation: OrganisationProfile | None
    # Monotonic times in seconds.
    received_at: float
    deadline: float

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, or empty."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def request_id(self) -> str:
        """Id of this attempt of the caller; differs between repeats."""
        return self.head.attempt_id

    @property
    def digest_scope(self) -> tuple[str, str, str]:
        """Organisation, method and target, the same in all repeats."""
        return (
            self.organisation_name,
            self.method.decode("latin-1"),
            self.target.decode("latin-1"),
        )

    @property
    def total_tokens(self) -> int | None:
        """Prompt and longest answer together; ``None`` without counts."""
        if self.head.prompt_tokens is None:
            return None
        return self.head.prompt_tokens + (self.head.answer_tokens or 0)

    @property
    def urgency_class(self) -> int:
        """Class of urgency; the lowest is served first."""
        return min(max(self.route.priority, 0), URGENCY_CLASSES - 1)

    @property
    def organisation_priority(self) -> int:
        """Priority of the organisation; breaks ties within a class."""
        organisation = self.organisation
        return 0 if organisation is None else organisation.priority or 0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server states in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the headers of a backend server's answer say."""

    # Attempt that the answer belongs to; empty if it does not say.
    attempt_id: str
    # Whether the server states that it did not run the request.
    not_run: bool
    # Whether the answer carries the server's proof of origin.
    stamped: bool
    load: ServerLoad | None
    # Time for which the server stays cold, in seconds; ``None`` if unsaid.
    cold_s: float | None
    # Whether the server closes the connection after this answer.
    closes_connection: bool
    # Time for which an idle connection stays open, in seconds.
    keep_alive_s: float | None
    # Headers that the caller gets unchanged.
    forwarded_headers: RawHeaders
    # Whether the server says that it leaves.
    leaving: bool = False
    # Time after which the server wants requests again, in seconds.
    retry_after_s: float | None = None
    # Values about leaving and that time that cannot be read.
    unreadable_count: int = 0


class CallCodec(Protocol):
    """Translates headers between the wire and the product's records."""

    def read_call(self, headers: RawHeaders) -> Result[CallHead, str]:
        """Reads a caller's headers; the error says what is wrong."""

    def server_headers(
        self,
        call: RoutedCall,
        server_id: str,
        remaining_s: float,
        urgency: int,
        last_event_id: str,
    ) -> RawHeaders:
        """Returns the headers for a backend server.

        Only the server with that id runs the request, and it stops work
        after ``remaining_s`` seconds. Urgency 0 is served first.
        """

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerHead:
        """Reads the headers of a backend server's answer."""
