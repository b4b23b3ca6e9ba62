"""Tests of operators' actions and of their effect on running nodes."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from anyio import create_task_group
from anyio import sleep
import pytest
from result import Err
from result import Ok
from result import Result

from tests.examples import Caller
from tests.examples import error_of
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.fake_config_store import FakeConfigStore
from wasabiwing.cluster_status import ApplyState
from wasabiwing.cluster_status import assess_outcome
from wasabiwing.cluster_status import ClusterStatus
from wasabiwing.cluster_status import read_status
from wasabiwing.cluster_status import wait_outcome
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Pool
from wasabiwing.configuration import Rollout
from wasabiwing.configuration import RolloutStep
from wasabiwing.configuration import Version
from wasabiwing.configuration import ZoneState
from wasabiwing.configuration_check import check_change
from wasabiwing.configuration_store import Root
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing.operations import plan_configuration
from wasabiwing.operations import read_stored
from wasabiwing.operations import set_zone_state
from wasabiwing.ports import SwapResult
from wasabiwing.status import RolloutState
from wasabiwing.status import RolloutStatus
from wasabiwing.status import StatusDocument
from wasabiwing.timers import SystemTimer
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment

pytestmark = pytest.mark.anyio

# A port on which nothing listens.
NO_STORE = ("http://127.0.0.1:9",)


def with_zone(
    configuration: Configuration, zone_id: str, state: ZoneState
) -> Configuration:
    """Returns the configuration with one zone in another state."""
    zones = tuple(
        replace(zone, state=state) if zone.id == zone_id else zone
        for zone in configuration.availability_zones
    )
    return replace(configuration, availability_zones=zones)


def with_servers(configuration: Configuration, count: int) -> Configuration:
    """Returns the configuration with its first pool cut to some servers."""
    pool = configuration.pools[0]
    pool = replace(pool, servers=pool.servers[:count])
    return replace(configuration, pools=(pool, *configuration.pools[1:]))


class TestSafetyCheck:
    """Changes that would endanger running services are found, with paths."""

    def test_a_small_cut_and_one_drained_zone_are_safe(self) -> None:
        running = example_configuration()
        drained = with_zone(running, "great-lakes-a", ZoneState.DRAINED)
        assert check_change(running, drained, 0) == []
        assert check_change(running, with_servers(running, 4), 0) == []

    def test_draining_all_zones_is_found_for_each_pool(self) -> None:
        running = example_configuration()
        wanted = running
        for zone in running.availability_zones:
            wanted = with_zone(wanted, zone.id, ZoneState.DRAINED)
        findings = check_change(running, wanted, 0)
        assert [line.split(":")[0] for line in findings] == [
            "$.pools[0].servers",
            "$.pools[1].servers",
        ]

    def test_removing_a_pool_or_most_of_its_capacity_is_found(self) -> None:
        running = example_configuration()
        without = replace(running, pools=running.pools[1:])
        assert "removes pool 'quotes'" in check_change(running, without, 0)[0]
        cut = check_change(running, with_servers(running, 2), 0)
        assert cut == [
            "$.pools[0].servers: cuts the slots that take work from 80 to"
            " 32, more than 50%"
        ]

    def test_a_version_with_traffic_keeps_its_servers_until_moved(
        self,
    ) -> None:
        base = example_configuration()
        pool = base.pools[0]
        old = pool.versions[0].id
        moved = tuple(replace(item, version="r2") for item in pool.servers)
        versions = (*pool.versions, Version("r2", "r2"))
        steps = (RolloutStep(100, 1.0),)
        rollout = Rollout(old, "r2", 1000, steps, settle_s=50)
        wanted = _with_pool(
            base, replace(pool, versions=versions, servers=moved)
        )
        during = replace(
            pool,
            versions=versions,
            servers=(*pool.servers, *moved),
            rollout=rollout,
        )
        running = _with_pool(base, during)
        assert "removes all servers" in check_change(base, wanted, 0)[0]
        assert "removes all servers" in check_change(running, wanted, 1149)[0]
        assert check_change(running, wanted, 1150) == []


class TestApply:
    """Applying, planning and draining against the store."""

    async def test_a_plan_shows_the_difference_and_writes_nothing(
        self,
    ) -> None:
        store = FakeConfigStore()
        running = example_configuration()
        await apply_configuration(store, running, None, "a")
        revision = store.revision
        wanted = with_zone(running, "great-lakes-a", ZoneState.DRAINED)
        plan = (await plan_configuration(store, wanted)).unwrap()
        assert plan.base_generation == 1
        assert plan.changes == (
            '$.availability_zones[great-lakes-a].state: "active" -> "drained"',
        )
        assert "pool quotes: slots that take work go from 80 to 48" in (
            plan.effects
        )
        assert store.revision == revision

    async def test_an_unsafe_change_needs_force(self) -> None:
        store = FakeConfigStore()
        running = example_configuration()
        await apply_configuration(store, running, None, "a")
        wanted = with_servers(running, 1)
        refused = await apply_configuration(store, wanted, None, "b")
        assert refused.unwrap_err().code is ResultCode.CONFIGURATION_UNSAFE
        forced = await apply_configuration(
            store, wanted, None, "c", force=True
        )
        assert forced.unwrap().generation == 2

    async def test_chunks_that_are_stored_are_not_written_again(self) -> None:
        """Guards the store's write rate: a file may have 131 chunks."""
        store = FakeConfigStore()
        running = example_configuration()
        await apply_configuration(store, running, None, "a")
        revision = store.revision
        wanted = replace(running, max_body_bytes=4321)
        await apply_configuration(store, wanted, None, "b")
        # The header, the manifest and the root record.
        assert store.revision == revision + 3

    async def test_a_drain_is_made_again_on_the_newer_file(self) -> None:
        """Guards against a drain that undoes another operator's change."""
        store = FakeConfigStore()
        running = example_configuration()
        await apply_configuration(store, running, None, "a")
        other = replace(running, max_body_bytes=4321)
        racing = _RacingStore(store, other)
        drained = await set_zone_state(
            racing, "great-lakes-b", ZoneState.DRAINED, lambda: "b"
        )
        assert drained.unwrap().generation == 3
        stored = (await read_stored(store)).unwrap()
        assert stored is not None
        assert stored.configuration == with_zone(
            other, "great-lakes-b", ZoneState.DRAINED
        )
        unknown = await set_zone_state(
            store, "nowhere", ZoneState.DRAINED, lambda: "c"
        )
        failure = unknown.unwrap_err()
        assert failure.code is ResultCode.CONFIGURATION_REFERENCE


