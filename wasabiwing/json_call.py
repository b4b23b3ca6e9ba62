"""JSON calls shared by the adapters of the platform's services."""

from typing import Any
from typing import TypeVar

from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.http_client import HttpClient

T = TypeVar("T")

MIN_ERROR_STATUS = 400

ERROR_BODY_BYTES = 200


async def call_json(
    client: HttpClient,
    method: str,
    url: str,
    kind: type[T],
    unavailable: ResultCode,
    code_by_status: dict[int, ResultCode],
    document: Any = None,
    timeout_s: float = 2.0,
) -> Result[T, Failure]:
    """Sends a JSON call and parses the answer.

    ``unavailable`` is the code of failures after which the call may or may
    not have had its effect; ``code_by_status`` gives the codes of definite
    refusals by HTTP status.
    """
    body = b"" if document is None else encode(document)
    reply = await client.send(method, url, None, body, timeout_s)
    if isinstance(reply, Err):
        cause = reply.err_value
        return Err(Failure(unavailable, cause.detail, cause.run_state))
    answer = reply.ok_value
    if answer.status >= MIN_ERROR_STATUS:
        detail = answer.body[:ERROR_BODY_BYTES].decode(errors="replace")
        code = code_by_status.get(answer.status, unavailable)
        return Err(Failure(code, f"status {answer.status} {detail}"))
    try:
        return Ok(decode(answer.body, type=kind))
    except UNDECODABLE as error:
        return Err(Failure(unavailable, str(error)))
