"""SWIM-style membership protocol between controllers.

Each controller probes a bounded set of linked peers, with one task per link.
Member updates are piggybacked on probes. An anti-entropy exchange of table
digests repairs updates that were lost. Implements ``MemberView`` of
``ports``.
"""

from collections.abc import Callable
from random import Random

from anyio import CancelScope
from anyio.abc import TaskGroup
from msgspec.structs import replace

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.member_table import MemberState
from wasabiwing.member_table import MemberTable
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Ack
from wasabiwing.messages import Envelope
from wasabiwing.messages import MemberTableDigest
from wasabiwing.messages import MemberTableReply
from wasabiwing.messages import MemberUpdate
from wasabiwing.messages import Message
from wasabiwing.messages import Ping
from wasabiwing.messages import PingRequest
from wasabiwing.peer_links import choose_links
from wasabiwing.ports import Member
from wasabiwing.ports import Transport
from wasabiwing.prober import Prober
from wasabiwing.timers import TimerService

# Interval between two probes on a link, in seconds. It grows in proportion to
# the number of links above ``LINKS_AT_FULL_RATE``, so that all links of a
# member together probe it three times a second. Twice that rate cost 1.5% of
# a core and 1.6 KB/s per node with 8 nodes, out of 2.6% and 4 KB/s in total.
PROBE_PERIOD_S = 1.0
LINKS_AT_FULL_RATE = 3

# Time in which a suspected member can refute the suspicion, in seconds. It is
# declared dead afterwards.
SUSPICION_S = 3.0

# Interval at which one seed that is no live member and one dead member are
# pinged, in seconds, so that the sides of a partition rejoin.
REJOIN_PERIOD_S = 1.0

# Interval of the digest exchange with one linked peer, in seconds. Piggybacked
# updates reach nearly all nodes, so the exchange only repairs rare losses.
DIGEST_EXCHANGE_PERIOD_S = 10.0

# With more members than this, digests are exchanged less often in proportion,
# so that whole tables of 100 bytes per member take at most 0.5 KB/s.
MEMBERS_AT_FULL_EXCHANGE = 50

# Time after which a dead or departed member is evicted from the table, in
# seconds.
DEAD_RETENTION_S = 600.0

EVENT_BY_STATE = {
    MemberState.ALIVE: Event.MEMBER_JOINED,
    MemberState.SUSPECTED: Event.MEMBER_SUSPECTED,
    MemberState.DEAD: Event.MEMBER_DEAD,
    MemberState.LEFT: Event.MEMBER_LEFT,
}

GenerationListener = Callable[[str, int], None]


