"""Nodes cut from all servers: what their callers get, and the promise.

All times are seconds from the start of traffic.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from wasabiwing_soak.crashing_parts import draw_other_faults
from wasabiwing_soak.crashing_parts import in_touch
from wasabiwing_soak.crashing_parts import OTHER_KINDS
from wasabiwing_soak.fault_schedule import draw_fault
from wasabiwing_soak.fault_schedule import FaultKind
from wasabiwing_soak.fault_schedule import PlannedFault
from wasabiwing_soak.loopback_proxy import LinkCut
from wasabiwing_soak.promises import CallRecord
from wasabiwing_soak.promises import NodeDisturbance
from wasabiwing_soak.promises import Promise
from wasabiwing_soak.promises import SUCCESS
from wasabiwing_soak.promises import Violation

# Time from the begin of a cut until its nodes serve their callers again, in
# seconds.
CONTACT_S = 3.0

# Share of the first tries served at cut nodes in proportion to the others, and
# the number of failed first tries that is allowed in any case: a fixed one and
# a share of all.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50


# Longest absence of the store that costs no node its lease, in seconds.
BORNE_STORE_ABSENCE_S = 2.0

# Shortest and longest cut that a soak of cuts plays, and the time between the
# begins of two cuts, in seconds.
CUT_DURATION_S = (4.0, 8.0)
CUT_GAP_S = (2.0, 12.0)


@dataclass(frozen=True, slots=True)
class NodeCut:
    """A period in which nodes were cut from all servers."""

    nodes: tuple[str, ...]
    way: LinkCut
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class CutOutcome:
    """First tries during a cut, at nodes that were cut and at the others."""

    cut: NodeCut
    tries: int
    served: int
    other_tries: int
    other_served: int


def draw_cuts(seed: int, duration_s: float) -> tuple[PlannedFault, ...]:
    """Returns the faults of a soak with cut nodes, ordered by start."""
    random = Random(f"cuts {seed}")
    other_kinds = (*OTHER_KINDS, FaultKind.SERVERS_SILENT)
    faults = list(draw_other_faults(random, duration_s, other_kinds))
    at_s = random.uniform(*CUT_GAP_S) / 2
    while at_s + CUT_DURATION_S[0] < duration_s:
        cut_s = min(random.uniform(*CUT_DURATION_S), duration_s - at_s)
        faults.append(draw_fault(random, FaultKind.NODES_CUT_OFF, at_s, cut_s))
        at_s += random.uniform(*CUT_GAP_S)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def cut_outcomes(
    tries: Sequence[CallRecord],
    cuts: Sequence[NodeCut],
    nodes: Iterable[str],
    disturbances: Iterable[NodeDisturbance],
    store_absences: Iterable[NodeDisturbance] = (),
) -> tuple[CutOutcome, ...]:
    """Returns what callers got during each cut.

    A node's tries are not counted while it is disturbed or does not reach the
    store for longer than its lease bears, and until ``CONTACT_S`` later. Those
    at cut nodes are counted only while a node that is not cut is in touch.
    """
    absences = [
        *disturbances,
        *(
            absence
            for absence in store_absences
            if absence.until_s - absence.from_s > BORNE_STORE_ABSENCE_S
        ),
    ]

    def present(node: str, at_s: float) -> bool:
        return in_touch(node, at_s, absences)

    def linked(node: str, at_s: float) -> bool:
        return not any(
            node in cut.nodes and cut.from_s <= at_s < cut.until_s + CONTACT_S
            for cut in cuts
        )

    counted = [
        call
        for call in tries
        if present(call.node, call.sent_s)
        and not any(
            absence.node == call.node
            and call.sent_s <= absence.from_s <= call.ended_s
            for absence in absences
        )
        and any(
            linked(node, call.sent_s) and present(node, call.sent_s)
            for node in nodes
        )
    ]
    outcomes: list[CutOutcome] = []
    for cut in cuts:
        during = [
            call
            for call in counted
            if cut.from_s + CONTACT_S <= call.sent_s < cut.until_s
        ]
        at_cut = [call for call in during if call.node in cut.nodes]
        others = [call for call in during if linked(call.node, call.sent_s)]
        outcomes.append(
            CutOutcome(
                cut,
                len(at_cut),
                _served(at_cut),
                len(others),
                _served(others),
            )
        )
    return tuple(outcomes)


def check_cuts(outcomes: Iterable[CutOutcome]) -> list[Violation]:
    """Checks that callers of cut nodes are served as others are."""
    violations: list[Violation] = []
    for outcome in outcomes:
        failed = outcome.tries - outcome.served
        count = outcome.tries + outcome.other_tries
        if (
            failed > MAX_FAILED + MAX_FAILED_SHARE * count
            and outcome.served * outcome.other_tries
            < MIN_SERVED_RATIO * outcome.other_served * outcome.tries
        ):
            detail = (
                f"{', '.join(outcome.cut.nodes)} ({outcome.cut.way}):"
                f" {outcome.served} of {outcome.tries} served, others"
                f" {outcome.other_served} of {outcome.other_tries}"
            )
            violations.append(
                Violation(Promise.CUT_NODE, outcome.cut.from_s, detail)
            )
    return violations


def _served(calls: Iterable[CallRecord]) -> int:
    return sum(call.status == SUCCESS for call in calls)
