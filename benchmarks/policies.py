"""Compares the routing policies on one trace for each deployment.

Run with ``python -m benchmarks.policies --deployment lakeshore``. Requests
arrive at the times of the trace, whether or not earlier ones have ended. One
gateway sends them to engine stand-ins over real sockets. One zone is drained
and later returned, with empty caches.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from os import devnull
from time import monotonic

from anyio import create_task_group
from anyio import run
from anyio import sleep
from fire import Fire
from msgspec.json import encode
from result import Err
from result import Ok

from benchmarks.traces import CHAT_PATH
from benchmarks.traces import make_trace
from benchmarks.traces import Profile
from benchmarks.traces import PROFILE_BY_NAME
from benchmarks.traces import ScheduledRequest
from tests.examples import example_configuration
from tests.examples import wait_healthy
from wasabiwing.cluster_view import index_configuration
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import PoolKind
from wasabiwing.configuration import Route
from wasabiwing.configuration import ZoneState
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.events import open_log
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing.routing_scores import server_price
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.engine import EngineTimes

# Engines are slower and have fewer slots than in the examples, so that one
# process can load them to their limits.
TIMES = EngineTimes(prefill_s=0.0001, decode_s=0.015)
SLOTS = 4
CACHE_BLOCKS = 150

DURATION_S = 18.0
DRAINED_AT_S = 5.0
RETURNED_AT_S = 10.0
TIMEOUT_S = 30.0

TERMINAL = b"data: [DONE]"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Latency of one request, as its caller measured it."""

    request: ScheduledRequest
    # ``None`` for a request without a whole answer.
    first_token_s: float | None
    between_tokens_s: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class RunResult:
    """Outcomes of the requests and counters of the engines for one policy."""

    outcomes: tuple[Outcome, ...]
    computed_tokens: int
    peak_in_flight: int
    # Price of the time in which slots were in use.
    cost: float


async def replay(
    configuration: Configuration,
    profile: Profile,
    trace: Sequence[ScheduledRequest],
    policy: RoutingPolicy,
) -> RunResult:
    """Sends the requests of a trace to a new deployment."""
    outcomes: list[Outcome] = []
    async with create_task_group() as tasks:
        deployment = LocalDeployment(tasks, TIMES, CACHE_BLOCKS)
        local = await deployment.start_standins(configuration)
        zone = local.availability_zones[0]
        vm = await deployment.add_vm(
            "entry-1", zone.id, zone.region, routing_policy=policy
        )
        await _apply(deployment, local)
        client = HttpClient(1024)
        await wait_healthy(client, vm)
        async with create_task_group() as callers:
            callers.start_soon(
                _drain_and_return_zone, deployment, local, profile
            )
            started_at = monotonic()
            for request in trace:
                await sleep(max(started_at + request.at_s - monotonic(), 0.0))
                callers.start_soon(_send, client, vm, request, outcomes)
        result = _result(deployment, local, outcomes)
        await client.close()
        tasks.cancel_scope.cancel()
    return result


async def _apply(
    deployment: LocalDeployment, configuration: Configuration
) -> None:
    store = EtcdStore((deployment.store.url,))
    applied = await apply_configuration(store, configuration, None, "bench")
    assert isinstance(applied, Ok)
    await store.close()


async def _drain_and_return_zone(
    deployment: LocalDeployment, local: Configuration, profile: Profile
) -> None:
    await sleep(DRAINED_AT_S)
    zones = tuple(
        replace(zone, state=ZoneState.DRAINED)
        if zone.id == profile.zone
        else zone
        for zone in local.availability_zones
    )
    await _apply(deployment, replace(local, availability_zones=zones))
    await sleep(RETURNED_AT_S - DRAINED_AT_S)
    for pool in local.pools:
        for server in pool.servers:
            if server.availability_zone == profile.zone:
                engine = deployment.engine_by_id.get(server.id)
                if engine is not None:
                    engine.lose_cache()
    await _apply(deployment, local)


async def _send(
    client: HttpClient,
    vm: EntryVm,
    request: ScheduledRequest,
    outcomes: list[Outcome],
) -> None:
    started_at = monotonic()
    times: list[float] = []
    whole = False
    async with client.stream(
        "POST",
        vm.url + request.kind.path,
        {"Authorization": f"Bearer demo-token-{request.organisation}"},
        encode(_document(request)),
        TIMEOUT_S,
    ) as opened:
        if isinstance(opened, Ok) and opened.ok_value.status == 200:
            async for chunk in opened.ok_value.chunks():
                if isinstance(chunk, Err):
                    break
                whole = whole or TERMINAL in chunk.ok_value
                times.append(monotonic())
    if not whole or not times:
        outcomes.append(Outcome(request, None))
        return
    gaps = tuple(
        later - earlier
        for earlier, later in zip(times, times[1:], strict=False)
    )
    outcomes.append(Outcome(request, times[0] - started_at, gaps))


