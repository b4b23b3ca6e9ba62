"""Tests of slot credits between gateways and home controllers."""

from contextlib import ExitStack
from dataclasses import replace
from random import Random

from anyio import create_task_group
from anyio import sleep
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from msgspec.json import decode
import pytest

from tests.examples import Caller
from tests.examples import chat_text
from tests.examples import error_of
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.slot_network import one_server
from tests.slot_network import SlotNetwork
from tests.slot_network import TIMES
from wasabiwing import gateway_credits
from wasabiwing.calls import AttemptOutcome
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.gateway_credits import WORKING_SET_SIZE
from wasabiwing.http_client import HttpClient
from wasabiwing.http_client import status_failure
from wasabiwing.messages import Credit
from wasabiwing.messages import CreditGrant
from wasabiwing.rendezvous import owner
from wasabiwing_demo.deployment import CREDIT_LIFETIME_S
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.engine import answer_text

pytestmark = pytest.mark.anyio

TICK_S = TIMES.credit_lifetime_s / 4


async def run_ticks(network: SlotNetwork, count: int) -> int:
    """Renews credits under load reports; returns the most usable slots."""
    most = 0
    for _ in range(count):
        running = sum(
            node.credits.in_flight_by_server[network.server.id]
            for node in network.gateway_by_id.values()
        )
        network.report_load(running, cold=True)
        network.renew()
        for _ in range(5):
            await network.step(TICK_S / 5)
            most = max(most, network.usable_slots())
    return most


class TestLending:
    """Credits that one home controller grants."""

    async def test_a_new_home_waits_for_earlier_credits(self) -> None:
        network = SlotNetwork(4, one_server(2, 16))
        assert await run_ticks(network, 7) == 0
        assert await run_ticks(network, 8) == 2

    async def test_waiting_gateways_take_turns_when_slots_are_few(
        self,
    ) -> None:
        """Guards against a waiting gateway that never gets a credit."""
        network = SlotNetwork(8, one_server(2, 16))
        served: set[str] = set()
        with ExitStack() as stack:
            for node in network.gateway_by_id.values():
                stack.enter_context(node.credits.count_waiting(network.pool))
            for _ in range(60):
                assert await run_ticks(network, 1) <= 2
                served |= {
                    name
                    for name, node in network.gateway_by_id.items()
                    if node.credits.available_slots(network.server.id) > 0
                }
        assert served == set(network.gateway_by_id)

    async def test_work_that_outlives_its_credit_keeps_its_slot(
        self,
    ) -> None:
        network = SlotNetwork(4, one_server(2, 16))
        await run_ticks(network, 15)
        holder = next(
            node.credits
            for node in network.gateway_by_id.values()
            if node.credits.available_slots(network.server.id) > 0
        )
        holder.take_slot(network.server.id)
        assert await run_ticks(network, 40) == 2
        holder.release_slot(network.server.id)
        assert await run_ticks(network, 40) == 2

    async def test_a_silent_gateway_frees_its_slots_by_the_load_report(
        self,
    ) -> None:
        network = SlotNetwork(1, one_server(2, 16))
        await run_ticks(network, 15)
        del network.gateway_by_id["gateway-0"]
        network.start_gateway("gateway-1", "home")
        assert await run_ticks(network, 4) == 0
        assert await run_ticks(network, 20) == 2

    async def test_unreported_work_of_a_silent_gateway_keeps_its_slots(
        self,
    ) -> None:
        """Guards against freeing slots of work begun after the last report."""
        network = SlotNetwork(1, one_server(2, 16))
        await run_ticks(network, 15)
        silent = network.gateway_by_id["gateway-0"]
        silent.controller = "unreachable"
        silent.credits.take_slot(network.server.id)
        silent.credits.take_slot(network.server.id)
        network.start_gateway("gateway-1", "home")
        assert await run_ticks(network, 40) == 2

    async def test_a_credit_expires_a_lifetime_after_it_was_asked_for(
        self,
    ) -> None:
        """Guards against a lifetime counted from the grant's arrival."""
        network = SlotNetwork(1, one_server(2, 16))
        await run_ticks(network, 15)
        book = network.gateway_by_id["gateway-0"].credits
        request = book.build_request("gateway-0")
        await network.step(TIMES.credit_lifetime_s * 0.75)
        credit = Credit(network.server.id, 2)
        book.on_grant(
            CreditGrant(request.incarnation, request.sequence, 2000, (credit,))
        )
        assert book.available_slots(network.server.id) == 2
        await network.step(TIMES.credit_lifetime_s * 0.25)
        assert book.available_slots(network.server.id) == 0

    async def test_a_gateway_asks_for_a_bounded_set_of_servers(self) -> None:
        """Guards against control traffic that grows with the servers."""
        configuration = one_server(2, 16)
        pool = configuration.pools[0]
        pools = tuple(
            replace(
                pool,
                id=f"pool-{number}",
                servers=tuple(
                    replace(pool.servers[0], id=f"server-{number}-{place}")
                    for place in range(100)
                ),
            )
            for number in range(20)
        )
        network = SlotNetwork(1, replace(configuration, pools=pools))
        book = network.gateway_by_id["gateway-0"].credits
        assert len(book.build_request("").uses) == WORKING_SET_SIZE
        with ExitStack() as stack:
            for item in pools:
                stack.enter_context(book.count_waiting(item))
            uses = book.build_request("").uses
        asked = {use.server_id.split("-")[1] for use in uses if use.waiting}
        assert len(asked) == len(pools)

    async def test_a_server_that_fails_fast_loses_its_credits(self) -> None:
        network = SlotNetwork(1, one_server(2, 16))
        await run_ticks(network, 15)
        book = network.gateway_by_id["gateway-0"].credits
        failed = Failure(ResultCode.SERVER_ERROR, "", RunState.MAY_HAVE_RUN)
        for _ in range(3):
            book.note_outcome(
                network.server.id, AttemptOutcome(failed, None, 0.001)
            )
            await run_ticks(network, 1)
        assert book.available_slots(network.server.id) == 0

    async def test_wrong_requests_do_not_stop_the_lending(self) -> None:
        """Guards against a caller whose bad requests stop a pool's credits."""
        network = SlotNetwork(1, one_server(2, 16))
        await run_ticks(network, 15)
        book = network.gateway_by_id["gateway-0"].credits
        for _ in range(3):
            book.note_outcome(
                network.server.id,
                AttemptOutcome(status_failure(400, (), ""), None, 0.001),
            )
            await run_ticks(network, 1)
        assert book.available_slots(network.server.id) == 2


