"""Tests of ending silent attempts."""

from math import inf

from anyio import CancelScope
import pytest

from wasabiwing.attempt_watch import ASK_AGAIN_S
from wasabiwing.attempt_watch import AttemptWatch
from wasabiwing.attempt_watch import OVERTAKEN_LIMIT
from wasabiwing.attempt_watch import SERVER_SILENCE_S
from wasabiwing.attempt_watch import UNREACHABLE_SILENCE_S
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.server_loads import ServerLoads
from wasabiwing.timers import FakeTimer

SILENCE_LIMIT_S = 1.0


class Watched:
    """Attempt watch with a fake timer."""

    def __init__(self) -> None:
        self.timer = FakeTimer()
        self.loads = ServerLoads(self.timer, PrefillRates())
        self.watch = AttemptWatch(self.timer, self.loads)

    async def pass_time(self, seconds: float, server_sends: bool) -> None:
        """Advances the time in small steps, with a check after each."""
        end = self.timer.now() + seconds
        while self.timer.now() < end:
            await self.timer.advance(0.1)
            if server_sends:
                self.loads.note_heard("server")
            await self.watch.check()


@pytest.mark.anyio
class TestAttemptWatch:
    """Attempts at cut-off, busy and forgetful servers."""

    async def test_attempt_at_a_cut_off_server_is_ended(self) -> None:
        found = Watched()
        with found.watch.watch("server", 0, SILENCE_LIMIT_S) as attempt:
            await found.pass_time(SILENCE_LIMIT_S + SERVER_SILENCE_S, False)
        assert attempt.ended_early

    async def test_attempt_at_a_busy_server_goes_on(self) -> None:
        """Guards against retries that double the load of a busy server."""
        found = Watched()
        with found.watch.watch("server", 0, SILENCE_LIMIT_S) as attempt:
            await found.pass_time(10 * SILENCE_LIMIT_S, True)
        assert not attempt.ended_early

    async def test_request_that_a_server_forgot_is_ended(self) -> None:
        found = Watched()
        with found.watch.watch("server", 0, SILENCE_LIMIT_S) as forgotten:
            await found.pass_time(0.2, True)
            for _ in range(OVERTAKEN_LIMIT):
                with found.watch.watch("server", 0, SILENCE_LIMIT_S) as later:
                    found.watch.note_started(later)
            assert not forgotten.cancel_requested
            await found.pass_time(SILENCE_LIMIT_S, True)
        assert forgotten.ended_early

    async def test_more_urgent_requests_may_go_first(self) -> None:
        found = Watched()
        with found.watch.watch("server", 4, SILENCE_LIMIT_S) as waiting:
            await found.pass_time(0.2, True)
            for _ in range(OVERTAKEN_LIMIT + 2):
                with found.watch.watch("server", 0, SILENCE_LIMIT_S) as urgent:
                    found.watch.note_started(urgent)
            await found.pass_time(SILENCE_LIMIT_S, True)
        assert not waiting.ended_early

    async def test_attempt_that_was_done_is_not_taken_for_silent(self) -> None:
        """Guards against a second answer.

        The attempt is cancelled when it is complete, and its caller has the
        answer already.
        """
        found = Watched()
        with found.watch.watch("server", 0, SILENCE_LIMIT_S) as done:
            await found.timer.advance(SILENCE_LIMIT_S + SERVER_SILENCE_S)
            with CancelScope(shield=True):
                await found.watch.check()
        assert done.cancel_requested
        assert not done.ended_early

    async def test_attempt_that_cannot_move_goes_on(self) -> None:
        """Guards against an answer that ends because its server is silent."""
        found = Watched()
        movable = False
        with found.watch.watch(
            "server", 0, SILENCE_LIMIT_S, lambda: movable
        ) as attempt:
            await found.pass_time(10 * SILENCE_LIMIT_S, False)
            assert not attempt.cancel_requested
            movable = True
            await found.pass_time(ASK_AGAIN_S + 0.2, False)
        assert attempt.ended_early

    async def test_silent_servers_are_named(self) -> None:
        found = Watched()
        with (
            found.watch.watch("server", 0, SILENCE_LIMIT_S),
            found.watch.watch("mute", 0, 10 * SILENCE_LIMIT_S),
        ):
            assert not found.watch.silent_server_ids()
            await found.pass_time(SERVER_SILENCE_S + 0.2, True)
            assert found.watch.silent_server_ids() == {"mute"}
        assert not found.watch.silent_server_ids()

    async def test_slow_caller_is_no_silent_server(self) -> None:
        found = Watched()
        with found.watch.watch("server", 0, SILENCE_LIMIT_S) as attempt:
            with attempt.writing(found.timer.now):
                await found.pass_time(10 * SILENCE_LIMIT_S, False)
                assert not found.watch.silence_by_server()
            assert not attempt.cancel_requested
            await found.pass_time(SILENCE_LIMIT_S + 0.2, False)
            assert attempt.cancel_requested

    async def test_attempt_without_answer_to_probes_ends_sooner(self) -> None:
        """Its silence is no sound server's."""
        found = Watched()
        found.watch.use_reachability(lambda server_id: server_id == "gone")
        with (
            found.watch.watch("gone", 0, 10 * SILENCE_LIMIT_S) as attempt,
            found.watch.watch("server", 0, 10 * SILENCE_LIMIT_S) as other,
        ):
            await found.pass_time(UNREACHABLE_SILENCE_S + 0.2, False)
            assert attempt.cancel_requested
            assert not other.cancel_requested

    async def test_attempt_that_may_not_be_repeated_stays(self) -> None:
        found = Watched()
        found.watch.use_reachability(lambda server_id: True)
        with found.watch.watch("gone", 0, inf) as attempt:
            await found.pass_time(10.0, False)
            assert not attempt.cancel_requested
