"""Stand-in for the cloud API: VMs, reclaim notices and the VM list.

The VM list can lag behind. Starts can be refused by availability zone and
machine class, and replies can be lost after the VM was started.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from anyio import current_time
from anyio.abc import TaskGroup
from msgspec import DecodeError
from msgspec.json import decode

from wasabiwing.asgi import build_application
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import JSON_TYPE
from wasabiwing.asgi import Responder
from wasabiwing_standins.server import StandInServer

MAX_REQUEST_BYTES = 100_000

# Called with a VM that has just started.
VmStarted = Callable[["CloudVm"], Awaitable[None]]


@dataclass(slots=True)
class CloudVm:
    """A VM of the cloud."""

    id: str
    availability_zone: str
    machine_class: str
    reclaimable: bool
    client_token: str
    tags: dict[str, str]
    started_at: float
    address: str = ""
    state: str = "running"
    # Time on the event loop's clock at which the VM will be reclaimed;
    # ``None`` without a notice.
    reclaim_at: float | None = None


@dataclass(slots=True)
class CloudFaults:
    """Faults that a test or the demo switches on."""

    down: bool = False
    # Refused starts, as (availability zone, machine class, reclaimable).
    refused: set[tuple[str, str, bool]] = field(default_factory=set)
    # Number of the next starts that take effect but whose reply is lost.
    lose_replies: int = 0
    # Age of the contents of the VM list, in seconds.
    list_lag_s: float = 0.0


class CloudStandIn:
    """The cloud API in memory."""

    def __init__(
        self, tasks: TaskGroup, started: VmStarted | None = None
    ) -> None:
        self._started = started
        self.faults = CloudFaults()
        self.vm_by_id: dict[str, CloudVm] = {}
        self._vm_id_by_token: dict[str, str] = {}
        # Times and contents of the VM list; a lagging list is read from them.
        self._snapshots: list[tuple[float, list[dict[str, Any]]]] = []
        self._last_number = 0
        self.starts = 0
        routes = (
            HttpRoute("POST", "/v1/vms", self._start),
            HttpRoute("GET", "/v1/vms", self._list),
            HttpRoute("DELETE", "/v1/vms/{id}", self._stop),
            HttpRoute("GET", "/v1/notices", self._notices),
        )
        self.server = StandInServer(
            tasks,
            build_application(
                routes, self._not_found, lambda: MAX_REQUEST_BYTES
            ),
        )

    async def start(self) -> None:
        """Starts to serve."""
        await self.server.start()
        self._snapshot()

    @property
    def url(self) -> str:
        """Base address of the service."""
        return f"http://{self.server.address}"

    def give_notice(self, vm_id: str, notice_s: float) -> None:
        """Announces that a VM will be reclaimed after ``notice_s`` seconds."""
        vm = self.vm_by_id[vm_id]
        vm.state = "leaving"
        vm.reclaim_at = current_time() + notice_s
        self._snapshot()

    def end(self, vm_id: str) -> None:
        """Ends a VM at once, as the cloud does at the end of a notice."""
        self.vm_by_id[vm_id].state = "ended"
        self._snapshot()

    async def _start(self, request: HttpRequest, responder: Responder) -> None:
        if await self._refuse_if_down(responder):
            return
        try:
            wanted = decode(request.body, type=dict[str, Any])
        except DecodeError as error:
            await responder.send_json(400, {"error": str(error)})
            return
        token = str(wanted["client_token"])
        known = self._vm_id_by_token.get(token)
        if known is not None:
            await responder.send_json(200, _document(self.vm_by_id[known]))
            return
        kind = (
            wanted["availability_zone"],
            wanted["machine_class"],
            wanted["reclaimable"],
        )
        if kind in self.faults.refused:
            await responder.send_json(409, {"error": "no capacity"})
            return
        vm = self._create_vm(wanted, token)
        if self._started is not None:
            await self._started(vm)
        self._snapshot()
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            await responder.start(200, JSON_TYPE, {"content-length": "10"})
            return
        await responder.send_json(200, _document(vm))

    def _create_vm(self, wanted: dict[str, Any], token: str) -> CloudVm:
        self._last_number += 1
        self.starts += 1
        vm = CloudVm(
            f"vm-{self._last_number}",
            wanted["availability_zone"],
            wanted["machine_class"],
            wanted["reclaimable"],
            token,
            dict(wanted.get("tags", {})),
            current_time(),
        )
        self.vm_by_id[vm.id] = vm
        self._vm_id_by_token[token] = vm.id
        return vm

    async def _list(self, request: HttpRequest, responder: Responder) -> None:
        if await self._refuse_if_down(responder):
            return
        visible_until = current_time() - self.faults.list_lag_s
        listed_vms: list[dict[str, Any]] = []
        for taken_at, snapshot in self._snapshots:
            if taken_at <= visible_until:
                listed_vms = snapshot
        await responder.send_json(200, {"vms": listed_vms})

    async def _stop(self, request: HttpRequest, responder: Responder) -> None:
        if await self._refuse_if_down(responder):
            return
        vm = self.vm_by_id.get(request.path_parameters["id"])
        if vm is None:
            await responder.send_json(404, {"error": "unknown VM"})
            return
        self.end(vm.id)
        await responder.send_json(200, _document(vm))

    async def _notices(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        if await self._refuse_if_down(responder):
            return
        now = current_time()
        notices = [
            {"id": vm.id, "left_s": max(vm.reclaim_at - now, 0.0)}
            for vm in self.vm_by_id.values()
            if vm.reclaim_at is not None and vm.state == "leaving"
        ]
        await responder.send_json(200, {"notices": notices})

    def _snapshot(self) -> None:
        listed = [
            _document(vm)
            for vm in self.vm_by_id.values()
            if vm.state != "ended"
        ]
        self._snapshots.append((current_time(), listed))

    async def _refuse_if_down(self, responder: Responder) -> bool:
        if self.faults.down:
            await responder.send_json(503, {"error": "unavailable"})
        return self.faults.down

    async def _not_found(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send_json(404, {"error": "not found"})


def _document(vm: CloudVm) -> dict[str, Any]:
    return {
        "id": vm.id,
        "availability_zone": vm.availability_zone,
        "machine_class": vm.machine_class,
        "reclaimable": vm.reclaimable,
        "state": vm.state,
        "address": vm.address,
        "tags": vm.tags,
    }
