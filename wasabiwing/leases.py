"""Leases in the store, which let one holder at a time act.

A lease's fencing number is the store revision of the write that created its
key. It grows with every change of holder and is sent with all orders. Over a
restore of the store it grows with the era, and a lease counts as held again
once its key is found in the restored store. The
holder measures a lease's validity on the monotonic clock, from the moment
before the call that acquired or extended the lease, so it always regards the
lease as ended before the store does.
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
        key = LEASE_PREFIX + name
        value = self._value()
        swapped = await self._store.swap(key, 0, value, granted.ok_value.id)
        number = await self._written_revision(key, value, swapped)
        if isinstance(number, Err):
            if number.err_value.code is ResultCode.LEASE_LOST:
                self._drop_all()
            return number
        acquired = HeldLease(key, number.ok_value, self._timer.now())
        self._held_by_name[name] = acquired
        log_event(
            Event.LEASE_GAINED,
            self._node_id,
            lease=name,
            number=acquired.fencing_number,
        )
        return Ok(acquired)

    async def release(self, name: str) -> None:
        """Releases a lease, so that the next holder need not wait."""
        held = self._held_by_name.pop(name, None)
        if held is not None:
            await self._store.delete(held.key, held.fencing_number)
            log_event(Event.LEASE_LOST, self._node_id, lease=name, given=True)

    async def extend(self) -> None:
        """Extends all leases; called every ``EXTEND_PERIOD_S``."""
        if self._lease is None or not await self._find_again():
            return
        asked_at = self._timer.now()
        extended = await self._store.keep_alive(self._lease.id)
        if isinstance(extended, Ok):
            self._valid_until = asked_at + extended.ok_value.ttl_s
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
        key: str,
        value: bytes,
        swapped: Result[SwapResult, Failure],
    ) -> Result[int, Failure]:
        """Returns the revision of the write, also after a lost reply."""
        if isinstance(swapped, Ok):
            if swapped.ok_value.swapped:
                return Ok(swapped.ok_value.revision)
            return Err(Failure(ResultCode.STORE_CONFLICT, key))
        if swapped.err_value.code is not ResultCode.STORE_REPLY_LOST:
            return swapped
        current = await self._store.get(key)
        if isinstance(current, Err):
            return current
        if current.ok_value is None or current.ok_value.value != value:
            return Err(Failure(ResultCode.STORE_CONFLICT, key))
        return Ok(current.ok_value.revision)

    def _drop_all(self) -> None:
        for name in self._held_by_name:
            log_event(Event.LEASE_LOST, self._node_id, lease=name, given=False)
        self._held_by_name.clear()
        self._lease = None
        self._valid_until = 0.0
