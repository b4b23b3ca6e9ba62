"""Stored records, size limits and partitions of the claim journal."""

from dataclasses import dataclass
from re import search

from msgspec import Struct
from msgspec.msgpack import decode
from msgspec.msgpack import encode
from xxhash import xxh64_intdigest

from wasabiwing.messages import ClaimState
from wasabiwing.ports import StoredValue

# Each partition is written by one home controller. The whole fleet therefore
# writes at most this number times the write budget of a node (20/s by
# default): 320 writes a second, whatever the number of nodes. The store
# handles several hundred. With 8 nodes each node is home of about two
# partitions.
CLAIM_PARTITION_COUNT = 16

CLAIM_STORE_PREFIX = "/wasabiwing/claims/"

# Larger answers are not stored: a repeated request is told that the first one
# ran and that its answer was not stored.
MAX_STORED_ANSWER_BYTES = 16_000

# Longer idempotency keys are refused, so that a claim always fits into a
# segment.
MAX_KEY_CHARACTERS = 256

# Longest time from asking for a claim to sending its request, in seconds.
DISPATCH_WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class JournalLimits:
    """Size and time limits of a claim journal."""

    # A segment above this size is sealed. Each swap writes the whole segment,
    # so that larger segments would cost more written bytes for each claim.
    segment_bytes: int = 16_000
    # No value may exceed this; the store accepts 1 MB.
    value_bytes: int = 900_000
    # Sealed segments are kept for this time, in seconds. It is far longer than
    # the dispatch window.
    retention_s: float = 3600.0
    # Longest time between sealing a segment and creating the next one, in
    # seconds. After that the partition is read again first.
    max_roll_delay_s: float = 60.0


class Claim(Struct, frozen=True, array_like=True):
    """The claim of one request on an idempotency key."""

    organisation: str
    key: str
    request_fingerprint: bytes
    request_id: str
    # Node id of the gateway that may send the request.
    gateway: str
    state: ClaimState
    # Identifies the controller's decision to grant the claim; unique over all
    # controllers.
    grant_id: str
    # Time after the grant after which a missing outcome counts as unknown, in
    # seconds.
    outcome_timeout_s: float
    # The stored answer of a finished request.
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    # Whether the answer was too large to be stored.
    truncated: bool = False


class Segment(Struct, frozen=True, array_like=True):
    """The value of one store key: claims in the order of their changes."""

    # Identifies the swap that wrote the value; unique over all controllers.
    commit_id: str
    claims: tuple[Claim, ...] = ()
    # Wall-clock time in seconds since the epoch; 0 while the segment is open.
    sealed_at: float = 0.0


# Organisation and idempotency key.
ClaimKey = tuple[str, str]


def partition_of_key(organisation: str, key: str) -> int:
    """Returns the partition of an organisation's idempotency key."""
    return (
        xxh64_intdigest(f"{organisation}\0{key}".encode())
        % CLAIM_PARTITION_COUNT
    )


def request_id_with_partition(request_id: str, partition: int) -> str:
    """Appends the partition of its claim to a request id."""
    return f"{request_id}-p{partition}"


def partition_of_request(request_id: str) -> int | None:
    """Returns the partition in a request id; ``None`` if there is none."""
    match = search(r"-p(\d{1,4})$", request_id)
    if match is None or int(match[1]) >= CLAIM_PARTITION_COUNT:
        return None
    return int(match[1])


def fitting_claims(
    claims: tuple[Claim, ...], max_bytes: int
) -> tuple[Claim, ...]:
    """Returns the leading claims whose encoded size is within the limit."""
    size = 0
    for count, claim in enumerate(claims):
        # 16 bytes per claim cover the encoding of the segment around it.
        size += len(encode(claim)) + 16
        if size > max_bytes:
            return claims[:count]
    return claims


def read_segment(value: StoredValue) -> tuple[int, int, Segment]:
    """Decodes a stored segment into its number, revision and content.

    Raises ``DecodeError`` or ``ValueError`` if the key or value is corrupt.
    """
    number = int(value.key.rpartition("/")[2])
    return number, value.revision, decode(value.value, type=Segment)
