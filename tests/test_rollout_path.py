"""Tests of rollouts through real sockets."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from time import time

from anyio import create_task_group
from anyio import sleep
from msgspec.json import decode
import pytest

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import running_deployment
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Rollout
from wasabiwing.configuration import RolloutStep
from wasabiwing.configuration import Version
from wasabiwing.evidence import MAX_SAMPLES_PER_KEY
from wasabiwing.http_client import HttpClient
from wasabiwing.rollout_judge import PASS_OUTCOMES
from wasabiwing.rollout_schedule import PROBATION_SHARE
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.engine import EngineStandIn

pytestmark = pytest.mark.anyio

OLD, NEW = "quote-7b-r1", "quote-7b-r2"
NEW_SERVER = "model-5"

CALLERS = 8
MODELS = ("quote", "yard-chat")

# Longest wait for a verdict, in seconds; it ends a failing test.
VERDICT_TIMEOUT_S = 60.0

# Largest number of rounds of 300 requests until the traffic has moved.
MOVE_ROUNDS = 10

# Time after a verdict from which the new version gets no request, in seconds;
# the design page states this bound.
AFTER_VERDICT_S = 5.0

Check = Callable[[], bool]


def rollout_configuration(
    settle_s: float = 600.0, cold_slots: int = 2
) -> Configuration:
    """Returns the example with one of five servers on a new version.

    ``cold_slots`` is the lowest limit of the new version's server.
    """
    configuration = example_configuration()
    pool = configuration.pools[0]
    servers = tuple(
        replace(server, version=NEW, cold_slots=cold_slots)
        if server.id == NEW_SERVER
        else server
        for server in pool.servers
    )
    rollout = Rollout(
        OLD, NEW, time() - 1.0, (RolloutStep(0.0, 1.0),), settle_s
    )
    pool = replace(
        pool,
        versions=(*pool.versions, Version(NEW, NEW)),
        servers=servers,
        rollout=rollout,
    )
    return replace(configuration, pools=(pool, *configuration.pools[1:]))


@dataclass(slots=True)
class Load:
    """Load of callers that send one request after the other until it ends."""

    deployment: LocalDeployment
    ended: bool = False
    sent: int = 0
    # Bodies of all answers with another status than 200.
    refusals: list[bytes] = field(default_factory=list)

    async def call(self, number: int) -> None:
        """Sends requests as one caller."""
        caller = Caller(HttpClient())
        vms = self.deployment.vms
        while not self.ended:
            self.sent += 1
            reply = await caller.chat(
                vms[self.sent % len(vms)],
                f"bags {number} {self.sent}",
                max_tokens=1,
                model=MODELS[self.sent // len(vms) % len(MODELS)],
            )
            if reply.status != 200:
                self.refusals.append(reply.body)
        await caller.client.close()

    @property
    def new_requests(self) -> int:
        """Returns the number of requests at the new version's engine."""
        return len(self.new_engine.request_ids)

    @property
    def new_engine(self) -> EngineStandIn:
        """Returns the engine that runs the new version."""
        return self.deployment.engine_by_id[NEW_SERVER]

    async def until(self, holds: Check, patience_s: float) -> None:
        """Waits until a condition holds; fails after ``patience_s``."""
        for _ in range(int(patience_s / 0.05)):
            if holds():
                return
            await sleep(0.05)
        raise AssertionError(f"after {self.sent}, new {self.new_requests}")

    async def until_state(self, state: str) -> None:
        """Waits until all controllers report a state of the rollout."""
        client = HttpClient()
        for _ in range(int(VERDICT_TIMEOUT_S / 0.1)):
            states = [
                await rollout_state(client, vm) for vm in self.deployment.vms
            ]
            if set(states) == {state}:
                await client.close()
                return
            await sleep(0.1)
        raise AssertionError(f"{states} after {self.new_requests} requests")


async def rollout_state(client: HttpClient, vm: EntryVm) -> str:
    """Returns the state of the rollout that a controller reports."""
    url = f"http://{vm.controller.http}/v1/status"
    reply = (await client.send("GET", url)).unwrap()
    rollouts = decode(reply.body)["rollouts"]
    return str(rollouts[0]["state"]) if rollouts else "none"


@asynccontextmanager
async def rollout_under_load(
    configuration: Configuration, new_engine: Callable[[EngineStandIn], None]
) -> AsyncIterator[Load]:
    """Runs a deployment with callers; ``new_engine`` sets faults first."""
    async with running_deployment(configuration) as deployment:
        load = Load(deployment)
        new_engine(load.new_engine)
        async with create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(load.call, number)
            yield load
            load.ended = True


