"""When a routed request is refused at once, and when it may come back.

Load patterns: more prompts than the engines can compute in time, callers that
repeat at once, and servers that all turn requests away for a while. A request
that the caller would give up on anyway is refused while it has not run; the
time to come back follows from how long the queue or the servers' pause takes,
spread so that the callers do not return as one wave.
"""

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.server_loads import LoadEstimate

# Statuses of a node's own answers.
BAD_GATEWAY = 502
REFUSED = 503
GATEWAY_TIMEOUT = 504

# Part of the remaining time within which the first event must be predicted;
# predictions are off by the work that other nodes send meanwhile.
FEASIBLE_SHARE = 0.7

# How far beyond its latency target a first event must be predicted before a
# request is refused: below, the prediction may be wrong.
LATE_FACTOR = 1.3

# Bounds of the time to come back after, in seconds.
LEAST_RETRY_S = 0.1
MAX_RETRY_S = 1.5

# Spread of the time to come back, as a share of it.
JITTER_SHARE = 0.5

# Part of the latency target that a request waits for a free place.
WAITING_SHARE = 0.125

# Longest wait for a free place in seconds.
LONGEST_WAIT_S = 0.15


def misses_deadline(first_event_s: float, remaining_s: float) -> bool:
    """Whether the caller will have left before the first event."""
    return first_event_s > remaining_s * FEASIBLE_SHARE


def misses_latency_target(
    first_event_s: float, in_time_s: float, load: LoadEstimate
) -> bool:
    """Whether the first event will surely miss the latency target.

    A late answer is worth little and delays all that come after it. With
    nothing waiting at the server, a miss is not the load's fault, and the
    request is sent all the same.
    """
    waits = load.waiting > 0 or load.pending_tokens > 0
    return waits and first_event_s > max(in_time_s, 0.0) * LATE_FACTOR


def retry_after_s(queue_s: float, remaining_s: float, draw: float) -> float:
    """Returns the seconds after which a refused request may come back.

    ``queue_s`` is the predicted time until a place is free, and ``draw`` a
    random number from 0 to 1. Callers wait for a third of their remaining
    time at most.
    """
    wished = min(max(queue_s, LEAST_RETRY_S), MAX_RETRY_S)
    spread = wished * (1.0 + JITTER_SHARE * (draw - 0.5))
    return max(min(spread, remaining_s / 3.0), LEAST_RETRY_S / 2.0)


def retry_after_pause_s(
    pause_s: float, remaining_s: float, draw: float
) -> float:
    """Returns when a caller may return to servers that want no requests.

    ``pause_s`` is the time until the first of them wants any; nobody returns
    before it unless its own limit is nearer. ``draw`` is as above.
    """
    spread = pause_s + min(pause_s * JITTER_SHARE, MAX_RETRY_S) * draw
    return max(min(spread, remaining_s / 3.0), LEAST_RETRY_S / 2.0)


def caller_retry_after_s(
    failure: Failure, remaining_s: float, draw: float
) -> float | None:
    """Returns when the caller of a failed request may come back.

    ``None`` if a repeat would not help or might run a request again.
    """
    if failure.run_state is not RunState.NOT_RUN:
        return None
    if failure.code is ResultCode.QUARANTINED:
        return None
    wait_s = failure.retry_after_s or 0.0
    if failure.code is ResultCode.NO_BACKEND_SERVER and wait_s:
        return retry_after_pause_s(wait_s, remaining_s, draw)
    return retry_after_s(wait_s, remaining_s, draw)


def failure_status(failure: Failure) -> int:
    """Returns the HTTP status of a failed request.

    503 promises that it has not run; the others promise nothing.
    """
    if failure.run_state is RunState.NOT_RUN:
        return REFUSED
    timed_out = failure.code in (
        ResultCode.DEADLINE_EXCEEDED,
        ResultCode.SERVER_TIMEOUT,
    )
    return GATEWAY_TIMEOUT if timed_out else BAD_GATEWAY


def max_wait_for_server_s(latency_target_s: float) -> float:
    """Returns how long a request may wait for a place in the node."""
    return min(latency_target_s * WAITING_SHARE, LONGEST_WAIT_S)
