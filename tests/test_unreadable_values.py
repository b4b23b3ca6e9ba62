"""Values and messages that another party wrote and that cannot be read."""

from collections.abc import Callable
from json import dumps
from random import Random

from anyio import create_task_group
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from msgspec.json import encode
from msgspec.msgpack import encode as encode_message
import pytest
from result import Err
from result import Ok
from result import Result

from tests.network import bench
from tests.node_fleet import node_fleet
from tests.node_fleet import NodeFleet
from tests.platform_fakes import LeaseStoreFake
from tests.platform_fakes import LongPollStoreLink
from wasabiwing.answer_log import AnswerLog
from wasabiwing.answer_log import assemble_answer
from wasabiwing.configuration_store import parse_root
from wasabiwing.events import Event
from wasabiwing.fleet_changes import ConfigurationChange
from wasabiwing.fleet_changes import FleetChange
from wasabiwing.fleet_changes import ServerChange
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.fleet_follower import FleetView
from wasabiwing.fleet_follower import MAX_PROBLEM_LENGTH
from wasabiwing.known_problems import KnownProblems
from wasabiwing.known_problems import MAX_KNOWN_PROBLEMS
from wasabiwing.messages import decode_envelope
from wasabiwing.messages import encode_envelope
from wasabiwing.messages import Envelope
from wasabiwing.messages import NewerConfiguration
from wasabiwing.messages import Ping
from wasabiwing.newer_configurations import NewerConfigurations
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.ports import StoredValue
from wasabiwing.ports import WatchEvent
from wasabiwing.quarantine_records import QUARANTINE_PREFIX
from wasabiwing.rollout_facts import decode_verdict_record
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.service_configuration import RequestLimits
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.store_cache import compress_value
from wasabiwing.store_progress import StoreProgress
from wasabiwing.timers import FakeTimer
from wasabiwing.validation import parse_document
from wasabiwing_platform.documents import decode_item
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import server_document

# Depth at which msgspec gives up with an error that is no ``DecodeError``.
DEPTH = 2000

NESTED = b'{"labels":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
NESTED_MESSAGE = b"\x91" * DEPTH + b"\x90"

UNREADABLE = {
    "nested": NESTED,
    "no text": b'{"service":"\xff\xfe"}',
    "half a character": b'{"service":"\\ud800"}',
    "no JSON": b"\x00\x01",
    "empty": b"",
    "number too large": b'{"slots":1e999}',
    "number of 5,000 digits": b'{"slots":' + b"9" * 5000 + b"}",
    "a megabyte": encode({"service": "x" * 1_000_000}),
}

unreadable_values = pytest.mark.parametrize(
    "value", UNREADABLE.values(), ids=UNREADABLE.keys()
)


class TestDecoders:
    """Decoders return an error for any bytes and raise none."""

    @unreadable_values
    def test_deeply_nested_entry_raises(self, value: bytes) -> None:
        """Guards against an entry that ends the listing it stands in."""
        decoded = decode_item("servers/i-other", value)
        assert isinstance(decoded, Ok)
        assert isinstance(decoded.ok_value, ServerChange)
        assert decoded.ok_value.entry is None
        assert decoded.ok_value.problem

    @unreadable_values
    def test_deeply_nested_configuration_raises(self, value: bytes) -> None:
        """Guards against a configuration that ends its follower's step."""
        assert isinstance(decode_item("op/config", value), Err)

    @pytest.mark.parametrize(
        "decode",
        [
            lambda: decode_verdict_record(NESTED),
            lambda: parse_document(NESTED, dict),
            lambda: parse_root(NESTED),
            lambda: assemble_answer(_nested_answer(), "/v1/completions"),
            lambda: decode_envelope(NESTED_MESSAGE),
            lambda: decode_envelope(_nested_envelope()),
        ],
    )
    def test_deeply_nested_document_raises(
        self, decode: Callable[[], Result[object, object]]
    ) -> None:
        """Guards against decoders that name only some errors."""
        assert isinstance(decode(), Err)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        key=strategies.sampled_from(
            ["op/config", "op/evacuate/a", "servers/i-1", "other"]
        ),
        value=strategies.one_of(
            strategies.binary(max_size=200),
            strategies.recursive(
                strategies.none()
                | strategies.booleans()
                | strategies.floats()
                | strategies.integers()
                | strategies.text(max_size=8),
                lambda inner: (
                    strategies.lists(inner, max_size=4)
                    | strategies.dictionaries(
                        strategies.sampled_from(
                            [*server_document("s", "h:1"), "routes", "limits"]
                        ),
                        inner,
                        max_size=6,
                    )
                ),
                max_leaves=12,
            ).map(lambda document: dumps(document).encode()),
        ),
    )
    def test_no_value_raises(self, key: str, value: bytes) -> None:
        decode_item(key, value)


