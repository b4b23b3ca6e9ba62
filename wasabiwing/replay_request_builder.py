"""Builds HTTP requests from the request lines of a trace."""

from dataclasses import dataclass
from random import Random
from typing import Any

from msgspec.json import encode

from wasabiwing.configuration import PoolKind
from wasabiwing.replay_records import ReplayTarget
from wasabiwing.trace_format import Trace
from wasabiwing.trace_format import TraceRequest

CHAT_PATH = "/v1/chat/completions"

# Time that the caller waits for data beyond the deadline of its request, in
# seconds.
DEADLINE_MARGIN_S = 5.0

PROMPT_WORDS = "gravel stone passage ledger survey plate chamber load".split()


@dataclass(frozen=True, slots=True)
class PreparedRequest:
    """The HTTP request of a trace line, as a caller sends it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    # Text of the prompt; empty for a plain service.
    prompt: str
    timeout_s: float


def build_request(
    request: TraceRequest, trace: Trace, target: ReplayTarget
) -> PreparedRequest:
    """Builds the HTTP request of a line of a trace for a target."""
    configuration = target.configuration
    route = next(
        item for item in configuration.routes if item.id == request.route
    )
    pool = next(item for item in configuration.pools if item.id == route.pool)
    headers = {
        "Authorization": f"Bearer {target.token(request.organisation)}",
        "Content-Type": "application/json",
    }
    if request.key:
        headers["Idempotency-Key"] = request.key
    deadline_ms = route.deadline_ms
    if request.deadline_ms:
        deadline_ms = min(deadline_ms, request.deadline_ms)
        headers["X-Deadline-Ms"] = str(request.deadline_ms)
    wait_s = deadline_ms / 1000 + DEADLINE_MARGIN_S
    if pool.kind is not PoolKind.MODEL:
        method = "POST" if request.body else "GET"
        body = request.body.encode()
        return PreparedRequest(method, route.path, headers, body, "", wait_s)
    prompt = make_prompt(request, trace.header.seed)
    document: dict[str, Any] = {
        "model": route.model,
        "max_tokens": request.max_tokens,
        "stream": request.stream,
    }
    if route.path == CHAT_PATH:
        document["messages"] = [{"role": "user", "content": prompt}]
    else:
        document["prompt"] = prompt
    return PreparedRequest(
        "POST", route.path, headers, encode(document), prompt, wait_s
    )


def make_prompt(request: TraceRequest, seed: int) -> str:
    """Returns the prompt of a request: its text, shared prefix and own words.

    The words depend only on the seed, the prefix's name and the request's id.
    """
    parts = [request.text] if request.text else []
    prefix_random = Random(f"{seed}/{request.prefix}")
    parts += prefix_random.choices(PROMPT_WORDS, k=request.prefix_tokens)
    own_random = Random(f"{seed}/{request.id}")
    parts += own_random.choices(PROMPT_WORDS, k=request.prompt_tokens)
    parts.append(request.id)
    return " ".join(parts)
