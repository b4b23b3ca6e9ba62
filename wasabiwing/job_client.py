"""The gateway's side of deferred jobs.

The gateway forwards callers' submits and status queries to the home controller
of the job's partition, and runs jobs that home controllers offer. It accepts
an offer only while no request waits and a slot is free.
"""

from collections.abc import Callable
from itertools import count
from random import Random

from anyio import Event
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from wasabiwing.admission import Admission
from wasabiwing.answer_log import AnswerLog
from wasabiwing.answer_log import assemble_answer
from wasabiwing.answer_log import generated_tokens
from wasabiwing.asgi import HttpRequest
from wasabiwing.attempts import RecomputationCause
from wasabiwing.calls import Call
from wasabiwing.claim_client import request_fingerprint
from wasabiwing.claim_client import wait_at_most
from wasabiwing.cluster_view import ClusterView
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.job_records import derive_job_id
from wasabiwing.job_records import JobState
from wasabiwing.job_records import MAX_GROUP_BYTES
from wasabiwing.job_records import partition_of_job
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import JobAck
from wasabiwing.messages import JobOffer
from wasabiwing.messages import JobProgress
from wasabiwing.messages import JobReply
from wasabiwing.messages import JobResult
from wasabiwing.messages import JobStatusRequest
from wasabiwing.messages import JobSubmit
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.model_dispatch import ModelDispatcher
from wasabiwing.ports import Transport
from wasabiwing.request_parsing import build_job_call
from wasabiwing.running_request import RunningRequest
from wasabiwing.timers import TimerService

# Time for which the gateway waits for a reply of the home controller, in
# seconds. It is longer than the store calls that a submit needs.
REPLY_TIMEOUT_S = 10.0
# Time after which an unanswered status query is sent again, in seconds.
STATUS_RESEND_PERIOD_S = 0.5

PROGRESS_PERIOD_S = 1.0

# Greatest number of jobs that a gateway runs at a time, including those whose
# result is not stored yet.
MAX_RUNNING_JOBS = 8

# First and longest delay before a result is sent again, in seconds. The delay
# doubles each time.
FIRST_RESULT_RESEND_DELAY_S = 0.5
MAX_RESULT_RESEND_DELAY_S = 4.0

# Time for which a leaving gateway waits for a result to be stored, in seconds.
# If the store stays unavailable longer, the job runs again elsewhere.
LEAVING_RESULT_TIMEOUT_S = 10.0

RANDOM_TOKEN_BITS = 128

# Failures that another run of the job would have again.
PERMANENT_FAILURE_CODES = (
    ResultCode.QUARANTINED,
    ResultCode.SERVER_REJECTED,
    ResultCode.UNKNOWN_ROUTE,
)


