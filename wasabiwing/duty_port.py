"""Port to the platform's calls that one node at a time may make."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from result import Result

from wasabiwing.codes import Failure


@dataclass(frozen=True, slots=True)
class DutyStamp:
    """Who makes a call, and the number that fences earlier holders."""

    holder: str
    fencing_number: int


class DutyCalls(Protocol):
    """Calls that carry a duty stamp.

    ``ORDER_FENCED`` says that a later holder has acted, ``CLOUD_REFUSED``
    that nothing was done, ``CLOUD_UNAVAILABLE`` that the call may have been
    carried out or may be later.
    """

    async def report_usage(
        self, stamp: DutyStamp, window: int, counts: Mapping[str, int]
    ) -> Result[None, Failure]:
        """Reports the requests of a window by organisation."""

    async def order_servers(
        self,
        stamp: DutyStamp,
        service: str,
        availability_zone: str,
        count: int,
        reclaimable: bool,
    ) -> Result[None, Failure]:
        """Orders that a zone has so many servers of one kind."""
