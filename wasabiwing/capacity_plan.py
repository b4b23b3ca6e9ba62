"""Decides how many backend servers of a service to order in each zone.

The plan serves three load patterns: demand that changes within seconds while
a server takes seconds to boot; a zone that loses all its reclaimable servers
at once while no others are available; prices that differ by zone and kind.
Reclaimable servers are spread over the zones, with a reserve for the loss of
one zone. On-demand servers are ordered only for the need that reclaimable
ones cannot cover, and are released when enough reclaimable ones are warm. A
plan changes as few servers as possible: a booting server counts as present.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from wasabiwing.service_configuration import ScaleLimits

# Average share of a server's time that prompts may take; above it, the first
# events of answers wait until bursts are processed.
TARGET_UTILISATION = 0.4

# Servers that always run, whatever the demand: with fewer, the loss of one
# zone would leave a single server.
MIN_SERVERS = 3

# On-demand servers that always run: reclaims of two zones within a second may
# leave no other server, and a new one takes seconds to boot.
MIN_ON_DEMAND_SERVERS = 1

# Servers beyond the need, as a share of it, for bursts and the loss of a
# zone's reclaimable servers.
RESERVE_SHARE = 0.5


# Share of a deployment's servers that are presumed to be busy until demand is
# seen; less than all, because the operator sizes a deployment for bursts.
PRESUMED_BUSY_SHARE = 0.6

# Zones that may lose their reclaimable servers before a server that is ordered
# now has booted.
ZONES_AT_RISK = 3


@dataclass(frozen=True, slots=True)
class ServerCount:
    """Numbers of servers of one kind in one zone."""

    availability_zone: str
    reclaimable: bool
    # Registered, not leaving and warm.
    warm: int
    # Registered and not leaving, or ordered recently.
    expected: int


@dataclass(frozen=True, slots=True)
class ServerOrder:
    """How many servers of one kind a zone should have."""

    availability_zone: str
    reclaimable: bool
    count: int


@dataclass(frozen=True, slots=True)
class Reserve:
    """Servers beyond those that can just bear the load."""

    # Servers beyond the need, as a share of it.
    share: float = RESERVE_SHARE
    # Share of the need that must remain if a zone is reclaimed.
    covered_share: float = 1.0
    # Whether reclaimable servers cover the loss of a zone where they are
    # cheaper, and surplus is released in the fullest zone. Otherwise
    # on-demand ones do, and it is released in the dearest zone.
    is_spread: bool = True


# Reserve of services whose servers state their speed: slow ones raise the
# need themselves, and the need leaves more than half of the servers' time.
# After the loss of a zone they are busy for less than 0.75 of their time.
KNOWN_SPEED_RESERVE = Reserve(share=0.25, covered_share=0.75)

# Reserve of all other services.
UNKNOWN_SPEED_RESERVE = Reserve(is_spread=False)


class _Plan:
    """The wanted numbers of servers while a plan is computed."""

    def __init__(
        self, zones: Sequence[str], counts: Sequence[ServerCount]
    ) -> None:
        kinds = [(zone, kind) for zone in zones for kind in (False, True)]
        self.ready = dict.fromkeys(kinds, 0)
        self.wanted = dict.fromkeys(kinds, 0)
        for count in counts:
            key = (count.availability_zone, count.reclaimable)
            if key in self.wanted:
                self.ready[key] = min(count.warm, count.expected)
                self.wanted[key] = count.expected
        self.initial = dict(self.wanted)

    def in_zone(self, zone: str) -> int:
        """Returns the number of wanted servers in a zone."""
        return self.wanted[(zone, False)] + self.wanted[(zone, True)]

    def total(self, reclaimable: bool | None = None) -> int:
        """Returns the number of wanted servers of one kind, or of both."""
        return sum(
            count
            for (_, kind), count in self.wanted.items()
            if reclaimable is None or kind is reclaimable
        )

    def warm_total(self) -> int:
        """Returns the number of wanted servers that are warm."""
        return sum(self._warm_count(key) for key in self.wanted)

    def warm_reclaimable(self) -> int:
        """Returns the number of wanted reclaimable servers that are warm."""
        return sum(self._warm_count(key) for key in self.wanted if key[1])

    def remaining_after_reclaim(self, zones: int = 1) -> int:
        """Returns how many wanted servers remain if zones are reclaimed."""
        at_risk = sorted(
            count for (_, kind), count in self.wanted.items() if kind
        )
        return self.total() - sum(at_risk[-zones:])

    def remaining_after_release(self) -> int:
        """Returns how many warm servers a reclaim leaves after a release.

        The release is that of a reclaimable server in the fullest zone.
        """
        at_risk = sorted(
            self._warm_count(key) for key in self.wanted if key[1]
        )
        fullest, second = at_risk[-1], sum(at_risk[-2:-1])
        return self.warm_total() - 1 - max(fullest - 1, second)

    def warm_after_reclaim(self) -> int:
        """Returns how many warm servers remain if a zone is reclaimed."""
        at_risk = [self._warm_count(key) for key in self.wanted if key[1]]
        return self.warm_total() - max(at_risk, default=0)

    def _warm_count(self, key: tuple[str, bool]) -> int:
        return min(self.ready[key], self.wanted[key])


def busy_server_count(
    demand: float, utilisation: float = TARGET_UTILISATION
) -> int:
    """Returns how many servers a demand, in servers' time, keeps busy."""
    return ceil(demand / utilisation)


