"""Allocates the slots of one backend server to gateways as credits.

The server's home controller charges a gateway for the larger of its reported
in-flight requests and every grant that it may still use. Only a report of the
gateway itself frees a grant, so a lost or late message never frees a slot too
early.
"""

from dataclasses import dataclass
from dataclasses import field

from wasabiwing.concurrency_limit import ConcurrencyLimit
from wasabiwing.concurrency_limit import LoadSample
from wasabiwing.concurrency_limit import OutcomeCounts
from wasabiwing.messages import CreditRequest
from wasabiwing.messages import CreditUse
from wasabiwing.rendezvous import rank_members

# Time after which a silent gateway is no longer charged, in seconds: the
# default request deadline. The server's load report may free its slots
# earlier.
SILENT_GATEWAY_HOLD_S = 60.0

# Further time that a new home controller waits for a first load report before
# it grants credits without one, in seconds.
NO_LOAD_WAIT_S = 10.0


@dataclass(frozen=True, slots=True)
class SlotTimes:
    """Durations that are equal on all controllers of a fleet, in seconds."""

    credit_lifetime_s: float = 4.0
    # Largest age of a backend server's load report when it arrives.
    load_lag_s: float = 1.0


@dataclass(slots=True)
class _GatewayAccount:
    """What one incarnation of a gateway uses and has been granted."""

    gateway: str
    address: str
    heard_at: float
    sequence: int = 0
    in_flight: int = 0
    waiting: int = 0
    # Credits of the grants that the gateway may still use.
    count_by_sequence: dict[int, int] = field(default_factory=dict)
    # Monotonic time of this controller at which the last grant expires.
    expires_at: float = 0.0
    # Sequences that got an empty grant since granting began. A report that
    # names one of them was sent after that time.
    empty_sequences: set[int] = field(default_factory=set)
    # Whether its requests have been subtracted from the unattributed ones.
    attributed: bool = False

    @property
    def charge(self) -> int:
        """Slots that the gateway uses or may use."""
        return max(self.in_flight, *self.count_by_sequence.values(), 0)


