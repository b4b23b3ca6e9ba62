"""Tests of splitting a relayed stream into complete events."""

from hypothesis import given
from hypothesis.strategies import integers
from hypothesis.strategies import lists
import pytest

from wasabiwing.event_splitter import EventSplitter

STREAM = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode()
    for number in range(1, 8)
)


class TestEventSplitter:
    """Complete events only, for chunks of any size."""

    @given(lists(integers(1, 40), min_size=1, max_size=60))
    def test_any_chunks_give_complete_events_in_order(
        self, sizes: list[int]
    ) -> None:
        splitter = EventSplitter()
        relayed = b""
        position = 0
        for size in sizes:
            relayed += splitter.feed(STREAM[position : position + size])
            position += size
            assert STREAM.startswith(relayed)
            assert relayed == b"" or relayed.endswith(b"\n\n")
            count = relayed.count(b"\n\n")
            assert splitter.last_event_id == (str(count) if count else "")

    def test_incomplete_event_is_discarded(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(STREAM[:30]) == STREAM[:21]
        assert splitter.is_inside_event
        splitter.discard_incomplete_event()
        assert not splitter.is_inside_event
        assert splitter.last_event_id == "1"
        assert splitter.feed(STREAM[21:42]) == STREAM[21:42]

    def test_blank_lines_belong_to_no_event(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(STREAM + b"\r\n") == STREAM
        assert not splitter.is_inside_event
        splitter.feed(b"\nid: 8")
        assert splitter.is_inside_event

    def test_last_event_id_of_the_caller_is_kept(self) -> None:
        assert EventSplitter("12").last_event_id == "12"

    def test_events_with_crlf_line_ends(self) -> None:
        splitter = EventSplitter()
        data = b"id: 4\r\ndata: x\r\n\r\nid: 5"
        assert splitter.feed(data) == b"id: 4\r\ndata: x\r\n\r\n"
        assert splitter.last_event_id == "4"


class TestEventCount:
    """What counts as an event."""

    @pytest.mark.parametrize(
        ("data", "count"),
        [
            (b"", 0),
            (b"\n\n", 0),
            (b": comment\n\n", 0),
            (b"id: 1\n\n", 0),
            (b"data: a\n", 0),
            (b"data: a\n\n", 1),
            (b"id: 1\r\ndata: a\r\n\r\n: comment\r\n\r\n", 1),
            (b"data\n\ndata: a\ndata: b\n\n\n", 2),
        ],
    )
    def test_only_complete_events_with_data_are_counted(
        self, data: bytes, count: int
    ) -> None:
        whole = EventSplitter()
        whole.feed(data)
        split = EventSplitter()
        for number in range(len(data)):
            split.feed(data[number : number + 1])
        assert (whole.event_count, split.event_count) == (count, count)
