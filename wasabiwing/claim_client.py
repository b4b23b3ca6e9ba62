"""The gateway's side of claims.

The gateway asks the home controller of the idempotency key for the right to
send a non-idempotent request, and reports the outcome of the request to it.
All messages go through the controller on the gateway's VM. Messages may be
lost, so each is sent again until it is answered.
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

# First delay before a message is sent again, in timeout_s. The delay doubles
# each time, because frequent copies would prolong an overload of the home
# controller.
FIRST_RESEND_DELAY_S = 0.5

# Time between two queries about another request with the same key that is
# still running, in timeout_s.
RUNNING_POLL_PERIOD_S = 0.25

# Time for which an outcome report is sent without an acknowledgement, in
# timeout_s. The outcome counts as unknown after the claim's timeout.
REPORT_TIMEOUT_S = 30.0

# Time after a request's deadline in which its outcome may still be recorded,
# in timeout_s. After that the home controller answers that it is unknown.
OUTCOME_GRACE_S = 5.0

CONTENT_TYPE_HEADER = b"content-type"


@dataclass(frozen=True, slots=True)
class ClaimGrant:
    """The right of a gateway to send one request once."""

    request_id: str
    # Time on the monotonic clock after which the request must not be sent.
    send_deadline: float


# The recorded answer of an earlier request with the same key, or the reason
# why there is none.
RecordedResult = Result[HttpReply, Failure]


class ClaimClient:
    """Acquires and reports the claims of one gateway."""

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
        self._correlation_ids = count(1)
        self._pending_reply_by_correlation_id: dict[int, _PendingReply] = {}
        # Number of outcome reports that are still being sent.
        self.unacknowledged_reports = 0

    def register(self, router: MessageRouter) -> None:
        """Registers the handlers of the home controllers' replies."""
        router.register(ClaimReply, self._on_reply)
        router.register(OutcomeAck, self._on_reply)

    async def find_recorded_result(self, call: Call) -> RecordedResult | None:
        """Returns the result of an earlier request with the call's key.

        If the earlier request is running, waits for its outcome until the
        deadline of the call. ``None`` means that the key was free when the
        home controller looked it up.
        """
        while True:
            reply = await self._request_claim_reply(
                self._build_request(call, lookup_only=True),
                self._timer.now() + DISPATCH_WINDOW_S,
            )
            if reply is None:
                return Err(_no_reply_failure())
            if reply.state is ClaimState.RELEASED:
                return None
            if reply.state is not ClaimState.RUNNING:
                return result_from_reply(reply)
            if self._timer.now() + RUNNING_POLL_PERIOD_S >= call.deadline:
                return result_from_reply(reply)
            await self._timer.sleep(RUNNING_POLL_PERIOD_S)

    async def acquire(self, call: Call) -> Result[ClaimGrant, RecordedResult]:
        """Asks the home controller for the claim of a call's key.

        The error is the result to return to the caller. The dispatch window
        starts before the first message is sent, so that it ends at this
        gateway before the home controller can consider it over.
        """
        send_deadline = self._timer.now() + DISPATCH_WINDOW_S
        reply = await self._request_claim_reply(
            self._build_request(call), send_deadline
        )
        if reply is None:
            # The home controller may have granted the claim in a reply that
            # was lost.
            self.release(call)
            return Err(Err(_no_reply_failure()))
        if reply.state is ClaimState.GRANTED:
            return Ok(ClaimGrant(call.request_id, send_deadline))
        if reply.state is ClaimState.RUNNING:
            recorded = await self.find_recorded_result(call)
            return Err(
                result_from_reply(reply) if recorded is None else recorded
            )
        return Err(result_from_reply(reply))

    def report_answer(self, call: Call, answer: HttpReply) -> None:
        """Reports the answer of a call that a backend server has run."""
        content_type = find_header(answer.headers, CONTENT_TYPE_HEADER) or b""
        # A stored answer is sent with its length. One whose end its server did
        # not state is not stored, so that no repeat gets a part as the whole.
        truncated = (
            len(answer.body) > MAX_STORED_ANSWER_BYTES or not answer.states_end
        )
        self._start_report(
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
        """Reports that a call was sent and its outcome is not recorded."""
        self._start_report(self._build_report(call, ClaimState.UNKNOWN))

    def release(self, call: Call) -> None:
        """Releases the claim of a call that has not run and will not run."""
        self._start_report(self._build_report(call, ClaimState.RELEASED))

    async def status(self, request_id: str, organisation: str) -> ClaimReply:
        """Returns the state of the claim that a request holds or held.

        A claim of another organisation is reported as an unknown request.
        """
        partition = partition_of_request(request_id)
        if partition is None:
            return _refusal(request_id, ResultCode.UNKNOWN_REQUEST)
        reply = await self._request_claim_reply(
            ClaimStatusRequest(
                request_id, organisation, partition, self._transport.address
            ),
            self._timer.now() + DISPATCH_WINDOW_S,
        )
        if reply is None:
            return _refusal(request_id, ResultCode.CLAIM_UNAVAILABLE)
        return reply

    def _build_request(
        self, call: Call, lookup_only: bool = False
    ) -> ClaimRequest:
        remaining_s = max(call.deadline - self._timer.now(), 0.0)
        return ClaimRequest(
            call.request_id,
            call.organisation.id,
            call.idempotency_key,
            request_fingerprint(call),
            self._node_id,
            self._transport.address,
            DISPATCH_WINDOW_S + remaining_s + OUTCOME_GRACE_S,
            lookup_only,
        )

    def _build_report(self, call: Call, state: ClaimState) -> OutcomeReport:
        return OutcomeReport(
            call.request_id,
            call.organisation.id,
            call.idempotency_key,
            self._transport.address,
            state,
        )

    def _start_report(self, report: OutcomeReport) -> None:
        self.unacknowledged_reports += 1
        self._tasks.start_soon(self._send_report, report)

    async def _send_report(self, report: OutcomeReport) -> None:
        give_up_at = self._timer.now() + REPORT_TIMEOUT_S
        await self._send_until_answered(report, give_up_at)
        self.unacknowledged_reports -= 1

    async def _request_claim_reply(
        self, message: Message, give_up_at: float
    ) -> ClaimReply | None:
        reply = await self._send_until_answered(message, give_up_at)
        return reply if isinstance(reply, ClaimReply) else None

    async def _send_until_answered(
        self, message: Message, give_up_at: float
    ) -> ClaimReply | OutcomeAck | None:
        correlation_id = next(self._correlation_ids)
        pending = _PendingReply()
        resend_delay_s = FIRST_RESEND_DELAY_S
        self._pending_reply_by_correlation_id[correlation_id] = pending
        try:
            while pending.reply is None and self._timer.now() < give_up_at:
                self._transport.send(
                    self._controller_address, message, correlation_id
                )
                wait_s = min(resend_delay_s, give_up_at - self._timer.now())
                await wait_at_most(self._timer, pending.received, wait_s)
                resend_delay_s *= 2
        finally:
            del self._pending_reply_by_correlation_id[correlation_id]
        return pending.reply

    async def _on_reply(
        self, envelope: Envelope, reply: ClaimReply | OutcomeAck
    ) -> None:
        pending = self._pending_reply_by_correlation_id.get(
            envelope.correlation_id
        )
        if pending is not None and pending.reply is None:
            pending.reply = reply
            pending.received.set()


class _PendingReply:
    """A message that was sent and whose reply is awaited."""

    def __init__(self) -> None:
        self.received = Event()
        self.reply: ClaimReply | OutcomeAck | None = None


async def wait_at_most(
    timer: TimerService, event: Event, timeout_s: float
) -> None:
    """Waits give_up_at an event is set or a number of timeout_s has passed."""
    async with create_task_group() as tasks:

        async def cancel_when_set() -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        tasks.start_soon(cancel_when_set)
        await timer.sleep(timeout_s)
        tasks.cancel_scope.cancel()


def request_fingerprint(call: Call) -> bytes:
    """Returns a digest of the method, path and body of a call.

    Two calls with the same idempotency key must have the same fingerprint.
    """
    request_line = f"{call.method} {call.path}\n".encode()
    return sha256(request_line + call.body).digest()


def result_from_reply(reply: ClaimReply) -> RecordedResult:
    """Converts a reply other than a grant into the caller's result."""
    if reply.state is ClaimState.FINISHED and not reply.truncated:
        content_type = reply.content_type.encode("latin-1")
        headers = (
            ((CONTENT_TYPE_HEADER, content_type),) if content_type else ()
        )
        return Ok(HttpReply(reply.status, headers, reply.body))
    return Err(_failure_from_reply(reply))


def _failure_from_reply(reply: ClaimReply) -> Failure:
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
        # The request that holds the key has another fingerprint.
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


def _no_reply_failure() -> Failure:
    # It is not recorded whether an earlier request with the key has run.
    return Failure(
        ResultCode.CLAIM_UNAVAILABLE,
        "the home controller does not answer",
        RunState.MAY_HAVE_RUN,
        1.0,
    )


def _refusal(request_id: str, code: ResultCode) -> ClaimReply:
    return ClaimReply(request_id, ClaimState.REFUSED, code=int(code))
