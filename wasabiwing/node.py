"""The ``wasabiwing-node`` program: data path and control of one entry VM.

Both are in one process, joined in memory. An adapter passes in what belongs
to the platform: store, cloud API, codec of headers and of stored documents.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from random import SystemRandom

from wasabiwing.answer_relay import AnswerRelay
from wasabiwing.attempt_watch import AttemptWatch
from wasabiwing.attempt_watch import WATCH_PERIOD_S
from wasabiwing.autoscaler import Autoscaler
from wasabiwing.call_forwarding import CallForwarder
from wasabiwing.caller_http import CallerHttp
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.duties import DUTY_PERIOD_S
from wasabiwing.duties import DutyRunner
from wasabiwing.duties import LEASE_RENEWAL_SHARE
from wasabiwing.duty_port import DutyCalls
from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.facts import Facts
from wasabiwing.fleet_follower import ChangeDecoder
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.fleet_follower import FleetView
from wasabiwing.fleet_relay import FleetRelay
from wasabiwing.fleet_relay import PUSH_PERIOD_S
from wasabiwing.leases import LeaseHolder
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import FleetContent
from wasabiwing.messages import FleetRequest
from wasabiwing.messages import HeadPush
from wasabiwing.messages import NodeReport
from wasabiwing.metrics import NodeMetrics
from wasabiwing.node_quarantine import build_quarantine
from wasabiwing.node_registry import node_lease_name
from wasabiwing.node_registry import NodeRecord
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.node_reports import NodeReports
from wasabiwing.node_reports import REPORT_PERIOD_S
from wasabiwing.node_reports import ReportedState
from wasabiwing.node_settings import NodeSettings
from wasabiwing.ports import LongPollStore
from wasabiwing.ports import Transport
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.presence import Presence
from wasabiwing.presence import PRESENCE_PERIOD_S
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.quarantine import CRASHES_TO_QUARANTINE
from wasabiwing.retry_budgets import ServiceRetryBudgets
from wasabiwing.routed_calls import CallCodec
from wasabiwing.server_connections import ServerConnections
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.server_loads import ServerLoads
from wasabiwing.server_selection import ServerSelector
from wasabiwing.server_statements import ServerStatements
from wasabiwing.service_configuration import RequestLimits
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.statement_listener import StatementListener
from wasabiwing.store_progress import StoreProgress
from wasabiwing.suspect_isolation import SuspectIsolation
from wasabiwing.timers import TimerService
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import UsageCaps
from wasabiwing.usage_reporter import UsageReporter
from wasabiwing.usage_windows import UsageWindows
from wasabiwing.zone_heads import ZoneHeads

SEED_BITS = 64

# How often idle connections to backend servers are checked, in seconds.
EXPIRY_PERIOD_S = 0.5

# Time after a stop request in which the load balancer sees the failed
# readiness check and sends no new connections, in seconds.
READINESS_NOTICE_S = 2.2

# How often a stopping node looks whether its requests have ended.
STOP_POLL_S = 0.05

# Crashes after which a request is repeated before they are judged; with one
# more it may be refused.
UNJUDGED_CRASHES = CRASHES_TO_QUARANTINE - 1

# Period in which news about crashing requests are judged, and collected for
# one message to other nodes, in seconds: a crash concerns all requests on a
# server, and ticks of one period share a wake-up.
NEWS_PERIOD_S = WATCH_PERIOD_S

# A pause between two ticks beyond this many seconds means that the process
# or its VM stood still.
SUSPENSION_S = 1.0


@dataclass(frozen=True, slots=True)
class NodePlatform:
    """What the adapter provides."""

    store: LongPollStore
    # ``None`` where no duties are asked for.
    cloud: DutyCalls | None
    codec: CallCodec
    decode_change: ChangeDecoder
    # Reads the settings file again; logs what is wrong with it.
    reload_settings: Callable[[], Awaitable[None]]


class Node:
    """The parts of one node."""

    def __init__(
        self,
        settings: NodeSettings,
        platform: NodePlatform,
        timer: TimerService,
        transport: Transport,
        metrics: NodeMetrics,
    ) -> None:
        node_id = settings.node_id
        bounds = settings.bounds
        random = Random(SystemRandom().getrandbits(SEED_BITS))
        self._node_id = node_id
        self._timer = timer
        self._last_tick_at = timer.now()
        life = f"{node_id}/{random.getrandbits(SEED_BITS):016x}"
        self.metrics = metrics
        self.nodes = NodeRegistry(node_id)
        directory = ServerDirectory(timer)
        self.view = FleetView(node_id, directory)
        progress = StoreProgress(timer)
        self.follower = FleetFollower(
            node_id,
            timer,
            platform.store,
            platform.decode_change,
            self.view,
            self.nodes,
            progress,
            random,
        )
        record = NodeRecord(
            node_id,
            str(settings.inbox),
            settings.availability_zone,
            settings.capacity,
        )
        self._heads = ZoneHeads(record, timer, self.nodes)
        self._reports = NodeReports(
            life, timer, transport, self.nodes, self._heads
        )
        self._rates = PrefillRates()
        self._loads = ServerLoads(timer, self._rates)
        self._prompts = PromptCacheIndex()
        self._shared = ReportedState(
            UsageCaps(
                timer,
                settings.first_start,
                self._reports.heard_share,
                CapTolerance(
                    bounds.cap_window_s, bounds.cap_excess, bounds.cap_slack
                ),
            ),
            UsageWindows(timer, life, bounds.usage_window_s),
            self._loads,
            self._prompts,
            ServerDemand(timer),
            progress,
        )
        self._relay = FleetRelay(
            node_id,
            timer,
            transport,
            self._heads,
            self.nodes,
            self.follower,
            directory,
            self._reports,
            self._shared,
            random,
        )
        self.facts = Facts(
            timer,
            transport,
            random,
            self._heads.fact_peer_inboxes,
            batch_period_s=NEWS_PERIOD_S,
            forwards=lambda: self._heads.uses_heads,
        )
        self._statements = ServerStatements(
            node_id, timer, random, metrics.count_statement
        )
        quarantine = build_quarantine(
            node_id,
            timer,
            platform.store,
            self.facts,
            self.follower,
            directory,
            self._statements,
            NEWS_PERIOD_S,
        )
        isolation = SuspectIsolation(
            quarantine, UNJUDGED_CRASHES, ownership_s=0.0
        )
        self._presence = Presence(
            node_id,
            node_lease_name(
                node_id,
                record.inbox,
                record.availability_zone,
                record.capacity,
            ),
            timer,
            platform.store,
            self.follower.store_cache.revision_of,
        )
        self.connections = ServerConnections(timer, metrics.count_connect)
        placement = ServerSelector(
            node_id,
            settings.availability_zone,
            timer,
            self.view,
            self.nodes,
            self._loads,
            self._prompts,
            self._rates,
            isolation,
            self._statements,
        )
        watch = AttemptWatch(timer, self._loads)
        timer.subscribe(WATCH_PERIOD_S, watch.check)
        forwarder = CallForwarder(
            node_id,
            timer,
            platform.codec,
            placement,
            self.connections,
            AnswerRelay(
                timer,
                platform.codec,
                self._loads,
                watch,
                self._rates,
                self._shared.windows,
                metrics.gateway,
                directory.mark_cold,
                StatementListener(node_id, directory, self._statements),
            ),
            self._loads,
            watch,
            self._prompts,
            self._rates,
            self._shared.demand,
            self._reports,
            metrics.gateway,
            ServiceRetryBudgets(
                bounds.retry_ratio,
                bounds.retry_reserve,
                lambda: self.nodes.count,
            ),
            quarantine,
            isolation,
            self._statements,
            random,
        )
        self.caller_http = CallerHttp(
            node_id,
            timer,
            self.view,
            platform.codec,
            self._shared.caps,
            forwarder,
            metrics.gateway,
            random,
        )
        self.duty_runner = self._build_duties(settings, platform, random)
        self._told_ready = False
        self.view.on_configuration(self._on_configuration)
        self.view.on_server_restarted_or_removed(self._on_server_renewed)
        timer.subscribe(REPORT_PERIOD_S, self._send_report)
        timer.subscribe(PUSH_PERIOD_S, self._relay.push)
        timer.subscribe(PRESENCE_PERIOD_S, self._renew_presence)
        timer.subscribe(
            bounds.lease_s * LEASE_RENEWAL_SHARE, self.duty_runner.renew_lease
        )
        timer.subscribe(DUTY_PERIOD_S, self.duty_runner.run_due)
        timer.subscribe(EXPIRY_PERIOD_S, self._check_connections)

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return self.view.loaded and not self.caller_http.stopping

    def report_readiness(self) -> bool:
        """Returns what the load balancer is told, and logs a change."""
        ready = self.ready
        if ready != self._told_ready:
            self._told_ready = ready
            configuration = self.view.configuration
            log_event(
                LogEvent.READINESS_CHANGED,
                self._node_id,
                ready=ready,
                stopping=self.caller_http.stopping,
                servers_known=self.view.directory.loaded,
                version=configuration.version if configuration else None,
            )
        return ready

    def register(self, messages: MessageRouter) -> None:
        """Takes over the messages of other nodes."""

        async def receive(envelope: Envelope, report: NodeReport) -> None:
            self._reports.receive(envelope, report, self._shared)

        messages.register(NodeReport, receive)
        messages.register(HeadPush, self._relay.receive_push)
        messages.register(FleetRequest, self._relay.answer_catch_up)
        messages.register(FleetContent, self._relay.receive_catch_up)
        self.facts.register(messages)

    @property
    def limits(self) -> RequestLimits:
        """Returns what callers may send, and how long they may take."""
        configuration = self.view.configuration
        if configuration is None:
            return RequestLimits()
        return configuration.limits

    def log_slow_headers(self) -> None:
        """Logs a caller whose headers took too long."""
        log_event(
            LogEvent.REQUEST_REFUSED,
            self._node_id,
            code=ResultCode.HEADERS_TOO_SLOW.name,
            run=RunState.NOT_RUN.value,
            limit_s=self.limits.header_timeout_s,
        )

    async def drain(self, longest_s: float) -> None:
        """Waits until the load balancer and all requests are done."""
        self.caller_http.stopping = True
        started_at = self._timer.now()
        await self.duty_runner.resign()
        await self._presence.leave()
        while self._timer.now() - started_at < longest_s:
            noticed = self._timer.now() - started_at > READINESS_NOTICE_S
            if noticed and self.caller_http.running_request_count == 0:
                return
            await self._timer.sleep(STOP_POLL_S)

    def _build_duties(
        self, settings: NodeSettings, platform: NodePlatform, random: Random
    ) -> DutyRunner:
        usage = None
        orders = None
        node_id = settings.node_id
        if platform.cloud is not None and settings.reports_usage:
            usage = UsageReporter(
                node_id,
                self._timer,
                platform.store,
                platform.cloud,
                self._shared.windows,
                self._reports,
                settings.bounds.usage_due_s,
            )
        if platform.cloud is not None and settings.runs_autoscaler:
            orders = Autoscaler(
                node_id,
                self._timer,
                platform.cloud,
                self.view,
                self._shared.demand,
                settings.availability_zones,
                self._statements,
            )
        leases = LeaseHolder(
            node_id, self._timer, platform.store, settings.bounds.lease_s
        )
        return DutyRunner(
            node_id,
            self._timer,
            leases,
            self.nodes,
            usage,
            orders,
            random,
            self._may_hold_duties,
        )

    def _on_configuration(self, configuration: ServiceConfiguration) -> None:
        self.metrics.gateway.generation.set(configuration.version)
        for profile in configuration.service_by_name.values():
            if profile.engine is not None:
                self._prompts.capacity_tokens = (
                    profile.engine.kv_capacity_tokens
                )

    def _on_server_renewed(self, server_id: str) -> None:
        """A new process has neither our connections nor our prompts."""
        self._prompts.remove_server(server_id)
        self._loads.remove_server(server_id)
        entry = self.view.directory.get(server_id)
        if entry is not None:
            self._statements.note_registered(server_id, entry.started_ms)

    def _may_hold_duties(self) -> bool:
        """With many nodes only heads know what the duties need."""
        return not self._heads.uses_heads or self._heads.own_rank() is not None

    async def _renew_presence(self) -> None:
        await self._presence.renew(self._heads.uses_heads)

    async def _send_report(self) -> None:
        await self._reports.send(self._shared)

    async def _check_connections(self) -> None:
        now = self._timer.now()
        pause_s = now - self._last_tick_at
        self._last_tick_at = now
        if pause_s > EXPIRY_PERIOD_S + SUSPENSION_S:
            log_event(
                LogEvent.PROCESS_SUSPENDED,
                self._node_id,
                pause_s=round(pause_s, 2),
            )
            await self.connections.close_all_idle()
        await self.connections.close_expired()
