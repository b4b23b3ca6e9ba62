"""Slot credits that a gateway holds at backend servers.

The gateway takes a slot at a backend server before it sends a request and
releases the slot when the attempt ends. It renews its credits with one
message per tick to the controller on its VM, which forwards the parts to the
servers' home controllers.
"""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from wasabiwing.calls import AttemptOutcome
from wasabiwing.cluster_view import ClusterView
from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import Pool
from wasabiwing.messages import CreditGrant
from wasabiwing.messages import CreditRequest
from wasabiwing.messages import CreditUse
from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

# Renewals per credit lifetime; several, so that a few lost messages do not
# end the credits.
RENEWALS_PER_LIFETIME = 4

# Number of servers for which a gateway requests credits, in one pool and in
# total. They bound the control traffic at 7,700 servers;
# docs/design/slots.md has the formula.
POOL_WORKING_SET_SIZE = 8
WORKING_SET_SIZE = 10


# Time without a message after which the controller counts as lost, in
# seconds; it sends its state once a second.
CONTROLLER_TIMEOUT_S = 2.5

# Retry delay that callers are told while the controller is lost, in seconds.
# A restarted controller grants credits again after two credit lifetimes.
CONTROLLER_LOST_RETRY_S = 5.0


@dataclass(frozen=True, slots=True)
class _Grant:
    """The newest credit grant for one server."""

    count: int
    sequence: int
    # Monotonic time of this process, counted from the request.
    expires_at: float


@dataclass(slots=True)
class _Outcomes:
    """Attempt outcomes at one server that are not yet reported."""

    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    latency_sum_s: float = 0.0


