"""Gateways, home controllers and a server without sockets, for tests."""

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
        self._changed: list[Callable[[], None]] = []

    def live(self) -> tuple[Member, ...]:
        return tuple(member(name) for name in self._live)

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._changed.append(changed)

    def move_to(self, live: tuple[str, ...]) -> None:
        """Changes the live members."""
        self._live = live
        for changed in self._changed:
            changed()


def member(name: str) -> Member:
    """Returns a member whose address is its name."""
    return Member(name, name, "zone", REGION)


@dataclass(slots=True)
class GatewayNode:
    """One gateway with its controller's view."""

    credits: GatewayCredits
    controller: str


class SlotNetwork:
    """Delivers messages with delays and losses that the test draws."""

    def __init__(
        self,
        gateway_count: int,
        configuration: Configuration,
        controllers: tuple[str, ...] = ("home",),
        seed: int = 0,
        loss: float = 0.0,
        longest_delay_s: float = 0.01,
    ) -> None:
        self.timer = FakeTimer()
        self._random = Random(seed)
        self.loss_share = loss
        self._longest_delay_s = longest_delay_s
        self._queue: list[tuple[float, int, str, Message]] = []
        self._sent = 0
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
        slots = HomeSlotAllocator(self.timer, self, view, TIMES)
        slots.put_in_force(self._configuration)
        self.member_view_by_id[name] = view
        self.allocator_by_controller[name] = slots

    def start_gateway(self, name: str, controller: str) -> None:
        """Starts or restarts a gateway."""
        book = GatewayCredits(
            name, self.timer, self.view, TIMES.credit_lifetime_s
        )
        self.gateway_by_id[name] = GatewayNode(book, controller)

    def send(
        self, address: str, message: Message, correlation: int = 0
    ) -> None:
        if self._random.random() < self.loss_share:
            return
        due = self.timer.now() + self._random.uniform(
            0.0, self._longest_delay_s
        )
        self._sent += 1
        self._queue.append((due, self._sent, address, message))

    async def step(self, seconds: float) -> None:
        """Moves the clock and delivers what is due."""
        await self.timer.advance(seconds)
        due = [item for item in self._queue if item[0] <= self.timer.now()]
        self._queue = [item for item in self._queue if item not in due]
        for _, _, address, message in sorted(due, key=lambda item: item[:2]):
            await self._deliver(address, message)

    async def _deliver(self, address: str, message: Message) -> None:
        slots = self.allocator_by_controller.get(address)
        node = self.gateway_by_id.get(address)
        if slots is not None and isinstance(message, CreditRequest):
            await slots.on_request(Envelope("", "", 0, message), message)
        if node is not None and isinstance(message, CreditGrant):
            node.credits.on_grant(message)

    def renew(self) -> None:
        """Lets each gateway send its renewal."""
        for name, node in self.gateway_by_id.items():
            self.send(node.controller, node.credits.build_request(name))

    def report_load(self, running: int, cold: bool) -> None:
        """Gives all homes a load report."""
        sample = LoadSample(self.timer.now(), running, cold)
        for slots in self.allocator_by_controller.values():
            slots.note_load(self.server.id, sample)

    def usable(self) -> int:
        """Returns in-flight work plus credits that may still be used."""
        return sum(
            max(node.credits.available_slots(self.server.id), 0)
            + node.credits.in_flight_by_server[self.server.id]
            for node in self.gateway_by_id.values()
        )
