"""Follows configuration, backend servers and nodes in the platform's store.

One watch over all keys serves a node. What is known stays in use while the
store is away; a configuration older than the one in force is never taken.
"""

from collections.abc import Callable
from random import Random

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_changes import ConfigurationChange
from wasabiwing.fleet_changes import EvacuationChange
from wasabiwing.fleet_changes import FleetChange
from wasabiwing.fleet_changes import ServerChange
from wasabiwing.leases import LEASE_PREFIX
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.ports import FollowedStore
from wasabiwing.ports import StoreChanges
from wasabiwing.ports import StoredValue
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.store_progress import StoreProgress
from wasabiwing.timers import TimerService

# A watch that hears nothing returns after this many seconds. A connection
# may have gone silent, and a server's leaving must be known within two.
WATCH_WAIT_S = 2.5

# Wait of a watch after a failure, in seconds: the store may still swallow
# calls, and each must end soon.
CAUTIOUS_WAIT_S = 0.4

# Pause after changes, in seconds: a call is paid for, and changes come in
# groups.
BATCH_PAUSE_S = 0.35

# Pause after a failed call, in seconds; spread, so that nodes do not return
# to a store at the same moment.
RETRY_PAUSE_S = 0.3

Decode = Callable[[str, bytes | None], Result[FleetChange | None, str]]


class FleetView:
    """What a node knows of the fleet."""

    def __init__(self, node_id: str, directory: ServerDirectory) -> None:
        self._node_id = node_id
        self.directory = directory
        self.configuration: ServiceConfiguration | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self._configuration_listeners: list[
            Callable[[ServiceConfiguration], None]
        ] = []
        self._server_listeners: list[Callable[[str], None]] = []

    @property
    def loaded(self) -> bool:
        """Whether configuration and servers are known."""
        return self.configuration is not None and self.directory.loaded

    def on_configuration(
        self, listener: Callable[[ServiceConfiguration], None]
    ) -> None:
        """Calls the listener with each configuration put in force."""
        self._configuration_listeners.append(listener)

    def on_server_renewed(self, listener: Callable[[str], None]) -> None:
        """Calls the listener with each server that starts anew or leaves."""
        self._server_listeners.append(listener)

    def servers(self, service: str) -> list[RegisteredServer]:
        """Returns the servers that may get new requests of a service."""
        return [
            server
            for server in self.directory.of_service(service)
            if server.availability_zone not in self.evacuated_zones
        ]

    def apply(self, change: FleetChange) -> None:
        """Takes over a change."""
        if isinstance(change, ConfigurationChange):
            self._put_in_force(change.configuration)
        elif isinstance(change, EvacuationChange):
            self._evacuate(change)
        else:
            self._change_server(change)

    def _put_in_force(self, configuration: ServiceConfiguration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            self._node_id,
            version=configuration.version,
            previous=None if current is None else current.version,
            routes=len(configuration.routes),
        )
        for listener in self._configuration_listeners:
            listener(configuration)

    def _evacuate(self, change: EvacuationChange) -> None:
        zones = set(self.evacuated_zones)
        if change.active:
            zones.add(change.availability_zone)
        else:
            zones.discard(change.availability_zone)
        if zones != self.evacuated_zones:
            self.evacuated_zones = frozenset(zones)
            log_event(
                Event.ZONE_EVACUATION,
                self._node_id,
                zone=change.availability_zone,
                active=change.active,
            )

    def _change_server(self, change: ServerChange) -> None:
        if change.problem:
            log_event(
                Event.SERVER_ENTRY_UNUSABLE,
                self._node_id,
                server=change.server_id,
                problem=change.problem,
            )
        before = self.directory.get(change.server_id)
        if change.entry is None:
            self.directory.remove(change.server_id)
            left = before is not None
        else:
            anew = self.directory.put(change.entry)
            left = change.entry.draining and (
                before is None or not before.draining
            )
            if anew:
                self._tell_server_listeners(change.server_id)
        if left:
            log_event(
                Event.SERVER_LEAVING,
                self._node_id,
                server=change.server_id,
                removed=change.entry is None,
            )
            if change.entry is None:
                self._tell_server_listeners(change.server_id)

    def _tell_server_listeners(self, server_id: str) -> None:
        for listener in self._server_listeners:
            listener(server_id)


