"""Numbers and names of a size or form that nobody means."""

from msgspec.json import encode
import pytest
from result import Err
from result import Ok

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.node_deployment import deployment
from tests.node_fleet import node_fleet
from tests.test_platform_adapter import SETTINGS
from wasabiwing.decoding import parse_whole_number
from wasabiwing.fleet_changes import ServerChange
from wasabiwing.http_client import find_header
from wasabiwing.http_client import HttpClient
from wasabiwing.leases import LEASE_PREFIX
from wasabiwing.store_eras import StoreEras
from wasabiwing_platform.documents import decode_item
from wasabiwing_platform.headers import PlatformHeaders
from wasabiwing_platform.settings_file import MAX_QUOTED_LENGTH
from wasabiwing_platform.settings_file import parse_settings
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import server_document
from wasabiwing_platform_standins.server import ServerStandIn

DIGITS = "9" * 5000

ODD_ADDRESSES = (
    "127.0.0.1:\u0663\u0664",
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:" + DIGITS,
    "caf\u00e9:80",
    "a b:80",
    "a\r\nb:80",
    "x" * 300 + ":80",
    ":80",
    "127.0.0.1",
)


@pytest.mark.anyio
class TestRequests:
    """Requests of callers and answers of servers at a whole node."""

    @pytest.mark.parametrize(
        ("header", "statuses"),
        [
            (("Wasabiwing-Token-Counts", f"{DIGITS},{DIGITS}"), {200}),
            (("Wasabiwing-Prompt-Prefix", f"a:{DIGITS}"), {200}),
            (("Wasabiwing-Deadline-Ms", DIGITS), {400}),
            (("Wasabiwing-Deadline-Ms", "1" * 400), {400}),
        ],
    )
    async def test_number_of_5000_digits_ends_in_a_500(
        self, header: tuple[str, str], statuses: set[int]
    ) -> None:
        async with deployment() as system:
            await system.add_server("models", ServerStandIn("models-0"))
            await system.wait_ready()
            reply = await system.call("/chat/1", headers=dict([header]))
            assert reply.status in statuses

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("wasabiwing-worker-load", f"{DIGITS},0,8"),
            ("wasabiwing-cold-ms", DIGITS),
            ("keep-alive", f"timeout={DIGITS}"),
        ],
    )
    async def test_statement_of_5000_digits_ends_in_a_500(
        self, name: str, value: str
    ) -> None:
        server = ServerStandIn("desk-0")
        server.added_headers[name] = value
        async with deployment() as system:
            await system.add_server("desk", server)
            await system.wait_ready()
            for _ in range(3):
                assert (await system.call("/read/1")).status == 200


@pytest.mark.anyio
class TestGatewayRequests:
    """Requests of callers at a whole gateway."""

    async def test_number_of_5000_digits_ends_in_a_500(self) -> None:
        caller = Caller(HttpClient())
        async with running_deployment(example_configuration(), 1) as system:
            vm = system.vms[0]
            status = await caller.send(
                vm, "POST", "/orders/status", {}, {"X-Deadline-Ms": DIGITS}
            )
            assert status.status == 200
            chat = await caller.chat(vm, "gravel")
            request_id = find_header(chat.headers, b"x-request-id")
            assert request_id is not None
            again = await caller.send(
                vm,
                "GET",
                f"/v1/requests/{request_id.decode()}",
                headers={"Last-Event-Id": DIGITS},
            )
            assert again.status == 200


class TestStore:
    """Keys and headers of the store."""

    @pytest.mark.anyio
    @pytest.mark.parametrize("capacity", [DIGITS, "\u00b2", "-1", ""])
    async def test_node_beside_an_odd_lease_never_becomes_ready(
        self, capacity: str
    ) -> None:
        """Guards against a key that ends each listing (RECOVER)."""
        async with node_fleet(2) as fleet:
            document = configuration_document()
            fleet.store.put("op/config", encode(document))
            lease = f"{LEASE_PREFIX}node/x@10.0.0.9:1/zone-a/{capacity}"
            fleet.store.put(lease, b"")
            await fleet.timer.advance(3.0)
            assert all(node.ready for node in fleet.nodes)

    @pytest.mark.parametrize("text", [DIGITS, "\u00b2", "\u0663", "-1", ""])
    def test_odd_era_ends_a_call(self, text: str) -> None:
        eras = StoreEras("node")
        eras.note_answer("3")
        assert eras.note_answer(text) == 3
        assert eras.note_answer("4") == 4


