"""Detection and refusal of parts of prompts that crash backend servers.

One part of a prompt may crash each server that begins an answer on it,
whatever else the request holds. A crash accuses the shared parts of the
requests whose answers had not begun; an answer that begins afterwards clears
its parts. A part that is in several crashes of different requests, and in
most of those that no other part explains, is quarantined. Evidence is kept in
facts, so it adds up over processes; ``docs/design/quarantine.md`` gives the
rules and their reasons.
"""

from collections import Counter
from collections import deque
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import comb
from math import exp
from math import inf
from math import log
from random import Random
from typing import Protocol

from xxhash import xxh64_intdigest

from wasabiwing.decoding import parse_whole_number
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.facts import FactRule
from wasabiwing.facts import Facts
from wasabiwing.messages import Fact
from wasabiwing.part_frequencies import PartFrequencies
from wasabiwing.quarantine_facts import is_quarantined
from wasabiwing.quarantine_facts import publish_quarantine
from wasabiwing.quarantine_facts import QUARANTINE_FACT_KIND
from wasabiwing.timers import TimerService

# A request whose answer had not begun when its server crashed, with the keys
# of its shared parts.
CRASH_PARTS_FACT_KIND = "crash_parts"
# The epoch of a part up to which evidence against it is void.
CLEARED_FACT_KIND = "part_cleared"
# A node lets one request with a quarantined part through.
PROBE_FACT_KIND = "part_probe"

# Distinguishes a part from a request's digest among the quarantines.
PART_PREFIX = "part-"

EVIDENCE_LIFETIME_S = 600.0
# Longer than that of the evidence, which would otherwise be valid again.
CLEARED_LIFETIME_S = 1200.0
# Time in which the outcome of a probe has to be known, in seconds.
PROBE_LIFETIME_S = 10.0

PART_KEY_BYTES = 6
# Length of the digests by which the requests of a crash are told apart.
REQUEST_KEY_DIGITS = 12

# Shared parts of one request that are remembered, and requests in crashes.
MAX_PARTS = 16
MAX_SIGHTINGS = 1000

# Crashes and different requests after which a part may be quarantined.
MIN_CRASHES = 3
MIN_REQUESTS = 2
# The same for a part on which an answer began after earlier crashes.
MIN_CRASHES_AFTER_CLEARANCE = 5
# Other answers that must have begun at this process since these crashes:
# while no server answers, sound parts are not cleared either.
MIN_OTHER_ANSWERS = 2
# Crashes after which a part is quarantined even while no server answers, if
# so many of the latest crashes have it that chance would put it there with
# less than this probability.
MIN_CRASHES_WITHOUT_ANSWERS = 5
MAX_CHANCE = 0.01
MAX_LATEST_CRASHES = 30
# Largest probability that a sound part is in so many crashes and in none of
# the answers after them, with which it is quarantined.
MAX_COINCIDENCE = 0.05
# Different requests or crashes after which the deepest of several parts that
# explain the same crashes is quarantined.
MIN_REQUESTS_OF_TIE = 3
MIN_CRASHES_OF_TIE = 5
# Further crashes and requests after which a part replaces a quarantined one
# whose crashes all had it.
MIN_FURTHER_CRASHES = 2

# Delay from the last crash that a verdict needs to the verdict, in seconds.
# Within it an answer that begins on a sound part clears it everywhere.
JUDGEMENT_DELAY_S = 1.0

# Time after its first event for which an answer must go on before it counts
# as begun, in seconds.
SETTLE_S = 0.2

# Longest further delay of a clearance, in seconds, and the steepness of its
# distribution. Most processes draw a long delay and hear of an earlier
# clearance meanwhile.
CLEARANCE_SPREAD_S = 0.4
CLEARANCE_STEEPNESS = 6.0

# Time in which all processes hear of a clearance, in seconds.
CLEARANCE_KNOWN_S = SETTLE_S + CLEARANCE_SPREAD_S + 0.2

