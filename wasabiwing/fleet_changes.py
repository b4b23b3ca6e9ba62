"""Changes of the fleet that a node reads from the platform's store."""

from dataclasses import dataclass

from wasabiwing.server_directory import RegisteredServer
from wasabiwing.service_configuration import ServiceConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The operator has put a configuration in force."""

    configuration: ServiceConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A configuration as the operator wrote it, with its key in the store."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """An availability zone's evacuation has begun or ended."""

    availability_zone: str
    active: bool


@dataclass(frozen=True, slots=True)
class ServerChange:
    """A backend server's entry was written, removed or found unusable."""

    server_id: str
    entry: RegisteredServer | None
    # Why an entry cannot be used; empty if it is usable or was removed.
    problem: str = ""


FleetChange = ConfigurationChange | EvacuationChange | ServerChange
