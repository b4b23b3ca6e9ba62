"""Backend servers of the node program, as the platform's registry lists them.

The directory tells which servers may get new work. A server that disappears
from the registry gets none, except for a short while after an outage of the
store: entries lapse while servers cannot renew them, and then come back.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from math import inf

from wasabiwing.timers import TimerService

# Time after the store's recovery in which lapsed entries of live servers come
# back, in seconds; from the platform's description of its registry.
LAPSE_GRACE_S = 2.0

# Shortest outage of the store in which an entry can lapse, in heartbeats of
# its server. Three are missing then, and the last one came before the outage.
LAPSE_HEARTBEATS = 2

# Interval between two heartbeats of a server, in seconds.
HEARTBEAT_S = 1.2

# Number of servers that have left which are remembered.
MAX_LEFT_SERVERS = 2000

# An entry that states a longer cold time is a change, not only a heartbeat, if
# the server stays cold for this much longer than known, in seconds.
COLD_CHANGE_S = 0.5


@dataclass(frozen=True, slots=True)
class RegisteredServer:
    """A registry entry of a backend server."""

    id: str
    service: str
    # ``host:port``; the host is an IP address.
    address: str
    availability_zone: str
    version: str
    # Requests that the server runs at once.
    slots: int
    # Whether the server has announced that it leaves.
    draining: bool = False
    # Time for which the server remains cold, in seconds from the reading.
    cold_s: float = 0.0
    # Whether the platform may reclaim the server's VM.
    reclaimable: bool = False
    # Start of the process, in milliseconds of Unix time; 0 if unknown.
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class KnownServer:
    """A server's registry entry with what this node adds to it."""

    entry: RegisteredServer
    # Monotonic time until which the server is cold.
    cold_until: float = 0.0
    # Monotonic time at which a lapsed entry is given up; ``None`` while the
    # entry is there.
    expires_at: float | None = None