class JobClient:
    """Submits, queries and runs the jobs of one gateway."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        controller_address: str,
        view: ClusterView,
        admission: Admission,
        models: ModelDispatcher,
        metrics: GatewayMetrics,
        random: Random,
        tasks: TaskGroup,
        refusal: Callable[[Call], Failure | None],
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._controller_address = controller_address
        self._view = view
        self._admission = admission
        self._models = models
        self._metrics = metrics
        self._random = random
        self._tasks = tasks
        # Returns the reason why a call must not run at all, or ``None``.
        self._refusal_of = refusal
        self._correlation_ids = count(1)
        self._reply_received_by_correlation_id: dict[int, Event] = {}
        self._reply_by_correlation_id: dict[int, JobReply] = {}
        self._request_by_job_id: dict[str, RunningRequest] = {}
        self._result_stored_by_job_id: dict[str, Event] = {}
        timer.subscribe(PROGRESS_PERIOD_S, self._report_progress)

    def register(self, router: MessageRouter) -> None:
        """Registers the handlers of job messages."""
        router.register(JobReply, self._on_reply)
        router.register(JobOffer, self._on_offer)
        router.register(JobAck, self._on_ack)

    @property
    def running_requests(self) -> tuple[RunningRequest, ...]:
        """Requests of the jobs whose result is not stored yet."""
        return tuple(self._request_by_job_id.values())

    async def submit(self, call: Call) -> Result[JobReply, Failure]:
        """Submits a job; returns once the home controller has stored it.

        The message is sent only once, because a second copy could store the
        job after the first one was refused as not run.
        """
        refusal = self._refusal_of(call)
        if refusal is not None:
            return Err(refusal)
        if len(call.body) > MAX_GROUP_BYTES:
            return Err(Failure(ResultCode.REQUEST_TOO_LARGE))
        token = call.idempotency_key
        if not token:
            token = f"{self._random.getrandbits(RANDOM_TOKEN_BITS):032x}"
        message = JobSubmit(
            derive_job_id(call.organisation.id, token),
            call.organisation.id,
            call.route.id,
            call.path,
            call.body,
            request_fingerprint(call),
            self._transport.address,
        )
        return await self._send_and_wait(message, REPLY_TIMEOUT_S)

    async def status(
        self, job_id: str, organisation: str
    ) -> Result[JobReply, Failure]:
        """Returns the state and result of an organisation's job."""
        if partition_of_job(job_id) is None:
            return Err(
                Failure(ResultCode.UNKNOWN_REQUEST, "", RunState.MAY_HAVE_RUN)
            )
        message = JobStatusRequest(
            job_id, organisation, self._transport.address
        )
        return await self._send_and_wait(message, STATUS_RESEND_PERIOD_S)

    async def _send_and_wait(
        self,
        message: JobSubmit | JobStatusRequest,
        resend_period_s: float,
    ) -> Result[JobReply, Failure]:
        correlation_id = next(self._correlation_ids)
        reply_received = Event()
        self._reply_received_by_correlation_id[correlation_id] = reply_received
        give_up_at = self._timer.now() + REPLY_TIMEOUT_S
        try:
            while (
                not reply_received.is_set() and self._timer.now() < give_up_at
            ):
                self._transport.send(
                    self._controller_address, message, correlation_id
                )
                await wait_at_most(
                    self._timer, reply_received, resend_period_s
                )
        finally:
            del self._reply_received_by_correlation_id[correlation_id]
        reply = self._reply_by_correlation_id.pop(correlation_id, None)
        if reply is None:
            return Err(
                Failure(
                    ResultCode.JOB_UNAVAILABLE,
                    "the home controller does not answer",
                    RunState.MAY_HAVE_RUN,
                    1.0,
                )
            )
        if reply.state in (JobState.REFUSED, JobState.FAILED):
            retry_after_s = 1.0 if reply.state == JobState.REFUSED else None
            return Err(
                Failure(
                    ResultCode(reply.code),
                    reply.detail,
                    RunState(reply.run_state),
                    retry_after_s,
                )
            )
        return Ok(reply)

    async def _on_reply(self, envelope: Envelope, reply: JobReply) -> None:
        reply_received = self._reply_received_by_correlation_id.get(
            envelope.correlation_id
        )
        if reply_received is not None:
            self._reply_by_correlation_id[envelope.correlation_id] = reply
            reply_received.set()

    async def _on_ack(self, envelope: Envelope, ack: JobAck) -> None:
        result_stored = self._result_stored_by_job_id.get(ack.job_id)
        if result_stored is not None:
            result_stored.set()

    async def _on_offer(self, envelope: Envelope, offer: JobOffer) -> None:
        if offer.job_id in self._request_by_job_id:
            self._send_progress(offer.job_id)
            return
        call = build_job_call(
            offer.organisation,
            offer.route,
            offer.path,
            offer.body,
            self._view,
            f"{self._node_id}-{self._random.getrandbits(64):016x}",
            self._timer.now(),
        )
        if call is None or not self._can_run(call):
            self._release(offer.job_id, False)
            return
        request = RunningRequest(call, AnswerLog(call.request_id))
        self._request_by_job_id[offer.job_id] = request
        self._count_recomputed(offer.lost_tokens)
        self._send_progress(offer.job_id)
        self._tasks.start_soon(self._run_job, offer, request)

    def _can_run(self, call: Call) -> bool:
        if self._view.leaving or not self._view.connected:
            return False
        if len(self._request_by_job_id) >= MAX_RUNNING_JOBS:
            return False
        return self._admission.has_idle_slot(call.pool)

    async def _run_job(self, offer: JobOffer, request: RunningRequest) -> None:
        try:
            await self._models.run(request)
            assembled = assemble_answer(request.answer, offer.path)
            if isinstance(assembled, Ok):
                await self._send_result(
                    JobResult(
                        offer.job_id,
                        self._transport.address,
                        assembled.ok_value,
                    )
                )
                return
            failure = assembled.err_value
            if failure.code in PERMANENT_FAILURE_CODES:
                await self._send_result(
                    JobResult(
                        offer.job_id,
                        self._transport.address,
                        b"",
                        int(failure.code),
                        failure.run_state.value,
                        failure.detail,
                    )
                )
                return
            self._count_recomputed(generated_tokens(request.answer.payloads))
            may_have_run = failure.run_state is not RunState.NOT_RUN
            self._release(offer.job_id, may_have_run)
        finally:
            del self._request_by_job_id[offer.job_id]

    async def _send_result(self, result: JobResult) -> None:
        """Sends a result again until the home controller has stored it."""
        result_stored = Event()
        self._result_stored_by_job_id[result.job_id] = result_stored
        resend_delay_s = FIRST_RESULT_RESEND_DELAY_S
        leaving_wait_s = 0.0
        try:
            while (
                not result_stored.is_set()
                and leaving_wait_s < LEAVING_RESULT_TIMEOUT_S
            ):
                self._transport.send(self._controller_address, result)
                await wait_at_most(self._timer, result_stored, resend_delay_s)
                leaving_wait_s += resend_delay_s if self._view.leaving else 0.0
                resend_delay_s = min(
                    resend_delay_s * 2, MAX_RESULT_RESEND_DELAY_S
                )
        finally:
            del self._result_stored_by_job_id[result.job_id]

    async def _report_progress(self) -> None:
        for job_id in self._request_by_job_id:
            self._send_progress(job_id)

    def _send_progress(self, job_id: str) -> None:
        payloads = self._request_by_job_id[job_id].answer.payloads
        self._transport.send(
            self._controller_address,
            JobProgress(
                job_id, self._transport.address, generated_tokens(payloads)
            ),
        )

    def _release(self, job_id: str, failed: bool) -> None:
        self._transport.send(
            self._controller_address,
            JobProgress(job_id, self._transport.address, 0, True, failed),
        )

    def _count_recomputed(self, tokens: int) -> None:
        counter = self._metrics.recomputed_tokens.labels(
            RecomputationCause.JOB.value
        )
        counter.inc(tokens)


def wants_job(request: HttpRequest, call: Call) -> bool:
    """Returns whether a caller asks for a job on a route that allows jobs."""
    preferences = request.headers.get("prefer", "").lower()
    preference_names = [item.strip() for item in preferences.split(",")]
    return call.route.deferrable and "respond-async" in preference_names
