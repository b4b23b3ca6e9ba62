"""Relays a backend server's answer to the caller.

A plain answer is read to its end before its first byte is sent, so that a
retry can still replace a broken one. A stream is relayed event by event, so
that another server can resume it after the last complete event.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Protocol

from anyio import CancelScope
from result import Err

from wasabiwing.answer_end import answer_framing
from wasabiwing.answer_end import BODYLESS_STATUSES
from wasabiwing.answer_end import EndJudge
from wasabiwing.answer_end import Framing
from wasabiwing.answer_end import is_whole_document
from wasabiwing.answer_end import SUCCESS_STATUSES
from wasabiwing.attempt_watch import AttemptWatch
from wasabiwing.attempt_watch import WatchedAttempt
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.event_splitter import EventSplitter
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.routed_calls import AnswerHead
from wasabiwing.routed_calls import CallCodec
from wasabiwing.routed_calls import RawHeaders
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.run_promises import unproved_promise
from wasabiwing.server_connections import DEFAULT_IDLE_TIMEOUT_S
from wasabiwing.server_connections import ServerAnswer
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_loads import ServerLoads
from wasabiwing.server_pace import ServerPace
from wasabiwing.server_selection import SelectedServer
from wasabiwing.service_configuration import RouteKind
from wasabiwing.statement_listener import StatementListener
from wasabiwing.timers import TimerService
from wasabiwing.usage_windows import UsageWindows

MIN_SERVER_ERROR_STATUS = 500
CONTENT_LENGTH = b"content-length"


class AnswerOutput(Protocol):
    """Sends the answer to one caller."""

    @property
    def started(self) -> bool:
        """Whether the answer has begun."""

    @property
    def states_end(self) -> bool:
        """Whether the caller can tell the end from a lost connection."""

    async def start(
        self, status: int, headers: RawHeaders, states_end: bool = True
    ) -> None:
        """Sends status and headers.

        ``states_end`` says whether the caller is told where the body ends.
        """

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Ends the body."""

    async def refuse(
        self, status: int, failure: Failure, retry_after_s: float | None
    ) -> None:
        """Sends an error document of this node as the whole answer."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer of a server that was read to its end."""

    status: int
    headers: RawHeaders
    body: bytes
    # Whether the server stated where the body ends.
    states_end: bool


@dataclass(slots=True)
class CallProgress:
    """State of one request over all its attempts."""

    event_splitter: EventSplitter
    # Monotonic time in seconds at which the whole request had been read.
    came_at: float = 0.0
    tried_server_ids: set[str] = field(default_factory=set)
    # Tried servers that were left only because they were silent.
    silent_server_ids: set[str] = field(default_factory=set)
    # Numbers of attempts that may have run, and of attempts that servers
    # refused before they ran.
    possible_runs: int = 0
    refused_attempts: int = 0
    fallback_answer: WholeAnswer | None = None
    # Monotonic time of the last event that the caller got, in seconds.
    last_event_at: float | None = None
    last_failure: Failure | None = None
    usage_counted: bool = False
    # Number of servers that accepted no connection, and whether another node
    # may still be asked to carry the request.
    failed_connects: int = 0
    may_relay: bool = False
    # Whether the attempt was ended so that another node gets the request.
    moves_to_node: bool = False
    # Whether another node has relayed the request to this one.
    relayed: bool = False


