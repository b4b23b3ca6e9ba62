"""Reads the health paths of backend servers for their speed.

Load pattern: servers that answer a request every 0.2 s, all nodes together,
change their speed every 0.6 s, and get no requests while they count as slow.
One node for each server, by rendezvous hashing, reads its health path. This
takes effect only for services with a health path and a server that has stated
its speed. The answers tell nothing of a server's health.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from anyio import create_task_group
from anyio import move_on_after
from result import Err

from wasabiwing.fleet_follower import FleetView
from wasabiwing.rendezvous import owner
from wasabiwing.routed_calls import CallCodec
from wasabiwing.server_connections import DEFAULT_IDLE_TIMEOUT_S
from wasabiwing.server_connections import ServerConnections
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_speeds import ServerSpeeds
from wasabiwing.speed_notices import MAX_NOTIFIED_NODES
from wasabiwing.timers import TimerService

# Interval between two readings of a health path, in seconds.
PROBE_PERIOD_S = 0.2

# Number of health paths that one node reads in a period; a reading takes 0.9
# ms of CPU, and hashing gives a few nodes four servers.
MAX_PROBES = 2

# Time after which a reading is given up, in seconds, and the time for which
# the server is left alone then.
PROBE_TIMEOUT_S = 0.4
FAILURE_PAUSE_S = 2.0

# Time for which a statement of a probed server is held, in seconds: a change
# is heard earlier, and a change that is lost is forgotten.
PROBED_HELD_S = 1.0

HTTP_OK = 200


class ProbedServers:
    """Servers whose health path this node reads; remembers their owners."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._node_ids: tuple[str, ...] = ()
        self._is_own_by_server: dict[str, bool] = {}

    def own(
        self, node_ids: Sequence[str], servers: Iterable[RegisteredServer]
    ) -> list[RegisteredServer]:
        """Returns the servers of which this node is the owner."""
        if tuple(node_ids) != self._node_ids:
            self._node_ids = tuple(node_ids)
            self._is_own_by_server.clear()
        return [server for server in servers if self._is_own(server.id)]

    def remove_server(self, server_id: str) -> None:
        """Removes a server that is gone."""
        self._is_own_by_server.pop(server_id, None)

    def _is_own(self, server_id: str) -> bool:
        is_own = self._is_own_by_server.get(server_id)
        if is_own is None:
            is_own = owner(server_id, self._node_ids) == self._node_id
            self._is_own_by_server[server_id] = is_own
        return is_own


class SpeedProber:
    """Reads the health paths of the servers that this node owns."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        connections: ServerConnections,
        codec: CallCodec,
        view: FleetView,
        speeds: ServerSpeeds,
        node_ids: Callable[[], Sequence[str]],
        note_statement: Callable[[str, float], None],
        count: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._timer = timer
        self._connections = connections
        self._codec = codec
        self._view = view
        self._speeds = speeds
        self._node_ids = node_ids
        self._note_statement = note_statement
        self._count = count
        self._probed = ProbedServers(node_id)
        # Earliest time of a server's next reading, or that of its last one.
        self._next_read_by_server: dict[str, float] = {}

    def held_s(self, server_id: str) -> float:
        """Returns for how long a statement of a server is held."""
        server = self._view.directory.get(server_id)
        is_probed = server is not None and self._health_path(server.service)
        return PROBED_HELD_S if is_probed else 0.0

    def remove_server(self, server_id: str) -> None:
        """Removes a server that is gone."""
        self._probed.remove_server(server_id)
        self._next_read_by_server.pop(server_id, None)

    async def probe_all(self) -> None:
        """Reads each owned server's health path once, concurrently."""
        configuration = self._view.configuration
        if configuration is None:
            return
        node_ids = self._node_ids()
        if len(node_ids) > MAX_NOTIFIED_NODES:
            return
        path_by_server: dict[RegisteredServer, str] = {}
        for service in configuration.service_by_name.values():
            if not service.health_path:
                continue
            servers = self._view.servers(service.name)
            if any(self._speeds.states_speed(item.id) for item in servers):
                for server in self._probed.own(node_ids, servers):
                    path_by_server[server] = service.health_path
        async with create_task_group() as tasks:
            for server in self.due(list(path_by_server)):
                tasks.start_soon(self._probe, server, path_by_server[server])

    def due(self, servers: list[RegisteredServer]) -> list[RegisteredServer]:
        """Returns those of the servers that are read now, in turn."""
        now = self._timer.now()
        due = [
            server
            for server in servers
            if self._next_read_by_server.get(server.id, now) <= now
        ]
        due.sort(key=lambda item: self._next_read_by_server.get(item.id, 0.0))
        for server in due[:MAX_PROBES]:
            self._next_read_by_server[server.id] = now
        return due[:MAX_PROBES]

    async def _probe(self, server: RegisteredServer, path: str) -> None:
        slowdown = None
        with move_on_after(PROBE_TIMEOUT_S):
            slowdown = await self._read_slowdown(server, path)
        self._count("unread" if slowdown is None else "read")
        if slowdown is None:
            self._next_read_by_server[server.id] = (
                self._timer.now() + FAILURE_PAUSE_S
            )
        else:
            self._note_statement(server.id, slowdown)

    async def _read_slowdown(
        self, server: RegisteredServer, path: str
    ) -> float | None:
        sent = await self._connections.send(
            server.id,
            server.address,
            b"GET",
            path.encode("ascii"),
            ((b"host", server.address.encode()),),
            b"",
            PROBE_TIMEOUT_S,
        )
        if isinstance(sent, Err):
            return None
        answer = sent.ok_value
        reusable_s = None
        try:
            head = self._codec.read_answer(answer.status, answer.headers)
            body = await answer.read()
            if not head.closes_connection and not isinstance(body, Err):
                reusable_s = (
                    DEFAULT_IDLE_TIMEOUT_S
                    if head.keep_alive_s is None
                    else head.keep_alive_s
                )
        finally:
            await answer.close(reusable_s)
        if answer.status != HTTP_OK or head.load is None:
            return None
        return head.load.slowdown

    def _health_path(self, service_name: str) -> str:
        configuration = self._view.configuration
        if configuration is None:
            return ""
        service = configuration.service_by_name.get(service_name)
        return "" if service is None else service.health_path
