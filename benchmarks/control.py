"""Measures the control plane with 3 to 32 controllers.

Each controller is a process of its own with real sockets, started as
``wasabiwing-controller`` is. The key-value service stand-in and the operator
run in the measuring process. Run from the root of the repository:

    python -m benchmarks.control [--sizes=3,8] [--changes=20]
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
from os import sysconf
from pathlib import Path
from statistics import mean
from statistics import median
from subprocess import Popen
from sys import executable
from tempfile import TemporaryDirectory
from time import monotonic

from anyio import create_task_group
from anyio import run
from anyio import sleep
from fire import Fire
from msgspec.json import encode

from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.cluster_status import read_status
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import parse_configuration
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing.settings import ControllerSettings
from wasabiwing_standins.store import EtcdStandIn

DEFAULT_SIZES = (3, 8, 16, 32)

DEFAULT_CHANGES = 20

# Seconds of rest over which the idle load is measured.
IDLE_S = 10.0

# Time between two changes while the load of changes is measured, as at
# 14,000 changes a day.
CHANGE_PERIOD_S = 6.2
LOADED_CHANGES = 3

POLL_S = 0.01

FIRST_PORT = 21_000

CONFIGURATION = Path("examples/lakeshore/configuration.json")

START = "from wasabiwing.controller import main; main()"

CLOCK_TICKS = sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Load:
    """What all nodes together had used up to a point in time."""

    at_s: float
    cpu_s: float
    sent_bytes: float


class Fleet:
    """Controllers of one size of the benchmark."""

    def __init__(self, store_url: str, size: int, directory: Path) -> None:
        self._directory = directory
        ports = _free_addresses(2 * size)
        self._inboxes = [f"tcp://{port}" for port in ports[:size]]
        self._http = ports[size:]
        self.processes: list[Popen[bytes]] = []
        for number in range(size):
            self._start(number, store_url)

    @property
    def urls(self) -> tuple[str, ...]:
        """Addresses of the status pages."""
        return tuple(f"http://{address}" for address in self._http)

    def _start(self, number: int, store_url: str) -> None:
        host, _, port = self._http[number].rpartition(":")
        settings = ControllerSettings(
            node_id=f"node-{number:03}",
            availability_zone=f"zone-{number % 3}",
            region="region",
            inbox_address=self._inboxes[number],
            listen_host=host,
            listen_port=int(port),
            store_urls=(store_url,),
            seed_addresses=tuple(self._inboxes[:2]),
            seed=number + 1,
            log_path=str(self._directory / f"{number}.log"),
        )
        path = self._directory / f"{number}.json"
        path.write_bytes(encode(asdict(settings)))
        command = [executable, "-c", START, str(path)]
        self.processes.append(Popen(command))

    def stop(self) -> None:
        """Ends all controllers."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.wait()

    def memory_mb(self) -> float:
        """Mean resident memory of a node, in megabytes."""
        sizes = []
        for process in self.processes:
            for line in _proc(process, "status").splitlines():
                if line.startswith("VmRSS:"):
                    sizes.append(int(line.split()[1]) / 1000)
        return mean(sizes)

    async def load(self, client: HttpClient) -> Load:
        """Sums up what the nodes have used."""
        cpu_s = 0.0
        for process in self.processes:
            fields = _proc(process, "stat").rpartition(")")[2].split()
            cpu_s += (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
        at_s = monotonic()
        sent = 0.0
        for url in self.urls:
            page = (await client.send("GET", f"{url}/metrics")).unwrap()
            for line in page.body.decode().splitlines():
                if line.startswith("wasabiwing_message_bytes_sent "):
                    sent += float(line.split()[1])
        return Load(at_s, cpu_s, sent)


@asynccontextmanager
async def running_fleet(store_url: str, size: int) -> AsyncIterator[Fleet]:
    """Runs controllers and ends them."""
    with TemporaryDirectory() as directory:
        fleet = Fleet(store_url, size, Path(directory))
        try:
            yield fleet
        finally:
            fleet.stop()


async def measure(size: int, changes: int) -> dict[str, float]:
    """Measures one number of controllers."""
    parsed = parse_configuration(CONFIGURATION.read_bytes())
    configuration = parsed.unwrap()
    client = HttpClient()
    async with create_task_group() as tasks:
        standin = EtcdStandIn(tasks)
        await standin.start()
        store = EtcdStore((standin.url,))
        async with running_fleet(standin.url, size) as fleet:
            await _wait_joined(client, fleet, size)
            first = await fleet.load(client)
            await sleep(IDLE_S)
            second = await fleet.load(client)
            times = [
                await _apply(store, client, fleet, configuration, number)
                for number in range(changes)
            ]
            third = await fleet.load(client)
            for number in range(LOADED_CHANGES):
                await _apply(store, client, fleet, configuration, -number - 1)
                await sleep(CHANGE_PERIOD_S)
            fourth = await fleet.load(client)
            reads = standin.reads
            memory_mb = fleet.memory_mb()
        await store.close()
        await client.close()
        tasks.cancel_scope.cancel()
    return {
        "nodes": size,
        "in_force_p50_s": median(times),
        "in_force_max_s": max(times),
        **_rates("idle", first, second, size),
        **_rates("changing", third, fourth, size),
        "memory_mb": memory_mb,
        "store_reads": reads,
    }


def _rates(name: str, start: Load, end: Load, size: int) -> dict[str, float]:
    seconds = (end.at_s - start.at_s) * size
    return {
        f"{name}_bytes_per_s": (end.sent_bytes - start.sent_bytes) / seconds,
        f"{name}_cpu_percent": 100 * (end.cpu_s - start.cpu_s) / seconds,
    }


async def _wait_joined(client: HttpClient, fleet: Fleet, size: int) -> None:
    while True:
        status = await read_status(client, fleet.urls)
        counts = [
            sum(member.is_live for member in document.members)
            for document in status.document_by_url.values()
        ]
        if counts == [size] * size:
            return
        await sleep(0.2)


async def _apply(
    store: EtcdStore,
    client: HttpClient,
    fleet: Fleet,
    configuration: Configuration,
    number: int,
) -> float:
    """Returns the time from acceptance to in force everywhere."""
    wanted = replace(configuration, max_body_bytes=1_000_000 + number)
    applied = await apply_configuration(store, wanted, None, f"{number}")
    generation = applied.unwrap().generation
    accepted_at = monotonic()
    late = set(fleet.urls)
    while late:
        status = await read_status(client, late)
        late = {
            url
            for url in late
            if url not in status.document_by_url
            or status.document_by_url[url].generation < generation
        }
        if late:
            await sleep(POLL_S)
    return monotonic() - accepted_at


def _free_addresses(count: int) -> list[str]:
    """Finds ports that nobody listens on.

    They are below the range for outgoing connections. Of that range, ports
    were taken again before the controllers had bound them.
    """
    found: list[str] = []
    port = FIRST_PORT
    while len(found) < count:
        try:
            listener = bind_listener("127.0.0.1", port)
        except OSError:
            pass
        else:
            found.append(listener_address(listener))
            listener.close()
        port += 1
    return found


def _proc(process: Popen[bytes], name: str) -> str:
    return Path(f"/proc/{process.pid}/{name}").read_text()


async def _run(sizes: tuple[int, ...], changes: int) -> None:
    rows = []
    for size in sizes:
        row = await measure(size, changes)
        print("  ".join(f"{key}={value:.3g}" for key, value in row.items()))
        rows.append(row)
    first, last = rows[0], rows[-1]
    if len(rows) > 1:
        nodes = last["nodes"] - first["nodes"]
        for key in list(first)[1:]:
            slope = (last[key] - first[key]) / nodes
            print(f"slope of {key}: {slope:.3g} per node added")


def main(
    sizes: tuple[int, ...] | int = DEFAULT_SIZES,
    changes: int = DEFAULT_CHANGES,
) -> None:
    """Runs the benchmark and prints a line for each size."""
    chosen = (sizes,) if isinstance(sizes, int) else tuple(sizes)
    run(_run, chosen, changes)


if __name__ == "__main__":
    Fire(main)
