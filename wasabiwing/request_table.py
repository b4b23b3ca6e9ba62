"""The model requests of a gateway by request id, running and ended."""

from collections.abc import Iterator
from contextlib import contextmanager

from anyio.abc import TaskGroup

from wasabiwing.calls import Call
from wasabiwing.model_dispatch import ModelDispatcher
from wasabiwing.running_request import Interrupt
from wasabiwing.running_request import RunningRequest
from wasabiwing.streams import AnswerLog
from wasabiwing.timers import TimerService

# Answers that ended stay available for resuming for this long, in seconds.
ANSWER_RETENTION_S = 60.0

# How often callers that left are looked for, in seconds.
LEFT_CHECK_PERIOD_S = 0.25

# Reasons after which another gateway answers for the request.
ELSEWHERE = (Interrupt.YIELDED, Interrupt.DUPLICATE)


class RequestTable:
    """Runs requests and keeps their answers for a while."""

    def __init__(
        self,
        timer: TimerService,
        models: ModelDispatcher,
        tasks: TaskGroup,
        caller_grace_s: float,
    ) -> None:
        self._timer = timer
        self._models = models
        self._tasks = tasks
        self._caller_grace_s = caller_grace_s
        self._request_by_id: dict[str, RunningRequest] = {}
        timer.subscribe(LEFT_CHECK_PERIOD_S, self._end_abandoned)

    def start(self, call: Call) -> RunningRequest:
        """Runs a new request."""
        request = RunningRequest(call, AnswerLog(call.request_id))
        self.add(request)
        return request

    def add(self, request: RunningRequest) -> None:
        """Runs a request, or keeps it when its answer has ended."""
        self._request_by_id[request.call.request_id] = request
        self._tasks.start_soon(self._run, request)

    def get(self, request_id: str) -> RunningRequest | None:
        """Returns a request whose answer can be read here."""
        return self._request_by_id.get(request_id)

    def running(self) -> tuple[RunningRequest, ...]:
        """Returns the requests without a whole answer."""
        return tuple(
            request
            for request in self._request_by_id.values()
            if not request.answer.ended
        )

    @contextmanager
    def track_reader(self, request: RunningRequest) -> Iterator[None]:
        """Counts a connection that waits for the answer."""
        request.reader_count += 1
        request.last_reader_left_at = None
        try:
            yield
        finally:
            request.reader_count -= 1
            if request.reader_count == 0:
                request.last_reader_left_at = self._timer.now()

    async def _run(self, request: RunningRequest) -> None:
        if not request.answer.ended:
            await self._models.run(request)
        if request.pending_interrupt not in ELSEWHERE:
            await self._timer.sleep(ANSWER_RETENTION_S)
        request_id = request.call.request_id
        if self._request_by_id.get(request_id) is request:
            del self._request_by_id[request_id]

    async def _end_abandoned(self) -> None:
        latest = self._timer.now() - self._caller_grace_s
        for request in self.running():
            if (
                request.last_reader_left_at is not None
                and request.last_reader_left_at <= latest
            ):
                request.interrupt(Interrupt.ABANDONED)
