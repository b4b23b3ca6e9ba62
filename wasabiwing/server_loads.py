"""Load and health of the backend servers, as one node knows them.

The node knows its own requests exactly, and those of other nodes from their
reports. The load that a server states in its answers is older than both.
Times are monotonic seconds.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.routed_calls import ServerLoad
from wasabiwing.routed_calls import URGENCIES
from wasabiwing.server_speeds import ServerSpeeds
from wasabiwing.server_speeds import USUAL_SLOWDOWN
from wasabiwing.timers import TimerService

# Weight of the newest outcome in the moving average of a server's failures.
FAILURE_WEIGHT = 0.15

# Seconds without outcomes in which a server's share of failures decays to 0,
# so that a server that recovered is tried again.
FAILURE_DECAY_S = 4.0

# Seconds for which a server that did not accept a connection is avoided.
CONNECT_AVOIDANCE_S = 0.8

# Seconds for which the reports of other nodes are used.
PEER_REPORT_LIFETIME_S = 2.0

# Seconds for which the load that a server stated is used.
STATEMENT_LIFETIME_S = 1.0


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """Requests that one node has in flight at one server."""

    # Prompt tokens of requests without a first event, by urgency.
    pending_by_urgency: tuple[int, ...]
    running: int


@dataclass(slots=True)
class _Server:
    """Load and health of one server."""

    # Urgency and prompt tokens to compute of this node's requests
    # without a first event, by attempt id.
    pending_by_attempt: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )
    running: int = 0
    # Attempts that wait for a connection.
    connecting: set[str] = field(default_factory=set)
    load_by_peer: dict[str, tuple[float, NodeLoad]] = field(
        default_factory=dict
    )
    statement: ServerLoad | None = None
    stated_at: float = 0.0
    failure_share: float = 0.0
    failure_share_at: float = 0.0
    avoid_until: float = 0.0
    # Time at which the server last sent anything.
    heard_at: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Estimated state of a server, from which a server is chosen."""

    # Prompt tokens of all nodes' requests that are not computed yet and that
    # are at least as urgent as the request.
    pending_tokens: float
    # Requests that all nodes have in flight at the server.
    running: int
    # Requests that wait at the server, as it last stated.
    waiting: int
    # Share of recent requests that failed, from 0 to 1.
    failure_share: float
    # Whether the server recently did not accept a connection.
    avoided: bool
    # Factor on the server's time for a piece of work; 1 as usual.
    slowdown: float = USUAL_SLOWDOWN


