"""Promises that a soak checks, from what callers and servers have seen.

All functions are pure; times are seconds from the start of traffic.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from wasabiwing.codes import RunState

SUCCESS = 200

# Time after a node has passed on that a server leaves, in seconds; a bound
# of the users' pages, as are the next two.
DRAIN_S = 2.0

# Time after a server's refusal in which requests on their way may arrive, in
# seconds, and how many may arrive later.
ON_THEIR_WAY_S = 0.5
MOST_UNWANTED = 2


class Promise(StrEnum):
    """What users rely on."""

    RUNS_ONCE = "a request that may not be repeated runs at most once"
    TRUE_REFUSAL = "a request that is said not to have run has not run"
    WHOLE_ANSWER = "an answer that ends well is whole and the request's own"
    PLANNED_STOP = "a planned stop cuts no request that came before it"
    IN_TIME = "a node that works answers within the caller's time"
    CONFIGURATION = "a process never goes back to an older configuration"
    USAGE_ONCE = "no window's usage is reported with two different counts"
    STAYS_UP = "no node ends by itself"
    LEAVING = "a server that said it leaves gets nothing more from a node"
    PAUSE = "a server that wants no requests gets two more at most"
    RECOVERY = "after the last fault all nodes serve again"


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: Promise
    at_s: float
    detail: str


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One request of a caller."""

    body: str
    repeatable: bool
    # A stream that cannot be completed ends without a whole answer.
    is_stream: bool
    node: str
    sent_s: float
    ended_s: float
    # 0 without a whole answer.
    status: int
    answer: bytes
    # What a whole and right answer would be.
    expected: bytes
    # The node's own statement, ``None`` where it makes none.
    claim: RunState | None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class NodeDisturbance:
    """A time in which a node was stopped, killed or paused."""

    node: str
    # Whether the node was asked to stop, which must cut nothing.
    planned: bool
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A time in which the way to a server was cut or slow."""

    server: str
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """What a server said of itself to the node of a request."""

    server: str
    # Number of the server's start.
    incarnation_id: int
    body: str
    at_s: float
    leaving: bool
    pause_s: float | None


@dataclass(frozen=True, slots=True)
class RequestArrival:
    """A request that reached a server."""

    server: str
    incarnation_id: int
    body: str
    at_s: float


@dataclass(frozen=True, slots=True)
class SeenVersion:
    """A configuration version that a process showed."""

    # Changes with every start of a node.
    process: str
    at_s: float
    version: int


def check_runs(
    calls: Iterable[CallRecord], runs_by_body: Mapping[str, int]
) -> list[Violation]:
    """Checks how often requests ran against what callers were told."""
    found: list[Violation] = []
    for call in calls:
        runs = runs_by_body.get(call.body, 0)
        if runs > 1 and not call.repeatable:
            detail = f"{call.body} ran {runs} times"
            found.append(Violation(Promise.RUNS_ONCE, call.sent_s, detail))
        if runs and call.claim is RunState.NOT_RUN:
            detail = f"{call.body} ran {runs} times, status {call.status}"
            found.append(Violation(Promise.TRUE_REFUSAL, call.ended_s, detail))
    return found


def check_answers(calls: Iterable[CallRecord]) -> list[Violation]:
    """Checks that answers that ended well are whole."""
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
    calls: Iterable[CallRecord], disturbances: Sequence[NodeDisturbance]
) -> list[Violation]:
    """Checks that planned stops cut no request that came before them."""
    found: list[Violation] = []
    for call in calls:
        if call.status:
            continue
        met = _met(call, disturbances)
        if not met or not all(item.planned for item in met):
            continue
        if call.sent_s < min(item.from_s for item in met):
            detail = f"{call.body} at {call.node}: {call.detail}"
            found.append(Violation(Promise.PLANNED_STOP, call.ended_s, detail))
    return found


def check_times(
    calls: Iterable[CallRecord],
    disturbances: Sequence[NodeDisturbance],
    longest_s: float,
) -> list[Violation]:
    """Checks that nodes that were not disturbed answered in time."""
    found: list[Violation] = []
    for call in calls:
        took_s = call.ended_s - call.sent_s
        if _met(call, disturbances):
            continue
        cut = call.status == 0 and not call.is_stream
        if cut or took_s > longest_s:
            detail = (
                f"{call.body} at {call.node}: status {call.status} after"
                f" {took_s:.2f} s {call.detail}"
            )
            found.append(Violation(Promise.IN_TIME, call.ended_s, detail))
    return found


def check_versions(seen: Iterable[SeenVersion]) -> list[Violation]:
    """Checks that no process went back."""
    found: list[Violation] = []
    newest_by_process: dict[str, int] = {}
    for item in seen:
        newest = newest_by_process.get(item.process, 0)
        if item.version < newest:
            detail = f"{item.process}: {item.version} after {newest}"
            found.append(Violation(Promise.CONFIGURATION, item.at_s, detail))
        newest_by_process[item.process] = max(newest, item.version)
    return found


def check_usage(
    reports: Iterable[tuple[int, Mapping[str, int]]], ended_s: float
) -> list[Violation]:
    """Checks that all reports for a window are the same."""
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
    """Checks that nothing goes to servers that a node knows to leave."""
    found: list[Violation] = []
    call_by_body = {call.body: call for call in calls}
    for said in statements:
        told = call_by_body.get(said.body)
        # Only an answer that was passed on has surely reached the node.
        if not said.leaving or told is None or told.status != SUCCESS:
            continue
        for arrival in arrivals:
            call = call_by_body.get(arrival.body)
            if (
                (arrival.server, arrival.incarnation_id)
                == (said.server, said.incarnation_id)
                and call is not None
                and call.node == told.node
                and call.sent_s > told.ended_s + DRAIN_S
                and not _node_disturbed(
                    told.node, told.ended_s, arrival.at_s, disturbances
                )
            ):
                detail = f"{call.body} from {call.node} at {said.server}"
                found.append(Violation(Promise.LEAVING, arrival.at_s, detail))
    return found


def check_pauses(
    calls: Iterable[CallRecord],
    statements: Iterable[ServerStatement],
    arrivals: Sequence[RequestArrival],
    disturbances: Sequence[NodeDisturbance],
    troubles: Sequence[LinkFault],
) -> list[Violation]:
    """Checks that servers that want no requests get hardly any."""
    found: list[Violation] = []
    node_by_body = {call.body: call.node for call in calls}
    for said in statements:
        node = node_by_body.get(said.body)
        if said.pause_s is None or node is None:
            continue
        until_s = said.at_s + said.pause_s
        in_time = [
            arrival.body
            for arrival in arrivals
            if arrival.server == said.server
            and arrival.incarnation_id == said.incarnation_id
            and node_by_body.get(arrival.body) == node
            and said.at_s + ON_THEIR_WAY_S < arrival.at_s < until_s
        ]
        cut = any(
            trouble.server == said.server
            and trouble.from_s < until_s
            and said.at_s < trouble.until_s + ON_THEIR_WAY_S
            for trouble in troubles
        )
        disturbed = _node_disturbed(node, said.at_s, until_s, disturbances)
        if len(in_time) > MOST_UNWANTED and not cut and not disturbed:
            detail = f"{in_time} from {node} at {said.server}"
            found.append(Violation(Promise.PAUSE, said.at_s, detail))
    return found


def count_endings(calls: Iterable[CallRecord]) -> Counter[str]:
    """Counts requests by how they ended."""
    return Counter(
        str(call.status) if call.status else "no answer" for call in calls
    )


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


def _met(
    call: CallRecord, disturbances: Sequence[NodeDisturbance]
) -> list[NodeDisturbance]:
    """Returns the disturbances of a call's node while it was under way."""
    return [
        item
        for item in disturbances
        if item.node == call.node
        and item.from_s <= call.ended_s
        and call.sent_s <= item.until_s
    ]
