"""Puts configurations in force on a controller and distributes them.

A few controllers of each availability zone hold a watch on the store; the
others poll it rarely. All controllers also learn of new generations from
their peers, and announce them to peers and gateways. No node ever goes back
to an earlier generation: a store that was restored from a backup gets the one
in force from a watcher, and a change that was given the number of an earlier
generation gets the next number.
"""

from collections import OrderedDict
from collections.abc import Callable
from random import Random

from anyio import CancelScope
from result import Err

from wasabiwing.configuration import Configuration
from wasabiwing.configuration_follower import ConfigurationFollower
from wasabiwing.configuration_follower import ConfigurationListener
from wasabiwing.configuration_store import parse_root
from wasabiwing.configuration_store import read_configuration
from wasabiwing.configuration_store import read_root
from wasabiwing.configuration_store import Root
from wasabiwing.configuration_store import ROOT_KEY
from wasabiwing.configuration_store import StoredRoot
from wasabiwing.configuration_store import write_root
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.message_router import MessageRouter
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import MemberView
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

# Seconds after the end of a watch before it is opened again.
WATCH_RETRY_S = 1.0

# Number of controllers of each availability zone that hold a watch.
WATCHERS_PER_ZONE = 2

# Period in seconds at which a watcher also reads the root record. This shows
# that the store is reachable, and finds changes that a stale watch does not
# report.
WATCHER_POLL_S = 5.0

# Poll period of the other controllers, in seconds. With 1,400 nodes it makes
# 23 reads a second, of about two thousand that the store answers.
POLL_S = 60.0

# Number of latest generations whose digests are remembered.
MAX_KNOWN_GENERATIONS = 64

# Number of peers to which a new generation is announced at once. The others
# learn of it from these or from the next probe on a link. A small number
# bounds what one node has to send when all of them request the chunks from it.
NOTICE_FAN_OUT = 3

Addresses = Callable[[], tuple[str, ...]]


