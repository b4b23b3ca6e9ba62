"""Bounded set of backend servers that one gateway considers for a pool.

Chosen by rendezvous hashing, so that gateways spread over the servers and a
change of one server moves little. The set is split between the gateway's
own availability zone and the others.
"""

from collections import defaultdict

from xxhash import xxh64_intdigest

from wasabiwing.cluster_view import ClusterView
from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Pool

# Servers of a pool that a gateway considers.
WORKING_SET_SIZE = 64

# Part of the set that comes from the gateway's own zone.
OWN_ZONE_SIZE = 32


class WorkingSets:
    """Working sets by pool, computed once for each configuration."""

    def __init__(self, node_id: str, zone: str, view: ClusterView) -> None:
        self._node_id = node_id
        self._zone = zone
        self._view = view
        self._index: ConfigurationIndex | None = None
        self._servers_by_pool: dict[str, tuple[BackendServer, ...]] = {}

    def servers(self, pool: Pool) -> tuple[BackendServer, ...]:
        """Returns the working set of a pool."""
        if self._view.index is not self._index:
            self._index = self._view.index
            self._servers_by_pool.clear()
        found = self._servers_by_pool.get(pool.id)
        if found is None:
            found = self._choose(pool)
            self._servers_by_pool[pool.id] = found
        return found

    def _choose(self, pool: Pool) -> tuple[BackendServer, ...]:
        if len(pool.servers) <= WORKING_SET_SIZE:
            return pool.servers
        ranked = sorted(
            (
                server
                for server in pool.servers
                if self._view.zone_takes_work(server.availability_zone)
                and server.id not in self._view.leaving_server_ids
            ),
            key=self._weight,
        )
        own = [
            server
            for server in ranked
            if server.availability_zone == self._zone
        ][:OWN_ZONE_SIZE]
        others = _interleave_zones(
            [
                server
                for server in ranked
                if server.availability_zone != self._zone
            ]
        )
        return tuple((own + others)[:WORKING_SET_SIZE])

    def _weight(self, server: BackendServer) -> int:
        return xxh64_intdigest(f"{server.id}\0{self._node_id}".encode())


def _interleave_zones(ranked: list[BackendServer]) -> list[BackendServer]:
    """Takes servers from each zone in turn."""
    places_by_zone: dict[str, int] = defaultdict(int)
    placed: list[tuple[int, BackendServer]] = []
    for server in ranked:
        place = places_by_zone[server.availability_zone]
        places_by_zone[server.availability_zone] += 1
        placed.append((place, server))
    placed.sort(key=lambda item: item[0])
    return [server for _, server in placed]
