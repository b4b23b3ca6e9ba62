"""A fleet of processes whose servers crash under parts of prompts.

Runs quarantine and facts of each process on a simulated clock. No call waits
for a task, so events are plain functions in order of time.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random
from typing import Any

from wasabiwing.facts import Facts
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message
from wasabiwing.quarantine import Quarantine
from wasabiwing.timers import Tick

# Delay of a message between two processes, in seconds.
MESSAGE_S = (0.002, 0.03)

# Periods of a node in which facts are sent and crashes are judged, in seconds.
BATCH_S = 0.1

# Time from a request's arrival to the first event of its answer and from
# there to the end, and time until a crashed server is back, in seconds.
FIRST_EVENT_S = (0.05, 0.4)
ANSWER_S = (0.3, 3.0)
RESTART_S = 3.0

# Time from a failed attempt to the next one, in seconds.
RETRY_S = 0.02
MAX_ATTEMPTS = 2

# Time after the fifth crash from which few requests with the part may be
# sent, and their number; see the rule in the platform's pages.
CONTACT_S = 3.0
CRASHES_BEFORE = 5
MAX_SENT_AFTER = 3


def run_now(coroutine: Coroutine[Any, Any, object] | Awaitable[object]) -> Any:
    """Runs a coroutine that waits for nothing; returns its result."""
    assert isinstance(coroutine, Coroutine)
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waits")


class SimulatedClock:
    """A timer service that calls functions in order of their times."""

    def __init__(self) -> None:
        self._now = 1000.0
        self._sequence = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        return self._now

    def wall_time(self) -> float:
        return self._now

    async def sleep(self, seconds: float) -> None:
        raise AssertionError("nothing waits on the simulated clock")

    def subscribe(self, period_s: float, tick: Tick) -> None:
        def fire() -> None:
            run_now(tick())
            self.call_in(period_s, fire)

        self.call_in(period_s, fire)

    async def run(self) -> None:
        raise AssertionError("advance the clock instead")

    def call_in(self, seconds: float, function: Callable[[], None]) -> None:
        """Calls a function after a time."""
        due = (self._now + seconds, next(self._sequence), function)
        heappush(self._due, due)

    def advance(self, seconds: float) -> None:
        """Moves the clock and calls what is due."""
        end = self._now + seconds
        while self._due and self._due[0][0] <= end:
            due_at, _, function = heappop(self._due)
            self._now = max(self._now, due_at)
            function()
        self._now = end


class Inbox(MessageRouter):
    """Message router that handles a message when it is delivered."""

    def __init__(self, node_id: str, transport: "SimulatedTransport") -> None:
        super().__init__(node_id, transport)

    def handle(self, envelope: Envelope) -> None:
        """Calls the handler of a message."""
        handler = self._handler_by_type[type(envelope.body)]
        run_now(handler(envelope, envelope.body))


class SimulatedTransport:
    """Transport between the processes of one fleet."""

    def __init__(self, fleet: "PartFleet", address: str) -> None:
        self._fleet = fleet
        self._address = address

    @property
    def address(self) -> str:
        return self._address

    def send(
        self, address: str, message: Message, correlation_id: int = 0
    ) -> None:
        envelope = Envelope(
            self._address, self._address, correlation_id, message
        )
        self._fleet.post(self._address, address, envelope)

    async def receive(self) -> Envelope:
        raise AssertionError("messages are delivered")


@dataclass(frozen=True, slots=True)
class PartCall:
    """A request with shared parts of a prompt."""

    request_id: str
    shared_parts: tuple[str, ...]
    body: bytes
    prompt_scope: str = "service"
    digest_scope: tuple[str, ...] = ()


@dataclass(slots=True)
class PartServer:
    """A server that crashes when it begins an answer on some parts."""

    id: str
    address: str
    up: bool = True
    # Functions that tell running requests of a crash.
    cut_by_attempt: dict[object, Callable[[], None]] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class SoundOutcome:
    """What became of a request without a deadly part."""

    at: float
    parts: tuple[str, ...]
    # Whether its answer began at the first attempt.
    began: bool
    refused: bool


class PartNode:
    """One gateway or node of the fleet."""

    def __init__(self, fleet: "PartFleet", node_id: str) -> None:
        self.id = node_id
        self.fleet = fleet
        self.stopped = False
        self.stored: list[str] = []
        self.refusals: list[str] = []
        transport = SimulatedTransport(fleet, node_id)
        self.inbox = Inbox(node_id, transport)
        clock = fleet.clock
        self.facts = Facts(
            clock,
            transport,
            Random(node_id),
            lambda: fleet.links(node_id),
            batch_period_s=BATCH_S,
            forwards=lambda: node_id in fleet.heads,
        )
        self.facts.register(self.inbox)

        async def probe(address: str) -> bool:
            if fleet.probe_s > 0.0:
                clock.advance(fleet.probe_s)
            return fleet.server_by_address[address].up

        self.quarantine: Quarantine[PartServer] = Quarantine(
            node_id,
            clock,
            self.facts,
            lambda server: False,
            probe,
            self.stored.append,
            BATCH_S,
            self.refusals.append,
        )

    def serve(self, call: PartCall) -> None:
        """Serves a request with up to ``MAX_ATTEMPTS`` attempts."""
        self._attempt(call, 1, frozenset())

    def _attempt(
        self, call: PartCall, attempt: int, tried: frozenset[str]
    ) -> None:
        fleet = self.fleet
        if self.stopped:
            return
        if fleet.refuses and self.quarantine.refusal(call) is not None:
            fleet.note_outcome(call, False, True, attempt)
            return
        servers = [
            server
            for server in fleet.servers
            if server.up and server.id not in tried
        ]
        if not servers:
            fleet.note_outcome(call, False, False, attempt)
            return
        server = fleet.random.choice(servers)
        fleet.note_sent(call, self)
        sent_at = fleet.clock.now()
        began_at: float | None = None
        key = object()

        def cut() -> None:
            run_now(self.quarantine.note_cut(call, server, sent_at, began_at))
            if began_at is None:
                fleet.note_outcome(call, False, False, attempt)
            if attempt < MAX_ATTEMPTS:
                fleet.clock.call_in(
                    RETRY_S,
                    lambda: self._attempt(
                        call, attempt + 1, tried | {server.id}
                    ),
                )

        def begin() -> None:
            nonlocal began_at
            if key not in server.cut_by_attempt:
                return
            if fleet.deadly.intersection(call.shared_parts):
                fleet.crash(server, call)
                return
            began_at = fleet.clock.now()
            self.quarantine.note_answer_began(call)
            fleet.note_outcome(call, True, False, attempt)
            fleet.clock.call_in(fleet.random.uniform(*ANSWER_S), end)

        def end() -> None:
            if server.cut_by_attempt.pop(key, None) is not None:
                self.quarantine.note_success(call)

        server.cut_by_attempt[key] = cut
        fleet.clock.call_in(fleet.random.uniform(*FIRST_EVENT_S), begin)


class PartFleet:
    """Nodes, servers and the traffic between them."""

    def __init__(
        self,
        node_count: int,
        server_count: int = 0,
        seed: int = 1,
        refuses: bool = True,
    ) -> None:
        self.clock = SimulatedClock()
        self.random = Random(seed)
        self.refuses = refuses
        self.servers = [
            PartServer(f"server-{number}", f"10.0.0.{number}:80")
            for number in range(server_count or max(8, node_count))
        ]
        self.server_by_address = {
            server.address: server for server in self.servers
        }
        # Parts that crash servers now.
        self.deadly: set[str] = set()
        # Times of the crashes that a deadly part caused, and times at which
        # requests with it were sent.
        self.crash_times_by_part: dict[str, list[float]] = {}
        self.sent_times_by_part: dict[str, list[float]] = {}
        self.outcomes: list[SoundOutcome] = []
        self.group_by_node: dict[str, int] = {}
        self.sent_messages = 0
        # Time that a probe of a crashed server takes, in seconds.
        self.probe_s = 0.0
        self._node_count = node_count
        self.node_by_id: dict[str, PartNode] = {}
        for number in range(node_count):
            self.start(f"node-{number:03}")
        self._numbers = count()

    @property
    def nodes(self) -> list[PartNode]:
        """All nodes that run."""
        return [node for node in self.node_by_id.values() if not node.stopped]

    @property
    def heads(self) -> list[str]:
        """Ids of the nodes that pass facts on."""
        return list(self.node_by_id)[:3]

    def stop(self, node_id: str) -> None:
        """Ends a node."""
        self.node_by_id[node_id].stopped = True

    def restart(self, node_id: str) -> None:
        """Starts a node that was stopped."""
        self.start(node_id)

    def start(self, node_id: str) -> PartNode:
        """Starts a node, in place of an earlier one with the id."""
        node = PartNode(self, node_id)
        self.node_by_id[node_id] = node
        return node

    def links(self, node_id: str) -> tuple[str, ...]:
        """Returns the nodes that get a node's facts, as in zones."""
        ids = list(self.node_by_id)
        heads = self.heads
        if len(ids) <= 8:
            return tuple(item for item in ids if item != node_id)
        if node_id not in heads:
            return (heads[ids.index(node_id) % len(heads)],)
        own = heads.index(node_id)
        return tuple(
            item
            for number, item in enumerate(ids)
            if item != node_id
            and (item in heads or number % len(heads) == own)
        )

    def post(self, source: str, target: str, envelope: Envelope) -> None:
        """Delivers a message after a delay, unless the nodes are cut off."""
        self.sent_messages += 1
        sender = self.node_by_id.get(source)
        if sender is None or sender.stopped:
            return

        def deliver() -> None:
            group = self.group_by_node
            node = self.node_by_id.get(target)
            if node is None or node.stopped:
                return
            if group.get(source, 0) == group.get(target, 0):
                node.inbox.handle(envelope)

        self.clock.call_in(self.random.uniform(*MESSAGE_S), deliver)

    def crash(self, server: PartServer, cause: PartCall | None = None) -> None:
        """Ends a server, which is back after ``RESTART_S``."""
        if not server.up:
            return
        server.up = False
        now = self.clock.now()
        for part in self._deadly_parts(cause):
            self.crash_times_by_part.setdefault(part, []).append(now)
        cuts = list(server.cut_by_attempt.values())
        server.cut_by_attempt.clear()
        for cut in cuts:
            cut()

        def restart() -> None:
            server.up = True

        self.clock.call_in(RESTART_S, restart)

    def note_sent(self, call: PartCall, node: PartNode) -> None:
        """Counts a request with a deadly part that reaches a server."""
        if self.group_by_node.get(node.id, 0):
            return
        for part in self._deadly_parts(call):
            times = self.sent_times_by_part.setdefault(part, [])
            times.append(self.clock.now())

    def _deadly_parts(self, call: PartCall | None) -> set[str]:
        return self.deadly.intersection(call.shared_parts if call else ())

    def note_outcome(
        self, call: PartCall, began: bool, refused: bool, attempt: int
    ) -> None:
        """Counts what became of a sound request's first attempt."""
        if attempt == 1 and not self.deadly.intersection(call.shared_parts):
            self.outcomes.append(
                SoundOutcome(
                    self.clock.now(), call.shared_parts, began, refused
                )
            )

    def call(self, *parts: str) -> PartCall:
        """Returns a new request, unlike all earlier ones."""
        number = next(self._numbers)
        return PartCall(f"request-{number}", parts, b"body %d" % number)

    def send(
        self,
        seconds: float,
        per_s: float,
        parts: Callable[[Random], Sequence[str]],
    ) -> None:
        """Sends requests at random times through random nodes."""
        until = self.clock.now() + seconds
        while True:
            gap_s = self.random.expovariate(per_s)
            if self.clock.now() + gap_s > until:
                self.clock.advance(until - self.clock.now())
                return
            self.clock.advance(gap_s)
            node = self.random.choice(self.nodes)
            node.serve(self.call(*parts(self.random)))

    @property
    def crash_count(self) -> int:
        """Number of servers that deadly parts crashed."""
        return sum(len(times) for times in self.crash_times_by_part.values())

    @property
    def sent_after_contact(self) -> int:
        """Most requests with one deadly part that were sent too late."""
        return max(
            (
                sum(
                    moment > times[CRASHES_BEFORE - 1] + CONTACT_S
                    for moment in self.sent_times_by_part[part]
                )
                for part, times in self.crash_times_by_part.items()
                if len(times) >= CRASHES_BEFORE
            ),
            default=0,
        )

    def served_share(self, since: float, part: str | None = None) -> float:
        """Returns the share of sound requests begun at the first attempt."""
        found = [
            outcome.began
            for outcome in self.outcomes
            if outcome.at >= since and (part is None or part in outcome.parts)
        ]
        return sum(found) / len(found) if found else 1.0

    def refused_parts(self) -> set[str]:
        """Returns the parts for which sound requests were refused."""
        return {
            part
            for outcome in self.outcomes
            if outcome.refused
            for part in outcome.parts
        }
