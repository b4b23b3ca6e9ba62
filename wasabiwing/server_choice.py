"""Chooses the backend server for one attempt at a routed service.

Load pattern: many nodes that see the same, slightly old loads, and prompts
whose computing time differs a hundredfold by what a server has cached. The
choice weighs the time until the first event: queue of uncomputed prompts,
the uncached rest of this prompt, and requests that run beside it. Nothing
here reads a clock or sends anything.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from wasabiwing.rendezvous import rank_members
from wasabiwing.server_loads import LoadEstimate

# Time in seconds that one more running request adds to the first event of
# an engine, and to the answer of a plain service whose slots are taken.
RUNNING_PENALTY_S = 0.002

# A server in another zone must be faster by this many seconds; the traffic
# between zones costs money.
ZONE_PENALTY_S = 0.008

# A server whose requests all fail counts as this much slower, in seconds.
FAILURE_PENALTY_S = 4.0

# A server that did not accept a connection just now, or that has no slot or
# memory left, counts as this much slower, in seconds.
UNUSABLE_PENALTY_S = 10.0

# Servers whose scores differ by less than this are equal, in seconds; a
# stable hash decides between them, so that all nodes agree.
EQUAL_S = 0.004


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may take the request."""

    id: str
    same_zone: bool
    slots: int
    load: LoadEstimate
    # Prompt tokens that the server would have to compute.
    uncached_tokens: int


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """The outcome of a choice."""

    server_id: str
    # Predicted time until the first event, in seconds.
    first_event_s: float
    score_by_server: tuple[tuple[str, float], ...]


def choose_server(
    candidates: Sequence[Candidate],
    affinity_key: str,
    token_s: float,
    base_s: float,
) -> ServerChoice:
    """Returns the best server of at least one.

    ``token_s`` is the time to compute a prompt token and ``base_s`` the time
    to a first event without a queue, in seconds. ``affinity_key`` names the
    shared part of the prompt.
    """
    score_by_id = {
        candidate.id: _score(candidate, token_s) for candidate in candidates
    }
    best_score = min(score_by_id.values())
    equal = [
        server_id
        for server_id, score in score_by_id.items()
        if score - best_score < EQUAL_S
    ]
    chosen = rank_members(affinity_key, equal)[0]
    by_id = {candidate.id: candidate for candidate in candidates}
    return ServerChoice(
        chosen,
        base_s + first_event_work_s(by_id[chosen], token_s),
        tuple(sorted(score_by_id.items(), key=lambda item: item[1])),
    )


def has_room(candidate: Candidate) -> bool:
    """Whether a server would begin to work on a request at once."""
    load = candidate.load
    return not load.avoided and load.running < candidate.slots


def first_event_work_s(candidate: Candidate, token_s: float) -> float:
    """Returns the computing time before the first event, in seconds."""
    tokens = candidate.load.pending_tokens + candidate.uncached_tokens
    return tokens * token_s


def _score(candidate: Candidate, token_s: float) -> float:
    load = candidate.load
    score = first_event_work_s(candidate, token_s)
    score += load.running * RUNNING_PENALTY_S
    score += load.failure_share * FAILURE_PENALTY_S
    if not candidate.same_zone:
        score += ZONE_PENALTY_S
    if not has_room(candidate):
        score += UNUSABLE_PENALTY_S
    return score
