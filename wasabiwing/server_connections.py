"""Pools of HTTP/1.1 connections, one pool for each backend server.

The connections are those of httpcore. Its pool is not used, because a
connection here belongs to one incarnation of one server. It is closed when
bytes follow a whole answer, because they would be read as the next answer, and
when an answer has ended with its connection.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import dataclass
from weakref import WeakSet

from h11 import SEND_BODY
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

from wasabiwing.answer_end import status_fault
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.paced_network import PacedBackend
from wasabiwing.reading_turns import new_reading_slice
from wasabiwing.routed_calls import RawHeaders
from wasabiwing.tcp_options import any_stays_established
from wasabiwing.tcp_options import SOCKET_OPTIONS
from wasabiwing.tcp_options import took_all
from wasabiwing.timers import TimerService

# The network between zones responds within milliseconds.
CONNECT_TIMEOUT_S = 0.6

# Idle connections are closed this many seconds before the server's own idle
# timeout.
IDLE_MARGIN_S = 1.0

# Idle timeout in seconds where a server states none; below common defaults
# of servers.
DEFAULT_IDLE_TIMEOUT_S = 2.0

READ_ERRORS = (NetworkError, ProtocolError, TimeoutException)

# Limits in bytes for one plain answer and for all plain answers that a node
# buffers at a time: a faulty server may send without end.
MAX_ANSWER_BYTES = 4_194_304
MAX_BUFFERED_ANSWER_BYTES = 33_554_432


class AnswerMemoryBudget:
    """Memory budget of one node for plain answers that are being read."""

    def __init__(self) -> None:
        self.reserved_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserves ``size`` bytes; returns ``False`` if too few are left."""
        if self.reserved_bytes + size > MAX_BUFFERED_ANSWER_BYTES:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Releases ``size`` reserved bytes."""
        self.reserved_bytes -= size


@dataclass(slots=True)
class _PoolEntry:
    """A connection and the time until which it may be reused."""

    connection: AsyncHTTP11Connection
    usable_until: float


class ServerAnswer:
    """A backend server's answer while its body is read."""

    def __init__(
        self,
        connections: "ServerConnections",
        server_id: str,
        entry: _PoolEntry,
    ) -> None:
        self._connections = connections
        self._server_id = server_id
        self._entry = entry
        self._response: Response | None = None
        self.status = 0
        self.headers: RawHeaders = ()

    def set_response(self, response: Response) -> None:
        """Takes status, headers and body from the response."""
        self._response = response
        self.status = response.status
        self.headers = tuple(response.headers)

    async def chunks(self) -> AsyncIterator[Result[bytes, Failure]]:
        """Yields body bytes as they arrive; ends after a failure."""
        if self._response is None:
            return
        reading = new_reading_slice()
        try:
            async for chunk in self._response.aiter_stream():
                yield Ok(chunk)
                await reading.give_way_if_used_up()
        except READ_ERRORS as error:
            yield Err(_connection_failure(error))

    async def read(self) -> Result[bytes, Failure]:
        """Reads the whole body, up to ``MAX_ANSWER_BYTES``."""
        memory_budget = self._connections.memory_budget
        # Small pieces in a list would take many times their size.
        body = bytearray()
        reserved = 0
        try:
            async for chunk in self.chunks():
                if isinstance(chunk, Err):
                    return chunk
                part = chunk.ok_value
                size = len(body) + len(part)
                too_long = size > MAX_ANSWER_BYTES
                if too_long or not memory_budget.reserve(len(part)):
                    return Err(_answer_too_long(size))
                reserved += len(part)
                body += part
            return Ok(bytes(body))
        finally:
            memory_budget.release(reserved)

    def took_request(self) -> bool:
        """Whether the server has accepted every byte of the request.

        httpcore reads the answer also after a failure to send the request.
        """
        connection = self._entry.connection
        # httpcore gives no public access to the parser's state.
        is_sent = connection._h11_state.our_state is not SEND_BODY
        return is_sent and took_all(connection._network_stream)

    async def close(self, reusable_s: float | None = None) -> None:
        """Ends the exchange and returns its connection to the pool.

        The connection is closed instead if ``reusable_s``, the seconds for
        which the server keeps it open, is ``None``, if the answer was not
        read to its end, or if bytes or the connection's end follow the answer.
        """
        if self._response is not None:
            await self._response.aclose()
        await self._connections.return_to_pool(
            self._server_id, self._entry, reusable_s
        )


