"""The jobs of one partition in the key-value service.

Jobs that are submitted together share one value. Values are only changed by
compare-and-swap: the swap of a controller that is no longer the home fails,
and that controller reads the partition again.
"""

from collections.abc import Callable

from anyio import Lock
from msgspec.msgpack import decode
from msgspec.msgpack import encode
from msgspec.structs import replace
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.job_records import Job
from wasabiwing.job_records import JOB_STORE_PREFIX
from wasabiwing.job_records import JobGroup
from wasabiwing.job_records import JobState
from wasabiwing.job_records import MAX_GROUP_BYTES
from wasabiwing.job_records import MAX_PARTITION_BYTES
from wasabiwing.job_records import MAX_RESULT_BYTES
from wasabiwing.job_records import reserved_bytes
from wasabiwing.job_records import RETENTION_S
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import StoredValue
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import TimerService

# Swaps of one value that are tried before a change fails.
MAX_SWAP_ATTEMPTS = 4

# Greatest age in seconds of the cached state from which a pending job is
# answered. After that the partition is read again, because another controller
# may have become its home and recorded a result.
PENDING_JOB_MAX_AGE_S = 1.0


class JobPartition:
    """The jobs of one partition, cached and written by its home controller."""

    def __init__(
        self,
        incarnation_id: str,
        partition: int,
        store: ConfigStore,
        timer: TimerService,
        budget: StoreBudget,
    ) -> None:
        # Differs between two runs of the same controller.
        self._incarnation_id = incarnation_id
        self._prefix = f"{JOB_STORE_PREFIX}{partition:02x}/"
        self._store = store
        self._timer = timer
        self._budget = budget
        self._lock = Lock()
        self._last_id_number = 0
        self._group_by_key: dict[str, JobGroup] = {}
        self._revision_by_key: dict[str, int] = {}
        self._key_by_job_id: dict[str, str] = {}
        # Submitted jobs, by job id, that are not written yet.
        self._unwritten_by_job_id: dict[str, Job] = {}
        self._failure_by_job_id: dict[str, Failure] = {}
        # Time of the last read of the partition, or of the start.
        self._cache_confirmed_at = timer.now()
        # Whether the cached state is that of the last read and own writes.
        self.loaded = False

    def get_cached(self, job_id: str) -> Job | None:
        """Returns a job as cached; ``None`` if its id is unknown."""
        group = self._group_by_key.get(self._key_by_job_id.get(job_id, ""))
        if group is None:
            return None
        return next((job for job in group.jobs if job.id == job_id), None)

    def pending_jobs(self) -> tuple[Job, ...]:
        """Returns the cached jobs without a result, the oldest first."""
        return tuple(
            job
            for key in sorted(self._group_by_key)
            for job in self._group_by_key[key].jobs
            if job.state is JobState.PENDING
        )

    async def unload(self) -> None:
        """Clears the cached state when another controller is the home."""
        if self.loaded:
            async with self._lock:
                self._clear_cache()

    def _clear_cache(self) -> None:
        self.loaded = False
        self._group_by_key.clear()
        self._revision_by_key.clear()
        self._key_by_job_id.clear()

    async def load(self) -> Result[None, Failure]:
        """Reads the partition unless it is loaded."""
        async with self._lock:
            return Ok(None) if self.loaded else await self._load()

    async def find(self, job_id: str) -> Result[Job | None, Failure]:
        """Returns a job; ``None`` if its id is unknown.

        The partition is read again after ``PENDING_JOB_MAX_AGE_S``, unless
        the job has ended.
        """
        async with self._lock:
            known = self.get_cached(job_id)
            ended = known is not None and known.state is not JobState.PENDING
            age_s = self._timer.now() - self._cache_confirmed_at
            if not ended and (
                not self.loaded or age_s >= PENDING_JOB_MAX_AGE_S
            ):
                loaded = await self._load()
                if isinstance(loaded, Err):
                    return loaded
        return Ok(self.get_cached(job_id))

    async def submit(self, job: Job) -> Result[Job, Failure]:
        """Stores a job unless its id is in use; returns the job of the id."""
        loaded = await self.load()
        if isinstance(loaded, Err):
            # A job with the same id may be in the store.
            return Err(_unavailable(loaded.err_value, RunState.MAY_HAVE_RUN))
        known = self.get_cached(job.id)
        if known is not None:
            return Ok(known)
        self._unwritten_by_job_id.setdefault(job.id, job)
        async with self._lock:
            while job.id in self._unwritten_by_job_id:
                # Jobs that were submitted during the wait join this group.
                await self._budget.acquire()
                await self._write_unwritten()
        known = self.get_cached(job.id)
        if known is not None:
            return Ok(known)
        failure = self._failure_by_job_id.pop(job.id, None)
        return Err(
            failure
            or Failure(
                ResultCode.JOB_UNAVAILABLE, "", RunState.MAY_HAVE_RUN, 1.0
            )
        )

    async def update_pending(
        self, job_id: str, update: Callable[[Job], Job]
    ) -> Result[Job | None, Failure]:
        """Changes a job if it is pending; returns the job after that."""
        async with self._lock:
            for _ in range(MAX_SWAP_ATTEMPTS):
                if not self.loaded:
                    loaded = await self._load()
                    if isinstance(loaded, Err):
                        return loaded
                job = self.get_cached(job_id)
                if job is None or job.state is not JobState.PENDING:
                    return Ok(job)
                key = self._key_by_job_id[job_id]
                updated = update(job)
                group = JobGroup(
                    self._next_id(),
                    tuple(
                        updated if item.id == job_id else item
                        for item in self._group_by_key[key].jobs
                    ),
                )
                await self._budget.acquire()
                written = await self._swap(key, group)
                if isinstance(written, Ok):
                    return Ok(updated)
                if written.err_value.code is not ResultCode.STORE_CONFLICT:
                    return written
                self.loaded = False
        return Err(Failure(ResultCode.STORE_CONFLICT, job_id))

    async def delete_expired(self) -> None:
        """Deletes the groups whose jobs all ended ``RETENTION_S`` ago."""
        ended_by = self._timer.wall_time() - RETENTION_S
        async with self._lock:
            for key, group in sorted(self._group_by_key.items()):
                if _all_ended_by(group, ended_by):
                    await self._delete(key)

    async def _write_unwritten(self) -> None:
        """Writes as many of the submitted jobs as fit into one group."""
        jobs: list[Job] = []
        size = 0
        for job in self._unwritten_by_job_id.values():
            size += reserved_bytes(job)
            if jobs and size > MAX_GROUP_BYTES:
                break
            jobs.append(job)
        failure = await self._write_group(tuple(jobs))
        for job in jobs:
            del self._unwritten_by_job_id[job.id]
            if failure is not None:
                self._failure_by_job_id[job.id] = failure

    async def _write_group(self, jobs: tuple[Job, ...]) -> Failure | None:
        size = sum(reserved_bytes(job) for job in jobs)
        if not await self._make_room(size):
            return Failure(
                ResultCode.JOB_UNAVAILABLE,
                "too many jobs are pending",
                RunState.NOT_RUN,
                60.0,
            )
        key = (
            f"{self._prefix}{self._timer.wall_time():015.3f}-{self._next_id()}"
        )
        self._revision_by_key[key] = 0
        written = await self._swap(key, JobGroup(key, jobs))
        if isinstance(written, Ok):
            return None
        self._revision_by_key.pop(key, None)
        may_be_written = (
            written.err_value.code is not ResultCode.STORE_UNAVAILABLE
        )
        if may_be_written:
            # The jobs may be in the store; the next read shows it.
            self.loaded = False
        run_state = (
            RunState.MAY_HAVE_RUN if may_be_written else RunState.NOT_RUN
        )
        return _unavailable(written.err_value, run_state)

    async def _make_room(self, size: int) -> bool:
        for key in sorted(self._group_by_key):
            if self._reserved_bytes() + size <= MAX_PARTITION_BYTES:
                return True
            if _all_ended_by(self._group_by_key[key], self._timer.wall_time()):
                await self._delete(key)
        return self._reserved_bytes() + size <= MAX_PARTITION_BYTES

    def _reserved_bytes(self) -> int:
        return sum(
            reserved_bytes(job)
            for group in self._group_by_key.values()
            for job in group.jobs
        )

    async def _swap(self, key: str, group: JobGroup) -> Result[None, Failure]:
        """Writes one value and repeats the write after a lost reply.

        The repeat either writes the value or finds it written. If no repeat
        succeeds, the failure is ``STORE_REPLY_LOST``, even if the store is
        unavailable by then, because the first write may have taken effect.
        """
        value = encode(group)
        revision = self._revision_by_key[key]
        lost_reply: Failure | None = None
        for _ in range(MAX_SWAP_ATTEMPTS):
            swapped = await self._store.swap(key, revision, value)
            if isinstance(swapped, Err):
                if swapped.err_value.code is not ResultCode.STORE_REPLY_LOST:
                    return Err(lost_reply or swapped.err_value)
                lost_reply = swapped.err_value
                await self._budget.acquire()
                continue
            outcome = swapped.ok_value
            current = outcome.current
            if not outcome.swapped and (
                current is None or current.value != value
            ):
                return Err(Failure(ResultCode.STORE_CONFLICT, key))
            written = outcome.revision if current is None else current.revision
            self._cache_group(key, group, written)
            return Ok(None)
        assert lost_reply is not None
        return Err(lost_reply)

    async def _delete(self, key: str) -> None:
        await self._budget.acquire()
        deleted = await self._store.delete(key, self._revision_by_key[key])
        if isinstance(deleted, Err) or not deleted.ok_value.swapped:
            # The next read of the partition shows whether it is deleted.
            self.loaded = False
            return
        for job in self._group_by_key.pop(key).jobs:
            self._key_by_job_id.pop(job.id, None)
        del self._revision_by_key[key]

    async def _load(self) -> Result[None, Failure]:
        listed = await self._store.list_prefix(self._prefix)
        if isinstance(listed, Err):
            return listed
        self._clear_cache()
        for value in listed.ok_value:
            group = _decode_group(value)
            if isinstance(group, Err):
                return group
            self._cache_group(value.key, group.ok_value, value.revision)
        self.loaded = True
        self._cache_confirmed_at = self._timer.now()
        return Ok(None)

    def _cache_group(self, key: str, group: JobGroup, revision: int) -> None:
        self._group_by_key[key] = group
        self._revision_by_key[key] = revision
        for job in group.jobs:
            self._key_by_job_id.setdefault(job.id, key)

    def _next_id(self) -> str:
        self._last_id_number += 1
        return f"{self._incarnation_id}-{self._last_id_number}"


