"""Decides whether an answer that has ended is a whole answer.

A length or a last chunk proves the end of an answer. An answer with neither
ends with its connection, as does one whose server has crashed.
"""

from enum import StrEnum

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.routed_calls import RawHeaders

# Statuses of answers that never have a body: no content, not modified.
BODYLESS_STATUSES = (204, 304)


class Framing(StrEnum):
    """How an answer states where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # The body lasts until the server closes the connection.
    CONNECTION = "connection"
    # The answer has no body.
    NONE = "none"


def answer_framing(method: str, status: int, headers: RawHeaders) -> Framing:
    """Returns the framing of an answer, by RFC 9112, section 6.3."""
    if method == "HEAD" or status in BODYLESS_STATUSES:
        return Framing.NONE
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION


def end_failure(
    framing: Framing, has_content: bool, is_inside_event: bool = False
) -> Failure | None:
    """Returns why an ended answer is known not to be whole, or ``None``.

    ``has_content`` says whether a success brought an event, or a byte of a
    plain body. Without any, the end of a connection is no answer.
    """
    if is_inside_event:
        return _cut("ended inside an event")
    if framing is Framing.CONNECTION and not has_content:
        return _cut("ended with its connection before any content")
    return None


def _cut(detail: str) -> Failure:
    return Failure(ResultCode.SERVER_CUT, detail, RunState.MAY_HAVE_RUN)