class ServerConnections:
    """All connections of one node to backend servers."""

    def __init__(
        self,
        timer: TimerService,
        count_connect: Callable[[str], None],
    ) -> None:
        self._timer = timer
        self._backend = PacedBackend()
        self._count_connect = count_connect
        self._idle_by_server: dict[str, list[_PoolEntry]] = {}
        # All connections that are in use somewhere, idle ones as well.
        self._opened_by_server: dict[str, WeakSet[AsyncHTTP11Connection]] = {}
        self.memory_budget = AnswerMemoryBudget()

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
        note_connected: Callable[[], None] = lambda: None,
    ) -> Result[ServerAnswer, Failure]:
        """Sends a request and waits for the headers of its answer.

        The failure's run state is ``NOT_RUN`` only if no byte was sent.
        ``may_send`` is called once a new connection is open; if it returns
        ``False``, the request is not sent. ``note_connected`` is called right
        before the request is sent. Whoever calls this method closes the
        returned answer.
        """
        host, _, port = address.rpartition(":")
        entry = await self._pop_idle(server_id)
        if entry is None:
            opened = await self._connect(server_id, host, int(port))
            if isinstance(opened, Err):
                return opened
            entry = opened.ok_value
            # The server may have made a new statement while the connection
            # was opened.
            if not may_send():
                await entry.connection.aclose()
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
        answer = ServerAnswer(self, server_id, entry)
        note_connected()
        try:
            response = await entry.connection.handle_async_request(request)
        except ConnectionNotAvailable as error:
            await entry.connection.aclose()
            return Err(Failure(ResultCode.CONNECT_FAILED, repr(error)))
        except READ_ERRORS as error:
            await entry.connection.aclose()
            return Err(_connection_failure(error))
        except BaseException:
            await entry.connection.aclose()
            raise
        fault = status_fault(response.status)
        if fault is not None:
            await response.aclose()
            await entry.connection.aclose()
            return Err(fault)
        answer.set_response(response)
        return Ok(answer)

    async def return_to_pool(
        self,
        server_id: str,
        entry: _PoolEntry,
        reusable_s: float | None,
    ) -> None:
        """Returns a connection to the pool, or closes it."""
        connection = entry.connection
        if (
            reusable_s is None
            or not connection.is_idle()
            or not _awaits_request(connection)
        ):
            await connection.aclose()
            return
        usable_s = max(reusable_s - IDLE_MARGIN_S, 0.0)
        entry.usable_until = self._timer.now() + usable_s
        self._idle_by_server.setdefault(server_id, []).append(entry)

    def has_idle(self, server_id: str) -> bool:
        """Whether a connection to a server may be reused."""
        now = self._timer.now()
        return any(
            entry.usable_until > now
            for entry in self._idle_by_server.get(server_id, ())
        )

    async def keeps_connection(self, server_id: str) -> bool:
        """Whether a server's process outlives an answer that has just ended.

        Another connection of this node to the server shows it.
        """
        return await any_stays_established(
            lambda: [
                # httpcore gives no public access to a connection's stream.
                connection._network_stream
                for connection in self._opened_by_server.get(server_id, ())
            ]
        )

    async def close_idle(self, server_id: str) -> None:
        """Closes the idle connections to a server that has ended."""
        for entry in self._idle_by_server.pop(server_id, []):
            await entry.connection.aclose()

    async def close_all_idle(self) -> None:
        """Closes all idle connections, for example after a suspension."""
        for server_id in list(self._idle_by_server):
            await self.close_idle(server_id)

    async def close_expired(self) -> None:
        """Closes idle connections that may no longer be reused."""
        now = self._timer.now()
        for server_id, entries in list(self._idle_by_server.items()):
            kept = [entry for entry in entries if entry.usable_until > now]
            expired = [entry for entry in entries if entry.usable_until <= now]
            self._idle_by_server[server_id] = kept
            for entry in expired:
                await entry.connection.aclose()
        for server_id, opened in list(self._opened_by_server.items()):
            if not opened:
                del self._opened_by_server[server_id]

    async def _pop_idle(self, server_id: str) -> _PoolEntry | None:
        entries = self._idle_by_server.get(server_id, [])
        while entries:
            entry = entries.pop()
            # A readable idle connection was closed by the server or holds
            # an answer without a request.
            if (
                entry.usable_until > self._timer.now()
                and not entry.connection.has_expired()
            ):
                return entry
            await entry.connection.aclose()
        return None

    async def _connect(
        self, server_id: str, host: str, port: int
    ) -> Result[_PoolEntry, Failure]:
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
        connection = AsyncHTTP11Connection(origin, stream)
        self._opened_by_server.setdefault(server_id, WeakSet()).add(connection)
        return Ok(_PoolEntry(connection, 0.0))


def _awaits_request(connection: AsyncHTTP11Connection) -> bool:
    """Whether neither bytes nor the connection's end follow the answer."""
    # httpcore gives no public access to the parser's buffer.
    data, ended = connection._h11_state.trailing_data
    return not data and not ended


def _answer_too_long(size: int) -> Failure:
    return Failure(
        ResultCode.SERVER_CUT,
        f"ended after {size} bytes of answer",
        RunState.MAY_HAVE_RUN,
    )


def _connection_failure(error: Exception) -> Failure:
    code = ResultCode.SERVER_CUT
    if isinstance(error, TimeoutException):
        code = ResultCode.SERVER_TIMEOUT
    return Failure(code, repr(error), RunState.MAY_HAVE_RUN)
