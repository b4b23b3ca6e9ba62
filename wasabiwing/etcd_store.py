"""Adapter of the ``ConfigStore`` port: the etcd v3 JSON gateway.

It uses the range, txn, lease and watch calls. Keys and values are base64 in
JSON.
"""

from base64 import b64decode
from base64 import b64encode
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any
from typing import TypeVar

from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.http_client import HttpClient
from wasabiwing.http_client import HttpStream
from wasabiwing.http_client import MAX_REPLY_BYTES
from wasabiwing.line_splitter import LineSplitter
from wasabiwing.ports import Lease
from wasabiwing.ports import StoredValue
from wasabiwing.ports import SwapResult
from wasabiwing.ports import WatchEvent

CALL_TIMEOUT_S = 2.0

# Called after each call with the call's kind and its result code.
CountCall = Callable[[str, ResultCode], None]

# The service sends progress notifications on a watch; a watch without a byte
# for this many seconds counts as broken and is opened again.
WATCH_TIMEOUT_S = 600.0

HTTP_OK = 200

# Errors of reading an answer that is JSON but has another form.
MALFORMED = (*UNDECODABLE, LookupError, TypeError, AttributeError)

T = TypeVar("T")


class EtcdStore:
    """Client of the key-value service; addresses are tried in order."""

    def __init__(
        self,
        urls: tuple[str, ...],
        timeout_s: float = CALL_TIMEOUT_S,
        count_call: CountCall | None = None,
    ) -> None:
        self._urls = urls
        self._timeout_s = timeout_s
        self._count_call = count_call
        self._client = HttpClient()

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    async def get(self, key: str) -> Result[StoredValue | None, Failure]:
        reply = await self._read("/v3/kv/range", {"key": _b64(key)})
        if isinstance(reply, Err):
            return reply
        parsed = _parse(
            _parse_values, reply.ok_value, ResultCode.STORE_UNAVAILABLE
        )
        return parsed.map(lambda values: values[0] if values else None)

    async def list_prefix(
        self, prefix: str
    ) -> Result[tuple[StoredValue, ...], Failure]:
        reply = await self._read(
            "/v3/kv/range",
            {"key": _b64(prefix), "range_end": _b64(_range_end(prefix))},
        )
        if isinstance(reply, Err):
            return reply
        return _parse(
            _parse_values, reply.ok_value, ResultCode.STORE_UNAVAILABLE
        )

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> Result[SwapResult, Failure]:
        put = {"key": _b64(key), "value": b64encode(value).decode()}
        if lease_id:
            put["lease"] = str(lease_id)
        return await self._transact(
            key, expected_revision, {"request_put": put}
        )

    async def delete(
        self, key: str, expected_revision: int
    ) -> Result[SwapResult, Failure]:
        return await self._transact(
            key,
            expected_revision,
            {"request_delete_range": {"key": _b64(key)}},
        )

    async def grant_lease(self, ttl_s: float) -> Result[Lease, Failure]:
        reply = await self._write("/v3/lease/grant", {"TTL": str(int(ttl_s))})
        if isinstance(reply, Err):
            return reply
        return _parse(_parse_lease, reply.ok_value)

    async def keep_alive(self, lease_id: int) -> Result[Lease, Failure]:
        reply = await self._write("/v3/lease/keepalive", {"ID": str(lease_id)})
        if isinstance(reply, Err):
            return reply
        lease = _parse(_parse_lease, reply.ok_value.get("result", {}))
        if isinstance(lease, Ok) and lease.ok_value.ttl_s <= 0:
            return Err(Failure(ResultCode.LEASE_LOST, f"lease {lease_id}"))
        return lease

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        reply = await self._write("/v3/lease/revoke", {"ID": str(lease_id)})
        if isinstance(reply, Err):
            return reply
        return Ok(None)

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[Result[WatchEvent, Failure]]]:
        create: dict[str, str] = {
            "key": _b64(prefix),
            "range_end": _b64(_range_end(prefix)),
        }
        if from_revision:
            create["start_revision"] = str(from_revision)
        async with self._client.stream(
            "POST",
            f"{self._urls[0]}/v3/watch",
            body=encode({"create_request": create}),
            timeout_s=WATCH_TIMEOUT_S,
        ) as opened:
            yield _read_watch_events(opened)

    async def _read(
        self, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], Failure]:
        failure = Failure(ResultCode.STORE_UNAVAILABLE, "no address is set")
        for url in self._urls:
            reply = await self._call(url, path, body)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
        return Err(Failure(ResultCode.STORE_UNAVAILABLE, failure.detail))

    async def _write(
        self, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], Failure]:
        failure = Failure(ResultCode.STORE_UNAVAILABLE, "no address is set")
        for url in self._urls:
            reply = await self._call(url, path, body)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            # A retry at another address could apply the change twice.
            if failure.code is ResultCode.STORE_REPLY_LOST:
                break
        return Err(failure)

    async def _call(
        self, url: str, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], Failure]:
        reply = await self._send(url, path, body)
        if self._count_call is not None:
            code = ResultCode.OK
            if isinstance(reply, Err):
                code = reply.err_value.code
            self._count_call(path.rpartition("/")[2], code)
        return reply

    async def _send(
        self, url: str, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], Failure]:
        reply = await self._client.send(
            "POST", url + path, body=encode(body), timeout_s=self._timeout_s
        )
        if isinstance(reply, Err):
            cause = reply.err_value
            is_reply_lost = cause.run_state is not RunState.NOT_RUN
            return Err(
                Failure(
                    ResultCode.STORE_REPLY_LOST
                    if is_reply_lost
                    else ResultCode.STORE_UNAVAILABLE,
                    cause.detail,
                )
            )
        answer = reply.ok_value
        if answer.status != HTTP_OK:
            return Err(
                Failure(
                    ResultCode.STORE_UNAVAILABLE, f"status {answer.status}"
                )
            )
        try:
            return Ok(decode(answer.body, type=dict[str, Any]))
        except UNDECODABLE as error:
            return Err(Failure(ResultCode.STORE_REPLY_LOST, str(error)))

    async def _transact(
        self, key: str, expected_revision: int, change: dict[str, Any]
    ) -> Result[SwapResult, Failure]:
        body = {
            "compare": [
                {
                    "key": _b64(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [change],
            "failure": [{"request_range": {"key": _b64(key)}}],
        }
        reply = await self._write("/v3/kv/txn", body)
        if isinstance(reply, Err):
            return reply
        return _parse(_parse_swap, reply.ok_value)


async def _read_watch_events(
    opened: Result[HttpStream, Failure],
) -> AsyncIterator[Result[WatchEvent, Failure]]:
    if isinstance(opened, Err):
        detail = opened.err_value.detail
        yield Err(Failure(ResultCode.STORE_UNAVAILABLE, detail))
        return
    if opened.ok_value.status != HTTP_OK:
        detail = f"status {opened.ok_value.status}"
        yield Err(Failure(ResultCode.STORE_UNAVAILABLE, detail))
        return
    splitter = LineSplitter(MAX_REPLY_BYTES)
    async for chunk in opened.ok_value.chunks():
        if isinstance(chunk, Err):
            detail = chunk.err_value.detail
            yield Err(Failure(ResultCode.STORE_UNAVAILABLE, detail))
            return
        lines = splitter.feed(chunk.ok_value)
        if splitter.is_line_too_long:
            detail = "a change without an end"
            yield Err(Failure(ResultCode.STORE_UNAVAILABLE, detail))
            return
        for line in lines:
            try:
                events = _parse_watch_line(line)
            except MALFORMED as error:
                detail = f"unreadable change: {error!r}"
                yield Err(Failure(ResultCode.STORE_UNAVAILABLE, detail))
                return
            for event in events:
                yield Ok(event)
    yield Err(Failure(ResultCode.STORE_UNAVAILABLE, "the watch ended"))


def _parse_watch_line(line: bytes) -> list[WatchEvent]:
    if not line.strip():
        return []
    result = decode(line, type=dict[str, Any]).get("result", {})
    events = []
    for event in result.get("events", ()):
        pair = event["kv"]
        deleted = event.get("type") == "DELETE"
        events.append(
            WatchEvent(
                _parse_key(pair["key"]),
                int(pair.get("mod_revision", 0)),
                None if deleted else b64decode(pair.get("value", "")),
            )
        )
    return events


def _parse(
    parse: Callable[[dict[str, Any]], T],
    answer: dict[str, Any],
    code: ResultCode = ResultCode.STORE_REPLY_LOST,
) -> Result[T, Failure]:
    """Parses an answer; a malformed one is a failure with the code."""
    try:
        return Ok(parse(answer))
    except MALFORMED as error:
        return Err(Failure(code, f"unreadable answer: {error!r}"))


def _parse_swap(answer: dict[str, Any]) -> SwapResult:
    if answer.get("succeeded"):
        return SwapResult(True, int(answer["header"]["revision"]))
    values = _parse_values(answer["responses"][0].get("response_range", {}))
    if not values:
        return SwapResult(False, 0)
    return SwapResult(False, values[0].revision, values[0])


def _parse_lease(answer: dict[str, Any]) -> Lease:
    return Lease(int(answer.get("ID", 0)), float(answer.get("TTL", 0)))


def _parse_values(answer: dict[str, Any]) -> tuple[StoredValue, ...]:
    return tuple(
        StoredValue(
            _parse_key(pair["key"]),
            b64decode(pair.get("value", "")),
            int(pair["mod_revision"]),
        )
        for pair in answer.get("kvs", ())
    )


def _parse_key(encoded: str) -> str:
    """Returns a key; bytes of others that are no text are escaped."""
    return b64decode(encoded).decode(errors="backslashreplace")


def _b64(text: str) -> str:
    return b64encode(text.encode()).decode()


def _range_end(prefix: str) -> str:
    """Returns the first key after all keys with the prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
