"""Calls that one node at a time makes: usage reports and server orders.

The holder's lease is a key in the store; the revision that created it fences
all its calls. A holder that cannot renew its lease stops before it ends.
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

DUTY_LEASE = "duties"

# Part of a lease's lifetime after which it is renewed.
LEASE_RENEWAL_SHARE = 0.3

# How often the holder looks for work, in seconds.
DUTY_PERIOD_S = 0.5

# Longest random pause before a free duty is asked for, in seconds; keeps the
# nodes from asking all at once.
ELECTION_JITTER_S = 0.3

# A call is only begun while the lease lasts for at least this many seconds.
LEAST_REMAINING_S = 0.3


class DutyRunner:
    """The lease of this node's duties, and the work under it."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        leases: LeaseHolder,
        nodes: NodeRegistry,
        usage: UsageReporter | None,
        orders: Autoscaler | None,
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
        self._orders = orders
        self._random = random
        self._fence = 0
        # Fencing number that the platform has refused; never used again.
        self._refused_fence = 0
        # Whether the process is about to stop.
        self.stopping = False

    async def renew_lease(self) -> None:
        """Extends the lease and takes what is free; called periodically."""
        await self._leases.extend()
        if self.stopping:
            return
        if self._usage is None and self._orders is None:
            return
        if self._leases.held_lease(DUTY_LEASE) is not None:
            if not self._is_candidate():
                await self._leases.release(DUTY_LEASE)
            return
        if (
            DUTY_LEASE in self._nodes.held_lease_names
            or not self._is_candidate()
        ):
            return
        await self._timer.sleep(self._random.random() * ELECTION_JITTER_S)
        if DUTY_LEASE not in self._nodes.held_lease_names:
            await self._leases.acquire(DUTY_LEASE)

    async def resign(self) -> None:
        """Gives everything up, so that others need not wait."""
        self.stopping = True
        await self._leases.release(DUTY_LEASE)

    async def run_due(self) -> None:
        """Does what is due if this node holds the duties."""
        if self._orders is not None:
            self._orders.note_initial_servers()
        held = self._current()
        if held is None:
            return
        if held.fencing_number != self._fence:
            self._fence = held.fencing_number
            if self._usage is not None:
                self._usage.reset()
            if self._orders is not None:
                self._orders.reset()
        if self._orders is not None:
            await self._run(self._orders.send_orders, held)
        usage = self._usage
        while usage is not None and self._current() is not None:
            reported = await self._run(usage.report_next, held)
            if reported is None or not reported:
                return

    def _current(self) -> HeldLease | None:
        """Returns the lease while calls may still be begun."""
        if self._leases.remaining_s() < LEAST_REMAINING_S:
            return None
        held = self._leases.held_lease(DUTY_LEASE)
        if held is None or held.fencing_number <= self._refused_fence:
            return None
        return held

    async def _run(
        self,
        call: Callable[[DutyStamp], Awaitable[Result[object, Failure]]],
        held: HeldLease,
    ) -> object | None:
        """Makes a call; returns ``None`` if it failed."""
        done = await call(DutyStamp(self._node_id, held.fencing_number))
        if not isinstance(done, Err):
            return done.ok_value
        failure = done.err_value
        if failure.code is ResultCode.ORDER_FENCED:
            self._refused_fence = held.fencing_number
            await self._leases.release(DUTY_LEASE)
        log_event(
            Event.USAGE_WITHHELD
            if self._usage is not None and call == self._usage.report_next
            else Event.ORDER_WITHHELD,
            self._node_id,
            fence=held.fencing_number,
            failure=str(failure),
        )
        return None
