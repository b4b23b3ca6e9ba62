"""Scores of routing candidates, selected by the name of a routing policy.

The default score is the estimated time to first token, plus the price and the
distance of the server in seconds. The other scores are baselines with which
the benchmarks compare it.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from enum import unique
from random import Random

from wasabiwing.calls import Call
from wasabiwing.cluster_view import ClusterView
from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Pool
from wasabiwing.prefix_index import BLOCK_TOKENS
from wasabiwing.prefix_index import PrefixIndex
from wasabiwing.server_records import ServerRecords

# The score of a server for a call. The lowest is best; the default score is in
# seconds.
Score = Callable[[Call, BackendServer], float]


@unique
class RoutingPolicy(StrEnum):
    """Names of the scores in the gateway's settings."""

    EXPECTED_TIME = "expected_time"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    PREFIX_AFFINITY = "prefix_affinity"


# Assumed time to first token of a server without observations, in seconds.
DEFAULT_FIRST_TOKEN_S = 0.02

# Share by which the time to first token is longer at a fully used server.
LOAD_SLOPE = 2.0

# Seconds that are added to a server's score if it costs twice the pool's
# cheapest price, and in proportion for other prices.
PRICE_S = 0.02

# Assumed one-way latency to a zone for which the configuration has none, in
# milliseconds.
FAR_ZONE_MS = 30.0


@dataclass(frozen=True, slots=True)
class ScoreInputs:
    """The state of a gateway from which scores are computed."""

    # Availability zone of the gateway.
    zone: str
    view: ClusterView
    records: ServerRecords
    prefixes: PrefixIndex
    random: Random


ScoreFactory = Callable[[ScoreInputs], Score]


def random_score(inputs: ScoreInputs) -> Score:
    """Returns a score that is random."""
    return lambda call, server: inputs.random.random()


def round_robin_score(inputs: ScoreInputs) -> Score:
    """Returns a score that prefers the server used the longest time ago."""
    return lambda call, server: inputs.records.record(server.id).last_sent


def least_outstanding_score(inputs: ScoreInputs) -> Score:
    """Returns a score that prefers the fewest requests of this gateway."""
    return lambda call, server: inputs.records.record(server.id).outstanding


def prefix_affinity_score(inputs: ScoreInputs) -> Score:
    """Returns a score that prefers the longest cached prefix.

    Among equal prefixes it prefers the server with the fewest requests of this
    gateway.
    """

    def score(call: Call, server: BackendServer) -> float:
        cached = inputs.prefixes.cached_blocks(server.id, call.prefix_digests)
        return inputs.records.record(server.id).outstanding - cached * 1000

    return score


def expected_time_score(inputs: ScoreInputs) -> Score:
    """Returns the score of expected time to first token, price and distance.

    All three are in seconds.
    """
    terms = _CostTerms(inputs.zone, inputs.view)

    def score(call: Call, server: BackendServer) -> float:
        record = inputs.records.record(server.id)
        load = inputs.records.estimated_load(server.id) / server.max_slots
        base_s = record.base_first_token_s or DEFAULT_FIRST_TOKEN_S
        cached = inputs.prefixes.cached_blocks(server.id, call.prefix_digests)
        uncached = max(call.prompt_tokens - cached * BLOCK_TOKENS, 1)
        return (
            base_s * (1.0 + LOAD_SLOPE * load)
            + uncached * inputs.records.rates.prefill_s_per_token(call.pool.id)
            + inputs.records.prefill_wait_s(server.id)
            + terms.seconds(call.pool, server)
            + inputs.records.failure_penalty_s(server)
        )

    return score


SCORE_BY_POLICY: Mapping[RoutingPolicy, ScoreFactory] = {
    RoutingPolicy.EXPECTED_TIME: expected_time_score,
    RoutingPolicy.RANDOM: random_score,
    RoutingPolicy.ROUND_ROBIN: round_robin_score,
    RoutingPolicy.LEAST_OUTSTANDING: least_outstanding_score,
    RoutingPolicy.PREFIX_AFFINITY: prefix_affinity_score,
}


class _CostTerms:
    """Price and distance of servers in seconds, cached for a configuration."""

    def __init__(self, zone: str, view: ClusterView) -> None:
        self._zone = zone
        self._view = view
        self._index: ConfigurationIndex | None = None
        # By pool id, machine class and zone.
        self._seconds_by_key: dict[tuple[str, str, str], float] = {}
        self._cheapest_by_pool: dict[str, float] = {}

    def seconds(self, pool: Pool, server: BackendServer) -> float:
        """Returns the sum of a server's price and distance, in seconds."""
        if self._view.index is not self._index:
            self._index = self._view.index
            self._seconds_by_key.clear()
            self._cheapest_by_pool.clear()
        key = (pool.id, server.machine_class, server.availability_zone)
        cached_value = self._seconds_by_key.get(key)
        if cached_value is None:
            cached_value = self._price_s(pool, server) + self._distance_s(
                server.availability_zone
            )
            self._seconds_by_key[key] = cached_value
        return cached_value

    def _price_s(self, pool: Pool, server: BackendServer) -> float:
        own = self._price(pool, server.machine_class, server.availability_zone)
        cheapest = self._cheapest(pool)
        if not own or not cheapest:
            return 0.0
        return PRICE_S * (own / cheapest - 1.0)

    def _cheapest(self, pool: Pool) -> float:
        cached_value = self._cheapest_by_pool.get(pool.id)
        if cached_value is None:
            vm_kinds = {
                (server.machine_class, server.availability_zone)
                for server in pool.servers
            }
            prices = [self._price(pool, *vm_kind) for vm_kind in vm_kinds]
            cached_value = min(
                (price for price in prices if price), default=0.0
            )
            self._cheapest_by_pool[pool.id] = cached_value
        return cached_value

    def _price(self, pool: Pool, machine_class: str, zone: str) -> float:
        """Returns the price per hour of a pool's VMs; 0 if it is not known."""
        index = self._index
        return server_price(index, pool, machine_class, zone) if index else 0.0

    def _distance_s(self, zone: str) -> float:
        if zone == self._zone or self._index is None:
            return 0.0
        own = self._index.zone_by_id.get(self._zone)
        latency_ms = own.latency_ms_by_zone if own else {}
        return 2.0 * latency_ms.get(zone, FAR_ZONE_MS) / 1000.0


def server_price(
    index: ConfigurationIndex, pool: Pool, machine_class: str, zone: str
) -> float:
    """Returns the price per hour of a pool's VMs; 0 if it is not known.

    It is the on-demand price only if one of the pool's placements in the zone
    declares VMs of the machine class that are not reclaimable.
    """
    reclaimable = all(
        placement.reclaimable
        for placement in pool.placements
        if placement.availability_zone == zone
        and placement.machine_class == machine_class
    )
    for item in index.configuration.machine_classes:
        if item.id == machine_class:
            prices = (
                item.reclaimable_price_by_zone
                if reclaimable
                else item.on_demand_price_by_zone
            )
            return prices.get(zone, 0.0)
    return 0.0
