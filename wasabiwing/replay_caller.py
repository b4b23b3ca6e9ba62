"""Sends the requests of a replay, as a caller does.

If a connection cannot be opened, another gateway is tried. A stream that was
cut is resumed by its request id. Other requests with an idempotency key are
repeated with the same key.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import field

from msgspec.json import decode
from result import Err
from result import Ok

from wasabiwing.answer_log import generated_text
from wasabiwing.answer_log import generated_tokens
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import parse_whole_number
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.http_client import HttpClient
from wasabiwing.http_client import HttpStream
from wasabiwing.replay_balancer import LoadBalancer
from wasabiwing.replay_records import Ending
from wasabiwing.replay_records import ReplayedRequest
from wasabiwing.replay_records import ReplayTarget
from wasabiwing.replay_request_builder import build_request
from wasabiwing.replay_request_builder import PreparedRequest
from wasabiwing.timers import TimerService
from wasabiwing.trace_format import Trace
from wasabiwing.trace_format import TraceRequest

# Time in which a caller tries to resume a stream or to repeat a request with
# an idempotency key, in seconds. A peer takes over the requests of a lost
# gateway after 1 s; if that peer is lost too, another does after 3 s.
RESUME_WINDOW_S = 10.0
RESUME_RETRY_DELAY_S = 0.3
CONNECT_ATTEMPTS = 4

STATUS_ACCEPTED = 202
MIN_ERROR_STATUS = 400
TERMINAL_MARKER = b"[DONE]"


@dataclass(slots=True)
class _Progress:
    """What a caller has received of one answer."""

    request_id: str = ""
    status: int = 0
    code: int = 0
    detail: str = ""
    ending: Ending | None = None
    last_event_number: int = 0
    payloads: list[bytes] = field(default_factory=list)
    text: str = ""
    first_at: float | None = None
    last_at: float | None = None
    resumed: int = 0


class ReplayCaller:
    """Sends the requests of a trace and records their answers."""

    def __init__(
        self,
        trace: Trace,
        target: ReplayTarget,
        client: HttpClient,
        balancer: LoadBalancer,
        timer: TimerService,
    ) -> None:
        self._trace = trace
        self._target = target
        self._client = client
        self._balancer = balancer
        self._timer = timer

    async def send(
        self, request: TraceRequest, started_at: float
    ) -> ReplayedRequest:
        """Sends a request and returns its record."""
        prepared = build_request(request, self._trace, self._target)
        progress = _Progress()
        sent_at = self._timer.now()
        url = await self._send_first(prepared, progress)
        if progress.ending is None:
            await self._resume_or_repeat(request, prepared, progress, url)
        ended_at = self._timer.now()
        return self._record(
            request, prepared, progress, started_at, sent_at, ended_at
        )

    async def _send_first(
        self, prepared: PreparedRequest, progress: _Progress
    ) -> str:
        """Sends a request and returns the URL of the gateway that got it.

        Another gateway is tried if the request has certainly not run.
        """
        url = self._balancer.pick()
        for _ in range(CONNECT_ATTEMPTS):
            failure = await self._send_once(
                prepared.method,
                url + prepared.path,
                prepared.headers,
                prepared.body,
                prepared.timeout_s,
                progress,
            )
            if failure is None or failure.run_state is not RunState.NOT_RUN:
                return url
            url = self._balancer.pick(url)
        progress.ending = Ending.REFUSED
        return url

    async def _resume_or_repeat(
        self,
        request: TraceRequest,
        prepared: PreparedRequest,
        progress: _Progress,
        url: str,
    ) -> None:
        """Resumes a stream that was cut, or repeats a keyed request."""
        is_resumable = request.stream and bool(progress.request_id)
        deadline = self._timer.now() + RESUME_WINDOW_S
        while progress.ending is None and self._timer.now() < deadline:
            if not is_resumable and not request.key:
                break
            await self._timer.sleep(RESUME_RETRY_DELAY_S)
            url = self._balancer.pick(url)
            progress.resumed += 1
            if is_resumable:
                headers = {
                    "Authorization": prepared.headers["Authorization"],
                    "Last-Event-ID": str(progress.last_event_number),
                }
                path = f"/v1/requests/{progress.request_id}"
                await self._send_once(
                    "GET",
                    url + path,
                    headers,
                    b"",
                    prepared.timeout_s,
                    progress,
                )
                if progress.code == ResultCode.UNKNOWN_REQUEST:
                    # The peer may not have taken over yet.
                    progress.ending = None
            else:
                await self._send_once(
                    prepared.method,
                    url + prepared.path,
                    prepared.headers,
                    prepared.body,
                    prepared.timeout_s,
                    progress,
                )
                if progress.ending is Ending.REFUSED:
                    # Only the repetition was refused; the first attempt may
                    # have run.
                    progress.ending = None
        if progress.ending is None:
            progress.ending = Ending.CUT

    async def _send_once(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
        wait_s: float,
        progress: _Progress,
    ) -> Failure | None:
        """Sends one HTTP request; returns the failure of its connection."""
        async with self._client.stream(
            method, url, headers, body, wait_s
        ) as opened:
            if isinstance(opened, Err):
                failure = opened.err_value
                progress.code = int(failure.code)
                progress.detail = f"{url}: {failure.detail}"
                return failure
            answer = opened.ok_value
            progress.status = answer.status
            found = answer.header(b"x-request-id")
            if found and not progress.request_id:
                progress.request_id = found.decode("latin-1")
            content_type = answer.header(b"content-type") or b""
            if content_type.startswith(b"text/event-stream"):
                return await self._read_events(answer, progress)
            return await self._read_whole(answer, progress)

    async def _read_whole(
        self, answer: HttpStream, progress: _Progress
    ) -> Failure | None:
        read = await answer.read()
        if isinstance(read, Err):
            progress.code = int(read.err_value.code)
            progress.detail = read.err_value.detail
            return read.err_value
        if answer.status >= MIN_ERROR_STATUS:
            _note_error(read.ok_value, progress)
            return None
        progress.ending = Ending.COMPLETE
        if answer.status == STATUS_ACCEPTED:
            progress.ending = Ending.DEFERRED
        progress.code = 0
        progress.detail = ""
        progress.text = _unstreamed_text(read.ok_value)
        return None

    async def _read_events(
        self, answer: HttpStream, progress: _Progress
    ) -> Failure | None:
        """Reads events until the terminal marker, an error or a cut."""
        failure: Failure | None = None
        async for chunk in _split_events(answer):
            # The rest of the body is read and ignored, so that the connection
            # stays usable and the reader ends.
            if progress.ending is not None:
                continue
            if isinstance(chunk, Err):
                failure = chunk.err_value
                progress.code = int(failure.code)
                progress.detail = failure.detail
                continue
            self._note_event(chunk.ok_value, progress)
        if progress.ending is None and failure is None:
            progress.detail = f"ended after event {progress.last_event_number}"
        return failure

    def _note_event(self, block: bytes, progress: _Progress) -> None:
        name, number, data = _parse_event(block)
        if name == b"error":
            _note_error(data, progress)
        elif data == TERMINAL_MARKER:
            progress.ending = Ending.COMPLETE
            progress.code = 0
            progress.detail = ""
        elif number > progress.last_event_number:
            progress.last_event_number = number
            progress.payloads.append(data)
            progress.last_at = self._timer.now()
            if progress.first_at is None:
                progress.first_at = progress.last_at

    def _record(
        self,
        request: TraceRequest,
        prepared: PreparedRequest,
        progress: _Progress,
        started_at: float,
        sent_at: float,
        ended_at: float,
    ) -> ReplayedRequest:
        payloads = tuple(progress.payloads)
        text = progress.text or generated_text(payloads)
        tokens = generated_tokens(payloads) or len(text.split())
        first_token_s: float | None = None
        between_tokens_s: float | None = None
        if progress.first_at is not None and progress.last_at is not None:
            first_token_s = progress.first_at - sent_at
            if tokens > 1:
                span_s = progress.last_at - progress.first_at
                between_tokens_s = span_s / (tokens - 1)
        ending = progress.ending or Ending.CUT
        detail = progress.detail
        if ending is Ending.COMPLETE and prepared.prompt:
            is_expected = self._target.is_expected_answer(
                prepared.path, prepared.prompt, request.max_tokens, text
            )
            if is_expected is False:
                ending = Ending.WRONG
                detail = (
                    f"{tokens} of {request.max_tokens} tokens, or other text"
                )
        crashing_texts = self._trace.crashing_texts
        return ReplayedRequest(
            id=request.id,
            organisation=request.organisation,
            route=request.route,
            priority_class=request.priority_class,
            key=request.key,
            streamed=request.stream,
            crashing=any(item in request.text for item in crashing_texts),
            due_s=request.at_s,
            sent_s=sent_at - started_at,
            ended_s=ended_at - started_at,
            ending=ending,
            request_id=progress.request_id,
            status=progress.status,
            code=progress.code,
            detail=detail,
            first_token_s=first_token_s,
            between_tokens_s=between_tokens_s,
            tokens=tokens if prepared.prompt else 0,
            resumed=progress.resumed,
        )


async def _split_events(
    answer: HttpStream,
) -> AsyncIterator[Ok[bytes] | Err[Failure]]:
    """Splits the body of an answer into server-sent events."""
    incomplete_block = b""
    async for chunk in answer.chunks():
        if isinstance(chunk, Err):
            yield chunk
            return
        *blocks, incomplete_block = (incomplete_block + chunk.ok_value).split(
            b"\n\n"
        )
        for block in blocks:
            yield Ok(block)


def _parse_event(block: bytes) -> tuple[bytes, int, bytes]:
    """Returns the name, the number (0 for none) and the data of an event."""
    value_by_field: dict[bytes, bytes] = {}
    for line in block.splitlines():
        name, _, value = line.partition(b":")
        value_by_field[name] = value.strip()
    number = value_by_field.get(b"id", b"")
    return (
        value_by_field.get(b"event", b""),
        parse_whole_number(number.decode("latin-1")) or 0,
        value_by_field.get(b"data", b""),
    )


def _note_error(body: bytes, progress: _Progress) -> None:
    """Records the code and text of an error document.

    Without a run state in the document, the request counts as one that may
    have run.
    """
    progress.ending = Ending.FAILED
    try:
        document = decode(body)
    except UNDECODABLE:
        progress.detail = body[:200].decode("latin-1")
        return
    error = document.get("error") if isinstance(document, dict) else None
    if not isinstance(error, dict):
        progress.detail = "an error without a code"
        return
    progress.code = int(error.get("code", 0))
    progress.detail = str(error.get("message", ""))
    if error.get("run") == RunState.NOT_RUN.value:
        progress.ending = Ending.REFUSED


def _unstreamed_text(body: bytes) -> str:
    """Returns the generated text of an unstreamed answer.

    The text is empty for answers of plain services.
    """
    try:
        document = decode(body)
    except UNDECODABLE:
        return ""
    choices = document.get("choices") if isinstance(document, dict) else None
    if not choices:
        return ""
    first = choices[0]
    if "message" in first:
        return str(first["message"].get("content", ""))
    return str(first.get("text", ""))
