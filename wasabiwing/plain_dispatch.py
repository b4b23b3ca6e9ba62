"""Dispatch of plain service requests in the gateway."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from result import Err
from result import Ok
from result import Result

from wasabiwing.admission import Admission
from wasabiwing.answer_end import answer_framing
from wasabiwing.answer_end import EndJudge
from wasabiwing.answer_end import Framing
from wasabiwing.answer_end import is_whole_document
from wasabiwing.answer_end import SUCCESS_STATUSES
from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.claim_client import ClaimClient
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import BackendServer
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.ports import HttpReply
from wasabiwing.ports import PlainService
from wasabiwing.quarantine import Quarantine
from wasabiwing.retry_after import read_retry_after
from wasabiwing.retry_policy import final_failure
from wasabiwing.retry_policy import LEFT_TO_PEERS
from wasabiwing.retry_policy import RetryPolicy
from wasabiwing.run_durations import end_of_run
from wasabiwing.run_promises import unproved_promise
from wasabiwing.timers import TimerService


class PlainDispatcher:
    """Runs the plain service requests of one gateway."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        admission: Admission,
        service: PlainService,
        metrics: GatewayMetrics,
        claims: ClaimClient,
        retries: RetryPolicy,
        quarantine: Quarantine[BackendServer],
        end_judge: EndJudge[BackendServer],
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._admission = admission
        self._service = service
        self._metrics = metrics
        self._claims = claims
        self._retries = retries
        self._quarantine = quarantine
        self._end_judge = end_judge

    async def run(self, call: Call) -> Result[HttpReply, Failure]:
        """Runs a request and returns its whole answer or its failure."""
        with self._admission.track_run(call) as tracked:
            if call.route.idempotent:
                reply = await self._run_idempotent(call)
            else:
                reply = await self._run_claimed(call)
            tracked.end = end_of_run(
                reply.err_value if isinstance(reply, Err) else None
            )
        code = (
            reply.err_value.code if isinstance(reply, Err) else ResultCode.OK
        )
        self._metrics.requests.labels(call.route.id, code.name).inc()
        log_event(
            Event.REQUEST_REFUSED
            if isinstance(reply, Err)
            else Event.REQUEST_FINISHED,
            self._node_id,
            request=call.request_id,
            code=int(code),
            run=reply.err_value.run_state.value
            if isinstance(reply, Err)
            else RunState.RAN.value,
        )
        return reply

    async def _run_idempotent(self, call: Call) -> Result[HttpReply, Failure]:
        acquired = await self._admission.acquire(call, 1, frozenset())
        if isinstance(acquired, Err):
            return acquired
        return await self._run_attempts(
            call, acquired.ok_value, _always_may_send
        )

    async def _run_claimed(self, call: Call) -> Result[HttpReply, Failure]:
        """Runs a non-idempotent request after acquiring its claim.

        A slot is acquired before the claim, because queueing may take longer
        than the dispatch window of the claim. If a result is recorded for the
        idempotency key, it is returned without a slot.
        """
        recorded = await self._claims.find_recorded_result(call)
        if recorded is not None:
            return recorded
        acquired = await self._admission.acquire(call, 1, frozenset())
        if isinstance(acquired, Err):
            # Another request may have used the key meanwhile.
            recorded = await self._claims.find_recorded_result(call)
            return acquired if recorded is None else recorded
        assignment = acquired.ok_value
        claim_failure = Failure(ResultCode.CLAIM_UNAVAILABLE)
        try:
            claimed = await self._claims.acquire(call)
        except BaseException:
            self._admission.release(
                assignment, AttemptOutcome(claim_failure, None, 0.0)
            )
            self._claims.release(call)
            raise
        if isinstance(claimed, Err):
            self._admission.release(
                assignment, AttemptOutcome(claim_failure, None, 0.0)
            )
            return claimed.err_value
        send_deadline = claimed.ok_value.send_deadline
        try:
            reply = await self._run_attempts(
                call, assignment, lambda: self._timer.now() < send_deadline
            )
        except BaseException:
            self._claims.report_unknown(call)
            raise
        return self._report_outcome(call, reply)

    def _report_outcome(
        self, call: Call, reply: Result[HttpReply, Failure]
    ) -> Result[HttpReply, Failure]:
        """Reports the outcome of a claimed request to the home controller.

        Returns the result for the caller.
        """
        if isinstance(reply, Ok):
            self._claims.report_answer(call, reply.ok_value)
            return reply
        failure = reply.err_value
        if failure.run_state is RunState.NOT_RUN:
            self._claims.release(call)
            return reply
        self._claims.report_unknown(call)
        return Err(replace(failure, status_request_id=call.request_id))

    async def _run_attempts(
        self,
        call: Call,
        assignment: ServerAssignment,
        may_send: Callable[[], bool],
    ) -> Result[HttpReply, Failure]:
        self._retries.note_first_attempt(call.pool)
        tried_server_ids: set[str] = set()
        run_state = RunState.NOT_RUN
        failed_connects = 0
        while True:
            reply = await self._attempt(call, assignment, may_send)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            if failure.run_state is not RunState.NOT_RUN:
                run_state = RunState.MAY_HAVE_RUN
            tried_server_ids.add(assignment.server.id)
            connect_failed = failure.code is ResultCode.CONNECT_FAILED
            failed_connects += connect_failed
            if connect_failed and self._admission.ends_attempts(
                call, failed_connects, tried_server_ids
            ):
                decision = LEFT_TO_PEERS
            else:
                decision = self._retries.decide(
                    call.pool,
                    failure,
                    call.route.idempotent,
                    assignment.attempt,
                )
            self._admission.decisions.write(
                Event.RETRY_DECISION,
                call.request_id,
                attempt=assignment.attempt,
                server=assignment.server.id,
                failure=str(failure),
                retry=decision.retry,
                reason=decision.reason,
            )
            if not decision.retry:
                return Err(final_failure(failure, decision, run_state))
            await self._timer.sleep(decision.backoff_s)
            acquired = await self._admission.acquire(
                call, assignment.attempt + 1, frozenset(tried_server_ids)
            )
            if isinstance(acquired, Err):
                return Err(
                    final_failure(acquired.err_value, decision, run_state)
                )
            assignment = acquired.ok_value

    async def _attempt(
        self,
        call: Call,
        assignment: ServerAssignment,
        may_send: Callable[[], bool],
    ) -> Result[HttpReply, Failure]:
        started = self._timer.now()
        crashed = False
        failure: Failure | None = Failure(
            ResultCode.ATTEMPT_FAILED, "cancelled", RunState.MAY_HAVE_RUN
        )
        try:
            reply = await self._service.call(
                assignment.server.address,
                call.method,
                call.path,
                _build_headers(call, assignment),
                call.body,
                max(call.deadline - started, 0.001),
                may_send,
            )
            if isinstance(reply, Ok):
                reply = _check_promise(
                    call,
                    await self._check_end(
                        call, assignment, reply.ok_value, started
                    ),
                )
            failure = reply.err_value if isinstance(reply, Err) else None
            if failure is None:
                self._quarantine.note_success(call)
            elif failure.code is ResultCode.SERVER_CUT:
                self._end_judge.note_cut(assignment.server)
                crashed = await self._quarantine.note_cut(
                    call, assignment.server, started
                )
        finally:
            duration_s = self._timer.now() - started
            code = failure.code if failure else ResultCode.OK
            self._metrics.attempts.labels(call.pool.id, code.name).inc()
            self._admission.release(
                assignment,
                AttemptOutcome(
                    failure,
                    None if failure else duration_s,
                    duration_s,
                    crashed=crashed,
                ),
            )
        return reply

    async def _check_end(
        self,
        call: Call,
        assignment: ServerAssignment,
        reply: HttpReply,
        started: float,
    ) -> Result[HttpReply, Failure]:
        """Returns an answer that may be whole, or why it is not.

        Counts the end; logs one that proves nothing.
        """
        framing = answer_framing(call.method, reply.status, reply.headers)
        self._metrics.answer_ends.labels(framing).inc()
        if framing is Framing.CONNECTION:
            log_event(
                Event.ANSWER_END_UNPROVED,
                self._node_id,
                request=call.request_id,
                route=call.route.id,
                server=assignment.server.id,
                status=reply.status,
                duration_s=round(self._timer.now() - started, 3),
                body_bytes=len(reply.body),
            )
        failure = await self._end_judge.failure(
            assignment.server,
            framing,
            # The status of a failure says enough without a body.
            bool(reply.body) or reply.status not in SUCCESS_STATUSES,
            call.deadline - self._timer.now(),
            took_request=lambda: reply.took_request,
            shows_end=partial(is_whole_document, reply.headers, reply.body),
        )
        return Ok(reply) if failure is None else Err(failure)


def _check_promise(
    call: Call, reply: Result[HttpReply, Failure]
) -> Result[HttpReply, Failure]:
    """Returns an answer, or the failure of one with an unproved promise.

    Services that state that a call has not run were recognised before.
    """
    if isinstance(reply, Err):
        return reply
    answer = reply.ok_value
    false_promise = unproved_promise(
        answer.status, False, call.route.idempotent
    )
    if false_promise is None:
        return reply
    return Err(
        replace(
            false_promise, retry_after_s=read_retry_after(answer.headers)[0]
        )
    )


def _build_headers(call: Call, assignment: ServerAssignment) -> dict[str, str]:
    headers = {
        "Content-Type": call.content_type,
        "X-Request-Id": call.request_id,
        "X-Attempt": str(assignment.attempt),
        "X-Organisation": call.organisation.id,
    }
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


def _always_may_send() -> bool:
    return True
