"""Brings the VMs that exist in line with the declared placements.

Each pair of a pool and an availability zone is reconciled by one controller
at a time, the holder of its lease. Each declared VM is a numbered place. For a
place without a live VM one is started with a client token that depends only on
the place and its last VM, so that a lost reply, a stale list or a second
issuer cannot start two VMs.
"""

from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from result import Err
from xxhash import xxh3_128_hexdigest

from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Placement
from wasabiwing.configuration import Pool
from wasabiwing.configuration import Version
from wasabiwing.engine_orders import EngineOrderSender
from wasabiwing.engine_orders import EngineOrderTarget
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.ports import Cloud
from wasabiwing.ports import VmInfo
from wasabiwing.ports import VmRequest
from wasabiwing.ports import WeightStore
from wasabiwing.timers import TimerService
from wasabiwing.vm_offers import Offer
from wasabiwing.vm_offers import rank_offers

RECONCILE_PERIOD_S = 2.0

# Time for which a refused offer is not requested again, in seconds.
REFUSAL_BACKOFF_S = 30.0

VM_RUNNING = "running"


# Tells whether VMs of a pool and version may be stopped now; a rollout keeps
# the old version's VMs until the new one has settled.
MayStop = Callable[[str, str], bool]

# Stops new work on a VM and tells whether it has no work left.
DrainVm = Callable[[VmInfo], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Place:
    """One declared VM of a placement."""

    pool_id: str
    placement: Placement
    number: int

    @property
    def name(self) -> str:
        """Unique name, used as a tag of the VM."""
        placement = self.placement
        return "/".join(
            (
                self.pool_id,
                placement.availability_zone,
                placement.machine_class,
                placement.version,
                str(self.number),
            )
        )


@dataclass(frozen=True, slots=True)
class _RecentStart:
    """A VM that was started and may not be listed yet."""

    vm: VmInfo
    place_name: str


def reconcile_lease_name(pool_id: str, zone_id: str) -> str:
    """Returns the name of the lease to reconcile a pool in a zone."""
    return f"{pool_id}/{zone_id}"


def places_of(pool: Pool, zone_id: str) -> list[Place]:
    """Returns the declared VMs of a pool in one zone."""
    return [
        Place(pool.id, placement, number)
        for placement in pool.placements
        if placement.availability_zone == zone_id
        for number in range(placement.count)
    ]


def client_token(place: Place, offer: Offer, last_vm_id: str) -> str:
    """Returns the client token of the next VM start at a place."""
    kind = "reclaimable" if offer.reclaimable else "on-demand"
    text = "/".join(
        (
            place.name,
            offer.availability_zone,
            offer.machine_class,
            kind,
            last_vm_id,
        )
    )
    return xxh3_128_hexdigest(text.encode())


class VmReconciler:
    """Starts, loads and stops VMs under the leases of one controller."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        cloud: Cloud,
        weight_store: WeightStore,
        orders: EngineOrderSender,
        may_stop: MayStop,
        drain_vm: DrainVm,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._cloud = cloud
        self._weight_store = weight_store
        self._orders = orders
        self._may_stop = may_stop
        self._drain_vm = drain_vm
        self._refused_until_by_offer: dict[Offer, float] = {}
        self._recent_by_vm: dict[str, _RecentStart] = {}
        self._last_vm_by_place: dict[str, str] = {}
        # Servers that run their declared version, by VM id.
        self.server_by_vm: dict[str, BackendServer] = {}
        # Declared VMs that could not be started in the last round.
        self.missing_vm_count_by_pool: Counter[str] = Counter()

    async def reconcile_zone(
        self, configuration: Configuration, pool: Pool, zone_id: str
    ) -> None:
        """Runs one round for a pool and zone, whose lease this node holds."""
        listed = await self._cloud.list_vms()
        if isinstance(listed, Err):
            return
        vms = self._with_recently_started(listed.ok_value)
        vms_by_place = _vms_by_place(vms, pool.id)
        places = places_of(pool, zone_id)
        self.missing_vm_count_by_pool[pool.id] = 0
        for place in places:
            vm = self._live_vm(vms_by_place.get(place.name, []))
            if vm is None:
                vm = await self._start(configuration, pool, place, vms)
            if vm is None:
                self.missing_vm_count_by_pool[pool.id] += 1
            else:
                await self._load_version(pool, zone_id, place, vm)
        await self._stop_surplus(pool, zone_id, places, vms_by_place)

    def _with_recently_started(
        self, listed: tuple[VmInfo, ...]
    ) -> list[VmInfo]:
        """Returns the listed VMs and those started but not listed yet."""
        listed_ids = {vm.id for vm in listed}
        for vm_id in listed_ids & self._recent_by_vm.keys():
            del self._recent_by_vm[vm_id]
        recent = [start.vm for start in self._recent_by_vm.values()]
        return [*listed, *recent]

    def _live_vm(self, vms: list[VmInfo]) -> VmInfo | None:
        """Returns the running VM of a place; a leaving VM counts as gone."""
        running = [vm for vm in vms if vm.state == VM_RUNNING]
        return running[0] if running else None

    async def _start(
        self,
        configuration: Configuration,
        pool: Pool,
        place: Place,
        vms: list[VmInfo],
    ) -> VmInfo | None:
        in_pool = [vm for vm in vms if vm.tags.get("pool") == pool.id]
        count_by_zone = Counter(vm.availability_zone for vm in in_pool)
        last_vm_id = self._last_vm_id(place, vms)
        now = self._timer.now()
        for offer in rank_offers(
            configuration, place.placement, count_by_zone
        ):
            if self._refused_until_by_offer.get(offer, 0.0) > now:
                continue
            vm, retry_later = await self._start_offer(place, offer, last_vm_id)
            if vm is not None or retry_later:
                return vm
        return None

    def _last_vm_id(self, place: Place, vms: list[VmInfo]) -> str:
        """Returns the id of the last VM at a place; empty for none."""
        for vm in vms:
            if vm.tags.get("place") == place.name and vm.state != VM_RUNNING:
                return vm.id
        return self._last_vm_by_place.get(place.name, "")

    async def _start_offer(
        self, place: Place, offer: Offer, last_vm_id: str
    ) -> tuple[VmInfo | None, bool]:
        """Requests a VM for a place by one offer.

        The returned flag is true if no other offer may be tried in this
        round. The outcome may be unknown; then the next round repeats the
        start with the same token.
        """
        request = VmRequest(
            client_token(place, offer, last_vm_id),
            offer.availability_zone,
            offer.machine_class,
            offer.reclaimable,
            {
                "pool": place.pool_id,
                "place": place.name,
                "place_zone": place.placement.availability_zone,
                "version": place.placement.version,
            },
        )
        started = await self._cloud.start_vm(request)
        log_event(
            Event.PLACEMENT_DECISION,
            self._node_id,
            place=place.name,
            zone=offer.availability_zone,
            machine_class=offer.machine_class,
            reclaimable=offer.reclaimable,
            price=offer.price,
            outcome=str(started.err() or "started"),
        )
        if isinstance(started, Err):
            if started.err_value.code is ResultCode.CLOUD_REFUSED:
                refused_until = self._timer.now() + REFUSAL_BACKOFF_S
                self._refused_until_by_offer[offer] = refused_until
                return None, False
            return None, True
        vm = started.ok_value
        self._last_vm_by_place[place.name] = vm.id
        if vm.state != VM_RUNNING:
            # The token belongs to a VM that has ended since; the id of this VM
            # changes the next token.
            return None, True
        self._recent_by_vm[vm.id] = _RecentStart(vm, place.name)
        return vm, False

    async def _load_version(
        self, pool: Pool, zone_id: str, place: Place, vm: VmInfo
    ) -> None:
        """Loads the declared version on a VM's engine, if necessary."""
        if vm.id in self.server_by_vm or not vm.address:
            return
        version = _version(pool, place.placement.version)
        server = BackendServer(
            vm.id,
            vm.address,
            vm.availability_zone,
            version.id,
            vm.machine_class,
        )
        if version.weights:
            reserved = await self._weight_store.reserve(
                version.weights, server.id
            )
            if isinstance(reserved, Err):
                return
            loaded = await self._orders.load_version(
                reconcile_lease_name(pool.id, zone_id),
                EngineOrderTarget(server, version),
            )
            if isinstance(loaded, Err):
                return
        self.server_by_vm[vm.id] = server

    async def _stop_surplus(
        self,
        pool: Pool,
        zone_id: str,
        places: list[Place],
        vms_by_place: dict[str, list[VmInfo]],
    ) -> None:
        """Stops VMs whose place is no longer declared."""
        wanted = {place.name for place in places}
        for name, vms in vms_by_place.items():
            if name in wanted:
                continue
            for vm in vms:
                if vm.tags.get("place_zone") == zone_id:
                    await self._stop_if_drained(pool.id, vm)

    async def _stop_if_drained(self, pool_id: str, vm: VmInfo) -> None:
        """Stops a VM that has no work left; called again in each round."""
        if vm.state != VM_RUNNING:
            return
        if not self._may_stop(pool_id, vm.tags.get("version", "")):
            return
        if not await self._drain_vm(vm):
            return
        await self._cloud.stop_vm(vm.id)
        self.server_by_vm.pop(vm.id, None)
        self._recent_by_vm.pop(vm.id, None)


def _vms_by_place(vms: list[VmInfo], pool_id: str) -> dict[str, list[VmInfo]]:
    vms_by_place: dict[str, list[VmInfo]] = {}
    for vm in vms:
        if vm.tags.get("pool") == pool_id and "place" in vm.tags:
            vms_by_place.setdefault(vm.tags["place"], []).append(vm)
    return vms_by_place


def _version(pool: Pool, version_id: str) -> Version:
    return next(item for item in pool.versions if item.id == version_id)
