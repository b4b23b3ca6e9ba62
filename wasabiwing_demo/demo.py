"""The ``wasabiwing-demo`` program: a whole deployment in one process.

The demo applies the Lakeshore configuration on loopback. It sends requests
while an availability zone is drained and returned and a backend server is
reclaimed, and prints the number of requests by outcome.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from random import Random
import sys
from typing import Any

from anyio import create_task_group
from anyio import run
from anyio import sleep
from anyio import sleep_forever
from fire import Fire
from msgspec.json import encode
from msgspec.json import format as format_json
from result import Err

from wasabiwing.cluster_status import ApplyState
from wasabiwing.cluster_status import wait_outcome
from wasabiwing.configuration import AvailabilityZone
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import render_configuration
from wasabiwing.configuration import ZoneState
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.events import open_log
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing.operations import check_document
from wasabiwing.settings import ControlSettings
from wasabiwing.timers import SystemTimer
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_demo.workload import Tally
from wasabiwing_demo.workload import Workload

ENTRY_VM_COUNT = 4

SEED = 1

REQUESTS_PER_PHASE = 120
PHASE_S = 4.0

# Longest time in which requests still reach a zone that was drained.
MAX_DRAIN_S = 3.0

RECLAIM_NOTICE_S = 2.0

IN_FORCE_TIMEOUT_S = 10.0

COLUMNS = (
    "phase",
    "sent",
    "whole",
    "not_run",
    "may_have_run",
    "lost",
    "doubled",
    "false_not_run",
)


class Demo:
    """One run of the demo against a local deployment."""

    def __init__(
        self, deployment: LocalDeployment, configuration: Configuration
    ) -> None:
        self._deployment = deployment
        self._configuration = configuration
        self._store = EtcdStore((deployment.store.url,))
        self._client = HttpClient()
        self._apply_count = 0
        self.tallies: list[Tally] = []
        # Guarantees that did not hold, one line for each.
        self.violations: list[str] = []

    async def start(self) -> None:
        """Applies the configuration and waits for healthy gateways."""
        await self._apply(self._configuration)
        for vm in self._deployment.vms:
            while not await self._is_healthy(vm.url):
                await sleep(0.05)

    async def run_phases(self) -> None:
        """Sends the requests of all phases and collects their tallies."""
        workload = Workload(
            self._client,
            self._deployment.vms[:2],
            self._deployment.ledger,
            Random(SEED),
        )
        await self._run_phase(workload, "steady", None)
        zone = self._configuration.availability_zones[1].id
        await self._run_phase(
            workload, "zone drained", self._drain_action(zone)
        )
        await self._run_phase(workload, "zone returned", self._return_zone)
        await self._run_phase(workload, "server reclaimed", self._reclaim)
        await self._run_phase(workload, "steady again", None)

    async def close(self) -> None:
        """Closes the connections of the demo's own clients."""
        await self._store.close()
        await self._client.close()

    async def _run_phase(
        self,
        workload: Workload,
        name: str,
        action: Callable[[], Coroutine[Any, Any, None]] | None,
    ) -> None:
        async with create_task_group() as tasks:
            if action is not None:
                tasks.start_soon(action)
            tally = await workload.run(name, REQUESTS_PER_PHASE, PHASE_S)
        self.tallies.append(tally)
        for outcome_name in (
            "lost",
            "doubled",
            "false_not_run",
            "may_have_run",
        ):
            count = getattr(tally, outcome_name)
            if count:
                self.violations.append(f"{name}: {count} {outcome_name}")

    def _drain_action(
        self, zone_id: str
    ) -> Callable[[], Coroutine[Any, Any, None]]:
        async def drain() -> None:
            await self._set_zone(zone_id, ZoneState.DRAINED)
            await sleep(MAX_DRAIN_S)
            before = self._requests_in_zone(zone_id)
            await sleep(max(PHASE_S - MAX_DRAIN_S, 0.5))
            after = self._requests_in_zone(zone_id)
            if after != before:
                self.violations.append(
                    f"{after - before} requests reached {zone_id}"
                    f" {MAX_DRAIN_S} s after it was drained"
                )

        return drain

    async def _return_zone(self) -> None:
        await self._apply(self._configuration)

    async def _reclaim(self) -> None:
        engine = self._deployment.engine_by_id["model-1"]
        await self._give_notice("model-1")
        await sleep(RECLAIM_NOTICE_S)
        engine.crash()

    async def _give_notice(self, server_id: str) -> None:
        notice = {
            "remaining_s": RECLAIM_NOTICE_S,
            "server_ids": [server_id],
        }
        reply = await self._client.send(
            "POST",
            f"{self._controller_urls()[0]}/v1/notices",
            body=encode(notice),
        )
        if isinstance(reply, Err):
            self.violations.append(str(reply.err_value))

    async def _set_zone(self, zone_id: str, state: ZoneState) -> None:
        def with_state(zone: AvailabilityZone) -> AvailabilityZone:
            return replace(zone, state=state) if zone.id == zone_id else zone

        zones = tuple(map(with_state, self._configuration.availability_zones))
        await self._apply(
            replace(self._configuration, availability_zones=zones)
        )

    async def _apply(self, configuration: Configuration) -> None:
        self._apply_count += 1
        applied = await apply_configuration(
            self._store, configuration, None, f"demo-{self._apply_count}"
        )
        if isinstance(applied, Err):
            self.violations.append(str(applied.err_value))
            return
        outcome = await wait_outcome(
            self._client,
            SystemTimer(),
            self._controller_urls(),
            configuration,
            applied.ok_value.generation,
            IN_FORCE_TIMEOUT_S,
        )
        if outcome.state is not ApplyState.DONE:
            self.violations.append("; ".join(outcome.lines))

    def _controller_urls(self) -> tuple[str, ...]:
        return tuple(
            f"http://{vm.controller.http}" for vm in self._deployment.vms
        )

    def _requests_in_zone(self, zone_id: str) -> int:
        """Returns how many requests have reached the servers of a zone."""
        request_count = 0
        for pool in self._configuration.pools:
            for server in pool.servers:
                if server.availability_zone != zone_id:
                    continue
                engine = self._deployment.engine_by_id.get(server.id)
                if engine is not None:
                    request_count += len(engine.request_ids)
                else:
                    request_count += self._deployment.desk_by_id[
                        server.id
                    ].served
        return request_count

    async def _is_healthy(self, url: str) -> bool:
        reply = await self._client.send("GET", f"{url}/healthz")
        return reply.is_ok() and reply.unwrap().status == 200


