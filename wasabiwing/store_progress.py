"""How far this node and the others have followed the store.

Load pattern: a watch whose connection has gone silent, while the watches of
other nodes work. Waiting for its time limit would take longer than a change
may; another node's progress shows it at once.
"""

from anyio import CancelScope

from wasabiwing.timers import TimerService

# A watch that is behind another node for this long, in seconds, is begun
# anew. Nodes pause between two calls, so a short lag is normal.
MAX_LAG_S = 0.7


class StoreProgress:
    """Newest changes seen here and elsewhere."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        # Newest change that this node has seen.
        self.revision = 0
        self._peer_revision = 0
        self._behind_since: float | None = None
        self._call: CancelScope | None = None

    def note_seen(self, revision: int) -> None:
        """Notes a change that this node has seen."""
        self.revision = max(self.revision, revision)
        if self.revision >= self._peer_revision:
            self._behind_since = None

    def note_peer(self, revision: int) -> None:
        """Notes how far another node is."""
        self._peer_revision = max(self._peer_revision, revision)
        if self._peer_revision <= self.revision:
            return
        now = self._timer.now()
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > MAX_LAG_S and self._call is not None:
            self._behind_since = now
            self._call.cancel()

    def begin_watch(self) -> CancelScope:
        """Returns the scope of a call that ends when it lags behind."""
        self._call = CancelScope()
        return self._call
