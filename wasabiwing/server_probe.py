"""Tells a crashed backend server from one that cut a connection."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from anyio import BrokenResourceError
from anyio import connect_tcp
from anyio import EndOfStream
from anyio import Event
from anyio import move_on_after
from result import Err

from wasabiwing.codes import ResultCode
from wasabiwing.http_client import HttpClient

PROBE_TIMEOUT_S = 1.0

LOAD_PATH = "/v1/load"

# Time in which a server has to accept a connection, in seconds; the caller of
# a request that is not repeated waits for it.
ACCEPT_TIMEOUT_S = 0.25

# Time in which the kernel of a process that ends closes a connection that it
# has still accepted, in seconds.
CLOSING_S = 0.02


async def server_answers(client: HttpClient, address: str) -> bool:
    """Whether a server answers a request on a new connection.

    A connection that is merely accepted proves nothing: the kernel still
    accepts some while the process ends. A server that accepts a request and
    stays silent is stalled and has not crashed.
    """
    reply = await client.send(
        "GET",
        f"http://{address}{LOAD_PATH}",
        {"Connection": "close"},
        timeout_s=PROBE_TIMEOUT_S,
    )
    if isinstance(reply, Err):
        return reply.err_value.code is ResultCode.SERVER_TIMEOUT
    return True


async def server_accepts_connection(address: str) -> bool:
    """Whether a server accepts a connection and leaves it open.

    For servers that a status request would cost a slot; no byte is sent.
    """
    host, _, port = address.rpartition(":")
    try:
        with move_on_after(ACCEPT_TIMEOUT_S):
            async with await connect_tcp(host, int(port)) as stream:
                with move_on_after(CLOSING_S):
                    await stream.receive(1)
                return True
    except (OSError, EndOfStream, BrokenResourceError):
        return False
    return False


@dataclass(slots=True)
class _RunningProbe:
    """A probe that several requests wait for."""

    ended: Event = field(default_factory=Event)
    answers: bool = False


class SharedProbe:
    """Probes a server once for all requests that it cut together."""

    def __init__(self, probe: Callable[[str], Awaitable[bool]]) -> None:
        self._probe = probe
        self._running_by_address: dict[str, _RunningProbe] = {}

    async def probe(self, address: str) -> bool:
        """Returns what the probe of an address says."""
        running = self._running_by_address.get(address)
        if running is not None:
            await running.ended.wait()
            return running.answers
        running = _RunningProbe()
        self._running_by_address[address] = running
        try:
            running.answers = await self._probe(address)
            return running.answers
        finally:
            del self._running_by_address[address]
            running.ended.set()
