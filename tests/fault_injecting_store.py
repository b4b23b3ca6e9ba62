"""An in-memory store with a schedule of faults."""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import Enum

from anyio.lowlevel import checkpoint
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.ports import Lease
from wasabiwing.ports import StoredValue
from wasabiwing.ports import SwapResult
from wasabiwing.ports import WatchEvent


class Fault(Enum):
    """The fault of one call."""

    NONE = 0
    DOWN = 1
    # The change takes effect and the reply is lost.
    REPLY_LOST = 2
    # The reply is lost, and the change takes effect a few calls later.
    LATE = 3


class FaultInjectingStore:
    """The parts of a ``ConfigStore`` that journals use.

    Each call takes the next fault of ``faults``; calls after the last one
    succeed.
    """

    def __init__(self) -> None:
        self.value_by_key: dict[str, StoredValue] = {}
        self.faults: deque[Fault] = deque()
        self._delayed_writes: list[tuple[int, str, int, bytes]] = []
        self._revision = 0
        self._call_count = 0

    async def _begin_call(self) -> Fault:
        await checkpoint()
        self._call_count += 1
        for write in list(self._delayed_writes):
            if write[0] <= self._call_count:
                self._delayed_writes.remove(write)
                self._put(*write[1:])
        return self.faults.popleft() if self.faults else Fault.NONE

    def _put(self, key: str, expected: int, value: bytes) -> SwapResult:
        found = self.value_by_key.get(key)
        if (found.revision if found else 0) != expected:
            return SwapResult(False, 0, found)
        self._revision += 1
        self.value_by_key[key] = StoredValue(key, value, self._revision)
        return SwapResult(True, self._revision)

    async def get(self, key: str) -> Result[StoredValue | None, Failure]:
        if await self._begin_call() is not Fault.NONE:
            return Err(Failure(ResultCode.STORE_UNAVAILABLE))
        return Ok(self.value_by_key.get(key))

    async def list_prefix(
        self, prefix: str
    ) -> Result[tuple[StoredValue, ...], Failure]:
        if await self._begin_call() is not Fault.NONE:
            return Err(Failure(ResultCode.STORE_UNAVAILABLE))
        found = sorted(self.value_by_key.items())
        return Ok(tuple(v for k, v in found if k.startswith(prefix)))

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> Result[SwapResult, Failure]:
        fault = await self._begin_call()
        if fault is Fault.DOWN:
            return Err(Failure(ResultCode.STORE_UNAVAILABLE))
        if fault is Fault.LATE:
            due = self._call_count + 3
            self._delayed_writes.append((due, key, expected_revision, value))
            return Err(Failure(ResultCode.STORE_REPLY_LOST))
        swapped = self._put(key, expected_revision, value)
        if fault is Fault.REPLY_LOST:
            return Err(Failure(ResultCode.STORE_REPLY_LOST))
        return Ok(swapped)

    async def delete(
        self, key: str, expected_revision: int
    ) -> Result[SwapResult, Failure]:
        if await self._begin_call() is not Fault.NONE:
            return Err(Failure(ResultCode.STORE_UNAVAILABLE))
        found = self.value_by_key.get(key)
        if found is None or found.revision != expected_revision:
            return Ok(SwapResult(False, 0, found))
        del self.value_by_key[key]
        return Ok(SwapResult(True, expected_revision))

    async def grant_lease(self, ttl_s: float) -> Result[Lease, Failure]:
        raise AssertionError("not called by these tests")

    async def keep_alive(self, lease_id: int) -> Result[Lease, Failure]:
        raise AssertionError("not called by these tests")

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        raise AssertionError("not called by these tests")

    def watch(
        self, prefix: str, from_revision: int
    ) -> AbstractAsyncContextManager[
        AsyncIterator[Result[WatchEvent, Failure]]
    ]:
        raise AssertionError("not called by these tests")
