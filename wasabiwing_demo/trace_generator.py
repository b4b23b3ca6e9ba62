"""Generator of the traces and expected outcomes in ``traces/``.

``python -m wasabiwing_demo.trace_generator traces`` writes all files. The same
seed gives the same bytes. The outcomes are the guarantees and bounds of
``docs/design.md``.
"""

from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path
from random import Random

from fire import Fire
from msgspec import to_builtins
from msgspec.json import encode
from msgspec.json import format as format_json

from wasabiwing.trace_format import EventAction
from wasabiwing.trace_format import FORMAT_VERSION
from wasabiwing.trace_format import TraceEvent
from wasabiwing.trace_format import TraceRequest
from wasabiwing.trace_outcomes import LatencyMeasure
from wasabiwing.trace_outcomes import LatencyShare
from wasabiwing.trace_outcomes import Outcomes

SEED = 20260
DURATION_S = 45.0

# Mean rate of requests; one process that runs all programs can serve it.
RATE_PER_S = 8.0

CRASHING_TEXT = "corrupt-survey-tile"

# Share of requests with an idempotency key that are sent a second time.
REPEAT_SHARE = 0.2
REPEAT_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request to an example deployment."""

    route: str
    priority_class: int
    share: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    # Number of different shared prefixes, and tokens of each.
    prefixes: int = 0
    prefix_tokens: int = 0
    stream: bool = False
    # Whether requests have an idempotency key and a body.
    has_key: bool = False
    # Organisations that may send it; empty for all.
    organisations: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ExampleDeployment:
    """Traffic, and targets of faults, of one example deployment."""

    name: str
    kinds: tuple[RequestKind, ...]
    share_by_organisation: dict[str, float]
    reclaimed_zone: str
    drained_zone: str
    # Route and organisation of the requests that crash engines.
    crash_route: str
    crash_organisation: str


EXAMPLE_DEPLOYMENTS = (
    ExampleDeployment(
        "lakeshore",
        (
            RequestKind("quote", 0, 0.4, 20, 16, 12, 400, stream=True),
            RequestKind("yard-chat", 1, 0.25, 40, 24, stream=True),
            RequestKind("pickup-summary", 3, 0.1, 800, 30),
            RequestKind("book-drop", 0, 0.1, has_key=True),
            RequestKind("charge-card", 0, 0.05, has_key=True),
            RequestKind("order-status", 0, 0.1),
        ),
        {
            "north-haul": 0.5,
            "bay-landscaping": 0.25,
            "pine-gardens": 0.1,
            "harbor-bags": 0.1,
            "ridge-stone": 0.05,
        },
        "great-lakes-b",
        "great-lakes-c",
        "yard-chat",
        "ridge-stone",
    ),
    ExampleDeployment(
        "granite-hollow",
        (
            RequestKind(
                "reconcile",
                0,
                0.35,
                20,
                20,
                8,
                400,
                True,
                organisations=("field-north", "field-south", "cartography"),
            ),
            RequestKind("archive-lookup", 1, 0.2, 40, 16, stream=True),
            RequestKind("passage-note", 2, 0.15, 800, 30),
            RequestKind(
                "legend-check",
                2,
                0.1,
                20,
                10,
                4,
                300,
                organisations=("cartography",),
            ),
            RequestKind("file-plate", 0, 0.1, has_key=True),
            RequestKind("plate-status", 0, 0.1),
        ),
        {
            "field-north": 0.45,
            "field-south": 0.3,
            "cartography": 0.15,
            "archive-public": 0.05,
            "permits": 0.05,
        },
        "new-england-b",
        "new-england-c",
        "archive-lookup",
        "permits",
    ),
)


def make_requests(
    example: ExampleDeployment, random: Random
) -> list[TraceRequest]:
    """Returns requests of a Poisson process, sorted by time."""
    requests: list[TraceRequest] = []
    at_s = random.expovariate(RATE_PER_S)
    while at_s < DURATION_S:
        kind = random.choices(
            example.kinds, [item.share for item in example.kinds]
        )[0]
        request = _request(example, kind, at_s, len(requests), random)
        requests.append(request)
        if kind.has_key and random.random() < REPEAT_SHARE:
            repeated_at_s = round(request.at_s + REPEAT_DELAY_S, 3)
            requests.append(
                replace(request, id=f"{request.id}-again", at_s=repeated_at_s)
            )
        at_s += random.expovariate(RATE_PER_S)
    return sorted(requests, key=lambda item: item.at_s)


def _request(
    example: ExampleDeployment,
    kind: RequestKind,
    at_s: float,
    number: int,
    random: Random,
) -> TraceRequest:
    shares = example.share_by_organisation
    allowed = kind.organisations or tuple(shares)
    organisation = random.choices(allowed, [shares[item] for item in allowed])
    prefix = ""
    if kind.prefixes:
        prefix = f"{kind.route}-{random.randrange(kind.prefixes)}"
    return TraceRequest(
        "request",
        f"r{number}",
        round(at_s, 3),
        organisation[0],
        kind.route,
        kind.priority_class,
        prefix=prefix,
        prefix_tokens=kind.prefix_tokens,
        prompt_tokens=kind.prompt_tokens,
        max_tokens=kind.max_tokens,
        body=f'{{"number": {number}}}' if kind.has_key else "",
        key=f"key-{number}" if kind.has_key else "",
        stream=kind.stream,
    )


def make_faults(
    example: ExampleDeployment,
) -> tuple[list[TraceEvent], list[TraceRequest]]:
    """Returns the events of the trace with faults and its crashing requests.

    The store is down while one zone is drained and another one is reclaimed.
    """
    events = [
        TraceEvent("event", 0, EventAction.CRASHING_REQUEST, CRASHING_TEXT),
        TraceEvent("event", 8, EventAction.DRAIN_ZONE, example.drained_zone),
        TraceEvent("event", 16, EventAction.STORE_DOWN, duration_s=12),
        TraceEvent(
            "event",
            18,
            EventAction.RECLAIM_ZONE,
            example.reclaimed_zone,
            5,
            10,
        ),
        TraceEvent("event", 30, EventAction.RETURN_ZONE, example.drained_zone),
    ]
    kind = next(
        item for item in example.kinds if item.route == example.crash_route
    )
    crashing = [
        TraceRequest(
            "request",
            f"crash-{number}",
            at_s,
            example.crash_organisation,
            kind.route,
            kind.priority_class,
            text=CRASHING_TEXT,
            max_tokens=kind.max_tokens,
            stream=True,
        )
        for number, at_s in enumerate((11.0, 20.0, 36.0))
    ]
    return events, crashing


def make_outcomes(trace: str, with_faults: bool) -> Outcomes:
    """Returns the expected outcomes of one trace.

    In the trace with faults, requests on a server that a crashing request
    ends may exhaust the retry budget, which gives code 208. The share of
    tokens that are generated again stays within the retry budget of 0.1 of
    the example configurations.
    """
    return Outcomes(
        trace=trace,
        latency=tuple(
            LatencyShare(number, measure, within_ms, 0.95)
            for number in (0, 1)
            for measure, within_ms in (
                (LatencyMeasure.FIRST_TOKEN, 420.0),
                (LatencyMeasure.BETWEEN_TOKENS, 67.0),
            )
        ),
        max_doubled_runs=0,
        max_lost_or_cut=0,
        max_failed_accepted=0,
        excused_codes=(208,) if with_faults else (),
        max_false_not_run=0,
        max_generated_per_delivered=1.1,
        drain_silence_s=3.0 if with_faults else None,
    )


def write_all(folder: str = "traces") -> None:
    """Writes two traces and their outcomes for each example deployment."""
    for example in EXAMPLE_DEPLOYMENTS:
        for with_faults in (False, True):
            name = f"{example.name}-{'bad' if with_faults else 'ordinary'}"
            random = Random(f"{SEED}/{name}")
            requests = make_requests(example, random)
            events: list[TraceEvent] = []
            if with_faults:
                events, crashing = make_faults(example)
                requests += crashing
            lines: list[TraceRequest | TraceEvent] = [*requests, *events]
            lines.sort(key=lambda item: item.at_s)
            header = {
                "kind": "header",
                "format": FORMAT_VERSION,
                "name": name,
                "seed": SEED,
            }
            documents = [header, *(_compact(item) for item in lines)]
            text = b"".join(encode(item) + b"\n" for item in documents)
            Path(folder, f"{name}.jsonl").write_bytes(text)
            outcomes = format_json(encode(make_outcomes(name, with_faults)))
            Path(folder, f"{name}.outcomes.json").write_bytes(outcomes + b"\n")


def _compact(line: TraceRequest | TraceEvent) -> dict[str, object]:
    """Returns the fields of a line without those that have their default."""
    return {
        key: value
        for key, value in to_builtins(line).items()
        if key in ("at_s", "priority_class") or value not in ("", 0, None)
    }


if __name__ == "__main__":
    Fire(write_all)
