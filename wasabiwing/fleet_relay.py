"""Relays store changes and aggregated reports between nodes.

Load pattern: hundreds of nodes and a store that counts every call. The first
head of each zone watches the store; heads push changes to each other and to
the nodes of their zone. A push carries the store's era and revision, so that
older state never replaces newer state, and the state's age, so that a node
knows when to read the store itself (``store_readers``). A node that the store
rejects gets the changes from other nodes; one that reads in place of a head
sends pushes to the heads of its zone.
"""

from math import inf

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import Envelope
from wasabiwing.messages import FirstEventEntry
from wasabiwing.messages import FleetContent
from wasabiwing.messages import FleetRequest
from wasabiwing.messages import HeadPush
from wasabiwing.messages import RelayedChange
from wasabiwing.messages import RelayedValue
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.node_reports import NodeReports
from wasabiwing.node_reports import ReportedState
from wasabiwing.ports import StoredValue
from wasabiwing.ports import Transport
from wasabiwing.ports import WatchEvent
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.store_cache import decompress_value
from wasabiwing.store_cache import MAX_INLINE_VALUE_BYTES
from wasabiwing.store_eras import era_of
from wasabiwing.store_eras import revision_of
from wasabiwing.store_eras import store_position
from wasabiwing.store_readers import SECOND_HEAD_AGE_S
from wasabiwing.store_readers import StoreReaders
from wasabiwing.timers import TimerService
from wasabiwing.zone_heads import HEAD_SILENCE_S
from wasabiwing.zone_heads import ZoneHeads

# Interval between two pushes of a head to the other heads, in seconds.
PUSH_PERIOD_S = 0.25

# A head pushes to the nodes of its zone once in this many periods. The heads
# of a zone do so in different periods.
NODE_PUSH_EVERY = 2

# Each change is repeated in all pushes of this many seconds, so that a lost
# push does no harm.
CHANGE_REPEAT_S = 1.2

# Largest age of the first state that a started node accepts from another node,
# in seconds. A head that was suspended may not know yet that a server has left
# or that a key was withdrawn.
MAX_INITIAL_AGE_S = 3.0

# Shortest interval between two requests for missed changes, in seconds.
MIN_REQUEST_INTERVAL_S = 0.7

# Largest age that messages state, in seconds; "never" is stated as this.
MAX_STATED_AGE_S = 1_000_000.0

MILLISECONDS = 1000.0


