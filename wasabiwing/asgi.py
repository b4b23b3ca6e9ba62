"""Small helpers for ASGI applications, and running uvicorn in a task."""

from asyncio import get_running_loop
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from enum import auto
from enum import Enum
from logging import getLogger
from logging import NullHandler
from math import ceil
from socket import AF_INET
from socket import SO_REUSEADDR
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from typing import Any

from anyio import create_task_group
from anyio import Event
from anyio import get_cancelled_exc_class
from anyio import sleep
from msgspec.json import encode
from uvicorn import Config
from uvicorn import Server

from wasabiwing.answer_log import failure_document
from wasabiwing.asgi_answer import AsgiAnswer
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.connection_budget import ConnectionBudget
from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.header_timeout import PipelineProtocol

# uvicorn's own lines would break the log format; exceptions of handlers are
# logged in this module as events.
UVICORN_LOGGER = "uvicorn"
getLogger(UVICORN_LOGGER).addHandler(NullHandler())
getLogger(UVICORN_LOGGER).propagate = False

Scope = Mapping[str, Any]
Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"

SOCKET_BACKLOG = 2048

# Period in seconds at which ``serve_http`` reads the idle timeout again and
# looks for slow clients.
IDLE_TIMEOUT_POLL_S = 0.5

# Time in seconds for unfinished answers to end after ``stop`` was set, where a
# program names none.
GRACEFUL_SHUTDOWN_S = 5.0


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request with its whole body."""

    method: str
    path: str
    # Header values by lower-case name.
    headers: Mapping[str, str]
    body: bytes
    # Values of the pattern's segments in braces, by their names.
    path_parameters: Mapping[str, str]
    query: str = ""
    # Host from which the connection comes; empty if unknown.
    client_host: str = ""


class BodyProblem(Enum):
    """Why a request's body could not be read."""

    TOO_LARGE = auto()
    # The connection ended before the end of the body.
    CALLER_LEFT = auto()