class FleetFollower:
    """Keeps a ``FleetView`` and the node registry up to date."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        store: FollowedStore,
        decode: Decode,
        view: FleetView,
        nodes: NodeRegistry,
        progress: StoreProgress,
        random: Random,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._progress = progress
        self._store = store
        self._decode = decode
        self._view = view
        self._nodes = nodes
        self._random = random
        self._connected = True

    async def run(self) -> None:
        """Follows the store until cancelled."""
        revision: int | None = None
        while True:
            if revision is None:
                revision = await self._load()
                continue
            found = await self._watch(revision)
            if found is None:
                continue
            if isinstance(found, Err):
                if found.err_value.code is ResultCode.STORE_HISTORY_GONE:
                    revision = None
                else:
                    await self._pause_after(found.err_value)
                continue
            self._note_answer()
            revision = max(found.ok_value.revision, revision)
            for event in found.ok_value.events:
                self._progress.note_seen(event.revision)
                self._apply(event.key, event.value)
            if found.ok_value.events:
                await self._timer.sleep(BATCH_PAUSE_S)

    async def _watch(
        self, revision: int
    ) -> Result[StoreChanges, Failure] | None:
        """Waits for changes; ``None`` if the call lagged behind."""
        wait_s = WATCH_WAIT_S if self._connected else CAUTIOUS_WAIT_S
        with self._progress.begin_call():
            return await self._store.changes("", revision, wait_s)
        log_event(
            Event.DEPENDENCY_LOST,
            self._node_id,
            dependency="store",
            failure="the watch lags behind other nodes",
        )
        return None

    async def _load(self) -> int | None:
        """Reads everything; returns the revision to follow from."""
        found = await self._store.snapshot("")
        if isinstance(found, Err):
            await self._pause_after(found.err_value)
            return None
        self._note_answer()
        snapshot = found.ok_value
        for stored in snapshot.values:
            self._progress.note_seen(stored.revision)
        self._replace_all(snapshot.values)
        return snapshot.revision

    def _replace_all(self, values: tuple[StoredValue, ...]) -> None:
        value_by_key = {stored.key: stored.value for stored in values}
        self._nodes.replace_all(
            key.removeprefix(LEASE_PREFIX)
            for key in value_by_key
            if key.startswith(LEASE_PREFIX)
        )
        evacuated = set()
        entry_by_id: dict[str, RegisteredServer] = {}
        for key, value in value_by_key.items():
            change = self._decoded(key, value)
            if isinstance(change, EvacuationChange):
                evacuated.add(change.availability_zone)
            elif isinstance(change, ServerChange):
                if change.entry is not None:
                    entry_by_id[change.server_id] = change.entry
            if change is not None:
                self._view.apply(change)
        for zone in self._view.evacuated_zones - evacuated:
            self._view.apply(EvacuationChange(zone, False))
        self._view.directory.replace_all(entry_by_id)

    def _apply(self, key: str, value: bytes | None) -> None:
        if key.startswith(LEASE_PREFIX):
            self._nodes.apply(key.removeprefix(LEASE_PREFIX), value)
            return
        change = self._decoded(key, value)
        if change is not None:
            self._view.apply(change)

    def _decoded(self, key: str, value: bytes | None) -> FleetChange | None:
        decoded = self._decode(key, value)
        if isinstance(decoded, Ok):
            return decoded.ok_value
        log_event(
            Event.CONFIGURATION_REJECTED,
            self._node_id,
            key=key,
            problem=decoded.err_value,
        )
        return None

    async def _pause_after(self, failure: Failure) -> None:
        self._view.directory.note_store_failure()
        if self._connected:
            self._connected = False
            log_event(
                Event.DEPENDENCY_LOST,
                self._node_id,
                dependency="store",
                failure=str(failure),
            )
        await self._timer.sleep(RETRY_PAUSE_S * (1.0 + self._random.random()))

    def _note_answer(self) -> None:
        self._view.directory.note_store_answer()
        if not self._connected:
            self._connected = True
            log_event(
                Event.DEPENDENCY_REGAINED, self._node_id, dependency="store"
            )