class TestHomeChange:
    """A server whose home moves from one controller to another."""

    async def test_two_homes_for_a_moment_stay_within_the_limit(
        self,
    ) -> None:
        """The new home learns of the change a lifetime before the old."""
        network = SlotNetwork(6, one_server(2, 16), ("a", "b"))
        old = owner(network.server.id, ("a", "b")) or ""
        new = "b" if old == "a" else "a"
        await run_ticks(network, 16)
        holders = [
            node.credits
            for node in network.gateway_by_id.values()
            if node.credits.available_slots(network.server.id) > 0
        ]
        holders[0].take_slot(network.server.id)
        network.member_view_by_id[new].move_to((new,))
        assert await run_ticks(network, 4) <= 2
        del network.allocator_by_controller[old]
        for node in network.gateway_by_id.values():
            node.controller = new
        assert await run_ticks(network, 40) == 2

    async def test_a_home_that_sees_credits_of_another_stops(self) -> None:
        """Guards against two homes that both grant credits for long."""
        network = SlotNetwork(6, one_server(2, 16), ("a", "b"))
        network.member_view_by_id["a"].move_to(("a",))
        network.member_view_by_id["b"].move_to(("b",))
        for node in network.gateway_by_id.values():
            node.controller = "a"
        await run_ticks(network, 16)
        for node in network.gateway_by_id.values():
            node.controller = "b"
        assert await run_ticks(network, 30) == 2

    async def test_running_work_of_another_home_uses_slots(self) -> None:
        """Guards against overload by two homes with separate gateways."""
        network = SlotNetwork(1, one_server(2, 16))
        await run_ticks(network, 15)
        assert network.usable_slots() == 2
        for _ in range(5):
            network.report_load(4, cold=True)
            network.renew()
            await network.step(TICK_S)
        assert network.usable_slots() == 0


class TestInvariant:
    """Slots in use under random delays, losses, home changes, restarts."""

    @given(
        seed=strategies.integers(0, 2**32),
        loss=strategies.floats(0.0, 0.6),
        longest_delay_s=strategies.floats(0.0, 2.5),
    )
    @settings(max_examples=100, derandomize=True, deadline=None)
    async def test_credits_and_work_never_exceed_the_limit(
        self, seed: int, loss: float, longest_delay_s: float
    ) -> None:
        random = Random(seed)
        names = ("a", "b", "c")
        limit = random.randint(1, 4)
        network = SlotNetwork(
            random.randint(2, 8),
            one_server(limit, limit),
            names,
            seed,
            loss,
            longest_delay_s,
        )
        # Requests of restarted gateways that the server still runs.
        lost_work = 0
        waiting = ExitStack()
        for _ in range(160):
            for node in network.gateway_by_id.values():
                book = node.credits
                # Changing demand moves credits between the gateways.
                if random.random() < 0.2:
                    waiting.enter_context(book.count_waiting(network.pool))
                if random.random() < 0.5:
                    if book.available_slots(network.server.id) > 0:
                        book.take_slot(network.server.id)
                elif random.random() < 0.1:
                    if book.in_flight_by_server[network.server.id]:
                        book.release_slot(network.server.id)
            if random.random() < 0.3:
                waiting.close()
            lost_work -= random.random() < 0.04 and lost_work > 0
            running = lost_work + sum(
                node.credits.in_flight_by_server[network.server.id]
                for node in network.gateway_by_id.values()
            )
            network.report_load(running, cold=False)
            network.renew()
            event = random.random()
            if event < 0.03:
                live = tuple(random.sample(names, random.randint(1, 3)))
                for view in network.member_view_by_id.values():
                    view.move_to(live)
            elif event < 0.06:
                name = random.choice(sorted(network.gateway_by_id))
                book = network.gateway_by_id[name].credits
                lost_work += book.in_flight_by_server[network.server.id]
                network.start_gateway(name, random.choice(names))
            elif event < 0.07:
                name = random.choice(names)
                live = tuple(
                    item.node_id
                    for item in network.member_view_by_id[name].live()
                )
                network.start_controller(name, live)
            await network.step(random.uniform(0.05, TICK_S))
            assert network.usable_slots() + lost_work <= limit


