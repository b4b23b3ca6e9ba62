"""Simulation of nodes that place prompts on simulated engines by a policy.

All nodes see the same loads, which are as old as their last exchange. The
fake timer advances in small steps and random numbers are seeded, so that a
replay of the same prompts has one result.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random

from wasabiwing.call_refusal import misses_deadline
from wasabiwing.call_refusal import misses_deadline_as_late
from wasabiwing.call_refusal import misses_latency_target
from wasabiwing.call_refusal import retry_after_s
from wasabiwing.candidate_sets import candidate_sets
from wasabiwing.candidate_sets import expected_cached_tokens
from wasabiwing.candidate_sets import search_candidate_sets
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.refused_shares import RefusedShares
from wasabiwing.report_aggregation import add_load
from wasabiwing.report_aggregation import subtract_own_load
from wasabiwing.routed_calls import LATE_CLASS
from wasabiwing.routed_calls import PromptPart
from wasabiwing.routed_calls import URGENCY_CLASSES
from wasabiwing.server_choice import Candidate
from wasabiwing.server_choice import choose_server
from wasabiwing.server_choice import ServerChoice
from wasabiwing.server_loads import NodeLoad
from wasabiwing.server_loads import ServerLoads
from wasabiwing.timers import FakeTimer
from wasabiwing_standins.simulated_engine import FIRST_EVENT_DELAY_S
from wasabiwing_standins.simulated_engine import QueuedPrompt
from wasabiwing_standins.simulated_engine import SimulatedEngine
from wasabiwing_standins.simulated_engine import TOKENS_PER_S

STEP_S = 0.01
EXCHANGE_PERIOD_S = 0.25
# Period in which many nodes exchange the aggregate of their loads.
AGGREGATE_PERIOD_S = 0.75
SERVICE = "models"


@dataclass(frozen=True, slots=True)
class PromptKind:
    """Targets, utility, parts and usual rate of one kind of request."""

    name: str
    urgency_class: int
    target_s: float
    deadline_s: float
    utility: float
    # Tokens of the two shared parts, and mean tokens of the own part.
    shared: tuple[int, int]
    own: int
    # Numbers of different first and second shared parts.
    variant_counts: tuple[int, int]
    per_s: float


QUOTE = PromptKind(
    "quote", 0, 0.6, 5.0, 4.2, (2520, 3780), 2890, (4, 123), 14.0
)
NOTES = PromptKind(
    "notes", 1, 1.0, 3.0, 1.0, (341, 227), 1800, (20, 151), 17.0
)
CHAT = PromptKind("chat", 2, 1.5, 15.0, 0.93, (103, 69), 543, (8, 109), 5.5)
KINDS = (QUOTE, NOTES, CHAT)


@dataclass(slots=True)
class Prompt:
    """One request of the replay and its outcome."""

    id: str
    kind: PromptKind
    arrived_at: float
    parts: tuple[PromptPart, ...]
    first_event_at: float | None = None
    refused_at: float | None = None
    # Whether the request is sent as late work, which engines compute last.
    late: bool = False
    # Whether the caller has returned after a refusal, and the seconds after
    # which the policy asks a refused caller to return.
    returned: bool = False
    retry_after_s: float = 0.0

    @property
    def tokens(self) -> int:
        """Tokens of all parts of the prompt."""
        return sum(part.tokens for part in self.parts)


@dataclass(slots=True)
class Result:
    """Outcomes of all requests, and tokens that the engines computed."""

    prompts: list[Prompt] = field(default_factory=list)
    computed_tokens: int = 0

    def in_time(self, kind: PromptKind | None = None) -> float:
        """Share of the requests of a kind with an in-time first event."""
        chosen = [p for p in self.prompts if kind in (None, p.kind)]
        return sum(map(_is_in_time, chosen)) / max(len(chosen), 1)

    def utility_share(self) -> float:
        """Utility of the served requests as a share of that of all requests.

        A request counts a tenth if its first event comes after the target but
        before the deadline.
        """
        earned = sum(
            prompt.kind.utility * (1.0 if _is_in_time(prompt) else 0.1)
            for prompt in self.prompts
            if prompt.first_event_at is not None
            and prompt.first_event_at - prompt.arrived_at
            < prompt.kind.deadline_s
        )
        return earned / sum(prompt.kind.utility for prompt in self.prompts)


def _is_in_time(prompt: Prompt) -> bool:
    return (
        prompt.first_event_at is not None
        and prompt.first_event_at - prompt.arrived_at <= prompt.kind.target_s
    )


class ReplayNode:
    """What one node knows of the servers."""

    def __init__(self, node_id: str, timer: FakeTimer) -> None:
        self.id = node_id
        self.rates = PrefillRates()
        self.loads = ServerLoads(timer, self.rates)
        self.prompts = PromptCacheIndex()
        self.shares = RefusedShares(timer)
        # Servers and shared parts of prompts placed since the last exchange.
        self.placed: list[tuple[str, tuple[PromptPart, ...]]] = []

    def candidates(
        self, prompt: Prompt, servers: Sequence[str]
    ) -> list[Candidate]:
        """Returns the servers as candidates with this node's estimates."""
        found = []
        for server_id in servers:
            cached = self.prompts.cached_tokens(server_id, prompt.parts)
            found.append(
                Candidate(
                    server_id,
                    True,
                    64,
                    self.loads.estimate(
                        server_id, SERVICE, prompt.kind.urgency_class
                    ),
                    max(prompt.tokens - cached, 1),
                )
            )
        return found


