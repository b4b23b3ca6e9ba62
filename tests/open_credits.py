"""Slot credits without a home controller, for tests without sockets."""

from wasabiwing.cluster_view import ClusterView
from wasabiwing.gateway_credits import GatewayCredits
from wasabiwing.timers import TimerService

LIFETIME_S = 4.0


class OpenCredits(GatewayCredits):
    """Grants all configured slots of each server to one gateway."""

    def __init__(self, timer: TimerService, view: ClusterView) -> None:
        super().__init__("gateway-1", timer, view, LIFETIME_S)
        self._open_view = view

    def available_slots(self, server_id: str) -> int:
        index = self._open_view.index
        if index is None or server_id not in index.server_by_id:
            return 0
        limit = index.server_by_id[server_id].max_slots
        return limit - self.in_flight_by_server[server_id]

    @property
    def controller_lost(self) -> bool:
        return False
