"""Speeds of the backend servers, as one node knows them.

Load pattern: servers share their machines with other workloads, so that some
of them take 2.5 times as long for some hundred milliseconds. A server states
how long work takes on its machine at the moment; the statement says little a
second later. Servers of a slower kind, or without statements, show their speed
by first events that come later than predicted. A slowdown is a factor on the
time for a piece of work: 1 as usual, 2 for twice as long. This module reads
times from the timer and sends nothing. Times are monotonic seconds.
"""

from dataclasses import dataclass
from math import exp
from math import log

from wasabiwing.timers import TimerService

# Slowdown of a server without statements and first events.
USUAL_SLOWDOWN = 1.0

# Bounds of the slowdowns that are used: a false statement may not make a
# server unusable, or attract all requests.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0

# Age at which a statement has half of its weight, in seconds. Slow periods
# last some hundred milliseconds.
STATEMENT_HALF_LIFE_S = 0.25

# Age from which a statement has no weight, in seconds.
STATEMENT_LIFETIME_S = 2.0

# Smallest factor between two slowdowns that makes a difference.
CHANGE_FACTOR = 1.3

# Factor by which each first event reduces the weight of a server's earlier
# ones, and time in seconds in which they lose half of it.
DECAY_FACTOR = 0.98
EVENT_HALF_LIFE_S = 30.0

# The same factor for the first events of all servers of a service together.
FLEET_DECAY_FACTOR = 0.995

# Number of first events as predicted that a server counts as having had.
PRIOR_EVENTS = 6.0

# Time for which a slowdown that another node has learned is used, in seconds.
TOLD_LIFETIME_S = 60.0

# Bound of one first event's lateness, as a natural logarithm: a factor of 4.5.
MAX_LOG_LATENESS = 1.5


@dataclass(frozen=True, slots=True)
class _Statement:
    """A slowdown that a server stated, and the time from which it ages."""

    slowdown: float
    ages_from: float


