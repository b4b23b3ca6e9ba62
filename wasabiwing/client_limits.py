"""Decides what clients may send, and whose connection is closed first.

Load pattern: clients outside anyone's control that send heads, trailers, chunk
extensions or empty lines without end, bodies that are never finished, requests
whose answers they do not read, or nothing at all, on many connections.
"""

from dataclasses import dataclass
from enum import StrEnum

from wasabiwing.codes import ResultCode

# Bytes for the request line and for empty lines before it, beside the headers.
REQUEST_LINE_BYTES = 8_192

# Memory of one header line beside its bytes: a tuple, two byte strings and an
# entry of the list (160 bytes), and the entry in a copy of the list.
LINE_MEMORY_BYTES = 200

# Bytes of framing that each chunk of a body may have: a length of eight
# digits and two line ends, rounded up.
CHUNK_FRAMING_BYTES = 16

# Descriptors that are kept for files and listeners.
RESERVED_DESCRIPTORS = 200

# Part of the other descriptors that callers may hold; servers, nodes and the
# store need the rest.
CALLER_DESCRIPTOR_SHARE = 0.5

# Part of a machine's memory that may be held for callers. Interpreter, control
# and servers' answers take up to a half of the smallest machine (200 MB); the
# allocator adds up to the same amount again to what is held.
CALLER_MEMORY_SHARE = 0.25

# Connections for each megabyte of memory; an idle one takes some 10 KB.
CONNECTIONS_PER_MB = 10.0

# The fewest connections, whatever a deployment states.
MIN_CONNECTIONS = 32

BYTES_PER_MB = 1_000_000


class Cause(StrEnum):
    """Why a client was refused or its connection closed."""

    HEAD = "head"
    FRAMING = "framing"
    MALFORMED = "malformed"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    SILENT = "silent"
    UNREAD = "unread"
    CONNECTIONS = "connections"
    MEMORY = "memory"


# Status and result code of the refusals that a client may still read.
REFUSAL_BY_CAUSE = {
    Cause.HEAD: (431, ResultCode.HEADERS_TOO_LARGE),
    Cause.FRAMING: (400, ResultCode.MALFORMED_REQUEST),
    Cause.MALFORMED: (400, ResultCode.MALFORMED_REQUEST),
    Cause.SLOW_HEAD: (408, ResultCode.HEADERS_TOO_SLOW),
    Cause.SLOW_BODY: (408, ResultCode.BODY_TOO_SLOW),
}


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on what one connection may send, and how slowly."""

    # Headers of a request, in bytes.
    max_header_bytes: int = 16_384
    # Header lines of a request. 16 KiB of headers have 3,276 lines at most.
    max_header_lines: int = 4_096
    # Trailers and chunk extensions of a body, in bytes.
    max_trailer_bytes: int = 16_384
    # Longest time from a request's first byte to the end of its headers.
    header_timeout_s: float = 10.0
    # Longest time from a request's headers to the end of its body, and longest
    # time in it without a byte.
    body_timeout_s: float = 60.0
    body_silence_s: float = 15.0
    # Longest time without a request on a new connection, or after a response
    # in which only empty lines come.
    silence_timeout_s: float = 60.0
    # Longest time in which a client takes no byte of a waiting response.
    unread_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits on what all clients of a process may hold together."""

    max_connections: int
    # Heads, bodies, unparsed bytes and unread responses, in bytes.
    max_held_bytes: int


def process_limits(memory_mb: float, descriptors: int) -> ProcessLimits:
    """Returns the limits of a process on a machine of some size."""
    free = max(descriptors - RESERVED_DESCRIPTORS, 0)
    connections = min(
        free * CALLER_DESCRIPTOR_SHARE, memory_mb * CONNECTIONS_PER_MB
    )
    return ProcessLimits(
        max(int(connections), MIN_CONNECTIONS),
        int(memory_mb * BYTES_PER_MB * CALLER_MEMORY_SHARE),
    )


def head_excess(limits: ClientLimits, size: int, lines: int) -> bool:
    """Whether a head, with the empty lines before it, exceeds the limits.

    ``size`` is in bytes as received, and the head need not be whole.
    """
    return (
        size > limits.max_header_bytes + REQUEST_LINE_BYTES
        or lines > limits.max_header_lines
    )


def framing_excess(
    limits: ClientLimits, size: int, lines: int, chunks: int
) -> bool:
    """Whether a body's bytes that are no content exceed the limits.

    ``size`` counts chunk heads, chunk extensions and trailers, ``lines`` the
    trailers only.
    """
    allowed = limits.max_trailer_bytes + chunks * CHUNK_FRAMING_BYTES
    return size > allowed or lines > limits.max_header_lines


@dataclass(frozen=True, slots=True)
class Standing:
    """What one connection has delivered and holds."""

    # Whether a whole request runs or its response is being read.
    is_running: bool
    # Number of requests that were answered.
    answered: int
    held_bytes: int
    # When it was opened, in seconds.
    opened_at: float


def connection_rank(standing: Standing) -> tuple[bool, int, float]:
    """Orders connections; at the limit on them the first is closed first."""
    return standing.is_running, standing.answered, standing.opened_at


def memory_rank(standing: Standing) -> tuple[bool, int, int]:
    """Orders connections; at the limit on memory the first is closed first."""
    return standing.is_running, standing.answered, -standing.held_bytes
