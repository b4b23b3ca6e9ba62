"""Adapter of the ``PlainService`` port for plain HTTP services."""

from collections.abc import Callable
from collections.abc import Mapping

from result import Err
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.http_client import AnswerObserver
from wasabiwing.http_client import find_header
from wasabiwing.http_client import HttpClient
from wasabiwing.http_client import REQUEST_STARTED_HEADER
from wasabiwing.http_client import status_failure
from wasabiwing.ports import HttpReply

# Statuses from this one on are failures of the service. Lower statuses,
# including 4xx, are answers for the caller.
MIN_FAILURE_STATUS = 500


class HttpPlainService:
    """HTTP client for all plain services of a gateway."""

    def __init__(self, max_connections: int = 1024) -> None:
        self._client = HttpClient(max_connections)
        # Called with the address of each request that a server may run.
        self._observe: Callable[[str], AnswerObserver] | None = None

    async def close(self) -> None:
        """Closes all connections to plain services."""
        await self._client.close()

    async def keeps_connection(self, address: str) -> bool:
        """Whether a service's process outlives an answer that just ended."""
        return await self._client.keeps_connection(address)

    def observe_answers(
        self, observe: Callable[[str], AnswerObserver]
    ) -> None:
        """Sets the function that returns an observer for each request."""
        self._observe = observe

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        may_send: Callable[[], bool] | None = None,
    ) -> Result[HttpReply, Failure]:
        reply = await self._client.send(
            method,
            f"http://{address}{path}",
            headers,
            body,
            timeout_s,
            may_send,
            self._observe(address) if self._observe else None,
        )
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        not_started = (
            find_header(answer.headers, REQUEST_STARTED_HEADER) == b"false"
        )
        if not_started or answer.status >= MIN_FAILURE_STATUS:
            return Err(status_failure(answer.status, answer.headers, ""))
        return reply
