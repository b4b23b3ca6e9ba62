"""Decides for the whole fleet which requests an organisation's cap admits.

Load pattern: one organisation sends many times its usage cap through hundreds
of nodes at once, of which each sees a small part and learns of the others a
second later. One node decides for all of them, so that what is admitted beyond
the cap does not depend on the demand, on the number of nodes or on the age of
reports. This module sends nothing.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from wasabiwing.messages import CapDecision
from wasabiwing.messages import CapRequest
from wasabiwing.messages import CapSpent
from wasabiwing.messages import OrganisationCap
from wasabiwing.timers import TimerService
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import MIN_RETRY_AFTER_S

# Share of the rate that is issued until it is known which nodes are cut off.
CAUTIOUS_SHARE = 0.5

# Share of the deployment's tolerance that is admitted in addition to the
# burst. The rest covers what is spent without this node's decision.
TOLERANCE_SHARE = 0.15

# Share of the bucket that is left to a better choice of issuer, which may
# decide at the same time.
RESERVE_SHARE = 0.7

# Refunds that come late, as a share of the tolerance in a window: what was
# charged before a window may not be spent in it without limit.
LATE_REFUND_SHARE = 0.25

# Lowest level of a bucket, as a share of the burst.
MAX_DEBT_SHARE = 0.5

# Usage that reports may show beyond the level of the bucket, as a share of the
# burst. Nodes of an earlier build admit requests without asking.
REPORTED_MARGIN_SHARE = 0.5

# Longest time by which a bucket is refilled at once, in seconds. A longer time
# without refills means that the process was suspended, while other nodes
# decided.
MAX_REFILL_S = 1.0

# Time after the start in which a node asks for a second opinion on what it
# denies, in seconds.
YOUNG_S = 2.0

# Longest time by which refused callers are asked to return one after the
# other, in seconds.
MAX_RETURN_S = 2.0

# Time after its last use for which a bucket is kept, in seconds.
BUCKET_LIFETIME_S = 60.0


@dataclass(frozen=True, slots=True)
class IssuedState:
    """What a node decided on an organisation's cap since before.

    Amounts are in the cap's unit.
    """

    organisation: str
    level: float
    rate_per_s: float
    granted: float
    # Usage, less refunds, that nodes stated without a decision of this one.
    spent: float
    denials: int


@dataclass(slots=True)
class _Bucket:
    """The token bucket of one organisation for the whole fleet."""

    version: int
    rate_per_s: float
    burst: float
    capacity: float
    level: float
    refilled_at: float
    used_at: float
    # Share of the rate at which it is refilled, besides the heard share.
    refill_share: float = 1.0
    # Latest time at which a refused caller was asked to return.
    return_at: float = 0.0
    # Times and amounts of late refunds.
    late_refunds: deque[tuple[float, float]] = field(default_factory=deque)
    granted: float = 0.0
    spent: float = 0.0
    denials: int = 0


class CapIssuer:
    """Decides on the requests of organisations that this node is chosen for.

    ``known_level`` returns what is left of a cap according to the reports of
    all nodes, in the cap's unit.
    """

    def __init__(
        self,
        timer: TimerService,
        tolerance: CapTolerance,
        heard_share: Callable[[], float],
        known_level: Callable[[OrganisationCap], float],
    ) -> None:
        self._timer = timer
        self._tolerance = tolerance
        self._heard_share = heard_share
        self._known_level = known_level
        self._started_at = timer.now()
        self._bucket_by_organisation: dict[str, _Bucket] = {}

    @property
    def is_young(self) -> bool:
        """Whether this node has started so recently that others know more."""
        return self._timer.now() - self._started_at < YOUNG_S

    def adopt_level(self, organisation: str, level: float) -> None:
        """Takes the level of a bucket from a node that knows more."""
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is not None:
            bucket.level = min(level, bucket.capacity)

    def decide(
        self, request: CapRequest, acts_first: bool, is_cautious: bool = False
    ) -> CapDecision:
        """Admits a request or says when its caller should return.

        ``acts_first`` says whether no better choice decides for the
        organisation. Otherwise a reserve is left to that one. ``is_cautious``
        says that a better choice has just fallen silent and may decide for
        nodes that are cut off from this one.
        """
        bucket = self._bucket(request.cap)
        bucket.refill_share = CAUTIOUS_SHARE if is_cautious else 1.0
        reserve = 0.0 if acts_first else bucket.capacity * RESERVE_SHARE
        margin = bucket.burst * REPORTED_MARGIN_SHARE
        level = min(bucket.level, self._known_level(request.cap) + margin)
        if level > reserve:
            bucket.level -= request.cost
            bucket.granted += request.cost
            return CapDecision(
                request.cap.organisation,
                request.cost,
                True,
                level=bucket.level,
                is_young=self.is_young,
            )
        bucket.denials += request.cost > 0.0
        return self._deny(bucket, request, reserve - level)

    def note_spent(self, uses: Iterable[CapSpent]) -> None:
        """Deducts what a node admitted without a decision of this one.

        Refunds are negative.
        """
        for use in uses:
            bucket = self._bucket(use.cap)
            refund = min(use.late_refund, self._late_refund_left(bucket))
            if refund > 0.0:
                bucket.late_refunds.append((self._timer.now(), refund))
            self._add(bucket, refund - use.amount)
            bucket.spent += use.amount - refund

    def refill(self) -> None:
        """Refills all buckets; called several times a second."""
        now = self._timer.now()
        for name, bucket in list(self._bucket_by_organisation.items()):
            if now - bucket.used_at > BUCKET_LIFETIME_S:
                del self._bucket_by_organisation[name]
            else:
                self._refill_bucket(bucket)

    def take_states(self) -> tuple[IssuedState, ...]:
        """Returns and resets the states of caps that denied requests."""
        states = []
        for name, bucket in self._bucket_by_organisation.items():
            if bucket.denials:
                states.append(
                    IssuedState(
                        name,
                        bucket.level,
                        bucket.rate_per_s,
                        bucket.granted,
                        bucket.spent,
                        bucket.denials,
                    )
                )
            bucket.granted, bucket.spent, bucket.denials = 0.0, 0.0, 0
        return tuple(states)

    def _deny(
        self, bucket: _Bucket, request: CapRequest, deficit: float
    ) -> CapDecision:
        now = self._timer.now()
        wait_s = deficit / bucket.rate_per_s
        latest_at = now + max(wait_s, MAX_RETURN_S)
        return_at = min(max(now + wait_s, bucket.return_at), latest_at)
        bucket.return_at = return_at + request.cost / bucket.rate_per_s
        return CapDecision(
            request.cap.organisation,
            request.cost,
            False,
            wait_s,
            max(return_at - now, MIN_RETRY_AFTER_S),
            bucket.level,
            self.is_young,
        )

    def _late_refund_left(self, bucket: _Bucket) -> float:
        """Returns how much may still be refunded late in this window."""
        oldest = self._timer.now() - self._tolerance.window_s
        refunds = bucket.late_refunds
        while refunds and refunds[0][0] < oldest:
            refunds.popleft()
        most = self._tolerance.amount(bucket.rate_per_s, bucket.burst)
        refunded = sum(amount for _, amount in refunds)
        return max(most * LATE_REFUND_SHARE - refunded, 0.0)

    def _bucket(self, cap: OrganisationCap) -> _Bucket:
        """Returns an organisation's bucket with its newest cap."""
        now = self._timer.now()
        bucket = self._bucket_by_organisation.get(cap.organisation)
        tolerance = self._tolerance.amount(cap.rate_per_s, cap.burst)
        capacity = cap.burst + tolerance * TOLERANCE_SHARE
        if bucket is None:
            level = min(self._known_level(cap), capacity)
            if not self.is_young:
                # A part of the fleet that is cut off has only its share.
                level *= self._heard_share()
            bucket = _Bucket(
                cap.version,
                cap.rate_per_s,
                cap.burst,
                capacity,
                level,
                now,
                now,
            )
            self._bucket_by_organisation[cap.organisation] = bucket
        self._refill_bucket(bucket)
        bucket.used_at = now
        if cap.version >= bucket.version:
            bucket.version = cap.version
            bucket.rate_per_s = cap.rate_per_s
            bucket.burst = cap.burst
            bucket.capacity = capacity
            bucket.level = min(bucket.level, capacity)
        return bucket

    def _refill_bucket(self, bucket: _Bucket) -> None:
        now = self._timer.now()
        elapsed_s = min(now - bucket.refilled_at, MAX_REFILL_S)
        bucket.refilled_at = now
        share = self._heard_share() * bucket.refill_share
        self._add(bucket, elapsed_s * bucket.rate_per_s * share)

    def _add(self, bucket: _Bucket, amount: float) -> None:
        lowest = min(-bucket.burst * MAX_DEBT_SHARE, bucket.level)
        bucket.level = min(max(bucket.level + amount, lowest), bucket.capacity)
