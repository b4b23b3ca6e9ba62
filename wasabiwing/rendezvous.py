"""Rendezvous hashing: assigns keys to members without a table.

It chooses, for example, the home controller of a backend server, claim
partition or pool. A member that is added or removed moves only its own keys.
"""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in the key's order of preference."""
    return sorted(members, key=lambda member: (-_hash(key, member), member))


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the key's preferred member, or ``None`` without members."""
    return max(
        members,
        key=lambda member: (_hash(key, member), member),
        default=None,
    )


def _hash(key: str, member: str) -> int:
    return xxh64_intdigest(f"{member}\0{key}".encode())
