"""Checks of the operators' configuration file beyond its schema.

The checks run after parsing and before anything is written. They cover
references between parts, duplicate ids and value ranges. A change is also
checked for safety against the configuration in force. All findings are
reported, each with its path.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator

from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Pool
from wasabiwing.configuration import PoolKind
from wasabiwing.configuration import Rollout
from wasabiwing.configuration import ZoneState
from wasabiwing.decoding import parse_whole_number

SHA256_HEX_DIGITS = 64

# Largest share of a pool's slots in active zones that one change may remove
# without being forced. One half allows draining one of two zones.
MAX_CAPACITY_CUT = 0.5

MAX_PORT = 65_535


def check_configuration(configuration: Configuration) -> list[str]:
    """Returns findings as lines ``path: message``; empty if all is valid."""
    return [
        *_check_zones(configuration),
        *_check_organisations(configuration),
        *_check_machine_classes(configuration),
        *_check_pools(configuration),
        *_check_routes(configuration),
    ]


def check_change(
    running: Configuration, wanted: Configuration, now_s: float
) -> list[str]:
    """Returns lines ``path: message`` for the unsafe parts of a change.

    ``now_s`` is the time in seconds since the epoch. A rollout whose schedule
    has not ended by then still needs the servers of its old version.
    """
    findings = []
    index_by_id = {pool.id: i for i, pool in enumerate(wanted.pools)}
    old_zones = _active_zone_ids(running)
    new_zones = _active_zone_ids(wanted)
    for pool in running.pools:
        slots = _slots_by_version(pool, old_zones)
        if not slots:
            continue
        index = index_by_id.get(pool.id)
        if index is None:
            findings.append(
                f"$.pools: removes pool {pool.id!r}, which has"
                f" {sum(slots.values())} slots"
            )
            continue
        new_pool = wanted.pools[index]
        new_slots = _slots_by_version(new_pool, new_zones)
        path = f"$.pools[{index}].servers"
        if not new_slots and new_pool.servers:
            findings.append(
                f"{path}: all are in availability zones that are drained"
            )
        elif not new_slots:
            findings.append(f"{path}: removes the last servers that take work")
        else:
            findings.extend(_check_cut(path, slots, new_slots))
            findings.extend(
                _check_versions(path, pool, slots, new_slots, now_s)
            )
    return findings


def _active_zone_ids(configuration: Configuration) -> set[str]:
    return {
        zone.id
        for zone in configuration.availability_zones
        if zone.state is ZoneState.ACTIVE
    }


def _slots_by_version(pool: Pool, zone_ids: set[str]) -> Counter[str]:
    slots: Counter[str] = Counter()
    for server in pool.servers:
        if server.availability_zone in zone_ids:
            slots[server.version] += server.max_slots
    return slots


def _check_cut(
    path: str, slots: Counter[str], new_slots: Counter[str]
) -> Iterator[str]:
    before = sum(slots.values())
    after = sum(new_slots.values())
    if after < before * (1 - MAX_CAPACITY_CUT):
        yield (
            f"{path}: cuts the slots that take work from {before} to"
            f" {after}, more than {MAX_CAPACITY_CUT:.0%}"
        )


def _check_versions(
    path: str,
    pool: Pool,
    slots: Counter[str],
    new_slots: Counter[str],
    now_s: float,
) -> Iterator[str]:
    """Finds versions that lose their servers while they get traffic."""
    serving_versions = set(slots)
    rollout = pool.rollout
    if rollout is not None:
        end_s = rollout.start_s + rollout.steps[-1].after_s
        if now_s >= end_s + rollout.settle_s:
            serving_versions = {rollout.to_version}
        else:
            serving_versions = {rollout.from_version}
    for version in sorted(serving_versions & set(slots) - set(new_slots)):
        yield (
            f"{path}: removes all servers of version {version!r}, which"
            " holds traffic that no rollout has moved"
        )


def _duplicates(path: str, ids: Iterable[str]) -> Iterator[str]:
    seen: set[str] = set()
    for index, item in enumerate(ids):
        if item in seen:
            yield f"{path}[{index}].id: duplicate id {item!r}"
        seen.add(item)


def _unknown(
    path: str, kind: str, name: str, known: set[str]
) -> Iterator[str]:
    if name not in known:
        yield f"{path}: unknown {kind} {name!r}"


def _zone_ids(configuration: Configuration) -> set[str]:
    return {zone.id for zone in configuration.availability_zones}


def _check_zones(configuration: Configuration) -> Iterator[str]:
    path = "$.availability_zones"
    zones = configuration.availability_zones
    if not zones:
        yield f"{path}: at least one availability zone is needed"
    yield from _duplicates(path, (zone.id for zone in zones))
    known = _zone_ids(configuration)
    for index, zone in enumerate(zones):
        for other, latency_ms in zone.latency_ms_by_zone.items():
            item_path = f"{path}[{index}].latency_ms_by_zone.{other}"
            yield from _unknown(item_path, "availability zone", other, known)
            if latency_ms < 0:
                yield f"{item_path}: must not be negative"


def _check_organisations(configuration: Configuration) -> Iterator[str]:
    path = "$.organisations"
    organisations = configuration.organisations
    yield from _duplicates(path, (item.id for item in organisations))
    seen_tokens: set[str] = set()
    for index, item in enumerate(organisations):
        item_path = f"{path}[{index}]"
        if item.weight <= 0:
            yield f"{item_path}.weight: must be above 0"
        if item.queue_limit < 1:
            yield f"{item_path}.queue_limit: must be at least 1"
        digits = set(item.token_sha256) <= set("0123456789abcdef")
        if not digits or len(item.token_sha256) != SHA256_HEX_DIGITS:
            yield f"{item_path}.token_sha256: must be 64 hexadecimal digits"
        if item.token_sha256 in seen_tokens:
            yield f"{item_path}.token_sha256: used by another organisation"
        seen_tokens.add(item.token_sha256)


def _check_machine_classes(configuration: Configuration) -> Iterator[str]:
    path = "$.machine_classes"
    classes = configuration.machine_classes
    yield from _duplicates(path, (item.id for item in classes))
    known = _zone_ids(configuration)
    for index, item in enumerate(classes):
        for name, price_by_zone in (
            ("reclaimable_price_by_zone", item.reclaimable_price_by_zone),
            ("on_demand_price_by_zone", item.on_demand_price_by_zone),
        ):
            for zone, price in price_by_zone.items():
                item_path = f"{path}[{index}].{name}.{zone}"
                yield from _unknown(
                    item_path, "availability zone", zone, known
                )
                if price < 0:
                    yield f"{item_path}: must not be negative"


def _check_pools(configuration: Configuration) -> Iterator[str]:
    path = "$.pools"
    yield from _duplicates(path, (pool.id for pool in configuration.pools))
    server_counts = Counter(
        server.id for pool in configuration.pools for server in pool.servers
    )
    for index, pool in enumerate(configuration.pools):
        item_path = f"{path}[{index}]"
        yield from _check_pool(item_path, pool, configuration)
        for position, server in enumerate(pool.servers):
            if server_counts[server.id] > 1:
                yield (
                    f"{item_path}.servers[{position}].id: duplicate id"
                    f" {server.id!r}"
                )


def _check_pool(
    path: str, pool: Pool, configuration: Configuration
) -> Iterator[str]:
    zones = _zone_ids(configuration)
    classes = {item.id for item in configuration.machine_classes}
    versions = {version.id for version in pool.versions}
    yield from _duplicates(
        f"{path}.versions", (version.id for version in pool.versions)
    )
    if not 0 <= pool.retry_budget <= 1:
        yield f"{path}.retry_budget: must be from 0 to 1"
    if pool.kind is PoolKind.MODEL:
        for index, version in enumerate(pool.versions):
            if not version.weights:
                yield f"{path}.versions[{index}].weights: must not be empty"
    for index, server in enumerate(pool.servers):
        item_path = f"{path}.servers[{index}]"
        zone = server.availability_zone
        yield from _unknown(
            f"{item_path}.availability_zone", "availability zone", zone, zones
        )
        yield from _unknown(
            f"{item_path}.version", "version", server.version, versions
        )
        if server.machine_class:
            yield from _unknown(
                f"{item_path}.machine_class",
                "machine class",
                server.machine_class,
                classes,
            )
        if not _is_address(server.address):
            yield f"{item_path}.address: must be host:port"
        if server.cold_slots < 1:
            yield f"{item_path}.cold_slots: must be at least 1"
        if server.max_slots < server.cold_slots:
            yield f"{item_path}.max_slots: must not be below cold_slots"
    for index, placement in enumerate(pool.placements):
        item_path = f"{path}.placements[{index}]"
        zone = placement.availability_zone
        yield from _unknown(
            f"{item_path}.availability_zone", "availability zone", zone, zones
        )
        yield from _unknown(
            f"{item_path}.version", "version", placement.version, versions
        )
        yield from _unknown(
            f"{item_path}.machine_class",
            "machine class",
            placement.machine_class,
            classes,
        )
        if placement.count < 0:
            yield f"{item_path}.count: must not be negative"
    if pool.rollout is not None:
        yield from _check_rollout(f"{path}.rollout", pool.rollout, versions)


def _check_rollout(
    path: str, rollout: Rollout, versions: set[str]
) -> Iterator[str]:
    yield from _unknown(
        f"{path}.from_version", "version", rollout.from_version, versions
    )
    yield from _unknown(
        f"{path}.to_version", "version", rollout.to_version, versions
    )
    if rollout.from_version == rollout.to_version:
        yield f"{path}.to_version: must differ from from_version"
    if rollout.settle_s < 0:
        yield f"{path}.settle_s: must not be negative"
    if not rollout.steps:
        yield f"{path}.steps: at least one step is needed"
        return
    last_after_s = -1.0
    last_share = 0.0
    for index, step in enumerate(rollout.steps):
        item_path = f"{path}.steps[{index}]"
        if step.after_s <= last_after_s:
            yield f"{item_path}.after_s: must be above the step before"
        if not last_share <= step.share <= 1:
            yield f"{item_path}.share: must not fall, and be at most 1"
        last_after_s = step.after_s
        last_share = step.share
    if last_share != 1:
        yield f"{path}.steps[-1].share: the last step must have share 1"


def _check_routes(configuration: Configuration) -> Iterator[str]:
    path = "$.routes"
    routes = configuration.routes
    yield from _duplicates(path, (route.id for route in routes))
    pool_by_id = {pool.id: pool for pool in configuration.pools}
    organisations = {item.id for item in configuration.organisations}
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(routes):
        item_path = f"{path}[{index}]"
        key = (route.path, route.model)
        if key in seen:
            yield f"{item_path}.path: path and model are used by another route"
        seen.add(key)
        pool = pool_by_id.get(route.pool)
        yield from _unknown(
            f"{item_path}.pool", "pool", route.pool, set(pool_by_id)
        )
        if pool is not None and pool.kind is PoolKind.MODEL:
            if not route.model:
                yield f"{item_path}.model: needed for a model pool"
        if not route.path.startswith("/"):
            yield f"{item_path}.path: must start with /"
        if route.deadline_ms <= 0:
            yield f"{item_path}.deadline_ms: must be above 0"
        if route.deferrable and not route.idempotent:
            yield f"{item_path}.deferrable: needs an idempotent route"
        for position, item in enumerate(route.organisations):
            yield from _unknown(
                f"{item_path}.organisations[{position}]",
                "organisation",
                item,
                organisations,
            )


def _is_address(address: str) -> bool:
    host, _, port_text = address.rpartition(":")
    port = parse_whole_number(port_text)
    return bool(host) and port is not None and port <= MAX_PORT
