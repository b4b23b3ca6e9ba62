"""Speeds of the backend servers, as one node knows them.

Load pattern: servers share their machines with other workloads, so that some
of them take 2.5 times as long for some hundred milliseconds. A server states
how long work takes on its machine at the moment; the statement says little a
second later. A slowdown is a factor on the time for a piece of work: 1 as
usual, 2 for twice as long. This module reads times from the timer and sends
nothing. Times are monotonic seconds.
"""

from dataclasses import dataclass

from wasabiwing.timers import TimerService

# Slowdown of a server without statements.
USUAL_SLOWDOWN = 1.0

# Age at which a statement has half of its weight, in seconds. Slow periods
# last some hundred milliseconds.
STATEMENT_HALF_LIFE_S = 0.25

# Age from which a statement has no weight, in seconds.
STATEMENT_LIFETIME_S = 2.0


@dataclass(frozen=True, slots=True)
class _Statement:
    """A slowdown that a server stated, and the time of its arrival."""

    slowdown: float
    stated_at: float


def statement_weight(age_s: float) -> float:
    """Returns the weight of a statement of an age in seconds, from 0 to 1."""
    if age_s >= STATEMENT_LIFETIME_S:
        return 0.0
    return float(0.5 ** (max(age_s, 0.0) / STATEMENT_HALF_LIFE_S))


class ServerSpeeds:
    """Speeds of all backend servers, as one node knows them."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._statement_by_server: dict[str, _Statement] = {}

    def note_statement(self, server_id: str, slowdown: float) -> None:
        """Records the slowdown that a server states now."""
        self._statement_by_server[server_id] = _Statement(
            slowdown, self._timer.now()
        )

    def slowdown(self, server_id: str) -> float:
        """Returns the expected slowdown of a server at this moment."""
        statement = self._statement_by_server.get(server_id)
        if statement is None:
            return USUAL_SLOWDOWN
        weight = statement_weight(self._timer.now() - statement.stated_at)
        return USUAL_SLOWDOWN + weight * (statement.slowdown - USUAL_SLOWDOWN)

    def remove_server(self, server_id: str) -> None:
        """Removes a server that is gone."""
        self._statement_by_server.pop(server_id, None)
