"""Stand-in for the key-value service: a subset of the etcd v3 JSON gateway.

The stand-in serves range, txn with one comparison, leases and watches from
memory.
"""

from base64 import b64decode
from base64 import b64encode
from dataclasses import dataclass
from typing import Any

from anyio import Condition
from anyio import current_time
from anyio import sleep
from anyio.abc import TaskGroup
from msgspec.json import decode
from msgspec.json import encode

from wasabiwing.asgi import build_application
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import JSON_TYPE
from wasabiwing.asgi import Responder
from wasabiwing_standins.server import StandInServer

MAX_VALUE_BYTES = 1_000_000

MAX_REQUEST_BYTES = 2_000_000

EXPIRY_POLL_S = 0.05


@dataclass(slots=True)
class _Entry:
    """The value and the metadata of a stored key."""

    value: bytes
    revision: int
    lease_id: int


@dataclass(slots=True)
class _LeaseEntry:
    """A granted lease."""

    ttl_s: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of a key, as sent to watches; no value if removed."""

    key: str
    revision: int
    value: bytes | None


class EtcdStandIn:
    """The key-value service in memory, with its faults."""

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        self._entry_by_key: dict[str, _Entry] = {}
        self._lease_by_id: dict[int, _LeaseEntry] = {}
        self._changes: list[_Change] = []
        self._changed = Condition()
        self._revision = 1
        self._last_lease_id = 0
        # Faults. While ``down``, all calls are answered with an error.
        self.down = False
        # Extra time before each answer, in seconds.
        self.lag_s = 0.0
        # Number of the next transactions that take effect but whose reply is
        # lost.
        self.lose_replies = 0
        # Counters for tests and benchmarks.
        self.writes = 0
        self.reads = 0
        routes = (
            HttpRoute("POST", "/v3/kv/range", self._range),
            HttpRoute("POST", "/v3/kv/txn", self._txn),
            HttpRoute("POST", "/v3/lease/grant", self._grant),
            HttpRoute("POST", "/v3/lease/keepalive", self._keep_alive),
            HttpRoute("POST", "/v3/lease/revoke", self._revoke),
            HttpRoute("POST", "/v3/watch", self._watch),
        )
        self.server = StandInServer(
            tasks,
            build_application(
                routes, self._not_found, lambda: MAX_REQUEST_BYTES
            ),
        )

    async def start(self) -> None:
        """Starts to serve."""
        await self.server.start()
        self._tasks.start_soon(self._expire_leases)

    @property
    def url(self) -> str:
        """Base address of the service."""
        return f"http://{self.server.address}"

    def values(self, prefix: str) -> dict[str, bytes]:
        """Returns all values under a prefix, for tests."""
        return {
            key: entry.value
            for key, entry in sorted(self._entry_by_key.items())
            if key.startswith(prefix)
        }

    async def _range(self, request: HttpRequest, responder: Responder) -> None:
        self.reads += 1
        if await self._delay_and_refuse(responder):
            return
        body = decode(request.body)
        await responder.send_json(200, self._range_answer(body))

    async def _txn(self, request: HttpRequest, responder: Responder) -> None:
        self.writes += 1
        if await self._delay_and_refuse(responder):
            return
        body = decode(request.body)
        compare = body["compare"][0]
        entry = self._entry_by_key.get(_text(compare["key"]))
        revision = entry.revision if entry else 0
        matches = revision == int(compare["mod_revision"])
        operations = body["success" if matches else "failure"]
        responses = [await self._apply(item) for item in operations]
        if matches and self.lose_replies > 0:
            self.lose_replies -= 1
            await responder.start(200, JSON_TYPE, {"content-length": "10"})
            return
        await responder.send_json(
            200,
            {
                "header": {"revision": str(self._revision)},
                "succeeded": matches,
                "responses": responses,
            },
        )

    async def _apply(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            put = operation["request_put"]
            value = b64decode(put.get("value", ""))
            if len(value) > MAX_VALUE_BYTES:
                return {"error": "the value is too large"}
            key = _text(put["key"])
            self._revision += 1
            self._entry_by_key[key] = _Entry(
                value, self._revision, int(put.get("lease", 0))
            )
            await self._publish(_Change(key, self._revision, value))
            return {"response_put": {}}
        if "request_delete_range" in operation:
            await self._delete(_text(operation["request_delete_range"]["key"]))
            return {"response_delete_range": {}}
        found = self._range_answer(operation["request_range"])
        return {"response_range": found}

    async def _delete(self, key: str) -> None:
        if self._entry_by_key.pop(key, None) is not None:
            self._revision += 1
            await self._publish(_Change(key, self._revision, None))

    async def _publish(self, change: _Change) -> None:
        self._changes.append(change)
        async with self._changed:
            self._changed.notify_all()

    def _range_answer(self, body: dict[str, Any]) -> dict[str, Any]:
        key = _text(body["key"])
        end = _text(body["range_end"]) if "range_end" in body else None
        found = [
            _key_value_document(name, entry.value, entry.revision)
            for name, entry in sorted(self._entry_by_key.items())
            if (name == key if end is None else key <= name < end)
        ]
        return {
            "header": {"revision": str(self._revision)},
            "kvs": found,
            "count": str(len(found)),
        }

    async def _grant(self, request: HttpRequest, responder: Responder) -> None:
        self.writes += 1
        if await self._delay_and_refuse(responder):
            return
        ttl_s = float(decode(request.body)["TTL"])
        self._last_lease_id += 1
        self._lease_by_id[self._last_lease_id] = _LeaseEntry(
            ttl_s, current_time() + ttl_s
        )
        await responder.send_json(
            200, {"ID": str(self._last_lease_id), "TTL": str(ttl_s)}
        )

    async def _keep_alive(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        self.writes += 1
        if await self._delay_and_refuse(responder):
            return
        lease_id = int(decode(request.body)["ID"])
        lease = self._lease_by_id.get(lease_id)
        ttl_s = 0.0
        if lease is not None:
            lease.expires_at = current_time() + lease.ttl_s
            ttl_s = lease.ttl_s
        await responder.send_json(
            200, {"result": {"ID": str(lease_id), "TTL": str(ttl_s)}}
        )

    async def _revoke(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        self.writes += 1
        if await self._delay_and_refuse(responder):
            return
        await self._end_lease(int(decode(request.body)["ID"]))
        await responder.send_json(200, {})

    async def _end_lease(self, lease_id: int) -> None:
        self._lease_by_id.pop(lease_id, None)
        keys = [
            key
            for key, entry in self._entry_by_key.items()
            if entry.lease_id == lease_id
        ]
        for key in keys:
            await self._delete(key)

    async def _expire_leases(self) -> None:
        while True:
            await sleep(EXPIRY_POLL_S)
            now = current_time()
            expired = [
                lease_id
                for lease_id, lease in self._lease_by_id.items()
                if lease.expires_at <= now
            ]
            for lease_id in expired:
                await self._end_lease(lease_id)

    async def _watch(self, request: HttpRequest, responder: Responder) -> None:
        self.reads += 1
        if await self._delay_and_refuse(responder):
            return
        create = decode(request.body)["create_request"]
        first = _text(create["key"])
        end = _text(create["range_end"])
        start = int(create.get("start_revision", self._revision + 1))
        await responder.start(200, JSON_TYPE)
        await responder.write(_watch_line({"created": True}))
        position = 0
        while not self.down:
            pending = self._changes[position:]
            position = len(self._changes)
            events = [
                _watch_event(change)
                for change in pending
                if first <= change.key < end and change.revision >= start
            ]
            if events:
                await responder.write(_watch_line({"events": events}))
            async with self._changed:
                if position == len(self._changes) and not self.down:
                    await self._changed.wait()
        await responder.finish()

    async def set_down(self, down: bool) -> None:
        """Starts or ends an outage; open watches are cut."""
        self.down = down
        async with self._changed:
            self._changed.notify_all()

    async def _delay_and_refuse(self, responder: Responder) -> bool:
        if self.lag_s:
            await sleep(self.lag_s)
        if self.down:
            await responder.send_json(503, {"error": "unavailable"})
        return self.down

    async def _not_found(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send_json(404, {"error": "not found"})


def _text(encoded: str) -> str:
    return b64decode(encoded).decode()


def _key_value_document(
    key: str, value: bytes, revision: int
) -> dict[str, str]:
    return {
        "key": b64encode(key.encode()).decode(),
        "value": b64encode(value).decode(),
        "mod_revision": str(revision),
    }


def _watch_event(change: _Change) -> dict[str, Any]:
    pair = _key_value_document(
        change.key, change.value or b"", change.revision
    )
    if change.value is None:
        return {"type": "DELETE", "kv": pair}
    return {"kv": pair}


def _watch_line(result: dict[str, Any]) -> bytes:
    return encode({"result": result}) + b"\n"
