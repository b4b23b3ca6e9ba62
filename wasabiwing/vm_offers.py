"""Ranks the offers by which a missing VM of a pool may be started.

The offer that the configuration declares is first. The alternatives, for when
the cloud refuses it, are ranked by price. Offers in an availability zone that
already holds many of the pool's VMs count as more expensive, so that the loss
of one zone leaves enough capacity.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Placement
from wasabiwing.configuration import ZoneState

# Share of its price that is added to an offer whose zone holds all VMs of the
# pool; less in proportion where the zone holds fewer.
CONCENTRATION_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class Offer:
    """A combination of zone, machine class and price for a new VM."""

    availability_zone: str
    machine_class: str
    reclaimable: bool
    # Price per hour.
    price: float


def declared_offer(
    configuration: Configuration, placement: Placement
) -> Offer | None:
    """Returns the offer that a placement declares.

    The result is ``None`` if the configuration has no price for it or if its
    zone is not active.
    """
    offers = [
        offer
        for offer in all_offers(configuration)
        if offer.availability_zone == placement.availability_zone
        and offer.machine_class == placement.machine_class
        and offer.reclaimable == placement.reclaimable
    ]
    return offers[0] if offers else None


def all_offers(configuration: Configuration) -> list[Offer]:
    """Returns all offers of the configuration in active zones."""
    active_zone_ids = {
        zone.id
        for zone in configuration.availability_zones
        if zone.state is ZoneState.ACTIVE
    }
    offers: list[Offer] = []
    for item in configuration.machine_classes:
        for reclaimable, price_by_zone in (
            (True, item.reclaimable_price_by_zone),
            (False, item.on_demand_price_by_zone),
        ):
            offers.extend(
                Offer(zone, item.id, reclaimable, price)
                for zone, price in price_by_zone.items()
                if zone in active_zone_ids
            )
    return offers


def rank_offers(
    configuration: Configuration,
    placement: Placement,
    vm_count_by_zone: Mapping[str, int],
) -> list[Offer]:
    """Returns the offers for a placement, the first one to try first.

    Machine classes with fewer accelerators than the declared one are left
    out, because they would not meet the latency target.
    """
    accelerators_by_class = {
        item.id: item.accelerators for item in configuration.machine_classes
    }
    min_accelerators = accelerators_by_class.get(placement.machine_class, 0)
    declared = declared_offer(configuration, placement)
    total = sum(vm_count_by_zone.values()) or 1

    def cost(offer: Offer) -> float:
        share = vm_count_by_zone.get(offer.availability_zone, 0) / total
        return offer.price * (1 + CONCENTRATION_WEIGHT * share)

    alternatives = [
        offer
        for offer in all_offers(configuration)
        if offer != declared
        and accelerators_by_class[offer.machine_class] >= min_accelerators
    ]
    ranked = sorted(alternatives, key=cost)
    return [declared, *ranked] if declared else ranked
