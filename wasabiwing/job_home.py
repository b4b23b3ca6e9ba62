"""The controller's side of deferred jobs.

The home controller of a partition stores the submitted jobs, offers pending
jobs to gateways until one runs them, and stores their results. Which gateway
runs a job is kept in memory only; a new home waits for the progress reports
of running jobs before it offers jobs again.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from anyio.abc import TaskGroup
from msgspec.structs import replace
from result import Err

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.gateway_directory import GatewayDirectory
from wasabiwing.gateway_directory import LIVE_S
from wasabiwing.job_partition import job_with_result
from wasabiwing.job_partition import JobPartition
from wasabiwing.job_records import Job
from wasabiwing.job_records import JOB_PARTITION_COUNT
from wasabiwing.job_records import JobState
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
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import Member
from wasabiwing.ports import MemberView
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import owner
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import TimerService

OFFER_PERIOD_S = 0.5

# Greatest number of offers of one partition in one period. Offers carry
# request bodies, which may be large, and a gateway that declines an offer
# answers in less than a period.
MAX_OFFERS_PER_PERIOD = 4

# A gateway that has not reported a job for this time counts as not running it,
# in seconds. Gateways report progress every second.
PROGRESS_TIMEOUT_S = 4.0

# Time for which a new home waits for progress reports before it offers the
# jobs that it found in the store, in seconds.
TAKEOVER_DELAY_S = 2.5

DELETE_PERIOD_S = 60.0

# Failed runs after which a job ends as failed.
MAX_FAILED_RUNS = 10

JobMessage = JobSubmit | JobStatusRequest | JobProgress | JobResult


@dataclass(slots=True)
class _Run:
    """The gateway that runs a job, or to which it was offered last."""

    gateway_address: str
    # Time of the offer or of the last progress report.
    heard_at: float
    # Tokens generated so far.
    tokens: int = 0


class JobHome:
    """Serves the jobs of the partitions of one home controller."""

    def __init__(
        self,
        incarnation_id: str,
        timer: TimerService,
        store: ConfigStore,
        transport: Transport,
        members: MemberView,
        directory: GatewayDirectory,
        budget: StoreBudget,
        tasks: TaskGroup,
    ) -> None:
        self._incarnation_id = incarnation_id
        self._timer = timer
        self._transport = transport
        self._members = members
        self._directory = directory
        self._tasks = tasks
        self._partitions = tuple(
            JobPartition(incarnation_id, number, store, timer, budget)
            for number in range(JOB_PARTITION_COUNT)
        )
        self._run_by_job_id: dict[str, _Run] = {}
        # Time, by partition, from which its jobs are offered.
        self._offer_from_by_partition: dict[int, float] = {}
        self._offer_count_by_job_id: Counter[str] = Counter()
        self._failed_run_count_by_job_id: Counter[str] = Counter()
        timer.subscribe(OFFER_PERIOD_S, self.offer_pending)
        timer.subscribe(DELETE_PERIOD_S, self._delete_expired)

    def register(self, router: MessageRouter) -> None:
        """Registers the handlers of job messages."""
        router.register(JobSubmit, self._on_submit)
        router.register(JobStatusRequest, self._on_status)
        router.register(JobProgress, self._on_progress)
        router.register(JobResult, self._on_result)

    async def offer_pending(self) -> None:
        """Offers pending jobs of this home, after loading new partitions."""
        store_failed = False
        for number, partition in enumerate(self._partitions):
            if self._home_of(number) != self._members.own:
                await partition.unload()
                self._offer_from_by_partition.pop(number, None)
                continue
            if not partition.loaded:
                if store_failed or isinstance(await partition.load(), Err):
                    # Loading the other partitions now would fail as well.
                    store_failed = True
                    continue
            offer_at = self._offer_from_by_partition.setdefault(
                number, self._timer.now() + TAKEOVER_DELAY_S
            )
            if self._timer.now() >= offer_at:
                self._offer(partition)
        self._discard_ended_runs()

    def _offer(self, partition: JobPartition) -> None:
        gateways = sorted(
            entry.address
            for entry in self._directory.entries()
            if entry.age_s < LIVE_S and not entry.leaving
        )
        remaining_offers = MAX_OFFERS_PER_PERIOD if gateways else 0
        now = self._timer.now()
        for job in partition.pending_jobs():
            run = self._run_by_job_id.get(job.id)
            if run is not None and now - run.heard_at < PROGRESS_TIMEOUT_S:
                continue
            if remaining_offers == 0:
                return
            remaining_offers -= 1
            self._offer_count_by_job_id[job.id] += 1
            index = (
                round_robin_offset(job.id)
                + self._offer_count_by_job_id[job.id]
            )
            address = gateways[index % len(gateways)]
            # Kept until a gateway accepts the job and counts these tokens as
            # recomputed.
            lost_tokens = run.tokens if run else 0
            self._run_by_job_id[job.id] = _Run(address, now, lost_tokens)
            self._transport.send(
                address,
                JobOffer(
                    job.id,
                    job.organisation,
                    job.route,
                    job.path,
                    job.body,
                    lost_tokens,
                ),
            )

    def _discard_ended_runs(self) -> None:
        pending = {
            job.id
            for partition in self._partitions
            for job in partition.pending_jobs()
        }
        for state_by_job_id in (
            self._run_by_job_id,
            self._offer_count_by_job_id,
            self._failed_run_count_by_job_id,
        ):
            for job_id in [
                job_id for job_id in state_by_job_id if job_id not in pending
            ]:
                del state_by_job_id[job_id]

    async def _delete_expired(self) -> None:
        for number, partition in enumerate(self._partitions):
            if self._home_of(number) == self._members.own:
                await partition.delete_expired()

    def _home_of(self, partition: int) -> Member:
        members = {member.node_id: member for member in self._members.live()}
        home = owner(f"jobs/{partition}", members)
        return members[home] if home is not None else self._members.own

    def _forward_or_handle(
        self,
        message: JobMessage,
        envelope: Envelope,
        handle: Callable[[JobPartition], Coroutine[Any, Any, None]],
    ) -> None:
        number = partition_of_job(message.job_id)
        if number is None:
            return
        home = self._home_of(number)
        if message.hops == 0 and home != self._members.own:
            forwarded = replace(message, hops=1)
            self._transport.send(
                home.address, forwarded, envelope.correlation_id
            )
        else:
            self._tasks.start_soon(handle, self._partitions[number])

    async def _on_submit(self, envelope: Envelope, submit: JobSubmit) -> None:
        async def handle(partition: JobPartition) -> None:
            reply = await self._store_job(partition, submit)
            self._transport.send(
                submit.gateway_address, reply, envelope.correlation_id
            )

        self._forward_or_handle(submit, envelope, handle)

    async def _store_job(
        self, partition: JobPartition, submit: JobSubmit
    ) -> JobReply:
        submitted = Job(
            submit.job_id,
            submit.organisation,
            submit.route,
            submit.path,
            submit.request_fingerprint,
            body=submit.body,
        )
        known = partition.get_cached(submit.job_id) is not None
        stored = await partition.submit(submitted)
        if isinstance(stored, Err):
            return _refusal(submit.job_id, stored.err_value)
        job = stored.ok_value
        if job.request_fingerprint != submit.request_fingerprint:
            reused = Failure(ResultCode.IDEMPOTENCY_KEY_REUSED)
            return _refusal(submit.job_id, reused)
        if not known:
            log_event(
                Event.JOB_ACCEPTED,
                self._incarnation_id,
                job=job.id,
                route=job.route,
                organisation=job.organisation,
            )
        return _reply(job)

    async def _on_status(
        self, envelope: Envelope, request: JobStatusRequest
    ) -> None:
        async def handle(partition: JobPartition) -> None:
            found = await partition.find(request.job_id)
            if isinstance(found, Err):
                failure = Failure(
                    ResultCode.JOB_UNAVAILABLE,
                    str(found.err_value),
                    RunState.MAY_HAVE_RUN,
                    1.0,
                )
                reply = _refusal(request.job_id, failure)
            else:
                job = found.ok_value
                if job is None or job.organisation != request.organisation:
                    unknown = Failure(
                        ResultCode.UNKNOWN_REQUEST, "", RunState.MAY_HAVE_RUN
                    )
                    reply = _refusal(request.job_id, unknown)
                else:
                    reply = _reply(job)
            self._transport.send(
                request.gateway_address, reply, envelope.correlation_id
            )

        self._forward_or_handle(request, envelope, handle)

    async def _on_progress(
        self, envelope: Envelope, progress: JobProgress
    ) -> None:
        async def note_progress(partition: JobPartition) -> None:
            run = self._run_by_job_id.get(progress.job_id)
            if not progress.released:
                self._run_by_job_id[progress.job_id] = _Run(
                    progress.gateway_address,
                    self._timer.now(),
                    progress.tokens,
                )
                return
            if run is None or run.gateway_address != progress.gateway_address:
                return
            # The job is offered again in the next period. Unless this run
            # failed, the offer carries the lost tokens of an earlier run.
            run.heard_at = self._timer.now() - PROGRESS_TIMEOUT_S
            if not progress.failed:
                return
            run.tokens = 0
            self._failed_run_count_by_job_id[progress.job_id] += 1
            if (
                self._failed_run_count_by_job_id[progress.job_id]
                >= MAX_FAILED_RUNS
            ):
                failure = Failure(
                    ResultCode.ATTEMPT_FAILED,
                    f"{MAX_FAILED_RUNS} runs failed",
                    RunState.MAY_HAVE_RUN,
                )
                await self._end_job(partition, progress.job_id, failure, b"")

        self._forward_or_handle(progress, envelope, note_progress)

    async def _on_result(self, envelope: Envelope, result: JobResult) -> None:
        async def record_result(partition: JobPartition) -> None:
            failure: Failure | None = None
            if result.code:
                failure = Failure(
                    ResultCode(result.code),
                    result.detail,
                    RunState(result.run_state),
                )
            if await self._end_job(
                partition, result.job_id, failure, result.body
            ):
                self._transport.send(
                    result.gateway_address, JobAck(result.job_id)
                )
            else:
                # The gateway sends the result again until it is stored; the
                # job is not offered meanwhile.
                self._run_by_job_id[result.job_id] = _Run(
                    result.gateway_address, self._timer.now()
                )

        self._forward_or_handle(result, envelope, record_result)

    async def _end_job(
        self,
        partition: JobPartition,
        job_id: str,
        failure: Failure | None,
        body: bytes,
    ) -> bool:
        """Stores the end of a job; returns whether it can be acknowledged."""
        now = self._timer.wall_time()
        changed = await partition.update_pending(
            job_id, lambda job: job_with_result(job, failure, body, now)
        )
        if isinstance(changed, Err):
            return False
        self._run_by_job_id.pop(job_id, None)
        log_event(
            Event.JOB_FINISHED,
            self._incarnation_id,
            job=job_id,
            code=int(failure.code) if failure else 0,
        )
        return True


def round_robin_offset(job_id: str) -> int:
    """Derives a number from a job id that spreads jobs over gateways."""
    return int(job_id.rpartition("-")[2][-6:], 16)


def _reply(job: Job) -> JobReply:
    pending = job.state is JobState.PENDING
    return JobReply(
        job.id,
        int(job.state),
        job.path,
        b"" if pending else job.body,
        job.code,
        job.run_state,
        job.detail,
    )


def _refusal(job_id: str, failure: Failure) -> JobReply:
    return JobReply(
        job_id,
        int(JobState.REFUSED),
        code=int(failure.code),
        run_state=failure.run_state.value,
        detail=failure.detail,
    )
