"""A uvicorn protocol that limits the time for request headers.

It also tells the application whether a connection holds a further request, and
gives it uvicorn's state of the request (see ``asgi_answer``). A request that
offers an upgrade is served as plain HTTP/1.1, with its whole body.
``asgi.serve_http`` takes it as ``protocol``. uvicorn has no such limit: a
caller that sends its headers byte by byte would hold its connection for ever.
"""

from asyncio import TimerHandle
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from weakref import ref

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser

from wasabiwing.asgi_answer import CYCLE_EXTENSION
from wasabiwing.client_limits import Cause
from wasabiwing.guarded_protocol import GuardedProtocol
from wasabiwing.offered_upgrade import head_without_upgrade

# ASGI extension with a weak reference to the connection's protocol. It tells
# whether a request that was read on the same connection waits for its turn.
PIPELINE_EXTENSION = "wasabiwing.pipeline"


class PipelineProtocol(GuardedProtocol):
    """Tells the application whether further requests were read."""

    # Whether the parser has ended a message at its head, because it offers an
    # upgrade.
    _is_upgrade_offered = False

    def _feed(self, piece: bytes) -> None:
        """Gives some bytes to the parser.

        The parser takes what follows an offered upgrade for another protocol.
        The message is parsed again without the offer, which a server may
        ignore (RFC 9110, section 7.8).
        """
        while True:
            try:
                self.parser.feed_data(piece)
            except HttpParserError:
                self._refuse_unparsed()
                return
            except HttpParserUpgrade as offer:
                head = head_without_upgrade(
                    self.parser.get_method(),
                    self.url,
                    self.parser.get_http_version(),
                    self.headers,
                )
                if head is None:
                    self._refuse_unparsed()
                    return
                piece = head + piece[offer.args[0] :]
                self.parser = HttpRequestParser(self)
                self.parser.set_dangerous_leniencies(
                    lenient_data_after_close=True
                )
                self._is_upgrade_offered = False
            else:
                return

    def on_body(self, body: bytes) -> None:
        if not self._is_upgrade_offered:
            super().on_body(body)

    def on_message_complete(self) -> None:
        if not self._is_upgrade_offered:
            super().on_message_complete()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope["extensions"] = {
            # Weak references: a cycle of references would keep the head of
            # each request until the next full garbage collection.
            PIPELINE_EXTENSION: {"protocol": ref(self)}
        }

    def on_headers_complete(self) -> None:
        self._is_upgrade_offered = self.parser.should_upgrade()
        if self._is_upgrade_offered:
            return
        super().on_headers_complete()
        # A later request on the connection replaces ``self.cycle``.
        self.scope["extensions"][CYCLE_EXTENSION] = {"cycle": ref(self.cycle)}

    def has_next_request(self) -> bool:
        """Whether a further request was read on this connection."""
        return bool(self.pipeline)


def has_next_request(scope: Mapping[str, Any]) -> bool:
    """Whether a request waits that was read on the same connection."""
    extension = scope.get("extensions", {}).get(PIPELINE_EXTENSION)
    protocol = None if extension is None else extension["protocol"]()
    return protocol is not None and bool(protocol.has_next_request())


def header_timeout_protocol(
    timeout_s: Callable[[], float], on_timeout: Callable[[], None]
) -> type[PipelineProtocol]:
    """Returns a protocol that closes connections with slow headers.

    ``timeout_s`` is called for each request and returns the limit in seconds
    from the request's first byte; ``on_timeout`` is called for each
    connection that is closed.
    """

    class HeaderTimeoutProtocol(PipelineProtocol):
        _header_timer: TimerHandle | None = None

        def on_message_begin(self) -> None:
            super().on_message_begin()
            self._start_header_timer()

        def on_headers_complete(self) -> None:
            self._stop_header_timer()
            super().on_headers_complete()

        def connection_lost(self, exc: Exception | None) -> None:
            self._stop_header_timer()
            super().connection_lost(exc)

        def _start_header_timer(self) -> None:
            self._header_timer = self.loop.call_later(
                timeout_s(), self._on_header_timeout
            )

        def _stop_header_timer(self) -> None:
            if self._header_timer is not None:
                self._header_timer.cancel()
                self._header_timer = None

        def _on_header_timeout(self) -> None:
            self._header_timer = None
            if self.cycle is not None and not self.cycle.response_complete:
                # The answer to an earlier request must not be cut off.
                self._start_header_timer()
                return
            on_timeout()
            self._refuse(Cause.SLOW_HEAD)

    return HeaderTimeoutProtocol
