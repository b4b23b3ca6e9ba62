"""Exhaustive check of a model of the duty lease and the usage record.

Two nodes, the store and the cloud take steps in every possible order. A call
may arrive any time after it was sent, which also models a node that was frozen
between its last check of the lease and the call. Each node would report
different counts for the window, because it has heard from other nodes.
"""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

LEASE_TICKS = 2
LAST_TICK = 5
NODES = (0, 1)


@dataclass(frozen=True, slots=True)
class Call:
    """A report on its way to the cloud."""

    holder: int
    fencing_number: int
    counts: int


@dataclass(frozen=True, slots=True)
class NodeState:
    """What one node knows of its lease and of the record."""

    # Fencing number of the lease, 0 for none, and the tick at which it ends.
    fencing_number: int = 0
    ends_at_tick: int = 0
    # Counts that the record in the store has, as the node has read it.
    recorded: int | None = None
    sent: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """State of the nodes, the store and the cloud."""

    now: int = 0
    revision: int = 0
    # Tick at which the lease in the store ends; 0 for no lease.
    lease_until: int = 0
    record: int | None = None
    nodes: tuple[NodeState, NodeState] = (NodeState(), NodeState())
    in_transit: frozenset[Call] = frozenset()
    highest_fencing_number: int = 0
    accepted: tuple[Call, ...] = ()


def with_node(state: State, number: int, node: NodeState) -> State:
    """Returns the state with one node changed."""
    nodes = list(state.nodes)
    nodes[number] = node
    return replace(state, nodes=(nodes[0], nodes[1]))


def steps(state: State, uses_record: bool, fenced: bool) -> Iterator[State]:
    """Yields the states after every possible step."""
    if state.now < LAST_TICK:
        now = state.now + 1
        lease = state.lease_until if state.lease_until > now else 0
        yield replace(state, now=now, lease_until=lease)
    for number in NODES:
        yield from _node_steps(state, number, uses_record)
    for call in state.in_transit:
        left = replace(state, in_transit=state.in_transit - {call})
        # The call or its answer may be lost.
        yield left
        if fenced and call.fencing_number < state.highest_fencing_number:
            continue
        yield replace(
            left,
            highest_fencing_number=max(
                call.fencing_number, state.highest_fencing_number
            ),
            accepted=(*state.accepted, call),
        )


def _node_steps(
    state: State, number: int, uses_record: bool
) -> Iterator[State]:
    node = state.nodes[number]
    if not state.lease_until:
        fencing_number = state.revision + 1
        ends_at_tick = state.now + LEASE_TICKS
        taken = NodeState(fencing_number, ends_at_tick)
        yield replace(
            with_node(state, number, taken),
            revision=fencing_number,
            lease_until=ends_at_tick,
        )
    if node.ends_at_tick <= state.now:
        return
    own_counts = number + 1
    if node.recorded is None:
        if not uses_record:
            yield with_node(state, number, replace(node, recorded=own_counts))
            return
        record = own_counts if state.record is None else state.record
        written = replace(state, record=record)
        yield with_node(written, number, replace(node, recorded=record))
        # The answer of the store is lost after the effect.
        yield written
    elif not node.sent:
        call = Call(number, node.fencing_number, node.recorded)
        sent = with_node(state, number, replace(node, sent=True))
        yield replace(sent, in_transit=state.in_transit | {call})


def violations(
    breaks_invariant: Callable[[State], bool], uses_record: bool, fenced: bool
) -> int:
    """Returns the number of reachable states that break an invariant."""
    seen = {State()}
    frontier = [State()]
    found = 0
    while frontier:
        state = frontier.pop()
        if breaks_invariant(state):
            found += 1
            continue
        for after in steps(state, uses_record, fenced):
            if after not in seen:
                seen.add(after)
                frontier.append(after)
    assert len(seen) > 1000
    return found


def reports_differ(state: State) -> bool:
    """Whether the window was accepted with different counts."""
    return len({call.counts for call in state.accepted}) > 1


def fencing_number_is_shared(state: State) -> bool:
    """Whether two holders have used one fencing number."""
    holders = {(call.fencing_number, call.holder) for call in state.accepted}
    return len({fencing_number for fencing_number, _ in holders}) < len(
        holders
    )


def earlier_holder_acts_again(state: State) -> bool:
    """Whether a call of an earlier holder was accepted after a later one."""
    fencing_numbers = [call.fencing_number for call in state.accepted]
    return fencing_numbers != sorted(fencing_numbers)


class TestUsageModel:
    """All interleavings of two nodes, store and cloud."""

    def test_accepted_reports_never_differ(self) -> None:
        assert violations(reports_differ, True, True) == 0

    def test_no_fencing_number_is_shared(self) -> None:
        assert violations(fencing_number_is_shared, True, True) == 0

    def test_no_earlier_holder_acts_again(self) -> None:
        assert violations(earlier_holder_acts_again, True, True) == 0

    def test_model_finds_reports_that_differ_without_a_record(self) -> None:
        assert violations(reports_differ, False, True) > 0

    def test_model_finds_late_calls_without_fencing(self) -> None:
        assert violations(earlier_holder_acts_again, True, False) > 0
