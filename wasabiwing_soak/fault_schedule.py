"""Draws the faults of a soak from its seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

# Mean time between two faults, in seconds; faults often overlap.
MEAN_GAP_S = 0.8

# Shortest and longest duration of a fault, in seconds. The lease of a duty is
# 3 s, so faults are both shorter and longer than a lease.
MIN_DURATION_S = 0.3
MAX_DURATION_S = 5.0


class FaultKind(StrEnum):
    """The effect of a fault and the part that it affects."""

    # Nodes: a planned stop and a kill, each followed by a start; a pause; and
    # a signal to reload the settings.
    NODE_STOPPED = "node_stopped"
    NODE_KILLED = "node_killed"
    NODE_PAUSED = "node_paused"
    SETTINGS_SIGNAL = "settings_signal"
    # Faults of the store that affect all nodes.
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_HISTORY_DROPPED = "store_history_dropped"
    # The store loses what was written during the fault.
    STORE_RESTORED = "store_restored"
    # Faults of one node's link to the store.
    STORE_LINK_SILENT = "store_link_silent"
    STORE_LINK_ONE_WAY = "store_link_one_way"
    STORE_LINK_SLOW = "store_link_slow"
    STORE_LINK_RESET = "store_link_reset"
    # Faults of the link of all nodes to one backend server.
    SERVER_LINK_SILENT = "server_link_silent"
    SERVER_LINK_ONE_WAY = "server_link_one_way"
    SERVER_LINK_SLOW = "server_link_slow"
    SERVER_LINK_RESET = "server_link_reset"
    # A backend server fails requests, or its registry entry is removed.
    SERVER_FAILS = "server_fails"
    SERVER_LEAVES = "server_leaves"
    # A backend server announces in its answers that it leaves and then
    # restarts, or refuses requests and asks for a pause.
    SERVER_SAYS_LEAVING = "server_says_leaving"
    SERVER_TURNS_AWAY = "server_turns_away"
    # A backend server names a limit of requests in its answers.
    SERVER_NAMES_LIMIT = "server_names_limit"
    # Some backend servers read and send nothing for a while, then go on.
    SERVERS_SILENT = "servers_silent"
    # The links of some nodes to all backend servers are cut.
    NODES_CUT_OFF = "nodes_cut_off"
    CONFIGURATION_CHANGED = "configuration_changed"
    # A part of prompts crashes the servers that run them; only in a soak of
    # its own.
    PART_CRASHES = "part_crashes"


MIXED_KINDS = tuple(
    kind for kind in FaultKind if kind is not FaultKind.PART_CRASHES
)


# Shortest and longest duration of kinds with bounds of their own, in seconds.
# A named limit binds only after a time, and requests are counted over several
# seconds. A server that is silent for longer counts as stalled.
DURATION_S_BY_KIND = {
    FaultKind.SERVER_NAMES_LIMIT: (MIN_DURATION_S, 15.0),
    FaultKind.SERVERS_SILENT: (0.5, 2.0),
    FaultKind.NODES_CUT_OFF: (1.0, 8.0),
}


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a schedule; times are seconds from the start of traffic."""

    kind: FaultKind
    at_s: float
    duration_s: float
    # Number of the node or server, modulo the number of nodes or servers.
    target: int
    # Seed of the fault's random details, so that a schedule is repeatable.
    detail_seed: int

    @property
    def ends_s(self) -> float:
        """Time at which the fault is reverted."""
        return self.at_s + self.duration_s


def draw_fault(
    random: Random, kind: FaultKind, at_s: float, duration_s: float
) -> PlannedFault:
    """Returns a fault with a random target."""
    return PlannedFault(
        kind,
        at_s,
        duration_s,
        random.randrange(1 << 16),
        random.randrange(1 << 32),
    )


def draw_schedule(seed: int, duration_s: float) -> tuple[PlannedFault, ...]:
    """Returns the faults of a soak, ordered by start; all end within it."""
    random = Random(seed)
    faults: list[PlannedFault] = []
    at_s = random.expovariate(1 / MEAN_GAP_S)
    while at_s + MIN_DURATION_S < duration_s:
        kind = random.choice(MIXED_KINDS)
        shortest_s, longest_s = DURATION_S_BY_KIND.get(
            kind, (MIN_DURATION_S, MAX_DURATION_S)
        )
        left_s = duration_s - at_s
        fault_s = random.uniform(
            min(shortest_s, left_s), min(longest_s, left_s)
        )
        faults.append(draw_fault(random, kind, at_s, fault_s))
        at_s += random.expovariate(1 / MEAN_GAP_S)
    return tuple(faults)
