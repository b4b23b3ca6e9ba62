"""Stand-in of the platform's metadata store, as ``PROTOCOL.md`` tells it."""

from asyncio import Event
from asyncio import StreamWriter
from asyncio import TimeoutError as AsyncTimeoutError
from asyncio import wait_for
from base64 import b64decode
from base64 import b64encode
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from json import loads
from time import monotonic
from typing import Any

from http_server import Answer
from http_server import json_answer
from http_server import Request

PAGE_ITEMS = 500


@dataclass(slots=True)
class Item:
    """An item of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class Lease:
    """A lease and the time at which it ends."""

    ttl_s: float
    ends_at: float


# Called with each request and its executor; returns the answer, or ``None``
# to close the connection without one.
Hook = Callable[
    [Request, Callable[[], Awaitable[Answer]], StreamWriter],
    Awaitable[Answer | None],
]


@dataclass
class Store:
    """The store in memory; a ``hook`` may disturb its calls."""

    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    next_lease: int = 100
    history: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    changed: Event = field(default_factory=Event)
    hook: Hook | None = None

    async def handle(
        self, request: Request, writer: StreamWriter
    ) -> Answer | None:
        """Serves a request of a node."""
        if self.hook is not None:
            return await self.hook(
                request, lambda: self.execute(request), writer
            )
        return await self.execute(request)

    async def execute(self, request: Request) -> Answer:
        """Carries out a call."""
        self.expire()
        path = request.path
        if path == "/kv-key":
            return self._get(request.query("key"))
        if path == "/kv-range":
            return self._range(request)
        if path == "/kv-watch":
            return await self._watch(request)
        if path == "/kv-txn":
            return self._transact(loads(request.body))
        if path == "/kv-lease":
            ttl_s = loads(request.body)["ttlMs"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = Lease(ttl_s, monotonic() + ttl_s)
            return json_answer(
                {"lease": self.next_lease, "ttlMs": ttl_s * 1000}
            )
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rpartition("/")[2]))
            if lease is None:
                return json_answer({}, 404)
            lease.ends_at = monotonic() + lease.ttl_s
            return json_answer({"ttlMs": lease.ttl_s * 1000})
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return json_answer({})
        return json_answer({}, 404)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item, as the operator or a worker does."""
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known.created
        self.items[key] = Item(value, self.revision, created, lease)
        self._publish(self._document(key))

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def expire(self) -> None:
        """Ends the leases whose time is over."""
        now = monotonic()
        for lease_id, lease in list(self.leases.items()):
            if lease.ends_at <= now:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        for key, item in list(self.items.items()):
            if item.lease == lease_id:
                self.remove(key)

    def _publish(self, event: dict[str, Any]) -> None:
        self.history.append((self.revision, event))
        self.changed.set()
        self.changed = Event()

    def _document(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _get(self, key: str) -> Answer:
        if key not in self.items:
            return json_answer({"asOf": self.revision}, 404)
        return json_answer({**self._document(key), "asOf": self.revision})

    def _range(self, request: Request) -> Answer:
        prefix, after = request.query("pathPrefix"), request.query("after")
        keys = [
            key
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return json_answer(
            {
                "items": [self._document(key) for key in keys[:PAGE_ITEMS]],
                "hasMore": len(keys) > PAGE_ITEMS,
                "asOf": self.revision,
            }
        )

    async def _watch(self, request: Request) -> Answer:
        prefix = request.query("pathPrefix")
        after = int(request.query("after"))
        ends_at = monotonic() + int(request.query("waitMs", "0")) / 1000
        while True:
            self.expire()
            events = [
                event
                for revision, event in self.history
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - monotonic()
            if events or left_s <= 0:
                return json_answer({"events": events, "asOf": self.revision})
            try:
                await wait_for(self.changed.wait(), min(left_s, 0.1))
            except (AsyncTimeoutError, TimeoutError):
                continue

    def _transact(self, document: dict[str, Any]) -> Answer:
        for row in document["expect"]:
            known = self.items.get(row["key"])
            if (0 if known is None else known.revision) != row["revision"]:
                items = [] if known is None else [self._document(row["key"])]
                return json_answer({"items": items}, 412)
        for write in document["writes"]:
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return json_answer({}, 404)
        for write in document["writes"]:
            value = b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in document["remove"]:
            self.remove(key)
        return json_answer({"revision": self.revision})
