"""Forwards routed requests to backend servers and decides on their retries.

A request that may not be repeated is sent again only if the server states, or
the connection proves, that the request has not run.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from math import inf
from random import Random

from anyio import CancelScope
from anyio import move_on_after
from result import Err

from wasabiwing.answer_end import EndJudge
from wasabiwing.answer_relay import AnswerOutput
from wasabiwing.answer_relay import AnswerRelay
from wasabiwing.answer_relay import CallProgress
from wasabiwing.answer_relay import send_whole
from wasabiwing.attempt_watch import AttemptWatch
from wasabiwing.attempt_watch import WatchedAttempt
from wasabiwing.call_refusal import caller_retry_after_s
from wasabiwing.call_refusal import failure_status
from wasabiwing.call_refusal import is_lack_of_capacity
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.event_splitter import EventSplitter
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.node_reports import NodeReports
from wasabiwing.peer_relay import PeerRelay
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.quarantine import Quarantine
from wasabiwing.quarantine import request_digest
from wasabiwing.relay_peers import is_relay_due
from wasabiwing.relay_peers import may_relay_refusal
from wasabiwing.relay_peers import UNHEARD_S
from wasabiwing.request_queue import RequestQueues
from wasabiwing.retry_budgets import ServiceRetryBudgets
from wasabiwing.routed_calls import CallCodec
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.run_durations import end_of_run
from wasabiwing.running_calls import RunningCall
from wasabiwing.running_calls import RunningCalls
from wasabiwing.server_connections import ServerConnections
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_loads import ServerLoads
from wasabiwing.server_pace import ServerPace
from wasabiwing.server_reachability import ServerReachability
from wasabiwing.server_selection import SelectedServer
from wasabiwing.server_selection import ServerSelector
from wasabiwing.server_statements import ServerStatements
from wasabiwing.server_wait import ServerWait
from wasabiwing.service_configuration import RouteKind
from wasabiwing.silent_attempts import KEPT_BUDGET_SHARE
from wasabiwing.silent_attempts import Prospects
from wasabiwing.silent_attempts import wait_reason
from wasabiwing.silent_attempts import WaitReason
from wasabiwing.stop_admission import StopAdmission
from wasabiwing.suspect_isolation import SuspectIsolation
from wasabiwing.timers import TimerService

# Maximum number of servers to which one request is sent while each of them
# states that it has not run the request.
MAX_REFUSED_ATTEMPTS = 3

# A repeatable stream is sent to another server when its server has been silent
# for this multiple of the predicted time to the first event, and for at least
# this many seconds.
MIN_SILENCE_S = 1.0
SILENCE_FACTOR = 3.0

# Silence after which a plain request that may be repeated is sent to another
# server, as a multiple of the route's latency target: the answer is late
# already, and the caller has time for another one.
PLAIN_SILENCE_TARGETS = 2.5

# Failures of requests of which no byte was sent.
NOT_SENT_CODES = (ResultCode.CONNECT_FAILED, ResultCode.SERVER_UNWILLING)

# Time in seconds of which the refused requests are spread at their returns.
REFUSED_SPAN_S = 1.0

# Number of requests that one log line names.
MAX_LOGGED_REQUESTS = 20


class CallForwarder:
    """Forwards the routed requests of one node to backend servers."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        codec: CallCodec,
        placement: ServerSelector,
        connections: ServerConnections,
        relay: AnswerRelay,
        loads: ServerLoads,
        watch: AttemptWatch,
        prompts: PromptCacheIndex,
        rates: PrefillRates,
        demand: ServerDemand,
        reports: NodeReports,
        metrics: GatewayMetrics,
        retry_budgets: ServiceRetryBudgets,
        quarantine: Quarantine[RegisteredServer],
        isolation: SuspectIsolation,
        statements: ServerStatements,
        stop_admission: StopAdmission,
        end_judge: EndJudge[RegisteredServer],
        reachability: ServerReachability,
        peer_relay: PeerRelay,
        pace: ServerPace,
        queues: RequestQueues,
        random: Random,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._codec = codec
        self._placement = placement
        self._connections = connections
        self._relay = relay
        self._loads = loads
        self._watch = watch
        self._prompts = prompts
        self._rates = rates
        self._demand = demand
        self._reports = reports
        self._metrics = metrics
        self._retry_budgets = retry_budgets
        self._quarantine = quarantine
        self._isolation = isolation
        self._statements = statements
        self._stop_admission = stop_admission
        self._end_judge = end_judge
        self._reachability = reachability
        self._peer_relay = peer_relay
        self._pace = pace
        self._queues = queues
        self._random = random
        self._running = RunningCalls()
        self._server_wait = ServerWait(
            node_id,
            timer,
            placement,
            queues,
            metrics,
            quarantine.suspect_digest,
            self._stop_refusal,
            self._unreachable_share,
        )

    def log_unfinished(self) -> None:
        """Logs the requests that are running when the process is killed."""
        running = self._running.all()
        if not running:
            return
        now = self._timer.now()
        log_event(
            Event.STOP_UNFINISHED,
            self._node_id,
            time_left_s=round(self._stop_admission.time_left_s, 3),
            requests=[
                {
                    "request": item.call.head.attempt_id,
                    "route": item.call.route.name,
                    "age_s": round(now - item.call.received_at, 3),
                    "answer_begun": item.output.started,
                }
                for item in running[:MAX_LOGGED_REQUESTS]
            ],
            count=len(running),
        )

    def end_unanswered(self) -> None:
        """Ends the requests whose answers have not begun.

        Their callers get a final failure before the process is killed.
        """
        for running in self._running.all():
            if not running.output.started:
                running.ended_by_stop = True
                running.scope.cancel()

    async def serve(
        self, call: RoutedCall, output: AnswerOutput, relayed: bool = False
    ) -> Failure:
        """Serves a request until its answer or final failure is sent.

        A request that another node has relayed is not relayed again.
        Returns the final failure, which has the code ``OK`` if the caller got
        an answer.
        """
        progress = CallProgress(
            EventSplitter(call.head.last_event_id),
            self._timer.now(),
            relayed=relayed,
            may_relay=not relayed,
        )
        if self._stop_admission.stopping:
            log_event(
                Event.REQUEST_TAKEN_STOPPING,
                self._node_id,
                request=call.head.attempt_id,
                route=call.route.name,
                stopped_for_s=round(self._stop_admission.stopped_for_s, 3),
                time_left_s=round(self._stop_admission.time_left_s, 3),
            )
        remaining_s = call.deadline - self._timer.now()
        with (
            self._running.add(call, output) as running,
            self._stop_admission.durations.track(
                _run_kind(call), call.head.answer_tokens
            ) as tracked,
        ):
            with move_on_after(max(remaining_s, 0.0)) as running.scope:
                failure = await self._run_attempts(call, progress, output)
            if running.scope.cancelled_caught:
                failure = _cancelled_failure(running, progress)
            tracked.end = end_of_run(failure)
        if failure.code is not ResultCode.OK:
            await self._send_failure(call, progress, failure, output)
        self._log_end(call, progress, failure)
        return failure

    async def _run_attempts(
        self, call: RoutedCall, progress: CallProgress, output: AnswerOutput
    ) -> Failure:
        next_server: list[SelectedServer] = []
        try:
            return await self._run_prepared_attempts(
                call, progress, output, next_server
            )
        finally:
            self._drop_move(call, progress, next_server)

    async def _run_prepared_attempts(
        self,
        call: RoutedCall,
        progress: CallProgress,
        output: AnswerOutput,
        next_server: list[SelectedServer],
    ) -> Failure:
        """Runs attempts; ``next_server`` has that of a prepared one."""
        while True:
            if not next_server and self._is_relay_due(call, progress):
                failure = await self._relay_to_node(call, progress, output)
                if failure is not None:
                    return failure
            placed = (
                next_server.pop()
                if next_server
                else await self._server_wait.wait(
                    _as_seen_by_caller(call, progress), progress
                )
            )
            if isinstance(placed, Failure) and self._may_relay_refusal(
                call, progress, placed
            ):
                failure = await self._relay_to_node(call, progress, output)
                if failure is not None:
                    return failure
                if progress.may_relay:
                    continue
            if isinstance(placed, Failure):
                return (
                    placed
                    if progress.possible_runs == 0
                    else _final_failure(progress)
                )
            failure = await self._attempt(
                replace(call, late=True) if placed.late else call,
                placed,
                progress,
                output,
                next_server,
            )
            if failure is None:
                self._quarantine.note_success(call)
                return Failure(ResultCode.OK)
            progress.last_failure = failure
            is_prepared = bool(next_server) or progress.moves_to_node
            progress.moves_to_node = False
            if not self._may_retry(call, progress, failure, is_prepared):
                return _final_failure(progress)

    def _drop_move(
        self,
        call: RoutedCall,
        progress: CallProgress,
        next_server: list[SelectedServer],
    ) -> None:
        """Gives back the server of a prepared attempt that is not made."""
        progress.moves_to_node = False
        while next_server:
            self._placement.note_ended(call, next_server.pop().server, False)

    async def _relay_to_node(
        self, call: RoutedCall, progress: CallProgress, output: AnswerOutput
    ) -> Failure | None:
        """Asks other nodes to carry a request.

        Returns the request's final failure, with the code ``OK`` if the caller
        got the answer, or ``None`` if a further attempt follows here.
        """
        end = await self._peer_relay.relay(call, progress, output)
        # Without another node, the own servers are tried once more.
        progress.may_relay = end.taken
        if not end.taken:
            return None
        if end.failure is None:
            return Failure(ResultCode.OK)
        progress.last_failure = end.failure
        if end.final or not self._may_retry(
            call, progress, end.failure, False
        ):
            return _final_failure(progress)
        return None

    def _may_relay_refusal(
        self, call: RoutedCall, progress: CallProgress, refusal: Failure
    ) -> bool:
        """Whether another node is asked about a request refused here."""
        return progress.may_relay and may_relay_refusal(
            refusal, self._unreachable_share(call)
        )

    def _is_relay_due(self, call: RoutedCall, progress: CallProgress) -> bool:
        """Whether another node is asked to carry a request now."""
        if not progress.may_relay:
            return False
        server_ids = self._placement.server_ids(call.service)
        return (
            is_relay_due(
                self._reachability.is_cut_off_from(server_ids),
                progress.failed_connects,
                len(server_ids - progress.tried_server_ids),
                self._reachability.heard_any_since(
                    self._timer.now() - UNHEARD_S
                ),
            )
            and self._stop_refusal(call, progress.came_at) is None
        )

    def _is_cut_off(self, call: RoutedCall) -> bool:
        """Whether this node reaches no server that may take a request."""
        return self._reachability.is_cut_off_from(
            self._placement.server_ids(call.service)
        )

    def _unreachable_share(self, call: RoutedCall) -> float:
        """Returns the share of a request's servers that are unreachable."""
        return self._reachability.unreachable_share(
            self._placement.server_ids(call.service)
        )

    def _stop_refusal(
        self, call: RoutedCall, came_at: float
    ) -> Failure | None:
        """Returns why this process, which stops, makes no attempt any more.

        A stream that has begun and can't end here in time isn't resumed
        either: its caller may resume it elsewhere at once.
        """
        return self._stop_admission.refusal(
            _run_kind(call),
            came_at,
            call.deadline,
            call.head.answer_tokens,
        )

    def _may_move(
        self,
        call: RoutedCall,
        progress: CallProgress,
        server_id: str,
        next_server: list[SelectedServer],
        log_kept: Callable[[WaitReason, str], None],
    ) -> bool:
        """Whether the attempt at a silent server is given up.

        If so, it takes a retry token and adds the next attempt's server to
        ``next_server``, or notes that another node gets the request.
        """
        budgets = self._retry_budgets
        # A server of which probes get no answer is more than silent. One that
        # refuses new connections may go on with an open one.
        is_silent = not self._reachability.gets_no_answer(server_id)
        reason = wait_reason(
            Prospects(
                call.route.max_attempts - progress.possible_runs,
                self._stop_refusal(call, self._timer.now()) is not None,
                budgets.has_token(
                    call.service, KEPT_BUDGET_SHARE if is_silent else 0.0
                ),
            )
        )
        if reason is not None:
            log_kept(reason, "")
            return False
        if (
            not is_silent
            and progress.may_relay
            and self._is_cut_off(call)
            and self._peer_relay.any_available()
        ):
            progress.moves_to_node = budgets.take_token(call.service)
            return progress.moves_to_node
        excluded = progress.tried_server_ids | self._watch.silent_server_ids()
        placed = self._placement.choose_server(
            _as_seen_by_caller(call, progress),
            frozenset(excluded),
            needs_room=True,
        )
        if isinstance(placed, Err):
            log_kept(WaitReason.NO_SERVER, str(placed.err_value))
            return False
        budgets.take_token(call.service)
        next_server.append(placed.ok_value)
        return True

    def _kept_logger(
        self, call: RoutedCall, server_id: str
    ) -> Callable[[WaitReason, str], None]:
        """Returns what logs once that an attempt goes on, and why."""
        logged = False

        def log_kept(reason: WaitReason, detail: str) -> None:
            nonlocal logged
            if not logged:
                logged = True
                log_event(
                    Event.SILENT_ATTEMPT_KEPT,
                    self._node_id,
                    request=call.head.attempt_id,
                    server=server_id,
                    reason=reason.value,
                    detail=detail,
                )

        return log_kept

    def _may_retry(
        self,
        call: RoutedCall,
        progress: CallProgress,
        failure: Failure,
        is_prepared: bool,
    ) -> bool:
        """Whether a failed attempt is retried; takes a retry token for it.

        A prepared retry has its server and its token already.
        """
        reason = "budget used up"
        budgets = self._retry_budgets
        if is_prepared:
            again = True
            reason = "silent server"
        elif failure.run_state is RunState.NOT_RUN:
            # A request of which no byte was sent has put no load on a server,
            # so all others may be tried.
            not_sent = failure.code in NOT_SENT_CODES
            allowed = (
                not_sent or progress.refused_attempts < MAX_REFUSED_ATTEMPTS
            )
            again = not_sent or (allowed and budgets.take_token(call.service))
            reason = "not run" if allowed else "offered often enough"
        elif not call.route.repeatable:
            again = False
            reason = "non-idempotent and may have run"
        else:
            allowed = progress.possible_runs < call.route.max_attempts
            again = allowed and budgets.take_token(call.service)
            reason = "idempotent" if allowed else "no attempts left"
        log_event(
            Event.RETRY_DECISION,
            self._node_id,
            request=call.head.attempt_id,
            failure=str(failure),
            run=failure.run_state.value,
            again=again,
            reason=reason,
        )
        return again

    async def _attempt(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        progress: CallProgress,
        output: AnswerOutput,
        next_server: list[SelectedServer],
    ) -> Failure | None:
        """Makes one attempt at a server.

        Returns its failure, or ``None`` if the caller got the answer. If the
        server was silent, ``next_server`` has that of the next attempt.
        """
        server = placed.server
        progress.tried_server_ids.add(server.id)
        self._record_sending(call, placed, progress)
        remaining_s = call.deadline - self._timer.now()
        # The attempt counts as run until it is known not to have run.
        progress.possible_runs += 1
        failed: bool | None = None
        failure: Failure | None = None
        sent_at = self._timer.now()
        self._isolation.note_started(server.id, placed.suspect_digest)
        self._statements.note_sent(server.id)
        try:
            silence_limit_s = _silence_limit_s(call, placed, remaining_s)
            with self._watch.watch(
                server.id,
                call.urgency,
                silence_limit_s,
                partial(
                    self._may_move,
                    call,
                    progress,
                    server.id,
                    next_server,
                    self._kept_logger(call, server.id),
                ),
            ) as watched:
                failure = await self._exchange(
                    call, placed, progress, output, watched
                )
            if not watched.ended_early:
                self._drop_move(call, progress, next_server)
            else:
                progress.silent_server_ids.add(server.id)
                progress.event_splitter.discard_incomplete_event()
                failure = Failure(
                    ResultCode.SERVER_TIMEOUT,
                    f"silent, overtaken by {watched.overtaken_count}",
                    RunState.MAY_HAVE_RUN,
                )
            failed = failure is not None
            if failure is not None and failure.code is ResultCode.SERVER_CUT:
                self._end_judge.note_cut(server)
                # The cut must be recorded even if the caller disconnects.
                with CancelScope(shield=True):
                    await self._quarantine.note_cut(
                        call, server, sent_at, watched.started_at
                    )
            if failure is not None and failure.run_state is RunState.NOT_RUN:
                progress.possible_runs -= 1
                if failure.code is not ResultCode.CONNECT_FAILED:
                    failed = None
                if failure.code not in NOT_SENT_CODES:
                    progress.refused_attempts += 1
            elif self._statements.pause_left_s(server.id) > 0.0:
                failed = None
        finally:
            self._loads.note_ended(server.id, call.head.attempt_id, failed)
            self._isolation.note_ended(server.id, placed.suspect_digest)
            self._note_pace(call, server, failed, sent_at)
            self._statements.note_ended(server.id, failed is False)
            self._placement.note_ended(
                call,
                server,
                failure is not None
                and failure.code is ResultCode.SERVER_REFUSED,
            )
        code = ResultCode.OK if failure is None else failure.code
        self._metrics.attempts.labels(call.service, code.name).inc()
        if failure is not None:
            log_event(
                Event.ATTEMPT_FAILED,
                self._node_id,
                request=call.head.attempt_id,
                server=server.id,
                failure=str(failure),
                run=failure.run_state.value,
                **_digest_field(call, failure),
            )
        return failure

    def _note_pace(
        self,
        call: RoutedCall,
        server: RegisteredServer,
        failed: bool | None,
        sent_at: float,
    ) -> None:
        """Records how a server answered, for its slow start.

        The first events of streams are recorded when they come.
        """
        if failed:
            self._pace.note_failed(server.id)
        elif failed is False and call.route.kind is not RouteKind.STREAM:
            self._pace.note_first_event(
                server.id,
                call.service,
                call.route.latency_target_s,
                self._timer.now() - sent_at,
            )

    async def _exchange(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        progress: CallProgress,
        output: AnswerOutput,
        watched: WatchedAttempt,
    ) -> Failure | None:
        """Sends a request to a server and relays the answer to the caller."""
        server = placed.server
        remaining_s = call.deadline - self._timer.now()
        sent = await self._connections.send(
            server.id,
            server.address,
            call.method,
            call.target,
            self._codec.server_headers(
                call,
                server.id,
                remaining_s,
                call.urgency,
                progress.event_splitter.last_event_id,
            ),
            call.body,
            remaining_s,
            partial(self._may_still_send, server),
            partial(self._note_connected, call, placed, progress),
        )
        if not isinstance(sent, Err):
            return await self._relay.relay_answer(
                call, placed, sent.ok_value, progress, output, watched
            )
        if sent.err_value.code is ResultCode.CONNECT_FAILED:
            progress.failed_connects += 1
            self._loads.note_unreachable(server.id)
            self._reachability.note_connect_failed(server.id)
            await self._connections.close_idle(server.id)
        return sent.err_value

    def _may_still_send(self, server: RegisteredServer) -> bool:
        """Whether a request that was routed to a server may still be sent.

        The server may have said that it leaves, in an answer or in the
        registry, while its connection was opened.
        """
        return self._statements.may_still_send(
            server.id
        ) and not self._quarantine.is_leaving(server)

    def _record_sending(
        self, call: RoutedCall, placed: SelectedServer, progress: CallProgress
    ) -> None:
        server_id = placed.server.id
        if placed.late:
            self._metrics.late_requests.labels(call.service).inc()
        if _is_first_attempt(progress, server_id):
            self._retry_budgets.note_first_attempt(call.service)
            self._note_demand(call, placed)
        self._loads.note_sent(
            server_id,
            call.head.attempt_id,
            call.urgency,
            placed.uncached_tokens,
            has_connection=False,
        )
        log_event(
            Event.ROUTE_DECISION,
            self._node_id,
            request=call.head.attempt_id,
            route=call.route.name,
            server=server_id,
            zone=placed.server.availability_zone,
            version=placed.version,
            uncached_tokens=placed.uncached_tokens,
            queued_tokens=round(placed.queued_tokens),
            first_event_s=round(placed.choice.first_event_s, 3),
            urgency=call.urgency,
            scores={
                name: round(score, 3)
                for name, score in placed.choice.score_by_server
            },
        )

    def _note_connected(
        self, call: RoutedCall, placed: SelectedServer, progress: CallProgress
    ) -> None:
        """Records what other nodes hear of an attempt.

        A server without a connection gets neither load nor prompt.
        """
        server_id = placed.server.id
        self._loads.note_connected(server_id, call.head.attempt_id)
        if not _is_first_attempt(progress, server_id):
            self._note_demand(call, placed)
        if call.head.prompt_parts:
            self._prompts.note_prompt(server_id, call.head.prompt_parts)
            self._reports.note_placement(
                server_id, call.head.prompt_parts[:-1]
            )

    def _note_demand(self, call: RoutedCall, placed: SelectedServer) -> None:
        if call.head.prompt_parts:
            self._demand.note_work(
                call.service,
                placed.uncached_tokens
                * self._rates.prefill_s_per_token(call.service),
            )

    async def _send_failure(
        self,
        call: RoutedCall,
        progress: CallProgress,
        failure: Failure,
        output: AnswerOutput,
    ) -> None:
        """Answers the caller with the final failure of its request."""
        if output.started:
            # The end of the body is never sent, so that the caller sees that
            # the answer is incomplete.
            return
        if progress.fallback_answer is not None:
            await send_whole(output, progress.fallback_answer)
            return
        remaining_s = max(call.deadline - self._timer.now(), 0.0)
        spread_s = 0.0
        if is_lack_of_capacity(failure):
            self._queues.note_refused(call)
            refused_tokens = self._queues.refused_tokens_per_s(call.service)
            spread_s = self._placement.fleet_work_s(
                call.service, refused_tokens * REFUSED_SPAN_S
            )
        retry_after_s = caller_retry_after_s(
            failure, remaining_s, self._random.random(), spread_s
        )
        if failure.run_state is RunState.NOT_RUN:
            self._metrics.refusals.labels(
                call.service, failure.code.name
            ).inc()
        await output.refuse(failure_status(failure), failure, retry_after_s)

    def _log_end(
        self, call: RoutedCall, progress: CallProgress, failure: Failure
    ) -> None:
        ok = failure.code is ResultCode.OK
        log_event(
            Event.REQUEST_FINISHED if ok else Event.REQUEST_REFUSED,
            self._node_id,
            request=call.head.attempt_id,
            route=call.route.name,
            organisation=call.organisation_name,
            code=failure.code.name,
            detail=failure.detail,
            run=failure.run_state.value,
            runs=progress.possible_runs,
            offers=progress.refused_attempts,
            duration_s=round(self._timer.now() - call.received_at, 3),
            **_digest_field(call, failure),
        )