def _nested_envelope() -> bytes:
    """Returns a message whose second field is nested deeply."""
    envelope = encode_message(Envelope("node", "inbox", 0, Ping()))
    body = envelope.rindex(encode_message(Ping()))
    return envelope[:body] + NESTED_MESSAGE


def _nested_answer() -> AnswerLog:
    """Returns a whole answer whose only event is nested deeply."""
    log = AnswerLog("request")
    log.append([NESTED], log.current_attempt)
    log.finish()
    return log


class TestFleet:
    """Nodes beside an entry that another party writes again and again."""

    def put_server(self, fleet: NodeFleet, number: int) -> None:
        document = server_document("desk", f"10.9.0.{number}:80")
        fleet.store.put(f"servers/i-{number}", encode(document))

    def configure(self, fleet: NodeFleet, version: int) -> None:
        document = configuration_document(version=version)
        fleet.store.put("op/config", encode(document))

    def versions(self, fleet: NodeFleet) -> list[int]:
        return [
            configuration.version
            for node in fleet.nodes
            if (configuration := node.view.configuration) is not None
        ]

    @pytest.mark.anyio
    @unreadable_values
    async def test_node_that_starts_beside_an_unreadable_entry_is_not_ready(
        self, value: bytes
    ) -> None:
        """Guards against a listing that is applied in part (RECOVER)."""
        async with node_fleet(3) as fleet:
            self.configure(fleet, 1)
            fleet.store.put("servers/i-0", value)
            self.put_server(fleet, 1)
            await fleet.timer.advance(3.0)
            assert all(node.ready for node in fleet.nodes)
            fleet.start(3)
            await fleet.timer.advance(3.0)
            assert fleet.nodes[3].ready
            assert fleet.nodes[3].view.directory.get("i-1") is not None

    @pytest.mark.anyio
    @unreadable_values
    async def test_change_behind_an_unreadable_entry_is_lost(
        self, value: bytes
    ) -> None:
        """Guards against losing the rest of a watch's answer (CONFIG)."""
        async with node_fleet(3) as fleet:
            self.configure(fleet, 1)
            await fleet.timer.advance(3.0)
            fleet.store.put("servers/i-0", value)
            self.configure(fleet, 2)
            self.put_server(fleet, 1)
            await fleet.timer.advance(3.0)
            assert self.versions(fleet) == [2, 2, 2]
            for node in fleet.nodes:
                assert node.view.directory.get("i-1") is not None

    @pytest.mark.anyio
    @unreadable_values
    async def test_node_stays_without_configuration_once_it_was_unreadable(
        self, value: bytes
    ) -> None:
        """Guards against a node that started before it was written again."""
        async with node_fleet(3) as fleet:
            self.put_server(fleet, 1)
            self.configure(fleet, 1)
            await fleet.timer.advance(3.0)
            fleet.store.put("op/config", value)
            await fleet.timer.advance(1.0)
            fleet.start(3)
            await fleet.timer.advance(3.0)
            assert self.versions(fleet)[:3] == [1, 1, 1]
            self.configure(fleet, 2)
            await fleet.timer.advance(3.0)
            assert self.versions(fleet) == [2, 2, 2, 2]
            assert fleet.nodes[3].ready

    @pytest.mark.anyio
    @pytest.mark.parametrize("count", [3, 20])
    @unreadable_values
    async def test_node_that_starts_beside_an_unreadable_key_serves_nothing(
        self, value: bytes, count: int
    ) -> None:
        """Guards against a node that waits for the operator (RECOVER)."""
        async with node_fleet(count) as fleet:
            self.put_server(fleet, 1)
            self.configure(fleet, 1)
            await fleet.timer.advance(3.0)
            fleet.store.put("op/config", value)
            await fleet.timer.advance(1.0)
            fleet.start(count)
            await fleet.timer.advance(4.0)
            assert fleet.nodes[count].ready
            assert set(self.versions(fleet)) == {1}
            self.configure(fleet, 2)
            await fleet.timer.advance(3.0)
            assert self.versions(fleet) == [2] * (count + 1)

    @pytest.mark.anyio
    async def test_node_that_missed_the_last_readable_version_keeps_an_older(
        self,
    ) -> None:
        """Guards against a dropped route in use for as long (CONFIG)."""
        async with node_fleet(3) as fleet:
            self.put_server(fleet, 1)
            self.configure(fleet, 1)
            await fleet.timer.advance(3.0)
            self.configure(fleet, 2)
            await fleet.timer.advance(3.0)
            older = encode(configuration_document(version=1))
            node = fleet.nodes[0]
            node.view.configuration = None
            change = decode_item("op/config", older).unwrap()
            assert change is not None
            node.view.apply(change)
            fleet.store.put("op/config", NESTED)
            await fleet.timer.advance(3.0)
            assert self.versions(fleet) == [2, 2, 2]

    @pytest.mark.anyio
    async def test_nodes_that_all_start_beside_an_unreadable_key_fill_the_log(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Nobody knows a configuration, so nobody answers."""
        lines: list[Event] = []

        def record(event: Event, node: str, **fields: object) -> None:
            lines.append(event)

        monkeypatch.setattr("wasabiwing.fleet_follower.log_event", record)
        async with node_fleet(3) as fleet:
            fleet.store.put("op/config", NESTED)
            self.put_server(fleet, 1)
            await fleet.timer.advance(10.0)
            assert not self.versions(fleet)
            assert lines.count(Event.CONFIGURATION_REJECTED) == 3
            self.configure(fleet, 1)
            await fleet.timer.advance(3.0)
            assert all(node.ready for node in fleet.nodes)

    @pytest.mark.anyio
    async def test_readable_configuration_is_asked_for_at_other_nodes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against messages while the store's can be read."""
        asked: list[str] = []

        async def answer(
            self: NewerConfigurations, envelope: Envelope, request: object
        ) -> None:
            asked.append(envelope.sender)

        monkeypatch.setattr(NewerConfigurations, "answer", answer)
        async with node_fleet(3) as fleet:
            self.put_server(fleet, 1)
            await fleet.timer.advance(3.0)
            self.configure(fleet, 1)
            await fleet.timer.advance(3.0)
            fleet.store.put("op/config", NESTED)
            await fleet.timer.advance(1.0)
            self.configure(fleet, 2)
            await fleet.timer.advance(1.0)
            asked.clear()
            await fleet.timer.advance(9.0)
        assert not asked

    @pytest.mark.anyio
    @pytest.mark.parametrize(
        "content", [b"no zlib", compress_value(NESTED), compress_value(b"")]
    )
    async def test_unusable_configuration_of_a_node_is_put_in_force(
        self, content: bytes
    ) -> None:
        async with node_fleet(2) as fleet:
            self.configure(fleet, 1)
            await fleet.timer.advance(3.0)
            fleet.network.post(
                "tcp://10.0.0.1:7000",
                "tcp://10.0.0.0:7000",
                encode_envelope(
                    Envelope(
                        "node-001",
                        "tcp://10.0.0.1:7000",
                        0,
                        NewerConfiguration("op/config", content),
                    )
                ),
            )
            await fleet.timer.advance(1.0)
            assert self.versions(fleet) == [1, 1]

    @pytest.mark.anyio
    @unreadable_values
    async def test_entry_under_another_prefix_ends_the_listing(
        self, value: bytes
    ) -> None:
        async with node_fleet(3) as fleet:
            fleet.store.put(f"{QUARANTINE_PREFIX}1", value)
            self.configure(fleet, 1)
            await fleet.timer.advance(3.0)
            assert all(node.ready for node in fleet.nodes)

    @pytest.mark.anyio
    async def test_entry_that_is_written_each_second_fills_the_log(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """One line a node for a problem, and no call for the entry."""
        lines: list[Event] = []

        def record(event: Event, node: str, **fields: object) -> None:
            assert len(str(fields.get("problem", ""))) <= MAX_PROBLEM_LENGTH
            lines.append(event)

        monkeypatch.setattr("wasabiwing.fleet_follower.log_event", record)
        async with node_fleet(3) as fleet:
            self.configure(fleet, 1)
            for _ in range(20):
                fleet.store.put("servers/i-0", NESTED)
                await fleet.timer.advance(1.2)
        assert lines.count(Event.SERVER_ENTRY_UNUSABLE) == 3


class PartFailure:
    """A follower with a decoder that fails in a way nobody named."""

    def __init__(self) -> None:
        self.timer = FakeTimer()
        self.view = FleetView("node", ServerDirectory(self.timer))
        self.unusable: list[str] = []
        self.link = LongPollStoreLink(LeaseStoreFake(self.timer), self.timer)
        self.follower = FleetFollower(
            "node",
            self.timer,
            self.link,
            self._decode,
            self.view,
            NodeRegistry("node"),
            StoreProgress(self.timer),
            Random(1),
        )
        self.follower.count_unusable = self.unusable.append

    def _decode(
        self, key: str, value: bytes | None
    ) -> Result[FleetChange | None, str]:
        if value == b"odd":
            raise ZeroDivisionError("unexpected")
        if key == "configuration" and value is not None:
            return Ok(
                ConfigurationChange(
                    ServiceConfiguration(int(value), (), {}, RequestLimits())
                )
            )
        entry = RegisteredServer(key, "desk", "10.0.0.1:80", "a", "v1", 1)
        return Ok(ServerChange(key, entry))


class TestUnexpectedErrors:
    """Errors that no decoder names stay with the value they belong to."""

    def test_error_of_one_value_hides_the_rest_of_a_listing(self) -> None:
        node = PartFailure()
        values = (
            StoredValue("a", b"odd", 1),
            StoredValue("b", b"", 2),
            StoredValue("configuration", b"3", 3),
        )
        node.follower.apply_snapshot(values, 3)
        assert node.view.loaded
        assert node.view.directory.get("b") is not None
        assert node.unusable == ["failed"]

    def test_error_of_one_change_hides_the_rest(self) -> None:
        node = PartFailure()
        node.follower.apply_snapshot((), 1)
        node.follower.apply_changes(
            (
                WatchEvent("a", 2, b"odd"),
                WatchEvent("configuration", 3, b"4"),
            ),
            3,
        )
        assert node.view.configuration is not None
        assert node.view.configuration.version == 4

    def test_listing_that_was_applied_in_part_is_not_read_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against following changes of what was never loaded."""
        node = PartFailure()

        def fail(entry_by_id: object) -> None:
            raise ZeroDivisionError("unexpected")

        monkeypatch.setattr(node.view.directory, "replace_all", fail)
        with pytest.raises(ZeroDivisionError):
            node.follower.apply_snapshot((), 7)
        assert node.follower.store_cache.revision is None

    def test_error_of_a_value_is_logged_each_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An error behind the decoder counts for each value, in one line."""
        node = PartFailure()
        parts: list[str] = []

        def record(node_id: str, part: str, error: Exception) -> None:
            parts.append(part)

        def fail(entry: RegisteredServer) -> bool:
            raise ZeroDivisionError("unexpected")

        monkeypatch.setattr("wasabiwing.fleet_follower.log_error", record)
        monkeypatch.setattr(node.view.directory, "put", fail)
        node.follower.apply_snapshot((), 1)
        for revision in range(2, 12):
            node.follower.apply_changes(
                (WatchEvent("a", revision, b""),), revision
            )
        assert parts == ["follower, a"]
        assert node.unusable == ["failed"] * 10

    def test_error_of_a_listener_hides_the_others(self) -> None:
        node = PartFailure()
        told: list[int] = []

        def fail(configuration: ServiceConfiguration) -> None:
            raise ZeroDivisionError("unexpected")

        node.view.on_configuration(fail)
        node.view.on_configuration(lambda found: told.append(found.version))
        node.follower.apply_snapshot(
            (StoredValue("configuration", b"3", 3),), 3
        )
        assert told == [3]

    @pytest.mark.anyio
    async def test_step_that_fails_each_time_calls_the_store_without_pause(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """195 nodes ask for at most 195 listings a second together."""
        node = PartFailure()

        def fail(entry_by_id: object) -> None:
            raise ZeroDivisionError("unexpected")

        monkeypatch.setattr(node.view.directory, "replace_all", fail)
        async with create_task_group() as tasks:
            tasks.start_soon(node.follower.run)
            await node.timer.advance(60.0)
            assert 30 <= node.link.reads <= 70
            tasks.cancel_scope.cancel()


class TestMessages:
    """Messages between nodes that cannot be read."""

    @pytest.mark.anyio
    async def test_deeply_nested_message_ends_the_process(self) -> None:
        """Guards against an error outside the handlers."""
        async with bench() as environment:
            router = environment.router("one", "tcp://one:1")
            handled: list[str] = []

            async def receive(envelope: Envelope, message: Ping) -> None:
                handled.append(envelope.sender)

            router.register(Ping, receive)
            sender = environment.network.open("two", "tcp://two:1")
            for data in (NESTED_MESSAGE, _nested_envelope()):
                environment.network.post("tcp://two:1", "tcp://one:1", data)
            sender.send("tcp://one:1", Ping())
            await environment.timer.advance(0.5)
            assert handled == ["two"]


class TestKnownProblems:
    """Which problems are logged."""

    def test_problem_is_new_once(self) -> None:
        problems = KnownProblems()
        assert problems.is_new("a", "x")
        assert not problems.is_new("a", "x")
        assert problems.is_new("a", "y")
        problems.forget("a")
        assert problems.is_new("a", "y")

    def test_memory_is_bounded(self) -> None:
        problems = KnownProblems()
        for number in range(MAX_KNOWN_PROBLEMS + 1):
            problems.is_new(str(number), "x")
        assert problems.is_new("0", "x")
        assert not problems.is_new(str(MAX_KNOWN_PROBLEMS), "x")
