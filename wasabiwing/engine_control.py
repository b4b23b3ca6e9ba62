"""Adapter of the ``EngineControl`` port: orders to engines over HTTP."""

from dataclasses import asdict
from typing import Any

from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.http_client import HttpClient
from wasabiwing.json_call import call_json
from wasabiwing.ports import EngineOrder
from wasabiwing.ports import EngineState

HTTP_CONFLICT = 409


class HttpEngineControl:
    """HTTP client of the control interface of all model engines."""

    def __init__(self) -> None:
        self._client = HttpClient()

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    async def order(
        self, address: str, order: EngineOrder, timeout_s: float
    ) -> Result[None, Failure]:
        reply = await call_json(
            self._client,
            "POST",
            f"http://{address}/v1/orders",
            dict[str, Any],
            ResultCode.SERVER_TIMEOUT,
            {HTTP_CONFLICT: ResultCode.ORDER_FENCED},
            asdict(order),
            timeout_s,
        )
        return reply.map(lambda _: None)

    async def state(self, address: str) -> Result[EngineState, Failure]:
        return await call_json(
            self._client,
            "GET",
            f"http://{address}/v1/state",
            EngineState,
            ResultCode.SERVER_TIMEOUT,
            {},
        )