class ServerDirectory:
    """The registered servers that one node knows."""

    def __init__(
        self, timer: TimerService, heartbeat_s: float = HEARTBEAT_S
    ) -> None:
        self._timer = timer
        self._min_lapse_s = LAPSE_HEARTBEATS * heartbeat_s
        self._server_by_id: dict[str, KnownServer] = {}
        # Whether the store has answered since its last failure, and when it
        # first did.
        self._store_answers = True
        self._store_recovered_at = -inf
        # Whether all failures since were cuts of waiting watches, and when
        # any call was last answered.
        self._is_only_cut = True
        self._answered_at = -inf
        # Start of the process of each server that has left, in Unix ms.
        self._left_started_ms_by_id: OrderedDict[str, int] = OrderedDict()
        self.loaded = False

    def note_store_failure(self, is_cut: bool = False) -> None:
        """Records that a watch of the store or a listing has failed just now.

        ``is_cut`` says that a waiting watch was cut. The store may do that at
        any time, so it is no outage while other calls are answered.
        """
        self._store_answers = False
        self._is_only_cut = self._is_only_cut and is_cut

    def note_store_answer(self) -> None:
        """Records that a watch or a listing was answered just now."""
        away_s = self._timer.now() - self._answered_at
        was_outage = not self._is_only_cut or away_s >= self._min_lapse_s
        if not self._store_answers and was_outage:
            self._store_recovered_at = self._timer.now()
        self._store_answers = True
        self._is_only_cut = True
        self.note_store_alive()

    def note_store_alive(self) -> None:
        """Records that any call to the store was answered just now."""
        self._answered_at = self._timer.now()

    @property
    def store_recovered_at(self) -> float:
        """Monotonic time of the store's last recovery; -inf for never."""
        return self._store_recovered_at

    @property
    def lapsed_kept_until(self) -> float:
        """Monotonic time until which what lapsed in an outage is kept."""
        return self._store_recovered_at + LAPSE_GRACE_S

    def note_store_recovery(self, recovered_at: float) -> None:
        """Records a recovery of the store that another node has seen."""
        self._store_recovered_at = max(self._store_recovered_at, recovered_at)

    def is_more_than_heartbeat(self, entry: RegisteredServer) -> bool:
        """Whether an entry tells more than that its server is alive.

        A cold server states its remaining cold time with each heartbeat.
        """
        known = self._server_by_id.get(entry.id)
        if known is None or known.expires_at is not None:
            return True
        if replace(known.entry, cold_s=entry.cold_s) != entry:
            return True
        cold_until = self._timer.now() + entry.cold_s
        return (
            entry.cold_s > 0 and cold_until > known.cold_until + COLD_CHANGE_S
        )

    def put(self, entry: RegisteredServer) -> bool:
        """Stores an entry; returns whether its server has started anew."""
        known = self._server_by_id.get(entry.id)
        cold_until = 0.0
        if entry.cold_s > 0:
            cold_until = self._timer.now() + entry.cold_s
        self._server_by_id[entry.id] = KnownServer(entry, cold_until)
        self._left_started_ms_by_id.pop(entry.id, None)
        return known is None or known.entry.started_ms != entry.started_ms

    def remove(self, server_id: str) -> None:
        """Removes a server, but not within the grace time of a recovery.

        Draining servers are removed at once.
        """
        known = self._server_by_id.get(server_id)
        if known is None:
            return
        grace_until = self.lapsed_kept_until
        if known.entry.draining or self._timer.now() >= grace_until:
            self._forget(server_id)
        elif known.expires_at is None:
            self._server_by_id[server_id] = replace(
                known, expires_at=grace_until
            )

    def replace_all(self, entry_by_id: Mapping[str, RegisteredServer]) -> None:
        """Replaces the entries by a complete listing of the registry."""
        for server_id in list(self._server_by_id):
            if server_id not in entry_by_id:
                self.remove(server_id)
        for entry in entry_by_id.values():
            self.put(entry)
        self.loaded = True

    def entry_after_restore(
        self, entry: RegisteredServer
    ) -> RegisteredServer | None:
        """Returns what holds of an entry in an older copy of the registry.

        A process that was known to leave, or to have left, does not come
        back; ``None`` stands for the latter. What a server writes after the
        restore is no matter of this method.
        """
        known = self._server_by_id.get(entry.id)
        if known is None:
            left_ms = self._left_started_ms_by_id.get(entry.id)
            has_left = left_ms is not None and entry.started_ms <= left_ms
            return None if has_left else entry
        if entry.started_ms < known.entry.started_ms:
            return known.entry
        if entry.started_ms == known.entry.started_ms:
            draining = entry.draining or known.entry.draining
            return replace(entry, draining=draining)
        return entry

    def mark_cold(self, server_id: str, cold_s: float) -> None:
        """Records that a server stated that it is cold."""
        known = self._server_by_id.get(server_id)
        if known is not None:
            until = self._timer.now() + cold_s
            self._server_by_id[server_id] = replace(known, cold_until=until)

    def get(self, server_id: str) -> RegisteredServer | None:
        """Returns the entry of a server, which may be draining."""
        known = self._current_server(server_id)
        return None if known is None else known.entry

    def address_by_id(self) -> dict[str, str]:
        """Returns the addresses of the servers that take new work."""
        return {
            server_id: known.entry.address
            for server_id in list(self._server_by_id)
            if (known := self._current_server(server_id)) is not None
            and not known.entry.draining
        }

    def started_ms(self, server_id: str) -> int:
        """Returns the start of a server's process in Unix ms; 0 if unknown."""
        known = self._server_by_id.get(server_id)
        return 0 if known is None else known.entry.started_ms

    def is_cold(self, server_id: str) -> bool:
        """Whether a server is cold and has to be spared load."""
        known = self._server_by_id.get(server_id)
        return known is not None and known.cold_until > self._timer.now()

    def servers_of_service(self, service: str) -> list[RegisteredServer]:
        """Returns the servers of a service that take new work, by id."""
        return [
            entry
            for entry in self.entries()
            if entry.service == service and not entry.draining
        ]

    def entries(self) -> list[RegisteredServer]:
        """Returns the entries of all servers, by id."""
        return [
            known.entry
            for server_id in sorted(self._server_by_id)
            if (known := self._current_server(server_id)) is not None
        ]

    def _current_server(self, server_id: str) -> KnownServer | None:
        """Returns a server unless its lapsed entry has been given up."""
        known = self._server_by_id.get(server_id)
        if known is None:
            return None
        if (
            known.expires_at is not None
            and known.expires_at <= self._timer.now()
        ):
            self._forget(server_id)
            return None
        return known

    def _forget(self, server_id: str) -> None:
        left = self._server_by_id.pop(server_id)
        self._left_started_ms_by_id[server_id] = left.entry.started_ms
        if len(self._left_started_ms_by_id) > MAX_LEFT_SERVERS:
            self._left_started_ms_by_id.popitem(last=False)
