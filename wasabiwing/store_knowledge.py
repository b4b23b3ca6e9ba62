"""Age and source of what a node knows of the store.

Load pattern: hundreds of nodes of which few read the store. What a node acts
on is as old as the last read on its way here, by whichever node; a message
that arrives says nothing of that.
"""

from math import inf

from wasabiwing.timers import TimerService

# Source of knowledge that the node has read itself.
STORE_SOURCE = "store"


class StoreKnowledge:
    """Tells how old a node's copy of the store may be."""

    def __init__(self, node_id: str, timer: TimerService) -> None:
        self._node_id = node_id
        self._timer = timer
        # Monotonic times: all changes up to ``_synced_at`` are known, those
        # up to ``_read_at`` by this node's own calls, those up to
        # ``_zone_read_at`` by calls of nodes in this node's zone.
        self._synced_at = -inf
        self._read_at = -inf
        self._zone_read_at = -inf
        # The node that sent the latest knowledge, or ``STORE_SOURCE``.
        self.source = ""
        # The node whose call ``_zone_read_at`` stands for.
        self.zone_reader = ""

    def note_read(self, read_at: float) -> None:
        """Records a call to the store whose answer was current then."""
        self._read_at = max(self._read_at, read_at)
        self.note_zone_read(read_at, self._node_id)
        self.note_synced(read_at, STORE_SOURCE)

    def note_zone_read(self, read_at: float, reader: str) -> None:
        """Records a call of a node in this zone, as told by that node.

        Told by others, it would come back with a later time, as the time on
        the way is not known.
        """
        if read_at > self._zone_read_at:
            self._zone_read_at = read_at
            self.zone_reader = reader

    def note_synced(self, synced_at: float, source: str) -> None:
        """Records state from ``source`` that was current at a time."""
        if synced_at > self._synced_at:
            self._synced_at = synced_at
            self.source = source

    def age_s(self) -> float:
        """Returns for how long changes may have been missed, in seconds."""
        return self._timer.now() - self._synced_at

    def read_age_s(self) -> float:
        """Returns the age of this node's own latest read in seconds."""
        return self._timer.now() - self._read_at

    def zone_read_age_s(self) -> float:
        """Returns the age of the latest read in this zone in seconds."""
        return self._timer.now() - self._zone_read_at
