"""Gradual return of traffic to an availability zone that was drained.

Caches and servers of such a zone are cold, so its share of the routing
decisions grows over ``ZONE_RAMP_S`` seconds.
"""

from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.configuration import ZoneState
from wasabiwing.timers import TimerService

# Time until a zone that returned gets its full share, in seconds.
ZONE_RAMP_S = 30.0

# Share of decisions that may use the zone right after its return.
ZONE_RAMP_START = 0.1


class ZoneRamps:
    """Tracks when zones returned to service, and their shares since."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._drained_zone_ids: set[str] = set()
        self._returned_at_by_zone: dict[str, float] = {}

    def note_zone_states(self, index: ConfigurationIndex) -> None:
        """Records which zones a new configuration drains or returns.

        A gateway that has just started has seen no drained zone and applies
        no ramp.
        """
        for zone in index.zone_by_id.values():
            if zone.state is not ZoneState.ACTIVE:
                self._drained_zone_ids.add(zone.id)
                self._returned_at_by_zone.pop(zone.id, None)
            elif zone.id in self._drained_zone_ids:
                self._drained_zone_ids.discard(zone.id)
                self._returned_at_by_zone[zone.id] = self._timer.now()

    def share_by_zone(self) -> dict[str, float]:
        """Returns the shares, from 0 to 1, of zones below their full one."""
        if not self._returned_at_by_zone:
            return {}
        now = self._timer.now()
        shares: dict[str, float] = {}
        for zone_id, returned_at in tuple(self._returned_at_by_zone.items()):
            progress = (now - returned_at) / ZONE_RAMP_S
            if progress >= 1.0:
                del self._returned_at_by_zone[zone_id]
            else:
                shares[zone_id] = (
                    ZONE_RAMP_START + (1.0 - ZONE_RAMP_START) * progress
                )
        return shares