class ServerSlotAllocator:
    """Limit, charged gateways and load of one backend server."""

    def __init__(
        self,
        server_id: str,
        limit: ConcurrencyLimit,
        times: SlotTimes,
        now: float,
    ) -> None:
        self.server_id = server_id
        self.limit = limit
        self._times = times
        # Credits of the earlier home controller have expired by then. The
        # second lifetime covers a home that learns of the change later.
        self._wait_until = now + 2 * times.credit_lifetime_s
        self._granting = False
        # Requests that were running when granting began, and how many of them
        # are attributed to a gateway.
        self._running_at_start = 0
        self._attributed = 0
        self._lowest_running = 0
        self._unattributed_until = 0.0
        self._account_by_incarnation: dict[
            tuple[str, int], _GatewayAccount
        ] = {}
        # Recently heard gateways in rendezvous order. Cached, because hashing
        # them for each grant took most of the time at 100 gateways.
        self._ranked_gateways: list[str] = []
        self.running_count = 0
        # Running requests beyond all charges: those of another home's
        # gateways, or of callers who gave up while the server continues.
        self._uncharged = 0

    @property
    def allocated_slots(self) -> int:
        """Slots of the server that are in use or granted."""
        charges = [
            account.charge for account in self._account_by_incarnation.values()
        ]
        return sum(charges) + self._unattributed

    @property
    def _unattributed(self) -> int:
        """Requests from before granting began that no gateway reported."""
        unattributed = self._running_at_start - self._attributed
        return max(min(unattributed, self._lowest_running), 0)

    def recent_gateway_addresses(self, now: float) -> list[str]:
        """Returns the inboxes of the gateways that were heard recently."""
        return [
            account.address
            for account in self._account_by_incarnation.values()
            if not self._is_silent(account, now)
        ]

    def note_load(self, sample: LoadSample, now: float) -> None:
        """Updates the limit and the charges from the server's load report."""
        self.running_count = sample.running
        self.limit.note_load(sample, now)
        measured_from = sample.requested_at - self._times.load_lag_s
        if not self._granting and measured_from >= self._wait_until:
            self._start_granting(sample.running, now)
        self._lowest_running = min(self._lowest_running, sample.running)
        self._uncharged = max(sample.running - self.allocated_slots, 0)
        for incarnation, account in list(self._account_by_incarnation.items()):
            if (
                self._is_silent(account, now)
                and measured_from >= account.expires_at
            ):
                # Requests may have started under the last grant, unreported.
                account.in_flight = min(account.charge, sample.running)
                account.count_by_sequence.clear()
                if not account.in_flight:
                    del self._account_by_incarnation[incarnation]

    def grant_credits(
        self, request: CreditRequest, use: CreditUse, now: float
    ) -> int:
        """Applies a gateway's report; returns the credits granted to it."""
        self._remove_expired(now)
        incarnation = (request.gateway, request.incarnation)
        account = self._account_by_incarnation.setdefault(
            incarnation, _GatewayAccount(request.gateway, request.address, now)
        )
        if request.sequence <= account.sequence:
            # The report is late or repeated.
            return 0
        self._note_report(account, request, use, now)
        if not self._may_grant(now):
            return 0
        if self._unattributed and not self._attribute(account, request, use):
            return 0
        limit = self.limit.grantable(now)
        others = self.allocated_slots + self._uncharged - account.charge
        count = min(self._target_share(account, limit, now), limit - others)
        if count <= 0:
            return 0
        account.count_by_sequence[request.sequence] = count
        account.expires_at = now + self._times.credit_lifetime_s
        return count

    def _note_report(
        self,
        account: _GatewayAccount,
        request: CreditRequest,
        use: CreditUse,
        now: float,
    ) -> None:
        account.heard_at = now
        account.sequence = request.sequence
        account.waiting = use.waiting
        held = use.held_sequence
        if use.held_credits and held not in account.count_by_sequence:
            # Another controller grants this server's slots.
            self._granting = False
            until = now + self._times.credit_lifetime_s
            self._wait_until = max(self._wait_until, until)
        account.in_flight = use.in_flight
        first_usable = max(request.min_usable_sequence, held)
        account.count_by_sequence = {
            sequence: count
            for sequence, count in account.count_by_sequence.items()
            if sequence >= first_usable
        }
        self.limit.note_outcomes(
            OutcomeCounts(
                use.succeeded, use.failed, use.refused, use.latency_ms
            ),
            sum(
                account.in_flight
                for account in self._account_by_incarnation.values()
            ),
            now,
        )

    def _may_grant(self, now: float) -> bool:
        if not self._granting and now >= self._wait_until + NO_LOAD_WAIT_S:
            self._start_granting(0, now)
        return self._granting

    def _start_granting(self, running: int, now: float) -> None:
        """Starts to grant credits.

        All running requests count as unattributed at first, because a
        gateway's report may be older than the load report.
        """
        self._granting = True
        self._running_at_start = running
        self._lowest_running = running
        self._attributed = 0
        self._unattributed_until = now + SILENT_GATEWAY_HOLD_S
        for account in self._account_by_incarnation.values():
            account.empty_sequences.clear()
            account.attributed = False

    def _attribute(
        self, account: _GatewayAccount, request: CreditRequest, use: CreditUse
    ) -> bool:
        """Attributes a gateway's requests; returns whether that is done.

        No gateway can have started a request between the end of the wait and
        its first credit, so in-flight requests that are reported after
        granting began were already running then.
        """
        if account.attributed:
            return True
        if use.held_sequence in account.empty_sequences:
            self._attributed += use.in_flight
            account.attributed = True
            return True
        account.empty_sequences.add(request.sequence)
        return False

    def _target_share(
        self, requester: _GatewayAccount, limit: int, now: float
    ) -> int:
        """Returns the requesting gateway's share of the limit."""
        recent_by_gateway = {
            account.gateway: account
            for account in self._account_by_incarnation.values()
            if not self._is_silent(account, now)
        }
        recent_by_gateway[requester.gateway] = requester
        if recent_by_gateway.keys() != set(self._ranked_gateways):
            self._ranked_gateways = rank_members(
                self.server_id, recent_by_gateway
            )
        order = self._ranked_gateways
        want_by_gateway = {
            name: recent_by_gateway[name].in_flight
            + recent_by_gateway[name].waiting
            for name in order
        }
        wanting = [name for name in order if want_by_gateway[name]]
        if wanting:
            # Rotation gives each waiting gateway its turn when there are
            # fewer slots than gateways.
            turn = int(now / self._times.credit_lifetime_s) * max(limit, 1)
            offset = turn % len(wanting) if len(wanting) > limit else 0
            wanting = wanting[offset:] + wanting[:offset]
        return divide_slots(limit, wanting, want_by_gateway, order)[
            requester.gateway
        ]

    def _is_silent(self, account: _GatewayAccount, now: float) -> bool:
        return now - account.heard_at >= 2 * self._times.credit_lifetime_s

    def _remove_expired(self, now: float) -> None:
        if now >= self._unattributed_until:
            self._lowest_running = 0
        self._account_by_incarnation = {
            incarnation: account
            for incarnation, account in self._account_by_incarnation.items()
            if now - account.heard_at < SILENT_GATEWAY_HOLD_S
        }


def divide_slots(
    limit: int,
    wanting: list[str],
    want_by_gateway: dict[str, int],
    order: list[str],
) -> dict[str, int]:
    """Divides a limit among gateways: first by demand, then equally.

    In both steps slots are given out one by one in the order of the list:
    ``wanting`` for the demand, ``order`` for the rest.
    """
    count_by_gateway = dict.fromkeys(order, 0)
    left = limit
    unmet = wanting
    while left > 0 and unmet:
        for name in unmet[:left]:
            count_by_gateway[name] += 1
        left -= min(left, len(unmet))
        unmet = [
            name
            for name in unmet
            if count_by_gateway[name] < want_by_gateway[name]
        ]
    while left > 0 and order:
        for name in order[:left]:
            count_by_gateway[name] += 1
        left -= min(left, len(order))
    return count_by_gateway
