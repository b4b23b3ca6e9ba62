"""Runs programs of two builds side by side, with restarts and a drain.

Run with ``python -m benchmarks.old_and_new --old=PATH``, the path of a
checkout of an earlier revision. Two VMs, each with a controller and a gateway
of any build, serve bookings and status reads while programs are restarted into
the other build, a controller is killed, and a zone is drained and returned.
The stand-ins and the operator's actions are this build's. Prints a line for
each pairing; ends with status 1 if an answer is missing or a booking ran
twice. The soak's option ``--other_build`` does the same for nodes.
"""

from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from os import environ
from pathlib import Path
from signal import SIGKILL
from signal import Signals
from signal import SIGTERM
from sys import executable
from tempfile import TemporaryDirectory

from anyio import create_task_group
from anyio import current_time
from anyio import fail_after
from anyio import open_process
from anyio import run
from anyio import sleep
from anyio.abc import Process
from fire import Fire
from msgspec.json import encode

from tests.examples import example_configuration
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.configuration import ZoneState
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing.operations import set_zone_state
from wasabiwing_demo.deployment import LocalDeployment

HOST = "127.0.0.1"
TOKEN = "demo-token-north-haul"
NEW_ROOT = Path(__file__).resolve().parent.parent

START_TIMEOUT_S = 60.0
POLL_S = 0.1

# Time after the loss of a controller in which its home duties move, and time
# after a program's start until credits are granted, in seconds.
TAKEOVER_S = 12.0
SETTLE_S = 5.0

REQUESTS_PER_PHASE = 60
REQUEST_GAP_S = 0.02

# Pairs of builds of controller and gateway on the first VM; the second VM has
# the other ones.
PAIRINGS = (("old", "old"), ("old", "new"), ("new", "old"), ("new", "new"))


