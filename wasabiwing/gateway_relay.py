"""Relays requests of a gateway that reaches no server to other gateways.

The other gateway treats a relayed request as a caller's own, except that it is
not relayed again. Its answer is passed on as it comes, so that the caller sees
an answer that breaks off.
"""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

from anyio import move_on_after
from msgspec.json import decode
from result import Err

from wasabiwing.answer_end import answer_framing
from wasabiwing.answer_end import EndJudge
from wasabiwing.answer_end import Framing
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import Responder
from wasabiwing.calls import Call
from wasabiwing.cluster_view import ClusterView
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import Pool
from wasabiwing.configuration import PoolKind
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.gateway_directory import GatewayDirectory
from wasabiwing.gateway_directory import LIVE_S
from wasabiwing.http_client import HttpClient
from wasabiwing.http_client import HttpStream
from wasabiwing.relay_peers import DECLINED
from wasabiwing.relay_peers import is_declined
from wasabiwing.relay_peers import is_relay_due
from wasabiwing.relay_peers import may_relay_refusal
from wasabiwing.relay_peers import RELAY_HEADERS
from wasabiwing.relay_peers import RELAYED_BY
from wasabiwing.relay_peers import RelayPeer
from wasabiwing.relay_peers import RelayPeers
from wasabiwing.relay_peers import UNHEARD_S
from wasabiwing.server_probe import ListenerProbe
from wasabiwing.server_probe import server_listens
from wasabiwing.server_reachability import ServerReachability
from wasabiwing.timers import TimerService

RELAYED_BY_HEADER = RELAYED_BY.decode()
DECLINED_HEADER = DECLINED.decode()

# Time after a request's deadline within which the other gateway's answer has
# to arrive, in seconds.
ANSWER_GRACE_S = 0.5

# Time before its deadline from which a request is not relayed, in seconds.
MIN_TIME_LEFT_S = 0.02

MIN_ERROR_STATUS = 400

# Headers of a caller's request that the other gateway gets as they are.
PASSED_ON_HEADERS = ("authorization", "content-type", "idempotency-key")


class RelayDecisions:
    """Decides which requests of one gateway others carry."""

    def __init__(
        self,
        timer: TimerService,
        reachability: ServerReachability,
        peers: RelayPeers,
    ) -> None:
        self._timer = timer
        self._reachability = reachability
        self._peers = peers

    def leaves_to_peers(self, pool: Pool) -> bool:
        """Whether requests of a pool are relayed and not sent from here."""
        return self.is_cut_off_from(pool) and self._peers.any_available()

    def is_cut_off_from(self, pool: Pool) -> bool:
        """Whether this gateway probably reaches no server of a pool."""
        if not self._reachability.is_cut_off and not any(
            self._reachability.is_unreachable(server.id)
            for server in pool.servers[:1]
        ):
            # Spares large pools the comparison of all servers.
            return False
        return self._reachability.is_cut_off_from(_server_ids(pool))

    def ends_attempts(
        self, pool: Pool, failed_connects: int, tried_ids: Collection[str]
    ) -> bool:
        """Whether a request is relayed after failed connects.

        As long as servers are heard, it is tried at further ones.
        """
        heard = self._reachability.heard_any_since(
            self._timer.now() - UNHEARD_S
        )
        if heard or not self._peers.any_available():
            return False
        untried = len(_server_ids(pool) - set(tried_ids))
        return is_relay_due(
            self.is_cut_off_from(pool), failed_connects, untried, heard
        )

    def may_follow(self, call: Call, failure: Failure) -> bool:
        """Whether a request that failed here is relayed.

        A request that may have run is relayed only if it may be repeated and
        would have been tried again here.
        """
        if self._timer.now() + MIN_TIME_LEFT_S >= call.deadline:
            return False
        repeatable = (
            call.route.idempotent or call.pool.kind is PoolKind.MODEL
        ) and failure.code is ResultCode.CONNECT_FAILED
        if failure.run_state is not RunState.NOT_RUN and not repeatable:
            return False
        share = self._reachability.unreachable_share(_server_ids(call.pool))
        return (
            may_relay_refusal(failure, share) and self._peers.any_available()
        )

    def note_connect_failed(self, server_id: str) -> None:
        """Records that a server accepted no connection."""
        self._reachability.note_connect_failed(server_id)

    def is_unreachable(self, server_id: str) -> bool:
        """Whether this gateway fails to reach a server."""
        return self._reachability.is_unreachable(server_id)


