"""Admission control: decides when a request gets a slot at a backend server.

A request for which no slot is free waits in the queue of its pool. A slot
that becomes free is given to one waiting request, for which the router is
asked once, instead of once for each waiting request. A request that cannot
meet its deadline is refused.
"""

from collections import defaultdict
from collections.abc import Collection
from contextlib import AbstractContextManager
from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush
from itertools import count

from result import Err
from result import Ok
from result import Result

from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Pool
from wasabiwing.decisions import DecisionLog
from wasabiwing.events import Event
from wasabiwing.fair_queue import FairQueue
from wasabiwing.fair_queue import total_tokens
from wasabiwing.fair_queue import Waiter
from wasabiwing.fair_queue import WaiterKind
from wasabiwing.gateway_credits import GatewayCredits
from wasabiwing.gateway_relay import RelayDecisions
from wasabiwing.queue_order import longest_wait_s
from wasabiwing.routing import is_long_prompt
from wasabiwing.routing import Router
from wasabiwing.run_durations import TrackedRun
from wasabiwing.server_statements import stated_pause_s
from wasabiwing.server_statements import UNKNOWN_START
from wasabiwing.silent_attempts import Prospects
from wasabiwing.silent_attempts import wait_reason
from wasabiwing.silent_attempts import WaitReason
from wasabiwing.stop_admission import StopAdmission
from wasabiwing.timers import TimerService

# Period in seconds at which free slots are looked for in each pool with
# waiting requests: capacity also grows without a release, by new credits or a
# new configuration.
CAPACITY_CHECK_S = 0.05

# Weight of the newest attempt in the moving average of a slot's service rate.
RATE_WEIGHT = 0.1

# The heap of the ends of waits is rebuilt when it has this many entries more
# than twice the number of waiting requests.
SPARE_HEAP_ENTRIES = 64

# Seconds after which a refused caller may retry if no service rate is known.
DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _PoolLoad:
    """Attempts in flight and observed service rate of one pool."""

    in_flight: int = 0
    # Average tokens per second of one slot; 0 before the first outcome.
    slot_rate: float = 0.0

    def rate(self) -> float:
        """Returns the tokens per second that all slots in use serve."""
        return self.slot_rate * self.in_flight


