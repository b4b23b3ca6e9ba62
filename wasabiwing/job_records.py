"""Stored records, size limits and ids of deferred jobs."""

from enum import IntEnum
from enum import unique
from hashlib import blake2b
from re import fullmatch

from msgspec import Struct

# Each partition has one home controller; see
# ``claim_records.CLAIM_PARTITION_COUNT``.
JOB_PARTITION_COUNT = 16

JOB_STORE_PREFIX = "/wasabiwing/jobs/"

# Larger results are not stored: the caller is told that the job ran. The space
# that is reserved for a job is the larger of this and its request body, so
# that a group never exceeds the store's value limit when its jobs finish.
MAX_RESULT_BYTES = 64_000

# Jobs are written to one value up to this sum of reserved bytes; the store
# accepts 1 MB.
MAX_GROUP_BYTES = 900_000

# Limit for the reserved bytes of one partition, whose jobs its home holds in
# memory. Groups of finished jobs are deleted, the oldest first, to stay below
# it.
MAX_PARTITION_BYTES = 2_000_000

# Finished jobs are kept for this time, in seconds.
RETENTION_S = 6 * 3600.0

ID_BYTES = 12


@unique
class JobState(IntEnum):
    """States of a job in the store and in replies."""

    PENDING = 0
    FINISHED = 1
    FAILED = 2
    # Occurs in replies only: the home refused the job, has no such job, or
    # cannot read its partition.
    REFUSED = 3


class Job(Struct, frozen=True, array_like=True):
    """A deferred job as it is stored."""

    id: str
    organisation: str
    route: str
    path: str
    # Digest of method, path and body; detects an idempotency key that was
    # reused for another request.
    request_fingerprint: bytes
    state: JobState = JobState.PENDING
    # Request body while the job is pending, then the result.
    body: bytes = b""
    # Result code, run state and detail of a job that failed.
    code: int = 0
    run_state: str = ""
    detail: str = ""
    # Wall-clock time in seconds since the epoch; 0 while the job is pending.
    finished_at: float = 0.0


class JobGroup(Struct, frozen=True, array_like=True):
    """Jobs that are stored in one value."""

    # Identifies the swap that wrote the value, so that the result of a swap
    # whose reply was lost can be found out.
    commit_id: str
    jobs: tuple[Job, ...]


def derive_job_id(organisation: str, token: str) -> str:
    """Derives the id of a job from its organisation and a token.

    The token is the idempotency key of the request, or random without a key.
    """
    digest = blake2b(f"{organisation}\0{token}".encode(), digest_size=ID_BYTES)
    return (
        f"job-{digest.digest()[0] % JOB_PARTITION_COUNT:02x}"
        f"-{digest.hexdigest()}"
    )


def partition_of_job(name: str) -> int | None:
    """Returns the partition in a job id; ``None`` if the id is invalid."""
    match = fullmatch(r"job-([0-9a-f]{2})-[0-9a-f]+", name)
    if match is None:
        return None
    partition = int(match.group(1), 16)
    return partition if partition < JOB_PARTITION_COUNT else None


def reserved_bytes(job: Job) -> int:
    """Returns an upper bound for the stored size of a job and its result."""
    return max(len(job.body), MAX_RESULT_BYTES) + 500
