"""Scores of routing candidates, chosen by name.

The default estimates the time to first token, weighs the price and adds the
distance. The others are baselines that the benchmarks compare it with.
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

# Lower is better; the default is in seconds.
Score = Callable[[Call, BackendServer], float]


@unique
class RoutingPolicy(StrEnum):
    """Names of the scores."""

    EXPECTED_TIME = "expected_time"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    PREFIX_AFFINITY = "prefix_affinity"


# Time to first token of a server without observations, in seconds.
DEFAULT_FIRST_TOKEN_S = 0.02

# Added share of the time to first token at a fully used server.
LOAD_SLOPE = 2.0

# Seconds that a server may be slower for each full price of the cheapest
# that it saves.
PRICE_S = 0.02

# One-way latency to a zone that the configuration does not name, in
# milliseconds.
FAR_ZONE_MS = 30.0


@dataclass(frozen=True, slots=True)
class ScoreInputs:
    """What the scores read."""

    # Availability zone of the gateway.
    zone: str
    view: ClusterView
    records: ServerRecords
    prefixes: PrefixIndex
    random: Random


ScoreMaker = Callable[[ScoreInputs], Score]


def random_score(inputs: ScoreInputs) -> Score:
    """Prefers any server."""
    return lambda call, server: inputs.random.random()


def round_robin_score(inputs: ScoreInputs) -> Score:
    """Prefers the server that was used the longest time ago."""
    return lambda call, server: inputs.records.record(server.id).last_sent


def least_outstanding_score(inputs: ScoreInputs) -> Score:
    """Prefers the server with the fewest requests of this gateway."""
    return lambda call, server: inputs.records.record(server.id).outstanding


def prefix_affinity_score(inputs: ScoreInputs) -> Score:
    """Prefers the longest cached prefix, then the fewest requests."""

    def score(call: Call, server: BackendServer) -> float:
        cached = inputs.prefixes.cached_blocks(server.id, call.prefix_digests)
        return inputs.records.record(server.id).outstanding - cached * 1000

    return score


def expected_time_score(inputs: ScoreInputs) -> Score:
    """Estimates the time to first token, price and distance in seconds."""
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


SCORE_BY_POLICY: Mapping[RoutingPolicy, ScoreMaker] = {
    RoutingPolicy.EXPECTED_TIME: expected_time_score,
    RoutingPolicy.RANDOM: random_score,
    RoutingPolicy.ROUND_ROBIN: round_robin_score,
    RoutingPolicy.LEAST_OUTSTANDING: least_outstanding_score,
    RoutingPolicy.PREFIX_AFFINITY: prefix_affinity_score,
}


class _CostTerms:
    """Price and distance in seconds, cached for one configuration."""

    def __init__(self, zone: str, view: ClusterView) -> None:
        self._zone = zone
        self._view = view
        self._index: ConfigurationIndex | None = None
        # By pool, machine class and zone.
        self._seconds: dict[tuple[str, str, str], float] = {}
        self._cheapest_by_pool: dict[str, float] = {}

    def seconds(self, pool: Pool, server: BackendServer) -> float:
        """Returns price and distance of a server in seconds."""
        if self._view.index is not self._index:
            self._index = self._view.index
            self._seconds.clear()
            self._cheapest_by_pool.clear()
        key = (pool.id, server.machine_class, server.availability_zone)
        found = self._seconds.get(key)
        if found is None:
            found = self._price_s(pool, server) + self._distance_s(
                server.availability_zone
            )
            self._seconds[key] = found
        return found

    def _price_s(self, pool: Pool, server: BackendServer) -> float:
        own = self._price(pool, server.machine_class, server.availability_zone)
        cheapest = self._cheapest(pool)
        if not own or not cheapest:
            return 0.0
        return PRICE_S * (own / cheapest - 1.0)

    def _cheapest(self, pool: Pool) -> float:
        found = self._cheapest_by_pool.get(pool.id)
        if found is None:
            kinds = {
                (server.machine_class, server.availability_zone)
                for server in pool.servers
            }
            prices = [self._price(pool, *kind) for kind in kinds]
            found = min((price for price in prices if price), default=0.0)
            self._cheapest_by_pool[pool.id] = found
        return found

    def _price(self, pool: Pool, machine_class: str, zone: str) -> float:
        """Returns the price per hour; 0 when it is not known."""
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
    """Returns the price per hour of a pool's VMs; 0 when it is not known.

    It is the on-demand price only if a placement there rules out
    reclaimable VMs.
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
