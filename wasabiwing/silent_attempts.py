"""Decides whether an attempt at a silent server is given up for another one.

Load pattern: many requests run on a server that sends nothing for a second or
two. It may be cut off, but mostly it is sound and goes on. An attempt is given
up only if the request can be carried on elsewhere; otherwise it waits until
its deadline. Silent servers use a part of the retry budget only, because one
of them may hold more requests than the budget has tokens.
"""

from dataclasses import dataclass
from enum import StrEnum

# Share of a full retry budget that is kept for requests whose servers fail.
KEPT_BUDGET_SHARE = 0.5


class WaitReason(StrEnum):
    """Why an attempt at a silent server goes on."""

    LAST_ATTEMPT = "no attempts left"
    STOPPING = "no time left for another attempt before the kill"
    BUDGET = "rest of the retry budget is for failures"
    NO_SERVER = "no other server can take it"


@dataclass(frozen=True, slots=True)
class Prospects:
    """What a request would have if its attempt at a server were given up."""

    attempts_left: int
    # Whether the process stops and would refuse another attempt.
    stop_refuses: bool
    # Whether the retry budget has more than ``KEPT_BUDGET_SHARE`` left.
    budget_left: bool


def wait_reason(prospects: Prospects) -> WaitReason | None:
    """Returns why an attempt goes on; ``None`` if a server is all it needs."""
    if prospects.attempts_left <= 0:
        return WaitReason.LAST_ATTEMPT
    if prospects.stop_refuses:
        return WaitReason.STOPPING
    if not prospects.budget_left:
        return WaitReason.BUDGET
    return None
