"""Rendezvous hashing: assigns keys to members without a table.

Used to choose the home controller of a backend server, claim partition or
pool. A change of one member moves only the keys of that member.
"""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in order of preference for the key."""
    return sorted(members, key=lambda member: (-_score(key, member), member))


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the preferred member for the key, or ``None`` without any."""
    return max(
        members,
        key=lambda member: (_score(key, member), member),
        default=None,
    )


def _score(key: str, member: str) -> int:
    return xxh64_intdigest(f"{member}\0{key}".encode())
