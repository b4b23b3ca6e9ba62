"""Tests of requests that crash backend servers."""

from anyio import create_task_group
from anyio import Event
from anyio import fail_after
from anyio import sleep
from anyio.abc import TaskGroup
import pytest

from tests.examples import Caller
from tests.examples import chat_text
from tests.examples import error_of
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.network import Bench
from tests.network import bench
from tests.policy_examples import policy_bench
from tests.policy_examples import PolicyBench
from tests.stream_caller import wait_gateways_known
from tests.test_facts import start_facts_node
from wasabiwing.admission import Admission
from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.evidence import sample_from_outcome
from wasabiwing.http_client import HttpClient
from wasabiwing.quarantine import JUDGEMENT_DELAY_S
from wasabiwing.quarantine import Quarantine
from wasabiwing.quarantine import SUSPICION_LIFETIME_S
from wasabiwing.suspect_isolation import SuspectIsolation
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.engine import answer_text
from wasabiwing_standins.engine import EngineStandIn

pytestmark = pytest.mark.anyio

CONFIGURATION = example_configuration()

# Longer than the gossip and the judgement of a crash take, in seconds.
JUDGED_S = JUDGEMENT_DELAY_S + 0.1

CRASHED = AttemptOutcome(
    Failure(ResultCode.STREAM_INCOMPLETE, "", RunState.MAY_HAVE_RUN),
    None,
    0.1,
    crashed=True,
)


class _Node:
    """Gateway with a quarantine, a router and a queue of its own."""

    def __init__(self, on: Bench, number: int, peers: tuple[int, ...]) -> None:
        self.timer = on.timer
        self.policy: PolicyBench = policy_bench(slots=4)
        self.answers = False

        async def probe(address: str) -> bool:
            return self.answers

        self.quarantine = Quarantine(
            f"n{number}",
            on.timer,
            start_facts_node(on, number, peers),
            self.policy.view.is_leaving,
            probe,
        )
        self.isolation = SuspectIsolation(self.quarantine)
        self.policy.router.isolation = self.isolation
        self.admission: Admission = self.policy.admission

    def choose(self, name: str) -> ServerAssignment:
        """Routes a new request with the body ``name``; returns its slot."""
        chosen = self.policy.router.choose_server(
            self.call(name), 1, frozenset()
        )
        return chosen.unwrap()

    def call(self, name: str) -> Call:
        """Returns a call with the body ``name``."""
        call = self.policy.call(name)
        object.__setattr__(call, "body", name.encode())
        return call

    async def crash(self, name: str, server: str, age_s: float = 0.0) -> None:
        """Reports that a server cut a request that began ``age_s`` ago."""
        assert self.policy.view.index is not None
        await self.quarantine.note_cut(
            self.call(name),
            self.policy.view.index.server_by_id[server],
            self.timer.now() - age_s,
        )

    def refused(self, name: str) -> bool:
        """Whether a new request with the body is refused."""
        refusal = self.quarantine.refusal(self.call(name))
        assert refusal is None or refusal.run_state is RunState.NOT_RUN
        return refusal is not None


