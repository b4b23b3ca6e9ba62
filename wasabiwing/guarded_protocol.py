"""A uvicorn protocol that bounds what one connection sends and holds.

``client_limits`` decides, and ``connection_budget`` knows all connections of
the process; ``header_timeout`` builds the protocols of the programs on it.

The parser gets small pieces, so that the bytes of a head, of trailers and of
chunk extensions are counted before more of them are kept. While a further
request waits for its turn, nothing is parsed or read.
"""

from asyncio import Transport
from collections import deque
from dataclasses import dataclass
from enum import auto
from enum import Enum
from http import HTTPStatus
from typing import Any

from httptools import HttpParserError
from msgspec.json import encode
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from wasabiwing.answer_log import failure_document
from wasabiwing.client_limits import Cause
from wasabiwing.client_limits import framing_excess
from wasabiwing.client_limits import head_excess
from wasabiwing.client_limits import LINE_MEMORY_BYTES
from wasabiwing.client_limits import REFUSAL_BY_CAUSE
from wasabiwing.client_limits import Standing
from wasabiwing.codes import Failure
from wasabiwing.connection_budget import ConnectionBudget

# Bytes that the parser gets at once. It cannot be stopped within them: they
# hold 57 of the shortest requests, of some 3 KB of memory each.
PIECE_BYTES = 1024

# Memory of a request beside its head and body: its state, task and scope.
REQUEST_MEMORY_BYTES = 4096

# What a client still sends after a refusal is dropped for this time in seconds
# and up to this size, so that it can read the refusal before the reset.
LINGER_S = 1.0
LINGER_BYTES = 1_000_000

# Longest length of a body that is read, in digits.
LENGTH_DIGITS = 15

# Time after uvicorn's own limit on idle connections at which one is closed
# whose client has sent empty lines, in seconds.
KEEP_ALIVE_MARGIN_S = 1.0


class Reading(Enum):
    """Which part of a message a connection has reached."""

    BETWEEN = auto()
    HEAD = auto()
    BODY = auto()


@dataclass(slots=True)
class _Request:
    """A request that was not answered yet."""

    # Bytes of its head and body, and what they need beside.
    held_bytes: int = REQUEST_MEMORY_BYTES
    # uvicorn's state; ``None`` before the end of the head.
    cycle: RequestResponseCycle | None = None


class ExcessError(Exception):
    """Stops the parser."""


class _GatedFlow(FlowControl):
    """Flow control that does not resume reading while ``held`` is set."""

    held = False

    def resume_reading(self) -> None:
        if not self.held:
            super().resume_reading()


