"""Remembers how many backend servers the operator deployed.

Load pattern: a deployment stands for seconds or minutes without a request,
and then the full rate arrives at once, while nodes restart and hand the duties
over. What the operator deployed is the best estimate of the need until the
demand has been measured. Any node may become the holder, so each node counts;
a node that starts later counts what earlier holders have kept.
"""

from dataclasses import dataclass

from wasabiwing.demand_forecast import SLOW_TIME_CONSTANT_S
from wasabiwing.timers import TimerService

# Time after the first demand for which the deployed servers are kept, in
# seconds. The average of the demand has followed a sudden full rate to 92%
# then.
RISE_S = 2.5 * SLOW_TIME_CONSTANT_S

# Time without any request after which the deployed servers are no longer kept,
# in seconds. Later an idle deployment is reduced to the presumed need.
MAX_IDLE_S = 900.0

# Time for which the number of known servers has to be unchanged before a node
# acts on it without demand, in seconds: servers register one after the other.
SETTLE_S = 1.0

# Time after which a node acts in any case, in seconds: in a large deployment
# some server restarts at any time.
MAX_SETTLE_S = 5.0


@dataclass(slots=True)
class _Deployment:
    """The servers of one service, as this node has counted them."""

    first_seen_at: float
    present: int
    # Time of the last change of ``present`` before any demand.
    changed_at: float
    # Most servers of one kind, and most on-demand servers, that were seen
    # before any demand.
    count: int = 0
    on_demand: int = 0
    # Time of the first demand; ``None`` before it.
    demand_since: float | None = None


class DeployedServers:
    """Numbers of servers by service before the first demand."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._deployment_by_service: dict[str, _Deployment] = {}

    def note(
        self, service: str, on_demand: int, reclaimable: int, demand: float
    ) -> None:
        """Counts the registered servers; called periodically.

        While on-demand servers are replaced by reclaimable ones, both are
        there. The larger kind is the deployment, so that the replacement is
        not counted twice.
        """
        now = self._timer.now()
        present = on_demand + reclaimable
        known = self._deployment_by_service.get(service)
        if known is None:
            known = _Deployment(now, present, now)
            self._deployment_by_service[service] = known
        if known.demand_since is not None:
            return
        if demand > 0:
            known.demand_since = now
            return
        if present != known.present:
            known.present = present
            known.changed_at = now
        known.count = max(known.count, on_demand, reclaimable)
        known.on_demand = max(known.on_demand, on_demand)

    def on_demand_count(self, service: str) -> int:
        """Returns the largest number of on-demand servers before demand.

        Unlike the reclaimable ones that a node finds when it starts, these
        are no servers that an earlier load has called for.
        """
        known = self._deployment_by_service.get(service)
        return 0 if known is None else known.on_demand

    def kept_count(self, service: str) -> int:
        """Returns how many servers are kept whatever the demand."""
        known = self._deployment_by_service.get(service)
        if known is None:
            return 0
        since, duration_s = known.demand_since, RISE_S
        if since is None:
            since, duration_s = known.first_seen_at, MAX_IDLE_S
        return known.count if self._timer.now() - since < duration_s else 0

    def is_settled(self, service: str) -> bool:
        """Whether orders may rely on the number of known servers.

        An order replaces the platform's number for a zone: one that is
        computed while servers still register would release some of them.
        """
        known = self._deployment_by_service.get(service)
        if known is None:
            return False
        if known.demand_since is not None:
            return True
        now = self._timer.now()
        return (
            now - known.changed_at >= SETTLE_S
            or now - known.first_seen_at >= MAX_SETTLE_S
        )
