"""Ends attempts at backend servers that have gone silent.

Load patterns: a server that is cut off without a word, and one that answers
some requests and keeps silent on others. An attempt that waits on a busy
server must not be ended: it would only add to the load. So silence counts
only if the server says nothing to anybody here, or if it has started several
requests that came later and are no more urgent.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field

from anyio import CancelScope

from wasabiwing.server_loads import ServerLoads
from wasabiwing.timers import TimerService

# How often attempts are looked at, in seconds.
WATCH_PERIOD_S = 0.1

# A busy engine sends an event at least this often, in seconds; a server that
# is silent for longer is cut off or stands still.
SERVER_SILENCE_S = 0.9

# Later requests that a server has started before an earlier one counts as
# forgotten.
OVERTAKEN_LIMIT = 3


@dataclass(slots=True)
class WatchedAttempt:
    """An attempt that may be ended early."""

    server_id: str
    urgency: int
    sent_at: float
    # Shortest silence in seconds after which the attempt may be ended.
    silence_limit_s: float
    heard_at: float
    started: bool = False
    overtaken_count: int = 0
    # Whether the attempt was told to end.
    cancel_requested: bool = False
    scope: CancelScope = field(default_factory=CancelScope)

    @property
    def ended_early(self) -> bool:
        """Whether the attempt did not get to its end.

        An attempt that was told to end may have been done already.
        """
        return self.scope.cancelled_caught


class AttemptWatch:
    """The running attempts of one node that may be repeated."""

    def __init__(self, timer: TimerService, loads: ServerLoads) -> None:
        self._timer = timer
        self._loads = loads
        self._running: list[WatchedAttempt] = []

    @contextmanager
    def watch(
        self, server_id: str, urgency: int, patience_s: float
    ) -> Iterator[WatchedAttempt]:
        """Leaves the block early, as ``ended_early``, after a silence."""
        now = self._timer.now()
        attempt = WatchedAttempt(server_id, urgency, now, patience_s, now)
        self._running.append(attempt)
        try:
            with attempt.scope:
                yield attempt
        finally:
            self._running.remove(attempt)

    def note_started(self, attempt: WatchedAttempt) -> None:
        """Notes the first event of an attempt."""
        attempt.started = True
        for other in self._running:
            if (
                other.server_id == attempt.server_id
                and not other.started
                and other.sent_at < attempt.sent_at
                and other.urgency <= attempt.urgency
            ):
                other.overtaken_count += 1

    async def check(self) -> None:
        """Ends silent attempts; called every ``WATCH_PERIOD_S``."""
        now = self._timer.now()
        for attempt in list(self._running):
            silence_s = now - attempt.heard_at
            if silence_s < attempt.silence_limit_s or attempt.cancel_requested:
                continue
            server_silence_s = now - max(
                self._loads.heard_at(attempt.server_id), attempt.heard_at
            )
            overtaken = (
                not attempt.started
                and attempt.overtaken_count >= OVERTAKEN_LIMIT
            )
            if server_silence_s > SERVER_SILENCE_S or overtaken:
                attempt.cancel_requested = True
                attempt.scope.cancel()
