"""The ``wasabiwing-controller`` program: control plane of one entry VM."""

from dataclasses import dataclass
from functools import partial
from random import Random
from random import SystemRandom

from anyio import create_task_group
from anyio import Event
from anyio import TASK_STATUS_IGNORED
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus
from fire import Fire

from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import serve_http
from wasabiwing.claim_home import ClaimHome
from wasabiwing.configuration import Configuration
from wasabiwing.configuration_distribution import ConfigurationDistributor
from wasabiwing.connection_budget import ConnectionBudget
from wasabiwing.connection_budget import machine_limits
from wasabiwing.controller_http import ControllerHttp
from wasabiwing.controller_http import NoticeDocument
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.facts import Facts
from wasabiwing.gateway_directory import GatewayDirectory
from wasabiwing.home_slots import HomeSlotAllocator
from wasabiwing.http_client import HttpClient
from wasabiwing.http_cloud import HttpCloud
from wasabiwing.job_home import JobHome
from wasabiwing.load_poller import LoadPoller
from wasabiwing.loop_delay import LoopDelay
from wasabiwing.membership import Membership
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import ControllerState
from wasabiwing.messages import Envelope
from wasabiwing.messages import GatewayEntry
from wasabiwing.messages import GatewayHello
from wasabiwing.messages import GatewayList
from wasabiwing.messages import ServerNotice
from wasabiwing.metrics import ControllerMetrics
from wasabiwing.metrics import show_links
from wasabiwing.nng_transport import NngTransport
from wasabiwing.nng_transport import open_transport
from wasabiwing.notice_poller import NoticePoller
from wasabiwing.notices import NoticeTable
from wasabiwing.pool_servers import PoolServers
from wasabiwing.ports import Cloud
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import Member
from wasabiwing.program import run_program
from wasabiwing.rollouts import Rollouts
from wasabiwing.settings import ControllerSettings
from wasabiwing.settings import settings_or_exit
from wasabiwing.slot_allocator import SlotTimes
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import SystemTimer
from wasabiwing.timers import TimerService
from wasabiwing.vm_manager import VmManager
from wasabiwing.weight_store import HttpWeightStore

# Time without a heartbeat after which a gateway is forgotten, in seconds.
GATEWAY_EXPIRY_S = 10.0

STATE_BROADCAST_PERIOD_S = 1.0

# Time in which the announcement that this controller leaves reaches its peers,
# in seconds.
LEAVE_FLUSH_S = 0.2

INCARNATION_ID_BITS = 64


@dataclass(frozen=True, slots=True)
class ControllerAddresses:
    """Addresses of a running controller."""

    # Inbox, as tcp://host:port.
    inbox: str
    # Status and metrics, as host:port.
    http: str


