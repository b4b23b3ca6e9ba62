"""Digests of requests that crash backend servers.

Both data paths, gateway and node, report crashes and successes here and ask
whether a request is suspected or refused. Crashes, suspicions and quarantines
are facts that all of them share, so crashes seen in different places add up.
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
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.facts import FactRule
from wasabiwing.facts import Facts
from wasabiwing.messages import Fact
from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

CRASH_KIND = "crash"
SUSPICION_KIND = "suspicion"
QUARANTINE_FACT_KIND = "quarantine"

# A suspicion that nothing confirms ends after this time, in seconds.
SUSPICION_LIFETIME_S = 600.0

# Longer than a suspicion, because suspicions are keyed by the crash number,
# which starts again when the fact about the server's crashes has expired.
CRASH_LIFETIME_S = 1200.0

QUARANTINE_LIFETIME_S = 3600.0

# Crashes after which a digest is refused.
CRASHES_TO_QUARANTINE = 2

# Time from the first report of a crash to its judgement, in seconds. By then
# the other requests that ran on the server have been reported as well.
JUDGEMENT_DELAY_S = 0.15
JUDGE_PERIOD_S = 0.05

EXPIRY_PERIOD_S = 5.0

# Digests that are kept for requests that are routed several times.
CACHED_DIGESTS = 1024

DIGEST_BYTES = 16

# Epochs of a suspicion; the larger one holds.
SUSPECTED = 1
CLEARED = 2


class IdentifiedServer(Protocol):
    """A backend server with its address."""

    @property
    def id(self) -> str:
        """Id of the server."""

    @property
    def address(self) -> str:
        """``host:port``."""


ServerT = TypeVar("ServerT", bound=IdentifiedServer)

# Tells whether a backend server answers; see ``server_probe.py``.
Probe = Callable[[str], Awaitable[bool]]


class IdentifiedCall(Protocol):
    """A request with what its repeats have in common."""

    @property
    def request_id(self) -> str:
        """Differs between two repeats."""

    @property
    def digest_scope(self) -> tuple[str, ...]:
        """Who asks for what, the same in all repeats."""

    @property
    def body(self) -> bytes:
        """Body of the request."""


def request_digest(call: IdentifiedCall) -> str:
    """Returns the digest of what all repeats of a request have in common."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in call.digest_scope:
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


