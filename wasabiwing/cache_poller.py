"""Reads the cache events of the servers in this gateway's working sets.

Each server is polled by a task of its own, so that a slow engine does not
delay the polling of others.
"""

from anyio import CancelScope
from anyio.abc import TaskGroup
from result import Ok

from wasabiwing.cluster_view import ClusterView
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import PoolKind
from wasabiwing.ports import ModelEngine
from wasabiwing.prefix_index import PrefixIndex
from wasabiwing.timers import TimerService
from wasabiwing.working_sets import WorkingSets

# Interval between two polls of one server, in seconds. Events are hints that
# stay valid for minutes, so a delay of a second or two does little harm.
POLL_PERIOD_S = 2.0


class CachePoller:
    """Polls model engines' cache events for a gateway's prefix index."""

    def __init__(
        self,
        timer: TimerService,
        view: ClusterView,
        engine: ModelEngine,
        prefixes: PrefixIndex,
        working_sets: WorkingSets,
        tasks: TaskGroup,
    ) -> None:
        self._timer = timer
        self._view = view
        self._engine = engine
        self._prefixes = prefixes
        self._working_sets = working_sets
        self._tasks = tasks
        self._scope_by_server: dict[BackendServer, CancelScope] = {}
        timer.subscribe(POLL_PERIOD_S, self.follow_working_sets)

    async def follow_working_sets(self) -> None:
        """Starts and cancels tasks to match the current working sets."""
        wanted = self._wanted()
        for server in self._scope_by_server.keys() - wanted:
            self._scope_by_server.pop(server).cancel()
        for server in wanted - self._scope_by_server.keys():
            scope = CancelScope()
            self._scope_by_server[server] = scope
            self._tasks.start_soon(self._poll, server, scope)

    def _wanted(self) -> set[BackendServer]:
        index = self._view.index
        if index is None:
            return set()
        return {
            server
            for pool in index.configuration.pools
            if pool.kind is PoolKind.MODEL
            for server in self._working_sets.servers(pool)
        }

    async def _poll(self, server: BackendServer, scope: CancelScope) -> None:
        with scope:
            while True:
                await self._poll_once(server)
                await self._timer.sleep(POLL_PERIOD_S)

    async def _poll_once(self, server: BackendServer) -> None:
        # A restarted engine numbers its events from 1 again, below the known
        # position. It then returns all its events, and the lower number of
        # the first one invalidates the old entries.
        events = await self._engine.cache_events(
            server.address, self._prefixes.last_event_number(server.id)
        )
        if isinstance(events, Ok):
            for event in events.ok_value:
                self._prefixes.apply_event(server.id, event)
