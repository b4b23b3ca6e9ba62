"""The status document of a controller, as served on ``/v1/status``.

``wasabictl`` reads it. Unknown fields are ignored and new fields have
defaults, so that consecutive releases understand each other.
"""

from dataclasses import dataclass
from enum import StrEnum
from enum import unique


@unique
class RolloutState(StrEnum):
    """Progress of a rollout."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """State of a member, as this controller knows it."""

    node_id: str
    availability_zone: str
    region: str
    # ``alive``, ``suspected``, ``dead`` or ``left``.
    state: str
    incarnation: int = 0
    # Configuration generation that the member last reported; its own status
    # document has the current one.
    generation: int = 0
    # Address that serves the member's status document, as host:port.
    status_address: str = ""

    @property
    def is_live(self) -> bool:
        """Whether the member is not known to be dead or to have left."""
        return self.state in ("alive", "suspected")


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """State of a pool's rollout, as this controller knows it."""

    pool: str
    # Latest configuration generation for which this state was determined. It
    # rises with each generation in force, even if the rollout is unchanged.
    generation: int
    state: RolloutState
    # Why the rollout was rolled back, or what it waits for.
    reason: str = ""


@dataclass(frozen=True, slots=True)
class HomeServerStatus:
    """A backend server whose home is this controller."""

    server_id: str
    # Concurrency limit, in requests.
    limit: int
    cold: bool
    # Slots that are lent to gateways or in use.
    charged: int


@dataclass(frozen=True, slots=True)
class StatusDocument:
    """State of the cluster, as one controller knows it."""

    node_id: str
    availability_zone: str
    # Whether the controller has contact to the store or to a peer.
    connected: bool
    generation: int
    digest: str = ""
    members: tuple[MemberStatus, ...] = ()
    rollouts: tuple[RolloutStatus, ...] = ()
    home_servers: tuple[HomeServerStatus, ...] = ()
