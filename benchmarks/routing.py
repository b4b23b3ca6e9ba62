"""CPU time of one routing decision with many workers known.

Run with ``python -m benchmarks.routing``. Prints the median and the 95th
percentile of the decision with and without its log line, for each policy.
"""

from collections.abc import Callable
from dataclasses import replace
from io import StringIO
from random import Random
from time import process_time_ns

from fire import Fire
from result import Ok

from tests.open_credits import OpenCredits
from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import Call
from wasabiwing.cluster_view import ClusterView
from wasabiwing.configuration import AvailabilityZone
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import MachineClass
from wasabiwing.configuration import Organisation
from wasabiwing.configuration import Pool
from wasabiwing.configuration import PoolKind
from wasabiwing.configuration import Route
from wasabiwing.configuration import Version
from wasabiwing.decisions import DecisionLog
from wasabiwing.events import Event
from wasabiwing.events import open_log
from wasabiwing.prefix_index import block_digests
from wasabiwing.routing import Router
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing.server_records import LoadReport
from wasabiwing.timers import SystemTimer

ZONES = 12
REGIONS = 5
PROMPT_BYTES = 8_000
PREFIXES = 200


class SilentDecisionLog(DecisionLog):
    """A decision log that drops its records, for decisions without a line."""

    def write(self, event: Event, request_id: str, **fields: object) -> None:
        pass


def large_configuration(workers: int) -> Configuration:
    """Returns a configuration with one pool that has a number of workers."""
    zones = tuple(f"zone-{number}" for number in range(ZONES))
    servers = tuple(
        BackendServer(
            f"worker-{number}",
            f"10.0.{number // 250}.{number % 250}:9000",
            zones[number % ZONES],
            "r1",
            "accelerator",
        )
        for number in range(workers)
    )
    prices = {zone: 1.0 + number / 10 for number, zone in enumerate(zones)}
    return Configuration(
        "large",
        tuple(
            AvailabilityZone(zone, f"region-{number % REGIONS}")
            for number, zone in enumerate(zones)
        ),
        (Organisation("office", "0" * 64),),
        (Pool("model", PoolKind.MODEL, (Version("r1"),), servers),),
        (Route("chat", "/v1/completions", "model", "m"),),
        (MachineClass("accelerator", prices, prices, 4),),
    )


def decide_ns(
    workers: int,
    decisions: int,
    policy: RoutingPolicy,
    make_log: Callable[[str, SystemTimer], DecisionLog],
) -> list[int]:
    """Returns the CPU times of routing decisions in ns, sorted."""
    configuration = large_configuration(workers)
    view = ClusterView()
    view.put_in_force(1, configuration)
    timer = SystemTimer()
    credits = OpenCredits(timer, view)
    random = Random(1)
    router = Router(
        "gateway-1",
        "zone-0",
        view,
        credits,
        timer,
        random,
        make_log("gateway-1", timer),
        policy,
    )
    for server in configuration.pools[0].servers:
        router.records.note_report(
            server.id, LoadReport(1, random.randrange(16))
        )
    calls = [_call(configuration, number) for number in range(PREFIXES)]
    # Fills the prefix index and the caches of the configuration.
    for call in calls:
        _decide(router, credits, call)
    times: list[int] = []
    for number in range(decisions):
        call = replace(
            calls[random.randrange(PREFIXES)], request_id=f"{number}"
        )
        times.append(_decide(router, credits, call))
    return sorted(times)


def _decide(router: Router, credits: OpenCredits, call: Call) -> int:
    started_ns = process_time_ns()
    chosen = router.choose_server(call, 1, frozenset())
    elapsed_ns = process_time_ns() - started_ns
    assert isinstance(chosen, Ok)
    credits.release_slot(chosen.ok_value.server.id)
    router.records.note_ended(
        chosen.ok_value, AttemptOutcome(None, 0.05, 0.2, 20)
    )
    return elapsed_ns


def _call(configuration: Configuration, number: int) -> Call:
    text = f"site {number} ".ljust(PROMPT_BYTES, "x")
    return Call(
        request_id=f"request-{number}",
        organisation=configuration.organisations[0],
        route=configuration.routes[0],
        pool=configuration.pools[0],
        method="POST",
        path="/v1/completions",
        body=b"",
        idempotency_key="",
        prompt_tokens=PROMPT_BYTES // 4,
        max_tokens=100,
        received_at=0.0,
        deadline=1e9,
        prefix_digests=block_digests(text),
    )


def measure(workers: int = 7_700, decisions: int = 5_000) -> None:
    """Prints a table of CPU times of decisions in microseconds."""
    open_log(StringIO())
    print(f"{workers} workers, {decisions} decisions, CPU time in us")
    print("| policy | log line | median | 95th percentile |")
    print("|---|---|---|---|")
    for policy in RoutingPolicy:
        for shown, make_log in (
            ("no", SilentDecisionLog),
            ("yes", DecisionLog),
        ):
            times = decide_ns(workers, decisions, policy, make_log)
            median = times[len(times) // 2] / 1000
            high = times[len(times) * 95 // 100] / 1000
            print(f"| {policy.value} | {shown} | {median:.0f} | {high:.0f} |")


if __name__ == "__main__":
    Fire(measure)
