"""Tests of how long servers that owe an answer are silent."""

import pytest

from wasabiwing.server_silence import ServerSilence
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio


class TestSilence:
    """Silences of the servers of one gateway."""

    async def test_only_servers_with_requests_in_flight_are_silent(
        self,
    ) -> None:
        timer = FakeTimer()
        in_flight = {"idle": 0, "busy": 1, "heard": 2}
        silence = ServerSilence(timer, in_flight)
        assert silence.silence_by_id() == {"busy": 0.0, "heard": 0.0}
        await timer.advance(1.0)
        silence.note_heard("heard")
        silence.note_heard("unknown")
        await timer.advance(0.5)
        assert silence.silence_by_id() == {"busy": 1.5, "heard": 0.5}

    async def test_an_answered_server_is_not_silent_since_its_last_request(
        self,
    ) -> None:
        timer = FakeTimer()
        in_flight = {"server": 1}
        silence = ServerSilence(timer, in_flight)
        silence.silence_by_id()
        in_flight["server"] = 0
        await timer.advance(5.0)
        assert silence.silence_by_id() == {}
        in_flight["server"] = 1
        assert silence.silence_by_id() == {"server": 0.0}
