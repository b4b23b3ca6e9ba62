"""Describes the differences between two configurations for operators."""

from collections.abc import Iterator
from typing import Any

from msgspec import to_builtins
from msgspec.json import encode

from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Pool
from wasabiwing.configuration import ZoneState


def describe_changes(old: Configuration, new: Configuration) -> list[str]:
    """Returns one line with path and values for each difference."""
    return list(_compare("$", to_builtins(old), to_builtins(new)))


def describe_effects(old: Configuration, new: Configuration) -> list[str]:
    """Returns a change's effects on zones, pool capacities and traffic."""
    lines = []
    old_zones = {zone.id: zone for zone in old.availability_zones}
    for zone in new.availability_zones:
        before = old_zones.get(zone.id)
        if before is not None and before.state is not zone.state:
            is_active = zone.state is ZoneState.ACTIVE
            effect = "takes work again" if is_active else "gets no new work"
            lines.append(f"availability zone {zone.id} {effect}")
    old_pools = {pool.id: pool for pool in old.pools}
    new_pools = {pool.id: pool for pool in new.pools}
    for pool_id in sorted({*old_pools, *new_pools}):
        before_slots = _active_slots(old, old_pools.get(pool_id))
        after_slots = _active_slots(new, new_pools.get(pool_id))
        if before_slots != after_slots:
            lines.append(
                f"pool {pool_id}: slots that take work go from"
                f" {before_slots} to {after_slots}"
            )
    for pool in new.pools:
        known = old_pools.get(pool.id)
        if pool.rollout and (not known or known.rollout != pool.rollout):
            lines.append(
                f"pool {pool.id}: traffic moves from"
                f" {pool.rollout.from_version} to {pool.rollout.to_version}"
            )
    return lines


def _active_slots(configuration: Configuration, pool: Pool | None) -> int:
    active = {
        zone.id
        for zone in configuration.availability_zones
        if zone.state is ZoneState.ACTIVE
    }
    if pool is None:
        return 0
    return sum(
        server.max_slots
        for server in pool.servers
        if server.availability_zone in active
    )


def _compare(path: str, old: Any, new: Any) -> Iterator[str]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _compare_items(old, new, f"{path}.", "")
    elif _has_ids(old) and _has_ids(new):
        yield from _compare_items(
            {item["id"]: item for item in old},
            {item["id"]: item for item in new},
            f"{path}[",
            "]",
        )
    else:
        yield f"{path}: {_render(old)} -> {_render(new)}"


def _compare_items(
    old: dict[str, Any], new: dict[str, Any], prefix: str, suffix: str
) -> Iterator[str]:
    for key in old:
        if key not in new:
            yield f"{prefix}{key}{suffix}: removed"
    for key, value in new.items():
        path = f"{prefix}{key}{suffix}"
        if key not in old:
            yield f"{path}: added {_render(value)}"
        else:
            yield from _compare(path, old[key], value)


def _has_ids(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(
        isinstance(item, dict) and "id" in item for item in value
    )


def _render(value: Any) -> str:
    return encode(value).decode()
