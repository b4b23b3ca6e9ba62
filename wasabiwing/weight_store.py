"""Adapter of the ``WeightStore`` port: a JSON API over HTTP."""

from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.http_client import HttpClient
from wasabiwing.json_call import call_json


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Answer of the reservation call."""

    granted: bool
    # Seconds to wait before the next try.
    retry_after_s: float = 1.0


class HttpWeightStore:
    """Client of the weight store."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = HttpClient()

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    async def reserve(
        self, weights: str, server_id: str
    ) -> Result[None, Failure]:
        reply = await call_json(
            self._client,
            "POST",
            f"{self._url}/v1/loads",
            _Reservation,
            ResultCode.WEIGHT_STORE_UNAVAILABLE,
            {},
            {"weights": weights, "server": server_id},
        )
        if isinstance(reply, Err):
            return reply
        reservation = reply.ok_value
        if reservation.granted:
            return Ok(None)
        return Err(
            Failure(
                ResultCode.WEIGHT_STORE_UNAVAILABLE,
                f"the load rate for {weights} is used up",
                retry_after_s=reservation.retry_after_s,
            )
        )
