"""Probes that tell a crashed backend server from a cut connection.

A connection that is refused shows that a server has crashed only if this
process reaches others: a network that is cut may refuse connections as well.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from math import inf
from random import Random

from anyio import BrokenResourceError
from anyio import connect_tcp
from anyio import create_task_group
from anyio import EndOfStream
from anyio import Event
from anyio import move_on_after
from result import Err

from wasabiwing.codes import ResultCode
from wasabiwing.http_client import HttpClient
from wasabiwing.timers import TimerService

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

# Number of other servers that are probed after a refused connection, and the
# share of them that this process must reach to count the server as crashed.
MAX_COMPARED_SERVERS = 4
MIN_REACHED_SHARE = 0.5

# Number of other servers of a group below which servers of other groups are
# compared as well.
MIN_COMPARED_IN_GROUP = 2

# Time for which a list of all servers is used, in seconds: many servers may
# cut connections at once.
LIST_LIFETIME_S = 1.0

# Time for which a server that has crashed is not compared, in seconds.
CRASHED_S = 5.0

# Whether the server at an address runs, as far as a new connection tells;
# ``None`` if none was accepted or refused.
StateProbe = Callable[[str], Awaitable[bool | None]]

# Whether a process listens at an address; ``None`` if nothing tells.
ListenerProbe = Callable[[str], Awaitable[bool | None]]

# Number of connections with which a probe looks for a listener. The first may
# have been accepted by a process that was ending.
CONNECTS_TO_LISTENER = 2


async def server_answers(client: HttpClient, address: str) -> bool | None:
    """Whether a server answers a status request on a new connection.

    An accepted connection alone does not prove that the server runs: the
    kernel still accepts connections while a process ends. A server that
    accepts the request and does not answer is stalled and has not crashed.
    ``None`` if a connection is neither accepted nor refused.
    """
    reply = await client.send(
        "GET",
        f"http://{address}{LOAD_PATH}",
        {"Connection": "close"},
        timeout_s=PROBE_TIMEOUT_S,
    )
    if not isinstance(reply, Err):
        return True
    code = reply.err_value.code
    if code is ResultCode.CONNECT_FAILED:
        accepted = await server_accepts_connection(address)
        return None if accepted is None else False
    return code is ResultCode.SERVER_TIMEOUT


async def server_accepts_connection(address: str) -> bool | None:
    """Whether a server accepts a connection and keeps it open.

    The probe sends no byte. It serves servers at which a status request would
    occupy a slot. ``None`` if the connection is neither accepted nor refused.
    """
    host, _, port = address.rpartition(":")
    try:
        with move_on_after(ACCEPT_TIMEOUT_S):
            async with await connect_tcp(host, int(port)) as stream:
                with move_on_after(CLOSING_S):
                    await stream.receive(1)
                return True
    except (EndOfStream, BrokenResourceError):
        return False
    except OSError as error:
        return False if _is_refused(error) else None
    return None


async def accepts_any_connection(address: str) -> bool | None:
    """Whether an address accepts a connection, also one that it closes.

    Returns ``None`` if there is no answer. Tells whether the network leads to
    a server; the probe sends no byte.
    """
    host, _, port = address.rpartition(":")
    try:
        with move_on_after(ACCEPT_TIMEOUT_S):
            async with await connect_tcp(host, int(port)):
                return True
    except OSError:
        return False
    return None


async def server_listens(address: str) -> bool | None:
    """Whether a process still listens at an address.

    Only a refused connection shows that none does. A server at its limit
    resets what it has accepted. ``None`` if connections are neither accepted
    nor refused: the network may lose them, or the VM is gone. Takes up to
    twice ``ACCEPT_TIMEOUT_S``; the probe sends no byte.
    """
    listens: bool | None = None
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
            listens = True
        except OSError as error:
            return False if _is_refused(error) else listens
    return listens


def _is_refused(error: OSError) -> bool:
    return isinstance(error.__cause__, ConnectionRefusedError)


class CrashProbe:
    """Tells a crashed server from one to which this process has no link.

    ``probe`` looks whether the server runs. ``list_servers`` returns all known
    servers: each with its address and its service or pool.
    """

    def __init__(
        self,
        timer: TimerService,
        random: Random,
        probe: StateProbe,
        list_servers: Callable[[], Iterable[tuple[str, str]]],
    ) -> None:
        self._timer = timer
        self._random = random
        self._probe = probe
        self._list_servers = list_servers
        self._listed_at = -inf
        self._group_by_address: dict[str, str] = {}
        self._addresses_by_group: dict[str, list[str]] = {}
        # Monotonic time of a server's latest crash, by address.
        self._crashed_at_by_address: dict[str, float] = {}

    async def runs(self, address: str) -> bool | None:
        """Whether a server runs; ``None`` if its links may be cut."""
        runs = await self._probe(address)
        if runs is not False:
            return runs
        compared = self._compared_addresses(address)
        reached: list[str] = []

        async def reach(other: str) -> None:
            if await server_accepts_connection(other):
                reached.append(other)

        async with create_task_group() as tasks:
            for other in compared:
                tasks.start_soon(reach, other)
        if len(reached) < MIN_REACHED_SHARE * len(compared):
            return None
        self._crashed_at_by_address[address] = self._timer.now()
        return False

    def _compared_addresses(self, address: str) -> list[str]:
        """Returns some of the servers that run as far as known."""
        self._refresh_list()
        crashed = {address, *self._crashed_at_by_address}
        group = self._group_by_address.get(address)
        same_group = [
            other
            for other in self._addresses_by_group.get(group or "", ())
            if other not in crashed
        ]
        compared = self._sample(same_group, MAX_COMPARED_SERVERS)
        if len(compared) < MIN_COMPARED_IN_GROUP:
            others = [
                other
                for other, other_group in self._group_by_address.items()
                if other_group != group and other not in crashed
            ]
            compared += self._sample(
                others, MAX_COMPARED_SERVERS - len(compared)
            )
        return compared

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self._random.sample(addresses, min(count, len(addresses)))

    def _refresh_list(self) -> None:
        now = self._timer.now()
        self._crashed_at_by_address = {
            address: crashed_at
            for address, crashed_at in self._crashed_at_by_address.items()
            if now < crashed_at + CRASHED_S
        }
        if now < self._listed_at + LIST_LIFETIME_S:
            return
        self._listed_at = now
        self._group_by_address = dict(self._list_servers())
        self._addresses_by_group = {}
        for address, group in self._group_by_address.items():
            self._addresses_by_group.setdefault(group, []).append(address)


@dataclass(slots=True)
class _RunningProbe:
    """Running probe of one address, on which several requests may wait."""

    ended: Event = field(default_factory=Event)
    runs: bool | None = None


class SharedProbe:
    """Probes a server once for all requests that it cut at the same time."""

    def __init__(self, probe: StateProbe) -> None:
        self._probe = probe
        self._running_by_address: dict[str, _RunningProbe] = {}

    async def probe(self, address: str) -> bool | None:
        """Returns the result of a new or running probe of an address."""
        running = self._running_by_address.get(address)
        if running is not None:
            await running.ended.wait()
            return running.runs
        running = _RunningProbe()
        self._running_by_address[address] = running
        try:
            running.runs = await self._probe(address)
            return running.runs
        finally:
            del self._running_by_address[address]
            running.ended.set()
