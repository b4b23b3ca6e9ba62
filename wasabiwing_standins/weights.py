"""Stand-in for the rate-limited weight store."""

from anyio import current_time
from anyio.abc import TaskGroup

from wasabiwing.asgi import build_application
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import Responder
from wasabiwing_standins.server import StandInServer

MAX_REQUEST_BYTES = 10_000


class WeightStoreStandIn:
    """The weight store; it grants a limited number of loads per second."""

    def __init__(self, tasks: TaskGroup, loads_per_s: float = 100.0) -> None:
        self.loads_per_s = loads_per_s
        self.down = False
        self.granted = 0
        self.refused = 0
        self._next_at = 0.0
        self.server = StandInServer(
            tasks,
            build_application(
                (HttpRoute("POST", "/v1/loads", self._reserve),),
                self._not_found,
                lambda: MAX_REQUEST_BYTES,
            ),
        )

    async def start(self) -> None:
        """Starts to serve."""
        await self.server.start()

    @property
    def url(self) -> str:
        """Base address of the service."""
        return f"http://{self.server.address}"

    async def _reserve(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        if self.down:
            await responder.send_json(503, {"error": "unavailable"})
            return
        now = current_time()
        if now < self._next_at:
            self.refused += 1
            wait_s = self._next_at - now
            await responder.send_json(
                200, {"granted": False, "retry_after_s": wait_s}
            )
            return
        self._next_at = now + 1 / self.loads_per_s
        self.granted += 1
        await responder.send_json(200, {"granted": True})

    async def _not_found(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send_json(404, {"error": "not found"})
