"""Data classes of the operators' configuration file.

The file states which availability zones, organisations, backend servers,
versions, traffic shares and routes should exist. It is parsed here, checked
by ``configuration_check`` and stored by ``configuration_store``.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from enum import unique

from msgspec.json import encode
from msgspec.json import format as format_json
from result import Result

from wasabiwing.validation import parse_document


@unique
class ZoneState(StrEnum):
    """Whether an availability zone takes new work."""

    ACTIVE = "active"
    DRAINED = "drained"


@unique
class PoolKind(StrEnum):
    """What the backend servers of a pool are."""

    MODEL = "model"
    PLAIN = "plain"


@unique
class ServerRole(StrEnum):
    """Which phase of a model request a backend server runs."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """One availability zone of a region."""

    id: str
    region: str
    state: ZoneState = ZoneState.ACTIVE
    # One-way network latency to other availability zones, in milliseconds;
    # a zone that is not listed here counts as distant.
    latency_ms_by_zone: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer, with its share of capacity."""

    id: str
    # SHA-256 of the bearer token, in lower-case hexadecimal digits.
    token_sha256: str
    # Share of capacity relative to the other organisations' weights.
    weight: float = 1.0
    # Requests that may wait in one gateway's queue at a time.
    queue_limit: int = 200


@dataclass(frozen=True, slots=True)
class MachineClass:
    """A kind of VM, with its price by availability zone."""

    id: str
    # Price of a reclaimable VM per hour, by availability zone.
    reclaimable_price_by_zone: dict[str, float]
    # Price of an on-demand VM per hour, by availability zone.
    on_demand_price_by_zone: dict[str, float]
    # Accelerators in one VM.
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Version:
    """A model or service version that backend servers can run."""

    id: str
    # Name of the weights in the weight store; empty for plain services.
    weights: str = ""
    # Adapters that are loaded with the model.
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server with a known address."""

    id: str
    # ``host:port``; the host is an IP address.
    address: str
    availability_zone: str
    version: str
    machine_class: str = ""
    role: ServerRole = ServerRole.BOTH
    # Whether the server rejects orders with an old fencing number.
    checks_fencing: bool = False
    # Requests that the server can run at once when it is warm.
    max_slots: int = 16
    # Requests that the server can run at once in cold start.
    cold_slots: int = 2


@dataclass(frozen=True, slots=True)
class Placement:
    """VMs that should exist in one availability zone."""

    availability_zone: str
    machine_class: str
    version: str
    count: int
    # Whether reclaimable VMs may be used.
    reclaimable: bool = True


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """One step of a rollout's schedule."""

    # Seconds after the start of the rollout.
    after_s: float
    # Share of the pool's traffic for the new version, from 0 to 1.
    share: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """A scheduled move of a pool's traffic to a new version."""

    from_version: str
    to_version: str
    # Start as seconds since the epoch.
    start_s: float
    steps: tuple[RolloutStep, ...]
    # Time at full share before old servers may be removed, in seconds.
    settle_s: float = 600.0


@dataclass(frozen=True, slots=True)
class Pool:
    """Backend servers that answer the same routes."""

    id: str
    kind: PoolKind
    versions: tuple[Version, ...]
    servers: tuple[BackendServer, ...] = ()
    placements: tuple[Placement, ...] = ()
    rollout: Rollout | None = None
    # Retries allowed per first attempt, as a share.
    retry_budget: float = 0.1


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one path are served."""

    id: str
    # Path for plain services; model routes all use the OpenAI paths.
    path: str
    pool: str
    # Model name in the request body; empty for plain services.
    model: str = ""
    # Lower numbers are served first.
    priority_class: int = 1
    idempotent: bool = True
    # Time within which the answer must be complete, in milliseconds.
    deadline_ms: int = 60_000
    # Latency target for the first token, in milliseconds.
    first_token_target_ms: int = 420
    # Latency target between tokens, in milliseconds.
    between_tokens_target_ms: int = 67
    # Whether a request may run later as a deferred job.
    deferrable: bool = False
    # Organisations that may use the route; empty for all.
    organisations: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Configuration:
    """The contents of the operators' configuration file."""

    name: str
    availability_zones: tuple[AvailabilityZone, ...]
    organisations: tuple[Organisation, ...]
    pools: tuple[Pool, ...]
    routes: tuple[Route, ...]
    machine_classes: tuple[MachineClass, ...] = ()
    # Largest request body that a gateway accepts, in bytes.
    max_body_bytes: int = 1_000_000


def parse_configuration(
    document: bytes,
) -> Result[Configuration, list[str]]:
    """Parses the operators' file; errors are lines ``path: message``."""
    return parse_document(document, Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Returns a configuration's canonical JSON form without whitespace."""
    return encode(configuration, order="deterministic")


def render_configuration(configuration: Configuration) -> str:
    """Returns a configuration's indented JSON form for display."""
    return format_json(encode_configuration(configuration), indent=2).decode()
