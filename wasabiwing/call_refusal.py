"""Decides when a routed request is refused and when its caller may retry.

Load patterns: more prompts than the engines can compute in time, callers that
retry at once, and servers that all refuse requests for a while. A request
whose caller would give up before the answer is refused before it is sent. Its
``Retry-After`` follows from the length of the queue or of the servers' pause,
with jitter so that the callers do not retry all at the same time. A request
that would only miss its latency target is sent as late work, which gives way
to the requests of its rank that can still be in time.
"""

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.server_loads import LoadEstimate

# HTTP statuses of answers that the node itself gives.
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Share of the caller's remaining time within which the first event must be
# predicted; predictions leave out the work that other nodes send meanwhile.
DEADLINE_SHARE = 0.7

# Share of the caller's remaining time within which the first event of late
# work must be predicted. It is half of ``DEADLINE_SHARE``, because requests
# that arrive later overtake late work: where they take half of a server, late
# work waits twice as long as predicted.
LATE_DEADLINE_SHARE = 0.35

# Multiple of the remaining time to the latency target beyond which a predicted
# first event counts as late; a smaller excess may be an error of prediction.
LATENCY_TARGET_FACTOR = 1.3

# Shortest ``Retry-After``, in seconds.
MIN_RETRY_S = 0.1

# Jitter of ``Retry-After``, as a share of it, and the longest one after a
# pause of servers, in seconds.
JITTER_SHARE = 0.5
MAX_PAUSE_JITTER_S = 1.5

# Largest share of the time that it has left for which a refused caller stays
# away; callers honour no longer ``Retry-After``.
RETURN_SHARE = 1.0 / 3.0


def misses_deadline(first_event_s: float, remaining_s: float) -> bool:
    """Whether the first event is predicted too late for the caller's deadline.

    Both times are in seconds from now.
    """
    return first_event_s > remaining_s * DEADLINE_SHARE


def misses_deadline_as_late(first_event_s: float, remaining_s: float) -> bool:
    """Whether late work is predicted to begin after its caller has left.

    Both times are in seconds from now; ``first_event_s`` is predicted behind
    all work of the same urgency or a more urgent one.
    """
    return first_event_s > remaining_s * LATE_DEADLINE_SHARE


def misses_latency_target(
    first_event_s: float, target_left_s: float, load: LoadEstimate
) -> bool:
    """Whether the first event is predicted far after the latency target.

    ``first_event_s`` is the predicted time of the first event and
    ``target_left_s`` that of the target, in seconds from now. Such a request
    would make those behind it late too. At a server where nothing waits it
    delays none.
    """
    waits = load.waiting > 0 or load.pending_tokens > 0
    return (
        waits
        and first_event_s > max(target_left_s, 0.0) * LATENCY_TARGET_FACTOR
    )


def retry_after_s(
    queue_s: float, remaining_s: float, draw: float, spread_s: float = 0.0
) -> float:
    """Returns the seconds after which a refused request may be retried.

    ``queue_s`` is the predicted time until a server has room, and ``draw`` a
    random number from 0 to 1 for the jitter. ``spread_s`` is the time that
    the servers need for what was refused lately; the returns are spread over
    it, so that they do not collide again. The result is at most a third of
    the caller's remaining time, but at least half of ``MIN_RETRY_S``.
    """
    bounded_s = max(queue_s, MIN_RETRY_S)
    jittered_s = bounded_s * (1.0 + JITTER_SHARE * (draw - 0.5))
    jittered_s += spread_s * draw
    latest_s = remaining_s * RETURN_SHARE
    if spread_s > 0.0 and jittered_s > latest_s:
        # Otherwise all returns that are limited by it would coincide.
        jittered_s = latest_s * (1.0 - JITTER_SHARE * draw)
    return max(min(jittered_s, latest_s), MIN_RETRY_S / 2.0)


def retry_after_pause_s(
    pause_s: float, remaining_s: float, draw: float
) -> float:
    """Returns the seconds after which a caller may retry at paused servers.

    ``pause_s`` is the time until the first of the servers accepts requests
    again. The result is longer, except where a third of the caller's
    remaining time is shorter. ``draw`` is a random number from 0 to 1 for the
    jitter.
    """
    jittered_s = (
        pause_s + min(pause_s * JITTER_SHARE, MAX_PAUSE_JITTER_S) * draw
    )
    return max(min(jittered_s, remaining_s * RETURN_SHARE), MIN_RETRY_S / 2.0)


def caller_retry_after_s(
    failure: Failure, remaining_s: float, draw: float, spread_s: float = 0.0
) -> float | None:
    """Returns the seconds after which the caller of a failure may retry.

    ``spread_s`` is the time that the servers need for what was refused.

    The result is ``None`` if a retry would not help or might run the request
    a second time.
    """
    if failure.run_state is not RunState.NOT_RUN:
        return None
    if failure.code is ResultCode.QUARANTINED:
        return None
    wait_s = failure.retry_after_s or 0.0
    if failure.code is ResultCode.NO_BACKEND_SERVER and wait_s:
        return retry_after_pause_s(wait_s, remaining_s, draw)
    return retry_after_s(wait_s, remaining_s, draw, spread_s)


def is_lack_of_capacity(failure: Failure) -> bool:
    """Whether a request is refused because the servers have too much work."""
    return failure.run_state is RunState.NOT_RUN and failure.code in (
        ResultCode.OVERLOADED,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.DEADLINE_EXCEEDED,
        ResultCode.SERVER_REFUSED,
    )


def failure_status(failure: Failure) -> int:
    """Returns the HTTP status of a failed request.

    503 promises that the request has not run; 502 and 504 promise nothing.
    """
    if failure.run_state is RunState.NOT_RUN:
        return SERVICE_UNAVAILABLE
    timed_out = failure.code in (
        ResultCode.DEADLINE_EXCEEDED,
        ResultCode.SERVER_TIMEOUT,
    )
    return GATEWAY_TIMEOUT if timed_out else BAD_GATEWAY