class Controller:
    """Builds and connects the components of one controller."""

    def __init__(
        self,
        settings: ControllerSettings,
        timer: TimerService,
        transport: NngTransport,
        store: ConfigStore,
        client: HttpClient,
        tasks: TaskGroup,
        metrics: ControllerMetrics,
        status_address: str = "",
        cloud: Cloud | None = None,
        weight_store: HttpWeightStore | None = None,
    ) -> None:
        self._settings = settings
        self._timer = timer
        self._transport = transport
        self._tasks = tasks
        self._metrics = metrics
        self._gateway_heard_at: dict[str, float] = {}
        self._started_at = timer.now()
        self._was_connected = True
        self.leaving = False
        random = Random(settings.seed or SystemRandom().getrandbits(64))
        own_member = Member(
            settings.node_id,
            transport.address,
            settings.availability_zone,
            settings.region,
        )
        self.messages = MessageRouter(settings.node_id, transport)
        self.members = Membership(
            own_member,
            timer,
            transport,
            tasks,
            random,
            settings.seed_addresses,
            status_address,
        )
        self.facts = Facts(
            timer,
            transport,
            random,
            self.members.link_addresses,
            self._gateway_addresses,
        )
        self.configuration_distributor = ConfigurationDistributor(
            settings.node_id,
            timer,
            store,
            transport,
            random,
            self.members,
            self.members.link_addresses,
            self._gateway_addresses,
            self._on_configuration,
        )
        self.members.on_generation(
            self.configuration_distributor.note_peer_generation
        )
        self.members.register(self.messages)
        self.facts.register(self.messages)
        self.configuration_distributor.register(self.messages)
        self.directory = GatewayDirectory(timer)
        self.notices = NoticeTable(
            settings.node_id,
            timer,
            transport,
            self.members.link_addresses,
            self._gateway_addresses,
        )
        self.notices.register(self.messages)
        self.notices.subscribe(self._on_vm_notice)
        if cloud is not None:
            NoticePoller(timer, cloud, self.members, self.notices).start()
        self.messages.register(GatewayHello, self._on_gateway_heartbeat)
        # Not derived from the seed: each run of a controller needs an id of
        # its own.
        random_id = SystemRandom().getrandbits(INCARNATION_ID_BITS)
        incarnation_id = f"{settings.node_id}-{random_id:016x}"
        budget = StoreBudget(timer, settings.store_writes_per_s)
        self.claims = ClaimHome(
            incarnation_id,
            timer,
            store,
            transport,
            self.members,
            budget,
            tasks,
        )
        self.claims.register(self.messages)
        self.jobs = JobHome(
            incarnation_id,
            timer,
            store,
            transport,
            self.members,
            self.directory,
            budget,
            tasks,
        )
        self.jobs.register(self.messages)
        self.messages.register(GatewayList, self._on_gateway_list)
        timer.subscribe(STATE_BROADCAST_PERIOD_S, self._send_state)
        self._loop_delay = LoopDelay(timer, metrics.loop_delay.observe)
        slot_times = SlotTimes(settings.credit_lifetime_s, settings.load_lag_s)
        self.slots = HomeSlotAllocator(
            timer, transport, self.members, slot_times
        )
        self.slots.register(self.messages)
        self.rollouts = Rollouts(
            settings.node_id,
            timer,
            transport,
            store,
            self.members,
            self.facts,
            self.slots.capacity_share,
        )
        self.rollouts.register(self.messages)
        self._vm_servers = PoolServers(
            timer,
            self.facts,
            lambda _, merged: self.slots.put_in_force(merged),
        )
        self.vm_manager: VmManager | None = None
        if cloud is not None and weight_store is not None:
            self.vm_manager = VmManager(
                settings.node_id,
                timer,
                self.members,
                self.facts,
                self.notices,
                store,
                cloud,
                weight_store,
                client,
                self.rollouts.may_stop,
            )
            self.vm_manager.start()
        self.http = ControllerHttp(
            settings,
            transport,
            self.members,
            self.configuration_distributor,
            self.rollouts,
            self.slots,
            self._metrics,
            lambda: self.connected,
            self.handle_notice,
        )
        self.loads = LoadPoller(timer, client, self.slots)
        timer.subscribe(slot_times.credit_lifetime_s / 2, self.loads.poll_all)

    @property
    def connected(self) -> bool:
        """Whether the store or a peer was heard within the isolation time."""
        heard_at = max(
            self._started_at,
            self.members.last_heard_at or self._started_at,
            self.configuration_distributor.store_heard_at or self._started_at,
        )
        silence_s = self._timer.now() - heard_at
        return silence_s < self._settings.isolation_s

    def _gateway_addresses(self) -> tuple[str, ...]:
        earliest_heard_at = self._timer.now() - GATEWAY_EXPIRY_S
        return tuple(
            address
            for address, heard_at in self._gateway_heard_at.items()
            if heard_at >= earliest_heard_at
        )

    async def _on_configuration(
        self, generation: int, configuration: Configuration
    ) -> None:
        self._metrics.generation.set(generation)
        self.members.set_generation(generation)
        self.facts.set_generation(generation)
        self._vm_servers.put_in_force(generation, configuration)
        if self.vm_manager is not None:
            self.vm_manager.use_configuration(configuration)
        self.rollouts.put_in_force(generation, configuration)

    async def _on_gateway_heartbeat(
        self, envelope: Envelope, heartbeat: GatewayHello
    ) -> None:
        self._gateway_heard_at[heartbeat.address] = self._timer.now()
        self.directory.put(
            GatewayEntry(
                envelope.sender,
                heartbeat.address,
                heartbeat.http_address,
                heartbeat.availability_zone,
                heartbeat.leaving,
                0.0,
            )
        )
        self.configuration_distributor.notify_gateway(
            heartbeat.address, heartbeat.generation
        )

    async def _on_gateway_list(
        self, envelope: Envelope, message: GatewayList
    ) -> None:
        for entry in message.gateways:
            self.directory.put(entry)

    async def _send_state(self) -> None:
        connected = self.connected
        if self._was_connected and not connected:
            log_event(LogEvent.NODE_ISOLATED, self._settings.node_id)
        self._was_connected = connected
        gateways = GatewayList(self.directory.entries())
        for address in (
            *self.members.link_addresses(),
            *self._gateway_addresses(),
        ):
            self._transport.send(address, gateways)
        state = ControllerState(
            connected, self.configuration_distributor.generation, self.leaving
        )
        for address in self._gateway_addresses():
            self._transport.send(address, state)

    async def handle_notice(self, notice: NoticeDocument) -> None:
        """Handles a reclaim notice that was posted to this controller."""
        if notice.own_vm:
            self.leaving = True
            await self._send_state()
        if notice.server_ids or notice.zone_ids:
            self.notices.add(
                ServerNotice(
                    notice.server_ids, notice.zone_ids, notice.remaining_s
                )
            )

    def _on_vm_notice(self, notice: ServerNotice) -> None:
        """Tells the gateway to leave when the VM of both is reclaimed."""
        if self._settings.vm_id in notice.server_ids:
            self.leaving = True
            self._tasks.start_soon(self._send_state)