class TestOutcome:
    """The state that ``apply --wait`` derives from status documents."""

    def test_the_outcome_of_a_rollout_is_awaited(self) -> None:
        base = example_configuration()
        rollout = Rollout("a", "b", 0, (RolloutStep(0, 1),))
        wanted = _with_pool(base, replace(base.pools[0], rollout=rollout))

        def outcome(*rollouts: RolloutStatus) -> ApplyState:
            document = StatusDocument(
                "n", "z", True, 5, rollouts=tuple(rollouts)
            )
            status = ClusterStatus({"url": document}, {})
            return assess_outcome(status, wanted, 5).state

        running = RolloutStatus("quotes", 5, RolloutState.RUNNING)
        old = RolloutStatus("quotes", 4, RolloutState.ROLLED_BACK)
        done = RolloutStatus("quotes", 5, RolloutState.DONE)
        back = RolloutStatus("quotes", 5, RolloutState.ROLLED_BACK, "slow")
        assert outcome() is ApplyState.NOT_YET
        assert outcome(running) is ApplyState.NOT_YET
        assert outcome(old) is ApplyState.NOT_YET
        assert outcome(done) is ApplyState.DONE
        assert outcome(back) is ApplyState.ROLLED_BACK


class TestRunningNodes:
    """Faults while a configuration is applied, over real sockets."""

    async def test_metrics_count_first_tokens_and_store_calls(self) -> None:
        """Guards against metrics that are declared and never recorded."""
        async with running_deployment(
            example_configuration(), 1
        ) as deployment:
            vm = deployment.vms[0]
            client = HttpClient()
            assert (await Caller(client).chat(vm, "stone")).status == 200
            pages = ""
            for url in (vm.url, f"http://{vm.controller.http}"):
                reply = await client.send("GET", f"{url}/metrics")
                pages += reply.unwrap().body.decode()
            tokens = 'wasabiwing_first_token_seconds_count{route="quote"} 1.0'
            assert tokens in pages
            assert 'wasabiwing_store_calls_total{code="OK"' in pages

    async def test_two_operators_at_once_one_gets_the_difference(
        self,
    ) -> None:
        async with running_deployment(example_configuration()) as deployment:
            store = EtcdStore((deployment.store.url,))
            stored = (await read_stored(store)).unwrap()
            assert stored is not None
            results: list[Result[Root, Failure]] = []

            async def operate(number: int) -> None:
                wanted = replace(
                    stored.configuration, max_body_bytes=1000 + number
                )
                results.append(
                    await apply_configuration(store, wanted, 1, f"{number}")
                )

            async with create_task_group() as tasks:
                tasks.start_soon(operate, 1)
                tasks.start_soon(operate, 2)
            failures = [item for item in results if isinstance(item, Err)]
            assert len(failures) == 1
            failure = failures[0].err_value
            assert failure.code is ResultCode.CONFIGURATION_CONFLICT
            assert "$.max_body_bytes: 100" in failure.detail
            await store.close()

    async def test_a_lost_reply_after_the_swap_is_resolved(self) -> None:
        async with running_deployment(example_configuration()) as deployment:
            store = EtcdStore((deployment.store.url,))
            wanted = await _changed(store)
            deployment.store.lose_replies = 100
            applied = await apply_configuration(store, wanted, 1, "mine")
            assert applied.unwrap().generation == 2
            outcome = await _wait(deployment, wanted, 2)
            assert outcome is ApplyState.DONE
            await store.close()

    async def test_an_outage_changes_nothing_and_an_apply_works_after(
        self,
    ) -> None:
        async with running_deployment(example_configuration()) as deployment:
            store = EtcdStore((deployment.store.url,))
            wanted = await _changed(store)
            await deployment.store.set_down(True)
            refused = await apply_configuration(store, wanted, 1, "a")
            assert isinstance(refused, Err)
            caller = Caller(HttpClient())
            reply = await caller.chat(deployment.vms[0], "during")
            assert reply.status == 200
            await deployment.store.set_down(False)
            applied = await apply_configuration(store, wanted, 1, "b")
            assert applied.unwrap().generation == 2
            outcome = await _wait(deployment, wanted, 2)
            assert outcome is ApplyState.DONE
            await store.close()

    async def test_nodes_without_the_store_follow_their_peers(self) -> None:
        """One node never reaches the store, one restarts during its outage."""
        async with running_deployment(example_configuration()) as deployment:
            store = EtcdStore((deployment.store.url,))
            zone = deployment.vms[0].availability_zone
            await deployment.add_vm("cut", zone, "great-lakes", NO_STORE)
            wanted = await _changed(store)
            await apply_configuration(store, wanted, 1, "a")
            outcome = await _wait(deployment, wanted, 2, 3)
            assert outcome is ApplyState.DONE
            await deployment.store.set_down(True)
            await deployment.restart_controller(deployment.vms[1])
            outcome = await _wait(deployment, wanted, 2, 3)
            assert outcome is ApplyState.DONE
            await store.close()

    async def test_an_isolated_node_refuses_new_work_until_it_hears_again(
        self,
    ) -> None:
        async with running_deployment(
            example_configuration(), vm_count=1
        ) as deployment:
            # The other VM is lost, and the store fails: a single node.
            deployment.vms[0].kill()
            zone = deployment.vms[0].availability_zone
            vm = await deployment.add_vm(
                "single", zone, "great-lakes", isolation_s=1.0
            )
            caller = Caller(HttpClient())
            await _until(lambda: _answers(caller, vm, 200))
            await deployment.store.set_down(True)
            await _until(lambda: _answers(caller, vm, 503))
            refusal = error_of(await caller.chat(vm, "text"))
            assert refusal["code"] == int(ResultCode.NODE_ISOLATED)
            assert refusal["run"] == "not_run"
            await deployment.store.set_down(False)
            await _until(lambda: _answers(caller, vm, 200))

    async def test_a_drained_zone_gets_no_more_work(self) -> None:
        async with running_deployment(example_configuration()) as deployment:
            store = EtcdStore((deployment.store.url,))
            drained = await set_zone_state(
                store, "great-lakes-a", ZoneState.DRAINED, lambda: "a"
            )
            stored = (await read_stored(store)).unwrap()
            assert stored is not None
            generation = drained.unwrap().generation
            await _wait(deployment, stored.configuration, generation)
            caller = Caller(HttpClient())
            for vm in deployment.vms:
                await _until(partial(_has, caller, vm, generation))
            servers = {
                server.id
                for server in stored.configuration.pools[0].servers
                if server.availability_zone == "great-lakes-a"
            }
            engines = [deployment.engine_by_id[item] for item in servers]
            before = [len(engine.request_ids) for engine in engines]
            for number in range(10):
                for vm in deployment.vms:
                    reply = await caller.chat(vm, f"text {number}")
                    assert reply.status == 200
            assert [len(engine.request_ids) for engine in engines] == before
            await store.close()


