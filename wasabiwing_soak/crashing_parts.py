"""Prompt parts that crash servers: prompts of callers, and the promises.

All times are seconds from the start of traffic.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random

from wasabiwing_soak.fault_schedule import draw_fault
from wasabiwing_soak.fault_schedule import FaultKind
from wasabiwing_soak.fault_schedule import PlannedFault
from wasabiwing_soak.promises import CallRecord
from wasabiwing_soak.promises import NodeDisturbance
from wasabiwing_soak.promises import Promise
from wasabiwing_soak.promises import RequestArrival
from wasabiwing_soak.promises import SUCCESS
from wasabiwing_soak.promises import Violation

# Time in which all nodes learn what one of them has seen, in seconds.
CONTACT_S = 3.0

# Crashes of servers after which a part's requests are refused, and the number
# of requests that may reach servers later.
CRASHES_BEFORE_VERDICT = 5
MAX_LATE_ARRIVALS = 3

# Requests that have to be sent before shares are compared, and the smallest
# share of sound requests that are served in proportion to other times.
MIN_COMPARED = 20
MIN_SERVED_FACTOR = 0.5

# Shortest and longest period in which a part crashes servers, and the pause
# before the next one, in seconds.
PERIOD_S = (12.0, 20.0)
PAUSE_S = (2.0, 8.0)

# Mean time between two other faults, and their shortest and longest duration,
# in seconds.
MEAN_OTHER_GAP_S = 4.0
OTHER_DURATION_S = (0.3, 2.0)

OTHER_KINDS = (
    FaultKind.NODE_STOPPED,
    FaultKind.NODE_KILLED,
    FaultKind.SETTINGS_SIGNAL,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_LINK_SILENT,
    FaultKind.CONFIGURATION_CHANGED,
    FaultKind.SERVER_SAYS_LEAVING,
)

# Parts that come first in prompts, and those that follow.
FIRST_PARTS = ("a0", "a1")
OTHER_PARTS = tuple(f"b{number}" for number in range(8))
PART_TOKENS = 40

# Fraction of the prompts that have a crashing part.
CRASHING_SHARES = (0.05, 0.15, 0.3)


@dataclass(frozen=True, slots=True)
class PartPeriod:
    """A period in which a prompt part crashed servers."""

    part: str
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """What a crashing part cost servers and sound requests."""

    part: str
    from_s: float
    crashes: int
    # Requests with the part that were sent to servers after the verdict.
    late_arrivals: int
    # Sound requests after the verdict, and those at other times.
    sound: int
    sound_served: int
    other: int
    other_served: int


@dataclass(slots=True)
class PromptDraw:
    """Draws the prompts of callers, with the parts that crash servers now."""

    # Fraction of the prompts that get each crashing part.
    share_by_part: dict[str, float] = field(default_factory=dict)

    def draw(self, random: Random, body: str) -> tuple[str, ...]:
        """Returns the parts of a prompt; the last one is the request's own."""
        parts = [random.choice(FIRST_PARTS), random.choice(OTHER_PARTS)]
        for part, share in self.share_by_part.items():
            if random.random() < share:
                parts.insert(random.randint(0, len(parts)), part)
        return (*parts, body.encode().hex())

    def crashes(self, headers: Mapping[str, str]) -> bool:
        """Returns whether a request crashes the server that runs it."""
        entries = headers.get("wasabiwing-prompt-prefix", "").split(",")
        parts = [entry.partition(":")[0] for entry in entries[:-1]]
        return not self.share_by_part.keys().isdisjoint(parts)


def prompt_header(parts: Iterable[str]) -> str:
    """Returns the header that names a prompt's parts."""
    return ",".join(f"{part}:{PART_TOKENS}" for part in parts)


def draw_part_crashes(
    seed: int, duration_s: float
) -> tuple[PlannedFault, ...]:
    """Returns the faults of a soak with crashing parts, ordered by start."""
    random = Random(f"parts {seed}")
    faults: list[PlannedFault] = []
    # Traffic without a crashing part comes first, for comparison.
    at_s = random.uniform(*PAUSE_S) + CONTACT_S
    while at_s + PERIOD_S[0] < duration_s:
        period_s = min(random.uniform(*PERIOD_S), duration_s - at_s)
        # Sometimes two parts at once.
        for _ in range(random.choice((1, 1, 2))):
            faults.append(
                draw_fault(random, FaultKind.PART_CRASHES, at_s, period_s)
            )
        at_s += period_s + random.uniform(*PAUSE_S) + CONTACT_S
    faults += draw_other_faults(random, duration_s, OTHER_KINDS)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def draw_other_faults(
    random: Random, duration_s: float, kinds: Sequence[FaultKind]
) -> Iterator[PlannedFault]:
    """Yields short faults that come beside those of a soak's subject."""
    at_s = random.expovariate(1 / MEAN_OTHER_GAP_S)
    while at_s + OTHER_DURATION_S[1] < duration_s:
        yield draw_fault(
            random,
            random.choice(kinds),
            at_s,
            random.uniform(*OTHER_DURATION_S),
        )
        at_s += random.expovariate(1 / MEAN_OTHER_GAP_S)


