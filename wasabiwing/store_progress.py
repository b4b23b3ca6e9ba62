"""Detects that this node's watch of the store lags behind other nodes.

Load pattern: a watch whose connection was lost without an error, while the
watches of other nodes work. Its timeout would take longer than a change may
take to arrive; the progress of another node shows the loss at once.
"""

from anyio import CancelScope

from wasabiwing.timers import TimerService

# A watch that lags behind another node for this long is restarted, in seconds.
# Nodes pause between two calls, so a short lag is normal.
MAX_LAG_S = 0.7


class StoreProgress:
    """Latest store revisions seen by this node and by other nodes."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        # Revision of the latest change that this node has seen.
        self.revision = 0
        self._peer_revision = 0
        self._lagging_since: float | None = None
        self._watch_scope: CancelScope | None = None

    def note_own_revision(self, revision: int) -> None:
        """Records the revision of a change that this node has seen."""
        self.revision = max(self.revision, revision)
        if self.revision >= self._peer_revision:
            self._lagging_since = None

    def note_peer_revision(self, revision: int) -> None:
        """Records another node's latest revision; may cancel the watch."""
        self._peer_revision = max(self._peer_revision, revision)
        if self._peer_revision <= self.revision:
            return
        now = self._timer.now()
        if self._lagging_since is None:
            self._lagging_since = now
        elif (
            now - self._lagging_since > MAX_LAG_S
            and self._watch_scope is not None
        ):
            self._lagging_since = now
            self._watch_scope.cancel()

    def begin_watch(self) -> CancelScope:
        """Returns a new watch's cancel scope; lag cancels it."""
        self._watch_scope = CancelScope()
        return self._watch_scope
