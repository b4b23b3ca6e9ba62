"""The credits of one backend server, as its home controller lends them.

A gateway is charged for the larger of its reported in-flight work and every
grant that it may still use. Only the gateway's own word frees a grant, so a
lost or late message never frees a slot too early.
"""

from dataclasses import dataclass
from dataclasses import field

from wasabiwing.concurrency_limit import ConcurrencyLimit
from wasabiwing.concurrency_limit import LoadSample
from wasabiwing.concurrency_limit import OutcomeCounts
from wasabiwing.messages import CreditRequest
from wasabiwing.messages import CreditUse
from wasabiwing.rendezvous import rank_members

# A silent gateway's work is forgotten after the default request deadline,
# in seconds, if the server's load report has not freed it earlier.
ORPHAN_HOLD_S = 60.0

# A new home controller that gets no load report at all lends after this
# further wait, in seconds.
NO_LOAD_WAIT_S = 10.0


@dataclass(frozen=True, slots=True)
class SlotTimes:
    """Times that all controllers of a fleet share, in seconds."""

    credit_lifetime_s: float = 4.0
    # How far a backend server's load report may lie in the past.
    load_lag_s: float = 1.0


@dataclass(slots=True)
class _Borrower:
    """One run of a gateway."""

    gateway: str
    address: str
    heard_at: float
    sequence: int = 0
    in_flight: int = 0
    waiting: int = 0
    # Counts of grants that the gateway may still use.
    count_by_sequence: dict[int, int] = field(default_factory=dict)
    # When the last grant has expired on this controller's clock.
    expires_at: float = 0.0
    # Empty grants since lending began. A report that names one of them was
    # sent after that moment.
    empty_sequences: set[int] = field(default_factory=set)
    # Whether its work has been subtracted from the unknown work.
    identified: bool = False

    @property
    def charge(self) -> int:
        """Slots that the gateway uses or may use."""
        return max(self.in_flight, *self.count_by_sequence.values(), 0)


