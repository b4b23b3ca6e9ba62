"""This node's entry among the nodes of the deployment.

A key under a lease of its own. With many nodes the lease lasts longer: every
renewal is a call to the store, and that a head is gone is noticed without it.
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
from wasabiwing.timers import TimerService

# How often the entry is looked after, in seconds.
PRESENCE_PERIOD_S = 0.9

# Lifetime of the entry's lease with few and with many nodes, in seconds.
FEW_NODES_TTL_S = 3.0
MANY_NODES_TTL_S = 12.0

# Part of the lifetime after which the lease is renewed.
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
    ) -> None:
        self._node_id = node_id
        self._key = LEASE_PREFIX + name
        self._timer = timer
        self._store = store
        # Revision of a key as far as this node has followed the store.
        self._known_revision = known_revision
        self._lease_id = 0
        self._ttl_s = 0.0
        self._valid_until = -inf
        self._renew_at = -inf
        self._revision = 0
        self._stopping = False

    @property
    def is_registered(self) -> bool:
        """Whether the entry surely exists."""
        return self._revision > 0 and self._timer.now() < self._valid_until

    async def renew(self, many_nodes: bool) -> None:
        """Enters this node or renews its entry; called periodically."""
        if self._stopping:
            return
        ttl_s = MANY_NODES_TTL_S if many_nodes else FEW_NODES_TTL_S
        if not self.is_registered or self._ttl_s != ttl_s:
            await self._enter(ttl_s)
            return
        now = self._timer.now()
        if now < self._renew_at:
            return
        extended = await self._store.keep_alive(self._lease_id)
        if not isinstance(extended, Err):
            self._note_valid(now, extended.ok_value.ttl_s)
        elif extended.err_value.code is ResultCode.LEASE_LOST:
            self._revision = 0
            await self._enter(ttl_s)

    async def leave(self) -> None:
        """Takes the entry out, so that the others need not wait."""
        self._stopping = True
        if self._revision:
            deleted = await self._store.delete(self._key, self._revision)
            self._log_failure(deleted)

    async def _enter(self, ttl_s: float) -> None:
        """Writes the entry under a new lease, also over an older one."""
        now = self._timer.now()
        granted = await self._store.grant_lease(ttl_s)
        if isinstance(granted, Err):
            self._log_failure(granted)
            return
        lease = granted.ok_value
        value = self._node_id.encode()
        expected = self._revision or self._known_revision(self._key)
        swapped = await self._store.swap(self._key, expected, value, lease.id)
        if not isinstance(swapped, Err) and not swapped.ok_value.swapped:
            # An entry of an earlier start, or of a write without an answer.
            expected = swapped.ok_value.revision
            swapped = await self._store.swap(
                self._key, expected, value, lease.id
            )
        if isinstance(swapped, Err) or not swapped.ok_value.swapped:
            self._log_failure(swapped)
            return
        self._lease_id = lease.id
        self._ttl_s = ttl_s
        self._revision = swapped.ok_value.revision
        self._note_valid(now, lease.ttl_s)
        if self._stopping:
            await self.leave()

    def _note_valid(self, asked_at: float, ttl_s: float) -> None:
        self._valid_until = asked_at + ttl_s
        self._renew_at = asked_at + ttl_s * RENEWAL_SHARE

    def _log_failure(self, done: Result[object, Failure]) -> None:
        if isinstance(done, Err):
            log_event(
                Event.PRESENCE_FAILED,
                self._node_id,
                failure=str(done.err_value),
            )
