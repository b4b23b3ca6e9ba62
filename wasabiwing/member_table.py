"""What one controller knows of all members, and the rules for merging it.

Used by ``membership``, which sends and receives the updates.
"""

from enum import IntEnum
from enum import unique
from math import ceil
from math import log2

from msgspec.structs import replace
from xxhash import xxh64_intdigest

from wasabiwing.messages import MemberUpdate

# Updates in one message; about 100 bytes each.
MAX_UPDATES_PER_MESSAGE = 8

# Each update is sent this many times log2 of the number of members.
REPEAT_FACTOR = 3


@unique
class MemberState(IntEnum):
    """State of a member; of the same incarnation, the higher one wins."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


def supersedes(update: MemberUpdate, known: MemberUpdate | None) -> bool:
    """Whether an update says more than what is known."""
    if known is None:
        return True
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    if update.state != known.state:
        return update.state > known.state
    return update.generation > known.generation


class MemberTable:
    """All members by node id, and the updates that are still to be sent."""

    def __init__(self) -> None:
        self.update_by_id: dict[str, MemberUpdate] = {}
        # How often each pending update was sent.
        self._sent_count_by_id: dict[str, int] = {}

    def merge(self, update: MemberUpdate, announce: bool = True) -> bool:
        """Takes over an update; returns whether it was news.

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
        """Queues the record of a member for piggybacking."""
        self._sent_count_by_id[node_id] = 0

    def evict(self, node_id: str) -> None:
        """Drops a member that has been dead for long."""
        self.update_by_id.pop(node_id, None)
        self._sent_count_by_id.pop(node_id, None)

    def updates_in_state(self, *states: MemberState) -> list[MemberUpdate]:
        """Returns the members in any of the states, by node id."""
        return [
            update
            for _, update in sorted(self.update_by_id.items())
            if update.state in states
        ]

    def take_updates(self) -> tuple[MemberUpdate, ...]:
        """Returns the least sent pending updates and counts the sending."""
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
