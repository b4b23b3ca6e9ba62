"""Tests of when a silent attempt is ended."""

from anyio import CancelScope
import pytest

from wasabiwing.attempt_watch import AttemptWatch
from wasabiwing.attempt_watch import OVERTAKEN_LIMIT
from wasabiwing.attempt_watch import SERVER_SILENCE_S
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.server_loads import ServerLoads
from wasabiwing.timers import FakeTimer

PATIENCE_S = 1.0


class Watched:
    """A watch with its clock."""

    def __init__(self) -> None:
        self.timer = FakeTimer()
        self.loads = ServerLoads(self.timer, PrefillRates())
        self.watch = AttemptWatch(self.timer, self.loads)

    async def pass_time(self, seconds: float, server_sends: bool) -> None:
        """Lets time pass in small steps."""
        end = self.timer.now() + seconds
        while self.timer.now() < end:
            await self.timer.advance(0.1)
            if server_sends:
                self.loads.note_heard("server")
            await self.watch.check()


@pytest.mark.anyio
class TestAttemptWatch:
    """Cut-off servers, busy servers and forgotten requests."""

    async def test_attempt_at_a_cut_off_server_is_ended(self) -> None:
        found = Watched()
        with found.watch.watch("server", 0, PATIENCE_S) as attempt:
            await found.pass_time(PATIENCE_S + SERVER_SILENCE_S, False)
        assert attempt.ended_early

    async def test_attempt_at_a_busy_server_goes_on(self) -> None:
        """Found on the bench, bagline, quiet-1: retries doubled the load."""
        found = Watched()
        with found.watch.watch("server", 0, PATIENCE_S) as attempt:
            await found.pass_time(10 * PATIENCE_S, True)
        assert not attempt.ended_early

    async def test_request_that_a_server_forgot_is_ended(self) -> None:
        found = Watched()
        with found.watch.watch("server", 0, PATIENCE_S) as forgotten:
            await found.pass_time(0.2, True)
            for _ in range(OVERTAKEN_LIMIT):
                with found.watch.watch("server", 0, PATIENCE_S) as later:
                    found.watch.note_started(later)
            assert not forgotten.cancel_requested
            await found.pass_time(PATIENCE_S, True)
        assert forgotten.ended_early

    async def test_more_urgent_requests_may_go_first(self) -> None:
        found = Watched()
        with found.watch.watch("server", 4, PATIENCE_S) as waiting:
            await found.pass_time(0.2, True)
            for _ in range(OVERTAKEN_LIMIT + 2):
                with found.watch.watch("server", 0, PATIENCE_S) as urgent:
                    found.watch.note_started(urgent)
            await found.pass_time(PATIENCE_S, True)
        assert not waiting.ended_early

    async def test_attempt_that_was_done_is_not_taken_for_silent(self) -> None:
        """Its caller has the answer; another attempt would be a second one."""
        found = Watched()
        with found.watch.watch("server", 0, PATIENCE_S) as done:
            await found.timer.advance(PATIENCE_S + SERVER_SILENCE_S)
            with CancelScope(shield=True):
                await found.watch.check()
        assert done.cancel_requested
        assert not done.ended_early
