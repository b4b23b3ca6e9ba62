"""A small deployment: stand-ins in this process, nodes as processes."""

from asyncio import run
from asyncio import Server
from asyncio import sleep
from collections.abc import Callable
from collections.abc import Coroutine
from json import dumps
from os import environ
from pathlib import Path
from random import randrange
from shutil import rmtree
from signal import SIG_IGN
from signal import SIGINT
from signal import SIGKILL
from signal import signal
from signal import SIGTERM
from socket import socket
from subprocess import Popen
from sys import stderr
from tempfile import mkdtemp
from time import monotonic
from time import time
from tomllib import loads
from typing import Any
from typing import NoReturn
from typing import TextIO

from client import send
from http_server import address_of
from http_server import Handler
from http_server import serve
from platform_api import PlatformApi
from store import Store
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HOST_NAME = "desk.example"
KEY = "i9n73hh2b9wu3fexd9dn"

# Time limit for the start of all nodes, in seconds.
START_S = 25.0

# Ports below those of outgoing connections.
PORTS = (15_000, 31_000)

# Exit status of a case that could not run.
COULD_NOT_RUN = 2

BOUNDS = {
    "seedLagS": "3",
    "addrReuseS": "2",
    "contactMs": "3000",
    "ackMs": "4000",
    "syncS": "4",
    "drainMs": "2000",
    "graceS": "8",
    "lossSlackMs": "200",
    "configApplyMs": "2000",
    "rollbackSlackMs": "250",
    "maxSkewMs": "5000",
    "strictRevoke": "false",
    "revokeMs": "5000",
    "retryRatio": "0.2",
    "retryWindowS": "10",
    "retrySlack": "54",
    "quotaWindowS": "8",
    "quotaExcess": "0.1",
    "quotaSlack": "110000",
    "requireFence": "true",
    "leaseMs": "3000",
    "thawSlackMs": "300",
    "usageWindowS": "5",
    "usageOff": "0.05",
    "usageLateS": "10",
    "exposeShare": "0.1",
    "exposureSlack": "50",
    "rollbackMs": "5000",
    "coldExcess": "1.5",
    "coldSlack": "5",
    "evacMs": "5000",
    "recoverS": "12",
    "passMs": "120",
    "reuseWindowS": "7.6",
}


def route(name: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns a route of the configuration; ``more`` replaces fields."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": "order-desk",
        "timeoutMs": 5000,
        "targetLatencyMs": 125,
        "priority": 2,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        **more,
    }


