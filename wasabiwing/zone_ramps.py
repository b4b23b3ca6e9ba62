"""Gradual return of traffic to an availability zone that was drained.

Caches and servers of such a zone are cold, so its share of the routing
decisions grows over a named time.
"""

from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.configuration import ZoneState
from wasabiwing.timers import TimerService

# Time until a zone that came back takes its whole share, in seconds.
ZONE_RAMP_S = 30.0

# Share of decisions that may use the zone right after its return.
ZONE_RAMP_START = 0.1


class ZoneRamps:
    """Remembers when zones came back into service."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._drained: set[str] = set()
        self._returned_at: dict[str, float] = {}

    def note_zone_states(self, index: ConfigurationIndex) -> None:
        """Reads the zones' states of a new configuration.

        A gateway that has just started has seen no zone drained and applies
        no ramp.
        """
        for zone in index.zone_by_id.values():
            if zone.state is not ZoneState.ACTIVE:
                self._drained.add(zone.id)
                self._returned_at.pop(zone.id, None)
            elif zone.id in self._drained:
                self._drained.discard(zone.id)
                self._returned_at[zone.id] = self._timer.now()

    def share_by_zone(self) -> dict[str, float]:
        """Returns the zones below their whole share, from 0 to 1."""
        if not self._returned_at:
            return {}
        now = self._timer.now()
        shares: dict[str, float] = {}
        for zone_id, returned_at in tuple(self._returned_at.items()):
            passed = (now - returned_at) / ZONE_RAMP_S
            if passed >= 1.0:
                del self._returned_at[zone_id]
            else:
                shares[zone_id] = (
                    ZONE_RAMP_START + (1.0 - ZONE_RAMP_START) * passed
                )
        return shares
