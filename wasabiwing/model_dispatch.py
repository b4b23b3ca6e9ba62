"""Dispatch of model requests in the gateway.

The dispatcher takes an accepted call through admission and its attempts at
model engines until its answer log has ended. Every attempt is streamed, also
for callers that want the answer in one piece, so that another attempt can
continue an answer that was cut off.
"""

from collections.abc import Callable

from anyio import create_task_group
from anyio import move_on_after
from result import Err
from result import Ok
from result import Result

from wasabiwing.admission import Admission
from wasabiwing.answer_log import generated_tokens
from wasabiwing.attempt_reader import AttemptReader
from wasabiwing.attempt_reader import RAISED_PRIORITY
from wasabiwing.attempts import interrupt_failure
from wasabiwing.attempts import recomputation_cause
from wasabiwing.attempts import RecomputationCause
from wasabiwing.attempts import RESUMABLE_CODES
from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.cluster_view import ClusterView
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import BackendServer
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.ports import ModelEngine
from wasabiwing.quarantine import Quarantine
from wasabiwing.retry_policy import final_failure
from wasabiwing.retry_policy import LEFT_TO_PEERS
from wasabiwing.retry_policy import MAX_ATTEMPTS
from wasabiwing.retry_policy import RetryDecision
from wasabiwing.retry_policy import RetryPolicy
from wasabiwing.run_durations import end_of_run
from wasabiwing.running_request import EnginePosition
from wasabiwing.running_request import Interrupt
from wasabiwing.running_request import RunningRequest
from wasabiwing.silent_attempts import KEPT_BUDGET_SHARE
from wasabiwing.timers import TimerService

# Greatest number of consecutive resumes of one engine stream that bring no new
# event.
MAX_RESUMES = 2

# Greatest share of the remaining notice period that the estimated transfer of
# a KV cache may take. The rest covers the error of the engine's estimate.
TRANSFER_SHARE = 0.5

CANCEL_TIMEOUT_S = 2.0


