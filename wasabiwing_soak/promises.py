"""Checks promises to users against the records of callers and servers.

The functions are pure. All times are seconds from the start of traffic.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import inf

from wasabiwing.codes import RunState
from wasabiwing.run_promises import PROMISE_STATUSES

SUCCESS = 200

# Time in seconds after a node has forwarded an answer in which a server
# announces that it leaves, in which the node may still send it requests. This
# and the next two bounds are promised to users.
DRAIN_S = 2.0

# Time in seconds after a server's refusal in which requests that were already
# sent may arrive, and the number of requests that may arrive later.
IN_FLIGHT_GRACE_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2


class Promise(StrEnum):
    """A promise to users that a soak checks."""

    RUNS_ONCE = "a request that may not be repeated runs at most once"
    TRUE_REFUSAL = "a request that is said not to have run has not run"
    WHOLE_ANSWER = "an answer that ends well is whole and the request's own"
    PLANNED_STOP = "a planned stop cuts no request that came before it"
    STOPPING_NODE = "a stopping node serves a request or does not send it on"
    IN_TIME = "a node that works answers within the caller's time"
    CONFIGURATION = "a process never goes back to an older configuration"
    USAGE_ONCE = "no window's usage is reported with two different counts"
    STAYS_UP = "no node ends by itself"
    LEAVING = "a server that said it leaves gets nothing more from a node"
    PAUSE = "a server that wants no requests gets two more at most"
    CUT_NODE = (
        "callers of a node cut from all servers are served as others are"
    )
    LIMIT = "a server gets what it named as its limit from all nodes together"
    CRASHING_PART = (
        "a part that crashes servers is refused after a few crashes"
    )
    SOUND_REQUESTS = "sound requests go on beside a part that crashes servers"
    RECOVERY = "after the last fault all nodes serve again"
    NEWEST = "after the last fault all nodes have the newest configuration"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, with the time and the details."""

    promise: Promise
    at_s: float
    detail: str


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A request of a caller and its result."""

    body: str
    repeatable: bool
    # Whether the answer is a stream; a stream that cannot be completed ends
    # without a whole answer.
    is_stream: bool
    node: str
    sent_s: float
    ended_s: float
    # The caller's time limit.
    timeout_s: float
    # HTTP status; 0 without a whole answer.
    status: int
    answer: bytes
    # The complete and correct answer.
    expected: bytes
    # Run state that the node states in its refusal; ``None`` without one.
    claim: RunState | None
    detail: str = ""
    # Parts of the prompt; the last one is the request's own.
    parts: tuple[str, ...] = ()

    @property
    def timed_out(self) -> bool:
        """Whether the call ended at the caller's time limit or later."""
        return self.ended_s - self.sent_s >= self.timeout_s


@dataclass(frozen=True, slots=True)
class NodeDisturbance:
    """A period in which a node was stopped, killed or paused."""

    node: str
    # Whether the node was asked to stop, which must cut no request.
    planned: bool
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A period in which the link to a server was cut or slow."""

    server: str
    from_s: float
    until_s: float
    # Node whose link it was; ``None`` for all nodes.
    node: str | None = None


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """A server's statement about itself in the answer to a request."""

    server: str
    # Incarnation of the server.
    incarnation_id: int
    body: str
    at_s: float
    leaving: bool
    pause_s: float | None
    # Node that sent the request.
    sender: str


@dataclass(frozen=True, slots=True)
class RequestArrival:
    """The arrival of a request at a server."""

    server: str
    incarnation_id: int
    body: str
    at_s: float
    # End of the run, also if its answer was no longer wanted.
    run_ends_s: float = inf
    # Whether the server failed the request or broke off its answer.
    server_failed: bool = False
    # Whether the request crashed the server.
    crashed: bool = False
    # Whether the server gave a whole answer without length and chunks.
    unframed: bool = False
    # Node that sent the request to the server, perhaps for another node.
    sender: str = ""


@dataclass(frozen=True, slots=True)
class UnframedOutcome:
    """Whole answers without length and chunks, and how many were served."""

    served: int
    count: int


@dataclass(frozen=True, slots=True)
class SeenVersion:
    """A configuration version in a process's metrics."""

    # Incarnation id of the node's process.
    process: str
    at_s: float
    version: int


