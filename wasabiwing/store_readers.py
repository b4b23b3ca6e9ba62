"""Decides which nodes read the store themselves.

Load pattern: hundreds of nodes, a store that counts every call, and single
nodes that it does not answer, heads of zones among them. The heads read the
store for all. Another node stands in for them once what it knows is too old,
whomever it hears. Nodes do so one after the other, in the order of their
zone's ranking, and a stand-in tells the heads what it reads, so that few nodes
read. None waits for another longer than ``LAST_STAND_IN_AGE_S``.
"""

from enum import StrEnum
from enum import unique
from math import inf
from math import log2

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.store_knowledge import StoreKnowledge
from wasabiwing.timers import TimerService
from wasabiwing.zone_heads import HEAD_SILENCE_S
from wasabiwing.zone_heads import HEADS_PER_ZONE
from wasabiwing.zone_heads import ZoneHeads

# Age of the state after which a node reads the store itself, in seconds: the
# second head, and the first and the last of the other nodes of a zone.
SECOND_HEAD_AGE_S = 1.2
FIRST_STAND_IN_AGE_S = 1.4
LAST_STAND_IN_AGE_S = 1.7

# Age from which knowledge is logged as old, in seconds.
OLD_KNOWLEDGE_S = 2.0

# Interval at which the age of knowledge is checked for the log, in seconds.
KNOWLEDGE_CHECK_PERIOD_S = 0.5


@unique
class ReadReason(StrEnum):
    """Why a node reads the store itself, or does not."""

    FEW_NODES = "few nodes"
    FIRST_HEAD = "first head"
    STANDS_IN = "stands in"
    HEADS_READ = "heads read"


def stand_in_age_s(position: int, count: int) -> float:
    """Returns the age of knowledge in seconds at which a node reads itself.

    ``position`` is its place, from 0, in its zone's ranking of ``count``
    nodes. The number of nodes that read grows exponentially with the age.
    """
    if count <= HEADS_PER_ZONE:
        return FIRST_STAND_IN_AGE_S
    share = log2((position + 1) / HEADS_PER_ZONE) / log2(
        count / HEADS_PER_ZONE
    )
    return FIRST_STAND_IN_AGE_S + max(share, 0.0) * (
        LAST_STAND_IN_AGE_S - FIRST_STAND_IN_AGE_S
    )


class StoreReaders:
    """Tells one node whether it has to read the store."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        heads: ZoneHeads,
        knowledge: StoreKnowledge,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._heads = heads
        self._knowledge = knowledge
        self._stands_in = False
        # Monotonic time of the latest read of a node that comes before this
        # one in the ranking of the zone.
        self._preceding_read_at = -inf
        self._logged_at: float | None = None

    def must_watch(self) -> bool:
        """Whether this node has to read the store itself now."""
        return self.read_reason() is not ReadReason.HEADS_READ

    def is_watch_shared(self) -> bool:
        """Whether other nodes rely on this node's watch."""
        return self.stands_in or self._heads.own_rank() is not None

    @property
    def stands_in(self) -> bool:
        """Whether this node reads the store in place of a head."""
        return self.read_reason() is ReadReason.STANDS_IN

    def note_zone_read(self, reader: str, read_at: float) -> None:
        """Records when a node of this zone has read the store."""
        if self._heads.precedes(reader):
            self._preceding_read_at = max(self._preceding_read_at, read_at)

    def read_reason(self) -> ReadReason:
        """Returns why this node reads the store, or does not."""
        if not self._heads.uses_heads:
            return ReadReason.FEW_NODES
        if self._heads.own_rank() == 0:
            return ReadReason.FIRST_HEAD
        if self._knowledge.age_s() > self.largest_age_s():
            self._stands_in = True
        elif self._timer.now() - self._preceding_read_at <= SECOND_HEAD_AGE_S:
            self._stands_in = False
        if self._stands_in:
            return ReadReason.STANDS_IN
        return ReadReason.HEADS_READ

    def until_read_s(self) -> float:
        """Returns the seconds until this node reads, unless it hears news."""
        return self.largest_age_s() - self._knowledge.age_s()

    def largest_age_s(self) -> float:
        """Returns the age of knowledge in seconds up to which it is used."""
        if self._heads.own_rank() is not None:
            return SECOND_HEAD_AGE_S
        return stand_in_age_s(*self._heads.own_position())

    async def log_old_knowledge(self, version: int | None) -> None:
        """Logs once a second that this node acts on old knowledge.

        ``version`` is that of the configuration in force. Called every
        ``KNOWLEDGE_CHECK_PERIOD_S``.
        """
        age_s = self._knowledge.age_s()
        now = self._timer.now()
        if age_s <= OLD_KNOWLEDGE_S or not self._heads.uses_heads:
            if self._logged_at is not None:
                log_event(
                    Event.STORE_KNOWLEDGE_RENEWED,
                    self._node_id,
                    version=version,
                    source=self._knowledge.source,
                )
            self._logged_at = None
            return
        if self._logged_at is not None and now - self._logged_at < 1.0:
            return
        self._logged_at = now
        log_event(
            Event.STORE_KNOWLEDGE_OLD,
            self._node_id,
            version=version,
            age_s=round(age_s, 2),
            read_age_s=round(self._knowledge.read_age_s(), 2),
            source=self._knowledge.source,
            rank=self._heads.own_rank(),
            hears_head=self._hears_a_head(),
            reads=self.read_reason().value,
            largest_age_s=round(self.largest_age_s(), 2),
        )

    def _hears_a_head(self) -> bool:
        return any(
            self._heads.heard_within(node_id, HEAD_SILENCE_S)
            for node_id in self._heads.heads_of_zone(self._heads.zone)
        )