class Responder:
    """Writes the answer to one HTTP request."""

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        closes: Callable[[], bool] = lambda: False,
    ) -> None:
        self._receive = receive
        self._answer = AsgiAnswer(scope, send)
        # Whether the caller is told to close its connection afterwards.
        self._closes = closes

    @property
    def started(self) -> bool:
        """Whether the answer has begun."""
        return self._answer.started

    async def send_json(
        self,
        status: int,
        document: object,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a document as a complete JSON answer."""
        await self.send_whole(status, encode(document), JSON_TYPE, headers)

    async def send_whole(
        self,
        status: int,
        body: bytes,
        content_type: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends status, headers and whole body of an answer."""
        headers_with_length = {
            **(headers or {}),
            "content-length": str(len(body)),
        }
        await self.start(status, content_type, headers_with_length)
        await self._answer.finish(body)

    async def send_unproved(
        self,
        status: int,
        body: bytes,
        content_type: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends an answer that ends with its connection, as it was got."""
        await self.start(status, content_type, headers, states_end=False)
        await self._answer.finish(body)

    async def start(
        self,
        status: int,
        content_type: str,
        headers: Mapping[str, str] | None = None,
        states_end: bool = True,
    ) -> None:
        """Sends the status and headers of an answer."""
        pairs = [(b"content-type", content_type.encode())]
        for name, value in (headers or {}).items():
            pairs.append((name.lower().encode(), value.encode()))
        if self._closes():
            pairs.append((b"connection", b"close"))
        await self._answer.start(status, tuple(pairs), states_end)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._answer.write(data)

    async def finish(self) -> None:
        """Ends the body."""
        await self._answer.finish()

    async def wait_disconnected(self) -> None:
        """Waits until the caller has closed the connection."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return


HttpHandler = Callable[[HttpRequest, Responder], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class HttpRoute:
    """A handler for a method and a path pattern.

    A pattern segment in braces, as in ``/v1/requests/{id}``, matches any
    one segment; ``*`` as method matches all methods.
    """

    method: str
    pattern: str
    handler: HttpHandler


def build_application(
    routes: tuple[HttpRoute, ...],
    fallback: HttpHandler,
    max_body_bytes: Callable[[], int],
    node: str = "",
    closes: Callable[[Scope], bool] = lambda scope: False,
) -> Application:
    """Returns an ASGI application that serves the routes.

    ``closes`` is asked when an answer begins whether the caller is told to
    close its connection afterwards.

    An exception of a handler is logged; the caller gets status 500, or a
    cut connection when the answer has begun.
    """

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        responder = Responder(scope, receive, send, lambda: closes(scope))
        try:
            await respond(scope, receive, responder)
        except get_cancelled_exc_class():
            # The server was shut down before the answer; the caller sees its
            # connection close.
            return
        except Exception as error:
            log_event(
                LogEvent.TASK_FAILED,
                node,
                task=f"{scope['method']} {scope['path']}",
                error=repr(error),
            )
            if not responder.started:
                await responder.send_json(
                    500, {"error": {"message": "internal error"}}
                )

    async def respond(
        scope: Scope, receive: Receive, responder: Responder
    ) -> None:
        body = await read_body(receive, max_body_bytes())
        if body is BodyProblem.CALLER_LEFT:
            return
        if body is BodyProblem.TOO_LARGE:
            failure = Failure(ResultCode.REQUEST_TOO_LARGE)
            await responder.send_json(
                413,
                failure_document(failure),
                {"X-Run-State": failure.run_state.value},
            )
            return
        handler, parameters = _find_handler(routes, fallback, scope)
        request = HttpRequest(
            scope["method"],
            scope["path"],
            {
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            body,
            parameters,
            scope.get("query_string", b"").decode("latin-1"),
            (scope.get("client") or ("",))[0],
        )
        await handler(request, responder)

    return application


def bind_listener(host: str, port: int) -> socket:
    """Returns a bound TCP socket; port 0 stands for a free port."""
    listener = socket(AF_INET, SOCK_STREAM)
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.bind((host, port))
    return listener


def listener_address(listener: socket) -> str:
    """Returns ``host:port`` of a bound socket."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


class _EmbeddedServer(Server):
    """A uvicorn server that leaves signal handling to its program."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


async def serve_http(
    application: Application,
    listener: socket,
    stop: Event,
    idle_timeout_s: Callable[[], float] | None = None,
    protocol: type[PipelineProtocol] = PipelineProtocol,
    closing_s: Callable[[], float] = lambda: GRACEFUL_SHUTDOWN_S,
    budget: ConnectionBudget | None = None,
) -> None:
    """Serves HTTP on a bound socket until ``stop`` is set.

    Unfinished answers then have ``closing_s()`` seconds to end.
    Cancelling the task closes all connections. ``idle_timeout_s`` is called
    every ``IDLE_TIMEOUT_POLL_S`` seconds, since the timeout may change. All
    listeners of a process share one ``budget``.
    """
    if budget is not None:
        protocol = type("Budgeted", (protocol,), {"budget": budget})
    config = Config(
        application,
        http=protocol,
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        lifespan="off",
        backlog=SOCKET_BACKLOG,
    )
    server = _EmbeddedServer(config)
    async with create_task_group() as tasks:

        async def wait_for_stop() -> None:
            await stop.wait()
            # uvicorn takes fractions of a second, unlike its type says.
            setattr(config, "timeout_graceful_shutdown", closing_s())
            server.should_exit = True

        async def follow_connections() -> None:
            while True:
                if idle_timeout_s is not None:
                    config.timeout_keep_alive = ceil(idle_timeout_s())
                now = get_running_loop().time()
                for connection in tuple(server.server_state.connections):
                    assert isinstance(connection, PipelineProtocol)
                    connection.timeout_keep_alive = config.timeout_keep_alive
                    connection.sweep(now)
                await sleep(IDLE_TIMEOUT_POLL_S)

        tasks.start_soon(wait_for_stop)
        tasks.start_soon(follow_connections)
        try:
            await server.serve(sockets=[listener])
        finally:
            _abort_connections(server)
        tasks.cancel_scope.cancel()


def _abort_connections(server: Server) -> None:
    """Aborts all open connections, so that peers see the end at once."""
    for listening in getattr(server, "servers", ()):
        listening.close()
    for connection in list(server.server_state.connections):
        transport = getattr(connection, "transport", None)
        if transport is not None:
            transport.abort()
    for task in list(server.server_state.tasks):
        task.cancel()


async def read_body(receive: Receive, limit: int) -> bytes | BodyProblem:
    """Reads the whole body of a request, up to ``limit`` bytes."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return BodyProblem.CALLER_LEFT
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            return BodyProblem.TOO_LARGE
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


def _find_handler(
    routes: tuple[HttpRoute, ...], fallback: HttpHandler, scope: Scope
) -> tuple[HttpHandler, dict[str, str]]:
    for route in routes:
        if route.method not in ("*", scope["method"]):
            continue
        parameters = _match_path(route.pattern, scope["path"])
        if parameters is not None:
            return route.handler, parameters
    return fallback, {}


def _match_path(pattern: str, path: str) -> dict[str, str] | None:
    if pattern == path:
        return {}
    pattern_segments = pattern.split("/")
    path_segments = path.split("/")
    if len(pattern_segments) != len(path_segments):
        return None
    parameters: dict[str, str] = {}
    for name, value in zip(pattern_segments, path_segments):
        if name.startswith("{") and value:
            parameters[name[1:-1]] = value
        elif name != value:
            return None
    return parameters
