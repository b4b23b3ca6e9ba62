"""A uvicorn protocol that bounds what one connection sends and holds.

``client_limits`` decides, and ``connection_budget`` knows all connections of
the process; ``header_timeout`` builds the protocols of the programs on it.

The parser gets small pieces, so that the bytes of a head, of trailers and of
chunk extensions are counted before more of them are kept. While a further
request waits for its turn, nothing is parsed or read.
"""

from asyncio import Transport
from collections import deque
from http import HTTPStatus
from typing import Any

from httptools import HttpParserError
from msgspec.json import encode
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from wasabiwing.answer_log import failure_document
from wasabiwing.client_limits import Cause
from wasabiwing.client_limits import REFUSAL_BY_CAUSE
from wasabiwing.client_limits import Standing
from wasabiwing.codes import Failure
from wasabiwing.connection_budget import ConnectionBudget
from wasabiwing.message_count import MessageCount
from wasabiwing.message_count import Reading
from wasabiwing.pending_requests import GatedFlow
from wasabiwing.pending_requests import PendingRequest

# Bytes that the parser gets at once. It cannot be stopped within them: they
# hold 57 of the shortest requests, of some 3 KB of memory each.
PIECE_BYTES = 1024

# What a client still sends after a refusal is dropped for this time in seconds
# and up to this size, so that it can read the refusal before the reset.
LINGER_S = 1.0
LINGER_BYTES = 1_000_000

# Time after uvicorn's own limit on idle connections at which one is closed
# whose client has sent empty lines, in seconds.
KEEP_ALIVE_MARGIN_S = 1.0


class ExcessError(Exception):
    """Stops the parser."""


