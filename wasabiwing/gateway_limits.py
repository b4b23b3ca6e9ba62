"""Reads on a gateway which limits answers of backend servers name."""

from collections.abc import Callable

from wasabiwing.cluster_view import ClusterView
from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.gateway_directory import GatewayDirectory
from wasabiwing.gateway_directory import LIVE_S
from wasabiwing.http_client import AnswerObserver
from wasabiwing.http_client import REQUEST_STARTED_HEADER
from wasabiwing.request_limits import read_request_limit
from wasabiwing.request_limits import SERVER_LIMIT
from wasabiwing.server_limits import ServerLimits
from wasabiwing.server_statements import UNKNOWN_START
from wasabiwing.timers import TimerService
from wasabiwing.unknown_headers import STANDARD_HEADERS
from wasabiwing.unknown_headers import UnknownHeaders

KNOWN_HEADERS = STANDARD_HEADERS | {
    SERVER_LIMIT,
    REQUEST_STARTED_HEADER,
    b"x-attempt",
    b"x-request-id",
    b"x-stream-id",
}

Headers = tuple[tuple[bytes, bytes], ...]


class AnswerHeads:
    """Reads the heads of the answers that one gateway gets from servers."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        view: ClusterView,
        limits: ServerLimits,
        count_unknown: Callable[[str], None],
        note_heard: Callable[[str], None] = lambda server_id: None,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._view = view
        self._limits = limits
        self._note_heard = note_heard
        self._unknown = UnknownHeaders(node_id, count_unknown)
        self._index: ConfigurationIndex | None = None
        self._server_id_by_address: dict[str, str] = {}

    def observe(self, address: str) -> AnswerObserver:
        """Returns the function that reads the answer to a request.

        It is called when the request is about to be sent to an address.
        """
        server_id = self._server_id(address)
        sent_at = self._timer.now()

        def read(headers: Headers) -> None:
            if server_id is not None:
                self._note_heard(server_id)
                self._read(server_id, headers, sent_at)

        return read

    def _read(self, server_id: str, headers: Headers, sent_at: float) -> None:
        unknown = [
            header
            for header in headers
            if header[0].lower() not in KNOWN_HEADERS
        ]
        if unknown:
            self._unknown.note(server_id, unknown)
        per_s, unreadable = read_request_limit(headers)
        if unreadable:
            log_event(
                Event.SERVER_STATEMENT_IGNORED,
                self._node_id,
                server=server_id,
                reason="unreadable value",
            )
            if per_s is None:
                return
        self._limits.note_answer(server_id, UNKNOWN_START, per_s, sent_at)

    def _server_id(self, address: str) -> str | None:
        index = self._view.index
        if index is not self._index and index is not None:
            self._index = index
            self._server_id_by_address = {
                server.address: server_id
                for server_id, server in index.server_by_id.items()
            }
        return self._server_id_by_address.get(address)


def live_inboxes(directory: GatewayDirectory) -> dict[str, str]:
    """Returns the inboxes of the live gateways by node id."""
    return {
        entry.node_id: entry.address
        for entry in directory.entries()
        if entry.age_s < LIVE_S and not entry.leaving
    }


def live_share(directory: GatewayDirectory) -> float:
    """Returns the share of the listed gateways that are live."""
    listed = [entry for entry in directory.entries() if not entry.leaving]
    live = len(live_inboxes(directory))
    return max(live, 1) / max(len(listed), 1)