def configuration(version: int, **more: Any) -> dict[str, Any]:
    """Returns a configuration; ``more`` replaces fields."""
    return {
        "version": version,
        "routes": [
            route("book-drop", "non_idempotent"),
            route("order-status", "idempotent"),
        ],
        "services": [
            {"name": "order-desk", "maxConns": 100, "healthPath": "/health"}
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 10_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
        **more,
    }


class Record:
    """The case's ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._stream: TextIO = path.open("w")
        self._began_at = time()

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the begin."""
        passed_s = time() - self._began_at
        self._stream.write(f"{passed_s:8.3f} {text}\n")
        self._stream.flush()
        print(f"{passed_s:8.3f} {text}", flush=True)


class Node:
    """A node, started with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, fields: dict[str, str]):
        self.name = name
        self.front = fields["listen.front"]
        self.ready = fields["listen.ready"]
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            "".join(f"{key}={value}\n" for key, value in fields.items())
        )
        self.log_path = folder / f"{name}.log"
        self.process: Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        deploy = loads((ROOT / "deploy/system.toml").read_text())
        with self.log_path.open("ab") as log:
            self.process = Popen(
                deploy["roles"]["node"]["run"].split(" "),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": environ["PATH"],
                    "HOME": environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WASABIWING_CONFIG": str(self._settings),
                },
            )

    def signal(self, number: int) -> None:
        """Sends the process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the node answers its readiness page with 200."""
        try:
            answer = await send(self.ready, "GET", "/readyz", {}, b"", 0.5)
        except (OSError, TimeoutError, ValueError):
            return False
        return answer.status == 200


class Deployment:
    """Store, platform API, workers and nodes on loopback."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(mkdtemp(prefix="wasabiwing-case-"))
        self.store = Store()
        self.api = PlatformApi()
        self.workers: dict[str, Worker] = {}
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        self._seq = 0

    async def listen(self, handler: Handler, host: str = HOST) -> str:
        """Serves a stand-in; returns its address."""
        server = await serve(handler, host)
        self.servers.append(server)
        return address_of(server)

    def configure(self, document: dict[str, Any]) -> None:
        """Writes a configuration, as the operator does."""
        self.store.put("op/config", dumps(document).encode())
        self.record.write(f"operator: configuration {document['version']}")

    def register(
        self, worker_id: str, address: str, service: str, **more: Any
    ) -> None:
        """Writes a worker's entry, as the worker does."""
        self._seq += 1
        document = {
            "service": service,
            "address": address,
            "zone": "lakes-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": 1_700_000_000_000,
            **more,
        }
        self.store.put(f"servers/{worker_id}", dumps(document).encode())

    async def add_worker(self, worker: Worker, service: str) -> str:
        """Starts and registers a worker; returns its address."""
        address = await self.listen(worker.handle)
        self.workers[worker.id] = worker
        self.register(worker.id, address, service)
        return address

    async def add_node(
        self, name: str, store_handler: Handler | None = None, **more: str
    ) -> Node:
        """Adds a node that reaches the store through its own address."""
        store = await self.listen(store_handler or self.store.handle)
        api = await self.listen(self.api.handle)
        ports = free_ports(4)
        fields = {
            "nodeName": name,
            "role": "node",
            "machineClass": "front",
            "serves": "front",
            "ip": HOST,
            "zone": "lakes-a",
            "region": "great-lakes",
            "zones.lakes-a": "great-lakes",
            "listen.front": f"{HOST}:{ports[0]}",
            "listen.ready": f"{HOST}:{ports[1]}",
            "portRange": f"{ports[2]},{ports[2] + 1}",
            "bootstrap": "true",
            "countsAsLoss": "false",
            "limits.cpuShare": "0.537",
            "limits.cpuCores": "2",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "discovery": "platform",
            "entry": "anycast",
            "heartbeatMs": "1200",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
            "platform.address": store,
            "platform.form": "kv",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000",
            "cloudApi.address": api,
            "cloudApi.ratePerS": "50.0",
            "cloudApi.duties": "metering,autoscale",
            "cloudApi.dutyPerS": "50.0",
            **more,
        }
        node = Node(name, self.folder, fields)
        self.nodes.append(node)
        return node

    async def start_nodes(self) -> bool:
        """Starts all nodes; returns whether all are ready in time."""
        for node in self.nodes:
            node.start()
        return await self.wait_ready()

    async def wait_ready(self) -> bool:
        """Waits until all nodes are ready; returns whether they are."""
        ends_at = monotonic() + START_S
        while monotonic() < ends_at:
            if all([await node.is_ready() for node in self.nodes]):
                self.record.write("all nodes are ready")
                return True
            await sleep(0.1)
        self.record.write("not all nodes became ready")
        return False

    def stop(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for node in self.nodes:
            node.signal(SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        for server in self.servers:
            server.close()
        if not environ.get("KEEP"):
            rmtree(self.folder, ignore_errors=True)


def free_ports(count: int) -> list[int]:
    """Returns free ports that follow each other."""
    while True:
        first = randrange(*PORTS)
        sockets = [socket() for _ in range(count)]
        try:
            for number, opened in enumerate(sockets):
                opened.bind((HOST, first + number))
            return [first + number for number in range(count)]
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> NoReturn:
    """Runs a case and ends with its status; a signal ends it in order."""

    def stop(number: int, frame: object) -> None:
        # ``timeout`` passes a signal on twice; the second one would end the
        # clean-up.
        signal(SIGTERM, SIG_IGN)
        signal(SIGINT, SIG_IGN)
        raise SystemExit(COULD_NOT_RUN)

    signal(SIGTERM, stop)
    signal(SIGINT, stop)
    try:
        status = run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=stderr)
        status = COULD_NOT_RUN
    raise SystemExit(status)
