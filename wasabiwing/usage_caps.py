"""Usage caps of organisations, shared by all nodes.

Load pattern: one organisation sends many times its usual through all nodes
at once. Each node keeps a token bucket of the whole system: it deducts what
it admits itself and what other nodes report. Where other nodes are silent,
it refills only by its share, since they may admit as well.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.timers import TimerService

# Part of the burst that a restarted node assumes to be left until it hears
# from another node.
RESTART_SHARE = 0.25

# Shortest time to come back after, in seconds.
LEAST_RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class CapUse:
    """What a node has admitted of an organisation since it started."""

    organisation: str
    used: float
    # Level of the node's bucket.
    level: float


@dataclass(slots=True)
class _Bucket:
    """The bucket of one organisation."""

    level: float
    refilled_at: float
    used: float = 0.0
    heard: bool = False


class UsageCaps:
    """Decides whether an organisation may send now."""

    def __init__(
        self,
        timer: TimerService,
        first_start: bool,
        heard_share: Callable[[], float],
    ) -> None:
        self._timer = timer
        self._first_start = first_start
        # Share of the nodes, with this one, that are heard from.
        self._heard_share = heard_share
        self._bucket_by_organisation: dict[str, _Bucket] = {}
        # Use that was last reported, by node's life and organisation.
        self._used_by_peer: dict[tuple[str, str], float] = {}

    def admit(
        self, organisation: OrganisationProfile, tokens: int | None
    ) -> float | None:
        """Deducts a request; returns ``None`` if it may be sent.

        Otherwise returns the seconds after which it may come back.
        """
        if organisation.rate_per_s <= 0:
            return None
        cost = 1.0
        if organisation.counts_tokens:
            cost = float(
                organisation.plain_tokens if tokens is None else tokens
            )
        bucket = self._refill(organisation)
        if bucket.level <= 0:
            missing = cost - bucket.level
            return max(missing / organisation.rate_per_s, LEAST_RETRY_S)
        bucket.level -= cost
        bucket.used += cost
        return None

    def give_back(
        self, organisation: OrganisationProfile, tokens: int | None
    ) -> None:
        """Returns what a request that has not run was charged."""
        bucket = self._bucket_by_organisation.get(organisation.name)
        if bucket is None or organisation.rate_per_s <= 0:
            return
        cost = 1.0
        if organisation.counts_tokens:
            cost = float(
                organisation.plain_tokens if tokens is None else tokens
            )
        bucket.level += cost
        bucket.used -= cost

    def own_use(self) -> tuple[CapUse, ...]:
        """Returns what this node tells the others."""
        return tuple(
            CapUse(name, bucket.used, bucket.level)
            for name, bucket in self._bucket_by_organisation.items()
        )

    def note_peer(self, peer_life: str, uses: Iterable[CapUse]) -> None:
        """Deducts what another node has admitted since its last report.

        ``peer_life`` names one start of a node.
        """
        for use in uses:
            before = self._used_by_peer.get((peer_life, use.organisation))
            self._used_by_peer[(peer_life, use.organisation)] = use.used
            bucket = self._bucket_by_organisation.get(use.organisation)
            if bucket is None:
                continue
            if not bucket.heard and not self._first_start:
                bucket.level = min(bucket.level, use.level)
            elif before is not None:
                bucket.level -= use.used - before
            else:
                bucket.level -= use.used
            bucket.heard = True

    def _refill(self, organisation: OrganisationProfile) -> _Bucket:
        now = self._timer.now()
        bucket = self._bucket_by_organisation.get(organisation.name)
        if bucket is None:
            share = 1.0 if self._first_start else RESTART_SHARE
            bucket = _Bucket(organisation.burst * share, now)
            self._bucket_by_organisation[organisation.name] = bucket
            return bucket
        added = (now - bucket.refilled_at) * organisation.rate_per_s
        added *= self._heard_share()
        bucket.level = min(bucket.level + added, organisation.burst)
        bucket.refilled_at = now
        return bucket
