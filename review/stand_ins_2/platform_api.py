"""Stand-in of the platform's API for duties, as ``PROTOCOL.md`` tells it."""

from asyncio import StreamWriter
from dataclasses import dataclass
from dataclasses import field
from json import loads
from time import time
from typing import Any

from http_server import Answer
from http_server import json_answer
from http_server import Request

DUTY_HEADERS = ("Wasabiwing-Duty-Holder", "Wasabiwing-Fence-Token")


@dataclass(frozen=True, slots=True)
class DutyCall:
    """A call of a duty, with Unix time and the status of its answer."""

    at: float
    path: str
    holder: str
    fence: int
    document: dict[str, Any]
    status: int


@dataclass
class PlatformApi:
    """The API; it refuses calls with a number below the highest one."""

    calls: list[DutyCall] = field(default_factory=list)
    fence_by_subject: dict[str, int] = field(default_factory=dict)

    async def handle(
        self, request: Request, writer: StreamWriter
    ) -> Answer | None:
        """Serves a call of a node."""
        document = loads(request.body)
        holder, fence = (request.header(name) for name in DUTY_HEADERS)
        subject = request.path
        if request.path == "/scale":
            subject += f"/{document['service']}/{document['zone']}"
        highest = self.fence_by_subject.get(subject, 0)
        status = 409 if int(fence) < highest else 200
        self.fence_by_subject[subject] = max(highest, int(fence))
        self.calls.append(
            DutyCall(
                time(), request.path, holder, int(fence), document, status
            )
        )
        return json_answer({}, status)

    def usage(self) -> list[DutyCall]:
        """Returns the accepted usage reports."""
        return [
            call
            for call in self.calls
            if call.path == "/usage" and call.status == 200
        ]