class TestJudgement:
    """Judgement of crashes: which digests are quarantined."""

    async def test_crashes_at_two_gateways_add_up(self) -> None:
        """Guards against counting the crashes of each gateway apart.

        A caller that spreads its repeats would go on crashing servers.
        """
        async with bench() as on:
            first, second = _Node(on, 0, (1,)), _Node(on, 1, (0,))
            await first.crash("bad", "a0")
            await on.timer.advance(JUDGED_S)
            assert not first.refused("bad")
            await second.crash("bad", "b0")
            await on.timer.advance(JUDGED_S)
            assert first.refused("bad")
            assert second.refused("bad")

    async def test_one_crash_seen_by_two_gateways_counts_once(self) -> None:
        """Guards against a quarantine after a single crash."""
        async with bench() as on:
            first, second = _Node(on, 0, (1,)), _Node(on, 1, (0,))
            await first.crash("bad", "a0")
            await on.timer.advance(JUDGED_S)
            await second.crash("bad", "a0", age_s=1.0)
            await on.timer.advance(JUDGED_S)
            assert not first.refused("bad")
            await second.crash("bad", "a0")
            await on.timer.advance(JUDGED_S)
            assert first.refused("bad")

    async def test_a_success_between_two_crashes_clears(self) -> None:
        """Guards against refusing a request that only shared the servers.

        The good request was in both crashes, but succeeded in between.
        """
        async with bench() as on:
            first, second = _Node(on, 0, (1,)), _Node(on, 1, (0,))
            for name in ("bad", "good"):
                await first.crash(name, "a0")
            await on.timer.advance(JUDGED_S)
            second.quarantine.note_success(second.call("good"))
            await on.timer.advance(JUDGED_S)
            for name in ("good", "bad"):
                await first.crash(name, "b0")
            await on.timer.advance(JUDGED_S)
            assert first.refused("bad")
            assert not first.refused("good")

    async def test_the_same_two_requests_twice_are_told_apart_later(
        self,
    ) -> None:
        """Guards against quarantining both requests, or neither.

        Two requests share two crashes; a third crash tells them apart.
        """
        async with bench() as on:
            node = _Node(on, 0, ())
            for server in ("a0", "b0"):
                for name in ("good", "bad"):
                    await node.crash(name, server)
                await on.timer.advance(JUDGED_S)
            assert not node.refused("good")
            assert not node.refused("bad")
            node.quarantine.note_success(node.call("good"))
            await node.crash("bad", "c0")
            await on.timer.advance(JUDGED_S)
            assert node.refused("bad")
            assert not node.refused("good")

    async def test_a_cut_or_a_leaving_server_raises_no_suspicion(self) -> None:
        """Guards against treating lost connections as crashes."""
        async with bench() as on:
            node = _Node(on, 0, ())
            node.answers = True
            await node.crash("good", "a0")
            node.answers = False
            node.policy.view.mark_leaving(("b0",), (), 0.0)
            await node.crash("good", "b0")
            assert not node.quarantine.suspect_digest(node.call("good"))

    async def test_a_suspicion_ends_with_its_lifetime(self) -> None:
        """Guards against suspicions that never expire."""
        async with bench() as on:
            node = _Node(on, 0, ())
            await node.crash("bad", "a0")
            await on.timer.advance(SUSPICION_LIFETIME_S + 10)
            assert not node.quarantine.suspect_digest(node.call("bad"))
            await node.crash("bad", "b0")
            await on.timer.advance(JUDGED_S)
            assert not node.refused("bad")


class TestIsolation:
    """Isolation of suspects: on which servers they run."""

    async def test_suspects_run_apart_and_away_from_healthy_traffic(
        self,
    ) -> None:
        """Guards against a suspect that cuts other requests in its crash."""
        async with bench() as on:
            node = _Node(on, 0, ())
            for name in ("one", "two"):
                await node.crash(name, "a0")
            await on.timer.advance(JUDGED_S)
            healthy = node.choose("healthy").server.id
            servers = [node.choose(name).server.id for name in ("one", "two")]
            assert len({healthy, *servers}) == 3
            for number in range(3):
                assert node.choose(f"more{number}").server.id == healthy

    async def test_suspects_of_two_gateways_do_not_crash_a_server_together(
        self,
    ) -> None:
        """Guards against a third crash, after two that two suspects share.

        Two suspects at different gateways that run on one server crash it
        together, so the second crash cannot tell them apart either.
        """
        async with bench() as on:
            for number in range(20):
                first, second = _Node(on, 0, (1,)), _Node(on, 1, (0,))
                bad, good = f"bad{number}", f"good{number}"
                await first.crash(bad, "a0")
                await second.crash(good, "a0")
                await on.timer.advance(JUDGED_S)
                sites = {
                    self._server_of_suspect(first, bad),
                    self._server_of_suspect(second, good),
                }
                assert "" in sites or len(sites) == 2

    def _server_of_suspect(self, node: _Node, name: str) -> str:
        """Returns the id of a suspect's server; empty if the suspect waits."""
        chosen = node.policy.router.choose_server(
            node.call(name), 1, frozenset()
        )
        return chosen.map_or("", lambda choice: choice.server.id)

    async def test_a_repeat_waits_for_the_one_that_runs(self) -> None:
        """Guards against several crashes before the first is judged.

        Of two requests with one digest, the second waits for the first.
        """
        async with bench() as on:
            node = _Node(on, 0, ())
            await node.crash("bad", "a0")
            await on.timer.advance(JUDGED_S)
            running = node.choose("bad")
            ended: list[object] = []
            on.tasks.start_soon(_acquire, node, "bad", ended)
            on.tasks.start_soon(_acquire, node, "healthy", ended)
            await on.timer.advance(0.1)
            assert ended == ["healthy"]
            await node.crash("bad", running.server.id, age_s=0.1)
            node.admission.release(running, CRASHED)
            assert ended == ["healthy"]
            await on.timer.advance(JUDGED_S)
            await node.admission.check_capacity()
            await on.timer.advance(0.1)
            assert ended == ["healthy", ResultCode.QUARANTINED]

    async def test_a_crash_counts_against_neither_limit_nor_version(
        self,
    ) -> None:
        """Guards against a crashing request that lowers a server's limit.

        It must also give no evidence against its server's version.
        """
        assert sample_from_outcome(CRASHED, False) is None
        async with bench() as on:
            node = _Node(on, 0, ())
            choice = node.choose("bad")
            node.admission.release(choice, CRASHED)
            uses = node.policy.admission._credits.build_request("x").uses
            assert sum(use.failed + use.refused for use in uses) == 0


