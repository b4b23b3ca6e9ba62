"""Passes on what the store says, and sums of reports, within the fleet.

Load pattern: hundreds of nodes before a store that counts every call. The
first head of each zone watches the store; heads tell each other and the
nodes of their zone. What is passed on carries the revision of the store, so
that nothing older replaces something newer, and its age, so that a node knows
when to read for itself. A node that the store turns away learns from others.
"""

from math import inf
from random import Random
from zlib import decompressobj
from zlib import error as ZlibError

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import CatchUpReply
from wasabiwing.messages import CatchUpRequest
from wasabiwing.messages import Envelope
from wasabiwing.messages import HeadPush
from wasabiwing.messages import RelayedChange
from wasabiwing.messages import RelayedValue
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.node_reports import NodeReports
from wasabiwing.node_reports import SharedState
from wasabiwing.ports import StoredValue
from wasabiwing.ports import Transport
from wasabiwing.ports import WatchEvent
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.store_cache import MAX_INLINE_VALUE_BYTES
from wasabiwing.timers import TimerService
from wasabiwing.zone_heads import HEAD_SILENCE_S
from wasabiwing.zone_heads import ZoneHeads

# Time between two messages of a head to the other heads, in seconds.
PUSH_PERIOD_S = 0.25

# The nodes of the zone get one once in so many periods, from each head at
# another time.
NODE_PUSH_EVERY = 2

# Each change is in the messages of this many seconds, so that a lost one
# costs nothing.
REPEATED_S = 1.2

# Knowledge older than this is refreshed from the store, in seconds: by the
# second head, by a node that hears no head, and by a node that hears heads
# which know nothing newer themselves.
SECOND_HEAD_STALE_S = 1.0
UNHEARD_STALE_S = 1.5
HEARD_STALE_S = 2.5

# Spread of the last of these over the nodes, in seconds.
HEARD_STALE_JITTER_S = 5.0

# A node that has just started takes nothing older than this from another node,
# in seconds: a head that stood still may not know yet that a server has left
# or a key was withdrawn.
MAX_INITIAL_AGE_S = 3.0

# A request for missed changes is repeated after this many seconds.
REQUEST_PAUSE_S = 0.7

# Largest value that is taken from another node, in bytes; the store holds
# none that is larger.
MAX_VALUE_BYTES = 4_194_304

MILLISECONDS = 1000.0


