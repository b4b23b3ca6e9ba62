"""Gateways and home controllers that exchange slot credits in memory."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from random import Random

from tests.examples import example_configuration
from wasabiwing.cluster_view import ClusterView
from wasabiwing.concurrency_limit import LoadSample
from wasabiwing.configuration import Configuration
from wasabiwing.gateway_credits import GatewayCredits
from wasabiwing.home_slots import HomeSlotAllocator
from wasabiwing.messages import CreditGrant
from wasabiwing.messages import CreditRequest
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message
from wasabiwing.ports import Member
from wasabiwing.slot_allocator import SlotTimes
from wasabiwing.timers import FakeTimer

TIMES = SlotTimes(credit_lifetime_s=2.0, load_lag_s=0.5)
REGION = "region"


def one_server(cold_slots: int, max_slots: int) -> Configuration:
    """Returns a configuration with one pool of one server."""
    example = example_configuration()
    pool = example.pools[0]
    server = replace(
        pool.servers[0], cold_slots=cold_slots, max_slots=max_slots
    )
    zones = tuple(
        replace(zone, region=REGION) for zone in example.availability_zones
    )
    pools = (replace(pool, servers=(server,)),)
    return replace(example, availability_zones=zones, pools=pools)


class FixedView:
    """A ``MemberView`` whose members the test sets."""

    def __init__(self, own: str, live: tuple[str, ...]) -> None:
        self.own = member(own)
        self._live = live
        self._subscribers: list[Callable[[], None]] = []

    def live(self) -> tuple[Member, ...]:
        return tuple(member(name) for name in self._live)

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._subscribers.append(changed)

    def move_to(self, live: tuple[str, ...]) -> None:
        """Changes the live members and tells the subscribers."""
        self._live = live
        for changed in self._subscribers:
            changed()


def member(name: str) -> Member:
    """Returns a member whose address is its name."""
    return Member(name, name, "zone", REGION)


@dataclass(slots=True)
class GatewayNode:
    """The credits of one gateway and the name of its controller."""

    credits: GatewayCredits
    controller: str


class SlotNetwork:
    """Delivers messages between gateways and homes, with seeded faults."""

    def __init__(
        self,
        gateway_count: int,
        configuration: Configuration,
        controllers: tuple[str, ...] = ("home",),
        seed: int = 0,
        loss_share: float = 0.0,
        max_delay_s: float = 0.01,
    ) -> None:
        self.timer = FakeTimer()
        self._random = Random(seed)
        self.loss_share = loss_share
        self._max_delay_s = max_delay_s
        self._queue: list[tuple[float, int, str, Message]] = []
        self._sent_count = 0
        self._configuration = configuration
        self.server = configuration.pools[0].servers[0]
        self.pool = configuration.pools[0]
        self.view = ClusterView()
        self.view.put_in_force(1, configuration)
        self.member_view_by_id: dict[str, FixedView] = {}
        self.allocator_by_controller: dict[str, HomeSlotAllocator] = {}
        for name in controllers:
            self.start_controller(name, controllers)
        self.gateway_by_id: dict[str, GatewayNode] = {}
        for number in range(gateway_count):
            home = controllers[number % len(controllers)]
            self.start_gateway(f"gateway-{number}", home)

    @property
    def address(self) -> str:
        return ""

    async def receive(self) -> Envelope:
        raise AssertionError("not called by these tests")

    def start_controller(self, name: str, live: tuple[str, ...]) -> None:
        """Starts or restarts a controller."""
        view = FixedView(name, live)
        allocator = HomeSlotAllocator(self.timer, self, view, TIMES)
        allocator.put_in_force(self._configuration)
        self.member_view_by_id[name] = view
        self.allocator_by_controller[name] = allocator

    def start_gateway(self, name: str, controller: str) -> None:
        """Starts or restarts a gateway."""
        credits = GatewayCredits(
            name, self.timer, self.view, TIMES.credit_lifetime_s
        )
        self.gateway_by_id[name] = GatewayNode(credits, controller)

    def send(
        self, address: str, message: Message, correlation: int = 0
    ) -> None:
        if self._random.random() < self.loss_share:
            return
        due = self.timer.now() + self._random.uniform(0.0, self._max_delay_s)
        self._sent_count += 1
        self._queue.append((due, self._sent_count, address, message))

    async def step(self, seconds: float) -> None:
        """Advances the timer and delivers the messages that are due."""
        await self.timer.advance(seconds)
        due = [item for item in self._queue if item[0] <= self.timer.now()]
        self._queue = [item for item in self._queue if item not in due]
        for _, _, address, message in sorted(due, key=lambda item: item[:2]):
            await self._deliver(address, message)

    async def _deliver(self, address: str, message: Message) -> None:
        allocator = self.allocator_by_controller.get(address)
        node = self.gateway_by_id.get(address)
        if allocator is not None and isinstance(message, CreditRequest):
            await allocator.on_request(Envelope("", "", 0, message), message)
        if node is not None and isinstance(message, CreditGrant):
            node.credits.on_grant(message)

    def renew(self) -> None:
        """Sends the credit request of each gateway."""
        for name, node in self.gateway_by_id.items():
            self.send(node.controller, node.credits.build_request(name))

    def report_load(self, running: int, cold: bool) -> None:
        """Passes a load sample of the server to all homes."""
        sample = LoadSample(self.timer.now(), running, cold)
        for allocator in self.allocator_by_controller.values():
            allocator.note_load(self.server.id, sample)

    def usable_slots(self) -> int:
        """Returns the requests in flight plus the unused slot credits.

        The sum is over all gateways.
        """
        return sum(
            max(node.credits.available_slots(self.server.id), 0)
            + node.credits.in_flight_by_server[self.server.id]
            for node in self.gateway_by_id.values()
        )
