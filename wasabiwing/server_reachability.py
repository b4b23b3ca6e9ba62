"""Tells whether this process is cut off from backend servers.

Load pattern: a VM loses its links to all backend servers for seconds, while
callers, the store and the other VMs still reach it. Connections hang or are
reset, and new ones time out or are refused. Without this knowledge each
request waits for connects that fail, at one server after the other.

A server counts as unreachable from a failed connect until it sends something
or accepts a connection. A server that owes an answer and is silent is probed
with a connect, because a sound server may be silent for a while. The process
counts as cut off when several servers are unreachable and none has been heard
since. This says nothing about the servers: they may have crashed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from math import inf

from anyio import create_task_group

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.timers import TimerService

# Period of the check for servers to probe, in seconds.
CHECK_PERIOD_S = 0.25

# Silence of a server that owes an answer after which it is probed, in seconds.
SUSPECT_SILENCE_S = 0.4

# Shortest and longest interval between two probes of a server, in seconds. It
# doubles while the probes fail.
MIN_PROBE_INTERVAL_S = 0.45
MAX_PROBE_INTERVAL_S = 1.8

# Number of probes that are started in one period.
MAX_PROBES = 4

# Number of unreachable servers, none heard since, from which a process counts
# as cut off; all of them if there are fewer.
CUT_OFF_SERVERS = 4


class ServerReachability:
    """Which backend servers one process fails to reach.

    ``address_by_id`` returns the addresses of the servers in use,
    ``silence_by_id`` for how many seconds each server that owes an answer has
    sent nothing, and ``connects`` whether an address accepts a connection, or
    ``None`` if it gives no answer.
    ``note_unreachable`` is called for each failed probe.
    """

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        address_by_id: Callable[[], Mapping[str, str]],
        silence_by_id: Callable[[], Mapping[str, float]],
        connects: Callable[[str], Awaitable[bool | None]],
        note_unreachable: Callable[[str], None] = lambda server_id: None,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._address_by_id = address_by_id
        self._silence_by_id = silence_by_id
        self._connects = connects
        self._note_unreachable = note_unreachable
        # Monotonic times in seconds, by server id; those of failures last
        # until the server is heard.
        self._failed_at_by_id: dict[str, float] = {}
        # Unreachable servers whose latest probe got no answer.
        self._unanswering_ids: set[str] = set()
        self._probed_at_by_id: dict[str, float] = {}
        self._interval_s_by_id: dict[str, float] = {}
        # When any server was last heard.
        self._heard_at = -inf
        self._cut_off_at: float | None = None
        timer.subscribe(CHECK_PERIOD_S, self.check)

    @property
    def is_cut_off(self) -> bool:
        """Whether this process probably reaches no server at all."""
        return self._cut_off_at is not None

    def is_cut_off_from(self, server_ids: Collection[str]) -> bool:
        """Whether this process probably reaches none of some servers."""
        if not server_ids:
            return False
        if self.is_cut_off:
            return True
        return self._failed_at_by_id.keys() >= set(server_ids)

    def is_unreachable(self, server_id: str) -> bool:
        """Whether a server accepted no connection and was not heard since."""
        return server_id in self._failed_at_by_id

    def gets_no_answer(self, server_id: str) -> bool:
        """Whether probes of a server get no answer, neither good nor bad.

        Open connections to it probably hang as well. After a refusal they may
        live on.
        """
        return server_id in self._unanswering_ids

    def unreachable_share(self, server_ids: Collection[str]) -> float:
        """Returns the share of some servers that are unreachable."""
        if self.is_cut_off_from(server_ids):
            return 1.0
        failed = sum(map(self.is_unreachable, server_ids))
        return failed / max(len(server_ids), 1)

    def heard_any_since(self, moment: float) -> bool:
        """Whether any server was heard since a monotonic time."""
        return self._heard_at >= moment

    def note_heard(self, server_id: str) -> None:
        """Records that a server sent something or accepted a connection."""
        self._heard_at = self._timer.now()
        if server_id in self._failed_at_by_id:
            del self._failed_at_by_id[server_id]
            self._unanswering_ids.discard(server_id)
            self._interval_s_by_id.pop(server_id, None)
        if self._cut_off_at is not None:
            self._end_cut(server_id)

    def note_connect_failed(self, server_id: str) -> None:
        """Records that a connect to a server failed."""
        now = self._timer.now()
        self._failed_at_by_id[server_id] = now
        if self._cut_off_at is None:
            self._detect_cut(now)

    def remove_server(self, server_id: str) -> None:
        """Drops what is known of a server that is gone or has started anew."""
        self._failed_at_by_id.pop(server_id, None)
        self._unanswering_ids.discard(server_id)
        self._probed_at_by_id.pop(server_id, None)
        self._interval_s_by_id.pop(server_id, None)

    async def check(self) -> None:
        """Probes servers; the timer calls it every ``CHECK_PERIOD_S``."""
        silence_by_id = self._silence_by_id()
        if not self._failed_at_by_id and not silence_by_id:
            return
        address_by_id = self._address_by_id()
        for server_id in list(self._failed_at_by_id):
            if server_id not in address_by_id:
                self.remove_server(server_id)
        due_ids = self._due_for_probe(address_by_id, silence_by_id)
        async with create_task_group() as probes:
            for server_id in due_ids:
                probes.start_soon(
                    self._probe, server_id, address_by_id[server_id]
                )

    def _due_for_probe(
        self,
        address_by_id: Collection[str],
        silence_by_id: Mapping[str, float],
    ) -> list[str]:
        """Returns the servers to probe now, the longest unprobed first."""
        now = self._timer.now()
        suspects = set(self._failed_at_by_id)
        suspects |= {
            server_id
            for server_id, silence_s in silence_by_id.items()
            if silence_s >= SUSPECT_SILENCE_S
        }
        latest_failure = max(self._failed_at_by_id.values(), default=-inf)
        if not self.is_cut_off and self._heard_at < latest_failure:
            # None was heard since: all others may be unreachable as well.
            suspects |= set(address_by_id)
        due_ids = [
            server_id
            for server_id in suspects
            if server_id in address_by_id
            and now - self._probed_at_by_id.get(server_id, -inf)
            >= self._interval_s_by_id.get(server_id, MIN_PROBE_INTERVAL_S)
        ]
        due_ids.sort(
            key=lambda server_id: (
                self._probed_at_by_id.get(server_id, -inf),
                server_id,
            )
        )
        return due_ids[:MAX_PROBES]

    async def _probe(self, server_id: str, address: str) -> None:
        began_at = self._timer.now()
        self._probed_at_by_id[server_id] = began_at
        accepted = await self._connects(address)
        if accepted:
            self.note_heard(server_id)
            return
        if accepted is None:
            self._unanswering_ids.add(server_id)
        else:
            self._unanswering_ids.discard(server_id)
        interval_s = self._interval_s_by_id.get(
            server_id, MIN_PROBE_INTERVAL_S
        )
        if self.is_cut_off:
            # The end of the cut has to be noticed soon.
            interval_s = MIN_PROBE_INTERVAL_S / 2.0
        self._interval_s_by_id[server_id] = min(
            interval_s * 2.0, MAX_PROBE_INTERVAL_S
        )
        self._note_unreachable(server_id)
        self.note_connect_failed(server_id)

    def _detect_cut(self, now: float) -> None:
        known_ids = self._address_by_id().keys()
        unheard = [
            server_id
            for server_id, failed_at in self._failed_at_by_id.items()
            if failed_at > self._heard_at and server_id in known_ids
        ]
        if len(unheard) < min(CUT_OFF_SERVERS, len(known_ids)):
            return
        self._cut_off_at = now
        log_event(
            Event.SERVERS_CUT_OFF,
            self._node_id,
            unreachable=_some(self._failed_at_by_id),
            known=len(known_ids),
        )

    def _end_cut(self, server_id: str) -> None:
        assert self._cut_off_at is not None
        log_event(
            Event.SERVERS_REACHED,
            self._node_id,
            server=server_id,
            cut_s=round(self._timer.now() - self._cut_off_at, 3),
        )
        self._cut_off_at = None


def _some(server_ids: Iterable[str]) -> list[str]:
    """Returns the first ids, for a log line of bounded length."""
    return sorted(server_ids)[:CUT_OFF_SERVERS]