class ServerLoads:
    """Load and health of all backend servers, as one node knows them."""

    def __init__(self, timer: TimerService, rates: PrefillRates) -> None:
        self._timer = timer
        self._rates = rates
        self.speeds = ServerSpeeds(timer)
        self._server_by_id: dict[str, _Server] = {}
        self._on_heard: Callable[[str], None] = lambda server_id: None
        self._note_speed: Callable[[str, float], None] = (
            self.speeds.note_statement
        )
        self._on_ended: Callable[[], None] = lambda: None
        self._on_news: Callable[[], None] = lambda: None

    def on_heard(self, listener: Callable[[str], None]) -> None:
        """Registers a listener for the ids of servers that send anything."""
        self._on_heard = listener

    def on_stated_speed(self, listener: Callable[[str, float], None]) -> None:
        """Lets a listener record the slowdowns that servers state."""
        self._note_speed = listener

    def on_room(
        self, on_ended: Callable[[], None], on_news: Callable[[], None]
    ) -> None:
        """Registers listeners for changes after which there may be room.

        ``on_ended`` is called when a request of this node has ended, and
        ``on_news`` when more is known of what servers do.
        """
        self._on_ended = on_ended
        self._on_news = on_news

    def note_sent(
        self,
        server_id: str,
        attempt_id: str,
        urgency: int,
        prompt_tokens: int,
        has_connection: bool = True,
    ) -> None:
        """Adds a request that is sent to a server.

        ``prompt_tokens`` are those that the server has to compute. Without a
        connection the request is left out of reports until
        ``note_connected``.
        """
        server = self._server(server_id)
        if not has_connection:
            server.connecting.add(attempt_id)
        server.running += 1
        server.pending_by_attempt[attempt_id] = (urgency, prompt_tokens)

    def note_connected(self, server_id: str, attempt_id: str) -> None:
        """Records that a request has a connection to its server."""
        self._server(server_id).connecting.discard(attempt_id)

    def note_first_event(self, server_id: str, attempt_id: str) -> None:
        """Records that a server has computed a request's prompt."""
        server = self._server(server_id)
        server.pending_by_attempt.pop(attempt_id, None)
        self.note_heard(server_id)
        self._on_news()

    def note_heard(self, server_id: str) -> None:
        """Records that a server has sent something."""
        self._server(server_id).heard_at = self._timer.now()
        self._on_heard(server_id)

    def note_ended(
        self, server_id: str, attempt_id: str, failed: bool | None
    ) -> None:
        """Removes a request and updates the server's share of failures.

        ``failed`` is ``None`` if the outcome says nothing about the server.
        """
        server = self._server(server_id)
        server.running = max(server.running - 1, 0)
        server.connecting.discard(attempt_id)
        server.pending_by_attempt.pop(attempt_id, None)
        if failed is not None:
            current = self._failure_share(server)
            change = FAILURE_WEIGHT * (float(failed) - current)
            server.failure_share = current + change
            server.failure_share_at = self._timer.now()
        self._on_ended()

    def note_unreachable(self, server_id: str) -> None:
        """Records that a server did not accept a connection."""
        until = self._timer.now() + CONNECT_AVOIDANCE_S
        self._server(server_id).avoid_until = until

    def note_statement(self, server_id: str, load: ServerLoad) -> None:
        """Records the load that a server stated in an answer."""
        server = self._server(server_id)
        server.statement = load
        if load.slowdown is not None:
            self.note_speed(server_id, load.slowdown)
        server.stated_at = self._timer.now()
        self._on_news()

    def note_speed(self, server_id: str, slowdown: float) -> None:
        """Records the slowdown that a server stated."""
        self._note_speed(server_id, slowdown)

    def note_peer_loads(
        self, peer_id: str, load_by_server: Mapping[str, NodeLoad]
    ) -> None:
        """Replaces what another node has in flight at all servers."""
        now = self._timer.now()
        for server in self._server_by_id.values():
            server.load_by_peer.pop(peer_id, None)
        for server_id, load in load_by_server.items():
            self._server(server_id).load_by_peer[peer_id] = (now, load)
        self._on_news()

    def replace_peer_loads(
        self, load_by_server_by_peer: Mapping[str, Mapping[str, NodeLoad]]
    ) -> None:
        """Replaces what all other nodes have in flight at all servers."""
        for server in self._server_by_id.values():
            server.load_by_peer.clear()
        now = self._timer.now()
        for peer_id, load_by_server in load_by_server_by_peer.items():
            for server_id, load in load_by_server.items():
                self._server(server_id).load_by_peer[peer_id] = (now, load)
        self._on_news()

    def own_load_by_server(self) -> dict[str, NodeLoad]:
        """Returns this node's requests in flight, for its reports."""
        return {
            server_id: NodeLoad(
                _pending_by_urgency(server, server.connecting), count
            )
            for server_id, server in self._server_by_id.items()
            if (count := server.running - len(server.connecting)) > 0
        }

    def own_pending_count(self, server_id: str) -> int:
        """Returns this node's requests at a server without a first event."""
        return len(self._server(server_id).pending_by_attempt)

    def last_heard_at(self, server_id: str) -> float:
        """Returns the time when a server last sent anything; 0 for never."""
        return self._server(server_id).heard_at

    def estimate(
        self, server_id: str, service: str, urgency: int
    ) -> LoadEstimate:
        """Returns the estimated state of a server for an urgency.

        Prompt tokens in other nodes' reports count less with the age of the
        report, because the server computes them meanwhile. Those of this
        node's requests count until the first event.
        """
        now = self._timer.now()
        server = self._server(server_id)
        urgency_count = urgency + 1
        pending = float(sum(_pending_by_urgency(server)[:urgency_count]))
        running = server.running
        slowdown = self.speeds.slowdown(server_id)
        token_s = self._rates.prefill_s_per_token(service) * slowdown
        token_s = max(token_s, 1e-7)
        for reported_at, load in server.load_by_peer.values():
            age_s = now - reported_at
            if age_s <= PEER_REPORT_LIFETIME_S:
                computed = age_s / token_s / max(len(server.load_by_peer), 1)
                reported_tokens = sum(load.pending_by_urgency[:urgency_count])
                pending += max(reported_tokens - computed, 0.0)
                running += load.running
        waiting = 0
        if (
            server.statement is not None
            and now - server.stated_at <= STATEMENT_LIFETIME_S
        ):
            waiting = server.statement.waiting
            running = max(running, server.statement.running)
        return LoadEstimate(
            pending,
            running,
            waiting,
            self._failure_share(server),
            server.avoid_until > now,
            slowdown,
        )

    def remove_server(self, server_id: str) -> None:
        """Removes a server that is gone."""
        self._server_by_id.pop(server_id, None)
        self.speeds.remove_server(server_id)

    def _failure_share(self, server: _Server) -> float:
        age_s = self._timer.now() - server.failure_share_at
        return server.failure_share * max(1.0 - age_s / FAILURE_DECAY_S, 0.0)

    def _server(self, server_id: str) -> _Server:
        return self._server_by_id.setdefault(server_id, _Server())


def _pending_by_urgency(
    server: _Server, left_out: Collection[str] = ()
) -> tuple[int, ...]:
    tokens = [0] * URGENCIES
    for attempt_id, (urgency, count) in server.pending_by_attempt.items():
        if attempt_id not in left_out:
            tokens[urgency] += count
    return tuple(tokens)
