"""Heads of requests without the upgrade of the protocol that they offer."""

from collections.abc import Iterable

UPGRADE_HEADERS = (b"upgrade", b"http2-settings")

LINE_BREAKS = (b"\r", b"\n")


def head_without_upgrade(
    method: bytes,
    target: bytes,
    http_version: str,
    headers: Iterable[tuple[bytes, bytes]],
) -> bytes | None:
    """Returns a request's head, which ends with an empty line.

    ``headers`` have lower-case names. The result is ``None`` for a request
    that is nothing without its upgrade (``CONNECT``), and for one whose parts
    would not be read again as they were.
    """
    kept = []
    for name, value in headers:
        if name in UPGRADE_HEADERS:
            continue
        if name == b"connection":
            value = _without_upgrade(value)
            if not value:
                continue
        kept.append((name, value))
    parts = [target, *(part for header in kept for part in header)]
    if method == b"CONNECT" or any(
        line_break in part for part in parts for line_break in LINE_BREAKS
    ):
        return None
    lines = [b"%b %b HTTP/%b" % (method, target, http_version.encode())]
    lines += [b"%b: %b" % header for header in kept]
    return b"\r\n".join([*lines, b"", b""])


def _without_upgrade(connection: bytes) -> bytes:
    options = [option.strip() for option in connection.split(b",")]
    return b", ".join(
        option
        for option in options
        if option and option.lower() not in UPGRADE_HEADERS
    )
