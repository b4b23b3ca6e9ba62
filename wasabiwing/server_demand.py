"""Computing time that prompts need, by service, over the last seconds.

The number of backend servers to order follows from it.
"""

from collections.abc import Mapping
from math import exp

from wasabiwing.timers import TimerService

# Time constant of the average, in seconds: longer than a burst of arrivals,
# shorter than a server's boot time and wave of traffic.
AVERAGE_S = 4.0

# Demand of a node that was not heard is used for this long, in seconds.
PEER_MEMORY_S = 5.0


class ServerDemand:
    """Demand of this node and of all others, in servers."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        # Computing seconds, decayed, and the time of the last decay.
        self._work_by_service: dict[str, tuple[float, float]] = {}
        self._demand_by_peer: dict[str, tuple[float, Mapping[str, float]]] = {}

    def note_work(self, service: str, computing_s: float) -> None:
        """Adds the computing time of one request."""
        work = self._decayed(service) + computing_s
        self._work_by_service[service] = (work, self._timer.now())

    def own_by_service(self) -> dict[str, float]:
        """Returns this node's demand by service, in servers."""
        return {
            service: round(self._decayed(service) / AVERAGE_S, 4)
            for service in self._work_by_service
        }

    def note_peer_demand(
        self, peer_id: str, demand: Mapping[str, float]
    ) -> None:
        """Takes over the demand of another node."""
        self._demand_by_peer[peer_id] = (self._timer.now(), demand)

    def total_servers(self, service: str) -> float:
        """Returns the demand of all nodes, in servers."""
        oldest = self._timer.now() - PEER_MEMORY_S
        return self.own_by_service().get(service, 0.0) + sum(
            demand.get(service, 0.0)
            for told_at, demand in self._demand_by_peer.values()
            if told_at >= oldest
        )

    def _decayed(self, service: str) -> float:
        work, noted_at = self._work_by_service.get(service, (0.0, 0.0))
        age_s = self._timer.now() - noted_at
        return work * exp(-age_s / AVERAGE_S)
