"""Writes log lines from a thread of its own, bounded in number.

A reader that stalls stops only that thread: lines that find no room are left
out, and how many is logged once there is room again. Each kind of event has
a rate, so that one that repeats does not crowd out the others.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from queue import Empty
from queue import Full
from queue import Queue
from threading import Thread
from time import sleep
from typing import BinaryIO

from msgspec.json import encode

from wasabiwing.events import Event

# Lines that wait for the writer at most.
MAX_QUEUED_LINES = 4000

# Lines of one kind of event per second, and at once after a quiet time.
LINES_PER_S = 200.0
BURST_LINES = 400.0

# Lines are collected for this long before they are written, in seconds.
COLLECT_S = 0.05

# Longest time that the end of the program waits for the reader, in seconds.
CLOSE_TIMEOUT_S = 0.5

LogMessage = Mapping[str, object]


@dataclass(slots=True)
class _Rate:
    """What one kind of event may still write."""

    level: float
    refilled_at: float


class LogWriter:
    """A destination of log messages; never blocks its caller."""

    def __init__(self, stream: BinaryIO, clock: Callable[[], float]) -> None:
        self._stream = stream
        self._clock = clock
        self._queue: Queue[bytes | None] = Queue(MAX_QUEUED_LINES)
        self._rate_by_event: dict[object, _Rate] = {}
        self._left_out: Counter[object] = Counter()
        self._thread = Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def __call__(self, message: LogMessage) -> None:
        """Takes a message."""
        event = message.get("event", 0)
        if not self._within_rate(event):
            self._left_out[event] += 1
            return
        self._tell_left_out(event, message)
        try:
            self._queue.put_nowait(encode(message) + b"\n")
        except Full:
            self._left_out[event] += 1

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Writes what is left, unless the reader stalls for so long."""
        try:
            self._queue.put(None, timeout=timeout_s)
        except Full:
            return
        self._thread.join(timeout_s)

    def _tell_left_out(self, event: object, message: LogMessage) -> None:
        count = self._left_out.get(event, 0)
        if not count:
            return
        line = {
            "event": int(Event.LINES_LEFT_OUT),
            "message_type": Event.LINES_LEFT_OUT.name.lower(),
            "node": message.get("node", ""),
            "of_event": event,
            "count": count,
        }
        try:
            self._queue.put_nowait(encode(line) + b"\n")
        except Full:
            return
        del self._left_out[event]

    def _within_rate(self, event: object) -> bool:
        now = self._clock()
        rate = self._rate_by_event.get(event)
        if rate is None:
            rate = self._rate_by_event[event] = _Rate(BURST_LINES, now)
        added = (now - rate.refilled_at) * LINES_PER_S
        rate.level = min(rate.level + added, BURST_LINES)
        rate.refilled_at = now
        if rate.level < 1.0:
            return False
        rate.level -= 1.0
        return True

    def _run(self) -> None:
        while True:
            lines = [self._queue.get()]
            sleep(COLLECT_S)
            while True:
                try:
                    lines.append(self._queue.get_nowait())
                except Empty:
                    break
            written = b"".join(line for line in lines if line is not None)
            try:
                self._stream.write(written)
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads the log any more; there is no other place to
                # say so.
                return
            if None in lines:
                return
