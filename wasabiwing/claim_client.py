"""The gateway's side of claims.

Asks the home controller, through the controller on the same VM, for the
right to send a non-idempotent request, and reports the outcome. Messages may
be lost, so each is sent again until it is answered.
"""

from dataclasses import dataclass
from hashlib import sha256
from itertools import count

from anyio import create_task_group
from anyio import Event
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from wasabiwing.calls import Call
from wasabiwing.claim_records import DISPATCH_WINDOW_S
from wasabiwing.claim_records import MAX_STORED_ANSWER_BYTES
from wasabiwing.claim_records import partition_of_request
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.http_client import find_header
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import ClaimReply
from wasabiwing.messages import ClaimRequest
from wasabiwing.messages import ClaimState
from wasabiwing.messages import ClaimStatusRequest
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message
from wasabiwing.messages import OutcomeAck
from wasabiwing.messages import OutcomeReport
from wasabiwing.ports import HttpReply
from wasabiwing.ports import Transport
from wasabiwing.timers import TimerService

# Pause before a message is sent again, in seconds. It doubles each time,
# because resent messages would prolong an overload of the home controller.
RESEND_S = 0.5

# Time between two looks at a request that runs elsewhere, in seconds.
RUNNING_POLL_S = 0.25

# Time after which an outcome that nobody acknowledged is given up, in
# seconds. The claim then counts as unknown.
REPORT_GIVE_UP_S = 30.0

# Time after a request's deadline in which its outcome may still be recorded
# before others take it for unknown, in seconds.
OUTCOME_MARGIN_S = 5.0

CONTENT_TYPE = b"content-type"


@dataclass(frozen=True, slots=True)
class ClaimGrant:
    """The right to send one request once."""

    request_id: str
    # Monotonic time after which the request must not be sent.
    send_deadline: float


# The answer of a request that ran before, or why there is none.
RecordedResult = Result[HttpReply, Failure]