def example_configuration(path: str) -> Configuration:
    """Returns the configuration of a file; exits if it is not valid."""
    checked = check_document(Path(path).read_bytes())
    if isinstance(checked, Err):
        for line in checked.err_value.lines:
            print(line, file=sys.stderr)
        raise SystemExit(2)
    return checked.ok_value


def print_tallies(tallies: list[Tally]) -> None:
    """Prints a table with one row for each phase."""
    print("  ".join(f"{column:>16}" for column in COLUMNS))
    for tally in tallies:
        cells = [str(getattr(tally, column)) for column in COLUMNS]
        print("  ".join(f"{cell:>16}" for cell in cells))


def write_control_settings(
    deployment: LocalDeployment, configuration: Configuration, folder: Path
) -> None:
    """Writes the settings and the configuration for ``wasabictl``."""
    folder.mkdir(parents=True, exist_ok=True)
    settings = ControlSettings(
        (deployment.store.url,),
        tuple(f"http://{vm.controller.http}" for vm in deployment.vms),
        tuple(vm.url for vm in deployment.vms),
    )
    (folder / "wasabictl.json").write_bytes(
        format_json(encode(settings), indent=2)
    )
    (folder / "configuration.json").write_text(
        render_configuration(configuration)
    )


async def _run_demo(path: str, serve: bool, folder: Path) -> int:
    async with create_task_group() as tasks:
        deployment = LocalDeployment(tasks)
        local = await deployment.start_standins(example_configuration(path))
        zones = local.availability_zones
        for number in range(ENTRY_VM_COUNT):
            zone = zones[number % len(zones)]
            await deployment.add_vm(
                f"entry-{number + 1}", zone.id, zone.region
            )
        demo = Demo(deployment, local)
        await demo.start()
        write_control_settings(deployment, local, folder)
        if serve:
            for vm in deployment.vms:
                print(f"{vm.name} in {vm.availability_zone}: {vm.url}")
            print(f"settings for wasabictl: {folder}/wasabictl.json")
            print(f"configuration in force: {folder}/configuration.json")
            await sleep_forever()
        await demo.run_phases()
        await demo.close()
        tasks.cancel_scope.cancel()
    print_tallies(demo.tallies)
    for violation in demo.violations:
        print(f"violated: {violation}")
    if not demo.violations:
        print("nothing was lost, cut or doubled")
    return 1 if demo.violations else 0


def start(
    serve: bool = False,
    configuration: str = "examples/lakeshore/configuration.json",
    output: str = "out/demo",
) -> None:
    """Runs the demo; with ``--serve`` only keeps its deployment running.

    The event log and the settings for ``wasabictl`` go to the output folder.
    """
    folder = Path(output)
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "events.jsonl").open("w") as log:
        open_log(log)
        status = run(
            _run_demo,
            configuration,
            serve,
            folder,
            backend_options={"use_uvloop": True},
        )
    raise SystemExit(status)


def main() -> None:
    """Entry point of ``wasabiwing-demo``."""
    Fire(start)
