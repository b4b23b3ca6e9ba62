"""Decides how many backend servers of a service to order in each zone.

Load patterns: demand that changes within seconds while a server takes seconds
to boot; a zone whose reclaimable servers all vanish at once while no others
are to be had; prices that differ by zone and kind. Reclaimable servers are
spread over the zones with a spare for the loss of one of them. Others are
ordered only for what reclaimable ones cannot cover, and are given up when
enough of those are warm. A plan changes what is there as little as possible:
a server that boots is as good as there.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from wasabiwing.service_configuration import ScaleLimits

# Share of a server's time that prompts may take on average; above it, first
# events wait for bursts to be worked off.
TARGET_USE = 0.4

# Servers that always run, whatever the demand: with fewer, the loss of one
# zone leaves one.
MIN_SERVERS = 3

# Firm servers that always run: reclaims of two zones within a second leave
# nothing else, and another server takes seconds to boot.
MIN_ON_DEMAND_SERVERS = 1

# Servers beyond the need, as a share of it, for bursts and the loss of a
# zone's reclaimable servers.
SPARE_SHARE = 0.5


# Share of the servers of a deployment that is presumed to be busy before any
# demand was seen; its operator sizes it for bursts.
PRESUMED_SHARE = 0.6

# Zones whose reclaimable servers may go before a server that is ordered now
# has booted.
ZONES_AT_RISK = 3


@dataclass(frozen=True, slots=True)
class ServerCount:
    """Servers of one kind in one zone."""

    availability_zone: str
    reclaimable: bool
    # Registered, not leaving and warm.
    ready: int
    # Registered and not leaving, or ordered a short while ago.
    expected: int


@dataclass(frozen=True, slots=True)
class ServerOrder:
    """How many servers of one kind a zone should have."""

    availability_zone: str
    reclaimable: bool
    count: int


class _Plan:
    """Wanted numbers while a plan is made."""

    def __init__(
        self, zones: Sequence[str], counts: Sequence[ServerCount]
    ) -> None:
        kinds = [(zone, kind) for zone in zones for kind in (False, True)]
        self.ready = dict.fromkeys(kinds, 0)
        self.wanted = dict.fromkeys(kinds, 0)
        for count in counts:
            key = (count.availability_zone, count.reclaimable)
            if key in self.wanted:
                self.ready[key] = min(count.ready, count.expected)
                self.wanted[key] = count.expected
        self.before = dict(self.wanted)

    def in_zone(self, zone: str) -> int:
        """Returns the wanted servers of both kinds."""
        return self.wanted[(zone, False)] + self.wanted[(zone, True)]

    def total(self, reclaimable: bool | None = None) -> int:
        """Returns the wanted servers of one kind, or of both."""
        return sum(
            count
            for (_, kind), count in self.wanted.items()
            if reclaimable is None or kind is reclaimable
        )

    def ready_total(self) -> int:
        """Returns the warm servers that are wanted."""
        return sum(self._warm(key) for key in self.wanted)

    def warm_reclaimable(self) -> int:
        """Returns the warm reclaimable servers that are wanted."""
        return sum(self._warm(key) for key in self.wanted if key[1])

    def safe(self, zones: int = 1) -> int:
        """Returns the wanted servers that stay if zones are reclaimed."""
        at_risk = sorted(
            count for (_, kind), count in self.wanted.items() if kind
        )
        return self.total() - sum(at_risk[-zones:])

    def safe_ready(self) -> int:
        """Returns the warm servers that stay if a zone is reclaimed."""
        at_risk = [self._warm(key) for key in self.wanted if key[1]]
        return self.ready_total() - max(at_risk, default=0)

    def _warm(self, key: tuple[str, bool]) -> int:
        return min(self.ready[key], self.wanted[key])


def servers_busy(demand: float) -> int:
    """Returns the servers that a demand in servers' time keeps busy."""
    return ceil(demand / TARGET_USE)


def presumed_busy(present: int) -> int:
    """Returns the busy servers that a deployment is sized for.

    Load pattern: a fleet whose traffic has not begun. Until demand is seen,
    the number of servers that the operator has started tells most about it.
    """
    return int(present * PRESUMED_SHARE)


def plan_servers(
    busy: int,
    zones: Sequence[str],
    limits: ScaleLimits,
    counts: Sequence[ServerCount],
    dry_zones: frozenset[str],
    may_shrink: bool,
) -> tuple[ServerOrder, ...]:
    """Returns the numbers that should change.

    ``busy`` servers can just bear the load. In ``dry_zones`` no more
    reclaimable servers can be had at present.
    """
    cheapest = sorted(
        zones, key=lambda zone: (limits.price_by_zone.get(zone, 1.0), zone)
    )
    plan = _Plan(cheapest, counts)
    needed = max(busy, MIN_SERVERS)
    target = needed + ceil(needed * SPARE_SHARE) - MIN_ON_DEMAND_SERVERS
    if limits.reclaimable_price > 0:
        wet = [zone for zone in cheapest if zone not in dry_zones]
        _grow(plan, True, wet, target, limits)
    else:
        _grow(plan, False, cheapest, target + MIN_ON_DEMAND_SERVERS, limits)
    missing = max(
        needed - plan.safe(), MIN_ON_DEMAND_SERVERS - plan.total(False)
    )
    if dry_zones:
        # Reclaims come in waves: while none are to be had, more may go.
        missing = max(missing, busy - plan.safe(ZONES_AT_RISK))
    _grow(plan, False, cheapest, plan.total(False) + missing, limits)
    for zone in cheapest:
        while plan.in_zone(zone) < limits.min_servers:
            plan.wanted[(zone, False)] += 1
    if may_shrink and not dry_zones and limits.reclaimable_price > 0:
        # A firm server makes room for a reclaimable one.
        _shrink(
            plan,
            False,
            cheapest,
            limits,
            lambda: (
                plan.safe_ready() > needed
                and plan.total(False) > MIN_ON_DEMAND_SERVERS
            ),
        )
        _shrink(
            plan,
            True,
            cheapest,
            limits,
            lambda: plan.warm_reclaimable() > target,
        )
    return tuple(
        ServerOrder(zone, kind, count)
        for (zone, kind), count in plan.wanted.items()
        if count != plan.before[(zone, kind)]
    )


def _grow(
    plan: _Plan,
    reclaimable: bool,
    zones: Sequence[str],
    total: int,
    limits: ScaleLimits,
) -> None:
    """Adds servers to the emptiest zones until the kind has enough."""
    while plan.total(reclaimable) < total:
        room = [
            zone for zone in zones if plan.in_zone(zone) < limits.max_servers
        ]
        if not room:
            return
        emptiest = min(room, key=lambda zone: plan.wanted[(zone, reclaimable)])
        plan.wanted[(emptiest, reclaimable)] += 1


def _shrink(
    plan: _Plan,
    reclaimable: bool,
    cheapest: Sequence[str],
    limits: ScaleLimits,
    has_surplus: Callable[[], bool],
) -> None:
    """Gives servers up while there is a surplus, the dearest first."""
    for zone in reversed(cheapest):
        key = (zone, reclaimable)
        while (
            plan.wanted[key] > 0
            and plan.in_zone(zone) > limits.min_servers
            and has_surplus()
        ):
            plan.wanted[key] -= 1
