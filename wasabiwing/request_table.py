"""The running and recently ended model requests of a gateway, by id."""

from collections.abc import Iterator
from contextlib import contextmanager

from anyio.abc import TaskGroup

from wasabiwing.answer_log import AnswerLog
from wasabiwing.calls import Call
from wasabiwing.model_dispatch import ModelDispatcher
from wasabiwing.running_request import Interrupt
from wasabiwing.running_request import RunningRequest
from wasabiwing.timers import TimerService

# Seconds for which a caller can resume reading an answer that has ended.
ANSWER_RETENTION_S = 60.0

# Period in seconds at which requests without a caller are looked for.
ABANDONED_CHECK_PERIOD_S = 0.25

# Reasons for ending an attempt after which another gateway runs the request.
TAKEN_OVER_REASONS = (Interrupt.YIELDED, Interrupt.DUPLICATE)


class RequestTable:
    """Runs model requests and keeps their answers for some time."""

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
        timer.subscribe(ABANDONED_CHECK_PERIOD_S, self._end_abandoned)

    def start(self, call: Call) -> RunningRequest:
        """Starts to run a new request."""
        request = RunningRequest(call, AnswerLog(call.request_id))
        self.add(request)
        return request

    def add(self, request: RunningRequest) -> None:
        """Adds a request, and runs it unless its answer has ended."""
        self._request_by_id[request.call.request_id] = request
        self._tasks.start_soon(self._run, request)

    def get(self, request_id: str) -> RunningRequest | None:
        """Returns the request with an id; ``None`` if it is not kept here."""
        return self._request_by_id.get(request_id)

    def running(self) -> tuple[RunningRequest, ...]:
        """Returns the requests whose answers have not ended."""
        return tuple(
            request
            for request in self._request_by_id.values()
            if not request.answer.ended
        )

    @contextmanager
    def track_reader(self, request: RunningRequest) -> Iterator[None]:
        """Counts a connection that reads a request's answer.

        The time at which the last connection ends is recorded in the request.
        """
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
        if request.pending_interrupt not in TAKEN_OVER_REASONS:
            await self._timer.sleep(ANSWER_RETENTION_S)
        request_id = request.call.request_id
        if self._request_by_id.get(request_id) is request:
            del self._request_by_id[request_id]

    async def _end_abandoned(self) -> None:
        left_before = self._timer.now() - self._caller_grace_s
        for request in self.running():
            if (
                request.last_reader_left_at is not None
                and request.last_reader_left_at <= left_before
            ):
                request.interrupt(Interrupt.ABANDONED)
