"""Adapter of the ``Cloud`` port: a JSON API over HTTP."""

from dataclasses import asdict
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.http_client import HttpClient
from wasabiwing.json_call import call_json
from wasabiwing.ports import ReclaimNotice
from wasabiwing.ports import VmInfo
from wasabiwing.ports import VmRequest

HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


@dataclass(frozen=True, slots=True)
class _VmList:
    """Answer of the list call."""

    vms: tuple[VmInfo, ...]


@dataclass(frozen=True, slots=True)
class _Notice:
    """One notice in the answer of the notices call."""

    id: str
    left_s: float


@dataclass(frozen=True, slots=True)
class _Notices:
    """Answer of the notices call."""

    notices: tuple[_Notice, ...]


class HttpCloud:
    """Client of the cloud API."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = HttpClient()

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    async def start_vm(self, request: VmRequest) -> Result[VmInfo, Failure]:
        return await call_json(
            self._client,
            "POST",
            f"{self._url}/v1/vms",
            VmInfo,
            ResultCode.CLOUD_UNAVAILABLE,
            {HTTP_CONFLICT: ResultCode.CLOUD_REFUSED},
            asdict(request),
        )

    async def stop_vm(self, vm_id: str) -> Result[None, Failure]:
        reply = await call_json(
            self._client,
            "DELETE",
            f"{self._url}/v1/vms/{vm_id}",
            VmInfo,
            ResultCode.CLOUD_UNAVAILABLE,
            {HTTP_NOT_FOUND: ResultCode.CLOUD_REFUSED},
        )
        return reply.map(lambda _: None)

    async def list_vms(self) -> Result[tuple[VmInfo, ...], Failure]:
        reply = await call_json(
            self._client,
            "GET",
            f"{self._url}/v1/vms",
            _VmList,
            ResultCode.CLOUD_UNAVAILABLE,
            {},
        )
        return reply.map(lambda answer: answer.vms)

    async def notices(self) -> Result[tuple[ReclaimNotice, ...], Failure]:
        reply = await call_json(
            self._client,
            "GET",
            f"{self._url}/v1/notices",
            _Notices,
            ResultCode.CLOUD_UNAVAILABLE,
            {},
        )
        if isinstance(reply, Err):
            return reply
        return Ok(
            tuple(
                ReclaimNotice(notice.id, notice.left_s)
                for notice in reply.ok_value.notices
            )
        )