# Returns the chosen server, or ``None`` to refuse.
Policy = Callable[[ReplayNode, Prompt, Sequence[str], float], str | None]


def product_policy(
    node: ReplayNode, prompt: Prompt, servers: Sequence[str], now: float
) -> str | None:
    """Chooses a server, or refuses, by the rules of a node."""
    chosen = place_without_refusal(node, prompt, servers, now)
    if chosen is None:
        return None
    [candidate] = node.candidates(prompt, [chosen])
    work = candidate.load.pending_tokens + candidate.uncached_tokens
    first_event_s = FIRST_EVENT_DELAY_S + work / TOKENS_PER_S
    remaining_s = prompt.kind.deadline_s - (now - prompt.arrived_at)
    in_time_s = prompt.kind.target_s - (now - prompt.arrived_at)
    prompt.retry_after_s = retry_after_s(first_event_s, remaining_s, 0.5)
    if not misses_deadline(
        first_event_s, remaining_s
    ) and not misses_latency_target(first_event_s, in_time_s, candidate.load):
        return chosen
    return _place_late(node, prompt, servers, remaining_s)


def refusing_policy(
    node: ReplayNode, prompt: Prompt, servers: Sequence[str], now: float
) -> str | None:
    """Chooses a server by the rules of a node without late work."""
    chosen = product_policy(node, prompt, servers, now)
    if prompt.late:
        prompt.late = False
        return None
    return chosen


def _place_late(
    node: ReplayNode,
    prompt: Prompt,
    servers: Sequence[str],
    remaining_s: float,
) -> str | None:
    """Chooses the server that computes late work first, if early enough."""
    if not node.shares.may_run_late(SERVICE, prompt.kind.urgency_class):
        return None
    work_by_server = {
        candidate.id: candidate.uncached_tokens
        + node.loads.estimate(candidate.id, SERVICE, LATE_CLASS).pending_tokens
        for candidate in node.candidates(prompt, servers)
    }
    best = min(work_by_server, key=lambda item: work_by_server[item])
    first_event_s = FIRST_EVENT_DELAY_S + work_by_server[best] / TOKENS_PER_S
    prompt.late = not misses_deadline_as_late(first_event_s, remaining_s)
    return best if prompt.late else None


def place_without_refusal(
    node: ReplayNode, prompt: Prompt, servers: Sequence[str], now: float
) -> str | None:
    """Chooses a server by the rules of a node and refuses nothing."""
    if not servers:
        return None
    return _choose(prompt, node.candidates(prompt, servers)).server_id


