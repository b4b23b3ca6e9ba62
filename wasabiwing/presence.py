"""Keeps this node registered in the store.

The node's entry is a key under a lease of its own. In a large deployment the
lease lasts longer, because every renewal is a call to the store; the loss of
a zone head is detected without the lease.
"""

from collections.abc import Callable
from math import inf

from result import Err
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.leases import LEASE_PREFIX
from wasabiwing.ports import LeaseStore
from wasabiwing.store_eras import era_of
from wasabiwing.timers import TimerService

# Interval between two calls that renew the entry, in seconds.
PRESENCE_PERIOD_S = 0.9

# Duration of the entry's lease with few and with many nodes, in seconds.
FEW_NODES_TTL_S = 3.0
MANY_NODES_TTL_S = 12.0

# Share of the lease's duration after which the lease is renewed.
RENEWAL_SHARE = 0.3


class Presence:
    """Keeps this node's entry in the store."""

    def __init__(
        self,
        node_id: str,
        name: str,
        timer: TimerService,
        store: LeaseStore,
        known_revision: Callable[[str], int] = lambda key: 0,
        current_era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._node_id = node_id
        self._key = LEASE_PREFIX + name
        self._timer = timer
        self._store = store
        # Returns the revision of a key in this node's copy of the store.
        self._known_revision = known_revision
        # A restored store may hold neither the entry nor its lease.
        self._current_era = current_era
        self._lease_id = 0
        self._ttl_s = 0.0
        self._valid_until = -inf
        self._renew_at = -inf
        self._revision = 0
        self._stopping = False

    @property
    def is_registered(self) -> bool:
        """Whether the entry is known to exist now."""
        return (
            self._revision > 0
            and era_of(self._revision) == self._current_era()
            and self._timer.now() < self._valid_until
        )

    async def renew(self, many_nodes: bool) -> None:
        """Writes or renews the entry; called every ``PRESENCE_PERIOD_S``."""
        if self._stopping:
            return
        ttl_s = MANY_NODES_TTL_S if many_nodes else FEW_NODES_TTL_S
        if not self.is_registered or self._ttl_s != ttl_s:
            await self._register(ttl_s)
            return
        now = self._timer.now()
        if now < self._renew_at:
            return
        renewed = await self._store.keep_alive(self._lease_id)
        if not isinstance(renewed, Err):
            self._set_validity(now, renewed.ok_value.ttl_s)
        elif renewed.err_value.code is ResultCode.LEASE_LOST:
            self._revision = 0
            await self._register(ttl_s)

    async def leave(self) -> None:
        """Deletes the entry, so that peers need not await the lease's end."""
        self._stopping = True
        if self._revision:
            deleted = await self._store.delete(self._key, self._revision)
            self._log_failure(deleted)

    async def _register(self, ttl_s: float) -> None:
        """Writes the entry under a new lease, replacing an older entry."""
        now = self._timer.now()
        era = self._current_era()
        granted = await self._store.grant_lease(ttl_s)
        if isinstance(granted, Err):
            self._log_failure(granted)
            return
        lease = granted.ok_value
        value = self._node_id.encode()
        expected = self._known_revision(self._key)
        if self._revision and era_of(self._revision) == era:
            expected = self._revision
        swapped = await self._store.swap(self._key, expected, value, lease.id)
        if not isinstance(swapped, Err) and not swapped.ok_value.swapped:
            # The entry is from an earlier start, or from a write whose reply
            # was lost.
            expected = swapped.ok_value.revision
            swapped = await self._store.swap(
                self._key, expected, value, lease.id
            )
        if isinstance(swapped, Err) or not swapped.ok_value.swapped:
            self._log_failure(swapped)
            return
        if self._current_era() != era:
            # The lease may be gone; the next renewal tries again.
            return
        self._lease_id = lease.id
        self._ttl_s = ttl_s
        self._revision = swapped.ok_value.revision
        self._set_validity(now, lease.ttl_s)
        if self._stopping:
            await self.leave()

    def _set_validity(self, requested_at: float, ttl_s: float) -> None:
        self._valid_until = requested_at + ttl_s
        self._renew_at = requested_at + ttl_s * RENEWAL_SHARE

    def _log_failure(self, outcome: Result[object, Failure]) -> None:
        if isinstance(outcome, Err):
            log_event(
                Event.PRESENCE_FAILED,
                self._node_id,
                failure=str(outcome.err_value),
            )
