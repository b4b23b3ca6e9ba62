"""Adapter of the ``ModelEngine`` port: OpenAI-compatible HTTP.

Beyond the OpenAI API it uses the extensions that ``docs/wire-formats.md``
describes: request headers for priority and deadline, and calls to resume,
cancel and re-prioritise a stream.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any
from typing import TypeVar

from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import parse_whole_number
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.http_client import AnswerObserver
from wasabiwing.http_client import HttpClient
from wasabiwing.http_client import HttpStream
from wasabiwing.http_client import status_failure
from wasabiwing.ports import CacheEvent
from wasabiwing.ports import CacheExport
from wasabiwing.ports import EngineRequest
from wasabiwing.ports import EngineStream
from wasabiwing.ports import HttpReply

# Seconds without a byte after which a stream counts as stalled.
STREAM_SILENCE_S = 10.0

CALL_TIMEOUT_S = 2.0

MIN_ERROR_STATUS = 400

# Bytes of an error body that go into the failure's detail.
ERROR_BODY_BYTES = 200

T = TypeVar("T")


class HttpEngineStream:
    """A stream of server-sent events of one engine."""

    def __init__(self, stream: HttpStream) -> None:
        self._stream = stream
        self.stream_id = _header_text(stream.header(b"x-stream-id"))
        self.request_id = _header_text(stream.header(b"x-request-id"))
        self.attempt = parse_whole_number(
            _header_text(stream.header(b"x-attempt"))
        )

    def chunks(self) -> AsyncIterator[Result[bytes, Failure]]:
        return self._stream.chunks()


class OpenAiEngine:
    """Client of all model engines."""

    def __init__(
        self,
        max_connections: int = 4096,
        silence_s: float = STREAM_SILENCE_S,
    ) -> None:
        self._client = HttpClient(max_connections)
        # Called with the address of each request that a server may run.
        self._observe: Callable[[str], AnswerObserver] | None = None
        self._silence_s = silence_s

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    def observe_answers(
        self, observe: Callable[[str], AnswerObserver]
    ) -> None:
        """Sets the function that returns an observer for each request."""
        self._observe = observe

    @asynccontextmanager
    async def open_stream(
        self, address: str, request: EngineRequest
    ) -> AsyncIterator[Result[EngineStream, Failure]]:
        async with self._client.stream(
            "POST",
            f"http://{address}{request.path}",
            _request_headers(request),
            request.body,
            min(self._silence_s, max(request.deadline_ms / 1000, 0.001)),
            observer=self._observe(address) if self._observe else None,
        ) as opened:
            yield await _check_stream(opened)

    @asynccontextmanager
    async def resume_stream(
        self, address: str, stream_id: str, last_event_id: int
    ) -> AsyncIterator[Result[EngineStream, Failure]]:
        async with self._client.stream(
            "GET",
            f"http://{address}/v1/streams/{stream_id}",
            {"Last-Event-ID": str(last_event_id)},
            timeout_s=self._silence_s,
        ) as opened:
            yield await _check_stream(opened)

    async def complete(
        self, address: str, request: EngineRequest
    ) -> Result[HttpReply, Failure]:
        reply = await self._client.send(
            "POST",
            f"http://{address}{request.path}",
            _request_headers(request),
            request.body,
            request.deadline_ms / 1000,
            observer=self._observe(address) if self._observe else None,
        )
        return _check_status(reply)

    async def cancel(
        self, address: str, stream_id: str
    ) -> Result[None, Failure]:
        reply = await self._client.send(
            "DELETE",
            f"http://{address}/v1/streams/{stream_id}",
            timeout_s=CALL_TIMEOUT_S,
        )
        return _check_status(reply).map(lambda _: None)

    async def set_priority(
        self, address: str, stream_id: str, priority: int
    ) -> Result[None, Failure]:
        reply = await self._client.send(
            "POST",
            f"http://{address}/v1/streams/{stream_id}/priority",
            body=encode({"priority": priority}),
            timeout_s=CALL_TIMEOUT_S,
        )
        return _check_status(reply).map(lambda _: None)

    async def cache_events(
        self, address: str, after: int
    ) -> Result[tuple[CacheEvent, ...], Failure]:
        reply = await self._client.send(
            "GET",
            f"http://{address}/v1/cache_events?after={after}",
            timeout_s=CALL_TIMEOUT_S,
        )
        return _check_status(reply).and_then(_decode_cache_events)

    async def export_cache(
        self, address: str, stream_id: str
    ) -> Result[CacheExport, Failure]:
        reply = _check_status(
            await self._client.send(
                "POST",
                f"http://{address}/v1/kv/export",
                body=encode({"stream_id": stream_id}),
                timeout_s=CALL_TIMEOUT_S,
            )
        )
        if isinstance(reply, Err):
            return reply
        body = reply.ok_value.body
        return _decode_field(body, "transfer_ms", float).map(
            lambda transfer_ms: CacheExport(body, transfer_ms / 1000)
        )

    async def import_cache(
        self, address: str, export: CacheExport, timeout_s: float
    ) -> Result[str, Failure]:
        reply = _check_status(
            await self._client.send(
                "POST",
                f"http://{address}/v1/kv/import",
                body=export.state,
                timeout_s=max(timeout_s, 0.001),
            )
        )
        if isinstance(reply, Err):
            return reply
        return _decode_field(reply.ok_value.body, "stream_id", str)


def _decode_cache_events(
    reply: HttpReply,
) -> Result[tuple[CacheEvent, ...], Failure]:
    try:
        return Ok(decode(reply.body, type=tuple[CacheEvent, ...]))
    except UNDECODABLE as error:
        return Err(Failure(ResultCode.SERVER_ERROR, str(error)))


def _request_headers(request: EngineRequest) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        "X-Request-Id": request.request_id,
        "X-Attempt": str(request.attempt),
        "X-Priority": str(request.priority),
        "X-Deadline-Ms": str(request.deadline_ms),
    }


def _header_text(header: bytes | None) -> str:
    return header.decode("latin-1") if header else ""


def _decode_field(body: bytes, name: str, kind: type[T]) -> Result[T, Failure]:
    try:
        return Ok(convert(decode(body, type=dict[str, Any])[name], kind))
    except (*UNDECODABLE, KeyError) as error:
        return Err(
            Failure(
                ResultCode.SERVER_ERROR,
                f"no {name}: {error!r}",
                RunState.MAY_HAVE_RUN,
            )
        )


async def _check_stream(
    opened: Result[HttpStream, Failure],
) -> Result[EngineStream, Failure]:
    if isinstance(opened, Err):
        return opened
    stream = opened.ok_value
    if stream.status >= MIN_ERROR_STATUS:
        body = (await stream.read()).unwrap_or(b"")
        detail = body[:ERROR_BODY_BYTES].decode(errors="replace")
        return Err(status_failure(stream.status, stream.headers, detail))
    return Ok(HttpEngineStream(stream))


def _check_status(
    reply: Result[HttpReply, Failure],
) -> Result[HttpReply, Failure]:
    """Turns a reply with an error status into a failure."""
    if isinstance(reply, Err):
        return reply
    answer = reply.ok_value
    if answer.status >= MIN_ERROR_STATUS:
        detail = answer.body[:ERROR_BODY_BYTES].decode(errors="replace")
        return Err(status_failure(answer.status, answer.headers, detail))
    return reply
