"""Polls the load of backend servers for their home controller."""

from anyio import create_task_group
from msgspec import Struct
from msgspec.json import decode
from result import Err

from wasabiwing.codes import ResultCode
from wasabiwing.concurrency_limit import LoadSample
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.home_slots import HomeSlotAllocator
from wasabiwing.http_client import HttpClient
from wasabiwing.timers import TimerService

LOAD_TIMEOUT_S = 0.5

HTTP_OK = 200


class _LoadDocument(Struct):
    """The answer to ``GET /v1/load``."""

    running: int
    waiting: int = 0
    cold: bool = False


class LoadPoller:
    """Polls the load of each server whose home is this controller."""

    def __init__(
        self, timer: TimerService, client: HttpClient, slots: HomeSlotAllocator
    ) -> None:
        self._timer = timer
        self._client = client
        self._slots = slots

    async def poll_all(self) -> None:
        """Polls all servers once, concurrently."""
        async with create_task_group() as tasks:
            for server_id in list(self._slots.allocator_by_server):
                tasks.start_soon(self._poll, server_id)

    async def _poll(self, server_id: str) -> None:
        asked_at = self._timer.now()
        address = self._slots.server_by_id[server_id].address
        reply = await self._client.send(
            "GET", f"http://{address}/v1/load", timeout_s=LOAD_TIMEOUT_S
        )
        if isinstance(reply, Err):
            if reply.err_value.code is ResultCode.CONNECT_FAILED:
                self._slots.note_unreachable(server_id)
            return
        if reply.ok_value.status != HTTP_OK:
            return
        try:
            load = decode(reply.ok_value.body, type=_LoadDocument)
        except UNDECODABLE:
            return
        self._slots.note_load(
            server_id,
            LoadSample(asked_at, load.running + load.waiting, load.cold),
        )
