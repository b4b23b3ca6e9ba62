"""Reads what answers to routed requests state about their servers.

An answer from another server than the one asked, or to another request than
the one sent, states nothing about the server asked.
"""

from wasabiwing.brittle_servers import BrittleServers
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.routed_calls import AnswerHead
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.server_limits import ServerLimits
from wasabiwing.server_statements import ServerStatements
from wasabiwing.unknown_headers import UnknownHeaders

# HTTP statuses with which a server may ask for a pause.
PAUSE_STATUSES = (429, 503)

# HTTP status of an answer from another server than the one asked.
MISDIRECTED = 421


class StatementListener:
    """Reads statements of servers from the answer heads of one node."""

    def __init__(
        self,
        node_id: str,
        directory: ServerDirectory,
        statements: ServerStatements,
        limits: ServerLimits,
        brittle: BrittleServers,
        unknown_headers: UnknownHeaders,
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self._statements = statements
        self._limits = limits
        self._brittle = brittle
        self._unknown_headers = unknown_headers
        self._ignored_count = 0

    def note_answer(
        self,
        call: RoutedCall,
        server: RegisteredServer,
        status: int,
        head: AnswerHead,
        sent_at: float,
    ) -> None:
        """Records the statements in an answer's head, before its body.

        ``sent_at`` is the monotonic time at which the request was sent.
        """
        if head.unknown_headers:
            self._unknown_headers.note(server.id, head.unknown_headers)
        asks_pause = (
            status in PAUSE_STATUSES and head.retry_after_s is not None
        )
        if head.unreadable_count:
            self._ignore(call, server, "unreadable value")
        reason = self._reason_to_ignore(call, server, status, head)
        if reason:
            states_number = (head.limit_per_s, head.max_refusals) != (
                None,
                None,
            )
            if head.leaving or asks_pause or states_number:
                self._ignore(call, server, reason)
            return
        if head.attempt_id and not head.limit_unreadable:
            self._limits.note_answer(
                server.id, server.started_ms, head.limit_per_s, sent_at
            )
        if head.attempt_id and not head.max_refusals_unreadable:
            self._brittle.note_answer(
                server.id, server.started_ms, head.max_refusals, sent_at
            )
        if head.leaving:
            self._statements.note_leaving(server.id, server.started_ms)
        if asks_pause and head.retry_after_s is not None:
            self._statements.note_pause(
                server.id, server.started_ms, head.retry_after_s
            )

    def _reason_to_ignore(
        self,
        call: RoutedCall,
        server: RegisteredServer,
        status: int,
        head: AnswerHead,
    ) -> str:
        """Returns why an answer states nothing about a server, or ``""``."""
        if status == MISDIRECTED:
            return "answer of another server"
        if not head.belongs_to(call):
            return "answer to another request, or to none"
        entry = self._directory.get(server.id)
        if entry is not None and entry.started_ms > server.started_ms:
            return "answer of an earlier start"
        return ""

    def _ignore(
        self, call: RoutedCall, server: RegisteredServer, reason: str
    ) -> None:
        self._ignored_count += 1
        log_event(
            Event.SERVER_STATEMENT_IGNORED,
            self._node_id,
            request=call.head.attempt_id,
            server=server.id,
            reason=reason,
            count=self._ignored_count,
        )
