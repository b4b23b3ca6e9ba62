"""Generated heads, bodies and trailers at the protocol of all listeners.

Sound requests come first, then perhaps one that is malformed or exceeds a
limit, with a further request behind it, all of it cut into pieces anywhere.
Guards against a bad message that runs, a sound one that is lost or refused,
and a connection that holds more than the limits say.
"""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from os import environ
from random import Random
from typing import Any

from anyio.lowlevel import checkpoint
import pytest
from uvicorn import Config
from uvicorn.server import ServerState

from wasabiwing.asgi import BodyProblem
from wasabiwing.asgi import read_body
from wasabiwing.asgi import Receive
from wasabiwing.asgi import Scope
from wasabiwing.asgi import Send
from wasabiwing.client_limits import ClientLimits
from wasabiwing.client_limits import ProcessLimits
from wasabiwing.connection_budget import ConnectionBudget
from wasabiwing.header_timeout import PipelineProtocol

pytestmark = pytest.mark.anyio

# Number of seeds; WASABIWING_FUZZ_SEEDS sets another one for runs by hand.
SEEDS = int(environ.get("WASABIWING_FUZZ_SEEDS", "100"))
BATCHES = 10

# Lowered, so that excess is short.
LIMITS = ClientLimits(
    max_header_bytes=2_000, max_header_lines=100, max_trailer_bytes=500
)
MAX_BODY_BYTES = 20_000

# The head and its lines, the body, and the bytes of one read.
READ_BYTES = 30_000
MAX_HELD_BYTES = 100_000

UNASKED = b"GET /unasked HTTP/1.1\r\nHost: desk\r\n\r\n"

# Turns of the event loop in which a request is answered.
TURNS = 50


@dataclass(slots=True)
class FakeTransport:
    """A connection whose sent bytes are recorded."""

    sent: bytearray = field(default_factory=bytearray)
    paused: bool = False
    closed: bool = False

    def write(self, data: bytes) -> None:
        """Records data that is sent."""
        self.sent += data

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns what is known of the connection: nothing."""
        return default

    def get_write_buffer_size(self) -> int:
        """Returns the number of unsent bytes."""
        return 0

    def is_closing(self) -> bool:
        """Whether the connection was closed."""
        return self.closed

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True

    abort = write_eof = close

    def pause_reading(self) -> None:
        """Stops reading."""
        self.paused = True

    def resume_reading(self) -> None:
        """Goes on reading."""
        self.paused = False


@dataclass(slots=True)
class Recorder:
    """An application that records whole requests."""

    bodies: list[bytes] = field(default_factory=list)
    names: set[bytes] = field(default_factory=set)

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reads a request and answers it."""
        body = await read_body(receive, MAX_BODY_BYTES)
        if isinstance(body, BodyProblem):
            return
        self.bodies.append(scope["raw_path"] + b" " + body)
        self.names |= {name for name, _ in scope["headers"]}
        head = {"type": "http.response.start", "status": 200}
        await send({**head, "headers": [(b"content-length", b"0")]})
        await send({"type": "http.response.body", "body": b""})


def some_lines(random: Random, count: int) -> bytes:
    """Returns header lines that the limits allow."""
    return b"".join(
        b"x%d:%b%b\r\n"
        % (number, b" " * random.randint(0, 3), b"v" * random.randint(0, 9))
        for number in range(random.randint(0, count))
    )


def chunks(random: Random, body: bytes) -> bytes:
    """Returns a body in chunks, some with extensions, without its end."""
    parts = []
    while body:
        size = min(random.choice([1, 7, 1_000]), len(body))
        extension = random.choice([b"", b"", b";a=b", b";c"])
        parts.append(b"%x%b\r\n%b\r\n" % (size, extension, body[:size]))
        body = body[size:]
    return b"".join(parts)


def sound_request(random: Random, number: int) -> tuple[bytes, bytes]:
    """Returns a request within the limits, and what is recorded of it."""
    body = random.randbytes(random.choice([0, 1, 90, 3_000]))
    path = b"/sound/%d" % number
    lines = b"Host: desk\r\n" + some_lines(random, 40)
    first = b"\r\n" * random.randint(0, 2) + b"POST %b HTTP/1.1\r\n" % path
    if random.random() < 0.5:
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        return first + lines + length + body, path + b" " + body
    trailers = b"0\r\nTrailing: 1\r\n" + some_lines(random, 10) + b"\r\n"
    coding = b"Transfer-Encoding: chunked\r\n\r\n"
    sent = chunks(random, body) + trailers
    return first + lines + coding + sent, path + b" " + body


