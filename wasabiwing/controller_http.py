"""The HTTP endpoints of a controller: health, metrics, status and notices."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from result import Err

from wasabiwing.asgi import Application
from wasabiwing.asgi import build_application
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import Responder
from wasabiwing.configuration_distribution import ConfigurationDistributor
from wasabiwing.home_slots import HomeSlotAllocator
from wasabiwing.member_table import MemberState
from wasabiwing.membership import Membership
from wasabiwing.metrics import ControllerMetrics
from wasabiwing.nng_transport import NngTransport
from wasabiwing.rollouts import Rollouts
from wasabiwing.settings import ControllerSettings
from wasabiwing.status import HomeServerStatus
from wasabiwing.status import MemberStatus
from wasabiwing.status import StatusDocument
from wasabiwing.validation import parse_document

MAX_BODY_BYTES = 100_000


@dataclass(frozen=True, slots=True)
class NoticeDocument:
    """Body of ``POST /v1/notices``."""

    # Time until the VMs are reclaimed, in seconds.
    remaining_s: float
    server_ids: tuple[str, ...] = ()
    zone_ids: tuple[str, ...] = ()
    # Whether the VM of this controller itself is reclaimed.
    own_vm: bool = False


NoticeHandler = Callable[[NoticeDocument], Awaitable[None]]


class ControllerHttp:
    """Serves the HTTP endpoints of one controller."""

    def __init__(
        self,
        settings: ControllerSettings,
        transport: NngTransport,
        members: Membership,
        distributor: ConfigurationDistributor,
        rollouts: Rollouts,
        slots: HomeSlotAllocator,
        metrics: ControllerMetrics,
        is_connected: Callable[[], bool],
        handle_notice: NoticeHandler,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._members = members
        self._distributor = distributor
        self._rollouts = rollouts
        self._slots = slots
        self._metrics = metrics
        self._is_connected = is_connected
        self._handle_notice = handle_notice

    def application(self) -> Application:
        """Returns the ASGI application with all endpoints."""
        routes = (
            HttpRoute("GET", "/healthz", self._health),
            HttpRoute("GET", "/metrics", self._metrics_text),
            HttpRoute("GET", "/v1/status", self._status),
            HttpRoute("POST", "/v1/notices", self._post_notice),
        )
        return build_application(
            routes,
            self._not_found,
            lambda: MAX_BODY_BYTES,
            self._settings.node_id,
        )

    async def _health(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        status = 200 if self._is_connected() else 503
        await responder.send_json(status, {"connected": self._is_connected()})

    async def _metrics_text(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        self._metrics.sent_bytes.set(self._transport.sent_bytes)
        self._metrics.received_bytes.set(self._transport.received_bytes)
        dropped = self._transport.dropped_messages
        self._metrics.dropped_messages.set(dropped)
        for state in MemberState:
            count = sum(
                update.state == state for update in self._members.updates()
            )
            self._metrics.members.labels(state.name.lower()).set(count)
        await responder.send_whole(
            200,
            generate_latest(self._metrics.registry),
            CONTENT_TYPE_LATEST,
        )

    async def _status(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send_json(200, self.status_document())

    def status_document(self) -> StatusDocument:
        """Returns the body of ``GET /v1/status``."""
        members = tuple(
            MemberStatus(
                update.node_id,
                update.availability_zone,
                update.region,
                MemberState(update.state).name.lower(),
                update.incarnation,
                update.generation,
                update.status_address,
            )
            for update in self._members.updates()
        )
        return StatusDocument(
            self._settings.node_id,
            self._settings.availability_zone,
            self._is_connected(),
            self._distributor.generation,
            self._distributor.digest,
            members,
            self._rollouts.statuses(),
            self._home_servers(),
        )

    def _home_servers(self) -> tuple[HomeServerStatus, ...]:
        return tuple(
            HomeServerStatus(
                server_id,
                allocator.limit.value,
                allocator.limit.cold,
                allocator.allocated_slots,
            )
            for server_id, allocator in self._slots.allocator_by_server.items()
        )

    async def _post_notice(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Accepts a reclaim notice, as the cloud would send it."""
        parsed = parse_document(request.body, NoticeDocument)
        if isinstance(parsed, Err):
            await responder.send_json(400, {"errors": parsed.err_value})
            return
        await self._handle_notice(parsed.ok_value)
        await responder.send_json(202, {"status": "accepted"})

    async def _not_found(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send_json(404, {"error": {"message": "not found"}})
