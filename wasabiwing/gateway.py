"""The ``wasabiwing-gateway`` program: data path of one entry VM."""

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

from wasabiwing.admission import Admission
from wasabiwing.answer_end import EndJudge
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import serve_http
from wasabiwing.cache_poller import CachePoller
from wasabiwing.claim_client import ClaimClient
from wasabiwing.cluster_view import ClusterView
from wasabiwing.configuration import Configuration
from wasabiwing.configuration_follower import ConfigurationFollower
from wasabiwing.connection_budget import ConnectionBudget
from wasabiwing.connection_budget import machine_limits
from wasabiwing.decisions import DecisionLog
from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.facts import Facts
from wasabiwing.gateway_credits import GatewayCredits
from wasabiwing.gateway_credits import RENEWALS_PER_LIFETIME
from wasabiwing.gateway_directory import GatewayDirectory
from wasabiwing.gateway_http import GatewayHttp
from wasabiwing.gateway_limits import AnswerHeads
from wasabiwing.gateway_limits import live_inboxes
from wasabiwing.gateway_limits import live_share
from wasabiwing.gateway_relay import GatewayRelay
from wasabiwing.gateway_relay import relay_addresses
from wasabiwing.gateway_relay import RelayDecisions
from wasabiwing.handover import Handover
from wasabiwing.header_timeout import PipelineProtocol
from wasabiwing.http_client import HttpClient
from wasabiwing.job_client import JobClient
from wasabiwing.loop_delay import LoopDelay
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import ControllerState
from wasabiwing.messages import CreditGrant
from wasabiwing.messages import Envelope
from wasabiwing.messages import GatewayEntry
from wasabiwing.messages import GatewayHello
from wasabiwing.messages import GatewayList
from wasabiwing.messages import NoticeEnded
from wasabiwing.messages import ServerNotice
from wasabiwing.messages import ServerReport
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.metrics import show_links
from wasabiwing.model_dispatch import ModelDispatcher
from wasabiwing.nng_transport import open_transport
from wasabiwing.openai_engine import OpenAiEngine
from wasabiwing.plain_dispatch import PlainDispatcher
from wasabiwing.plain_service import HttpPlainService
from wasabiwing.pool_servers import PoolServers
from wasabiwing.ports import ModelEngine
from wasabiwing.ports import PlainService
from wasabiwing.ports import Transport
from wasabiwing.program import run_program
from wasabiwing.quarantine import Quarantine
from wasabiwing.relay_peers import RelayPeers
from wasabiwing.request_forwarding import RequestForwarder
from wasabiwing.request_table import RequestTable
from wasabiwing.retry_policy import RetryPolicy
from wasabiwing.routing import Router
from wasabiwing.running_request import Interrupt
from wasabiwing.send_permits import SendPermits
from wasabiwing.server_limits import ServerLimits
from wasabiwing.server_probe import accepts_any_connection
from wasabiwing.server_probe import CrashProbe
from wasabiwing.server_probe import server_answers
from wasabiwing.server_probe import server_listens
from wasabiwing.server_reachability import ServerReachability
from wasabiwing.server_records import LoadReport
from wasabiwing.server_silence import ServerSilence
from wasabiwing.settings import GatewaySettings
from wasabiwing.settings import settings_or_exit
from wasabiwing.stop_admission import StopAdmission
from wasabiwing.suspect_isolation import SuspectIsolation
from wasabiwing.timers import SystemTimer
from wasabiwing.timers import TimerService
from wasabiwing.version_gate import STARTUP_HOLD_S
from wasabiwing.version_gate import VersionGate

HEARTBEAT_PERIOD_S = 1.0

SEED_BITS = 64

# How often a stopping gateway checks whether its requests have ended, in
# seconds.
STOP_POLL_S = 0.05

# Times before the kill at which the port closes and at which requests without
# an answer are ended, in seconds.
CLOSE_PORT_S = 1.0
END_UNANSWERED_S = 0.3

# Added to the seed for routing and for relays, so that their random numbers
# are independent of those of request ids.
ROUTING_SEED_OFFSET = 1
RELAY_SEED_OFFSET = 2

# Number of connections to other gateways for relayed requests.
RELAY_CONNECTIONS = 1024


@dataclass(frozen=True, slots=True)
class GatewayAddresses:
    """Addresses of a running gateway."""

    # Inbox, as tcp://host:port.
    inbox: str
    # Address for callers, as host:port.
    http: str