class AnswerRelay:
    """Relays answers of backend servers to the callers of one node."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        codec: CallCodec,
        loads: ServerLoads,
        watch: AttemptWatch,
        rates: PrefillRates,
        windows: UsageWindows,
        metrics: GatewayMetrics,
        note_cold: Callable[[str, float], None],
        note_answer_began: Callable[[RoutedCall], None],
        listener: StatementListener,
        end_judge: EndJudge[RegisteredServer],
        pace: ServerPace,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._codec = codec
        self._loads = loads
        self._watch = watch
        self._rates = rates
        self._windows = windows
        self._metrics = metrics
        self._note_cold = note_cold
        self._note_answer_began = note_answer_began
        self._listener = listener
        self._end_judge = end_judge
        self._pace = pace

    async def relay_answer(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        answer: ServerAnswer,
        progress: CallProgress,
        output: AnswerOutput,
        watched: WatchedAttempt,
    ) -> Failure | None:
        """Relays an answer to the caller and closes it in any case.

        Returns the attempt's failure, or ``None`` when the caller has the
        whole answer.
        """
        head = self._codec.read_answer(answer.status, answer.headers)
        server_id = placed.server.id
        self._loads.note_heard(server_id)
        if head.belongs_to(call):
            if head.load is not None:
                self._loads.note_statement(server_id, head.load)
            if head.cold_s is not None:
                self._note_cold(server_id, head.cold_s)
        self._listener.note_answer(
            call, placed.server, answer.status, head, watched.sent_at
        )
        read_to_end = False
        try:
            head_failure = _check_head(call, answer.status, head)
            if head_failure is not None:
                if head_failure.run_state is RunState.NOT_RUN:
                    read_to_end = not isinstance(await answer.read(), Err)
                return head_failure
            is_stream = call.route.kind is RouteKind.STREAM
            if is_stream and answer.status in SUCCESS_STATUSES:
                failure = await self._relay_stream(
                    call, placed, answer, head, progress, output, watched
                )
            else:
                self._watch.note_started(watched)
                failure = await self._relay_whole(
                    call, placed, answer, head, progress, output, watched
                )
            read_to_end = failure is None or (
                failure.run_state is RunState.RAN
                or failure.code is ResultCode.SERVER_ERROR
            )
            return failure
        finally:
            with CancelScope(shield=True):
                await answer.close(_reusable_s(head) if read_to_end else None)

    async def _relay_whole(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        answer: ServerAnswer,
        head: AnswerHead,
        progress: CallProgress,
        output: AnswerOutput,
        watched: WatchedAttempt,
    ) -> Failure | None:
        """Reads a plain answer to its end and sends it to the caller.

        A server error on a repeatable route is kept in ``progress`` instead,
        since a retry may succeed. A status that only seems to promise that
        the request has not run is a failure.
        """
        body = await answer.read()
        # The server has done its part.
        watched.held = True
        answer_s = self._timer.now() - watched.sent_at
        if isinstance(body, Err):
            return body.err_value
        framing = _framing(call, answer)
        self._note_end(
            call,
            placed,
            answer,
            framing,
            watched,
            body_bytes=len(body.ok_value),
        )
        failure = await self._end_judge.failure(
            placed.server,
            framing,
            # The status of a failure says enough without a body.
            bool(body.ok_value) or answer.status not in SUCCESS_STATUSES,
            call.deadline - self._timer.now(),
            took_request=answer.took_request,
            shows_end=partial(
                is_whole_document, answer.headers, body.ok_value
            ),
        )
        if failure is not None:
            return failure
        self._count_run(call, progress)
        false_promise = unproved_promise(
            answer.status, head.not_run, call.route.repeatable
        )
        if false_promise is not None:
            return false_promise
        whole_answer = WholeAnswer(
            answer.status,
            head.forwarded_headers,
            body.ok_value,
            framing is not Framing.CONNECTION,
        )
        if output.started:
            return Failure(
                ResultCode.STREAM_INCOMPLETE,
                f"status {answer.status} on resume",
                RunState.RAN,
            )
        if answer.status >= MIN_SERVER_ERROR_STATUS and call.route.repeatable:
            progress.fallback_answer = whole_answer
            return Failure(
                ResultCode.SERVER_ERROR,
                f"status {answer.status}",
                RunState.RAN,
            )
        if answer.status in SUCCESS_STATUSES:
            self._note_answer_began(call)
            if call.route.kind is not RouteKind.STREAM:
                self._note_prediction(call, placed, 0, answer_s)
        await send_whole(output, whole_answer)
        return None

    async def _relay_stream(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        answer: ServerAnswer,
        head: AnswerHead,
        progress: CallProgress,
        output: AnswerOutput,
        watched: WatchedAttempt,
    ) -> Failure | None:
        """Relays the events of a stream, each once it is complete."""
        cutter = progress.event_splitter
        # Another server may continue the stream with events of other lengths.
        headers = without_length(head.forwarded_headers)
        framing = _framing(call, answer)
        is_first_event = True
        events_before = cutter.event_count
        async for chunk in answer.chunks():
            if isinstance(chunk, Err):
                cutter.discard_incomplete_event()
                return chunk.err_value
            events = cutter.feed(chunk.ok_value)
            if cutter.is_event_too_long:
                cutter.discard_incomplete_event()
                return Failure(
                    ResultCode.SERVER_CUT,
                    "an event without an end",
                    RunState.MAY_HAVE_RUN,
                )
            if not events:
                continue
            # Only complete events count as activity: a stalled server may
            # still send single bytes.
            watched.heard_at = self._timer.now()
            self._loads.note_heard(placed.server.id)
            # Comments do not begin an answer.
            if is_first_event and cutter.event_count > events_before:
                is_first_event = False
                self._note_first_event(call, placed, progress, watched)
            progress.last_event_at = self._timer.now()
            with watched.writing(self._timer.now):
                if not output.started:
                    await output.start(
                        answer.status,
                        headers,
                        framing is not Framing.CONNECTION,
                    )
                await output.write(events)
        watched.held = True
        event_count = cutter.event_count - events_before
        self._note_end(
            call,
            placed,
            answer,
            framing,
            watched,
            events=event_count,
            incomplete_bytes=cutter.incomplete_bytes,
        )
        failure = await self._end_judge.failure(
            placed.server,
            framing,
            event_count > 0,
            call.deadline - self._timer.now(),
            cutter.is_inside_event,
            call.route.repeatable and bool(cutter.last_event_id),
            answer.took_request,
        )
        if failure is not None:
            cutter.discard_incomplete_event()
            return failure
        if framing is Framing.CONNECTION and output.states_end:
            # The end would be stated by a chunk that no server has sent. The
            # rest of the stream from another server may prove it.
            return Failure(
                ResultCode.STREAM_INCOMPLETE,
                "the end of a resumed stream is not proved",
                RunState.MAY_HAVE_RUN,
            )
        if not output.started:
            await output.start(answer.status, headers)
        await output.finish()
        return None

    def _note_end(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        answer: ServerAnswer,
        framing: Framing,
        watched: WatchedAttempt,
        **content: int,
    ) -> None:
        """Counts an answer's end; logs one that proves nothing."""
        self._metrics.answer_ends.labels(framing).inc()
        if framing is Framing.CONNECTION:
            log_event(
                Event.ANSWER_END_UNPROVED,
                self._node_id,
                request=call.head.attempt_id,
                route=call.route.name,
                server=placed.server.id,
                status=answer.status,
                duration_s=round(self._timer.now() - watched.sent_at, 3),
                **content,
            )

    def _note_first_event(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        progress: CallProgress,
        watched: WatchedAttempt,
    ) -> None:
        self._loads.note_first_event(placed.server.id, call.head.attempt_id)
        self._watch.note_started(watched)
        self._note_answer_began(call)
        self._count_run(call, progress)
        first_event_s = self._timer.now() - watched.sent_at
        computed_tokens = round(placed.queued_tokens) + placed.uncached_tokens
        if not call.late:
            # Late work also waits for requests that were sent after it.
            self._note_prediction(call, placed, computed_tokens, first_event_s)
            self._pace.note_first_event(
                placed.server.id,
                call.service,
                placed.choice.first_event_s,
                first_event_s,
            )
        self._metrics.first_token.labels(call.route.name).observe(
            self._timer.now() - call.received_at
        )

    def _note_prediction(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        computed_tokens: int,
        observed_s: float,
    ) -> None:
        """Compares the time until a first event or answer with the prediction.

        ``computed_tokens`` is 0 for a plain answer.
        """
        self._loads.speeds.note_first_event(
            placed.server.id,
            placed.choice.first_event_s,
            observed_s,
            placed.slowdown,
            call.service,
        )
        # The rate of a service is that of its servers at their usual speed.
        self._rates.observe(
            call.service, computed_tokens, observed_s / placed.stated_slowdown
        )

    def _count_run(self, call: RoutedCall, progress: CallProgress) -> None:
        """Counts the request for the usage report, once."""
        if not progress.usage_counted:
            progress.usage_counted = True
            self._windows.count_request(call.organisation_name)


