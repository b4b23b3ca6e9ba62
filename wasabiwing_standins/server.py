"""Runs a stand-in's ASGI application, with kill and restart."""

from socket import socket

from anyio import CancelScope
from anyio import Event
from anyio import TASK_STATUS_IGNORED
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus

from wasabiwing.asgi import Application
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import serve_http


class StandInServer:
    """Serves one application on one address."""

    def __init__(self, tasks: TaskGroup, application: Application) -> None:
        self._tasks = tasks
        self._application = application
        self._scope: CancelScope | None = None
        self._port = 0
        # ``host:port``; set at the first start and kept over restarts.
        self.address = ""

    async def start(self) -> None:
        """Starts to serve; a restart uses the port of the first start."""
        listener = bind_listener("127.0.0.1", self._port)
        self.address = listener_address(listener)
        self._port = listener.getsockname()[1]
        await self._tasks.start(self._serve, listener)

    def kill(self) -> None:
        """Cuts all connections and stops serving at once."""
        if self._scope is not None:
            self._scope.cancel()

    async def _serve(
        self,
        listener: socket,
        *,
        task_status: TaskStatus[None] = TASK_STATUS_IGNORED,
    ) -> None:
        with CancelScope() as scope:
            self._scope = scope
            task_status.started()
            await serve_http(self._application, listener, Event())
        listener.close()
