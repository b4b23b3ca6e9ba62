"""Parses the ``Retry-After`` headers of a backend server's answer.

A value is a number of seconds, which may have a fraction, or an HTTP date. A
date is compared with the ``Date`` header of the same answer, because the
clocks of two VMs differ.
"""

from collections.abc import Iterable
from datetime import datetime
from email.utils import parsedate_to_datetime
from re import compile as compile_pattern

# Longer times are cut to this many seconds; most servers do not live longer.
MAX_RETRY_AFTER_S = 3600.0

# Numbers with more digits are malformed; even shorter ones exceed the maximum.
SECONDS = compile_pattern(rb"\d{1,15}(\.\d{1,9})?")

RETRY_AFTER = b"retry-after"
DATE = b"date"


def read_retry_after(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[float | None, int]:
    """Returns the longest time in seconds, and the number of invalid values.

    The time is ``None`` without a valid value. Invalid values are those that
    are empty, negative, or neither a number nor a date, and dates in an answer
    without a ``Date`` header.
    """
    values = []
    sent_at = None
    for name, value in headers:
        if name.lower() == RETRY_AFTER:
            values.append(value.strip())
        elif name.lower() == DATE:
            sent_at = _date(value)
    parsed = [_seconds(value, sent_at) for value in values]
    valid_s = [seconds for seconds in parsed if seconds is not None]
    longest_s = max(valid_s, default=None)
    if longest_s is not None:
        longest_s = min(longest_s, MAX_RETRY_AFTER_S)
    return longest_s, len(parsed) - len(valid_s)


def _seconds(value: bytes, sent_at: datetime | None) -> float | None:
    if SECONDS.fullmatch(value):
        return float(value)
    until = _date(value)
    if until is None or sent_at is None:
        return None
    seconds = (until - sent_at).total_seconds()
    return seconds if seconds >= 0.0 else None


def _date(value: bytes) -> datetime | None:
    try:
        parsed = parsedate_to_datetime(value.decode("ascii"))
    except (ValueError, TypeError):
        return None
    # A date without a time zone cannot be compared with one that has one.
    return parsed if parsed.tzinfo is not None else None
