"""Detection and refusal of requests that crash backend servers.

The data paths of gateway and node report crashes and successes here and ask
whether a request is suspected or refused. A request is identified by a digest
of its content. Crashes, suspicions and quarantines are facts that processes
share by gossip, so crashes seen by different processes add up.
``docs/design/quarantine.md`` gives the rules and their reasons.
"""

from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from hashlib import blake2b
from math import inf
from typing import Generic
from typing import Protocol
from typing import TypeVar

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.crashing_parts import CrashingParts
from wasabiwing.crashing_parts import has_answer_settled
from wasabiwing.crashing_parts import part_keys
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.facts import FactRule
from wasabiwing.facts import Facts
from wasabiwing.messages import Fact
from wasabiwing.quarantine_facts import is_quarantined
from wasabiwing.quarantine_facts import publish_quarantine
from wasabiwing.quarantine_facts import QUARANTINE_FACT_KIND
from wasabiwing.quarantine_facts import QUARANTINE_RULE
from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService
from wasabiwing.unproved_crashes import CutRequest
from wasabiwing.unproved_crashes import UnprovedCut
from wasabiwing.unproved_crashes import UnprovedCuts

CRASH_FACT_KIND = "crash"
SUSPICION_FACT_KIND = "suspicion"

# Lifetime of a suspicion that leads to no quarantine, in seconds.
SUSPICION_LIFETIME_S = 600.0

# Lifetime of the fact that counts a server's crashes, in seconds. It is longer
# than that of a suspicion: suspicions are keyed by the crash number, which
# restarts at 1 when the count has expired.
CRASH_LIFETIME_S = 1200.0

# Number of unexplained crashes after which a digest is quarantined.
CRASHES_TO_QUARANTINE = 2

# Delay from the first report of a crash to its judgement, in seconds. Within
# it the other requests that ran on the server are reported as well.
JUDGEMENT_DELAY_S = 0.15
JUDGE_PERIOD_S = 0.05

EXPIRY_PERIOD_S = 5.0

# Digests that are cached, because a request may be routed several times.
MAX_CACHED_DIGESTS = 1024

DIGEST_BYTES = 16

# Value of the suspicion of a request whose answer had begun. It ran beside the
# crash more likely than it caused it.
ANSWERED_VALUE = "answered"

# Epochs of a suspicion fact; the larger epoch wins.
SUSPECTED_EPOCH = 1
CLEARED_EPOCH = 2


class IdentifiedServer(Protocol):
    """Backend server with an id and an address."""

    @property
    def id(self) -> str:
        """Id of the backend server."""

    @property
    def address(self) -> str:
        """Address of the backend server, as ``host:port``."""


ServerT = TypeVar("ServerT", bound=IdentifiedServer)

# Returns whether the backend server at an address still answers, or ``None``
# if this process cannot tell; see ``server_probe.py``.
Probe = Callable[[str], Awaitable[bool | None]]


class IdentifiedCall(Protocol):
    """Request whose repeats can be recognised by their digest."""

    @property
    def request_id(self) -> str:
        """Id of the request; each repeat of a request has its own."""

    @property
    def digest_scope(self) -> tuple[str, ...]:
        """Texts that the digest covers, equal in all repeats of a request."""

    @property
    def body(self) -> bytes:
        """Body of the request."""

    @property
    def prompt_scope(self) -> str:
        """Service or pool within which equal parts are compared."""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may have too."""


def request_digest(call: IdentifiedCall) -> str:
    """Returns the digest that all repeats of a request share."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in call.digest_scope:
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


