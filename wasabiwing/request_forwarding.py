"""Finds the gateway that has a request, for callers that resume.

The node id in the request id names the gateway that accepted it. When that
gateway is gone, the peers that may hold its record are asked in order.
"""

from collections.abc import Awaitable
from collections.abc import Callable

from result import Err

from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import Responder
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.gateway_directory import GatewayDirectory
from wasabiwing.gateway_directory import node_id_of_request
from wasabiwing.http_client import HttpClient
from wasabiwing.http_client import HttpStream
from wasabiwing.running_request import RunningRequest

# Marks a request that another gateway has passed on, so that it is passed on
# only once.
HOP_HEADER = "x-wasabiwing-hop"

# Peers that are asked when the owner is gone. Records have two holders; the
# others cover gateways that joined since the holders were chosen.
MAX_PEERS = 6

# Longest wait for bytes of another gateway, in seconds. An answer that is
# not streamed sends none before its end.
FORWARD_SILENCE_S = 60.0

HTTP_NOT_FOUND = 404

Take = Callable[[str], Awaitable[RunningRequest | None]]


class RequestForwarder:
    """Passes requests for an answer on to the gateway that has it."""

    def __init__(
        self,
        node_id: str,
        directory: GatewayDirectory,
        client: HttpClient,
        take: Take,
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self._client = client
        # Waits until this gateway runs a request that it holds.
        self._take = take

    @property
    def live_gateway_count(self) -> int:
        """Number of live gateways, with this one."""
        return self._directory.live_count

    async def find_or_forward(
        self, request: HttpRequest, request_id: str, responder: Responder
    ) -> RunningRequest | None:
        """Returns the request when it is here, or has it answered.

        ``None`` with an answer not begun says that no gateway knows it.
        """
        if HOP_HEADER in request.headers:
            return await self._take(request_id)
        owner = self._directory.get(node_id_of_request(request_id))
        if owner is None:
            return await self._take(request_id)
        peers = self._directory.rank_record_peers(request_id, owner)[
            :MAX_PEERS
        ]
        for entry in (owner, *peers):
            if entry.node_id != self._node_id:
                if await self._pass_on(
                    request, request_id, entry.http_address, responder
                ):
                    return None
                continue
            taken = await self._take(request_id)
            if taken is not None:
                return taken
        return None

    async def _pass_on(
        self,
        request: HttpRequest,
        request_id: str,
        address: str,
        responder: Responder,
    ) -> bool:
        """Relays another gateway's answer; returns whether it had one."""
        headers = {
            name: request.headers[name]
            for name in ("authorization", "last-event-id")
            if name in request.headers
        }
        headers[HOP_HEADER] = self._node_id
        async with self._client.stream(
            "GET",
            f"http://{address}/v1/requests/{request_id}",
            headers,
            timeout_s=FORWARD_SILENCE_S,
        ) as opened:
            if isinstance(opened, Err):
                return False
            stream = opened.ok_value
            if stream.status == HTTP_NOT_FOUND:
                return False
            log_event(
                Event.REQUEST_RESUMED,
                self._node_id,
                request=request_id,
                by="another gateway",
                address=address,
            )
            await _relay(stream, responder)
        return True


async def _relay(stream: HttpStream, responder: Responder) -> None:
    """Copies an answer; a cut stays a cut for the caller."""
    kept = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in stream.headers
        if name.lower().startswith(b"x-") or name.lower() == b"retry-after"
    }
    content_type = stream.header(b"content-type") or b"application/json"
    await responder.start(stream.status, content_type.decode("latin-1"), kept)
    async for chunk in stream.chunks():
        if isinstance(chunk, Err):
            return
        await responder.write(chunk.ok_value)
    await responder.finish()
