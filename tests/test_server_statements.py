"""Tests of the statements of backend servers about themselves."""

from datetime import datetime
from datetime import timedelta
from datetime import UTC
from email.utils import format_datetime
from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.strategies import DrawFn
import pytest
from result import Err

from tests.policy_examples import policy_bench
from wasabiwing.calls import AttemptOutcome
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.http_client import status_failure
from wasabiwing.retry_after import MAX_RETRY_AFTER_S
from wasabiwing.retry_after import read_retry_after
from wasabiwing.server_statements import FULL_WINDOW
from wasabiwing.server_statements import INITIAL_WINDOW
from wasabiwing.server_statements import JITTER_SHARE
from wasabiwing.server_statements import ServerStatements
from wasabiwing.server_statements import WithholdReason
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio

NOON = datetime(2026, 12, 4, 12, tzinfo=UTC)

# Requests that may still reach a server within its pause.
MAX_LATE_REQUESTS = 2

# Time after a statement in which requests already sent may arrive, in seconds.
LATE_S = 0.5


def statements(timer: FakeTimer, seed: int = 1) -> ServerStatements:
    """Returns the empty statements of a node that has just started."""
    return ServerStatements("node", timer, Random(seed))


class TestRetryAfter:
    """Values of ``Retry-After`` that are read or ignored."""

    @pytest.mark.parametrize(
        ("values", "seconds", "ignored"),
        [
            ((b"3",), 3.0, 0),
            ((b"0.25",), 0.25, 0),
            ((b" 2 ",), 2.0, 0),
            ((b"0",), 0.0, 0),
            ((b"",), None, 1),
            ((b"-1",), None, 1),
            ((b"1e3",), None, 1),
            ((b"inf",), None, 1),
            ((b"soon",), None, 1),
            ((b"\xff\xfe",), None, 1),
            ((b"99999999",), MAX_RETRY_AFTER_S, 0),
            ((b"9" * 400,), None, 1),
            ((b"1", b"4", b"x"), 4.0, 1),
            ((), None, 0),
        ],
    )
    def test_seconds(
        self, values: tuple[bytes, ...], seconds: float | None, ignored: int
    ) -> None:
        headers = [(b"Retry-After", value) for value in values]
        assert read_retry_after(headers) == (seconds, ignored)

    def test_date_is_compared_with_the_date_of_the_answer(self) -> None:
        until = format_datetime(NOON + timedelta(seconds=7), usegmt=True)
        headers = [(b"retry-after", until.encode())]
        assert read_retry_after(headers) == (None, 1)
        sent = format_datetime(NOON, usegmt=True)
        headers.append((b"date", sent.encode()))
        assert read_retry_after(headers) == (7.0, 0)

    def test_date_in_the_past_is_ignored(self) -> None:
        until = format_datetime(NOON - timedelta(seconds=7), usegmt=True)
        sent = format_datetime(NOON, usegmt=True)
        headers = [(b"retry-after", until.encode()), (b"date", sent.encode())]
        assert read_retry_after(headers) == (None, 1)

    @given(value=st.binary(max_size=60))
    @settings(max_examples=300, deadline=None)
    def test_any_bytes_are_read_or_ignored(self, value: bytes) -> None:
        seconds, ignored = read_retry_after([(b"retry-after", value)])
        assert (seconds is None) == (ignored == 1)
        assert seconds is None or 0.0 <= seconds <= MAX_RETRY_AFTER_S


class TestLeaving:
    """Servers that state that they leave."""

    async def test_leaving_ends_only_with_a_later_start(self) -> None:
        found = statements(FakeTimer())
        found.note_leaving("s", 100)
        for born_ms in (0, 50, 100):
            found.note_registered("s", born_ms)
            assert found.withhold_reason("s") is WithholdReason.LEAVING
        found.note_registered("s", 200)
        assert found.withhold_reason("s") is None

    async def test_statement_of_an_earlier_start_is_ignored(self) -> None:
        found = statements(FakeTimer())
        found.note_sent("s")
        found.note_registered("s", 200)
        found.note_leaving("s", 100)
        found.note_pause("s", 100, 5.0)
        assert found.withhold_reason("s") is None

    async def test_leaving_holds_without_further_statements(self) -> None:
        timer = FakeTimer()
        found = statements(timer)
        found.note_leaving("s", 100)
        await timer.advance(600.0)
        assert found.withhold_reason("s") is WithholdReason.LEAVING

    async def test_old_records_are_dropped(self) -> None:
        timer = FakeTimer()
        found = statements(timer)
        for number in range(50):
            found.note_sent(f"s{number}")
            found.note_ended(f"s{number}", True)
            found.note_leaving(f"t{number}", 1)
        await timer.advance(8000.0)
        assert found.server_count == 0


