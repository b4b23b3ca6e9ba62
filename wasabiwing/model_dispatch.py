"""The life of one model request in the gateway.

Takes an accepted call from admission through its attempts at model engines
until its answer log has ended. Every attempt streams, also for callers that
want the answer in one piece, so that a broken attempt can be continued.
"""

from anyio import create_task_group
from anyio import move_on_after
from result import Err
from result import Ok
from result import Result

from wasabiwing.admission import Admission
from wasabiwing.attempt_reader import AttemptReader
from wasabiwing.attempt_reader import RAISED_PRIORITY
from wasabiwing.attempts import interrupt_failure
from wasabiwing.attempts import recomputation_cause
from wasabiwing.attempts import RecomputationCause
from wasabiwing.attempts import RESUMABLE_CODES
from wasabiwing.calls import AttemptOutcome
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
from wasabiwing.retry_policy import RetryDecision
from wasabiwing.retry_policy import RetryPolicy
from wasabiwing.running_request import EnginePosition
from wasabiwing.running_request import Interrupt
from wasabiwing.running_request import RunningRequest
from wasabiwing.streams import generated_tokens
from wasabiwing.timers import TimerService

# Resumes of one engine stream without a new event before it is given up.
MAX_RESUMES = 2

# Share of the remaining notice that a transfer of KV cache may use. The rest
# covers the error of the engine's estimate.
TRANSFER_SHARE = 0.5

CANCEL_TIMEOUT_S = 2.0


