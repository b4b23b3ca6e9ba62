"""The control API of the engine stand-in: orders and state."""

from typing import Any

from anyio import sleep
from msgspec.json import decode

from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import JSON_TYPE
from wasabiwing.asgi import Responder


class EngineOrders:
    """The orders that an engine has received, and the resulting state."""

    def __init__(self, checks_fencing: bool = True) -> None:
        self.checks_fencing = checks_fencing
        self.version = ""
        self.role = "both"
        self.ready = True
        # Largest fencing number of all accepted orders.
        self.max_fencing_number = 0
        # Fencing numbers of all orders that took effect, in order of arrival.
        self.accepted: list[int] = []
        self.rejected: list[int] = []
        # Faults: extra time in seconds before an order takes effect, and the
        # number of the next accepted orders whose reply is lost.
        self.delay_s = 0.0
        self.lose_replies = 0

    def routes(self) -> tuple[HttpRoute, ...]:
        """Returns the routes to add to the engine's application."""
        return (
            HttpRoute("POST", "/v1/orders", self._order),
            HttpRoute("GET", "/v1/state", self._state),
        )

    async def _order(self, request: HttpRequest, responder: Responder) -> None:
        order: dict[str, Any] = decode(request.body)
        await sleep(self.delay_s)
        number = int(order["number"])
        if self.checks_fencing and number < self.max_fencing_number:
            self.rejected.append(number)
            await responder.send_json(409, {"error": "old fencing number"})
            return
        self.max_fencing_number = max(self.max_fencing_number, number)
        self.accepted.append(number)
        self.version = order["version"]
        self.role = order["role"]
        if self.lose_replies > 0:
            self.lose_replies -= 1
            await responder.start(200, JSON_TYPE, {"content-length": "10"})
            return
        await responder.send_json(200, {"version": self.version})

    async def _state(self, request: HttpRequest, responder: Responder) -> None:
        await responder.send_json(
            200,
            {"version": self.version, "role": self.role, "ready": self.ready},
        )
