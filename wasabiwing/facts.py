"""Small monotone facts that controllers, gateways and nodes gossip.

A fact has a kind, a key, a value and an epoch. A merge keeps the larger
(epoch, value), so all nodes converge whatever the order of messages. A new
fact is sent to the linked nodes at once, and each node to which it is new
forwards it. Periodic digest exchange (anti-entropy) repairs missed messages.
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

# Period of the digest exchange with a random linked node, in seconds.
DIGEST_PERIOD_S = 2.0

# Largest number of facts in one message.
MAX_FACTS_PER_MESSAGE = 200

# Largest number of facts of one kind that a node keeps; the fact with the
# smallest epoch is evicted first.
MAX_FACTS_PER_KIND = 5000

Addresses = Callable[[], tuple[str, ...]]
FactCallback = Callable[[Fact], None]


@dataclass(frozen=True, slots=True)
class FactRule:
    """Rule on how long facts of one kind hold."""

    # Lifetime from the publication, in seconds; 0 for no limit.
    lifetime_s: float = 0.0
    # Whether the epoch is a configuration generation and a newer generation in
    # force clears the fact.
    ends_with_generation: bool = False


DEFAULT_RULE = FactRule()


@dataclass(frozen=True, slots=True)
class HeldFact:
    """Fact with the monotonic time at which it expires on this node."""

    fact: Fact
    # Monotonic seconds; ``None`` for a fact that does not expire.
    expires_at: float | None


class Facts:
    """Facts that one node knows, gossiped with its linked nodes."""

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
        # Period in which new facts are collected for one message, in seconds;
        # 0 sends them at once.
        self._batch_period_s = batch_period_s
        # Returns whether this node forwards facts that it received.
        self._forwards = forwards
        # New facts with their sender's address, empty for own facts.
        self._unsent: list[tuple[Fact, str]] = []
        self._known_links: frozenset[str] = frozenset()
        self._rule_by_kind: dict[str, FactRule] = {}
        self._held_by_kind: dict[str, dict[str, HeldFact]] = {}
        self._callbacks_by_kind: dict[str, list[FactCallback]] = {}
        self._generation = 0

    def set_rule(self, kind: str, rule: FactRule) -> None:
        """Sets the rule of a kind of facts; all nodes must set the same."""
        self._rule_by_kind[kind] = rule

    def publish(self, kind: str, key: str, value: str, epoch: int) -> bool:
        """Publishes a fact; returns whether it was new on this node."""
        rule = self._rule_by_kind.get(kind, DEFAULT_RULE)
        fact = Fact(kind, key, value, epoch, rule.lifetime_s)
        return self._merge_all((fact,), "")

    def get(self, kind: str, key: str) -> Fact | None:
        """Returns the unexpired fact with a kind and key, or ``None``."""
        held = self._held_by_kind.get(kind, {}).get(key)
        if held is None or self._is_expired(held):
            return None
        return held.fact

    def all(self, kind: str) -> tuple[Fact, ...]:
        """Returns all unexpired facts of a kind, sorted by key."""
        held_by_key = self._held_by_kind.get(kind, {})
        return tuple(
            held.fact
            for _, held in sorted(held_by_key.items())
            if not self._is_expired(held)
        )

    def subscribe(self, kind: str, callback: FactCallback) -> None:
        """Registers a callback for each new or changed fact of a kind."""
        self._callbacks_by_kind.setdefault(kind, []).append(callback)

    def set_generation(self, generation: int) -> None:
        """Drops the facts that a newer configuration generation ends."""
        self._generation = max(generation, self._generation)
        self._drop_ended()

    def register(self, router: MessageRouter) -> None:
        """Registers the handlers of messages about facts, and the timers."""
        router.register(FactNotice, self._on_notice)
        router.register(FactDigest, self._on_digest)
        self._timer.subscribe(DIGEST_PERIOD_S, self._send_digest)
        if self._batch_period_s:
            self._timer.subscribe(self._batch_period_s, self._send_batch)

    def _is_expired(self, held: HeldFact) -> bool:
        if held.expires_at is None:
            return False
        return held.expires_at <= self._timer.now()

    def _is_ended(self, fact: Fact) -> bool:
        rule = self._rule_by_kind.get(fact.kind, DEFAULT_RULE)
        return rule.ends_with_generation and fact.epoch < self._generation

    def _drop_ended(self) -> None:
        for kind, held_by_key in self._held_by_kind.items():
            self._held_by_kind[kind] = {
                key: held
                for key, held in held_by_key.items()
                if not self._is_expired(held) and not self._is_ended(held.fact)
            }

    def _merge_all(self, facts: tuple[Fact, ...], sender: str) -> bool:
        """Merges facts and forwards the new ones, but not to their sender.

        Returns whether any fact was new on this node.
        """
        new_facts = tuple(fact for fact in facts if self._merge(fact))
        if not new_facts:
            return False
        if not sender or self._forwards():
            self._unsent.extend((fact, sender) for fact in new_facts)
            if not self._batch_period_s:
                self._send_new_facts()
        for fact in new_facts:
            for callback in self._callbacks_by_kind.get(fact.kind, ()):
                callback(fact)
        return True

    async def _send_batch(self) -> None:
        if self._unsent:
            self._send_new_facts()
        addresses = frozenset(self._link_addresses())
        for address in sorted(addresses - self._known_links):
            # Both nodes may hold facts from before they were linked.
            self._transport.send(address, FactDigest(self._digest()))
        self._known_links = addresses

    def _send_new_facts(self) -> None:
        """Sends unsent facts to linked nodes, except back to the sender."""
        unsent, self._unsent = self._unsent, []
        addresses = (*self._link_addresses(), *self._gateway_addresses())
        for address in addresses:
            facts = tuple(fact for fact, sender in unsent if sender != address)
            self._send(address, facts)

    def _merge(self, fact: Fact) -> bool:
        if self._is_ended(fact):
            return False
        held_by_key = self._held_by_kind.setdefault(fact.kind, {})
        held = held_by_key.get(fact.key)
        if held is not None and not self._is_expired(held):
            known = (held.fact.epoch, held.fact.value)
            if (fact.epoch, fact.value) <= known:
                return False
        # The remaining lifetime only falls from node to node, so a fact that
        # expired on one node is not kept alive by the others.
        lifetime_s = fact.remaining_s
        expires_at = self._timer.now() + lifetime_s if lifetime_s else None
        held_by_key[fact.key] = HeldFact(fact, expires_at)
        if len(held_by_key) > MAX_FACTS_PER_KIND:
            oldest = min(
                held_by_key.values(), key=lambda item: item.fact.epoch
            )
            del held_by_key[oldest.fact.key]
        return True

    def _current_facts(self) -> tuple[Fact, ...]:
        """Returns all held facts with their remaining lifetimes."""
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

    async def _send_digest(self) -> None:
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
        self._send(envelope.reply_to, self._current_facts())
        if envelope.correlation_id == 0:
            # The sender may hold facts that are missing here, because a
            # gateway outlives its controller. Correlation id 1 marks the
            # reply, so that it is not answered in turn.
            digest = FactDigest(self._digest())
            self._transport.send(envelope.reply_to, digest, 1)

    async def _on_notice(self, envelope: Envelope, notice: FactNotice) -> None:
        self._merge_all(notice.facts, envelope.reply_to)