def lost_server_count(limits_per_s: Iterable[float], work_s: float) -> int:
    """Returns how many servers' capacity is lost to limits that servers name.

    ``work_s`` is the mean computing time of a request in seconds.
    """
    used_shares = [
        min(limit * work_s / TARGET_UTILISATION, 1.0) for limit in limits_per_s
    ]
    return int(len(used_shares) - sum(used_shares)) if work_s else 0


def presumed_busy_server_count(present: int) -> int:
    """Returns how many busy servers a deployment is presumed to have.

    This applies to a fleet whose traffic has not begun. Until demand is seen,
    the number of servers that the operator has started is the best estimate.
    """
    return int(present * PRESUMED_BUSY_SHARE)


def plan_servers(
    busy: int,
    zones: Sequence[str],
    limits: ScaleLimits,
    counts: Sequence[ServerCount],
    exhausted_zones: frozenset[str],
    may_shrink: bool,
    kept: int = 0,
    refusing_zones: frozenset[str] = frozenset(),
    reserve: Reserve = Reserve(),
) -> tuple[ServerOrder, ...]:
    """Returns orders for the numbers of servers that should change.

    ``busy`` is the number of servers that can just bear the load. In
    ``exhausted_zones`` reclaimable servers were just lost or refused, so that
    more may be lost; ``refusing_zones`` have refused them for longer.
    ``kept`` servers remain whatever the load; on-demand ones among them are
    released only when as many reclaimable ones are warm.
    """
    cheapest = sorted(
        zones, key=lambda zone: (limits.price_by_zone.get(zone, 1.0), zone)
    )
    plan = _Plan(cheapest, counts)
    needed = max(busy, MIN_SERVERS)
    total = needed + ceil(needed * reserve.share)
    remaining = ceil(needed * reserve.covered_share)
    target = max(total - MIN_ON_DEMAND_SERVERS, kept)
    is_spread = reserve.is_spread or kept > 0
    if limits.reclaimable_price > 0:
        available_zones = [
            zone
            for zone in cheapest
            if zone not in exhausted_zones | refusing_zones
        ]
        _add_servers(plan, True, available_zones, target, limits)
        if is_spread:
            _fill_empty_zones(plan, available_zones, target, limits)
            _cover_lost_zone(plan, available_zones, remaining, limits)
    else:
        _add_servers(plan, False, cheapest, max(total, kept), limits)
    missing = max(
        remaining - plan.remaining_after_reclaim(),
        MIN_ON_DEMAND_SERVERS - plan.total(False),
    )
    if exhausted_zones:
        # Reclaims come in waves: while a zone is exhausted, more servers may
        # be reclaimed.
        missing = max(
            missing,
            min(busy, remaining) - plan.remaining_after_reclaim(ZONES_AT_RISK),
        )
    _add_servers(plan, False, cheapest, plan.total(False) + missing, limits)
    for zone in cheapest:
        while plan.in_zone(zone) < limits.min_servers:
            plan.wanted[(zone, False)] += 1
    if may_shrink and not exhausted_zones and limits.reclaimable_price > 0:
        # An on-demand server makes room for a reclaimable one.
        _release_servers(
            plan,
            False,
            cheapest,
            limits,
            lambda: (
                plan.warm_after_reclaim() > remaining
                and plan.total(False) > MIN_ON_DEMAND_SERVERS
                and _has_substitutes(plan, available_zones, limits, kept)
            ),
        )
        _release_servers(
            plan,
            True,
            cheapest,
            limits,
            lambda: (
                plan.warm_reclaimable() > target
                and (
                    not is_spread
                    or plan.remaining_after_release() >= remaining
                )
            ),
            in_fullest_zone=is_spread,
        )
    return tuple(
        ServerOrder(zone, kind, count)
        for (zone, kind), count in plan.wanted.items()
        if count != plan.initial[(zone, kind)]
    )