class GatewayCredits:
    """Tracks the slots of servers that this gateway uses and may use."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        view: ClusterView,
        lifetime_s: float,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._view = view
        self._lifetime_s = lifetime_s
        self._incarnation = int(timer.wall_time() * 1000)
        self._sequence = 0
        self._sent_at_by_sequence: dict[int, float] = {}
        self._held_by_server: dict[str, _Grant] = {}
        self._outcomes_by_server: dict[str, _Outcomes] = {}
        self._waiting_by_pool: Counter[str] = Counter()
        self._last_demand_at_by_pool: dict[str, float] = {}
        self._working_set_by_pool: dict[str, list[str]] = {}
        self._working_set_index: ConfigurationIndex | None = None
        self._controller_heard_at = timer.now()
        self.in_flight_by_server: dict[str, int] = defaultdict(int)

    def available_slots(self, server_id: str) -> int:
        """Returns how many more requests may be sent to a server now."""
        held = self._held_by_server.get(server_id)
        if held is None or self._timer.now() >= held.expires_at:
            return 0
        return held.count - self.in_flight_by_server[server_id]

    def take_slot(self, server_id: str) -> None:
        """Takes a slot; the caller has checked ``available_slots``."""
        self.in_flight_by_server[server_id] += 1

    def release_slot(self, server_id: str) -> None:
        """Releases a slot that ``take_slot`` took."""
        self.in_flight_by_server[server_id] -= 1

    def note_outcome(self, server_id: str, outcome: AttemptOutcome) -> None:
        """Counts an attempt's outcome for the next credit request.

        Invalid requests are left out: they say nothing about the server, and
        one caller could otherwise stop the credits of a whole pool. Requests
        that crash the server are left out as well; the home controller lowers
        the limit of a server that does not answer its load requests. So are
        those for which no connection opened: the links of this gateway may be
        cut, and others reach the server.
        """
        if outcome.crashed:
            return
        failure = outcome.failure
        if failure and failure.code in (
            ResultCode.SERVER_REJECTED,
            ResultCode.CONNECT_FAILED,
        ):
            return
        counts = self._outcomes_by_server.setdefault(server_id, _Outcomes())
        if outcome.failure is None:
            counts.succeeded += 1
            counts.latency_sum_s += latency_s(outcome)
        elif outcome.failure.run_state is RunState.NOT_RUN:
            counts.refused += 1
        else:
            counts.failed += 1

    @contextmanager
    def count_waiting(self, pool: Pool) -> Iterator[None]:
        """Counts a request as waiting for a pool's slot during the block."""
        self._waiting_by_pool[pool.id] += 1
        self._last_demand_at_by_pool[pool.id] = self._timer.now()
        try:
            yield
        finally:
            self._waiting_by_pool[pool.id] -= 1

    def note_controller_message(self) -> None:
        """Records that the controller on this VM has sent a message."""
        self._controller_heard_at = self._timer.now()

    @property
    def controller_lost(self) -> bool:
        """Whether the controller timed out and all credits have expired."""
        now = self._timer.now()
        if now - self._controller_heard_at < CONTROLLER_TIMEOUT_S:
            return False
        held = self._held_by_server.values()
        return all(now >= item.expires_at for item in held)

    def controller_lost_failure(self) -> Failure:
        """Returns the refusal of a request while ``controller_lost``."""
        return Failure(
            ResultCode.CREDITS_EXPIRED, retry_after_s=CONTROLLER_LOST_RETRY_S
        )

    def build_request(self, address: str) -> CreditRequest:
        """Builds the next request; ``address`` is the gateway's inbox."""
        now = self._timer.now()
        self._sequence += 1
        self._sent_at_by_sequence = {
            sequence: sent_at
            for sequence, sent_at in self._sent_at_by_sequence.items()
            if now < sent_at + self._lifetime_s
        }
        self._sent_at_by_sequence[self._sequence] = now
        uses = tuple(
            self._use(server_id, waiting, now)
            for server_id, waiting in self._waiting_by_server().items()
        )
        return CreditRequest(
            self._node_id,
            address,
            self._incarnation,
            self._sequence,
            min(self._sent_at_by_sequence),
            uses,
        )

    def on_grant(self, grant: CreditGrant) -> None:
        """Stores granted credits; ignores grants for older requests."""
        sent_at = self._sent_at_by_sequence.get(grant.sequence)
        if grant.incarnation != self._incarnation or sent_at is None:
            return
        lifetime_s = min(grant.lifetime_ms / 1000, self._lifetime_s)
        for credit in grant.credits:
            held = self._held_by_server.get(credit.server_id)
            if held is None or held.sequence < grant.sequence:
                self._held_by_server[credit.server_id] = _Grant(
                    credit.count, grant.sequence, sent_at + lifetime_s
                )

    def drop_credits(self, server_id: str) -> None:
        """Discards the credits of a server until its next grant."""
        held = self._held_by_server.get(server_id)
        if held is not None:
            self._held_by_server[server_id] = _Grant(
                0, held.sequence, held.expires_at
            )

    def _use(self, server_id: str, waiting: int, now: float) -> CreditUse:
        held = self._held_by_server.get(server_id)
        in_use = held is not None and held.count and now < held.expires_at
        counts = self._outcomes_by_server.pop(server_id, _Outcomes())
        mean_s = counts.latency_sum_s / max(counts.succeeded, 1)
        return CreditUse(
            server_id,
            self.in_flight_by_server[server_id],
            waiting,
            held.sequence if held else 0,
            held.count if held and in_use else 0,
            counts.succeeded,
            counts.failed,
            counts.refused,
            round(mean_s * 1000, 3),
        )

    def _waiting_by_server(self) -> dict[str, int]:
        """Returns the number of waiting requests by server.

        The keys are the servers for which credits are requested.
        """
        index = self._view.index
        if index is None:
            return {}
        if index is not self._working_set_index:
            self._working_set_index = index
            self._working_set_by_pool = {
                pool.id: rank_members(
                    self._node_id, (server.id for server in pool.servers)
                )[:POOL_WORKING_SET_SIZE]
                for pool in index.configuration.pools
            }
        used = [
            key for key, count in self.in_flight_by_server.items() if count
        ]
        waiting = dict.fromkeys([*used, *self._outcomes_by_server], 0)
        # Pools with the latest demand come first. A pool with waiting requests
        # always gets a server, so that other pools cannot starve it.
        pool_ids = sorted(
            self._working_set_by_pool,
            key=lambda key: -self._last_demand_at_by_pool.get(key, 0.0),
        )
        chosen_count = 0
        for position in range(POOL_WORKING_SET_SIZE):
            for pool_id in pool_ids:
                server_ids = self._working_set_by_pool[pool_id]
                demand = self._waiting_by_pool[pool_id]
                needed = chosen_count < WORKING_SET_SIZE or (
                    demand and position == 0
                )
                if position < len(server_ids) and needed:
                    waiting[server_ids[position]] = demand
                    chosen_count += 1
        return waiting


def latency_s(outcome: AttemptOutcome) -> float:
    """Returns an attempt's latency, in seconds, as sent to home controllers.

    They compare it with the latency without load. For a stream it is the mean
    time between tokens, which does not depend on the length of the prompt or
    the answer.
    """
    if outcome.first_token_s is None or outcome.tokens < 2:
        return outcome.duration_s
    rest_s = outcome.duration_s - outcome.first_token_s
    return rest_s / (outcome.tokens - 1)
