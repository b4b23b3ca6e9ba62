"""Share of prompts that are late at servers of some utilisation, simulated.

Prompts arrive at random at nodes that know the servers' queues from reports
and their own prompts. Each goes to the server with the shortest known queue,
which computes one prompt after the other. Servers are slower for hundreds of
milliseconds at a time. Run with ``python -m benchmarks.server_utilisation``.
"""

from collections import deque
from dataclasses import dataclass
from random import Random

from fire import Fire

# Share of the servers that are slow at any time, the factor, and the mean
# time for which they are, in seconds.
SLOWDOWN = 2.5
SLOW_S = 0.3

# Period of the reports and the range of their age at the other nodes, in
# seconds.
REPORT_S = 0.25
REPORT_AGE_S = (0.25, 1.0)

# Share of the prompts whose shared part is not cached.
UNCACHED_SHARE = 0.1

# Time to a first event beyond the computation, in seconds.
BASE_S = 0.02

# Time at the beginning in which nothing is counted, in seconds.
WARM_UP_S = 10.0


@dataclass(frozen=True)
class Kind:
    """A kind of prompts: tokens, arrivals and target."""

    shared: int
    own: int
    per_s: float
    target_s: float


@dataclass(frozen=True)
class Case:
    """The prompts and nodes of a deployment."""

    name: str
    nodes: int
    tokens_per_s: float
    kinds: tuple[Kind, ...]

    @property
    def demand(self) -> float:
        """Computing time that arrives per second."""
        return sum(
            kind.per_s * (kind.own + UNCACHED_SHARE * kind.shared)
            for kind in self.kinds
        ) / (self.tokens_per_s)


CASES = (
    Case(
        "S",
        33,
        38_400.0,
        (
            Kind(6_300, 2_890, 48.8, 1.014),
            Kind(568, 1_800, 38.5, 0.808),
            Kind(172, 543, 65.3, 0.506),
        ),
    ),
    Case(
        "K",
        70,
        41_400.0,
        (
            Kind(6_300, 2_890, 79.9, 1.535),
            Kind(568, 1_800, 97.3, 0.619),
            Kind(172, 543, 58.2, 0.515),
        ),
    ),
)


class Server:
    """A server that computes one prompt after the other."""

    def __init__(self, random: Random, slow_share: float) -> None:
        self._random = random
        self._slow_share = slow_share
        self._slow = random.random() < slow_share
        self._changes_at = 0.0
        self.free_at = 0.0
        self._change()

    def compute(self, now: float, work_s: float) -> float:
        """Adds a prompt; returns when its first event is sent."""
        at = max(now, self.free_at)
        while True:
            while self._changes_at <= at:
                self._slow = not self._slow
                self._change()
            factor = SLOWDOWN if self._slow else 1.0
            done_s = (self._changes_at - at) / factor
            if done_s >= work_s:
                self.free_at = at + work_s * factor
                return self.free_at
            work_s -= done_s
            at = self._changes_at

    def _change(self) -> None:
        mean_s = SLOW_S
        if not self._slow:
            share = max(self._slow_share, 1e-9)
            mean_s = SLOW_S * (1.0 - share) / share
        self._changes_at += self._random.expovariate(1.0 / mean_s)


def late_share(
    case: Case, server_count: int, slow_share: float, seconds: float
) -> float:
    """Returns the share of prompts whose first event is late."""
    random = Random(1)
    servers = [Server(random, slow_share) for _ in range(server_count)]
    # Each node's own prompts at each server: end and computing time.
    own = [
        [deque[tuple[float, float]]() for _ in servers]
        for _ in range(case.nodes)
    ]
    reports = deque([(0.0, [0.0] * server_count)], maxlen=8)
    per_s = [kind.per_s for kind in case.kinds]
    now = 0.0
    late = count = 0
    while now < seconds:
        now += random.expovariate(sum(per_s))
        while reports[-1][0] + REPORT_S <= now:
            at = reports[-1][0] + REPORT_S
            queues = [max(server.free_at - at, 0.0) for server in servers]
            reports.append((at, queues))
        (kind,) = random.choices(case.kinds, per_s)
        is_cached = random.random() >= UNCACHED_SHARE
        tokens = kind.own + (0 if is_cached else kind.shared)
        work_s = tokens / case.tokens_per_s
        prompts = own[random.randrange(case.nodes)]
        known_at = now - random.uniform(*REPORT_AGE_S)
        at, queues = next(
            (item for item in reversed(reports) if item[0] <= known_at),
            reports[0],
        )
        expected = []
        for queue_s, sent in zip(queues, prompts, strict=True):
            while sent and sent[0][0] <= now:
                sent.popleft()
            known_s = max(queue_s - (now - at), 0.0)
            own_s = sum(item[1] for item in sent)
            expected.append(known_s + own_s + 0.01 * random.random())
        chosen = expected.index(min(expected))
        ends_at = servers[chosen].compute(now, work_s)
        prompts[chosen].append((ends_at, work_s))
        if now > WARM_UP_S:
            count += 1
            late += ends_at - now + BASE_S > kind.target_s
    return late / count


def start(seconds: float = 60.0) -> None:
    """Prints the table; ``seconds`` is the simulated time of each row."""
    print("| case | servers | utilisation | late | with slow servers |")
    print("|---|---|---|---|---|")
    for case in CASES:
        for utilisation in (0.27, 0.4, 0.5, 0.6, 0.67, 0.75):
            servers = round(case.demand / utilisation)
            even = late_share(case, servers, 0.0, seconds)
            slow = late_share(case, servers, 0.15, seconds)
            print(
                f"| {case.name} | {servers} |"
                f" {case.demand / servers:.2f} | {even:.3f} | {slow:.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    Fire(start)
