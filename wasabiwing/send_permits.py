"""Permits of one gateway or node for requests to limited servers.

A server that has named a limit gets a request only with a permit. One process
of the fleet issues the permits of a service; rendezvous hashing chooses it, so
that all agree without a message. If it does not answer, the next one is asked,
which issues only a part of the limit while the first one counts as live.
Requests that go to another server meanwhile are asked for too, so that the
limited server gets what it takes. Unused permits are given back.
"""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from math import ceil
from math import inf

from anyio import Event as AnyioEvent
from anyio import move_on_after

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import PermitGrant
from wasabiwing.messages import PermitRequest
from wasabiwing.permit_issuer import PermitIssuer
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import rank_members
from wasabiwing.server_limits import ServerLimits
from wasabiwing.timers import TimerService

# Time for which an unused permit is kept, in seconds. What is kept may be used
# in a burst.
PERMIT_LIFETIME_S = 2.0

# Time in which the issuer has to answer, in seconds, the number of requests
# without an answer after which it is passed over, and for how long, in
# seconds. A single message may be lost with its connection.
ANSWER_TIMEOUT_S = 0.25
MAX_UNANSWERED = 2
PASSED_OVER_S = 3.0

# Time for which a request counts as one that wants a permit after it was last
# seen, in seconds; longer than the poll period of waiting requests.
WISH_LIFETIME_S = 0.1

# Longest time for which a request that could go to another server awaits the
# issuer's answer, in seconds.
MAX_AWAITED_S = 0.012

# Time over which the use of permits is observed, and for which permits are
# fetched ahead, in seconds.
OBSERVED_S = 0.5
AHEAD_S = 0.25

# Period of the check for permits that were not used, in seconds.
CHECK_PERIOD_S = 0.25

# Largest number of limits in a log line.
MAX_DESCRIBED = 8

# Share of the limits that a process issues which is not the first choice; each
# further choice issues this share of the one before.
NEXT_ISSUER_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class PermitOutlook:
    """What a request without a permit may expect."""

    # Estimated seconds until a permit; 0 while the answer is not known.
    wait_s: float = 0.0
    # Seconds after which a refused caller should return.
    return_s: float = 0.0
    # Whether a request with other servers should wait for the issuer's
    # answer, because its process has too few requests to use a permit later.
    answer_awaited: bool = False


@dataclass(frozen=True, slots=True)
class _Wish:
    """A request that wants a permit."""

    urgency: int
    # Whether the request waits; others have gone to another server.
    waits: bool
    # Longest wait, in seconds.
    wait_s: float
    began_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Denial:
    """The issuer has no permit for requests of an urgency or less."""

    urgency: int
    until: float
    return_s: float


@dataclass(slots=True)
class _ServiceState:
    """What this process wants and knows of one service's permits."""

    wish_by_request: dict[str, _Wish] = field(default_factory=dict)
    # Times at which the held permits end, by server id.
    expiries_by_server: dict[str, deque[float]] = field(default_factory=dict)
    # Times at which permits were used.
    used_at: deque[float] = field(default_factory=deque)
    # Time and receiver of the request to which no answer has come yet.
    asked_at: float | None = None
    asked_id: str = ""
    asked_urgency: int = 0
    # Whether a waiting request was among those asked for. It names all
    # servers of the service, others only those that they have no permit for.
    asked_for_waiting: bool = False
    # Requests to the issuer in a row that it did not answer.
    unanswered: int = 0
    sequence: int = 0
    # Latest denial of a request to the issuer, by ``asked_for_waiting``.
    denial_by_kind: dict[bool, _Denial] = field(default_factory=dict)
    # Time of the last request that wanted a permit.
    wanted_at: float = -inf

    def count(self, server_id: str, now: float) -> int:
        """Returns the number of permits for a server that can be used."""
        expiries = self.expiries_by_server.get(server_id, ())
        return sum(expiry > now for expiry in expiries)

    def total(self, now: float) -> int:
        """Returns the number of permits that can be used."""
        return sum(
            self.count(server_id, now) for server_id in self.expiries_by_server
        )

    def denial(self, waits: bool, urgency: int, now: float) -> _Denial | None:
        """Returns the denial that is in force for an urgency."""
        denial = self.denial_by_kind.get(waits)
        if denial is None or denial.until <= now or urgency < denial.urgency:
            return None
        return denial

    def take_expired(self, now: float) -> dict[str, int]:
        """Removes permits that were not used; returns how many, by server."""
        expired: dict[str, int] = {}
        for server_id, expiries in list(self.expiries_by_server.items()):
            left = deque(expiry for expiry in expiries if expiry > now)
            if len(left) < len(expiries):
                expired[server_id] = len(expiries) - len(left)
            self.expiries_by_server[server_id] = left
            if not left:
                del self.expiries_by_server[server_id]
        return expired