def _is_first_attempt(progress: CallProgress, server_id: str) -> bool:
    """Whether an attempt at a server is the first of its request."""
    return not progress.tried_server_ids - {server_id}


def _cancelled_failure(
    running: RunningCall, progress: CallProgress
) -> Failure:
    """Returns the failure of a request that its deadline or the stop ended."""
    run_state = RunState.NOT_RUN
    if progress.last_failure is not None:
        run_state = progress.last_failure.run_state
    if progress.possible_runs:
        run_state = RunState.MAY_HAVE_RUN
    code = ResultCode.DEADLINE_EXCEEDED
    if running.ended_by_stop:
        code = ResultCode.NODE_LEAVING
    return Failure(code, "", run_state)


def _final_failure(progress: CallProgress) -> Failure:
    """Returns the failure of the last attempt, for the whole request.

    If an earlier attempt may have run the request, the failure says so.
    """
    failure = progress.last_failure or Failure(ResultCode.NO_BACKEND_SERVER)
    if progress.possible_runs and failure.run_state is RunState.NOT_RUN:
        return Failure(failure.code, failure.detail, RunState.MAY_HAVE_RUN)
    return failure


def _as_seen_by_caller(call: RoutedCall, progress: CallProgress) -> RoutedCall:
    """Returns a request with the time since which its caller waits."""
    return replace(call, last_event_at=progress.last_event_at)


def _digest_field(call: RoutedCall, failure: Failure) -> dict[str, str]:
    """Returns the log fields by which repeats of a request are recognised.

    They are logged only for failures that may lead to a quarantine.
    """
    if failure.code not in (ResultCode.SERVER_CUT, ResultCode.QUARANTINED):
        return {}
    return {"digest": request_digest(call)}


def _run_kind(call: RoutedCall) -> str:
    """Returns the kind under which a request's duration is tracked."""
    return f"{call.route.name}/{call.service}"


def _silence_limit_s(
    call: RoutedCall, placed: SelectedServer, remaining_s: float
) -> float:
    """Returns the seconds of silence after which an attempt may be ended."""
    if not call.route.repeatable:
        return inf
    if call.route.kind is RouteKind.STREAM:
        expected_s = placed.choice.first_event_s * SILENCE_FACTOR
        return min(max(expected_s, MIN_SILENCE_S), remaining_s)
    return call.route.latency_target_s * PLAIN_SILENCE_TARGETS or inf
