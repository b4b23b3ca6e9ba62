"""Tests of pools that have only placements, through real sockets."""

from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from anyio import create_task_group
from anyio import fail_after
from anyio import sleep
from anyio.abc import TaskGroup
import pytest

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import FAST_TIMES
from tests.examples import running_deployment
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Placement
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_client import HttpClient
from wasabiwing.leases import LEASE_PREFIX
from wasabiwing.vm_reconciler import reconcile_lease_name
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.cloud import CloudStandIn
from wasabiwing_standins.cloud import CloudVm
from wasabiwing_standins.engine import EngineStandIn
from wasabiwing_standins.weights import WeightStoreStandIn

pytestmark = pytest.mark.anyio

ZONE = "great-lakes-a"
CLASS = "accelerator-small"
VERSION = "quote-7b-r1"

# Time limit of a failing test, in seconds; a lost lease alone takes 10 s.
TIMEOUT_S = 40.0


def placed_configuration() -> Configuration:
    """Returns the example configuration with two VMs instead of servers.

    Without weights no order is needed; test_vm_reconciler.py tests orders.
    """
    configuration = example_configuration()
    pool = configuration.pools[0]
    versions = tuple(replace(item, weights="") for item in pool.versions)
    placement = Placement(ZONE, CLASS, VERSION, 2)
    pool = replace(
        pool, versions=versions, servers=(), placements=(placement,)
    )
    return replace(configuration, pools=(pool, *configuration.pools[1:]))


@dataclass(slots=True)
class Site:
    """A deployment whose cloud starts an engine on each VM."""

    deployment: LocalDeployment
    cloud: CloudStandIn
    engine_by_vm: dict[str, EngineStandIn]
    count_by_status: Counter[int] = field(default_factory=Counter)

    def running(self) -> list[CloudVm]:
        """Returns the VMs that run."""
        vms = self.cloud.vm_by_id.values()
        return [vm for vm in vms if vm.state == "running"]

    async def serve_until(self, holds: Callable[[], bool]) -> None:
        """Sends requests through live gateways until a condition holds."""
        caller = Caller(HttpClient())
        with fail_after(TIMEOUT_S):
            while not holds():
                for vm in self.deployment.vms:
                    reply = await caller.chat(vm, "bags", max_tokens=2)
                    self.count_by_status[reply.status] += 1
                await sleep(0.02)
        await caller.client.close()

    async def until_served(self) -> None:
        """Waits until both VMs have got requests."""
        await self.serve_until(
            lambda: (
                sum(
                    bool(engine.request_ids)
                    for engine in self.engine_by_vm.values()
                )
                >= 2
            )
        )
        self.count_by_status.clear()

    async def issuer(self) -> EntryVm:
        """Returns the entry VM whose controller holds the lease."""
        store = EtcdStore((self.deployment.store.url,))
        key = LEASE_PREFIX + reconcile_lease_name("quotes", ZONE)
        stored = (await store.get(key)).unwrap()
        await store.close()
        assert stored is not None
        name = stored.value.decode().split("-controller")[0]
        return next(vm for vm in self.deployment.vms if vm.name == name)


async def start_cloud(
    tasks: TaskGroup, engine_by_vm: dict[str, EngineStandIn]
) -> CloudStandIn:
    """Starts a cloud that starts an engine on each new VM."""

    async def start_engine(vm: CloudVm) -> None:
        engine = EngineStandIn(tasks, vm.id, times=FAST_TIMES)
        await engine.start()
        engine_by_vm[vm.id] = engine
        vm.address = engine.address

    cloud = CloudStandIn(tasks, start_engine)
    await cloud.start()
    return cloud


@asynccontextmanager
async def site(
    refused: frozenset[tuple[str, str, bool]] = frozenset(),
) -> AsyncIterator[Site]:
    """Runs three entry VMs and a pool that has only placements."""
    async with create_task_group() as tasks:
        engine_by_vm: dict[str, EngineStandIn] = {}
        cloud = await start_cloud(tasks, engine_by_vm)
        cloud.faults.refused |= refused
        weights = WeightStoreStandIn(tasks)
        await weights.start()
        async with running_deployment(
            placed_configuration(),
            3,
            cloud_url=cloud.url,
            weight_store_url=weights.url,
        ) as deployment:
            yield Site(deployment, cloud, engine_by_vm)
        tasks.cancel_scope.cancel()


class TestPlacedPool:
    """A pool whose servers are all started by the reconciler."""

    async def test_serves_and_replaces_a_reclaimed_vm(self) -> None:
        """Guards against requests lost until a reclaimed VM is replaced."""
        async with site() as running_site:
            await running_site.until_served()
            lost = running_site.running()[0]
            running_site.cloud.give_notice(lost.id, 3.0)
            await sleep(3.0)
            running_site.cloud.end(lost.id)
            running_site.engine_by_vm[lost.id].crash()
            await running_site.serve_until(
                lambda: (
                    bool(running_site.engine_by_vm.get("vm-3"))
                    and bool(running_site.engine_by_vm["vm-3"].request_ids)
                )
            )
            assert set(running_site.count_by_status) == {200}
            assert running_site.cloud.starts == 3

    async def test_another_issuer_takes_over_without_a_second_start(
        self,
    ) -> None:
        """Guards against a second VM for one place after an issuer is lost."""
        async with site() as running_site:
            await running_site.until_served()
            issuer = await running_site.issuer()
            issuer.kill()
            running_site.deployment.vms.remove(issuer)
            running_site.cloud.end(running_site.running()[0].id)
            await running_site.serve_until(
                lambda: len(running_site.running()) == 2
            )
            await sleep(5.0)
            assert running_site.cloud.starts == 3

    async def test_a_refused_start_falls_back(self) -> None:
        """Guards against a place that stays empty after a refusal."""
        refused = frozenset({(ZONE, CLASS, True)})
        async with site(refused) as running_site:
            await running_site.until_served()
            kinds = {
                (vm.availability_zone, vm.reclaimable)
                for vm in running_site.running()
            }
            assert kinds
            assert (ZONE, True) not in kinds
