"""Tests of rollouts: shares, evidence, verdicts and their gossip."""

from dataclasses import dataclass
from dataclasses import replace
from functools import cache
from random import Random

import pytest

from tests.examples import example_configuration
from tests.fake_config_store import FakeConfigStore
from tests.network import Bench
from tests.network import bench
from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Rollout
from wasabiwing.configuration import RolloutStep
from wasabiwing.configuration import Version
from wasabiwing.evidence import EvidenceKey
from wasabiwing.evidence import LoadLevel
from wasabiwing.evidence import Sample
from wasabiwing.evidence import sample_from_outcome
from wasabiwing.facts import Facts
from wasabiwing.messages import EvidenceEntry
from wasabiwing.messages import EvidenceReport
from wasabiwing.ports import Member
from wasabiwing.rollout_judge import RolloutJudge
from wasabiwing.rollout_schedule import effective_share
from wasabiwing.rollout_schedule import Phase
from wasabiwing.rollout_schedule import PROBATION_SHARE
from wasabiwing.rollout_schedule import PROBATION_WINDOW_S
from wasabiwing.rollouts import Rollouts
from wasabiwing.status import RolloutState
from wasabiwing.version_gate import VersionGate

pytestmark = pytest.mark.anyio

GOOD = Sample(False, 50)
FAILED = Sample(True, None)

OLD, NEW = "quote-7b-r1", "quote-7b-r2"

# The fake timer starts at this time.
START_S = 1000.0

ROLLOUT = Rollout(
    OLD,
    NEW,
    START_S,
    (RolloutStep(0.0, 0.1), RolloutStep(60.0, 1.0)),
    settle_s=100.0,
)


@cache
def configuration_with_rollout() -> Configuration:
    """Returns the example with a rollout of the model pool."""
    configuration = example_configuration()
    pool = configuration.pools[0]
    pool = replace(
        pool,
        versions=(*pool.versions, Version(NEW, NEW)),
        rollout=ROLLOUT,
    )
    return replace(configuration, pools=(pool, *configuration.pools[1:]))


class FixedMembers:
    """Membership with fixed members."""

    def __init__(self, own: Member, members: list[Member]) -> None:
        self._own = own
        self._members = members

    @property
    def own(self) -> Member:
        return self._own

    def live(self) -> tuple[Member, ...]:
        return tuple(self._members)

    def subscribe(self, changed: object) -> None:
        """Ignores the callback, because the members never change."""


@dataclass(frozen=True, slots=True)
class Node:
    """Controller with its facts and rollouts."""

    member: Member
    facts: Facts
    rollouts: Rollouts


def start_nodes(
    on: Bench, store: FakeConfigStore, names: list[str]
) -> list[Node]:
    """Starts controllers that know each other."""
    members = [
        Member(name, f"tcp://{name}", "great-lakes-a", "great-lakes")
        for name in names
    ]
    addresses = tuple(member.address for member in members)
    nodes = []
    for member in members:
        router = on.router(member.node_id, member.address)
        transport = on.network.transport_by_address[member.address]

        facts = Facts(on.timer, transport, Random(1), lambda: addresses)
        facts.register(router)
        rollouts = Rollouts(
            member.node_id,
            on.timer,
            transport,
            store,
            FixedMembers(member, members),
            facts,
            lambda pool_id, version: 1.0,
        )
        rollouts.register(router)
        rollouts.put_in_force(1, configuration_with_rollout())
        nodes.append(Node(member, facts, rollouts))
    return nodes


def report(failures: int, successes: int) -> EvidenceReport:
    """Returns a gateway's evidence report about both versions."""
    good = (50,) * 60
    return EvidenceReport(
        "quotes",
        (
            EvidenceEntry(OLD, "quote", 0, 0, 0, good),
            EvidenceEntry(NEW, "quote", 0, failures, successes),
        ),
    )


def states(nodes: list[Node]) -> set[RolloutState]:
    """Returns the set of rollout states that the controllers report."""
    return {node.rollouts.statuses()[0].state for node in nodes}


