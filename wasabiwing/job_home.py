"""Deferred jobs on a controller: the home of some partitions.

The home records submits, offers pending jobs to gateways until one runs them,
and stores their results. Which gateway runs a job is kept in memory only; a
new home waits for the reports of running jobs before it offers them again.
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
from wasabiwing.messages import JobSubmitRequest
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import Member
from wasabiwing.ports import MemberView
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import owner
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import TimerService

OFFER_PERIOD_S = 0.5

# Offers of one partition in one period. Bodies may be large, and a gateway
# that has no room answers in less than a period.
OFFERS_PER_PERIOD = 4

# A gateway that did not report a job for this time does not run it, in
# seconds. Gateways report every second.
SILENCE_S = 4.0

# A new home waits this long for reports before it offers the jobs that it
# found in the store, in seconds.
TAKE_OVER_S = 2.5

TRIM_PERIOD_S = 60.0

# Runs after which a job that fails again and again is given up.
MAX_RUNS = 10

JobMessage = JobSubmitRequest | JobStatusRequest | JobProgress | JobResult


@dataclass(slots=True)
class _Run:
    """Where a job runs, or was offered."""

    gateway_address: str
    heard_at: float
    tokens: int = 0


class JobHome:
    """Serves the jobs of one controller's partitions."""

    def __init__(
        self,
        instance: str,
        timer: TimerService,
        store: ConfigStore,
        transport: Transport,
        members: MemberView,
        directory: GatewayDirectory,
        budget: StoreBudget,
        tasks: TaskGroup,
    ) -> None:
        self._instance = instance
        self._timer = timer
        self._transport = transport
        self._members = members
        self._directory = directory
        self._tasks = tasks
        self._partitions = tuple(
            JobPartition(instance, number, store, timer, budget)
            for number in range(JOB_PARTITION_COUNT)
        )
        self._run_by_job: dict[str, _Run] = {}
        # Monotonic time from which a job found in the store is offered.
        self._offer_from: dict[int, float] = {}
        self._offers_by_job: Counter[str] = Counter()
        self._failed_runs_by_job: Counter[str] = Counter()
        timer.subscribe(OFFER_PERIOD_S, self.offer_pending)
        timer.subscribe(TRIM_PERIOD_S, self._trim)

    def register(self, router: MessageRouter) -> None:
        """Takes the job messages of the inbox."""
        router.register(JobSubmitRequest, self._on_submit)
        router.register(JobStatusRequest, self._on_status)
        router.register(JobProgress, self._on_progress)
        router.register(JobResult, self._on_result)

    async def offer_pending(self) -> None:
        """Loads new partitions and offers their jobs."""
        store_failed = False
        for number, partition in enumerate(self._partitions):
            if self._home(number) != self._members.own:
                await partition.unload()
                self._offer_from.pop(number, None)
                continue
            if not partition.loaded:
                if store_failed or isinstance(await partition.load(), Err):
                    # The others would only wait for the store as well.
                    store_failed = True
                    continue
            due = self._offer_from.setdefault(
                number, self._timer.now() + TAKE_OVER_S
            )
            if self._timer.now() >= due:
                self._offer(partition)
        self._forget_ended()

    def _offer(self, partition: JobPartition) -> None:
        gateways = sorted(
            entry.address
            for entry in self._directory.entries()
            if entry.age_s < LIVE_S and not entry.leaving
        )
        left = OFFERS_PER_PERIOD if gateways else 0
        now = self._timer.now()
        for job in partition.pending_jobs():
            run = self._run_by_job.get(job.id)
            if run is not None and now - run.heard_at < SILENCE_S:
                continue
            if left == 0:
                return
            left -= 1
            self._offers_by_job[job.id] += 1
            turn = round_robin_offset(job.id) + self._offers_by_job[job.id]
            address = gateways[turn % len(gateways)]
            # Kept until a gateway has taken the job and counted them.
            lost_tokens = run.tokens if run else 0
            self._run_by_job[job.id] = _Run(address, now, lost_tokens)
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

    def _forget_ended(self) -> None:
        pending = {
            job.id
            for partition in self._partitions
            for job in partition.pending_jobs()
        }
        for kept in (
            self._run_by_job,
            self._offers_by_job,
            self._failed_runs_by_job,
        ):
            for name in [name for name in kept if name not in pending]:
                del kept[name]

    async def _trim(self) -> None:
        for number, partition in enumerate(self._partitions):
            if self._home(number) == self._members.own:
                await partition.delete_expired()

    def _home(self, partition: int) -> Member:
        members = {member.node_id: member for member in self._members.live()}
        home = owner(f"jobs/{partition}", members)
        return members[home] if home is not None else self._members.own

    def _pass_on_or_start(
        self,
        message: JobMessage,
        envelope: Envelope,
        answer: Callable[[JobPartition], Coroutine[Any, Any, None]],
    ) -> None:
        number = partition_of_job(message.job_id)
        if number is None:
            return
        home = self._home(number)
        if message.hops == 0 and home != self._members.own:
            passed_on = replace(message, hops=1)
            self._transport.send(
                home.address, passed_on, envelope.correlation_id
            )
        else:
            self._tasks.start_soon(answer, self._partitions[number])

    async def _on_submit(
        self, envelope: Envelope, submit: JobSubmitRequest
    ) -> None:
        async def answer(partition: JobPartition) -> None:
            reply = await self._submit(partition, submit)
            self._transport.send(
                submit.gateway_address, reply, envelope.correlation_id
            )

        self._pass_on_or_start(submit, envelope, answer)

    async def _submit(
        self, partition: JobPartition, submit: JobSubmitRequest
    ) -> JobReply:
        wanted = Job(
            submit.job_id,
            submit.organisation,
            submit.route,
            submit.path,
            submit.request_fingerprint,
            body=submit.body,
        )
        known = partition.get_cached(submit.job_id) is not None
        recorded = await partition.submit(wanted)
        if isinstance(recorded, Err):
            return _refusal(submit.job_id, recorded.err_value)
        job = recorded.ok_value
        if job.request_fingerprint != submit.request_fingerprint:
            reused = Failure(ResultCode.IDEMPOTENCY_KEY_REUSED)
            return _refusal(submit.job_id, reused)
        if not known:
            log_event(
                Event.JOB_ACCEPTED,
                self._instance,
                job=job.id,
                route=job.route,
                organisation=job.organisation,
            )
        return _reply(job)

    async def _on_status(
        self, envelope: Envelope, request: JobStatusRequest
    ) -> None:
        async def answer(partition: JobPartition) -> None:
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

        self._pass_on_or_start(request, envelope, answer)

    async def _on_progress(
        self, envelope: Envelope, progress: JobProgress
    ) -> None:
        async def note(partition: JobPartition) -> None:
            run = self._run_by_job.get(progress.job_id)
            if not progress.released:
                self._run_by_job[progress.job_id] = _Run(
                    progress.gateway_address,
                    self._timer.now(),
                    progress.tokens,
                )
                return
            if run is None or run.gateway_address != progress.gateway_address:
                return
            # The tokens of an earlier run are told to the next gateway.
            run.heard_at = self._timer.now() - SILENCE_S
            if not progress.failed:
                return
            run.tokens = 0
            self._failed_runs_by_job[progress.job_id] += 1
            if self._failed_runs_by_job[progress.job_id] >= MAX_RUNS:
                failure = Failure(
                    ResultCode.ATTEMPT_FAILED,
                    f"{MAX_RUNS} runs failed",
                    RunState.MAY_HAVE_RUN,
                )
                await self._end(partition, progress.job_id, failure, b"")

        self._pass_on_or_start(progress, envelope, note)

    async def _on_result(self, envelope: Envelope, result: JobResult) -> None:
        async def record(partition: JobPartition) -> None:
            failure: Failure | None = None
            if result.code:
                failure = Failure(
                    ResultCode(result.code),
                    result.detail,
                    RunState(result.run_state),
                )
            if await self._end(partition, result.job_id, failure, result.body):
                self._transport.send(
                    result.gateway_address, JobAck(result.job_id)
                )
            else:
                # The gateway keeps the result until it is stored.
                self._run_by_job[result.job_id] = _Run(
                    result.gateway_address, self._timer.now()
                )

        self._pass_on_or_start(result, envelope, record)

    async def _end(
        self,
        partition: JobPartition,
        name: str,
        failure: Failure | None,
        body: bytes,
    ) -> bool:
        """Stores the end of a job; returns whether no repeat is needed."""
        now = self._timer.wall()
        changed = await partition.update_pending(
            name, lambda job: job_with_result(job, failure, body, now)
        )
        if isinstance(changed, Err):
            return False
        self._run_by_job.pop(name, None)
        log_event(
            Event.JOB_FINISHED,
            self._instance,
            job=name,
            code=int(failure.code) if failure else 0,
        )
        return True


def round_robin_offset(name: str) -> int:
    """Returns a number that spreads jobs over gateways."""
    return int(name.rpartition("-")[2][-6:], 16)


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


def _refusal(name: str, failure: Failure) -> JobReply:
    return JobReply(
        name,
        int(JobState.REFUSED),
        code=int(failure.code),
        run_state=failure.run_state.value,
        detail=failure.detail,
    )