def check_runs(
    calls: Iterable[CallRecord], runs_by_body: Mapping[str, int]
) -> list[Violation]:
    """Checks how often requests ran, and refusals that deny a run."""
    violations: list[Violation] = []
    for call in calls:
        runs = runs_by_body.get(call.body, 0)
        if runs > 1 and not call.repeatable:
            detail = f"{call.body} ran {runs} times"
            violations.append(
                Violation(Promise.RUNS_ONCE, call.sent_s, detail)
            )
        is_promised = not call.repeatable and call.status in PROMISE_STATUSES
        if runs and (call.claim is RunState.NOT_RUN or is_promised):
            detail = f"{call.body} ran {runs} times, status {call.status}"
            violations.append(
                Violation(Promise.TRUE_REFUSAL, call.ended_s, detail)
            )
    return violations


def check_answers(calls: Iterable[CallRecord]) -> list[Violation]:
    """Checks that successful answers are complete and correct."""
    return [
        Violation(
            Promise.WHOLE_ANSWER,
            call.ended_s,
            f"{call.body} got {call.answer[:80]!r}",
        )
        for call in calls
        if call.status == 200 and call.answer != call.expected
    ]


def check_stops(
    calls: Iterable[CallRecord],
    arrivals: Iterable[RequestArrival],
    disturbances: Sequence[NodeDisturbance],
) -> list[Violation]:
    """Checks that planned stops cut no request that was sent before.

    A stream may also end early at the caller's time limit, or because its
    server failed.
    """
    violations: list[Violation] = []
    last_arrival = last_arrival_by_body(arrivals)
    for call in calls:
        arrival = last_arrival.get(call.body)
        failed = arrival is not None and arrival.server_failed
        if call.status or (call.is_stream and (failed or call.timed_out)):
            continue
        met_disturbances = _disturbances_during(call, disturbances)
        if not met_disturbances or not all(
            item.planned for item in met_disturbances
        ):
            continue
        if call.sent_s < min(item.from_s for item in met_disturbances):
            detail = f"{call.body} at {call.node}: {call.detail}"
            violations.append(
                Violation(Promise.PLANNED_STOP, call.ended_s, detail)
            )
    return violations


def check_times(
    calls: Iterable[CallRecord],
    disturbances: Sequence[NodeDisturbance],
    tolerance_s: float,
) -> list[Violation]:
    """Checks that nodes that were not disturbed answered in time."""
    violations: list[Violation] = []
    for call in calls:
        took_s = call.ended_s - call.sent_s
        if _disturbances_during(call, disturbances):
            continue
        cut = call.status == 0 and not call.is_stream
        if cut or took_s > call.timeout_s + tolerance_s:
            detail = (
                f"{call.body} at {call.node}: status {call.status} after"
                f" {took_s:.2f} s {call.detail}"
            )
            violations.append(Violation(Promise.IN_TIME, call.ended_s, detail))
    return violations


def check_versions(seen: Iterable[SeenVersion]) -> list[Violation]:
    """Checks that no process returned to an older configuration."""
    violations: list[Violation] = []
    newest_by_process: dict[str, int] = {}
    for item in seen:
        newest = newest_by_process.get(item.process, 0)
        if item.version < newest:
            detail = f"{item.process}: {item.version} after {newest}"
            violations.append(
                Violation(Promise.CONFIGURATION, item.at_s, detail)
            )
        newest_by_process[item.process] = max(newest, item.version)
    return violations


def check_usage(
    reports: Iterable[tuple[int, Mapping[str, int]]], ended_s: float
) -> list[Violation]:
    """Checks that all usage reports for a window have the same counts."""
    counts: dict[int, set[tuple[tuple[str, int], ...]]] = {}
    for window, count_by_name in reports:
        counts.setdefault(window, set()).add(
            tuple(sorted(count_by_name.items()))
        )
    return [
        Violation(Promise.USAGE_ONCE, ended_s, f"window {window}: {versions}")
        for window, versions in counts.items()
        if len(versions) > 1
    ]


