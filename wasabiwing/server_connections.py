"""Connections to backend servers, a stack of idle ones for each server.

Built on httpcore's HTTP/1.1 connection. The pool of that library is not used
because a connection here belongs to one start of one server, and is closed
when bytes follow a whole answer: they would be taken for the next answer.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import dataclass
from socket import IPPROTO_TCP
from socket import SO_KEEPALIVE
from socket import SOL_SOCKET
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT

from httpcore import AnyIOBackend
from httpcore import AsyncHTTP11Connection
from httpcore import ConnectError
from httpcore import ConnectionNotAvailable
from httpcore import ConnectTimeout
from httpcore import NetworkError
from httpcore import Origin
from httpcore import ProtocolError
from httpcore import Request
from httpcore import Response
from httpcore import TimeoutException
from httpcore import URL
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.routed_calls import RawHeaders
from wasabiwing.timers import TimerService

# The network between zones answers in milliseconds.
CONNECT_TIMEOUT_S = 0.6

# Unacknowledged bytes for this long mean a cut link, in milliseconds.
USER_TIMEOUT_MS = 2500

# Idle connections are closed this long before the server's own limit.
IDLE_MARGIN_S = 1.0

# Idle limit where a server states none; below common server-side limits.
DEFAULT_IDLE_TIMEOUT_S = 2.0

SOCKET_OPTIONS = (
    (IPPROTO_TCP, TCP_NODELAY, 1),
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)

READ_ERRORS = (NetworkError, ProtocolError, TimeoutException)


# Longest plain answer, and all plain answers that a node holds at a time, in
# bytes: a server in trouble may send without end.
MAX_ANSWER_BYTES = 4_194_304
MAX_BUFFERED_ANSWER_BYTES = 33_554_432


class AnswerMemoryBudget:
    """Memory for plain answers that are not yet whole, of one node."""

    def __init__(self) -> None:
        self.held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Takes memory if there is some left."""
        if self.held_bytes + size > MAX_BUFFERED_ANSWER_BYTES:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Returns memory that was taken."""
        self.held_bytes -= size


@dataclass(slots=True)
class _Link:
    """A connection and until when it may be used again."""

    connection: AsyncHTTP11Connection
    usable_until: float


class ServerAnswer:
    """A backend server's answer while its body is read."""

    def __init__(
        self, connections: "ServerConnections", server_id: str, link: _Link
    ) -> None:
        self._connections = connections
        self._server_id = server_id
        self._link = link
        self._response: Response | None = None
        self.status = 0
        self.headers: RawHeaders = ()

    def begin(self, response: Response) -> None:
        """Takes the status and headers."""
        self._response = response
        self.status = response.status
        self.headers = tuple(response.headers)

    async def chunks(self) -> AsyncIterator[Result[bytes, Failure]]:
        """Yields body bytes as they arrive; ends after a failure."""
        if self._response is None:
            return
        try:
            async for chunk in self._response.aiter_stream():
                yield Ok(chunk)
        except READ_ERRORS as error:
            yield Err(_lost(error))

    async def read(self) -> Result[bytes, Failure]:
        """Reads the whole body, up to ``MAX_ANSWER_BYTES``."""
        memory = self._connections.memory
        parts: list[bytes] = []
        size = 0
        try:
            async for chunk in self.chunks():
                if isinstance(chunk, Err):
                    return chunk
                part = chunk.ok_value
                too_long = size + len(part) > MAX_ANSWER_BYTES
                if too_long or not memory.reserve(len(part)):
                    return Err(_too_long(size + len(part)))
                size += len(part)
                parts.append(part)
            return Ok(b"".join(parts))
        finally:
            memory.release(size)

    async def close(self, reusable_s: float | None = None) -> None:
        """Ends the exchange.

        The connection is kept for ``reusable_s`` seconds if the answer was
        read to its end and nothing follows it, and is closed otherwise.
        """
        if self._response is not None:
            await self._response.aclose()
        await self._connections.give_back(
            self._server_id, self._link, reusable_s
        )


