"""Stand-in for a model engine: OpenAI-compatible API with extensions.

The tokens of an answer depend only on the prompt, so that a test can check
whether the answer is complete. ``docs/engine-model.md`` describes batching,
caching and cold start as modelled here.
"""

from dataclasses import asdict
from dataclasses import dataclass
from time import monotonic
from typing import Any
from urllib.parse import parse_qs

from anyio import Event
from anyio import Lock
from anyio import sleep
from anyio import sleep_forever
from anyio.abc import TaskGroup
from msgspec import DecodeError
from msgspec.json import decode
from msgspec.json import encode
from xxhash import xxh64_intdigest

from wasabiwing.asgi import build_application
from wasabiwing.asgi import EVENT_STREAM_TYPE
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import JSON_TYPE
from wasabiwing.asgi import Responder
from wasabiwing_standins.engine_cache import export_stream
from wasabiwing_standins.engine_cache import read_export
from wasabiwing_standins.engine_cache import TRANSFER_S_PER_TOKEN
from wasabiwing_standins.prefix_cache import PrefixCache
from wasabiwing_standins.server import StandInServer

MAX_REQUEST_BYTES = 4_000_000

WORDS = (
    "gravel rubble stone passage ledger survey plate chamber depth load"
    " haul bag drop yard sump"
).split()


@dataclass(slots=True)
class EngineFaults:
    """Faults that a test or the demo switches on."""

    # Refuses new requests before they start.
    refuse: bool = False
    # Answers new requests with status 500 at once.
    fail: bool = False
    # Answers new requests for this model with status 500; none if empty.
    fail_model: str = ""
    # Cuts the connection of each new attempt after this many events.
    cut_after: int | None = None
    # Ends streams without the terminal marker after this many events.
    end_early_after: int | None = None
    # Sends nothing more on a stream after this many events.
    stall_after: int | None = None
    # Crashes the engine after this many tokens of a stream.
    crash_after: int | None = None
    # Answers a new request with the stream of the previous request.
    cross_replies: bool = False
    # Crashes the engine when a prompt contains this text.
    crash_on_text: str = ""
    # Factor on all times.
    slow_factor: float = 1.0
    # Cache events become visible after this time, in seconds.
    cache_event_lag_s: float = 0.0
    # Omits each cache event whose number is a multiple of this; none if 0.
    cache_event_gap_every: int = 0


@dataclass(slots=True)
class EngineTimes:
    """The engine's time model, in seconds."""

    # Time to compute a prompt token that is not in the cache.
    prefill_s: float = 0.00002
    # Time to generate a token when no other stream runs.
    decode_s: float = 0.002
    # Fraction of ``decode_s`` that each other stream in the batch adds.
    batch_slope: float = 0.03
    # Time to move the KV cache of one token to another engine.
    transfer_s: float = TRANSFER_S_PER_TOKEN
    # Factor on all times while the engine is cold.
    cold_factor: float = 3.0


class _Stream:
    """An answer that the engine generates."""

    def __init__(
        self,
        stream_id: str,
        request: dict[str, Any],
        request_id: str = "",
        attempt: str = "",
    ) -> None:
        self.stream_id = stream_id
        self.request = request
        self.request_id = request_id
        self.attempt = attempt
        self.payloads: list[bytes] = []
        self.ended = False
        self.cancelled = False
        self.changed = Event()

    def notify(self) -> None:
        """Wakes all tasks that wait for a change of the stream."""
        self.changed.set()
        self.changed = Event()


