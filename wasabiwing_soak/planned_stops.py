"""Series of planned stops: their schedule, and what nodes promise in them.

All times are seconds from the start of traffic.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from wasabiwing.codes import RunState
from wasabiwing_soak.fault_schedule import DURATION_S_BY_KIND
from wasabiwing_soak.fault_schedule import FaultKind
from wasabiwing_soak.fault_schedule import PlannedFault
from wasabiwing_soak.node_process import STOP_GRACE_S
from wasabiwing_soak.promises import CallRecord
from wasabiwing_soak.promises import last_arrival_by_body
from wasabiwing_soak.promises import Promise
from wasabiwing_soak.promises import RequestArrival
from wasabiwing_soak.promises import SUCCESS
from wasabiwing_soak.promises import Violation

# Shortest and longest pauses between two series, between two steps of a
# rolling restart, and until a stopped node is started again, in seconds.
SERIES_GAP_S = (3.0, 12.0)
STEP_GAP_S = (0.3, 3.0)
DOWN_S = (0.2, 1.5)

# Probability with which each kind of fault accompanies a stop.
COMPANION_PROBABILITY = 0.4

# Longest silence of the store during a stop, in seconds.
MAX_SILENCE_S = 6.0

# Shortest and longest run of each route's requests, in seconds. The runs of
# "notes" are mostly short and sometimes long, so nobody can foresee them.
RUN_S_BY_ROUTE = {
    "read": (0.01, 0.1),
    "book": (0.02, 1.5),
    "chat": (0.4, 3.0),
    "notes": (0.05, 5.0),
}
MEDIAN_UNKNOWN_RUN_S = 0.4
UNKNOWN_RUN_SPREAD = 1.2

# Time in seconds after SIGTERM in which callers may still send requests that
# last as long as the grace time, and the time after which such a request may
# be cut.
LATE_ARRIVAL_S = 3.0
LAST_SIXTH_S = STOP_GRACE_S * 5 / 6

# Time in seconds within which a node closes the connection of a request that
# it has read and does not answer.
UNANSWERED_CLOSE_S = 0.2


@dataclass(frozen=True, slots=True)
class NodeStop:
    """A planned stop, from SIGTERM to the end of the process."""

    node: str
    signalled_s: float
    ended_s: float
    # Whether the process still ran at the end of the grace time.
    killed: bool


@dataclass(frozen=True, slots=True)
class StopOutcome:
    """What became of a route's requests that were sent after a SIGTERM."""

    route: str
    # Requests sent within ``LATE_ARRIVAL_S`` whose run could end in time.
    servable: int = 0
    servable_served: int = 0
    served: int = 0
    # Refused with the statement that they have not run.
    refused: int = 0
    # Connections that closed without a server having got the request.
    closed_unsent: int = 0
    # Sent to a server and not answered whole.
    cut: int = 0
    # Failed by a server, or ended at the caller's time limit.
    other: int = 0


def draw_stop_series(
    seed: int, duration_s: float, nodes: int
) -> tuple[PlannedFault, ...]:
    """Returns the faults of a soak with series of stops, ordered by start.

    A second stop of a node that is stopping already is a second SIGTERM.
    """
    random = Random(f"stops {seed}")
    faults: list[PlannedFault] = []
    series_s = 1.0
    while series_s < duration_s:
        for target, at_s in _draw_series(random, series_s, nodes):
            faults.append(_fault(random, FaultKind.NODE_STOPPED, at_s, target))
            faults += _draw_companions(random, at_s, target)
        series_s += random.uniform(*SERIES_GAP_S)
    return tuple(
        sorted(
            (fault for fault in faults if fault.ends_s <= duration_s),
            key=lambda fault: fault.at_s,
        )
    )


def run_seconds(body: bytes) -> float:
    """Returns the duration of a request's run, which its body determines."""
    random = Random(body)
    route = body.decode().split(" ", 1)[0]
    shortest_s, longest_s = RUN_S_BY_ROUTE.get(route, RUN_S_BY_ROUTE["read"])
    if route == "notes":
        drawn_s = MEDIAN_UNKNOWN_RUN_S * random.lognormvariate(
            0.0, UNKNOWN_RUN_SPREAD
        )
        return min(max(drawn_s, shortest_s), longest_s)
    return random.uniform(shortest_s, longest_s)


