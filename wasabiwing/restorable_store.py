"""The platform's store as it is used over its restores.

A condition or a watch holds within one era only: a restored store may give the
same revision to another content.
"""

from collections.abc import Callable

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.ports import Lease
from wasabiwing.ports import LongPollStore
from wasabiwing.ports import StoreChanges
from wasabiwing.ports import StoredValue
from wasabiwing.ports import StoreSnapshot
from wasabiwing.ports import SwapResult
from wasabiwing.store_eras import era_of
from wasabiwing.store_eras import StoreEras


class RestorableStore:
    """A store whose conditions and watches end with its era."""

    def __init__(self, store: LongPollStore) -> None:
        self._store = store
        # Called after each renewal of a lease.
        self.on_renewal: Callable[[], None] = lambda: None

    @property
    def eras(self) -> StoreEras:
        """The eras of the store that its answers have named."""
        return self._store.eras

    async def get(self, key: str) -> Result[StoredValue | None, Failure]:
        return await self._store.get(key)

    async def snapshot(self, prefix: str) -> Result[StoreSnapshot, Failure]:
        return await self._store.snapshot(prefix)

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[StoreChanges, Failure]:
        if era_of(after) != self.eras.current:
            return _history_gone()
        found = await self._store.changes(prefix, after, wait_s)
        if isinstance(found, Err):
            return found
        if era_of(found.ok_value.revision) != era_of(after):
            return _history_gone()
        return found

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> Result[SwapResult, Failure]:
        if self._is_past(expected_revision):
            return await self._conflict(key)
        swapped = await self._store.swap(
            key, expected_revision, value, lease_id
        )
        return self._checked(expected_revision, swapped)

    async def delete(
        self, key: str, expected_revision: int
    ) -> Result[SwapResult, Failure]:
        if self._is_past(expected_revision):
            return await self._conflict(key)
        deleted = await self._store.delete(key, expected_revision)
        return self._checked(expected_revision, deleted)

    async def grant_lease(self, ttl_s: float) -> Result[Lease, Failure]:
        return await self._store.grant_lease(ttl_s)

    async def keep_alive(self, lease_id: int) -> Result[Lease, Failure]:
        renewed = await self._store.keep_alive(lease_id)
        if isinstance(renewed, Ok):
            self.on_renewal()
        return renewed

    def _is_past(self, expected_revision: int) -> bool:
        """Whether a revision was read before the latest restore."""
        return (
            expected_revision > 0
            and era_of(expected_revision) != self.eras.current
        )

    async def _conflict(self, key: str) -> Result[SwapResult, Failure]:
        """Returns a conflict with the current value, without a write."""
        found = await self._store.get(key)
        if isinstance(found, Err):
            return found
        current = found.ok_value
        revision = 0 if current is None else current.revision
        return Ok(SwapResult(False, revision, current))

    def _checked(
        self, expected_revision: int, swapped: Result[SwapResult, Failure]
    ) -> Result[SwapResult, Failure]:
        """Returns a write's result unless a restore may have undone it.

        A write of an earlier era is lost, and the condition of a write that a
        later era took was about another value.
        """
        if isinstance(swapped, Err) or not swapped.ok_value.swapped:
            return swapped
        era = era_of(swapped.ok_value.revision)
        if era == self.eras.current and not (
            expected_revision and era_of(expected_revision) != era
        ):
            return swapped
        return Err(
            Failure(
                ResultCode.STORE_REPLY_LOST,
                "the store was restored meanwhile",
                RunState.MAY_HAVE_RUN,
            )
        )


def _history_gone() -> Err[Failure]:
    return Err(Failure(ResultCode.STORE_HISTORY_GONE, "the store is restored"))
