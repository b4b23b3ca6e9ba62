"""The ``wasabiwing-node`` program: data path and control of one entry VM.

Both run in one process and share their state in memory. The adapter of a
platform supplies the store, the cloud API, and the codecs of headers and of
stored documents.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from random import SystemRandom

from anyio import create_task_group
from anyio import Event

from wasabiwing.answer_end import EndJudge
from wasabiwing.answer_relay import AnswerRelay
from wasabiwing.attempt_watch import AttemptWatch
from wasabiwing.attempt_watch import WATCH_PERIOD_S
from wasabiwing.autoscaler import Autoscaler
from wasabiwing.brittle_servers import BrittleServers
from wasabiwing.call_forwarding import CallForwarder
from wasabiwing.caller_http import CallerHttp
from wasabiwing.cap_admission import CapAdmission
from wasabiwing.cap_admission import SPENDING_PERIOD_S
from wasabiwing.client_limits import ClientLimits
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.duties import DUTY_PERIOD_S
from wasabiwing.duties import DutyRunner
from wasabiwing.duties import LEASE_RENEWAL_SHARE
from wasabiwing.duty_port import DutyCalls
from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.facts import Facts
from wasabiwing.first_event_counts import FirstEventCounts
from wasabiwing.first_event_counts import FleetFirstEvents
from wasabiwing.fleet_follower import ChangeDecoder
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.fleet_follower import FleetView
from wasabiwing.fleet_relay import FleetRelay
from wasabiwing.fleet_relay import PUSH_PERIOD_S
from wasabiwing.learned_speeds import LearnedSpeeds
from wasabiwing.learned_speeds import LEARNING_PERIOD_S
from wasabiwing.leases import LeaseHolder
from wasabiwing.loop_delay import LoopDelay
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import FleetContent
from wasabiwing.messages import FleetRequest
from wasabiwing.messages import HeadPush
from wasabiwing.messages import NewerConfiguration
from wasabiwing.messages import NewerConfigurationRequest
from wasabiwing.messages import NodeReport
from wasabiwing.metrics import NodeMetrics
from wasabiwing.newer_configurations import CONFIGURATION_REQUEST_PERIOD_S
from wasabiwing.newer_configurations import NewerConfigurations
from wasabiwing.node_quarantine import build_quarantine
from wasabiwing.node_registry import node_lease_name
from wasabiwing.node_registry import NodeRecord
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.node_reports import NodeReports
from wasabiwing.node_reports import REPORT_PERIOD_S
from wasabiwing.node_reports import ReportedState
from wasabiwing.node_settings import NodeSettings
from wasabiwing.peer_relay import PeerRelay
from wasabiwing.ports import LongPollStore
from wasabiwing.ports import Transport
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.presence import Presence
from wasabiwing.presence import PRESENCE_PERIOD_S
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.quarantine import CRASHES_TO_QUARANTINE
from wasabiwing.queued_demand import queued_demand
from wasabiwing.relay_peers import RelayPeers
from wasabiwing.request_queue import RequestQueues
from wasabiwing.restorable_store import RestorableStore
from wasabiwing.retry_budgets import ServiceRetryBudgets
from wasabiwing.routed_calls import CallCodec
from wasabiwing.send_permits import SendPermits
from wasabiwing.sent_orders import SentOrders
from wasabiwing.server_connections import ServerConnections
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.server_limits import ServerLimits
from wasabiwing.server_loads import ServerLoads
from wasabiwing.server_need import ServerNeeds
from wasabiwing.server_pace import ServerPace
from wasabiwing.server_probe import accepts_any_connection
from wasabiwing.server_probe import server_listens
from wasabiwing.server_reachability import ServerReachability
from wasabiwing.server_selection import ServerSelector
from wasabiwing.server_slots import ServerSlots
from wasabiwing.server_statements import ServerStatements
from wasabiwing.service_configuration import RequestLimits
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.speed_notices import SpeedNotices
from wasabiwing.speed_prober import PROBE_PERIOD_S
from wasabiwing.speed_prober import SpeedProber
from wasabiwing.statement_listener import StatementListener
from wasabiwing.stop_admission import CLOSING_S
from wasabiwing.stop_admission import StopAdmission
from wasabiwing.stop_admission import UNNOTICED_S
from wasabiwing.store_progress import StoreProgress
from wasabiwing.store_readers import KNOWLEDGE_CHECK_PERIOD_S
from wasabiwing.suspect_isolation import SuspectIsolation
from wasabiwing.timers import TimerService
from wasabiwing.unknown_headers import UnknownHeaders
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import UsageCaps
from wasabiwing.usage_reporter import UsageReporter
from wasabiwing.usage_windows import UsageWindows
from wasabiwing.zone_heads import ZoneHeads

SEED_BITS = 64

# Interval between two log lines on the same usage cap, in seconds.
CAP_STATE_PERIOD_S = 1.0

# How often idle connections to backend servers are checked, in seconds.
EXPIRY_PERIOD_S = 0.5

# Time for which a stopping node stays, in seconds. The load balancer still
# sends new connections at first, and requests are on their way.
STAY_S = UNNOTICED_S + 0.3

# How often a stopping node checks whether its requests have ended, in seconds.
STOP_POLL_S = 0.05

# Number of backend server crashes up to which a request is repeated before it
# is decided who caused them. One more crash may lead to quarantine.
MAX_UNJUDGED_CRASHES = CRASHES_TO_QUARANTINE - 1

# Period in which crashes are judged and facts about crashing requests are
# collected into one message to other nodes, in seconds. A crash concerns all
# requests on a server. The period is that of ``AttemptWatch``, because ticks
# of one period share a wake-up.
CRASH_FACT_PERIOD_S = WATCH_PERIOD_S

# A tick that is late by more than this many seconds means that the process
# or its VM was suspended.
SUSPENSION_THRESHOLD_S = 1.0


@dataclass(frozen=True, slots=True)
class NodePlatform:
    """What the adapter of a platform provides to a node."""

    store: LongPollStore
    # Cloud API; ``None`` if the settings assign no duties to the node.
    cloud: DutyCalls | None
    codec: CallCodec
    decode_change: ChangeDecoder
    # Reads the settings file again and logs its errors.
    reload_settings: Callable[[], Awaitable[None]]


class Node:
    """Builds and connects the components of one node."""

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
        self._store = RestorableStore(platform.store)
        random = Random(SystemRandom().getrandbits(SEED_BITS))
        self._node_id = node_id
        self._clients = settings.clients
        self._timer = timer
        self._last_tick_at = timer.now()
        incarnation_id = f"{node_id}/{random.getrandbits(SEED_BITS):016x}"
        self.metrics = metrics
        directory = ServerDirectory(timer, settings.server_heartbeat_s)
        self.nodes = NodeRegistry(
            node_id, timer.now, lambda: directory.lapsed_kept_until
        )
        self._store.on_renewal = directory.note_store_alive
        self.view = FleetView(node_id, directory)
        progress = StoreProgress(timer)
        self.follower = FleetFollower(
            node_id,
            timer,
            self._store,
            platform.decode_change,
            self.view,
            self.nodes,
            progress,
            random,
        )
        self.follower.count_unusable = metrics.count_unusable_value
        metrics.show_store_age(self.follower.knowledge.age_s)
        record = NodeRecord(
            node_id,
            str(settings.inbox),
            settings.availability_zone,
            settings.capacity,
        )
        self._zone_heads = ZoneHeads(record, timer, self.nodes)
        self._reports = NodeReports(
            incarnation_id, timer, transport, self.nodes, self._zone_heads
        )
        self._prefill_rates = PrefillRates()
        self._loads = ServerLoads(timer, self._prefill_rates)
        self._prompt_cache = PromptCacheIndex()
        first_events = FleetFirstEvents(timer)
        self._pace = self._build_pace(timer, first_events, metrics)
        first_events.use_own(self._pace.own_counts)
        tolerance = CapTolerance(
            bounds.cap_window_s, bounds.cap_excess, bounds.cap_slack
        )
        caps = UsageCaps(
            timer,
            settings.first_start,
            self._reports.heard_share,
            tolerance,
        )
        self._cap_admission = CapAdmission(
            node_id,
            timer,
            transport,
            caps,
            tolerance,
            self._reports.known_inboxes,
            self._reports.heard_share,
            random,
        )
        self._reported_state = ReportedState(
            caps,
            UsageWindows(timer, incarnation_id, bounds.usage_window_s),
            self._loads,
            self._prompt_cache,
            ServerDemand(timer),
            progress,
            first_events,
            SentOrders(timer),
        )
        self._fleet_relay = FleetRelay(
            node_id,
            timer,
            transport,
            self._zone_heads,
            self.nodes,
            self.follower,
            directory,
            self._reports,
            self._reported_state,
        )
        self._newer_configurations = NewerConfigurations(
            node_id,
            transport,
            self._reports.live_inboxes,
            self.follower,
            self.view,
            random,
        )
        self.facts = Facts(
            timer,
            transport,
            random,
            self._zone_heads.fact_peer_inboxes,
            batch_period_s=CRASH_FACT_PERIOD_S,
            forwards=lambda: self._zone_heads.uses_heads,
        )
        self._statements = ServerStatements(
            node_id, timer, random, metrics.count_statement
        )
        self._limits = ServerLimits(
            node_id,
            timer,
            self.facts,
            directory.started_ms,
            metrics.count_statement,
        )
        self._permits = SendPermits(
            node_id,
            timer,
            transport,
            self._limits,
            self._reports.live_inboxes,
            self._reports.heard_share,
        )
        brittle = BrittleServers(
            node_id,
            timer,
            self.facts,
            directory.started_ms,
            metrics.count_statement,
        )
        self._slots = ServerSlots(
            node_id,
            timer,
            transport,
            brittle,
            self._permits,
            self.nodes.node_ids,
            random,
        )
        quarantine = build_quarantine(
            node_id,
            timer,
            self._store,
            self.facts,
            self.follower,
            directory,
            self._statements,
            CRASH_FACT_PERIOD_S,
            metrics.gateway.count_part_refusal,
        )
        isolation = SuspectIsolation(
            quarantine, MAX_UNJUDGED_CRASHES, ownership_s=0.0
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
            self._store,
            self.follower.store_cache.revision_of,
            self._current_era,
        )
        self.connections = ServerConnections(timer, metrics.count_connect)
        self._speed_prober = SpeedProber(
            node_id,
            timer,
            self.connections,
            platform.codec,
            self.view,
            self._loads.speeds,
            self.nodes.node_ids,
            self._loads.note_speed,
            metrics.count_speed_message,
        )
        self._speed_notices = SpeedNotices(
            timer,
            transport,
            self._loads.speeds,
            lambda: self.nodes.count,
            self._reports.live_inboxes,
            lambda server_id: directory.get(server_id) is not None,
            self._speed_prober.held_s,
            metrics.count_speed_message,
        )
        self._loads.on_stated_speed(self._speed_notices.note_statement)
        timer.subscribe(PROBE_PERIOD_S, self._speed_prober.probe_all)
        self._learned_speeds = LearnedSpeeds(
            node_id,
            timer,
            transport,
            self._loads.speeds,
            self.nodes.node_ids,
            self._reports.live_inboxes,
            lambda server_id: directory.get(server_id) is not None,
        )
        timer.subscribe(LEARNING_PERIOD_S, self._learned_speeds.exchange)
        watch = AttemptWatch(timer, self._loads)
        self.reachability = ServerReachability(
            node_id,
            timer,
            directory.address_by_id,
            watch.silence_by_server,
            accepts_any_connection,
            self._loads.note_unreachable,
        )
        placement = ServerSelector(
            node_id,
            settings.availability_zone,
            timer,
            self.view,
            self.nodes,
            self._loads,
            self._prompt_cache,
            self._prefill_rates,
            isolation,
            self._statements,
            self._permits,
            self.reachability.is_unreachable,
            self._slots,
            self._pace,
            self.connections.has_idle,
        )
        timer.subscribe(WATCH_PERIOD_S, watch.check)
        self._loop_delay = LoopDelay(timer, metrics.gateway.loop_delay.observe)
        self.stop_admission = StopAdmission(timer)
        end_judge: EndJudge[RegisteredServer] = EndJudge(
            timer,
            quarantine.is_leaving,
            server_listens,
            lambda server: self.connections.keeps_connection(server.id),
        )
        self._loads.on_heard(self.reachability.note_heard)
        watch.use_reachability(self.reachability.gets_no_answer)
        self._peer_relay = PeerRelay(
            node_id,
            timer,
            platform.codec,
            RelayPeers(timer, self._relay_inboxes, random),
            ServerConnections(timer, lambda node_id: None),
        )
        self.queues = RequestQueues(timer, metrics.gateway.show_queue_length)
        self._loads.on_room(self.queues.note_room, self.queues.note_news)
        self.view.on_new_server(self.queues.note_room)
        self._has_relay = settings.relay_endpoint is not None
        self.forwarder = CallForwarder(
            node_id,
            timer,
            platform.codec,
            placement,
            self.connections,
            AnswerRelay(
                node_id,
                timer,
                platform.codec,
                self._loads,
                watch,
                self._prefill_rates,
                self._reported_state.windows,
                metrics.gateway,
                directory.mark_cold,
                quarantine.note_answer_began,
                StatementListener(
                    node_id,
                    directory,
                    self._statements,
                    self._limits,
                    brittle,
                    UnknownHeaders(
                        node_id, metrics.gateway.count_unknown_header
                    ),
                ),
                end_judge,
                self._pace,
            ),
            self._loads,
            watch,
            self._prompt_cache,
            self._prefill_rates,
            self._reported_state.demand,
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
            self.stop_admission,
            end_judge,
            self.reachability,
            self._peer_relay,
            self._pace,
            self.queues,
            random,
        )
        self.caller_http = CallerHttp(
            node_id,
            timer,
            self.view,
            platform.codec,
            self._cap_admission,
            self.forwarder,
            self.stop_admission,
            metrics.gateway,
            random,
            self._node_hosts,
        )
        self.duty_runner = self._build_duties(settings, platform, random)
        self._reported_ready = False
        self.view.on_configuration(self._on_configuration)
        self.view.on_server_restarted_or_removed(
            self._on_server_restarted_or_removed
        )
        timer.subscribe(REPORT_PERIOD_S, self._send_report)
        timer.subscribe(SPENDING_PERIOD_S, self._cap_admission.tell_issuers)
        timer.subscribe(CAP_STATE_PERIOD_S, self._log_caps)
        timer.subscribe(PUSH_PERIOD_S, self._fleet_relay.push)
        timer.subscribe(KNOWLEDGE_CHECK_PERIOD_S, self._log_old_knowledge)
        timer.subscribe(
            CONFIGURATION_REQUEST_PERIOD_S, self._newer_configurations.request
        )
        timer.subscribe(PRESENCE_PERIOD_S, self._renew_presence)
        timer.subscribe(
            bounds.lease_s * LEASE_RENEWAL_SHARE, self.duty_runner.renew_lease
        )
        timer.subscribe(DUTY_PERIOD_S, self.duty_runner.run_due)
        timer.subscribe(EXPIRY_PERIOD_S, self._check_connections)

    def live_inboxes(self) -> dict[str, str]:
        """Returns the inboxes of the other nodes that may issue permits."""
        return self._reports.live_inboxes()

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new connections to this node."""
        return self.view.loaded and not self.stop_admission.stopping

    def report_readiness(self) -> bool:
        """Returns the readiness for the load balancer and logs a change."""
        ready = self.ready
        if ready != self._reported_ready:
            self._reported_ready = ready
            configuration = self.view.configuration
            log_event(
                LogEvent.READINESS_CHANGED,
                self._node_id,
                ready=ready,
                stopping=self.stop_admission.stopping,
                servers_known=self.view.directory.loaded,
                version=configuration.version if configuration else None,
            )
        return ready

    def register(self, messages: MessageRouter) -> None:
        """Registers the handlers of other nodes' messages."""

        async def receive(envelope: Envelope, report: NodeReport) -> None:
            self._reports.receive(envelope, report, self._reported_state)

        messages.register(NodeReport, receive)
        messages.register(HeadPush, self._fleet_relay.receive_push)
        messages.register(FleetRequest, self._fleet_relay.answer_catch_up)
        messages.register(FleetContent, self._fleet_relay.receive_catch_up)
        messages.register(
            NewerConfigurationRequest, self._newer_configurations.answer
        )
        messages.register(
            NewerConfiguration, self._newer_configurations.receive
        )
        self.facts.register(messages)
        self._cap_admission.register(messages)
        self._permits.register(messages)
        self._slots.register(messages)
        self._speed_notices.register(messages)
        self._learned_speeds.register(messages)

    @property
    def limits(self) -> RequestLimits:
        """Limits on the size and duration of callers' requests."""
        configuration = self.view.configuration
        if configuration is None:
            return RequestLimits()
        return configuration.limits

    @property
    def client_limits(self) -> ClientLimits:
        """Limits on what one client may send."""
        limits = self.limits
        return replace(
            self._clients,
            max_header_bytes=limits.max_header_bytes,
            header_timeout_s=limits.header_timeout_s,
        )

    def log_slow_headers(self) -> None:
        """Logs the refusal of a request whose headers arrived too slowly."""
        log_event(
            LogEvent.REQUEST_REFUSED,
            self._node_id,
            code=ResultCode.HEADERS_TOO_SLOW.name,
            run=RunState.NOT_RUN.value,
            limit_s=self.limits.header_timeout_s,
        )

    async def drain(self, grace_s: float) -> None:
        """Gives up the duties and waits until all requests have ended.

        The process is killed after ``grace_s`` seconds. The wait lasts at
        least for ``STAY_S`` seconds, and at most until ``CLOSING_S`` seconds
        before the kill, so that late requests are refused and not closed
        without a word. Duties and the store's entry are given up meanwhile: a
        store that does not answer delays nothing.
        """
        # A process that was suspended has not seen the request to stop.
        since_tick_s = self._timer.now() - self._last_tick_at
        lag_s = since_tick_s if since_tick_s > 2 * EXPIRY_PERIOD_S else 0.0
        self.stop_admission.begin(grace_s, lag_s)
        left = Event()

        async def leave() -> None:
            async with create_task_group() as leaving:
                leaving.start_soon(self.duty_runner.resign)
                leaving.start_soon(self._presence.leave)
            left.set()

        async with create_task_group() as tasks:
            tasks.start_soon(leave)
            while self.stop_admission.time_left_s > CLOSING_S:
                callers_gone = self.stop_admission.stopped_for_s > STAY_S
                if (
                    callers_gone
                    and left.is_set()
                    and self.caller_http.running_request_count == 0
                ):
                    break
                await self._timer.sleep(STOP_POLL_S)
            tasks.cancel_scope.cancel()

    def _build_duties(
        self, settings: NodeSettings, platform: NodePlatform, random: Random
    ) -> DutyRunner:
        usage_reporter = None
        autoscaler = None
        node_id = settings.node_id
        if platform.cloud is not None and settings.reports_usage:
            usage_reporter = UsageReporter(
                node_id,
                self._timer,
                self._store,
                platform.cloud,
                self._reported_state.windows,
                self._reports,
                settings.bounds.usage_due_s,
                lambda: self._store.eras.was_restored,
            )
            self._store.eras.subscribe(usage_reporter.note_restore)
        if platform.cloud is not None and settings.runs_autoscaler:
            demand = self._reported_state.demand
            demand.add_source(
                queued_demand(
                    self.view,
                    self._loads,
                    self._prefill_rates,
                    self.queues.waiting_tokens,
                    self.queues.refused_tokens_per_s,
                )
            )
            demand.follow_closely(self._states_speed)
            autoscaler = Autoscaler(
                node_id,
                self._timer,
                platform.cloud,
                self.view,
                ServerNeeds(
                    self._timer,
                    self.view,
                    demand,
                    self._limits,
                    self._loads.speeds.slowdown,
                ),
                settings.availability_zones,
                self._statements,
                self._reported_state.orders,
                self._reports.heard_share,
                self.metrics.set_server_need,
            )
        lease_holder = LeaseHolder(
            node_id,
            self._timer,
            self._store,
            settings.bounds.lease_s,
            self._current_era,
        )
        return DutyRunner(
            node_id,
            self._timer,
            lease_holder,
            self.nodes,
            usage_reporter,
            autoscaler,
            random,
            self._may_hold_duties,
        )

    def _on_configuration(self, configuration: ServiceConfiguration) -> None:
        self.metrics.gateway.generation.set(configuration.version)
        for service in configuration.service_by_name.values():
            if service.engine is not None:
                self._prompt_cache.capacity_tokens = (
                    service.engine.kv_capacity_tokens
                )

    def _relay_inboxes(self) -> dict[str, str]:
        """Returns the inboxes of the nodes that may carry requests."""
        return self._reports.live_inboxes() if self._has_relay else {}

    def _node_hosts(self) -> frozenset[str]:
        """Returns the hosts of the other nodes."""
        return frozenset(
            inbox.rpartition(":")[0] for inbox in self.nodes.peers().values()
        )

    def _on_server_restarted_or_removed(self, server_id: str) -> None:
        """Drops the state of a backend server whose process is new or gone.

        A new process has neither this node's connections nor its cached
        prompts.
        """
        self._prompt_cache.remove_server(server_id)
        self._loads.remove_server(server_id)
        self.reachability.remove_server(server_id)
        self._speed_prober.remove_server(server_id)
        self._speed_notices.remove_server(server_id)
        self._learned_speeds.remove_server(server_id)
        entry = self.view.directory.get(server_id)
        self._pace.remove_server(server_id)
        if entry is not None:
            self._statements.note_registered(server_id, entry.started_ms)
            self._pace.note_registered(
                server_id, entry.service, entry.started_ms
            )

    def _build_pace(
        self,
        timer: TimerService,
        first_events: FleetFirstEvents,
        metrics: NodeMetrics,
    ) -> ServerPace:
        def log_begun(server_id: str, cause: str) -> None:
            metrics.slow_starts.labels(cause).inc()
            log_event(
                LogEvent.SLOW_START_BEGUN,
                self._node_id,
                server=server_id,
                cause=cause,
            )

        def log_ended(
            server_id: str, counts: FirstEventCounts, age_s: float
        ) -> None:
            log_event(
                LogEvent.SLOW_START_ENDED,
                self._node_id,
                server=server_id,
                duration_s=round(age_s, 3),
                in_time=counts.in_time,
                troubled=counts.troubled,
            )

        return ServerPace(
            self._node_id,
            timer,
            first_events.peer_counts,
            log_begun,
            log_ended,
        )

    def _states_speed(self, service: str) -> bool:
        """Whether a server of a service has stated its speed."""
        return any(
            self._loads.speeds.states_speed(server.id)
            for server in self.view.directory.servers_of_service(service)
        )

    def _may_hold_duties(self) -> bool:
        """Whether this node has the data that the duties need.

        In a fleet that uses zone heads, only the heads have it.
        """
        return (
            not self._zone_heads.uses_heads
            or self._zone_heads.own_rank() is not None
        )

    def _current_era(self) -> int:
        return self._store.eras.current

    async def _renew_presence(self) -> None:
        await self._presence.renew(self._zone_heads.uses_heads)

    async def _send_report(self) -> None:
        await self._reports.send(self._reported_state)

    async def _log_caps(self) -> None:
        self._cap_admission.log_states()

    async def _log_old_knowledge(self) -> None:
        configuration = self.view.configuration
        await self._fleet_relay.readers.log_old_knowledge(
            None if configuration is None else configuration.version
        )

    async def _check_connections(self) -> None:
        known = self.follower.store_cache.revision
        if known is not None:
            self.metrics.set_store_position(known)
        now = self._timer.now()
        elapsed_s = now - self._last_tick_at
        self._last_tick_at = now
        if elapsed_s > EXPIRY_PERIOD_S + SUSPENSION_THRESHOLD_S:
            log_event(
                LogEvent.PROCESS_SUSPENDED,
                self._node_id,
                pause_s=round(elapsed_s, 2),
            )
            await self.connections.close_all_idle()
        await self.connections.close_expired()
        await self._peer_relay.close_expired()
