"""A node on loopback, with stand-ins for the platform around it."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from contextlib import asynccontextmanager
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from anyio import CancelScope
from anyio import create_task_group
from anyio import Event
from anyio import sleep
from anyio.abc import TaskGroup
from msgspec.json import encode

from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import serve_http
from wasabiwing.fleet_follower import ChangeDecoder
from wasabiwing.http_client import HttpClient
from wasabiwing.metrics import NodeMetrics
from wasabiwing.node import NodePlatform
from wasabiwing.node_program import run_node
from wasabiwing.node_settings import Endpoint
from wasabiwing.node_settings import NodeBounds
from wasabiwing.node_settings import NodeSettings
from wasabiwing.ports import HttpReply
from wasabiwing.timers import SystemTimer
from wasabiwing_platform.cloud import PlatformCloud
from wasabiwing_platform.documents import decode_item
from wasabiwing_platform.headers import PlatformHeaders
from wasabiwing_platform.store import PlatformStore
from wasabiwing_platform_standins.cloud import CloudStandIn
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import server_document
from wasabiwing_platform_standins.server import ServerStandIn
from wasabiwing_platform_standins.store import StoreStandIn
from wasabiwing_soak.deployment import reserve_adjacent_ports
from wasabiwing_standins.server import StandInServer

HOST = "127.0.0.1"

POLL_S = 0.01

# Unix time at which each server was first started, in milliseconds.
FIRST_START_MS = 1_000

BOUNDS = NodeBounds(
    drain_s=2.0,
    stop_grace_s=8.0,
    configuration_apply_s=2.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_reserve=50.0,
    lease_s=3.0,
    usage_window_s=5.0,
    usage_due_s=10.0,
    cap_window_s=8.0,
    cap_excess=0.1,
    cap_slack=0.0,
    duties_need_fencing=True,
)


@dataclass(slots=True)
class Deployment:
    """A node, the stand-ins of its platform and a client that calls it."""

    store: StoreStandIn
    cloud: CloudStandIn
    tasks: TaskGroup
    client: HttpClient
    settings: NodeSettings
    # Sockets that reserve ports until the end of the test.
    reserved_sockets: ExitStack
    stop: Event = field(default_factory=Event)
    stopped: Event = field(default_factory=Event)
    # Cancelling it ends the first node as a kill does.
    process: CancelScope = field(default_factory=CancelScope)
    address_by_server: dict[str, str] = field(default_factory=dict)
    requests: int = 0
    started: bool = False
    # Returns a node's decoder of changes from the node's id.
    decoder_of: Callable[[str], ChangeDecoder] = lambda _: decode_item
    _process_by_server: dict[str, StandInServer] = field(default_factory=dict)

    def start(self) -> None:
        """Starts the node once; its first view has all earlier entries."""
        if not self.started:
            self.started = True
            self.tasks.start_soon(self._run_until_killed)

    async def add_server(
        self, service: str, server: ServerStandIn, **fields: object
    ) -> None:
        """Starts a backend server and writes its registry entry."""
        server.streams = service == "models"
        address = await self._listen(server)
        self.address_by_server[server.id] = address
        self.register(server.id, service, **fields)

    def register(self, server_id: str, service: str, **fields: object) -> None:
        """Writes the registry entry of a server that has an address."""
        address = self.address_by_server[server_id]
        document = server_document(
            service, address, **{"born": FIRST_START_MS, **fields}
        )
        self.store.put(f"servers/{server_id}", encode(document))

    def configure(self, document: Mapping[str, object]) -> None:
        """Writes the operator's configuration to the store."""
        self.store.put("op/config", encode(document))

    async def call(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"order 1",
        headers: Mapping[str, str] | None = None,
        key: str = "key-north",
        via: NodeSettings | None = None,
    ) -> HttpReply:
        """Sends a caller's request to the node, or to the one of ``via``.

        Raises if there is no answer.
        """
        self.requests += 1
        attempt = f"attempt-{self.requests}"
        sent = {**caller_headers(attempt, key), **(headers or {})}
        callers = (via or self.settings).caller_endpoint
        reply = await self.client.send(
            method, f"http://{callers}{path}", sent, body, 20.0
        )
        return reply.unwrap()

    async def wait_ready(self) -> None:
        """Starts the node and waits until its readiness status is 200."""
        self.start()
        while await self.readiness_status() != 200:
            await sleep(POLL_S)

    async def start_another(self, node_id: str) -> NodeSettings:
        """Starts one fields node and waits until it is ready."""
        inbox, relay = reserve_adjacent_endpoints(self.reserved_sockets)
        settings = replace(
            self.settings,
            node_id=node_id,
            caller_endpoint=reserve_endpoint(self.reserved_sockets),
            readiness_endpoint=reserve_endpoint(self.reserved_sockets),
            inbox=inbox,
            relay_endpoint=relay,
        )
        self.tasks.start_soon(_run, settings, self)
        while await self.readiness_status(settings) != 200:
            await sleep(POLL_S)
        return settings

    async def readiness_status(self, of: NodeSettings | None = None) -> int:
        """Returns the status of a node's readiness page; 0 without answer."""
        url = f"http://{(of or self.settings).readiness_endpoint}/readyz"
        reply = await self.client.send("GET", url)
        return reply.map_or(0, lambda answer: answer.status)

    async def restart_server(self, server_id: str) -> None:
        """Starts a server that has crashed or was killed."""
        await self._process_by_server[server_id].start()

    def kill_server(self, server_id: str) -> None:
        """Ends a server's process and all its connections."""
        self._process_by_server[server_id].kill()

    def kill(self) -> None:
        """Ends the first node and cuts its connections."""
        self.process.cancel()

    async def _run_until_killed(self) -> None:
        with self.process:
            await _run(self.settings, self)

    async def _listen(self, server: ServerStandIn) -> str:
        process = StandInServer(self.tasks, server.application())
        await process.start()
        server.crash = process.kill
        self._process_by_server[server.id] = process
        return process.address


