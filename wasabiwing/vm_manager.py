"""Runs the reconciler in a controller and publishes the started servers.

Each pair of a pool and an availability zone has a home among the controllers
of the zone's region. The home acquires the pair's lease and reconciles under
it.
"""

from functools import partial
from random import Random

from msgspec import Struct
from msgspec.json import decode
from result import Err

from wasabiwing.codes import ResultCode
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Pool
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.engine_control import HttpEngineControl
from wasabiwing.engine_orders import EngineOrderSender
from wasabiwing.facts import Facts
from wasabiwing.http_client import HttpClient
from wasabiwing.leases import EXTEND_PERIOD_S
from wasabiwing.leases import LeaseHolder
from wasabiwing.messages import ServerNotice
from wasabiwing.notices import NoticeTable
from wasabiwing.pool_servers import encode_vm_server
from wasabiwing.pool_servers import SERVER_FACT_KIND
from wasabiwing.pool_servers import VM_ENDED
from wasabiwing.pool_servers import vm_servers
from wasabiwing.pool_servers import VmServer
from wasabiwing.pool_servers import with_vm_servers
from wasabiwing.ports import Cloud
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import MemberView
from wasabiwing.ports import VmInfo
from wasabiwing.rendezvous import owner
from wasabiwing.server_probe import CrashProbe
from wasabiwing.server_probe import server_answers
from wasabiwing.timers import TimerService
from wasabiwing.vm_reconciler import MayStop
from wasabiwing.vm_reconciler import reconcile_lease_name
from wasabiwing.vm_reconciler import RECONCILE_PERIOD_S
from wasabiwing.vm_reconciler import VmReconciler
from wasabiwing.weight_store import HttpWeightStore

# A VM that was never listed counts as ended only after this time, in seconds,
# because the cloud's list lags.
UNLISTED_GRACE_S = 30.0

# Time after which all gateways know that a server is leaving, in seconds.
DRAIN_PROPAGATION_S = 3.0

# Remaining notice period that is announced to gateways for a drained server,
# in seconds. Running requests can end within it.
DRAIN_NOTICE_S = 600.0

LOAD_TIMEOUT_S = 1.0

HTTP_OK = 200


class _Load(Struct):
    """The answer to ``GET /v1/load``."""

    running: int
    waiting: int = 0