def _choose(prompt: Prompt, candidates: Sequence[Candidate]) -> ServerChoice:
    return choose_server(
        candidates,
        prompt.parts[-2].id,
        1.0 / TOKENS_PER_S,
        FIRST_EVENT_DELAY_S,
    )


def place_from_candidate_sets(
    node: ReplayNode, prompt: Prompt, servers: Sequence[str], now: float
) -> str | None:
    """Chooses from candidate sets, as one of many nodes; refuses nothing."""
    shared = sum(part.tokens for part in prompt.parts[:-1])

    def candidate_of(server_id: str, place: int | None) -> Candidate:
        [found] = node.candidates(prompt, [server_id])
        if place is None:
            return found
        expected = expected_cached_tokens(place, shared)
        uncached = min(found.uncached_tokens, prompt.tokens - expected)
        return replace(found, uncached_tokens=max(uncached, 1))

    placement = search_candidate_sets(
        candidate_sets(prompt.parts[-2].id, prompt.id, servers),
        candidate_of,
        lambda candidates: _choose(prompt, candidates),
        lambda placement: placement.first_event_s <= prompt.kind.target_s,
    )
    return None if placement is None else placement.server_id


def random_policy(seed: int) -> Policy:
    """Returns a baseline that chooses servers at random."""
    random = Random(seed)

    def choose(
        node: ReplayNode, prompt: Prompt, servers: Sequence[str], now: float
    ) -> str | None:
        return random.choice(list(servers)) if servers else None

    return choose


def least_outstanding(
    node: ReplayNode, prompt: Prompt, servers: Sequence[str], now: float
) -> str | None:
    """Chooses the server with the fewest requests, as a baseline."""
    found = node.candidates(prompt, servers)
    if not found:
        return None
    return min(found, key=lambda item: (item.load.running, item.id)).id


def prefix_only(
    node: ReplayNode, prompt: Prompt, servers: Sequence[str], now: float
) -> str | None:
    """Chooses the server with most of the prompt cached, as a baseline."""
    found = node.candidates(prompt, servers)
    if not found:
        return None
    return min(found, key=lambda item: (item.uncached_tokens, item.id)).id


def arrivals(
    seed: int,
    seconds: float,
    rate: Callable[[PromptKind, float], float],
    hot_share: float = 0.0,
) -> list[Prompt]:
    """Draws the requests of a Poisson process for each kind.

    ``rate`` is a factor on a kind's usual rate at a time. The share
    ``hot_share`` of the quotes has the same shared parts.
    """
    random = Random(seed)
    found: list[Prompt] = []
    for kind in KINDS:
        now = 0.0
        while True:
            now += random.expovariate(kind.per_s * max(rate(kind, now), 0.01))
            if now > seconds:
                break
            first, second = (
                random.randrange(count) for count in kind.variant_counts
            )
            if kind is QUOTE and random.random() < hot_share:
                first, second = 0, 0
            number = len(found)
            own = max(int(random.lognormvariate(0.0, 0.9) * kind.own / 1.5), 5)
            parts = (
                PromptPart(f"{kind.name}-{first}", kind.shared[0]),
                PromptPart(f"{kind.name}-{first}-{second}", kind.shared[1]),
                PromptPart(f"own-{number}", min(own, 12 * kind.own)),
            )
            found.append(Prompt(f"r{number}", kind, now, parts))
    return sorted(found, key=lambda prompt: prompt.arrived_at)


