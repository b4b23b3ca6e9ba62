"""Tests of the log writer: stalled readers and repeated events."""

from io import BytesIO
from os import fdopen
from os import pipe
from threading import Event as ThreadEvent
from threading import Thread

from msgspec.json import decode

from wasabiwing.events import Event
from wasabiwing.log_writer import BURST_LINES
from wasabiwing.log_writer import LogWriter
from wasabiwing.log_writer import MAX_QUEUED_LINES

# Longer than the writer's thread waits for a processor, in seconds.
TIMEOUT_S = 60.0


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def decode_lines(stream: BytesIO) -> list[dict[str, object]]:
    """Returns the log lines of a stream."""
    return [decode(line) for line in stream.getvalue().splitlines()]


class TestLogWriter:
    """Order of lines, rate limits and stalled readers."""

    def test_lines_are_written_in_order(self) -> None:
        stream = BytesIO()
        writer = LogWriter(stream, Clock())
        writer.start()
        for number in range(20):
            writer({"event": 200, "number": number})
        writer.close(TIMEOUT_S)
        assert [line["number"] for line in decode_lines(stream)] == list(
            range(20)
        )

    def test_repeated_event_is_limited_and_counted(self) -> None:
        stream = BytesIO()
        clock = Clock()
        writer = LogWriter(stream, clock)
        writer.start()
        extra = 50
        for _ in range(int(BURST_LINES) + extra):
            writer({"event": 200, "node": "n"})
        writer({"event": 201, "node": "n"})
        clock.now = 1.0
        writer({"event": 200, "node": "n"})
        writer.close(TIMEOUT_S)
        lines = decode_lines(stream)
        dropped = [
            line
            for line in lines
            if line["event"] == int(Event.LINES_LEFT_OUT)
        ]
        assert [line["count"] for line in dropped] == [extra]
        assert sum(line["event"] == 201 for line in lines) == 1

    def test_stalled_reader_does_not_block_the_caller(self) -> None:
        read_end, write_end = pipe()
        clock = Clock()
        writer = LogWriter(fdopen(write_end, "wb"), clock)
        writer.start()
        done = ThreadEvent()

        def fill_queue() -> None:
            for number in range(3 * MAX_QUEUED_LINES):
                clock.now += 1.0
                writer({"event": 200, "text": "x" * 200, "number": number})
            done.set()

        Thread(target=fill_queue, daemon=True).start()
        assert done.wait(TIMEOUT_S)
        fdopen(read_end, "rb").close()
