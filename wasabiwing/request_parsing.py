"""Turns an HTTP request of a caller into a ``Call``.

It authenticates the caller, looks up the route and checks the body. A
request that it refuses has not run.
"""

from dataclasses import replace
from random import Random

from msgspec.json import decode
from result import Err
from result import Ok
from result import Result

from wasabiwing.asgi import HttpRequest
from wasabiwing.calls import Call
from wasabiwing.claim_records import MAX_KEY_CHARACTERS
from wasabiwing.claim_records import partition_of_key
from wasabiwing.claim_records import request_id_with_partition
from wasabiwing.cluster_view import ClusterView
from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import Organisation
from wasabiwing.configuration import Route
from wasabiwing.decoding import parse_whole_number
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.prefix_index import block_digests

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
MODEL_PATHS = (CHAT_PATH, COMPLETION_PATH)

# Average length of a token in English text; only used to estimate work.
BYTES_PER_TOKEN = 4

DEFAULT_MAX_TOKENS = 256

REQUEST_ID_BITS = 64

# Served after all priority classes that a configuration may use.
JOB_PRIORITY_CLASS = 1000


def parse_request(
    request: HttpRequest,
    view: ClusterView,
    node_id: str,
    random: Random,
    now: float,
) -> Result[Call, Failure]:
    """Builds the call of a request that the configuration in force allows."""
    if view.index is None:
        return Err(Failure(ResultCode.CONFIGURATION_MISSING))
    organisation = view.organisation(bearer_token(request))
    if organisation is None:
        return Err(Failure(ResultCode.UNKNOWN_ORGANISATION))
    document: dict[str, object] = {}
    if request.path in MODEL_PATHS:
        parsed = _parse_model_body(request.body)
        if isinstance(parsed, Err):
            return parsed
        document = parsed.ok_value
    route = view.index.route_by_path_and_model.get(
        (request.path, str(document.get("model", "")))
    )
    checked = _check_route(request, route, organisation)
    if isinstance(checked, Err):
        return checked
    return Ok(
        _build_call(
            request,
            view.index,
            organisation,
            checked.ok_value,
            document,
            f"{node_id}-{random.getrandbits(REQUEST_ID_BITS):016x}",
            now,
        )
    )


def _build_call(
    request: HttpRequest,
    index: ConfigurationIndex,
    organisation: Organisation,
    route: Route,
    document: dict[str, object],
    request_id: str,
    now: float,
) -> Call:
    max_tokens = document.get("max_tokens")
    key = request.headers.get("idempotency-key", "")
    if not route.idempotent:
        request_id = request_id_with_partition(
            request_id, partition_of_key(organisation.id, key)
        )
    return Call(
        request_id=request_id,
        organisation=organisation,
        route=route,
        pool=index.pool_by_id[route.pool],
        method=request.method,
        path=request.path,
        body=request.body,
        idempotency_key=key,
        prompt_tokens=len(request.body) // BYTES_PER_TOKEN + 1,
        max_tokens=max_tokens
        if isinstance(max_tokens, int)
        else DEFAULT_MAX_TOKENS,
        received_at=now,
        deadline=now + _deadline_s(request, route),
        streamed=document.get("stream") is True,
        content_type=request.headers.get("content-type", "application/json"),
        prefix_digests=block_digests(_prompt_text(document)),
    )


def build_job_call(
    organisation_id: str,
    route_id: str,
    path: str,
    body: bytes,
    view: ClusterView,
    request_id: str,
    now: float,
) -> Call | None:
    """Returns the call of a deferred job, in the lowest priority class.

    The result is ``None`` if the configuration in force lacks the job's
    organisation or route, or if the body cannot be parsed.
    """
    if view.index is None:
        return None
    configuration = view.index.configuration
    organisation = next(
        (o for o in configuration.organisations if o.id == organisation_id),
        None,
    )
    route = next((r for r in configuration.routes if r.id == route_id), None)
    parsed = _parse_model_body(body)
    if organisation is None or route is None or isinstance(parsed, Err):
        return None
    return _build_call(
        HttpRequest("POST", path, {}, body, {}),
        view.index,
        organisation,
        replace(route, priority_class=JOB_PRIORITY_CLASS),
        parsed.ok_value,
        request_id,
        now,
    )


def _prompt_text(document: dict[str, object]) -> str:
    """Returns the text whose prefix an engine can cache."""
    messages = document.get("messages")
    if not isinstance(messages, list):
        return str(document.get("prompt", ""))
    return "\n".join(
        str(item.get("content", ""))
        for item in messages
        if isinstance(item, dict)
    )


def bearer_token(request: HttpRequest) -> str:
    """Returns the caller's token; empty for none."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _parse_model_body(body: bytes) -> Result[dict[str, object], Failure]:
    try:
        document = decode(body)
    except UNDECODABLE as error:
        return Err(Failure(ResultCode.MALFORMED_REQUEST, str(error)))
    if not isinstance(document, dict):
        return Err(
            Failure(ResultCode.MALFORMED_REQUEST, "the body is no object")
        )
    if "messages" not in document and "prompt" not in document:
        return Err(
            Failure(
                ResultCode.MALFORMED_REQUEST,
                "the body has neither messages nor a prompt",
            )
        )
    return Ok(document)


def _check_route(
    request: HttpRequest, route: Route | None, organisation: Organisation
) -> Result[Route, Failure]:
    if route is None:
        return Err(Failure(ResultCode.UNKNOWN_ROUTE, request.path))
    if route.organisations and organisation.id not in route.organisations:
        return Err(Failure(ResultCode.ORGANISATION_NOT_ALLOWED, route.id))
    if not route.idempotent and not request.headers.get("idempotency-key"):
        return Err(Failure(ResultCode.MISSING_IDEMPOTENCY_KEY, route.id))
    if len(request.headers.get("idempotency-key", "")) > MAX_KEY_CHARACTERS:
        return Err(
            Failure(ResultCode.MALFORMED_REQUEST, "the key is too long")
        )
    return Ok(route)


def _deadline_s(request: HttpRequest, route: Route) -> float:
    """Returns the shorter deadline of route and caller, in seconds."""
    deadline_ms = parse_whole_number(request.headers.get("x-deadline-ms", ""))
    if deadline_ms is not None and 0 < deadline_ms < route.deadline_ms:
        return deadline_ms / 1000
    return route.deadline_ms / 1000
