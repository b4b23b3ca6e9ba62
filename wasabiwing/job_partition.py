"""The jobs of one partition in the key-value service.

Jobs that are submitted together share one value. Each value is only changed
by compare-and-swap, so a controller that is no longer the home loses the swap
and reads the partition again.
"""

from collections.abc import Callable

from anyio import Lock
from msgspec import DecodeError
from msgspec.msgpack import decode
from msgspec.msgpack import encode
from msgspec.structs import replace
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
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

# Swaps of one value that are tried before the change is given up.
MAX_SWAPS = 4

# A pending job is read again after this time before its state is told,
# because another controller may have been the home since, in seconds.
REFRESH_S = 1.0


class JobPartition:
    """Jobs of one partition, as its home controller sees them."""

    def __init__(
        self,
        instance: str,
        partition: int,
        store: ConfigStore,
        timer: TimerService,
        budget: StoreBudget,
    ) -> None:
        # Unique name of this run of the controller.
        self._instance = instance
        self._prefix = f"{JOB_STORE_PREFIX}{partition:02x}/"
        self._store = store
        self._timer = timer
        self._budget = budget
        self._lock = Lock()
        self._counter = 0
        self._group_by_key: dict[str, JobGroup] = {}
        self._revision_by_key: dict[str, int] = {}
        self._key_by_job: dict[str, str] = {}
        # Submitted jobs that wait for their write.
        self._waiting: dict[str, Job] = {}
        self._failure_by_job: dict[str, Failure] = {}
        self._confirmed_at = timer.now()
        # Whether the state above is that of the store.
        self.loaded = False

    def get_cached(self, name: str) -> Job | None:
        """Returns a job as last seen in the store."""
        group = self._group_by_key.get(self._key_by_job.get(name, ""))
        if group is None:
            return None
        return next((job for job in group.jobs if job.id == name), None)

    def pending_jobs(self) -> tuple[Job, ...]:
        """Returns the jobs without a result, the oldest first."""
        return tuple(
            job
            for key in sorted(self._group_by_key)
            for job in self._group_by_key[key].jobs
            if job.state is JobState.PENDING
        )

    async def unload(self) -> None:
        """Forgets everything; the partition has another home."""
        if self.loaded:
            async with self._lock:
                self._forget()

    def _forget(self) -> None:
        self.loaded = False
        self._group_by_key.clear()
        self._revision_by_key.clear()
        self._key_by_job.clear()

    async def load(self) -> Result[None, Failure]:
        """Reads the partition unless its state is known."""
        async with self._lock:
            return Ok(None) if self.loaded else await self._load()

    async def find(self, name: str) -> Result[Job | None, Failure]:
        """Returns a job; one without a result is read again."""
        async with self._lock:
            known = self.get_cached(name)
            ended = known is not None and known.state is not JobState.PENDING
            age_s = self._timer.now() - self._confirmed_at
            if not ended and (not self.loaded or age_s >= REFRESH_S):
                loaded = await self._load()
                if isinstance(loaded, Err):
                    return loaded
        return Ok(self.get_cached(name))

    async def submit(self, job: Job) -> Result[Job, Failure]:
        """Records a job; returns the one that has its id."""
        loaded = await self.load()
        if isinstance(loaded, Err):
            # An earlier submit with the same id may be in the store.
            return Err(_unavailable(loaded.err_value, RunState.MAY_HAVE_RUN))
        known = self.get_cached(job.id)
        if known is not None:
            return Ok(known)
        self._waiting.setdefault(job.id, job)
        async with self._lock:
            while job.id in self._waiting:
                # Submits that came during the wait join this group.
                await self._budget.acquire()
                await self._write_waiting()
        known = self.get_cached(job.id)
        if known is not None:
            return Ok(known)
        failure = self._failure_by_job.pop(job.id, None)
        return Err(
            failure
            or Failure(
                ResultCode.JOB_UNAVAILABLE, "", RunState.MAY_HAVE_RUN, 1.0
            )
        )

    async def update_pending(
        self, name: str, change: Callable[[Job], Job]
    ) -> Result[Job | None, Failure]:
        """Changes a pending job; returns the job as it is then."""
        async with self._lock:
            for _ in range(MAX_SWAPS):
                if not self.loaded:
                    loaded = await self._load()
                    if isinstance(loaded, Err):
                        return loaded
                job = self.get_cached(name)
                if job is None or job.state is not JobState.PENDING:
                    return Ok(job)
                key = self._key_by_job[name]
                changed = change(job)
                group = JobGroup(
                    self._next_id(),
                    tuple(
                        changed if item.id == name else item
                        for item in self._group_by_key[key].jobs
                    ),
                )
                await self._budget.acquire()
                written = await self._swap(key, group)
                if isinstance(written, Ok):
                    return Ok(changed)
                if written.err_value.code is not ResultCode.STORE_CONFLICT:
                    return written
                self.loaded = False
        return Err(Failure(ResultCode.STORE_CONFLICT, name))

    async def delete_expired(self) -> None:
        """Deletes groups whose jobs all ended long ago."""
        latest = self._timer.wall() - RETENTION_S
        async with self._lock:
            for key, group in sorted(self._group_by_key.items()):
                if _ended_before(group, latest):
                    await self._delete(key)

    async def _write_waiting(self) -> None:
        """Writes waiting jobs as one group, as many as fit."""
        jobs: list[Job] = []
        size = 0
        for job in self._waiting.values():
            size += reserved_bytes(job)
            if jobs and size > MAX_GROUP_BYTES:
                break
            jobs.append(job)
        failure = await self._write_group(tuple(jobs))
        for job in jobs:
            del self._waiting[job.id]
            if failure is not None:
                self._failure_by_job[job.id] = failure

    async def _write_group(self, jobs: tuple[Job, ...]) -> Failure | None:
        size = sum(reserved_bytes(job) for job in jobs)
        if not await self._make_room(size):
            return Failure(
                ResultCode.JOB_UNAVAILABLE,
                "too many jobs are pending",
                RunState.NOT_RUN,
                60.0,
            )
        key = f"{self._prefix}{self._timer.wall():015.3f}-{self._next_id()}"
        self._revision_by_key[key] = 0
        written = await self._swap(key, JobGroup(key, jobs))
        if isinstance(written, Ok):
            return None
        self._revision_by_key.pop(key, None)
        lost = written.err_value.code is not ResultCode.STORE_UNAVAILABLE
        if lost:
            # The jobs may be in the store.
            self.loaded = False
        run = RunState.MAY_HAVE_RUN if lost else RunState.NOT_RUN
        return _unavailable(written.err_value, run)

    async def _make_room(self, size: int) -> bool:
        for key in sorted(self._group_by_key):
            if self._size() + size <= MAX_PARTITION_BYTES:
                return True
            if _ended_before(self._group_by_key[key], self._timer.wall()):
                await self._delete(key)
        return self._size() + size <= MAX_PARTITION_BYTES

    def _size(self) -> int:
        return sum(
            reserved_bytes(job)
            for group in self._group_by_key.values()
            for job in group.jobs
        )

    async def _swap(self, key: str, group: JobGroup) -> Result[None, Failure]:
        """Writes one value; a lost reply is resolved by a repeat.

        The repeat either writes the same value or meets it. After a lost
        reply the failure is ``STORE_REPLY_LOST`` also when the store is down
        by then.
        """
        value = encode(group)
        revision = self._revision_by_key[key]
        lost: Failure | None = None
        for _ in range(MAX_SWAPS):
            swapped = await self._store.swap(key, revision, value)
            if isinstance(swapped, Err):
                if swapped.err_value.code is not ResultCode.STORE_REPLY_LOST:
                    return Err(lost or swapped.err_value)
                lost = swapped.err_value
                await self._budget.acquire()
                continue
            outcome = swapped.ok_value
            current = outcome.current
            if not outcome.swapped and (
                current is None or current.value != value
            ):
                return Err(Failure(ResultCode.STORE_CONFLICT, key))
            written = outcome.revision if current is None else current.revision
            self._keep(key, group, written)
            return Ok(None)
        assert lost is not None
        return Err(lost)

    async def _delete(self, key: str) -> None:
        await self._budget.acquire()
        deleted = await self._store.delete(key, self._revision_by_key[key])
        if isinstance(deleted, Err) or not deleted.ok_value.swapped:
            # Whether it is gone shows when the partition is read again.
            self.loaded = False
            return
        for job in self._group_by_key.pop(key).jobs:
            self._key_by_job.pop(job.id, None)
        del self._revision_by_key[key]

    async def _load(self) -> Result[None, Failure]:
        listed = await self._store.list_prefix(self._prefix)
        if isinstance(listed, Err):
            return listed
        self._forget()
        for value in listed.ok_value:
            group = _read(value)
            if isinstance(group, Err):
                return group
            self._keep(value.key, group.ok_value, value.revision)
        self.loaded = True
        self._confirmed_at = self._timer.now()
        return Ok(None)

    def _keep(self, key: str, group: JobGroup, revision: int) -> None:
        self._group_by_key[key] = group
        self._revision_by_key[key] = revision
        for job in group.jobs:
            self._key_by_job.setdefault(job.id, key)

    def _next_id(self) -> str:
        self._counter += 1
        return f"{self._instance}-{self._counter}"


def _read(value: StoredValue) -> Result[JobGroup, Failure]:
    try:
        return Ok(decode(value.value, type=JobGroup))
    except DecodeError as error:
        return Err(
            Failure(ResultCode.STORE_UNAVAILABLE, f"{value.key}: {error}")
        )


def _ended_before(group: JobGroup, latest: float) -> bool:
    return all(
        job.state is not JobState.PENDING and job.finished_at <= latest
        for job in group.jobs
    )


def _unavailable(failure: Failure, run: RunState) -> Failure:
    return Failure(ResultCode.JOB_UNAVAILABLE, str(failure), run, 1.0)


def job_with_result(
    job: Job, failure: Failure | None, result: bytes, now: float
) -> Job:
    """Returns a job with its result; ``now`` is wall-clock time."""
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
