"""Counts headers of backend servers' answers that this program does not read.

A server that states something new is heard only after an upgrade. Until then
the count by name, and a log line for each server and name, show that it spoke.
"""

from collections.abc import Callable
from collections.abc import Iterable

from wasabiwing.events import Event
from wasabiwing.events import log_event

# Largest number of header names that are counted apart; further ones are
# counted as ``OTHER_NAMES``.
MAX_NAMES = 32

OTHER_NAMES = "other"

# Largest number of pairs of server and name that are logged.
MAX_LOGGED = 1000

# Characters of a header's value in a log line.
LOGGED_VALUE_CHARACTERS = 64

# Response headers of the HTTP standards that concern only the caller.
STANDARD_HEADERS = frozenset(
    {
        b"accept-ranges",
        b"age",
        b"allow",
        b"cache-control",
        b"connection",
        b"content-disposition",
        b"content-encoding",
        b"content-language",
        b"content-length",
        b"content-location",
        b"content-range",
        b"content-type",
        b"date",
        b"etag",
        b"expires",
        b"keep-alive",
        b"last-modified",
        b"link",
        b"location",
        b"pragma",
        b"retry-after",
        b"server",
        b"set-cookie",
        b"trailer",
        b"transfer-encoding",
        b"vary",
        b"via",
        b"warning",
        b"www-authenticate",
    }
)


class UnknownHeaders:
    """Unknown headers in the answers that one process has received."""

    def __init__(
        self, node_id: str, count: Callable[[str], None] = lambda name: None
    ) -> None:
        self._node_id = node_id
        self._count = count
        self._names: set[str] = set()
        self._logged: set[tuple[str, str]] = set()

    def note(
        self, server_id: str, headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Counts the unknown headers of one answer of a server."""
        for raw_name, value in headers:
            name = raw_name.decode("latin-1").lower()
            if len(self._names) < MAX_NAMES:
                self._names.add(name)
            self._count(name if name in self._names else OTHER_NAMES)
            key = (server_id, name)
            if key in self._logged or len(self._logged) >= MAX_LOGGED:
                continue
            self._logged.add(key)
            text = value.decode("latin-1")[:LOGGED_VALUE_CHARACTERS]
            log_event(
                Event.ANSWER_HEADER_UNKNOWN,
                self._node_id,
                server=server_id,
                header=name,
                value=text,
            )
