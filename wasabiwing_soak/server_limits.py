"""Checks how the nodes kept the limits that servers named in a soak.

All times are seconds from the start of traffic.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass

from wasabiwing_soak.promises import NodeDisturbance
from wasabiwing_soak.promises import Promise
from wasabiwing_soak.promises import RequestArrival
from wasabiwing_soak.promises import Violation

# Time from a server's first answer with a limit until it binds all nodes, and
# the length of the windows in which requests are counted, in seconds.
CONTACT_S = 3.0
WINDOW_S = 4.0

# What a window may have beyond the limit, as a factor and in requests.
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """A period in which a server named a limit in its answers."""

    server: str
    # Requests per second.
    per_s: float
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class LimitUse:
    """The requests that a server got while its limit bound all nodes."""

    limit: NamedLimit
    worst: int
    allowed: int
    # Share of the limit that was used, also by nodes that were disturbed.
    used_share: float


def limit_uses(
    limits: Iterable[NamedLimit],
    arrivals: Sequence[RequestArrival],
    disturbances: Sequence[NodeDisturbance],
) -> list[LimitUse]:
    """Returns how each limit was used after it began to bind.

    A restart or a pause excuses a node while it lasts and for the time in
    which a node learns of a limit.
    """
    uses: list[LimitUse] = []
    for limit in limits:
        got = [
            arrival
            for arrival in arrivals
            if arrival.server == limit.server
            and limit.from_s <= arrival.at_s < limit.until_s
        ]
        incarnation_ids = {arrival.incarnation_id for arrival in got}
        if len(incarnation_ids) != 1:
            # Nothing arrived, or the server started anew in the period.
            continue
        binds_s = min(arrival.at_s for arrival in got) + CONTACT_S
        bound = [arrival for arrival in got if arrival.at_s >= binds_s]
        times = [
            arrival.at_s
            for arrival in bound
            if not any(
                item.node == arrival.sender
                and item.from_s <= arrival.at_s < item.until_s + CONTACT_S
                for item in disturbances
            )
        ]
        seconds = limit.until_s - binds_s
        if seconds <= 0.0:
            continue
        uses.append(
            LimitUse(
                limit,
                max(
                    (
                        sum(begin <= at_s < begin + WINDOW_S for at_s in times)
                        for begin in times
                    ),
                    default=0,
                ),
                int(limit.per_s * WINDOW_S * EXCESS_FACTOR + EXCESS_REQUESTS),
                len(bound) / (limit.per_s * seconds) if limit.per_s else 0.0,
            )
        )
    return uses


def check_limits(uses: Iterable[LimitUse]) -> list[Violation]:
    """Checks that no limited server got more than is allowed."""
    return [
        Violation(
            Promise.LIMIT,
            use.limit.from_s,
            f"{use.limit.server} named {use.limit.per_s:g}/s and got"
            f" {use.worst}; allowed {use.allowed}",
        )
        for use in uses
        if use.worst > use.allowed
    ]
