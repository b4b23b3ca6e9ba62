"""Stand-in for a plain service: an order desk or a plate desk.

Runs are counted by idempotency key across all servers that share one
``DeskLedger``, so that a test can detect a request that ran twice.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from time import monotonic

from anyio import sleep
from anyio.abc import TaskGroup

from wasabiwing.asgi import build_application
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import JSON_TYPE
from wasabiwing.asgi import Responder
from wasabiwing_standins.server import StandInServer

MAX_REQUEST_BYTES = 1_000_000


@dataclass(slots=True)
class DeskLedger:
    """The requests that all servers of one desk have run."""

    runs_by_key: Counter[str] = field(default_factory=Counter)
    body_by_key: dict[str, bytes] = field(default_factory=dict)
    status_reads: int = 0


@dataclass(slots=True)
class DeskFaults:
    """Faults that a test or the demo switches on."""

    refuse: bool = False
    # Value of the Retry-After header in refusals; no header if empty.
    retry_after: str = ""
    # Runs the request and then cuts the connection.
    cut_after_run: bool = False
    # Cuts the connection before the request is run.
    cut_before_run: bool = False
    # Time that a request takes, in seconds.
    delay_s: float = 0.0
    # Answers with status 500 after the run.
    fail_after_run: bool = False
    # Requests per second that the server names as its limit in answers;
    # ``None`` if it names none.
    limit_per_s: float | None = None


class DeskStandIn:
    """One backend server of a desk."""

    def __init__(
        self, tasks: TaskGroup, server_id: str, ledger: DeskLedger
    ) -> None:
        self.server_id = server_id
        self.ledger = ledger
        self.faults = DeskFaults()
        self.in_flight = 0
        self.served = 0
        self.refused = 0
        # Monotonic times at which requests started to run.
        self.arrivals_at: list[float] = []
        self.server = StandInServer(
            tasks,
            build_application(
                (HttpRoute("GET", "/v1/load", self._load),),
                self._serve,
                lambda: MAX_REQUEST_BYTES,
            ),
        )

    @property
    def address(self) -> str:
        """``host:port`` of the server."""
        return self.server.address

    async def start(self) -> None:
        """Starts to serve."""
        await self.server.start()

    async def _serve(self, request: HttpRequest, responder: Responder) -> None:
        if self.faults.refuse:
            self.refused += 1
            headers = {"X-Request-Started": "false"}
            if self.faults.retry_after:
                headers["Retry-After"] = self.faults.retry_after
            await responder.send_json(503, {"error": "refused"}, headers)
            return
        if self.faults.cut_before_run:
            return
        self.in_flight += 1
        try:
            await self._run(request, responder)
        finally:
            self.in_flight -= 1

    async def _run(self, request: HttpRequest, responder: Responder) -> None:
        self.served += 1
        self.arrivals_at.append(monotonic())
        key = request.headers.get("idempotency-key", "")
        if request.method == "GET":
            self.ledger.status_reads += 1
        elif key:
            organisation = request.headers.get("x-organisation", "")
            name = f"{organisation}/{key}"
            self.ledger.runs_by_key[name] += 1
            self.ledger.body_by_key[name] = request.body
        # The effect precedes the delay, as at a payment provider.
        await sleep(self.faults.delay_s)
        if self.faults.cut_after_run:
            await responder.start(200, JSON_TYPE, {"content-length": "9999"})
            return
        if self.faults.fail_after_run:
            await responder.send_json(500, {"error": "failed"})
            return
        await responder.send_json(
            200,
            {
                "server": self.server_id,
                "path": request.path,
                "key": key,
                "run": self.ledger.runs_by_key.total(),
            },
            {}
            if self.faults.limit_per_s is None
            else {"Server-Limit": f"{self.faults.limit_per_s:g}"},
        )

    async def _load(self, request: HttpRequest, responder: Responder) -> None:
        await responder.send_json(
            200, {"running": self.in_flight, "waiting": 0, "cold": False}
        )