class FleetRelay:
    """Sends and receives pushes and catch-up messages on one node."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        heads: ZoneHeads,
        nodes: NodeRegistry,
        follower: FleetFollower,
        directory: ServerDirectory,
        reports: NodeReports,
        shared: ReportedState,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._heads = heads
        self._nodes = nodes
        self._follower = follower
        self._knowledge = follower.knowledge
        self._directory = directory
        self._reports = reports
        self._shared = shared
        self._push_count = 0
        # Times of the latest pushes, also of those that a stand-in would have
        # sent, with the revisions known then.
        self._recent_pushes: list[tuple[float, int]] = []
        self._requested_at = -inf
        self.readers = StoreReaders(node_id, timer, heads, self._knowledge)
        follower.must_watch = self.readers.must_watch
        follower.until_watch_s = self.readers.until_read_s
        follower.is_watch_shared = self.readers.is_watch_shared
        follower.uses_long_backoff = lambda: heads.uses_heads

    async def push(self) -> None:
        """Pushes state to other nodes; called every ``PUSH_PERIOD_S``."""
        rank = self._heads.own_rank()
        self._push_count += 1
        revision = self._follower.store_cache.revision
        if revision is None:
            return
        since = self._record_push(revision)
        if rank is None:
            self._push_as_stand_in(revision, since)
            return
        zone_aggregate = self._reports.aggregate_zone(self._shared)
        since, changes = self._changes_to_push(revision, since)
        # Ages that other zones' heads have told go to nodes only: between
        # heads they would go round, each time without the time on the way.
        to_heads = self._build_push(
            revision,
            since,
            changes,
            self._knowledge.zone_read_age_s(),
            zone_aggregate,
        )
        for zone, heads in self._heads.heads_by_zone().items():
            for node_id in self._heads.push_receivers(zone):
                self._send_push(node_id, to_heads)
            if zone != self._heads.zone:
                continue
            self._push_to_nodes(rank, heads, revision, since, changes)

    def _push_as_stand_in(self, revision: int, since: int) -> None:
        """Tells the heads of the zone what this node has read itself."""
        read_age_s = self._knowledge.read_age_s()
        if not self.readers.stands_in or read_age_s > SECOND_HEAD_AGE_S:
            return
        since, changes = self._changes_to_push(revision, since)
        message = self._build_push(revision, since, changes, read_age_s)
        for node_id in self._heads.heads_of_zone(self._heads.zone):
            self._send_push(node_id, message)

    def _changes_to_push(
        self, revision: int, since: int
    ) -> tuple[int, tuple[RelayedChange, ...]]:
        """Returns the changes after ``since``, or none after ``revision``."""
        changes = self._encoded_changes(since)
        return (revision, ()) if changes is None else (since, changes)

    async def receive_push(self, envelope: Envelope, push: HeadPush) -> None:
        """Applies a push of a head."""
        self._heads.note_heard(envelope.sender)
        self._reports.receive_push(push, self._shared)
        now = self._timer.now()
        synced_at = now - push.age_ms / MILLISECONDS
        self._note_zone_read(envelope.sender, push)
        if push.since_store_recovery_ms >= 0:
            self._directory.note_store_recovery(
                now - push.since_store_recovery_ms / MILLISECONDS
            )
        era = push.store_era
        revision = store_position(era, push.revision)
        known_revision = self._follower.store_cache.revision
        if known_revision is not None and revision < known_revision:
            return
        events = [
            WatchEvent(
                change.key, store_position(era, change.revision), change.value
            )
            for change in push.changes
        ]
        omitted = any(
            change.omitted and event.revision > (known_revision or 0)
            for change, event in zip(push.changes, events, strict=True)
        )
        since = store_position(era, push.since)
        if known_revision is None or since > known_revision or omitted:
            self._request_changes(envelope.reply_to)
            return
        if not self._follower.apply_changes(events, revision):
            return
        self._knowledge.note_synced(synced_at, envelope.sender)
        is_own_read = (
            push.zone_reader == envelope.sender
            and push.zone == self._heads.zone
        )
        if is_own_read:
            read_at = now - push.zone_read_age_ms / MILLISECONDS
            self._knowledge.note_zone_read(read_at, envelope.sender)

    def _note_zone_read(self, sender: str, push: HeadPush) -> None:
        """Notes which node of this zone has read the store, and when."""
        if push.zone != self._heads.zone:
            return
        reader, age_ms = push.zone_reader, push.zone_read_age_ms
        if age_ms < 0:
            # Heads of earlier builds tell only how old their knowledge is.
            reader, age_ms = sender, push.age_ms
        self.readers.note_zone_read(
            reader, self._timer.now() - age_ms / MILLISECONDS
        )

    async def answer_catch_up(
        self, envelope: Envelope, request: FleetRequest
    ) -> None:
        """Answers a node's request for the changes that it has missed."""
        cache = self._follower.store_cache
        if cache.revision is None:
            return
        era = era_of(cache.revision)
        if request.store_era > era:
            return
        # Of an earlier era nothing holds any more.
        since = request.revision if request.store_era == era else 0
        reply = FleetContent(
            since,
            revision_of(cache.revision),
            _age_ms(self._knowledge.age_s()),
            tuple(
                RelayedValue(
                    compressed.key,
                    revision_of(compressed.revision),
                    compressed.content,
                )
                for compressed in cache.compressed_values_since(
                    store_position(era, since)
                )
            ),
            cache.keys(),
            era,
        )
        self._transport.send(envelope.reply_to, reply)

    async def receive_catch_up(
        self, envelope: Envelope, reply: FleetContent
    ) -> None:
        """Applies the reply to a request for missed changes."""
        self._requested_at = -inf
        values: list[StoredValue] = []
        for received in reply.values:
            value = decompress_value(received.content)
            if value is None:
                log_event(
                    Event.MESSAGE_DROPPED,
                    self._node_id,
                    reason="unreadable value",
                    detail=f"{received.key} from {envelope.sender}",
                )
                return
            position = store_position(reply.store_era, received.revision)
            values.append(StoredValue(received.key, value, position))
        synced_at = self._timer.now() - reply.age_ms / MILLISECONDS
        revision = store_position(reply.store_era, reply.revision)
        cache = self._follower.store_cache
        if cache.revision is None:
            is_recent = reply.age_ms <= MAX_INITIAL_AGE_S * MILLISECONDS
            if reply.since == 0 and is_recent:
                self._apply_listing(
                    envelope.sender, values, revision, synced_at
                )
            return
        if revision < cache.revision:
            return
        if reply.store_era > era_of(cache.revision):
            if reply.since == 0:
                self._apply_listing(
                    envelope.sender, values, revision, synced_at
                )
            return
        if cache.revision < store_position(reply.store_era, reply.since):
            return
        present = frozenset(reply.keys)
        events = [
            WatchEvent(key, revision, None)
            for key in cache.keys()
            if key not in present
        ]
        events += [
            WatchEvent(stored.key, stored.revision, stored.value)
            for stored in sorted(values, key=lambda stored: stored.revision)
        ]
        if self._follower.apply_changes(events, revision):
            self._knowledge.note_synced(synced_at, envelope.sender)

    def _apply_listing(
        self,
        sender: str,
        values: list[StoredValue],
        revision: int,
        synced_at: float,
    ) -> None:
        if self._follower.apply_snapshot(tuple(values), revision):
            self._knowledge.note_synced(synced_at, sender)

    def _push_to_nodes(
        self,
        rank: int,
        heads: tuple[str, ...],
        revision: int,
        since: int,
        changes: tuple[RelayedChange, ...],
    ) -> None:
        if self._push_count % NODE_PUSH_EVERY != rank % NODE_PUSH_EVERY:
            return
        # The first head's aggregate is enough while that head is heard.
        aggregate = None
        first_is_silent = rank > 0 and not self._heads.heard_within(
            heads[0], HEAD_SILENCE_S
        )
        if rank == 0 or first_is_silent:
            aggregate = self._reports.aggregate_fleet(self._shared)
        message = self._build_push(
            revision, since, changes, self._knowledge.age_s(), None, aggregate
        )
        members = self._nodes.ids_by_zone().get(self._heads.zone, [])
        for node_id in members:
            if node_id not in heads:
                self._send_push(node_id, message)

    def _build_push(
        self,
        revision: int,
        since: int,
        changes: tuple[RelayedChange, ...],
        age_s: float,
        zone_aggregate: AggregatedReport | None = None,
        fleet_aggregate: AggregatedReport | None = None,
    ) -> HeadPush:
        recovered_at = self._directory.store_recovered_at
        since_recovery_ms = -1
        if recovered_at > -inf:
            since_recovery_s = self._timer.now() - recovered_at
            since_recovery_ms = int(since_recovery_s * MILLISECONDS)
        return HeadPush(
            self._heads.zone,
            revision_of(revision),
            revision_of(since),
            _age_ms(age_s),
            since_recovery_ms,
            changes,
            zone_aggregate,
            fleet_aggregate,
            era_of(revision),
            self._knowledge.zone_reader,
            _read_age_ms(self._knowledge.zone_read_age_s()),
            self._first_events(zone_aggregate, fleet_aggregate),
            () if zone_aggregate is None else self._shared.orders.reported(),
        )

    def _first_events(
        self,
        zone_aggregate: AggregatedReport | None,
        fleet_aggregate: AggregatedReport | None,
    ) -> tuple[FirstEventEntry, ...]:
        if zone_aggregate is not None:
            return self._shared.first_events.zone_entries()
        if fleet_aggregate is not None:
            return self._shared.first_events.fleet_entries()
        return ()

    def _send_push(self, node_id: str, message: HeadPush) -> None:
        inbox = self._heads.inbox(node_id)
        if inbox is not None and node_id != self._node_id:
            self._transport.send(inbox, message)

    def _record_push(self, revision: int) -> int:
        """Records a time of a push; returns what to repeat changes after."""
        now = self._timer.now()
        self._recent_pushes.append((now, revision))
        while self._recent_pushes[0][0] < now - CHANGE_REPEAT_S or era_of(
            self._recent_pushes[0][1]
        ) != era_of(revision):
            del self._recent_pushes[0]
        return self._recent_pushes[0][1]

    def _encoded_changes(self, since: int) -> tuple[RelayedChange, ...] | None:
        events = self._follower.store_cache.changes_since(since)
        if events is None:
            return None
        return tuple(_encode_change(event) for event in events)

    def _request_changes(self, inbox: str) -> None:
        """Requests the changes that this node has missed."""
        now = self._timer.now()
        if now - self._requested_at < MIN_REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        known = self._follower.store_cache.revision or 0
        self._transport.send(
            inbox, FleetRequest(revision_of(known), era_of(known))
        )


def _age_ms(age_s: float) -> int:
    """Returns an age in milliseconds, as messages state it."""
    return int(min(max(age_s, 0.0), MAX_STATED_AGE_S) * MILLISECONDS)


def _read_age_ms(age_s: float) -> int:
    return -1 if age_s == inf else _age_ms(age_s)


def _encode_change(event: WatchEvent) -> RelayedChange:
    revision = revision_of(event.revision)
    if event.value is not None and len(event.value) > MAX_INLINE_VALUE_BYTES:
        return RelayedChange(event.key, revision, omitted=True)
    return RelayedChange(event.key, revision, event.value)