class ConfigurationDistributor:
    """Follows and distributes the configuration on one controller."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        store: ConfigStore,
        transport: Transport,
        random: Random,
        members: MemberView,
        peer_addresses: Addresses,
        gateway_addresses: Addresses,
        listener: ConfigurationListener,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._store = store
        self._transport = transport
        self._random = random
        self._members = members
        self._peer_addresses = peer_addresses
        self._gateway_addresses = gateway_addresses
        self._listener = listener
        self._follower = ConfigurationFollower(
            node_id, timer, transport, self._on_in_force
        )
        self._watch_scope: CancelScope | None = None
        self._digest_by_generation: OrderedDict[int, str] = OrderedDict()
        # Monotonic time at which the store last answered; ``None`` for never.
        self.store_heard_at: float | None = None

    @property
    def generation(self) -> int:
        """The generation of the configuration in force; 0 for none."""
        return self._follower.generation

    @property
    def digest(self) -> str:
        """Digest of the manifest of the configuration in force."""
        return self._follower.digest

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; ``None`` before the first."""
        return self._follower.configuration

    @property
    def is_watcher(self) -> bool:
        """Whether this controller is one of its zone's watchers."""
        own = self._members.own
        in_zone = [
            member.node_id
            for member in self._members.live()
            if member.availability_zone == own.availability_zone
        ]
        key = f"configuration-watch/{own.availability_zone}"
        return own.node_id in rank_members(key, in_zone)[:WATCHERS_PER_ZONE]

    def register(self, router: MessageRouter) -> None:
        """Registers the handlers of messages about configurations."""
        self._follower.register(router)
        self._timer.subscribe(WATCHER_POLL_S, self._check_watch)

    def note_peer_generation(self, address: str, generation: int) -> None:
        """Fetches the generation that a peer's probe named if it is newer."""
        self._follower.note_peer_generation(address, generation)

    def notify_gateway(self, address: str, generation: int) -> None:
        """Announces the generation in force to a gateway that is behind."""
        if generation < self.generation:
            self._transport.send(address, self._follower.notice())

    async def follow_store(self) -> None:
        """Watches or polls the root record until cancelled."""
        while True:
            revision = await self._read_root()
            if not self.is_watcher:
                await self._sleep_until_poll()
                continue
            if revision is not None:
                with CancelScope() as self._watch_scope:
                    await self._watch(revision + 1)
                self._watch_scope = None
            await self._timer.sleep(WATCH_RETRY_S)

    async def _sleep_until_poll(self) -> None:
        # Jitter keeps nodes that started at the same time from polling at the
        # same time.
        poll_at = self._timer.now() + POLL_S * (0.5 + self._random.random())
        while self._timer.now() < poll_at and not self.is_watcher:
            await self._timer.sleep(WATCHER_POLL_S)

    async def _watch(self, from_revision: int) -> None:
        async with self._store.watch(ROOT_KEY, from_revision) as events:
            async for event in events:
                if isinstance(event, Err):
                    return
                self.store_heard_at = self._timer.now()
                value = event.ok_value.value
                if value is None:
                    continue
                root = parse_root(value)
                if not isinstance(root, Err):
                    await self._load(root.ok_value)

    async def _check_watch(self) -> None:
        """Ends the watch of a controller that is no watcher any more.

        A controller that is still a watcher reads the root record.
        """
        if self._watch_scope is None:
            return
        if not self.is_watcher:
            self._watch_scope.cancel()
            return
        await self._read_root()

    async def _read_root(self) -> int | None:
        """Reads the root record and loads its configuration if it is newer.

        Returns the revision of the record, 0 if there is none, and ``None``
        if the store does not answer.
        """
        stored = await read_root(self._store)
        if isinstance(stored, Err):
            return None
        self.store_heard_at = self._timer.now()
        found = stored.ok_value
        if found is not None:
            await self._load(found.root)
        if self.is_watcher:
            await self._repair_root(found)
        return 0 if found is None else found.revision

    async def _repair_root(self, found: StoredRoot | None) -> None:
        """Writes the root record of a store that was restored from a backup.

        A known generation is an older copy, which the one in force replaces.
        The number of a known generation with another content is a change that
        was made since the restore. What this controller does not know is left
        to others.
        """
        stored = 0 if found is None else found.root.generation
        if stored > self.generation or self.generation == 0:
            return
        root = Root(self.generation, self.digest, f"restored-{self._node_id}")
        chunk_by_digest = self._follower.chunk_by_digest
        if found is not None:
            known_digest = self._digest_by_generation.get(stored)
            if known_digest is None or found.root.digest == self.digest:
                return
            if found.root.digest != known_digest:
                root = Root(
                    self.generation + 1, found.root.digest, found.root.apply_id
                )
                chunk_by_digest = {}
        written = await write_root(self._store, root, found, chunk_by_digest)
        log_event(
            Event.STORE_REWRITTEN,
            self._node_id,
            key=ROOT_KEY,
            found=stored,
            generation=root.generation,
            failure=str(written.err()) if isinstance(written, Err) else "",
        )
        if not isinstance(written, Err):
            await self._load(root)

    async def _load(self, root: Root) -> None:
        if root.generation <= self.generation:
            return
        loaded = await read_configuration(
            self._store, root, self._follower.chunk_by_digest
        )
        if isinstance(loaded, Err):
            log_event(
                Event.CONFIGURATION_REJECTED,
                self._node_id,
                generation=root.generation,
                failure=str(loaded.err_value),
            )
            return
        configuration, chunk_by_digest = loaded.ok_value
        await self._follower.put_in_force(
            root.generation, root.digest, configuration, chunk_by_digest
        )

    async def _on_in_force(
        self, generation: int, configuration: Configuration
    ) -> None:
        self._digest_by_generation[generation] = self.digest
        if len(self._digest_by_generation) > MAX_KNOWN_GENERATIONS:
            self._digest_by_generation.popitem(last=False)
        await self._listener(generation, configuration)
        notice = self._follower.notice()
        for address in self._gateway_addresses():
            self._transport.send(address, notice)
        peers = self._peer_addresses()
        count = min(NOTICE_FAN_OUT, len(peers))
        for address in self._random.sample(peers, count):
            self._transport.send(address, notice)
