"""Bounded sets of backend servers that one gateway considers for each pool.

The servers are chosen by rendezvous hashing, so that the gateways' sets are
spread over all servers and a change of one server changes few sets. A set has
servers of the gateway's own availability zone and of the others.
"""

from collections import defaultdict

from xxhash import xxh64_intdigest

from wasabiwing.cluster_view import ClusterView
from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Pool

# Maximum number of a pool's servers that a gateway considers.
WORKING_SET_SIZE = 64

# Maximum number of servers of the gateway's own zone in a set.
OWN_ZONE_SIZE = 32


class WorkingSets:
    """The working sets of one gateway, computed once for a configuration."""

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
        working_set = self._servers_by_pool.get(pool.id)
        if working_set is None:
            working_set = self._choose(pool)
            self._servers_by_pool[pool.id] = working_set
        return working_set

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
            key=self._hash,
        )
        own_zone = [
            server
            for server in ranked
            if server.availability_zone == self._zone
        ][:OWN_ZONE_SIZE]
        other_zones = _interleave_zones(
            [
                server
                for server in ranked
                if server.availability_zone != self._zone
            ]
        )
        return tuple((own_zone + other_zones)[:WORKING_SET_SIZE])

    def _hash(self, server: BackendServer) -> int:
        return xxh64_intdigest(f"{server.id}\0{self._node_id}".encode())


def _interleave_zones(ranked: list[BackendServer]) -> list[BackendServer]:
    """Orders ranked servers so that they come from each zone in turn."""
    count_by_zone: dict[str, int] = defaultdict(int)
    positioned: list[tuple[int, BackendServer]] = []
    for server in ranked:
        position = count_by_zone[server.availability_zone]
        count_by_zone[server.availability_zone] += 1
        positioned.append((position, server))
    positioned.sort(key=lambda item: item[0])
    return [server for _, server in positioned]
