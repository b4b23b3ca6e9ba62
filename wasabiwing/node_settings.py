"""Settings of ``wasabiwing-node``, in the product's own terms.

The adapter of a platform fills them from the file that the platform writes;
all times are in seconds.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeBounds:
    """Bounds that the deployment sets for all nodes together."""

    # Time after a server's leaving in which it may still get new work.
    drain_s: float
    # Time from the request to stop until the process is killed.
    stop_grace_s: float
    # Time until an accepted configuration is in force everywhere.
    configuration_apply_s: float
    # Retries per request of a service and window, plus a fixed number.
    retry_ratio: float
    retry_window_s: float
    retry_reserve: float
    # Lifetime of a duty's lease.
    lease_s: float
    # Length of a usage window, and how long after its end a report is due.
    usage_window_s: float
    usage_due_s: float
    # Sliding window over which usage caps are judged, and by how much all
    # nodes together may exceed one: a share, and an amount in the cap's unit.
    cap_window_s: float
    cap_excess: float
    cap_slack: float
    # Whether a duty's calls must carry a rising fencing number.
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
    # Zones of the deployment.
    availability_zones: tuple[str, ...]
    # Where callers connect.
    caller_endpoint: Endpoint
    # Where the load balancer asks whether the node takes new connections.
    readiness_endpoint: Endpoint
    # Where other nodes send messages.
    inbox: Endpoint
    # Key-value service and cloud API.
    store: Endpoint
    cloud: Endpoint | None
    # Duties that one node at a time performs.
    reports_usage: bool
    runs_autoscaler: bool
    # Whether the whole system starts for the first time.
    first_start: bool
    bounds: NodeBounds
    # Shortest lifetime of a lease that the store grants.
    min_lease_s: float = 1.0
    # Processor time of the VM, in tenths of a core.
    capacity: int = 0