@dataclass(slots=True)
class Program:
    """A controller or gateway that can be restarted in another build."""

    module: str
    settings: dict[str, object]
    folder: Path
    root_by_build: dict[str, Path]
    build: str
    process: Process | None = None

    async def start(self) -> None:
        """Starts the program in its build."""
        name = str(self.settings["node_id"])
        path = self.folder / f"{name}.json"
        path.write_bytes(encode(self.settings))
        code = f"from wasabiwing.{self.module} import main; main()"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process = await open_process(
                [executable, "-c", code, f"--settings={path}"],
                stdout=log,
                stderr=log,
                cwd=self.folder,
                env={
                    **environ,
                    "PYTHONPATH": str(self.root_by_build[self.build]),
                },
            )

    async def restart_in_other_build(self, number: Signals) -> None:
        """Ends the program by a signal and starts it in the other build."""
        await self.end(number)
        self.build = "new" if self.build == "old" else "old"
        await self.start()

    async def end(self, number: Signals) -> None:
        """Ends the program by a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()


class TwoVms:
    """Two VMs with programs of either build, and the traffic through them."""

    def __init__(
        self,
        folder: Path,
        old_root: Path,
        deployment: LocalDeployment,
        pairing: tuple[str, str],
        zones: list[tuple[str, str]],
    ) -> None:
        roots = {"old": old_root, "new": NEW_ROOT}
        other = {"old": "new", "new": "old"}
        inboxes = [f"tcp://{HOST}:{_free_port()}" for _ in range(2)]
        self._deployment = deployment
        self._client = HttpClient()
        self.statuses: Counter[int] = Counter()
        self.keys: list[str] = []
        self.controllers: list[Program] = []
        self.gateways: list[Program] = []
        self.ports = [_free_port() for _ in range(2)]
        for number, (zone, region) in enumerate(zones[:2]):
            builds = pairing
            if number:
                builds = (other[pairing[0]], other[pairing[1]])
            self.controllers.append(
                Program(
                    "controller",
                    {
                        "node_id": f"entry-{number}-controller",
                        "availability_zone": zone,
                        "region": region,
                        "inbox_address": inboxes[number],
                        "listen_host": HOST,
                        "listen_port": _free_port(),
                        "store_urls": [deployment.store.url],
                        "seed_addresses": inboxes,
                    },
                    folder,
                    roots,
                    builds[0],
                )
            )
            self.gateways.append(
                Program(
                    "gateway",
                    {
                        "node_id": f"entry-{number}-gateway",
                        "availability_zone": zone,
                        "listen_host": HOST,
                        "listen_port": self.ports[number],
                        "inbox_address": f"tcp://{HOST}:{_free_port()}",
                        "controller_address": inboxes[number],
                        "stop_grace_s": 0.5,
                    },
                    folder,
                    roots,
                    builds[1],
                )
            )

    async def wait_serving(self) -> None:
        """Waits until both gateways serve status reads."""
        with fail_after(START_TIMEOUT_S):
            for port in self.ports:
                while await self._send(port, "GET", "/orders/status") != 200:
                    await sleep(POLL_S)

    async def phase(self, ports: list[int]) -> None:
        """Sends bookings and status reads through some gateways."""
        began = current_time()
        async with create_task_group() as tasks:
            for number in range(REQUESTS_PER_PHASE):
                due = began + number * REQUEST_GAP_S
                await sleep(max(due - current_time(), 0.0))
                port = ports[number % len(ports)]
                tasks.start_soon(self._count, port, number)

    async def close(self) -> None:
        """Ends all programs."""
        for program in (*self.gateways, *self.controllers):
            await program.end(SIGKILL)
        await self._client.close()

    async def _count(self, port: int, number: int) -> None:
        if number % 3 == 0:
            status = await self._send(port, "GET", "/orders/status")
        else:
            key = f"key-{len(self.keys)}"
            self.keys.append(key)
            status = await self._send(port, "POST", "/orders/drops", key)
        self.statuses[status] += 1

    async def _send(
        self, port: int, method: str, path: str, key: str = ""
    ) -> int:
        headers = {"Authorization": f"Bearer {TOKEN}"}
        if key:
            headers["Idempotency-Key"] = key
        reply = await self._client.send(
            method,
            f"http://{HOST}:{port}{path}",
            headers,
            b'{"bags": 2}' if key else b"",
            20.0,
        )
        return reply.map_or(0, lambda answer: answer.status)


def _free_port() -> int:
    with ExitStack() as reserved:
        listener = reserved.enter_context(bind_listener(HOST, 0))
        return int(listener_address(listener).rpartition(":")[2])


async def play(folder: Path, old: Path, pairing: tuple[str, str]) -> bool:
    """Plays one pairing; returns whether all was answered and ran once."""
    async with create_task_group() as tasks:
        deployment = LocalDeployment(tasks)
        local = await deployment.start_standins(example_configuration())
        zones = [(zone.id, zone.region) for zone in local.availability_zones]
        store = EtcdStore((deployment.store.url,))
        (await apply_configuration(store, local, None, "first")).unwrap()
        vms = TwoVms(folder, old, deployment, pairing, zones)
        try:
            for program in (*vms.controllers, *vms.gateways):
                await program.start()
            await vms.wait_serving()
            await sleep(SETTLE_S)
            await vms.phase(vms.ports)
            for number, gateway in enumerate(vms.gateways):
                other_port = vms.ports[1 - number]
                async with create_task_group() as both:
                    both.start_soon(vms.phase, [other_port])
                    both.start_soon(gateway.restart_in_other_build, SIGTERM)
                await vms.wait_serving()
                await sleep(SETTLE_S)
            await vms.phase(vms.ports)
            for controller, number in zip(
                vms.controllers, (SIGTERM, SIGKILL), strict=True
            ):
                await controller.restart_in_other_build(number)
                await sleep(TAKEOVER_S)
                await vms.wait_serving()
                await vms.phase(vms.ports)
            zone_id = zones[2][0]
            for state in (ZoneState.DRAINED, ZoneState.ACTIVE):
                changed = await set_zone_state(
                    store, zone_id, state, lambda: state.value
                )
                changed.unwrap()
                await sleep(SETTLE_S)
                await vms.phase(vms.ports)
        finally:
            await vms.close()
            await store.close()
        runs = deployment.ledger.runs_by_key
        once = all(count == 1 for count in runs.values())
        complete = len(runs) == len(vms.keys)
        print(
            f"controller and gateway of the first VM {pairing}:"
            f" statuses {dict(vms.statuses)}, {len(vms.keys)} bookings,"
            f" {len(runs)} ran, each once: {once}",
            flush=True,
        )
        tasks.cancel_scope.cancel()
    return once and complete and set(vms.statuses) == {200}


async def _play_all(old: str, report: Callable[[bool], None]) -> None:
    for pairing in PAIRINGS:
        with TemporaryDirectory() as folder:
            root = Path(old).resolve()
            report(await play(Path(folder), root, pairing))


def start(old: str) -> None:
    """Plays all pairings with the checkout of an earlier revision."""
    verdicts: list[bool] = []
    run(_play_all, old, verdicts.append)
    raise SystemExit(0 if all(verdicts) else 1)


if __name__ == "__main__":
    Fire(start)
