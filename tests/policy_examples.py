"""A gateway's router and admission for a small pool, without sockets."""

from dataclasses import dataclass
from dataclasses import replace
from random import Random

from tests.open_credits import OpenCredits
from wasabiwing.admission import Admission
from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import Call
from wasabiwing.cluster_view import ClusterView
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import AvailabilityZone
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import MachineClass
from wasabiwing.configuration import Organisation
from wasabiwing.configuration import Pool
from wasabiwing.configuration import PoolKind
from wasabiwing.configuration import Route
from wasabiwing.configuration import Version
from wasabiwing.configuration import ZoneState
from wasabiwing.decisions import DecisionLog
from wasabiwing.facts import Facts
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message
from wasabiwing.prefix_index import block_digests
from wasabiwing.routing import Router
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing.stop_admission import StopAdmission
from wasabiwing.timers import FakeTimer
from wasabiwing.version_gate import VersionGate

ZONES = ("a", "b", "c")

SUCCESS = AttemptOutcome(None, 0.05, 1.0, 20)
FAST_FAILURE = AttemptOutcome(
    Failure(ResultCode.SERVER_ERROR, "", RunState.MAY_HAVE_RUN), None, 0.001
)
UNREACHABLE = AttemptOutcome(Failure(ResultCode.CONNECT_FAILED), None, 0.001)


def pool_configuration(servers_per_zone: int, slots: int) -> Configuration:
    """Returns one model pool over three zones, all at the same price."""
    servers = tuple(
        BackendServer(
            f"{zone}{number}",
            "127.0.0.1:1",
            zone,
            "r1",
            "small",
            max_slots=slots,
        )
        for number in range(servers_per_zone)
        for zone in ZONES
    )
    prices = dict.fromkeys(ZONES, 1.0)
    return Configuration(
        "test",
        tuple(
            AvailabilityZone(zone, "r", ZoneState.ACTIVE, _latency(zone))
            for zone in ZONES
        ),
        (Organisation("office", "0" * 64),),
        (Pool("model", PoolKind.MODEL, (Version("r1"),), servers),),
        (Route("chat", "/v1/completions", "model", "m"),),
        (MachineClass("small", prices, prices),),
    )


class SilentTransport:
    """A ``Transport`` that drops all messages."""

    address = "tcp://nowhere"

    def send(
        self, address: str, message: Message, correlation: int = 0
    ) -> None:
        """Drops a message."""

    async def receive(self) -> Envelope:
        """Fails the test: no message is expected."""
        raise AssertionError("not called by these tests")


@dataclass(slots=True)
class PolicyBench:
    """A gateway's routing and admission on a fake timer."""

    timer: FakeTimer
    view: ClusterView
    router: Router
    admission: Admission
    decisions: DecisionLog
    stop_admission: StopAdmission

    def call(
        self,
        request_id: str,
        organisation: str = "office",
        prompt_tokens: int = 100,
        max_tokens: int = 20,
        deadline_s: float = 60.0,
        priority_class: int = 1,
        queue_limit: int = 200,
        prompt: str = "",
    ) -> Call:
        """Returns a call to the pool, as the gateway's parser builds it."""
        assert self.view.index is not None
        configuration = self.view.index.configuration
        return Call(
            request_id=request_id,
            organisation=Organisation(
                organisation, "0" * 64, queue_limit=queue_limit
            ),
            route=replace(
                configuration.routes[0], priority_class=priority_class
            ),
            pool=configuration.pools[0],
            method="POST",
            path="/v1/completions",
            body=b"",
            idempotency_key="",
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            received_at=self.timer.now(),
            deadline=self.timer.now() + deadline_s,
            prefix_digests=block_digests(prompt),
        )

    def apply(self, configuration: Configuration) -> None:
        """Puts a configuration in force under the next generation."""
        self.view.put_in_force(self.view.generation + 1, configuration)

    def set_zone(self, zone_id: str, state: ZoneState) -> None:
        """Puts the configuration in force with a new state of a zone."""
        assert self.view.index is not None
        configuration = self.view.index.configuration
        zones = tuple(
            replace(zone, state=state) if zone.id == zone_id else zone
            for zone in configuration.availability_zones
        )
        self.apply(replace(configuration, availability_zones=zones))

    def choose(self, call: Call) -> str:
        """Returns the id of the server chosen for a call; keeps its slot."""
        chosen = self.router.choose_server(call, 1, frozenset())
        return chosen.unwrap().server.id

    def run_one(
        self,
        request_id: str,
        outcome: AttemptOutcome = SUCCESS,
        prompt: str = "",
    ) -> str:
        """Routes a request that ends at once; returns its server's id."""
        chosen = self.router.choose_server(
            self.call(request_id, prompt=prompt), 1, frozenset()
        ).unwrap()
        self.admission.release(chosen, outcome)
        return chosen.server.id


def policy_bench(
    servers_per_zone: int = 1,
    slots: int = 4,
    policy: RoutingPolicy = RoutingPolicy.EXPECTED_TIME,
) -> PolicyBench:
    """Returns a gateway in zone ``a`` with a configuration in force."""
    timer = FakeTimer()
    view = ClusterView()
    credits = OpenCredits(timer, view)
    decisions = DecisionLog("gateway-1", timer)
    transport = SilentTransport()
    facts = Facts(timer, transport, Random(7), tuple)
    router = Router(
        "gateway-1",
        "a",
        view,
        credits,
        timer,
        Random(7),
        decisions,
        policy,
        VersionGate(timer, transport, facts, "", lambda: 1),
    )
    stop_admission = StopAdmission(timer)
    admission = Admission(timer, router, credits, decisions, stop_admission)
    bench = PolicyBench(
        timer, view, router, admission, decisions, stop_admission
    )
    bench.apply(pool_configuration(servers_per_zone, slots))
    return bench


def _latency(zone: str) -> dict[str, float]:
    return {other: 0.5 for other in ZONES if other != zone}