def check_leaving(
    calls: Iterable[CallRecord],
    statements: Iterable[ServerStatement],
    arrivals: Sequence[RequestArrival],
    disturbances: Sequence[NodeDisturbance],
) -> list[Violation]:
    """Checks that nodes send no requests to servers that leave.

    A node knows that a server leaves from an answer that it forwarded.
    """
    violations: list[Violation] = []
    call_by_body = {call.body: call for call in calls}
    for statement in statements:
        forwarded_call = call_by_body.get(statement.body)
        # Only an answer that was forwarded has certainly reached the node. A
        # request that was held back on its way may arrive after its call has
        # ended, answered by another server.
        if (
            not statement.leaving
            or forwarded_call is None
            or forwarded_call.status != SUCCESS
            or statement.at_s > forwarded_call.ended_s
        ):
            continue
        for arrival in arrivals:
            call = call_by_body.get(arrival.body)
            if (
                (arrival.server, arrival.incarnation_id)
                == (statement.server, statement.incarnation_id)
                and call is not None
                and arrival.sender == statement.sender
                and call.sent_s > forwarded_call.ended_s + DRAIN_S
                and not _node_disturbed(
                    statement.sender,
                    forwarded_call.ended_s,
                    arrival.at_s,
                    disturbances,
                )
            ):
                detail = (
                    f"{call.body} from {arrival.sender} at {statement.server}"
                )
                violations.append(
                    Violation(Promise.LEAVING, arrival.at_s, detail)
                )
    return violations


def check_pauses(
    statements: Iterable[ServerStatement],
    arrivals: Sequence[RequestArrival],
    disturbances: Sequence[NodeDisturbance],
    link_faults: Sequence[LinkFault],
) -> list[Violation]:
    """Checks that servers that ask for a pause get hardly any requests."""
    violations: list[Violation] = []
    for statement in statements:
        node = statement.sender
        if statement.pause_s is None:
            continue
        until_s = statement.at_s + statement.pause_s
        bodies_in_pause = [
            arrival.body
            for arrival in arrivals
            if arrival.server == statement.server
            and arrival.incarnation_id == statement.incarnation_id
            and arrival.sender == node
            and statement.at_s + IN_FLIGHT_GRACE_S < arrival.at_s < until_s
        ]
        cut = any(
            link_fault.server == statement.server
            and link_fault.node in (None, node)
            and link_fault.from_s < until_s
            and statement.at_s < link_fault.until_s + IN_FLIGHT_GRACE_S
            for link_fault in link_faults
        )
        disturbed = _node_disturbed(
            node, statement.at_s, until_s, disturbances
        )
        if (
            len(bodies_in_pause) > MAX_REQUESTS_IN_PAUSE
            and not cut
            and not disturbed
        ):
            detail = f"{bodies_in_pause} from {node} at {statement.server}"
            violations.append(Violation(Promise.PAUSE, statement.at_s, detail))
    return violations


def count_endings(calls: Iterable[CallRecord]) -> Counter[str]:
    """Counts requests by status, or by the lack of an answer."""
    return Counter(
        str(call.status) if call.status else "no answer" for call in calls
    )


def unframed_outcome(
    calls: Iterable[CallRecord],
    arrivals: Sequence[RequestArrival],
    disturbances: Sequence[NodeDisturbance],
) -> UnframedOutcome:
    """Counts whole answers without length and chunks that callers got.

    Calls that ended at their time limit, or whose node was disturbed, are
    left out.
    """
    last_arrival = last_arrival_by_body(arrivals)
    statuses = [
        call.status
        for call in calls
        if call.body in last_arrival
        and last_arrival[call.body].unframed
        and not call.timed_out
        and not _disturbances_during(call, disturbances)
    ]
    return UnframedOutcome(statuses.count(SUCCESS), len(statuses))


def last_arrival_by_body(
    arrivals: Iterable[RequestArrival],
) -> dict[str, RequestArrival]:
    """Returns each request's arrival at the last server that it reached."""
    return {
        arrival.body: arrival
        for arrival in sorted(arrivals, key=lambda item: item.at_s)
    }


def _node_disturbed(
    node: str,
    from_s: float,
    until_s: float,
    disturbances: Iterable[NodeDisturbance],
) -> bool:
    return any(
        item.node == node and item.from_s < until_s and from_s < item.until_s
        for item in disturbances
    )


def _disturbances_during(
    call: CallRecord, disturbances: Sequence[NodeDisturbance]
) -> list[NodeDisturbance]:
    """Returns the disturbances of a call's node during the call."""
    return [
        item
        for item in disturbances
        if item.node == call.node
        and item.from_s <= call.ended_s
        and call.sent_s <= item.until_s
    ]
