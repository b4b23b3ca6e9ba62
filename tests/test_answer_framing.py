"""Tests of how the ends of answers are recognised, on raw sockets.

An answer without length and without chunks ends with its connection.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import fail_after
from anyio import sleep
import pytest

from tests.examples import TEST_TIMEOUT_S
from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from tests.node_deployment import POLL_S
from tests.raw_server import Ending
from tests.raw_server import RawAnswer
from tests.raw_server import RawServer
from tests.raw_server import serve_raw
from wasabiwing.events import Event
from wasabiwing_platform_standins.server import stream_answer
from wasabiwing_platform_standins.server import stream_event

pytestmark = pytest.mark.anyio

STREAM_TYPE = b"content-type: text/event-stream\r\n"

FIRST_EVENTS = stream_event(1) + stream_event(2)
PARTIAL_STREAM = FIRST_EVENTS + stream_event(3)[:10]
LAST_EVENTS = stream_event(3) + stream_event(4)

FRAMINGS = ("connection", "chunks", "length")


def stream(
    body: bytes, framing: str = "connection", ending: Ending = Ending.FIN
) -> RawAnswer:
    """Returns a stream whose body ends as its framing says."""
    headers = STREAM_TYPE
    if framing == "chunks":
        headers += b"transfer-encoding: chunked\r\n"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    elif framing == "length":
        headers += b"content-length: %d\r\n" % len(body)
    return RawAnswer(body, headers, ending=ending)


def node_origin(headers: dict[bytes, bytes]) -> bytes:
    """Returns the headers that a node expects in an answer."""
    return (
        b"wasabiwing-attempt-id: %b\r\nwasabiwing-response-stamp: stamp\r\n"
        % headers.get(b"wasabiwing-attempt-id", b"")
    )


@asynccontextmanager
async def node_before(
    service: str, *answers: RawAnswer
) -> AsyncIterator[tuple[Deployment, RawServer]]:
    """Runs a node before two servers of a service, at one address."""
    server = RawServer(node_origin, list(answers))
    async with deployment() as system, serve_raw(server) as address:
        for server_id in ("server-1", "server-2"):
            system.address_by_server[server_id] = address
            system.register(server_id, service)
        await system.wait_ready()
        yield system, server


async def wait_closed(server: RawServer, count: int) -> None:
    """Waits until the peer has closed a number of ended connections."""
    with fail_after(TEST_TIMEOUT_S):
        while server.closed_by_peer < count:
            await sleep(POLL_S)


class TestStreamsAtNodes:
    """Ends of streams that a node relays."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_stream_that_ended_inside_an_event_is_resumed(
        self, framing: str
    ) -> None:
        """Guards against a partial event that is passed on as the last."""
        async with node_before(
            "models", stream(PARTIAL_STREAM, framing), stream(LAST_EVENTS)
        ) as (system, server):
            reply = await system.call("/chat/1")
            assert (reply.status, reply.body) == (200, stream_answer())
            assert len(server.requests) == 2
            assert server.requests[1][b"last-event-id"] == b"2"

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_stream_that_ended_inside_an_event_is_not_ended_as_whole(
        self, framing: str
    ) -> None:
        async with node_before("models", stream(PARTIAL_STREAM, framing)) as (
            system,
            server,
        ):
            with pytest.raises(Exception, match="SERVER_CUT"):
                await system.call("/notes/1")
            assert len(server.requests) == 1

    async def test_crash_inside_an_event_is_noticed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against crashes that look like the end of an answer."""
        events: list[Event] = []
        monkeypatch.setattr(
            "wasabiwing.quarantine.log_event",
            lambda event, node, **fields: events.append(event),
        )
        answer = stream(PARTIAL_STREAM, ending=Ending.CRASH)
        async with node_before("models", answer) as (system, server):
            with pytest.raises(Exception, match="SERVER_CUT"):
                await system.call("/notes/1")
            assert events == [Event.SERVER_CRASHED]

    @pytest.mark.parametrize("path", ["/chat/1", "/notes/1"])
    async def test_stream_that_ends_with_its_connection_is_whole(
        self, path: str
    ) -> None:
        async with node_before("models", stream(stream_answer())) as (
            system,
            server,
        ):
            reply = await system.call(path)
            assert (reply.status, reply.body) == (200, stream_answer())
            assert len(server.requests) == 1

    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
    async def test_blank_lines_after_the_last_event_are_no_event(
        self, line_end: bytes
    ) -> None:
        """Guards against a whole stream that is taken for a broken one."""
        answer = stream(stream_answer() + line_end)
        async with node_before("models", answer) as (system, server):
            reply = await system.call("/notes/1")
            assert reply.status == 200
            assert reply.body.startswith(stream_answer())

    async def test_stream_that_was_reset_after_an_event_is_broken_off(
        self,
    ) -> None:
        async with node_before(
            "models",
            stream(FIRST_EVENTS, ending=Ending.RESET),
            stream(LAST_EVENTS),
        ) as (system, server):
            reply = await system.call("/chat/1")
            assert (reply.status, reply.body) == (200, stream_answer())

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_stream_without_any_event_is_whole(
        self, framing: str
    ) -> None:
        async with node_before("models", stream(b"", framing)) as (
            system,
            server,
        ):
            reply = await system.call("/notes/1")
            assert (reply.status, reply.body) == (200, b"")
            assert len(server.requests) == 1


class TestPlainAnswersAtNodes:
    """Ends of plain answers that a node passes on."""

    @pytest.mark.parametrize(
        "headers",
        [
            b"",
            b"connection: close\r\n",
            b"connection: keep-alive\r\n",
            b"connection: keep-alive\r\nkeep-alive: timeout=60\r\n",
        ],
    )
    async def test_answer_that_ends_with_its_connection_is_whole(
        self, headers: bytes
    ) -> None:
        """Guards against ended connections that are kept for reuse."""
        answer = RawAnswer(b"x" * 100_000, headers)
        async with node_before("desk", *[answer] * 3) as (system, server):
            for number in range(3):
                reply = await system.call("/book/1")
                assert (reply.status, reply.body) == (200, answer.body)
                await wait_closed(server, number + 1)
            assert server.connections_used == 3

    async def test_answer_that_was_reset_is_not_whole(self) -> None:
        answer = RawAnswer(b"x" * 100, ending=Ending.RESET)
        async with node_before("desk", answer) as (system, server):
            reply = await system.call("/book/1")
            assert reply.status == 502
            assert len(server.requests) == 1

    async def test_answer_that_was_reset_is_replaced_if_it_may_be(
        self,
    ) -> None:
        answers = (
            RawAnswer(b"x" * 100, ending=Ending.RESET),
            RawAnswer(b"whole"),
        )
        async with node_before("desk", *answers) as (system, server):
            reply = await system.call("/read/1")
            assert (reply.status, reply.body) == (200, b"whole")

    @pytest.mark.parametrize(
        ("method", "status", "headers"),
        [
            ("HEAD", b"200 OK", b"content-length: 5\r\n"),
            ("HEAD", b"200 OK", b""),
            ("GET", b"204 No Content", b""),
            ("GET", b"304 Not Modified", b""),
            ("GET", b"304 Not Modified", b"content-length: 5\r\n"),
            ("GET", b"204 No Content", b"content-length: 5\r\n"),
        ],
    )
    async def test_answer_without_body_ends_with_its_head(
        self, method: str, status: bytes, headers: bytes
    ) -> None:
        answer = RawAnswer(b"", headers, status, Ending.KEEP_OPEN)
        async with node_before("desk", *[answer] * 2) as (system, server):
            for _ in range(2):
                reply = await system.call("/read/1", method, b"")
                assert reply.status == int(status[:3])
                assert reply.body == b""
            assert server.connections_used == 1

    @pytest.mark.parametrize(
        "ending", [Ending.FIN, Ending.RESET, Ending.KEEP_OPEN]
    )
    async def test_answer_before_the_body_was_read_is_passed_on(
        self, ending: Ending
    ) -> None:
        """Guards against a refusal that is lost because its server left."""
        refusal = RawAnswer(
            b"",
            b"wasabiwing-not-executed: 1\r\ncontent-length: 0\r\n",
            b"503 Service Unavailable",
            ending,
            reads_body=False,
        )
        async with node_before("desk", refusal, RawAnswer(b"whole")) as (
            system,
            server,
        ):
            reply = await system.call("/book/1", body=b"x" * 100_000)
            assert (reply.status, reply.body) == (200, b"whole")
            assert len(server.requests) == 2