class ServerSlotAllocator:
    """Limit, borrowers and load of one server."""

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
        # Credits of the home controller before have expired by then. The
        # second lifetime covers one that hears of the change later.
        self._wait_until = now + 2 * times.credit_lifetime_s
        self._lending = False
        # Work that was running when lending began, and how much of it is
        # known to belong to a borrower.
        self._running_at_begin = 0
        self._identified = 0
        self._lowest_running = 0
        self._unknown_until = 0.0
        self._borrower_by_run: dict[tuple[str, int], _Borrower] = {}
        # Gateways heard lately, by rendezvous rank; hashing them for each
        # grant took most of the time at 100 gateways.
        self._order: list[str] = []
        self.running = 0
        # Running work beyond all charges: that of another home's gateways,
        # or of callers who gave up while the server goes on.
        self._foreign = 0

    @property
    def allocated_slots(self) -> int:
        """Slots that are used or lent."""
        charges = [item.charge for item in self._borrower_by_run.values()]
        return sum(charges) + self._unknown

    @property
    def _unknown(self) -> int:
        """Work from before lending that no borrower has reported."""
        unidentified = self._running_at_begin - self._identified
        return max(min(unidentified, self._lowest_running), 0)

    def recent_gateway_addresses(self, now: float) -> list[str]:
        """Returns the inboxes of the gateways that were heard lately."""
        return [
            item.address
            for item in self._borrower_by_run.values()
            if not self._silent(item, now)
        ]

    def note_load(self, sample: LoadSample, now: float) -> None:
        """Takes a load report of the server into account."""
        self.running = sample.running
        self.limit.note_load(sample, now)
        seen_from = sample.requested_at - self._times.load_lag_s
        if not self._lending and seen_from >= self._wait_until:
            self._begin(sample.running, now)
        self._lowest_running = min(self._lowest_running, sample.running)
        self._foreign = max(sample.running - self.allocated_slots, 0)
        for run, item in list(self._borrower_by_run.items()):
            if self._silent(item, now) and seen_from >= item.expires_at:
                # Work may have begun under the last grant and be unreported.
                item.in_flight = min(item.charge, sample.running)
                item.count_by_sequence.clear()
                if not item.in_flight:
                    del self._borrower_by_run[run]

    def grant_credits(
        self, request: CreditRequest, use: CreditUse, now: float
    ) -> int:
        """Takes a gateway's report and returns the credits to lend to it."""
        self._forget(now)
        run = (request.gateway, request.incarnation)
        item = self._borrower_by_run.setdefault(
            run, _Borrower(request.gateway, request.address, now)
        )
        if request.sequence <= item.sequence:
            # A late or repeated report says nothing new.
            return 0
        self._note_report(item, request, use, now)
        if not self._may_lend(now):
            return 0
        if self._unknown and not self._identify(item, request, use):
            return 0
        limit = self.limit.grantable(now)
        others = self.allocated_slots + self._foreign - item.charge
        count = min(self._target(item, limit, now), limit - others)
        if count <= 0:
            return 0
        item.count_by_sequence[request.sequence] = count
        item.expires_at = now + self._times.credit_lifetime_s
        return count

    def _note_report(
        self,
        item: _Borrower,
        request: CreditRequest,
        use: CreditUse,
        now: float,
    ) -> None:
        item.heard_at = now
        item.sequence = request.sequence
        item.waiting = use.waiting
        held = use.held_sequence
        if use.held_credits and held not in item.count_by_sequence:
            # Another controller lends this server's slots.
            self._lending = False
            until = now + self._times.credit_lifetime_s
            self._wait_until = max(self._wait_until, until)
        item.in_flight = use.in_flight
        first_usable = max(request.min_usable_sequence, held)
        item.count_by_sequence = {
            sequence: count
            for sequence, count in item.count_by_sequence.items()
            if sequence >= first_usable
        }
        self.limit.note_outcomes(
            OutcomeCounts(
                use.succeeded, use.failed, use.refused, use.latency_ms
            ),
            sum(item.in_flight for item in self._borrower_by_run.values()),
            now,
        )

    def _may_lend(self, now: float) -> bool:
        if not self._lending and now >= self._wait_until + NO_LOAD_WAIT_S:
            self._begin(0, now)
        return self._lending

    def _begin(self, running: int, now: float) -> None:
        """Starts to lend.

        All running work counts as unknown at first, because a gateway's
        report may be older than the load report.
        """
        self._lending = True
        self._running_at_begin = running
        self._lowest_running = running
        self._identified = 0
        self._unknown_until = now + ORPHAN_HOLD_S
        for item in self._borrower_by_run.values():
            item.empty_sequences.clear()
            item.identified = False

    def _identify(
        self, item: _Borrower, request: CreditRequest, use: CreditUse
    ) -> bool:
        """Subtracts a borrower's work from the unknown work.

        No gateway can have started work between the end of the wait and its
        first credit, so in-flight work that is reported after lending began
        was already running then.
        """
        if item.identified:
            return True
        if use.held_sequence in item.empty_sequences:
            self._identified += use.in_flight
            item.identified = True
            return True
        item.empty_sequences.add(request.sequence)
        return False

    def _target(self, asking: _Borrower, limit: int, now: float) -> int:
        """Returns the asking gateway's share of the limit."""
        live = {
            item.gateway: item
            for item in self._borrower_by_run.values()
            if not self._silent(item, now)
        }
        live[asking.gateway] = asking
        if live.keys() != set(self._order):
            self._order = rank_members(self.server_id, live)
        order = self._order
        want_by_gateway = {
            name: live[name].in_flight + live[name].waiting for name in order
        }
        wanting = [name for name in order if want_by_gateway[name]]
        if wanting:
            # Rotation gives each waiting gateway its turn when there are
            # fewer slots than gateways.
            turn = int(now / self._times.credit_lifetime_s) * max(limit, 1)
            shift = turn % len(wanting) if len(wanting) > limit else 0
            wanting = wanting[shift:] + wanting[:shift]
        return share(limit, wanting, want_by_gateway, order)[asking.gateway]

    def _silent(self, item: _Borrower, now: float) -> bool:
        return now - item.heard_at >= 2 * self._times.credit_lifetime_s

    def _forget(self, now: float) -> None:
        if now >= self._unknown_until:
            self._lowest_running = 0
        self._borrower_by_run = {
            run: item
            for run, item in self._borrower_by_run.items()
            if now - item.heard_at < ORPHAN_HOLD_S
        }


def share(
    limit: int,
    wanting: list[str],
    want_by_gateway: dict[str, int],
    order: list[str],
) -> dict[str, int]:
    """Divides a limit: demand first, then equal standing shares.

    Both are given out one by one in the order of the lists.
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
