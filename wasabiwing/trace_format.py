"""Reads recorded traces: JSON lines with a header, requests and events.

``docs/traces.md`` documents each field.
"""

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Annotated
from typing import Any
from typing import Literal

from msgspec import Meta
from msgspec.json import decode
from result import Err
from result import Ok
from result import Result

from wasabiwing.decoding import UNDECODABLE
from wasabiwing.validation import validate_value

FORMAT_VERSION = 1

Seconds = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1)]


class EventAction(StrEnum):
    """What an event line of a trace does."""

    # Operator events.
    DRAIN_ZONE = "drain_zone"
    RETURN_ZONE = "return_zone"
    SET_WEIGHT = "set_weight"
    # Changes the traffic share of a version. No target performs it.
    SET_SHARE = "set_share"
    # Fault events.
    RECLAIM_SERVER = "reclaim_server"
    RECLAIM_ZONE = "reclaim_zone"
    KILL_SERVER = "kill_server"
    STORE_DOWN = "store_down"
    BAD_VERSION = "bad_version"
    CRASHING_REQUEST = "crashing_request"


# The field that an action needs besides its target.
REQUIRED_FIELD_BY_ACTION = {
    EventAction.SET_WEIGHT: "value",
    EventAction.SET_SHARE: "value",
    EventAction.RECLAIM_SERVER: "notice_s",
    EventAction.RECLAIM_ZONE: "notice_s",
    EventAction.STORE_DOWN: "duration_s",
}


@dataclass(frozen=True, slots=True)
class TraceHeader:
    """First line of a trace."""

    kind: Literal["header"]
    format: Literal[1]
    name: Name
    # Seed of the prompts' words and of the replay's random choices.
    seed: int


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """A line with the request of a caller."""

    kind: Literal["request"]
    id: Name
    # When the request is sent, in seconds after the start of the replay.
    at_s: Seconds
    organisation: Name
    # Id of a route of the configuration.
    route: Name
    priority_class: Count
    # Text with which the prompt starts.
    text: str = ""
    # Name of a prefix; prompts with the same one share ``prefix_tokens``
    # tokens.
    prefix: str = ""
    prefix_tokens: Count = 0
    prompt_tokens: Count = 0
    max_tokens: Count = 0
    # Body of a request to a plain service.
    body: str = ""
    # Idempotency key; empty for none.
    key: str = ""
    # Deadline of the caller; 0 for that of the route alone.
    deadline_ms: Count = 0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """A line with an operator's action or a fault."""

    kind: Literal["event"]
    at_s: Seconds
    action: EventAction
    # Zone, server, organisation, version or prompt text, depending on the
    # action.
    target: str = ""
    # Time between a reclaim notice and the loss of the VM.
    notice_s: Seconds | None = None
    # Time until the fault ends or a replacement starts; ``None`` for never.
    duration_s: Seconds | None = None
    value: float | None = None


@dataclass(frozen=True, slots=True)
class Trace:
    """A valid trace, with its lines in order of time."""

    header: TraceHeader
    requests: tuple[TraceRequest, ...]
    events: tuple[TraceEvent, ...]

    @property
    def duration_s(self) -> float:
        """Time of the last request or event, in seconds after the start."""
        times = [item.at_s for item in self.requests]
        times += [item.at_s for item in self.events]
        return max(times, default=0.0)

    @property
    def crashing_texts(self) -> tuple[str, ...]:
        """Texts in prompts that crash a backend server."""
        return tuple(
            event.target
            for event in self.events
            if event.action is EventAction.CRASHING_REQUEST
        )


TraceLine = TraceHeader | TraceRequest | TraceEvent

TYPE_BY_KIND: dict[str, type[Any]] = {
    "header": TraceHeader,
    "request": TraceRequest,
    "event": TraceEvent,
}


def load_trace(path: Path) -> Result[Trace, list[str]]:
    """Reads a trace; the error lists all malformed lines."""
    try:
        return parse_trace(path.read_bytes())
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])


def parse_trace(document: bytes) -> Result[Trace, list[str]]:
    """Parses a trace; errors have the form ``line N: path: fault``."""
    header: TraceHeader | None = None
    requests: list[TraceRequest] = []
    events: list[TraceEvent] = []
    errors: list[str] = []
    line_by_id: dict[str, int] = {}
    for number, text in enumerate(document.splitlines(), 1):
        parsed = _parse_line(text)
        if isinstance(parsed, Err):
            errors += [f"line {number}: {line}" for line in parsed.err_value]
            continue
        line = parsed.ok_value
        if isinstance(line, TraceHeader):
            if number > 1:
                errors.append(f"line {number}: $.kind: second header")
            header = line
        elif isinstance(line, TraceEvent):
            events.append(line)
        else:
            first = line_by_id.setdefault(line.id, number)
            if first != number:
                errors.append(
                    f"line {number}: $.id: {line.id!r} is used in line {first}"
                )
            requests.append(line)
    if header is None:
        errors.append("line 1: no valid header")
    if errors or header is None:
        return Err(errors)
    return Ok(
        Trace(
            header,
            tuple(sorted(requests, key=lambda item: item.at_s)),
            tuple(sorted(events, key=lambda item: item.at_s)),
        )
    )


def _parse_line(text: bytes) -> Result[TraceLine, list[str]]:
    try:
        value = decode(text)
    except UNDECODABLE as error:
        return Err([f"$: not valid JSON: {error}"])
    kind = value.get("kind") if isinstance(value, dict) else None
    line_type = TYPE_BY_KIND.get(kind) if isinstance(kind, str) else None
    if line_type is None:
        return Err([f"$.kind: expected one of {', '.join(TYPE_BY_KIND)}"])
    checked: Result[TraceLine, list[str]] = validate_value(value, line_type)
    if isinstance(checked, Ok) and isinstance(checked.ok_value, TraceEvent):
        return _check_event(checked.ok_value)
    return checked


def _check_event(event: TraceEvent) -> Result[TraceLine, list[str]]:
    errors = []
    required = REQUIRED_FIELD_BY_ACTION.get(event.action)
    if required is not None and getattr(event, required) is None:
        errors.append(f"$.{required}: needed by {event.action.value}")
    if event.action is not EventAction.STORE_DOWN and not event.target:
        errors.append(f"$.target: needed by {event.action.value}")
    return Err(errors) if errors else Ok(event)
