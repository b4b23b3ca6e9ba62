"""Deferred jobs on a gateway.

Passes submits and questions of callers to the home controller of the job's
partition, and runs the jobs that home controllers offer. A job is only taken
while no request waits and a slot is free.
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
from wasabiwing.messages import JobSubmitRequest
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.model_dispatch import ModelDispatcher
from wasabiwing.ports import Transport
from wasabiwing.request_parsing import build_job_call
from wasabiwing.running_request import RunningRequest
from wasabiwing.streams import AnswerLog
from wasabiwing.streams import assemble
from wasabiwing.streams import generated_tokens
from wasabiwing.timers import TimerService

# Longer than the store calls that a submit needs, in seconds.
ASK_TIMEOUT_S = 10.0
RESEND_S = 0.5

PROGRESS_PERIOD_S = 1.0

# Jobs that a gateway runs at a time, with those whose result is not stored.
MAX_JOBS = 8

# Pauses before a result is sent again, in seconds; they double.
FIRST_RESULT_PAUSE_S = 0.5
LONGEST_RESULT_PAUSE_S = 4.0

# A stopping gateway waits this long for a result to be stored, in seconds.
# The job runs again elsewhere if the store stays down.
LEAVING_PATIENCE_S = 10.0

TOKEN_BITS = 128

# Failures that another run would meet again.
FINAL_CODES = (
    ResultCode.QUARANTINED,
    ResultCode.SERVER_REJECTED,
    ResultCode.UNKNOWN_ROUTE,
)


class JobClient:
    """The jobs that one gateway passes on or runs."""

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
        # Why a request must not run at all, or ``None``.
        self._refusal = refusal
        self._correlations = count(1)
        self._answered_by_correlation: dict[int, Event] = {}
        self._reply_by_correlation: dict[int, JobReply] = {}
        self._request_by_job: dict[str, RunningRequest] = {}
        self._stored_by_job: dict[str, Event] = {}
        timer.subscribe(PROGRESS_PERIOD_S, self._report_progress)

    def register(self, router: MessageRouter) -> None:
        """Takes the job messages of the inbox."""
        router.register(JobReply, self._on_reply)
        router.register(JobOffer, self._on_offer)
        router.register(JobAck, self._on_ack)

    @property
    def running_requests(self) -> tuple[RunningRequest, ...]:
        """Jobs whose result is not in the store yet."""
        return tuple(self._request_by_job.values())

    async def submit(self, call: Call) -> Result[JobReply, Failure]:
        """Returns once the job is in the store.

        The message is sent once: a copy could record the job after an earlier
        one was refused as not run.
        """
        refusal = self._refusal(call)
        if refusal is not None:
            return Err(refusal)
        if len(call.body) > MAX_GROUP_BYTES:
            return Err(Failure(ResultCode.REQUEST_TOO_LARGE))
        token = call.idempotency_key
        if not token:
            token = f"{self._random.getrandbits(TOKEN_BITS):032x}"
        message = JobSubmitRequest(
            derive_job_id(call.organisation.id, token),
            call.organisation.id,
            call.route.id,
            call.path,
            call.body,
            request_fingerprint(call),
            self._transport.address,
        )
        return await self._ask(message, ASK_TIMEOUT_S)

    async def status(
        self, name: str, organisation: str
    ) -> Result[JobReply, Failure]:
        """Asks for the state of a job."""
        if partition_of_job(name) is None:
            return Err(
                Failure(ResultCode.UNKNOWN_REQUEST, "", RunState.MAY_HAVE_RUN)
            )
        message = JobStatusRequest(name, organisation, self._transport.address)
        return await self._ask(message, RESEND_S)

    async def _ask(
        self, message: JobSubmitRequest | JobStatusRequest, resend_s: float
    ) -> Result[JobReply, Failure]:
        correlation = next(self._correlations)
        answered = Event()
        self._answered_by_correlation[correlation] = answered
        until = self._timer.now() + ASK_TIMEOUT_S
        try:
            while not answered.is_set() and self._timer.now() < until:
                self._transport.send(
                    self._controller_address, message, correlation
                )
                await wait_at_most(self._timer, answered, resend_s)
        finally:
            del self._answered_by_correlation[correlation]
        reply = self._reply_by_correlation.pop(correlation, None)
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
            retry_s = 1.0 if reply.state == JobState.REFUSED else None
            return Err(
                Failure(
                    ResultCode(reply.code),
                    reply.detail,
                    RunState(reply.run_state),
                    retry_s,
                )
            )
        return Ok(reply)

    async def _on_reply(self, envelope: Envelope, reply: JobReply) -> None:
        answered = self._answered_by_correlation.get(envelope.correlation_id)
        if answered is not None:
            self._reply_by_correlation[envelope.correlation_id] = reply
            answered.set()

    async def _on_ack(self, envelope: Envelope, ack: JobAck) -> None:
        stored = self._stored_by_job.get(ack.job_id)
        if stored is not None:
            stored.set()

    async def _on_offer(self, envelope: Envelope, offer: JobOffer) -> None:
        if offer.job_id in self._request_by_job:
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
        if call is None or not self._has_room(call):
            self._give_back(offer.job_id, False)
            return
        request = RunningRequest(call, AnswerLog(call.request_id))
        self._request_by_job[offer.job_id] = request
        self._count_recomputed(offer.lost_tokens)
        self._send_progress(offer.job_id)
        self._tasks.start_soon(self._run, offer, request)

    def _has_room(self, call: Call) -> bool:
        if self._view.leaving or not self._view.connected:
            return False
        if len(self._request_by_job) >= MAX_JOBS:
            return False
        return self._admission.has_idle_slot(call.pool)

    async def _run(self, offer: JobOffer, request: RunningRequest) -> None:
        try:
            await self._models.run(request)
            assembled = assemble(request.answer, offer.path)
            if isinstance(assembled, Ok):
                await self._report(
                    JobResult(
                        offer.job_id,
                        self._transport.address,
                        assembled.ok_value,
                    )
                )
                return
            failure = assembled.err_value
            if failure.code in FINAL_CODES:
                await self._report(
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
            ran = failure.run_state is not RunState.NOT_RUN
            self._give_back(offer.job_id, ran)
        finally:
            del self._request_by_job[offer.job_id]

    async def _report(self, result: JobResult) -> None:
        """Sends a result until the home has stored it."""
        stored = Event()
        self._stored_by_job[result.job_id] = stored
        pause_s = FIRST_RESULT_PAUSE_S
        leaving_s = 0.0
        try:
            while not stored.is_set() and leaving_s < LEAVING_PATIENCE_S:
                self._transport.send(self._controller_address, result)
                await wait_at_most(self._timer, stored, pause_s)
                leaving_s += pause_s if self._view.leaving else 0.0
                pause_s = min(pause_s * 2, LONGEST_RESULT_PAUSE_S)
        finally:
            del self._stored_by_job[result.job_id]

    async def _report_progress(self) -> None:
        for name in self._request_by_job:
            self._send_progress(name)

    def _send_progress(self, name: str) -> None:
        payloads = self._request_by_job[name].answer.payloads
        self._transport.send(
            self._controller_address,
            JobProgress(
                name, self._transport.address, generated_tokens(payloads)
            ),
        )

    def _give_back(self, name: str, failed: bool) -> None:
        self._transport.send(
            self._controller_address,
            JobProgress(name, self._transport.address, 0, True, failed),
        )

    def _count_recomputed(self, tokens: int) -> None:
        counter = self._metrics.recomputed_tokens.labels(
            RecomputationCause.JOB.value
        )
        counter.inc(tokens)


def wants_job(request: HttpRequest, call: Call) -> bool:
    """Whether a caller asked for a job on a route that allows it."""
    preferences = request.headers.get("prefer", "").lower()
    names = [item.strip() for item in preferences.split(",")]
    return call.route.deferrable and "respond-async" in names