class GuardedProtocol(HttpToolsProtocol):
    """Counts what a connection sends before it is kept."""

    flow: GatedFlow
    # Shared by all connections of a process; ``serve_http`` sets it.
    budget = ConnectionBudget()

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.limits = self.budget.limits()
        self._count = MessageCount()
        # Received bytes that were not parsed yet.
        self._unparsed = b""
        # Requests that were not answered yet, oldest first.
        self._requests: deque[PendingRequest] = deque()
        self._answered = 0
        self._opened_at = self.loop.time()
        # Since when no request has run or begun to arrive.
        self._idle_since = self._opened_at
        self._message_at = self._opened_at
        self._data_at = self._opened_at
        # Size of the unread response when it last changed, and when.
        self._unread_bytes = 0
        self._unread_at = self._opened_at
        # Bytes that are dropped after a refusal; ``None`` without one.
        self._dropped: int | None = None

    def connection_made(  # type: ignore[override]
        self, transport: Transport
    ) -> None:
        super().connection_made(transport)
        self.flow = GatedFlow(self.transport)
        self.budget.add(self, self.loop.time())

    def connection_lost(self, exc: Exception | None) -> None:
        self.budget.remove(self)
        self._unparsed = b""
        self.pipeline.clear()
        super().connection_lost(exc)

    # What the budget asks.

    def standing(self) -> Standing:
        """Returns what the connection has delivered and holds."""
        return Standing(
            self._is_running(),
            self._answered,
            self._held_bytes(),
            self._opened_at,
        )

    def cut(self) -> None:
        """Closes the connection at once."""
        self._dropped = 0
        for request in self._requests:
            request.abandon()
        self._requests.clear()
        self.pipeline.clear()
        self._release()
        self.transport.abort()

    # Received bytes.

    def data_received(self, data: bytes) -> None:
        """Parses received bytes piece by piece."""
        if self._dropped is not None:
            self._drop(len(data))
            return
        self._data_at = self.loop.time()
        self._unset_keepalive_if_required()
        self._parse(self._unparsed + data if self._unparsed else data)
        self._note_held()

    def _parse(self, data: bytes) -> None:
        self._unparsed = b""
        begin = 0
        while begin < len(data):
            if self.pipeline:
                # Copied, so that the bytes before are no longer held.
                self._unparsed = data[begin:]
                self.flow.hold(True)
                return
            # No other message can be in a body of stated length.
            end = begin + max(PIECE_BYTES, self._count.content_left)
            piece = data[begin:end] if begin or end < len(data) else data
            begin = end
            self._count.size += len(piece)
            self._feed(piece)
            if self._dropped is not None or self.transport.is_closing():
                return
            cause = self._count.excess(self.limits)
            if cause is not None:
                self._refuse(cause)
                return
        if self.pipeline:
            self.flow.hold(True)

    def _feed(self, piece: bytes) -> None:
        """Gives some bytes to the parser."""
        try:
            self.parser.feed_data(piece)
        except HttpParserError:
            self._refuse_unparsed()

    def _refuse_unparsed(self) -> None:
        """Refuses bytes that the parser, or a limit, has stopped at."""
        self._refuse(self._count.excess(self.limits) or Cause.MALFORMED)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        super().on_message_begin()
        is_second_time = self._count.reading is Reading.HEAD
        self._count.begin_head()
        if is_second_time:
            # The head of an offered upgrade.
            return
        self._message_at = self.loop.time()
        self._requests.append(PendingRequest())

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count.lines += 1
        if self._count.lines > self.limits.max_header_lines:
            raise ExcessError
        if self._count.reading is Reading.BODY:
            # A trailer. Its names may be those of headers, which the scope
            # must not get after the head (RFC 9110, section 6.5.1).
            return
        super().on_header(name, value)
        name, value = self.headers[-1]
        if name == b"content-length":
            self._count.note_length(value)

    def on_headers_complete(self) -> None:
        request = self._requests[-1]
        # Raises if the target is malformed.
        super().on_headers_complete()
        request.cycle = self.cycle
        request.held_bytes += self._count.head_memory()
        self._count.begin_body()
        self._message_at = self.loop.time()

    def on_chunk_header(self) -> None:
        """Counts a chunk, whose framing is allowed for."""
        self._count.chunks += 1

    def on_body(self, body: bytes) -> None:
        self._count.add_content(len(body))
        if not self.cycle.response_complete:
            self._requests[-1].held_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        self._count.end()
        self._idle_since = self.loop.time()
        super().on_message_complete()

    # Responses.

    def on_response_complete(self) -> None:
        self._answered += 1
        self._idle_since = self.loop.time()
        if self._requests:
            self._forget(self._requests.popleft())
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if not self.pipeline and self._dropped is None:
            self.flow.hold(False)
            self._parse(self._unparsed)
        self._note_held()

    def _forget(self, answered: PendingRequest) -> None:
        """Drops the head of a request, which an idle connection would keep."""
        cycle = answered.cycle
        if cycle is None:
            return
        if self.scope is cycle.scope:
            self.headers = []
            self.scope = {}  # type: ignore[typeddict-item]
        cycle.scope = {}  # type: ignore[typeddict-item]

    def pause_writing(self) -> None:
        super().pause_writing()
        self._note_held()

    def send_400_response(self, msg: str) -> None:
        """Refuses bytes that are no request; ``msg`` is uvicorn's text."""
        self._refuse(Cause.MALFORMED)

    # Refusals.

    def sweep(self, now: float) -> None:
        """Ends the connection if its client is too slow at ``now``.

        ``serve_http`` calls it some times a second.
        """
        unread = self.transport.get_write_buffer_size()
        if not unread or unread != self._unread_bytes:
            self._unread_bytes = unread
            self._unread_at = now
        elif now - self._unread_at > self.limits.unread_timeout_s:
            self.budget.refused(Cause.UNREAD, now)
            self.cut()
            return
        if self.transport.is_closing() or self._dropped is not None:
            return
        self._note_held()
        if self._count.reading is Reading.BETWEEN:
            # A message that arrives keeps the limits of its beginning.
            self.limits = self.budget.limits()
        cause = self._slowness(now)
        if cause is Cause.SILENT:
            self.budget.refused(cause, now)
            self.transport.close()
        elif cause is not None:
            self._refuse(cause)

    def _slowness(self, now: float) -> Cause | None:
        """Returns the limit on time that the client has exceeded."""
        limits = self.limits
        if self._count.reading is Reading.BETWEEN:
            limit_s = limits.silence_timeout_s
            if self._answered:
                # Empty lines have ended uvicorn's own timer.
                limit_s = self.timeout_keep_alive + KEEP_ALIVE_MARGIN_S
            if not self._requests and now - self._idle_since > limit_s:
                return Cause.SILENT
            return None
        if self._is_running():
            # Earlier requests run, and this one may not be read meanwhile.
            self._message_at = now
        if self.flow.read_paused:
            self._data_at = now
        if self._count.reading is Reading.HEAD:
            if now - self._message_at > limits.header_timeout_s:
                return Cause.SLOW_HEAD
        elif (
            now - self._message_at > limits.body_timeout_s
            or now - self._data_at > limits.body_silence_s
        ):
            return Cause.SLOW_BODY
        return None

    def _refuse(self, cause: Cause) -> None:
        """Refuses the message that arrives, and ends the connection.

        Requests before it are answered first. The connection ends with the
        last of these answers, and the refusal is left out.
        """
        if self._dropped is not None:
            return
        self._dropped = 0
        self.budget.refused(cause, self.loop.time())
        refused = self._take_arriving()
        if refused is not None and not refused.has_response():
            refused.abandon()
        self._release()
        if self._requests:
            last = self._requests[-1].cycle
            assert last is not None
            last.keep_alive = False
            self.flow.hold(True)
        elif self._count.reading is Reading.BODY and (
            refused is None or refused.has_response()
        ):
            self.transport.close()
        else:
            self._answer_refusal(cause)

    def _release(self) -> None:
        """Drops what has arrived of a message that is not parsed further."""
        self._unparsed = b""
        self.headers = []
        self.scope = {}  # type: ignore[typeddict-item]
        # Holds a part of a header line.
        self.parser = None  # type: ignore[assignment]

    def _take_arriving(self) -> PendingRequest | None:
        """Removes the request that arrives from those to be answered."""
        if not self._arrives_unanswered():
            return None
        if self.pipeline and self.pipeline[0][0] is self._requests[-1].cycle:
            self.pipeline.popleft()
        return self._requests.pop()

    def _answer_refusal(self, cause: Cause) -> None:
        self.transport.write(refusal_response(cause))
        self.transport.write_eof()
        self.flow.hold(False)
        self.loop.call_later(LINGER_S, self.transport.abort)

    def _drop(self, size: int) -> None:
        assert self._dropped is not None
        self._dropped += size
        if self._dropped > LINGER_BYTES:
            self.transport.abort()

    # State.

    def _arrives_unanswered(self) -> bool:
        """Whether a request arrives that was not answered yet."""
        if self._count.reading is Reading.BODY:
            return not self.cycle.response_complete
        return self._count.reading is Reading.HEAD

    def _is_running(self) -> bool:
        """Whether a whole request has no whole response yet."""
        return len(self._requests) > self._arrives_unanswered()

    def _held_bytes(self) -> int:
        return (
            self._count.head_memory()
            + sum(request.held_bytes for request in self._requests)
            + len(self._unparsed)
            + self.transport.get_write_buffer_size()
        )

    def _note_held(self) -> None:
        if not self.transport.is_closing():
            self.budget.hold(self, self._held_bytes(), self.loop.time())


def refusal_response(cause: Cause) -> bytes:
    """Returns the whole response to a request that was refused."""
    status, code = REFUSAL_BY_CAUSE[cause]
    body = encode(failure_document(Failure(code)))
    return (
        b"HTTP/1.1 %d %b\r\n"
        b"content-type: application/json\r\n"
        b"content-length: %d\r\n"
        b"connection: close\r\n\r\n%b"
    ) % (status, HTTPStatus(status).phrase.encode(), len(body), body)