class ClaimClient:
    """Claims of one gateway."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        controller_address: str,
        tasks: TaskGroup,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._controller_address = controller_address
        self._tasks = tasks
        self._correlations = count(1)
        self._waiter_by_correlation: dict[int, _Waiter] = {}
        # Outcomes that were not acknowledged yet.
        self.unacknowledged_reports = 0

    def register(self, router: MessageRouter) -> None:
        """Takes the replies of the inbox."""
        router.register(ClaimReply, self._on_reply)
        router.register(OutcomeAck, self._on_reply)

    async def find_recorded_result(self, call: Call) -> RecordedResult | None:
        """Returns what became of an earlier request with the same key.

        Waits until the call's deadline for one that is running. ``None``
        says that the key is free or was free a moment ago.
        """
        while True:
            reply = await self._ask(
                self._request(call, only_known=True),
                self._timer.now() + DISPATCH_WINDOW_S,
            )
            if reply is None:
                return Err(_unanswered())
            if reply.state is ClaimState.RELEASED:
                return None
            if reply.state is not ClaimState.RUNNING:
                return result_from_reply(reply)
            if self._timer.now() + RUNNING_POLL_S >= call.deadline:
                return result_from_reply(reply)
            await self._timer.sleep(RUNNING_POLL_S)

    async def acquire(self, call: Call) -> Result[ClaimGrant, RecordedResult]:
        """Asks for the claim; the error is the answer for the caller.

        The dispatch window starts before the first message leaves, so that
        it ends here before it ends anywhere else.
        """
        send_by = self._timer.now() + DISPATCH_WINDOW_S
        reply = await self._ask(self._request(call), send_by)
        if reply is None:
            # The claim may be granted by a reply that was lost.
            self.release(call)
            return Err(Err(_unanswered()))
        if reply.state is ClaimState.GRANTED:
            return Ok(ClaimGrant(call.request_id, send_by))
        if reply.state is ClaimState.RUNNING:
            known = await self.find_recorded_result(call)
            return Err(result_from_reply(reply) if known is None else known)
        return Err(result_from_reply(reply))

    def report_answer(self, call: Call, answer: HttpReply) -> None:
        """Records the answer of a request that was sent."""
        content_type = find_header(answer.headers, CONTENT_TYPE) or b""
        truncated = len(answer.body) > MAX_STORED_ANSWER_BYTES
        self._report(
            OutcomeReport(
                call.request_id,
                call.organisation.id,
                call.idempotency_key,
                self._transport.address,
                ClaimState.FINISHED,
                answer.status,
                content_type.decode("latin-1"),
                b"" if truncated else answer.body,
                truncated,
            )
        )

    def report_unknown(self, call: Call) -> None:
        """Records that the outcome of a request is not known."""
        self._report(self._outcome(call, ClaimState.UNKNOWN))

    def release(self, call: Call) -> None:
        """Gives a claim back whose request did not run and will not."""
        self._report(self._outcome(call, ClaimState.RELEASED))

    async def status(self, request_id: str, organisation: str) -> ClaimReply:
        """Asks for the claim that an earlier request holds or held."""
        partition = partition_of_request(request_id)
        if partition is None:
            return _refused(request_id, ResultCode.UNKNOWN_REQUEST)
        reply = await self._ask(
            ClaimStatusRequest(
                request_id, organisation, partition, self._transport.address
            ),
            self._timer.now() + DISPATCH_WINDOW_S,
        )
        if reply is None:
            return _refused(request_id, ResultCode.CLAIM_UNAVAILABLE)
        return reply

    def _request(self, call: Call, only_known: bool = False) -> ClaimRequest:
        left_s = max(call.deadline - self._timer.now(), 0.0)
        return ClaimRequest(
            call.request_id,
            call.organisation.id,
            call.idempotency_key,
            request_fingerprint(call),
            self._node_id,
            self._transport.address,
            DISPATCH_WINDOW_S + left_s + OUTCOME_MARGIN_S,
            only_known,
        )

    def _outcome(self, call: Call, state: ClaimState) -> OutcomeReport:
        return OutcomeReport(
            call.request_id,
            call.organisation.id,
            call.idempotency_key,
            self._transport.address,
            state,
        )

    def _report(self, report: OutcomeReport) -> None:
        self.unacknowledged_reports += 1
        self._tasks.start_soon(self._send_report, report)

    async def _send_report(self, report: OutcomeReport) -> None:
        until = self._timer.now() + REPORT_GIVE_UP_S
        await self._send_until_answered(report, until)
        self.unacknowledged_reports -= 1

    async def _ask(self, message: Message, until: float) -> ClaimReply | None:
        reply = await self._send_until_answered(message, until)
        return reply if isinstance(reply, ClaimReply) else None

    async def _send_until_answered(
        self, message: Message, until: float
    ) -> ClaimReply | OutcomeAck | None:
        correlation = next(self._correlations)
        waiter = _Waiter()
        resend_s = RESEND_S
        self._waiter_by_correlation[correlation] = waiter
        try:
            while waiter.reply is None and self._timer.now() < until:
                self._transport.send(
                    self._controller_address, message, correlation
                )
                pause_s = min(resend_s, until - self._timer.now())
                await wait_at_most(self._timer, waiter.answered, pause_s)
                resend_s *= 2
        finally:
            del self._waiter_by_correlation[correlation]
        return waiter.reply

    async def _on_reply(
        self, envelope: Envelope, reply: ClaimReply | OutcomeAck
    ) -> None:
        waiter = self._waiter_by_correlation.get(envelope.correlation_id)
        if waiter is not None and waiter.reply is None:
            waiter.reply = reply
            waiter.answered.set()


class _Waiter:
    """One message that waits for its answer."""

    def __init__(self) -> None:
        self.answered = Event()
        self.reply: ClaimReply | OutcomeAck | None = None


async def wait_at_most(
    timer: TimerService, event: Event, seconds: float
) -> None:
    """Waits for an event, but not longer than a time."""
    async with create_task_group() as tasks:

        async def end() -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        tasks.start_soon(end)
        await timer.sleep(seconds)
        tasks.cancel_scope.cancel()


def request_fingerprint(call: Call) -> bytes:
    """Returns what two requests must share to count as the same one."""
    head = f"{call.method} {call.path}\n".encode()
    return sha256(head + call.body).digest()


def result_from_reply(reply: ClaimReply) -> RecordedResult:
    """Turns a reply other than a grant into the caller's answer."""
    if reply.state is ClaimState.FINISHED and not reply.truncated:
        content_type = reply.content_type.encode("latin-1")
        headers = ((CONTENT_TYPE, content_type),) if content_type else ()
        return Ok(HttpReply(reply.status, headers, reply.body))
    return Err(_known_failure(reply))


def _known_failure(reply: ClaimReply) -> Failure:
    if reply.state is ClaimState.REFUSED:
        return Failure(
            ResultCode(reply.code),
            reply.detail,
            RunState(reply.run_state),
            1.0,
        )
    if reply.state is ClaimState.RELEASED:
        return Failure(ResultCode.ATTEMPT_FAILED, "the request was not sent")
    if reply.state is ClaimState.REUSED:
        # The request that holds the key is another one.
        return Failure(ResultCode.IDEMPOTENCY_KEY_REUSED)
    if reply.state is ClaimState.FINISHED:
        return Failure(
            ResultCode.ANSWER_NOT_STORED,
            f"status {reply.status}",
            RunState.RAN,
            status_request_id=reply.holder_request_id,
        )
    running = reply.state is ClaimState.RUNNING
    return Failure(
        ResultCode.OUTCOME_UNKNOWN,
        "the first request is still running" if running else "",
        RunState.MAY_HAVE_RUN,
        1.0 if running else None,
        reply.holder_request_id,
    )


def _unanswered() -> Failure:
    # Nobody said whether an earlier request with the key has run.
    return Failure(
        ResultCode.CLAIM_UNAVAILABLE,
        "the home controller does not answer",
        RunState.MAY_HAVE_RUN,
        1.0,
    )


def _refused(request_id: str, code: ResultCode) -> ClaimReply:
    return ClaimReply(request_id, ClaimState.REFUSED, code=int(code))
