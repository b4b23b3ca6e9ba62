"""Collects the gateways' decisions on a request for ``wasabictl explain``."""

from dataclasses import dataclass
from datetime import datetime
from datetime import UTC

from anyio import create_task_group
from msgspec import field
from msgspec import Struct
from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.decoding import UNDECODABLE
from wasabiwing.http_client import HttpClient

# Time in which a gateway has to answer, in seconds.
GATEWAY_TIMEOUT_S = 2.0

HTTP_OK = 200


class DecisionRecord(Struct, frozen=True):
    """Fields that all decision records of a gateway share."""

    # Seconds since the epoch, by the gateway's clock.
    time: float
    node: str
    event: str


class _ExplainReply(Struct, frozen=True):
    """Body of ``GET /v1/explain/{id}``."""

    records: list[dict[str, object]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Explanation:
    """Decisions of all gateways on a request."""

    # One line for each decision, in order of time.
    lines: tuple[str, ...]
    # One line for each gateway without a usable answer, with the reason.
    problems: tuple[str, ...]


async def explain_request(
    client: HttpClient, gateway_urls: tuple[str, ...], request_id: str
) -> Explanation:
    """Asks all gateways at the same time for their decisions on a request."""
    timed_lines: list[tuple[float, str]] = []
    problems: list[str] = []

    async def ask(url: str) -> None:
        answer = await _ask_gateway(client, url, request_id)
        if isinstance(answer, Err):
            problems.append(f"{url}: {answer.err_value}")
        else:
            timed_lines.extend(answer.ok_value)

    async with create_task_group() as tasks:
        for url in gateway_urls:
            tasks.start_soon(ask, url)
    # The sort is stable, so lines of equal time keep their gateway's order.
    timed_lines.sort(key=lambda item: item[0])
    return Explanation(
        tuple(line for _, line in timed_lines), tuple(sorted(problems))
    )


async def _ask_gateway(
    client: HttpClient, url: str, request_id: str
) -> Result[list[tuple[float, str]], str]:
    reply = await client.send(
        "GET", f"{url}/v1/explain/{request_id}", timeout_s=GATEWAY_TIMEOUT_S
    )
    if isinstance(reply, Err):
        return Err(str(reply.err_value))
    if reply.ok_value.status != HTTP_OK:
        return Err(f"HTTP status {reply.ok_value.status}")
    try:
        answer = decode(reply.ok_value.body, type=_ExplainReply)
        return Ok([_timed_line(record) for record in answer.records])
    except UNDECODABLE as error:
        return Err(str(error))


def _timed_line(record: dict[str, object]) -> tuple[float, str]:
    shared = decode(encode(record), type=DecisionRecord)
    time_text = datetime.fromtimestamp(shared.time, UTC).isoformat(
        timespec="milliseconds"
    )
    fields = " ".join(
        f"{name}={encode(value).decode()}"
        for name, value in record.items()
        if name not in ("time", "node", "event", "request")
    )
    return shared.time, f"{time_text} {shared.node} {shared.event} {fields}"
