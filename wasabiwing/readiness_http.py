"""HTTP pages of a node for load balancer and monitoring."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from wasabiwing.asgi import Application
from wasabiwing.asgi import build_application
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import Responder

# Limit for request bodies; requests for these pages need none.
MAX_BODY_BYTES = 1024


def readiness_application(
    is_ready: Callable[[], bool], registry: CollectorRegistry
) -> Application:
    """Returns an ASGI application for ``/readyz`` and ``/metrics``."""

    async def readiness(request: HttpRequest, responder: Responder) -> None:
        ready = is_ready()
        await responder.send_json(200 if ready else 503, {"ready": ready})

    async def metrics(request: HttpRequest, responder: Responder) -> None:
        await responder.send_whole(
            200, generate_latest(registry), CONTENT_TYPE_LATEST
        )

    async def unknown(request: HttpRequest, responder: Responder) -> None:
        await responder.send_json(404, {"error": "no such page"})

    return build_application(
        (
            HttpRoute("GET", "/readyz", readiness),
            HttpRoute("GET", "/metrics", metrics),
        ),
        unknown,
        lambda: MAX_BODY_BYTES,
    )
