"""``wasabiwing-replay`` with ``--local``: a deployment in the same process.

The events of a trace are performed on the deployment, and the verdicts also
use the records of its stand-ins.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from uuid import uuid4

from anyio import create_task_group
from anyio import sleep
from anyio.abc import TaskGroup
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing.replay import run_command_line
from wasabiwing.replay_operator import OperatorEventRunner
from wasabiwing.replay_records import Arrival
from wasabiwing.replay_records import BackendRecords
from wasabiwing.replay_records import ReplayTarget
from wasabiwing.replay_request_builder import CHAT_PATH
from wasabiwing.trace_format import EventAction
from wasabiwing.trace_format import Trace
from wasabiwing.trace_format import TraceEvent
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.engine import answer_text

# Two entry VMs in each of the three zones of the examples, so that entry VMs
# remain when a zone is lost.
ENTRY_VM_COUNT = 6

# Time after which a crashed engine is started again, and the number of
# requests for which a restarted engine is cold.
RESTART_DELAY_S = 2.0
COLD_REQUESTS = 4
WATCH_PERIOD_S = 0.1

# Default values of the programs' settings.
CREDIT_LIFETIME_S = 4.0
LOAD_LAG_S = 1.0

HEALTHY_STATUS = 200
ACCEPTED_STATUS = 202
HEALTH_PERIOD_S = 0.05
HEALTH_ATTEMPTS = 400

# A trace expects a system that is already up. Gateways become healthy before
# homes grant slot credits: a new home waits for two credit lifetimes and a
# load report taken after that.
SETTLE_S = 2 * CREDIT_LIFETIME_S + 2 * LOAD_LAG_S + 2.0

# Most continuations of one completion that the check of answers allows for.
MAX_CONTINUATIONS = 2

EventHandler = Callable[[TraceEvent], Awaitable[Result[None, str]]]


class LocalTarget:
    """A ``ReplayTarget`` over a local deployment."""

    def __init__(
        self,
        tasks: TaskGroup,
        deployment: LocalDeployment,
        configuration: Configuration,
    ) -> None:
        self._tasks = tasks
        self._deployment = deployment
        self._configuration = configuration
        self._operator = OperatorEventRunner(
            (deployment.store.url,), lambda: uuid4().hex
        )
        self._client = HttpClient()
        self._server_by_id: dict[str, BackendServer] = {
            server.id: server
            for pool in configuration.pools
            for server in pool.servers
        }
        # Servers that are down: reclaimed, killed by an event or crashed.
        self._lost_server_ids: set[str] = set()
        self._lost_vm_names: set[str] = set()
        self._last_vm_number = len(deployment.vms)
        self._perform_by_action: dict[EventAction, EventHandler] = {
            EventAction.RECLAIM_SERVER: self._reclaim_server,
            EventAction.RECLAIM_ZONE: self._reclaim_zone,
            EventAction.KILL_SERVER: self._kill_server,
            EventAction.STORE_DOWN: self._store_down,
            EventAction.BAD_VERSION: self._bad_version,
            EventAction.CRASHING_REQUEST: self._crashing_request,
        }

    @property
    def configuration(self) -> Configuration:
        return self._configuration

    @property
    def gateway_urls(self) -> tuple[str, ...]:
        return tuple(vm.url for vm in self._live_vms())

    def token(self, organisation: str) -> str:
        return f"demo-token-{organisation}"

    def is_expected_answer(
        self, path: str, prompt: str, tokens: int, text: str
    ) -> bool | None:
        return is_continued_answer(
            prompt, tokens, text, 0 if path == CHAT_PATH else MAX_CONTINUATIONS
        )

    async def perform(self, event: TraceEvent) -> Result[None, str]:
        perform = self._perform_by_action.get(event.action)
        if perform is None:
            return await self._operator.perform(event)
        return await perform(event)

    def backend_records(self, started_at: float) -> BackendRecords | None:
        engines = self._deployment.engine_by_id
        arrivals_by_id = {
            server_id: server.arrivals_at
            for server_id, server in engines.items()
        }
        for server_id, desk in self._deployment.desk_by_id.items():
            arrivals_by_id[server_id] = desk.arrivals_at
        return BackendRecords(
            runs_by_key=dict(self._deployment.ledger.runs_by_key),
            reached_ids=frozenset(
                request_id
                for engine in engines.values()
                for request_id in engine.request_ids
            ),
            arrivals=tuple(
                Arrival(
                    at - started_at,
                    server_id,
                    self._server_by_id[server_id].availability_zone,
                )
                for server_id, times in arrivals_by_id.items()
                for at in times
            ),
            generated_tokens=sum(
                engine.generated_tokens for engine in engines.values()
            ),
        )

    async def restart_crashed(self) -> None:
        """Restarts crashed engines, as a platform does, until cancelled."""
        engines = self._deployment.engine_by_id
        known_crashes = {engine_id: 0 for engine_id in engines}
        while True:
            for engine_id, engine in engines.items():
                if engine.crashes == known_crashes[engine_id]:
                    continue
                known_crashes[engine_id] = engine.crashes
                if engine_id not in self._lost_server_ids:
                    self._lost_server_ids.add(engine_id)
                    self._tasks.start_soon(
                        self._return_later, (engine_id,), (), RESTART_DELAY_S
                    )
            await sleep(WATCH_PERIOD_S)

    def _live_vms(self) -> list[EntryVm]:
        return [
            vm
            for vm in self._deployment.vms
            if vm.name not in self._lost_vm_names
        ]

    async def _reclaim_server(self, event: TraceEvent) -> Result[None, str]:
        if event.target not in self._server_by_id:
            return Err("unknown server")
        return await self._reclaim(event, (event.target,), (), [])

    async def _reclaim_zone(self, event: TraceEvent) -> Result[None, str]:
        zone_id = event.target
        vms = [
            vm for vm in self._live_vms() if vm.availability_zone == zone_id
        ]
        server_ids = tuple(
            server.id
            for server in self._server_by_id.values()
            if server.availability_zone == zone_id
        )
        if not server_ids and not vms:
            return Err("unknown or empty zone")
        return await self._reclaim(event, server_ids, (zone_id,), vms)

    async def _reclaim(
        self,
        event: TraceEvent,
        server_ids: tuple[str, ...],
        zone_ids: tuple[str, ...],
        vms: list[EntryVm],
    ) -> Result[None, str]:
        """Sends reclaim notices; servers and VMs are lost as they run out."""
        notice: dict[str, object] = {
            "remaining_s": event.notice_s,
            "server_ids": () if zone_ids else server_ids,
            "zone_ids": zone_ids,
        }
        others = [vm for vm in self._live_vms() if vm not in vms]
        if not others:
            return Err("no controller outside the zone takes the notice")
        accepted = await self._notify(others[0], notice)
        for vm in vms:
            own_vm_notice: dict[str, object] = {
                "remaining_s": event.notice_s,
                "own_vm": True,
            }
            accepted = accepted and await self._notify(vm, own_vm_notice)
        self._tasks.start_soon(self._lose_after_notice, event, server_ids, vms)
        return Ok(None) if accepted else Err("a controller refused the notice")

    async def _notify(self, vm: EntryVm, notice: dict[str, object]) -> bool:
        reply = await self._client.send(
            "POST",
            f"http://{vm.controller.http}/v1/notices",
            {"Content-Type": "application/json"},
            encode(notice),
        )
        return (
            isinstance(reply, Ok) and reply.ok_value.status == ACCEPTED_STATUS
        )

    async def _lose_after_notice(
        self,
        event: TraceEvent,
        server_ids: tuple[str, ...],
        vms: list[EntryVm],
    ) -> None:
        await sleep(event.notice_s or 0.0)
        self._lost_server_ids.update(server_ids)
        for server_id in server_ids:
            self._kill(server_id)
        for vm in vms:
            self._lost_vm_names.add(vm.name)
            vm.kill()
        if event.duration_s is not None:
            zones = tuple(vm.availability_zone for vm in vms)
            await self._return_later(server_ids, zones, event.duration_s)

    async def _return_later(
        self,
        server_ids: tuple[str, ...],
        vm_zones: tuple[str, ...],
        after_s: float,
    ) -> None:
        """Starts lost servers, with cold engines, and new entry VMs."""
        await sleep(after_s)
        for server_id in server_ids:
            engine = self._deployment.engine_by_id.get(server_id)
            if engine is not None:
                await engine.start(COLD_REQUESTS)
            else:
                await self._deployment.desk_by_id[server_id].start()
            self._lost_server_ids.discard(server_id)
        region_by_zone = {
            zone.id: zone.region
            for zone in self._configuration.availability_zones
        }
        for zone in vm_zones:
            self._last_vm_number += 1
            name = f"entry-{self._last_vm_number}"
            await self._deployment.add_vm(name, zone, region_by_zone[zone])

    def _kill(self, server_id: str) -> None:
        engine = self._deployment.engine_by_id.get(server_id)
        if engine is not None:
            engine.crash()
        else:
            self._deployment.desk_by_id[server_id].server.kill()

    async def _kill_server(self, event: TraceEvent) -> Result[None, str]:
        if event.target not in self._server_by_id:
            return Err("unknown server")
        self._lost_server_ids.add(event.target)
        self._kill(event.target)
        if event.duration_s is not None:
            self._tasks.start_soon(
                self._return_later, (event.target,), (), event.duration_s
            )
        return Ok(None)

    async def _store_down(self, event: TraceEvent) -> Result[None, str]:
        async def end_outage() -> None:
            await sleep(event.duration_s or 0.0)
            self._deployment.store.down = False

        self._deployment.store.down = True
        self._tasks.start_soon(end_outage)
        return Ok(None)

    async def _bad_version(self, event: TraceEvent) -> Result[None, str]:
        """Makes all engines of a version fail their requests."""
        engines = [
            self._deployment.engine_by_id[server.id]
            for server in self._server_by_id.values()
            if server.version == event.target
            and server.id in self._deployment.engine_by_id
        ]
        for engine in engines:
            engine.faults.fail = True
        return Ok(None) if engines else Err("no engine runs this version")

    async def _crashing_request(self, event: TraceEvent) -> Result[None, str]:
        for engine in self._deployment.engine_by_id.values():
            engine.faults.crash_on_text = event.target
        return Ok(None)


def is_continued_answer(
    prompt: str, tokens: int, text: str, continuations: int
) -> bool:
    """Returns whether an engine stand-in could have answered with a text.

    A completion that was cut is continued, at most ``continuations`` times,
    by a prompt that ends with the tokens so far. The stand-in derives its
    tokens from the whole prompt, so the rest of such an answer is the answer
    to the longer prompt.
    """
    if text == answer_text(prompt, tokens):
        return True
    if continuations == 0:
        return False
    for sent in range(1, tokens):
        begin = answer_text(prompt, sent)
        if not text.startswith(begin):
            return False
        rest = text[len(begin) :]
        if is_continued_answer(
            prompt + begin, tokens - sent, rest, continuations - 1
        ):
            return True
    return False


@asynccontextmanager
async def open_local_target(
    configuration: Configuration, trace: Trace
) -> AsyncIterator[ReplayTarget]:
    """Runs a deployment of a configuration on loopback until the exit."""
    async with create_task_group() as tasks:
        deployment = LocalDeployment(tasks)
        # The defaults of the programs: on one event loop that runs all
        # programs, the short-lived credits of the tests expire before they
        # are renewed.
        deployment.credit_lifetime_s = CREDIT_LIFETIME_S
        deployment.load_lag_s = LOAD_LAG_S
        local = await deployment.start_standins(configuration)
        zones = local.availability_zones
        for number in range(ENTRY_VM_COUNT):
            zone = zones[number % len(zones)]
            await deployment.add_vm(
                f"entry-{number + 1}", zone.id, zone.region
            )
        store = EtcdStore((deployment.store.url,))
        applied = await apply_configuration(
            store, local, None, f"replay {trace.header.name}"
        )
        await store.close()
        if isinstance(applied, Err):
            raise RuntimeError(str(applied.err_value))
        await _wait_healthy(deployment)
        await sleep(SETTLE_S)
        target = LocalTarget(tasks, deployment, local)
        tasks.start_soon(target.restart_crashed)
        yield target
        tasks.cancel_scope.cancel()


async def _wait_healthy(deployment: LocalDeployment) -> None:
    client = HttpClient()
    waiting = [vm.url for vm in deployment.vms]
    for _ in range(HEALTH_ATTEMPTS):
        for url in tuple(waiting):
            reply = await client.send("GET", f"{url}/healthz")
            if (
                isinstance(reply, Ok)
                and reply.ok_value.status == HEALTHY_STATUS
            ):
                waiting.remove(url)
        if not waiting:
            break
        await sleep(HEALTH_PERIOD_S)
    await client.close()
    if waiting:
        raise RuntimeError(f"gateways did not become healthy: {waiting}")


def main() -> None:
    """Entry point of ``wasabiwing-replay``."""
    run_command_line(open_local_target)


if __name__ == "__main__":
    main()
