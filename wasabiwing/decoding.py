"""Errors of decoding bytes that another party has written."""

from msgspec import DecodeError

# msgspec raises ``RecursionError`` for deeply nested content, and
# ``UnicodeDecodeError``, a ``ValueError``, for bytes that are no text.
UNDECODABLE = (
    DecodeError,
    ValueError,
    OverflowError,
    RecursionError,
)
