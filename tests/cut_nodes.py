"""Nodes whose links to all backend servers can be cut, on loopback.

Each node reaches each server through a proxy of its own.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import replace
from functools import partial

from anyio import create_task_group
from anyio import current_time
from anyio import sleep
from result import Err
from result import Ok
from result import Result

from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from wasabiwing.fleet_changes import FleetChange
from wasabiwing.fleet_changes import ServerChange
from wasabiwing.node_settings import NodeSettings
from wasabiwing_platform.documents import decode_item
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.server import plain_answer
from wasabiwing_platform_standins.server import ServerStandIn
from wasabiwing_platform_standins.server import stream_answer
from wasabiwing_platform_standins.server import STREAM_EVENTS
from wasabiwing_soak.loopback_proxy import LinkCut
from wasabiwing_soak.loopback_proxy import LoopbackProxy

SERVICES = ("desk", "models")
SERVERS_PER_SERVICE = 3

# Routes with plain requests that may be repeated or not, and with streams
# that may be resumed or not.
ROUTES = ("read", "book", "chat", "notes")
STREAM_ROUTES = ("chat", "notes")

# Time that a server takes for a request, in seconds.
RUN_S = 0.1

# Requests per second on one route at all nodes together.
REQUESTS_PER_S = 16.0

# Time before the cut in which callers are served, length of the cut, and the
# part of it in which first tries are counted, in seconds from its begin.
WARM_UP_S = 1.0
CUT_S = 6.0
COUNTED_FROM_S = 3.0
COUNTED_UNTIL_S = 5.0

# Time limit of a caller, in seconds.
TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got for a request."""

    # HTTP status; 0 without a whole answer.
    status: int
    # The answer's body, or why there is no whole answer.
    text: str


@dataclass(frozen=True, slots=True)
class FirstTry:
    """A caller's request, sent once."""

    node_id: str
    route: str
    # Seconds from the begin of the cut.
    sent_s: float
    ended_s: float
    # HTTP status; 0 without a whole answer.
    status: int

    @property
    def served(self) -> bool:
        """Whether the request got its whole answer."""
        return self.status == 200


@dataclass(frozen=True, slots=True)
class CutOutcome:
    """What callers got from cut nodes and others during a cut."""

    cut_node_ids: tuple[str, ...]
    tries: tuple[FirstTry, ...]

    def counted(self, cut: bool, route: str = "") -> list[FirstTry]:
        """Returns the counted tries at cut nodes or at the others."""
        return [
            item
            for item in self.tries
            if COUNTED_FROM_S <= item.sent_s < COUNTED_UNTIL_S
            and (item.node_id in self.cut_node_ids) is cut
            and route in ("", item.route)
        ]

    def first_served_s(self, route: str = "") -> float | None:
        """Returns how long after the cut's begin a cut node served a try."""
        return min(
            (
                item.ended_s
                for item in self.tries
                if item.served
                and 0.0 <= item.sent_s
                and item.ended_s < CUT_S
                and item.node_id in self.cut_node_ids
                and route in ("", item.route)
            ),
            default=None,
        )


class LinkedNodes:
    """Nodes with a link of their own to each server."""

    def __init__(self, system: Deployment) -> None:
        self.system = system
        self.nodes: list[NodeSettings] = []
        self.servers: list[ServerStandIn] = []
        self._count = 0
        self._links_by_node: dict[str, dict[str, LoopbackProxy]] = {}
        system.decoder_of = self._decoder

    async def start(self, count: int) -> None:
        """Starts servers and nodes."""
        system = self.system
        for service in SERVICES:
            for number in range(SERVERS_PER_SERVICE):
                server = ServerStandIn(f"{service}-{number}")
                await system.add_server(service, server)
                parts = STREAM_EVENTS if server.streams else 1
                server.work_s = RUN_S / parts
                self.servers.append(server)
        node_ids = [f"node-{number + 1}" for number in range(count)]
        for node_id in node_ids:
            links = self._links_by_node.setdefault(node_id, {})
            for server_id, address in system.address_by_server.items():
                links[server_id] = LoopbackProxy(address)
                await system.tasks.start(links[server_id].run)
        await system.wait_ready()
        self.nodes = [system.settings]
        for node_id in node_ids[1:]:
            self.nodes.append(await system.start_another(node_id))

    def set_cut(self, nodes: Iterable[str], cut: LinkCut | None) -> None:
        """Cuts the links of nodes to all servers, or restores them."""
        for node_id in nodes:
            for link in self._links_by_node[node_id].values():
                link.set_cut(cut)

    async def send(
        self, node: NodeSettings, route: str, body: bytes, timeout_s: float
    ) -> Answer:
        """Sends a caller's request to a node."""
        self._count += 1
        headers = caller_headers(
            f"attempt-{self._count}", timeout_ms=int(timeout_s * 1000)
        )
        reply = await self.system.client.send(
            "POST",
            f"http://{node.caller_endpoint}/{route}/1",
            headers,
            body,
            2 * timeout_s,
        )
        if isinstance(reply, Err):
            return Answer(0, reply.err_value.detail)
        answer = reply.ok_value
        expected = plain_answer(body)
        if route in STREAM_ROUTES:
            expected = stream_answer()
        if answer.status == 200 and answer.body != expected:
            return Answer(0, "incomplete")
        return Answer(answer.status, answer.body.decode())

    def _decoder(
        self, node_id: str
    ) -> Callable[[str, bytes | None], Result[FleetChange | None, str]]:
        def decode(
            key: str, value: bytes | None
        ) -> Result[FleetChange | None, str]:
            return decode_item(key, value).and_then(redirect)

        def redirect(
            change: FleetChange | None,
        ) -> Result[FleetChange | None, str]:
            if not isinstance(change, ServerChange) or change.entry is None:
                return Ok(change)
            address = self._links_by_node[node_id][change.server_id].address
            return Ok(
                replace(change, entry=replace(change.entry, address=address))
            )

        return decode


@asynccontextmanager
async def linked_nodes(count: int) -> AsyncIterator[LinkedNodes]:
    """Runs nodes with a link of their own to each server."""
    async with deployment() as system:
        nodes = LinkedNodes(system)
        await nodes.start(count)
        yield nodes


async def play_cut(
    nodes: LinkedNodes, cut: LinkCut, cut_count: int
) -> CutOutcome:
    """Cuts the links of the first nodes while callers send requests."""
    cut_node_ids = tuple(item.node_id for item in nodes.nodes[:cut_count])
    tries: list[FirstTry] = []
    interval_s = len(nodes.nodes) / REQUESTS_PER_S
    cut_at = current_time() + WARM_UP_S

    async def ask(node: NodeSettings, route: str, number: int) -> None:
        sent_s = current_time() - cut_at
        body = f"{node.node_id} {route} {number}".encode()
        answer = await nodes.send(node, route, body, TIMEOUT_S)
        ended_s = current_time() - cut_at
        tries.append(
            FirstTry(node.node_id, route, sent_s, ended_s, answer.status)
        )

    async with create_task_group() as callers:

        async def call(node: NodeSettings, route: str) -> None:
            number = 0
            while current_time() < cut_at + COUNTED_UNTIL_S:
                callers.start_soon(ask, node, route, number)
                number += 1
                await sleep(interval_s)

        for node in nodes.nodes:
            for route in ROUTES:
                callers.start_soon(partial(call, node, route))
        await sleep(WARM_UP_S)
        nodes.set_cut(cut_node_ids, cut)
        await sleep(CUT_S)
        nodes.set_cut(cut_node_ids, None)
    return CutOutcome(cut_node_ids, tuple(tries))