class Gateway:
    """Builds and connects the components of one gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        timer: TimerService,
        transport: Transport,
        engine: ModelEngine,
        service: PlainService,
        tasks: TaskGroup,
        client: HttpClient,
        http_address: str,
    ) -> None:
        self._settings = settings
        self._timer = timer
        self._transport = transport
        node_id = settings.node_id
        self._load_report_count = 0
        seed = settings.seed or SystemRandom().getrandbits(SEED_BITS)
        self.view = ClusterView()
        self.stop_admission = StopAdmission(timer)
        self.metrics = GatewayMetrics()
        self.credits = GatewayCredits(
            node_id, timer, self.view, settings.credit_lifetime_s
        )
        self.facts = Facts(
            timer,
            transport,
            Random(seed),
            lambda: (settings.controller_address,),
        )
        self.quarantine = Quarantine(
            node_id,
            timer,
            self.facts,
            self.view.is_leaving,
            CrashProbe(
                timer,
                Random(seed),
                partial(server_answers, client),
                self._running_servers,
            ).runs,
            count_refusal=self.metrics.count_part_refusal,
        )
        self.decisions = DecisionLog(node_id, timer)
        self.directory = GatewayDirectory(timer)
        self._vm_servers = PoolServers(
            timer, self.facts, self._use_configuration
        )
        self.versions = VersionGate(
            timer,
            transport,
            self.facts,
            settings.controller_address,
            lambda: self.directory.live_count,
            STARTUP_HOLD_S,
        )
        self.versions.start()
        self.limits = ServerLimits(node_id, timer, self.facts)
        self.permits = SendPermits(
            node_id,
            timer,
            transport,
            self.limits,
            partial(live_inboxes, self.directory),
            partial(live_share, self.directory),
            self._assign_permits,
        )
        self.silence = ServerSilence(timer, self.credits.in_flight_by_server)
        self.reachability = ServerReachability(
            node_id,
            timer,
            self.view.address_by_server,
            self.silence.silence_by_id,
            accepts_any_connection,
        )
        self.relay_peers = RelayPeers(
            timer,
            partial(
                relay_addresses,
                self.directory,
                self.view,
                node_id,
                settings.availability_zone,
            ),
            Random(seed + RELAY_SEED_OFFSET),
            lambda address: address,
        )
        self.relay_client = HttpClient(RELAY_CONNECTIONS)
        self.relay_decisions = RelayDecisions(
            timer, self.reachability, self.relay_peers
        )
        self.answer_heads = AnswerHeads(
            node_id,
            timer,
            self.view,
            self.limits,
            self.metrics.count_unknown_header,
            self._note_heard,
        )
        self.routing = Router(
            node_id,
            settings.availability_zone,
            self.view,
            self.credits,
            timer,
            Random(seed + ROUTING_SEED_OFFSET),
            self.decisions,
            settings.routing_policy,
            self.versions,
            SuspectIsolation(self.quarantine),
            self.permits,
            self.reachability.is_unreachable,
        )
        self.admission = Admission(
            timer,
            self.routing,
            self.credits,
            self.decisions,
            self.stop_admission,
            self.relay_decisions,
        )
        self.cache_poller = CachePoller(
            timer,
            self.view,
            engine,
            self.routing.prefixes,
            self.routing.working_sets,
            tasks,
        )
        self.claims = ClaimClient(
            node_id, timer, transport, settings.controller_address, tasks
        )
        random = Random(seed)
        retries = RetryPolicy(Random(random.getrandbits(SEED_BITS)))
        self._tasks = tasks
        model_dispatcher = ModelDispatcher(
            node_id,
            timer,
            self.view,
            self.admission,
            engine,
            self.metrics,
            retries,
            self.quarantine,
            self._note_heard,
        )
        self.requests = RequestTable(
            timer, model_dispatcher, tasks, settings.caller_grace_s
        )
        self._own_entry = GatewayEntry(
            node_id,
            transport.address,
            http_address,
            settings.availability_zone,
            False,
            0.0,
        )
        self.handover = Handover(
            self._own_entry,
            timer,
            self.view,
            transport,
            self.directory,
            self.requests,
            model_dispatcher,
        )
        plain_dispatcher = PlainDispatcher(
            node_id,
            timer,
            self.admission,
            service,
            self.metrics,
            self.claims,
            retries,
            self.quarantine,
            EndJudge(
                timer,
                self.view.is_leaving,
                server_listens,
                lambda server: service.keeps_connection(server.address),
            ),
        )
        self.jobs = JobClient(
            node_id,
            timer,
            transport,
            settings.controller_address,
            self.view,
            self.admission,
            model_dispatcher,
            self.metrics,
            Random(SystemRandom().getrandbits(SEED_BITS)),
            tasks,
            self.quarantine.refusal,
        )
        self.http = GatewayHttp(
            node_id,
            timer,
            self.view,
            self.requests,
            RequestForwarder(
                node_id,
                self.directory,
                client,
                self.handover.wait_for_takeover,
            ),
            plain_dispatcher,
            self.metrics,
            random,
            self.decisions,
            self.claims,
            self.credits,
            self.jobs,
            self.stop_admission,
            self.handover.has_holder,
            GatewayRelay(node_id, timer, self.relay_peers, self.relay_client),
            self.relay_decisions,
        )
        self.messages = MessageRouter(node_id, transport)
        self.configuration = ConfigurationFollower(
            node_id, timer, transport, self._on_configuration
        )
        self.configuration.register(self.messages)
        self.facts.register(self.messages)
        self.permits.register(self.messages)
        self.messages.register(ControllerState, self._on_controller_state)
        self.messages.register(CreditGrant, self._on_grant)
        self.messages.register(ServerReport, self._on_server_report)
        self.claims.register(self.messages)
        self.jobs.register(self.messages)
        self.messages.register(GatewayList, self._on_gateway_list)
        self.messages.register(ServerNotice, self._on_reclaim_notice)
        self.messages.register(NoticeEnded, self._on_reclaim_notice_ended)
        self.handover.register(self.messages)
        timer.subscribe(HEARTBEAT_PERIOD_S, self.send_heartbeat)
        self._loop_delay = LoopDelay(timer, self.metrics.loop_delay.observe)
        timer.subscribe(
            settings.credit_lifetime_s / RENEWALS_PER_LIFETIME,
            self.renew_credits,
        )

    def _note_heard(self, server_id: str) -> None:
        self.silence.note_heard(server_id)
        self.reachability.note_heard(server_id)

    async def send_heartbeat(self) -> None:
        """Sends a heartbeat to the controller on the same VM."""
        self._transport.send(
            self._settings.controller_address,
            GatewayHello(
                self._transport.address,
                self._settings.availability_zone,
                self.view.generation,
                self._own_entry.http_address,
                self.view.leaving,
            ),
        )

    async def _assign_permits(self) -> None:
        """Gives new permits to waiting requests."""
        await self.admission.check_capacity()

    async def renew_credits(self) -> None:
        """Reports slot use to the home controllers and requests credits.

        The controller on the same VM passes the request on.
        """
        request = self.credits.build_request(self._transport.address)
        if request.uses:
            self._transport.send(self._settings.controller_address, request)

    def _running_servers(self) -> list[tuple[str, str]]:
        """Returns address and pool of the servers that stay."""
        index = self.view.index
        if index is None:
            return []
        return [
            (server.address, index.pool_id_by_server[server_id])
            for server_id, server in index.server_by_id.items()
            if not self.view.is_leaving(server)
        ]

    async def _on_grant(self, envelope: Envelope, grant: CreditGrant) -> None:
        self.credits.note_controller_message()
        self.credits.on_grant(grant)

    async def _on_server_report(
        self, envelope: Envelope, report: ServerReport
    ) -> None:
        for state in report.servers:
            if self.view.note_state(state):
                self.credits.drop_credits(state.server_id)
            self._load_report_count += 1
            self.routing.records.note_report(
                state.server_id,
                LoadReport(self._load_report_count, state.running),
            )

    async def drain(self) -> None:
        """Serves what can end before the kill and waits until all has ended.

        It also waits until the controllers have recorded all outcomes, and at
        least until the load balancer has noticed the failed health check.
        """
        self.stop_admission.begin(self._settings.kill_grace_s)
        await self.leave()
        while self.stop_admission.time_left_s > CLOSE_PORT_S:
            callers_gone = (
                self.stop_admission.stopped_for_s
                >= self._settings.stop_grace_s
            )
            if callers_gone and not self._has_work:
                return
            await self._timer.sleep(STOP_POLL_S)

    @property
    def _has_work(self) -> bool:
        """Whether requests run or their outcomes are not yet recorded."""
        return bool(
            self.http.running_request_count
            or self.handover.has_pending_renewals
            or self.claims.unacknowledged_reports
            or self.jobs.running_requests
        )

    async def leave(self) -> None:
        """Announces the leave and sends records of running requests to peers.

        The records are sent first, because the process may be killed at any
        moment.
        """
        if self.view.leaving:
            return
        self.view.leaving = True
        await self.handover.renew()
        await self.send_heartbeat()
        self._tasks.start_soon(self.handover.raise_priorities)

    async def _on_configuration(
        self, generation: int, configuration: Configuration
    ) -> None:
        self._vm_servers.put_in_force(generation, configuration)
        self.facts.set_generation(generation)
        await self.send_heartbeat()

    def _use_configuration(
        self, generation: int, configuration: Configuration
    ) -> None:
        if not self.view.put_in_force(generation, configuration):
            self.view.replace_servers(configuration)

    async def _on_controller_state(
        self, envelope: Envelope, state: ControllerState
    ) -> None:
        self.credits.note_controller_message()
        self.view.connected = state.connected
        if state.leaving:
            await self.leave()
            self.http.redirect_callers()

    async def _on_gateway_list(
        self, envelope: Envelope, message: GatewayList
    ) -> None:
        for entry in message.gateways:
            self.directory.put(entry)

    async def _on_reclaim_notice(
        self, envelope: Envelope, notice: ServerNotice
    ) -> None:
        is_new = self.view.mark_leaving(
            notice.server_ids,
            notice.zone_ids,
            self._timer.now() + notice.remaining_s,
        )
        if not is_new:
            return
        log_event(
            LogEvent.SERVER_LEAVING,
            self._settings.node_id,
            servers=list(notice.server_ids),
            zones=list(notice.zone_ids),
            remaining_s=notice.remaining_s,
        )
        if self._settings.availability_zone in self.view.leaving_zone_ids:
            await self.leave()
            self.http.redirect_callers()
        self._move_streams()

    async def _on_reclaim_notice_ended(
        self, envelope: Envelope, message: NoticeEnded
    ) -> None:
        self.view.clear_leaving((message.vm_id,))

    def _move_streams(self) -> None:
        """Moves streams off leaving backend servers, the most urgent first.

        Tasks resume in the order in which they were interrupted, so urgent
        requests also ask for slots first.
        """
        for request in sorted(
            (*self.requests.running(), *self.jobs.running_requests),
            key=lambda request: request.call.route.priority_class,
        ):
            server = request.server
            if server is not None and self.view.is_leaving(server):
                request.interrupt(Interrupt.MOVE)


async def run_gateway(
    settings: GatewaySettings,
    stop: Event,
    *,
    task_status: TaskStatus[GatewayAddresses] = TASK_STATUS_IGNORED,
) -> None:
    """Runs a gateway until ``stop`` is set and its requests have ended."""
    timer = SystemTimer()
    engine = OpenAiEngine(silence_s=settings.stream_silence_s)
    client = HttpClient()
    service = HttpPlainService()
    listener = bind_listener(settings.listen_host, settings.listen_port)
    async with (
        open_transport(settings.node_id, settings.inbox_address) as transport,
        create_task_group() as tasks,
    ):
        gateway = Gateway(
            settings,
            timer,
            transport,
            engine,
            service,
            tasks,
            client,
            listener_address(listener),
        )
        show_links(gateway.metrics.registry, transport)
        engine.observe_answers(gateway.answer_heads.observe)
        service.observe_answers(gateway.answer_heads.observe)
        tasks.start_soon(timer.run)
        tasks.start_soon(gateway.messages.run)
        drained = Event()

        async def drain_when_stopped() -> None:
            await stop.wait()
            log_event(
                LogEvent.PROGRAM_STOPPING,
                settings.node_id,
                running=gateway.http.running_request_count,
            )
            await gateway.drain()
            drained.set()
            await timer.sleep(
                gateway.stop_admission.time_left_s - END_UNANSWERED_S
            )
            gateway.http.end_unanswered()

        tasks.start_soon(drain_when_stopped)
        await gateway.send_heartbeat()
        addresses = GatewayAddresses(
            transport.address, listener_address(listener)
        )
        log_event(
            LogEvent.PROGRAM_STARTED,
            settings.node_id,
            program="wasabiwing-gateway",
            http=addresses.http,
            inbox=addresses.inbox,
        )
        task_status.started(addresses)
        budget = ConnectionBudget(
            settings.node_id,
            lambda: settings.clients,
            machine_limits(settings.memory_mb, settings.max_descriptors),
            gateway.metrics.count_refused_client,
        )
        await serve_http(
            gateway.http.application(),
            listener,
            drained,
            protocol=PipelineProtocol,
            # The time until the kill bounds the answers, and nothing before.
            closing_s=lambda: max(gateway.stop_admission.time_left_s, 0.0),
            budget=budget,
        )
        tasks.cancel_scope.cancel()
    await engine.close()
    await service.close()
    await client.close()
    await gateway.relay_client.close()
    log_event(LogEvent.PROGRAM_STOPPED, settings.node_id)


def start(settings: str) -> None:
    """Runs the gateway with the settings file at a path."""
    checked = settings_or_exit(settings, GatewaySettings)
    run_program(partial(run_gateway, checked), checked.log_path)


def main() -> None:
    """Entry point of ``wasabiwing-gateway``."""
    Fire(start)
