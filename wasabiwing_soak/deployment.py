"""The deployment of a soak: stand-ins, proxies and nodes on loopback."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from socket import AF_INET
from socket import SO_REUSEADDR
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET

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
from wasabiwing_soak.crashing_parts import PromptDraw
from wasabiwing_soak.loopback_proxy import HOST
from wasabiwing_soak.loopback_proxy import LoopbackProxy
from wasabiwing_soak.node_process import NodeProcess
from wasabiwing_soak.node_process import OWN_BUILD
from wasabiwing_soak.node_process import SERVER_HOST

# Services of the servers, assigned in turn: a plain one and a streaming one.
SERVICES = ("desk", "models")

# Time that a server takes for a plain answer or an event, in seconds.
WORK_S = 0.02

# Time limit for the first start of all nodes, and the poll interval, in
# seconds.
START_TIMEOUT_S = 60.0
START_POLL_S = 0.1

# Time limit for an answer of a node's readiness or metrics page, in seconds.
READINESS_TIMEOUT_S = 0.25


# Time that a crashed server takes to start again, in seconds.
CRASHED_S = 1.5

# Unix time in milliseconds of each server's first start. Each incarnation
# adds 1.
FIRST_START_MS = 1_000


def link_host(node: int) -> str:
    """Returns the IP address at which a node's links to servers listen."""
    return f"127.0.1.{node + 1}"


def sender_host(node: int) -> str:
    """Returns the IP address from which a node's links reach servers."""
    return f"127.0.2.{node + 1}"


@dataclass(slots=True)
class SoakNode:
    """A node process and how the soak reaches it."""

    process: NodeProcess
    # IP addresses of its links to servers, as the node and the servers see
    # them.
    link_host: str
    sender_host: str
    # Address of the readiness and metrics pages.
    readiness: str
    store_link: LoopbackProxy


@dataclass(slots=True)
class SoakServer:
    """A backend server behind a proxy for each node."""

    server: ServerStandIn
    service: str
    # Address in the registry, which nodes replace by that of their link.
    address: str
    # Links by the IP address at which they listen; all have the same port.
    link_by_host: dict[str, LoopbackProxy]
    sequence: int = 1