@dataclass(slots=True)
class _Lateness:
    """Weighted sum of the logarithms of observed over predicted times."""

    weight: float = 0.0
    log_sum: float = 0.0
    noted_at: float = 0.0

    def add(self, log_lateness: float, decay_factor: float) -> None:
        """Adds a first event."""
        self.weight = self.weight * decay_factor + 1.0
        self.log_sum = self.log_sum * decay_factor + log_lateness


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
        self._lateness_by_server: dict[str, _Lateness] = {}
        self._lateness_by_service: dict[str, _Lateness] = {}
        self._service_by_server: dict[str, str] = {}
        # Number and lateness of this node's first events since the last
        # ``take_events``.
        self._new_events_by_server: dict[str, tuple[int, float]] = {}
        # Slowdown that another node has learned, and its time.
        self._told_by_server: dict[str, tuple[float, float]] = {}

    def note_statement(
        self, server_id: str, slowdown: float, held_s: float = 0.0
    ) -> None:
        """Records the slowdown that a server states now.

        The statement begins to age ``held_s`` seconds later, which is for
        servers of which each change is heard.
        """
        self._statement_by_server[server_id] = _Statement(
            min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN),
            self._timer.now() + held_s,
        )

    def is_change(self, server_id: str, slowdown: float) -> bool:
        """Whether a slowdown differs from what is expected of a server."""
        bounded = min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        expected = self.stated_slowdown(server_id)
        return abs(log(bounded / expected)) > log(CHANGE_FACTOR)

    def note_first_event(
        self,
        server_id: str,
        predicted_s: float,
        observed_s: float,
        slowdown_at_send: float,
        service: str = "",
    ) -> None:
        """Records the predicted and the observed time of a first event.

        A server is compared with the others of its service, because
        predictions may be wrong for all requests of a service.
        ``slowdown_at_send`` is the one that the prediction is based on. If
        the server has changed since, the first event says nothing.
        """
        slowdown = self.slowdown(server_id)
        if predicted_s <= 0.0 or observed_s <= 0.0 or slowdown_at_send <= 0.0:
            return
        if abs(log(slowdown / slowdown_at_send)) > log(CHANGE_FACTOR):
            return
        log_lateness = log(observed_s / predicted_s)
        log_lateness += log(self._learned_slowdown(server_id))
        bounded = min(max(log_lateness, -MAX_LOG_LATENESS), MAX_LOG_LATENESS)
        lateness = self._lateness_by_server.setdefault(server_id, _Lateness())
        self._reduce_weight(lateness)
        lateness.add(bounded, DECAY_FACTOR)
        count, log_sum = self._new_events_by_server.get(server_id, (0, 0.0))
        self._new_events_by_server[server_id] = (count + 1, log_sum + bounded)
        self._service_by_server[server_id] = service
        self._lateness_by_service.setdefault(service, _Lateness()).add(
            bounded, FLEET_DECAY_FACTOR
        )

    def take_events(self) -> dict[str, tuple[int, float]]:
        """Returns and forgets the new first events, by server.

        They are the number of the events and the sum of the logarithms of
        their lateness.
        """
        events_by_server = self._new_events_by_server
        self._new_events_by_server = {}
        return events_by_server

    def note_peer_events(
        self, server_id: str, count: int, log_sum: float
    ) -> None:
        """Adds first events of another node.

        They leave out the mean of all servers, which follows from this node's
        own first events: others report only on some servers.
        """
        lateness = self._lateness_by_server.setdefault(server_id, _Lateness())
        self._reduce_weight(lateness)
        bound = count * MAX_LOG_LATENESS
        mean = min(max(log_sum, -bound), bound) / count
        for _ in range(count):
            lateness.add(mean, DECAY_FACTOR)

    def note_learned(self, server_id: str, slowdown: float) -> None:
        """Records the slowdown that another node has learned from all."""
        self._told_by_server[server_id] = (
            min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN),
            self._timer.now(),
        )

    def slowdown(self, server_id: str) -> float:
        """Returns the expected slowdown of a server at this moment."""
        learned = self._learned_slowdown(server_id)
        return learned * self.stated_slowdown(server_id)

    def stated_slowdown(self, server_id: str) -> float:
        """Returns the slowdown that follows from a server's statements."""
        statement = self._statement_by_server.get(server_id)
        if statement is None:
            return USUAL_SLOWDOWN
        weight = statement_weight(self._timer.now() - statement.ages_from)
        return USUAL_SLOWDOWN + weight * (statement.slowdown - USUAL_SLOWDOWN)

    def states_speed(self, server_id: str) -> bool:
        """Whether a server has stated its speed."""
        return server_id in self._statement_by_server

    def remove_server(self, server_id: str) -> None:
        """Removes a server that is gone."""
        self._statement_by_server.pop(server_id, None)
        self._lateness_by_server.pop(server_id, None)
        self._new_events_by_server.pop(server_id, None)
        self._told_by_server.pop(server_id, None)
        self._service_by_server.pop(server_id, None)

    def _learned_slowdown(self, server_id: str) -> float:
        told, told_at = self._told_by_server.get(server_id, (0.0, 0.0))
        if told > 0.0 and self._timer.now() - told_at < TOLD_LIFETIME_S:
            return told
        return self.observed_slowdown(server_id)

    def observed_slowdown(self, server_id: str) -> float:
        """Returns how much later a server's first events are than others'.

        Predictions that are wrong for all servers alike, as with many nodes
        that send at once, say nothing about one of them. A server that this
        node has no first event of counts as usual.
        """
        lateness = self._lateness_by_server.get(server_id)
        service = self._service_by_server.get(server_id)
        if lateness is None or service is None:
            return USUAL_SLOWDOWN
        self._reduce_weight(lateness)
        fleet = self._lateness_by_service[service]
        mean = fleet.log_sum / fleet.weight
        excess = lateness.log_sum - lateness.weight * mean
        learned = exp(excess / (lateness.weight + PRIOR_EVENTS))
        return min(max(learned, MIN_SLOWDOWN), MAX_SLOWDOWN)

    def _reduce_weight(self, lateness: _Lateness) -> None:
        """Reduces the weight of first events by their age."""
        now = self._timer.now()
        kept = 0.5 ** ((now - lateness.noted_at) / EVENT_HALF_LIFE_S)
        lateness.weight *= kept
        lateness.log_sum *= kept
        lateness.noted_at = now
