"""Ends attempts at backend servers that no longer send anything.

A server may be cut off from the network, or may answer some requests and not
others. An attempt that waits at a busy server must not be ended, because its
retry would only add to the load. So an attempt is ended only if its server is
silent towards all attempts of this node, or if the server has started several
requests that were sent later and are no more urgent, and only if its request
can be carried on at another server (``silent_attempts``).
"""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from math import inf

from anyio import CancelScope

from wasabiwing.server_loads import ServerLoads
from wasabiwing.timers import TimerService

# Period of the check of running attempts, in seconds.
WATCH_PERIOD_S = 0.1

# Silence of a server towards all attempts after which it counts as cut off or
# stalled, in seconds. A busy engine sends an event at least this often.
SERVER_SILENCE_S = 0.9

# Silence after which an attempt may be ended at a server of which probes get
# no answer, in seconds.
UNREACHABLE_SILENCE_S = 0.4

# Interval at which it is asked again whether a silent attempt may move, in
# seconds. Each time another server is looked for.
ASK_AGAIN_S = 0.5

# Number of later requests that a server has started after which an earlier one
# counts as forgotten.
OVERTAKEN_LIMIT = 3


@dataclass(slots=True)
class WatchedAttempt:
    """Running attempt that may be ended early; times in monotonic seconds."""

    server_id: str
    urgency: int
    sent_at: float
    # Shortest silence after which the attempt may be ended, in seconds.
    silence_limit_s: float
    # Whether the request can be carried on elsewhere; if so, what it needs
    # for that is reserved.
    may_move: Callable[[], bool]
    # Time of the latest event of the attempt.
    heard_at: float
    # Time of the first event of the attempt; ``None`` before it.
    started_at: float | None = None
    overtaken_count: int = 0
    # Whether the server owes nothing now, while the caller is written to.
    held: bool = False
    # Time before which it is not asked again whether the attempt may move.
    ask_after: float = 0.0
    # Whether the watch has cancelled the attempt.
    cancel_requested: bool = False
    scope: CancelScope = field(default_factory=CancelScope)

    @contextmanager
    def writing(self, clock: Callable[[], float]) -> Iterator[None]:
        """Leaves the server's silence out while the caller is written to."""
        self.held = True
        try:
            yield
        finally:
            self.held = False
            self.heard_at = clock()

    @property
    def ended_early(self) -> bool:
        """Whether the attempt was ended before it was complete.

        A cancelled attempt may have been complete already.
        """
        return self.scope.cancelled_caught


class AttemptWatch:
    """Watches the running attempts of one node that may be repeated."""

    def __init__(self, timer: TimerService, loads: ServerLoads) -> None:
        self._timer = timer
        self._loads = loads
        self._running: list[WatchedAttempt] = []
        # Whether probes of a server get no answer.
        self._gets_no_answer: Callable[[str], bool] = lambda server_id: False

    def use_reachability(self, gets_no_answer: Callable[[str], bool]) -> None:
        """Sets what tells whether probes of a server get no answer."""
        self._gets_no_answer = gets_no_answer

    @contextmanager
    def watch(
        self,
        server_id: str,
        urgency: int,
        silence_limit_s: float,
        may_move: Callable[[], bool] = lambda: True,
    ) -> Iterator[WatchedAttempt]:
        """Watches an attempt while its block runs.

        After a silence the block is cancelled if ``may_move`` returns
        ``True``, and ``ended_early`` is true.
        """
        now = self._timer.now()
        attempt = WatchedAttempt(
            server_id, urgency, now, silence_limit_s, may_move, now
        )
        self._running.append(attempt)
        try:
            with attempt.scope:
                yield attempt
        finally:
            self._running.remove(attempt)

    def note_started(self, attempt: WatchedAttempt) -> None:
        """Records the first event of an attempt.

        Earlier and no less urgent attempts at the same server that have not
        started count as overtaken.
        """
        attempt.started_at = self._timer.now()
        for other in self._running:
            if (
                other.server_id == attempt.server_id
                and other.started_at is None
                and other.sent_at < attempt.sent_at
                and other.urgency <= attempt.urgency
            ):
                other.overtaken_count += 1

    def silence_by_server(self) -> dict[str, float]:
        """Returns for how long servers that owe an answer have been silent.

        The silences are in seconds, by server id.
        """
        now = self._timer.now()
        silence_by_id: dict[str, float] = {}
        for attempt in self._running:
            if attempt.held:
                continue
            silence_by_id[attempt.server_id] = max(
                self._server_silence_s(attempt, now),
                silence_by_id.get(attempt.server_id, 0.0),
            )
        return silence_by_id

    def silent_server_ids(self) -> frozenset[str]:
        """Returns the servers that are silent towards all their attempts."""
        return frozenset(
            server_id
            for server_id, silence_s in self.silence_by_server().items()
            if silence_s > SERVER_SILENCE_S
        )

    def _server_silence_s(self, attempt: WatchedAttempt, now: float) -> float:
        return now - max(
            self._loads.last_heard_at(attempt.server_id), attempt.heard_at
        )

    async def check(self) -> None:
        """Cancels silent attempts; called every ``WATCH_PERIOD_S``."""
        now = self._timer.now()
        for attempt in list(self._running):
            silence_s = now - attempt.heard_at
            if attempt.cancel_requested or attempt.held:
                continue
            unreachable = self._gets_no_answer(attempt.server_id)
            if silence_s < attempt.silence_limit_s and not (
                unreachable
                and attempt.silence_limit_s < inf
                and silence_s >= UNREACHABLE_SILENCE_S
            ):
                continue
            server_silence_s = self._server_silence_s(attempt, now)
            overtaken = (
                attempt.started_at is None
                and attempt.overtaken_count >= OVERTAKEN_LIMIT
            )
            silent = (
                server_silence_s > SERVER_SILENCE_S or overtaken or unreachable
            )
            if not silent or now < attempt.ask_after:
                continue
            if attempt.may_move():
                attempt.cancel_requested = True
                attempt.scope.cancel()
            else:
                attempt.ask_after = now + ASK_AGAIN_S
