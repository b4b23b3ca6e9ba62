"""Parses ``Server-Limit`` and ``Server-Brittle`` of a server's answer.

A limit is the number of requests per second that the server takes from all
gateways or nodes together, as a decimal number. A brittle server names the
whole number of requests that it can refuse in a second without a crash.
"""

from collections.abc import Iterable
from re import compile as compile_pattern

SERVER_LIMIT = b"server-limit"
SERVER_BRITTLE = b"server-brittle"

# Numbers with more digits are malformed.
DECIMAL = compile_pattern(rb"\d{1,9}(\.\d{1,9})?")
WHOLE = compile_pattern(rb"\d{1,9}")


def read_request_limit(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[float | None, int]:
    """Returns the lowest limit per second, and the number of invalid values.

    The limit is ``None`` without a valid value.
    """
    values = [
        value.strip()
        for name, value in headers
        if name.lower() == SERVER_LIMIT
    ]
    valid = [float(value) for value in values if DECIMAL.fullmatch(value)]
    return min(valid, default=None), len(values) - len(valid)


def read_max_refusals(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[int | None, int]:
    """Returns how many requests a brittle server can refuse in a second.

    That is the lowest valid value; ``None`` without one. The second result
    is the number of invalid values.
    """
    values = [
        value.strip()
        for name, value in headers
        if name.lower() == SERVER_BRITTLE
    ]
    valid = [int(value) for value in values if WHOLE.fullmatch(value)]
    return min(valid, default=None), len(values) - len(valid)