class ServerConnections:
    """All connections of one node to backend servers."""

    def __init__(
        self,
        timer: TimerService,
        count_connect: Callable[[str], None],
    ) -> None:
        self._timer = timer
        self._backend = AnyIOBackend()
        self._count_connect = count_connect
        self._idle_by_server: dict[str, list[_Link]] = {}
        self.memory = AnswerMemoryBudget()

    async def send(
        self,
        server_id: str,
        address: str,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes,
        answer_timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[ServerAnswer, Failure]:
        """Sends a request and waits for the headers of its answer.

        The failure's run state is ``NOT_RUN`` only if no byte left. The
        request is withheld if ``may_send`` says no right before its first
        byte would leave. The caller closes the returned answer.
        """
        host, _, port = address.rpartition(":")
        link = await self._take_idle(server_id)
        if link is None:
            opened = await self._open(server_id, host, int(port))
            if isinstance(opened, Err):
                return opened
            link = opened.ok_value
            # The server may have said more while the connection was opened.
            if not may_send():
                await link.connection.aclose()
                return Err(Failure(ResultCode.SERVER_UNWILLING, server_id))
        request = Request(
            method,
            URL(
                scheme=b"http",
                host=host.encode(),
                port=int(port),
                target=target,
            ),
            headers=list(headers),
            content=body,
            extensions={
                "timeout": {
                    "read": answer_timeout_s,
                    "write": answer_timeout_s,
                }
            },
        )
        answer = ServerAnswer(self, server_id, link)
        try:
            response = await link.connection.handle_async_request(request)
        except ConnectionNotAvailable as error:
            await link.connection.aclose()
            return Err(Failure(ResultCode.CONNECT_FAILED, repr(error)))
        except READ_ERRORS as error:
            await link.connection.aclose()
            return Err(_lost(error))
        except BaseException:
            await link.connection.aclose()
            raise
        answer.begin(response)
        return Ok(answer)

    async def give_back(
        self, server_id: str, link: _Link, reusable_s: float | None
    ) -> None:
        """Keeps a connection for the next request, or closes it."""
        connection = link.connection
        if (
            reusable_s is None
            or not connection.is_idle()
            or _has_surplus(connection)
        ):
            await connection.aclose()
            return
        usable_s = max(reusable_s - IDLE_MARGIN_S, 0.0)
        link.usable_until = self._timer.now() + usable_s
        self._idle_by_server.setdefault(server_id, []).append(link)

    async def close_idle(self, server_id: str) -> None:
        """Closes the idle connections to a server that is gone."""
        for link in self._idle_by_server.pop(server_id, []):
            await link.connection.aclose()

    async def close_all_idle(self) -> None:
        """Closes all idle connections, for example after a suspension."""
        for server_id in list(self._idle_by_server):
            await self.close_idle(server_id)

    async def close_expired(self) -> None:
        """Closes connections whose idle time is over."""
        now = self._timer.now()
        for server_id, links in list(self._idle_by_server.items()):
            kept = [link for link in links if link.usable_until > now]
            expired = [link for link in links if link.usable_until <= now]
            self._idle_by_server[server_id] = kept
            for link in expired:
                await link.connection.aclose()

    async def _take_idle(self, server_id: str) -> _Link | None:
        links = self._idle_by_server.get(server_id, [])
        while links:
            link = links.pop()
            # A readable idle connection was closed or carries an answer
            # that nobody asked for.
            if (
                link.usable_until > self._timer.now()
                and not link.connection.has_expired()
            ):
                return link
            await link.connection.aclose()
        return None

    async def _open(
        self, server_id: str, host: str, port: int
    ) -> Result[_Link, Failure]:
        self._count_connect(server_id)
        try:
            stream = await self._backend.connect_tcp(
                host,
                port,
                timeout=CONNECT_TIMEOUT_S,
                socket_options=SOCKET_OPTIONS,
            )
        except (ConnectError, ConnectTimeout) as error:
            return Err(Failure(ResultCode.CONNECT_FAILED, repr(error)))
        origin = Origin(b"http", host.encode(), port)
        return Ok(_Link(AsyncHTTP11Connection(origin, stream), 0.0))


def _has_surplus(connection: AsyncHTTP11Connection) -> bool:
    """Whether bytes after the last answer were already read."""
    # httpcore has no public name for the parser's buffer.
    data, _ = connection._h11_state.trailing_data
    return bool(data)


def _too_long(size: int) -> Failure:
    return Failure(
        ResultCode.SERVER_CUT,
        f"ended after {size} bytes of answer",
        RunState.MAY_HAVE_RUN,
    )


def _lost(error: Exception) -> Failure:
    code = ResultCode.SERVER_CUT
    if isinstance(error, TimeoutException):
        code = ResultCode.SERVER_TIMEOUT
    return Failure(code, repr(error), RunState.MAY_HAVE_RUN)
