"""Takes what answers to routed requests say of their servers.

An answer that is not the answer of the server that was asked, or not to the
request that was sent, says nothing about that server.
"""

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.routed_calls import AnswerHead
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.server_statements import ServerStatements

# Statuses with which a server turns a request away for a while.
TURNED_AWAY = (429, 503)

# Another server than the one that was asked has answered.
MISDIRECTED = 421


class StatementListener:
    """Reads the heads of answers for one node."""

    def __init__(
        self,
        node_id: str,
        directory: ServerDirectory,
        statements: ServerStatements,
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self._statements = statements
        self._ignored = 0

    def note_answer(
        self,
        call: RoutedCall,
        server: RegisteredServer,
        status: int,
        head: AnswerHead,
    ) -> None:
        """Takes in the head of an answer, before its body is read."""
        turned_away = status in TURNED_AWAY and head.retry_after_s is not None
        if head.unreadable_count:
            self._ignore(call, server, "unreadable value")
        if not head.leaving and not turned_away:
            return
        reason = self._foreign(call, server, status, head)
        if reason:
            self._ignore(call, server, reason)
            return
        if head.leaving:
            self._statements.note_leaving(server.id, server.started_ms)
        if turned_away and head.retry_after_s is not None:
            self._statements.note_pause(
                server.id, server.started_ms, head.retry_after_s
            )

    def _foreign(
        self,
        call: RoutedCall,
        server: RegisteredServer,
        status: int,
        head: AnswerHead,
    ) -> str:
        """Returns why an answer says nothing about a server, if so."""
        if status == MISDIRECTED:
            return "answer of another server"
        if head.attempt_id and head.attempt_id != call.head.attempt_id:
            return "answer to another request"
        entry = self._directory.get(server.id)
        if entry is not None and entry.started_ms > server.started_ms:
            return "answer of an earlier start"
        return ""

    def _ignore(
        self, call: RoutedCall, server: RegisteredServer, reason: str
    ) -> None:
        self._ignored += 1
        log_event(
            Event.SERVER_STATEMENT_IGNORED,
            self._node_id,
            request=call.head.attempt_id,
            server=server.id,
            reason=reason,
            count=self._ignored,
        )
