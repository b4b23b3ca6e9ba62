"""A TCP proxy that forwards connections and injects network faults.

The proxy runs between a node and a server or store. It can delay data, hold
data back in one direction or both, reset connections, and cut the link as a
network partition does.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from socket import create_connection
from socket import SO_LINGER
from socket import socket
from socket import SOL_SOCKET
from struct import pack

from anyio import BrokenResourceError
from anyio import CancelScope
from anyio import ClosedResourceError
from anyio import connect_tcp
from anyio import create_task_group
from anyio import EndOfStream
from anyio import Event
from anyio import sleep
from anyio import TASK_STATUS_IGNORED
from anyio import wait_readable
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus

from wasabiwing.asgi import bind_listener

HOST = "127.0.0.1"

# Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = pack("ii", 1, 0)


class LinkCut(StrEnum):
    """What a partition does to a link."""

    # Open connections hang, and new ones time out.
    SILENT = "silent"
    # Open connections are reset, and new ones are refused.
    REFUSE = "refuse"
    # Open connections live on, and new ones are refused.
    HALF = "half"


@dataclass(slots=True, eq=False)
class _Connection:
    """The two sockets of a forwarded connection."""

    caller: SocketStream
    target: SocketStream
    scope: CancelScope


@dataclass(slots=True)
class LoopbackProxy:
    """A proxy in front of one address of the form ``host:port``."""

    target: str
    # Delay of each piece of data, in seconds.
    delay_s: float = 0.0
    # Whether data to the target, or from the target, is held back.
    silent_to_target: bool = False
    silent_from_target: bool = False
    # Whether new connections are closed at once.
    closed: bool = False
    # Address at which the proxy listens; port 0 stands for a free port.
    host: str = HOST
    port: int = 0
    # IP address from which it connects to the target.
    source_host: str = HOST
    address: str = ""
    _cut: LinkCut | None = None
    _connections: set[_Connection] = field(default_factory=set)
    _changed: Event = field(default_factory=Event)
    _cut_changed: Event = field(default_factory=Event)

    async def run(
        self, *, task_status: TaskStatus[str] = TASK_STATUS_IGNORED
    ) -> None:
        """Serves connections; the task status gets the proxy's address."""
        # Reserves the port while nothing listens at it.
        with bind_listener(self.host, self.port) as reserved:
            self.port = reserved.getsockname()[1]
            self.address = f"{self.host}:{self.port}"
            async with create_task_group() as connections:
                listens = Event()
                connections.start_soon(self._listen, connections, listens)
                await listens.wait()
                task_status.started(self.address)

    def set_cut(self, cut: LinkCut | None) -> None:
        """Cuts the link, or restores it with ``None``."""
        self._cut = cut
        self._notify()
        if cut is LinkCut.REFUSE:
            self.reset()
        self._cut_changed.set()
        self._cut_changed = Event()

    def set_silence(self, to_target: bool, from_target: bool) -> None:
        """Sets in which directions data is held back.

        Data held back before is forwarded in a direction that is not silent.
        """
        self.silent_to_target = to_target
        self.silent_from_target = from_target
        self._notify()

    def reset(self) -> int:
        """Resets all connections; returns their number."""
        count = len(self._connections)
        for connection in self._connections:
            for side in (connection.caller, connection.target):
                _reset_on_close(side)
            connection.scope.cancel()
        return count

    async def _listen(self, connections: TaskGroup, listens: Event) -> None:
        while True:
            changed = self._cut_changed
            if self._cut is None:
                with bind_listener(self.host, self.port) as listener:
                    listener.setblocking(False)
                    listener.listen()
                    listens.set()
                    async with create_task_group() as accepting:
                        accepting.start_soon(
                            self._accept, listener, connections
                        )
                        await changed.wait()
                        accepting.cancel_scope.cancel()
                    # They would be reset, but came before the cut.
                    self._accept_waiting(listener, connections)
            elif self._cut is LinkCut.SILENT:
                with bind_listener(self.host, self.port) as unanswered:
                    # The kernel drops further connection requests as soon as
                    # one connection waits to be accepted.
                    unanswered.listen(0)
                    with create_connection((self.host, self.port)):
                        await changed.wait()
            else:
                await changed.wait()

    async def _accept(self, listener: socket, connections: TaskGroup) -> None:
        while True:
            await wait_readable(listener)
            self._accept_waiting(listener, connections)

    def _accept_waiting(
        self, listener: socket, connections: TaskGroup
    ) -> None:
        while True:
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                return
            connections.start_soon(self._serve, accepted)

    async def _serve(self, accepted: socket) -> None:
        caller = await SocketStream.from_socket(accepted)
        host, _, port = self.target.rpartition(":")
        try:
            if self.closed:
                raise ConnectionRefusedError
            target = await connect_tcp(
                host, int(port), local_host=self.source_host
            )
        except OSError:
            # The target is unreachable: close the caller's connection.
            await caller.aclose()
            return
        if self._cut is LinkCut.REFUSE:
            # It was accepted just before the cut.
            _reset_on_close(caller)
            await caller.aclose()
            await target.aclose()
            return
        async with caller, target, create_task_group() as tasks:
            connection = _Connection(caller, target, tasks.cancel_scope)
            self._connections.add(connection)
            try:
                tasks.start_soon(self._forward, caller, target, True)
                await self._forward(target, caller, False)
            finally:
                self._connections.discard(connection)

    async def _forward(
        self, source: SocketStream, sink: SocketStream, to_target: bool
    ) -> None:
        try:
            while True:
                data = await source.receive()
                await self._delay(to_target)
                await sink.send(data)
        except EndOfStream:
            await self._delay(to_target)
            await _forward_end(sink)
        except (BrokenResourceError, ClosedResourceError):
            # One side has reset the connection; the other one sees a reset,
            # as it would without the proxy.
            for side in (sink, source):
                _reset_on_close(side)
                await side.aclose()

    async def _delay(self, to_target: bool) -> None:
        if self.delay_s:
            await sleep(self.delay_s)
        while self._is_silent(to_target):
            await self._changed.wait()

    def _is_silent(self, to_target: bool) -> bool:
        if self._cut is LinkCut.SILENT:
            return True
        return self.silent_to_target if to_target else self.silent_from_target

    def _notify(self) -> None:
        self._changed.set()
        self._changed = Event()


def _reset_on_close(side: SocketStream) -> None:
    """Lets a close of a connection send a reset, unless it is closed."""
    raw = side.extra(SocketAttribute.raw_socket)
    if raw.fileno() >= 0:
        raw.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)


async def _forward_end(sink: SocketStream) -> None:
    """Forwards the end of a stream."""
    try:
        await sink.send_eof()
    except (OSError, BrokenResourceError, ClosedResourceError):
        # The other side is already closed.
        return
