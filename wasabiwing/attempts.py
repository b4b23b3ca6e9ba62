"""Request bodies of attempts at model engines, and causes of their failure."""

from enum import StrEnum

from msgspec.json import decode
from msgspec.json import encode

from wasabiwing.answer_log import AnswerLog
from wasabiwing.answer_log import generated_text
from wasabiwing.answer_log import generated_tokens
from wasabiwing.calls import Call
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.ports import EngineStream
from wasabiwing.request_parsing import CHAT_PATH
from wasabiwing.running_request import Interrupt


class RecomputationCause(StrEnum):
    """Cause for which tokens of an answer were computed again."""

    CUT = "cut"
    STALL = "stall"
    RECLAIM = "reclaim"
    CRASH = "crash"
    # The job's earlier run was at a gateway that was lost or released the job.
    JOB = "job"


# Failure codes after which the engine may still hold the stream.
RESUMABLE_CODES = (ResultCode.SERVER_CUT, ResultCode.STREAM_INCOMPLETE)

# Result codes of requests that were interrupted.
INTERRUPT_CODES = {
    Interrupt.ABANDONED: ResultCode.CALLER_LEFT,
    Interrupt.DEADLINE: ResultCode.DEADLINE_EXCEEDED,
    Interrupt.YIELDED: ResultCode.NODE_LEAVING,
    Interrupt.DUPLICATE: ResultCode.NODE_LEAVING,
}


def recomputation_cause(failure: Failure) -> RecomputationCause:
    """Returns the cause of recomputation for the failure of an attempt."""
    if failure.code is ResultCode.SERVER_TIMEOUT:
        return RecomputationCause.STALL
    if failure.code is ResultCode.CONNECT_FAILED:
        return RecomputationCause.CRASH
    return RecomputationCause.CUT


def interrupt_failure(reason: Interrupt, run: RunState) -> Failure:
    """Returns the failure of a request that was interrupted."""
    return Failure(INTERRUPT_CODES[reason], "", run)


def is_reply_to_attempt(
    stream: EngineStream, request_id: str, attempt: int
) -> bool:
    """Whether an engine's reply belongs to an attempt at a request.

    Some engines do not name the request or the attempt in their reply; a
    missing id is not compared.
    """
    if stream.request_id and stream.request_id != request_id:
        return False
    return stream.attempt in (None, attempt)


def attempt_body(call: Call, answer: AnswerLog) -> bytes:
    """Builds the request body of an attempt at a model engine.

    An answer that has begun is continued: the body gives the tokens already
    received as a prefix and lowers the token limit by their number. The body
    always states the limit, because the engine's default may differ from the
    gateway's.
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