async def ask_all(
    caller: Caller, deployment: LocalDeployment, count: int
) -> None:
    """Sends requests at once through all gateways and checks the answers."""

    async def ask(number: int) -> None:
        vm = deployment.vms[number % len(deployment.vms)]
        reply = await caller.chat(vm, f"stone {number}")
        assert chat_text(reply) == answer_text(f"stone {number}", 20)

    async with create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(ask, number)


async def all_cold(caller: Caller, deployment: LocalDeployment) -> bool:
    """Whether the home controllers regard all engines as cold."""
    cold: set[str] = set()
    for vm in deployment.vms:
        reply = await caller.client.send(
            "GET", f"http://{vm.controller.http}/v1/status"
        )
        servers = decode(reply.unwrap().body)["home_servers"]
        cold |= {item["server_id"] for item in servers if item["cold"]}
    return cold >= set(deployment.engine_by_id)


class TestRealSockets:
    """Deployments with engine stand-ins."""

    async def test_a_cold_server_gets_no_more_than_it_can_handle(
        self,
    ) -> None:
        """Eight gateways send three requests each at once.

        Sixteen programs share one event loop here, so the credit lifetime
        must be longer than its delays.
        """
        async with running_deployment(
            example_configuration(), vm_count=8, credit_lifetime_s=1.5
        ) as deployment:
            engines = deployment.engine_by_id.values()
            for engine in engines:
                engine.remaining_cold_requests = 12
            await ask_all(Caller(HttpClient()), deployment, 24)
            assert sum(engine.overloads_cold for engine in engines) == 0
            for engine in engines:
                assert engine.peak_in_flight_cold <= engine.cold_slots

    async def test_a_server_that_turns_cold_again_is_spared(self) -> None:
        """Guards against a warm limit that stays in use after a restart."""
        async with running_deployment(
            example_configuration(), vm_count=3
        ) as deployment:
            caller = Caller(HttpClient())
            await ask_all(caller, deployment, 60)
            engines = deployment.engine_by_id.values()
            # Otherwise no limit has grown, and the test would show nothing.
            assert any(
                engine.peak_in_flight > engine.cold_slots for engine in engines
            )
            for engine in engines:
                engine.remaining_cold_requests = 1000
            while not await all_cold(caller, deployment):
                await sleep(0.02)
            # Credits from before the detection expire.
            await sleep(2 * CREDIT_LIFETIME_S)
            await ask_all(caller, deployment, 24)
            assert sum(engine.overloads_cold for engine in engines) == 0

    async def test_a_change_of_home_under_load_overloads_nothing(
        self,
    ) -> None:
        async with running_deployment(
            example_configuration(), vm_count=3
        ) as deployment:
            engines = deployment.engine_by_id.values()
            for engine in engines:
                engine.remaining_cold_requests = 10_000
            caller = Caller(HttpClient())
            lost = deployment.vms.pop()
            async with create_task_group() as tasks:
                tasks.start_soon(ask_all, caller, deployment, 40)
                await sleep(0.3)
                lost.kill()
            assert sum(engine.overloads_cold for engine in engines) == 0
            for engine in engines:
                assert engine.peak_in_flight_cold <= engine.cold_slots

    async def test_a_gateway_outlives_the_silence_limit_beside_its_controller(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a live controller that counts as lost."""
        monkeypatch.setattr(gateway_credits, "CONTROLLER_TIMEOUT_S", 1.5)
        async with running_deployment(
            example_configuration(), vm_count=1
        ) as deployment:
            vm = deployment.vms[0]
            caller = Caller(HttpClient())
            for _ in range(10):
                await sleep(0.3)
                assert (await caller.chat(vm, "stone")).status == 200

    async def test_a_dead_controller_ends_in_refusals_as_not_run(
        self,
    ) -> None:
        async with running_deployment(
            example_configuration(), vm_count=1
        ) as deployment:
            vm = deployment.vms[0]
            caller = Caller(HttpClient())
            assert (await caller.chat(vm, "before")).status == 200
            vm.controller_scope.cancel()
            reply = await caller.chat(vm, "after")
            while reply.status == 200:
                await sleep(0.05)
                reply = await caller.chat(vm, "after")
            error = error_of(reply)
            assert error["code"] == int(ResultCode.CREDITS_EXPIRED)
            assert error["run"] == "not_run"
            assert dict(reply.headers)[b"retry-after"]
            # The load balancer must send callers elsewhere.
            health = await caller.send(vm, "GET", "/healthz")
            assert health.status == 503
