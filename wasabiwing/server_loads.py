"""What one node knows of the load and health of each backend server.

Own requests are known exactly, those of other nodes from their reports, and
the server's own statements are older than both. Times are monotonic seconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.routed_calls import ServerLoad
from wasabiwing.routed_calls import URGENCY_CLASSES
from wasabiwing.timers import TimerService

# Weight of the newest outcome in a server's share of failures.
FAILURE_WEIGHT = 0.15

# Share of failures that decays in this many seconds without outcomes, so
# that a server that recovered is tried again.
FAILURE_MEMORY_S = 4.0

# A server that did not accept a connection is avoided for this long.
CONNECT_AVOIDANCE_S = 0.8

# Reports of other nodes are used for this long, in seconds.
PEER_MEMORY_S = 2.0

# Statements of a server about its load are used for this long, in seconds.
STATEMENT_MEMORY_S = 1.0


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """What another node has in flight at one server."""

    # Prompt tokens of requests without a first event, by class of urgency.
    pending_by_class: tuple[int, ...]
    running: int


@dataclass(slots=True)
class _Server:
    """Load and health of one server."""

    # Class of urgency and prompt tokens to compute, by own request without a
    # first event.
    pending_by_attempt: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )
    running: int = 0
    load_by_peer: dict[str, tuple[float, NodeLoad]] = field(
        default_factory=dict
    )
    statement: ServerLoad | None = None
    stated_at: float = 0.0
    failures: float = 0.0
    failures_at: float = 0.0
    avoid_until: float = 0.0
    # Time at which the server last sent anything.
    heard_at: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """The state of a server that a placement decision reads."""

    # Prompt tokens that all nodes have sent, that are not computed yet and
    # that are as urgent as the request or more.
    pending_tokens: float
    # Requests that all nodes have in flight.
    running: int
    # Requests that wait at the server, as it last stated.
    waiting: int
    # Share of recent requests that failed, from 0 to 1.
    failure_share: float
    # Whether the server did not accept a connection just now.
    avoided: bool


class ServerLoads:
    """Load and health by backend server."""

    def __init__(self, timer: TimerService, rates: PrefillRates) -> None:
        self._timer = timer
        self._rates = rates
        self._server_by_id: dict[str, _Server] = {}

    def note_sent(
        self,
        server_id: str,
        attempt_id: str,
        urgency_class: int,
        prompt_tokens: int,
    ) -> None:
        """Enters a request; tokens are those that need computing."""
        server = self._server(server_id)
        server.running += 1
        server.pending_by_attempt[attempt_id] = (urgency_class, prompt_tokens)

    def note_first_event(self, server_id: str, attempt_id: str) -> None:
        """Notes that a prompt was computed."""
        server = self._server(server_id)
        server.pending_by_attempt.pop(attempt_id, None)
        server.heard_at = self._timer.now()

    def note_heard(self, server_id: str) -> None:
        """Notes that a server has sent something."""
        self._server(server_id).heard_at = self._timer.now()

    def note_ended(
        self, server_id: str, attempt_id: str, failed: bool | None
    ) -> None:
        """Takes a request out; ``None`` says nothing about the server."""
        server = self._server(server_id)
        server.running = max(server.running - 1, 0)
        server.pending_by_attempt.pop(attempt_id, None)
        if failed is not None:
            current = self._failures(server)
            change = FAILURE_WEIGHT * (float(failed) - current)
            server.failures = current + change
            server.failures_at = self._timer.now()

    def note_unreachable(self, server_id: str) -> None:
        """Avoids a server that did not accept a connection."""
        until = self._timer.now() + CONNECT_AVOIDANCE_S
        self._server(server_id).avoid_until = until

    def note_statement(self, server_id: str, load: ServerLoad) -> None:
        """Takes the load that a server stated in an answer."""
        server = self._server(server_id)
        server.statement = load
        server.stated_at = self._timer.now()

    def note_peer_loads(
        self, peer_id: str, load_by_server: Mapping[str, NodeLoad]
    ) -> None:
        """Takes over what another node has in flight."""
        now = self._timer.now()
        for server in self._server_by_id.values():
            server.load_by_peer.pop(peer_id, None)
        for server_id, load in load_by_server.items():
            self._server(server_id).load_by_peer[peer_id] = (now, load)

    def replace_peer_loads(
        self, load_by_server_by_peer: Mapping[str, Mapping[str, NodeLoad]]
    ) -> None:
        """Takes over what all other nodes have in flight."""
        for server in self._server_by_id.values():
            server.load_by_peer.clear()
        now = self._timer.now()
        for peer_id, load_by_server in load_by_server_by_peer.items():
            for server_id, load in load_by_server.items():
                self._server(server_id).load_by_peer[peer_id] = (now, load)

    def own_load_by_server(self) -> dict[str, NodeLoad]:
        """Returns what this node has in flight, for its reports."""
        return {
            server_id: NodeLoad(_by_class(server), server.running)
            for server_id, server in self._server_by_id.items()
            if server.running
        }

    def heard_at(self, server_id: str) -> float:
        """Returns when a server last sent anything; 0 for never."""
        return self._server(server_id).heard_at

    def estimate(
        self, server_id: str, service: str, urgency_class: int
    ) -> LoadEstimate:
        """Returns the state of a server as a request of a class sees it.

        Prompts in reports of other nodes are computed meanwhile; those of
        this node leave the count with their first event.
        """
        now = self._timer.now()
        server = self._server(server_id)
        classes = urgency_class + 1
        pending = float(sum(_by_class(server)[:classes]))
        running = server.running
        token_s = max(self._rates.prefill_s_per_token(service), 1e-7)
        for told_at, load in server.load_by_peer.values():
            age_s = now - told_at
            if age_s <= PEER_MEMORY_S:
                computed = age_s / token_s / max(len(server.load_by_peer), 1)
                told = sum(load.pending_by_class[:classes])
                pending += max(told - computed, 0.0)
                running += load.running
        waiting = 0
        if (
            server.statement is not None
            and now - server.stated_at <= STATEMENT_MEMORY_S
        ):
            waiting = server.statement.waiting
            running = max(running, server.statement.running)
        return LoadEstimate(
            pending,
            running,
            waiting,
            self._failures(server),
            server.avoid_until > now,
        )

    def remove_server(self, server_id: str) -> None:
        """Drops a server that is gone."""
        self._server_by_id.pop(server_id, None)

    def _failures(self, server: _Server) -> float:
        age_s = self._timer.now() - server.failures_at
        return server.failures * max(1.0 - age_s / FAILURE_MEMORY_S, 0.0)

    def _server(self, server_id: str) -> _Server:
        return self._server_by_id.setdefault(server_id, _Server())


def _by_class(server: _Server) -> tuple[int, ...]:
    tokens = [0] * URGENCY_CLASSES
    for urgency_class, count in server.pending_by_attempt.values():
        tokens[urgency_class] += count
    return tuple(tokens)
