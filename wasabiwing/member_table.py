"""Table of the members known to one controller, with its merge rules.

Used by ``membership``, which sends and receives the updates.
"""

from enum import IntEnum
from enum import unique
from math import ceil
from math import log2

from msgspec.structs import replace
from xxhash import xxh64_intdigest

from wasabiwing.messages import MemberUpdate

# Maximum number of updates in one message; each has about 100 bytes.
MAX_UPDATES_PER_MESSAGE = 8

# Number of times that each update is sent, as a multiple of log2 of the number
# of members.
REPEAT_FACTOR = 3


@unique
class MemberState(IntEnum):
    """State of a member; within one incarnation, the higher state wins."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


def supersedes(update: MemberUpdate, known: MemberUpdate | None) -> bool:
    """Returns whether an update is newer than the known one."""
    if known is None:
        return True
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    if update.state != known.state:
        return update.state > known.state
    return update.generation > known.generation


class MemberTable:
    """Updates of all members by node id, with a queue of those to gossip."""

    def __init__(self) -> None:
        self.update_by_id: dict[str, MemberUpdate] = {}
        # Number of times that each queued update was sent, by node id.
        self._sent_count_by_id: dict[str, int] = {}

    def merge(self, update: MemberUpdate, announce: bool = True) -> bool:
        """Merges an update; returns whether it superseded the known one.

        With ``announce`` the update is queued for piggybacking.
        """
        known = self.update_by_id.get(update.node_id)
        if not supersedes(update, known):
            return False
        if known and known.incarnation == update.incarnation:
            # A late report of suspicion may carry an older generation.
            generation = max(update.generation, known.generation)
            update = replace(update, generation=generation)
        self.update_by_id[update.node_id] = update
        if announce:
            self._sent_count_by_id[update.node_id] = 0
        return True

    def announce(self, node_id: str) -> None:
        """Queues the update of a member for piggybacking."""
        self._sent_count_by_id[node_id] = 0

    def evict(self, node_id: str) -> None:
        """Removes a member at the end of its retention time."""
        self.update_by_id.pop(node_id, None)
        self._sent_count_by_id.pop(node_id, None)

    def updates_in_state(self, *states: MemberState) -> list[MemberUpdate]:
        """Returns the updates of members in the states, by node id."""
        return [
            update
            for _, update in sorted(self.update_by_id.items())
            if update.state in states
        ]

    def next_updates(self) -> tuple[MemberUpdate, ...]:
        """Returns the least sent queued updates and counts this send."""
        limit = REPEAT_FACTOR * ceil(log2(len(self.update_by_id) + 2))
        chosen = sorted(
            self._sent_count_by_id, key=self._sent_count_by_id.__getitem__
        )[:MAX_UPDATES_PER_MESSAGE]
        updates = tuple(self.update_by_id[node_id] for node_id in chosen)
        for node_id in chosen:
            self._sent_count_by_id[node_id] += 1
            if self._sent_count_by_id[node_id] >= limit:
                del self._sent_count_by_id[node_id]
        return updates

    def digest(self) -> int:
        """Returns a hash of the live members without their generations."""
        text = "\n".join(
            f"{node_id} {update.incarnation} {update.state}"
            for node_id, update in sorted(self.update_by_id.items())
            if update.state <= MemberState.SUSPECTED
        )
        return xxh64_intdigest(text.encode())