class VmManager:
    """Manages the VMs of pools and zones whose home is this controller."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        members: MemberView,
        facts: Facts,
        notices: NoticeTable,
        store: ConfigStore,
        cloud: Cloud,
        weight_store: HttpWeightStore,
        client: HttpClient,
        may_stop: MayStop,
    ) -> None:
        self._timer = timer
        self._members = members
        self._facts = facts
        self._notices = notices
        self._cloud = cloud
        self._client = client
        self._control = HttpEngineControl()
        self._leases = LeaseHolder(node_id, timer, store)
        self._reconciler = VmReconciler(
            node_id,
            timer,
            cloud,
            weight_store,
            EngineOrderSender(node_id, timer, self._leases, self._control),
            may_stop,
            self._drain,
        )
        self._configuration: Configuration | None = None
        self._crash_probe = CrashProbe(
            timer,
            Random(node_id),
            partial(server_answers, client),
            self._list_servers,
        )
        # Ids of VMs that the cloud has listed.
        self._listed_ids: set[str] = set()
        self._draining_since_by_vm: dict[str, float] = {}

    def start(self) -> None:
        """Starts to reconcile and to extend the leases periodically."""
        self._timer.subscribe(RECONCILE_PERIOD_S, self.reconcile)
        self._timer.subscribe(EXTEND_PERIOD_S, self._leases.extend)

    async def close(self) -> None:
        """Closes all connections."""
        await self._control.close()

    def use_configuration(self, configuration: Configuration) -> None:
        """Sets the configuration whose placements are reconciled."""
        self._configuration = configuration

    async def reconcile(self) -> None:
        """Reconciles each pair of pool and zone whose home is here, once."""
        configuration = self._configuration
        if configuration is None:
            return
        with_vms = {item.pool_id for item in vm_servers(self._facts)}
        for pool in configuration.pools:
            if not pool.placements and pool.id not in with_vms:
                continue
            for zone in configuration.availability_zones:
                name = reconcile_lease_name(pool.id, zone.id)
                if self._is_home(name, zone.region):
                    await self._reconcile(configuration, pool, zone.id)
                else:
                    await self._leases.release(name)

    def _is_home(self, name: str, region: str) -> bool:
        node_ids = [
            member.node_id
            for member in self._members.live()
            if member.region == region
        ]
        return owner(f"issuer/{name}", node_ids) == self._members.own.node_id

    async def _reconcile(
        self, configuration: Configuration, pool: Pool, zone_id: str
    ) -> None:
        acquired = await self._leases.acquire(
            reconcile_lease_name(pool.id, zone_id)
        )
        if isinstance(acquired, Err):
            return
        known = self._reconciler.server_by_vm
        before = set(known)
        await self._reconciler.reconcile_zone(configuration, pool, zone_id)
        for vm_id in known.keys() - before:
            item = VmServer(pool.id, zone_id, known[vm_id])
            self._publish(vm_id, encode_vm_server(item))
        await self._remove_ended(pool.id, zone_id)

    async def _remove_ended(self, pool_id: str, zone_id: str) -> None:
        """Removes the servers of a pair whose VMs have ended."""
        listed = await self._cloud.list_vms()
        if isinstance(listed, Err):
            return
        listed_ids = {vm.id for vm in listed.ok_value}
        self._listed_ids |= listed_ids
        for item in vm_servers(self._facts):
            vm_id = item.server.id
            own = (item.pool_id, item.lease_zone) == (pool_id, zone_id)
            if own and vm_id not in listed_ids and self._has_ended(vm_id):
                self._publish(vm_id, VM_ENDED)
                self._notices.end(vm_id)
                self._reconciler.server_by_vm.pop(vm_id, None)
                self._listed_ids.discard(vm_id)
                self._draining_since_by_vm.pop(vm_id, None)

    def _has_ended(self, vm_id: str) -> bool:
        """Returns whether a VM that is not listed now has ended."""
        if vm_id in self._listed_ids:
            return True
        fact = self._facts.get(SERVER_FACT_KIND, vm_id)
        published_s = fact.epoch / 1000 if fact else 0.0
        return self._timer.wall_time() - published_s >= UNLISTED_GRACE_S

    def _publish(self, vm_id: str, value: str) -> None:
        """Publishes a fact; its epoch is the time in ms and always rises."""
        known = self._facts.get(SERVER_FACT_KIND, vm_id)
        if known is not None and known.value == value:
            return
        epoch = int(self._timer.wall_time() * 1000)
        if known is not None:
            epoch = max(epoch, known.epoch + 1)
        self._facts.publish(SERVER_FACT_KIND, vm_id, value, epoch)

    async def _drain(self, vm: VmInfo) -> bool:
        """Marks a server as leaving; returns whether it has no requests."""
        self._notices.add(ServerNotice((vm.id,), (), DRAIN_NOTICE_S))
        now = self._timer.now()
        since = self._draining_since_by_vm.setdefault(vm.id, now)
        if now - since < DRAIN_PROPAGATION_S:
            return False
        reply = await self._client.send(
            "GET", f"http://{vm.address}/v1/load", timeout_s=LOAD_TIMEOUT_S
        )
        if isinstance(reply, Err):
            # Other processes may reach a server to which the links of this
            # one are cut.
            return (
                reply.err_value.code is ResultCode.CONNECT_FAILED
                and await self._crash_probe.runs(vm.address) is False
            )
        if reply.ok_value.status != HTTP_OK:
            return False
        try:
            load = decode(reply.ok_value.body, type=_Load)
        except UNDECODABLE:
            return False
        return load.running + load.waiting == 0

    def _list_servers(self) -> list[tuple[str, str]]:
        """Returns address and pool of all servers."""
        if self._configuration is None:
            return []
        configuration = with_vm_servers(
            self._configuration, vm_servers(self._facts)
        )
        return [
            (server.address, pool.id)
            for pool in configuration.pools
            for server in pool.servers
        ]
