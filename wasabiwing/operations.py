"""Operators' actions: check, plan and apply a configuration, drain a zone.

``wasabictl`` is a thin command line over this module.
"""

from collections.abc import Callable
from collections.abc import Container
from dataclasses import dataclass
from dataclasses import replace

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import parse_configuration
from wasabiwing.configuration import ZoneState
from wasabiwing.configuration_check import check_change
from wasabiwing.configuration_check import check_configuration
from wasabiwing.configuration_diff import describe_changes
from wasabiwing.configuration_diff import describe_effects
from wasabiwing.configuration_store import read_configuration
from wasabiwing.configuration_store import read_root
from wasabiwing.configuration_store import Root
from wasabiwing.configuration_store import StoredRoot
from wasabiwing.configuration_store import write_configuration
from wasabiwing.ports import ConfigStore

# Attempts to change the state of a zone while other changes conflict.
EDIT_ATTEMPTS = 5

# Lines of a difference that an error message shows.
MAX_DIFFERENCE_LINES = 40


@dataclass(frozen=True, slots=True)
class CheckFailure:
    """Why a file cannot be applied, a line for each finding."""

    code: ResultCode
    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The newest configuration in the store."""

    root: StoredRoot
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Plan:
    """The changes and effects that applying a file would have."""

    # Newest generation in the store; 0 for none.
    base_generation: int
    # Values that differ, with their paths.
    changes: tuple[str, ...]
    effects: tuple[str, ...]
    # Reasons for which the change is refused unless it is forced.
    unsafe: tuple[str, ...]


def check_document(document: bytes) -> Result[Configuration, CheckFailure]:
    """Checks a file: schema first, then references and ranges."""
    parsed = parse_configuration(document)
    if isinstance(parsed, Err):
        return Err(
            CheckFailure(
                ResultCode.CONFIGURATION_MALFORMED, tuple(parsed.err_value)
            )
        )
    findings = check_configuration(parsed.ok_value)
    if findings:
        return Err(
            CheckFailure(ResultCode.CONFIGURATION_REFERENCE, tuple(findings))
        )
    return Ok(parsed.ok_value)


async def read_stored(
    store: ConfigStore,
) -> Result[StoredConfiguration | None, Failure]:
    """Reads the newest configuration; ``None`` before the first apply."""
    found = await read_root(store)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Ok(None)
    loaded = await read_configuration(store, found.ok_value.root, {})
    if isinstance(loaded, Err):
        return loaded
    return Ok(StoredConfiguration(found.ok_value, loaded.ok_value[0]))


async def plan_configuration(
    store: ConfigStore, configuration: Configuration, now_s: float = 0.0
) -> Result[Plan, Failure]:
    """Compares a checked file with the stored one; writes nothing.

    ``now_s`` is in seconds since the epoch; see ``check_change``.
    """
    found = await read_stored(store)
    if isinstance(found, Err):
        return found
    stored = found.ok_value
    if stored is None:
        return Ok(Plan(0, ("$: first configuration",), (), ()))
    running = stored.configuration
    return Ok(
        Plan(
            stored.root.root.generation,
            tuple(describe_changes(running, configuration)),
            tuple(describe_effects(running, configuration)),
            tuple(check_change(running, configuration, now_s)),
        )
    )


async def apply_configuration(
    store: ConfigStore,
    configuration: Configuration,
    base_generation: int | None,
    apply_id: str,
    *,
    force: bool = False,
    now_s: float = 0.0,
) -> Result[Root, Failure]:
    """Writes a checked configuration to the store.

    With ``base_generation`` the change is refused unless that generation is
    still the newest one. Without ``force`` an unsafe change is refused.
    """
    found = await read_root(store)
    if isinstance(found, Err):
        return found
    base = found.ok_value
    newest = base.root.generation if base else 0
    if base_generation is not None and base_generation != newest:
        detail = (
            f"the base is generation {base_generation}, the newest is"
            f" {newest}; the file differs from it in:"
        )
        return await _conflict_failure(store, detail, configuration)
    known: Container[str] = ()
    if base is not None and not force:
        loaded = await read_configuration(store, base.root, {})
        if isinstance(loaded, Err):
            return loaded
        running, known = loaded.ok_value
        unsafe = check_change(running, configuration, now_s)
        if unsafe:
            detail = "\n".join(("", *unsafe))
            return Err(Failure(ResultCode.CONFIGURATION_UNSAFE, detail))
    written = await write_configuration(
        store, configuration, base, apply_id, known
    )
    if isinstance(written, Ok):
        return written
    failure = written.err_value
    if failure.code is ResultCode.CONFIGURATION_CONFLICT:
        detail = f"{failure.detail}; the file differs from it in:"
        return await _conflict_failure(store, detail, configuration)
    return written


async def set_zone_state(
    store: ConfigStore,
    zone_id: str,
    state: ZoneState,
    new_apply_id: Callable[[], str],
    *,
    force: bool = False,
    now_s: float = 0.0,
) -> Result[Root, Failure]:
    """Applies the stored configuration with one zone's state changed.

    After a conflict with another operator the newer configuration is changed.
    """
    result: Result[Root, Failure] = Err(
        Failure(ResultCode.CONFIGURATION_MISSING)
    )
    for _ in range(EDIT_ATTEMPTS):
        found = await read_stored(store)
        if isinstance(found, Err):
            return found
        stored = found.ok_value
        if stored is None:
            return result
        changed = _with_zone_state(stored.configuration, zone_id, state)
        if changed is None:
            detail = f"unknown availability zone {zone_id!r}"
            return Err(Failure(ResultCode.CONFIGURATION_REFERENCE, detail))
        if changed == stored.configuration:
            return Ok(stored.root.root)
        result = await apply_configuration(
            store,
            changed,
            stored.root.root.generation,
            new_apply_id(),
            force=force,
            now_s=now_s,
        )
        if isinstance(result, Ok):
            return result
        if result.err_value.code is not ResultCode.CONFIGURATION_CONFLICT:
            return result
    return result


def _with_zone_state(
    configuration: Configuration, zone_id: str, state: ZoneState
) -> Configuration | None:
    zones = configuration.availability_zones
    if not any(zone.id == zone_id for zone in zones):
        return None
    changed = tuple(
        replace(zone, state=state) if zone.id == zone_id else zone
        for zone in zones
    )
    return replace(configuration, availability_zones=changed)


async def _conflict_failure(
    store: ConfigStore, detail: str, configuration: Configuration
) -> Err[Failure]:
    """Returns a conflict failure with the changes to the newest file."""
    found = await read_stored(store)
    lines = [detail]
    if isinstance(found, Ok) and found.ok_value is not None:
        newest = found.ok_value.configuration
        lines += describe_changes(newest, configuration)
    if len(lines) > MAX_DIFFERENCE_LINES:
        omitted_count = len(lines) - MAX_DIFFERENCE_LINES
        lines = [*lines[:MAX_DIFFERENCE_LINES], f"and {omitted_count} more"]
    return Err(Failure(ResultCode.CONFIGURATION_CONFLICT, "\n".join(lines)))
