"""Usage caps of organisations, shared by all nodes.

Load pattern: one organisation sends many times its usual through all nodes
at once. Each node keeps a token bucket of the whole system: it deducts what
it admits itself and what other nodes report. Where other nodes are silent,
it refills only by its share, since they may admit as well.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.timers import TimerService

# Part of the deployment's tolerance that admission uses; the rest covers what
# other nodes admit before they are heard.
USED_TOLERANCE = 0.5

# Parts of the burst and of the used tolerance that a restarted node assumes
# to be left until it hears from another node. After a restart of all nodes
# nobody knows what was used just before.
RESTART_SHARE = 0.25
RESTART_TOLERANCE = 0.5

# A level that another node told is used for this long, in seconds.
PEER_LEVEL_MAX_AGE_S = 2.0

# Shortest time to come back after, in seconds.
LEAST_RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class CapUse:
    """What a node has admitted of an organisation since it started."""

    organisation: str
    used: float
    # Level of the node's bucket.
    level: float


@dataclass(frozen=True, slots=True)
class CapTolerance:
    """By how much the nodes together may exceed a cap in a window."""

    window_s: float
    # Share of what the cap allows in the window.
    excess: float
    # Fixed amount, in the cap's unit.
    slack: float

    def usable_amount(self, organisation: OrganisationProfile) -> float:
        """Returns the part of the tolerance that admission uses."""
        allowed = organisation.rate_per_s * self.window_s + organisation.burst
        return (allowed * self.excess + self.slack) * USED_TOLERANCE


@dataclass(frozen=True, slots=True)
class CapRefusal:
    """Why a request is over the cap."""

    # Seconds after which the request may come back.
    retry_after_s: float
    # What the request counts for, and what the bucket holds.
    cost: float
    level: float


@dataclass(slots=True)
class _Bucket:
    """The bucket of one organisation."""

    level: float
    refilled_at: float
    used: float = 0.0
    heard: bool = False
    # Refill and size at the last request.
    rate_per_s: float = 0.0
    full: float = inf


class UsageCaps:
    """Decides whether an organisation may send now."""

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
        # Share of the nodes, with this one, that are heard from.
        self._heard_share = heard_share
        self._bucket_by_organisation: dict[str, _Bucket] = {}
        # Use that was last reported, by node's life and organisation.
        self._used_by_peer: dict[tuple[str, str], float] = {}
        # Level that another node last told, with the time.
        self._told_by_organisation: dict[str, tuple[float, float]] = {}

    def admit(
        self, organisation: OrganisationProfile, tokens: int | None
    ) -> CapRefusal | None:
        """Deducts a request; returns ``None`` if it may be sent."""
        if organisation.rate_per_s <= 0:
            return None
        cost = _cost(organisation, tokens)
        bucket = self._refill(organisation)
        if bucket.level <= 0:
            missing = cost - bucket.level
            wait_s = max(missing / organisation.rate_per_s, LEAST_RETRY_S)
            return CapRefusal(wait_s, cost, bucket.level)
        bucket.level -= cost
        bucket.used += cost
        return None

    def refund(
        self, organisation: OrganisationProfile, tokens: int | None
    ) -> None:
        """Returns what a request that has not run was charged."""
        bucket = self._bucket_by_organisation.get(organisation.name)
        if bucket is not None and organisation.rate_per_s > 0:
            cost = _cost(organisation, tokens)
            bucket.level += cost
            bucket.used -= cost

    def own_use(self) -> tuple[CapUse, ...]:
        """Returns what this node tells the others."""
        return tuple(
            CapUse(name, bucket.used, bucket.level)
            for name, bucket in self._bucket_by_organisation.items()
        )

    def note_peer_usage(
        self, peer_incarnation_id: str, uses: Iterable[CapUse]
    ) -> None:
        """Deducts what another node has admitted since its last report.

        ``peer_life`` names one start of a node.
        """
        for use in uses:
            before = self._used_by_peer.get(
                (peer_incarnation_id, use.organisation)
            )
            self._used_by_peer[(peer_incarnation_id, use.organisation)] = (
                use.used
            )
            amount = use.used if before is None else use.used - before
            self.deduct_peer_usage(use.organisation, amount, use.level)

    def deduct_peer_usage(
        self, organisation: str, amount: float, level: float
    ) -> None:
        """Deducts what other nodes have admitted.

        ``level`` is what is left as another node sees it. A negative amount
        corrects an earlier one.
        """
        self._told_by_organisation[organisation] = (self._timer.now(), level)
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            return
        if not bucket.heard and not self._first_start:
            bucket.level = min(bucket.level, level)
        else:
            bucket.level -= amount
        bucket.heard = True

    def limit_to_peer_level(self, organisation: str, level: float) -> None:
        """Takes what is left from another node, after a gap in its reports."""
        self._told_by_organisation[organisation] = (self._timer.now(), level)
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is not None:
            bucket.level = min(bucket.level, level)

    def refill_buckets(self) -> None:
        """Refills all buckets; called several times a second.

        The share of the nodes that are heard holds for a short time only.
        """
        for bucket in self._bucket_by_organisation.values():
            self._add(bucket)

    def _refill(self, organisation: OrganisationProfile) -> _Bucket:
        now = self._timer.now()
        bucket = self._bucket_by_organisation.get(organisation.name)
        tolerance = self._tolerance.usable_amount(organisation)
        full = organisation.burst + tolerance
        if bucket is None:
            restart = organisation.burst * RESTART_SHARE
            restart += tolerance * RESTART_TOLERANCE
            level = full if self._first_start else restart
            told_at, told = self._told_by_organisation.get(
                organisation.name, (-inf, inf)
            )
            heard = now - told_at <= PEER_LEVEL_MAX_AGE_S
            if heard:
                level = min(level, told)
            bucket = _Bucket(level, now, heard=heard)
            self._bucket_by_organisation[organisation.name] = bucket
        bucket.rate_per_s = organisation.rate_per_s
        bucket.full = full
        self._add(bucket)
        return bucket

    def _add(self, bucket: _Bucket) -> None:
        now = self._timer.now()
        added = (now - bucket.refilled_at) * bucket.rate_per_s
        added *= self._heard_share()
        bucket.level = min(bucket.level + added, bucket.full)
        bucket.refilled_at = now


def _cost(organisation: OrganisationProfile, tokens: int | None) -> float:
    if not organisation.counts_tokens:
        return 1.0
    return float(organisation.default_tokens if tokens is None else tokens)
