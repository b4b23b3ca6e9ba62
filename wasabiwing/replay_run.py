"""Runs a trace as an open loop: requests are sent at their times in the trace.

A slow answer never delays a later request.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from anyio import create_task_group
from anyio import move_on_after
from result import Err

from wasabiwing.http_client import HttpClient
from wasabiwing.replay_balancer import LoadBalancer
from wasabiwing.replay_caller import ReplayCaller
from wasabiwing.replay_records import Ending
from wasabiwing.replay_records import EventRecord
from wasabiwing.replay_records import ReplayedRequest
from wasabiwing.replay_records import ReplayRecords
from wasabiwing.replay_records import ReplayTarget
from wasabiwing.timers import TimerService
from wasabiwing.trace_format import Trace
from wasabiwing.trace_format import TraceEvent
from wasabiwing.trace_format import TraceRequest

# More connections than any trace has requests in flight, so that the HTTP
# client's connection pool never delays a request.
MAX_CONNECTIONS = 100_000

# Time after the last line of the trace in which requests may still end, in
# seconds. Later they count as cut.
DRAIN_TIMEOUT_S = 60.0

PROGRESS_PERIOD_S = 1.0


@dataclass(slots=True)
class ReplayProgress:
    """Progress of a replay, for display on the terminal."""

    at_s: float = 0.0
    sent: int = 0
    total: int = 0
    records: list[ReplayedRequest] = field(default_factory=list)
    events: list[EventRecord] = field(default_factory=list)

    @property
    def in_flight(self) -> int:
        """Number of requests that were sent and have not ended."""
        return self.sent - len(self.records)


class Replay:
    """One run of a trace against a target system."""

    def __init__(
        self,
        trace: Trace,
        target: ReplayTarget,
        timer: TimerService,
        report: Callable[[ReplayProgress], None],
    ) -> None:
        self._trace = trace
        self._target = target
        self._timer = timer
        self._report = report
        self._client = HttpClient(MAX_CONNECTIONS)
        random = Random(trace.header.seed)
        self._balancer = LoadBalancer(target, self._client, timer, random)
        self._caller = ReplayCaller(
            trace, target, self._client, self._balancer, timer
        )
        self._started_at = 0.0
        self._sent_at_by_id: dict[str, float] = {}
        self.progress = ReplayProgress(total=len(trace.requests))

    async def run(self) -> ReplayRecords:
        """Runs the trace and returns all records of the run."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._balancer.run)
            tasks.start_soon(self._show_progress)
            self._started_at = self._timer.now()
            with move_on_after(self._trace.duration_s + DRAIN_TIMEOUT_S):
                await self._run_trace()
            tasks.cancel_scope.cancel()
        self._report(self.progress)
        await self._client.close()
        return ReplayRecords(
            (*self.progress.records, *self._unended_records()),
            tuple(self.progress.events),
            self._target.backend_records(self._started_at),
        )

    async def _run_trace(self) -> None:
        async with create_task_group() as tasks:
            for event in self._trace.events:
                tasks.start_soon(self._perform, event)
            for request in self._trace.requests:
                await self._wait_until(request.at_s)
                self._sent_at_by_id[request.id] = self._now_s()
                self.progress.sent += 1
                tasks.start_soon(self._send, request)

    async def _send(self, request: TraceRequest) -> None:
        record = await self._caller.send(request, self._started_at)
        self.progress.records.append(record)

    async def _perform(self, event: TraceEvent) -> None:
        await self._wait_until(event.at_s)
        started_s = self._now_s()
        performed = await self._target.perform(event)
        if isinstance(performed, Err):
            record = EventRecord(event, started_s, None, performed.err_value)
        else:
            record = EventRecord(event, started_s, self._now_s())
        self.progress.events.append(record)

    async def _wait_until(self, at_s: float) -> None:
        await self._timer.sleep(at_s - self._now_s())

    def _now_s(self) -> float:
        return self._timer.now() - self._started_at

    async def _show_progress(self) -> None:
        while True:
            self.progress.at_s = self._now_s()
            self._report(self.progress)
            await self._timer.sleep(PROGRESS_PERIOD_S)

    def _unended_records(self) -> list[ReplayedRequest]:
        """Returns records of requests that had not ended with the replay."""
        ended = {record.id for record in self.progress.records}
        crashing_texts = self._trace.crashing_texts
        return [
            ReplayedRequest(
                id=item.id,
                organisation=item.organisation,
                route=item.route,
                priority_class=item.priority_class,
                key=item.key,
                streamed=item.stream,
                crashing=any(text in item.text for text in crashing_texts),
                due_s=item.at_s,
                sent_s=self._sent_at_by_id[item.id],
                ended_s=self._now_s(),
                ending=Ending.CUT,
                detail="had not ended when the replay ended",
            )
            for item in self._trace.requests
            if item.id in self._sent_at_by_id and item.id not in ended
        ]