def _document(request: ScheduledRequest) -> dict[str, object]:
    document: dict[str, object] = {
        "model": request.kind.model,
        "max_tokens": request.kind.max_tokens,
        "stream": True,
    }
    if request.kind.path == CHAT_PATH:
        message = {"role": "user", "content": request.prompt}
        document["messages"] = [message]
    else:
        document["prompt"] = request.prompt
    return document


def _result(
    deployment: LocalDeployment,
    local: Configuration,
    outcomes: list[Outcome],
) -> RunResult:
    engines = deployment.engine_by_id
    index = index_configuration(1, local)
    cost = sum(
        engines[server.id].busy_s
        / server.max_slots
        / 3600
        * server_price(
            index, pool, server.machine_class, server.availability_zone
        )
        for pool in local.pools
        for server in pool.servers
        if server.id in engines
    )
    return RunResult(
        tuple(outcomes),
        sum(engine.computed_prompt_tokens for engine in engines.values()),
        max(engine.peak_in_flight for engine in engines.values()),
        cost,
    )


def _is_in_target(outcome: Outcome, route: Route) -> bool:
    if outcome.first_token_s is None:
        return False
    gap_s = _percentile(outcome.between_tokens_s)
    return (
        outcome.first_token_s * 1000 <= route.first_token_target_ms
        and gap_s * 1000 <= route.between_tokens_target_ms
    )


def _percentile(values: Sequence[float]) -> float:
    """Returns the 95th percentile; 0 without values."""
    return sorted(values)[len(values) * 95 // 100] if values else 0.0


def _share(flags: Sequence[bool]) -> float:
    return sum(flags) / len(flags) if flags else 0.0


def _row(
    policy: RoutingPolicy, result: RunResult, configuration: Configuration
) -> str:
    route_by_model = {route.model: route for route in configuration.routes}
    by_class: dict[int, list[bool]] = defaultdict(list)
    by_organisation: dict[str, list[bool]] = defaultdict(list)
    for outcome in result.outcomes:
        route = route_by_model[outcome.request.kind.model]
        within = _is_in_target(outcome, route)
        by_class[route.priority_class].append(within)
        by_organisation[outcome.request.organisation].append(within)
    first = [
        outcome.first_token_s
        for outcome in result.outcomes
        if outcome.first_token_s is not None
    ]
    gaps = [
        gap for outcome in result.outcomes for gap in outcome.between_tokens_s
    ]
    within_count = sum(sum(flags) for flags in by_class.values())
    classes = " / ".join(
        f"{_share(by_class[number]):.1%}" for number in sorted(by_class)
    )
    worst = min(_share(flags) for flags in by_organisation.values())
    return (
        f"| {policy.value} | {classes} | {_percentile(first) * 1000:.0f}"
        f" | {_percentile(gaps) * 1000:.0f} | {result.computed_tokens}"
        f" | {result.cost / max(within_count, 1) * 1000:.4f}"
        f" | {result.peak_in_flight} | {worst:.1%}"
        f" | {len(result.outcomes) - len(first)} |"
    )


def measure(
    deployment: str = "lakeshore",
    rate_per_s: float = 18.0,
    duration_s: float = DURATION_S,
    seed: int = 1,
) -> None:
    """Prints a table with one row for each policy."""
    configuration = example_configuration(deployment)
    pools = tuple(
        replace(
            pool,
            servers=tuple(
                replace(server, max_slots=SLOTS) for server in pool.servers
            ),
        )
        if pool.kind is PoolKind.MODEL
        else pool
        for pool in configuration.pools
    )
    configuration = replace(configuration, pools=pools)
    profile = PROFILE_BY_NAME[deployment]
    trace = make_trace(profile, rate_per_s, duration_s, seed)
    print(f"{deployment}, {len(trace)} requests, seed {seed}")
    print(
        "| policy | in target, by class | first token p95, ms"
        " | between tokens p95, ms | computed prompt tokens"
        " | price per 1,000 in target | peak in flight"
        " | worst organisation in target | not answered |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    with open(devnull, "w") as sink:
        open_log(sink)
        for policy in RoutingPolicy:
            result = run(replay, configuration, profile, trace, policy)
            print(_row(policy, result, configuration), flush=True)


if __name__ == "__main__":
    Fire(measure)
