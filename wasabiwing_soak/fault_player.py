"""Plays the faults of a schedule on a soak's deployment."""

from collections.abc import Callable
from collections.abc import Sequence
from random import Random

from anyio import current_time
from anyio import move_on_after
from anyio import sleep

from wasabiwing_platform_standins.server import ServerFault
from wasabiwing_platform_standins.server import ServerStandIn
from wasabiwing_platform_standins.store import StoreFault
from wasabiwing_soak.crashing_parts import CRASHING_SHARES
from wasabiwing_soak.crashing_parts import PartPeriod
from wasabiwing_soak.cut_nodes import NodeCut
from wasabiwing_soak.deployment import SoakDeployment
from wasabiwing_soak.fault_schedule import FaultKind
from wasabiwing_soak.fault_schedule import PlannedFault
from wasabiwing_soak.loopback_proxy import LinkCut
from wasabiwing_soak.loopback_proxy import LoopbackProxy
from wasabiwing_soak.planned_stops import NodeStop
from wasabiwing_soak.promises import LinkFault
from wasabiwing_soak.promises import NodeDisturbance
from wasabiwing_soak.server_limits import NamedLimit

# Time limit in seconds from the end of a fault until a node serves again, as
# promised to users, and the poll interval.
RECOVERY_TIMEOUT_S = 15.0
RECOVERY_POLL_S = 0.1

# Delay that a slow link adds, in seconds.
SLOW_LINK_S = 0.2

# Maximum number of faults that one schedule entry queues at a server.
MAX_SERVER_FAULTS = 6

# Limits that servers name, in requests per second.
NAMED_LIMITS_PER_S = (0.0, 0.3, 1.1, 4.0, 20.0)

# Maximum step between two versions of the configuration.
MAX_VERSION_STEP = 5

NODE_KINDS = frozenset(
    {FaultKind.NODE_STOPPED, FaultKind.NODE_KILLED, FaultKind.NODE_PAUSED}
)

STORE_LINK_KINDS = frozenset(
    {
        FaultKind.STORE_LINK_SILENT,
        FaultKind.STORE_LINK_ONE_WAY,
        FaultKind.STORE_LINK_SLOW,
        FaultKind.STORE_LINK_RESET,
    }
)

# Effects of link faults. Kinds in none of these sets silence the link in both
# directions.
RESETTING_KINDS = frozenset(
    {FaultKind.STORE_LINK_RESET, FaultKind.SERVER_LINK_RESET}
)
SLOWING_KINDS = frozenset(
    {FaultKind.STORE_LINK_SLOW, FaultKind.SERVER_LINK_SLOW}
)
ONE_WAY_KINDS = frozenset(
    {FaultKind.STORE_LINK_ONE_WAY, FaultKind.SERVER_LINK_ONE_WAY}
)

STORE_FAULT_BY_KIND = {
    FaultKind.STORE_BUSY: StoreFault.BUSY,
    FaultKind.STORE_SILENT: StoreFault.SILENT,
    FaultKind.STORE_LOSES_ANSWERS: StoreFault.LOSES_ANSWERS,
}

# Faults of servers. A server without an answer is covered by the faults of
# its link.
SERVER_FAULTS = (
    ServerFault.FULL,
    ServerFault.ERROR,
    ServerFault.SMALL_PIECES,
    ServerFault.UNSTATED_REFUSAL,
    ServerFault.CUT,
    ServerFault.PARTIAL_EVENT,
    ServerFault.FOREIGN,
    ServerFault.UNSTAMPED,
    ServerFault.UNFRAMED,
    ServerFault.UNFRAMED_EMPTY,
    ServerFault.UNFRAMED_RESET,
)


