"""Decides which nodes read the store themselves.

Load pattern: hundreds of nodes and a store that counts every call. The heads
of zones read the store for all; another node reads it only while its own
knowledge is old.
"""

from enum import StrEnum
from enum import unique
from random import Random

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.store_knowledge import StoreKnowledge
from wasabiwing.timers import TimerService
from wasabiwing.zone_heads import HEAD_SILENCE_S
from wasabiwing.zone_heads import ZoneHeads

# Age of the state after which a node reads the store itself, in seconds: the
# second head, a node that gets no pushes, and a node whose pushes bring
# nothing newer.
SECOND_HEAD_STALE_S = 1.0
UNHEARD_STALE_S = 1.5
HEARD_STALE_S = 2.5

# Jitter that is added to the last of these on each node, in seconds.
HEARD_STALE_JITTER_S = 5.0

# Age from which knowledge is logged as old, in seconds.
OLD_KNOWLEDGE_S = 2.0

# Interval at which the age of knowledge is checked for the log, in seconds.
KNOWLEDGE_CHECK_PERIOD_S = 0.5


@unique
class ReadReason(StrEnum):
    """Why a node reads the store itself, or does not."""

    FEW_NODES = "few nodes"
    FIRST_HEAD = "first head"
    OLD_KNOWLEDGE = "old knowledge"
    HEADS_READ = "heads read"


class StoreReaders:
    """Tells one node whether it has to read the store."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        heads: ZoneHeads,
        knowledge: StoreKnowledge,
        random: Random,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._heads = heads
        self._knowledge = knowledge
        # Jitter: nodes that get pushes do not all read the store at once.
        self._heard_stale_s = HEARD_STALE_S + random.uniform(
            0.0, HEARD_STALE_JITTER_S
        )
        self._logged_at: float | None = None

    def must_watch(self) -> bool:
        """Whether this node has to read the store itself now."""
        return self.read_reason() is not ReadReason.HEADS_READ

    def is_watch_shared(self) -> bool:
        """Whether other nodes rely on this node's watch."""
        return self._heads.own_rank() is not None

    def read_reason(self) -> ReadReason:
        """Returns why this node reads the store, or does not."""
        if not self._heads.uses_heads:
            return ReadReason.FEW_NODES
        if self._heads.own_rank() == 0:
            return ReadReason.FIRST_HEAD
        if self._knowledge.age_s() > self.largest_age_s():
            return ReadReason.OLD_KNOWLEDGE
        return ReadReason.HEADS_READ

    def largest_age_s(self) -> float:
        """Returns the age of knowledge in seconds up to which it is used."""
        if self._heads.own_rank() is not None:
            return SECOND_HEAD_STALE_S
        return self._heard_stale_s if self._hears_a_head() else UNHEARD_STALE_S

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
