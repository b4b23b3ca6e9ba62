"""HTTP client shared by the adapters, on top of httpcore.

Beyond httpcore it finds the run state of a failure: it traces whether any
byte of a request may have been sent. A pooled connection that the server has
just closed fails a new request with "disconnected without sending a
response", which proves nothing about the run state.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass

from anyio import CancelScope
from anyio import move_on_after
from httpcore import AsyncConnectionPool
from httpcore import AsyncNetworkStream
from httpcore import ConnectError
from httpcore import ConnectTimeout
from httpcore import NetworkError
from httpcore import Origin
from httpcore import PoolTimeout
from httpcore import ProtocolError
from httpcore import Response
from httpcore import TimeoutException
from httpcore import UnsupportedProtocol
from result import Err
from result import Ok
from result import Result

from wasabiwing.answer_end import answer_framing
from wasabiwing.answer_end import Framing
from wasabiwing.answer_end import status_fault
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.paced_network import PacedBackend
from wasabiwing.ports import HttpReply
from wasabiwing.reading_turns import new_reading_slice
from wasabiwing.retry_after import read_retry_after
from wasabiwing.tcp_options import any_stays_established
from wasabiwing.tcp_options import SOCKET_OPTIONS
from wasabiwing.tcp_options import took_all

CONNECT_TIMEOUT_S = 1.0

# Idle connections are dropped well before common server-side idle limits, so
# that few requests are sent on a connection that the server is closing.
KEEPALIVE_EXPIRY_S = 4.0

# Longest reply that is read whole, in bytes: well above the largest value of
# a store, and a bound for a faulty peer that sends without end.
MAX_REPLY_BYTES = 16_777_216

HTTP_ERRORS = (
    NetworkError,
    ProtocolError,
    TimeoutException,
    UnsupportedProtocol,
)

MIN_SERVER_ERROR_STATUS = 500

# Time in seconds that a call may take beyond its timeout, to read the body:
# enough for the largest value of a store over a slow link. It ends calls to a
# faulty peer that keeps sending single bytes.
BODY_TIMEOUT_S = 5.0

# Statuses below 500 for which the server is the cause and not the request:
# request timeout and too many requests.
OVERLOAD_STATUSES = (408, 429)

# Statuses with which a server may state when it accepts requests again.
RETRY_AFTER_STATUSES = (429, 503)

# A server states with this header and the value "false" that it refused a
# request before it started to run it.
REQUEST_STARTED_HEADER = b"x-request-started"


# Reads the headers of the answer to one request.
AnswerObserver = Callable[[tuple[tuple[bytes, bytes], ...]], None]


class SendWithheld(Exception):
    """Raised to stop a request that ``may_send`` forbids."""


class _SendTrace:
    """Records whether any byte of a request may have been sent.

    ``may_send`` is called after the connection is open and before the first
    byte is sent.
    """

    def __init__(self, may_send: Callable[[], bool] | None = None) -> None:
        self._may_send = may_send
        self.may_have_been_sent = False
        # Whether the server refused a byte of the request; httpcore reads
        # the answer nevertheless.
        self.was_cut = False

    async def __call__(self, name: str, info: Mapping[str, object]) -> None:
        if name.endswith("send_request_headers.started"):
            if self._may_send is not None and not self._may_send():
                raise SendWithheld
            self.may_have_been_sent = True
        elif name.endswith(
            ("send_request_headers.failed", "send_request_body.failed")
        ):
            self.was_cut = True


class HttpStream:
    """An answer whose body is read in chunks."""

    def __init__(self, response: Response, trace: _SendTrace) -> None:
        self._response = response
        self._trace = trace
        self.status = response.status
        self.headers = tuple(response.headers)

    def header(self, name: bytes) -> bytes | None:
        """Returns a header by its lower-case name."""
        return find_header(self.headers, name)

    def took_request(self) -> bool:
        """Whether the server has accepted every byte of the request."""
        if self._trace.was_cut:
            return False
        return took_all(self._response.extensions["network_stream"])

    async def chunks(self) -> AsyncIterator[Result[bytes, Failure]]:
        """Yields body bytes as they arrive; ends after a failure."""
        reading = new_reading_slice()
        try:
            async for chunk in self._response.aiter_stream():
                yield Ok(chunk)
                await reading.give_way_if_used_up()
        except HTTP_ERRORS as error:
            yield Err(_failure_from_error(error, may_have_been_sent=True))

    async def read(self) -> Result[bytes, Failure]:
        """Reads the rest of the body, up to ``MAX_REPLY_BYTES``."""
        # Small pieces in a list would take many times their size.
        body = bytearray()
        async for chunk in self.chunks():
            if isinstance(chunk, Err):
                return chunk
            body += chunk.ok_value
            if len(body) > MAX_REPLY_BYTES:
                return Err(
                    Failure(
                        ResultCode.SERVER_CUT,
                        f"ended after {len(body)} bytes of reply",
                        RunState.MAY_HAVE_RUN,
                    )
                )
        return Ok(bytes(body))


@dataclass(eq=False, slots=True)
class _Pool:
    """A connection pool and the number of calls that use it."""

    connections: AsyncConnectionPool
    call_count: int = 0


class HttpClient:
    """An HTTP client with a connection pool of its own.

    If ``doubts_idle`` is set, a call that times out leaves the idle
    connections unused from then on, as they may be silent too.
    """

    def __init__(
        self, max_connections: int = 256, doubts_idle: bool = False
    ) -> None:
        self._max_connections = max_connections
        self._doubts_idle = doubts_idle
        self._pool = self._new_pool()

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.connections.aclose()

    def _new_pool(self) -> _Pool:
        return _Pool(
            AsyncConnectionPool(
                max_connections=self._max_connections,
                max_keepalive_connections=self._max_connections,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
                retries=0,
                network_backend=PacedBackend(),
                socket_options=SOCKET_OPTIONS,
            )
        )

    @asynccontextmanager
    async def _used_pool(self) -> AsyncIterator[_Pool]:
        """Counts a call; closes a replaced pool after its last call."""
        pool = self._pool
        pool.call_count += 1
        try:
            yield pool
        finally:
            pool.call_count -= 1
            if pool is not self._pool and not pool.call_count:
                with CancelScope(shield=True):
                    await pool.connections.aclose()

    def _replace_pool(self, used: _Pool) -> None:
        """Leaves a pool on which a call has timed out to its other calls."""
        if self._doubts_idle and used is self._pool:
            self._pool = self._new_pool()

    async def keeps_connection(self, address: str) -> bool:
        """Whether a server's process outlives an answer that has just ended.

        ``address`` is ``host:port``. Another connection of this client to the
        server shows it.
        """
        return await any_stays_established(lambda: self._streams_to(address))

    def _streams_to(self, address: str) -> list[AsyncNetworkStream]:
        host, _, port = address.rpartition(":")
        origin = Origin(b"http", host.encode(), int(port))
        streams = []
        for connection in self._pool.connections.connections:
            # httpcore gives no public access to a connection's stream.
            inner = getattr(connection, "_connection", None)
            if inner is not None and connection.can_handle_request(origin):
                streams.append(inner._network_stream)
        return streams

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
        may_send: Callable[[], bool] | None = None,
        observer: AnswerObserver | None = None,
    ) -> AsyncIterator[Result[HttpStream, Failure]]:
        """Sends a request; ``timeout_s`` bounds each wait for bytes.

        The request is not sent if ``may_send`` returns ``False`` right
        before its first byte. ``observer`` gets the headers of the answer.
        """
        trace = _SendTrace(may_send)
        opened = False
        async with self._used_pool() as pool:
            try:
                async with pool.connections.stream(
                    method,
                    url,
                    headers=list((headers or {}).items()),
                    content=body,
                    extensions={
                        "timeout": _timeouts(timeout_s),
                        "trace": trace,
                    },
                ) as response:
                    opened = True
                    fault = status_fault(response.status)
                    if fault is not None:
                        yield Err(fault)
                        return
                    stream = HttpStream(response, trace)
                    if observer is not None:
                        observer(stream.headers)
                    yield Ok(stream)
            except SendWithheld:
                yield Err(Failure(ResultCode.DISPATCH_WINDOW_MISSED))
            except HTTP_ERRORS as error:
                if isinstance(error, TimeoutException):
                    self._replace_pool(pool)
                # Once the response was yielded, the reader of its body has
                # already seen the failure.
                if not opened:
                    yield Err(
                        _failure_from_error(error, trace.may_have_been_sent)
                    )

    async def send(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
        may_send: Callable[[], bool] | None = None,
        observer: AnswerObserver | None = None,
    ) -> Result[HttpReply, Failure]:
        """Sends a request and reads the whole answer.

        The call takes at most ``timeout_s`` plus ``BODY_TIMEOUT_S`` seconds.
        """
        total_timeout_s = timeout_s + BODY_TIMEOUT_S
        with move_on_after(total_timeout_s):
            return await self._send(
                method, url, headers, body, timeout_s, may_send, observer
            )
        return Err(
            Failure(
                ResultCode.SERVER_TIMEOUT,
                f"no whole answer within {total_timeout_s:.1f} s",
                RunState.MAY_HAVE_RUN,
            )
        )

    async def _send(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | None,
        body: bytes,
        timeout_s: float,
        may_send: Callable[[], bool] | None,
        observer: AnswerObserver | None,
    ) -> Result[HttpReply, Failure]:
        async with self.stream(
            method, url, headers, body, timeout_s, may_send, observer
        ) as opened:
            if isinstance(opened, Err):
                return opened
            stream = opened.ok_value
            read = await stream.read()
            if isinstance(read, Err):
                return read
            framing = answer_framing(method, stream.status, stream.headers)
            return Ok(
                HttpReply(
                    stream.status,
                    stream.headers,
                    read.ok_value,
                    framing is not Framing.CONNECTION,
                    framing is not Framing.CONNECTION or stream.took_request(),
                )
            )


def find_header(
    headers: tuple[tuple[bytes, bytes], ...], name: bytes
) -> bytes | None:
    """Returns the first header of a lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def status_failure(
    status: int, headers: tuple[tuple[bytes, bytes], ...], detail: str
) -> Failure:
    """Maps an HTTP error status of a backend server to a failure."""
    if find_header(headers, REQUEST_STARTED_HEADER) == b"false":
        return Failure(
            ResultCode.SERVER_REFUSED,
            f"status {status} {detail}".strip(),
            RunState.NOT_RUN,
            _retry_after_s(headers),
        )
    if status in RETRY_AFTER_STATUSES:
        return Failure(
            ResultCode.SERVER_ERROR,
            f"status {status} {detail}".strip(),
            RunState.MAY_HAVE_RUN,
            _retry_after_s(headers),
        )
    is_request_fault = (
        status < MIN_SERVER_ERROR_STATUS and status not in OVERLOAD_STATUSES
    )
    return Failure(
        ResultCode.SERVER_REJECTED
        if is_request_fault
        else ResultCode.SERVER_ERROR,
        f"status {status} {detail}".strip(),
        RunState.MAY_HAVE_RUN,
    )


def _retry_after_s(
    headers: tuple[tuple[bytes, bytes], ...],
) -> float | None:
    return read_retry_after(headers)[0]


def _timeouts(timeout_s: float) -> dict[str, float]:
    return {
        "connect": min(timeout_s, CONNECT_TIMEOUT_S),
        "read": timeout_s,
        "write": timeout_s,
        "pool": timeout_s,
    }


def _failure_from_error(error: Exception, may_have_been_sent: bool) -> Failure:
    detail = f"{type(error).__name__}: {error}"
    if isinstance(error, ConnectError | ConnectTimeout | PoolTimeout):
        return Failure(ResultCode.CONNECT_FAILED, detail)
    if not may_have_been_sent:
        return Failure(ResultCode.CONNECT_FAILED, detail)
    if isinstance(error, TimeoutException):
        return Failure(
            ResultCode.SERVER_TIMEOUT, detail, RunState.MAY_HAVE_RUN
        )
    return Failure(ResultCode.SERVER_CUT, detail, RunState.MAY_HAVE_RUN)