def part_outcomes(
    calls: Sequence[CallRecord],
    arrivals: Iterable[RequestArrival],
    periods: Sequence[PartPeriod],
    absences: Sequence[NodeDisturbance],
) -> tuple[PartOutcome, ...]:
    """Returns what each crashing part cost after it could be known.

    ``absences`` are periods in which a node was disturbed or could not reach
    the store; it is not judged until ``CONTACT_S`` later.
    """
    call_by_body = {call.body: call for call in calls if call.parts}
    calm = [
        call
        for call in call_by_body.values()
        if in_touch(call.node, call.sent_s, absences)
    ]
    prompts = [
        (arrival, call_by_body[arrival.body])
        for arrival in sorted(arrivals, key=lambda item: item.at_s)
        if arrival.body in call_by_body
    ]
    crashing_parts = {period.part for period in periods}
    sound = [
        call for call in calm if crashing_parts.isdisjoint(call.parts[:-1])
    ]
    others = [
        call
        for call in sound
        if not any(
            period.from_s <= call.sent_s < period.until_s + CONTACT_S
            for period in periods
        )
    ]
    outcomes: list[PartOutcome] = []
    for period in periods:
        hits = [
            (arrival, call)
            for arrival, call in prompts
            if period.part in call.parts[:-1]
        ]
        crashes = [arrival for arrival, _ in hits if arrival.crashed]
        if not crashes:
            continue
        known = crashes[:CRASHES_BEFORE_VERDICT][-1].at_s + CONTACT_S
        late = [
            arrival
            for arrival, call in hits
            if len(crashes) >= CRASHES_BEFORE_VERDICT
            and known < arrival.at_s
            and in_touch(call.node, arrival.at_s, absences)
        ]
        during = [
            call
            for call in sound
            if known + CONTACT_S <= call.sent_s < period.until_s
        ]
        outcomes.append(
            PartOutcome(
                period.part,
                period.from_s,
                len(crashes),
                len(late),
                len(during),
                _served(during),
                len(others),
                _served(others),
            )
        )
    return tuple(outcomes)


def check_parts(outcomes: Iterable[PartOutcome]) -> list[Violation]:
    """Checks that crashing parts are refused and that sound requests go on."""
    violations: list[Violation] = []
    for outcome in outcomes:
        if outcome.late_arrivals > MAX_LATE_ARRIVALS:
            detail = (
                f"{outcome.part}: {outcome.late_arrivals} requests after"
                f" {CRASHES_BEFORE_VERDICT} crashes, {outcome.crashes} in all"
            )
            violations.append(
                Violation(Promise.CRASHING_PART, outcome.from_s, detail)
            )
        if (
            min(outcome.sound, outcome.other) >= MIN_COMPARED
            and outcome.sound_served / outcome.sound
            < MIN_SERVED_FACTOR * outcome.other_served / outcome.other
        ):
            detail = (
                f"{outcome.part}: {outcome.sound_served} of {outcome.sound}"
                f" served, at other times {outcome.other_served} of"
                f" {outcome.other}"
            )
            violations.append(
                Violation(Promise.SOUND_REQUESTS, outcome.from_s, detail)
            )
    return violations


def store_absences(
    schedule: Iterable[PlannedFault], nodes: Sequence[str]
) -> list[NodeDisturbance]:
    """Returns the periods in which nodes could not reach the store."""
    absences: list[NodeDisturbance] = []
    for fault in schedule:
        affected: Sequence[str] = ()
        if fault.kind is FaultKind.STORE_SILENT:
            affected = nodes
        elif fault.kind is FaultKind.STORE_LINK_SILENT:
            affected = (nodes[fault.target % len(nodes)],)
        absences += [
            NodeDisturbance(node, False, fault.at_s, fault.ends_s)
            for node in affected
        ]
    return absences


def in_touch(
    node: str, at_s: float, absences: Iterable[NodeDisturbance]
) -> bool:
    """Returns whether a node was not absent for ``CONTACT_S``."""
    return not any(
        item.node == node and item.from_s <= at_s < item.until_s + CONTACT_S
        for item in absences
    )


def _served(calls: Iterable[CallRecord]) -> int:
    return sum(call.status == SUCCESS for call in calls)
