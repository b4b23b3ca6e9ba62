"""What a soak runs: stand-ins, proxies and node programs on loopback."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from anyio import Event
from anyio import move_on_after
from anyio import sleep
from anyio.abc import TaskGroup
from msgspec.json import encode

from wasabiwing.asgi import Application
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import serve_http
from wasabiwing.http_client import HttpClient
from wasabiwing.timers import TimerService
from wasabiwing_platform_standins.balancer import BalancerStandIn
from wasabiwing_platform_standins.balancer import READINESS_POLL_S
from wasabiwing_platform_standins.cloud import CloudStandIn
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import server_document
from wasabiwing_platform_standins.examples import settings_text
from wasabiwing_platform_standins.server import ServerStandIn
from wasabiwing_platform_standins.store import StoreStandIn
from wasabiwing_soak.loopback_proxy import HOST
from wasabiwing_soak.loopback_proxy import LoopbackProxy
from wasabiwing_soak.node_process import NodeProcess

# Servers of the plain and of the streaming service, by turns.
SERVICES = ("desk", "models")

# Time of a server for a plain answer or an event, in seconds.
WORK_S = 0.02

# How long the nodes may take for their first start, in seconds.
START_S = 60.0
START_POLL_S = 0.1

# Limit for the answer of a readiness page, in seconds.
READINESS_TIMEOUT_S = 0.25


# Unix time of each server's first start, in milliseconds.
FIRST_START_MS = 1_000


@dataclass(slots=True)
class SoakNode:
    """A node with what the soak knows of it."""

    process: NodeProcess
    # Address of the page for readiness and metrics.
    readiness: str
    store_link: LoopbackProxy


@dataclass(slots=True)
class SoakServer:
    """A backend server behind its proxy."""

    server: ServerStandIn
    service: str
    link: LoopbackProxy
    sequence: int = 1


class SoakDeployment:
    """All parts of one soak but its callers."""

    def __init__(
        self,
        folder: Path,
        timer: TimerService,
        tasks: TaskGroup,
        held: ExitStack,
    ) -> None:
        self._folder = folder
        self._tasks = tasks
        self._held = held
        self._client = HttpClient()
        self.store = StoreStandIn(timer)
        self.cloud = CloudStandIn()
        self.balancer = BalancerStandIn({})
        self.nodes: list[SoakNode] = []
        self.servers: list[SoakServer] = []
        self.address_by_node: dict[str, str] = {}
        self._version = 0

    async def start(self, nodes: int, servers: int) -> None:
        """Starts everything and waits until all nodes are ready."""
        store = await self._listen(self.store.application())
        cloud = await self._listen(self.cloud.application())
        self.configure(1)
        for number in range(servers):
            await self._add_server(number)
        for number in range(nodes):
            await self._add_node(number, store, cloud)
        with move_on_after(START_S) as scope:
            while len(self.balancer.ready) < nodes:
                await sleep(START_POLL_S)
        if scope.cancelled_caught:
            raise RuntimeError(
                f"only {sorted(self.balancer.ready)} of {nodes} nodes are"
                f" ready after {START_S} s; their logs are in {self._folder}"
            )

    async def stop(self) -> None:
        """Asks all nodes to stop, one after the other."""
        for node in self.nodes:
            node.process.disturbed = True
            await node.process.stop()
        await self._client.close()

    async def kill(self) -> None:
        """Ends the processes that still run."""
        for node in self.nodes:
            node.process.disturbed = True
            if not node.process.ended():
                await node.process.kill()

    def configure(self, step: int) -> None:
        """Writes a newer configuration, as the operator does."""
        self._version += step
        document = configuration_document(self._version)
        self.store.put("op/config", encode(document))

    def register_server(self, item: SoakServer) -> None:
        """Writes a server's entry, as the server does."""
        document = server_document(
            item.service,
            item.link.address,
            seq=item.sequence,
            born=FIRST_START_MS + item.server.incarnation_id,
        )
        self.store.put(f"servers/{item.server.id}", encode(document))

    def remove_server(self, item: SoakServer) -> Callable[[], None]:
        """Takes a server's entry away; returns how it comes back."""
        self.store.remove(f"servers/{item.server.id}")

        def undo() -> None:
            item.sequence += 1
            self.register_server(item)

        return undo

    def announce_leaving(self, item: SoakServer) -> Callable[[], None]:
        """Lets a server say that it leaves; it ends with a new start."""
        item.server.leaving = True

        def undo() -> None:
            item.server.leaving = False
            item.server.incarnation_id += 1
            item.sequence += 1
            self.register_server(item)

        return undo

    async def is_ready(self, node: SoakNode) -> bool:
        """Asks a node whether it is ready."""
        reply = await self._client.send(
            "GET",
            f"http://{node.readiness}/readyz",
            timeout_s=READINESS_TIMEOUT_S,
        )
        return reply.map_or(False, lambda answer: answer.status == 200)

    async def metrics(self, node: SoakNode) -> str:
        """Returns a node's metrics; empty if it does not answer."""
        reply = await self._client.send(
            "GET",
            f"http://{node.readiness}/metrics",
            timeout_s=READINESS_TIMEOUT_S,
        )
        return reply.map_or("", lambda answer: answer.body.decode())

    async def _listen(self, application: Application) -> str:
        listener = bind_listener(HOST, 0)
        self._tasks.start_soon(serve_http, application, listener, Event())
        return listener_address(listener)

    async def _add_server(self, number: int) -> None:
        service = SERVICES[number % len(SERVICES)]
        server = ServerStandIn(
            f"server-{number}", streams=service == "models", work_s=WORK_S
        )
        link = LoopbackProxy(await self._listen(server.application()))
        await self._tasks.start(link.run)
        self.servers.append(SoakServer(server, service, link))
        self.register_server(self.servers[-1])

    async def _add_node(self, number: int, store: str, cloud: str) -> None:
        name = f"node-{number}"
        link = LoopbackProxy(store)
        await self._tasks.start(link.run)
        callers, readiness, inbox = (self._hold_address() for _ in range(3))
        inbox_port = inbox.rpartition(":")[2]
        path = self._folder / f"{name}.conf"
        path.write_text(
            settings_text(
                {
                    "nodeName": name,
                    "ip": HOST,
                    "zone": f"zone-{'ab'[number % 2]}",
                    "listen.front": callers,
                    "listen.ready": readiness,
                    "portRange": f"{inbox_port},{inbox_port}",
                    "platform.address": link.address,
                    "cloudApi.address": cloud,
                }
            )
        )
        log = self._held.enter_context(
            (self._folder / f"{name}.jsonl").open("wb")
        )
        process = NodeProcess(name, path, log)
        self.nodes.append(SoakNode(process, readiness, link))
        self.address_by_node[name] = callers
        self.balancer.readiness_by_node[name] = readiness
        await process.start()
        self._tasks.start_soon(self._poll_readiness, name)

    def _hold_address(self) -> str:
        """Returns an address whose port stays free for a node."""
        return listener_address(
            self._held.enter_context(bind_listener(HOST, 0))
        )

    async def _poll_readiness(self, node: str) -> None:
        while True:
            await self.balancer.check_readiness(self._client, node)
            await sleep(READINESS_POLL_S)
