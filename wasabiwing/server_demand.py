"""Estimates how many backend servers the recent prompts of a service need.

The computing time of the prompts is averaged over the last seconds. The
number of backend servers to order follows from it.
"""

from collections.abc import Mapping
from math import exp

from wasabiwing.timers import TimerService

# Time constant of the average, in seconds: longer than a burst of arrivals,
# and shorter than a server's boot time and than a wave of traffic.
AVERAGE_TIME_CONSTANT_S = 4.0

# Seconds for which the last reported demand of another node is used.
PEER_DEMAND_LIFETIME_S = 5.0


class ServerDemand:
    """Demand of one node and of all others, in backend servers."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        # Decayed sum of computing seconds, and the time of its last decay, by
        # service.
        self._work_by_service: dict[str, tuple[float, float]] = {}
        # Decayed number of these requests, in the same way.
        self._requests_by_service: dict[str, tuple[float, float]] = {}
        self._demand_by_peer: dict[str, tuple[float, Mapping[str, float]]] = {}

    def note_work(self, service: str, computing_s: float) -> None:
        """Adds the computing time of one request to its service's demand."""
        now = self._timer.now()
        work = self._decayed_work_s(service) + computing_s
        self._work_by_service[service] = (work, now)
        count, noted_at = self._requests_by_service.get(service, (0.0, now))
        count *= exp((noted_at - now) / AVERAGE_TIME_CONSTANT_S)
        self._requests_by_service[service] = (count + 1.0, now)

    def own_by_service(self) -> dict[str, float]:
        """Returns this node's demand in servers, by service."""
        return {
            service: round(
                self._decayed_work_s(service) / AVERAGE_TIME_CONSTANT_S, 4
            )
            for service in self._work_by_service
        }

    def mean_work_s(self, service: str) -> float:
        """Returns the mean computing time of this node's recent requests.

        The result is 0 without recent requests.
        """
        work, _ = self._work_by_service.get(service, (0.0, 0.0))
        count, _ = self._requests_by_service.get(service, (0.0, 0.0))
        return work / count if count else 0.0

    def note_peer_demand(
        self, peer_id: str, demand: Mapping[str, float]
    ) -> None:
        """Replaces the demand of another node, given by service."""
        self._demand_by_peer[peer_id] = (self._timer.now(), demand)

    def total_servers(self, service: str) -> float:
        """Returns all nodes' demand for a service, in servers."""
        oldest_used = self._timer.now() - PEER_DEMAND_LIFETIME_S
        return self.own_by_service().get(service, 0.0) + sum(
            demand.get(service, 0.0)
            for reported_at, demand in self._demand_by_peer.values()
            if reported_at >= oldest_used
        )

    def _decayed_work_s(self, service: str) -> float:
        work, noted_at = self._work_by_service.get(service, (0.0, 0.0))
        age_s = self._timer.now() - noted_at
        return work * exp(-age_s / AVERAGE_TIME_CONSTANT_S)