class GuardedProtocol(HttpToolsProtocol):
    """Counts what a connection sends before it is kept."""

    flow: _GatedFlow
    # Shared by all connections of a process; ``serve_http`` sets it.
    budget = ConnectionBudget()

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.limits = self.budget.limits()
        self._reading = Reading.BETWEEN
        # Bytes of the head, or of the body's framing, as received.
        self._counted_bytes = 0
        self._lines = 0
        self._chunks = 0
        # Bytes that a body of stated length still has. The parser gets them at
        # once, since no other message can be in them.
        self._content_left = 0
        self._stated_length = 0
        # Received bytes that were not parsed yet.
        self._unparsed = b""
        # Requests that were not answered yet, oldest first.
        self._requests: deque[_Request] = deque()
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
        self.flow = _GatedFlow(self.transport)
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
            _abandon(request)
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
                self._hold_reading(True)
                return
            end = begin + max(PIECE_BYTES, self._content_left)
            piece = data[begin:end] if begin or end < len(data) else data
            begin = end
            self._counted_bytes += len(piece)
            self._feed(piece)
            if self._dropped is not None or self.transport.is_closing():
                return
            cause = self._excess()
            if cause is not None:
                self._refuse(cause)
                return
        if self.pipeline:
            self._hold_reading(True)

    def _feed(self, piece: bytes) -> None:
        """Gives some bytes to the parser."""
        try:
            self.parser.feed_data(piece)
        except HttpParserError:
            self._refuse_unparsed()

    def _refuse_unparsed(self) -> None:
        """Refuses bytes that the parser, or a limit, has stopped at."""
        self._refuse(self._excess() or Cause.MALFORMED)

    def _excess(self) -> Cause | None:
        if self._reading is not Reading.BODY:
            if head_excess(self.limits, self._counted_bytes, self._lines):
                return Cause.HEAD
        elif framing_excess(
            self.limits, self._counted_bytes, self._lines, self._chunks
        ):
            return Cause.FRAMING
        return None

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._lines = 0
        self._stated_length = 0
        if self._reading is Reading.HEAD:
            # The head of an offered upgrade is parsed a second time.
            return
        self._reading = Reading.HEAD
        self._message_at = self.loop.time()
        self._requests.append(_Request())

    def on_header(self, name: bytes, value: bytes) -> None:
        self._lines += 1
        if self._lines > self.limits.max_header_lines:
            raise ExcessError
        if self._reading is Reading.BODY:
            # A trailer. Its names may be those of headers, which the scope
            # must not get after the head (RFC 9110, section 6.5.1).
            return
        super().on_header(name, value)
        name, value = self.headers[-1]
        if name == b"content-length" and len(value) <= LENGTH_DIGITS:
            # The parser accepts digits only, and one length.
            self._stated_length = int(value) if value.isdigit() else 0

    def on_headers_complete(self) -> None:
        request = self._requests[-1]
        request.held_bytes += (
            self._counted_bytes + self._lines * LINE_MEMORY_BYTES
        )
        self._start_reading(Reading.BODY)
        self._content_left = self._stated_length
        super().on_headers_complete()
        request.cycle = self.cycle

    def on_chunk_header(self) -> None:
        """Counts a chunk, whose framing is allowed for."""
        self._chunks += 1

    def on_body(self, body: bytes) -> None:
        # The rest of the piece in which the head ended is not counted.
        self._counted_bytes = max(self._counted_bytes - len(body), 0)
        self._content_left = max(self._content_left - len(body), 0)
        if not self.cycle.response_complete:
            self._requests[-1].held_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        self._start_reading(Reading.BETWEEN)
        self._idle_since = self.loop.time()
        super().on_message_complete()

    def _start_reading(self, reading: Reading) -> None:
        self._reading = reading
        self._message_at = self.loop.time()
        self._counted_bytes = 0
        self._lines = 0
        self._chunks = 0
        self._content_left = 0

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
            self._hold_reading(False)
            self._parse(self._unparsed)
        self._note_held()

    def _forget(self, answered: _Request) -> None:
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
        if self._reading is Reading.BETWEEN:
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
        if self._reading is Reading.HEAD:
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
        if refused is not None and not self._has_response(refused):
            _abandon(refused)
        self._release()
        if self._requests:
            last = self._requests[-1].cycle
            assert last is not None
            last.keep_alive = False
            self._hold_reading(True)
        elif self._reading is Reading.BODY and (
            refused is None or self._has_response(refused)
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

    def _take_arriving(self) -> _Request | None:
        """Removes the request that arrives from those to be answered."""
        if not self._arrives_unanswered():
            return None
        if self.pipeline and self.pipeline[0][0] is self._requests[-1].cycle:
            self.pipeline.popleft()
        return self._requests.pop()

    def _answer_refusal(self, cause: Cause) -> None:
        self.transport.write(refusal_response(cause))
        self.transport.write_eof()
        self._hold_reading(False)
        self.loop.call_later(LINGER_S, self.transport.abort)

    def _drop(self, size: int) -> None:
        assert self._dropped is not None
        self._dropped += size
        if self._dropped > LINGER_BYTES:
            self.transport.abort()

    # State.

    @staticmethod
    def _has_response(request: _Request) -> bool:
        """Whether a response to the request was begun."""
        return request.cycle is not None and request.cycle.response_started

    def _arrives_unanswered(self) -> bool:
        """Whether a request arrives that was not answered yet."""
        if self._reading is Reading.BODY:
            return not self.cycle.response_complete
        return self._reading is Reading.HEAD

    def _is_running(self) -> bool:
        """Whether a whole request has no whole response yet."""
        return len(self._requests) > self._arrives_unanswered()

    def _held_bytes(self) -> int:
        arriving = 0
        if self._reading is not Reading.BODY:
            arriving = self._counted_bytes + self._lines * LINE_MEMORY_BYTES
        return (
            arriving
            + sum(request.held_bytes for request in self._requests)
            + len(self._unparsed)
            + self.transport.get_write_buffer_size()
        )

    def _note_held(self) -> None:
        if not self.transport.is_closing():
            self.budget.hold(self, self._held_bytes(), self.loop.time())

    def _hold_reading(self, held: bool) -> None:
        self.flow.held = held
        if held:
            self.flow.pause_reading()
        else:
            self.flow.resume_reading()


def _abandon(request: _Request) -> None:
    """Tells a request's task that its client is gone, and frees its head.

    The event loop may read from all connections before the task runs.
    """
    cycle = request.cycle
    if cycle is None:
        return
    cycle.disconnected = True
    cycle.message_event.set()
    cycle.body = bytearray()
    headers = cycle.scope["headers"]
    assert isinstance(headers, list)
    headers.clear()


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
