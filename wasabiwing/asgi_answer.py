"""Sends one answer over ASGI, also one that ends with its connection.

ASGI has no word for such an answer, and uvicorn adds chunks to any answer
without a length. Its last chunk would state an end that nobody has proved.
Until such an answer is whole, its connection is set to end with a reset, also
if this process is killed; only a whole answer ends with FIN.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from socket import SO_LINGER
from socket import SOL_SOCKET
from struct import pack
from typing import Any

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from wasabiwing.answer_end import answer_framing
from wasabiwing.answer_end import Framing
from wasabiwing.routed_calls import RawHeaders

# ASGI extension with a weak reference to uvicorn's state of the request, which
# lives as long as the request's task.
CYCLE_EXTENSION = "wasabiwing.cycle"

# HTTP version whose clients know no chunks.
VERSION_WITHOUT_CHUNKS = "1.0"

# Values of ``SO_LINGER``: whether a close sends a reset, after zero seconds.
RESET_ON_CLOSE = pack("ii", 1, 0)
FIN_ON_CLOSE = pack("ii", 0, 0)


class AsgiAnswer:
    """The answer to one request, as ASGI messages."""

    def __init__(
        self,
        scope: Mapping[str, Any],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        self._scope = scope
        self._send = send
        # uvicorn's state if this answer ends with its connection.
        self._unframed: RequestResponseCycle | None = None
        self.started = False

    @property
    def states_end(self) -> bool:
        """Whether the caller can tell the end from a lost connection."""
        return self._unframed is None

    async def start(
        self, status: int, headers: RawHeaders, states_end: bool = True
    ) -> None:
        """Sends status and headers, with names in lower case.

        ``states_end`` says whether the body's end is to be stated, by the
        length in ``headers`` or by chunks.
        """
        self.started = True
        framing = answer_framing(self._scope["method"], status, headers)
        knows_chunks = self._scope["http_version"] != VERSION_WITHOUT_CHUNKS
        if framing is Framing.CONNECTION and not (states_end and knows_chunks):
            cycle = self._scope["extensions"][CYCLE_EXTENSION]["cycle"]()
            cycle.chunked_encoding = False
            cycle.keep_alive = False
            self._unframed = cycle
            self._set_linger(RESET_ON_CLOSE)
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": list(headers),
            }
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send_body(data, more_body=True)

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last part of the body and ends it."""
        if self._unframed is not None:
            self._set_linger(FIN_ON_CLOSE)
        await self._send_body(data, more_body=False)

    async def _send_body(self, data: bytes, more_body: bool) -> None:
        if self._unframed is not None:
            # uvicorn counts down the length that it was told.
            self._unframed.expected_content_length = len(data)
        await self._send(
            {
                "type": "http.response.body",
                "body": data,
                "more_body": more_body,
            }
        )

    def _set_linger(self, linger: bytes) -> None:
        assert self._unframed is not None
        connection = self._unframed.transport.get_extra_info("socket")
        connection.setsockopt(SOL_SOCKET, SO_LINGER, linger)
