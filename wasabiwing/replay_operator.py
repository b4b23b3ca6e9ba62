"""Performs the operator events of a trace by changes in the store."""

from collections.abc import Callable
from dataclasses import replace

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import ZoneState
from wasabiwing.configuration_store import Root
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.operations import apply_configuration
from wasabiwing.operations import read_stored
from wasabiwing.operations import set_zone_state
from wasabiwing.timers import SystemTimer
from wasabiwing.trace_format import EventAction
from wasabiwing.trace_format import TraceEvent

STATE_BY_ACTION = {
    EventAction.DRAIN_ZONE: ZoneState.DRAINED,
    EventAction.RETURN_ZONE: ZoneState.ACTIVE,
}


class OperatorEventRunner:
    """Drains and returns availability zones and changes weights."""

    def __init__(
        self, store_urls: tuple[str, ...], new_apply_id: Callable[[], str]
    ) -> None:
        self._store_urls = store_urls
        self._new_apply_id = new_apply_id

    async def perform(self, event: TraceEvent) -> Result[None, str]:
        """Performs an operator event; refuses other events with an error."""
        state = STATE_BY_ACTION.get(event.action)
        if state is None and event.action is not EventAction.SET_WEIGHT:
            return Err("the target cannot perform this event")
        store = EtcdStore(self._store_urls)
        applied: Result[Root | None, Failure]
        if state is not None:
            applied = await set_zone_state(
                store,
                event.target,
                state,
                self._new_apply_id,
                now_s=SystemTimer().wall_time(),
            )
        else:
            applied = await self._set_weight(store, event)
        await store.close()
        if isinstance(applied, Err):
            return Err(str(applied.err_value))
        return Ok(None)

    async def _set_weight(
        self, store: EtcdStore, event: TraceEvent
    ) -> Result[Root | None, Failure]:
        found = await read_stored(store)
        if isinstance(found, Err):
            return found
        stored = found.ok_value
        if stored is None or event.value is None:
            return Ok(None)
        return await apply_configuration(
            store,
            with_weight(stored.configuration, event.target, event.value),
            stored.root.root.generation,
            self._new_apply_id(),
            now_s=SystemTimer().wall_time(),
        )


def with_weight(
    configuration: Configuration, organisation: str, weight: float
) -> Configuration:
    """Returns the configuration with a new weight for an organisation."""
    return replace(
        configuration,
        organisations=tuple(
            replace(item, weight=weight) if item.id == organisation else item
            for item in configuration.organisations
        ),
    )
