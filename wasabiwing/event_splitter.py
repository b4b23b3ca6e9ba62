"""Cuts a relayed stream of server-sent events at the ends of events.

Only whole events are passed on, so that a stream that breaks off in the
middle of an event can go on at another backend server.
"""

# Longest event, in bytes: a server in trouble may send without end.
MAX_EVENT_BYTES = 262_144

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Whole events, and the id of the last one."""

    def __init__(self, last_event_id: str = "") -> None:
        self._pending = b""
        self.last_event_id = last_event_id

    @property
    def is_event_too_long(self) -> bool:
        """Whether an event has no end within ``MAX_EVENT_BYTES``."""
        return len(self._pending) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of the events that are whole now."""
        self._pending += data
        end = max(
            self._pending.rfind(mark) + len(mark)
            if mark in self._pending
            else 0
            for mark in EVENT_ENDS
        )
        whole, self._pending = self._pending[:end], self._pending[end:]
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
        return whole

    def incomplete_event(self) -> bytes:
        """Returns what follows the last whole event."""
        return self._pending

    def discard_incomplete_event(self) -> None:
        """Forgets an event that broke off."""
        self._pending = b""