class EngineStandIn:
    """One backend server of a model pool."""

    def __init__(
        self,
        tasks: TaskGroup,
        server_id: str,
        model: str = "model",
        max_slots: int = 16,
        cold_slots: int = 2,
        times: EngineTimes | None = None,
        cache_blocks: int = 4096,
    ) -> None:
        self._tasks = tasks
        self.server_id = server_id
        self.model = model
        self.max_slots = max_slots
        self.cold_slots = cold_slots
        self.times = times or EngineTimes()
        self.faults = EngineFaults()
        self._cache = PrefixCache(cache_blocks)
        self._stream_by_id: dict[str, _Stream] = {}
        self._streams_started = 0
        # Prompts are computed one after the other.
        self._prefill_lock = Lock()
        self.in_flight = 0
        # Number of requests that must end before a cold engine is warm.
        self.remaining_cold_requests = 0
        # Observations for tests and benchmarks.
        self.peak_in_flight = 0
        self.peak_in_flight_cold = 0
        self.overloads_cold = 0
        self.crashes = 0
        self.computed_prompt_tokens = 0
        self.generated_tokens = 0
        # Sum of the running times of all requests, in seconds.
        self.busy_s = 0.0
        self.request_ids: list[str] = []
        # Monotonic times at which new or moved work arrived.
        self.arrivals_at: list[float] = []
        self.deadlines_ms: list[int] = []
        self.cancelled_ids: list[str] = []
        self.raised_priority_ids: list[str] = []
        self.imported_ids: list[str] = []
        routes = (
            HttpRoute("POST", "/v1/chat/completions", self._generate),
            HttpRoute("POST", "/v1/completions", self._generate),
            HttpRoute("GET", "/v1/streams/{id}", self._resume),
            HttpRoute("DELETE", "/v1/streams/{id}", self._cancel),
            HttpRoute("POST", "/v1/streams/{id}/priority", self._priority),
            HttpRoute("POST", "/v1/kv/export", self._export),
            HttpRoute("POST", "/v1/kv/import", self._import),
            HttpRoute("GET", "/v1/load", self._load),
            HttpRoute("GET", "/v1/cache_events", self._cache_events),
            HttpRoute("GET", "/v1/models", self._models),
        )
        self.server = StandInServer(
            tasks,
            build_application(
                routes, self._not_found, lambda: MAX_REQUEST_BYTES
            ),
        )

    @property
    def address(self) -> str:
        """``host:port`` of the engine."""
        return self.server.address

    async def start(self, cold_requests: int = 0) -> None:
        """Starts to serve; cold until ``cold_requests`` requests end."""
        self.remaining_cold_requests = cold_requests
        await self.server.start()

    def crash(self) -> None:
        """Ends the engine; all streams, caches and connections are lost."""
        self.crashes += 1
        for stream in self._stream_by_id.values():
            stream.cancelled = True
            stream.notify()
        self._stream_by_id.clear()
        self._cache.clear()
        self.server.kill()

    async def _crash_in_request(self) -> None:
        """Crashes and never returns.

        A handler that returns without an answer would make uvicorn send
        status 500, which a crashed process cannot.
        """
        self.crash()
        await sleep_forever()

    def lose_cache(self) -> None:
        """Drops all cached prompts, as a restart does."""
        self._cache.clear()

    async def _generate(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        try:
            document = decode(request.body, type=dict[str, Any])
        except DecodeError as error:
            await responder.send_json(400, {"error": str(error)})
            return
        if self.faults.refuse:
            await responder.send_json(
                503, {"error": "refused"}, {"X-Request-Started": "false"}
            )
            return
        self.arrivals_at.append(monotonic())
        self.request_ids.append(request.headers.get("x-request-id", ""))
        self.deadlines_ms.append(int(request.headers.get("x-deadline-ms", 0)))
        if self.faults.fail or self._is_failing_model(document):
            await responder.send_json(500, {"error": "failed"})
            return
        prompt = prompt_text(document)
        if self.faults.crash_on_text and self.faults.crash_on_text in prompt:
            await self._crash_in_request()
        if self.remaining_cold_requests and self.in_flight >= self.cold_slots:
            # A cold engine crashes on more requests than it has cold slots.
            self.overloads_cold += 1
            await self._crash_in_request()
        previous_stream = next(reversed(self._stream_by_id.values()), None)
        stream = _Stream(
            self._next_stream_id(),
            document,
            request.headers.get("x-request-id", ""),
            request.headers.get("x-attempt", ""),
        )
        self._stream_by_id[stream.stream_id] = stream
        self._tasks.start_soon(self._run, stream, prompt)
        if self.faults.cross_replies and previous_stream is not None:
            stream = previous_stream
        if document.get("stream"):
            await self._send_events(
                stream, 0, responder, self.faults.cut_after
            )
        else:
            await self._send_whole(stream, responder)

    def _is_failing_model(self, document: dict[str, Any]) -> bool:
        failing_model = self.faults.fail_model
        return bool(failing_model) and document.get("model") == failing_model

    def _next_stream_id(self) -> str:
        self._streams_started += 1
        return f"{self.server_id}-{self._streams_started}"

    async def _run(self, stream: _Stream, prompt: str) -> None:
        """Generates the tokens of a stream.

        The prompt of an imported stream is not computed again.
        """
        began = monotonic()
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        if self.remaining_cold_requests:
            self.peak_in_flight_cold = max(
                self.peak_in_flight_cold, self.in_flight
            )
        try:
            if not stream.payloads:
                await self._prefill_prompt(prompt)
            continued = continued_tokens(stream.request)
            limit = int(stream.request.get("max_tokens", 16))
            first = continued + len(stream.payloads)
            for number in range(first, continued + limit):
                if stream.cancelled:
                    return
                if len(stream.payloads) == self.faults.crash_after:
                    self.crash()
                    return
                batch = 1 + self.times.batch_slope * (self.in_flight - 1)
                await sleep(self.times.decode_s * batch * self._time_factor())
                if stream.cancelled:
                    return
                self.generated_tokens += 1
                stream.payloads.append(
                    self._payload(stream, token(prompt, number))
                )
                stream.notify()
        finally:
            self.in_flight -= 1
            self.busy_s += monotonic() - began
            self.remaining_cold_requests = max(
                self.remaining_cold_requests - 1, 0
            )
            stream.ended = True
            stream.notify()

    async def _prefill_prompt(self, prompt: str) -> None:
        """Waits for the time that the engine needs to compute a prompt."""
        uncached = self._cache.uncached_tokens(prompt)
        self.computed_prompt_tokens += uncached
        async with self._prefill_lock:
            await sleep(uncached * self.times.prefill_s * self._time_factor())

    def _time_factor(self) -> float:
        cold = self.times.cold_factor if self.remaining_cold_requests else 1.0
        return cold * self.faults.slow_factor

    def _payload(self, stream: _Stream, text: str) -> bytes:
        choice: dict[str, Any] = {"index": 0}
        if "messages" in stream.request:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return encode(
            {
                "id": stream.stream_id,
                "object": "chat.completion.chunk",
                "created": 0,
                "model": stream.request.get("model", self.model),
                "choices": [choice],
            }
        )

    async def _send_events(
        self,
        stream: _Stream,
        after: int,
        responder: Responder,
        cut_after: int | None,
    ) -> None:
        await responder.start(
            200,
            EVENT_STREAM_TYPE,
            {
                "X-Stream-Id": stream.stream_id,
                "X-Request-Id": stream.request_id,
                "X-Attempt": stream.attempt,
            },
        )
        position = after
        while True:
            while position < len(stream.payloads):
                if cut_after is not None and position >= cut_after:
                    # Returning without an end makes uvicorn cut the
                    # connection.
                    return
                if position == self.faults.end_early_after:
                    await responder.finish()
                    return
                if position == self.faults.stall_after:
                    await sleep_forever()
                payload = stream.payloads[position]
                position += 1
                await responder.write(
                    b"id: %d\ndata: %b\n\n" % (position, payload)
                )
            if stream.cancelled:
                return
            if stream.ended:
                break
            await stream.changed.wait()
        await responder.write(b"data: [DONE]\n\n")
        await responder.finish()

    async def _send_whole(self, stream: _Stream, responder: Responder) -> None:
        while not stream.ended:
            await stream.changed.wait()
        continued = continued_tokens(stream.request)
        prompt = prompt_text(stream.request)
        text = "".join(
            token(prompt, continued + number)
            for number in range(len(stream.payloads))
        )
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if "messages" in stream.request:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        await responder.send_json(
            200, {"id": stream.stream_id, "choices": [choice]}
        )

    async def _resume(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        stream = self._stream_by_id.get(request.path_parameters["id"])
        if stream is None:
            await responder.send_json(404, {"error": "unknown stream"})
            return
        after = int(request.headers.get("last-event-id", "0"))
        await self._send_events(stream, after, responder, None)

    async def _cancel(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        stream = self._stream_by_id.pop(request.path_parameters["id"], None)
        if stream is not None:
            stream.cancelled = True
            stream.notify()
            self.cancelled_ids.append(stream.request_id)
        await responder.send_json(200, {"cancelled": stream is not None})

    async def _priority(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        stream = self._stream_by_id.get(request.path_parameters["id"])
        if stream is None:
            await responder.send_json(404, {"error": "unknown stream"})
            return
        stream.request["priority"] = decode(request.body)["priority"]
        self.raised_priority_ids.append(stream.request_id)
        await responder.send_json(
            200, {"priority": stream.request["priority"]}
        )

    async def _export(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        stream_id = decode(request.body)["stream_id"]
        stream = self._stream_by_id.pop(stream_id, None)
        if stream is None:
            await responder.send_json(404, {"error": "unknown stream"})
            return
        stream.cancelled = True
        stream.notify()
        state = export_stream(
            stream.request_id,
            stream.attempt,
            stream.request,
            stream.payloads,
            prompt_text(stream.request),
            self.times.transfer_s,
        )
        await responder.send_whole(200, state, JSON_TYPE)

    async def _import(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        self.arrivals_at.append(monotonic())
        export = read_export(request.body)
        await sleep(export.transfer_ms / 1000)
        stream = _Stream(
            self._next_stream_id(),
            export.request,
            export.request_id,
            export.attempt,
        )
        stream.payloads = [text.encode() for text in export.payloads]
        self._stream_by_id[stream.stream_id] = stream
        self.imported_ids.append(stream.request_id)
        self._tasks.start_soon(self._run, stream, prompt_text(stream.request))
        await responder.send_json(200, {"stream_id": stream.stream_id})

    async def _load(self, request: HttpRequest, responder: Responder) -> None:
        await responder.send_json(
            200,
            {
                "running": self.in_flight,
                "waiting": 0,
                "cold": self.remaining_cold_requests > 0,
            },
        )

    async def _cache_events(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        after = parse_qs(request.query).get("after", ["0"])[0]
        events = self._cache.events(
            int(after) if after.isdigit() else 0,
            self.faults.cache_event_lag_s,
            self.faults.cache_event_gap_every,
        )
        await responder.send_json(200, [asdict(event) for event in events])

    async def _models(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send_json(
            200, {"object": "list", "data": [{"id": self.model}]}
        )

    async def _not_found(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send_json(404, {"error": "not found"})


def token(prompt: str, number: int) -> str:
    """Returns the token at a position of the answer to a prompt."""
    word = WORDS[xxh64_intdigest(prompt.encode(), number) % len(WORDS)]
    return f"{word} "


def answer_text(prompt: str, tokens: int) -> str:
    """Returns the first ``tokens`` tokens of the answer to a prompt."""
    return "".join(token(prompt, number) for number in range(tokens))


def prompt_text(request: dict[str, Any]) -> str:
    """Returns the prompt of a request, without a partial answer."""
    if "messages" not in request:
        return str(request.get("prompt", ""))
    messages = request["messages"]
    if request.get("continue_final_message"):
        messages = messages[:-1]
    return "\n".join(str(item.get("content", "")) for item in messages)


def continued_tokens(request: dict[str, Any]) -> int:
    """Returns the number of tokens of a partial answer in a request."""
    if not request.get("continue_final_message"):
        return 0
    return len(str(request["messages"][-1].get("content", "")).split())
