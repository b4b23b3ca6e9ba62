"""Recent durations of requests, by kind, from which a run is estimated.

A duration is the time from a request's arrival to the end of its answer, in
this process, with all waits and retries. Requests that still run, and those
whose callers left, count with their age.
"""

from collections import deque
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from enum import auto
from enum import Enum
from math import exp2
from statistics import median

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.timers import TimerService

# Number of kinds of requests, and of durations for each, that are kept.
MAX_KINDS = 1024
MAX_DURATIONS = 64

# Number of durations below which runs of a kind count as unknown.
MIN_DURATIONS = 6

# Time in which the longest duration halves, in seconds. It outlasts the
# durations that are kept, because long runs may be rare.
LONGEST_HALF_LIFE_S = 120.0


class RunEnd(Enum):
    """What the end of a request tells about the durations of its kind."""

    # Nothing, because no server ran the request.
    NOT_RUN = auto()
    # The run took at least this long; it was broken off.
    ABANDONED = auto()
    ENDED = auto()


# Failures of runs that would have gone on: the server, the caller or this
# process broke them off.
BROKEN_OFF_CODES = (
    ResultCode.SERVER_CUT,
    ResultCode.STREAM_INCOMPLETE,
    ResultCode.CALLER_LEFT,
    ResultCode.NODE_LEAVING,
)


def end_of_run(failure: Failure | None) -> RunEnd:
    """Returns what the end of a request tells about durations.

    ``failure`` is that of the request; ``None`` if its answer was whole.
    """
    if failure is None or failure.code is ResultCode.OK:
        return RunEnd.ENDED
    if failure.run_state is RunState.NOT_RUN:
        return RunEnd.NOT_RUN
    if failure.code in BROKEN_OFF_CODES:
        return RunEnd.ABANDONED
    return RunEnd.ENDED


@dataclass(frozen=True, slots=True)
class RunEstimate:
    """How long a request probably takes, in seconds from its arrival."""

    typical_s: float
    longest_s: float
    # Number of ended runs that the estimate rests on.
    count: int


@dataclass(eq=False, slots=True)
class TrackedRun:
    """A request whose duration is being measured."""

    started_at: float
    # Largest number of tokens of the answer; 0 for plain requests.
    answer_tokens: int
    # Cancelled blocks leave it unchanged.
    end: RunEnd = RunEnd.ABANDONED


@dataclass(frozen=True, slots=True)
class _Duration:
    seconds: float
    answer_tokens: int
    at: float

    def scaled_s(self, answer_tokens: int) -> float:
        """Returns the duration for an answer of more tokens."""
        if self.answer_tokens <= 0:
            return self.seconds
        return self.seconds * max(answer_tokens / self.answer_tokens, 1.0)

    def decayed_s(self, now: float, answer_tokens: int) -> float:
        """Returns the duration, less the older it is."""
        half_lives = (now - self.at) / LONGEST_HALF_LIFE_S
        return self.scaled_s(answer_tokens) * exp2(-half_lives)


@dataclass(slots=True)
class _Kind:
    ended: deque[_Duration] = field(
        default_factory=lambda: deque(maxlen=MAX_DURATIONS)
    )
    longest: _Duration | None = None
    running: set[TrackedRun] = field(default_factory=set)

    def add(self, duration: _Duration, ended: bool) -> None:
        """Adds a duration, or that of a run that did not end."""
        if ended:
            self.ended.append(duration)
        longest = self.longest
        tokens = duration.answer_tokens
        if longest is None or duration.seconds >= longest.decayed_s(
            duration.at, tokens
        ):
            self.longest = duration


class RunDurations:
    """Durations of the requests of one gateway or node."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._by_kind: OrderedDict[str, _Kind] = OrderedDict()

    @contextmanager
    def track(
        self, kind: str, answer_tokens: int | None
    ) -> Iterator[TrackedRun]:
        """Measures a request while its block runs, which sets its ``end``."""
        run = TrackedRun(self._timer.now(), answer_tokens or 0)
        known = self._by_kind.setdefault(kind, _Kind())
        self._by_kind.move_to_end(kind)
        if len(self._by_kind) > MAX_KINDS:
            self._by_kind.popitem(last=False)
        known.running.add(run)
        try:
            yield run
        finally:
            known.running.discard(run)
            if run.end is not RunEnd.NOT_RUN:
                now = self._timer.now()
                known.add(
                    _Duration(now - run.started_at, run.answer_tokens, now),
                    run.end is RunEnd.ENDED,
                )

    def estimate(
        self, kind: str, answer_tokens: int | None
    ) -> RunEstimate | None:
        """Returns how long a request takes; ``None`` if that is unknown.

        A request that may get a longer answer than an earlier one takes
        longer in proportion.
        """
        known = self._by_kind.get(kind)
        if known is None or len(known.ended) < MIN_DURATIONS:
            return None
        tokens = answer_tokens or 0
        now = self._timer.now()
        durations_s = [item.scaled_s(tokens) for item in known.ended]
        at_least_s = [
            _Duration(now - run.started_at, run.answer_tokens, now).scaled_s(
                tokens
            )
            for run in known.running
        ]
        if known.longest is not None:
            at_least_s.append(known.longest.decayed_s(now, tokens))
        return RunEstimate(
            median(durations_s),
            max(durations_s + at_least_s),
            len(durations_s),
        )
