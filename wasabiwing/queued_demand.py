"""Demand of one node for backend servers beyond the prompts that it sends.

Load pattern: too few servers, so that prompts wait at nodes and at servers,
are refused, and streams run for longer. The rate of the prompts that are sent
then falls, while the need rises.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Mapping

from wasabiwing.fleet_follower import FleetView
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.server_loads import ServerLoads

# Time in which queued prompts should be computed, in seconds: the boot time of
# the servers that are ordered for them, usually.
DRAIN_S = 4.0


def no_tokens(service: str) -> float:
    """Returns no tokens for any service."""
    return 0.0


def queued_demand(
    view: FleetView,
    loads: ServerLoads,
    rates: PrefillRates,
    waiting_tokens: Callable[[str], float] = no_tokens,
    refused_tokens_per_s: Callable[[str], float] = no_tokens,
) -> Callable[[], Mapping[str, float]]:
    """Returns a source of this node's further demand in servers, by service.

    ``waiting_tokens`` are those of prompts that wait for a server, and
    ``refused_tokens_per_s`` those of prompts refused for lack of capacity.
    Running streams count by the share of a server's slots that they occupy.
    """

    def demand_by_service() -> dict[str, float]:
        configuration = view.configuration
        if configuration is None:
            return {}
        pending_by_service: dict[str, int] = defaultdict(int)
        running_by_service: dict[str, int] = defaultdict(int)
        for server_id, load in loads.own_load_by_server().items():
            entry = view.directory.get(server_id)
            if entry is not None:
                pending_by_service[entry.service] += sum(
                    load.pending_by_urgency
                )
                running_by_service[entry.service] += load.running
        demand = {}
        for name, profile in configuration.service_by_name.items():
            if profile.scale is None or profile.engine is None:
                continue
            queued_tokens = pending_by_service[name] + waiting_tokens(name)
            tokens_per_s = queued_tokens / DRAIN_S + refused_tokens_per_s(name)
            demand[name] = (
                tokens_per_s * rates.prefill_s_per_token(name)
                + running_by_service[name] / profile.engine.slots
            )
        return demand

    return demand_by_service
