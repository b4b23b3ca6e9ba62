"""Splits a stream of bytes into lines, with work in proportion to the bytes.

Load pattern: a line, also one without an end, in very many small pieces.
"""

LINE_END = b"\n"


class LineSplitter:
    """Buffers the incomplete line, of up to ``max_line_bytes`` bytes."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._pending = bytearray()

    @property
    def is_line_too_long(self) -> bool:
        """Whether the incomplete line exceeds the limit."""
        return len(self._pending) > self._max_line_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes; returns the lines that they complete, without ends."""
        if LINE_END not in data:
            self._pending += data
            return []
        first, *lines = data.split(LINE_END)
        lines.insert(0, bytes(self._pending + first))
        self._pending = bytearray(lines.pop())
        return lines