def _decode_group(value: StoredValue) -> Result[JobGroup, Failure]:
    try:
        return Ok(decode(value.value, type=JobGroup))
    except UNDECODABLE as error:
        return Err(
            Failure(ResultCode.STORE_UNAVAILABLE, f"{value.key}: {error}")
        )


def _all_ended_by(group: JobGroup, ended_by: float) -> bool:
    return all(
        job.state is not JobState.PENDING and job.finished_at <= ended_by
        for job in group.jobs
    )


def _unavailable(failure: Failure, run_state: RunState) -> Failure:
    return Failure(ResultCode.JOB_UNAVAILABLE, str(failure), run_state, 1.0)


def job_with_result(
    job: Job, failure: Failure | None, result: bytes, now: float
) -> Job:
    """Returns a job with its result or failure.

    ``now`` is wall-clock time in seconds since the epoch.
    """
    if failure is None and len(result) > MAX_RESULT_BYTES:
        failure = Failure(
            ResultCode.ANSWER_NOT_STORED, f"{len(result)} bytes", RunState.RAN
        )
    if failure is None:
        return replace(
            job, state=JobState.FINISHED, body=result, finished_at=now
        )
    return replace(
        job,
        state=JobState.FAILED,
        body=b"",
        code=int(failure.code),
        run_state=failure.run_state.value,
        detail=failure.detail,
        finished_at=now,
    )
