"""Follows configuration, backend servers and nodes in the platform's store.

A node either watches all keys itself or receives changes from other nodes.
The last known state stays in use while the store is unavailable. A
configuration older than the one in force is never applied. When the store
comes back from an older copy, what is known to have ended does not begin
again: a server that left stays away until it writes anew, and an evacuation
holds for ``RESTORE_HOLD_S`` until the operator has written it again.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from math import inf
from random import Random

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.error_containment import call_logging_errors
from wasabiwing.error_containment import log_error
from wasabiwing.error_containment import run_logging_errors
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_changes import ConfigurationChange
from wasabiwing.fleet_changes import ConfigurationDocument
from wasabiwing.fleet_changes import EvacuationChange
from wasabiwing.fleet_changes import FleetChange
from wasabiwing.fleet_changes import ServerChange
from wasabiwing.known_problems import KnownProblems
from wasabiwing.leases import LEASE_PREFIX
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.ports import LongPollStore
from wasabiwing.ports import StoreChanges
from wasabiwing.ports import StoredValue
from wasabiwing.ports import WatchEvent
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.store_cache import StoreCache
from wasabiwing.store_eras import era_of
from wasabiwing.store_eras import revision_of
from wasabiwing.store_knowledge import StoreKnowledge
from wasabiwing.store_progress import StoreProgress
from wasabiwing.timers import TimerService

# Longest wait of a watch for changes, in seconds. Its connection may have been
# lost without an error, and a server's departure must be known within two
# seconds.
WATCH_WAIT_S = 1.8

# Longest wait of a watch on which other nodes depend, in seconds.
SHARED_WATCH_WAIT_S = 0.4

# Longest wait of a watch after a failure, in seconds. The store may still
# leave calls unanswered, so each call has to end soon.
WATCH_WAIT_AFTER_FAILURE_S = 0.4

# Time in which the store usually answers a watch that finds changes, in
# seconds. What comes later may have been on the way for the rest of the time.
TIMELY_ANSWER_S = 0.3

# Pause after changes, in seconds. The store charges for every call, and
# changes come in groups.
BATCH_PAUSE_S = 0.35

# Pause after changes of a node on whose watch others depend, in seconds. There
# are several such nodes, and they watch at different moments.
SHARED_BATCH_PAUSE_S = 0.6

# Shortest pause after a failed call, in seconds. Jitter of up to the same
# length keeps nodes from calling the store again at the same moment.
RETRY_PAUSE_S = 0.3

# Longest pause while the store is unavailable, in seconds and before jitter.
MAX_RETRY_PAUSE_S = 1.0

# Interval at which a node that does not watch checks whether it has to, in
# seconds.
ROLE_CHECK_PERIOD_S = 0.2

# Shortest such interval, in seconds.
MIN_ROLE_CHECK_PERIOD_S = 0.01

# Time in seconds for which an evacuation stays in force that a restored store
# does not hold.
RESTORE_HOLD_S = 10.0

# Longest description of a problem that is logged, in characters. It may quote
# the value, which has up to a megabyte.
MAX_PROBLEM_LENGTH = 200

# Called with a key and its value; the value of a removed key is ``None``.
KeyListener = Callable[[str, bytes | None], None]

ChangeDecoder = Callable[[str, bytes | None], Result[FleetChange | None, str]]


class FleetView:
    """A node's view of configuration, servers and evacuated zones."""

    def __init__(self, node_id: str, directory: ServerDirectory) -> None:
        self._node_id = node_id
        self.directory = directory
        self.configuration: ServiceConfiguration | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self._configuration_listeners: list[
            Callable[[ServiceConfiguration], None]
        ] = []
        self._server_listeners: list[Callable[[str], None]] = []
        self._on_new_server: Callable[[], None] = lambda: None
        self._problem_by_server = KnownProblems()

    @property
    def loaded(self) -> bool:
        """Whether configuration and servers are known."""
        return self.configuration is not None and self.directory.loaded

    def on_configuration(
        self, listener: Callable[[ServiceConfiguration], None]
    ) -> None:
        """Registers a listener for each configuration put in force."""
        self._configuration_listeners.append(listener)

    def on_server_restarted_or_removed(
        self, listener: Callable[[str], None]
    ) -> None:
        """Registers a listener for ids of restarted and removed servers."""
        self._server_listeners.append(listener)

    def on_new_server(self, listener: Callable[[], None]) -> None:
        """Registers a listener for servers that are added or restarted."""
        self._on_new_server = listener

    def servers(self, service: str) -> list[RegisteredServer]:
        """Returns the servers that may get new requests of a service."""
        return [
            server
            for server in self.directory.servers_of_service(service)
            if server.availability_zone not in self.evacuated_zones
        ]

    def apply(self, change: FleetChange) -> None:
        """Applies a change to this view."""
        if isinstance(change, ConfigurationChange):
            self._put_in_force(change.configuration)
        elif isinstance(change, EvacuationChange):
            self._apply_evacuation(change)
        else:
            self._apply_server_change(change)

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
            call_logging_errors(
                self._node_id,
                "configuration listener",
                partial(listener, configuration),
            )

    def _apply_evacuation(self, change: EvacuationChange) -> None:
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

    def is_more_than_heartbeat(self, change: FleetChange) -> bool:
        """Returns whether a change is more than a server's heartbeat.

        An unusable entry is none if its server is unknown anyway.
        """
        if not isinstance(change, ServerChange):
            return True
        if change.entry is None:
            is_known = self.directory.get(change.server_id) is not None
            return is_known or not change.problem
        return self.directory.is_more_than_heartbeat(change.entry)

    def _apply_server_change(self, change: ServerChange) -> None:
        problem = change.problem[:MAX_PROBLEM_LENGTH]
        if not problem:
            self._problem_by_server.forget(change.server_id)
        elif self._problem_by_server.is_new(change.server_id, problem):
            log_event(
                Event.SERVER_ENTRY_UNUSABLE,
                self._node_id,
                server=change.server_id,
                problem=problem,
            )
        before = self.directory.get(change.server_id)
        if change.entry is None:
            self.directory.remove(change.server_id)
            has_left = before is not None
        else:
            restarted = self.directory.put(change.entry)
            has_left = change.entry.draining and (
                before is None or not before.draining
            )
            if restarted:
                self._notify_server_listeners(change.server_id)
            if restarted or before is None:
                self._on_new_server()
        if has_left:
            log_event(
                Event.SERVER_LEAVING,
                self._node_id,
                server=change.server_id,
                removed=change.entry is None,
            )
            if change.entry is None:
                self._notify_server_listeners(change.server_id)

    def _notify_server_listeners(self, server_id: str) -> None:
        for listener in self._server_listeners:
            call_logging_errors(
                self._node_id, "server listener", partial(listener, server_id)
            )