# Shortest time between two answers that count as others, in seconds, and the
# number of such answers that are remembered.
ANSWER_SAMPLE_S = 0.1
MAX_ANSWER_SAMPLES = 64

# A verdict that an answer ends within this time was wrong, in seconds: the
# crashes have another cause.
WRONG_VERDICT_S = 20.0

# Time from a verdict to its first probe, in seconds; doubled by each probe
# that crashes a server, up to the longest time.
PROBE_AFTER_S = 30.0
MAX_PROBE_AFTER_S = 600.0

# Share of the processes that may probe when a probe is due, and the time in
# which the share doubles, in seconds. With few processes at once, two rarely
# begin before one has heard of the other.
FIRST_PROBE_SHARE = 1 / 512
PROBE_SHARE_DOUBLING_S = 1.0

EXPIRY_PERIOD_S = 5.0

HASH_RANGE = 2.0**64


class PromptCall(Protocol):
    """Request with a prompt of which other requests may share parts."""

    @property
    def request_id(self) -> str:
        """Id of the request; each repeat of a request has its own."""

    @property
    def prompt_scope(self) -> str:
        """Service or pool within which equal parts are compared."""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may have too."""


def part_keys(call: PromptCall) -> dict[str, str]:
    """Returns the ids of a prompt's shared parts by their keys, in order."""
    return {
        blake2b(
            f"{call.prompt_scope}\0{part}".encode(), digest_size=PART_KEY_BYTES
        ).hexdigest(): part
        for part in _bounded(call.shared_parts)
    }


def has_answer_settled(answer_began_at: float | None, now: float) -> bool:
    """Whether an answer had gone on for long enough before a crash.

    Times are in monotonic seconds; ``None`` stands for no first event.
    """
    return answer_began_at is not None and answer_began_at + SETTLE_S < now


def _bounded(parts: tuple[str, ...]) -> Iterable[str]:
    """Returns parts at growing distances, the last one among them.

    All parts are returned unless there are more than ``MAX_PARTS``.
    """
    count = len(parts)
    if count <= MAX_PARTS:
        return parts
    step = count ** (1 / (MAX_PARTS - 1))
    positions = {
        max(number, round(step**number) - 1) for number in range(MAX_PARTS)
    }
    return tuple(
        parts[min(position, count - 1)] for position in sorted(positions)
    )


@dataclass(frozen=True, slots=True)
class _Sighting:
    """A request whose answer had not begun when its server crashed."""

    # Server id and number of the crash, "server/number".
    crash: str
    request: str
    # Epoch of each part when the crash was reported, in order of the prompt.
    epoch_by_part: dict[str, int]
    # Monotonic time at which this process heard of it, in seconds.
    heard_at: float


@dataclass(frozen=True, slots=True)
class _Clearance:
    """Clearance of a part that is about to be published."""

    due_at: float
    request_id: str


@dataclass(frozen=True, slots=True)
class _Case:
    """Evidence against one part."""

    part: str
    # Crashes that no quarantined part explains, and all crashes.
    unexplained: frozenset[str]
    crashes: frozenset[str]
    requests: frozenset[str]
    # Whether answers began on the part before.
    answered_before: bool
    # Greatest position in a prompt.
    depth: int
    # Time at which the part may be judged; infinite as long as none is known.
    due_at: float
    # Whether no other answers began since the crashes.
    by_chance_only: bool

    @property
    def weight(self) -> tuple[bool, int, int]:
        """How well the part explains crashes; the greatest is judged."""
        return (
            not self.answered_before,
            len(self.unexplained),
            len(self.crashes),
        )


