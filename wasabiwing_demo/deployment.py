"""A whole deployment on loopback in one process.

The deployment has a stand-in for each server of a configuration file and any
number of entry VMs, each with a controller and a gateway. The demo, the tests
and the benchmarks use it.
"""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from anyio import CancelScope
from anyio import Event
from anyio import sleep
from anyio import TASK_STATUS_IGNORED
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus

from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Pool
from wasabiwing.configuration import PoolKind
from wasabiwing.controller import ControllerAddresses
from wasabiwing.controller import run_controller
from wasabiwing.gateway import GatewayAddresses
from wasabiwing.gateway import run_gateway
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing.settings import ControllerSettings
from wasabiwing.settings import GatewaySettings
from wasabiwing_standins.desk import DeskLedger
from wasabiwing_standins.desk import DeskStandIn
from wasabiwing_standins.engine import EngineStandIn
from wasabiwing_standins.engine import EngineTimes
from wasabiwing_standins.store import EtcdStandIn

# Short, so that homes grant slot credits soon after the deployment starts.
CREDIT_LIFETIME_S = 0.4
LOAD_LAG_S = 0.1

ANY_PORT_INBOX = "tcp://127.0.0.1:0"

# Time in which a cancelled controller closes its sockets.
RESTART_PAUSE_S = 0.3


@dataclass(slots=True)
class EntryVm:
    """An entry VM with the addresses and scopes of its two processes."""

    name: str
    availability_zone: str
    controller: ControllerAddresses
    gateway: GatewayAddresses
    stop_controller: Event = field(default_factory=Event)
    stop_gateway: Event = field(default_factory=Event)
    controller_scope: CancelScope = field(default_factory=CancelScope)
    gateway_scope: CancelScope = field(default_factory=CancelScope)
    controller_settings: ControllerSettings | None = None

    @property
    def url(self) -> str:
        """Base URL at which the VM's gateway serves callers."""
        return f"http://{self.gateway.http}"

    def kill(self) -> None:
        """Cancels both processes without a stop, as the loss of a VM does."""
        self.gateway_scope.cancel()
        self.controller_scope.cancel()


