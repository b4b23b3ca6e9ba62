"""Statements of backend servers about themselves: leaving, or pausing.

A server that leaves says so in its answers before the registry does, as in a
release under load. A server that pauses asks for no requests for a while; one
server may do so again and again, or all at once while callers repeat. Gateway
and node decide here whether a server may get a request. A statement holds for
one start of the server's process, whatever registries, other nodes or status
checks say later. Times are monotonic seconds unless said otherwise.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from enum import unique
from random import Random

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.timers import TimerService

# Slow start after a pause: the server gets at most the initial window of
# concurrent requests, plus one for each request that it has run. At the full
# window the limit ends.
INITIAL_WINDOW = 1
FULL_WINDOW = 8

# Jitter added to the end of a pause, as a share of the pause and as a limit in
# seconds, so that the callers of all processes do not return at once.
JITTER_SHARE = 0.2
MAX_JITTER_S = 1.0

# Lifetime of a record after a server's latest statement, in seconds. No server
# takes as long to leave, and no pause lasts longer.
RECORD_LIFETIME_S = 7200.0

# Period of the check for ended pauses, in seconds.
CHECK_PERIOD_S = 0.25

# Start time of a server's process when it is unknown.
UNKNOWN_START = 0


# Failure codes that come from an answer of the backend server.
SERVER_STATED_CODES = (ResultCode.SERVER_REFUSED, ResultCode.SERVER_ERROR)


@unique
class WithholdReason(StrEnum):
    """Reason for which a server gets no request."""

    LEAVING = "leaving"
    UNWANTED = "wants none"
    STARTING = "few at first"


@dataclass(slots=True)
class _Pause:
    """Pause that a server asked for, and the slow start after it."""

    ends_at: float
    # Concurrent requests that the server may have after the pause.
    window: int = INITIAL_WINDOW
    ended: bool = False
    # Number of routing decisions that skipped the server.
    passed_over: int = 0


@dataclass(slots=True)
class _ServerRecord:
    """Statements of one start of a server's process."""

    # Start of the process in milliseconds of Unix time; 0 if unknown.
    born_ms: int
    leaving: bool = False
    pause: _Pause | None = None
    # Requests that this process has sent to the server and that have not
    # ended.
    open_requests: int = 0
    stated_at: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether the record can be dropped without loss."""
        idle = self.open_requests == 0
        return idle and not self.leaving and self.pause is None


def stated_pause_s(failure: Failure | None) -> float | None:
    """Returns the pause in seconds that a failed attempt's server asked for.

    Returns ``None`` for a failure without such a statement.
    """
    if failure is None or failure.code not in SERVER_STATED_CODES:
        return None
    return failure.retry_after_s


class ServerStatements:
    """Statements of backend servers that one gateway or node has received."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        random: Random,
        count: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._random = random
        self._count = count
        self._record_by_server_id: dict[str, _ServerRecord] = {}
        timer.subscribe(CHECK_PERIOD_S, self.check)

    @property
    def server_count(self) -> int:
        """Returns the number of servers with a record."""
        return len(self._record_by_server_id)

    def note_registered(self, server_id: str, started_ms: int) -> None:
        """Takes in the start time of a server's registry entry.

        The statements of an earlier start are dropped.
        """
        known = self._record_by_server_id.get(server_id)
        if known is None or started_ms <= known.born_ms:
            return
        if known.born_ms == UNKNOWN_START:
            # The same process may have registered its start time only now.
            known.born_ms = started_ms
            return
        self._record_by_server_id[server_id] = _ServerRecord(
            started_ms, open_requests=known.open_requests
        )

    def note_leaving(self, server_id: str, born_ms: int) -> None:
        """Records that a server said in an answer that it leaves."""
        server = self._record_of_start(server_id, born_ms)
        if server is None or server.leaving:
            return
        server.leaving = True
        self._count(WithholdReason.LEAVING.name)
        log_event(
            Event.SERVER_LEAVING,
            self._node_id,
            server=server_id,
            removed=False,
            source="answer",
        )

    def note_pause(self, server_id: str, born_ms: int, seconds: float) -> None:
        """Records that a server asked for a pause of some seconds from now.

        A pause that ends later replaces the running one, never the reverse.
        """
        server = self._record_of_start(server_id, born_ms)
        if server is None or seconds <= 0.0:
            return
        now = self._timer.now()
        jitter_s = min(seconds * JITTER_SHARE, MAX_JITTER_S)
        ends_at = now + seconds + self._random.uniform(0.0, jitter_s)
        current = server.pause
        if current is not None and not current.ended:
            current.ends_at = max(current.ends_at, ends_at)
            return
        server.pause = _Pause(ends_at)
        self._count(WithholdReason.UNWANTED.name)
        log_event(
            Event.SERVER_WANTS_NOTHING,
            self._node_id,
            server=server_id,
            seconds=round(seconds, 3),
        )

    def note_sent(self, server_id: str) -> None:
        """Counts a request that is about to be sent to a server."""
        server = self._record_by_server_id.get(server_id)
        if server is None:
            server = _ServerRecord(UNKNOWN_START)
            self._record_by_server_id[server_id] = server
        server.open_requests += 1

    def note_ended(self, server_id: str, served: bool) -> None:
        """Counts the end of a request; ``served`` if the server ran it."""
        server = self._record_by_server_id.get(server_id)
        if server is None:
            return
        server.open_requests = max(server.open_requests - 1, 0)
        pause = server.pause
        if served and pause is not None and pause.ended:
            pause.window += 1
            if pause.window > FULL_WINDOW:
                server.pause = None
        if server.is_empty:
            del self._record_by_server_id[server_id]

    def withhold_reason(self, server_id: str) -> WithholdReason | None:
        """Returns the reason to withhold a request from a server, or none."""
        server = self._record_by_server_id.get(server_id)
        if server is None:
            return None
        if server.leaving:
            return WithholdReason.LEAVING
        pause = server.pause
        if pause is None:
            return None
        if self._timer.now() < pause.ends_at:
            pause.passed_over += 1
            return WithholdReason.UNWANTED
        if server.open_requests >= pause.window:
            return WithholdReason.STARTING
        return None

    def may_still_send(self, server_id: str) -> bool:
        """Whether a request that was routed to a server may still be sent.

        The server may have made a statement while its connection was opened.
        """
        return self.withhold_reason(server_id) not in (
            WithholdReason.LEAVING,
            WithholdReason.UNWANTED,
        )

    def is_leaving(self, server_id: str) -> bool:
        """Whether a server has said that it leaves."""
        server = self._record_by_server_id.get(server_id)
        return server is not None and server.leaving

    def is_unavailable_for(self, server_id: str, seconds: float) -> bool:
        """Whether a server leaves or pauses for more than some seconds."""
        if self.is_leaving(server_id):
            return True
        return self.pause_left_s(server_id) > seconds

    def pause_left_s(self, server_id: str) -> float:
        """Returns the seconds that are left of a server's pause."""
        server = self._record_by_server_id.get(server_id)
        if server is None or server.pause is None:
            return 0.0
        return max(server.pause.ends_at - self._timer.now(), 0.0)

    def shortest_pause_left_s(self, server_ids: Iterable[str]) -> float:
        """Returns the seconds until the first pause of some servers ends."""
        return min(map(self.pause_left_s, server_ids), default=0.0)

    async def check(self) -> None:
        """Ends and logs pauses that are over, and drops old records.

        The timer calls it every ``CHECK_PERIOD_S``.
        """
        now = self._timer.now()
        for server_id, server in list(self._record_by_server_id.items()):
            expired = now - server.stated_at > RECORD_LIFETIME_S
            if server.is_empty or (expired and not server.open_requests):
                del self._record_by_server_id[server_id]
                continue
            pause = server.pause
            if pause is not None and not pause.ended and pause.ends_at <= now:
                pause.ended = True
                log_event(
                    Event.SERVER_WANTED_AGAIN,
                    self._node_id,
                    server=server_id,
                    passed_over=pause.passed_over,
                )

    def _record_of_start(
        self, server_id: str, born_ms: int
    ) -> _ServerRecord | None:
        """Returns the record of a server's start, made if it is new.

        Returns ``None`` if a later start of the server is known.
        """
        server = self._record_by_server_id.get(server_id)
        if server is None:
            server = _ServerRecord(born_ms)
            self._record_by_server_id[server_id] = server
        if UNKNOWN_START not in (born_ms, server.born_ms):
            if born_ms < server.born_ms:
                return None
            if born_ms > server.born_ms:
                server = _ServerRecord(
                    born_ms, open_requests=server.open_requests
                )
                self._record_by_server_id[server_id] = server
        server.born_ms = max(server.born_ms, born_ms)
        server.stated_at = self._timer.now()
        return server