class TestSchedule:
    """Traffic shares by time and phase."""

    def test_probation_caps_the_share_and_bad_ends_it(self) -> None:
        def at(phase: Phase, after_s: float) -> float:
            return effective_share(ROLLOUT, phase, START_S + after_s)

        assert at(Phase.PROBATION, -1.0) == 0.0
        assert at(Phase.PROBATION, 0.0) == PROBATION_SHARE
        assert at(Phase.PROBATION, 90.0) == PROBATION_SHARE
        assert at(Phase.PASSED, 0.0) == 0.1
        assert at(Phase.PASSED, 60.0) == 1.0
        assert at(Phase.BAD, 60.0) == 0.0


class TestEvidence:
    """Outcomes that count as evidence about a version."""

    def outcome(self, code: ResultCode, run: RunState) -> AttemptOutcome:
        """Returns a failed attempt."""
        return AttemptOutcome(Failure(code, "", run), None, 0.1)

    def test_refusals_cuts_and_cold_servers_do_not_count_against_it(
        self,
    ) -> None:
        """Guards against rolling a good version back for other causes."""
        refused = self.outcome(ResultCode.SERVER_REFUSED, RunState.NOT_RUN)
        cut = self.outcome(ResultCode.SERVER_CUT, RunState.MAY_HAVE_RUN)
        error = self.outcome(ResultCode.SERVER_ERROR, RunState.MAY_HAVE_RUN)
        slow = AttemptOutcome(None, 9.0, 9.5)
        assert sample_from_outcome(refused, False) is None
        assert sample_from_outcome(cut, False) is None
        assert sample_from_outcome(error, False) == FAILED
        assert sample_from_outcome(slow, True) == Sample(False, None)
        assert sample_from_outcome(slow, False) == Sample(False, 9000)


class TestJudge:
    """Verdicts on sequences of outcomes."""

    def judge(
        self, samples: list[Sample], load: LoadLevel = LoadLevel.LOW
    ) -> RolloutJudge:
        """Returns a judge with a good old version and some new samples."""
        judge = RolloutJudge("old", "new")
        for level in LoadLevel:
            old = EvidenceKey("pool", "old", "quote", level)
            judge.add(old, [Sample(False, 40 + n % 20) for n in range(200)])
        judge.add(EvidenceKey("pool", "new", "quote", load), samples)
        return judge

    def test_good_outcomes_pass_after_enough_of_them(self) -> None:
        assert not self.judge([GOOD] * 149).verdict().passed
        assert self.judge([GOOD] * 150).verdict().passed

    def test_failures_are_bad_at_once_and_also_late(self) -> None:
        """Guards against good outcomes that hide later failures."""
        assert self.judge([FAILED] * 15).verdict().bad
        late = [GOOD] * 5000 + [GOOD, FAILED] * 20
        assert self.judge(late).verdict().bad

    def test_slowness_under_load_only_is_bad(self) -> None:
        judge = self.judge([Sample(False, 500)] * 30, LoadLevel.HIGH)
        verdict = judge.verdict()
        assert verdict.bad
        assert "slow" in verdict.reason

    def test_a_version_as_faulty_as_the_old_one_is_not_bad(self) -> None:
        judge = RolloutJudge("old", "new")
        mixed = [FAILED, *[GOOD] * 9] * 60
        for version in ("old", "new"):
            key = EvidenceKey("pool", version, "quote", LoadLevel.LOW)
            judge.add(key, mixed)
        assert not judge.verdict().bad

    def test_a_bad_verdict_stays(self) -> None:
        judge = self.judge([FAILED] * 15)
        key = EvidenceKey("pool", "new", "quote", LoadLevel.LOW)
        judge.add(key, [GOOD] * 1000)
        assert judge.verdict().bad


