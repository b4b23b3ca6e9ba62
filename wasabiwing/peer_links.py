"""Chooses the peers that a controller keeps links to.

Up to ``FULL_MESH_MEMBERS`` members, each member is linked to all others. Above
that, the members are put on several rings, and each is linked to its
neighbours on every ring. One ring is in order of region and zone, so it passes
through all zones; the others are in pseudo-random orders, so most of their
links cross zones. Every ring alone connects all members. All controllers
compute the same rings from the same member table, so links are symmetric.
"""

from collections.abc import Sequence
from functools import lru_cache

from xxhash import xxh64_intdigest

from wasabiwing.messages import MemberUpdate

FULL_MESH_MEMBERS = 13

# Neighbours on each side of the ring in order of region and zone.
ZONE_RING_REACH = 2

RANDOM_RINGS = 4

# Enough for all rings of 4,000 members.
POSITION_CACHE_SIZE = 16_384


def choose_links(
    own_id: str, members: Sequence[MemberUpdate]
) -> frozenset[str]:
    """Returns the node ids to link to; ``members`` includes this member."""
    if len(members) <= FULL_MESH_MEMBERS:
        return frozenset(
            member.node_id for member in members if member.node_id != own_id
        )
    by_zone = sorted(
        members,
        key=lambda item: (item.region, item.availability_zone, item.node_id),
    )
    zone_ring = [member.node_id for member in by_zone]
    chosen = _neighbours(zone_ring, own_id, ZONE_RING_REACH)
    for number in range(RANDOM_RINGS):
        ring = sorted(
            zone_ring,
            key=lambda node_id: (_position(node_id, number), node_id),
        )
        chosen |= _neighbours(ring, own_id, 1)
    return frozenset(chosen - {own_id})


@lru_cache(maxsize=POSITION_CACHE_SIZE)
def _position(node_id: str, ring_number: int) -> int:
    return xxh64_intdigest(node_id.encode(), seed=ring_number)


def _neighbours(ring: Sequence[str], own_id: str, reach: int) -> set[str]:
    own = ring.index(own_id)
    return {
        ring[(own + step) % len(ring)] for step in range(-reach, reach + 1)
    }
