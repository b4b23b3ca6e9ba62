"""The gateway's view of the cluster, which routing decisions read.

The controller's messages update the view. All look-ups are by key, and none
of them waits.
"""

from dataclasses import dataclass
from hashlib import sha256

from wasabiwing.configuration import AvailabilityZone
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Organisation
from wasabiwing.configuration import Pool
from wasabiwing.configuration import Route
from wasabiwing.configuration import ZoneState
from wasabiwing.messages import ServerState


@dataclass(frozen=True, slots=True)
class ConfigurationIndex:
    """A configuration with its look-up tables."""

    generation: int
    configuration: Configuration
    zone_by_id: dict[str, AvailabilityZone]
    pool_by_id: dict[str, Pool]
    server_by_id: dict[str, BackendServer]
    pool_id_by_server: dict[str, str]
    organisation_by_token: dict[str, Organisation]
    # Routes by path and model; the model is empty for plain services.
    route_by_path_and_model: dict[tuple[str, str], Route]


def index_configuration(
    generation: int, configuration: Configuration
) -> ConfigurationIndex:
    """Builds the look-up tables of a configuration."""
    return ConfigurationIndex(
        generation,
        configuration,
        {zone.id: zone for zone in configuration.availability_zones},
        {pool.id: pool for pool in configuration.pools},
        {
            server.id: server
            for pool in configuration.pools
            for server in pool.servers
        },
        {
            server.id: pool.id
            for pool in configuration.pools
            for server in pool.servers
        },
        {item.token_sha256: item for item in configuration.organisations},
        {(route.path, route.model): route for route in configuration.routes},
    )


class ClusterView:
    """One gateway's knowledge of configuration, servers and zones."""

    def __init__(self) -> None:
        self.index: ConfigurationIndex | None = None
        # Ids of servers under notice or announced as leaving.
        self.leaving_server_ids: set[str] = set()
        # Latest limit, load and state of servers from their home controllers.
        self.state_by_server: dict[str, ServerState] = {}
        # Ids of availability zones under notice.
        self.leaving_zone_ids: set[str] = set()
        # Monotonic end of the notice period by server id or zone id.
        self._notice_end_by_id: dict[str, float] = {}
        # Whether this node reaches the store or any peer, and whether it is
        # leaving. Both decide whether the gateway accepts new requests.
        self.connected = True
        self.leaving = False

    @property
    def generation(self) -> int:
        """The configuration generation in force; 0 for none."""
        return self.index.generation if self.index else 0

    def address_by_server(self) -> dict[str, str]:
        """Returns the addresses of all servers by id."""
        if self.index is None:
            return {}
        return {
            server_id: server.address
            for server_id, server in self.index.server_by_id.items()
        }

    def put_in_force(
        self, generation: int, configuration: Configuration
    ) -> bool:
        """Puts a configuration in force if it is newer; returns whether."""
        if generation <= self.generation:
            return False
        self.index = index_configuration(generation, configuration)
        return True

    def replace_servers(self, configuration: Configuration) -> None:
        """Replaces the servers of the generation in force."""
        self.index = index_configuration(self.generation, configuration)

    def note_state(self, state: ServerState) -> bool:
        """Records a server's state; returns whether it has become cold."""
        before = self.state_by_server.get(state.server_id)
        self.state_by_server[state.server_id] = state
        if state.leaving:
            self.leaving_server_ids.add(state.server_id)
        return state.cold and before is not None and not before.cold

    def mark_leaving(
        self,
        server_ids: tuple[str, ...],
        zone_ids: tuple[str, ...],
        notice_end: float,
    ) -> bool:
        """Marks servers and zones under notice until a monotonic time.

        Returns whether any of them was not marked before.
        """
        has_new_marks = not (
            self.leaving_server_ids.issuperset(server_ids)
            and self.leaving_zone_ids.issuperset(zone_ids)
        )
        self.leaving_server_ids.update(server_ids)
        self.leaving_zone_ids.update(zone_ids)
        for name in (*server_ids, *zone_ids):
            self._notice_end_by_id.setdefault(name, notice_end)
        return has_new_marks

    def clear_leaving(self, names: tuple[str, ...]) -> None:
        """Removes the marks of servers or zones that are back."""
        self.leaving_server_ids.difference_update(names)
        self.leaving_zone_ids.difference_update(names)
        for name in names:
            self._notice_end_by_id.pop(name, None)

    def is_leaving(self, server: BackendServer) -> bool:
        """Returns whether a server or its availability zone is leaving."""
        return (
            server.id in self.leaving_server_ids
            or server.availability_zone in self.leaving_zone_ids
        )

    def notice_remaining_s(self, server: BackendServer, now: float) -> float:
        """Returns a leaving server's remaining notice period in seconds."""
        ends = [
            self._notice_end_by_id[name]
            for name in (server.id, server.availability_zone)
            if name in self._notice_end_by_id
        ]
        return max(min(ends) - now, 0.0) if ends else 0.0

    def organisation(self, token: str) -> Organisation | None:
        """Returns the organisation of a bearer token."""
        if self.index is None:
            return None
        digest = sha256(token.encode()).hexdigest()
        return self.index.organisation_by_token.get(digest)

    def region(self, zone_id: str) -> str:
        """Returns an availability zone's region; empty if unknown."""
        zone = self.index.zone_by_id.get(zone_id) if self.index else None
        return zone.region if zone else ""

    def zone_takes_work(self, zone_id: str) -> bool:
        """Returns whether an availability zone may get new requests."""
        if self.index is None:
            return False
        zone = self.index.zone_by_id.get(zone_id)
        return zone is not None and zone.state is ZoneState.ACTIVE