class Membership:
    """Member table and failure detector of one controller."""

    def __init__(
        self,
        own: Member,
        timer: TimerService,
        transport: Transport,
        tasks: TaskGroup,
        random: Random,
        seed_addresses: tuple[str, ...] = (),
        status_address: str = "",
    ) -> None:
        self._own = own
        self._timer = timer
        self._transport = transport
        self._tasks = tasks
        self._random = random
        self._seed_addresses = set(seed_addresses) - {own.address}
        self._table = MemberTable()
        self._own_update = MemberUpdate(
            own.node_id,
            own.address,
            own.availability_zone,
            own.region,
            0,
            MemberState.ALIVE,
            0,
            status_address,
        )
        self._table.merge(self._own_update)
        self._changed_callbacks: list[Callable[[], None]] = []
        self._generation_callbacks: list[GenerationListener] = []
        self._prober = Prober(
            timer, transport, random, self._send_ping, self._piggyback
        )
        self._link_by_id: dict[str, CancelScope] = {}
        # Monotonic time of a member's last state change, by node id.
        self._state_changed_at_by_id: dict[str, float] = {}
        # Monotonic time of the last message from any peer.
        self.last_heard_at: float | None = None

    @property
    def own(self) -> Member:
        return self._own

    @property
    def incarnation(self) -> int:
        """Incarnation number of this member."""
        return self._own_update.incarnation

    def live(self) -> tuple[Member, ...]:
        return tuple(
            Member(
                update.node_id,
                update.address,
                update.availability_zone,
                update.region,
            )
            for update in self._live_updates()
        )

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Returns the updates of members in any state, ordered by node id.

        Above the size of a full mesh, the generation of a member without a
        link to this node may be out of date.
        """
        return tuple(self._table.updates_in_state(*MemberState))

    def link_addresses(self) -> tuple[str, ...]:
        """Returns the inbox addresses of the linked peers."""
        return tuple(
            self._table.update_by_id[node_id].address
            for node_id in sorted(self._link_by_id)
        )

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._changed_callbacks.append(changed)

    def on_generation(self, listener: GenerationListener) -> None:
        """Registers a listener for each sender's address and generation."""
        self._generation_callbacks.append(listener)

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Adds seed inbox addresses, for example from the VM list."""
        self._seed_addresses.update(set(addresses) - {self._own.address})

    def set_generation(self, generation: int) -> None:
        """Sets the configuration generation that this member announces.

        Every probe carries the generation, and peers do not gossip it
        further: at 1,400 members and a change every 6 s, that would take
        20 KB/s per node.
        """
        self._set_own(replace(self._own_update, generation=generation), False)

    def register(self, router: MessageRouter) -> None:
        """Registers the message handlers and starts the periodic tasks."""
        router.register(Ping, self._on_ping)
        router.register(Ack, self._on_ack)
        router.register(PingRequest, self._on_ping_request)
        router.register(MemberTableDigest, self._on_digest)
        router.register(MemberTableReply, self._on_table)
        self._timer.subscribe(REJOIN_PERIOD_S, self._expire_members)
        self._timer.subscribe(DIGEST_EXCHANGE_PERIOD_S, self._exchange_digest)
        self._tasks.start_soon(self._join)

    async def leave(self) -> None:
        """Announces that this member leaves; peers stop probing it."""
        self._set_own(replace(self._own_update, state=MemberState.LEFT), True)
        for address in self.link_addresses():
            self._send_ping(address)

    def _live_updates(self) -> list[MemberUpdate]:
        return self._table.updates_in_state(
            MemberState.ALIVE, MemberState.SUSPECTED
        )

    def _set_own(self, update: MemberUpdate, announce: bool) -> None:
        self._own_update = update
        self._table.update_by_id[update.node_id] = update
        if announce:
            self._table.announce(update.node_id)

    def _piggyback(self) -> tuple[MemberUpdate, ...]:
        own_id = self._own.node_id
        others = (
            update
            for update in self._table.next_updates()
            if update.node_id != own_id
        )
        return (self._own_update, *others)

    def _send_ping(
        self,
        address: str,
        correlation: int = 0,
        about: MemberUpdate | None = None,
    ) -> None:
        """Sends a ping; ``about`` is the receiver's update in the table."""
        updates = self._piggyback()
        if about is not None and about.state != MemberState.ALIVE:
            # The receiver can refute only an update that reaches it.
            updates = (*updates, about)
        message = Ping(updates, self._own_update.generation)
        self._transport.send(address, message, correlation)

    async def _join(self) -> None:
        for address in sorted(self._seed_addresses):
            self._send_ping(address)
            self._transport.send(
                address, MemberTableDigest(self._table.digest())
            )

    async def _expire_members(self) -> None:
        now = self._timer.now()
        self._prober.expire_relays()
        for update in self._table.updates_in_state(MemberState.SUSPECTED):
            if (
                now - self._state_changed_at_by_id[update.node_id]
                >= SUSPICION_S
            ):
                self._merge(replace(update, state=MemberState.DEAD))
        departed = self._table.updates_in_state(
            MemberState.DEAD, MemberState.LEFT
        )
        for update in departed:
            since = self._state_changed_at_by_id.setdefault(
                update.node_id, now
            )
            if now - since >= DEAD_RETENTION_S:
                self._table.evict(update.node_id)
                del self._state_changed_at_by_id[update.node_id]
        self._ping_unreached()

    def _ping_unreached(self) -> None:
        known = {update.address for update in self._live_updates()}
        unreached = sorted(self._seed_addresses - known)
        if unreached:
            self._send_ping(self._random.choice(unreached))
        dead = self._table.updates_in_state(MemberState.DEAD)
        if dead:
            chosen = self._random.choice(dead)
            self._send_ping(chosen.address, about=chosen)

    async def _exchange_digest(self) -> None:
        addresses = self.link_addresses()
        sample = self._random.random() * len(self._live_updates())
        if addresses and sample < MEMBERS_AT_FULL_EXCHANGE:
            self._transport.send(
                self._random.choice(addresses),
                MemberTableDigest(self._table.digest()),
            )

    def _merge(self, update: MemberUpdate) -> None:
        if update.node_id == self._own.node_id:
            self._refute(update)
            return
        known = self._table.update_by_id.get(update.node_id)
        if known is None and update.state >= MemberState.DEAD:
            # Otherwise an evicted member would return from peers that still
            # list it, and be gossiped forever.
            return
        # A change of only the generation is not gossiped.
        announce = (
            known is None
            or update.incarnation > known.incarnation
            or update.state != known.state
        )
        if not self._table.merge(update, announce) or not announce:
            return
        self._state_changed_at_by_id[update.node_id] = self._timer.now()
        was_live = known is not None and known.state <= MemberState.SUSPECTED
        is_live = update.state <= MemberState.SUSPECTED
        state = MemberState(update.state)
        if known is None or known.state != update.state:
            log_event(
                EVENT_BY_STATE[state],
                self._own.node_id,
                member=update.node_id,
                incarnation=update.incarnation,
            )
        moved = known is not None and known.address != update.address
        if was_live != is_live or moved:
            self._update_links(update.node_id if moved else "")
            for changed in self._changed_callbacks:
                changed()

    def _refute(self, update: MemberUpdate) -> None:
        """Refutes an update about this member that it did not send."""
        own = self._own_update
        if own.state == MemberState.LEFT or (
            update.incarnation < own.incarnation
        ):
            return
        same = replace(update, generation=own.generation) == own
        older = update.generation <= own.generation
        if update.incarnation == own.incarnation and same and older:
            return
        # After a restart this exceeds all numbers of the old process.
        incarnation = update.incarnation + 1
        self._set_own(replace(own, incarnation=incarnation), True)

    def _update_links(self, moved_id: str) -> None:
        if self._own_update.state == MemberState.LEFT:
            return
        wanted = choose_links(self._own.node_id, self._live_updates())
        for node_id in set(self._link_by_id) - wanted | {moved_id}:
            scope = self._link_by_id.pop(node_id, None)
            if scope is not None:
                scope.cancel()
        for node_id in sorted(wanted - set(self._link_by_id)):
            scope = CancelScope()
            self._link_by_id[node_id] = scope
            self._tasks.start_soon(self._probe_link, node_id, scope)

    async def _probe_link(self, node_id: str, scope: CancelScope) -> None:
        with scope:
            # Jitter: nodes that started together do not probe in step.
            await self._timer.sleep(self._random.random() * PROBE_PERIOD_S)
            while True:
                await self._probe(node_id)
                rate = max(1.0, len(self._link_by_id) / LINKS_AT_FULL_RATE)
                await self._timer.sleep(PROBE_PERIOD_S * rate)

    async def _probe(self, node_id: str) -> None:
        target = self._table.update_by_id[node_id]
        if await self._prober.probe(target, self.link_addresses()):
            return
        latest = self._table.update_by_id.get(node_id)
        if latest is not None and latest.state == MemberState.ALIVE:
            self._merge(replace(latest, state=MemberState.SUSPECTED))

    def _receive_updates(
        self,
        envelope: Envelope,
        updates: tuple[MemberUpdate, ...],
        generation: int,
    ) -> None:
        self.last_heard_at = self._timer.now()
        for update in updates:
            self._merge(self._downgrade_death(update))
        for listener in self._generation_callbacks:
            listener(envelope.reply_to, generation)

    def _downgrade_death(self, update: MemberUpdate) -> MemberUpdate:
        """Downgrades the reported death of a live member to a suspicion.

        Each node waits for the refutation itself. Otherwise a process that
        resumes after a pause, and has declared all others dead, would remove
        all members from the tables of its peers.
        """
        known = self._table.update_by_id.get(update.node_id)
        if update.state != MemberState.DEAD or known is None:
            return update
        if known.state > MemberState.SUSPECTED:
            return update
        return replace(update, state=MemberState.SUSPECTED)

    def _reply(self, envelope: Envelope, message: Message) -> None:
        self._transport.send(
            envelope.reply_to, message, envelope.correlation_id
        )

    async def _on_ping(self, envelope: Envelope, ping: Ping) -> None:
        self._receive_updates(envelope, ping.updates, ping.generation)
        updates = self._piggyback()
        known = self._table.update_by_id.get(envelope.sender)
        # The sender must receive an update that it has to refute.
        if known is not None and known not in updates:
            if known not in ping.updates:
                updates = (*updates, known)
        generation = self._own_update.generation
        self._reply(envelope, Ack(self._own.node_id, updates, generation))

    async def _on_ack(self, envelope: Envelope, ack: Ack) -> None:
        self._receive_updates(envelope, ack.updates, ack.generation)
        self._prober.handle_ack(envelope, ack)

    async def _on_ping_request(
        self, envelope: Envelope, request: PingRequest
    ) -> None:
        self._receive_updates(envelope, request.updates, 0)
        self._prober.relay_probe(envelope, request)

    async def _on_digest(
        self, envelope: Envelope, message: MemberTableDigest
    ) -> None:
        if message.digest != self._table.digest():
            reply = MemberTableReply(self.updates(), True)
            self._reply(envelope, reply)

    async def _on_table(
        self, envelope: Envelope, reply: MemberTableReply
    ) -> None:
        self._receive_updates(envelope, reply.updates, 0)
        if reply.reply_requested:
            self._reply(envelope, MemberTableReply(self.updates(), False))