def _fill_empty_zones(
    plan: _Plan, zones: Sequence[str], total: int, limits: ScaleLimits
) -> None:
    """Adds reclaimable servers where a zone has less than its share.

    After an outage of the zone, the others have more than theirs; they are
    released when the added ones are warm.
    """
    for zone in zones:
        while (
            plan.wanted[(zone, True)] < total // len(zones)
            and plan.in_zone(zone) < limits.max_servers
        ):
            plan.wanted[(zone, True)] += 1


def _cover_lost_zone(
    plan: _Plan, zones: Sequence[str], needed: int, limits: ScaleLimits
) -> None:
    """Adds reclaimable servers until a zone can be lost, where it is cheaper.

    Of the servers that are spread over some zones, all but one zone's remain:
    one more server after the loss costs ``count / (count - 1)`` reclaimable
    servers instead of an on-demand one.
    """
    count = len(zones)
    if count < 2 or limits.reclaimable_price * count / (count - 1) >= 1.0:
        return
    while plan.remaining_after_reclaim() < needed:
        before = plan.total(True)
        _add_servers(plan, True, zones, before + 1, limits)
        if plan.total(True) == before:
            return


def _has_substitutes(
    plan: _Plan, zones: Sequence[str], limits: ScaleLimits, kept: int
) -> bool:
    """Whether an on-demand server can be released and ``kept`` remain.

    Where the zones have no room for as many reclaimable servers, an on-demand
    one that is released makes room for one.
    """
    if plan.warm_reclaimable() >= kept:
        return True
    is_full = all(plan.in_zone(zone) >= limits.max_servers for zone in zones)
    return is_full and plan.warm_total() > kept


def _add_servers(
    plan: _Plan,
    reclaimable: bool,
    zones: Sequence[str],
    total: int,
    limits: ScaleLimits,
) -> None:
    """Adds servers of a kind to the emptiest zones up to a total."""
    while plan.total(reclaimable) < total:
        zones_with_room = [
            zone for zone in zones if plan.in_zone(zone) < limits.max_servers
        ]
        if not zones_with_room:
            return
        emptiest = min(
            zones_with_room, key=lambda zone: plan.wanted[(zone, reclaimable)]
        )
        plan.wanted[(emptiest, reclaimable)] += 1


def _release_servers(
    plan: _Plan,
    reclaimable: bool,
    cheapest: Sequence[str],
    limits: ScaleLimits,
    has_surplus: Callable[[], bool],
    in_fullest_zone: bool = False,
) -> None:
    """Releases surplus servers of a kind, in the dearest zone first.

    In the fullest zone instead, the loss of one zone costs as few as possible.
    """
    while has_surplus():
        zones = [
            zone
            for zone in reversed(cheapest)
            if plan.wanted[(zone, reclaimable)] > 0
            and plan.in_zone(zone) > limits.min_servers
        ]
        if not zones:
            return
        zone = zones[0]
        if in_fullest_zone:
            zone = max(
                zones, key=lambda zone: plan.wanted[(zone, reclaimable)]
            )
        plan.wanted[(zone, reclaimable)] -= 1
