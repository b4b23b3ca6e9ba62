"""Tests of the scores by which a server is chosen."""

from dataclasses import replace

from wasabiwing.server_choice import Candidate
from wasabiwing.server_choice import choose_server
from wasabiwing.server_choice import RUNNING_PENALTY_S
from wasabiwing.server_loads import LoadEstimate

IDLE = LoadEstimate(0.0, 0, 0, 0.0, False)
TOKEN_S = 0.00002


def chosen(*candidates: Candidate) -> set[str]:
    """Returns the servers that requests of many prompts get."""
    return {
        choose_server(candidates, f"part-{number}", TOKEN_S, 0.1).server_id
        for number in range(100)
    }


class TestConnections:
    """Many nodes with few requests each: connections expire unused."""

    def test_equal_server_with_a_connection_is_preferred(self) -> None:
        """Guards against a new connection for nearly each request."""
        connected = Candidate("a", True, 8, IDLE, 100)
        others = [
            Candidate(name, True, 8, IDLE, 100, needs_connection=True)
            for name in ("b", "c", "d")
        ]
        assert chosen(connected, *others) == {"a"}

    def test_a_queue_outweighs_a_connection(self) -> None:
        queued = replace(IDLE, pending_tokens=1000.0)
        connected = Candidate("a", True, 8, queued, 100)
        other = Candidate("b", True, 8, IDLE, 100, needs_connection=True)
        assert chosen(connected, other) == {"b"}

    def test_running_requests_outweigh_a_connection(self) -> None:
        running = round(0.02 / RUNNING_PENALTY_S)
        connected = Candidate("a", True, 32, replace(IDLE, running=running), 1)
        other = Candidate("b", True, 32, IDLE, 1, needs_connection=True)
        assert chosen(connected, other) == {"b"}