class ModelDispatcher:
    """Runs the model requests of one gateway."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        view: ClusterView,
        admission: Admission,
        engine: ModelEngine,
        metrics: GatewayMetrics,
        retries: RetryPolicy,
        quarantine: Quarantine[BackendServer],
        note_heard: Callable[[str], None] = lambda server_id: None,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._view = view
        self._admission = admission
        self._engine = engine
        self._reader = AttemptReader(
            node_id, timer, view, engine, self._note_answer_began, note_heard
        )
        self._metrics = metrics
        self._retries = retries
        self._quarantine = quarantine

    async def run(self, request: RunningRequest) -> None:
        """Runs a request until its answer log has ended."""
        answer = request.answer
        self._metrics.running.inc()
        try:
            with self._admission.track_run(request.call) as tracked:
                async with create_task_group() as tasks:
                    tasks.start_soon(self._watch_deadline, request)
                    failure = await self._run_attempts(request)
                    tasks.cancel_scope.cancel()
                tracked.end = end_of_run(failure)
        finally:
            self._metrics.running.dec()
        code = failure.code if failure else ResultCode.OK
        self._metrics.requests.labels(request.call.route.id, code.name).inc()
        if answer.first_event_at is not None:
            waited_s = answer.first_event_at - request.call.received_at
            self._metrics.first_token.labels(request.call.route.id).observe(
                waited_s
            )
        if failure is None:
            self._quarantine.note_success(request.call)
            answer.finish()
        else:
            answer.fail(failure)
        log_event(
            Event.REQUEST_REFUSED if failure else Event.REQUEST_FINISHED,
            self._node_id,
            request=request.call.request_id,
            code=int(code),
            run=failure.run_state.value if failure else RunState.RAN.value,
            attempts=request.attempt,
            events=answer.offset,
        )

    async def raise_priority(self, request: RunningRequest) -> None:
        """Raises the priority of a request's stream at its engine."""
        position = request.engine_position
        if position is not None:
            await self._engine.set_priority(
                position.server.address, position.stream_id, RAISED_PRIORITY
            )

    async def _watch_deadline(self, request: RunningRequest) -> None:
        await self._timer.sleep(request.call.deadline - self._timer.now())
        request.interrupt(Interrupt.DEADLINE)

    async def _run_attempts(self, request: RunningRequest) -> Failure | None:
        position = request.engine_position
        assignment: ServerAssignment | None = None
        transfer_source: EnginePosition | None = None
        self._retries.note_first_attempt(request.call.pool)
        if position is not None and self._view.is_leaving(position.server):
            transfer_source, position = position, None
        elif position is not None:
            assignment = self._admission.take_over_slot(
                request.call, position.server, request.attempt + 1
            )
        while True:
            if assignment is None:
                acquired = await self._acquire(request)
                if isinstance(acquired, Err):
                    if transfer_source is not None:
                        await self._cancel(transfer_source)
                    return _with_run_state(acquired.err_value, request)
                assignment = acquired.ok_value
                if transfer_source is not None:
                    position = await self._transfer(
                        request, transfer_source, assignment
                    )
            failure = await self._run_attempt(request, assignment, position)
            if failure is None:
                return None
            if failure.run_state is not RunState.NOT_RUN:
                request.run_state = RunState.MAY_HAVE_RUN
            transfer_source = position = None
            if request.pending_interrupt is Interrupt.MOVE:
                request.pending_interrupt = None
                transfer_source = request.engine_position
            elif request.pending_interrupt is not None:
                await self._cancel_interrupted(request)
                return interrupt_failure(
                    request.pending_interrupt, request.run_state
                )
            else:
                decision = self._decide_retry(request, assignment, failure)
                if not decision.retry:
                    return final_failure(failure, decision, request.run_state)
                await self._timer.sleep(decision.backoff_s)
            assignment = None
            if self._token_limit_reached(request):
                return None

    def _token_limit_reached(self, request: RunningRequest) -> bool:
        """Returns whether the answer has all tokens that the caller asked for.

        Only the terminal marker is missing then, and another attempt would
        add a token.
        """
        tokens = generated_tokens(request.answer.payloads)
        return tokens >= request.call.max_tokens

    def _decide_retry(
        self,
        request: RunningRequest,
        assignment: ServerAssignment,
        failure: Failure,
    ) -> RetryDecision:
        request.tried_server_ids.add(assignment.server.id)
        request.failures += 1
        call = request.call
        connect_failed = failure.code is ResultCode.CONNECT_FAILED
        request.failed_connects += connect_failed
        if (
            connect_failed
            and request.answer.offset == 0
            and self._admission.ends_attempts(
                call, request.failed_connects, request.tried_server_ids
            )
        ):
            decision = LEFT_TO_PEERS
        else:
            decision = self._retries.decide(
                call.pool, failure, True, request.failures
            )
        self._admission.decisions.write(
            Event.RETRY_DECISION,
            call.request_id,
            attempt=request.attempt,
            server=assignment.server.id,
            failure=str(failure),
            retry=decision.retry,
            reason=decision.reason,
        )
        if decision.retry and request.engine_position is not None:
            self._count_recomputed(request, recomputation_cause(failure))
        return decision

    def _count_recomputed(
        self, request: RunningRequest, cause: RecomputationCause
    ) -> None:
        """Counts the tokens that the next attempt computes again.

        These are the prompt and the generated tokens that are appended to it.
        """
        tokens = request.call.prompt_tokens + generated_tokens(
            request.answer.payloads
        )
        self._metrics.recomputed_tokens.labels(cause.value).inc(tokens)

    async def _acquire(
        self, request: RunningRequest
    ) -> Result[ServerAssignment, Failure]:
        """Waits for a slot.

        A move interrupt is ignored meanwhile, because the request runs on no
        server that it could leave.
        """
        while True:
            request.engine_position = None
            with request.interruptible():
                return await self._admission.acquire(
                    request.call,
                    request.attempt + 1,
                    frozenset(request.tried_server_ids),
                    answer_begun=request.answer.offset > 0,
                )
            if request.pending_interrupt is Interrupt.MOVE:
                request.pending_interrupt = None
            elif request.pending_interrupt is not None:
                return Err(
                    interrupt_failure(
                        request.pending_interrupt, request.run_state
                    )
                )

    def _note_answer_began(self, call: Call) -> None:
        self._quarantine.note_answer_began(call)

    async def _transfer(
        self,
        request: RunningRequest,
        source: EnginePosition,
        assignment: ServerAssignment,
    ) -> EnginePosition | None:
        """Moves a stream to another engine by transferring its KV cache.

        Returns the position at the new engine. ``None`` means that the
        transfer failed and that the next attempt must compute the prompt and
        the tokens generated so far again.
        """
        imported = await self._transfer_cache(request, source, assignment)
        if isinstance(imported, Ok):
            log_event(
                Event.REQUEST_RESUMED,
                self._node_id,
                request=request.call.request_id,
                server=assignment.server.id,
                by="kv cache",
                offset=request.answer.offset,
            )
            return EnginePosition(
                assignment.server, imported.ok_value, source.base_offset
            )
        self._count_recomputed(request, RecomputationCause.RECLAIM)
        log_event(
            Event.REQUEST_RESUMED,
            self._node_id,
            request=request.call.request_id,
            server=assignment.server.id,
            by="prefix",
            offset=request.answer.offset,
            reason=str(imported.err_value),
        )
        await self._cancel(source)
        return None

    async def _transfer_cache(
        self,
        request: RunningRequest,
        source: EnginePosition,
        assignment: ServerAssignment,
    ) -> Result[str, Failure]:
        exported = await self._engine.export_cache(
            source.server.address, source.stream_id
        )
        if isinstance(exported, Err):
            return exported
        export = exported.ok_value
        remaining_s = self._view.notice_remaining_s(
            source.server, self._timer.now()
        )
        if export.transfer_s > remaining_s * TRANSFER_SHARE:
            return Err(
                Failure(
                    ResultCode.TRANSFER_TOO_LONG,
                    f"{export.transfer_s:.3f} s of {remaining_s:.3f} s",
                    RunState.MAY_HAVE_RUN,
                )
            )
        return await self._engine.import_cache(
            assignment.server.address, export, remaining_s
        )

    async def _cancel_interrupted(self, request: RunningRequest) -> None:
        """Cancels the engine stream of a request that was interrupted.

        A stream that another gateway has taken over is not cancelled.
        """
        position = request.engine_position
        if position is None or request.pending_interrupt is Interrupt.YIELDED:
            return
        request.engine_position = None
        if request.pending_interrupt is Interrupt.DUPLICATE:
            tokens = request.answer.offset - position.base_offset
            self._metrics.recomputed_tokens.labels(
                RecomputationCause.RECLAIM.value
            ).inc(tokens)
        await self._cancel(position)

    async def _cancel(self, position: EnginePosition) -> None:
        # The caller's answer must not wait for an engine that is dead.
        with move_on_after(CANCEL_TIMEOUT_S):
            await self._engine.cancel(
                position.server.address, position.stream_id
            )

    async def _run_attempt(
        self,
        request: RunningRequest,
        assignment: ServerAssignment,
        position: EnginePosition | None,
    ) -> Failure | None:
        """Runs one attempt; if a position is given, continues its stream."""
        started = self._timer.now()
        answer = request.answer
        offset_before = answer.offset
        request.attempt = answer.current_attempt = assignment.attempt
        request.server = assignment.server
        request.engine_position = position
        failure: Failure | None = Failure(
            ResultCode.ATTEMPT_FAILED, "interrupted", RunState.MAY_HAVE_RUN
        )
        first_token_s: float | None = None
        request.last_attempt_cut = crashed = False
        request.attempt_began_at = started if position else None
        try:
            with request.interruptible():
                failure, first_token_s = await self._read_stream(
                    request, assignment
                )
            # Not interruptible: a request that may have crashed the server
            # must be noted even if its caller leaves.
            if request.last_attempt_cut:
                crashed = await self._quarantine.note_cut(
                    request.call,
                    assignment.server,
                    started,
                    request.attempt_began_at,
                )
        finally:
            request.server = None
            code = failure.code if failure else ResultCode.OK
            self._metrics.attempts.labels(
                request.call.pool.id, code.name
            ).inc()
            self._admission.release(
                assignment,
                AttemptOutcome(
                    failure,
                    first_token_s,
                    self._timer.now() - started,
                    answer.offset - offset_before,
                    crashed,
                ),
            )
        return failure

    def _must_wait(
        self, request: RunningRequest, assignment: ServerAssignment
    ) -> bool:
        """Whether nothing else can carry on an attempt at a silent engine."""
        call = request.call
        server_id = assignment.server.id
        reason = self._admission.silent_wait_reason(
            call,
            frozenset(request.tried_server_ids | {server_id}),
            MAX_ATTEMPTS - request.failures - 1,
            self._retries.has_token(call.pool, KEPT_BUDGET_SHARE),
        )
        if reason is not None:
            log_event(
                Event.SILENT_ATTEMPT_KEPT,
                self._node_id,
                request=call.request_id,
                server=server_id,
                reason=reason.value,
            )
        return reason is not None

    async def _read_stream(
        self, request: RunningRequest, assignment: ServerAssignment
    ) -> tuple[Failure | None, float | None]:
        """Reads an engine stream and resumes it at the engine after cuts.

        Returns the failure, if any, and the time to the first token in
        seconds.
        """
        started = self._timer.now()
        answer = request.answer
        first_token_s: float | None = None
        failure: Failure | None
        if request.engine_position is None:
            failure = await self._reader.run_attempt(request, assignment)
            if answer.offset:
                first_token_s = (answer.first_event_at or started) - started
        else:
            failure = await self._reader.resume_attempt(request, assignment)
        request.last_attempt_cut = _is_cut(failure)
        resumes = 0
        while (
            failure is not None
            and failure.code in RESUMABLE_CODES
            and request.engine_position is not None
            and resumes < MAX_RESUMES
        ):
            resumes += 1
            offset = answer.offset
            failure = await self._reader.resume_attempt(request, assignment)
            if answer.offset > offset:
                resumes = 0
        while (
            failure is not None
            and failure.code is ResultCode.SERVER_TIMEOUT
            and request.engine_position is not None
            and self._must_wait(request, assignment)
        ):
            # A silent engine may be sound; the deadline ends the wait.
            failure = await self._reader.resume_attempt(request, assignment)
        if failure is None:
            request.last_attempt_cut = False
        if failure is not None and failure.code is ResultCode.SERVER_TIMEOUT:
            # A stalled stream would otherwise keep its slot at the engine.
            if request.engine_position is not None:
                await self._cancel(request.engine_position)
        return failure, first_token_s


def _is_cut(failure: Failure | None) -> bool:
    return failure is not None and failure.code in RESUMABLE_CODES


def _with_run_state(failure: Failure, request: RunningRequest) -> Failure:
    """Returns the caller's failure with the run state over all attempts."""
    if request.run_state is RunState.NOT_RUN:
        return failure
    return Failure(
        failure.code, failure.detail, request.run_state, failure.retry_after_s
    )