def check_stopping_nodes(
    calls: Iterable[CallRecord],
    arrivals: Iterable[RequestArrival],
    stops: Sequence[NodeStop],
    check_times: bool,
) -> list[Violation]:
    """Checks what became of requests sent to nodes that were stopping.

    Such a request is served, or refused as not run, or its connection closes
    without a server having got it. Whether a refusal is true is checked by
    ``check_runs``.
    """
    violations: list[Violation] = []
    last_arrival = last_arrival_by_body(arrivals)
    for call, stop in _calls_during_stops(calls, stops):
        arrival = last_arrival.get(call.body)
        if (
            call.status == SUCCESS
            or call.claim is RunState.NOT_RUN
            or call.timed_out
        ):
            continue
        problem = ""
        if arrival is not None:
            if arrival.server_failed or _may_be_cut(call, arrival, stop):
                continue
            problem = f"reached {arrival.server} and "
            problem += f"got {call.status}" if call.status else "was cut"
        elif call.status:
            problem = f"got {call.status}"
        elif check_times and call.ended_s - call.sent_s > UNANSWERED_CLOSE_S:
            problem = f"was held for {call.ended_s - call.sent_s:.2f} s"
        if problem:
            violations.append(
                Violation(
                    Promise.STOPPING_NODE,
                    call.ended_s,
                    f"{call.body} was sent to {call.node}"
                    f" {call.sent_s - stop.signalled_s:.2f} s after SIGTERM"
                    f" and {problem}",
                )
            )
    return violations


def stop_outcomes(
    calls: Iterable[CallRecord],
    arrivals: Iterable[RequestArrival],
    stops: Sequence[NodeStop],
) -> tuple[StopOutcome, ...]:
    """Counts by route what became of requests sent to stopping nodes."""
    last_arrival = last_arrival_by_body(arrivals)
    outcome_by_route: dict[str, StopOutcome] = {}
    for call, stop in _calls_during_stops(calls, stops):
        route = call.body.split(" ", 1)[0]
        before = outcome_by_route.get(route, StopOutcome(route))
        served = call.status == SUCCESS
        refused = call.claim is RunState.NOT_RUN
        arrival = last_arrival.get(call.body)
        excused = call.timed_out or (
            arrival is not None and arrival.server_failed
        )
        unanswered = call.status == 0 and not excused
        servable = _is_servable(call, stop)
        outcome_by_route[route] = StopOutcome(
            route,
            before.servable + servable,
            before.servable_served + (servable and served),
            before.served + served,
            before.refused + refused,
            before.closed_unsent + (unanswered and arrival is None),
            before.cut + (unanswered and arrival is not None),
            before.other + (not (served or refused or unanswered)),
        )
    return tuple(outcome_by_route[route] for route in sorted(outcome_by_route))


def _is_servable(call: CallRecord, stop: NodeStop) -> bool:
    """Returns whether a call came early enough and can end in time."""
    ends_s = call.sent_s + run_seconds(call.body.encode())
    return (
        call.sent_s <= stop.signalled_s + LATE_ARRIVAL_S
        and ends_s <= stop.signalled_s + LAST_SIXTH_S
        and ends_s <= call.sent_s + call.timeout_s
    )


def _may_be_cut(
    call: CallRecord, arrival: RequestArrival, stop: NodeStop
) -> bool:
    """Returns whether a run is so long that the end of a node may cut it."""
    return (
        call.sent_s <= stop.signalled_s + LATE_ARRIVAL_S
        and arrival.run_ends_s >= stop.signalled_s + LAST_SIXTH_S
    )


def _calls_during_stops(
    calls: Iterable[CallRecord], stops: Sequence[NodeStop]
) -> Iterator[tuple[CallRecord, NodeStop]]:
    for call in calls:
        for stop in stops:
            if (
                call.node == stop.node
                and stop.signalled_s <= call.sent_s < stop.ended_s
            ):
                yield call, stop


def _draw_series(
    random: Random, begin_s: float, nodes: int
) -> Iterator[tuple[int, float]]:
    """Yields which node is stopped when."""
    targets = random.sample(range(nodes), nodes)
    if random.random() < 0.5:
        for target in targets[: max(nodes // 2, 1)]:
            yield target, begin_s
        return
    at_once = random.randint(1, 2)
    at_s = begin_s
    for number, target in enumerate(targets):
        if number and number % at_once == 0:
            at_s += random.uniform(*STEP_GAP_S)
        yield target, at_s


def _draw_companions(
    random: Random, stop_s: float, target: int
) -> Iterator[PlannedFault]:
    """Yields the faults that come while a node is stopping."""
    for kind in (
        FaultKind.NODE_STOPPED,
        FaultKind.SETTINGS_SIGNAL,
        FaultKind.CONFIGURATION_CHANGED,
        FaultKind.SERVER_FAILS,
        FaultKind.SERVERS_SILENT,
        FaultKind.STORE_SILENT,
    ):
        if random.random() < COMPANION_PROBABILITY:
            at_s = stop_s + random.uniform(0.05, STOP_GRACE_S)
            if kind is FaultKind.STORE_SILENT:
                at_s = stop_s
            yield _fault(random, kind, at_s, target)


def _fault(
    random: Random, kind: FaultKind, at_s: float, target: int
) -> PlannedFault:
    shortest_s, longest_s = DURATION_S_BY_KIND.get(kind, DOWN_S)
    if kind is FaultKind.STORE_SILENT:
        longest_s = MAX_SILENCE_S
    return PlannedFault(
        kind,
        at_s,
        random.uniform(shortest_s, longest_s),
        target,
        random.randrange(1 << 32),
    )
