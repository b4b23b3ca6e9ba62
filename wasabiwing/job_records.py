"""Records, sizes and ids of deferred jobs."""

from enum import IntEnum
from enum import unique
from hashlib import blake2b
from re import fullmatch

from msgspec import Struct

# Each partition has one home controller; see
# ``claim_records.CLAIM_PARTITION_COUNT``.
JOB_PARTITION_COUNT = 16

JOB_STORE_PREFIX = "/wasabiwing/jobs/"

# Larger results are not stored: the caller is told that the job ran. A
# finished job needs less room than this or its body took, so that a group of
# jobs never outgrows the store's value limit.
MAX_RESULT_BYTES = 64_000

# Jobs are written together up to this size; the store accepts 1 MB.
MAX_GROUP_BYTES = 900_000

# Sum of the values of one partition, which its home holds in memory. Groups
# of finished jobs are deleted, the oldest first, to make room.
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
    # Occurs in replies only: the home has no such job or cannot tell.
    REFUSED = 3


class Job(Struct, frozen=True, array_like=True):
    """One deferred job."""

    id: str
    organisation: str
    route: str
    path: str
    # Distinguishes two submits with the same idempotency key.
    request_fingerprint: bytes
    state: JobState = JobState.PENDING
    # The request while the job is pending, then the result.
    body: bytes = b""
    # Result code, run state and text of a job that failed.
    code: int = 0
    run_state: str = ""
    detail: str = ""
    # Seconds since the epoch; 0 while the job is pending.
    finished_at: float = 0.0


class JobGroup(Struct, frozen=True, array_like=True):
    """Jobs that are stored in one value."""

    # Names the write, so that a lost reply can be resolved.
    commit_id: str
    jobs: tuple[Job, ...]


def derive_job_id(organisation: str, token: str) -> str:
    """Returns the id of the job that an organisation named by a token.

    The token is the idempotency key, or a random one.
    """
    digest = blake2b(f"{organisation}\0{token}".encode(), digest_size=ID_BYTES)
    return (
        f"job-{digest.digest()[0] % JOB_PARTITION_COUNT:02x}"
        f"-{digest.hexdigest()}"
    )


def partition_of_job(name: str) -> int | None:
    """Returns the partition in a job id; ``None`` if it is no job id."""
    found = fullmatch(r"job-([0-9a-f]{2})-[0-9a-f]+", name)
    if found is None:
        return None
    partition = int(found.group(1), 16)
    return partition if partition < JOB_PARTITION_COUNT else None


def reserved_bytes(job: Job) -> int:
    """Returns the room that a job may need until it is deleted."""
    return max(len(job.body), MAX_RESULT_BYTES) + 500
