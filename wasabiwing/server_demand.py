"""Estimates how many backend servers the recent prompts of a service need.

The computing time of the prompts is averaged over the last second. Further
sources add what waits, runs or was refused. The number of backend servers to
order follows from it.
"""

from collections.abc import Callable
from collections.abc import Mapping
from math import exp
from math import inf

from wasabiwing.timers import TimerService

# Time constant of the demand, in seconds: much shorter than a server's boot
# time, so that a rise is known at once. The autoscaler averages the sum of all
# nodes, in which single requests count less.
DEMAND_TIME_CONSTANT_S = 1.0

# Shortest time over which the first requests after a pause are averaged, in
# seconds.
MIN_AVERAGED_S = 0.7

# Time without requests that counts as a pause, in seconds: much longer than
# the time between two requests of a node that gets few, whose demand would be
# overstated.
PAUSE_S = 60.0

# Time constant of the mean computing time of a request, in seconds.
MEAN_TIME_CONSTANT_S = 4.0

# Demand, in servers, below which a service counts as idle.
IDLE_DEMAND = 0.0001

# Seconds for which the last reported demand of another node is used.
PEER_DEMAND_LIFETIME_S = 5.0


class _DecayedSum:
    """Sum in which earlier amounts count less."""

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._sum = 0.0
        self._noted_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at a monotonic time."""
        self._sum = self.value(now) + amount
        self._noted_at = now

    def value(self, now: float) -> float:
        """Returns the sum at a monotonic time."""
        age_s = now - self._noted_at
        return self._sum * exp(-age_s / self._time_constant_s)


class _Work:
    """Computing time and number of one service's requests on one node."""

    def __init__(self) -> None:
        self._recent_s = _DecayedSum(DEMAND_TIME_CONSTANT_S)
        self._computing_s = _DecayedSum(MEAN_TIME_CONSTANT_S)
        self._squares_s2 = _DecayedSum(MEAN_TIME_CONSTANT_S)
        self._requests = _DecayedSum(MEAN_TIME_CONSTANT_S)
        # Times of the first request after a pause, and of the last one.
        self._began_at = 0.0
        self._last_at = -inf

    def add(self, computing_s: float, now: float) -> None:
        """Adds a request."""
        if now - self._last_at > PAUSE_S:
            self._began_at = now
        self._last_at = now
        self._recent_s.add(computing_s, now)
        self._computing_s.add(computing_s, now)
        self._squares_s2.add(computing_s * computing_s, now)
        self._requests.add(1.0, now)

    def demand(self, now: float) -> float:
        """Returns the computing time per second.

        The decayed sum covers only the time since the first request.
        """
        averaged_s = max(now - self._began_at, MIN_AVERAGED_S)
        covered = 1.0 - exp(-averaged_s / DEMAND_TIME_CONSTANT_S)
        return self._recent_s.value(now) / DEMAND_TIME_CONSTANT_S / covered

    def mean_demand(self, now: float) -> float:
        """Returns the computing time per second, over some seconds."""
        return self._computing_s.value(now) / MEAN_TIME_CONSTANT_S

    def mean_s(self, now: float) -> float:
        """Returns the mean computing time of a request; 0 without any."""
        count = self._requests.value(now)
        return self._computing_s.value(now) / count if count else 0.0

    def mean_square_s2(self, now: float) -> float:
        """Returns the mean square of these times; 0 without any."""
        count = self._requests.value(now)
        return self._squares_s2.value(now) / count if count else 0.0


class ServerDemand:
    """Demand of one node and of all others, in backend servers."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._work_by_service: dict[str, _Work] = {}
        self._demand_by_peer: dict[str, tuple[float, Mapping[str, float]]] = {}
        self._sources: list[Callable[[], Mapping[str, float]]] = []
        self._is_followed: Callable[[str], bool] = lambda service: True

    def add_source(self, source: Callable[[], Mapping[str, float]]) -> None:
        """Registers a source of further demand, in servers by service."""
        self._sources.append(source)

    def follow_closely(self, is_followed: Callable[[str], bool]) -> None:
        """Sets for which services the demand of the last second counts.

        For all others it is the average of some seconds, without sources.
        """
        self._is_followed = is_followed

    def is_followed(self, service: str) -> bool:
        """Whether the demand of the last second counts."""
        return self._is_followed(service)

    def note_work(self, service: str, computing_s: float) -> None:
        """Adds the computing time of one request to its service's demand."""
        work = self._work_by_service.setdefault(service, _Work())
        work.add(computing_s, self._timer.now())

    def own_by_service(self) -> dict[str, float]:
        """Returns this node's demand in servers, by service."""
        now = self._timer.now()
        demand = {
            service: work.demand(now)
            if self._is_followed(service)
            else work.mean_demand(now)
            for service, work in self._work_by_service.items()
        }
        for source in self._sources:
            for service, servers in source().items():
                if self._is_followed(service):
                    demand[service] = demand.get(service, 0.0) + servers
        return {
            service: round(servers, 4) for service, servers in demand.items()
        }

    def mean_work_s(self, service: str) -> float:
        """Returns the mean computing time of this node's recent requests.

        The result is 0 without recent requests.
        """
        work = self._work_by_service.get(service)
        return 0.0 if work is None else work.mean_s(self._timer.now())

    def mean_square_work_s2(self, service: str) -> float:
        """Returns the mean square of these computing times."""
        work = self._work_by_service.get(service)
        return 0.0 if work is None else work.mean_square_s2(self._timer.now())

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