class FleetRelay:
    """This node's part in passing on."""

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
        shared: SharedState,
        random: Random,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._heads = heads
        self._nodes = nodes
        self._follower = follower
        self._directory = directory
        self._reports = reports
        self._shared = shared
        self._tick = 0
        # Revision at the time of earlier messages.
        self._revisions: list[tuple[float, int]] = []
        self._requested_at = -inf
        follower.must_watch = self.must_watch
        follower.is_watch_shared = self.is_watch_shared
        follower.uses_long_backoff = lambda: heads.uses_heads
        # Nodes that hear heads do not all turn to the store at once.
        self._heard_stale_s = HEARD_STALE_S + random.uniform(
            0.0, HEARD_STALE_JITTER_S
        )

    def must_watch(self) -> bool:
        """Whether this node has to read the store itself now."""
        if not self._heads.uses_heads:
            return True
        age_s = self._follower.age_s()
        place = self._heads.own_rank()
        if place == 0:
            return True
        if place is not None:
            return age_s > SECOND_HEAD_STALE_S
        hears_a_head = any(
            self._heads.heard_within(node_id, HEAD_SILENCE_S)
            for node_id in self._heads.heads_of_zone(self._heads.zone)
        )
        return age_s > (
            self._heard_stale_s if hears_a_head else UNHEARD_STALE_S
        )

    def is_watch_shared(self) -> bool:
        """Whether other nodes rely on this node's watch."""
        return self._heads.own_rank() is not None

    async def push(self) -> None:
        """Tells others what is known; called every ``PUSH_PERIOD_S``."""
        place = self._heads.own_rank()
        self._tick += 1
        revision = self._follower.store_cache.revision
        if place is None or revision is None:
            return
        zone_sums = self._reports.aggregate_zone(self._shared)
        since = self._note_revision(revision)
        changes = self._changes(since)
        if changes is None:
            since, changes = revision, ()
        to_heads = self._message(revision, since, changes, zone_sums, None)
        for zone, heads in self._heads.heads_by_zone().items():
            for node_id in heads:
                self._send(node_id, to_heads)
            if zone != self._heads.zone:
                continue
            self._push_to_nodes(place, heads, revision, since, changes)

    async def receive_push(self, envelope: Envelope, push: HeadPush) -> None:
        """Takes over what a head tells."""
        self._heads.note_heard(envelope.sender)
        self._reports.receive_push(push, self._shared)
        now = self._timer.now()
        current_at = now - push.age_ms / MILLISECONDS
        if push.since_store_recovery_ms >= 0:
            self._directory.note_store_recovery(
                now - push.since_store_recovery_ms / MILLISECONDS
            )
        known = self._follower.store_cache.revision
        if known is not None and push.revision < known:
            return
        omitted = any(
            change.omitted and change.revision > (known or 0)
            for change in push.changes
        )
        if known is None or push.since > known or omitted:
            self._request(envelope.reply_to)
            return
        events = [
            WatchEvent(change.key, change.revision, change.value)
            for change in push.changes
        ]
        self._follower.apply_changes(events, push.revision, current_at)

    async def answer_catch_up(
        self, envelope: Envelope, request: CatchUpRequest
    ) -> None:
        """Sends a node what it has missed."""
        log = self._follower.store_cache
        if log.revision is None:
            return
        content = CatchUpReply(
            request.revision,
            log.revision,
            self._age_ms(),
            tuple(
                RelayedValue(packed.key, packed.revision, packed.content)
                for packed in log.compressed_values_since(request.revision)
            ),
            log.keys(),
        )
        self._transport.send(envelope.reply_to, content)

    async def receive_catch_up(
        self, envelope: Envelope, content: CatchUpReply
    ) -> None:
        """Takes over what this node has missed."""
        self._requested_at = -inf
        values: list[StoredValue] = []
        for passed in content.values:
            value = _unpack(passed.content)
            if value is None:
                log_event(
                    Event.MESSAGE_DROPPED,
                    self._node_id,
                    reason="unreadable value",
                    detail=f"{passed.key} from {envelope.sender}",
                )
                return
            values.append(StoredValue(passed.key, value, passed.revision))
        current_at = self._timer.now() - content.age_ms / MILLISECONDS
        log = self._follower.store_cache
        if log.revision is None:
            is_recent = content.age_ms <= MAX_INITIAL_AGE_S * MILLISECONDS
            if content.since == 0 and is_recent:
                self._follower.apply_snapshot(
                    tuple(values), content.revision, current_at
                )
            return
        if log.revision < content.since or content.revision < log.revision:
            return
        present = frozenset(content.keys)
        events = [
            WatchEvent(key, content.revision, None)
            for key in log.keys()
            if key not in present
        ]
        events += [
            WatchEvent(stored.key, stored.revision, stored.value)
            for stored in sorted(values, key=lambda stored: stored.revision)
        ]
        self._follower.apply_changes(events, content.revision, current_at)

    def _push_to_nodes(
        self,
        place: int,
        heads: tuple[str, ...],
        revision: int,
        since: int,
        changes: tuple[RelayedChange, ...],
    ) -> None:
        if self._tick % NODE_PUSH_EVERY != place % NODE_PUSH_EVERY:
            return
        # One head's sums are enough while it is heard.
        sums = None
        first_is_silent = place > 0 and not self._heads.heard_within(
            heads[0], HEAD_SILENCE_S
        )
        if place == 0 or first_is_silent:
            sums = self._reports.aggregate_fleet(self._shared)
        message = self._message(revision, since, changes, None, sums)
        members = self._nodes.ids_by_zone().get(self._heads.zone, [])
        for node_id in members:
            if node_id not in heads:
                self._send(node_id, message)

    def _message(
        self,
        revision: int,
        since: int,
        changes: tuple[RelayedChange, ...],
        zone_sums: AggregatedReport | None,
        fleet_sums: AggregatedReport | None,
    ) -> HeadPush:
        returned_at = self._directory.store_recovered_at
        returned_ms = -1
        if returned_at > -inf:
            returned_s = self._timer.now() - returned_at
            returned_ms = int(returned_s * MILLISECONDS)
        return HeadPush(
            self._heads.zone,
            revision,
            since,
            self._age_ms(),
            returned_ms,
            changes,
            zone_sums,
            fleet_sums,
        )

    def _send(self, node_id: str, message: HeadPush) -> None:
        inbox = self._heads.inbox(node_id)
        if inbox is not None and node_id != self._node_id:
            self._transport.send(inbox, message)

    def _note_revision(self, revision: int) -> int:
        """Returns the revision after which changes are told again."""
        now = self._timer.now()
        self._revisions.append((now, revision))
        while self._revisions[0][0] < now - REPEATED_S:
            del self._revisions[0]
        return self._revisions[0][1]

    def _changes(self, since: int) -> tuple[RelayedChange, ...] | None:
        events = self._follower.store_cache.changes_since(since)
        if events is None:
            return None
        return tuple(_passed(event) for event in events)

    def _request(self, inbox: str) -> None:
        """Asks for all that is missing here."""
        now = self._timer.now()
        if now - self._requested_at < REQUEST_PAUSE_S:
            return
        self._requested_at = now
        known = self._follower.store_cache.revision or 0
        self._transport.send(inbox, CatchUpRequest(known))

    def _age_ms(self) -> int:
        return int(max(self._follower.age_s(), 0.0) * MILLISECONDS)


def _passed(event: WatchEvent) -> RelayedChange:
    if event.value is not None and len(event.value) > MAX_INLINE_VALUE_BYTES:
        return RelayedChange(event.key, event.revision, omitted=True)
    return RelayedChange(event.key, event.revision, event.value)


def _unpack(content: bytes) -> bytes | None:
    unpacking = decompressobj()
    try:
        value = unpacking.decompress(content, MAX_VALUE_BYTES)
    except ZlibError:
        return None
    return value if unpacking.eof else None
