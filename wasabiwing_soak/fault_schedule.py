"""Draws the faults of a soak from its seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

# Mean time between two faults, in seconds; faults often overlap.
MEAN_GAP_S = 0.8

# How long a fault lasts, in seconds. The lease of a duty is 3 s, so both
# shorter and longer faults come.
SHORTEST_S = 0.3
LONGEST_S = 5.0


class FaultKind(StrEnum):
    """What a fault does, and to whom."""

    # Nodes: a planned stop, a kill and a pause, each ended by a start.
    NODE_STOPPED = "node_stopped"
    NODE_KILLED = "node_killed"
    NODE_PAUSED = "node_paused"
    SETTINGS_SIGNAL = "settings_signal"
    # The store, for all nodes.
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_HISTORY_DROPPED = "store_history_dropped"
    # The way of one node to the store.
    STORE_LINK_SILENT = "store_link_silent"
    STORE_LINK_ONE_WAY = "store_link_one_way"
    STORE_LINK_SLOW = "store_link_slow"
    STORE_LINK_RESET = "store_link_reset"
    # The way of all nodes to one backend server.
    SERVER_LINK_SILENT = "server_link_silent"
    SERVER_LINK_ONE_WAY = "server_link_one_way"
    SERVER_LINK_SLOW = "server_link_slow"
    SERVER_LINK_RESET = "server_link_reset"
    # A backend server that fails requests, or leaves the registry.
    SERVER_FAILS = "server_fails"
    SERVER_LEAVES = "server_leaves"
    # A backend server that says so in its answers and then starts anew, and
    # one that turns requests away and says for how long.
    SERVER_SAYS_LEAVING = "server_says_leaving"
    SERVER_TURNS_AWAY = "server_turns_away"
    CONFIGURATION_CHANGED = "configuration_changed"


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault; times are seconds from the start of traffic."""

    kind: FaultKind
    at_s: float
    duration_s: float
    # Number of the node or server; taken modulo how many there are.
    target: int
    # Seeds the details, so that a schedule repeats.
    detail_seed: int

    @property
    def ends_s(self) -> float:
        """When the fault is taken back."""
        return self.at_s + self.duration_s


def draw_schedule(seed: int, duration_s: float) -> tuple[PlannedFault, ...]:
    """Returns the faults of a soak, by time; all end within it."""
    random = Random(seed)
    found: list[PlannedFault] = []
    at_s = random.expovariate(1 / MEAN_GAP_S)
    while at_s + SHORTEST_S < duration_s:
        longest_s = min(LONGEST_S, duration_s - at_s)
        found.append(
            PlannedFault(
                random.choice(list(FaultKind)),
                at_s,
                random.uniform(SHORTEST_S, longest_s),
                random.randrange(1 << 16),
                random.randrange(1 << 32),
            )
        )
        at_s += random.expovariate(1 / MEAN_GAP_S)
    return tuple(found)
