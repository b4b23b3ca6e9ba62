"""Configuration of the services that the node program routes to.

The node program routes by host and path to services whose backend servers
register themselves. An adapter decodes the operator's document into these
records; all other parts of the program read them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class RouteKind(StrEnum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    # A stream of server-sent events; non-idempotent unless it is resumable.
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service with its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """How requests for a host and path prefix are served."""

    name: str
    host: str
    # Begins and ends with a slash.
    path_prefix: str
    kind: RouteKind
    targets: tuple[WeightedService, ...]
    # Longest time until the final answer, in seconds; ``None`` for no limit.
    timeout_s: float | None
    # Target time for an answer or a stream's first event, in seconds.
    latency_target_s: float
    # Lower numbers are served first.
    priority: int
    # Maximum number of backend servers that one request is sent to.
    max_attempts: int
    # Whether requests need no API key.
    public: bool = False
    # Whether another server may continue a stream after any event.
    resumable: bool = False
    # Longest time without an event of a stream, also before the first one,
    # after which its callers leave, in seconds; ``None`` if they do not.
    patience_s: float | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Capacity of each model engine of a service."""

    # Requests that one engine runs at once.
    slots: int
    # Key-value cache capacity of one engine, in tokens.
    kv_capacity_tokens: int


@dataclass(frozen=True, slots=True)
class ScaleLimits:
    """How many backend servers of a service may be ordered in a zone."""

    min_servers: int
    max_servers: int
    boot_s: float
    # Price of a reclaimable server as a share of the full price; 0 if there
    # are no reclaimable servers.
    reclaimable_price: float
    price_by_zone: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """A service and its backend servers."""

    name: str
    # Connections that one backend server accepts from all nodes together.
    max_connections: int
    # Requests per second that a cold backend server tolerates; 0 for any.
    cold_requests_per_s: float = 0.0
    # ``None`` for plain services.
    engine: EngineProfile | None = None
    # ``None`` for services whose size is fixed.
    scale: ScaleLimits | None = None
    # Path at which a server answers at once; empty if unknown.
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on callers' request sizes, transfer times and idle times."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0
    # Longest time from a request's first byte to the end of its headers.
    header_timeout_s: float = 10.0


@dataclass(frozen=True, slots=True)
class OrganisationProfile:
    """An organisation with its API keys and usage cap."""

    name: str
    api_keys: frozenset[str]
    # Takes precedence over the route's priority.
    priority: int | None = None
    # Whether the cap counts tokens instead of requests.
    counts_tokens: bool = False
    # Tokens that are charged for a request without token counts.
    default_tokens: int = 1
    # Sustained rate per second and burst; 0 for no cap.
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceConfiguration:
    """The operator's whole document, with indexes for request look-ups."""

    version: int
    routes: tuple[ServiceRoute, ...]
    service_by_name: Mapping[str, ServiceProfile]
    limits: RequestLimits
    organisations: tuple[OrganisationProfile, ...] = ()
    # Routes by host, the longest path prefix first.
    routes_by_host: Mapping[str, tuple[ServiceRoute, ...]] = field(init=False)
    organisation_by_api_key: Mapping[str, OrganisationProfile] = field(
        init=False
    )

    def __post_init__(self) -> None:
        routes_by_host: dict[str, list[ServiceRoute]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(
                sorted(routes, key=lambda route: -len(route.path_prefix))
            )
            for host, routes in routes_by_host.items()
        }
        by_key = {
            key: organisation
            for organisation in self.organisations
            for key in organisation.api_keys
        }
        object.__setattr__(self, "routes_by_host", ordered)
        object.__setattr__(self, "organisation_by_api_key", by_key)

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