def _framing(call: RoutedCall, answer: ServerAnswer) -> Framing:
    return answer_framing(
        call.method.decode("latin-1"), answer.status, answer.headers
    )


async def send_whole(output: AnswerOutput, whole_answer: WholeAnswer) -> None:
    """Sends an answer that was read to its end to the caller."""
    headers = whole_answer.headers
    if whole_answer.status in BODYLESS_STATUSES:
        # The HTTP server would wait for a body of the named length.
        headers = without_length(headers)
    await output.start(whole_answer.status, headers, whole_answer.states_end)
    await output.write(whole_answer.body)
    await output.finish()


def without_length(headers: RawHeaders) -> RawHeaders:
    """Returns the headers without the length of the body."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() != CONTENT_LENGTH
    )


def _check_head(
    call: RoutedCall, status: int, head: AnswerHead
) -> Failure | None:
    """Returns the failure that an answer's status and headers show."""
    if head.attempt_id and not head.belongs_to(call):
        return Failure(
            ResultCode.SERVER_CUT,
            f"answer of request {head.attempt_id}",
            RunState.MAY_HAVE_RUN,
        )
    if not head.belongs_to(call):
        return Failure(
            ResultCode.SERVER_ERROR,
            f"status {status} without a request's id",
            RunState.MAY_HAVE_RUN,
        )
    if head.not_run:
        return Failure(ResultCode.SERVER_REFUSED, f"status {status}")
    if status in SUCCESS_STATUSES and not head.stamped:
        return Failure(
            ResultCode.SERVER_ERROR,
            "success without proof of origin",
            RunState.MAY_HAVE_RUN,
        )
    return None


def _reusable_s(head: AnswerHead) -> float | None:
    """Returns for how many seconds a server keeps a connection open.

    ``None`` says that it closes the connection.
    """
    if head.closes_connection:
        return None
    return (
        DEFAULT_IDLE_TIMEOUT_S
        if head.keep_alive_s is None
        else head.keep_alive_s
    )
