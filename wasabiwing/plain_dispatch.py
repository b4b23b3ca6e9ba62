"""The life of one plain service request in the gateway."""

from collections.abc import Callable
from dataclasses import replace

from result import Err
from result import Ok
from result import Result

from wasabiwing.admission import Admission
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
from wasabiwing.retry_policy import final_failure
from wasabiwing.retry_policy import RetryPolicy
from wasabiwing.timers import TimerService


class PlainDispatcher:
    """Runs plain service requests of one gateway."""

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
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._admission = admission
        self._service = service
        self._metrics = metrics
        self._claims = claims
        self._retries = retries
        self._quarantine = quarantine

    async def run(self, call: Call) -> Result[HttpReply, Failure]:
        """Runs a request and returns the whole answer."""
        if call.route.idempotent:
            reply = await self._run_idempotent(call)
        else:
            reply = await self._run_claimed(call)
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
        return await self._run_attempts(call, acquired.ok_value, _always)

    async def _run_claimed(self, call: Call) -> Result[HttpReply, Failure]:
        """Runs a non-idempotent request under its claim.

        The slot is obtained first, because queueing may take longer than the
        claim's dispatch window. Known keys are answered without a slot.
        """
        known = await self._claims.find_recorded_result(call)
        if known is not None:
            return known
        acquired = await self._admission.acquire(call, 1, frozenset())
        if isinstance(acquired, Err):
            # The key may have been used by another request meanwhile.
            known = await self._claims.find_recorded_result(call)
            return acquired if known is None else known
        choice = acquired.ok_value
        unused = Failure(ResultCode.CLAIM_UNAVAILABLE)
        try:
            obtained = await self._claims.acquire(call)
        except BaseException:
            self._admission.release(choice, AttemptOutcome(unused, None, 0.0))
            self._claims.release(call)
            raise
        if isinstance(obtained, Err):
            self._admission.release(choice, AttemptOutcome(unused, None, 0.0))
            return obtained.err_value
        send_by = obtained.ok_value.send_deadline
        try:
            reply = await self._run_attempts(
                call, choice, lambda: self._timer.now() < send_by
            )
        except BaseException:
            self._claims.report_unknown(call)
            raise
        return self._record(call, reply)

    def _record(
        self, call: Call, reply: Result[HttpReply, Failure]
    ) -> Result[HttpReply, Failure]:
        """Reports the outcome to the claim journal."""
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
        choice: ServerAssignment,
        may_send: Callable[[], bool],
    ) -> Result[HttpReply, Failure]:
        self._retries.note_first_attempt(call.pool)
        tried: set[str] = set()
        run = RunState.NOT_RUN
        while True:
            reply = await self._attempt(call, choice, may_send)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            if failure.run_state is not RunState.NOT_RUN:
                run = RunState.MAY_HAVE_RUN
            tried.add(choice.server.id)
            decision = self._retries.decide(
                call.pool, failure, call.route.idempotent, choice.attempt
            )
            self._admission.decisions.write(
                Event.RETRY_DECISION,
                call.request_id,
                attempt=choice.attempt,
                server=choice.server.id,
                failure=str(failure),
                retry=decision.retry,
                reason=decision.reason,
            )
            if not decision.retry:
                return Err(final_failure(failure, decision, run))
            await self._timer.sleep(decision.backoff_s)
            acquired = await self._admission.acquire(
                call, choice.attempt + 1, frozenset(tried)
            )
            if isinstance(acquired, Err):
                return Err(final_failure(acquired.err_value, decision, run))
            choice = acquired.ok_value

    async def _attempt(
        self,
        call: Call,
        choice: ServerAssignment,
        may_send: Callable[[], bool],
    ) -> Result[HttpReply, Failure]:
        started = self._timer.now()
        crashed = False
        failure: Failure | None = Failure(
            ResultCode.ATTEMPT_FAILED, "cancelled", RunState.MAY_HAVE_RUN
        )
        try:
            reply = await self._service.call(
                choice.server.address,
                call.method,
                call.path,
                _headers(call, choice),
                call.body,
                max(call.deadline - started, 0.001),
                may_send,
            )
            failure = reply.err_value if isinstance(reply, Err) else None
            if failure is None:
                self._quarantine.note_success(call)
            elif failure.code is ResultCode.SERVER_CUT:
                crashed = await self._quarantine.note_cut(
                    call, choice.server, started
                )
        finally:
            duration_s = self._timer.now() - started
            code = failure.code if failure else ResultCode.OK
            self._metrics.attempts.labels(call.pool.id, code.name).inc()
            self._admission.release(
                choice,
                AttemptOutcome(
                    failure,
                    None if failure else duration_s,
                    duration_s,
                    crashed=crashed,
                ),
            )
        return reply


def _headers(call: Call, choice: ServerAssignment) -> dict[str, str]:
    headers = {
        "Content-Type": call.content_type,
        "X-Request-Id": call.request_id,
        "X-Attempt": str(choice.attempt),
        "X-Organisation": call.organisation.id,
    }
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


def _always() -> bool:
    return True
