"""Tests of headers that servers send and no part of the program reads."""

from collections import Counter

import pytest

from tests.node_deployment import deployment
from wasabiwing.unknown_headers import MAX_LOGGED
from wasabiwing.unknown_headers import MAX_NAMES
from wasabiwing.unknown_headers import OTHER_NAMES
from wasabiwing.unknown_headers import STANDARD_HEADERS
from wasabiwing.unknown_headers import UnknownHeaders
from wasabiwing_platform.headers import PlatformHeaders
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio


class TestCounting:
    """Counts by name, whatever servers send."""

    def test_names_are_counted_without_case(self) -> None:
        counts: Counter[str] = Counter()
        found = UnknownHeaders("node", lambda name: counts.update([name]))
        found.note("a", [(b"X-New", b"1"), (b"x-new", b"2")])
        assert counts == {"x-new": 2}

    def test_number_of_names_is_bounded(self) -> None:
        counts: Counter[str] = Counter()
        found = UnknownHeaders("node", lambda name: counts.update([name]))
        for number in range(MAX_LOGGED + 1):
            found.note("a", [(b"x-%d" % number, b"\xff")])
        assert len(counts) == MAX_NAMES + 1
        assert counts[OTHER_NAMES] == MAX_LOGGED + 1 - MAX_NAMES


class TestAnswers:
    """Which headers of an answer count as unknown."""

    def test_only_headers_that_nothing_reads(self) -> None:
        headers = [(name, b"1") for name in sorted(STANDARD_HEADERS)]
        headers += [
            (b"Wasabiwing-Attempt-Id", b"a"),
            (b"Server-Leaving", b"1"),
            (b"Server-Wish", b"2"),
        ]
        head = PlatformHeaders().read_answer(200, tuple(headers))
        assert head.unknown_headers == ((b"Server-Wish", b"2"),)

    async def test_node_counts_them(self) -> None:
        async with deployment() as found:
            server = ServerStandIn("server", added_headers={"x-wish": "2"})
            await found.add_server("desk", server)
            await found.wait_ready()
            assert (await found.call("/read/1")).status == 200
            url = f"http://{found.settings.readiness_endpoint}/metrics"
            page = (await found.client.send("GET", url)).unwrap().body
            name = b'wasabiwing_unknown_answer_headers_total{header="x-wish"}'
            assert name + b" 1.0" in page
