"""Port for the platform calls that one node at a time may make."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from result import Result

from wasabiwing.codes import Failure


@dataclass(frozen=True, slots=True)
class DutyStamp:
    """Holder that makes a call, and number that fences earlier holders."""

    holder: str
    fencing_number: int


class DutyCalls(Protocol):
    """Platform calls that carry a duty stamp.

    They fail with ``ORDER_FENCED`` if a later holder has acted, with
    ``CLOUD_REFUSED`` if nothing was done, and with ``CLOUD_UNAVAILABLE`` if
    the call may have been carried out or may still be.
    """

    async def report_usage(
        self, stamp: DutyStamp, window: int, counts: Mapping[str, int]
    ) -> Result[None, Failure]:
        """Reports the number of requests in a window by organisation."""

    async def order_servers(
        self,
        stamp: DutyStamp,
        service: str,
        availability_zone: str,
        count: int,
        reclaimable: bool,
    ) -> Result[None, Failure]:
        """Sets a service's number of servers of one kind in a zone."""