@dataclass(frozen=True, slots=True)
class Relayed:
    """What became of a request that other gateways were asked to carry."""

    # Whether one of them took it.
    taken: bool
    # ``None`` if the caller got the answer, or a part of it.
    failure: Failure | None = None


DECLINED_BY_ALL = Relayed(False)


class GatewayRelay:
    """Relays requests of one gateway to others."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        peers: RelayPeers,
        client: HttpClient,
        listens: ListenerProbe = server_listens,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._peers = peers
        self._client = client
        # Any gateway may stop to listen before its last answers.
        self._end_judge: EndJudge[RelayPeer] = EndJudge(
            timer,
            lambda peer: True,
            listens,
            lambda peer: client.keeps_connection(peer.address),
        )

    async def relay(
        self,
        request: HttpRequest,
        call: Call,
        earlier: RunState,
        responder: Responder,
    ) -> Relayed:
        """Asks other gateways in turn until one takes a request.

        ``earlier`` says whether the request may have run here. If it may, a
        failure of the other gateway is not passed on, as that one only knows
        of its own attempts.
        """
        for peer in self._peers.choose():
            remaining_s = call.deadline - self._timer.now()
            if remaining_s < MIN_TIME_LEFT_S:
                break
            log_event(
                Event.REQUEST_RELAYED,
                self._node_id,
                request=call.request_id,
                route=call.route.id,
                to=peer.id,
            )
            relayed = Relayed(True)
            with move_on_after(remaining_s + ANSWER_GRACE_S) as scope:
                relayed = await self._ask(
                    peer, request, call, earlier, remaining_s, responder
                )
            if scope.cancelled_caught:
                failure = Failure(
                    ResultCode.SERVER_TIMEOUT,
                    f"gateway {peer.id}",
                    RunState.MAY_HAVE_RUN,
                )
                return Relayed(True, failure)
            if relayed.taken:
                return relayed
        return DECLINED_BY_ALL

    async def _ask(
        self,
        peer: RelayPeer,
        request: HttpRequest,
        call: Call,
        earlier: RunState,
        remaining_s: float,
        responder: Responder,
    ) -> Relayed:
        async with self._client.stream(
            request.method,
            f"http://{peer.address}{request.path}",
            self._headers(request, remaining_s),
            request.body,
            remaining_s + ANSWER_GRACE_S,
        ) as opened:
            if isinstance(opened, Err):
                failure = opened.err_value
                if failure.run_state is RunState.NOT_RUN:
                    self._peers.note_unreachable(peer.id)
                    self._log_declined(call, peer, failure.detail)
                    return DECLINED_BY_ALL
                return Relayed(True, _broken_off(peer, failure))
            stream = opened.ok_value
            if stream.status >= MIN_ERROR_STATUS:
                return await self._pass_on_failure(
                    peer, call, request.method, stream, earlier, responder
                )
            await self._pass_on(peer, call, request.method, stream, responder)
        return Relayed(True)

    async def _pass_on(
        self,
        peer: RelayPeer,
        call: Call,
        method: str,
        stream: HttpStream,
        responder: Responder,
    ) -> None:
        """Copies an answer to the caller.

        If the answer is cut off, the responder is not finished, so that the
        caller notices it.
        """
        framing = answer_framing(method, stream.status, stream.headers)
        length = stream.header(b"content-length")
        headers = _forwarded_headers(stream)
        if length is not None:
            headers["content-length"] = length.decode("latin-1")
        await responder.start(
            stream.status,
            _header_text(stream, b"content-type") or "application/json",
            headers,
            framing is not Framing.CONNECTION,
        )
        has_content = False
        async for chunk in stream.chunks():
            if isinstance(chunk, Err):
                return
            has_content = True
            await responder.write(chunk.ok_value)
        failure = await self._end_failure(
            peer, call, method, stream, has_content
        )
        if failure is None:
            await responder.finish()

    async def _end_failure(
        self,
        peer: RelayPeer,
        call: Call,
        method: str,
        stream: HttpStream,
        has_content: bool,
    ) -> Failure | None:
        """Returns why an ended answer of a gateway is not whole."""
        return await self._end_judge.failure(
            peer,
            answer_framing(method, stream.status, stream.headers),
            has_content,
            call.deadline - self._timer.now(),
            took_request=stream.took_request,
        )

    async def _pass_on_failure(
        self,
        peer: RelayPeer,
        call: Call,
        method: str,
        stream: HttpStream,
        earlier: RunState,
        responder: Responder,
    ) -> Relayed:
        """Passes another gateway's failure on unless it is a refusal.

        A gateway of an earlier build states only the code and run state.
        """
        read = await stream.read()
        if isinstance(read, Err):
            return Relayed(True, _broken_off(peer, read.err_value))
        end_failure = await self._end_failure(peer, call, method, stream, True)
        if end_failure is not None:
            return Relayed(True, _broken_off(peer, end_failure))
        failure = _stated_failure(stream, read.ok_value)
        reason = _header_text(stream, DECLINED)
        if not reason and failure is not None and is_declined(failure):
            reason = failure.code.name
        if reason:
            self._peers.note_declined(peer.id)
            self._log_declined(call, peer, reason)
            return DECLINED_BY_ALL
        if failure is not None and earlier is not RunState.NOT_RUN:
            return Relayed(True, _broken_off(peer, failure))
        await responder.send_whole(
            stream.status,
            read.ok_value,
            _header_text(stream, b"content-type") or "application/json",
            _forwarded_headers(stream),
        )
        return Relayed(True)

    def _headers(
        self, request: HttpRequest, remaining_s: float
    ) -> dict[str, str]:
        headers = {
            name: request.headers[name]
            for name in PASSED_ON_HEADERS
            if name in request.headers
        }
        headers["x-deadline-ms"] = str(max(int(remaining_s * 1000), 1))
        headers[RELAYED_BY_HEADER] = self._node_id
        return headers

    def _log_declined(self, call: Call, peer: RelayPeer, reason: str) -> None:
        log_event(
            Event.RELAY_DECLINED,
            self._node_id,
            request=call.request_id,
            by=peer.id,
            reason=reason,
        )


def relay_addresses(
    directory: GatewayDirectory, view: ClusterView, node_id: str, zone_id: str
) -> dict[str, str]:
    """Returns the HTTP addresses of other live gateways by node id.

    They are those of the own region if it has any.
    """
    live = [
        entry
        for entry in directory.entries()
        if entry.age_s < LIVE_S
        and not entry.leaving
        and entry.node_id != node_id
    ]
    region = view.region(zone_id)
    near = [
        entry
        for entry in live
        if view.region(entry.availability_zone) == region
    ]
    return {entry.node_id: entry.http_address for entry in near or live}


def is_relayed(headers: Mapping[str, str]) -> bool:
    """Whether a request says that another gateway relays it."""
    return RELAYED_BY_HEADER in headers


def _server_ids(pool: Pool) -> set[str]:
    return {server.id for server in pool.servers}


def _forwarded_headers(stream: HttpStream) -> dict[str, str]:
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in stream.headers
        if name.lower() not in RELAY_HEADERS
        and (
            name.lower().startswith(b"x-")
            or name.lower() in (b"retry-after", b"location", b"cache-control")
        )
    }


def _header_text(stream: HttpStream, name: bytes) -> str:
    return (stream.header(name) or b"").decode("latin-1")


def _stated_failure(stream: HttpStream, body: bytes) -> Failure | None:
    """Returns the failure that another gateway states, if it does."""
    try:
        document = decode(body, type=dict[str, dict[str, object]])
        return Failure(
            ResultCode(int(str(document["error"]["code"]))),
            "",
            RunState(_header_text(stream, b"x-run-state")),
            1.0 if stream.header(b"retry-after") is not None else None,
        )
    except (*UNDECODABLE, KeyError):
        return None


def _broken_off(peer: RelayPeer, failure: Failure) -> Failure:
    """Returns the failure of a request whose relay ended before its answer."""
    return Failure(
        ResultCode.ATTEMPT_FAILED,
        f"gateway {peer.id}: {failure.code.name} {failure.detail}",
        RunState.MAY_HAVE_RUN,
    )
