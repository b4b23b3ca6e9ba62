"""Small monotone facts that controllers and gateways share by gossip.

A fact is (kind, key, value, epoch). Merging takes the larger (epoch, value),
so all nodes agree whatever the order of messages. A new fact is sent to the
linked nodes at once and passed on by each node to which it is new; digests
are compared from time to time, so a node that missed it gets it later.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from msgspec.structs import replace
from xxhash import xxh64_intdigest

from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import Fact
from wasabiwing.messages import FactDigest
from wasabiwing.messages import FactNotice
from wasabiwing.ports import Transport
from wasabiwing.timers import TimerService

# Period of comparing facts with one linked node.
COMPARE_PERIOD_S = 2.0

# Facts in one message.
MAX_FACTS_PER_MESSAGE = 200

# Facts of one kind that a node keeps; the oldest epochs are dropped first.
MAX_FACTS_PER_KIND = 5000

Addresses = Callable[[], tuple[str, ...]]
FactCallback = Callable[[Fact], None]


@dataclass(frozen=True, slots=True)
class FactRule:
    """How long facts of one kind hold."""

    # Lifetime from the publication, in seconds; 0 for no limit.
    lifetime_s: float = 0.0
    # Whether the epoch is a configuration generation, and a newer generation
    # in force clears the fact.
    ends_with_generation: bool = False


DEFAULT_RULE = FactRule()


@dataclass(frozen=True, slots=True)
class HeldFact:
    """A fact with the monotonic time at which it expires here."""

    fact: Fact
    # ``None`` for a fact without a limit.
    expires_at: float | None


class Facts:
    """The facts that one node knows."""

    def __init__(
        self,
        timer: TimerService,
        transport: Transport,
        random: Random,
        link_addresses: Addresses,
        gateway_addresses: Addresses = tuple,
        batch_period_s: float = 0.0,
        forwards: Callable[[], bool] = lambda: True,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._random = random
        self._link_addresses = link_addresses
        self._gateway_addresses = gateway_addresses
        # Period in which news are collected for one message, in seconds; 0
        # sends them at once.
        self._batch_s = batch_period_s
        # Whether other nodes learn from this one what it was told.
        self._passes_on = forwards
        # News with their sender; the sender is empty for own facts.
        self._unsent: list[tuple[Fact, str]] = []
        self._known_links: frozenset[str] = frozenset()
        self._rule_by_kind: dict[str, FactRule] = {}
        self._held_by_kind: dict[str, dict[str, HeldFact]] = {}
        self._callbacks_by_kind: dict[str, list[FactCallback]] = {}
        self._generation = 0

    def set_rule(self, kind: str, rule: FactRule) -> None:
        """Says how long facts of a kind hold; the same on all nodes."""
        self._rule_by_kind[kind] = rule

    def publish(self, kind: str, key: str, value: str, epoch: int) -> bool:
        """States a fact; returns whether it was news here."""
        rule = self._rule_by_kind.get(kind, DEFAULT_RULE)
        fact = Fact(kind, key, value, epoch, rule.lifetime_s)
        return self._take((fact,), "")

    def get(self, kind: str, key: str) -> Fact | None:
        """Returns the fact that holds about a key."""
        held = self._held_by_kind.get(kind, {}).get(key)
        if held is None or self._expired(held):
            return None
        return held.fact

    def all(self, kind: str) -> tuple[Fact, ...]:
        """Returns all facts of a kind that hold, by key."""
        held_by_key = self._held_by_kind.get(kind, {})
        return tuple(
            held.fact
            for _, held in sorted(held_by_key.items())
            if not self._expired(held)
        )

    def subscribe(self, kind: str, callback: FactCallback) -> None:
        """Calls ``callback`` with each new or changed fact of a kind."""
        self._callbacks_by_kind.setdefault(kind, []).append(callback)

    def set_generation(self, generation: int) -> None:
        """Clears the facts that a newer configuration ends."""
        self._generation = max(generation, self._generation)
        self._drop_ended()

    def register(self, router: MessageRouter) -> None:
        """Takes over the messages about facts."""
        router.register(FactNotice, self._on_notice)
        router.register(FactDigest, self._on_digest)
        self._timer.subscribe(COMPARE_PERIOD_S, self._compare)
        if self._batch_s:
            self._timer.subscribe(self._batch_s, self._send_unsent)

    def _expired(self, held: HeldFact) -> bool:
        if held.expires_at is None:
            return False
        return held.expires_at <= self._timer.now()

    def _ended(self, fact: Fact) -> bool:
        rule = self._rule_by_kind.get(fact.kind, DEFAULT_RULE)
        return rule.ends_with_generation and fact.epoch < self._generation

    def _drop_ended(self) -> None:
        for kind, held_by_key in self._held_by_kind.items():
            self._held_by_kind[kind] = {
                key: held
                for key, held in held_by_key.items()
                if not self._expired(held) and not self._ended(held.fact)
            }

    def _take(self, facts: tuple[Fact, ...], sender: str) -> bool:
        """Merges facts and passes the news on, but not to the sender."""
        news = tuple(fact for fact in facts if self._merge(fact))
        if not news:
            return False
        if not sender or self._passes_on():
            self._unsent.extend((fact, sender) for fact in news)
            if not self._batch_s:
                self._spread()
        for fact in news:
            for callback in self._callbacks_by_kind.get(fact.kind, ()):
                callback(fact)
        return True

    async def _send_unsent(self) -> None:
        if self._unsent:
            self._spread()
        addresses = frozenset(self._link_addresses())
        for address in sorted(addresses - self._known_links):
            # Either side may hold facts from before they were linked.
            self._transport.send(address, FactDigest(self._digest()))
        self._known_links = addresses

    def _spread(self) -> None:
        """Tells the linked nodes what is new, but not where it came from."""
        unsent, self._unsent = self._unsent, []
        addresses = (*self._link_addresses(), *self._gateway_addresses())
        for address in addresses:
            facts = tuple(fact for fact, sender in unsent if sender != address)
            self._send(address, facts)

    def _merge(self, fact: Fact) -> bool:
        if self._ended(fact):
            return False
        held_by_key = self._held_by_kind.setdefault(fact.kind, {})
        held = held_by_key.get(fact.key)
        if held is not None:
            known = (held.fact.epoch, held.fact.value)
            if (fact.epoch, fact.value) <= known:
                return False
        # The remaining time only ever falls on its way, so a fact that
        # expired on one node is not kept alive by the others.
        limit = fact.remaining_s
        expires_at = self._timer.now() + limit if limit else None
        held_by_key[fact.key] = HeldFact(fact, expires_at)
        if len(held_by_key) > MAX_FACTS_PER_KIND:
            oldest = min(
                held_by_key.values(), key=lambda item: item.fact.epoch
            )
            del held_by_key[oldest.fact.key]
        return True

    def _sendable(self) -> tuple[Fact, ...]:
        """Returns all facts with their remaining lifetimes."""
        self._drop_ended()
        now = self._timer.now()
        return tuple(
            held.fact
            if held.expires_at is None
            else replace(held.fact, remaining_s=held.expires_at - now)
            for held_by_key in self._held_by_kind.values()
            for held in held_by_key.values()
        )

    def _digest(self) -> int:
        self._drop_ended()
        digest = 0
        for held_by_key in self._held_by_kind.values():
            for held in held_by_key.values():
                fact = held.fact
                text = f"{fact.kind}\0{fact.key}\0{fact.value}\0{fact.epoch}"
                digest ^= xxh64_intdigest(text.encode())
        return digest

    def _send(self, address: str, facts: tuple[Fact, ...]) -> None:
        for start in range(0, len(facts), MAX_FACTS_PER_MESSAGE):
            part = facts[start : start + MAX_FACTS_PER_MESSAGE]
            self._transport.send(address, FactNotice(part))

    async def _compare(self) -> None:
        addresses = self._link_addresses()
        if addresses:
            self._transport.send(
                self._random.choice(addresses), FactDigest(self._digest())
            )

    async def _on_digest(
        self, envelope: Envelope, message: FactDigest
    ) -> None:
        if message.digest == self._digest():
            return
        self._send(envelope.reply_to, self._sendable())
        if envelope.correlation_id == 0:
            # The sender may hold facts that are missing here: a gateway
            # outlives its controller. The number keeps the answer from
            # being answered in turn.
            digest = FactDigest(self._digest())
            self._transport.send(envelope.reply_to, digest, 1)

    async def _on_notice(self, envelope: Envelope, notice: FactNotice) -> None:
        self._take(notice.facts, envelope.reply_to)
