"""Usage of organisations' caps, as the reports of all nodes show it.

Each node keeps a token bucket for the whole fleet: it deducts what it admits
itself and what other nodes report. While some nodes are not heard from, it
refills only by the share of the heard ones, since the others may admit
requests as well. Reports are up to a second old, so ``cap_issuer`` decides;
this count bounds it, and decides only while no issuer answers.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from math import inf

from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.timers import TimerService

# Share of the deployment's tolerance that admission uses; the rest covers what
# other nodes admit before their reports arrive.
ADMISSION_TOLERANCE_SHARE = 0.5

# Shares of the burst and of the usable tolerance that a restarted node assumes
# to be left until it hears from another node. After a restart of all nodes
# none of them knows the usage just before it.
RESTART_BURST_SHARE = 0.25
RESTART_TOLERANCE_SHARE = 0.5

# Time for which a level reported by another node is used, in seconds.
PEER_LEVEL_MAX_AGE_S = 2.0

# Age up to which all that a node has admitted is news to a restarted node, in
# seconds.
NEW_PEER_AGE_S = 2.0

# Largest age of other nodes' usage that a state shows, in seconds.
MAX_NEWS_AGE_S = 60.0

# Shortest retry delay of a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class CapUsage:
    """Usage of an organisation that a node admitted since it started."""

    organisation: str
    used: float
    # Level of the organisation's bucket on the node.
    level: float


@dataclass(frozen=True, slots=True)
class CapTolerance:
    """By how much the nodes together may exceed a cap in a window."""

    window_s: float
    # Excess as a share of what the cap allows in the window.
    excess: float
    # Further fixed excess, in the cap's unit.
    slack: float

    def amount(self, rate_per_s: float, burst: float) -> float:
        """Returns the tolerance of a cap in a window, in the cap's unit."""
        allowed = rate_per_s * self.window_s + burst
        return allowed * self.excess + self.slack

    def usable_amount(self, organisation: OrganisationProfile) -> float:
        """Returns the tolerance that admission uses, in the cap's unit."""
        amount = self.amount(organisation.rate_per_s, organisation.burst)
        return amount * ADMISSION_TOLERANCE_SHARE


@dataclass(frozen=True, slots=True)
class CapRefusal:
    """The refusal of a request that exceeds the cap."""

    # Seconds after which the request may be retried.
    retry_after_s: float
    # Cost of the request and level of the bucket, in the cap's unit.
    cost: float
    level: float


@dataclass(frozen=True, slots=True)
class CapState:
    """What a node knows of an organisation's usage, and did since before.

    Amounts are in the cap's unit.
    """

    organisation: str
    level: float
    rate_per_s: float
    # Time since other nodes' usage was last heard, in seconds.
    news_age_s: float
    # Share of the nodes that were heard, with this one.
    heard_share: float
    admitted: float
    refunded: float
    # Usage that others have reported.
    deducted: float
    refusals: int


@dataclass(slots=True)
class _Counts:
    """What happened to a bucket since its state was last taken."""

    admitted: float = 0.0
    refunded: float = 0.0
    deducted: float = 0.0
    refusals: int = 0


@dataclass(slots=True)
class _Bucket:
    """The token bucket of one organisation."""

    level: float
    refilled_at: float
    used: float = 0.0
    heard: bool = False
    counts: _Counts = field(default_factory=_Counts)
    # Refill rate and capacity as of the last request.
    rate_per_s: float = 0.0
    capacity: float = inf