class SoakDeployment:
    """All parts of a soak except its callers."""

    def __init__(
        self,
        folder: Path,
        timer: TimerService,
        tasks: TaskGroup,
        resources: ExitStack,
        other_build: Path | None = None,
        run_s: Callable[[bytes], float] | None = None,
        prompts: PromptDraw | None = None,
    ) -> None:
        self._folder = folder
        self._tasks = tasks
        self._resources = resources
        self._other_build = other_build
        self._run_s = run_s
        self.prompts = prompts
        self._client = HttpClient()
        self.store = StoreStandIn(timer)
        self.cloud = CloudStandIn()
        self.balancer = BalancerStandIn({})
        self.nodes: list[SoakNode] = []
        self.servers: list[SoakServer] = []
        self.address_by_node: dict[str, str] = {}
        self._version = 0

    async def start(self, nodes: int, servers: int) -> None:
        """Starts all parts and waits until all nodes are ready."""
        store = await self._serve_application(self.store.application())
        cloud = await self._serve_application(self.cloud.application())
        self.configure(1)
        for number in range(servers):
            await self._add_server(number, nodes)
        for number in range(nodes):
            await self._add_node(number, store, cloud)
        with move_on_after(START_TIMEOUT_S) as scope:
            while len(self.balancer.ready) < nodes:
                await sleep(START_POLL_S)
        if scope.cancelled_caught:
            raise RuntimeError(
                f"only {sorted(self.balancer.ready)} of {nodes} nodes are"
                f" ready after {START_TIMEOUT_S} s; their logs are in"
                f" {self._folder}"
            )

    async def stop(self) -> None:
        """Stops all nodes, one after the other."""
        for node in self.nodes:
            node.process.disturbed = True
            await node.process.stop()
        await self._client.close()

    async def kill(self) -> None:
        """Kills the node processes that still run."""
        for node in self.nodes:
            node.process.disturbed = True
            if not node.process.ended():
                await node.process.kill()

    @property
    def version(self) -> int:
        """Version of the newest configuration."""
        return self._version

    def configure(self, step: int) -> None:
        """Writes a configuration whose version is higher by ``step``."""
        self._version += step
        document = configuration_document(self._version)
        self.store.put("op/config", encode(document))

    def register_server(self, item: SoakServer) -> None:
        """Writes a server's registry entry, as the server does."""
        document = server_document(
            item.service,
            item.address,
            seq=item.sequence,
            born=FIRST_START_MS + item.server.incarnation_id,
        )
        self.store.put(f"servers/{item.server.id}", encode(document))

    def remove_server(self, item: SoakServer) -> Callable[[], None]:
        """Removes a server's registry entry; returns how to restore it."""
        self.store.remove(f"servers/{item.server.id}")

        def undo() -> None:
            item.sequence += 1
            self.register_server(item)

        return undo

    def announce_leaving(self, item: SoakServer) -> Callable[[], None]:
        """Lets a server announce that it leaves; returns how to restart it."""
        item.server.leaving = True

        def undo() -> None:
            item.server.leaving = False
            self._register_new_incarnation(item)

        return undo

    def _register_new_incarnation(self, item: SoakServer) -> None:
        item.server.incarnation_id += 1
        item.sequence += 1
        self.register_server(item)

    def _start_crash(self, item: SoakServer) -> None:
        self._tasks.start_soon(self._crash_server, item)

    async def _crash_server(self, item: SoakServer) -> None:
        """Ends a server's connections; it starts again after a while."""
        for link in item.link_by_host.values():
            link.closed = True
            link.reset()
        await sleep(CRASHED_S)
        for link in item.link_by_host.values():
            link.closed = False
        self._register_new_incarnation(item)

    async def is_ready(self, node: SoakNode) -> bool:
        """Requests a node's readiness page; returns whether it is ready."""
        reply = await self._client.send(
            "GET",
            f"http://{node.readiness}/readyz",
            timeout_s=READINESS_TIMEOUT_S,
        )
        return reply.map_or(False, lambda answer: answer.status == 200)

    async def metrics(self, node: SoakNode) -> str:
        """Returns a node's metrics page; empty if the node does not answer."""
        reply = await self._client.send(
            "GET",
            f"http://{node.readiness}/metrics",
            timeout_s=READINESS_TIMEOUT_S,
        )
        return reply.map_or("", lambda answer: answer.body.decode())

    async def _serve_application(self, application: Application) -> str:
        listener = bind_listener(HOST, 0)
        self._tasks.start_soon(serve_http, application, listener, Event())
        return listener_address(listener)

    async def _add_server(self, number: int, nodes: int) -> None:
        service = SERVICES[number % len(SERVICES)]
        server = ServerStandIn(
            f"server-{number}",
            streams=service == "models",
            work_s=WORK_S,
            run_s=self._run_s,
        )
        target = await self._serve_application(server.application())
        # Nothing listens there: a node must use its own link.
        address = self._reserve_address(SERVER_HOST)
        port = int(address.rpartition(":")[2])
        links = {
            link_host(node): LoopbackProxy(
                target,
                host=link_host(node),
                port=port,
                source_host=sender_host(node),
            )
            for node in range(nodes)
        }
        for link in links.values():
            await self._tasks.start(link.run)
        item = SoakServer(server, service, address, links)
        if self.prompts is not None:
            server.crashes_on = self.prompts.crashes
            server.crash = lambda: self._start_crash(item)
        self.servers.append(item)
        self.register_server(item)

    async def _add_node(self, number: int, store: str, cloud: str) -> None:
        name = f"node-{number}"
        link = LoopbackProxy(store)
        await self._tasks.start(link.run)
        callers, readiness = (self._reserve_address() for _ in range(2))
        inbox_port = reserve_adjacent_ports(self._resources)
        path = self._folder / f"{name}.conf"
        path.write_text(
            settings_text(
                {
                    "nodeName": name,
                    "ip": HOST,
                    "zone": f"zone-{'ab'[number % 2]}",
                    "listen.front": callers,
                    "listen.ready": readiness,
                    "portRange": f"{inbox_port},{inbox_port + 1}",
                    "platform.address": link.address,
                    "cloudApi.address": cloud,
                }
            )
        )
        log = self._resources.enter_context(
            (self._folder / f"{name}.jsonl").open("wb")
        )
        host = link_host(number)
        process = NodeProcess(name, path, log, host, self._builds_of(number))
        self.nodes.append(
            SoakNode(process, host, sender_host(number), readiness, link)
        )
        self.address_by_node[name] = callers
        self.balancer.readiness_by_node[name] = readiness
        await process.start()
        self._tasks.start_soon(self._poll_readiness, name)

    def _builds_of(self, number: int) -> tuple[Path, ...]:
        """Returns the builds in which a node is started in turn."""
        if self._other_build is None:
            return (OWN_BUILD,)
        builds = (OWN_BUILD, self._other_build)
        return builds if number % 2 else builds[::-1]

    def _reserve_address(self, host: str = HOST) -> str:
        """Reserves and returns an address at which nothing listens yet."""
        return listener_address(
            self._resources.enter_context(bind_listener(host, 0))
        )

    async def _poll_readiness(self, node: str) -> None:
        while True:
            await self.balancer.check_readiness(self._client, node)
            await sleep(READINESS_POLL_S)


def reserve_adjacent_ports(reserved: ExitStack) -> int:
    """Reserves two consecutive ports; returns the first.

    They refuse connections until a program listens.
    """
    while True:
        listener = reserved.enter_context(bind_listener(HOST, 0))
        port: int = listener.getsockname()[1]
        # With SO_REUSEADDR, it could get a port that others have reserved.
        following = reserved.enter_context(socket(AF_INET, SOCK_STREAM))
        try:
            following.bind((HOST, port + 1))
        except (OSError, OverflowError):
            continue
        # A program may still listen at the port.
        following.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        return port