class TestDocuments:
    """Documents in the store."""

    @pytest.mark.parametrize("address", ODD_ADDRESSES)
    def test_server_with_an_unusable_address_gets_requests(
        self, address: str
    ) -> None:
        document = server_document("desk", address)
        decoded = decode_item("servers/i-1", encode(document))
        assert isinstance(decoded, Ok)
        assert isinstance(decoded.ok_value, ServerChange)
        assert decoded.ok_value.entry is None
        assert "address" in decoded.ok_value.problem

    @pytest.mark.parametrize(
        "address", ["10.0.0.1:1", "[::1]:65535", "node-1.zone_a:8080"]
    )
    def test_usable_address_is_refused(self, address: str) -> None:
        document = server_document("desk", address)
        decoded = decode_item("servers/i-1", encode(document))
        assert isinstance(decoded, Ok)
        assert isinstance(decoded.ok_value, ServerChange)
        assert decoded.ok_value.entry is not None

    def test_weights_that_overflow_end_in_500s(self) -> None:
        document = configuration_document()
        routes = document["routes"]
        assert isinstance(routes, list)
        routes[0]["trafficSplit"] = [
            {"service": "desk", "weight": 1e308},
            {"service": "models", "weight": 1e308},
        ]
        assert isinstance(decode_item("op/config", encode(document)), Err)

    @pytest.mark.parametrize("name", ["north\nwest", "north\r\nX: y", "\x00"])
    def test_name_with_a_line_break_ends_in_502s(self, name: str) -> None:
        """Its value would be a header of its own, or none."""
        document = configuration_document()
        tenants = document["tenants"]
        assert isinstance(tenants, list)
        tenants[0]["name"] = name
        assert isinstance(decode_item("op/config", encode(document)), Err)

    def test_name_of_other_letters_is_refused(self) -> None:
        document = configuration_document()
        tenants = document["tenants"]
        assert isinstance(tenants, list)
        tenants[0]["name"] = "Rück & Söhne"
        assert isinstance(decode_item("op/config", encode(document)), Ok)


class TestSettings:
    """Values in the platform's settings file."""

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("listen.front", "10.0.0.1:" + DIGITS),
            ("listen.ready", "10.0.0.1:\u00b2"),
            ("platform.address", "10.0.0.1:\u0663\u0664"),
            ("platform.address", "10.0.0.1:65536"),
            ("portRange", "7600," + DIGITS),
            ("portRange", "\u00b2,\u00b3"),
            ("portRange", "0,7615"),
            ("portRange", "65535,65536"),
            ("limits.cpuShare", "1e308"),
            ("bounds.graceS", DIGITS),
            ("bounds.graceS", "1e999"),
            ("bounds.drainMs", "nan"),
        ],
    )
    def test_settings_with_a_port_of_5000_digits_raise(
        self, name: str, value: str
    ) -> None:
        """Guards against settings that end a node at SIGHUP."""
        kept = [
            line
            for line in f"{SETTINGS}limits.cpuCores=2".splitlines()
            if not line.startswith(f"{name}=")
        ]
        parsed = parse_settings("\n".join([*kept, f"{name}={value}"]))
        assert isinstance(parsed, Err)
        (problem,) = parsed.err_value
        assert problem.startswith(f"{name}: expected")
        assert len(problem) < 2 * MAX_QUOTED_LENGTH

    def test_usual_settings_are_refused(self) -> None:
        usual = SETTINGS.replace("10.1.0.14:8221", "[::1]:65535")
        usual = usual.replace("7600,7615", "7600,7600")
        settings = parse_settings(f"{usual}limits.cpuShare=0.5").unwrap()
        assert str(settings.caller_endpoint) == "[::1]:65535"
        assert settings.relay_endpoint is None
        assert settings.capacity == 5


class TestNumbers:
    """Numbers in headers."""

    @pytest.mark.parametrize(
        ("text", "number"),
        [
            ("0", 0),
            ("007", 7),
            ("9" * 15, 10**15 - 1),
            ("9" * 16, None),
            (DIGITS, None),
            ("\u00b2", None),
            ("\u0663", None),
            ("+1", None),
            ("1_0", None),
            (" 1", None),
            ("1\n", None),
            ("", None),
        ],
    )
    def test_whole_number_of_another_party_raises(
        self, text: str, number: int | None
    ) -> None:
        assert parse_whole_number(text) == number

    @pytest.mark.parametrize("text", ["1", "1500.5", "0", "1.", ".5"])
    def test_usual_number_is_refused(self, text: str) -> None:
        headers = (
            (b"host", b"desk"),
            (b"wasabiwing-attempt-id", b"a"),
            (b"wasabiwing-deadline-ms", text.encode()),
        )
        assert isinstance(PlatformHeaders().read_call(headers), Ok)
