"""Stand-in of a plain worker, as ``PROTOCOL.md`` tells it."""

from asyncio import sleep
from asyncio import StreamWriter
from dataclasses import dataclass
from dataclasses import field
from time import time

from http_server import Answer
from http_server import Request

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a worker began to work on, with Unix time."""

    at: float
    attempt: str
    request: Request


@dataclass
class Worker:
    """A worker that answers each request after ``work_s`` seconds."""

    id: str
    work_s: float = 0.01
    slots: int = 8
    runs: list[Run] = field(default_factory=list)
    running: int = 0

    async def handle(
        self, request: Request, writer: StreamWriter
    ) -> Answer | None:
        """Serves a request of a node."""
        attempt = request.header("wasabiwing-attempt-id")
        headers = self.headers(attempt)
        if request.path == "/health":
            return Answer(200, b"", headers)
        expected = request.header("wasabiwing-expect-instance")
        if expected not in ("", self.id):
            return Answer(421, b"", headers)
        if not attempt:
            return Answer(
                400, b"", {**headers, "Wasabiwing-Not-Executed": "1"}
            )
        self.runs.append(Run(time(), attempt, request))
        self.running += 1
        try:
            await sleep(self.work_s)
        finally:
            self.running -= 1
        return Answer(
            200,
            b"done " + request.body,
            {**headers, "Wasabiwing-Response-Stamp": STAMP},
        )

    def headers(self, attempt: str) -> dict[str, str]:
        """Returns the headers of all answers."""
        headers = {
            "Wasabiwing-Worker-Id": self.id,
            "Wasabiwing-Worker-Load": f"{self.running},0,{self.slots}",
            "Keep-Alive": "timeout=10",
        }
        if attempt:
            headers["Wasabiwing-Attempt-Id"] = attempt
        return headers