@dataclass(eq=False, slots=True)
class _Listing:
    """What was found so far in a complete listing of the store."""

    evacuated_zones: set[str] = field(default_factory=set)
    entry_by_id: dict[str, RegisteredServer] = field(default_factory=dict)
    # Servers that have left after the copy that the store was restored from.
    left_ids: list[str] = field(default_factory=list)


class FleetFollower:
    """Keeps a ``FleetView`` and the node registry up to date."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        store: LongPollStore,
        decode: ChangeDecoder,
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
        self._failure_count = 0
        self._failed_step_count = 0
        # Why values could not be read, and errors of applying them.
        self._problem_by_key = KnownProblems()
        self._error_by_key = KnownProblems()
        # Whether the store holds a configuration that cannot be read.
        self.is_configuration_unreadable = False
        # The document of the configuration in force.
        self.configuration_document: ConfigurationDocument | None = None
        # Called for each stored value that cannot be used, with its kind.
        self.count_unusable: Callable[[str], None] = lambda kind: None
        self._listener_by_prefix: dict[str, KeyListener] = {}
        self.store_cache = StoreCache()
        # Zones whose evacuation the store holds, and the monotonic time at
        # which all others end that were held over a restore.
        self._zones_in_store: set[str] = set()
        self._hold_until = inf
        # Positions of what the store held when it came back.
        self._copied_position_by_key: dict[str, int] = {}
        # How current the store cache is.
        self.knowledge = StoreKnowledge(node_id, timer)
        # Whether this node has to watch the store now, and whether other
        # nodes depend on its watch.
        self.must_watch: Callable[[], bool] = lambda: True
        self.is_watch_shared: Callable[[], bool] = lambda: False
        # Time until this node has to watch, in seconds, unless it hears news.
        self.until_watch_s: Callable[[], float] = lambda: ROLE_CHECK_PERIOD_S
        # Whether the deployment is so large that the pause after repeated
        # failures has to grow.
        self.uses_long_backoff: Callable[[], bool] = lambda: False

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            if await run_logging_errors(self._node_id, "follower", self._step):
                self._failed_step_count = 0
                continue
            self._failed_step_count += 1
            pause_s = min(
                RETRY_PAUSE_S * self._failed_step_count, MAX_RETRY_PAUSE_S
            )
            await self._timer.sleep(pause_s * (1.0 + self._random.random()))

    async def _step(self) -> None:
        """Makes one call to the store, or sleeps while none is needed."""
        if self._timer.now() >= self._hold_until:
            self._hold_until = inf
            self._end_evacuations()
        if self.store_cache.revision is None:
            await self._load()
        elif self.must_watch():
            await self._follow(self.store_cache.revision)
        else:
            await self._timer.sleep(
                min(
                    max(self.until_watch_s(), MIN_ROLE_CHECK_PERIOD_S),
                    ROLE_CHECK_PERIOD_S,
                )
            )

    def on_key_change(self, prefix: str, listener: KeyListener) -> None:
        """Registers a listener for the keys that begin with a prefix."""
        self._listener_by_prefix[prefix] = listener

    def apply_document(self, document: ConfigurationDocument) -> bool:
        """Puts a newer configuration in force that another node has.

        Returns whether it is in force now.
        """
        decoded = self._decode(document.key, document.value)
        change = decoded.ok_value if isinstance(decoded, Ok) else None
        if not isinstance(change, ConfigurationChange):
            return False
        self._apply_to_view(document.key, document.value, change)
        return self.configuration_document == document

    def apply_changes(
        self, events: Iterable[WatchEvent], revision: int
    ) -> bool:
        """Applies changes up to a revision, in order.

        Changes of another era than that of the cache are ignored, because
        they need a complete listing first. Returns whether they were not.
        """
        known = self.store_cache.revision
        if known is not None and era_of(known) != era_of(revision):
            return False
        for event in self.store_cache.note_changes(events, revision):
            self._progress.note_own_revision(event.revision)
            if self._apply_or_log(event.key, event.value):
                self.store_cache.retain_change(event)
        return True

    def apply_snapshot(
        self, values: tuple[StoredValue, ...], revision: int
    ) -> bool:
        """Applies a complete listing unless the cache is newer.

        The listing is read again if it was applied in part only. Returns
        whether the cache was not newer.
        """
        known = self.store_cache.revision
        if not self.store_cache.replace_all(values, revision):
            log_event(
                Event.STORE_LISTING_REFUSED,
                self._node_id,
                revision=revision,
                known=known,
            )
            return False
        for stored in values:
            self._progress.note_own_revision(stored.revision)
        is_restored = known is not None and era_of(known) != era_of(revision)
        if is_restored:
            # Servers that registered after the copy write again soon.
            self._view.directory.note_store_recovery(self._timer.now())
        try:
            self._apply_listing(values, is_restored)
        except Exception:
            self.store_cache.forget()
            raise
        return True

    async def _follow(self, revision: int) -> None:
        """Waits for changes once and applies them."""
        began_at = self._timer.now()
        wait_s = self._watch_wait_s()
        found = await self._watch(revision, wait_s)
        if found is None:
            return
        if isinstance(found, Err):
            if found.err_value.code is ResultCode.STORE_HISTORY_GONE:
                await self._load()
            else:
                # A store that is away answers late, or refuses the call.
                is_late = self._timer.now() - began_at >= wait_s
                is_lost = found.err_value.code is ResultCode.STORE_REPLY_LOST
                was_connected = self._connected
                self._note_failure(found.err_value, is_lost and not is_late)
                # A connection that went silent says nothing of the store, so
                # the next call is made at once.
                if not (was_connected and is_lost and is_late):
                    await self._timer.sleep(self._retry_pause_s())
            return
        self._note_success()
        changes = found.ok_value
        # An answer that comes late tells of the time when it was due.
        due_s = TIMELY_ANSWER_S if changes.events else wait_s
        read_at = min(self._timer.now(), began_at + due_s)
        if self.apply_changes(changes.events, changes.revision):
            self.knowledge.note_read(read_at)
        if changes.events:
            is_shared = self.is_watch_shared()
            await self._timer.sleep(
                SHARED_BATCH_PAUSE_S if is_shared else BATCH_PAUSE_S
            )

    def _watch_wait_s(self) -> float:
        if not self._connected:
            return WATCH_WAIT_AFTER_FAILURE_S
        return SHARED_WATCH_WAIT_S if self.is_watch_shared() else WATCH_WAIT_S

    async def _watch(
        self, revision: int, wait_s: float
    ) -> Result[StoreChanges, Failure] | None:
        """Waits for changes; ``None`` if the call was cancelled for lag."""
        with self._progress.begin_watch():
            return await self._store.changes("", revision, wait_s)
        log_event(
            Event.DEPENDENCY_LOST,
            self._node_id,
            dependency="store",
            failure="the watch lags behind other nodes",
        )
        return None

    async def _load(self) -> None:
        """Reads all keys of the store."""
        began_at = self._timer.now()
        found = await self._store.snapshot("")
        if isinstance(found, Err):
            self._note_failure(found.err_value)
            await self._timer.sleep(self._retry_pause_s())
            return
        self._note_success()
        snapshot = found.ok_value
        if self.apply_snapshot(snapshot.values, snapshot.revision):
            self.knowledge.note_read(began_at)
        era = era_of(snapshot.revision)
        if (
            self.store_cache.revision != snapshot.revision
            or era != self._store.eras.current
        ):
            # The listing is older than the cache, or of an earlier era;
            # reading again later loses nothing.
            await self._timer.sleep(RETRY_PAUSE_S)

    def _apply_listing(
        self, values: tuple[StoredValue, ...], is_restored: bool
    ) -> None:
        if is_restored:
            self._copied_position_by_key = {
                stored.key: stored.revision for stored in values
            }
        self.is_configuration_unreadable = False
        self._nodes.replace_all(
            stored.key.removeprefix(LEASE_PREFIX)
            for stored in values
            if stored.key.startswith(LEASE_PREFIX)
        )
        listing = _Listing()
        for stored in values:
            self._contain(
                stored.key, partial(self._apply_listed, stored, listing)
            )
        self._zones_in_store = listing.evacuated_zones
        held_zones = self._view.evacuated_zones - listing.evacuated_zones
        if is_restored and held_zones:
            self._hold_until = self._timer.now() + RESTORE_HOLD_S
        elif self._hold_until == inf:
            self._end_evacuations()
        self._view.directory.replace_all(listing.entry_by_id)
        if is_restored:
            self._log_kept(held_zones, listing.left_ids)

    def _apply_listed(self, stored: StoredValue, listing: _Listing) -> None:
        """Applies a value of a complete listing and notes it there."""
        self._notify_listeners(stored.key, stored.value)
        change = self._decode_change(stored.key, stored.value)
        if isinstance(change, EvacuationChange):
            listing.evacuated_zones.add(change.availability_zone)
        elif isinstance(change, ServerChange) and change.entry is not None:
            entry: RegisteredServer | None = change.entry
            copied = self._copied_position_by_key.get(stored.key)
            if copied == stored.revision:
                entry = self._view.directory.entry_after_restore(change.entry)
            if entry is None:
                listing.left_ids.append(change.server_id)
                return
            change = replace(change, entry=entry)
            listing.entry_by_id[change.server_id] = entry
        if change is not None:
            self._apply_to_view(stored.key, stored.value, change)

    def _apply_to_view(
        self, key: str, value: bytes | None, change: FleetChange
    ) -> None:
        """Applies a change; keeps the document of a new configuration."""
        self._view.apply(change)
        if (
            isinstance(change, ConfigurationChange)
            and value is not None
            and self._view.configuration is change.configuration
        ):
            self.configuration_document = ConfigurationDocument(key, value)

    def _contain(self, key: str, action: Callable[[], None]) -> bool:
        """Applies a stored value; logs an error and returns false for one.

        The error of one value ends neither the task nor hides the others.
        """
        try:
            action()
        except Exception as error:
            self.count_unusable("failed")
            description = repr(error)[:MAX_PROBLEM_LENGTH]
            if self._error_by_key.is_new(key, description):
                log_error(self._node_id, f"follower, {key}", error)
            return False
        self._error_by_key.forget(key)
        return True

    def _end_evacuations(self) -> None:
        """Ends the evacuations that the store does not hold."""
        for zone in self._view.evacuated_zones - self._zones_in_store:
            self._view.apply(EvacuationChange(zone, False))

    def _log_kept(
        self, held_zones: frozenset[str], left_ids: list[str]
    ) -> None:
        """Logs what of this node's knowledge goes before a restored store."""
        configuration = self._view.configuration
        log_event(
            Event.STORE_KNOWLEDGE_KEPT,
            self._node_id,
            revision=revision_of(self.store_cache.revision or 0),
            version=configuration.version if configuration else None,
            zones=sorted(held_zones),
            servers_left=sorted(left_ids),
        )

    def _apply_or_log(self, key: str, value: bytes | None) -> bool:
        """Applies a change; returns whether other nodes need to get it."""
        is_relayed = False

        def apply() -> None:
            nonlocal is_relayed
            is_relayed = self._apply(key, value)

        # What this node could not apply, another may.
        return not self._contain(key, apply) or is_relayed

    def _apply(self, key: str, value: bytes | None) -> bool:
        """Applies a change; returns whether other nodes need to get it."""
        if key.startswith(LEASE_PREFIX):
            self._nodes.apply(key.removeprefix(LEASE_PREFIX), value)
            return True
        if self._notify_listeners(key, value):
            return True
        change = self._decode_change(key, value)
        if change is None:
            return False
        if isinstance(change, EvacuationChange):
            self._note_evacuation(change)
        is_relayed = self._view.is_more_than_heartbeat(change)
        self._apply_to_view(key, value, change)
        return is_relayed

    def _note_evacuation(self, change: EvacuationChange) -> None:
        if change.active:
            self._zones_in_store.add(change.availability_zone)
        else:
            self._zones_in_store.discard(change.availability_zone)

    def _notify_listeners(self, key: str, value: bytes | None) -> bool:
        """Calls a key's listeners; returns whether there are any."""
        found = False
        for prefix, listener in self._listener_by_prefix.items():
            if key.startswith(prefix):
                listener(key, value)
                found = True
        return found

    def _decode_change(
        self, key: str, value: bytes | None
    ) -> FleetChange | None:
        decoded = self._decode(key, value)
        if isinstance(decoded, Ok):
            change = decoded.ok_value
            if isinstance(change, ServerChange) and change.problem:
                self.count_unusable("server")
            else:
                self._problem_by_key.forget(key)
            if isinstance(change, ConfigurationChange):
                self.is_configuration_unreadable = False
            return change
        self.is_configuration_unreadable = True
        self.count_unusable("configuration")
        problem = decoded.err_value[:MAX_PROBLEM_LENGTH]
        if self._problem_by_key.is_new(key, problem):
            log_event(
                Event.CONFIGURATION_REJECTED,
                self._node_id,
                key=key,
                problem=problem,
            )
        return None

    def _note_failure(self, failure: Failure, is_cut: bool = False) -> None:
        """Records a failed call; ``is_cut`` stands for a cut watch."""
        self._view.directory.note_store_failure(is_cut)
        self._failure_count += 1
        if self._connected:
            self._connected = False
            log_event(
                Event.DEPENDENCY_LOST,
                self._node_id,
                dependency="store",
                failure=str(failure),
            )

    def _retry_pause_s(self) -> float:
        """Returns the pause after a failure in seconds, with jitter.

        In a large deployment the pause grows with the number of failures.
        """
        pause_s = RETRY_PAUSE_S
        if self.uses_long_backoff():
            pause_s = min(
                RETRY_PAUSE_S * self._failure_count, MAX_RETRY_PAUSE_S
            )
        return pause_s * (1.0 + self._random.random())

    def _note_success(self) -> None:
        self._failure_count = 0
        self._view.directory.note_store_answer()
        if not self._connected:
            self._connected = True
            log_event(
                Event.DEPENDENCY_REGAINED, self._node_id, dependency="store"
            )
