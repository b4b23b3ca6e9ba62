"""Network connections of HTTP clients that give way while they read.

Heads, interim answers and trailers are parsed below the pieces of a body, and
the parser waits only for the network. So each read returns few bytes as long
as it is not known how long their parsing takes.
"""

from collections.abc import Iterable
from typing import Any

from httpcore import AnyIOBackend
from httpcore import AsyncNetworkBackend
from httpcore import AsyncNetworkStream
from httpcore import SOCKET_OPTION

from wasabiwing.reading_turns import new_reading_slice
from wasabiwing.reading_turns import SLICE_S

# Limits of one read, in bytes. It grows while the bytes of full reads are
# parsed within a part of a slice.
MIN_READ_BYTES = 4096
MAX_READ_BYTES = 65_536
GROWTH = 2
QUICK_SHARE = 0.25


class PacedStream(AsyncNetworkStream):
    """A connection whose reads give way to other tasks."""

    def __init__(self, stream: AsyncNetworkStream) -> None:
        self._stream = stream
        self._slice = new_reading_slice()
        self._read_bytes = MIN_READ_BYTES
        self._was_full = False

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        used_s = self._slice.used_s()
        if used_s > SLICE_S:
            self._read_bytes = MIN_READ_BYTES
            await self._slice.give_way_if_used_up()
        elif self._was_full and used_s < SLICE_S * QUICK_SHARE:
            self._read_bytes = min(self._read_bytes * GROWTH, MAX_READ_BYTES)
        limit = min(max_bytes, self._read_bytes)
        data = await self._stream.read(limit, timeout)
        self._was_full = len(data) == limit
        self._slice.used_s()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class PacedBackend(AsyncNetworkBackend):
    """Opens connections whose reads give way to other tasks."""

    def __init__(self) -> None:
        self._backend = AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SOCKET_OPTION] | None = None,
    ) -> AsyncNetworkStream:
        return PacedStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        await self._backend.sleep(seconds)
