"""Tests of VM reconciliation, leases and orders against the stand-ins."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from anyio import create_task_group
import pytest
from result import Err
from result import Ok

from tests.examples import example_configuration
from wasabiwing.asgi import build_application
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import Responder
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Placement
from wasabiwing.configuration import Pool
from wasabiwing.engine_control import HttpEngineControl
from wasabiwing.engine_orders import ENGINE_ORDER_TIMEOUT_S
from wasabiwing.engine_orders import EngineOrderSender
from wasabiwing.engine_orders import EngineOrderTarget
from wasabiwing.engine_orders import UNFENCED_WAIT_S
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_cloud import HttpCloud
from wasabiwing.leases import LEASE_TTL_S
from wasabiwing.leases import LeaseHolder
from wasabiwing.ports import VmInfo
from wasabiwing.timers import FakeTimer
from wasabiwing.vm_reconciler import reconcile_lease_name
from wasabiwing.vm_reconciler import REFUSAL_BACKOFF_S
from wasabiwing.vm_reconciler import VmReconciler
from wasabiwing.weight_store import HttpWeightStore
from wasabiwing_standins.cloud import CloudStandIn
from wasabiwing_standins.cloud import CloudVm
from wasabiwing_standins.engine_orders import EngineOrders
from wasabiwing_standins.server import StandInServer
from wasabiwing_standins.store import EtcdStandIn
from wasabiwing_standins.weights import WeightStoreStandIn

pytestmark = pytest.mark.anyio

ZONE = "great-lakes-a"


class Platform:
    """The stand-ins, and the issuers that send orders to them."""

    def __init__(
        self,
        store: EtcdStandIn,
        cloud: CloudStandIn,
        weights: WeightStoreStandIn,
        orders_by_vm: dict[str, EngineOrders],
    ) -> None:
        self.timer = FakeTimer()
        self.store = store
        self.cloud = cloud
        self.weights = weights
        self.orders_by_vm = orders_by_vm
        self.undrained: set[str] = set()
        self.kept_versions: set[str] = set()

    def leases(self, node_id: str) -> LeaseHolder:
        """Returns the lease holder of a controller."""
        return LeaseHolder(node_id, self.timer, EtcdStore((self.store.url,)))

    def reconciler(self, node_id: str, leases: LeaseHolder) -> VmReconciler:
        """Returns the reconciler of a controller."""
        sender = EngineOrderSender(
            node_id, self.timer, leases, HttpEngineControl()
        )

        async def drained(vm: VmInfo) -> bool:
            return vm.id not in self.undrained

        return VmReconciler(
            node_id,
            self.timer,
            HttpCloud(self.cloud.url),
            HttpWeightStore(self.weights.url),
            sender,
            lambda pool_id, version: version not in self.kept_versions,
            drained,
        )

    def running(self) -> list[CloudVm]:
        """Returns the running VMs, which are the ones that cost money."""
        return [
            vm for vm in self.cloud.vm_by_id.values() if vm.state == "running"
        ]


@asynccontextmanager
async def platform() -> AsyncIterator[Platform]:
    """Runs the stand-ins; each VM that starts runs an engine."""
    async with create_task_group() as tasks:
        orders_by_vm: dict[str, EngineOrders] = {}

        async def not_found(
            request: HttpRequest, responder: Responder
        ) -> None:
            await responder.send_json(404, {})

        async def start_engine(vm: CloudVm) -> None:
            orders = EngineOrders(checks_fencing=False)
            application = build_application(
                orders.routes(), not_found, lambda: 10_000
            )
            server = StandInServer(tasks, application)
            await server.start()
            vm.address = server.address
            orders_by_vm[vm.id] = orders

        store = EtcdStandIn(tasks)
        cloud = CloudStandIn(tasks, start_engine)
        weights = WeightStoreStandIn(tasks, loads_per_s=10_000.0)
        await store.start()
        await cloud.start()
        await weights.start()
        yield Platform(store, cloud, weights, orders_by_vm)
        tasks.cancel_scope.cancel()


def wanted(count: int = 2) -> tuple[Configuration, Pool]:
    """Returns the example configuration with VMs declared in one zone."""
    configuration = example_configuration()
    pool = replace(
        configuration.pools[0],
        placements=(
            Placement(ZONE, "accelerator-small", "quote-7b-r1", count),
        ),
    )
    return replace(configuration, pools=(pool,)), pool


class TestReconciler:
    """Each declared VM exists once despite faults of the cloud."""

    async def test_declared_vms_are_started_once_and_loaded(self) -> None:
        async with platform() as running:
            leases = running.leases("one")
            await leases.acquire(reconcile_lease_name("quotes", ZONE))
            await running.timer.advance(UNFENCED_WAIT_S)
            await leases.extend()
            reconciler = running.reconciler("one", leases)
            configuration, pool = wanted()
            for _ in range(3):
                await reconciler.reconcile_zone(configuration, pool, ZONE)
            assert len(running.running()) == 2
            assert running.cloud.starts == 2
            loaded = {item.version for item in running.orders_by_vm.values()}
            assert loaded == {"quote-7b-r1"}
            assert len(reconciler.server_by_vm) == 2

    async def test_lost_reply_stale_list_or_second_issuer_starts_no_second_vm(
        self,
    ) -> None:
        """Guards against paying for two VMs at one place."""
        async with platform() as running:
            running.cloud.faults.lose_replies = 2
            running.cloud.faults.list_lag_s = 1000.0
            configuration, pool = wanted()
            for name in ("one", "one again", "two"):
                reconciler = running.reconciler(name, running.leases(name))
                await reconciler.reconcile_zone(configuration, pool, ZONE)
                await reconciler.reconcile_zone(configuration, pool, ZONE)
            assert running.cloud.starts == 2

    async def test_a_leaving_vm_is_replaced_at_once(self) -> None:
        async with platform() as running:
            configuration, pool = wanted(1)
            reconciler = running.reconciler("one", running.leases("one"))
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            first = running.running()[0]
            running.cloud.give_notice(first.id, 30.0)
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            assert [vm.id for vm in running.running()] == ["vm-2"]
            running.cloud.end(first.id)
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            assert running.cloud.starts == 2

    async def test_a_place_that_lost_its_vm_unseen_gets_a_new_one(
        self,
    ) -> None:
        """Guards against a client token that returns an ended VM."""
        async with platform() as running:
            configuration, pool = wanted(1)
            reconciler = running.reconciler("one", running.leases("one"))
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            running.cloud.end("vm-1")
            other = running.reconciler("two", running.leases("two"))
            await other.reconcile_zone(configuration, pool, ZONE)
            await other.reconcile_zone(configuration, pool, ZONE)
            assert [vm.id for vm in running.running()] == ["vm-2"]

    async def test_a_refused_start_falls_back_by_price(self) -> None:
        async with platform() as running:
            running.cloud.faults.refused = {(ZONE, "accelerator-small", True)}
            configuration, pool = wanted(1)
            reconciler = running.reconciler("one", running.leases("one"))
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            vm = running.running()[0]
            assert vm.availability_zone == "great-lakes-b"
            assert vm.reclaimable

    async def test_after_the_backoff_the_declared_offer_is_asked_again(
        self,
    ) -> None:
        async with platform() as running:
            zones = ("great-lakes-a", "great-lakes-b", "great-lakes-c")
            running.cloud.faults.refused = {
                (zone, "accelerator-small", reclaimable)
                for zone in zones
                for reclaimable in (True, False)
            }
            configuration, pool = wanted(1)
            reconciler = running.reconciler("one", running.leases("one"))
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            assert reconciler.missing_vm_count_by_pool["quotes"] == 1
            running.cloud.faults.refused = set()
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            assert running.running() == []
            await running.timer.advance(REFUSAL_BACKOFF_S)
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            assert running.running()[0].availability_zone == ZONE

    async def test_surplus_vms_end_only_when_allowed_and_drained(
        self,
    ) -> None:
        """Guards against cut requests and an early end of old versions."""
        async with platform() as running:
            configuration, pool = wanted(1)
            reconciler = running.reconciler("one", running.leases("one"))
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            none = replace(pool, placements=())
            running.kept_versions = {"quote-7b-r1"}
            await reconciler.reconcile_zone(configuration, none, ZONE)
            assert len(running.running()) == 1
            running.kept_versions = set()
            running.undrained = {"vm-1"}
            await reconciler.reconcile_zone(configuration, none, ZONE)
            assert len(running.running()) == 1
            running.undrained = set()
            await reconciler.reconcile_zone(configuration, none, ZONE)
            assert running.running() == []

    async def test_loads_keep_to_the_weight_store_rate(self) -> None:
        async with platform() as running:
            running.weights.loads_per_s = 0.001
            leases = running.leases("one")
            await leases.acquire(reconcile_lease_name("quotes", ZONE))
            await running.timer.advance(UNFENCED_WAIT_S)
            await leases.extend()
            reconciler = running.reconciler("one", leases)
            configuration, pool = wanted(2)
            await reconciler.reconcile_zone(configuration, pool, ZONE)
            assert running.weights.granted == 1
            assert len(reconciler.server_by_vm) == 1


class TestOrders:
    """Only the holder of the lease sends orders."""

    def target(self, address: str, checks_fencing: bool) -> EngineOrderTarget:
        """Returns the order target for an engine at an address."""
        configuration = example_configuration()
        server = BackendServer(
            "server",
            address,
            ZONE,
            "quote-7b-r1",
            checks_fencing=checks_fencing,
        )
        return EngineOrderTarget(server, configuration.pools[0].versions[0])

    async def test_a_second_controller_cannot_take_a_held_lease(
        self,
    ) -> None:
        async with platform() as running:
            first = running.leases("one")
            second = running.leases("two")
            assert isinstance(await first.acquire("quotes/a"), Ok)
            refused = await second.acquire("quotes/a")
            assert isinstance(refused, Err)
            assert refused.err_value.code is ResultCode.STORE_CONFLICT

    async def test_a_lost_reply_to_taking_a_lease_is_resolved(self) -> None:
        async with platform() as running:
            running.store.lose_replies = 1
            taken = await running.leases("one").acquire("quotes/a")
            assert isinstance(taken, Ok)

    async def test_a_paused_holder_sends_nothing(self) -> None:
        """Guards against orders of a holder whose lease has lapsed."""
        async with platform() as running:
            leases = running.leases("one")
            await leases.acquire("quotes/a")
            await running.timer.advance(
                LEASE_TTL_S - ENGINE_ORDER_TIMEOUT_S + 0.1
            )
            orders = await start_engine_vm(running)
            sender = EngineOrderSender(
                "one", running.timer, leases, HttpEngineControl()
            )
            target = self.target(orders[0], True)
            sent = await sender.load_version("quotes/a", target)
            assert isinstance(sent, Err)
            assert sent.err_value.code is ResultCode.LEASE_LOST
            assert orders[1].accepted == []

    async def test_an_engine_that_ignores_fencing_is_left_alone_at_first(
        self,
    ) -> None:
        async with platform() as running:
            leases = running.leases("one")
            await leases.acquire("quotes/a")
            address, orders = await start_engine_vm(running)
            sender = EngineOrderSender(
                "one", running.timer, leases, HttpEngineControl()
            )
            target = self.target(address, False)
            assert isinstance(
                await sender.load_version("quotes/a", target), Err
            )
            await running.timer.advance(UNFENCED_WAIT_S)
            await leases.extend()
            assert isinstance(
                await sender.load_version("quotes/a", target), Ok
            )
            assert len(orders.accepted) == 1

    async def test_an_old_number_is_rejected_and_a_lost_reply_resolved(
        self,
    ) -> None:
        async with platform() as running:
            leases = running.leases("one")
            taken = (await leases.acquire("quotes/a")).unwrap()
            address, orders = await start_engine_vm(running)
            orders.checks_fencing = True
            orders.max_fencing_number = taken.fencing_number + 1
            sender = EngineOrderSender(
                "one", running.timer, leases, HttpEngineControl()
            )
            target = self.target(address, True)
            sent = await sender.load_version("quotes/a", target)
            assert isinstance(sent, Err)
            assert sent.err_value.code is ResultCode.ORDER_FENCED
            orders.max_fencing_number = 0
            orders.lose_replies = 1
            assert isinstance(
                await sender.load_version("quotes/a", target), Ok
            )
            assert orders.accepted == [taken.fencing_number]


async def start_engine_vm(running: Platform) -> tuple[str, EngineOrders]:
    """Starts one VM with an engine; returns its address and orders."""
    configuration, pool = wanted(1)
    leases = running.leases("starter")
    reconciler = running.reconciler("starter", leases)
    await reconciler.reconcile_zone(configuration, pool, ZONE)
    vm = running.running()[0]
    return vm.address, running.orders_by_vm[vm.id]