class SendPermits:
    """The permits that one gateway or node holds, and its requests for them.

    ``members`` returns the inbox of each live process that may issue permits,
    by its id.
    """

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        limits: ServerLimits,
        members: Callable[[], Mapping[str, str]],
        heard_share: Callable[[], float] = lambda: 1.0,
        on_granted: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._limits = limits
        self._members = members
        self._heard_share = heard_share
        self._on_granted = on_granted
        self._issuer = PermitIssuer(timer, limits, self._issued_share)
        self._state_by_service: dict[str, _ServiceState] = {}
        self._passed_over_until: dict[str, float] = {}
        # Ranking by service, with the processes that it was made from.
        self._ranking_by_service: dict[
            str, tuple[frozenset[str], list[str]]
        ] = {}
        # Set, and replaced, when permits are granted or denied.
        self._granted = AnyioEvent()
        timer.subscribe(CHECK_PERIOD_S, self.check)

    def register(self, messages: MessageRouter) -> None:
        """Registers the handlers of other processes' messages."""
        messages.register(PermitRequest, self._receive_request)
        messages.register(PermitGrant, self._receive_grant)

    def may_send(
        self, service: str, server_id: str, request_id: str, urgency: int
    ) -> bool:
        """Whether a request may be sent to a server now.

        A permit is left to more urgent requests of this process that wait.
        """
        if self._limits.limit_per_s(server_id) is None:
            return True
        now = self._timer.now()
        state = self._state(service)
        if not state.count(server_id, now):
            return False
        ahead = sum(
            wish.waits and wish.urgency < urgency and wish.expires_at > now
            for other_id, wish in state.wish_by_request.items()
            if other_id != request_id
        )
        return ahead == 0 or state.total(now) > ahead

    def are_all_limited(self, server_ids: Iterable[str]) -> bool:
        """Whether all of some servers have named limits."""
        return all(
            self._limits.limit_per_s(server_id) is not None
            for server_id in server_ids
        )

    def describe_limits(self, server_ids: Iterable[str]) -> str:
        """Returns the limits of some servers for a log line."""
        described = [
            f"{server_id} {limit:g}/s"
            for server_id in server_ids
            if (limit := self._limits.limit_per_s(server_id)) is not None
        ]
        return ",".join(described[:MAX_DESCRIBED])

    def note_sent(self, service: str, server_id: str, request_id: str) -> None:
        """Uses up the permit for a request that is sent to a server."""
        state = self._state_by_service.get(service)
        if state is None:
            return
        state.wish_by_request.pop(request_id, None)
        if self._limits.limit_per_s(server_id) is None:
            return
        now = self._timer.now()
        expiries = state.expiries_by_server.get(server_id)
        if expiries:
            expiries.popleft()
        state.used_at.append(now)
        if state.total(now) < self._expected(state) / 2:
            self._ask(service, state, (server_id,))

    def want(
        self,
        service: str,
        server_ids: Sequence[str],
        request_id: str,
        urgency: int,
        wait_s: float | None,
    ) -> PermitOutlook:
        """Asks for a permit for one of some servers, the preferred one first.

        ``wait_s`` is the time in seconds that the request may wait, or
        ``None`` if it goes to another server now.
        """
        now = self._timer.now()
        state = self._state(service)
        known = state.wish_by_request.get(request_id)
        began_at = now if known is None else known.began_at
        is_rare = (
            now - state.wanted_at > PERMIT_LIFETIME_S or known is not None
        )
        state.wanted_at = now
        state.wish_by_request[request_id] = _Wish(
            urgency,
            wait_s is not None,
            wait_s or 0.0,
            began_at,
            now + WISH_LIFETIME_S,
        )
        self._ask(service, state, server_ids)
        denial = state.denial(wait_s is not None, urgency, now)
        if denial is not None:
            return PermitOutlook(denial.until - now, denial.return_s)
        awaits = (
            wait_s is None
            and is_rare
            and state.asked_at is not None
            and now - began_at < MAX_AWAITED_S
        )
        return PermitOutlook(answer_awaited=awaits)

    def is_wanted(self, service: str, request_id: str) -> bool:
        """Whether a request wants a permit."""
        state = self._state_by_service.get(service)
        return state is not None and request_id in state.wish_by_request

    async def wait(self, seconds: float) -> None:
        """Waits until permits are granted, for ``seconds`` at most."""
        with move_on_after(seconds):
            await self._granted.wait()

    async def check(self) -> None:
        """Gives back the permits that were not used in time."""
        now = self._timer.now()
        for service, state in self._state_by_service.items():
            expired = state.take_expired(now)
            if not expired:
                continue
            message = PermitRequest(
                service, (), 0, 0, 0.0, 0, tuple(expired.items())
            )
            issuer_id, inbox = self._issuer_of(service)
            if issuer_id == self._node_id:
                self._issuer.issue(self._node_id, message)
            else:
                self._transport.send(inbox, message)

    def _ask(
        self, service: str, state: _ServiceState, server_ids: Sequence[str]
    ) -> None:
        """Asks the issuer for permits, unless it would not help now."""
        now = self._timer.now()
        if state.asked_at is not None:
            if now - state.asked_at < ANSWER_TIMEOUT_S:
                return
            self._note_unanswered(service, state)
        wishes = self._current_wishes(state)
        waiting = [wish for wish in wishes if wish.waits]
        urgency = min((wish.urgency for wish in waiting or wishes), default=0)
        if state.denial(bool(waiting), urgency, now) is not None:
            return
        held = state.total(now)
        request = PermitRequest(
            service,
            tuple(
                (server_id, limit)
                for server_id in server_ids
                if (limit := self._limits.limit_per_s(server_id)) is not None
            ),
            max(len(wishes) - held, 0),
            urgency,
            max((wish.wait_s for wish in waiting), default=0.0),
            max(self._expected(state) - held, 0),
        )
        if not request.limits or not request.waiting + request.expected:
            return
        issuer_id, inbox = self._issuer_of(service)
        state.asked_urgency = urgency
        state.asked_for_waiting = bool(waiting)
        if issuer_id == self._node_id:
            self._apply(self._issuer.issue(self._node_id, request))
            return
        state.asked_at, state.asked_id = now, issuer_id
        state.sequence += 1
        self._transport.send(inbox, request, state.sequence)

    def issuers_of(self, service: str, count: int) -> list[tuple[str, str]]:
        """Returns ids and inboxes of the first processes to ask.

        The inbox of this process is empty.
        """
        now = self._timer.now()
        inbox_by_id = {**self._members(), self._node_id: ""}
        return [
            (member_id, inbox_by_id[member_id])
            for member_id in self._ranking(service, inbox_by_id)
            if member_id == self._node_id
            or self._passed_over_until.get(member_id, -inf) <= now
        ][:count]

    def is_first_issuer(self, service: str) -> bool:
        """Whether this process is the first choice for issuing."""
        return self._ranking(service, self._members())[0] == self._node_id

    def inbox_of(self, member_id: str) -> str:
        """Returns the inbox of a live process; empty if it is not known."""
        return self._members().get(member_id, "")

    def member_ids(self) -> Iterable[str]:
        """Returns the ids of the other live processes."""
        return self._members()

    def heard_share(self) -> float:
        """Returns the share of all processes that this one hears."""
        return self._heard_share()

    def pass_over(self, service: str, issuer_id: str) -> None:
        """Stops asking a process for a while, because it did not answer."""
        until = self._timer.now() + PASSED_OVER_S
        self._passed_over_until[issuer_id] = until
        log_event(
            Event.PERMIT_ISSUER_SILENT,
            self._node_id,
            service=service,
            issuer=issuer_id,
        )

    def _note_unanswered(self, service: str, state: _ServiceState) -> None:
        """Passes over an issuer that did not answer again and again."""
        state.asked_at = None
        state.unanswered += 1
        if state.unanswered < MAX_UNANSWERED:
            return
        state.unanswered = 0
        self.pass_over(service, state.asked_id)

    async def _receive_request(
        self, envelope: Envelope, request: PermitRequest
    ) -> None:
        grant = self._issuer.issue(envelope.sender, request)
        if request.limits:
            self._transport.send(
                envelope.reply_to, grant, envelope.correlation_id
            )

    async def _receive_grant(
        self, envelope: Envelope, grant: PermitGrant
    ) -> None:
        state = self._state(grant.service)
        if envelope.correlation_id != state.sequence:
            return
        state.asked_at = None
        state.unanswered = 0
        self._apply(grant)
        self._granted.set()
        self._granted = AnyioEvent()
        if self._on_granted is not None:
            await self._on_granted()

    def _apply(self, grant: PermitGrant) -> None:
        now = self._timer.now()
        state = self._state(grant.service)
        for server_id, count in grant.granted:
            expiries = state.expiries_by_server.setdefault(server_id, deque())
            expiries.extend([now + PERMIT_LIFETIME_S] * count)
            for request_id in self._served_wishes(state, count):
                del state.wish_by_request[request_id]
        state.denial_by_kind[state.asked_for_waiting] = _Denial(
            state.asked_urgency, now + grant.wait_s, grant.return_s
        )

    def _served_wishes(self, state: _ServiceState, count: int) -> list[str]:
        """Returns requests that went elsewhere and whose permits came."""
        background = [
            request_id
            for request_id, wish in state.wish_by_request.items()
            if not wish.waits
        ]
        return background[:count]

    def _current_wishes(self, state: _ServiceState) -> list[_Wish]:
        now = self._timer.now()
        state.wish_by_request = {
            request_id: wish
            for request_id, wish in state.wish_by_request.items()
            if wish.expires_at > now
        }
        return list(state.wish_by_request.values())

    def _expected(self, state: _ServiceState) -> int:
        """Returns how many requests are expected soon."""
        since = self._timer.now() - OBSERVED_S
        while state.used_at and state.used_at[0] < since:
            state.used_at.popleft()
        return ceil(len(state.used_at) / OBSERVED_S * AHEAD_S)

    def _issuer_of(self, service: str) -> tuple[str, str]:
        """Returns the id and inbox of the process to ask."""
        return self.issuers_of(service, 1)[0]

    def _issued_share(self, service: str) -> float:
        """Returns the share of the limits that this process may issue."""
        ranking = self._ranking(service, self._members())
        rank = ranking.index(self._node_id)
        return float(self._heard_share() * NEXT_ISSUER_SHARE**rank)

    def _ranking(self, service: str, members: Iterable[str]) -> list[str]:
        """Returns the live processes, the first choice for issuing first."""
        member_ids = frozenset((*members, self._node_id))
        known = self._ranking_by_service.get(service)
        if known is None or known[0] != member_ids:
            known = (member_ids, rank_members(service, member_ids))
            self._ranking_by_service[service] = known
        return known[1]

    def _state(self, service: str) -> _ServiceState:
        return self._state_by_service.setdefault(service, _ServiceState())
