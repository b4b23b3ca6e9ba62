"""Records, sizes and partitions of the claim journal."""

from dataclasses import dataclass
from re import search

from msgspec import Struct
from msgspec.msgpack import decode
from msgspec.msgpack import encode
from xxhash import xxh64_intdigest

from wasabiwing.messages import ClaimState
from wasabiwing.ports import StoredValue

# Each partition is written by one home controller, so the whole fleet writes
# at most CLAIM_PARTITION_COUNT times the write budget of a node (20/s by
# default): 320 writes a second, within the several hundred that the store
# takes, however many nodes there are. With 8 nodes each is home of about two
# partitions.
CLAIM_PARTITION_COUNT = 16

CLAIM_STORE_PREFIX = "/wasabiwing/claims/"

# Larger answers are not stored: a repeat is told that the request ran.
MAX_STORED_ANSWER_BYTES = 16_000

# Longer idempotency keys are refused, so that a claim fits into a segment.
MAX_KEY_CHARACTERS = 256

# Time from asking for a claim to sending the request, in seconds.
DISPATCH_WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class JournalLimits:
    """Sizes and times of a journal."""

    # A segment of this size is sealed. Each swap writes the segment whole,
    # so that large segments would cost more bytes for each claim.
    segment_bytes: int = 16_000
    # No value may exceed this; the store accepts 1 MB.
    value_bytes: int = 900_000
    # Sealed segments are deleted after this time, in seconds. It is far
    # longer than the dispatch window.
    retention_s: float = 3600.0
    # Longest time between sealing a segment and creating the next without
    # reading the partition again, in seconds.
    max_roll_delay_s: float = 60.0


class Claim(Struct, frozen=True, array_like=True):
    """The state of one idempotency key."""

    organisation: str
    key: str
    request_fingerprint: bytes
    request_id: str
    # Gateway that may send the request.
    gateway: str
    state: ClaimState
    # Names the decision to grant; unique over all controllers.
    grant_id: str
    # Time after the grant by which the outcome is known, in seconds.
    outcome_timeout_s: float
    # The stored answer of a finished request.
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    # Whether the answer was too large to be stored.
    truncated: bool = False


class Segment(Struct, frozen=True, array_like=True):
    """The value of one key: states in the order in which they were made."""

    commit_id: str
    claims: tuple[Claim, ...] = ()
    # Seconds since the epoch; 0 while the segment is open.
    sealed_at: float = 0.0


ClaimKey = tuple[str, str]


def partition_of_key(organisation: str, key: str) -> int:
    """Returns the partition of an idempotency key."""
    return (
        xxh64_intdigest(f"{organisation}\0{key}".encode())
        % CLAIM_PARTITION_COUNT
    )


def request_id_with_partition(request_id: str, partition: int) -> str:
    """Returns a request id that names the partition of its claim."""
    return f"{request_id}-p{partition}"


def partition_of_request(request_id: str) -> int | None:
    """Returns the partition that a request id names."""
    found = search(r"-p(\d{1,4})$", request_id)
    if found is None or int(found[1]) >= CLAIM_PARTITION_COUNT:
        return None
    return int(found[1])


def fitting_claims(claims: tuple[Claim, ...], room: int) -> tuple[Claim, ...]:
    """Returns the first claims whose encoded size fits."""
    size = 0
    for count, claim in enumerate(claims):
        # Each part of the segment's own frame takes a few bytes more.
        size += len(encode(claim)) + 16
        if size > room:
            return claims[:count]
    return claims


def read_segment(value: StoredValue) -> tuple[int, int, Segment]:
    """Returns the number, revision and content of a segment.

    Raises ``DecodeError`` or ``ValueError`` when the value is corrupt.
    """
    number = int(value.key.rpartition("/")[2])
    return number, value.revision, decode(value.value, type=Segment)
