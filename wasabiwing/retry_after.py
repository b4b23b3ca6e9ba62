"""Reads ``Retry-After`` of a backend server's answer.

A value is a number of seconds, also with a fraction, or an HTTP date, which is
compared with the ``Date`` of the same answer: the clocks of two VMs differ.
"""

from collections.abc import Iterable
from datetime import datetime
from email.utils import parsedate_to_datetime
from re import compile as compile_pattern

# Longer times are not believed, in seconds; they would outlast most servers.
MAX_RETRY_AFTER_S = 3600.0

# Digits beyond the most that is believed say nothing more.
SECONDS = compile_pattern(rb"\d{1,15}(\.\d{1,9})?")

RETRY_AFTER = b"retry-after"
DATE = b"date"


def read_retry_after(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[float | None, int]:
    """Returns the longest time in seconds, and how many values were ignored.

    Ignored are values that are empty, negative, or neither a number nor a
    date, and a date without a ``Date`` to compare it with.
    """
    values = []
    sent_at = None
    for name, value in headers:
        if name.lower() == RETRY_AFTER:
            values.append(value.strip())
        elif name.lower() == DATE:
            sent_at = _date(value)
    found = [_seconds(value, sent_at) for value in values]
    times = [seconds for seconds in found if seconds is not None]
    longest = max(times, default=None)
    if longest is not None:
        longest = min(longest, MAX_RETRY_AFTER_S)
    return longest, len(found) - len(times)


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
        found = parsedate_to_datetime(value.decode("ascii"))
    except (ValueError, TypeError):
        return None
    # A date without a zone cannot be compared with one that has one.
    return found if found.tzinfo is not None else None
