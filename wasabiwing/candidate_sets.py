"""Selects the backend servers of a large fleet that one request considers.

Load pattern: hundreds of nodes that see the same loads, a fraction of a
second old. If each node chose the best of all servers, all nodes would send
to the same one until the next load report. So the first candidates of a
request are a few servers that are ranked by a hash of its prompt, which also
keeps the shared parts of prompts on the servers that have cached them. A part
that occupies more servers has a larger group of them, from which a hash of the
request selects the first candidates. The next candidates are ranked by a hash
of the request, and the last are all servers.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from math import ceil
from typing import TypeVar

from wasabiwing.rendezvous import rank_members

C = TypeVar("C")
J = TypeVar("J")

# Servers of the first set, ranked by the prompt.
PROMPT_SET_SIZE = 2

# Servers that the second set adds, ranked by the request.
REQUEST_SET_SIZE = 2

# Expected share of the tokens in a prompt's shared parts that a server of the
# first set has cached, by its position in the set. Used where the prompt cache
# index knows of fewer.
EXPECTED_CACHED_SHARES = (0.7, 0.4)


# Share of the servers of a prompt's group that its requests may occupy. The
# requests of other prompts need the rest; 0.3 gave later first events in
# replays.
MAX_GROUP_LOAD = 0.1


def prompt_group_size(load: float, server_count: int) -> int:
    """Returns the number of servers that keep a prompt's shared part.

    ``load`` is the number of servers that the requests of all nodes with this
    part occupy.
    """
    wanted = max(ceil(load / MAX_GROUP_LOAD), PROMPT_SET_SIZE)
    return min(wanted, max(server_count // 2, PROMPT_SET_SIZE))


def candidate_sets(
    prompt_key: str,
    request_key: str,
    server_ids: Sequence[str],
    group_size: int = PROMPT_SET_SIZE,
) -> Iterator[list[str]]:
    """Yields sets of server ids for a request, each larger than the last.

    The last set holds all servers. ``group_size`` is the number of servers
    that keep the shared part of the prompt.
    """
    by_prompt = rank_members(prompt_key, server_ids)[:group_size]
    further: Sequence[str] = server_ids
    if group_size > PROMPT_SET_SIZE:
        if group_size > PROMPT_SET_SIZE + REQUEST_SET_SIZE:
            further = by_prompt
        by_prompt = rank_members(request_key, by_prompt)[:PROMPT_SET_SIZE]
    yield by_prompt
    if len(server_ids) <= PROMPT_SET_SIZE:
        return
    others = [server_id for server_id in further if server_id not in by_prompt]
    extended = by_prompt + rank_members(request_key, others)[:REQUEST_SET_SIZE]
    if len(extended) < len(server_ids):
        yield extended
    yield list(server_ids)


def search_candidate_sets(
    sets: Iterable[Sequence[str]],
    candidate_of: Callable[[str, int | None], C],
    evaluate: Callable[[Sequence[C]], J],
    accepts: Callable[[J], bool],
) -> J | None:
    """Evaluates the candidates of one set after another until one suffices.

    ``candidate_of`` makes the candidate from a server's id and its position
    in the first set, which is ``None`` for servers of later sets.
    ``evaluate`` gets the candidates of all sets so far, and ``accepts`` says
    whether its result suffices. If no result does, the last one is returned,
    and ``None`` if there are no sets.
    """
    candidate_by_id: dict[str, C] = {}
    result: J | None = None
    for number, server_ids in enumerate(sets):
        for position, server_id in enumerate(server_ids):
            if server_id not in candidate_by_id:
                candidate_by_id[server_id] = candidate_of(
                    server_id, None if number else position
                )
        result = evaluate(list(candidate_by_id.values()))
        if accepts(result):
            break
    return result


def expected_cached_tokens(position: int, shared_tokens: int) -> int:
    """Returns how many shared tokens a server has probably cached.

    ``position`` is the server's position in the first candidate set.
    """
    if position >= len(EXPECTED_CACHED_SHARES):
        return 0
    return int(shared_tokens * EXPECTED_CACHED_SHARES[position])
