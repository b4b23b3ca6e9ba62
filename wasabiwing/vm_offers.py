"""Chooses where a missing VM is started.

The declared offer comes first. When it was refused, the alternatives are
weighed by price, and offers in an availability zone that already holds many
of the pool's VMs count as dearer, so that the loss of one zone leaves enough
capacity standing.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Placement
from wasabiwing.configuration import ZoneState

# An offer whose zone holds the whole pool counts as this much dearer.
CONCENTRATION_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of VM that the cloud may start."""

    availability_zone: str
    machine_class: str
    reclaimable: bool
    # Price per hour.
    price: float


def declared_offer(
    configuration: Configuration, placement: Placement
) -> Offer | None:
    """Returns the offer that a placement names, or ``None`` without one."""
    offers = [
        offer
        for offer in all_offers(configuration)
        if offer.availability_zone == placement.availability_zone
        and offer.machine_class == placement.machine_class
        and offer.reclaimable == placement.reclaimable
    ]
    return offers[0] if offers else None


def all_offers(configuration: Configuration) -> list[Offer]:
    """Returns all offers in zones that take work."""
    active = {
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
                if zone in active
            )
    return offers


def rank_offers(
    configuration: Configuration,
    placement: Placement,
    vm_count_by_zone: Mapping[str, int],
) -> list[Offer]:
    """Returns the offers for a placement in the order to try them.

    Machine classes with fewer accelerators than the declared one are left
    out: they would not meet the latency target.
    """
    accelerators_by_class = {
        item.id: item.accelerators for item in configuration.machine_classes
    }
    needed = accelerators_by_class.get(placement.machine_class, 0)
    declared = declared_offer(configuration, placement)
    total = sum(vm_count_by_zone.values()) or 1

    def cost(offer: Offer) -> float:
        share = vm_count_by_zone.get(offer.availability_zone, 0) / total
        return offer.price * (1 + CONCENTRATION_WEIGHT * share)

    others = [
        offer
        for offer in all_offers(configuration)
        if offer != declared
        and accelerators_by_class[offer.machine_class] >= needed
    ]
    ranked = sorted(others, key=cost)
    return [declared, *ranked] if declared else ranked
