"""A fleet of processes that send requests to limited servers.

Runs permits, limits and facts of each process on a fake network and timer.
The servers are lists of arrivals; answers name the servers' limits.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from random import Random
from statistics import median

from anyio import create_task_group
from anyio.abc import TaskGroup

from tests.network import FakeNetwork
from wasabiwing.facts import Facts
from wasabiwing.message_router import MessageRouter
from wasabiwing.send_permits import PermitOutlook
from wasabiwing.send_permits import SendPermits
from wasabiwing.server_limits import ServerLimits
from wasabiwing.timers import FakeTimer

SERVICE = "service"

WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5

# Time between a request's arrival at a server and its answer, in seconds.
WORK_S = 0.02

# Time that a request may wait for a permit, and between two looks for one, in
# seconds.
MAX_WAIT_S = 0.075
POLL_S = 0.005


@dataclass(slots=True)
class LimitedServer:
    """A server that names a limit, or none if it is ``None``."""

    id: str
    limit_per_s: float | None
    # Times of arrivals and the processes that sent them.
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    def worst_window(self, since: float) -> int:
        """Returns the most requests in a window that begins after a time."""
        times = [moment for moment, _ in self.arrivals if moment >= since]
        return max(
            (
                sum(begin <= moment < begin + WINDOW_S for moment in times)
                for begin in times
            ),
            default=0,
        )

    def count(self, since: float, until: float) -> int:
        """Returns the number of arrivals between two times."""
        return sum(since <= moment < until for moment, _ in self.arrivals)


def allowed_requests(limit_per_s: float) -> int:
    """Returns how many requests a limited server may get in a window."""
    return int(limit_per_s * WINDOW_S * EXCESS_FACTOR + EXCESS_REQUESTS)


@dataclass(slots=True)
class Outcomes:
    """What became of the requests of one urgency."""

    served: int = 0
    # Times from arrival to refusal, in seconds.
    refused_s: list[float] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """Share of the requests that were served."""
        total = self.served + len(self.refused_s)
        return self.served / total if total else 1.0

    @property
    def median_refusal_s(self) -> float:
        """Median time from arrival to refusal, in seconds."""
        return median(self.refused_s) if self.refused_s else 0.0


class Sender:
    """One gateway or node of the fleet."""

    def __init__(self, fleet: "PermitFleet", node_id: str) -> None:
        self.id = node_id
        self._fleet = fleet
        self.address = f"tcp://{node_id}"
        self.stopped = False
        timer = fleet.timer
        transport = fleet.network.open(node_id, self.address)
        router = MessageRouter(node_id, transport)
        self.facts = Facts(
            timer, transport, Random(node_id), lambda: fleet.links(self)
        )
        self.limits = ServerLimits(node_id, timer, self.facts)
        self.permits = SendPermits(
            node_id,
            timer,
            transport,
            self.limits,
            lambda: fleet.members(self),
            lambda: fleet.heard_share(self),
        )
        self.facts.register(router)
        self.permits.register(router)
        fleet.tasks.start_soon(router.run)

    async def serve(self, request_id: str, urgency: int) -> None:
        """Sends one request to a server or refuses it."""
        fleet = self._fleet
        outcomes = fleet.outcomes_by_urgency.setdefault(urgency, Outcomes())
        began = fleet.timer.now()
        ranking = fleet.random.sample(fleet.servers, len(fleet.servers))
        server = None
        while server is None and not self.stopped:
            server, wait_s = self._choose(ranking, request_id, urgency)
            if server is not None:
                break
            waited_s = fleet.timer.now() - began
            if waited_s + max(wait_s, POLL_S) > MAX_WAIT_S:
                outcomes.refused_s.append(waited_s)
                return
            await fleet.timer.sleep(POLL_S)
        if server is None:
            return
        outcomes.served += 1
        sent_at = fleet.timer.now()
        server.arrivals.append((sent_at, self.id))
        await fleet.timer.sleep(WORK_S)
        self.limits.note_answer(server.id, 0, server.limit_per_s, sent_at)

    def _choose(
        self, servers: list[LimitedServer], request_id: str, urgency: int
    ) -> tuple[LimitedServer | None, float]:
        """Returns a server, or ``None`` and the expected wait in seconds."""
        if not self._fleet.keeps_limits:
            return servers[0], 0.0
        outlook = PermitOutlook()
        for attempt in range(2):
            permitted = [
                server
                for server in servers
                if self.permits.may_send(
                    SERVICE, server.id, request_id, urgency
                )
            ]
            if permitted and (
                permitted[0] is servers[0]
                or self.permits.are_all_limited(item.id for item in permitted)
                or (attempt and not outlook.answer_awaited)
            ):
                self.permits.note_sent(SERVICE, permitted[0].id, request_id)
                return permitted[0], 0.0
            outlook = self.permits.want(
                SERVICE,
                [item.id for item in servers if item not in permitted],
                request_id,
                urgency,
                None if permitted else MAX_WAIT_S,
            )
        return None, outlook.wait_s


class PermitFleet:
    """Senders, servers and the traffic between them."""

    def __init__(
        self,
        tasks: TaskGroup,
        node_count: int,
        limits: Sequence[float | None],
        seed: int,
        keeps_limits: bool,
    ) -> None:
        self.tasks = tasks
        self.timer = FakeTimer()
        self.network = FakeNetwork(self.timer, tasks, seed)
        self.random = Random(seed)
        self.keeps_limits = keeps_limits
        self.servers = [
            LimitedServer(f"server-{number}", limit)
            for number, limit in enumerate(limits)
        ]
        self.outcomes_by_urgency: dict[int, Outcomes] = {}
        self.senders = [
            Sender(self, f"node-{number:03}") for number in range(node_count)
        ]
        # Weight of each sender in the balancer's choice; it is uneven.
        self.weights = [
            self.random.expovariate(1.0) + 0.05 for _ in self.senders
        ]
        self._request_count = 0

    def links(self, sender: Sender) -> tuple[str, ...]:
        """Returns the inboxes that get a sender's facts: a star."""
        if sender.id == "node-000":
            return tuple(item.address for item in self.senders[1:])
        return ("tcp://node-000",)

    def members(self, sender: Sender) -> dict[str, str]:
        """Returns the inboxes of the other senders that were heard."""
        group = self.network.group_by_address
        return {
            other.id: other.address
            for other in self.senders
            if other is not sender
            and not other.stopped
            and group.get(other.address) == group.get(sender.address)
        }

    def heard_share(self, sender: Sender) -> float:
        """Returns the share of the senders that a sender hears."""
        live = sum(not item.stopped for item in self.senders)
        return (len(self.members(sender)) + 1) / live

    def stop(self, sender: Sender) -> None:
        """Ends a sender; its peers notice at once."""
        sender.stopped = True
        self.network.blocked.update(
            (other.address, sender.address) for other in self.senders
        )

    async def send(
        self, seconds: float, per_s: float, urgencies: Sequence[int] = (0,)
    ) -> None:
        """Sends requests at random times and through random senders."""
        until = self.timer.now() + seconds
        while True:
            gap_s = self.random.expovariate(per_s)
            if self.timer.now() + gap_s > until:
                await self.timer.advance(until - self.timer.now())
                return
            await self.timer.advance(gap_s)
            live = [
                (sender, weight)
                for sender, weight in zip(
                    self.senders, self.weights, strict=True
                )
                if not sender.stopped
            ]
            [sender] = self.random.choices(
                [item for item, _ in live], [weight for _, weight in live]
            )
            self._request_count += 1
            self.tasks.start_soon(
                sender.serve,
                f"request-{self._request_count}",
                urgencies[self._request_count % len(urgencies)],
            )


@asynccontextmanager
async def permit_fleet(
    node_count: int,
    limits: Sequence[float | None],
    seed: int = 1,
    keeps_limits: bool = True,
) -> AsyncIterator[PermitFleet]:
    """Runs a fleet until the end of the context."""
    async with create_task_group() as tasks:
        yield PermitFleet(tasks, node_count, limits, seed, keeps_limits)
        tasks.cancel_scope.cancel()
