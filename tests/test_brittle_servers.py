"""Tests of what a process knows of brittle servers."""

from random import Random

import pytest

from tests.policy_examples import SilentTransport
from wasabiwing.brittle_servers import BrittleServers
from wasabiwing.brittle_servers import EARLIER_START_S
from wasabiwing.brittle_servers import FACT_KIND
from wasabiwing.facts import Facts
from wasabiwing.request_limits import read_max_refusals
from wasabiwing.timers import FakeTimer
from wasabiwing_platform.headers import PlatformHeaders

pytestmark = pytest.mark.anyio

SERVICE = "service"
START_MS = 1_000


class BrittleOfOne:
    """What one process without peers knows of the servers a and b."""

    def __init__(self) -> None:
        self.timer = FakeTimer()
        self.facts = Facts(self.timer, SilentTransport(), Random(1), tuple)
        self.started_ms = {"a": START_MS, "b": START_MS}
        self.brittle = BrittleServers(
            "node", self.timer, self.facts, self.started_ms.__getitem__
        )

    def answer(
        self,
        server_id: str,
        max_refusals: int | None,
        sent_ago_s: float = 0.0,
    ) -> None:
        """Records an answer to a request that was sent some time ago."""
        self.brittle.note_answer(
            server_id,
            self.started_ms[server_id],
            max_refusals,
            self.timer.now() - sent_ago_s,
        )

    @property
    def known(self) -> dict[str, int]:
        """Refusals that the brittle servers can bear."""
        return self.brittle.max_refusals_by_server(SERVICE, ("a", "b"))


class TestHeader:
    """Values of the header that are read or ignored."""

    @pytest.mark.parametrize(
        ("values", "expected", "ignored"),
        [
            ((), None, 0),
            ((b"2",), 2, 0),
            ((b" 3 ",), 3, 0),
            ((b"0",), 0, 0),
            ((b"",), None, 1),
            ((b"-1",), None, 1),
            ((b"1.5",), None, 1),
            ((b"nan",), None, 1),
            ((b"\xff",), None, 1),
            ((b"9" * 400,), None, 1),
            ((b"4", b"2", b"x"), 2, 1),
        ],
    )
    def test_values(
        self,
        values: tuple[bytes, ...],
        expected: int | None,
        ignored: int,
    ) -> None:
        headers = tuple((b"Server-Brittle", value) for value in values)
        assert read_max_refusals(headers) == (expected, ignored)
        head = PlatformHeaders().read_answer(200, headers)
        assert head.max_refusals == expected
        assert head.unreadable_count == ignored
        assert head.max_refusals_unreadable == (
            expected is None and ignored > 0
        )
        assert not head.unknown_headers


class TestStatements:
    """Statements from the answers that one process receives."""

    def test_without_a_statement_nothing_is_presumed(self) -> None:
        found = BrittleOfOne()
        found.answer("a", None)
        assert not found.known

    def test_statement_ends_with_an_answer_without_it(self) -> None:
        found = BrittleOfOne()
        found.answer("b", None)
        found.answer("a", 2)
        assert found.known == {"a": 2}
        found.answer("a", None)
        assert not found.known

    async def test_overtaken_answer_does_not_end_a_statement(self) -> None:
        found = BrittleOfOne()
        found.answer("b", None)
        found.answer("a", 2)
        await found.timer.advance(0.5)
        found.answer("a", None, sent_ago_s=0.6)
        found.answer("a", 9, sent_ago_s=0.6)
        assert found.known == {"a": 2}
        found.answer("a", 1, sent_ago_s=0.6)
        assert found.known == {"a": 1}

    def test_unknown_servers_beside_a_brittle_one_count_as_brittle(
        self,
    ) -> None:
        """Guards against a burst at a server that has said nothing yet."""
        found = BrittleOfOne()
        found.answer("a", 2)
        assert found.known == {"a": 2, "b": 2}
        found.answer("b", None)
        assert found.known == {"a": 2}

    async def test_new_starts_of_all_servers_count_as_brittle_for_a_while(
        self,
    ) -> None:
        found = BrittleOfOne()
        found.answer("a", 2)
        found.answer("b", 3)
        found.started_ms.update(a=START_MS + 1, b=START_MS + 1)
        assert found.known == {"a": 2, "b": 2}
        found.answer("b", None)
        assert found.known == {"a": 2}
        await found.timer.advance(EARLIER_START_S + 1.0)
        assert not found.known

    def test_answers_of_an_earlier_start_are_ignored(self) -> None:
        found = BrittleOfOne()
        found.started_ms["a"] = START_MS + 1
        found.answer("a", 2)
        found.answer("b", None)
        now = found.timer.now()
        found.brittle.note_answer("a", START_MS, None, now)
        assert found.known == {"a": 2}

    @pytest.mark.parametrize("value", ["", "2", "x 2", "0 nan", "0 -1"])
    def test_unreadable_fact_is_ignored(self, value: str) -> None:
        found = BrittleOfOne()
        found.answer("b", None)
        found.answer("a", 2)
        found.facts.publish(FACT_KIND, "a", value, 9)
        assert found.known == {"a": 2}
