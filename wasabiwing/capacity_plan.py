"""Decides how many backend servers of a service to order in each zone.

Load patterns: demand that changes within seconds while a server takes seconds
to boot; a zone whose reclaimable servers all vanish at once while no others
are to be had; prices that differ by zone and kind. Reclaimable servers are
spread over the zones, one server that cannot be reclaimed stays in the
cheapest zone, and servers are given up only when others have taken over.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from wasabiwing.service_configuration import ScaleLimits

# Share of a server's time that prompts may take on average; above it, first
# events wait for bursts to be worked off.
TARGET_USE = 0.45

# Servers that always run, whatever the demand: with fewer, the loss of one
# zone leaves one.
LEAST_SERVERS = 3


@dataclass(frozen=True, slots=True)
class ServerCount:
    """Servers of one kind in one zone."""

    availability_zone: str
    reclaimable: bool
    # Registered, not leaving and warm.
    ready: int
    # Registered and not leaving, also cold ones.
    present: int


@dataclass(frozen=True, slots=True)
class ServerOrder:
    """How many servers of one kind a zone should have."""

    availability_zone: str
    reclaimable: bool
    count: int


def servers_needed(demand: float) -> int:
    """Returns the servers for a demand in servers' computing time."""
    return max(ceil(demand / TARGET_USE), LEAST_SERVERS)


def plan_servers(
    needed: int,
    zones: Sequence[str],
    limits: ScaleLimits,
    counts: Sequence[ServerCount],
    dry_zones: frozenset[str],
) -> tuple[ServerOrder, ...]:
    """Returns the wanted number for each zone and kind.

    In ``dry_zones`` no more reclaimable servers can be had at present; those
    that are there stay.
    """
    cheapest = sorted(
        zones, key=lambda zone: (limits.price_by_zone.get(zone, 1.0), zone)
    )
    if not cheapest:
        return ()
    firm = dict.fromkeys(zones, 0)
    reclaimable = dict.fromkeys(zones, 0)
    if limits.reclaimable_price <= 0:
        _spread(firm, {}, cheapest, needed, limits)
    else:
        firm[cheapest[0]] = 1
        _plan_reclaimable(
            firm, reclaimable, cheapest, needed, limits, counts, dry_zones
        )
    _keep_minimum(firm, reclaimable, limits)
    _keep_until_replaced(firm, reclaimable, needed, counts)
    # The limit of a zone holds for both kinds together.
    room = {zone: max(limits.most - firm[zone], 0) for zone in cheapest}
    return (
        *(ServerOrder(zone, False, firm[zone]) for zone in cheapest),
        *(
            ServerOrder(zone, True, min(reclaimable[zone], room[zone]))
            for zone in cheapest
        ),
    )


def _plan_reclaimable(
    firm: dict[str, int],
    reclaimable: dict[str, int],
    cheapest: Sequence[str],
    needed: int,
    limits: ScaleLimits,
    counts: Sequence[ServerCount],
    dry_zones: frozenset[str],
) -> None:
    """Fills up with reclaimable servers, then with firm ones."""
    for count in counts:
        zone = count.availability_zone
        if count.reclaimable and zone in dry_zones and zone in reclaimable:
            reclaimable[zone] = count.present
    wet = [zone for zone in cheapest if zone not in dry_zones]
    # All reclaimable servers of a zone may vanish together.
    spare = ceil(needed / len(cheapest))
    firm_count = sum(firm.values())
    _spread(reclaimable, firm, wet, needed + spare - firm_count, limits)
    missing = needed - sum(reclaimable.values()) - firm_count
    if missing > 0:
        _spread(firm, reclaimable, cheapest, firm_count + missing, limits)


def _spread(
    wanted: dict[str, int],
    others: Mapping[str, int],
    zones: Sequence[str],
    total: int,
    limits: ScaleLimits,
) -> None:
    """Adds servers zone by zone until there are ``total`` or no room."""
    while sum(wanted.values()) < total:
        room = [
            zone
            for zone in zones
            if wanted[zone] + others.get(zone, 0) < limits.most
        ]
        if not room:
            return
        wanted[min(room, key=lambda zone: wanted[zone])] += 1


def _keep_minimum(
    firm: dict[str, int], reclaimable: dict[str, int], limits: ScaleLimits
) -> None:
    for zone in firm:
        missing = limits.least - firm[zone] - reclaimable[zone]
        if missing > 0:
            firm[zone] += missing


def _keep_until_replaced(
    firm: dict[str, int],
    reclaimable: dict[str, int],
    needed: int,
    counts: Sequence[ServerCount],
) -> None:
    """Keeps firm servers until enough reclaimable ones are warm."""
    ready = sum(
        min(count.ready, reclaimable[count.availability_zone])
        for count in counts
        if count.reclaimable and count.availability_zone in reclaimable
    )
    missing = needed - ready - sum(firm.values())
    for count in counts:
        zone = count.availability_zone
        if count.reclaimable or zone not in firm or missing <= 0:
            continue
        kept = min(max(count.present - firm[zone], 0), missing)
        firm[zone] += kept
        missing -= kept