class UsageCaps:
    """Admits or refuses requests by the usage caps of organisations."""

    def __init__(
        self,
        timer: TimerService,
        first_start: bool,
        heard_share: Callable[[], float],
        tolerance: CapTolerance,
    ) -> None:
        self._timer = timer
        self._tolerance = tolerance
        self._first_start = first_start
        # Returns the share of the nodes, with this one, that are heard from.
        self._heard_share = heard_share
        self._bucket_by_organisation: dict[str, _Bucket] = {}
        # Usage last reported, by incarnation id of a node and organisation.
        self._used_by_peer: dict[tuple[str, str], float] = {}
        # Time and level of the last report of another node.
        self._peer_level_by_organisation: dict[str, tuple[float, float]] = {}

    def admit(
        self, organisation: OrganisationProfile, tokens: int | None
    ) -> CapRefusal | None:
        """Deducts a request's cost; returns ``None`` if it may be sent."""
        if organisation.rate_per_s <= 0:
            return None
        cost = request_cost(organisation, tokens)
        bucket = self._refilled_bucket(organisation)
        if bucket.level <= 0:
            deficit = cost - bucket.level
            wait_s = max(deficit / organisation.rate_per_s, MIN_RETRY_AFTER_S)
            bucket.counts.refusals += 1
            return CapRefusal(wait_s, cost, bucket.level)
        _charge(bucket, cost)
        return None

    def charge(self, organisation: OrganisationProfile, cost: float) -> None:
        """Deducts the cost of a request that was admitted elsewhere."""
        _charge(self._refilled_bucket(organisation), cost)

    def note_refusal(self, organisation: str) -> None:
        """Counts a request that was refused elsewhere."""
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is not None:
            bucket.counts.refusals += 1

    def level(self, organisation: OrganisationProfile) -> float:
        """Returns what is left according to all reports, in the cap's unit."""
        return self._refilled_bucket(organisation).level

    def known_level(
        self, organisation: str, rate_per_s: float, burst: float
    ) -> float:
        """Returns what is left of a cap that another node has named."""
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            bucket = self._refilled_bucket(
                OrganisationProfile(
                    organisation,
                    frozenset(),
                    rate_per_s=rate_per_s,
                    burst=burst,
                )
            )
        return bucket.level

    def refund(
        self, organisation: OrganisationProfile, tokens: int | None
    ) -> None:
        """Refunds the cost of a request that has not run."""
        bucket = self._bucket_by_organisation.get(organisation.name)
        if bucket is not None and organisation.rate_per_s > 0:
            cost = request_cost(organisation, tokens)
            bucket.level += cost
            bucket.used -= cost
            bucket.counts.refunded += cost

    def own_usage(self) -> tuple[CapUsage, ...]:
        """Returns the usage that this node reports to the others."""
        return tuple(
            CapUsage(name, bucket.used, bucket.level)
            for name, bucket in self._bucket_by_organisation.items()
        )

    def note_peer_usage(
        self,
        peer_incarnation_id: str,
        uses: Iterable[CapUsage],
        age_s: float = 0.0,
    ) -> None:
        """Deducts the usage that a node admitted since its last report.

        ``peer_incarnation_id`` identifies one start of the node, which was
        ``age_s`` seconds ago; 0 if that is not known.
        """
        is_new = 0.0 < age_s < NEW_PEER_AGE_S
        for use in uses:
            before = self._used_by_peer.get(
                (peer_incarnation_id, use.organisation)
            )
            self._used_by_peer[(peer_incarnation_id, use.organisation)] = (
                use.used
            )
            if before is None and not self._first_start and not is_new:
                # What it admitted before this node's start is not news.
                self.limit_to_peer_level(use.organisation, use.level)
                continue
            amount = use.used if before is None else use.used - before
            self.deduct_peer_usage(use.organisation, amount, use.level)

    def deduct_peer_usage(
        self, organisation: str, amount: float, level: float
    ) -> None:
        """Deducts usage that other nodes have admitted.

        ``level`` is the level of the organisation's bucket on another node. A
        negative amount corrects an earlier one.
        """
        self._peer_level_by_organisation[organisation] = (
            self._timer.now(),
            level,
        )
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            return
        if not bucket.heard and not self._first_start:
            bucket.level = min(bucket.level, level)
        else:
            bucket.level -= amount
        bucket.counts.deducted += amount
        bucket.heard = True

    def limit_to_peer_level(self, organisation: str, level: float) -> None:
        """Lowers a bucket to a peer's level after a gap in its reports."""
        self._peer_level_by_organisation[organisation] = (
            self._timer.now(),
            level,
        )
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is not None:
            bucket.level = min(bucket.level, level)
            bucket.heard = True

    def take_states(self) -> tuple[CapState, ...]:
        """Returns and resets the states of caps that were in use and short.

        A cap is short while less than half of its bucket is left.
        """
        now = self._timer.now()
        states = []
        for name, bucket in self._bucket_by_organisation.items():
            counts, bucket.counts = bucket.counts, _Counts()
            in_use = counts.admitted or counts.refusals
            if not in_use or bucket.level > bucket.capacity / 2:
                continue
            reported_at, _ = self._peer_level_by_organisation.get(
                name, (-inf, inf)
            )
            states.append(
                CapState(
                    name,
                    bucket.level,
                    bucket.rate_per_s,
                    min(now - reported_at, MAX_NEWS_AGE_S),
                    self._heard_share(),
                    counts.admitted,
                    counts.refunded,
                    counts.deducted,
                    counts.refusals,
                )
            )
        return tuple(states)

    def refill_buckets(self) -> None:
        """Refills all buckets; called several times a second.

        A refill applies the current share of heard nodes to the whole time
        since the refill before, so refills must be frequent.
        """
        for bucket in self._bucket_by_organisation.values():
            self._refill_bucket(bucket)

    def _refilled_bucket(self, organisation: OrganisationProfile) -> _Bucket:
        now = self._timer.now()
        bucket = self._bucket_by_organisation.get(organisation.name)
        tolerance = self._tolerance.usable_amount(organisation)
        capacity = organisation.burst + tolerance
        if bucket is None:
            restart_level = organisation.burst * RESTART_BURST_SHARE
            restart_level += tolerance * RESTART_TOLERANCE_SHARE
            level = capacity if self._first_start else restart_level
            reported_at, peer_level = self._peer_level_by_organisation.get(
                organisation.name, (-inf, inf)
            )
            heard = now - reported_at <= PEER_LEVEL_MAX_AGE_S
            if heard:
                level = min(level, peer_level)
            bucket = _Bucket(level, now, heard=heard)
            self._bucket_by_organisation[organisation.name] = bucket
        bucket.rate_per_s = organisation.rate_per_s
        bucket.capacity = capacity
        self._refill_bucket(bucket)
        return bucket

    def _refill_bucket(self, bucket: _Bucket) -> None:
        now = self._timer.now()
        added = (now - bucket.refilled_at) * bucket.rate_per_s
        added *= self._heard_share()
        bucket.level = min(bucket.level + added, bucket.capacity)
        bucket.refilled_at = now


def _charge(bucket: _Bucket, cost: float) -> None:
    bucket.level -= cost
    bucket.used += cost
    bucket.counts.admitted += cost


def request_cost(
    organisation: OrganisationProfile, tokens: int | None
) -> float:
    """Returns what a request costs, in the unit of its organisation's cap."""
    if not organisation.counts_tokens:
        return 1.0
    return float(organisation.default_tokens if tokens is None else tokens)
