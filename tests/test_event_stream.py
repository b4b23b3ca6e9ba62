"""Tests of cutting a relayed stream at the ends of events."""

from hypothesis import given
from hypothesis.strategies import integers
from hypothesis.strategies import lists

from wasabiwing.event_splitter import EventSplitter

STREAM = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode()
    for number in range(1, 8)
)


class TestEventSplitter:
    """Whole events only, whatever the pieces are."""

    @given(lists(integers(1, 40), min_size=1, max_size=60))
    def test_pieces_give_whole_events_in_order(self, sizes: list[int]) -> None:
        cutter = EventSplitter()
        passed = b""
        position = 0
        for size in sizes:
            passed += cutter.feed(STREAM[position : position + size])
            position += size
            assert STREAM.startswith(passed)
            assert passed == b"" or passed.endswith(b"\n\n")
            count = passed.count(b"\n\n")
            assert cutter.last_event_id == (str(count) if count else "")

    def test_broken_event_is_dropped(self) -> None:
        cutter = EventSplitter()
        assert cutter.feed(STREAM[:30]) == STREAM[:21]
        cutter.discard_incomplete_event()
        assert cutter.incomplete_event() == b""
        assert cutter.last_event_id == "1"

    def test_position_of_the_caller_is_kept(self) -> None:
        assert EventSplitter("12").last_event_id == "12"

    def test_other_line_ends(self) -> None:
        cutter = EventSplitter()
        data = b"id: 4\r\ndata: x\r\n\r\nid: 5"
        assert cutter.feed(data) == b"id: 4\r\ndata: x\r\n\r\n"
        assert cutter.last_event_id == "4"
