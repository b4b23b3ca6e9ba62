"""Reads a backend server's answer and passes it on to the caller.

Plain answers are passed on once they are there as a whole, so that a broken
one can still be replaced; streams event by event, so that another server can
go on after the last whole event.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from anyio import CancelScope
from result import Err

from wasabiwing.attempt_watch import AttemptWatch
from wasabiwing.attempt_watch import WatchedAttempt
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.event_splitter import EventSplitter
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.routed_calls import AnswerHead
from wasabiwing.routed_calls import CallCodec
from wasabiwing.routed_calls import RawHeaders
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.server_connections import DEFAULT_IDLE_TIMEOUT_S
from wasabiwing.server_connections import ServerAnswer
from wasabiwing.server_loads import ServerLoads
from wasabiwing.server_selection import SelectedServer
from wasabiwing.service_configuration import RouteKind
from wasabiwing.statement_listener import StatementListener
from wasabiwing.timers import TimerService
from wasabiwing.usage_windows import UsageWindows

SERVER_ERROR_FROM = 500
SUCCESS = range(200, 300)


class AnswerOutput(Protocol):
    """Where the answer to a caller goes."""

    started: bool

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Sends status and headers."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Ends the body."""

    async def refuse(
        self, status: int, failure: Failure, retry_after_s: float | None
    ) -> None:
        """Sends a whole answer of this node's own."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A failure of a server that is passed on if no retry succeeds."""

    status: int
    headers: RawHeaders
    body: bytes


@dataclass(slots=True)
class CallProgress:
    """How far a request has come."""

    event_splitter: EventSplitter
    tried_server_ids: set[str] = field(default_factory=set)
    # Attempts that may have run, and those that have not.
    possible_runs: int = 0
    refused_attempts: int = 0
    fallback_answer: WholeAnswer | None = None
    last_failure: Failure | None = None
    usage_counted: bool = False


class AnswerRelay:
    """Passes the answers of one node on."""

    def __init__(
        self,
        timer: TimerService,
        codec: CallCodec,
        loads: ServerLoads,
        watch: AttemptWatch,
        rates: PrefillRates,
        windows: UsageWindows,
        metrics: GatewayMetrics,
        note_cold: Callable[[str, float], None],
        listener: StatementListener,
    ) -> None:
        self._timer = timer
        self._codec = codec
        self._loads = loads
        self._watch = watch
        self._rates = rates
        self._windows = windows
        self._metrics = metrics
        self._note_cold = note_cold
        self._listener = listener

    async def relay_answer(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        answer: ServerAnswer,
        progress: CallProgress,
        output: AnswerOutput,
        watched: WatchedAttempt,
    ) -> Failure | None:
        """Reads an answer and passes it on; closes it in any case."""
        head = self._codec.read_answer(answer.status, answer.headers)
        server_id = placed.server.id
        self._loads.note_heard(server_id)
        if head.load is not None:
            self._loads.note_statement(server_id, head.load)
        if head.cold_s is not None:
            self._note_cold(server_id, head.cold_s)
        self._listener.note_answer(call, placed.server, answer.status, head)
        whole = False
        try:
            wrong = _check_head(call, answer.status, head)
            if wrong is not None:
                if wrong.run_state is RunState.NOT_RUN:
                    whole = not isinstance(await answer.read(), Err)
                return wrong
            is_stream = call.route.kind is RouteKind.STREAM
            if is_stream and answer.status in SUCCESS:
                failure = await self._relay_stream(
                    call, placed, answer, head, progress, output, watched
                )
            else:
                self._watch.note_started(watched)
                failure = await self._relay_whole(
                    call, answer, head, progress, output
                )
            whole = failure is None or failure.run_state is RunState.RAN
            return failure
        finally:
            with CancelScope(shield=True):
                await answer.close(_reusable_s(head) if whole else None)

    async def _relay_whole(
        self,
        call: RoutedCall,
        answer: ServerAnswer,
        head: AnswerHead,
        progress: CallProgress,
        output: AnswerOutput,
    ) -> Failure | None:
        """Passes a plain answer on once it is there as a whole."""
        body = await answer.read()
        if isinstance(body, Err):
            return body.err_value
        self._count_run(call, progress)
        kept = WholeAnswer(
            answer.status, head.forwarded_headers, body.ok_value
        )
        if output.started:
            return Failure(
                ResultCode.STREAM_INCOMPLETE,
                f"status {answer.status} on resume",
                RunState.RAN,
            )
        if answer.status >= SERVER_ERROR_FROM and call.route.repeatable:
            progress.fallback_answer = kept
            return Failure(
                ResultCode.SERVER_ERROR,
                f"status {answer.status}",
                RunState.RAN,
            )
        await send_whole(output, kept)
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
        """Passes events on as they arrive."""
        cutter = progress.event_splitter
        first = True
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
            # Only events are a sign of life: a stalled server may send a
            # byte now and then.
            watched.heard_at = self._timer.now()
            self._loads.note_heard(placed.server.id)
            if first:
                first = False
                self._note_first_event(call, placed, progress, watched)
            if not output.started:
                await output.start(answer.status, head.forwarded_headers)
            await output.write(events)
        if not output.started:
            await output.start(answer.status, head.forwarded_headers)
        if cutter.incomplete_event():
            await output.write(cutter.incomplete_event())
        await output.finish()
        return None

    def _note_first_event(
        self,
        call: RoutedCall,
        placed: SelectedServer,
        progress: CallProgress,
        watched: WatchedAttempt,
    ) -> None:
        self._loads.note_first_event(placed.server.id, call.head.attempt_id)
        self._watch.note_started(watched)
        self._count_run(call, progress)
        took_s = self._timer.now() - watched.sent_at
        computed = round(placed.queued_tokens) + placed.uncached_tokens
        self._rates.observe(call.service, computed, took_s)
        self._metrics.first_token.labels(call.route.name).observe(
            self._timer.now() - call.received_at
        )

    def _count_run(self, call: RoutedCall, progress: CallProgress) -> None:
        """Counts the request for the usage report, once."""
        if not progress.usage_counted:
            progress.usage_counted = True
            self._windows.count_request(call.organisation_name)


async def send_whole(output: AnswerOutput, kept: WholeAnswer) -> None:
    """Passes on an answer that is there as a whole."""
    await output.start(kept.status, kept.headers)
    await output.write(kept.body)
    await output.finish()


def _check_head(
    call: RoutedCall, status: int, head: AnswerHead
) -> Failure | None:
    """Returns what is wrong with an answer before its body is read."""
    if head.attempt_id and head.attempt_id != call.head.attempt_id:
        return Failure(
            ResultCode.SERVER_CUT,
            f"answer of request {head.attempt_id}",
            RunState.MAY_HAVE_RUN,
        )
    if head.not_run:
        return Failure(ResultCode.SERVER_REFUSED, f"status {status}")
    if status in SUCCESS and not (head.stamped and head.attempt_id):
        return Failure(
            ResultCode.SERVER_ERROR,
            "success without proof of origin",
            RunState.MAY_HAVE_RUN,
        )
    return None


def _reusable_s(head: AnswerHead) -> float | None:
    if head.closes_connection:
        return None
    return (
        DEFAULT_IDLE_TIMEOUT_S
        if head.keep_alive_s is None
        else head.keep_alive_s
    )