class TestRollouts:
    """Verdicts shared by controllers, with and without the store."""

    async def test_a_bad_verdict_reaches_all_without_the_store(self) -> None:
        async with bench() as on:
            store = FakeConfigStore()
            store.down = True
            nodes = start_nodes(on, store, ["a", "b", "c"])
            gateway = on.network.open("gateway", "tcp://gateway")
            gateway.send(nodes[0].member.address, report(30, 0))
            await on.timer.advance(3.0)
            assert states(nodes) == {RolloutState.ROLLED_BACK}
            assert store.value_by_key == {}
            store.down = False
            await on.timer.advance(10.0)
            assert len(store.value_by_key) == 1

    async def test_a_verdict_outlives_all_controllers(self) -> None:
        async with bench() as on:
            store = FakeConfigStore()
            nodes = start_nodes(on, store, ["a", "b"])
            gateway = on.network.open("gateway", "tcp://gateway")
            gateway.send(nodes[1].member.address, report(30, 0))
            await on.timer.advance(10.0)
            for node in nodes:
                on.network.transport_by_address[
                    node.member.address
                ].paused = True
            later = start_nodes(on, store, ["c", "d"])
            await on.timer.advance(3.0)
            assert states(later) == {RolloutState.ROLLED_BACK}

    async def test_a_good_version_settles_and_frees_the_old_vms(
        self,
    ) -> None:
        async with bench() as on:
            nodes = start_nodes(on, FakeConfigStore(), ["a", "b"])
            gateway = on.network.open("gateway", "tcp://gateway")
            for _ in range(4):
                gateway.send(nodes[0].member.address, report(0, 60))
            await on.timer.advance(5.0)
            assert states(nodes) == {RolloutState.RUNNING}
            assert not nodes[0].rollouts.may_stop("quotes", OLD)
            await on.timer.advance(160.0)
            assert states(nodes) == {RolloutState.DONE}
            assert nodes[0].rollouts.may_stop("quotes", OLD)

    async def test_a_schedule_without_evidence_is_reported_late(self) -> None:
        async with bench() as on:
            nodes = start_nodes(on, FakeConfigStore(), ["a"])
            await on.timer.advance(3.0)
            status = nodes[0].rollouts.statuses()[0]
            assert "not enough evidence" in status.reason


class TestVersionGate:
    """Assignment of requests to versions on a gateway."""

    def call(self, number: int) -> Call:
        """Returns a request of the pool with the rollout."""
        configuration = configuration_with_rollout()
        return Call(
            request_id=f"request-{number}",
            organisation=configuration.organisations[0],
            route=configuration.routes[0],
            pool=configuration.pools[0],
            method="POST",
            path="/v1/chat/completions",
            body=b"",
            idempotency_key="",
            prompt_tokens=1,
            max_tokens=1,
            received_at=0.0,
            deadline=1.0,
        )

    async def test_probation_bounds_share_and_count(self) -> None:
        async with bench() as on:
            transport = on.network.open("gateway", "tcp://gateway")
            facts = Facts(on.timer, transport, Random(1), tuple)
            gate = VersionGate(on.timer, transport, facts, "", lambda: 8)
            server = BackendServer("s", "127.0.0.1:1", "z", NEW)
            sent = 0
            for number in range(1000):
                call = self.call(number)
                if not gate.is_withheld(call, server):
                    gate.note_sent(call, ServerAssignment(server, 1))
                    sent += 1
            assert sent == 50
            share = sum(
                not gate.is_withheld(self.call(number), server)
                for number in range(100)
            )
            assert share == 0
            await on.timer.advance(PROBATION_WINDOW_S)
            gate.note_sent(self.call(0), ServerAssignment(server, 1))
            opened = sum(
                not gate.is_withheld(self.call(number), server)
                for number in range(2000)
            )
            assert 0.03 * 2000 < opened < 0.07 * 2000
            facts.publish(
                "rollout", f"quotes/{NEW}/{START_S:.3f}", "failures", 2
            )
            assert all(
                gate.is_withheld(self.call(number), server)
                for number in range(2000)
            )
