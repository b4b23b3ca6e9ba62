"""Records of a caller's request to a routed service and of its answer.

A platform's adapter defines the wire format of the headers and implements
``CallCodec`` for the node program.
"""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.service_configuration import ServiceRoute

RawHeaders = tuple[tuple[bytes, bytes], ...]

# Numbers of priorities of routes and of organisations that are told apart;
# higher ones count as the last.
ROUTE_PRIORITIES = 3
ORGANISATION_PRIORITIES = 3

# Number of urgencies, by which servers order work and loads are counted: one
# for each pair of priorities, and one for late requests of the last pair.
URGENCIES = ROUTE_PRIORITIES * ORGANISATION_PRIORITIES + 1


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; other prompts may begin with the same parts."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallHead:
    """Contents of a request's headers."""

    # Identifies one attempt of the caller; its answer carries the same id.
    attempt_id: str
    host: str
    # API key; empty without one.
    api_key: str
    # Time that the caller waits, in seconds; ``None`` if it does not say.
    timeout_s: float | None
    # Tokens of the prompt and of the longest possible answer; ``None`` for
    # plain requests.
    prompt_tokens: int | None
    answer_tokens: int | None
    prompt_parts: tuple[PromptPart, ...]
    # Id of the event after which a stream continues; empty for the beginning.
    last_event_id: str
    # Headers that are sent to the backend server unchanged.
    forwarded_headers: RawHeaders


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """One accepted request to a routed service."""

    head: CallHead
    method: bytes
    # Path and query string as the caller sent them.
    target: bytes
    body: bytes
    route: ServiceRoute
    # Name of the service that the route's traffic split has selected.
    service: str
    # ``None`` on public routes without a key.
    organisation: OrganisationProfile | None
    # Monotonic times in seconds of the arrival and of the caller's deadline.
    received_at: float
    deadline: float
    # Whether the answer will begin after the route's latency target, so that
    # servers compute the request after others of its rank.
    late: bool = False
    # Monotonic time of the last event that the caller got, in seconds;
    # ``None`` before the answer has begun.
    last_event_at: float | None = None

    @property
    def waits_since(self) -> float:
        """Monotonic time since which the caller waits for an event."""
        if self.last_event_at is None:
            return self.received_at
        return self.last_event_at

    @property
    def leaves_at(self) -> float:
        """Monotonic time by which the answer must begin or go on, in seconds.

        The caller waits no longer for the next event of a stream, and no
        longer than its deadline for any other answer.
        """
        patience_s = self.route.patience_s
        if patience_s is None:
            return self.deadline
        return min(self.deadline, self.waits_since + patience_s)

    @property
    def organisation_name(self) -> str:
        """Name of the request's organisation; empty without one."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def request_id(self) -> str:
        """Id of this attempt of the caller; a repeat has another."""
        return self.head.attempt_id

    @property
    def digest_scope(self) -> tuple[str, str, str]:
        """Organisation, method and target; the same in all repeats."""
        return (
            self.organisation_name,
            self.method.decode("latin-1"),
            self.target.decode("latin-1"),
        )

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may have too.

        The last part belongs to the request. The ids are in the order of
        the prompt.
        """
        return tuple(part.id for part in self.head.prompt_parts[:-1])

    @property
    def prompt_scope(self) -> str:
        """Name of the service within which equal parts are compared."""
        return self.service

    @property
    def total_tokens(self) -> int | None:
        """Tokens of prompt and longest answer; ``None`` for plain requests."""
        if self.head.prompt_tokens is None:
            return None
        return self.head.prompt_tokens + (self.head.answer_tokens or 0)

    @property
    def rank(self) -> int:
        """Place of the request's priorities; the lowest is served first.

        The organisation's priority goes before the route's.
        """
        organisation = self.organisation
        first = 0 if organisation is None else organisation.priority or 0
        return min(
            max(first, 0), ORGANISATION_PRIORITIES - 1
        ) * ROUTE_PRIORITIES + min(
            max(self.route.priority, 0), ROUTE_PRIORITIES - 1
        )

    @property
    def urgency(self) -> int:
        """Urgency at servers, below ``URGENCIES``; the lowest is first.

        It is the rank. A late request gives way to those of its rank and, as
        servers know few urgencies, shares that of the next rank.
        """
        return self.rank + self.late


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests, slots and speed that a backend server states."""

    running: int
    waiting: int
    slots: int
    # Factor on the time for a piece of work, 1 as usual; ``None`` if the
    # server does not say.
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Contents of the headers of a backend server's answer."""

    # Id of the attempt that the answer belongs to; empty if it has none.
    attempt_id: str
    # Whether the server states that it did not run the request.
    not_run: bool
    # Whether the answer carries the server's proof of origin.
    stamped: bool
    load: ServerLoad | None
    # Seconds for which the server stays cold; ``None`` if it does not say.
    cold_s: float | None
    # Whether the server closes the connection after this answer.
    closes_connection: bool
    # Seconds for which the server keeps an idle connection open; ``None`` if
    # it does not say.
    keep_alive_s: float | None
    # Headers that are sent to the caller unchanged.
    forwarded_headers: RawHeaders
    # Whether the server states that it is shutting down.
    leaving: bool = False
    # Seconds after which the server accepts requests again; ``None`` if it
    # does not say.
    retry_after_s: float | None = None
    # Requests per second that the server takes from all nodes together;
    # ``None`` if it names no limit.
    limit_per_s: float | None = None
    # Whether the server named a limit that cannot be parsed.
    limit_unreadable: bool = False
    # Number of header values about the server that cannot be parsed.
    unreadable_count: int = 0
    # Headers that the codec does not read.
    unknown_headers: RawHeaders = ()
    # Number of requests that a brittle server can refuse in a second without
    # a crash; ``None`` if it does not say that it is brittle.
    max_refusals: int | None = None
    # Whether the server said so with a value that cannot be parsed.
    max_refusals_unreadable: bool = False

    def belongs_to(self, call: RoutedCall) -> bool:
        """Whether the answer is one to a request.

        A server that refuses a request may leave out the request's id.
        """
        if not self.attempt_id:
            return self.not_run
        return self.attempt_id == call.head.attempt_id


class CallCodec(Protocol):
    """Translates between HTTP headers and the records of this module."""

    def read_call(self, headers: RawHeaders) -> Result[CallHead, str]:
        """Parses a caller's headers; the error says what is wrong."""

    def server_headers(
        self,
        call: RoutedCall,
        server_id: str,
        remaining_s: float,
        urgency: int,
        last_event_id: str,
    ) -> RawHeaders:
        """Returns the headers of a request to a backend server.

        They say that only the server ``server_id`` may run the request and
        that it must stop work on it after ``remaining_s`` seconds. Urgency 0
        is served first. ``last_event_id`` is that of the event after which a
        stream continues; empty for the beginning.
        """

    def peer_headers(
        self, call: RoutedCall, remaining_s: float, last_event_id: str
    ) -> RawHeaders:
        """Returns the headers of a request that another node carries.

        They let that node treat the request as the caller's own, with its
        API key. The other arguments are those of ``server_headers``.
        """

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerHead:
        """Parses the headers of a backend server's answer."""
