"""HTTP routes of a gateway for callers and the load balancer."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import contextmanager
from random import Random

from anyio import CancelScope
from anyio import create_task_group
from anyio import Event
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from result import Err
from result import Ok
from result import Result

from wasabiwing.answer_log import AnswerLog
from wasabiwing.answer_log import assemble_answer
from wasabiwing.answer_log import error_event
from wasabiwing.answer_log import failure_document
from wasabiwing.asgi import Application
from wasabiwing.asgi import build_application
from wasabiwing.asgi import EVENT_STREAM_TYPE
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import JSON_TYPE
from wasabiwing.asgi import Responder
from wasabiwing.calls import Call
from wasabiwing.claim_client import ClaimClient
from wasabiwing.claim_client import result_from_reply
from wasabiwing.claim_records import partition_of_request
from wasabiwing.cluster_view import ClusterView
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import PoolKind
from wasabiwing.decisions import DecisionLog
from wasabiwing.decoding import parse_whole_number
from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.gateway_credits import GatewayCredits
from wasabiwing.gateway_relay import DECLINED_HEADER
from wasabiwing.gateway_relay import GatewayRelay
from wasabiwing.gateway_relay import is_relayed
from wasabiwing.gateway_relay import RelayDecisions
from wasabiwing.gateway_relay import Relayed
from wasabiwing.header_timeout import has_next_request
from wasabiwing.http_client import find_header
from wasabiwing.job_client import JobClient
from wasabiwing.job_client import wants_job
from wasabiwing.job_records import JobState
from wasabiwing.messages import ClaimState
from wasabiwing.messages import JobReply
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.plain_dispatch import PlainDispatcher
from wasabiwing.ports import HttpReply
from wasabiwing.relay_peers import decline_reason
from wasabiwing.request_forwarding import RequestForwarder
from wasabiwing.request_parsing import bearer_token
from wasabiwing.request_parsing import parse_request
from wasabiwing.request_table import RequestTable
from wasabiwing.run_durations import RunEnd
from wasabiwing.running_request import RunningRequest
from wasabiwing.stop_admission import StopAdmission
from wasabiwing.timers import TimerService

STATUS_BY_CODE: Mapping[ResultCode, int] = {
    ResultCode.MALFORMED_REQUEST: 400,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.UNKNOWN_ORGANISATION: 401,
    ResultCode.ORGANISATION_NOT_ALLOWED: 403,
    ResultCode.MISSING_IDEMPOTENCY_KEY: 400,
    ResultCode.IDEMPOTENCY_KEY_REUSED: 422,
    ResultCode.UNKNOWN_REQUEST: 404,
    ResultCode.QUARANTINED: 422,
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.OVERLOADED: 429,
    ResultCode.ATTEMPT_FAILED: 502,
    ResultCode.STREAM_INCOMPLETE: 502,
    ResultCode.SERVER_ERROR: 502,
    ResultCode.SERVER_REJECTED: 502,
    ResultCode.SERVER_CUT: 502,
    ResultCode.SERVER_TIMEOUT: 504,
    ResultCode.OUTCOME_UNKNOWN: 504,
    # The request has run, so a retry gets no other answer.
    ResultCode.ANSWER_NOT_STORED: 410,
}

# Status of all other failures; a retry may succeed.
DEFAULT_ERROR_STATUS = 503

# Seconds after which a caller may return that a gateway on a reclaimed VM
# refuses. The load balancer may still send it there before.
LEAVING_RETRY_S = 1.0

# Kind under which the duration of job submissions is tracked.
JOB_SUBMISSION = "job submission"

# Model requests that are named in the log before the kill.
MAX_LOGGED_REQUESTS = 32

DEFAULT_MAX_BODY_BYTES = 1_000_000


class GatewayHttp:
    """Serves callers of one gateway."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        view: ClusterView,
        requests: RequestTable,
        forwarder: RequestForwarder,
        services: PlainDispatcher,
        metrics: GatewayMetrics,
        random: Random,
        decisions: DecisionLog,
        claims: ClaimClient,
        credits: GatewayCredits,
        jobs: JobClient,
        stop_admission: StopAdmission,
        has_holder: Callable[[str], bool],
        relay: GatewayRelay,
        relay_decisions: RelayDecisions,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._view = view
        self._requests = requests
        self._forwarder = forwarder
        self._services = services
        self._metrics = metrics
        self._random = random
        self._decisions = decisions
        self._claims = claims
        self._credits = credits
        self._jobs = jobs
        self._stop_admission = stop_admission
        # Whether a peer gateway can continue a model request.
        self._has_holder = has_holder
        self._relay = relay
        self._relay_decisions = relay_decisions
        # Number of requests that other gateways relay here.
        self._relayed_count = 0
        self._service_call_scopes: set[CancelScope] = set()
        # Set when the VM is reclaimed and peer gateways hold the records that
        # they need to continue its requests.
        self._requests_moved = Event()

    def application(self) -> Application:
        """Returns the ASGI application."""
        routes = (
            HttpRoute("GET", "/healthz", self._health),
            HttpRoute("GET", "/metrics", self._metrics_page),
            HttpRoute("GET", "/v1/requests/{id}", self._request_status),
            HttpRoute("GET", "/v1/explain/{id}", self._explain),
            HttpRoute("GET", "/v1/jobs/{id}", self._job_status),
        )
        return build_application(
            routes,
            self._handle_call,
            self._max_body_bytes,
            self._node_id,
            lambda scope: self._view.leaving and not has_next_request(scope),
        )

    def redirect_callers(self) -> None:
        """Redirects callers of model requests whose answers are not begun."""
        self._requests_moved.set()

    def end_unanswered(self) -> None:
        """Ends the requests whose answers have not begun.

        Called shortly before the process is killed. Callers of model requests
        are redirected to a peer that can continue them, others get a failure.
        """
        log_event(
            LogEvent.STOP_UNFINISHED,
            self._node_id,
            time_left_s=round(self._stop_admission.time_left_s, 3),
            requests=[
                request.call.request_id
                for request in self._requests.running()[:MAX_LOGGED_REQUESTS]
            ],
            service_calls=len(self._service_call_scopes),
        )
        self._requests_moved.set()
        for scope in tuple(self._service_call_scopes):
            scope.cancel()

    @property
    def running_request_count(self) -> int:
        """Number of requests without a whole answer."""
        return len(self._requests.running()) + len(self._service_call_scopes)

    def _max_body_bytes(self) -> int:
        index = self._view.index
        if index is None:
            return DEFAULT_MAX_BODY_BYTES
        return index.configuration.max_body_bytes

    async def _health(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        refusal = self._find_refusal()
        if refusal is None:
            await responder.send_json(
                200,
                {
                    "status": "ok",
                    "generation": self._view.generation,
                    "gateways": self._forwarder.live_gateway_count,
                },
            )
        else:
            await responder.send_json(503, failure_document(refusal))

    async def _metrics_page(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        self._metrics.generation.set(self._view.generation)
        await responder.send_whole(
            200,
            generate_latest(self._metrics.registry),
            CONTENT_TYPE_LATEST,
        )

    async def _explain(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        request_id = request.path_parameters["id"]
        await responder.send_json(
            200, {"records": self._decisions.records_of_request(request_id)}
        )

    async def _handle_call(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        # Others can send the header as well, but gain nothing by it.
        relayed = (
            is_relayed(request.headers)
            and request.client_host in self._forwarder.gateway_hosts
        )
        self._relayed_count += relayed
        try:
            await self._admit_call(request, responder, relayed)
        finally:
            self._relayed_count -= relayed

    async def _admit_call(
        self, request: HttpRequest, responder: Responder, relayed: bool
    ) -> None:
        refusal = self._find_refusal()
        if relayed:
            reason = decline_reason(
                self._stop_admission.stopping,
                self._view.index is not None,
                # This request is counted already.
                self._relayed_count - 1,
            )
            if reason or refusal is not None:
                await self._decline(reason or str(refusal), responder)
                return
        if refusal is not None and not self._still_serves(refusal):
            await self._refuse(request.path, refusal, responder)
            return
        parsed = parse_request(
            request,
            self._view,
            self._node_id,
            self._random,
            self._timer.now(),
        )
        if isinstance(parsed, Err):
            await self._refuse(request.path, parsed.err_value, responder)
            return
        call = parsed.ok_value
        if relayed and self._relay_decisions.is_cut_off_from(call.pool):
            await self._decline("reaches no server", responder)
            return
        if self._stop_admission.stopping:
            log_event(
                LogEvent.REQUEST_TAKEN_STOPPING,
                self._node_id,
                request=call.request_id,
                route=call.route.id,
                stopped_for_s=round(self._stop_admission.stopped_for_s, 3),
                time_left_s=round(self._stop_admission.time_left_s, 3),
            )
        if call.pool.kind is PoolKind.MODEL and wants_job(request, call):
            await self._submit_job(call, responder)
        else:
            await self._serve_call(request, call, responder)

    async def _serve_call(
        self, request: HttpRequest, call: Call, responder: Responder
    ) -> None:
        """Serves a call here, or by another gateway if servers are cut off.

        A call that no other gateway takes, and that has not run, is tried here
        again; the others are not asked again for a while.
        """
        handle = self._handle_service_call
        if call.pool.kind is PoolKind.MODEL:
            handle = self._handle_model_call
        decisions = self._relay_decisions
        may_relay = not is_relayed(request.headers)
        failure: Failure | None = None
        while True:
            if may_relay and decisions.leaves_to_peers(call.pool):
                if await self._relay_call(
                    request, call, RunState.NOT_RUN, responder
                ):
                    return
            failure = await handle(call, responder)
            if failure is None:
                return
            if not may_relay or not decisions.may_follow(call, failure):
                break
            if await self._relay_call(
                request, call, failure.run_state, responder
            ):
                return
            if failure.run_state is not RunState.NOT_RUN:
                break
        await self._send_failure(call.request_id, failure, responder)

    async def _relay_call(
        self,
        request: HttpRequest,
        call: Call,
        earlier: RunState,
        responder: Responder,
    ) -> bool:
        """Has another gateway carry a call; returns whether one took it.

        ``earlier`` says whether the call may have run here.
        """
        if self._stop_admission.refusal(
            call.route.id, call.received_at, call.deadline, call.max_tokens
        ):
            return False
        relayed = Relayed(True, _leaving_failure(RunState.MAY_HAVE_RUN))
        durations = self._stop_admission.durations
        with (
            durations.track(call.route.id, call.max_tokens) as tracked,
            self._ended_at_stop(),
        ):
            async with create_task_group() as tasks:

                async def cancel_on_disconnect() -> None:
                    await responder.wait_disconnected()
                    tasks.cancel_scope.cancel()

                if call.pool.kind is PoolKind.MODEL:
                    tasks.start_soon(cancel_on_disconnect)
                relayed = await self._relay.relay(
                    request, call, earlier, responder
                )
                tasks.cancel_scope.cancel()
            if not relayed.taken:
                tracked.end = RunEnd.NOT_RUN
            elif relayed.failure is None:
                tracked.end = RunEnd.ENDED
        if relayed.failure is not None and not responder.started:
            await self._send_failure("", relayed.failure, responder)
        return relayed.taken

    async def _decline(self, reason: str, responder: Responder) -> None:
        """Tells another gateway that this one does not carry a request."""
        failure = Failure(ResultCode.NO_BACKEND_SERVER, reason)
        await responder.send_json(
            DEFAULT_ERROR_STATUS,
            failure_document(failure),
            {
                "X-Run-State": failure.run_state.value,
                DECLINED_HEADER: reason,
            },
        )

    async def _submit_job(self, call: Call, responder: Responder) -> None:
        refusal = self._stop_admission.refusal(
            JOB_SUBMISSION, call.received_at, call.deadline, None
        )
        if refusal is not None:
            await self._refuse(call.path, refusal, responder)
            return
        submitted: Result[JobReply, Failure] = Err(
            _leaving_failure(RunState.MAY_HAVE_RUN)
        )
        durations = self._stop_admission.durations
        with (
            durations.track(JOB_SUBMISSION, None) as tracked,
            self._ended_at_stop(),
        ):
            submitted = await self._jobs.submit(call)
            tracked.end = RunEnd.ENDED
        if isinstance(submitted, Err):
            await self._refuse(call.path, submitted.err_value, responder)
            return
        await _send_accepted(submitted.ok_value.job_id, responder)

    async def _job_status(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Answers with the result of a job, through any gateway."""
        organisation = self._view.organisation(bearer_token(request))
        if organisation is None:
            failure = Failure(
                ResultCode.UNKNOWN_ORGANISATION, "", RunState.MAY_HAVE_RUN
            )
            await self._send_failure("", failure, responder)
            return
        job_id = request.path_parameters["id"]
        found = await self._jobs.status(job_id, organisation.id)
        if isinstance(found, Err):
            await self._send_failure("", found.err_value, responder)
        elif found.ok_value.state == JobState.PENDING:
            await _send_accepted(job_id, responder)
        else:
            await responder.send_whole(200, found.ok_value.body, JSON_TYPE)

    def _find_refusal(self) -> Failure | None:
        """Returns why this gateway accepts no requests, or ``None``."""
        if self._view.index is None:
            return Failure(ResultCode.CONFIGURATION_MISSING)
        if not self._view.connected:
            return Failure(ResultCode.NODE_ISOLATED)
        if self._credits.controller_lost:
            return self._credits.controller_lost_failure()
        if self._view.leaving:
            return Failure(
                ResultCode.NODE_LEAVING, retry_after_s=LEAVING_RETRY_S
            )
        return None

    def _still_serves(self, refusal: Failure) -> bool:
        """Whether new requests are decided on one by one in spite of a stop.

        When the VM is reclaimed, they are refused at once, because the time
        of the kill is not this process's own.
        """
        return (
            refusal.code is ResultCode.NODE_LEAVING
            and self._stop_admission.stopping
            and not self._requests_moved.is_set()
        )

    async def _handle_model_call(
        self, call: Call, responder: Responder
    ) -> Failure | None:
        """Runs a model request here and sends its answer.

        Returns the failure of a request without any event, which is not sent.
        """
        request = self._requests.start(call)
        failure: Failure | None = None
        async with create_task_group() as tasks:

            async def cancel_when_moved() -> None:
                await self._requests_moved.wait()
                if not responder.started:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_when_moved)
            failure = await self._send_answer(
                request, 0, responder, returns_failure=True
            )
            tasks.cancel_scope.cancel()
        if not self._requests_moved.is_set() or responder.started:
            return failure
        if self._stop_admission.stopping and not self._has_holder(
            call.request_id
        ):
            failure = _leaving_failure(
                request.run_state
                if request.server is None
                else RunState.MAY_HAVE_RUN
            )
            return failure
        await self._redirect(call.request_id, responder)
        return None

    async def _redirect(self, request_id: str, responder: Responder) -> None:
        """Redirects a caller to the URL of its request.

        Any gateway answers there, also after this one has stopped.
        """
        await responder.send_json(
            303,
            {"request": request_id},
            {
                "Location": f"/v1/requests/{request_id}",
                "X-Request-Id": request_id,
            },
        )

    async def _send_answer(
        self,
        request: RunningRequest,
        after: int,
        responder: Responder,
        returns_failure: bool = False,
    ) -> Failure | None:
        """Sends the answer until it ends or the caller disconnects.

        With ``returns_failure``, the failure of an answer without any event
        is returned and not sent.
        """
        failure: Failure | None = None
        async with create_task_group() as tasks:

            async def cancel_on_disconnect() -> None:
                await responder.wait_disconnected()
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_disconnect)
            with self._requests.track_reader(request):
                answer = request.answer
                if request.call.streamed:
                    await answer.wait_started()
                else:
                    await answer.wait_ended()
                if returns_failure and answer.offset == 0:
                    failure = answer.failure
                if failure is None and request.call.streamed:
                    await self._send_stream(answer, after, responder)
                elif failure is None:
                    await self._send_whole_answer(request, responder)
            tasks.cancel_scope.cancel()
        return failure

    async def _send_stream(
        self, answer: AnswerLog, after: int, responder: Responder
    ) -> None:
        await answer.wait_started()
        if answer.failure is not None and answer.offset == 0:
            await self._send_failure(
                answer.request_id, answer.failure, responder
            )
            return
        await responder.start(
            200,
            EVENT_STREAM_TYPE,
            {
                "X-Request-Id": answer.request_id,
                "Cache-Control": "no-store",
            },
        )
        async for block in answer.follow(after):
            await responder.write(block)
        if answer.failure is not None:
            if answer.failure.code is ResultCode.NODE_LEAVING:
                # Another gateway continues the answer. Returning without an
                # end closes the connection, and the caller resumes at that
                # gateway.
                return
            await responder.write(error_event(answer.failure))
        await responder.finish()

    async def _send_whole_answer(
        self, request: RunningRequest, responder: Responder
    ) -> None:
        call = request.call
        assembled = assemble_answer(request.answer, call.path)
        if isinstance(assembled, Ok):
            await responder.send_whole(
                200,
                assembled.ok_value,
                JSON_TYPE,
                {"X-Request-Id": call.request_id},
            )
        else:
            await self._send_failure(
                call.request_id, assembled.err_value, responder
            )

    async def _handle_service_call(
        self, call: Call, responder: Responder
    ) -> Failure | None:
        """Runs a plain request here and sends its answer.

        Returns the failure of a request without an answer, which is not sent.
        """
        reply: Result[HttpReply, Failure] = Err(
            _leaving_failure(
                RunState.MAY_HAVE_RUN,
                "" if call.route.idempotent else call.request_id,
            )
        )
        with self._ended_at_stop():
            reply = await self._services.run(call)
        if isinstance(reply, Err):
            return reply.err_value
        await self._send_reply(call.request_id, reply, responder)
        return None

    @contextmanager
    def _ended_at_stop(self) -> Iterator[None]:
        """Counts a running call; its block is left before the kill."""
        with CancelScope() as scope:
            self._service_call_scopes.add(scope)
            try:
                yield
            finally:
                self._service_call_scopes.discard(scope)

    async def _send_reply(
        self,
        request_id: str,
        reply: Result[HttpReply, Failure],
        responder: Responder,
    ) -> None:
        if isinstance(reply, Err):
            await self._send_failure(request_id, reply.err_value, responder)
            return
        answer = reply.ok_value
        content_type = find_header(answer.headers, b"content-type")
        send = responder.send_whole
        if not answer.states_end:
            send = responder.send_unproved
        await send(
            answer.status,
            answer.body,
            content_type.decode("latin-1") if content_type else JSON_TYPE,
            {"X-Request-Id": request_id},
        )

    async def _claim_status(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Answers for a non-idempotent request from the claim journal."""
        request_id = request.path_parameters["id"]
        organisation = self._view.organisation(bearer_token(request))
        if organisation is None:
            failure = Failure(
                ResultCode.UNKNOWN_ORGANISATION, "", RunState.MAY_HAVE_RUN
            )
            await self._send_failure(request_id, failure, responder)
            return
        reply = await self._claims.status(request_id, organisation.id)
        if reply.state is ClaimState.RUNNING:
            await responder.send_json(
                202,
                {"request": request_id, "state": "running"},
                {"X-Request-Id": request_id},
            )
            return
        await self._send_reply(request_id, result_from_reply(reply), responder)

    async def _request_status(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        request_id = request.path_parameters["id"]
        if partition_of_request(request_id) is not None:
            await self._claim_status(request, responder)
            return
        known = self._requests.get(request_id)
        if known is None:
            known = await self._forwarder.find_or_forward(
                request, request_id, responder
            )
        if responder.started:
            return
        if known is None or not self._may_read(request, known):
            await self._send_failure(
                request_id,
                Failure(ResultCode.UNKNOWN_REQUEST, "", RunState.MAY_HAVE_RUN),
                responder,
            )
            return
        last_event_id = request.headers.get("last-event-id", "")
        after = parse_whole_number(last_event_id) or 0
        await self._send_answer(known, after, responder)

    def _may_read(self, request: HttpRequest, known: RunningRequest) -> bool:
        """Whether the caller's organisation is that of the request."""
        organisation = self._view.organisation(bearer_token(request))
        return (
            organisation is not None
            and organisation.id == known.call.organisation.id
        )

    async def _refuse(
        self, path: str, failure: Failure, responder: Responder
    ) -> None:
        self._metrics.requests.labels("", failure.code.name).inc()
        log_event(
            LogEvent.REQUEST_REFUSED,
            self._node_id,
            path=path,
            code=int(failure.code),
            run=failure.run_state.value,
        )
        await self._send_failure("", failure, responder)

    async def _send_failure(
        self, request_id: str, failure: Failure, responder: Responder
    ) -> None:
        headers = {"X-Run-State": failure.run_state.value}
        if request_id:
            headers["X-Request-Id"] = request_id
        if failure.retry_after_s is not None:
            headers["Retry-After"] = str(max(int(failure.retry_after_s), 1))
        await responder.send_json(
            STATUS_BY_CODE.get(failure.code, DEFAULT_ERROR_STATUS),
            failure_document(failure),
            headers,
        )


def _leaving_failure(
    run_state: RunState, status_request_id: str = ""
) -> Failure:
    """Returns the failure of a request that the stop of the process ends."""
    return Failure(
        ResultCode.NODE_LEAVING,
        "the request took too long",
        run_state,
        status_request_id=status_request_id,
    )


async def _send_accepted(job_id: str, responder: Responder) -> None:
    """Sends status 202 with the URL of a job's result."""
    await responder.send_json(
        202,
        {"job": job_id, "state": "pending"},
        {
            "Location": f"/v1/jobs/{job_id}",
            "Preference-Applied": "respond-async",
        },
    )
