"""Chooses a zone's heads, which read the store and aggregate reports.

Load pattern: hundreds of small nodes that all need the same state. Two heads
in each zone, chosen from the largest VMs, read the store and aggregate the
reports of the nodes; all other nodes get both from them. A node that hears
nothing from a head skips that head at once, without any agreement between
nodes: a surplus head only duplicates messages, and without heads the nodes
read the store themselves.
"""

from collections.abc import Callable
from collections.abc import Sequence

from wasabiwing.node_registry import NodeRecord
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

# Largest deployment, in nodes, in which each node sends to all others and
# reads the store itself.
MAX_FULL_MESH_NODES = 13

# Number of heads in a zone.
HEADS_PER_ZONE = 2

# A head is skipped when nothing was heard from it for this long, in seconds:
# three of its messages are missing.
HEAD_SILENCE_S = 1.5


def rank_nodes(zone: str, records: Sequence[NodeRecord]) -> list[str]:
    """Returns the nodes of a zone, the most suitable head first.

    Large VMs come first; among equals a stable hash decides, so that all
    nodes agree.
    """
    hash_rank_by_id = {
        node_id: hash_rank
        for hash_rank, node_id in enumerate(
            rank_members(zone, [record.id for record in records])
        )
    }
    ordered = sorted(
        records,
        key=lambda record: (-record.capacity, hash_rank_by_id[record.id]),
    )
    return [record.id for record in ordered]


def choose_heads(
    ranking: Sequence[str], is_silent: Callable[[str], bool]
) -> tuple[str, ...]:
    """Returns the first nodes of a ranking that are not silent.

    ``is_silent`` is not called for nodes that rank below the chosen ones.
    """
    heads: list[str] = []
    for node_id in ranking:
        if len(heads) == HEADS_PER_ZONE:
            break
        if not is_silent(node_id):
            heads.append(node_id)
    return tuple(heads)


class ZoneHeads:
    """The heads of all zones, as one node sees them."""

    def __init__(
        self, record: NodeRecord, timer: TimerService, nodes: NodeRegistry
    ) -> None:
        self._record = record
        self._timer = timer
        self._nodes = nodes
        self._heard_at_by_node: dict[str, float] = {}
        # Time since which a node is expected to act as a head, and time of
        # the last check of its silence.
        self._expected_since_by_node: dict[str, float] = {}
        self._checked_at_by_node: dict[str, float] = {}
        # Ranking by zone, with the nodes that it was made from.
        self._ranking_by_zone: dict[str, tuple[list[str], list[str]]] = {}

    @property
    def uses_heads(self) -> bool:
        """Whether there are too many nodes for a full mesh."""
        return self._nodes.count > MAX_FULL_MESH_NODES

    @property
    def zone(self) -> str:
        """This node's zone."""
        return self._record.availability_zone

    def note_heard(self, node_id: str) -> None:
        """Records the arrival of a message that only heads send."""
        self._heard_at_by_node[node_id] = self._timer.now()

    def heard_within(self, node_id: str, seconds: float) -> bool:
        """Returns whether a head was heard within the last seconds."""
        heard_at = self._heard_at_by_node.get(node_id)
        return heard_at is not None and self._timer.now() - heard_at < seconds

    def heads_of_zone(self, zone: str) -> tuple[str, ...]:
        """Returns the heads of a zone."""
        return choose_heads(self._ranking(zone), self._is_silent)

    def own_rank(self) -> int | None:
        """Returns this node's rank among its zone's heads, from 0."""
        if not self.uses_heads:
            return None
        heads = self.heads_of_zone(self.zone)
        own_id = self._record.id
        return heads.index(own_id) if own_id in heads else None

    def own_position(self) -> tuple[int, int]:
        """Returns this node's place in its zone's ranking, and its length."""
        ranking = self._ranking(self.zone)
        return ranking.index(self._record.id), len(ranking)

    def precedes(self, node_id: str) -> bool:
        """Whether a node of this zone comes before this one as a head."""
        ranking = self._ranking(self.zone)
        return node_id in ranking[: ranking.index(self._record.id)]

    def heads_by_zone(self) -> dict[str, tuple[str, ...]]:
        """Returns the heads by zone."""
        return {
            zone: self.heads_of_zone(zone)
            for zone in sorted(self._nodes.ids_by_zone().keys() | {self.zone})
        }

    def push_receivers(self, zone: str) -> tuple[str, ...]:
        """Returns the nodes of a zone that get this head's aggregates.

        The first nodes of the ranking are included while they are silent:
        heads of two zones that skip each other would never be heard again.
        """
        heads = self.heads_of_zone(zone)
        first = self._ranking(zone)[:HEADS_PER_ZONE]
        return (
            *heads,
            *(node_id for node_id in first if node_id not in heads),
        )

    def inbox(self, node_id: str) -> str | None:
        """Returns the address for messages to a node."""
        record = self._nodes.get(node_id)
        return None if record is None else f"tcp://{record.inbox}"

    def fact_peer_inboxes(self) -> tuple[str, ...]:
        """Returns the inboxes to which this node sends facts.

        In a large deployment a node sends a fact to the heads of its zone,
        which relay it to the other heads and to the nodes of their zones.
        """
        receiver_ids = set(self._nodes.peers())
        if self.uses_heads:
            receiver_ids = set(self.heads_of_zone(self.zone))
            if self.own_rank() is not None:
                receiver_ids.update(*self.heads_by_zone().values())
                members = self._nodes.ids_by_zone()
                receiver_ids.update(members.get(self.zone, ()))
        receiver_ids.discard(self._record.id)
        inboxes = [self.inbox(node_id) for node_id in sorted(receiver_ids)]
        return tuple(inbox for inbox in inboxes if inbox is not None)

    def _is_silent(self, node_id: str) -> bool:
        if node_id == self._record.id:
            return False
        now = self._timer.now()
        checked_at = self._checked_at_by_node.get(node_id)
        if checked_at is None or now - checked_at > HEAD_SILENCE_S:
            self._expected_since_by_node[node_id] = now
        self._checked_at_by_node[node_id] = now
        since = max(
            self._expected_since_by_node[node_id],
            self._heard_at_by_node.get(node_id, 0.0),
        )
        return now - since > HEAD_SILENCE_S

    def _ranking(self, zone: str) -> list[str]:
        members = self._nodes.ids_by_zone().get(zone, [])
        known = self._ranking_by_zone.get(zone)
        if known is not None and known[0] is members:
            return known[1]
        records = {
            node_id: record
            for node_id in members
            if (record := self._nodes.get(node_id)) is not None
        }
        if zone == self.zone:
            records[self._record.id] = self._record
        ranking = rank_nodes(zone, list(records.values()))
        self._ranking_by_zone[zone] = (members, ranking)
        return ranking
