"""Reads bytes and numbers that another party has written."""

from re import compile as compile_pattern

from msgspec import DecodeError

# msgspec raises ``RecursionError`` for deeply nested content, and
# ``UnicodeDecodeError``, a ``ValueError``, for bytes that are no text.
UNDECODABLE = (
    DecodeError,
    ValueError,
    OverflowError,
    RecursionError,
)

# Longer numbers exceed all that is meant; ``int`` refuses those of more than
# 4,300 digits.
WHOLE_NUMBER = compile_pattern(r"[0-9]{1,15}")


def parse_whole_number(text: str) -> int | None:
    """Returns a number of up to 15 ASCII digits; ``None`` for other text."""
    return int(text) if WHOLE_NUMBER.fullmatch(text) else None
