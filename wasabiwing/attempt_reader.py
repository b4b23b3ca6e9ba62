"""Sends attempts to model engines and reads replies into the answer log.

The model dispatcher runs the attempts and decides what follows each of them.
A reply that belongs to another attempt is dropped here.
"""

from collections.abc import Callable

from result import Err

from wasabiwing.answer_log import EventParser
from wasabiwing.answer_log import TERMINAL_PAYLOAD
from wasabiwing.attempts import attempt_body
from wasabiwing.attempts import is_reply_to_attempt
from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.cluster_view import ClusterView
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.ports import EngineRequest
from wasabiwing.ports import EngineStream
from wasabiwing.ports import ModelEngine
from wasabiwing.running_request import EnginePosition
from wasabiwing.running_request import RunningRequest
from wasabiwing.timers import TimerService

# Priority class of requests on a leaving entry VM, so that they end first.
RAISED_PRIORITY = 0


class AttemptReader:
    """Runs the attempts of one gateway at model engines."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        view: ClusterView,
        engine: ModelEngine,
        note_answer_began: Callable[[Call], None],
        note_heard: Callable[[str], None],
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._view = view
        self._engine = engine
        self._note_answer_began = note_answer_began
        # Called with the id of a server that sends a part of an answer.
        self._note_heard = note_heard

    async def run_attempt(
        self, request: RunningRequest, choice: ServerAssignment
    ) -> Failure | None:
        """Sends an attempt and reads its reply to the end.

        Returns the failure of the attempt, if any.
        """
        call = request.call
        remaining_s = max(call.deadline - self._timer.now(), 0.001)
        engine_request = EngineRequest(
            call.request_id,
            choice.attempt,
            call.path,
            attempt_body(call, request.answer),
            RAISED_PRIORITY
            if self._view.leaving
            else call.route.priority_class,
            int(remaining_s * 1000) + 1,
        )
        async with self._engine.open_stream(
            choice.server.address, engine_request
        ) as opened:
            if isinstance(opened, Err):
                return opened.err_value
            # A later failure to resume the stream does not tell that the
            # request has run.
            request.run_state = RunState.MAY_HAVE_RUN
            stream = opened.ok_value
            if not is_reply_to_attempt(
                stream, call.request_id, choice.attempt
            ):
                return self._drop_stale(request, stream)
            if stream.stream_id:
                request.engine_position = EnginePosition(
                    choice.server, stream.stream_id, request.answer.offset
                )
            return await self._copy_events(request, stream, choice.attempt)

    async def resume_attempt(
        self, request: RunningRequest, choice: ServerAssignment
    ) -> Failure | None:
        """Resumes the engine stream of an earlier attempt.

        Returns the failure of the resumed stream, if any.
        """
        position = request.engine_position
        assert position is not None
        log_event(
            Event.REQUEST_RESUMED,
            self._node_id,
            request=request.call.request_id,
            server=choice.server.id,
            by="engine stream",
            offset=request.answer.offset,
        )
        async with self._engine.resume_stream(
            position.server.address,
            position.stream_id,
            request.answer.offset - position.base_offset,
        ) as opened:
            if isinstance(opened, Err):
                return opened.err_value
            stream = opened.ok_value
            if stream.stream_id not in ("", position.stream_id):
                return self._drop_stale(request, stream)
            return await self._copy_events(request, stream, choice.attempt)

    def _drop_stale(
        self, request: RunningRequest, stream: EngineStream
    ) -> Failure:
        log_event(
            Event.STALE_REPLY_DROPPED,
            self._node_id,
            request=request.call.request_id,
            attempt=request.attempt,
            reply_request=stream.request_id,
            reply_attempt=stream.attempt,
        )
        return Failure(
            ResultCode.SERVER_ERROR,
            "the reply belongs to another attempt",
            RunState.MAY_HAVE_RUN,
        )

    async def _copy_events(
        self, request: RunningRequest, stream: EngineStream, attempt: int
    ) -> Failure | None:
        """Copies the events of an attempt into the answer log to its end."""
        answer = request.answer
        parser = EventParser()
        async for chunk in stream.chunks():
            if isinstance(chunk, Err):
                return chunk.err_value
            if request.server is not None:
                self._note_heard(request.server.id)
            payloads = parser.feed(chunk.ok_value)
            if parser.is_event_too_long:
                return Failure(
                    ResultCode.SERVER_CUT,
                    "an event without an end",
                    RunState.MAY_HAVE_RUN,
                )
            if payloads and request.attempt_began_at is None:
                request.attempt_began_at = self._timer.now()
                self._note_answer_began(request.call)
            if payloads and answer.first_event_at is None:
                answer.first_event_at = self._timer.now()
            ended = TERMINAL_PAYLOAD in payloads
            if ended:
                payloads = payloads[: payloads.index(TERMINAL_PAYLOAD)]
            if not answer.append(payloads, attempt):
                return self._drop_stale(request, stream)
            if ended:
                return None
        return Failure(
            ResultCode.STREAM_INCOMPLETE,
            "no terminal marker",
            RunState.MAY_HAVE_RUN,
        )
