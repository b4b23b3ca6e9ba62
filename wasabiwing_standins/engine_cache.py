"""Export and import of KV caches between engine stand-ins."""

from dataclasses import dataclass
from typing import Any

from msgspec.json import decode
from msgspec.json import encode

BYTES_PER_TOKEN = 4

# Time to move the cache of one token between two engines, in seconds.
TRANSFER_S_PER_TOKEN = 0.00005


@dataclass(frozen=True, slots=True)
class ExportedStream:
    """A paused stream that is moved to another engine."""

    request_id: str
    attempt: str
    request: dict[str, Any]
    payloads: tuple[str, ...]
    tokens: int
    transfer_ms: float


def export_stream(
    request_id: str,
    attempt: str,
    request: dict[str, Any],
    payloads: list[bytes],
    prompt: str,
    s_per_token: float,
) -> bytes:
    """Encodes a stream; its cache covers the prompt and the answer so far."""
    tokens = len(prompt.encode()) // BYTES_PER_TOKEN + 1 + len(payloads)
    return encode(
        ExportedStream(
            request_id,
            attempt,
            request,
            tuple(payload.decode() for payload in payloads),
            tokens,
            tokens * s_per_token * 1000,
        )
    )


def read_export(body: bytes) -> ExportedStream:
    """Decodes a stream that another engine exported."""
    return decode(body, type=ExportedStream)