class Quarantine(Generic[ServerT]):
    """What one gateway or node knows of requests that crash servers.

    ``note_judged`` gets each digest whose quarantine begins or ends on
    evidence of this process, to be written down.
    """

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        facts: Facts,
        is_leaving: Callable[[ServerT], bool],
        probe: Probe,
        note_judged: Callable[[str], None] = lambda digest: None,
        judge_period_s: float = JUDGE_PERIOD_S,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._facts = facts
        self._is_leaving = is_leaving
        self._probe = probe
        self._note_judged = note_judged
        # Digests that were in crashes which this process has seen.
        self._seen_digests: set[str] = set()
        # Crashes are named by server and number, as "server/number".
        self._crashes_by_digest: dict[str, set[str]] = {}
        self._digests_by_crash: dict[str, set[str]] = {}
        self._suspected_at_by_digest: dict[str, float] = {}
        # Monotonic time at which a crash is judged.
        self._due_by_crash: dict[str, float] = {}
        # Monotonic time at which this gateway heard of the latest crash.
        self._heard_at_by_server: dict[str, float] = {}
        self._digest_by_request: OrderedDict[str, str] = OrderedDict()
        facts.set_rule(CRASH_KIND, FactRule(CRASH_LIFETIME_S))
        facts.set_rule(SUSPICION_KIND, FactRule(SUSPICION_LIFETIME_S))
        facts.set_rule(QUARANTINE_FACT_KIND, FactRule(QUARANTINE_LIFETIME_S))
        facts.subscribe(CRASH_KIND, self._on_crash)
        facts.subscribe(SUSPICION_KIND, self._on_suspicion)
        timer.subscribe(judge_period_s, self._judge_settled)
        timer.subscribe(EXPIRY_PERIOD_S, self._expire)

    def refusal(self, call: IdentifiedCall) -> Failure | None:
        """Returns the refusal of a quarantined request, or ``None``."""
        if not self._facts.all(QUARANTINE_FACT_KIND):
            return None
        digest = self._digest(call)
        if not self._quarantined(digest):
            return None
        return Failure(ResultCode.QUARANTINED, f"digest {digest}")

    def suspect_digest(self, call: IdentifiedCall) -> str:
        """Returns the digest of a suspected request; empty for others."""
        if not self._crashes_by_digest:
            return ""
        digest = self._digest(call)
        return digest if digest in self._crashes_by_digest else ""

    def all_crashes_judged(self, digest: str) -> bool:
        """Whether all crashes of a digest have been judged."""
        crashes = self._crashes_by_digest.get(digest, set())
        return crashes.isdisjoint(self._due_by_crash)

    def crash_count(self, digest: str) -> int:
        """Number of crashes that a digest is suspected of."""
        return len(self._crashes_by_digest.get(digest, ()))

    def is_owner(self, digest: str, server_id: str) -> bool:
        """Whether a server is a suspect's among all that crashed with it.

        All processes agree without a message, so two suspects of different
        gateways do not bring a server down together.
        """
        rivals = {
            other
            for crash in self._crashes_by_digest.get(digest, ())
            for other in self._digests_by_crash.get(crash, ())
            if not self._quarantined(other)
        }
        return rank_members(server_id, sorted(rivals | {digest}))[0] == digest

    def suspicion_age_s(self, digest: str) -> float:
        """Returns the seconds since the newest suspicion of a digest."""
        since = self._suspected_at_by_digest.get(digest, -inf)
        return self._timer.now() - since

    async def note_cut(
        self, call: IdentifiedCall, server: ServerT, started_at: float
    ) -> bool:
        """Takes in that a server cut a request that ran on it.

        ``started_at`` is the monotonic time at which the attempt began.
        Returns whether the server has crashed; one that still answers has
        only cut a connection, and one under notice was stopped.
        """
        if self._is_leaving(server):
            return False
        if await self._probe(server.address):
            return False
        number = self._crash_number(server.id, started_at)
        digest = self._digest(call)
        log_event(
            Event.SERVER_CRASHED,
            self._node_id,
            request=call.request_id,
            server=server.id,
            crash=number,
            digest=digest,
        )
        self._seen_digests.add(digest)
        self._facts.publish(CRASH_KIND, server.id, "", number)
        key = f"{digest}/{server.id}/{number}"
        self._facts.publish(SUSPICION_KIND, key, "", SUSPECTED)
        return True

    def note_success(self, call: IdentifiedCall) -> None:
        """Clears a digest whose request got its whole answer."""
        digest = self.suspect_digest(call)
        for crash in tuple(self._crashes_by_digest.get(digest, ())):
            self._facts.publish(
                SUSPICION_KIND, f"{digest}/{crash}", "cleared", CLEARED
            )
        if digest and self._quarantined(digest):
            self._publish_quarantine(digest, False)

    def _digest(self, call: IdentifiedCall) -> str:
        digest = self._digest_by_request.get(call.request_id)
        if digest is None:
            digest = request_digest(call)
            self._digest_by_request[call.request_id] = digest
            if len(self._digest_by_request) > CACHED_DIGESTS:
                self._digest_by_request.popitem(last=False)
        return digest

    def _crash_number(self, server_id: str, started_at: float) -> int:
        """Returns the number of the crash that ended an attempt.

        An attempt that was running when a crash became known was ended by
        that crash; one that began later was ended by another.
        """
        known = self._facts.get(CRASH_KIND, server_id)
        if known is None:
            return 1
        heard_at = self._heard_at_by_server.get(server_id, started_at)
        return known.epoch + (started_at > heard_at)

    def _on_crash(self, fact: Fact) -> None:
        self._heard_at_by_server[fact.key] = self._timer.now()

    def _on_suspicion(self, fact: Fact) -> None:
        digest, _, crash = fact.key.partition("/")
        if fact.epoch >= CLEARED:
            self._forget(digest, crash)
            return
        self._crashes_by_digest.setdefault(digest, set()).add(crash)
        self._suspected_at_by_digest[digest] = self._timer.now()
        self._digests_by_crash.setdefault(crash, set()).add(digest)
        due = self._timer.now() + JUDGEMENT_DELAY_S
        self._due_by_crash.setdefault(crash, due)

    def _forget(self, digest: str, crash: str) -> None:
        for index, key, value in (
            (self._crashes_by_digest, digest, crash),
            (self._digests_by_crash, crash, digest),
        ):
            values = index.get(key, set())
            values.discard(value)
            if not values:
                index.pop(key, None)

    async def _judge_settled(self) -> None:
        now = self._timer.now()
        for crash, due in tuple(self._due_by_crash.items()):
            if due <= now:
                del self._due_by_crash[crash]
                self._judge(crash)

    def _judge(self, crash: str) -> None:
        """Quarantines the only request that explains repeated crashes.

        If several were in repeated crashes, all of them stay suspects and
        the next crash, on a server with one of them, decides.
        """
        repeated = [
            digest
            for digest in self._digests_by_crash.get(crash, ())
            if self._unexplained(digest) >= CRASHES_TO_QUARANTINE
        ]
        if len(repeated) == 1 and not self._quarantined(repeated[0]):
            self._publish_quarantine(repeated[0], True)

    def _unexplained(self, digest: str) -> int:
        """Counts the crashes of a digest without a quarantined one."""
        return sum(
            not any(
                self._quarantined(other)
                for other in self._digests_by_crash.get(crash, ())
                if other != digest
            )
            for crash in self._crashes_by_digest.get(digest, ())
        )

    def _quarantined(self, digest: str) -> bool:
        fact = self._facts.get(QUARANTINE_FACT_KIND, digest)
        return fact is not None and fact.epoch % 2 == 1

    def _publish_quarantine(self, digest: str, refused: bool) -> None:
        """States a quarantine by an odd epoch and its end by an even one."""
        known = self._facts.get(QUARANTINE_FACT_KIND, digest)
        epoch = known.epoch + 1 if known else 1
        value = "crashes" if refused else "cleared"
        if self._facts.publish(QUARANTINE_FACT_KIND, digest, value, epoch):
            log_event(
                Event.REQUEST_QUARANTINED
                if refused
                else Event.QUARANTINE_ENDED,
                self._node_id,
                digest=digest,
                crashes=sorted(self._crashes_by_digest.get(digest, ())),
            )
        if not refused or digest in self._seen_digests:
            self._note_judged(digest)

    async def _expire(self) -> None:
        """Forgets what the facts hold no longer."""
        held = {
            fact.key
            for fact in self._facts.all(SUSPICION_KIND)
            if fact.epoch < CLEARED
        }
        for digest, crashes in tuple(self._crashes_by_digest.items()):
            for crash in tuple(crashes):
                if f"{digest}/{crash}" not in held:
                    self._forget(digest, crash)
        self._seen_digests.intersection_update(self._crashes_by_digest)
        for digest in tuple(self._suspected_at_by_digest):
            if digest not in self._crashes_by_digest:
                del self._suspected_at_by_digest[digest]
        for server_id in tuple(self._heard_at_by_server):
            if self._facts.get(CRASH_KIND, server_id) is None:
                del self._heard_at_by_server[server_id]
