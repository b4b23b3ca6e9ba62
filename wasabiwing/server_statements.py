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
    started_ms: int
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
        """Records the start time of a server's registry entry.

        The statements of an earlier start are dropped.
        """
        known = self._record_by_server_id.get(server_id)
        if known is None or started_ms <= known.started_ms:
            return
        if known.started_ms == UNKNOWN_START:
            # The same process may have registered its start time only now.
            known.started_ms = started_ms
            return
        self._record_by_server_id[server_id] = _ServerRecord(
            started_ms, open_requests=known.open_requests
        )

    def note_leaving(self, server_id: str, started_ms: int) -> None:
        """Records that a server said in an answer that it leaves."""
        record = self._record_of_start(server_id, started_ms)
        if record is None or record.leaving:
            return
        record.leaving = True
        self._count(WithholdReason.LEAVING.name)
        log_event(
            Event.SERVER_LEAVING,
            self._node_id,
            server=server_id,
            removed=False,
            source="answer",
        )

    def note_pause(
        self, server_id: str, started_ms: int, seconds: float
    ) -> None:
        """Records that a server asked for a pause of ``seconds`` from now.

        A pause that ends later replaces the running one, never the reverse.
        """
        record = self._record_of_start(server_id, started_ms)
        if record is None or seconds <= 0.0:
            return
        now = self._timer.now()
        jitter_s = min(seconds * JITTER_SHARE, MAX_JITTER_S)
        ends_at = now + seconds + self._random.uniform(0.0, jitter_s)
        current = record.pause
        if current is not None and not current.ended:
            current.ends_at = max(current.ends_at, ends_at)
            return
        record.pause = _Pause(ends_at)
        self._count(WithholdReason.UNWANTED.name)
        log_event(
            Event.SERVER_WANTS_NOTHING,
            self._node_id,
            server=server_id,
            seconds=round(seconds, 3),
        )

    def note_sent(self, server_id: str) -> None:
        """Counts a request that is about to be sent to a server."""
        record = self._record_by_server_id.get(server_id)
        if record is None:
            record = _ServerRecord(UNKNOWN_START)
            self._record_by_server_id[server_id] = record
        record.open_requests += 1

    def note_ended(self, server_id: str, served: bool) -> None:
        """Counts the end of a request; ``served`` if the server ran it."""
        record = self._record_by_server_id.get(server_id)
        if record is None:
            return
        record.open_requests = max(record.open_requests - 1, 0)
        pause = record.pause
        if served and pause is not None and pause.ended:
            pause.window += 1
            if pause.window > FULL_WINDOW:
                record.pause = None
        if record.is_empty:
            del self._record_by_server_id[server_id]

    def withhold_reason(self, server_id: str) -> WithholdReason | None:
        """Returns the reason to withhold a request from a server, or none."""
        record = self._record_by_server_id.get(server_id)
        if record is None:
            return None
        if record.leaving:
            return WithholdReason.LEAVING
        pause = record.pause
        if pause is None:
            return None
        if self._timer.now() < pause.ends_at:
            pause.passed_over += 1
            return WithholdReason.UNWANTED
        if record.open_requests >= pause.window:
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
        record = self._record_by_server_id.get(server_id)
        return record is not None and record.leaving

    def is_unavailable_for(self, server_id: str, seconds: float) -> bool:
        """Whether a server leaves, or pauses for more than ``seconds``."""
        if self.is_leaving(server_id):
            return True
        return self.pause_left_s(server_id) > seconds

    def pause_left_s(self, server_id: str) -> float:
        """Returns the seconds that are left of a server's pause."""
        record = self._record_by_server_id.get(server_id)
        if record is None or record.pause is None:
            return 0.0
        return max(record.pause.ends_at - self._timer.now(), 0.0)

    def shortest_pause_left_s(self, server_ids: Iterable[str]) -> float:
        """Returns the seconds until the first pause of some servers ends."""
        return min(map(self.pause_left_s, server_ids), default=0.0)

    async def check(self) -> None:
        """Ends and logs pauses that are over, and drops old records.

        The timer calls it every ``CHECK_PERIOD_S``.
        """
        now = self._timer.now()
        for server_id, record in list(self._record_by_server_id.items()):
            expired = now - record.stated_at > RECORD_LIFETIME_S
            if record.is_empty or (expired and not record.open_requests):
                del self._record_by_server_id[server_id]
                continue
            pause = record.pause
            if pause is not None and not pause.ended and pause.ends_at <= now:
                pause.ended = True
                log_event(
                    Event.SERVER_WANTED_AGAIN,
                    self._node_id,
                    server=server_id,
                    passed_over=pause.passed_over,
                )

    def _record_of_start(
        self, server_id: str, started_ms: int
    ) -> _ServerRecord | None:
        """Returns the record of a server's start, made if it is new.

        Returns ``None`` if a later start of the server is known.
        """
        record = self._record_by_server_id.get(server_id)
        if record is None:
            record = _ServerRecord(started_ms)
            self._record_by_server_id[server_id] = record
        if UNKNOWN_START not in (started_ms, record.started_ms):
            if started_ms < record.started_ms:
                return None
            if started_ms > record.started_ms:
                record = _ServerRecord(
                    started_ms, open_requests=record.open_requests
                )
                self._record_by_server_id[server_id] = record
        record.started_ms = max(record.started_ms, started_ms)
        record.stated_at = self._timer.now()
        return record