async def run_controller(
    settings: ControllerSettings,
    stop: Event,
    *,
    task_status: TaskStatus[ControllerAddresses] = TASK_STATUS_IGNORED,
) -> None:
    """Runs a controller until ``stop`` is set."""
    timer = SystemTimer()
    metrics = ControllerMetrics()
    store = EtcdStore(settings.store_urls, count_call=metrics.count_store_call)
    client = HttpClient()
    cloud = HttpCloud(settings.cloud_url) if settings.cloud_url else None
    weight_url = settings.weight_store_url
    weight_store_client = HttpWeightStore(weight_url) if weight_url else None
    listener = bind_listener(settings.listen_host, settings.listen_port)
    async with (
        open_transport(settings.node_id, settings.inbox_address) as transport,
        create_task_group() as tasks,
    ):
        show_links(metrics.registry, transport)
        addresses = ControllerAddresses(
            transport.address, listener_address(listener)
        )
        controller = Controller(
            settings,
            timer,
            transport,
            store,
            client,
            tasks,
            metrics,
            addresses.http,
            cloud,
            weight_store_client,
        )
        tasks.start_soon(timer.run)
        tasks.start_soon(controller.messages.run)
        tasks.start_soon(controller.configuration_distributor.follow_store)
        log_event(
            LogEvent.PROGRAM_STARTED,
            settings.node_id,
            program="wasabiwing-controller",
            http=addresses.http,
            inbox=addresses.inbox,
        )
        task_status.started(addresses)
        budget = ConnectionBudget(
            settings.node_id,
            process=machine_limits(0.0, 0),
            count_refusal=metrics.count_refused_client,
        )
        await serve_http(
            controller.http.application(), listener, stop, budget=budget
        )
        await controller.members.leave()
        await timer.sleep(LEAVE_FLUSH_S)
        tasks.cancel_scope.cancel()
    await client.close()
    await store.close()
    if controller.vm_manager is not None:
        await controller.vm_manager.close()
    if weight_store_client is not None:
        await weight_store_client.close()
    if cloud is not None:
        await cloud.close()
    log_event(LogEvent.PROGRAM_STOPPED, settings.node_id)


def start(settings: str) -> None:
    """Runs the controller with the settings file at a path."""
    checked = settings_or_exit(settings, ControllerSettings)
    run_program(partial(run_controller, checked), checked.log_path)


def main() -> None:
    """Entry point of ``wasabiwing-controller``."""
    Fire(start)
