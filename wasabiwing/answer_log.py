"""The answer to one model request as a log of server-sent events.

The dispatcher appends events; any number of HTTP connections follow the log
from any offset. An answer is complete only after its terminal marker; a log
that ends without it carries a failure.
"""

from collections.abc import AsyncIterator

from anyio import Event
from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.event_splitter import EventSplitter

TERMINAL_PAYLOAD = b"[DONE]"


class EventParser:
    """Splits the bytes of a server-sent event stream into payloads."""

    def __init__(self) -> None:
        self._splitter = EventSplitter()

    @property
    def is_event_too_long(self) -> bool:
        """Whether the incomplete event is too long to wait for its end."""
        return self._splitter.is_event_too_long

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes; returns the payloads of the events they complete."""
        return [
            line[5:].strip()
            for line in self._splitter.feed(data).splitlines()
            if line.startswith(b"data:")
        ]


class AnswerLog:
    """All events of one answer so far."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self._frames: list[bytes] = []
        self._payloads: list[bytes] = []
        self._changed = Event()
        self.failure: Failure | None = None
        self.finished = False
        # Number of the only attempt that may append.
        self.current_attempt = 0
        # Monotonic time of the first event in seconds.
        self.first_event_at: float | None = None

    @property
    def offset(self) -> int:
        """Number of events so far; the id of the last event."""
        return len(self._frames)

    @property
    def payloads(self) -> tuple[bytes, ...]:
        """Data payloads so far, without the terminal marker."""
        return tuple(self._payloads)

    def append(self, payloads: list[bytes], attempt: int) -> bool:
        """Adds events; their ids continue the numbering.

        Returns ``False`` and adds nothing when the attempt is not the
        current one or the answer has ended.
        """
        if attempt != self.current_attempt or self.ended:
            return False
        if not payloads:
            return True
        for payload in payloads:
            number = len(self._frames) + 1
            self._frames.append(b"id: %d\ndata: %b\n\n" % (number, payload))
            self._payloads.append(payload)
        self._notify()
        return True

    def finish(self) -> None:
        """Ends the answer with the terminal marker."""
        number = len(self._frames) + 1
        self._frames.append(
            b"id: %d\ndata: %b\n\n" % (number, TERMINAL_PAYLOAD)
        )
        self.finished = True
        self._notify()

    def fail(self, failure: Failure) -> None:
        """Ends the answer without a terminal marker."""
        self.failure = failure
        self._notify()

    @property
    def ended(self) -> bool:
        """Whether no more events will come."""
        return self.finished or self.failure is not None

    async def wait_started(self) -> None:
        """Waits for the first event or the end of the answer."""
        while not self._frames and not self.ended:
            await self._changed.wait()

    async def wait_ended(self) -> None:
        """Waits for the end of the answer."""
        while not self.ended:
            await self._changed.wait()

    async def follow(self, after: int) -> AsyncIterator[bytes]:
        """Yields encoded events after an offset until the answer ends.

        Events that became available together are yielded as one block. No
        event is delayed to build larger blocks: that saved no CPU time beyond
        measurement noise (``benchmarks/relay.py``).
        """
        position = after
        while True:
            if position < len(self._frames):
                block = b"".join(self._frames[position:])
                position = len(self._frames)
                yield block
            elif self.ended:
                return
            else:
                await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = Event()


def error_event(failure: Failure) -> bytes:
    """Encodes a failure as the last event of a broken stream."""
    return b"event: error\ndata: %b\n\n" % encode(failure_document(failure))


def failure_document(failure: Failure) -> dict[str, object]:
    """Returns the JSON body of every refusal and error."""
    error: dict[str, object] = {
        "code": int(failure.code),
        "type": failure.code.name.lower(),
        "message": str(failure),
        "run": failure.run_state.value,
    }
    if failure.retry_after_s is not None:
        error["retry_after_s"] = failure.retry_after_s
    if failure.status_request_id:
        error["status"] = f"/v1/requests/{failure.status_request_id}"
    return {"error": error}


def generated_text(payloads: tuple[bytes, ...]) -> str:
    """Joins the text of the events of a chat or completion stream."""
    return "".join(_event_text(payload) for payload in payloads)


def generated_tokens(payloads: tuple[bytes, ...]) -> int:
    """Counts the events that carry text; engines send a token in each."""
    return sum(bool(_event_text(payload)) for payload in payloads)


def assemble_answer(log: AnswerLog, path: str) -> Result[bytes, Failure]:
    """Builds the JSON answer to a request that asked for no stream."""
    if not log.finished or not log.payloads:
        return Err(
            log.failure
            or Failure(ResultCode.STREAM_INCOMPLETE, "", RunState.MAY_HAVE_RUN)
        )
    try:
        last = decode(log.payloads[-1], type=dict[str, object])
    except UNDECODABLE as error:
        return Err(Failure(ResultCode.SERVER_ERROR, str(error), RunState.RAN))
    text = generated_text(log.payloads)
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if path.endswith("/chat/completions"):
        choice["message"] = {"role": "assistant", "content": text}
        kind = "chat.completion"
    else:
        choice["text"] = text
        kind = "text_completion"
    return Ok(
        encode(
            {
                "id": log.request_id,
                "object": kind,
                "created": last.get("created", 0),
                "model": last.get("model", ""),
                "choices": [choice],
                "usage": last.get("usage"),
            }
        )
    )


def _event_text(payload: bytes) -> str:
    try:
        event = decode(payload)
    except UNDECODABLE:
        return ""
    for choice in event.get("choices", ()):
        if "delta" in choice:
            return str(choice["delta"].get("content") or "")
        return str(choice.get("text") or "")
    return ""
