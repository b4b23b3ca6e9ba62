"""Forwarding of callers that resume an answer to the gateway that has it.

The node id in a request id names the gateway that accepted the request. That
gateway is asked first, then the peers that may hold a handover record of the
request, in the order of their rank.
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

# Header of a request that another gateway has forwarded; it must not be
# forwarded again.
FORWARDED_BY_HEADER = "x-wasabiwing-hop"

# Greatest number of peers that are asked when the owner does not know the
# request. A handover record has two holders; the further peers are asked
# because gateways that joined later may have changed the ranks.
MAX_PEERS = 6

# Longest wait for the next bytes of another gateway, in seconds. An answer
# that is not streamed sends no bytes before its end.
FORWARD_READ_TIMEOUT_S = 60.0

HTTP_NOT_FOUND = 404

WaitForTakeover = Callable[[str], Awaitable[RunningRequest | None]]


class RequestForwarder:
    """Forwards requests for an answer to the gateway that has the answer."""

    def __init__(
        self,
        node_id: str,
        directory: GatewayDirectory,
        client: HttpClient,
        wait_for_takeover: WaitForTakeover,
    ) -> None:
        self._node_id = node_id
        self._directory = directory
        self._client = client
        # Returns a request that runs here, after waiting for the takeover of
        # one that this gateway holds for another; ``None`` if there is none.
        self._wait_for_takeover = wait_for_takeover

    @property
    def live_gateway_count(self) -> int:
        """Number of live gateways, including this one."""
        return self._directory.live_count

    @property
    def gateway_hosts(self) -> frozenset[str]:
        """Hosts of the listed gateways."""
        return self._directory.hosts

    async def find_or_forward(
        self, request: HttpRequest, request_id: str, responder: Responder
    ) -> RunningRequest | None:
        """Returns a request that runs here, or relays an answer.

        If the result is ``None`` and the responder has not started, no
        gateway that was asked knows the request.
        """
        if FORWARDED_BY_HEADER in request.headers:
            return await self._wait_for_takeover(request_id)
        owner = self._directory.get(node_id_of_request(request_id))
        if owner is None:
            return await self._wait_for_takeover(request_id)
        peers = self._directory.rank_record_peers(request_id, owner)[
            :MAX_PEERS
        ]
        for entry in (owner, *peers):
            if entry.node_id != self._node_id:
                if await self._forward(
                    request, request_id, entry.http_address, responder
                ):
                    return None
                continue
            taken_over = await self._wait_for_takeover(request_id)
            if taken_over is not None:
                return taken_over
        return None

    async def _forward(
        self,
        request: HttpRequest,
        request_id: str,
        address: str,
        responder: Responder,
    ) -> bool:
        """Relays the answer of a gateway; returns whether it sent one."""
        headers = {
            name: request.headers[name]
            for name in ("authorization", "last-event-id")
            if name in request.headers
        }
        headers[FORWARDED_BY_HEADER] = self._node_id
        async with self._client.stream(
            "GET",
            f"http://{address}/v1/requests/{request_id}",
            headers,
            timeout_s=FORWARD_READ_TIMEOUT_S,
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
    """Copies an answer to the caller.

    If the answer is cut off, the responder is not finished, so that the
    caller notices it.
    """
    forwarded_headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in stream.headers
        if name.lower().startswith(b"x-") or name.lower() == b"retry-after"
    }
    content_type = stream.header(b"content-type") or b"application/json"
    await responder.start(
        stream.status, content_type.decode("latin-1"), forwarded_headers
    )
    async for chunk in stream.chunks():
        if isinstance(chunk, Err):
            return
        await responder.write(chunk.ok_value)
    await responder.finish()
