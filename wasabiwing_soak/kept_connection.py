"""A caller's connection that stays open while the caller is idle.

``HttpClient`` drops idle connections and opens new ones by itself, so it
cannot show what happens to a request on a connection that was open before.
"""

from dataclasses import dataclass
from typing import Self

from anyio import BrokenResourceError
from anyio import ClosedResourceError
from anyio import connect_tcp
from anyio import EndOfStream
from anyio import fail_after
from anyio import move_on_after
from anyio import sleep
from anyio.abc import SocketStream
from h11 import CLIENT
from h11 import Connection
from h11 import ConnectionClosed
from h11 import Data
from h11 import DONE
from h11 import EndOfMessage
from h11 import Event
from h11 import NEED_DATA
from h11 import ProtocolError
from h11 import Request
from h11 import Response

MAX_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class KeptReply:
    """The answer to one request, as far as it came."""

    # HTTP status; 0 without a whole answer.
    status: int
    body: bytes
    # Whether the connection can be used for another request.
    reusable: bool = False
    # What ended an answer that is not whole.
    detail: str = ""


class KeptConnection:
    """A connection that is closed only by the node or by ``close``."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._http = Connection(CLIENT)

    @classmethod
    async def open(cls, address: str) -> Self | None:
        """Connects to ``host:port``; returns ``None`` if that fails."""
        host, _, port = address.rpartition(":")
        try:
            return cls(await connect_tcp(host, int(port)))
        except OSError:
            return None

    async def close(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    async def stays_open(self, seconds: float) -> bool:
        """Keeps the connection idle; returns whether it is still open."""
        with move_on_after(seconds):
            try:
                await self._stream.receive(1)
            except (BrokenResourceError, EndOfStream):
                return False
        return True

    async def send(
        self,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
        body_delay_s: float = 0.0,
    ) -> KeptReply:
        """Sends a POST request and waits for the whole answer.

        The body follows its headers after ``body_delay_s``.
        """
        request = Request(
            method="POST",
            target=target,
            headers=[*headers.items(), ("Content-Length", str(len(body)))],
        )
        status = 0
        parts: list[bytes] = []
        try:
            with fail_after(timeout_s):
                await self._write(request)
                await sleep(body_delay_s)
                await self._write(Data(body), EndOfMessage())
                while True:
                    event = await self._next_event()
                    if isinstance(event, Response):
                        status = event.status_code
                    elif isinstance(event, Data):
                        parts.append(bytes(event.data))
                    elif isinstance(event, EndOfMessage):
                        break
                    elif isinstance(event, ConnectionClosed):
                        raise EndOfStream
        except (
            BrokenResourceError,
            ClosedResourceError,
            EndOfStream,
            ProtocolError,
            TimeoutError,
        ) as error:
            detail = f"{type(error).__name__} after {len(parts)} parts"
            return KeptReply(0, b"".join(parts), detail=detail)
        reusable = self._http.our_state is self._http.their_state is DONE
        if reusable:
            self._http.start_next_cycle()
        return KeptReply(status, b"".join(parts), reusable)

    async def _write(self, *events: Event) -> None:
        sent = b"".join(self._http.send(event) or b"" for event in events)
        await self._stream.send(sent)

    async def _next_event(self) -> object:
        while (event := self._http.next_event()) is NEED_DATA:
            try:
                self._http.receive_data(
                    await self._stream.receive(MAX_READ_BYTES)
                )
            except EndOfStream:
                self._http.receive_data(b"")
        return event
