"""SWIM-style membership between controllers.

Each controller probes a bounded set of linked peers, one task a link.
Changes travel on the probes; tables that differ nevertheless are compared by
digest from time to time. Implements ``MemberView`` of ``ports``.
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

# Time between two probes on a link. With more links than
# ``LINKS_AT_FULL_RATE`` it grows in proportion. A member is then probed three
# times a second by all of its links together. Twice that rate cost 1.5% of a
# core and 1.6 KB/s per node with 8 nodes, of 2.6% and 4 KB/s.
PROBE_PERIOD_S = 1.0
LINKS_AT_FULL_RATE = 3

# Time that a suspected member has to refute.
SUSPICION_S = 3.0

# One unreached seed and one dead member are tried at this period, so that
# the sides of a partition find each other again.
REJOIN_PERIOD_S = 1.0

# Period of comparing tables with one peer. Piggybacked updates reach nearly
# all nodes, so this only repairs rare losses.
COMPARE_PERIOD_S = 10.0

# With more members than this, tables are compared less often in proportion,
# so that whole tables of 100 bytes a member take at most 0.5 KB/s.
MEMBERS_AT_FULL_COMPARE = 50

# A dead member is forgotten after this time.
DEAD_RETENTION_S = 600.0

EVENT_BY_STATE = {
    MemberState.ALIVE: Event.MEMBER_JOINED,
    MemberState.SUSPECTED: Event.MEMBER_SUSPECTED,
    MemberState.DEAD: Event.MEMBER_DEAD,
    MemberState.LEFT: Event.MEMBER_LEFT,
}

GenerationHeard = Callable[[str, int], None]


class Membership:
    """The members as seen by one controller."""

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
        self._generation_callbacks: list[GenerationHeard] = []
        self._prober = Prober(
            timer, transport, random, self._send_ping, self._piggyback
        )
        self._link_by_id: dict[str, CancelScope] = {}
        # Time of the change to the present state, by node id.
        self._state_since: dict[str, float] = {}
        # Monotonic time of the last message of any peer.
        self.last_heard_at: float | None = None

    @property
    def own(self) -> Member:
        return self._own

    @property
    def incarnation(self) -> int:
        """Own incarnation number."""
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
        """All members of any state, by node id, with their generations.

        Above the size of a full mesh, generations are those last heard and
        may be old for members without a link to this node.
        """
        return tuple(self._table.updates_in_state(*MemberState))

    def link_addresses(self) -> tuple[str, ...]:
        """Inboxes of the linked peers."""
        return tuple(
            self._table.update_by_id[node_id].address
            for node_id in sorted(self._link_by_id)
        )

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._changed_callbacks.append(changed)

    def on_generation(self, heard: GenerationHeard) -> None:
        """Calls ``heard`` with the address and generation of each sender."""
        self._generation_callbacks.append(heard)

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Adds inboxes to join by, for example from the VM list."""
        self._seed_addresses.update(set(addresses) - {self._own.address})

    def set_generation(self, generation: int) -> None:
        """Announces the configuration generation in force here.

        It travels with every probe and is not piggybacked further: at 1,400
        members and a change every 6 s, that would take 20 KB/s per node.
        """
        self._set_own(replace(self._own_update, generation=generation), False)

    def register(self, router: MessageRouter) -> None:
        """Takes over the membership messages and starts to probe."""
        router.register(Ping, self._on_ping)
        router.register(Ack, self._on_ack)
        router.register(PingRequest, self._on_ping_request)
        router.register(MemberTableDigest, self._on_digest)
        router.register(MemberTableReply, self._on_table)
        self._timer.subscribe(REJOIN_PERIOD_S, self._tick)
        self._timer.subscribe(COMPARE_PERIOD_S, self._compare)
        self._tasks.start_soon(self._join)

    async def leave(self) -> None:
        """Announces that this member leaves; it is not probed any more."""
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
            for update in self._table.take_updates()
            if update.node_id != own_id
        )
        return (self._own_update, *others)

    def _send_ping(
        self,
        address: str,
        correlation: int = 0,
        about: MemberUpdate | None = None,
    ) -> None:
        """Sends a probe; ``about`` is what is known of the receiver."""
        updates = self._piggyback()
        if about is not None and about.state != MemberState.ALIVE:
            # The receiver can refute only what it hears.
            updates = (*updates, about)
        message = Ping(updates, self._own_update.generation)
        self._transport.send(address, message, correlation)

    async def _join(self) -> None:
        for address in sorted(self._seed_addresses):
            self._send_ping(address)
            self._transport.send(
                address, MemberTableDigest(self._table.digest())
            )

    async def _tick(self) -> None:
        now = self._timer.now()
        self._prober.expire_relays()
        for update in self._table.updates_in_state(MemberState.SUSPECTED):
            if now - self._state_since[update.node_id] >= SUSPICION_S:
                self._merge(replace(update, state=MemberState.DEAD))
        gone = self._table.updates_in_state(MemberState.DEAD, MemberState.LEFT)
        for update in gone:
            since = self._state_since.setdefault(update.node_id, now)
            if now - since >= DEAD_RETENTION_S:
                self._table.evict(update.node_id)
                del self._state_since[update.node_id]
        self._try_unreached()

    def _try_unreached(self) -> None:
        known = {update.address for update in self._live_updates()}
        unreached = sorted(self._seed_addresses - known)
        if unreached:
            self._send_ping(self._random.choice(unreached))
        dead = self._table.updates_in_state(MemberState.DEAD)
        if dead:
            chosen = self._random.choice(dead)
            self._send_ping(chosen.address, about=chosen)

    async def _compare(self) -> None:
        addresses = self.link_addresses()
        wanted = self._random.random() * len(self._live_updates())
        if addresses and wanted < MEMBERS_AT_FULL_COMPARE:
            self._transport.send(
                self._random.choice(addresses),
                MemberTableDigest(self._table.digest()),
            )

    def _merge(self, update: MemberUpdate) -> None:
        if update.node_id == self._own.node_id:
            self._defend(update)
            return
        known = self._table.update_by_id.get(update.node_id)
        if known is None and update.state >= MemberState.DEAD:
            # Otherwise a member that was forgotten here would come back
            # from peers that still list it, and circulate for ever.
            return
        # A change of the generation alone is not sent on.
        announce = (
            known is None
            or update.incarnation > known.incarnation
            or update.state != known.state
        )
        if not self._table.merge(update, announce) or not announce:
            return
        self._state_since[update.node_id] = self._timer.now()
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

    def _defend(self, update: MemberUpdate) -> None:
        """Answers a claim about this member that is not its own."""
        own = self._own_update
        if own.state == MemberState.LEFT or (
            update.incarnation < own.incarnation
        ):
            return
        same = replace(update, generation=own.generation) == own
        older = update.generation <= own.generation
        if update.incarnation == own.incarnation and same and older:
            return
        # Also after a restart: the old process used the numbers up to this.
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
            self._tasks.start_soon(self._serve_link, node_id, scope)

    async def _serve_link(self, node_id: str, scope: CancelScope) -> None:
        with scope:
            # Nodes that started together do not probe in step.
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

    def _hear(
        self,
        envelope: Envelope,
        updates: tuple[MemberUpdate, ...],
        generation: int,
    ) -> None:
        self.last_heard_at = self._timer.now()
        for update in updates:
            self._merge(self._softened(update))
        for heard in self._generation_callbacks:
            heard(envelope.reply_to, generation)

    def _softened(self, update: MemberUpdate) -> MemberUpdate:
        """Takes the death of a live member for a suspicion.

        Each node waits for the refutation itself. Otherwise a process that
        returns from a pause, in which it declared everyone dead, would
        remove all members from the tables of its peers.
        """
        known = self._table.update_by_id.get(update.node_id)
        if update.state != MemberState.DEAD or known is None:
            return update
        if known.state > MemberState.SUSPECTED:
            return update
        return replace(update, state=MemberState.SUSPECTED)

    def _answer(self, envelope: Envelope, message: Message) -> None:
        self._transport.send(
            envelope.reply_to, message, envelope.correlation_id
        )

    async def _on_ping(self, envelope: Envelope, ping: Ping) -> None:
        self._hear(envelope, ping.updates, ping.generation)
        updates = self._piggyback()
        known = self._table.update_by_id.get(envelope.sender)
        # The sender must learn of a claim that it has to refute.
        if known is not None and known not in updates:
            if known not in ping.updates:
                updates = (*updates, known)
        generation = self._own_update.generation
        self._answer(envelope, Ack(self._own.node_id, updates, generation))

    async def _on_ack(self, envelope: Envelope, ack: Ack) -> None:
        self._hear(envelope, ack.updates, ack.generation)
        self._prober.handle_ack(envelope, ack)

    async def _on_ping_request(
        self, envelope: Envelope, request: PingRequest
    ) -> None:
        self._hear(envelope, request.updates, 0)
        self._prober.relay_probe(envelope, request)

    async def _on_digest(
        self, envelope: Envelope, message: MemberTableDigest
    ) -> None:
        if message.digest != self._table.digest():
            reply = MemberTableReply(self.updates(), True)
            self._answer(envelope, reply)

    async def _on_table(
        self, envelope: Envelope, reply: MemberTableReply
    ) -> None:
        self._hear(envelope, reply.updates, 0)
        if reply.reply_requested:
            self._answer(envelope, MemberTableReply(self.updates(), False))
