"""Runs the duties, usage reports and server orders, on one node at a time.

The holder's lease is a key in the store; the revision that created the key is
the fencing number of all the holder's calls. A holder that cannot renew its
lease stops its calls before the lease ends.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from result import Err
from result import Result

from wasabiwing.autoscaler import Autoscaler
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.duty_port import DutyStamp
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.leases import HeldLease
from wasabiwing.leases import LeaseHolder
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.timers import TimerService
from wasabiwing.usage_reporter import UsageReporter

DUTY_LEASE_NAME = "duties"

# Share of a lease's lifetime after which it is renewed.
LEASE_RENEWAL_SHARE = 0.3

# Period in which the holder checks for due calls, in seconds.
DUTY_PERIOD_S = 0.5

# Longest random delay before a node tries to acquire a free lease, in seconds;
# keeps the nodes from trying all at once.
ELECTION_JITTER_S = 0.3

# Remaining lifetime of the lease below which no call is started, in seconds.
MIN_REMAINING_S = 0.3


class DutyRunner:
    """Holds this node's duty lease and makes the calls under it."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        leases: LeaseHolder,
        nodes: NodeRegistry,
        usage: UsageReporter | None,
        autoscaler: Autoscaler | None,
        random: Random,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        self._node_id = node_id
        # Whether this node knows enough to hold the duties.
        self._is_candidate = is_candidate
        self._timer = timer
        self._leases = leases
        self._nodes = nodes
        self._usage = usage
        self._autoscaler = autoscaler
        self._random = random
        self._fencing_number = 0
        # Fencing number that the platform has refused; never used again.
        self._refused_fencing_number = 0
        # Whether the process is about to stop.
        self.stopping = False

    async def renew_lease(self) -> None:
        """Extends the duty lease or acquires it if free; runs periodically."""
        if self.stopping:
            return
        await self._leases.extend()
        if self._usage is not None:
            await self._usage.rewrite_records()
        if self._usage is None and self._autoscaler is None:
            return
        if self._leases.held_lease(DUTY_LEASE_NAME) is not None:
            if not self._is_candidate():
                await self._leases.release(DUTY_LEASE_NAME)
            return
        if (
            DUTY_LEASE_NAME in self._nodes.held_lease_names
            or not self._is_candidate()
        ):
            return
        await self._timer.sleep(self._random.random() * ELECTION_JITTER_S)
        if self.stopping or DUTY_LEASE_NAME in self._nodes.held_lease_names:
            return
        await self._leases.acquire(DUTY_LEASE_NAME)
        if self.stopping:
            await self._leases.release(DUTY_LEASE_NAME)

    async def resign(self) -> None:
        """Releases the duty lease, so that the next holder need not wait.

        No call of a duty is begun afterwards. If the store does not take the
        release, the lease ends by itself, as it is not extended any more.
        """
        self.stopping = True
        await self._leases.release(DUTY_LEASE_NAME)

    async def run_due(self) -> None:
        """Makes the calls that are due if this node holds the duties."""
        if self.stopping:
            return
        if self._autoscaler is not None:
            self._autoscaler.follow_needs()
        held = self._usable_lease()
        if held is None:
            return
        if held.fencing_number != self._fencing_number:
            self._fencing_number = held.fencing_number
            if self._usage is not None:
                self._usage.reset()
            if self._autoscaler is not None:
                self._autoscaler.reset()
        if self._autoscaler is not None:
            await self._make_call(self._autoscaler.send_orders, held)
        usage = self._usage
        while usage is not None and self._usable_lease() is not None:
            reported = await self._make_call(usage.report_next, held)
            if reported is None or not reported:
                return

    def _usable_lease(self) -> HeldLease | None:
        """Returns the duty lease if calls may still be started under it."""
        if self._leases.remaining_s() < MIN_REMAINING_S:
            return None
        held = self._leases.held_lease(DUTY_LEASE_NAME)
        if held is None or held.fencing_number <= self._refused_fencing_number:
            return None
        return held

    async def _make_call(
        self,
        call: Callable[[DutyStamp], Awaitable[Result[object, Failure]]],
        held: HeldLease,
    ) -> object | None:
        """Makes a call of a duty; returns ``None`` if it failed."""
        result = await call(DutyStamp(self._node_id, held.fencing_number))
        if not isinstance(result, Err):
            return result.ok_value
        failure = result.err_value
        if failure.code is ResultCode.ORDER_FENCED:
            self._refused_fencing_number = held.fencing_number
            await self._leases.release(DUTY_LEASE_NAME)
        log_event(
            Event.USAGE_WITHHELD
            if self._usage is not None and call == self._usage.report_next
            else Event.ORDER_WITHHELD,
            self._node_id,
            fence=held.fencing_number,
            failure=str(failure),
        )
        return None
