"""Decides the order of waiting requests and the longest wait of each.

Load patterns: the first seconds with too few servers, a burst of 1.7 times
the usual rate, one organisation that sends 7.5 times its usual rate, and
callers that return at once after a refusal. The priorities of organisation and
route go first. Within a rank, requests that can still be answered by their
target go before late ones: in the order of arrival alone, all would be a
little late under overload. Each organisation gets its share (start-time fair
queueing), so that one that sends more than usual delays its own requests. Then
the one that is due first goes first, whether it is a caller's first try or a
repeat.
The queues of gateway and node both use these rules.
"""

from wasabiwing.routed_calls import RoutedCall

# Rates assumed for organisations without a usage cap, per second.
UNCAPPED_TOKENS_PER_S = 10_000.0
UNCAPPED_REQUESTS_PER_S = 10.0

# Share of its latency target by which a request has to get a server to be
# answered in time; the rest is for its own work, of which no queue knows how
# long it takes.
START_SHARE = 0.7

# Share of its caller's time for which a request waits for a server. The rest
# is left for the return of a refused caller and its next try.
WAIT_SHARE = 0.5

# Key by which waiting requests at the heads of their flows are ordered.
HeadKey = tuple[float, float, int]

# Rank of a waiting request, and whether it is late.
Level = tuple[int, bool]


def start_tag(virtual_time: float, finish_tag: float) -> float:
    """Returns the virtual time at which a flow's next request starts.

    ``finish_tag`` is that at which the flow's last request has ended. A flow
    gets no credit for the time in which it had no requests.
    """
    return max(virtual_time, finish_tag)


def finish_tag(start: float, cost: float, weight: float = 1.0) -> float:
    """Returns the virtual time at which a request that starts then ends."""
    return start + cost / weight


def head_key(start: float, due_at: float, sequence: int) -> HeadKey:
    """Returns the key of a waiting request; the lowest is served next.

    ``start`` is the start tag of its flow, ``due_at`` the time in seconds at
    which it should be answered, and ``sequence`` the number of its arrival.
    """
    return start, due_at, sequence


def queue_level(call: RoutedCall, now: float) -> Level:
    """Returns the level of a waiting request; the lowest is served first.

    A late request goes behind those of its rank, never behind a lower rank.
    """
    return call.rank, is_late(call, now)


def is_late(call: RoutedCall, now: float) -> bool:
    """Whether a request that gets a server now misses its target."""
    return call.late or now > start_by(call)


def start_by(call: RoutedCall) -> float:
    """Returns the time by which a request has to get a server."""
    target_s = call.route.latency_target_s
    if target_s <= 0.0:
        return call.leaves_at
    return min(call.waits_since + target_s * START_SHARE, call.leaves_at)


def due_at(call: RoutedCall, now: float) -> float:
    """Returns the time by which a waiting request should get a server."""
    return call.leaves_at if is_late(call, now) else start_by(call)


def fair_cost(call: RoutedCall) -> float:
    """Returns the seconds of its organisation's usage cap that a call uses.

    The cap stands for the usual size of an organisation: a large one may have
    more requests served at its usual rate than a small one.
    """
    organisation = call.organisation
    tokens = call.total_tokens
    if organisation is None or organisation.rate_per_s <= 0.0:
        if tokens is None:
            return 1.0 / UNCAPPED_REQUESTS_PER_S
        return tokens / UNCAPPED_TOKENS_PER_S
    if not organisation.counts_tokens:
        return 1.0 / organisation.rate_per_s
    if tokens is None:
        tokens = organisation.default_tokens
    return tokens / organisation.rate_per_s


def predicted_room_s(ahead: int, served_per_s: float) -> float | None:
    """Returns the seconds until a request is served from its queue.

    ``ahead`` is the number of requests before it. The result is ``None`` if
    the queue has served none recently, so that nothing can be predicted.
    """
    return (ahead + 1) / served_per_s if served_per_s > 0.0 else None


def longest_wait_s(remaining_s: float) -> float:
    """Returns the seconds that a request waits for a server at most.

    ``remaining_s`` is the time until its caller leaves.
    """
    return max(remaining_s, 0.0) * WAIT_SHARE


def is_room_too_late(room_s: float | None, left_s: float) -> bool:
    """Whether there is room only after the time that a request has left.

    ``room_s`` is the predicted time until there is room, ``None`` if nothing
    can be predicted.
    """
    return room_s is not None and room_s > left_s
