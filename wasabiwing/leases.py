"""Leases in the store, which let one holder at a time act.

A lease's fencing number is the store revision of the write that created its
key. It grows with every change of holder and is sent with all orders. Over a
restore of the store it grows with the era, and a lease counts as held again
once its key is found in the restored store. The
holder measures a lease's validity on the monotonic clock, from the moment
before the call that acquired or extended the lease, so it always regards the
lease as ended before the store does.

A write whose answer is lost may have been carried out, or be so later. Until
the store has said what became of it, the name counts as unsettled, and each
extension looks for the key: one that is in the store with nobody acting under
it would be extended for good.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.ports import Lease
from wasabiwing.ports import LeaseStore
from wasabiwing.ports import StoredValue
from wasabiwing.ports import SwapResult
from wasabiwing.timers import TimerService

LEASE_PREFIX = "/wasabiwing/lease/"

# Lifetime of a lease, in seconds: long enough for two lost extensions, short
# enough that a lost holder delays orders by seconds only.
LEASE_TTL_S = 10.0

EXTEND_PERIOD_S = 3.0


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this process acquired."""

    key: str
    # Fencing number.
    fencing_number: int
    # Monotonic time at which it was acquired.
    acquired_at: float


class LeaseHolder:
    """All leases of one process, as keys under one lease of the store.

    Because one store lease carries all keys, extending them costs one write
    for a process and not one for each key.
    """

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        store: LeaseStore,
        ttl_s: float = LEASE_TTL_S,
        current_era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._store = store
        self._ttl_s = ttl_s
        self._current_era = current_era
        self._lease: Lease | None = None
        # Era of the store in which the lease was granted or found again.
        self._lease_era = 0
        self._valid_until = 0.0
        self._held_by_name: dict[str, HeldLease] = {}
        # Names whose acquisition has no known outcome.
        self._unconfirmed_names: set[str] = set()
        # Released leases whose keys may still be in the store.
        self._undeleted_by_name: dict[str, HeldLease] = {}

    def held_lease(self, name: str) -> HeldLease | None:
        """Returns a lease if it is valid at this moment."""
        if self.remaining_s() <= 0 or self._lease_era != self._current_era():
            return None
        return self._held_by_name.get(name)

    def remaining_s(self) -> float:
        """Returns how long the leases are valid at least, in seconds."""
        return self._valid_until - self._timer.now()

    async def acquire(self, name: str) -> Result[HeldLease, Failure]:
        """Acquires a lease that nobody holds."""
        held = self.held_lease(name)
        if held is not None:
            return Ok(held)
        granted = await self._ensure_lease()
        if isinstance(granted, Err):
            return granted
        # A key that is left from before has a fencing number of the past.
        deleted = await self._delete_released(name)
        if isinstance(deleted, Err):
            return deleted
        key = LEASE_PREFIX + name
        value = self._value()
        swapped = await self._store.swap(key, 0, value, granted.ok_value.id)
        number = await self._written_revision(name, value, swapped)
        if isinstance(number, Err):
            if number.err_value.code is ResultCode.LEASE_LOST:
                self._drop_all()
            return number
        if self._lease is not granted.ok_value:
            # An extension has found meanwhile that the lease has ended.
            return Err(Failure(ResultCode.LEASE_LOST, key))
        return Ok(self._note_held(name, number.ok_value))

    async def release(self, name: str) -> None:
        """Releases a lease, so that the next holder need not wait.

        If the store does not take the release, the extensions repeat it.
        """
        held = self._held_by_name.pop(name, None)
        if held is not None:
            self._undeleted_by_name[name] = held
            await self._delete_released(name)
            log_event(Event.LEASE_LOST, self._node_id, lease=name, given=True)

    async def extend(self) -> None:
        """Extends all leases; called every ``EXTEND_PERIOD_S``."""
        if self._lease is None or not await self._find_again():
            return
        asked_at = self._timer.now()
        extended = await self._store.keep_alive(self._lease.id)
        if isinstance(extended, Ok):
            self._valid_until = asked_at + extended.ok_value.ttl_s
            await self._settle()
        elif extended.err_value.code is ResultCode.LEASE_LOST:
            self._drop_all()

    async def _ensure_lease(self) -> Result[Lease, Failure]:
        is_current = self._lease_era == self._current_era()
        if self._lease is not None and self.remaining_s() > 0 and is_current:
            return Ok(self._lease)
        self._drop_all()
        asked_at = self._timer.now()
        self._lease_era = self._current_era()
        granted = await self._store.grant_lease(self._ttl_s)
        if isinstance(granted, Err):
            return granted
        self._lease = granted.ok_value
        self._valid_until = asked_at + granted.ok_value.ttl_s
        return granted

    async def _find_again(self) -> bool:
        """Looks for the keys in a store that was restored; false if unknown.

        A lease without its key may have been granted to another process since.
        """
        assert self._lease is not None
        era = self._current_era()
        if self._lease_era == era:
            return True
        value = self._value()
        found_by_name: dict[str, HeldLease] = {}
        for name, held in tuple(self._held_by_name.items()):
            found = await self._store.get(held.key)
            if isinstance(found, Err):
                return False
            current = found.ok_value
            if current is not None and current.value == value:
                found_by_name[name] = replace(
                    held, fencing_number=current.revision
                )
        # A lease may have been released meanwhile.
        self._held_by_name = {
            name: found_by_name[name]
            for name in self._held_by_name
            if name in found_by_name
        }
        if not self._held_by_name:
            self._drop_all()
            return False
        self._lease_era = era
        return True

    def _value(self) -> bytes:
        """Returns the value of this process's keys."""
        assert self._lease is not None
        return f"{self._node_id}/{self._lease.id}".encode()

    async def _written_revision(
        self,
        name: str,
        value: bytes,
        swapped: Result[SwapResult, Failure],
    ) -> Result[int, Failure]:
        """Returns the revision of the write, also after a lost reply."""
        key = LEASE_PREFIX + name
        if isinstance(swapped, Ok):
            self._unconfirmed_names.discard(name)
            if swapped.ok_value.swapped:
                return Ok(swapped.ok_value.revision)
            # The key may be that of an earlier write without an answer.
            return _own_revision(key, value, swapped.ok_value.current)
        if swapped.err_value.code is not ResultCode.STORE_REPLY_LOST:
            return swapped
        self._unconfirmed_names.add(name)
        current = await self._store.get(key)
        if isinstance(current, Err):
            return current
        if current.ok_value is not None:
            self._unconfirmed_names.discard(name)
        return _own_revision(key, value, current.ok_value)

    async def _settle(self) -> None:
        """Finds out what became of writes and deletions without an answer."""
        for name in tuple(self._undeleted_by_name):
            if isinstance(await self._delete_released(name), Err):
                return
        for name in tuple(self._unconfirmed_names):
            # Another task may have settled the name or dropped the lease.
            if name not in self._unconfirmed_names:
                continue
            value = self._value()
            key = LEASE_PREFIX + name
            found = await self._store.get(key)
            if isinstance(found, Err):
                return
            # Without a key, the write may still be carried out.
            if found.ok_value is None or name not in self._unconfirmed_names:
                continue
            self._unconfirmed_names.discard(name)
            number = _own_revision(key, value, found.ok_value)
            if isinstance(number, Ok):
                self._note_held(name, number.ok_value)

    async def _delete_released(
        self, name: str
    ) -> Result[SwapResult | None, Failure]:
        """Deletes the key of a released lease if it may be in the store."""
        held = self._undeleted_by_name.get(name)
        if held is None:
            return Ok(None)
        value = self._value()
        deleted = await self._store.delete(held.key, held.fencing_number)
        if isinstance(deleted, Ok) and not deleted.ok_value.swapped:
            number = _own_revision(held.key, value, deleted.ok_value.current)
            if isinstance(number, Ok):
                # A restore of the store has moved the key's revision.
                deleted = await self._store.delete(held.key, number.ok_value)
        if (
            isinstance(deleted, Ok)
            and self._undeleted_by_name.get(name) is held
        ):
            del self._undeleted_by_name[name]
        return deleted

    def _note_held(self, name: str, number: int) -> HeldLease:
        acquired = HeldLease(LEASE_PREFIX + name, number, self._timer.now())
        self._held_by_name[name] = acquired
        log_event(
            Event.LEASE_GAINED,
            self._node_id,
            lease=name,
            number=acquired.fencing_number,
        )
        return acquired

    def _drop_all(self) -> None:
        for name in self._held_by_name:
            log_event(Event.LEASE_LOST, self._node_id, lease=name, given=False)
        self._held_by_name.clear()
        # Their keys end with the lease.
        self._unconfirmed_names.clear()
        self._undeleted_by_name.clear()
        self._lease = None
        self._valid_until = 0.0


def _own_revision(
    key: str, value: bytes, current: StoredValue | None
) -> Result[int, Failure]:
    """Returns the revision of a key that has this process's value."""
    if current is None or current.value != value:
        return Err(Failure(ResultCode.STORE_CONFLICT, key))
    return Ok(current.revision)
