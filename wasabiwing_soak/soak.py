"""Runs a soak: plays the schedule of faults and checks the promises."""

from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from anyio import CancelScope
from anyio import create_task_group
from anyio import current_time
from anyio import sleep
from anyio.abc import TaskGroup
from prometheus_client.parser import text_string_to_metric_families

from wasabiwing.http_client import HttpClient
from wasabiwing.timers import SystemTimer
from wasabiwing_platform_standins.server import ServerFault
from wasabiwing_soak.callers import SoakCallers
from wasabiwing_soak.crashing_parts import check_parts
from wasabiwing_soak.crashing_parts import draw_part_crashes
from wasabiwing_soak.crashing_parts import part_outcomes
from wasabiwing_soak.crashing_parts import PartOutcome
from wasabiwing_soak.crashing_parts import PromptDraw
from wasabiwing_soak.crashing_parts import store_absences
from wasabiwing_soak.cut_nodes import check_cuts
from wasabiwing_soak.cut_nodes import cut_outcomes
from wasabiwing_soak.cut_nodes import CutOutcome
from wasabiwing_soak.cut_nodes import draw_cuts
from wasabiwing_soak.deployment import SoakDeployment
from wasabiwing_soak.deployment import SoakNode
from wasabiwing_soak.fault_player import FaultPlayer
from wasabiwing_soak.fault_player import RECOVERY_POLL_S
from wasabiwing_soak.fault_player import RECOVERY_TIMEOUT_S
from wasabiwing_soak.fault_schedule import draw_schedule
from wasabiwing_soak.fault_schedule import FaultKind
from wasabiwing_soak.fault_schedule import PlannedFault
from wasabiwing_soak.planned_stops import check_stopping_nodes
from wasabiwing_soak.planned_stops import draw_stop_series
from wasabiwing_soak.planned_stops import run_seconds
from wasabiwing_soak.planned_stops import stop_outcomes
from wasabiwing_soak.planned_stops import StopOutcome
from wasabiwing_soak.promises import CallRecord
from wasabiwing_soak.promises import check_answers
from wasabiwing_soak.promises import check_leaving
from wasabiwing_soak.promises import check_pauses
from wasabiwing_soak.promises import check_runs
from wasabiwing_soak.promises import check_stops
from wasabiwing_soak.promises import check_times
from wasabiwing_soak.promises import check_usage
from wasabiwing_soak.promises import check_versions
from wasabiwing_soak.promises import NodeDisturbance
from wasabiwing_soak.promises import Promise
from wasabiwing_soak.promises import RequestArrival
from wasabiwing_soak.promises import SeenVersion
from wasabiwing_soak.promises import ServerStatement
from wasabiwing_soak.promises import unframed_outcome
from wasabiwing_soak.promises import UnframedOutcome
from wasabiwing_soak.promises import Violation
from wasabiwing_soak.server_limits import check_limits
from wasabiwing_soak.server_limits import limit_uses
from wasabiwing_soak.server_limits import LimitUse

# Consecutive requests that a node must serve to count as recovered.
RECOVERY_CALLS = 5

# Callers for each node that mostly keep their connection idle, in a soak of
# planned stops.
IDLE_CALLERS_PER_NODE = 20

# Interval at which versions and processes are checked, in seconds.
WATCH_INTERVAL_S = 0.25

# Tolerance in seconds beyond the caller's time limit, because one machine runs
# all programs of the soak.
ANSWER_TOLERANCE_S = 1.0

# What a server does with a request that it does not fail.
SOUND_RUNS = (ServerFault.NONE, ServerFault.FULL, ServerFault.UNFRAMED)

GENERATION_METRIC = "wasabiwing_configuration_generation"


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Options of a soak; ``seconds`` is the duration of the faults."""

    seed: int
    seconds: float
    nodes: int = 3
    servers: int = 4
    callers: int = 6
    # Whether to check that answers come in time; false on a busy machine.
    check_times: bool = True
    # Checkout of another build, in which each second start of a node runs.
    other_build: str = ""
    # Plays series of planned stops in place of faults of all kinds.
    stops: bool = False
    # Plays parts of prompts that crash servers instead.
    parts: bool = False
    # Plays cuts of nodes from all servers instead.
    cuts: bool = False


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The records and the verdict of a soak."""

    options: SoakOptions
    schedule: tuple[PlannedFault, ...]
    calls: tuple[CallRecord, ...]
    disturbances: tuple[NodeDisturbance, ...]
    violations: tuple[Violation, ...]
    limit_uses: tuple[LimitUse, ...]
    stop_outcomes: tuple[StopOutcome, ...]
    part_outcomes: tuple[PartOutcome, ...]
    unframed_outcome: UnframedOutcome
    cut_outcomes: tuple[CutOutcome, ...]


