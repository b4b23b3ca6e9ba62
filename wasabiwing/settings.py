"""Settings of the programs: one JSON file each, validated as a whole.

``docs/settings.md`` documents each field. The path of every invalid field is
printed before the program exits with status 2.
"""

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
import sys
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from wasabiwing.client_limits import ClientLimits
from wasabiwing.codes import EXIT_USAGE
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing.validation import parse_document

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of ``wasabiwing-gateway``."""

    # Unique name of this process.
    node_id: str
    availability_zone: str
    # IP address and port to which callers connect.
    listen_host: str
    listen_port: int
    # Inbox for messages of controllers and other gateways, as
    # tcp://host:port.
    inbox_address: str
    # Inbox of the controller on the same VM.
    controller_address: str
    # Maximum number of concurrent connections to one backend server.
    max_connections_per_server: int = 64
    # Lifetime of a slot credit in seconds; must be the same in all programs.
    credit_lifetime_s: float = 4.0
    # Policy that ranks the backend servers for a request.
    routing_policy: RoutingPolicy = RoutingPolicy.EXPECTED_TIME
    # Time without data after which a model engine's stream counts as stalled.
    stream_silence_s: float = 10.0
    # Time in which a caller that disconnected may resume its request.
    caller_grace_s: float = 5.0
    # Time from a stop request until the port closes, in which the load
    # balancer notices the failed health check.
    stop_grace_s: float = 5.0
    # Seed of this process's random choices; 0 for a seed from the operating
    # system.
    seed: int = 0
    # Log file; empty for standard output.
    log_path: str = ""
    # Time from a stop request until the process is killed.
    kill_grace_s: float = 30.0
    # Memory of the VM in megabytes, and descriptors that the process may open;
    # 0 for what the operating system says.
    memory_mb: float = 0.0
    max_descriptors: int = 0
    # What one client may send, and how slowly.
    clients: ClientLimits = ClientLimits()

    def __post_init__(self) -> None:
        if self.kill_grace_s <= self.stop_grace_s:
            raise ValueError("kill_grace_s must exceed stop_grace_s")


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Settings of ``wasabiwing-controller``."""

    # Unique name of this process.
    node_id: str
    availability_zone: str
    region: str
    # Inbox for messages of other processes, as tcp://host:port.
    inbox_address: str
    # IP address and port at which metrics and status are served.
    listen_host: str
    listen_port: int
    # Base addresses of the key-value service, as http://host:port.
    store_urls: tuple[str, ...]
    # Inboxes of controllers through which this one joins the cluster.
    seed_addresses: tuple[str, ...] = ()
    # Base address of the cloud API; empty for none.
    cloud_url: str = ""
    # Base address of the weight store; empty for none.
    weight_store_url: str = ""
    # Maximum number of writes per second to the key-value service.
    store_writes_per_s: float = 20.0
    # Time without contact to the store and to any peer after which the
    # controller counts as isolated.
    isolation_s: float = 15.0
    # Lifetime of a slot credit in seconds; must be the same in all programs.
    credit_lifetime_s: float = 4.0
    # Maximum age of a backend server's load report, in seconds.
    load_lag_s: float = 1.0
    # The cloud's id of the VM that this process runs on; empty for none.
    vm_id: str = ""
    seed: int = 0
    log_path: str = ""


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of ``wasabictl``."""

    store_urls: tuple[str, ...]
    # HTTP addresses of controllers, as http://host:port.
    controller_urls: tuple[str, ...]
    # HTTP addresses of gateways that ``explain`` asks, as http://host:port.
    gateway_urls: tuple[str, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class ReplaySettings:
    """Settings of ``wasabiwing-replay`` for a remote system."""

    # HTTP addresses of gateways, as http://host:port.
    gateway_urls: tuple[str, ...]
    # Path of a file with the configuration in force, which defines the
    # routes and models.
    configuration: str
    # Bearer token of each organisation that the trace names.
    token_by_organisation: dict[str, str]
    # Base addresses of the key-value service, for operator events.
    store_urls: tuple[str, ...] = ()


def load_settings(path: Path, kind: type[T]) -> Result[T, list[str]]:
    """Reads and validates a settings file; the error lists its faults."""
    try:
        document = path.read_bytes()
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])
    return parse_document(document, kind)


def settings_or_exit(path: str, kind: type[T]) -> T:
    """Returns the settings, or prints their faults and exits with status 2."""
    loaded = load_settings(Path(path), kind)
    if isinstance(loaded, Ok):
        return loaded.ok_value
    print(f"600 SETTINGS_MALFORMED: {path}", file=sys.stderr)
    for line in loaded.err_value:
        print(f"  {line}", file=sys.stderr)
    raise SystemExit(EXIT_USAGE)
