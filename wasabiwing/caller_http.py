"""HTTP interface of a node to its callers.

It reads the body of a request, looks up its route and organisation, checks
the usage cap, and hands the call to the forwarder. While the call is served,
it watches whether the caller disconnects.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Sequence
from dataclasses import replace
from random import Random

from anyio import create_task_group
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.answer_log import failure_document
from wasabiwing.asgi import Application
from wasabiwing.asgi import BodyProblem
from wasabiwing.asgi import JSON_TYPE
from wasabiwing.asgi import read_body
from wasabiwing.asgi import Receive
from wasabiwing.asgi import Scope
from wasabiwing.asgi import Send
from wasabiwing.asgi_answer import AsgiAnswer
from wasabiwing.call_forwarding import CallForwarder
from wasabiwing.cap_admission import CapAdmission
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import parse_whole_number
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_follower import FleetView
from wasabiwing.header_timeout import has_next_request
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.relay_peers import ATTEMPTS_LEFT
from wasabiwing.relay_peers import decline_reason
from wasabiwing.relay_peers import DECLINED
from wasabiwing.relay_peers import is_declined
from wasabiwing.relay_peers import RELAY_HEADERS
from wasabiwing.routed_calls import CallCodec
from wasabiwing.routed_calls import CallHead
from wasabiwing.routed_calls import RawHeaders
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.service_configuration import RequestLimits
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.service_configuration import ServiceRoute
from wasabiwing.service_configuration import WeightedService
from wasabiwing.stop_admission import StopAdmission
from wasabiwing.timers import TimerService

# Timeout in seconds of a request where neither caller nor route sets one.
DEFAULT_TIMEOUT_S = 30.0

# Seconds after which a caller may retry at a node that has no configuration
# yet.
STARTUP_RETRY_S = 0.5

# Bytes of colon, space and line end in a header line.
HEADER_SEPARATOR_BYTES = 4

STATUS_BY_CODE = {
    ResultCode.CONFIGURATION_MISSING: 503,
    ResultCode.MALFORMED_REQUEST: 400,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.UNKNOWN_ORGANISATION: 401,
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.HEADERS_TOO_LARGE: 431,
    ResultCode.OVERLOADED: 429,
    ResultCode.NODE_LEAVING: 503,
}


class CallerOutput:
    """The answer to one caller, as ASGI messages."""

    def __init__(
        self,
        scope: Scope,
        send: Send,
        closes: Callable[[], bool],
        relayed: bool = False,
    ) -> None:
        self._answer = AsgiAnswer(scope, send)
        # Whether the request comes from another node.
        self._relayed = relayed
        # Whether the caller is told to close its connection afterwards.
        self._closes = closes

    @property
    def started(self) -> bool:
        """Whether the answer has begun."""
        return self._answer.started

    @property
    def states_end(self) -> bool:
        """Whether the caller can tell the end from a lost connection."""
        return self._answer.states_end

    async def start(
        self, status: int, headers: RawHeaders, states_end: bool = True
    ) -> None:
        """Sends status and headers."""
        sent = [(name.lower(), value) for name, value in headers]
        if self._closes():
            sent.append((b"connection", b"close"))
        await self._answer.start(status, tuple(sent), states_end)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._answer.write(data)

    async def finish(self) -> None:
        """Ends the body."""
        await self._answer.finish()

    async def refuse(
        self, status: int, failure: Failure, retry_after_s: float | None
    ) -> None:
        """Sends an error document of this node as the whole answer."""
        body = encode(failure_document(failure))
        headers = [
            (b"content-type", JSON_TYPE.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        if retry_after_s is not None:
            value = f"{retry_after_s:.2f}".encode()
            headers.append((b"retry-after", value))
        if self._relayed and is_declined(failure):
            headers.append((DECLINED, failure.code.name.encode()))
        await self.start(status, tuple(headers))
        await self.write(body)
        await self.finish()


class CallerHttp:
    """Serves callers of one node."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        view: FleetView,
        codec: CallCodec,
        caps: CapAdmission,
        forwarder: CallForwarder,
        stop_admission: StopAdmission,
        metrics: GatewayMetrics,
        random: Random,
        node_hosts: Callable[[], Container[str]],
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._view = view
        self._codec = codec
        self._caps = caps
        self._forwarder = forwarder
        self._stop_admission = stop_admission
        self._metrics = metrics
        self._random = random
        # Returns the hosts of the other nodes.
        self._node_hosts = node_hosts
        self.running_request_count = 0
        # Number of those that other nodes have relayed.
        self._relayed_count = 0

    def relay_application(self) -> Application:
        """Returns the ASGI application for requests of other nodes."""

        async def application(
            scope: Scope, receive: Receive, send: Send
        ) -> None:
            if scope["type"] != "http":
                return
            self.running_request_count += 1
            self._relayed_count += 1
            try:
                await self._serve(scope, receive, send, relayed=True)
            finally:
                self.running_request_count -= 1
                self._relayed_count -= 1

        return application

    def application(self) -> Application:
        """Returns the ASGI application for callers."""

        async def application(
            scope: Scope, receive: Receive, send: Send
        ) -> None:
            if scope["type"] != "http":
                return
            self.running_request_count += 1
            try:
                await self._serve(scope, receive, send)
            finally:
                self.running_request_count -= 1

        return application

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        relayed: bool = False,
    ) -> None:
        received_at = self._timer.now()
        output = CallerOutput(
            scope, send, lambda: self._closes_after(scope), relayed
        )
        configuration = self._view.configuration
        limits = RequestLimits()
        if configuration is not None:
            limits = configuration.limits
        if _header_bytes(scope["headers"]) > limits.max_header_bytes:
            # The body is not read, so the connection cannot be used again.
            output = CallerOutput(scope, send, lambda: True)
            await self._refuse(output, Failure(ResultCode.HEADERS_TOO_LARGE))
            return
        body = await read_body(receive, limits.max_body_bytes)
        if body is BodyProblem.CALLER_LEFT:
            return
        if body is BodyProblem.TOO_LARGE:
            failure = Failure(ResultCode.REQUEST_TOO_LARGE)
            await self._refuse(output, failure)
            return
        if relayed:
            refusal = self._relay_refusal(scope)
            if refusal is not None:
                await self._refuse(output, refusal)
                return
        parsed = self._build_call(scope, body, received_at, relayed)
        if isinstance(parsed, Err):
            await self._refuse(output, parsed.err_value)
            return
        call = parsed.ok_value
        if not relayed:
            # The node that relays a request has charged the usage cap.
            refusal = await self._charge_cap(call)
            if refusal is not None:
                await self._refuse(output, refusal)
                return
        answered = False
        async with create_task_group() as tasks:

            async def cancel_when_caller_leaves() -> None:
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        break
                if not answered:
                    log_event(
                        Event.CALLER_LEFT,
                        self._node_id,
                        request=call.head.attempt_id,
                        after_s=round(self._timer.now() - received_at, 3),
                    )
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_when_caller_leaves)
            outcome = await self._forwarder.serve(call, output, relayed)
            answered = True
            tasks.cancel_scope.cancel()
            self._count(call.route.name, outcome)
            if not relayed:
                self._refund_cap(call, outcome)

    def _relay_refusal(self, scope: Scope) -> Failure | None:
        """Returns why this node does not carry a relayed request."""
        client = scope.get("client")
        if client is None or client[0] not in self._node_hosts():
            return Failure(ResultCode.UNKNOWN_ROUTE, "not a known node")
        reason = decline_reason(
            self._stop_admission.stopping,
            self._view.loaded,
            # This request is counted already.
            self._relayed_count - 1,
        )
        if reason:
            return Failure(ResultCode.NODE_LEAVING, reason)
        return None

    def _closes_after(self, scope: Scope) -> bool:
        """Whether the caller's connection is closed after this answer.

        A request that was read already is answered before.
        """
        return self._stop_admission.stopping and not has_next_request(scope)

    def _build_call(
        self, scope: Scope, body: bytes, received_at: float, relayed: bool
    ) -> Result[RoutedCall, Failure]:
        """Builds the call of a request that passes all checks."""
        configuration = self._view.configuration
        if configuration is None or not self._view.loaded:
            return Err(
                Failure(
                    ResultCode.CONFIGURATION_MISSING,
                    retry_after_s=STARTUP_RETRY_S,
                )
            )
        headers = tuple(scope["headers"])
        attempts_left = None
        if relayed:
            attempts_left = _attempts_left(headers)
            headers = tuple(
                (name, value)
                for name, value in headers
                if name not in RELAY_HEADERS
            )
        parsed = self._codec.read_call(headers)
        if isinstance(parsed, Err):
            return Err(Failure(ResultCode.MALFORMED_REQUEST, parsed.err_value))
        head = parsed.ok_value
        path = scope["raw_path"]
        route = configuration.find_route(head.host, path.decode("latin-1"))
        if route is None:
            return Err(Failure(ResultCode.UNKNOWN_ROUTE))
        if attempts_left is not None:
            attempts = min(attempts_left, route.max_attempts)
            route = replace(route, max_attempts=attempts)
        found = _find_organisation(configuration, route, head)
        if isinstance(found, Err):
            return found
        call = RoutedCall(
            head=head,
            method=scope["method"].encode(),
            target=_target(path, scope["query_string"]),
            body=body,
            route=route,
            service=_choose_service(route.targets, self._random),
            organisation=found.ok_value,
            received_at=received_at,
            deadline=received_at + _timeout_s(route, head),
        )
        return Ok(call)

    async def _charge_cap(self, call: RoutedCall) -> Failure | None:
        """Charges a call to its organisation's usage cap, or refuses it."""
        configuration = self._view.configuration
        if call.organisation is None or configuration is None:
            return None
        refusal = await self._caps.admit(
            call.organisation, call.total_tokens, configuration.version
        )
        if refusal is None:
            return None
        log_event(
            Event.REQUEST_REFUSED,
            self._node_id,
            request=call.head.attempt_id,
            route=call.route.name,
            organisation=call.organisation.name,
            code=ResultCode.OVERLOADED.name,
            detail="usage cap",
            run=RunState.NOT_RUN.value,
            retry_after_s=round(refusal.retry_after_s, 2),
            cost=refusal.cost,
            level=round(refusal.level),
            rate_per_s=call.organisation.rate_per_s,
        )
        return Failure(
            ResultCode.OVERLOADED,
            "the organisation's usage cap is reached",
            retry_after_s=refusal.retry_after_s,
        )

    def _refund_cap(self, call: RoutedCall, outcome: Failure) -> None:
        """Refunds the usage cap for a request that has not run."""
        not_run = outcome.run_state is RunState.NOT_RUN
        if call.organisation is not None and not_run:
            if outcome.code is not ResultCode.OK:
                age_s = self._timer.now() - call.received_at
                self._caps.refund(call.organisation, call.total_tokens, age_s)

    async def _refuse(self, output: CallerOutput, failure: Failure) -> None:
        self._count("", failure)
        status = STATUS_BY_CODE[failure.code]
        await output.refuse(status, failure, failure.retry_after_s)

    def _count(self, route: str, outcome: Failure) -> None:
        self._metrics.requests.labels(route, outcome.code.name).inc()