class FaultPlayer:
    """Plays faults and records which nodes and links were disturbed."""

    def __init__(
        self, deployment: SoakDeployment, clock: Callable[[], float]
    ) -> None:
        self._deployment = deployment
        self._clock = clock
        self.disturbances: list[NodeDisturbance] = []
        self.stops: list[NodeStop] = []
        self.part_periods: list[PartPeriod] = []
        self.link_faults: list[LinkFault] = []
        self.named_limits: list[NamedLimit] = []
        self.cuts: list[NodeCut] = []
        # IP addresses of the links that are cut now.
        self._cut_hosts: set[str] = set()
        # Begin of the limits that servers name now, by server id.
        self._limit_since: dict[str, float] = {}

    async def play(self, fault: PlannedFault) -> None:
        """Plays one fault to its end and reverts it."""
        if fault.kind in NODE_KINDS:
            await self._disturb_node(fault)
            return
        revert = self._begin(fault)
        await sleep(fault.duration_s)
        revert()

    async def _disturb_node(self, fault: PlannedFault) -> None:
        node = self._deployment.nodes[
            fault.target % len(self._deployment.nodes)
        ]
        process = node.process
        if process.disturbed:
            if process.stopping and fault.kind is FaultKind.NODE_STOPPED:
                process.ask_to_stop()
            return
        process.disturbed = True
        from_s = self._clock()
        if fault.kind is FaultKind.NODE_PAUSED:
            process.pause()
            await sleep(fault.duration_s)
            process.resume()
        else:
            if fault.kind is FaultKind.NODE_STOPPED:
                killed = await process.stop()
                self.stops.append(
                    NodeStop(process.name, from_s, self._clock(), killed)
                )
            else:
                await process.kill()
            await sleep(fault.duration_s)
            await process.start()
        with move_on_after(RECOVERY_TIMEOUT_S):
            while not await self._deployment.is_ready(node):
                await sleep(RECOVERY_POLL_S)
        planned = fault.kind is FaultKind.NODE_STOPPED
        self.disturbances.append(
            NodeDisturbance(process.name, planned, from_s, self._clock())
        )
        process.disturbed = False

    def _begin(self, fault: PlannedFault) -> Callable[[], None]:
        """Starts a fault; returns a function that reverts it."""
        node = self._deployment.nodes[
            fault.target % len(self._deployment.nodes)
        ]
        item = self._deployment.servers[
            fault.target % len(self._deployment.servers)
        ]
        random = Random(fault.detail_seed)
        kind = fault.kind
        if kind is FaultKind.SETTINGS_SIGNAL:
            # A process that starts would be ended by the signal.
            if node.process.stopping or not node.process.disturbed:
                node.process.reload_settings()
        elif kind in STORE_FAULT_BY_KIND:
            return self._fail_store(STORE_FAULT_BY_KIND[kind])
        elif kind is FaultKind.STORE_HISTORY_DROPPED:
            self._deployment.store.drop_history()
        elif kind is FaultKind.STORE_RESTORED:
            copy = self._deployment.store.copy()
            return lambda: self._deployment.store.restore(copy)
        elif kind is FaultKind.CONFIGURATION_CHANGED:
            self._deployment.configure(random.randint(1, MAX_VERSION_STEP))
        elif kind is FaultKind.SERVER_FAILS:
            return _fail_server(item.server, random)
        elif kind is FaultKind.SERVER_LEAVES:
            return self._deployment.remove_server(item)
        elif kind is FaultKind.SERVER_SAYS_LEAVING:
            return self._deployment.announce_leaving(item)
        elif kind is FaultKind.PART_CRASHES:
            return self._crash_on_part(fault, random)
        elif kind is FaultKind.SERVER_NAMES_LIMIT:
            return self._name_limit(item.server, random)
        elif kind is FaultKind.NODES_CUT_OFF:
            return self._cut_nodes_off(fault, random)
        elif kind is FaultKind.SERVERS_SILENT:
            self._silence_servers(fault, random)
        elif kind is FaultKind.SERVER_TURNS_AWAY:
            return _request_pause(item.server, fault.duration_s)
        else:
            links = list(item.link_by_host.values())
            if kind in STORE_LINK_KINDS:
                links = [node.store_link]
            else:
                until_s = self._clock() + fault.duration_s
                self.link_faults.append(
                    LinkFault(item.server.id, self._clock(), until_s)
                )
            return _disturb_links(links, kind, random)
        return _revert_nothing

    def _cut_nodes_off(
        self, fault: PlannedFault, random: Random
    ) -> Callable[[], None]:
        """Cuts the links of some nodes to all servers."""
        until_s = self._clock() + fault.duration_s
        count = random.randint(1, max(len(self._deployment.nodes) - 1, 1))
        way = random.choice(list(LinkCut))
        nodes = [
            node
            for node in random.sample(self._deployment.nodes, count)
            if node.link_host not in self._cut_hosts
        ]
        if not nodes:
            return _revert_nothing
        hosts = {node.link_host for node in nodes}
        links = [
            item.link_by_host[host]
            for item in self._deployment.servers
            for host in hosts
        ]
        names = tuple(node.process.name for node in nodes)
        self.cuts.append(NodeCut(names, way, self._clock(), until_s))
        self.link_faults += [
            LinkFault(item.server.id, self._clock(), until_s, name)
            for item in self._deployment.servers
            for name in names
        ]
        self._cut_hosts |= hosts
        for link in links:
            link.set_cut(way)

        def revert() -> None:
            self._cut_hosts -= hosts
            for link in links:
                link.set_cut(None)

        return revert

    def _silence_servers(self, fault: PlannedFault, random: Random) -> None:
        """Lets some servers neither read nor send, as if suspended."""
        servers = self._deployment.servers
        until = current_time() + fault.duration_s
        for item in random.sample(servers, random.randint(1, len(servers))):
            item.server.silent_until = max(item.server.silent_until, until)

    def _crash_on_part(
        self, fault: PlannedFault, random: Random
    ) -> Callable[[], None]:
        """Lets a new part of prompts crash servers."""
        prompts = self._deployment.prompts
        if prompts is None:
            return _revert_nothing
        part = f"{fault.detail_seed:08x}"
        prompts.share_by_part[part] = random.choice(CRASHING_SHARES)
        from_s = self._clock()

        def revert() -> None:
            del prompts.share_by_part[part]
            self.part_periods.append(PartPeriod(part, from_s, self._clock()))

        return revert

    def _name_limit(
        self, server: ServerStandIn, random: Random
    ) -> Callable[[], None]:
        """Lets a server name a limit; a later one replaces it."""
        limit_per_s = random.choice(NAMED_LIMITS_PER_S)
        self._end_limit(server)
        server.limit_per_s = limit_per_s
        self._limit_since[server.id] = self._clock()

        def revert() -> None:
            if server.limit_per_s == limit_per_s:
                self._end_limit(server)

        return revert

    def _end_limit(self, server: ServerStandIn) -> None:
        since_s = self._limit_since.pop(server.id, None)
        if since_s is not None and server.limit_per_s is not None:
            self.named_limits.append(
                NamedLimit(
                    server.id, server.limit_per_s, since_s, self._clock()
                )
            )
        server.limit_per_s = None

    def _fail_store(self, store_fault: StoreFault) -> Callable[[], None]:
        self._deployment.store.fault = store_fault

        def revert() -> None:
            if self._deployment.store.fault is store_fault:
                self._deployment.store.fault = StoreFault.NONE

        return revert


def _revert_nothing() -> None:
    """Reverts a fault that has no lasting effect."""


def _fail_server(server: ServerStandIn, random: Random) -> Callable[[], None]:
    count = random.randint(1, MAX_SERVER_FAULTS)
    server.faults.extend(random.choices(SERVER_FAULTS, k=count))
    return server.faults.clear


def _request_pause(
    server: ServerStandIn, seconds: float
) -> Callable[[], None]:
    server.pause_s = seconds

    def revert() -> None:
        server.pause_s = None

    return revert


def _disturb_links(
    links: Sequence[LoopbackProxy], kind: FaultKind, random: Random
) -> Callable[[], None]:
    to_target = random.random() < 0.5
    for link in links:
        if kind in RESETTING_KINDS:
            link.reset()
        elif kind in SLOWING_KINDS:
            link.delay_s = SLOW_LINK_S
        elif kind in ONE_WAY_KINDS:
            link.set_silence(to_target, not to_target)
        else:
            link.set_silence(True, True)

    def revert() -> None:
        for link in links:
            link.delay_s = 0.0
            link.set_silence(False, False)

    return _revert_nothing if kind in RESETTING_KINDS else revert