async def new_share(load: Load) -> float:
    """Returns the new version's share of the next requests."""
    received, sent = load.new_requests, load.sent
    await load.until(lambda: load.sent >= sent + 300, VERDICT_TIMEOUT_S)
    return (load.new_requests - received) / (load.sent - sent)


async def assert_no_new_requests(load: Load) -> None:
    """Checks that the new version gets no request after a verdict."""
    await sleep(AFTER_VERDICT_S)
    received, sent = load.new_requests, load.sent
    await load.until(lambda: load.sent >= sent + 300, VERDICT_TIMEOUT_S)
    assert load.new_requests == received


def fail(engine: EngineStandIn) -> None:
    """Makes the engine fail each request at once."""
    engine.faults.fail = True


def slow_engines(engine: EngineStandIn) -> None:
    """Makes the engine slower than the other engines at any load."""
    engine.faults.slow_factor = 200.0


def fail_one_route(engine: EngineStandIn) -> None:
    """Makes the engine fail the requests of one route."""
    engine.faults.fail_model = "yard-chat"


def be_cold(engine: EngineStandIn) -> None:
    """Puts the engine into cold start for its next 20 requests."""
    engine.remaining_cold_requests = 20


def be_good(engine: EngineStandIn) -> None:
    """Leaves the engine without a fault."""


class TestBadVersion:
    """Faulty new versions, which must be rolled back."""

    @pytest.mark.parametrize("fault", [fail, slow_engines, fail_one_route])
    async def test_gets_its_probation_share_until_the_verdict_only(
        self, fault: Callable[[EngineStandIn], None]
    ) -> None:
        """Guards against retries and late nodes that exceed the share."""
        async with rollout_under_load(rollout_configuration(), fault) as load:
            await load.until_state("rolled_back")
            assert 0 < load.new_requests <= PROBATION_SHARE * load.sent
            await assert_no_new_requests(load)
            assert load.refusals == []

    async def test_is_rolled_back_while_the_store_is_down(self) -> None:
        """Guards against verdicts that need the store."""
        async with rollout_under_load(rollout_configuration(), fail) as load:
            await load.deployment.store.set_down(True)
            await load.until_state("rolled_back")
            assert load.new_requests <= PROBATION_SHARE * load.sent
            await assert_no_new_requests(load)

    async def test_verdict_outlives_every_controller(self) -> None:
        """Guards against a verdict that is lost with its home controller."""
        async with rollout_under_load(rollout_configuration(), fail) as load:
            await load.until(lambda: load.new_requests > 0, VERDICT_TIMEOUT_S)
            for vm in load.deployment.vms:
                await load.deployment.restart_controller(vm)
            await load.until_state("rolled_back")
            await load.deployment.store.set_down(True)
            for vm in load.deployment.vms:
                await load.deployment.restart_controller(vm)
            await load.deployment.store.set_down(False)
            await load.until_state("rolled_back")
            assert load.new_requests <= PROBATION_SHARE * load.sent
            await assert_no_new_requests(load)


class TestGoodVersion:
    """Good new versions, which must not be rolled back."""

    async def test_moves_on_schedule_and_settles(self) -> None:
        """Guards against traffic that stays with the old version."""
        # Latencies in one process vary so much that the server's limit often
        # falls to its lowest value, which must not decide the test.
        configuration = rollout_configuration(settle_s=2.0, cold_slots=16)
        async with rollout_under_load(configuration, be_good) as load:
            await load.until_state("done")
            assert load.new_requests >= PASS_OUTCOMES
            # A request runs on the old version while its gateway has no slot
            # at the new server, so a small share stays there.
            for _ in range(MOVE_ROUNDS):
                if await new_share(load) > 0.8:
                    break
            else:
                raise AssertionError("the traffic stays with the old version")
            assert load.refusals == []

    async def test_is_not_rolled_back_for_its_cold_start(self) -> None:
        """Guards against a verdict from the slow answers of a cold start."""
        async with rollout_under_load(
            rollout_configuration(), be_cold
        ) as load:
            load.new_engine.times = replace(
                load.new_engine.times, cold_factor=100.0
            )
            await load.until(
                lambda: load.new_requests > 2 * MAX_SAMPLES_PER_KEY,
                VERDICT_TIMEOUT_S,
            )
            client = HttpClient()
            for vm in load.deployment.vms:
                assert await rollout_state(client, vm) != "rolled_back"
            await client.close()
