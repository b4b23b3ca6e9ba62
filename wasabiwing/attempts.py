"""What one attempt at a model engine sends, and what its failure means."""

from enum import StrEnum

from msgspec.json import decode
from msgspec.json import encode

from wasabiwing.calls import Call
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.ports import EngineStream
from wasabiwing.request_parsing import CHAT_PATH
from wasabiwing.running_request import Interrupt
from wasabiwing.streams import AnswerLog
from wasabiwing.streams import generated_text
from wasabiwing.streams import generated_tokens


class RecomputationCause(StrEnum):
    """Why tokens were computed again."""

    CUT = "cut"
    STALL = "stall"
    RECLAIM = "reclaim"
    CRASH = "crash"
    # A job that ran at a gateway that was lost or gave it back.
    JOB = "job"


# Failures after which the engine may still hold the stream.
RESUMABLE_CODES = (ResultCode.SERVER_CUT, ResultCode.STREAM_INCOMPLETE)

INTERRUPT_CODES = {
    Interrupt.ABANDONED: ResultCode.CALLER_LEFT,
    Interrupt.DEADLINE: ResultCode.DEADLINE_EXCEEDED,
    Interrupt.YIELDED: ResultCode.NODE_LEAVING,
    Interrupt.DUPLICATE: ResultCode.NODE_LEAVING,
}


def recomputation_cause(failure: Failure) -> RecomputationCause:
    """Classifies the failure that ended an attempt."""
    if failure.code is ResultCode.SERVER_TIMEOUT:
        return RecomputationCause.STALL
    if failure.code is ResultCode.CONNECT_FAILED:
        return RecomputationCause.CRASH
    return RecomputationCause.CUT


def interrupt_failure(reason: Interrupt, run: RunState) -> Failure:
    """Returns the failure of a request that was ended from outside."""
    return Failure(INTERRUPT_CODES[reason], "", run)


def is_reply_to_attempt(
    stream: EngineStream, request_id: str, attempt: int
) -> bool:
    """Whether a reply is the one of this attempt.

    Engines that do not name the request in their reply are believed.
    """
    if stream.request_id and stream.request_id != request_id:
        return False
    return stream.attempt in (None, attempt)


def attempt_body(call: Call, answer: AnswerLog) -> bytes:
    """Builds the body of an attempt.

    An answer that has begun is continued: the tokens already sent are given
    as a prefix, and the token limit is lowered by their number. The limit is
    always stated, because the engine's default may differ from ours.
    """
    document = decode(call.body, type=dict[str, object])
    document["stream"] = True
    tokens = generated_tokens(answer.payloads)
    document["max_tokens"] = max(call.max_tokens - tokens, 1)
    if tokens == 0:
        return encode(document)
    prefix = generated_text(answer.payloads)
    if call.path == CHAT_PATH:
        messages = document.get("messages")
        earlier = list(messages) if isinstance(messages, list) else []
        document["messages"] = [
            *earlier,
            {"role": "assistant", "content": prefix},
        ]
        document["continue_final_message"] = True
        document["add_generation_prompt"] = False
    else:
        document["prompt"] = f"{document.get('prompt', '')}{prefix}"
    return encode(document)