class ModelDispatcher:
    """Runs model requests of one gateway."""

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
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._view = view
        self._admission = admission
        self._engine = engine
        self._reader = AttemptReader(node_id, timer, view, engine)
        self._metrics = metrics
        self._retries = retries
        self._quarantine = quarantine

    async def run(self, request: RunningRequest) -> None:
        """Runs a request until its answer log has ended."""
        answer = request.answer
        self._metrics.running.inc()
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._watch_deadline, request)
                failure = await self._run_attempts(request)
                tasks.cancel_scope.cancel()
        finally:
            self._metrics.running.dec()
        code = failure.code if failure else ResultCode.OK
        self._metrics.requests.labels(request.call.route.id, code.name).inc()
        if answer.first_at is not None:
            waited_s = answer.first_at - request.call.received_at
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
        """Lets the engine finish a request before others."""
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
        choice: ServerAssignment | None = None
        moved_from: EnginePosition | None = None
        self._retries.note_first_attempt(request.call.pool)
        if position is not None and self._view.is_leaving(position.server):
            moved_from, position = position, None
        elif position is not None:
            choice = self._admission.take_over_slot(
                request.call, position.server, request.attempt + 1
            )
        while True:
            if choice is None:
                acquired = await self._acquire(request)
                if isinstance(acquired, Err):
                    if moved_from is not None:
                        await self._cancel(moved_from)
                    return _final_failure(acquired.err_value, request)
                choice = acquired.ok_value
                if moved_from is not None:
                    position = await self._transfer(
                        request, moved_from, choice
                    )
            failure = await self._attempt(request, choice, position)
            if failure is None:
                return None
            if failure.run_state is not RunState.NOT_RUN:
                request.run_state = RunState.MAY_HAVE_RUN
            moved_from = position = None
            if request.pending_interrupt is Interrupt.MOVE:
                request.pending_interrupt = None
                moved_from = request.engine_position
            elif request.pending_interrupt is not None:
                await self._give_up(request)
                return interrupt_failure(
                    request.pending_interrupt, request.run_state
                )
            else:
                decision = self._decide_retry(request, choice, failure)
                if not decision.retry:
                    return final_failure(failure, decision, request.run_state)
                await self._timer.sleep(decision.backoff_s)
            choice = None
            if self._token_limit_reached(request):
                return None

    def _token_limit_reached(self, request: RunningRequest) -> bool:
        """Whether only the terminal marker is missing.

        Another attempt would add a token that the caller did not ask for.
        """
        tokens = generated_tokens(request.answer.payloads)
        return tokens >= request.call.max_tokens

    def _decide_retry(
        self,
        request: RunningRequest,
        choice: ServerAssignment,
        failure: Failure,
    ) -> RetryDecision:
        request.tried_server_ids.add(choice.server.id)
        request.failures += 1
        call = request.call
        decision = self._retries.decide(
            call.pool, failure, True, request.failures
        )
        self._admission.decisions.write(
            Event.RETRY_DECISION,
            call.request_id,
            attempt=request.attempt,
            server=choice.server.id,
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
        """Counts the prompt and the tokens that become its prefix."""
        tokens = request.call.prompt_tokens + generated_tokens(
            request.answer.payloads
        )
        self._metrics.recomputed_tokens.labels(cause.value).inc(tokens)

    async def _acquire(
        self, request: RunningRequest
    ) -> Result[ServerAssignment, Failure]:
        """Waits for a slot; a move has no meaning before there is one."""
        while True:
            request.engine_position = None
            with request.interruptible():
                return await self._admission.acquire(
                    request.call,
                    request.attempt + 1,
                    frozenset(request.tried_server_ids),
                )
            if request.pending is Interrupt.MOVE:
                request.pending = None
            elif request.pending is not None:
                return Err(interrupt_failure(request.pending, request.run))

    async def _transfer(
        self,
        request: RunningRequest,
        source: EnginePosition,
        choice: ServerAssignment,
    ) -> EnginePosition | None:
        """Moves a stream by its KV cache.

        ``None`` says that the stream must be continued by its prefix.
        """
        moved = await self._transfer_cache(request, source, choice)
        if isinstance(moved, Ok):
            log_event(
                Event.REQUEST_RESUMED,
                self._node_id,
                request=request.call.request_id,
                server=choice.server.id,
                by="kv cache",
                offset=request.answer.offset,
            )
            return EnginePosition(
                choice.server, moved.ok_value, source.base_offset
            )
        self._count_recomputed(request, RecomputationCause.RECLAIM)
        log_event(
            Event.REQUEST_RESUMED,
            self._node_id,
            request=request.call.request_id,
            server=choice.server.id,
            by="prefix",
            offset=request.answer.offset,
            reason=str(moved.err_value),
        )
        await self._cancel(source)
        return None

    async def _transfer_cache(
        self,
        request: RunningRequest,
        source: EnginePosition,
        choice: ServerAssignment,
    ) -> Result[str, Failure]:
        exported = await self._engine.export_cache(
            source.server.address, source.stream_id
        )
        if isinstance(exported, Err):
            return exported
        export = exported.ok_value
        left_s = self._view.notice_remaining_s(
            source.server, self._timer.now()
        )
        if export.transfer_s > left_s * TRANSFER_SHARE:
            return Err(
                Failure(
                    ResultCode.TRANSFER_TOO_LONG,
                    f"{export.transfer_s:.3f} s of {left_s:.3f} s",
                    RunState.MAY_HAVE_RUN,
                )
            )
        return await self._engine.import_cache(
            choice.server.address, export, left_s
        )

    async def _give_up(self, request: RunningRequest) -> None:
        """Stops the engine's work on an answer that nobody waits for.

        A stream that another gateway has taken over keeps running.
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
        # The final answer must not wait for a dead engine.
        with move_on_after(CANCEL_TIMEOUT_S):
            await self._engine.cancel(
                position.server.address, position.stream_id
            )

    async def _attempt(
        self,
        request: RunningRequest,
        choice: ServerAssignment,
        position: EnginePosition | None,
    ) -> Failure | None:
        """Runs one attempt; with a position it continues that stream."""
        started = self._timer.now()
        answer = request.answer
        offset_before = answer.offset
        request.attempt = answer.attempt = choice.attempt
        request.server = choice.server
        request.engine_position = position
        failure: Failure | None = Failure(
            ResultCode.ATTEMPT_FAILED, "interrupted", RunState.MAY_HAVE_RUN
        )
        first_token_s: float | None = None
        request.last_attempt_cut = crashed = False
        try:
            with request.interruptible():
                failure, first_token_s = await self._stream(request, choice)
            # Outside the interruptible part: a caller that leaves must not
            # hide what its request did.
            if request.last_attempt_cut:
                crashed = await self._quarantine.note_cut(
                    request.call, choice.server, started
                )
        finally:
            request.server = None
            code = failure.code if failure else ResultCode.OK
            self._metrics.attempts.labels(
                request.call.pool.id, code.name
            ).inc()
            self._admission.release(
                choice,
                AttemptOutcome(
                    failure,
                    first_token_s,
                    self._timer.now() - started,
                    answer.offset - offset_before,
                    crashed,
                ),
            )
        return failure

    async def _stream(
        self, request: RunningRequest, choice: ServerAssignment
    ) -> tuple[Failure | None, float | None]:
        """Reads a stream, resuming it at its engine after cuts."""
        started = self._timer.now()
        answer = request.answer
        first_token_s: float | None = None
        failure: Failure | None
        if request.engine_position is None:
            failure = await self._reader.run_attempt(request, choice)
            if answer.offset:
                first_token_s = (answer.first_at or started) - started
        else:
            failure = await self._reader.resume_attempt(request, choice)
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
            failure = await self._reader.resume_attempt(request, choice)
            if answer.offset > offset:
                resumes = 0
        if failure is None:
            request.last_attempt_cut = False
        if failure is not None and failure.code is ResultCode.SERVER_TIMEOUT:
            # A silent stream would go on using its slot.
            if request.engine_position is not None:
                await self._cancel(request.engine_position)
        return failure, first_token_s


def _is_cut(failure: Failure | None) -> bool:
    return failure is not None and failure.code in RESUMABLE_CODES


def _final_failure(failure: Failure, request: RunningRequest) -> Failure:
    """Returns the failure for the caller, with the run state of all tries."""
    if request.run_state is RunState.NOT_RUN:
        return failure
    return Failure(
        failure.code, failure.detail, request.run_state, failure.retry_after_s
    )