class TestPause:
    """Servers that ask for a pause without requests."""

    async def test_pause_lasts_to_its_end(self) -> None:
        timer = FakeTimer()
        found = statements(timer)
        found.note_pause("s", 1, 5.0)
        await timer.advance(4.99)
        assert found.withhold_reason("s") is WithholdReason.UNWANTED
        await timer.advance(5.0 * JITTER_SHARE + 0.1)
        assert found.withhold_reason("s") is None

    async def test_longer_pause_replaces_shorter_and_not_the_reverse(
        self,
    ) -> None:
        timer = FakeTimer()
        found = statements(timer)
        found.note_pause("s", 1, 5.0)
        found.note_pause("s", 1, 1.0)
        await timer.advance(4.0)
        assert found.withhold_reason("s") is WithholdReason.UNWANTED
        found.note_pause("s", 1, 5.0)
        await timer.advance(4.9)
        assert found.withhold_reason("s") is WithholdReason.UNWANTED

    async def test_slow_start_follows_a_pause(self) -> None:
        """Guards against a burst of all waiting requests after a pause."""
        timer = FakeTimer()
        found = statements(timer)
        found.note_pause("s", 1, 1.0)
        await timer.advance(2.0)
        for window in range(INITIAL_WINDOW, FULL_WINDOW):
            for _ in range(window):
                assert found.withhold_reason("s") is None
                found.note_sent("s")
            assert found.withhold_reason("s") is WithholdReason.STARTING
            for number in range(window):
                found.note_ended("s", served=number == 0)
        for _ in range(50):
            found.note_sent("s")
        found.note_ended("s", True)
        assert found.withhold_reason("s") is None

    async def test_pauses_end_at_different_times_on_nodes(self) -> None:
        timer = FakeTimer()
        nodes = [statements(timer, seed) for seed in range(195)]
        for node in nodes:
            node.note_pause("s", 1, 5.0)
        await timer.advance(5.0)
        returned = []
        for _ in range(10):
            await timer.advance(0.1)
            returned.append(
                sum(node.withhold_reason("s") is None for node in nodes)
            )
        assert returned[0] < 60
        assert returned[4] < 150
        assert returned[-1] == 195

    async def test_server_that_pauses_repeatedly_gets_few_requests(
        self,
    ) -> None:
        timer = FakeTimer()
        found = statements(timer)
        reached = 0
        for _ in range(200):
            if found.withhold_reason("s") is None:
                reached += 1
                found.note_sent("s")
                found.note_pause("s", 1, 2.0)
                found.note_ended("s", False)
            await timer.advance(0.1)
        assert reached <= 10


class TestGateway:
    """Pauses of model engines and plain services at a gateway."""

    REFUSED = AttemptOutcome(
        Failure(
            ResultCode.SERVER_REFUSED,
            "",
            RunState.NOT_RUN,
            retry_after_s=5.0,
        ),
        None,
        0.1,
    )

    async def test_pausing_server_is_skipped(self) -> None:
        on = policy_bench()
        pausing = on.run_one("first", self.REFUSED)
        for number in range(20):
            assert on.run_one(f"r{number}") != pausing
        await on.timer.advance(7.0)
        servers = {on.run_one(f"later{number}") for number in range(60)}
        assert pausing in servers

    async def test_pause_of_all_servers_refuses_at_once_or_waits(self) -> None:
        on = policy_bench()
        servers = {on.run_one(f"r{number}", self.REFUSED) for number in (1, 2)}
        while True:
            chosen = on.router.choose_server(on.call("more"), 1, frozenset())
            if isinstance(chosen, Err):
                break
            on.admission.release(chosen.ok_value, self.REFUSED)
            servers.add(chosen.ok_value.server.id)
        assert len(servers) == 3
        # The caller waits for 30 s, so a server's pause ends in time.
        assert chosen.err_value.code is ResultCode.OVERLOADED
        hurried = on.router.choose_server(
            on.call("hurried", deadline_s=2.0), 1, frozenset()
        )
        failure = hurried.unwrap_err()
        assert failure.code is ResultCode.NO_BACKEND_SERVER
        assert failure.run_state is RunState.NOT_RUN
        assert failure.retry_after_s is not None
        assert failure.retry_after_s == pytest.approx(5.5, abs=0.6)

    @pytest.mark.parametrize(
        ("status", "seconds"), [(503, 4.0), (429, 4.0), (500, None)]
    )
    def test_statuses_that_state_a_pause(
        self, status: int, seconds: float | None
    ) -> None:
        headers = ((b"retry-after", b"4"),)
        assert status_failure(status, headers, "").retry_after_s == seconds


@st.composite
def histories(draw: DrawFn) -> list[tuple[str, float]]:
    """Draws answers, registry entries, restarts and pauses of one server."""
    kinds = ("refuse", "leave", "serve", "entry", "old entry", "restart")
    step = st.tuples(
        st.sampled_from(kinds), st.floats(0.0, 3.0, allow_nan=False)
    )
    return draw(st.lists(step, max_size=40))


class TestInterleavings:
    """Arbitrary orders of answers, registry entries, pauses and starts."""

    @given(history=histories())
    @settings(max_examples=150, deadline=None)
    async def test_statements_hold_for_one_start(
        self, history: list[tuple[str, float]]
    ) -> None:
        timer = FakeTimer()
        found = statements(timer)
        started_ms = 1
        leaving = False
        paused_until = 0.0
        for kind, seconds in history:
            if kind == "refuse":
                found.note_pause("s", started_ms, seconds)
                if seconds > 0.0:
                    paused_until = max(paused_until, timer.now() + seconds)
            elif kind == "leave":
                found.note_leaving("s", started_ms)
                leaving = True
            elif kind == "entry":
                found.note_registered("s", started_ms)
            elif kind == "old entry":
                found.note_registered("s", started_ms - 1)
                found.note_pause("s", started_ms - 1, 60.0)
            elif kind == "restart":
                started_ms += 1
                found.note_registered("s", started_ms)
                leaving, paused_until = False, 0.0
            else:
                await timer.advance(seconds)
            withheld = found.withhold_reason("s")
            if leaving:
                assert withheld is WithholdReason.LEAVING
            elif timer.now() < paused_until:
                assert withheld is WithholdReason.UNWANTED
            else:
                assert withheld is not WithholdReason.LEAVING