class CrashingParts:
    """Evidence against parts of prompts that one process knows.

    ``store_verdict`` is called with the key of each quarantine that begins
    or ends on evidence of this process; ``count_refusal`` with the key of the
    part for which a request is refused.
    """

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        facts: Facts,
        judge_period_s: float,
        store_verdict: Callable[[str], None],
        count_refusal: Callable[[str], None],
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._facts = facts
        self._store_verdict = store_verdict
        self._count_refusal = count_refusal
        self._random = Random(node_id)
        self._sighting_by_key: OrderedDict[str, _Sighting] = OrderedDict()
        # Keys of the sightings that count against each part.
        self._keys_by_part: dict[str, set[str]] = {}
        self._locally_seen_parts: set[str] = set()
        self._clearance_by_part: dict[str, _Clearance] = {}
        # Parts that were ever quarantined, with the time at which the latest
        # verdict was heard.
        self._heard_at_by_verdict: dict[str, float] = {}
        self._probing_request_by_part: dict[str, str] = {}
        self._evidence_changed = False
        # Crashes that parts explain; ``None`` after changes.
        self._explained: set[str] | None = None
        # Sample of the times at which answers began here, or elsewhere as
        # clearances show.
        self._answer_times: deque[float] = deque(maxlen=MAX_ANSWER_SAMPLES)
        self._frequencies = PartFrequencies(timer)
        # Time at which each verdict in force began, as heard.
        self._accused_at_by_part: dict[str, float] = {}
        for kind, lifetime_s, callback in (
            (CRASH_PARTS_FACT_KIND, EVIDENCE_LIFETIME_S, self._on_sighting),
            (CLEARED_FACT_KIND, CLEARED_LIFETIME_S, self._on_cleared),
            (PROBE_FACT_KIND, PROBE_LIFETIME_S, None),
        ):
            facts.set_rule(kind, FactRule(lifetime_s))
            if callback is not None:
                facts.subscribe(kind, callback)
        facts.subscribe(QUARANTINE_FACT_KIND, self._on_verdict)
        timer.subscribe(judge_period_s, self._tick)
        timer.subscribe(EXPIRY_PERIOD_S, self._expire)

    @property
    def evidence_count(self) -> int:
        """Number of requests in crashes that are remembered."""
        return len(self._sighting_by_key)

    def explained_crashes(self) -> set[str]:
        """Returns the crashes, "server/number", that parts explain."""
        if not self._heard_at_by_verdict:
            return set()
        if self._explained is None:
            self._explained = {
                crash
                for part in self._heard_at_by_verdict
                for crash in self._explained_crashes(part)
            }
        return self._explained

    def refused_part(self, call: PromptCall) -> str:
        """Returns a part for which a request is refused; empty for none.

        The request that probes whether a part still crashes servers is not
        refused.
        """
        if not self._heard_at_by_verdict:
            return ""
        for part in part_keys(call):
            if not self._is_accused(part):
                continue
            if self._probing_request_by_part.get(part) == call.request_id:
                continue
            if not self._begin_probe(part, call.request_id):
                self._count_refusal(part)
                return PART_PREFIX + part
        return ""

    def note_answer_began(self, call: PromptCall) -> None:
        """Prepares to clear the parts of a request whose answer has begun."""
        now = self._timer.now()
        self._sample_answer(now)
        parts = part_keys(call)
        self._frequencies.note_answer(parts)
        if not self._keys_by_part and not self._heard_at_by_verdict:
            return
        for part in parts:
            due_at = now + SETTLE_S
            if not self._is_accused(part):
                if part not in self._keys_by_part:
                    continue
                due_at += self._spread_s()
            planned = self._clearance_by_part.get(part)
            if planned is None or due_at < planned.due_at:
                self._clearance_by_part[part] = _Clearance(
                    due_at, call.request_id
                )

    def withdraw_clearance(self, call: PromptCall) -> None:
        """Clears nothing for a request whose server may have crashed."""
        for part, planned in tuple(self._clearance_by_part.items()):
            if planned.request_id == call.request_id:
                del self._clearance_by_part[part]

    def note_crash(
        self,
        call: PromptCall,
        crash: str,
        digest: str,
        answer_settled: bool,
    ) -> None:
        """Reports a request that ran on a server when it crashed."""
        if answer_settled:
            return
        parts = part_keys(call)
        if not parts:
            return
        self._locally_seen_parts.update(parts)
        self._facts.publish(
            CRASH_PARTS_FACT_KIND,
            f"{crash}/{digest[:REQUEST_KEY_DIGITS]}",
            ",".join(f"{part}.{self._cleared_epoch(part)}" for part in parts),
            1,
        )
        for part in parts:
            if self._probing_request_by_part.get(part) == call.request_id:
                self._renew_verdict(part)

    def _sample_answer(self, began_at: float) -> None:
        times = self._answer_times
        if not times or began_at - times[-1] >= ANSWER_SAMPLE_S:
            times.append(began_at)

    def _spread_s(self) -> float:
        """Returns a random delay in seconds, more often a long one."""
        scale = self._random.random() * (exp(CLEARANCE_STEEPNESS) - 1.0) + 1.0
        return CLEARANCE_SPREAD_S * log(scale) / CLEARANCE_STEEPNESS

    def _is_accused(self, part: str) -> bool:
        return is_quarantined(self._facts, PART_PREFIX + part)

    def _cleared_epoch(self, part: str) -> int:
        """Returns the epoch of new evidence against a part.

        Evidence with a smaller epoch is void.
        """
        fact = self._facts.get(CLEARED_FACT_KIND, part)
        return 0 if fact is None else fact.epoch

    def _on_sighting(self, fact: Fact) -> None:
        crash, _, request = fact.key.rpartition("/")
        epoch_by_part: dict[str, int] = {}
        for item in fact.value.split(",")[:MAX_PARTS]:
            part, _, epoch_text = item.partition(".")
            epoch = parse_whole_number(epoch_text)
            if epoch is None:
                return
            epoch_by_part[part] = epoch
        self._remove_sighting(fact.key)
        self._sighting_by_key[fact.key] = _Sighting(
            crash, request, epoch_by_part, self._timer.now()
        )
        for part, number in epoch_by_part.items():
            if number >= self._cleared_epoch(part):
                self._keys_by_part.setdefault(part, set()).add(fact.key)
        if len(self._sighting_by_key) > MAX_SIGHTINGS:
            self._remove_sighting(next(iter(self._sighting_by_key)))
        self._evidence_changed = True
        self._explained = None

    def _on_cleared(self, fact: Fact) -> None:
        part = fact.key
        self._clearance_by_part.pop(part, None)
        for key in tuple(self._keys_by_part.get(part, ())):
            if self._sighting_by_key[key].epoch_by_part[part] < fact.epoch:
                self._remove_key(part, key)
        self._sample_answer(self._timer.now() - SETTLE_S)
        self._evidence_changed = True
        self._explained = None

    def _on_verdict(self, fact: Fact) -> None:
        if not fact.key.startswith(PART_PREFIX):
            return
        part = fact.key.removeprefix(PART_PREFIX)
        self._heard_at_by_verdict[part] = self._timer.now()
        self._probing_request_by_part.pop(part, None)
        if fact.epoch % 2:
            self._accused_at_by_part.setdefault(part, self._timer.now())
        else:
            self._accused_at_by_part.pop(part, None)
        self._evidence_changed = True
        self._explained = None

    def _remove_sighting(self, key: str) -> None:
        sighting = self._sighting_by_key.pop(key, None)
        if sighting is None:
            return
        self._explained = None
        for part in sighting.epoch_by_part:
            self._remove_key(part, key)

    def _remove_key(self, part: str, key: str) -> None:
        keys = self._keys_by_part.get(part, set())
        keys.discard(key)
        if not keys:
            self._keys_by_part.pop(part, None)

    def _valid_sightings(self, part: str) -> list[_Sighting]:
        """Returns the sightings of a part that no clearance has voided."""
        return [
            self._sighting_by_key[key]
            for key in self._keys_by_part.get(part, ())
        ]

    async def _tick(self) -> None:
        now = self._timer.now()
        for part, planned in tuple(self._clearance_by_part.items()):
            if planned.due_at <= now:
                del self._clearance_by_part[part]
                self._clear(part, planned.request_id)
        if self._evidence_changed:
            self._evidence_changed = self._judge(now)

    def _clear(self, part: str, request_id: str) -> None:
        """Voids the evidence against a part, and ends its quarantine."""
        accused = self._is_accused(part)
        sightings = self._valid_sightings(part)
        if not sightings and not accused:
            return
        epoch = 1 + max(
            (sighting.epoch_by_part[part] for sighting in sightings),
            default=self._cleared_epoch(part),
        )
        self._facts.publish(CLEARED_FACT_KIND, part, "", epoch)
        log_event(
            Event.PART_CLEARED,
            self._node_id,
            part=part,
            request=request_id,
            crashes=sorted({sighting.crash for sighting in sightings}),
        )
        if accused:
            now = self._timer.now()
            accused_s = now - self._accused_at_by_part.get(part, now)
            wrong = accused_s < WRONG_VERDICT_S
            self._end_verdict(part, "wrong" if wrong else f"cleared {epoch}")

    def _judge(self, now: float) -> bool:
        """Quarantines the parts that explain crashes.

        Returns whether parts remain that cannot be judged yet.
        """
        self._end_explained_verdicts()
        # Parts that can't be told apart yet, or whose time has not come, do
        # not keep those from being judged whose crashes they don't explain.
        set_aside: set[str] = set()
        crashes_set_aside: set[str] = set()
        waits = False
        while True:
            found = [
                case
                for case in self._cases()
                if not set_aside
                or case.part not in set_aside
                and len(case.unexplained - crashes_set_aside) >= MIN_CRASHES
            ]
            most = max((len(case.unexplained) for case in found), default=0)
            cases = [
                case
                for case in found
                if case.due_at < inf
                and (not case.by_chance_only or len(case.unexplained) == most)
            ]
            if not cases:
                return waits or bool(found)
            heaviest = max(case.weight for case in cases)
            tied = [case for case in cases if case.weight == heaviest]
            case = max(tied, key=lambda item: (item.depth, item.part))
            is_due = max(case.due_at for case in tied) <= now
            told_apart = len(tied) == 1 or (
                len(case.requests) >= MIN_REQUESTS_OF_TIE
                or len(case.crashes) >= MIN_CRASHES_OF_TIE
            )
            if is_due and told_apart:
                self._begin_verdict(case)
                continue
            waits = waits or not is_due
            for case in tied:
                set_aside.add(case.part)
                crashes_set_aside |= case.unexplained

    def _cases(self) -> list[_Case]:
        """Returns the parts with enough evidence for a quarantine."""
        parts = [
            part
            for part, keys in self._keys_by_part.items()
            if len(keys) >= MIN_CRASHES
        ]
        if not parts:
            return []
        explained_by_accused = {
            part: self._explained_crashes(part)
            for part in self._heard_at_by_verdict
        }
        found = []
        for part in parts:
            if not self._is_accused(part):
                case = self._case(part, explained_by_accused)
                if case is not None:
                    found.append(case)
        return found

    def _case(
        self, part: str, explained_by_accused: dict[str, set[str]]
    ) -> _Case | None:
        sightings = self._valid_sightings(part)
        crashes = {sighting.crash for sighting in sightings}
        if len(crashes) < MIN_CRASHES:
            return None
        unexplained = set(crashes)
        superseded = False
        for explained in explained_by_accused.values():
            if explained and explained < crashes:
                superseded = True
            unexplained -= explained
        requests = {
            sighting.request
            for sighting in sightings
            if sighting.crash in unexplained
        }
        cleared_before = self._cleared_epoch(part) > 0
        needed = MIN_CRASHES
        if superseded:
            needed = MIN_FURTHER_CRASHES
        elif cleared_before:
            needed = MIN_CRASHES_AFTER_CLEARANCE
        if len(unexplained) < needed or len(requests) < MIN_REQUESTS:
            return None
        heard = sorted(
            min(item.heard_at for item in sightings if item.crash == crash)
            for crash in unexplained
        )
        due_at = self._answers_known_at(heard[needed - 1])
        if self._may_be_coincidence(part, unexplained, heard[needed - 1]):
            due_at = inf
        by_chance_only = due_at == inf
        if by_chance_only and self._is_beyond_chance(part, unexplained):
            due_at = heard[needed - 1] + JUDGEMENT_DELAY_S
        return _Case(
            part,
            frozenset(unexplained),
            frozenset(crashes),
            frozenset(requests),
            self._was_answered(part),
            max(list(item.epoch_by_part).index(part) for item in sightings),
            due_at,
            by_chance_only,
        )

    def _chance(self, part: str, crashes: set[str]) -> float:
        """Returns the probability that chance puts a part into crashes.

        It follows from the part's share of the answers that began here
        before.
        """
        explained = self.explained_crashes()
        requests_by_crash: Counter[str] = Counter()
        for sighting in reversed(self._sighting_by_key.values()):
            if sighting.crash in explained:
                continue
            if (
                len(requests_by_crash) >= MAX_LATEST_CRASHES
                and sighting.crash not in requests_by_crash
            ):
                break
            requests_by_crash[sighting.crash] += 1
        count = len(requests_by_crash)
        hits = len(crashes.intersection(requests_by_crash))
        share = self._frequencies.share(part)
        each = sum(
            1.0 - (1.0 - share) ** requests
            for requests in requests_by_crash.values()
        ) / max(count, 1)
        return sum(
            comb(count, number)
            * each**number
            * (1.0 - each) ** (count - number)
            for number in range(hits, count + 1)
        )

    def _may_be_coincidence(
        self, part: str, crashes: set[str], heard_at: float
    ) -> bool:
        """Whether a sound part may be in crashes and in no later answer.

        A frequent part is in most crashes, and the next answers may all be
        on other parts.
        """
        if not self._frequencies.is_known:
            return False
        share = self._frequencies.share(part)
        later_answers = sum(moment > heard_at for moment in self._answer_times)
        chance = self._chance(part, crashes)
        return bool(chance * (1.0 - share) ** later_answers >= MAX_COINCIDENCE)

    def _is_beyond_chance(self, part: str, crashes: set[str]) -> bool:
        """Whether chance hardly explains that so many crashes have a part."""
        return (
            len(crashes) >= MIN_CRASHES_WITHOUT_ANSWERS
            and self._frequencies.is_known
            and self._chance(part, crashes) < MAX_CHANCE
        )

    def _answers_known_at(self, heard_at: float) -> float:
        """Returns when answers that began after a crash are known.

        It is infinite as long as too few have begun.
        """
        later_answers = [
            moment for moment in self._answer_times if moment > heard_at
        ]
        if len(later_answers) < MIN_OTHER_ANSWERS:
            return inf
        last = later_answers[MIN_OTHER_ANSWERS - 1]
        return max(heard_at + JUDGEMENT_DELAY_S, last + CLEARANCE_KNOWN_S)

    def _explained_crashes(self, part: str) -> set[str]:
        """Returns the crashes that a verdict about a part explains.

        A verdict that has ended explains the crashes before its end.
        """
        fact = self._facts.get(QUARANTINE_FACT_KIND, PART_PREFIX + part)
        if fact is None:
            return set()
        before = inf
        if fact.epoch % 2 == 0:
            word, _, epoch_text = fact.value.partition(" ")
            epoch = parse_whole_number(epoch_text)
            if word != "cleared" or epoch is None:
                return set()
            before = epoch
        return {
            sighting.crash
            for sighting in self._sighting_by_key.values()
            if sighting.epoch_by_part.get(part, before) < before
        }

    def _begin_verdict(self, case: _Case) -> None:
        key = PART_PREFIX + case.part
        publish_quarantine(self._facts, key, True, "crashes 0")
        log_event(
            Event.PART_QUARANTINED,
            self._node_id,
            part=case.part,
            crashes=sorted(case.crashes),
            requests=sorted(case.requests),
        )
        if case.part in self._locally_seen_parts:
            self._store_verdict(key)
        for other in tuple(self._heard_at_by_verdict):
            if other == case.part or not self._is_accused(other):
                continue
            explained = self._explained_crashes(other)
            if explained and explained < case.crashes:
                self._end_verdict(other, "superseded")

    def _end_explained_verdicts(self) -> None:
        """Ends verdicts about parts whose crashes other parts explain.

        Parts on which no answer ever began stay quarantined.
        """
        crashes_by_part = {
            part: self._explained_crashes(part)
            for part in self._heard_at_by_verdict
            if self._is_accused(part)
        }
        for part in sorted(
            crashes_by_part, key=lambda item: len(crashes_by_part[item])
        ):
            if not self._was_answered(part):
                continue
            others = set[str]().union(
                *(
                    crashes
                    for other, crashes in crashes_by_part.items()
                    if other != part
                )
            )
            crashes = crashes_by_part[part]
            if crashes and len(crashes - others) < MIN_CRASHES:
                del crashes_by_part[part]
                self._end_verdict(part, "explained")

    def _was_answered(self, part: str) -> bool:
        """Whether an answer on a part has begun, as far as is known here."""
        return (
            self._cleared_epoch(part) > 0 or self._frequencies.share(part) > 0
        )

    def _renew_verdict(self, part: str) -> None:
        """Renews a verdict after a probe crashed a server."""
        key = PART_PREFIX + part
        renewals = self._renewals(part) + 1
        publish_quarantine(self._facts, key, True, f"crashes {renewals}")
        log_event(
            Event.PART_QUARANTINED,
            self._node_id,
            part=part,
            probes=renewals,
        )
        self._store_verdict(key)

    def _end_verdict(self, part: str, reason: str) -> None:
        key = PART_PREFIX + part
        self._accused_at_by_part.pop(part, None)
        publish_quarantine(self._facts, key, False, reason)
        log_event(
            Event.PART_QUARANTINE_ENDED,
            self._node_id,
            part=part,
            reason=reason,
        )
        self._store_verdict(key)

    def _renewals(self, part: str) -> int:
        """Returns the number of probes that crashed a server."""
        fact = self._facts.get(QUARANTINE_FACT_KIND, PART_PREFIX + part)
        count = "" if fact is None else fact.value.partition(" ")[2]
        return parse_whole_number(count) or 0

    def _begin_probe(self, part: str, request_id: str) -> bool:
        """Whether a request may probe a quarantined part now."""
        fact = self._facts.get(QUARANTINE_FACT_KIND, PART_PREFIX + part)
        heard_at = self._heard_at_by_verdict.get(part)
        if fact is None or heard_at is None:
            return False
        doublings = min(self._renewals(part), 32)
        pause_s = min(PROBE_AFTER_S * 2**doublings, MAX_PROBE_AFTER_S)
        overdue_s = self._timer.now() - heard_at - pause_s
        if overdue_s < 0.0 or self._facts.get(PROBE_FACT_KIND, part):
            return False
        share = FIRST_PROBE_SHARE * 2 ** min(
            overdue_s / PROBE_SHARE_DOUBLING_S, 32.0
        )
        draw = xxh64_intdigest(
            f"{self._node_id}\0{part}\0{fact.epoch}".encode()
        )
        if draw / HASH_RANGE >= share:
            return False
        if not self._facts.publish(
            PROBE_FACT_KIND, part, self._node_id, fact.epoch
        ):
            return False
        self._probing_request_by_part[part] = request_id
        log_event(
            Event.PART_PROBED,
            self._node_id,
            part=part,
            request=request_id,
        )
        return True

    async def _expire(self) -> None:
        """Drops state whose facts have expired."""
        held_keys = {
            fact.key for fact in self._facts.all(CRASH_PARTS_FACT_KIND)
        }
        for key in tuple(self._sighting_by_key):
            if key not in held_keys:
                self._remove_sighting(key)
        for part in tuple(self._heard_at_by_verdict):
            key = PART_PREFIX + part
            if self._facts.get(QUARANTINE_FACT_KIND, key) is None:
                del self._heard_at_by_verdict[part]
                self._accused_at_by_part.pop(part, None)
                self._probing_request_by_part.pop(part, None)
        self._locally_seen_parts.intersection_update(self._keys_by_part)
