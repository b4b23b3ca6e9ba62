"""Ways to publish the load of backend servers to nodes, compared.

A node can learn the loads of all servers, of a fixed random subset, or of
the k servers that rank best for it (top-k publication over a sliding window,
Pripuzic, Podnar Zarko and Aberer, 2012). The table gives control bytes a
second for each node and the quality of the placements. Run from the root of
the repository:

    python -m benchmarks.publication [--nodes=140] [--servers=770]
"""

from dataclasses import dataclass

from fire import Fire
from numpy import abs as absolute
from numpy import add
from numpy import argpartition
from numpy import argsort
from numpy import bool_
from numpy import flatnonzero
from numpy import float64
from numpy import full
from numpy import inf
from numpy import maximum
from numpy import mean
from numpy import ones
from numpy import quantile
from numpy import take_along_axis
from numpy import zeros
from numpy.random import default_rng
from numpy.random import Generator
from numpy.typing import NDArray

Floats = NDArray[float64]

ZONES = 12
STEPS = 120

# Length of the sliding window and of one step, in seconds.
STEP_S = 1.0

SUBSET = 16

# Requests that a server can run at once, and requests a second for each node.
SLOTS = 16
REQUESTS_PER_STEP = 21

# Share of the capacity that is used on average.
UTILISATION = 0.75

# A server in another zone counts as so many waiting requests more.
DISTANCE = 2.0

# Bytes of a load entry and of a threshold in a message.
ENTRY_BYTES = 12
THRESHOLD_BYTES = 8

# A node tells the homes its threshold when it moved by more than this.
THRESHOLD_STEP = 1.0


@dataclass(frozen=True, slots=True)
class Row:
    """The outcome of one way."""

    bytes_per_s: float
    # Requests at the chosen server beyond its slots, when placed.
    wait_mean: float
    wait_p95: float
    # Share of requests placed in another zone.
    remote: float


class Fleet:
    """Loads of servers that serve what nodes place on them."""

    def __init__(self, nodes: int, servers: int, random: Generator) -> None:
        self.node_zone = random.integers(ZONES, size=nodes)
        self.server_zone = random.integers(ZONES, size=servers)
        self.load: Floats = zeros(servers)
        self.random = random
        total = nodes * REQUESTS_PER_STEP
        # Servers differ in speed; together they match the utilisation.
        speed = random.uniform(0.5, 1.5, size=servers)
        self.served = speed / speed.sum() * total / UTILISATION
        zones_differ = self.node_zone[:, None] != self.server_zone[None, :]
        self.distance: Floats = zones_differ * DISTANCE

    def place(self, known: NDArray[bool_]) -> tuple[Floats, float]:
        """Places one step's requests; unknown servers are not used."""
        seen = self.load.copy()
        base = full(self.distance.shape, inf)
        scores = self.distance + seen[None, :]
        base[known] = scores[known]
        waits: list[Floats] = []
        remote = 0.0
        placed = zeros(len(self.load))
        for _ in range(REQUESTS_PER_STEP):
            chosen = base.argmin(axis=1)
            waits.append(maximum(self.load[chosen] + 1 - SLOTS, 0.0))
            remote += float(mean(self.server_zone[chosen] != self.node_zone))
            add.at(placed, chosen, 1.0)
            add.at(self.load, chosen, 1.0)
            # A node corrects what it knows by what it has sent since.
            rows = (range(len(chosen)), chosen)
            base[rows] += 1.0
        self.load = maximum(self.load - self.served, 0.0)
        return add.reduce(waits) / len(waits), remote / REQUESTS_PER_STEP


def run_way(way: str, nodes: int, servers: int, seed: int) -> Row:
    """Runs one way over all steps."""
    fleet = Fleet(nodes, servers, default_rng(seed))
    shape = (nodes, servers)
    subset = fixed_subset(fleet, way, shape)
    threshold = full(nodes, inf)
    sent = 0.0
    waits: list[Floats] = []
    remotes: list[float] = []
    for _ in range(STEPS):
        if way == "all":
            known = ones(shape, dtype=bool_)
            sent += servers * ENTRY_BYTES
        elif way in ("random", "near"):
            known = subset
            sent += SUBSET * ENTRY_BYTES
        else:
            known, worst = best_k(fleet)
            moved = absolute(worst - threshold) > THRESHOLD_STEP
            threshold[moved] = worst[moved]
            # Each node is the home of some servers, so all must know.
            homes = min(nodes, servers)
            sent += SUBSET * ENTRY_BYTES
            sent += float(mean(moved)) * homes * THRESHOLD_BYTES
        wait, remote = fleet.place(known)
        waits.append(wait)
        remotes.append(remote)
    every = add.reduce([item.sum() for item in waits]) / (nodes * STEPS)
    p95 = float(quantile([item.mean() for item in waits], 0.95))
    return Row(sent / STEPS / STEP_S, float(every), p95, float(mean(remotes)))


def fixed_subset(
    fleet: Fleet, way: str, shape: tuple[int, int]
) -> NDArray[bool_]:
    """Returns which servers each node always knows.

    ``near`` takes three quarters of them from the node's own zone.
    """
    known = zeros(shape, dtype=bool_)
    for node, row in enumerate(known):
        row[fleet.random.choice(shape[1], SUBSET, replace=False)] = True
        if way == "near":
            row[:] = False
            own = fleet.server_zone == fleet.node_zone[node]
            near, far = flatnonzero(own), flatnonzero(~own)
            row[fleet.random.choice(near, SUBSET * 3 // 4, False)] = True
            row[fleet.random.choice(far, SUBSET // 4, False)] = True
    return known


def best_k(fleet: Fleet) -> tuple[NDArray[bool_], Floats]:
    """Returns each node's k best servers and the worst of their scores."""
    scores = fleet.distance + fleet.load[None, :]
    best = argpartition(scores, SUBSET, axis=1)[:, :SUBSET]
    known = zeros(scores.shape, dtype=bool_)
    for row, columns in zip(known, best):
        row[columns] = True
    values = take_along_axis(scores, best, axis=1)
    order = argsort(values, axis=1)
    worst = take_along_axis(values, order, axis=1)[:, -1]
    return known, worst


def main(nodes: int = 140, servers: int = 770, seed: int = 1) -> None:
    """Prints a row for each way."""
    print(
        f"{'way':<8} {'B/s a node':>11} {'wait mean':>10} {'wait p95':>10}"
        f" {'remote':>8} {'cost':>6}"
    )
    for way in ("all", "random", "near", "top-k"):
        row = run_way(way, nodes, servers, seed)
        print(
            f"{way:<8} {row.bytes_per_s:>11.0f} {row.wait_mean:>10.2f}"
            f" {row.wait_p95:>10.2f} {row.remote:>8.2f}"
            f" {row.wait_mean + DISTANCE * row.remote:>6.2f}"
        )


if __name__ == "__main__":
    Fire(main)