class LocalDeployment:
    """Backend servers, a store and entry VMs on loopback, in one process."""

    def __init__(
        self,
        tasks: TaskGroup,
        times: EngineTimes | None = None,
        cache_blocks: int = 4096,
    ) -> None:
        self._tasks = tasks
        self._cache_blocks = cache_blocks
        self._times = times
        # Settings of the programs that are started after a change to these
        # fields; times in seconds.
        self.stream_silence_s = 10.0
        self.caller_grace_s = 5.0
        self.stop_grace_s = 0.0
        self.kill_grace_s = 30.0
        # Short, so that a new home soon takes over a server's slots.
        self.credit_lifetime_s = CREDIT_LIFETIME_S
        self.load_lag_s = LOAD_LAG_S
        # Base URL of the cloud API; the id of an entry VM in the cloud is its
        # name.
        self.cloud_url = ""
        self.weight_store_url = ""
        self.store = EtcdStandIn(tasks)
        self.ledger = DeskLedger()
        self.engine_by_id: dict[str, EngineStandIn] = {}
        self.desk_by_id: dict[str, DeskStandIn] = {}
        self.vms: list[EntryVm] = []

    async def start_standins(
        self, configuration: Configuration
    ) -> Configuration:
        """Starts the store and a stand-in for each server.

        Returns the configuration with the addresses of the stand-ins.
        """
        await self.store.start()
        pools = []
        for pool in configuration.pools:
            servers = [
                await self._start_server(pool, server)
                for server in pool.servers
            ]
            pools.append(replace(pool, servers=tuple(servers)))
        return replace(configuration, pools=tuple(pools))

    async def add_vm(
        self,
        name: str,
        availability_zone: str,
        region: str,
        store_urls: tuple[str, ...] = (),
        isolation_s: float = 15.0,
        routing_policy: RoutingPolicy = RoutingPolicy.EXPECTED_TIME,
        joins: bool = True,
    ) -> EntryVm:
        """Starts an entry VM that joins the VMs started before it.

        ``store_urls`` replaces the URL of the stand-in for the store. A VM
        with ``joins`` false knows no other member.
        """
        seeds = tuple(vm.controller.inbox for vm in self.vms if joins)
        controller_settings = ControllerSettings(
            node_id=f"{name}-controller",
            availability_zone=availability_zone,
            region=region,
            inbox_address=ANY_PORT_INBOX,
            listen_host="127.0.0.1",
            listen_port=0,
            store_urls=store_urls or (self.store.url,),
            isolation_s=isolation_s,
            seed_addresses=seeds,
            credit_lifetime_s=self.credit_lifetime_s,
            load_lag_s=self.load_lag_s,
            cloud_url=self.cloud_url,
            weight_store_url=self.weight_store_url,
            vm_id=name,
        )
        stop_controller = Event()
        controller_scope = CancelScope()
        controller: ControllerAddresses = await self._tasks.start(
            self._run_controller,
            controller_scope,
            controller_settings,
            stop_controller,
        )
        gateway_settings = GatewaySettings(
            node_id=f"{name}-gateway",
            availability_zone=availability_zone,
            listen_host="127.0.0.1",
            listen_port=0,
            inbox_address=ANY_PORT_INBOX,
            controller_address=controller.inbox,
            routing_policy=routing_policy,
            seed=len(self.vms) + 1,
            credit_lifetime_s=self.credit_lifetime_s,
            stream_silence_s=self.stream_silence_s,
            caller_grace_s=self.caller_grace_s,
            stop_grace_s=self.stop_grace_s,
            kill_grace_s=self.kill_grace_s,
        )
        stop_gateway = Event()
        gateway_scope = CancelScope()
        gateway: GatewayAddresses = await self._tasks.start(
            self._run_gateway, gateway_scope, gateway_settings, stop_gateway
        )
        vm = EntryVm(
            name,
            availability_zone,
            controller,
            gateway,
            stop_controller,
            stop_gateway,
            controller_scope,
            gateway_scope,
            controller_settings,
        )
        self.vms.append(vm)
        return vm

    async def restart_controller(self, vm: EntryVm) -> None:
        """Cancels a VM's controller and starts it at the same inbox."""
        assert vm.controller_settings is not None
        vm.controller_scope.cancel()
        await sleep(RESTART_PAUSE_S)
        vm.controller_scope = CancelScope()
        settings = replace(
            vm.controller_settings,
            inbox_address=vm.controller.inbox,
            seed_addresses=tuple(
                other.controller.inbox for other in self.vms if other != vm
            ),
        )
        vm.controller = await self._tasks.start(
            self._run_controller,
            vm.controller_scope,
            settings,
            vm.stop_controller,
        )

    async def _run_controller(
        self,
        scope: CancelScope,
        settings: ControllerSettings,
        stop: Event,
        *,
        task_status: TaskStatus[ControllerAddresses] = TASK_STATUS_IGNORED,
    ) -> None:
        with scope:
            await run_controller(settings, stop, task_status=task_status)

    async def _run_gateway(
        self,
        scope: CancelScope,
        settings: GatewaySettings,
        stop: Event,
        *,
        task_status: TaskStatus[GatewayAddresses] = TASK_STATUS_IGNORED,
    ) -> None:
        with scope:
            await run_gateway(settings, stop, task_status=task_status)

    async def _start_server(
        self, pool: Pool, server: BackendServer
    ) -> BackendServer:
        if pool.kind is PoolKind.MODEL:
            engine = EngineStandIn(
                self._tasks,
                server.id,
                max_slots=server.max_slots,
                cold_slots=server.cold_slots,
                times=self._times,
                cache_blocks=self._cache_blocks,
            )
            await engine.start()
            self.engine_by_id[server.id] = engine
            return replace(server, address=engine.address)
        desk = DeskStandIn(self._tasks, server.id, self.ledger)
        await desk.start()
        self.desk_by_id[server.id] = desk
        return replace(server, address=desk.address)
