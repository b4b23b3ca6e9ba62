"""Probes that tell a crashed backend server from a cut connection."""

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

# Time in which a server has to answer a status request, in seconds.
PROBE_TIMEOUT_S = 1.0

LOAD_PATH = "/v1/load"

# Time in which a server has to accept a connection, in seconds. The caller of
# a request that is not repeated waits for the probe.
ACCEPT_TIMEOUT_S = 0.25

# Time to wait for the close of an accepted connection, in seconds. The kernel
# may still accept a connection for a process that ends, and closes it within
# this time.
CLOSING_S = 0.02

# Number of connections with which a probe looks for a listener. The first may
# have been accepted by a process that was ending.
CONNECTS_TO_LISTENER = 2


async def server_answers(client: HttpClient, address: str) -> bool:
    """Whether a server answers a status request on a new connection.

    An accepted connection alone does not prove that the server runs: the
    kernel still accepts connections while a process ends. A server that
    accepts the request and does not answer is stalled and has not crashed.
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
    """Whether a server accepts a connection and keeps it open.

    The probe sends no byte. It serves servers at which a status request would
    occupy a slot.
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


async def server_listens(address: str) -> bool:
    """Whether a process still listens at an address.

    Only a refused connection shows that none does. A server at its limit
    resets what it has accepted, and the network may lose a connection. Takes
    up to twice ``ACCEPT_TIMEOUT_S``; the probe sends no byte.
    """
    host, _, port = address.rpartition(":")
    for _ in range(CONNECTS_TO_LISTENER):
        try:
            with move_on_after(ACCEPT_TIMEOUT_S):
                async with await connect_tcp(host, int(port)) as stream:
                    with move_on_after(CLOSING_S):
                        await stream.receive(1)
                    return True
        except (EndOfStream, BrokenResourceError):
            # The process ends, or is at its limit: the next one tells.
            continue
        except OSError as error:
            return not isinstance(error.__cause__, ConnectionRefusedError)
    return True


@dataclass(slots=True)
class _RunningProbe:
    """Running probe of one address, on which several requests may wait."""

    ended: Event = field(default_factory=Event)
    answers: bool = False


class SharedProbe:
    """Probes a server once for all requests that it cut at the same time."""

    def __init__(self, probe: Callable[[str], Awaitable[bool]]) -> None:
        self._probe = probe
        self._running_by_address: dict[str, _RunningProbe] = {}

    async def probe(self, address: str) -> bool:
        """Returns the result of a new or running probe of an address."""
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
