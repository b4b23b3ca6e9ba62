"""HTTP connections on which headers may take a limited time.

``asgi.serve_http`` uses it where a limit is set. The library has none: a
caller that sends its headers byte by byte would hold its connection for ever.
"""

from asyncio import TimerHandle
from collections.abc import Callable

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

REQUEST_TIMEOUT = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\n"
    b"connection: close\r\n\r\n"
)


def header_timeout_protocol(
    longest_s: Callable[[], float], on_timeout: Callable[[], None]
) -> type[HttpToolsProtocol]:
    """Returns a protocol that ends connections with slow headers.

    ``longest_s`` is asked for each request, in seconds from its first byte;
    ``on_timeout`` is called with each connection that is ended.
    """

    class TimedHeaders(HttpToolsProtocol):
        _header_timer: TimerHandle | None = None

        def on_message_begin(self) -> None:
            super().on_message_begin()
            self._start_timer()

        def on_headers_complete(self) -> None:
            self._stop_timer()
            super().on_headers_complete()

        def connection_lost(self, exc: Exception | None) -> None:
            self._stop_timer()
            super().connection_lost(exc)

        def _start_timer(self) -> None:
            self._header_timer = self.loop.call_later(
                longest_s(), self._end_connection
            )

        def _stop_timer(self) -> None:
            if self._header_timer is not None:
                self._header_timer.cancel()
                self._header_timer = None

        def _end_connection(self) -> None:
            self._header_timer = None
            if self.cycle is not None and not self.cycle.response_complete:
                # An earlier request's answer must not be cut.
                self._start_timer()
                return
            on_timeout()
            self.transport.write(REQUEST_TIMEOUT)
            self.transport.close()

    return TimedHeaders
