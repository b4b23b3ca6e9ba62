"""Parses the ``Server-Limit`` headers of a backend server's answer.

A value is the number of requests per second that the server takes from all
gateways or nodes together, as a decimal number.
"""

from collections.abc import Iterable
from re import compile as compile_pattern

SERVER_LIMIT = b"server-limit"

# Numbers with more digits are malformed.
DECIMAL = compile_pattern(rb"\d{1,9}(\.\d{1,9})?")


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
