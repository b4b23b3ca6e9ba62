"""An in-memory ``ConfigStore``, for tests with the fake timer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import Event
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.ports import Lease
from wasabiwing.ports import StoredValue
from wasabiwing.ports import SwapResult
from wasabiwing.ports import WatchEvent

UNAVAILABLE = Failure(ResultCode.STORE_UNAVAILABLE)


class FakeConfigStore:
    """Stores values in memory; can be down, and can report stale changes.

    Calls for leases and deletion fail; the code under test needs neither.
    """

    def __init__(self) -> None:
        self.value_by_key: dict[str, StoredValue] = {}
        self.revision = 0
        self.down = False
        self.reads = 0
        self.watches = 0
        # Events that open watches report; swaps are not reported.
        self._injected: list[WatchEvent] = []
        self._changed = Event()

    async def get(self, key: str) -> Result[StoredValue | None, Failure]:
        self.reads += 1
        if self.down:
            return Err(UNAVAILABLE)
        return Ok(self.value_by_key.get(key))

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> Result[SwapResult, Failure]:
        if self.down:
            return Err(UNAVAILABLE)
        current = self.value_by_key.get(key)
        revision = current.revision if current else 0
        if revision != expected_revision:
            return Ok(SwapResult(False, revision, current))
        self.revision += 1
        self.value_by_key[key] = StoredValue(key, value, self.revision)
        return Ok(SwapResult(True, self.revision))

    async def list_prefix(
        self, prefix: str
    ) -> Result[tuple[StoredValue, ...], Failure]:
        self.reads += 1
        if self.down:
            return Err(UNAVAILABLE)
        values = sorted(self.value_by_key.items())
        return Ok(
            tuple(value for key, value in values if key.startswith(prefix))
        )

    async def delete(
        self, key: str, expected_revision: int
    ) -> Result[SwapResult, Failure]:
        return Err(UNAVAILABLE)

    async def grant_lease(self, ttl_s: float) -> Result[Lease, Failure]:
        return Err(UNAVAILABLE)

    async def keep_alive(self, lease_id: int) -> Result[Lease, Failure]:
        return Err(UNAVAILABLE)

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        return Err(UNAVAILABLE)

    def report(self, key: str, value: bytes) -> None:
        """Makes open watches report a change, which may be a stale one."""
        self._injected.append(WatchEvent(key, self.revision, value))
        self._changed.set()
        self._changed = Event()

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[Result[WatchEvent, Failure]]]:
        self.watches += 1
        try:
            yield self._events(len(self._injected))
        finally:
            self.watches -= 1

    async def _events(
        self, position: int
    ) -> AsyncIterator[Result[WatchEvent, Failure]]:
        while not self.down:
            for event in self._injected[position:]:
                yield Ok(event)
            position = len(self._injected)
            await self._changed.wait()
        yield Err(UNAVAILABLE)
