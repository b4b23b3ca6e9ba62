"""Tests of answers whose status or end is not what HTTP defines.

Servers answer on raw sockets, before a node and before a gateway.
"""

import pytest

from tests.examples import Caller
from tests.examples import chat_text
from tests.examples import error_of
from tests.raw_server import Ending
from tests.raw_server import RawAnswer
from tests.test_answer_framing import charge
from tests.test_answer_framing import gateway_before
from tests.test_answer_framing import get_status
from tests.test_answer_framing import node_before
from tests.test_answer_framing import stream
from tests.test_answer_framing import STREAM_TYPE
from tests.test_answer_framing import TOKENS
from wasabiwing.http_client import HttpClient
from wasabiwing_platform_standins.server import stream_answer
from wasabiwing_platform_standins.server import stream_event
from wasabiwing_standins.engine import answer_text

pytestmark = pytest.mark.anyio

# Statuses that are no status of a response.
NO_STATUSES = (
    b"000 Zero",
    b"0 Zero",
    b"099 Early",
    b"600 Late",
    b"999 Late",
    b"1000 Long",
    b"20 Short",
    b"abc Letters",
    b"+20 Sign",
    b"-20 Sign",
    b"2 0 Space",
    b" 200 Space",
    b"\xd9\xa2\xd9\xa0\xd9\xa0 Digits",
    b"101 Switching Protocols",
    b"",
)

LENGTH = b"content-length: 5\r\n"

UPLOAD = b"x" * 3_000_000

# Bytes of an upload that a server reads before it answers.
READ_BYTES = (0, 100_000, 2_000_000)

RESETS = (Ending.RESET, Ending.RESET_AT_ONCE, Ending.FIN_THEN_RESET)

# Uploads are long and stay partly unread: kernels buffer megabytes.
LONG_UPLOADS = {"max_body_bytes": 4_000_000, "receive_buffer_bytes": 65_536}

PART = b"part of an answer"

FRAMINGS = {
    "connection": (b"", PART),
    "length": (b"content-length: 100\r\n", PART),
    "chunks": (
        b"transfer-encoding: chunked\r\n",
        b"%x\r\n%b\r\n" % (len(PART), PART),
    ),
}


def early(
    framing: str, read_bytes: int, ending: Ending, headers: bytes = b""
) -> RawAnswer:
    """Returns a part of an answer that comes during the upload."""
    framing_headers, body = FRAMINGS[framing]
    return RawAnswer(
        body,
        headers + framing_headers,
        ending=ending,
        reads_body=False,
        read_bytes=read_bytes,
    )


each_status = pytest.mark.parametrize("status", NO_STATUSES)
each_reset = pytest.mark.parametrize("ending", RESETS)
each_point = pytest.mark.parametrize("read_bytes", READ_BYTES)
each_framing = pytest.mark.parametrize("framing", FRAMINGS)


