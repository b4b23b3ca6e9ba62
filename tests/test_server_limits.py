"""Tests of the limits that backend servers name."""

from functools import partial
from random import Random

import pytest

from tests.network import Bench
from tests.network import bench
from tests.policy_examples import SilentTransport
from wasabiwing.facts import Facts
from wasabiwing.message_router import MessageRouter
from wasabiwing.request_limits import read_request_limit
from wasabiwing.server_limits import FACT_KIND
from wasabiwing.server_limits import ServerLimits
from wasabiwing.server_statements import RECORD_LIFETIME_S
from wasabiwing.timers import FakeTimer
from wasabiwing_platform.headers import PlatformHeaders

pytestmark = pytest.mark.anyio

START_MS = 1_000


class LimitsOfOne:
    """The limits of one process without peers."""

    def __init__(self) -> None:
        self.timer = FakeTimer()
        self.facts = Facts(self.timer, SilentTransport(), Random(1), tuple)
        self.started_ms = START_MS
        self.limits = ServerLimits(
            "node", self.timer, self.facts, lambda server_id: self.started_ms
        )

    def answer(self, per_s: float | None, sent_ago_s: float = 0.0) -> None:
        """Records an answer to a request that was sent some time ago."""
        sent_at = self.timer.now() - sent_ago_s
        self.limits.note_answer("a", self.started_ms, per_s, sent_at)

    @property
    def limit(self) -> float | None:
        """Limit of the server in requests per second."""
        return self.limits.limit_per_s("a")


def linked_limits(on: Bench, count: int) -> list[ServerLimits]:
    """Returns the limits of processes that gossip with each other."""
    found = []
    for number in range(count):
        transport = on.network.open(f"n{number}", f"tcp://{number}")
        router = MessageRouter(f"n{number}", transport)
        on.tasks.start_soon(router.run)
        peers = tuple(f"tcp://{item}" for item in range(count))
        facts = Facts(
            on.timer, transport, Random(number), partial(tuple, peers)
        )
        facts.register(router)
        found.append(ServerLimits(f"n{number}", on.timer, facts))
    return found


class TestHeader:
    """Values of the header that are read or ignored."""

    @pytest.mark.parametrize(
        ("values", "limit", "ignored"),
        [
            ((), None, 0),
            ((b"1.5",), 1.5, 0),
            ((b" 3 ",), 3.0, 0),
            ((b"0",), 0.0, 0),
            ((b"",), None, 1),
            ((b"-1",), None, 1),
            ((b"nan",), None, 1),
            ((b"inf",), None, 1),
            ((b"1e9",), None, 1),
            ((b"1,5",), None, 1),
            ((b"\xff",), None, 1),
            ((b"9" * 400,), None, 1),
            ((b"Fri, 04 Dec 2026 12:00:00 GMT",), None, 1),
            ((b"4", b"2", b"x"), 2.0, 1),
        ],
    )
    def test_values(
        self, values: tuple[bytes, ...], limit: float | None, ignored: int
    ) -> None:
        headers = tuple((b"Server-Limit", value) for value in values)
        assert read_request_limit(headers) == (limit, ignored)
        head = PlatformHeaders().read_answer(200, headers)
        assert head.limit_per_s == limit
        assert head.unreadable_count == ignored
        assert head.limit_unreadable == (limit is None and ignored > 0)


class TestOneProcess:
    """Limits from the answers that one process receives."""

    def test_limit_ends_with_an_answer_that_names_none(self) -> None:
        found = LimitsOfOne()
        found.answer(1.5)
        assert found.limit == 1.5
        found.answer(None)
        assert found.limit is None

    async def test_overtaken_answers_neither_raise_nor_end_a_limit(
        self,
    ) -> None:
        found = LimitsOfOne()
        found.answer(1.5)
        await found.timer.advance(0.5)
        found.answer(None, sent_ago_s=0.6)
        found.answer(9.0, sent_ago_s=0.6)
        assert found.limit == 1.5
        found.answer(0.5, sent_ago_s=0.6)
        assert found.limit == 0.5
        found.answer(9.0)
        assert found.limit == 9.0

    def test_a_new_start_knows_nothing_of_the_limit(self) -> None:
        found = LimitsOfOne()
        found.answer(1.5)
        found.started_ms = START_MS + 1
        assert found.limit is None
        found.limits.note_answer("a", START_MS, 1.5, found.timer.now())
        assert found.limit is None

    def test_answers_of_an_earlier_start_are_ignored(self) -> None:
        found = LimitsOfOne()
        found.started_ms = START_MS + 1
        found.answer(1.5)
        found.limits.note_answer("a", START_MS, None, found.timer.now())
        found.limits.note_answer("a", START_MS, 0.1, found.timer.now())
        assert found.limit == 1.5

    async def test_record_of_a_silent_server_is_dropped_in_the_end(
        self,
    ) -> None:
        found = LimitsOfOne()
        found.answer(1.5)
        await found.timer.advance(RECORD_LIFETIME_S + 1.0)
        assert found.limit is None

    @pytest.mark.parametrize(
        "value", ["", "1.5", "x 1.5", "0 nan", "0 inf", "0 -1", "0 x"]
    )
    def test_unreadable_fact_is_ignored(self, value: str) -> None:
        found = LimitsOfOne()
        found.answer(1.5)
        found.facts.publish(FACT_KIND, "a", value, 9)
        assert found.limit == 1.5


class TestManyProcesses:
    """Limits that one process learned and others have not been told."""

    async def test_all_learn_rise_fall_and_end(self) -> None:
        async with bench() as on:
            processes = linked_limits(on, 3)
            for number, limit in enumerate((1.5, 0.3, 4.0, None, 2.0, None)):
                await on.timer.advance(0.1)
                processes[number % 3].note_answer(
                    "a", 0, limit, on.timer.now()
                )
                await on.timer.advance(0.1)
                known = {item.limit_per_s("a") for item in processes}
                assert known == {limit}

    async def test_contradicting_answers_at_the_same_time_converge(
        self,
    ) -> None:
        async with bench() as on:
            processes = linked_limits(on, 3)
            processes[0].note_answer("a", 0, 2.0, on.timer.now())
            processes[1].note_answer("a", 0, 3.0, on.timer.now())
            await on.timer.advance(0.1)
            known = {item.limit_per_s("a") for item in processes}
            assert len(known) == 1 and None not in known
