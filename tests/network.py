"""An in-memory network with faults, for tests with the fake timer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

from anyio import create_task_group
from anyio import Event
from anyio.abc import TaskGroup
from result import Ok

from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import decode_envelope
from wasabiwing.messages import encode_envelope
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message
from wasabiwing.timers import FakeTimer

# Longer than the steps in which tests advance the timer.
LATE_S = 7.0


class FakeNetwork:
    """Delivers messages between fake transports, with delay and loss."""

    def __init__(
        self, timer: FakeTimer, tasks: TaskGroup, seed: int = 1
    ) -> None:
        self._timer = timer
        self._tasks = tasks
        self._random = Random(seed)
        self.transport_by_address: dict[str, FakeTransport] = {}
        # Shortest and longest delay of a message, in seconds.
        self.delay_s = (0.001, 0.002)
        # Share of messages that are delayed by ``LATE_S`` more.
        self.late_share = 0.0
        # Share of messages that are lost.
        self.loss_share = 0.0
        # Group of a network partition; messages stay within one group.
        self.group_by_address: dict[str, int] = {}
        # Pairs of source and target whose messages are lost.
        self.blocked: set[tuple[str, str]] = set()
        self.sent_bytes = 0

    def open(self, node_id: str, address: str) -> "FakeTransport":
        """Opens an inbox in place of an earlier one at the address."""
        transport = FakeTransport(self, node_id, address)
        self.transport_by_address[address] = transport
        return transport

    def post(self, source: str, target: str, data: bytes) -> None:
        """Starts the delivery of a message, unless it is lost."""
        self.sent_bytes += len(data)
        if self._random.random() >= self.loss_share:
            self._tasks.start_soon(self._deliver, source, target, data)

    async def _deliver(self, source: str, target: str, data: bytes) -> None:
        await self._timer.sleep(self._random.uniform(*self.delay_s))
        if self._random.random() < self.late_share:
            await self._timer.sleep(LATE_S)
        groups = self.group_by_address
        if (source, target) in self.blocked:
            return
        if groups.get(source, 0) != groups.get(target, 0):
            return
        transport = self.transport_by_address.get(target)
        if transport is not None:
            transport.put(data)


class FakeTransport:
    """A ``Transport`` that sends and receives on the fake network."""

    def __init__(
        self, network: FakeNetwork, node_id: str, address: str
    ) -> None:
        self._network = network
        self._node_id = node_id
        self._address = address
        self._inbox: list[bytes] = []
        self._inbox_changed = Event()
        # Whether the process is suspended: it neither sends nor receives.
        self.paused = False

    @property
    def address(self) -> str:
        return self._address

    def send(
        self, address: str, message: Message, correlation: int = 0
    ) -> None:
        envelope = Envelope(self._node_id, self._address, correlation, message)
        if not self.paused:
            data = encode_envelope(envelope)
            self._network.post(self._address, address, data)

    def put(self, data: bytes) -> None:
        """Appends a message to the inbox."""
        self._inbox.append(data)
        self.wake()

    def wake(self) -> None:
        """Makes ``receive`` check the inbox again."""
        self._inbox_changed.set()

    def resume(self) -> None:
        """Ends a pause; messages that came in meanwhile are received."""
        self.paused = False
        self.wake()

    async def receive(self) -> Envelope:
        while True:
            while not self._inbox or self.paused:
                self._inbox_changed = Event()
                await self._inbox_changed.wait()
            decoded = decode_envelope(self._inbox.pop(0))
            if isinstance(decoded, Ok):
                return decoded.ok_value


@dataclass(slots=True)
class Bench:
    """A fake timer and network, and the task group of a test."""

    timer: FakeTimer
    tasks: TaskGroup
    network: FakeNetwork

    def router(self, node_id: str, address: str) -> MessageRouter:
        """Starts a message router at a new inbox."""
        transport = self.network.open(node_id, address)
        router = MessageRouter(node_id, transport)
        self.tasks.start_soon(router.run)
        return router


@asynccontextmanager
async def bench(seed: int = 1) -> AsyncIterator[Bench]:
    """Runs a fake network with a fake timer until the end of a test."""
    async with create_task_group() as tasks:
        timer = FakeTimer()
        yield Bench(timer, tasks, FakeNetwork(timer, tasks, seed))
        tasks.cancel_scope.cancel()