class Soak:
    """A soak from its start to its result."""

    def __init__(
        self,
        options: SoakOptions,
        folder: Path,
        tasks: TaskGroup,
        resources: ExitStack,
    ) -> None:
        self._options = options
        self._tasks = tasks
        self._timer = SystemTimer()
        self._started_at = self._timer.now()
        self.deployment = SoakDeployment(
            folder,
            self._timer,
            tasks,
            resources,
            Path(options.other_build).resolve()
            if options.other_build
            else None,
            run_seconds if options.stops else None,
            PromptDraw() if options.parts else None,
        )
        self._player = FaultPlayer(self.deployment, self.clock)
        self._callers = SoakCallers(
            options.seed,
            self.clock,
            self.deployment.address_by_node,
            self.deployment.balancer,
            self.deployment.prompts,
        )
        self._versions: list[SeenVersion] = []
        self._violations: list[Violation] = []
        self._ended_incarnation_ids: set[str] = set()

    def clock(self) -> float:
        """Returns seconds from the start of traffic."""
        return self._timer.now() - self._started_at

    async def play(self) -> SoakResult:
        """Plays the whole soak and returns its result."""
        options = self._options
        await self.deployment.start(options.nodes, options.servers)
        self._started_at = self._timer.now()
        schedule = draw_schedule(options.seed, options.seconds)
        if options.stops:
            schedule = draw_stop_series(
                options.seed, options.seconds, options.nodes
            )
            for number in range(IDLE_CALLERS_PER_NODE * options.nodes):
                self._tasks.start_soon(self._callers.run_idle_caller, number)
        elif options.parts:
            schedule = draw_part_crashes(options.seed, options.seconds)
        elif options.cuts:
            schedule = draw_cuts(options.seed, options.seconds)
        for number in range(options.callers):
            self._tasks.start_soon(self._callers.run_caller, number)
        self._tasks.start_soon(self._watch)
        async with create_task_group() as faults:
            for number, fault in enumerate(schedule):
                await sleep(max(fault.at_s - self.clock(), 0.0))
                faults.start_soon(self._player.play, fault)
                if fault.kind is FaultKind.NODES_CUT_OFF:
                    faults.start_soon(
                        self._callers.send_first_tries,
                        number,
                        fault.duration_s,
                    )
        await self._check_recovery()
        self._callers.stop_requested.set()
        await self.deployment.stop()
        return self._result(schedule)

    async def _watch(self) -> None:
        """Records versions and processes that end by themselves."""
        while True:
            for node in self.deployment.nodes:
                process = node.process
                if process.disturbed:
                    continue
                if process.ended():
                    if (
                        process.incarnation_id
                        not in self._ended_incarnation_ids
                    ):
                        self._ended_incarnation_ids.add(process.incarnation_id)
                        self._add_violation(
                            Promise.STAYS_UP, process.incarnation_id
                        )
                    continue
                await self._record_version(node)
            await sleep(WATCH_INTERVAL_S)

    async def _record_version(self, node: SoakNode) -> None:
        incarnation_id = node.process.incarnation_id
        version = await self._version(node)
        if version is None or node.process.incarnation_id != incarnation_id:
            # The process was restarted in the meantime.
            return
        observed = SeenVersion(incarnation_id, self.clock(), version)
        self._versions.append(observed)

    async def _version(self, node: SoakNode) -> int | None:
        """Returns the version in a node's metrics; ``None`` without any."""
        text = await self.deployment.metrics(node)
        for family in text_string_to_metric_families(text):
            if family.name == GENERATION_METRIC:
                return int(family.samples[0].value)
        return None

    async def _check_recovery(self) -> None:
        """Checks that each node serves soon after the last fault."""
        until = self.clock() + RECOVERY_TIMEOUT_S
        waiting = {node.process.name for node in self.deployment.nodes}
        client = HttpClient()
        number = 0
        while waiting and self.clock() < until:
            for name in sorted(waiting):
                number += 1
                served = [
                    await self._is_served(
                        client, name, f"last{number}-{count}"
                    )
                    for count in range(RECOVERY_CALLS)
                ]
                if all(served):
                    waiting.discard(name)
            await sleep(RECOVERY_POLL_S)
        await client.close()
        for name in sorted(waiting):
            self._add_violation(
                Promise.RECOVERY, f"{name} after {RECOVERY_TIMEOUT_S} s"
            )
        await self._check_versions(until)

    async def _check_versions(self, until: float) -> None:
        """Checks that each node has the newest configuration in time."""
        newest = self.deployment.version
        for node in self.deployment.nodes:
            version = await self._version(node)
            while version != newest and self.clock() < until:
                await sleep(RECOVERY_POLL_S)
                version = await self._version(node)
            if version != newest:
                detail = f"{node.process.name}: {version}, not {newest}"
                self._add_violation(Promise.NEWEST, detail)

    async def _is_served(
        self, client: HttpClient, name: str, text: str
    ) -> bool:
        await self._callers.send_request(client, name, "read", f"read {text}")
        return self._callers.records[-1].status == 200

    def _statements_and_arrivals(
        self,
    ) -> tuple[list[ServerStatement], list[RequestArrival]]:
        """Returns the servers' statements and arrivals on the soak's clock."""
        # The server stand-ins run in this process and record times on the
        # event loop's clock.
        offset_s = self.clock() - current_time()
        node_by_host = {
            node.sender_host: node.process.name
            for node in self.deployment.nodes
        }
        statements: list[ServerStatement] = []
        arrivals: list[RequestArrival] = []
        for item in self.deployment.servers:
            server = item.server
            statements += [
                ServerStatement(
                    server.id,
                    statement.incarnation_id,
                    statement.body.decode(),
                    statement.sent_at + offset_s,
                    statement.leaving,
                    statement.pause_s,
                    node_by_host.get(statement.sender, ""),
                )
                for statement in server.sent_statements
            ]
            arrivals += [
                RequestArrival(
                    server.id,
                    request.incarnation_id,
                    request.body.decode(),
                    request.arrived_at + offset_s,
                    request.ended_at + offset_s,
                    request.crashed or request.fault not in SOUND_RUNS,
                    request.crashed,
                    request.fault is ServerFault.UNFRAMED,
                    node_by_host.get(request.sender, ""),
                )
                for request in server.received_requests
            ]
        return statements, arrivals

    def _add_violation(self, promise: Promise, detail: str) -> None:
        self._violations.append(Violation(promise, self.clock(), detail))

    def _result(self, schedule: tuple[PlannedFault, ...]) -> SoakResult:
        disturbances = self._player.disturbances
        runs_by_body: dict[str, int] = {}
        for item in self.deployment.servers:
            for request in item.server.received_requests:
                if request.ran:
                    body = request.body.decode()
                    runs_by_body[body] = runs_by_body.get(body, 0) + 1
        calls = tuple(self._callers.records)
        statements, arrivals = self._statements_and_arrivals()
        violations = [
            *self._violations,
            *check_runs(calls, runs_by_body),
            *check_answers(calls),
            *check_stops(calls, arrivals, disturbances),
            *check_versions(self._versions),
            *check_usage(self.deployment.cloud.usage, self.clock()),
        ]
        violations += check_leaving(calls, statements, arrivals, disturbances)
        violations += check_pauses(
            statements,
            arrivals,
            disturbances,
            self._player.link_faults,
        )
        stops = self._player.stops
        if self._options.stops:
            violations += check_stopping_nodes(
                calls, arrivals, stops, self._options.check_times
            )
        nodes = list(self._callers.address_by_node)
        absences = store_absences(schedule, nodes)
        parts = part_outcomes(
            calls,
            arrivals,
            self._player.part_periods,
            [*disturbances, *absences],
        )
        violations += check_parts(parts)
        first_tries = [
            call for call in calls if call.body in self._callers.first_tries
        ]
        cuts = cut_outcomes(
            first_tries, self._player.cuts, nodes, disturbances, absences
        )
        violations += check_cuts(cuts)
        uses = limit_uses(
            self._player.named_limits,
            arrivals,
            disturbances,
        )
        violations += check_limits(uses)
        if self._options.check_times:
            violations += check_times(calls, disturbances, ANSWER_TOLERANCE_S)
        return SoakResult(
            self._options,
            schedule,
            calls,
            tuple(disturbances),
            tuple(violations),
            tuple(uses),
            stop_outcomes(calls, arrivals, stops)
            if self._options.stops
            else (),
            parts,
            unframed_outcome(calls, arrivals, disturbances),
            cuts,
        )


async def run_soak(options: SoakOptions, folder: Path) -> SoakResult:
    """Plays a soak; settings and logs of the nodes go to the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    with ExitStack() as resources:
        async with create_task_group() as tasks:
            soak = Soak(options, folder, tasks, resources)
            try:
                result = await soak.play()
            finally:
                with CancelScope(shield=True):
                    await soak.deployment.kill()
                tasks.cancel_scope.cancel()
    return result
