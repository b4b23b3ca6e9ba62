"""Tests that invalid messages and unexpected errors stop no other work."""

from anyio import create_task_group
from anyio import Event
import pytest

from tests.network import bench
from tests.relay_fleet import relay_fleet
from wasabiwing.events import Event as LogEvent
from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import Envelope
from wasabiwing.messages import FleetContent
from wasabiwing.messages import HeadPush
from wasabiwing.messages import Message
from wasabiwing.messages import NodeReport
from wasabiwing.messages import OrganisationUsage
from wasabiwing.messages import Ping
from wasabiwing.messages import RelayedChange
from wasabiwing.messages import RelayedValue
from wasabiwing.messages import ServerLoadEntry
from wasabiwing.timers import SystemTimer

pytestmark = pytest.mark.anyio

# Loads with a different number of urgency classes than this release has.
INVALID_LOADS = (
    ServerLoadEntry("server-1", (5,), 1),
    ServerLoadEntry("server-1", (), 2),
)

INVALID_MESSAGES: tuple[Message, ...] = (
    NodeReport("", servers=INVALID_LOADS),
    NodeReport("life", (OrganisationUsage("", float("nan"), float("nan")),)),
    HeadPush("zone-x", 5, 9, -7, -9),
    HeadPush(
        "zone-b",
        1,
        1,
        0,
        zone_aggregate=AggregatedReport("x", -1, servers=INVALID_LOADS),
    ),
    HeadPush(
        "zone-a",
        1,
        1,
        0,
        fleet_aggregate=AggregatedReport("x", -1, servers=INVALID_LOADS),
    ),
    HeadPush("zone-a", 0, 0, 0, changes=(RelayedChange("configuration", 0),)),
    FleetContent(0, 5, 0, (RelayedValue("servers/x", 3, b"no zlib"),), ()),
    FleetContent(0, -5, 0, (), ()),
)


class TestMessages:
    """How nodes handle messages that no node of this release sends."""

    @pytest.mark.parametrize("message", INVALID_MESSAGES)
    async def test_invalid_message_does_not_stop_the_fleet(
        self, message: Message
    ) -> None:
        async with relay_fleet(20) as fleet:
            stranger = fleet.network.open("node-001", "tcp://stranger:1")
            for node in fleet.nodes:
                stranger.send(node.transport.address, message)
            await fleet.run(1.0)
            fleet.store.put("configuration", b"2")
            await fleet.run(3.0)
            assert {node.version for node in fleet.nodes} == {2}

    async def test_error_of_a_handler_is_logged_and_the_next_is_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        parts: list[object] = []

        def record(event: LogEvent, node: str, **fields: object) -> None:
            if event is LogEvent.TASK_FAILED:
                parts.append(fields["part"])

        monkeypatch.setattr("wasabiwing.error_containment.log_event", record)
        async with bench() as environment:
            router = environment.router("one", "tcp://one:1")
            handled: list[str] = []

            async def fail_once(envelope: Envelope, message: Ping) -> None:
                handled.append(envelope.sender)
                if len(handled) == 1:
                    raise KeyError("unexpected")

            router.register(Ping, fail_once)
            sender = environment.network.open("two", "tcp://two:1")
            for _ in range(2):
                sender.send("tcp://one:1", Ping())
                await environment.timer.advance(0.1)
            assert len(handled) == 2
            assert parts == ["Ping"]


class TestPeriodicTasks:
    """Periodic tasks that fail."""

    async def test_periodic_task_continues_after_an_error(self) -> None:
        timer = SystemTimer()
        again = Event()
        calls = 0

        async def run_periodically() -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise ValueError("unexpected")
            again.set()

        timer.subscribe(0.01, run_periodically)
        async with create_task_group() as tasks:
            tasks.start_soon(timer.run)
            await again.wait()
            tasks.cancel_scope.cancel()
