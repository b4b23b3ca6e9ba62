"""Settings of ``wasabiwing-node``, independent of the platform.

The adapter of a platform fills them from the file that the platform writes;
all times are in seconds.
"""

from dataclasses import dataclass

from wasabiwing.client_limits import ClientLimits
from wasabiwing.server_directory import HEARTBEAT_S


@dataclass(frozen=True, slots=True)
class NodeBounds:
    """Bounds that a deployment sets for all of its nodes."""

    # Time after a backend server starts to leave in which it may still get new
    # requests.
    drain_s: float
    # Time from a stop request until the node's process is killed.
    stop_grace_s: float
    # Time until an accepted configuration is in force on all nodes.
    configuration_apply_s: float
    # Retry budget of a service in a window: a share of its requests, plus a
    # fixed number of retries.
    retry_ratio: float
    retry_window_s: float
    retry_reserve: float
    # Lifetime of the lease of a duty holder.
    lease_s: float
    # Length of a usage window, and how long after its end a report is due.
    usage_window_s: float
    usage_due_s: float
    # Sliding window over which usage is compared with a cap, and by how much
    # all nodes together may exceed the cap: a share of it, plus an amount in
    # its unit.
    cap_window_s: float
    cap_excess: float
    cap_slack: float
    # Whether the calls of a duty holder must carry a fencing number, which
    # rises with each holder.
    duties_need_fencing: bool


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node."""

    node_id: str
    availability_zone: str
    region: str
    # Availability zones of the deployment.
    availability_zones: tuple[str, ...]
    # Address to which callers connect.
    caller_endpoint: Endpoint
    # Address at which the load balancer checks the node's readiness.
    readiness_endpoint: Endpoint
    # Address to which other nodes send messages.
    inbox: Endpoint
    # Addresses of the key-value service and of the cloud API; no cloud API
    # without duties.
    store: Endpoint
    cloud: Endpoint | None
    # Whether this node may perform a duty that one node performs at a time:
    # usage reports, and the start of backend servers.
    reports_usage: bool
    runs_autoscaler: bool
    # Whether the whole system starts for the first time, without any state.
    first_start: bool
    bounds: NodeBounds
    # Address to which other nodes send requests that they cannot send to a
    # backend server themselves: the port after that of the inbox, on all
    # nodes. ``None`` if the deployment leaves no port for it.
    relay_endpoint: Endpoint | None = None
    # Shortest lease lifetime that the store grants.
    min_lease_s: float = 1.0
    # Processor time of the VM, in tenths of a core.
    capacity: int = 0
    # Interval at which backend servers renew their entries, in seconds.
    server_heartbeat_s: float = HEARTBEAT_S
    # Memory of the VM, and descriptors that the process may open; 0 for what
    # the operating system says.
    memory_mb: float = 0.0
    max_descriptors: int = 0
    # What one caller may send; the operator's limits on headers go before.
    clients: ClientLimits = ClientLimits()
