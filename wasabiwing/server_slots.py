"""Slots of brittle servers that one gateway or node uses for its requests.

A brittle server gets a request only in a slot that the service's issuer has
lent for it: the process that also issues the permits of limits. The issuer
and the next choice after it are told of all requests at brittle servers, also
of those that were sent before the servers said so.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from random import Random

from anyio import Event as AnyioEvent
from anyio import move_on_after

from wasabiwing.brittle_servers import BrittleServers
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import SlotEnded
from wasabiwing.messages import SlotGrant
from wasabiwing.messages import SlotReport
from wasabiwing.messages import SlotRequest
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import owner
from wasabiwing.send_permits import ANSWER_TIMEOUT_S
from wasabiwing.send_permits import SendPermits
from wasabiwing.slot_issuer import Grants
from wasabiwing.slot_issuer import SlotIssuer
from wasabiwing.timers import TimerService

# Period of the reports to the issuer, in seconds.
REPORT_PERIOD_S = 0.25

# Period in which an issuer looks for slots that have become free, in seconds.
CHECK_PERIOD_S = 0.05

# Processes that are told of requests at brittle servers: the issuer and the
# one that takes its place.
TOLD_ISSUERS = 2

# Number of requests without an answer after which an issuer is passed over.
# Two issuers at once know only late what the other one lends.
MAX_UNANSWERED = 3

# Share of the slots that a process issues while a better choice is live but
# does not answer.
NEXT_ISSUER_SHARE = 0.5

# Time after which a slot is given back if its request has not asked for it
# again, in seconds; longer than the poll period of waiting requests.
WISH_LIFETIME_S = 0.1

# Largest number of servers that a request asks for.
MAX_ASKED_SERVERS = 32

# Time for which a request that has other servers waits for a slot, in
# seconds.
MAX_AWAITED_S = 0.012


@dataclass(frozen=True, slots=True)
class SlotOutlook:
    """What a request that needs a slot may expect."""

    # Server whose slot the request may use; empty without one.
    server_id: str = ""
    # Whether the issuer has refused it, and the seconds after which its
    # caller should return.
    refused: bool = False
    return_s: float = 0.0
    # Seconds since the request asked.
    waited_s: float = 0.0


@dataclass(slots=True)
class _Wish:
    """A request that has asked for a slot."""

    asked_at: float
    seen_at: float
    # The issuer's final answer.
    grant: SlotGrant | None = None


class ServerSlots:
    """The slots that one gateway or node uses, and its requests for them."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        brittle: BrittleServers,
        permits: SendPermits,
        registered_ids: Callable[[], Iterable[str]],
        random: Random,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._brittle = brittle
        self._permits = permits
        # Returns the ids of all processes, whether or not they are heard.
        self._registered_ids = registered_ids
        self._issuer = SlotIssuer(
            node_id,
            timer,
            self._issued_share,
            permits.is_first_issuer,
            self._issuable_slots,
            random,
        )
        # Number of slots by server and its slots, and the processes that it
        # was made from: those that are heard, and all.
        self._issuable_by_server: dict[tuple[str, int], int] = {}
        self._issuable_from: tuple[frozenset[str], frozenset[str]] = (
            frozenset(),
            frozenset(),
        )
        # Wishes by service and request.
        self._wish_by_key: dict[tuple[str, str], _Wish] = {}
        # Requests at all servers, by service and server.
        self._running: dict[str, dict[str, set[str]]] = {}
        # Services for which the last report named requests.
        self._reported: set[str] = set()
        # The processes that are heard and all, and until when they are used.
        self._known_processes = self._issuable_from
        self._processes_until = -inf
        # First time and number of requests that an issuer has not answered,
        # by service and issuer.
        self._unanswered: dict[tuple[str, str], tuple[float, int]] = {}
        # Set, and replaced, when a request gets an answer.
        self._answered = AnyioEvent()
        timer.subscribe(REPORT_PERIOD_S, self._report)
        timer.subscribe(CHECK_PERIOD_S, self._check)

    def register(self, messages: MessageRouter) -> None:
        """Registers the handlers of other processes' messages."""
        messages.register(SlotRequest, self._receive_request)
        messages.register(SlotGrant, self._receive_grant)
        messages.register(SlotEnded, self._receive_ended)
        messages.register(SlotReport, self._receive_report)

    def brittle_servers(
        self, service: str, server_ids: Iterable[str]
    ) -> Mapping[str, int]:
        """Returns the refusals that the brittle ones can bear, by server."""
        return self._brittle.max_refusals_by_server(service, server_ids)

    def want(
        self,
        service: str,
        request_id: str,
        servers: Sequence[tuple[str, int, int]],
        urgency: int,
        wait_s: float,
    ) -> SlotOutlook:
        """Asks for a slot of one of some servers, the preferred one first.

        Each server comes with the number of its slots and of the refusals
        that it can bear in a second. A request asks until it gets or gives
        up the slot.
        """
        now = self._timer.now()
        key = (service, request_id)
        wish = self._wish_by_key.get(key)
        if wish is None:
            issuer_id, inbox = self._permits.issuers_of(service, 1)[0]
            wish = self._wish_by_key[key] = _Wish(now, now)
            request = SlotRequest(
                service,
                request_id,
                tuple(servers[:MAX_ASKED_SERVERS]),
                urgency,
                wait_s,
                self._brittle.known_s(service),
            )
            if inbox:
                self._note_asked(service, issuer_id)
                self._transport.send(inbox, request)
            else:
                self._note_grant(self._issuer.ask(self._node_id, request))
        wish.seen_at = now
        grant = wish.grant
        if grant is None:
            return SlotOutlook(waited_s=now - wish.asked_at)
        if not grant.server_id:
            del self._wish_by_key[key]
        return SlotOutlook(
            grant.server_id,
            not grant.server_id,
            grant.return_s,
            now - wish.asked_at,
        )

    def give_up(self, service: str, request_id: str) -> None:
        """Gives back the slot that a request has got or may still get."""
        wish = self._wish_by_key.pop((service, request_id), None)
        if wish is not None and wish.grant is not None:
            self._give_back(wish.grant)

    def note_sent(self, service: str, server_id: str, request_id: str) -> None:
        """Records that a request is sent to a server."""
        wish = self._wish_by_key.pop((service, request_id), None)
        if wish is not None and wish.grant is not None:
            if wish.grant.server_id != server_id:
                self._give_back(wish.grant)
        by_server = self._running.setdefault(service, {})
        by_server.setdefault(server_id, set()).add(request_id)

    def note_ended(
        self,
        service: str,
        server_id: str,
        request_id: str,
        slots: int,
        refused: bool,
    ) -> None:
        """Records that a request is no longer at a server."""
        by_server = self._running.get(service, {})
        request_ids = by_server.get(server_id, set())
        request_ids.discard(request_id)
        if not request_ids:
            by_server.pop(server_id, None)
        brittle = self._brittle.max_refusals_by_server(service, (server_id,))
        if server_id in brittle or service in self._reported:
            self._tell_ended(
                SlotEnded(
                    service,
                    server_id,
                    request_id,
                    refused and server_id in brittle,
                    slots,
                    brittle.get(server_id, 0),
                )
            )

    def is_wanted(self, service: str, request_id: str) -> bool:
        """Whether a request has asked for a slot."""
        return (service, request_id) in self._wish_by_key

    @property
    def is_awaited(self) -> bool:
        """Whether a request waits for a slot."""
        return bool(self._wish_by_key)

    async def wait(self, seconds: float) -> None:
        """Waits until a request gets an answer, for ``seconds`` at most."""
        with move_on_after(seconds):
            await self._answered.wait()

    def _give_back(self, grant: SlotGrant) -> None:
        if grant.server_id:
            self._tell_ended(
                SlotEnded(grant.service, grant.server_id, grant.request_id)
            )

    def _tell_ended(self, ended: SlotEnded) -> None:
        """Tells the issuers that a request has left its slot."""
        for issuer_id, inbox in self._permits.issuers_of(
            ended.service, TOLD_ISSUERS
        ):
            if issuer_id == self._node_id:
                self._send_grants(self._issuer.end(self._node_id, ended))
            else:
                self._transport.send(inbox, ended)

    async def _report(self) -> None:
        """Tells the issuers which requests are at brittle servers."""
        for service, by_server in list(self._running.items()):
            brittle = self._brittle.max_refusals_by_server(service, by_server)
            if not by_server:
                del self._running[service]
            if not brittle and service not in self._reported:
                continue
            self._reported.discard(service)
            if brittle:
                self._reported.add(service)
            report = SlotReport(
                service,
                tuple(
                    (server_id, tuple(sorted(by_server[server_id])))
                    for server_id in brittle
                ),
            )
            for issuer_id, inbox in self._permits.issuers_of(
                service, TOLD_ISSUERS
            ):
                if issuer_id == self._node_id:
                    self._issuer.report(self._node_id, report)
                else:
                    self._transport.send(inbox, report)

    async def _check(self) -> None:
        """Ends the wishes of requests that are gone."""
        now = self._timer.now()
        for key, wish in list(self._wish_by_key.items()):
            if now - wish.seen_at > WISH_LIFETIME_S:
                self.give_up(*key)
        self._send_grants(self._issuer.check())

    def _note_asked(self, service: str, issuer_id: str) -> None:
        """Passes over an issuer that did not answer again and again."""
        now = self._timer.now()
        first_at, count = self._unanswered.get((service, issuer_id), (now, 0))
        if count >= MAX_UNANSWERED and now - first_at > ANSWER_TIMEOUT_S:
            del self._unanswered[service, issuer_id]
            self._permits.pass_over(service, issuer_id)
            return
        self._unanswered[service, issuer_id] = (first_at, count + 1)

    def _issued_share(self, service: str) -> float:
        """Returns the share of the slots that this process may issue.

        Slots of processes that are not heard are left out before.
        """
        members, registered = self._processes()
        share = self._permits.heard_share() if members >= registered else 1.0
        if not self._permits.is_first_issuer(service):
            share *= NEXT_ISSUER_SHARE
        return share

    def _issuable_slots(self, server_id: str, slots: int) -> int:
        """Returns how many slots belong to the processes that are heard.

        In a fleet that is cut into parts each part uses its own slots. All
        processes agree on them without a message.
        """
        members, registered = self._processes()
        if members >= registered:
            return slots
        if self._issuable_from != (members, registered):
            self._issuable_from = (members, registered)
            self._issuable_by_server = {}
        key = (server_id, slots)
        if key not in self._issuable_by_server:
            self._issuable_by_server[key] = sum(
                owner(f"{server_id}/{number}", registered) in members
                for number in range(slots)
            )
        return self._issuable_by_server[key]

    def _processes(self) -> tuple[frozenset[str], frozenset[str]]:
        """Returns the ids of the processes that are heard, and of all."""
        now = self._timer.now()
        if now >= self._processes_until:
            self._processes_until = now + CHECK_PERIOD_S
            members = frozenset((*self._permits.member_ids(), self._node_id))
            registered = frozenset(self._registered_ids()) | members
            self._known_processes = (members, registered)
        return self._known_processes

    def _send_grants(self, grants: Grants) -> None:
        for holder, grant in grants:
            if holder == self._node_id:
                self._note_grant(grant)
            else:
                inbox = self._permits.inbox_of(holder)
                if inbox:
                    self._transport.send(inbox, grant)

    def _note_grant(self, grant: SlotGrant) -> None:
        """Takes an issuer's answer to a request of this process."""
        wish = self._wish_by_key.get((grant.service, grant.request_id))
        if wish is None:
            self._give_back(grant)
            return
        if grant.server_id or grant.return_s:
            wish.grant = grant
            self._answered.set()
            self._answered = AnyioEvent()

    async def _receive_request(
        self, envelope: Envelope, request: SlotRequest
    ) -> None:
        grant = self._issuer.ask(envelope.sender, request)
        self._transport.send(envelope.reply_to, grant)

    async def _receive_grant(
        self, envelope: Envelope, grant: SlotGrant
    ) -> None:
        self._unanswered.pop((grant.service, envelope.sender), None)
        self._note_grant(grant)

    async def _receive_ended(
        self, envelope: Envelope, ended: SlotEnded
    ) -> None:
        self._send_grants(self._issuer.end(envelope.sender, ended))

    async def _receive_report(
        self, envelope: Envelope, report: SlotReport
    ) -> None:
        self._issuer.report(envelope.sender, report)
