"""Seeded traces of model requests for the two example deployments."""

from dataclasses import dataclass
from random import Random

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"

# The only organisations that the example lets reconcile plans.
SURVEYORS = ("field-north", "field-south", "cartography")


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of model request of a deployment."""

    model: str
    path: str
    # Share of the requests, from 0 to 1.
    share: float
    # Number of different shared prefixes; 0 if prompts share none.
    prefixes: int
    # Bytes of the shared prefix, or of the prompt without one.
    prompt_bytes: int
    max_tokens: int
    # Organisations that may send it; empty for all.
    organisations: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Profile:
    """Request kinds and organisations of a deployment."""

    kinds: tuple[RequestKind, ...]
    share_by_organisation: dict[str, float]
    # The zone that is drained and returned.
    zone: str


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """One request of a trace with its time."""

    # Seconds since the start of the trace.
    at_s: float
    organisation: str
    kind: RequestKind
    prompt: str


PROFILE_BY_NAME = {
    "lakeshore": Profile(
        (
            RequestKind("quote", CHAT_PATH, 0.5, 12, 6_000, 16),
            RequestKind("yard-chat", CHAT_PATH, 0.35, 0, 200, 24),
            RequestKind(
                "pickup-summary", COMPLETION_PATH, 0.15, 0, 12_000, 30
            ),
        ),
        {
            "north-haul": 0.5,
            "bay-landscaping": 0.25,
            "pine-gardens": 0.1,
            "harbor-bags": 0.1,
            "ridge-stone": 0.05,
        },
        "great-lakes-b",
    ),
    "granite-hollow": Profile(
        (
            RequestKind("reconcile", CHAT_PATH, 0.35, 8, 6_000, 20, SURVEYORS),
            RequestKind("archive-lookup", CHAT_PATH, 0.1, 0, 200, 16),
            RequestKind("passage-note", COMPLETION_PATH, 0.35, 0, 12_000, 30),
            RequestKind(
                "legend-check",
                COMPLETION_PATH,
                0.2,
                4,
                4_000,
                10,
                ("cartography",),
            ),
        ),
        {
            "field-north": 0.45,
            "field-south": 0.3,
            "cartography": 0.15,
            "archive-public": 0.05,
            "permits": 0.05,
        },
        "new-england-b",
    ),
}


def make_trace(
    profile: Profile, rate_per_s: float, duration_s: float, seed: int
) -> tuple[ScheduledRequest, ...]:
    """Returns requests of a Poisson process, sorted by time."""
    random = Random(seed)
    shares = profile.share_by_organisation
    requests: list[ScheduledRequest] = []
    at_s = random.expovariate(rate_per_s)
    while at_s < duration_s:
        kind = random.choices(
            profile.kinds, [item.share for item in profile.kinds]
        )[0]
        organisations = kind.organisations or tuple(shares)
        organisation = random.choices(
            organisations, [shares[item] for item in organisations]
        )[0]
        requests.append(
            ScheduledRequest(
                at_s,
                organisation,
                kind,
                _prompt(kind, len(requests), random),
            )
        )
        at_s += random.expovariate(rate_per_s)
    return tuple(requests)


def _prompt(kind: RequestKind, number: int, random: Random) -> str:
    """Returns a prompt that is unique apart from its shared prefix."""
    if kind.prefixes:
        name = f"{kind.model} {random.randrange(kind.prefixes)} "
        return _repeat_to_size(name, kind.prompt_bytes) + f" question {number}"
    return _repeat_to_size(f"{kind.model} item {number} ", kind.prompt_bytes)


def _repeat_to_size(name: str, size: int) -> str:
    return (name * (size // len(name) + 1))[:size]