HEAD = b"POST /bad HTTP/1.1\r\nHost: desk\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = 20_000

BAD = (
    HEAD + b"a:b\r\n" * ENDLESS,
    HEAD + b"a: " + b"x" * ENDLESS,
    HEAD + b"a" * ENDLESS,
    b"POST /" + b"x" * ENDLESS,
    b"\r\n" * ENDLESS,
    CHUNKED + b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * ENDLESS,
    CHUNKED + b"0\r\na: " + b"x" * ENDLESS,
    CHUNKED + b"1;" + b"x" * ENDLESS,
    CHUNKED + b"1;" + b"x" * ENDLESS + b"\r\nx\r\n0\r\n\r\n",
    CHUNKED + b"x\r\n",
    CHUNKED + b"-1\r\nx\r\n",
    CHUNKED + b"1\r\nxy\r\n0\r\n\r\n",
    HEAD + b"Content-Length: 1x\r\n\r\nx",
    HEAD + b"Content-Length: -1\r\n\r\n",
    HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
    HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    HEAD + b"no colon\r\n\r\n",
    HEAD + b"a b: c\r\n\r\n",
    HEAD + b": c\r\n\r\n",
    b"\x00\x01\x02\r\n\r\n",
    b"GET /\xc3\xa9 HTTP/1.1\r\n\r\n",
    b"GET http://:x HTTP/1.1\r\n\r\n",
    b"POST /bad HTTP/9.x\r\n\r\n",
)


def pieces(random: Random, data: bytes) -> Iterator[bytes]:
    """Cuts data into the packets of some client."""
    begin = 0
    while begin < len(data):
        size = random.choice([1, 20, 700, READ_BYTES])
        yield data[begin : begin + size]
        begin += size


async def play(seed: int, make: Callable[[Any], PipelineProtocol]) -> None:
    """Plays the messages of one seed on a connection of their own."""
    random = Random(seed)
    recorder = Recorder()

    # uvicorn takes a method for an application of an older interface.
    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        await recorder.serve(scope, receive, send)

    protocol = make(application)
    transport = FakeTransport()
    protocol.connection_made(transport)  # type: ignore[arg-type]
    data, expected = b"", []
    for number in range(random.randint(0, 4)):
        sent, recorded = sound_request(random, number)
        data += sent
        expected.append(recorded)
    bad = b""
    if random.random() < 0.7:
        bad = random.choice(BAD)
        data += bad + UNASKED
    for piece in pieces(random, data):
        for _ in range(TURNS):
            if not transport.paused:
                break
            await checkpoint()
        if transport.closed:
            break
        protocol.data_received(piece)
        held = protocol.standing().held_bytes
        assert held <= MAX_HELD_BYTES, (seed, held)
    for _ in range(TURNS):
        await checkpoint()
    case = (seed, bad[:60], bytes(transport.sent[-300:]))
    assert recorder.bodies == expected, case
    assert b"trailing" not in recorder.names, case
    assert transport.closed == bool(bad), case
    protocol.connection_lost(None)
    assert protocol.budget.connections == 0
    assert protocol.budget.held_bytes == 0


class TestMessages:
    """``PipelineProtocol`` under generated messages."""

    @pytest.mark.parametrize("batch", range(BATCHES))
    async def test_bad_message_runs_or_a_sound_one_is_lost(
        self, batch: int
    ) -> None:
        budget = ConnectionBudget(
            limits=lambda: LIMITS,
            process=ProcessLimits(1, MAX_HELD_BYTES),
        )

        def make(application: Any) -> PipelineProtocol:
            config = Config(application, log_config=None, lifespan="off")
            protocol = PipelineProtocol(
                config=config, server_state=ServerState(), app_state={}
            )
            setattr(protocol, "budget", budget)
            protocol.limits = LIMITS
            return protocol

        for seed in range(batch, SEEDS, BATCHES):
            await play(seed, make)
