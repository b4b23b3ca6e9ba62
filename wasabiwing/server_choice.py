"""Scores the backend servers for one attempt at a routed service.

Load pattern: many nodes that see the same, slightly old loads, and prompts
whose computing time differs by a factor of a hundred, depending on what a
server has cached. A score is the expected time until the first event: the
uncomputed prompts in the server's queue, the uncached rest of this prompt,
and the requests that run beside it, all multiplied by the server's slowdown at
the moment. This module reads no clock and sends
nothing.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from wasabiwing.rendezvous import rank_members
from wasabiwing.server_loads import LoadEstimate

# Seconds by which each running request delays the first event of an engine,
# or the answer of a plain service whose slots are taken.
RUNNING_PENALTY_S = 0.002

# Penalty of a server in another zone, in seconds; traffic between zones costs
# money.
ZONE_PENALTY_S = 0.008

# Penalty of a server to which this node has no idle connection, in seconds:
# the round trips of a new one, and the slot that it holds meanwhile.
CONNECT_PENALTY_S = 0.004

# Penalty of a server whose requests all fail, in seconds; a smaller share of
# failures counts in proportion.
FAILURE_PENALTY_S = 4.0

# Penalty in seconds of a server that recently did not accept a connection or
# that has no free slot.
UNUSABLE_PENALTY_S = 10.0

# Servers whose scores differ by less than this many seconds count as equal; a
# stable hash decides between them, so that all nodes agree.
EQUAL_S = 0.004


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may take the request."""

    id: str
    same_zone: bool
    slots: int
    load: LoadEstimate
    # Tokens of this prompt that the server would have to compute.
    uncached_tokens: int
    # Whether a new connection has to be opened first.
    needs_connection: bool = False


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """The chosen server of one attempt, with the scores of all candidates."""

    server_id: str
    # Predicted time until the chosen server's first event, in seconds.
    first_event_s: float
    # Scores in seconds by server id, the best first.
    score_by_server: tuple[tuple[str, float], ...]


def choose_server(
    candidates: Sequence[Candidate],
    affinity_key: str,
    token_s: float,
    base_s: float,
) -> ServerChoice:
    """Returns the best server of at least one candidate.

    ``token_s`` is the time to compute a prompt token and ``base_s`` the time
    until the first event without a queue and a prompt, in seconds; for plain
    requests it is that of the whole answer. ``affinity_key`` identifies the
    shared part of the prompt; servers with equal scores are ranked by it.
    """
    score_by_id = {
        candidate.id: _score(candidate, token_s, base_s)
        for candidate in candidates
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
        _base_s(by_id[chosen], base_s)
        + first_event_work_s(by_id[chosen], token_s),
        tuple(sorted(score_by_id.items(), key=lambda item: item[1])),
    )


def has_room(candidate: Candidate) -> bool:
    """Whether a server has a free slot and accepts connections."""
    load = candidate.load
    return not load.avoided and load.running < candidate.slots


def first_event_work_s(candidate: Candidate, token_s: float) -> float:
    """Returns the seconds of computing before a request's first event."""
    tokens = candidate.load.pending_tokens + candidate.uncached_tokens
    return tokens * token_s * candidate.load.slowdown


def _base_s(candidate: Candidate, base_s: float) -> float:
    """Returns the time until the first event without queue and prompt.

    For a plain request it is all of a server's work, which takes longer at a
    slow server.
    """
    is_plain = candidate.uncached_tokens == 0
    return base_s * candidate.load.slowdown if is_plain else base_s


def _score(candidate: Candidate, token_s: float, base_s: float) -> float:
    load = candidate.load
    score = first_event_work_s(candidate, token_s)
    score += _base_s(candidate, base_s)
    score += load.running * RUNNING_PENALTY_S * load.slowdown
    score += load.failure_share * FAILURE_PENALTY_S
    if not candidate.same_zone:
        score += ZONE_PENALTY_S
    if candidate.needs_connection:
        score += CONNECT_PENALTY_S
    if not has_room(candidate):
        score += UNUSABLE_PENALTY_S
    return score