class _RacingStore(FakeConfigStore):
    """Lets another operator win the first swap of the root record."""

    def __init__(self, inner: FakeConfigStore, other: Configuration) -> None:
        super().__init__()
        self.value_by_key = inner.value_by_key
        self._inner = inner
        self._other: Configuration | None = other

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> Result[SwapResult, Failure]:
        other, self._other = self._other, None
        if other is not None:
            await apply_configuration(self._inner, other, None, "other")
        return await self._inner.swap(key, expected_revision, value)


def _with_pool(configuration: Configuration, pool: Pool) -> Configuration:
    return replace(configuration, pools=(pool, *configuration.pools[1:]))


async def _changed(store: EtcdStore) -> Configuration:
    stored = (await read_stored(store)).unwrap()
    assert stored is not None
    return replace(stored.configuration, max_body_bytes=900_000)


async def _wait(
    deployment: LocalDeployment,
    wanted: Configuration,
    generation: int,
    member_count: int = 2,
) -> ApplyState:
    client = HttpClient()
    urls = (f"http://{deployment.vms[0].controller.http}",)

    async def all_known() -> bool:
        status = await read_status(client, urls)
        return len(status.document_by_url) == member_count

    await _until(all_known)
    outcome = await wait_outcome(
        client, SystemTimer(), urls, wanted, generation, TEST_TIMEOUT_S
    )
    await client.close()
    return outcome.state


async def _until(holds: Callable[[], Awaitable[bool]]) -> None:
    for _ in range(int(TEST_TIMEOUT_S / 0.05)):
        if await holds():
            return
        await sleep(0.05)
    raise AssertionError("the state was not reached")


async def _answers(caller: Caller, vm: EntryVm, status: int) -> bool:
    reply = await caller.client.send("GET", f"{vm.url}/healthz")
    return isinstance(reply, Ok) and reply.ok_value.status == status


async def _has(caller: Caller, vm: EntryVm, generation: int) -> bool:
    reply = await caller.client.send("GET", f"{vm.url}/healthz")
    return f'"generation":{generation}' in reply.unwrap().body.decode()