class Admission:
    """Queues the requests of one gateway until a slot is free for them."""

    def __init__(
        self,
        timer: TimerService,
        router: Router,
        credits: GatewayCredits,
        decisions: DecisionLog,
        stop_admission: StopAdmission,
        relay_decisions: RelayDecisions | None = None,
    ) -> None:
        self._timer = timer
        # ``None`` in programs without other gateways, such as benchmarks.
        self._relay_decisions = relay_decisions
        self._stop_admission = stop_admission
        self._router = router
        self._credits = credits
        self.decisions = decisions
        self._queue_by_pool: dict[str, FairQueue] = defaultdict(FairQueue)
        self._load_by_pool: dict[str, _PoolLoad] = defaultdict(_PoolLoad)
        # Heap of requests by the latest end of their wait. Requests whose
        # wait has ended are skipped.
        self._wait_ends: list[tuple[float, int, Waiter]] = []
        self._sequence = count()
        timer.subscribe(CAPACITY_CHECK_S, self.check_capacity)

    def track_run(self, call: Call) -> AbstractContextManager[TrackedRun]:
        """Measures how long a request takes while the block runs."""
        return self._stop_admission.durations.track(
            call.route.id, call.max_tokens
        )

    async def acquire(
        self,
        call: Call,
        attempt: int,
        excluded: frozenset[str],
        answer_begun: bool = False,
    ) -> Result[ServerAssignment, Failure]:
        """Takes a slot for a call, which may wait for it in its pool's queue.

        The wait ends early enough for another try of the caller, or, if its
        answer has begun, at its deadline. ``excluded`` holds the ids of the
        servers of earlier attempts. A process that stops refuses a call that
        cannot end in time, unless its answer has begun.
        """
        stop_refusal = None if answer_begun else self._stop_refusal(call)
        if stop_refusal is not None:
            self._write(call, attempt, Event.ADMISSION_REFUSED, stop_refusal)
            return Err(stop_refusal)
        if not answer_begun and self._is_left_to_peers(call.pool):
            return Err(_left_to_peers())
        queue = self._queue_by_pool[call.pool.id]
        kind = self._kind(call, excluded)
        if not queue.has_precedence(call, kind):
            chosen = self._choose(call, attempt, excluded)
            if isinstance(chosen, Ok):
                queue.charge(call)
                return chosen
            if chosen.err_value.code is not ResultCode.OVERLOADED:
                return chosen
        if self._credits.controller_lost:
            return Err(self._credits.controller_lost_failure())
        # The limit of the organisation's queue applies to first attempts
        # only: refusing a retry would waste the work already done for it.
        refusal = self._refusal(call, queue, attempt)
        if refusal is not None:
            self._write(call, attempt, Event.ADMISSION_REFUSED, refusal)
            return Err(refusal)
        waiter = Waiter(
            call,
            attempt,
            excluded,
            kind,
            total_tokens(call),
            refusable=not answer_begun,
        )
        queue.push(waiter)
        wait_until = call.deadline
        if not answer_begun:
            wait_until = self._timer.now() + self._longest_wait_s(call)
        heappush(self._wait_ends, (wait_until, next(self._sequence), waiter))
        self._write(call, attempt, Event.REQUEST_ADMITTED, None)
        with self._credits.count_waiting(call.pool):
            return await self._wait(waiter, queue)

    def take_over_slot(
        self, call: Call, server: BackendServer, attempt: int
    ) -> ServerAssignment:
        """Takes the slot of a stream that this gateway takes over."""
        self._load_by_pool[call.pool.id].in_flight += 1
        return self._router.assign(call, server, attempt)

    def release(
        self, assignment: ServerAssignment, outcome: AttemptOutcome
    ) -> None:
        """Frees the slot of a finished attempt for a waiting request."""
        self._credits.release_slot(assignment.server.id)
        if not self._note_connect(assignment.server.id, outcome):
            self._credits.note_outcome(assignment.server.id, outcome)
        self._router.records.note_ended(assignment, outcome)
        self._router.isolation.note_ended(
            assignment.server.id, assignment.suspect_digest
        )
        self._note_statement(assignment, outcome)
        if self._router.gate is not None:
            self._router.gate.note_ended(assignment, outcome)
        load = self._load_by_pool[assignment.pool_id]
        load.in_flight -= 1
        if outcome.failure is None and outcome.duration_s > 0.0:
            rate = assignment.total_tokens / outcome.duration_s
            earlier = load.slot_rate or rate
            load.slot_rate = earlier + RATE_WEIGHT * (rate - earlier)
        self._assign_free_slot(assignment.pool_id)

    def _note_statement(
        self, assignment: ServerAssignment, outcome: AttemptOutcome
    ) -> None:
        """Records what an attempt's answer states about its server."""
        statements = self._router.statements
        pause_s = stated_pause_s(outcome.failure)
        if pause_s is not None:
            statements.note_pause(assignment.server.id, UNKNOWN_START, pause_s)
        statements.note_ended(assignment.server.id, outcome.failure is None)

    def silent_wait_reason(
        self,
        call: Call,
        excluded: frozenset[str],
        attempts_left: int,
        budget_left: bool,
    ) -> WaitReason | None:
        """Returns why an attempt at a silent server is not given up.

        ``excluded`` holds the ids of that server and of earlier ones.
        """
        reason = wait_reason(
            Prospects(
                attempts_left,
                self._stop_refusal(call) is not None,
                budget_left,
            )
        )
        if reason is None and not self._router.has_candidate(call, excluded):
            reason = WaitReason.NO_SERVER
        return reason

    def ends_attempts(
        self, call: Call, failed_connects: int, tried_ids: Collection[str]
    ) -> bool:
        """Whether another gateway carries a call after failed connects."""
        return (
            self._relay_decisions is not None
            and self._relay_decisions.ends_attempts(
                call.pool, failed_connects, tried_ids
            )
        )

    def _is_left_to_peers(self, pool: Pool) -> bool:
        return (
            self._relay_decisions is not None
            and self._relay_decisions.leaves_to_peers(pool)
        )

    def _note_connect(self, server_id: str, outcome: AttemptOutcome) -> bool:
        """Records a failed connect.

        Returns whether the outcome may tell of this gateway's links alone, so
        that the home controller must not lower the server's limit for it.
        """
        if self._relay_decisions is None or outcome.failure is None:
            return False
        if outcome.failure.code is ResultCode.CONNECT_FAILED:
            self._relay_decisions.note_connect_failed(server_id)
        return self._relay_decisions.is_unreachable(server_id)

    def has_idle_slot(self, pool: Pool) -> bool:
        """Whether a slot of a pool is free and no request waits for one."""
        if len(self._queue_by_pool[pool.id]) or self._is_left_to_peers(pool):
            return False
        return any(
            self._credits.available_slots(server.id) > 0
            for server in pool.servers
        )

    async def check_capacity(self) -> None:
        """Ends waits that have lasted long enough; assigns free slots."""
        self._expire()
        self._refuse_at_stop()
        self._leave_waiting_to_peers()
        if self._credits.controller_lost:
            self._refuse_all(self._credits.controller_lost_failure())
        for pool_id, queue in tuple(self._queue_by_pool.items()):
            while len(queue) and self._assign_free_slot(pool_id):
                pass

    async def _wait(
        self, waiter: Waiter, queue: FairQueue
    ) -> Result[ServerAssignment, Failure]:
        received = False
        try:
            await waiter.resolved.wait()
            received = True
        finally:
            if waiter.result is None:
                queue.remove(waiter)
                waiter.resolve(Err(Failure(ResultCode.OVERLOADED, "ended")))
            elif not received and isinstance(waiter.result, Ok):
                # The caller disconnected after the slot was assigned.
                self._return_unused(waiter.result.ok_value)
        assert waiter.result is not None
        return waiter.result

    def _return_unused(self, assignment: ServerAssignment) -> None:
        self.release(
            assignment,
            AttemptOutcome(
                Failure(ResultCode.ATTEMPT_FAILED, "not sent"), None, 0.0
            ),
        )

    def _assign_free_slot(self, pool_id: str) -> bool:
        """Gives a free slot of a pool to the first request that can use it.

        Returns whether a request got a slot.
        """
        queue = self._queue_by_pool[pool_id]
        blocked: set[WaiterKind] = set()
        for waiter in tuple(queue.heads_in_order()):
            if waiter.kind in blocked:
                continue
            chosen = self._choose(waiter.call, waiter.attempt, waiter.excluded)
            if isinstance(chosen, Ok):
                queue.remove_served(waiter)
                waiter.resolve(chosen)
                return True
            if chosen.err_value.code is not ResultCode.OVERLOADED:
                queue.remove(waiter)
                waiter.resolve(chosen)
                continue
            blocked.add(waiter.kind)
        return False

    def _choose(
        self, call: Call, attempt: int, excluded: frozenset[str]
    ) -> Result[ServerAssignment, Failure]:
        chosen = self._router.choose_server(call, attempt, excluded)
        if isinstance(chosen, Ok):
            self._load_by_pool[call.pool.id].in_flight += 1
        return chosen

    def _expire(self) -> None:
        now = self._timer.now()
        waiting = sum(len(queue) for queue in self._queue_by_pool.values())
        if len(self._wait_ends) > 2 * waiting + SPARE_HEAP_ENTRIES:
            self._wait_ends = [
                item for item in self._wait_ends if item[2].result is None
            ]
            heapify(self._wait_ends)
        while self._wait_ends and (
            self._wait_ends[0][0] <= now
            or self._wait_ends[0][2].result is not None
        ):
            waiter = heappop(self._wait_ends)[2]
            if waiter.result is not None:
                continue
            self._queue_by_pool[waiter.call.pool.id].remove(waiter)
            failure = Failure(
                ResultCode.DEADLINE_UNREACHABLE,
                "no slot became free in time",
                retry_after_s=self._wait_s(waiter.call),
            )
            waiter.resolve(Err(failure))
            self._write(
                waiter.call,
                waiter.attempt,
                Event.ADMISSION_REFUSED,
                failure,
            )

    def _stop_refusal(self, call: Call) -> Failure | None:
        """Returns why this process, which stops, begins no attempt."""
        return self._stop_admission.refusal(
            call.route.id, call.received_at, call.deadline, call.max_tokens
        )

    def _refuse_at_stop(self) -> None:
        """Refuses waiting requests that can no longer end in time."""
        if not self._stop_admission.stopping:
            return
        for _, _, waiter in tuple(self._wait_ends):
            if waiter.result is not None or not waiter.refusable:
                continue
            refusal = self._stop_refusal(waiter.call)
            if refusal is not None:
                self._queue_by_pool[waiter.call.pool.id].remove(waiter)
                waiter.resolve(Err(refusal))
                self._write(
                    waiter.call,
                    waiter.attempt,
                    Event.ADMISSION_REFUSED,
                    refusal,
                )

    def _leave_waiting_to_peers(self) -> None:
        """Ends the waits of requests that other gateways can carry."""
        for queue in self._queue_by_pool.values():
            for waiter in tuple(queue.heads_in_order()):
                if waiter.refusable and self._is_left_to_peers(
                    waiter.call.pool
                ):
                    queue.remove(waiter)
                    waiter.resolve(Err(_left_to_peers()))

    def _refuse_all(self, failure: Failure) -> None:
        for queue in self._queue_by_pool.values():
            for waiter in tuple(queue.heads_in_order()):
                queue.remove(waiter)
                waiter.resolve(Err(failure))

    def _refusal(
        self, call: Call, queue: FairQueue, attempt: int
    ) -> Failure | None:
        """Returns why a request may not wait in its queue, or ``None``."""
        wait_s = self._wait_s(call)
        limit = call.organisation.queue_limit
        if attempt == 1 and queue.waiting_count(call.organisation.id) >= limit:
            return Failure(
                ResultCode.OVERLOADED,
                "the organisation's queue is full",
                retry_after_s=wait_s,
            )
        left_s = call.deadline - self._timer.now()
        usable_s = self._longest_wait_s(call)
        if left_s <= 0.0 or (self._has_rate(call) and wait_s > usable_s):
            return Failure(
                ResultCode.DEADLINE_UNREACHABLE,
                f"the wait is estimated as {wait_s:.1f} s",
                retry_after_s=max(wait_s - usable_s, DEFAULT_RETRY_AFTER_S),
            )
        return None

    def _longest_wait_s(self, call: Call) -> float:
        return longest_wait_s(call.deadline - self._timer.now())

    def _kind(self, call: Call, excluded: frozenset[str]) -> WaiterKind:
        gate = self._router.gate
        assigned_to_new = gate is not None and gate.is_assigned_to_new(call)
        # A suspect that must wait may not block other requests.
        suspect_digest = self._router.isolation.suspect_digest(call)
        return (
            excluded,
            is_long_prompt(call),
            assigned_to_new,
            suspect_digest,
        )

    def _has_rate(self, call: Call) -> bool:
        return self._load_by_pool[call.pool.id].rate() > 0.0

    def _wait_s(self, call: Call) -> float:
        """Returns the estimated wait of a new request, in seconds."""
        rate = self._load_by_pool[call.pool.id].rate()
        if rate <= 0.0:
            return DEFAULT_RETRY_AFTER_S
        return self._queue_by_pool[call.pool.id].tokens_ahead(call) / rate

    def _write(
        self,
        call: Call,
        attempt: int,
        event: Event,
        failure: Failure | None,
    ) -> None:
        self.decisions.write(
            event,
            call.request_id,
            attempt=attempt,
            organisation=call.organisation.id,
            priority_class=call.route.priority_class,
            waiting=len(self._queue_by_pool[call.pool.id]),
            wait_s=round(self._wait_s(call), 3),
            code=int(failure.code) if failure else 0,
        )


def _left_to_peers() -> Failure:
    """Returns the failure of a request that other gateways can carry."""
    return Failure(
        ResultCode.CONNECT_FAILED, "this gateway reaches no server of the pool"
    )