async def replay(
    prompts: list[Prompt],
    policy: Policy,
    servers: int = 5,
    nodes: int = 7,
    engines_lost_at: tuple[float, int] | None = None,
    many_nodes: bool = False,
    callers_return: bool = False,
) -> Result:
    """Replays requests and returns their outcomes.

    With ``callers_return``, a refused caller comes back once, after the time
    that the policy has named.

    ``engines_lost_at`` is a time and the number of engines that fail at it.
    With ``many_nodes``, nodes get the aggregate of all loads, less often, and
    do not learn what others have placed.
    """
    timer = FakeTimer(0.0)
    engines = [
        SimulatedEngine(f"server-{number}") for number in range(servers)
    ]
    by_id = {engine.id: engine for engine in engines}
    fleet = [ReplayNode(f"node-{number}", timer) for number in range(nodes)]
    result = Result([], 0)
    random = Random(7)
    running: dict[str, tuple[Prompt, ReplayNode, str]] = {}
    waiting_events: list[tuple[float, str]] = []
    returning: list[tuple[float, Prompt]] = []
    pending = [
        Prompt(prompt.id, prompt.kind, prompt.arrived_at, prompt.parts)
        for prompt in prompts
    ]
    result.prompts = list(pending)
    end = pending[-1].arrived_at + 6.0
    next_report = 0.0
    while timer.now() < end:
        now = timer.now()
        if engines_lost_at is not None and now >= engines_lost_at[0]:
            for engine in engines[: engines_lost_at[1]]:
                for request_id in engine.fail():
                    _, node, server_id = running.pop(request_id)
                    node.loads.note_ended(server_id, request_id, True)
            engines_lost_at = None
        alive = [engine.id for engine in engines if not engine.failed]
        due = [prompt for at, prompt in returning if at <= now]
        returning = [item for item in returning if item[0] > now]
        while pending and pending[0].arrived_at <= now:
            due.append(pending.pop(0))
        for prompt in due:
            node = random.choice(fleet)
            chosen = policy(node, prompt, alive, now)
            node.shares.note(
                SERVICE, prompt.kind.urgency_class, chosen is None
            )
            if chosen is None:
                prompt.refused_at = now
                if callers_return and not prompt.returned:
                    prompt.returned = True
                    returning.append((now + prompt.retry_after_s, prompt))
                continue
            prompt.refused_at = None
            _send(by_id[chosen], node, prompt, now)
            running[prompt.id] = (prompt, node, chosen)
        for engine in engines:
            for event in engine.advance(now):
                result.computed_tokens += event.computed_tokens
                waiting_events.append((event.at, event.request_id))
        for at, request_id in [item for item in waiting_events]:
            if at <= now and request_id in running:
                prompt, node, server_id = running.pop(request_id)
                prompt.first_event_at = at
                node.loads.note_first_event(server_id, request_id)
                node.loads.note_ended(server_id, request_id, False)
        waiting_events = [item for item in waiting_events if item[0] > now]
        if now >= next_report:
            if many_nodes:
                next_report = now + AGGREGATE_PERIOD_S
                _exchange_aggregate(fleet)
            else:
                next_report = now + EXCHANGE_PERIOD_S
                _exchange_loads(fleet)
        await timer.advance(STEP_S)
    return result


def _send(
    engine: SimulatedEngine, node: ReplayNode, prompt: Prompt, now: float
) -> None:
    cached = node.prompts.cached_tokens(engine.id, prompt.parts)
    urgency_class = min(prompt.kind.urgency_class, URGENCY_CLASSES - 1)
    if prompt.late:
        urgency_class = LATE_CLASS
    node.loads.note_sent(
        engine.id, prompt.id, urgency_class, max(prompt.tokens - cached, 1)
    )
    node.prompts.note_prompt(engine.id, prompt.parts)
    node.placed.append((engine.id, prompt.parts[:-1]))
    engine.submit(QueuedPrompt(urgency_class, now, prompt.id, prompt.parts))


def _exchange_aggregate(fleet: Sequence[ReplayNode]) -> None:
    total: dict[str, NodeLoad] = {}
    for node in fleet:
        for server_id, load in node.loads.own_load_by_server().items():
            add_load(total, server_id, load)
    for node in fleet:
        others = subtract_own_load(total, node.loads.own_load_by_server())
        node.loads.replace_peer_loads({"fleet": others})


def _exchange_loads(fleet: Sequence[ReplayNode]) -> None:
    loads = {node.id: node.loads.own_load_by_server() for node in fleet}
    for node in fleet:
        for peer_id, load in loads.items():
            if peer_id != node.id:
                node.loads.note_peer_loads(peer_id, load)
    for sender in fleet:
        for node in fleet:
            if node is not sender:
                for server_id, parts in sender.placed:
                    node.prompts.note_prompt(server_id, parts)
        sender.placed.clear()