def reserve_endpoint(reserved: ExitStack) -> Endpoint:
    """Returns an address that refuses connections until a program listens.

    The port is reserved until ``reserved`` is closed, so that no other test
    gets it.
    """
    listener = reserved.enter_context(bind_listener(HOST, 0))
    port = int(listener_address(listener).rpartition(":")[2])
    return Endpoint(HOST, port)


def reserve_adjacent_endpoints(
    reserved: ExitStack,
) -> tuple[Endpoint, Endpoint]:
    """Returns two reserved addresses with consecutive ports."""
    port = reserve_adjacent_ports(reserved)
    return Endpoint(HOST, port), Endpoint(HOST, port + 1)


@asynccontextmanager
async def deployment(configured: bool = True) -> AsyncIterator[Deployment]:
    """Runs the stand-ins; the node starts when the test calls for it."""
    client = HttpClient()
    with ExitStack() as reserved:
        async with create_task_group() as tasks:
            timer = SystemTimer()
            store = StoreStandIn(timer)
            cloud = CloudStandIn()
            store_listener = bind_listener(HOST, 0)
            cloud_listener = bind_listener(HOST, 0)
            tasks.start_soon(
                serve_http, store.application(), store_listener, Event()
            )
            tasks.start_soon(
                serve_http, cloud.application(), cloud_listener, Event()
            )
            inbox, relay = reserve_adjacent_endpoints(reserved)
            node_settings = NodeSettings(
                node_id="node-1",
                availability_zone="zone-a",
                region="region-1",
                availability_zones=("zone-a", "zone-b"),
                caller_endpoint=reserve_endpoint(reserved),
                readiness_endpoint=reserve_endpoint(reserved),
                inbox=inbox,
                relay_endpoint=relay,
                store=_endpoint(listener_address(store_listener)),
                cloud=_endpoint(listener_address(cloud_listener)),
                reports_usage=True,
                runs_autoscaler=True,
                first_start=True,
                bounds=BOUNDS,
            )
            found = Deployment(
                store, cloud, tasks, client, node_settings, reserved
            )
            if configured:
                found.configure(configuration_document())
            yield found
            tasks.cancel_scope.cancel()
    await client.close()


async def _run(settings: NodeSettings, found: Deployment) -> None:
    metrics = NodeMetrics()
    store = PlatformStore(str(settings.store), metrics.count_store_call)
    cloud = PlatformCloud(str(settings.cloud))

    async def reload() -> None:
        return

    platform = NodePlatform(
        store,
        cloud,
        PlatformHeaders(),
        found.decoder_of(settings.node_id),
        reload,
    )
    try:
        await run_node(settings, platform, metrics, found.stop)
        found.stopped.set()
    finally:
        await store.close()
        await cloud.close()


def _endpoint(address: str) -> Endpoint:
    host, _, port = address.rpartition(":")
    return Endpoint(host, int(port))
