"""Recent durations of requests, by route, from which a run is estimated.

A duration is the time from a request's arrival to the end of its answer, in
this process, with all waits and retries. Requests that still run count with
their age.
"""

from collections import deque
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from statistics import median

from wasabiwing.timers import TimerService

# Number of routes, and of durations for each of them, that are kept.
MAX_ROUTES = 1024
MAX_DURATIONS = 64

# Number of durations below which a route's runs count as unknown.
MIN_DURATIONS = 6


@dataclass(frozen=True, slots=True)
class RunEstimate:
    """How long a request probably takes, in seconds from its arrival."""

    typical_s: float
    longest_s: float


@dataclass(eq=False, slots=True)
class TrackedRun:
    """A request whose duration is being measured."""

    started_at: float
    # Largest number of tokens of the answer; 0 for plain requests.
    answer_tokens: int
    # Whether the request was sent to a server, so that its duration counts.
    counts: bool = False


@dataclass(slots=True)
class _Route:
    ended: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_DURATIONS)
    )
    running: set[TrackedRun] = field(default_factory=set)


class RunDurations:
    """Durations of the requests of one gateway or node."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._by_route: OrderedDict[str, _Route] = OrderedDict()

    @contextmanager
    def track(
        self, route: str, answer_tokens: int | None
    ) -> Iterator[TrackedRun]:
        """Measures a request while its block runs.

        The block sets ``counts`` if the request was sent to a server.
        """
        run = TrackedRun(self._timer.now(), answer_tokens or 0)
        known = self._by_route.setdefault(route, _Route())
        self._by_route.move_to_end(route)
        if len(self._by_route) > MAX_ROUTES:
            self._by_route.popitem(last=False)
        known.running.add(run)
        try:
            yield run
        finally:
            known.running.discard(run)
            if run.counts:
                duration_s = self._timer.now() - run.started_at
                known.ended.append((duration_s, run.answer_tokens))

    def estimate(
        self, route: str, answer_tokens: int | None
    ) -> RunEstimate | None:
        """Returns how long a request takes; ``None`` if that is unknown.

        A request that may get a longer answer than an earlier one takes
        longer in proportion.
        """
        known = self._by_route.get(route)
        if known is None or len(known.ended) < MIN_DURATIONS:
            return None
        tokens = answer_tokens or 0
        now = self._timer.now()
        durations_s = [
            _scaled(duration_s, measured_tokens, tokens)
            for duration_s, measured_tokens in known.ended
        ]
        ages_s = [
            _scaled(now - run.started_at, run.answer_tokens, tokens)
            for run in known.running
        ]
        return RunEstimate(median(durations_s), max(durations_s + ages_s))


def _scaled(duration_s: float, measured_tokens: int, tokens: int) -> float:
    if measured_tokens <= 0:
        return duration_s
    return duration_s * max(tokens / measured_tokens, 1.0)