def _find_organisation(
    configuration: ServiceConfiguration, route: ServiceRoute, head: CallHead
) -> Result[OrganisationProfile | None, Failure]:
    """Returns the organisation that a request's API key belongs to.

    ``None`` stands for a request without organisation, on a public route or
    where the configuration has no organisations.
    """
    found = configuration.organisation_by_api_key.get(head.api_key)
    if found is None and configuration.organisations and not route.public:
        return Err(Failure(ResultCode.UNKNOWN_ORGANISATION))
    return Ok(found)


def _attempts_left(headers: RawHeaders) -> int | None:
    """Returns the attempts that a relayed request may still make."""
    for name, value in headers:
        if name == ATTEMPTS_LEFT:
            count = parse_whole_number(value.decode("latin-1"))
            return None if count is None else max(count, 1)
    return None


def _header_bytes(headers: RawHeaders) -> int:
    """Returns the size of headers as they were on the wire, in bytes."""
    return sum(
        len(name) + len(value) + HEADER_SEPARATOR_BYTES
        for name, value in headers
    )


def _target(path: bytes, query: bytes) -> bytes:
    return path + b"?" + query if query else path


def _timeout_s(route: ServiceRoute, head: CallHead) -> float:
    """Returns the shorter timeout of caller and route, in seconds."""
    limits = [
        limit
        for limit in (head.timeout_s, route.timeout_s)
        if limit is not None
    ]
    return min(limits, default=DEFAULT_TIMEOUT_S)


def _choose_service(targets: Sequence[WeightedService], random: Random) -> str:
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    return random.choices(targets, weights)[0].service
