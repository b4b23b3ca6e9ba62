"""What backend servers say about themselves: leaving, wanting no requests.

Load patterns: a release under load, where servers say in their answers that
they leave before the registry does; and servers that turn requests away for a
while, one over and over or all of them at once while callers repeat. Gateway
and node decide here whether a server may get a request. What a server has
said holds for one start of it, whatever registries, other nodes or status
checks say later. Times are monotonic seconds.
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

# Requests at a time that a server gets right after it wanted none; one more
# for each that it runs, until it counts as usual.
INITIAL_WINDOW = 1
FULL_WINDOW = 8

# Spread of the end over processes, as a share of the time and in seconds, so
# that their callers do not all return in the same moment.
JITTER_SHARE = 0.2
MOST_SPREAD_S = 1.0

# A server's word is kept for this long after it was last heard, in seconds;
# no server takes as long to leave, and no pause lasts longer.
MEMORY_S = 7200.0

# How often ended times are looked for, in seconds.
CHECK_PERIOD_S = 0.25

# Unknown start of a server's process.
UNKNOWN_START = 0


# Failures that a backend server has stated itself.
SERVER_ANSWERS = (ResultCode.SERVER_REFUSED, ResultCode.SERVER_ERROR)


@unique
class WithholdReason(StrEnum):
    """Why a server gets no request."""

    LEAVING = "leaving"
    UNWANTED = "wants none"
    STARTING = "few at first"


@dataclass(slots=True)
class _Pause:
    """A time in which a server wants no requests, and what follows it."""

    until: float
    # Requests that the server may have at a time after the end.
    window: int = INITIAL_WINDOW
    ended: bool = False
    # Choices that passed the server over.
    passed_over: int = 0


@dataclass(slots=True)
class _Server:
    """What one start of a server has said."""

    # Start of the process in milliseconds of Unix time; 0 if unknown.
    born_ms: int
    leaving: bool = False
    pause: _Pause | None = None
    # Requests of this process that are on their way or running.
    open_requests: int = 0
    told_at: float = 0.0

    @property
    def says_nothing(self) -> bool:
        """Whether the record is as good as none."""
        idle = self.open_requests == 0
        return idle and not self.leaving and self.pause is None


def stated_pause_s(failure: Failure | None) -> float | None:
    """Returns the seconds for which a failure's server wants no requests."""
    if failure is None or failure.code not in SERVER_ANSWERS:
        return None
    return failure.retry_after_s


