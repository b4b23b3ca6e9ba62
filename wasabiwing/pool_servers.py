"""The servers of each pool: the declared ones and those of started VMs.

Only this module, on controllers and gateways, joins the configuration with the
facts about the servers that the reconciler started.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace

from msgspec.json import decode
from msgspec.json import encode

from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.facts import Facts
from wasabiwing.messages import Fact
from wasabiwing.timers import TimerService

SERVER_FACT_KIND = "server"

# Value of the fact about a VM that has ended.
VM_ENDED = ""

# Period in which new facts are applied, in seconds; facts that arrive within
# one period are applied together.
REFRESH_PERIOD_S = 0.2

# Receives a generation and its configuration with all servers.
ConfigurationCallback = Callable[[int, Configuration], None]


@dataclass(frozen=True, slots=True)
class VmServer:
    """A backend server on a VM that the reconciler started."""

    pool_id: str
    # Availability zone of the lease under which it is reconciled. The VM may
    # run in another zone after a refused start.
    lease_zone: str
    server: BackendServer


def encode_vm_server(item: VmServer) -> str:
    """Returns the value of the fact about a server."""
    return encode(item).decode()


def decode_server(fact: Fact) -> VmServer | None:
    """Reads a fact; ``None`` for an ended VM or an unknown form."""
    if fact.value == VM_ENDED:
        return None
    try:
        return decode(fact.value, type=VmServer)
    except UNDECODABLE:
        return None


def vm_servers(facts: Facts) -> list[VmServer]:
    """Returns the servers of all started VMs that have not ended."""
    decoded = [decode_server(fact) for fact in facts.all(SERVER_FACT_KIND)]
    return [item for item in decoded if item is not None]


def with_vm_servers(
    configuration: Configuration, items: list[VmServer]
) -> Configuration:
    """Returns the configuration with the servers of VMs in their pools."""
    servers_by_pool: dict[str, list[BackendServer]] = {}
    for item in items:
        servers_by_pool.setdefault(item.pool_id, []).append(item.server)
    pools = []
    for pool in configuration.pools:
        declared = {server.id for server in pool.servers}
        added = [
            server
            for server in servers_by_pool.get(pool.id, ())
            if server.id not in declared
        ]
        pools.append(replace(pool, servers=(*pool.servers, *added)))
    return replace(configuration, pools=tuple(pools))


class PoolServers:
    """Passes the configuration with all servers to one program."""

    def __init__(
        self,
        timer: TimerService,
        facts: Facts,
        callback: ConfigurationCallback,
    ) -> None:
        self._facts = facts
        self._callback = callback
        self._generation = 0
        self._configuration: Configuration | None = None
        self._facts_changed = False
        facts.subscribe(SERVER_FACT_KIND, self._note_fact)
        timer.subscribe(REFRESH_PERIOD_S, self._refresh)

    def put_in_force(
        self, generation: int, configuration: Configuration
    ) -> None:
        """Stores the configuration in force and passes it on."""
        self._generation = generation
        self._configuration = configuration
        self._pass_on(configuration)

    def _note_fact(self, fact: Fact) -> None:
        self._facts_changed = True

    async def _refresh(self) -> None:
        if self._facts_changed and self._configuration is not None:
            self._pass_on(self._configuration)

    def _pass_on(self, configuration: Configuration) -> None:
        self._facts_changed = False
        servers = vm_servers(self._facts)
        self._callback(
            self._generation, with_vm_servers(configuration, servers)
        )
