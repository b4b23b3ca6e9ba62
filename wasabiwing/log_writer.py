"""Writes log lines from a thread of its own, with a bounded queue.

A stalled reader of the log blocks only that thread. Lines that do not fit
into the queue are dropped, and their number is logged when there is room
again. Each kind of event has a rate limit, so that a repeated event does not
displace the others.
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

# Maximum number of lines that wait for the writer's thread.
MAX_QUEUED_LINES = 4000

# Rate limit of one kind of event, in lines per second, and the burst that it
# allows, in lines.
MAX_LINES_PER_S = 200.0
BURST_LINES = 400.0

# Time for which lines are collected into one write, in seconds.
BATCH_PERIOD_S = 0.05

# Time that the end of the program waits for the reader of the log, in seconds.
CLOSE_TIMEOUT_S = 0.5

LogMessage = Mapping[str, object]


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one kind of event; a token is one line."""

    tokens: float
    refilled_at: float


class LogWriter:
    """A destination of eliot's log messages that never blocks its caller."""

    def __init__(self, stream: BinaryIO, clock: Callable[[], float]) -> None:
        self._stream = stream
        self._clock = clock
        self._queue: Queue[bytes | None] = Queue(MAX_QUEUED_LINES)
        self._bucket_by_event: dict[object, _TokenBucket] = {}
        self._dropped_by_event: Counter[object] = Counter()
        self._thread = Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Starts the thread that writes the lines."""
        self._thread.start()

    def __call__(self, message: LogMessage) -> None:
        """Queues a message; drops it above its event's rate limit."""
        event = message.get("event", 0)
        if not self._take_token(event):
            self._dropped_by_event[event] += 1
            return
        self._log_dropped(event, message)
        try:
            self._queue.put_nowait(encode(message) + b"\n")
        except Full:
            self._dropped_by_event[event] += 1

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Writes the queued lines; gives up if the reader stalls.

        Each of the two steps waits for ``timeout_s`` seconds at most.
        """
        try:
            self._queue.put(None, timeout=timeout_s)
        except Full:
            return
        self._thread.join(timeout_s)

    def _log_dropped(self, event: object, message: LogMessage) -> None:
        count = self._dropped_by_event.get(event, 0)
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
        del self._dropped_by_event[event]

    def _take_token(self, event: object) -> bool:
        now = self._clock()
        bucket = self._bucket_by_event.get(event)
        if bucket is None:
            bucket = self._bucket_by_event[event] = _TokenBucket(
                BURST_LINES, now
            )
        new_tokens = (now - bucket.refilled_at) * MAX_LINES_PER_S
        bucket.tokens = min(bucket.tokens + new_tokens, BURST_LINES)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _run(self) -> None:
        while True:
            lines = [self._queue.get()]
            sleep(BATCH_PERIOD_S)
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
                # The log's reader is gone, and there is no other place to
                # report it.
                return
            if None in lines:
                return