class ServerStatements:
    """What backend servers have told one gateway or node."""

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
        self._server_by_id: dict[str, _Server] = {}
        timer.subscribe(CHECK_PERIOD_S, self.check)

    @property
    def server_count(self) -> int:
        """Number of servers with a record."""
        return len(self._server_by_id)

    def note_registered(self, server_id: str, started_ms: int) -> None:
        """Takes in a registry entry; a later start has said nothing yet."""
        known = self._server_by_id.get(server_id)
        if known is None or started_ms <= known.born_ms:
            return
        if known.born_ms == UNKNOWN_START:
            # The same process may only now have told when it started.
            known.born_ms = started_ms
            return
        self._server_by_id[server_id] = _Server(
            started_ms, open_requests=known.open_requests
        )

    def note_leaving(self, server_id: str, born_ms: int) -> None:
        """Notes that a server said in an answer that it leaves."""
        server = self._of_start(server_id, born_ms)
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
        """Notes that a server wants no requests from now on for a time.

        A longer time replaces a shorter one, never the reverse.
        """
        server = self._of_start(server_id, born_ms)
        if server is None or seconds <= 0.0:
            return
        now = self._timer.now()
        spread_s = min(seconds * JITTER_SHARE, MOST_SPREAD_S)
        until = now + seconds + self._random.uniform(0.0, spread_s)
        before = server.pause
        if before is not None and not before.ended:
            before.until = max(before.until, until)
            return
        server.pause = _Pause(until)
        self._count(WithholdReason.UNWANTED.name)
        log_event(
            Event.SERVER_WANTS_NOTHING,
            self._node_id,
            server=server_id,
            seconds=round(seconds, 3),
        )

    def note_sent(self, server_id: str) -> None:
        """Counts a request that is about to be sent."""
        server = self._server_by_id.get(server_id)
        if server is None:
            server = _Server(UNKNOWN_START)
            self._server_by_id[server_id] = server
        server.open_requests += 1

    def note_ended(self, server_id: str, served: bool) -> None:
        """Counts the end of a request; ``served`` if the server ran it."""
        server = self._server_by_id.get(server_id)
        if server is None:
            return
        server.open_requests = max(server.open_requests - 1, 0)
        pause = server.pause
        if served and pause is not None and pause.ended:
            pause.window += 1
            if pause.window > FULL_WINDOW:
                server.pause = None
        if server.says_nothing:
            del self._server_by_id[server_id]

    def withhold_reason(self, server_id: str) -> WithholdReason | None:
        """Returns why a server may not get one more request, if so."""
        server = self._server_by_id.get(server_id)
        if server is None:
            return None
        if server.leaving:
            return WithholdReason.LEAVING
        pause = server.pause
        if pause is None:
            return None
        if self._timer.now() < pause.until:
            pause.passed_over += 1
            return WithholdReason.UNWANTED
        if server.open_requests >= pause.window:
            return WithholdReason.STARTING
        return None

    def may_still_send(self, server_id: str) -> bool:
        """Whether a request that was placed may leave now.

        A connection may have taken a while to open.
        """
        return self.withhold_reason(server_id) not in (
            WithholdReason.LEAVING,
            WithholdReason.UNWANTED,
        )

    def is_leaving(self, server_id: str) -> bool:
        """Whether a server has said that it leaves."""
        server = self._server_by_id.get(server_id)
        return server is not None and server.leaving

    def is_unavailable_for(self, server_id: str, seconds: float) -> bool:
        """Whether a server takes nothing for at least so long."""
        if self.is_leaving(server_id):
            return True
        return self.pause_left_s(server_id) > seconds

    def pause_left_s(self, server_id: str) -> float:
        """Returns the seconds until a server wants requests again."""
        server = self._server_by_id.get(server_id)
        if server is None or server.pause is None:
            return 0.0
        return max(server.pause.until - self._timer.now(), 0.0)

    def shortest_pause_left_s(self, server_ids: Iterable[str]) -> float:
        """Returns the seconds until the first of some servers wants any."""
        return min(map(self.pause_left_s, server_ids), default=0.0)

    async def check(self) -> None:
        """Logs times that have ended; called every ``CHECK_PERIOD_S``."""
        now = self._timer.now()
        for server_id, server in list(self._server_by_id.items()):
            old = now - server.told_at > MEMORY_S
            if server.says_nothing or (old and not server.open_requests):
                del self._server_by_id[server_id]
                continue
            pause = server.pause
            if pause is not None and not pause.ended and pause.until <= now:
                pause.ended = True
                log_event(
                    Event.SERVER_WANTED_AGAIN,
                    self._node_id,
                    server=server_id,
                    passed_over=pause.passed_over,
                )

    def _of_start(self, server_id: str, born_ms: int) -> _Server | None:
        """Returns the record of a start; ``None`` for one that is over."""
        server = self._server_by_id.get(server_id)
        if server is None:
            server = _Server(born_ms)
            self._server_by_id[server_id] = server
        if UNKNOWN_START not in (born_ms, server.born_ms):
            if born_ms < server.born_ms:
                return None
            if born_ms > server.born_ms:
                server = _Server(born_ms, open_requests=server.open_requests)
                self._server_by_id[server_id] = server
        server.born_ms = max(server.born_ms, born_ms)
        server.told_at = self._timer.now()
        return server