class Quarantine(Generic[ServerT]):
    """Suspicions and quarantines known to one gateway or node.

    ``store_verdict`` is called with each digest or part whose quarantine
    begins or ends on evidence of this process, so that the verdict can be
    stored. ``count_refusal`` is called with the part for which a request is
    refused. ``has_ended`` tells whether the registry shows that the process
    of a server has ended.
    """

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        facts: Facts,
        is_leaving: Callable[[ServerT], bool],
        probe: Probe,
        store_verdict: Callable[[str], None] = lambda digest: None,
        judge_period_s: float = JUDGE_PERIOD_S,
        count_refusal: Callable[[str], None] = lambda part: None,
        has_ended: Callable[[ServerT], bool] = lambda server: False,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._facts = facts
        self.is_leaving = is_leaving
        self._probe = probe
        self._store_verdict = store_verdict
        self._has_ended = has_ended
        self._unproved_cuts: UnprovedCuts[ServerT] = UnprovedCuts()
        # Digests of requests that this process saw end with a crash.
        self._locally_seen_digests: set[str] = set()
        # A crash is identified by server id and number, "server/number".
        self._crashes_by_digest: dict[str, set[str]] = {}
        # Digests of requests whose answers had begun at their crashes.
        self._answered_digests: set[str] = set()
        self._digests_by_crash: dict[str, set[str]] = {}
        self._suspected_at_by_digest: dict[str, float] = {}
        # Monotonic time from which a crash is judged, by crash.
        self._due_at_by_crash: dict[str, float] = {}
        # Monotonic time at which this process learned of a server's latest
        # crash.
        self._crash_heard_at_by_server: dict[str, float] = {}
        self._digest_by_request: OrderedDict[str, str] = OrderedDict()
        facts.set_rule(CRASH_FACT_KIND, FactRule(CRASH_LIFETIME_S))
        facts.set_rule(SUSPICION_FACT_KIND, FactRule(SUSPICION_LIFETIME_S))
        facts.set_rule(QUARANTINE_FACT_KIND, QUARANTINE_RULE)
        facts.subscribe(CRASH_FACT_KIND, self._on_crash)
        facts.subscribe(SUSPICION_FACT_KIND, self._on_suspicion)
        self.parts = CrashingParts(
            node_id,
            timer,
            facts,
            judge_period_s,
            store_verdict,
            count_refusal,
        )
        timer.subscribe(judge_period_s, self._judge_due_crashes)
        timer.subscribe(judge_period_s, self._report_proved_crashes)
        timer.subscribe(EXPIRY_PERIOD_S, self._expire)

    def refusal(self, call: IdentifiedCall) -> Failure | None:
        """Returns the refusal of a quarantined request, or ``None``."""
        if not self._facts.all(QUARANTINE_FACT_KIND):
            return None
        digest = self._digest(call)
        if self._is_quarantined(digest):
            return Failure(ResultCode.QUARANTINED, f"digest {digest}")
        part = self.parts.refused_part(call)
        if part:
            return Failure(ResultCode.QUARANTINED, part)
        return None

    def suspect_digest(self, call: IdentifiedCall) -> str:
        """Returns the digest of a suspected request; empty for others.

        A request is no suspect if parts of other prompts explain all of its
        crashes, or if its only crash came after its answer had begun.
        """
        digest = self._known_digest(call)
        if not digest:
            return ""
        crashes = self._crashes_by_digest[digest]
        if len(crashes) == 1 and digest in self._answered_digests:
            return ""
        if crashes <= self.parts.explained_crashes():
            return ""
        return digest

    def _known_digest(self, call: IdentifiedCall) -> str:
        """Returns the digest of a request that was in crashes, or empty."""
        if not self._crashes_by_digest:
            return ""
        digest = self._digest(call)
        return digest if digest in self._crashes_by_digest else ""

    def all_crashes_judged(self, digest: str) -> bool:
        """Whether all crashes with a digest have been judged."""
        crashes = self._crashes_by_digest.get(digest, set())
        return crashes.isdisjoint(self._due_at_by_crash)

    def crash_count(self, digest: str) -> int:
        """Returns the number of crashes that a digest is suspected of."""
        return len(self._crashes_by_digest.get(digest, ()))

    def is_owner(self, digest: str, server_id: str) -> bool:
        """Whether a server is assigned to a digest among its fellow suspects.

        Rendezvous hashing assigns each server to one of the digests that
        were in the same crashes. All processes compute the same assignment
        without a message, so two suspects at different gateways never crash
        one server together.
        """
        candidates = {
            other
            for crash in self._crashes_by_digest.get(digest, ())
            for other in self._digests_by_crash.get(crash, ())
            if not self._is_quarantined(other)
        }
        return (
            rank_members(server_id, sorted(candidates | {digest}))[0] == digest
        )

    def suspicion_age_s(self, digest: str) -> float:
        """Returns the seconds since the newest suspicion of a digest."""
        suspected_at = self._suspected_at_by_digest.get(digest, -inf)
        return self._timer.now() - suspected_at

    async def note_cut(
        self,
        call: IdentifiedCall,
        server: ServerT,
        started_at: float,
        answer_began_at: float | None = None,
    ) -> bool:
        """Handles a connection that a server cut while it ran a request.

        ``started_at`` is the monotonic time at which the attempt began,
        ``answer_began_at`` that of its first event, ``None`` without one.
        Returns whether the server has crashed, or may have: a server that
        still answers has only cut a connection, and a leaving server was
        stopped.
        """
        if self.is_leaving(server):
            return False
        # The probe may take longer than an answer to settle.
        cut_at = self._timer.now()
        settled = has_answer_settled(answer_began_at, cut_at)
        if not settled:
            self.parts.withdraw_clearance(call)
        runs = await self._probe(server.address)
        if runs:
            return False
        cut = UnprovedCut(
            CutRequest(
                call.request_id,
                call.prompt_scope,
                call.shared_parts,
                self._digest(call),
                started_at,
                answer_began_at is not None,
                settled,
            ),
            server,
            cut_at,
            self._latest_crash(server.id),
        )
        if runs is None:
            log_event(
                Event.SERVER_CRASH_UNPROVED,
                self._node_id,
                request=call.request_id,
                server=server.id,
                digest=cut.request.digest,
            )
            self._unproved_cuts.add(cut)
        else:
            self._report_crash(cut)
        return True

    def _report_crash(self, cut: UnprovedCut[ServerT]) -> None:
        """Tells all processes that a server crashed and what ran on it."""
        request = cut.request
        server_id = cut.server.id
        number = self._crash_number(server_id, request.started_at)
        log_event(
            Event.SERVER_CRASHED,
            self._node_id,
            request=request.request_id,
            server=server_id,
            crash=number,
            digest=request.digest,
            parts=part_keys(request),
            answer_began=request.answer_began,
        )
        self._locally_seen_digests.add(request.digest)
        self._facts.publish(CRASH_FACT_KIND, server_id, "", number)
        key = f"{request.digest}/{server_id}/{number}"
        self._facts.publish(
            SUSPICION_FACT_KIND,
            key,
            ANSWERED_VALUE if request.answer_settled else "",
            SUSPECTED_EPOCH,
        )
        self.parts.note_crash(
            request,
            f"{server_id}/{number}",
            request.digest,
            request.answer_settled,
        )

    async def _report_proved_crashes(self) -> None:
        """Reports crashes that were unproved when they cut a request."""
        if not self._unproved_cuts:
            return
        for cut in self._unproved_cuts.take_proved(
            self._timer.now(),
            lambda cut: (
                self._has_ended(cut.server)
                or self._latest_crash(cut.server.id) > cut.known_crash
            ),
            lambda cut: self.is_leaving(cut.server),
        ):
            self._report_crash(cut)

    def note_answer_began(self, call: IdentifiedCall) -> None:
        """Handles the first event of an answer that a server computes."""
        self.parts.note_answer_began(call)

    def note_success(self, call: IdentifiedCall) -> None:
        """Clears a suspected digest after a request got its whole answer."""
        if self._unproved_cuts:
            self._unproved_cuts.drop(self._digest(call))
        digest = self._known_digest(call)
        for crash in tuple(self._crashes_by_digest.get(digest, ())):
            self._facts.publish(
                SUSPICION_FACT_KIND,
                f"{digest}/{crash}",
                "cleared",
                CLEARED_EPOCH,
            )
        if digest and self._is_quarantined(digest):
            self._publish_quarantine(digest, False)

    def _digest(self, call: IdentifiedCall) -> str:
        digest = self._digest_by_request.get(call.request_id)
        if digest is None:
            digest = request_digest(call)
            self._digest_by_request[call.request_id] = digest
            if len(self._digest_by_request) > MAX_CACHED_DIGESTS:
                self._digest_by_request.popitem(last=False)
        return digest

    def _latest_crash(self, server_id: str) -> int:
        """Returns the number of a server's latest known crash, or 0."""
        known = self._facts.get(CRASH_FACT_KIND, server_id)
        return 0 if known is None else known.epoch

    def _crash_number(self, server_id: str, started_at: float) -> int:
        """Returns the number of the server's crash that ended an attempt.

        An attempt that was running when the latest crash became known was
        ended by that crash; an attempt that began later was ended by a new
        one.
        """
        known = self._facts.get(CRASH_FACT_KIND, server_id)
        if known is None:
            return 1
        heard_at = self._crash_heard_at_by_server.get(server_id, started_at)
        return known.epoch + (started_at > heard_at)

    def _on_crash(self, fact: Fact) -> None:
        self._crash_heard_at_by_server[fact.key] = self._timer.now()

    def _on_suspicion(self, fact: Fact) -> None:
        digest, _, crash = fact.key.partition("/")
        if fact.epoch >= CLEARED_EPOCH:
            self._remove_suspicion(digest, crash)
            return
        if fact.value != ANSWERED_VALUE:
            self._answered_digests.discard(digest)
        elif digest not in self._crashes_by_digest:
            self._answered_digests.add(digest)
        self._crashes_by_digest.setdefault(digest, set()).add(crash)
        self._suspected_at_by_digest[digest] = self._timer.now()
        self._digests_by_crash.setdefault(crash, set()).add(digest)
        due_at = self._timer.now() + JUDGEMENT_DELAY_S
        self._due_at_by_crash.setdefault(crash, due_at)

    def _remove_suspicion(self, digest: str, crash: str) -> None:
        for index, key, value in (
            (self._crashes_by_digest, digest, crash),
            (self._digests_by_crash, crash, digest),
        ):
            values = index.get(key, set())
            values.discard(value)
            if not values:
                index.pop(key, None)

    async def _judge_due_crashes(self) -> None:
        now = self._timer.now()
        for crash, due_at in tuple(self._due_at_by_crash.items()):
            if due_at <= now:
                del self._due_at_by_crash[crash]
                self._judge(crash)

    def _judge(self, crash: str) -> None:
        """Quarantines the only digest in a crash that explains repeated ones.

        If several digests were in repeated crashes, all of them stay
        suspected. They run on separate servers from then on, so the next
        crash decides.
        """
        repeated = [
            digest
            for digest in self._digests_by_crash.get(crash, ())
            if self._unexplained_crashes(digest) >= CRASHES_TO_QUARANTINE
        ]
        if len(repeated) == 1 and not self._is_quarantined(repeated[0]):
            self._publish_quarantine(repeated[0], True)

    def _unexplained_crashes(self, digest: str) -> int:
        """Counts crashes with a digest that nothing else explains.

        A quarantined other digest explains them, or a quarantined part.
        """
        explained = self.parts.explained_crashes()
        return sum(
            crash not in explained
            and not any(
                self._is_quarantined(other)
                for other in self._digests_by_crash.get(crash, ())
                if other != digest
            )
            for crash in self._crashes_by_digest.get(digest, ())
        )

    def _is_quarantined(self, digest: str) -> bool:
        return is_quarantined(self._facts, digest)

    def _publish_quarantine(self, digest: str, begins: bool) -> None:
        """Publishes a quarantine (odd epoch) or its end (even epoch)."""
        value = "crashes" if begins else "cleared"
        if publish_quarantine(self._facts, digest, begins, value):
            log_event(
                Event.REQUEST_QUARANTINED
                if begins
                else Event.QUARANTINE_ENDED,
                self._node_id,
                digest=digest,
                crashes=sorted(self._crashes_by_digest.get(digest, ())),
            )
        if not begins or digest in self._locally_seen_digests:
            self._store_verdict(digest)

    async def _expire(self) -> None:
        """Drops state about suspicions and crashes whose facts expired."""
        held_keys = {
            fact.key
            for fact in self._facts.all(SUSPICION_FACT_KIND)
            if fact.epoch < CLEARED_EPOCH
        }
        for digest, crashes in tuple(self._crashes_by_digest.items()):
            for crash in tuple(crashes):
                if f"{digest}/{crash}" not in held_keys:
                    self._remove_suspicion(digest, crash)
        self._locally_seen_digests.intersection_update(self._crashes_by_digest)
        self._answered_digests.intersection_update(self._crashes_by_digest)
        for digest in tuple(self._suspected_at_by_digest):
            if digest not in self._crashes_by_digest:
                del self._suspected_at_by_digest[digest]
        for server_id in tuple(self._crash_heard_at_by_server):
            if self._facts.get(CRASH_FACT_KIND, server_id) is None:
                del self._crash_heard_at_by_server[server_id]
