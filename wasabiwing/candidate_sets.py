"""Which backend servers a request looks at, among many.

Load pattern: hundreds of nodes that see the same loads, a fraction of a
second old. If each took the best of all servers, all would send to the same
one until the next report. So a request first looks at a few servers that
follow from its prompt, which also keeps a prompt's shared parts where they
were computed; then at some that follow from the request; then at all.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import TypeVar

from wasabiwing.rendezvous import rank_members

C = TypeVar("C")
J = TypeVar("J")

# Servers that a prompt is sent to first.
PROMPT_SET = 2

# Further servers that a request looks at when those have no room.
REQUEST_SET = 2

# Share of a prompt's shared parts that a server of its set has computed
# before, by place in the set, where nothing else is known.
EXPECTED_CACHED_SHARES = (0.7, 0.4)


def candidate_sets(
    prompt_key: str, request_key: str, server_ids: Sequence[str]
) -> Iterator[list[str]]:
    """Yields ever larger sets of servers; the last one has all."""
    by_prompt = rank_members(prompt_key, server_ids)[:PROMPT_SET]
    yield by_prompt
    if len(server_ids) <= PROMPT_SET:
        return
    others = [one for one in server_ids if one not in by_prompt]
    both = by_prompt + rank_members(request_key, others)[:REQUEST_SET]
    if len(both) < len(server_ids):
        yield both
    yield list(server_ids)


def search_candidate_sets(
    sets: Iterable[Sequence[str]],
    candidate_of: Callable[[str, int | None], C],
    judge: Callable[[Sequence[C]], J],
    accepts: Callable[[J], bool],
) -> J | None:
    """Judges ever more servers until a judgement is accepted.

    ``candidate_of`` gets a server's id and its place in the first set. The
    last judgement is returned if none is accepted, and ``None`` without sets.
    """
    candidate_by_id: dict[str, C] = {}
    judgement: J | None = None
    for number, server_ids in enumerate(sets):
        for place, server_id in enumerate(server_ids):
            if server_id not in candidate_by_id:
                candidate_by_id[server_id] = candidate_of(
                    server_id, None if number else place
                )
        judgement = judge(list(candidate_by_id.values()))
        if accepts(judgement):
            break
    return judgement


def expected_cached_tokens(place: int, shared_tokens: int) -> int:
    """Returns the shared tokens that the server at a place probably has."""
    if place >= len(EXPECTED_CACHED_SHARES):
        return 0
    return int(shared_tokens * EXPECTED_CACHED_SHARES[place])
