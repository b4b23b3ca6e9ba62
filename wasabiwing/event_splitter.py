"""Splits a stream of server-sent events into complete events.

Only complete events are relayed, so that a stream that breaks off within an
event can be resumed at another backend server.
"""

# Longest event, in bytes: a faulty server may send an event without end.
MAX_EVENT_BYTES = 262_144

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


# Bytes at the end of what was searched in which an event's end may begin.
OVERLAP_BYTES = max(map(len, EVENT_ENDS)) - 1


class EventSplitter:
    """Buffers the incomplete event and keeps the last complete one's id.

    The work is in proportion to the bytes, however small their pieces are.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self._pending = bytearray()
        self.last_event_id = last_event_id
        # Number of complete events so far. Comments and blank lines are none.
        self.event_count = 0

    @property
    def is_event_too_long(self) -> bool:
        """Whether the incomplete event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._pending) > MAX_EVENT_BYTES

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        # Blank lines between events belong to none of them.
        return bool(self._pending.strip(b"\r\n"))

    @property
    def incomplete_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes; returns those of the events that they complete."""
        pending = self._pending
        # The incomplete event holds no end, so only new bytes can bring one.
        searched = max(len(pending) - OVERLAP_BYTES, 0)
        pending += data
        end = 0
        for event_end in EVENT_ENDS:
            found = pending.rfind(event_end, searched)
            if found >= 0:
                end = max(end, found + len(event_end))
        if not end:
            return b""
        complete = bytes(pending[:end])
        del pending[:end]
        self._note_events(complete)
        return complete

    def discard_incomplete_event(self) -> None:
        """Discards the bytes after the last complete event."""
        self._pending.clear()

    def _note_events(self, complete: bytes) -> None:
        has_data = False
        for line in complete.splitlines():
            name, _, value = line.partition(b":")
            if name == b"id":
                self.last_event_id = value.strip().decode("latin-1")
            elif name == b"data":
                has_data = True
            elif not line:
                self.event_count += has_data
                has_data = False