async def _acquire(node: _Node, name: str, ended: list[object]) -> None:
    acquired = await node.admission.acquire(node.call(name), 1, frozenset())
    if acquired.is_ok():
        ended.append(name)
    else:
        ended.append(acquired.unwrap_err().code)


class TestCrashingRequest:
    """Request that crashes each server that runs it, over real sockets."""

    @pytest.mark.parametrize("store_down", [False, True])
    async def test_it_crashes_at_most_two_servers(
        self, store_down: bool
    ) -> None:
        """Guards against a caller whose repeats crash all of a pool."""
        async with running_deployment(CONFIGURATION, 2) as deployment:
            # Gateways that do not know each other yet share no crashes.
            await wait_gateways_known(deployment)
            deployment.store.down = store_down
            engines = deployment.engine_by_id.values()
            for engine in engines:
                engine.faults.crash_on_text = "poison"
            stop = Event()
            answered: list[str] = []
            async with create_task_group() as tasks:
                for engine in engines:
                    tasks.start_soon(_restart_after_crash, engine, stop)
                _start_healthy(deployment, tasks, stop, answered)
                await sleep(0.2)
                refusals = []
                caller = Caller(HttpClient())
                for number in range(12):
                    vm = deployment.vms[number % 2]
                    reply = await caller.chat(vm, "poison")
                    refusals.append(error_of(reply))
                crashes = sum(engine.crashes for engine in engines)
                healthy = len(answered)
                with fail_after(TEST_TIMEOUT_S):
                    while len(answered) < healthy + 20:
                        await sleep(0.02)
                stop.set()
            assert crashes <= 2
            assert refusals[0]["run"] == "may_have_run"
            for refusal in refusals[1:]:
                assert refusal["code"] == ResultCode.QUARANTINED
                assert refusal["run"] == "not_run"


class TestCrashingBlock:
    """Different prompts that begin with the same text, over real sockets."""

    async def test_prompts_that_share_a_beginning_are_refused(self) -> None:
        """Guards against one crash for each prompt with the beginning."""
        async with running_deployment(CONFIGURATION, 2) as deployment:
            await wait_gateways_known(deployment)
            engines = deployment.engine_by_id.values()
            for engine in engines:
                engine.faults.crash_on_text = "poison"
            stop = Event()
            answered: list[str] = []
            codes: list[object] = []
            async with create_task_group() as tasks:
                for engine in engines:
                    tasks.start_soon(_restart_after_crash, engine, stop)
                _start_healthy(deployment, tasks, stop, answered)
                await sleep(0.2)
                caller = Caller(HttpClient())
                for number in range(14):
                    text = "poison" + "x" * 600 + f"{number:03}" * 200
                    vm = deployment.vms[number % 2]
                    reply = await caller.chat(vm, text)
                    codes.append(error_of(reply)["code"])
                    await sleep(0.3)
                crashes = sum(engine.crashes for engine in engines)
                stop.set()
            assert codes[-3:] == [ResultCode.QUARANTINED] * 3
            assert crashes <= 8


async def _restart_after_crash(engine: EngineStandIn, stop: Event) -> None:
    crashes = 0
    while not stop.is_set():
        if engine.crashes > crashes:
            crashes = engine.crashes
            await sleep(0.3)
            await engine.start()
        await sleep(0.02)


def _start_healthy(
    deployment: LocalDeployment,
    tasks: TaskGroup,
    stop: Event,
    answered: list[str],
) -> None:
    """Sends other requests through all gateways until ``stop``."""

    async def send(number: int) -> None:
        caller = Caller(HttpClient())
        vm = deployment.vms[number % len(deployment.vms)]
        sent = 0
        while not stop.is_set():
            sent += 1
            text = f"healthy {number} {sent}"
            reply = await caller.chat(vm, text)
            assert reply.status == 200, reply.body
            assert chat_text(reply) == answer_text(text, 20)
            answered.append(text)
            await sleep(0.01)

    for number in range(4):
        tasks.start_soon(send, number)
