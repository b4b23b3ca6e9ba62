"""Counts the message that a client sends, before its bytes are kept.

State of one connection for ``guarded_protocol``; ``client_limits`` decides on
the counts.
"""

from dataclasses import dataclass
from enum import auto
from enum import Enum

from wasabiwing.client_limits import Cause
from wasabiwing.client_limits import ClientLimits
from wasabiwing.client_limits import framing_excess
from wasabiwing.client_limits import head_excess
from wasabiwing.client_limits import LINE_MEMORY_BYTES

# Longest stated length of a body that is read, in digits.
LENGTH_DIGITS = 15


class Reading(Enum):
    """Which part of a message a connection has reached."""

    BETWEEN = auto()
    HEAD = auto()
    BODY = auto()


@dataclass(slots=True)
class MessageCount:
    """What has arrived of a message, or of the empty lines before it."""

    reading: Reading = Reading.BETWEEN
    # Bytes of the head, or of the body's framing, as received.
    size: int = 0
    lines: int = 0
    chunks: int = 0
    # Bytes that a body of stated length still has.
    content_left: int = 0
    # Length of the body that the head states.
    stated_length: int = 0

    def begin_head(self) -> None:
        """Begins the head; also of one that is parsed a second time."""
        self.reading = Reading.HEAD
        self.lines = 0
        self.stated_length = 0

    def note_length(self, value: bytes) -> None:
        """Notes a Content-Length; the parser refuses malformed ones."""
        if len(value) <= LENGTH_DIGITS and value.isdigit():
            self.stated_length = int(value)

    def begin_body(self) -> None:
        """Ends the head."""
        self._restart(Reading.BODY)
        self.content_left = self.stated_length

    def add_content(self, size: int) -> None:
        """Takes bytes of content out of the count of framing.

        The rest of the piece in which the head ended was never counted.
        """
        self.size = max(self.size - size, 0)
        self.content_left = max(self.content_left - size, 0)

    def end(self) -> None:
        """Ends the message."""
        self._restart(Reading.BETWEEN)

    def head_memory(self) -> int:
        """Returns the memory of the head as far as it has arrived."""
        if self.reading is Reading.BODY:
            return 0
        return self.size + self.lines * LINE_MEMORY_BYTES

    def excess(self, limits: ClientLimits) -> Cause | None:
        """Returns the limit that the message exceeds."""
        if self.reading is not Reading.BODY:
            if head_excess(limits, self.size, self.lines):
                return Cause.HEAD
        elif framing_excess(limits, self.size, self.lines, self.chunks):
            return Cause.FRAMING
        return None

    def _restart(self, reading: Reading) -> None:
        self.reading = reading
        self.size = 0
        self.lines = 0
        self.chunks = 0
        self.content_left = 0