class TestStatusesAtNodes:
    """Statuses that a node gets from servers."""

    @each_status
    async def test_plain_answer_without_a_status_is_no_answer(
        self, status: bytes
    ) -> None:
        """Guards against callers whose connection ends without an answer."""
        answer = RawAnswer(b"whole", LENGTH, status)
        async with node_before("desk", answer) as (system, server):
            reply = await system.call("/book/1")
            assert reply.status == 502
            assert error_of(reply)["run"] == "may_have_run"
            assert len(server.requests) == 1

    @each_status
    async def test_stream_without_a_status_is_no_answer(
        self, status: bytes
    ) -> None:
        answer = RawAnswer(
            stream_answer(), STREAM_TYPE + b"connection: close\r\n", status
        )
        async with node_before("models", answer) as (system, server):
            reply = await system.call("/notes/1")
            assert reply.status == 502
            assert error_of(reply)["run"] == "may_have_run"
            assert len(server.requests) == 1

    @pytest.mark.parametrize("status", [b"600 Late", b"099 Early"])
    async def test_request_that_may_be_repeated_is_run_elsewhere(
        self, status: bytes
    ) -> None:
        answers = (RawAnswer(b"whole", LENGTH, status), RawAnswer(b"whole"))
        async with node_before("desk", *answers) as (system, server):
            reply = await system.call("/read/1")
            assert (reply.status, reply.body) == (200, b"whole")

    @pytest.mark.parametrize(
        "status", [b"204 No Content", b"304 Not Modified"]
    )
    async def test_body_of_an_answer_without_body_is_no_next_answer(
        self, status: bytes
    ) -> None:
        """Guards against bytes that are read as the next answer."""
        body = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"
        answers = (
            RawAnswer(body, b"", status, Ending.KEEP_OPEN),
            RawAnswer(b"whole", LENGTH),
        )
        async with node_before("desk", *answers) as (system, server):
            first = await system.call("/read/1")
            assert (first.status, first.body) == (int(status[:3]), b"")
            second = await system.call("/read/1")
            assert (second.status, second.body) == (200, b"whole")
            assert server.connections_used == 2

    async def test_interim_answers_are_no_answer(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50
        answer = RawAnswer(interim, b"", b"102 Processing")
        async with node_before("desk", answer) as (system, server):
            reply = await system.call("/book/1")
            assert reply.status == 502
            assert error_of(reply)["run"] == "may_have_run"


class TestStatusesAtGateways:
    """Statuses that a gateway gets from servers."""

    @each_status
    async def test_plain_answer_without_a_status_is_no_answer(
        self, status: bytes
    ) -> None:
        answer = RawAnswer(b"whole", LENGTH, status)
        async with gateway_before("desk-1", answer) as (system, server):
            reply = await charge(system.vms[0])
            assert reply.status == 502
            assert error_of(reply)["run"] == "may_have_run"
            assert len(server.requests) == 1

    @each_status
    async def test_stream_without_a_status_is_run_elsewhere(
        self, status: bytes
    ) -> None:
        answer = RawAnswer(b"data: {}\n\n", STREAM_TYPE, status)
        async with gateway_before("model-1", answer) as (system, server):
            reply = await Caller(HttpClient()).chat(
                system.vms[0], "drop", TOKENS
            )
            assert chat_text(reply) == answer_text("drop", TOKENS)
            assert len(server.requests) == 1

    @pytest.mark.parametrize("status", [b"600 Late", b"099 Early"])
    async def test_request_that_may_be_repeated_is_run_elsewhere(
        self, status: bytes
    ) -> None:
        answer = RawAnswer(b"whole", LENGTH, status)
        async with gateway_before("desk-1", answer) as (system, server):
            reply = await get_status(system.vms[0])
            assert reply.status == 200
            assert b"desk-" in reply.body


class TestUploadsToNodes:
    """Answers that come while a node writes a long request."""

    @each_reset
    @each_point
    @each_framing
    async def test_part_of_a_plain_answer_is_no_answer(
        self, framing: str, read_bytes: int, ending: Ending
    ) -> None:
        """Guards against a part that a caller takes for the whole."""
        answer = early(framing, read_bytes, ending)
        async with node_before("desk", answer, **LONG_UPLOADS) as (
            system,
            server,
        ):
            reply = await system.call("/book/1", body=UPLOAD)
            assert reply.status == 502
            assert error_of(reply)["run"] == "may_have_run"
            assert len(server.requests) == 1

    @each_reset
    @each_point
    @pytest.mark.parametrize(
        "part",
        [stream_answer()[:40], stream_event(1) + stream_event(2)],
        ids=["inside an event", "between events"],
    )
    async def test_part_of_a_stream_is_not_ended_as_whole(
        self, part: bytes, read_bytes: int, ending: Ending
    ) -> None:
        body = stream(part)
        answer = RawAnswer(
            body.body,
            body.headers,
            ending=ending,
            reads_body=False,
            read_bytes=read_bytes,
        )
        async with node_before("models", answer, **LONG_UPLOADS) as (
            system,
            server,
        ):
            try:
                reply = await system.call("/notes/1", body=UPLOAD)
            except Exception as error:  # noqa: BLE001
                assert "SERVER_CUT" in str(error)
            else:
                assert reply.status == 502
            assert len(server.requests) == 1


class TestUploadsToGateways:
    """Answers that come while a gateway writes a long request."""

    @each_reset
    @each_point
    @each_framing
    async def test_part_of_a_plain_answer_is_no_answer(
        self, framing: str, read_bytes: int, ending: Ending
    ) -> None:
        answer = early(framing, read_bytes, ending)
        async with gateway_before("desk-1", answer, **LONG_UPLOADS) as (
            system,
            server,
        ):
            reply = await charge(system.vms[0], len(UPLOAD))
            assert reply.status == 502
            assert error_of(reply)["run"] == "may_have_run"
            assert len(server.requests) == 1
