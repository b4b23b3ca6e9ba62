"""Finds the cause of a request's end in collected logs of nodes.

Reads JSON lines of any number of nodes, in any order, and returns what
concerns one request: its own lines, and what the nodes that served it
learned about its servers, the configuration and the store around that time.
Crashes of servers under the same content are shown from all nodes.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from msgspec import DecodeError
from msgspec.json import decode
from msgspec.json import encode

from wasabiwing.events import Event

# Context lines are shown from this long before the request's first line, in
# seconds: servers, configuration and store as the decision saw them.
CONTEXT_BEFORE_S = 5.0

CONTEXT_EVENTS = frozenset(
    {
        Event.CONFIGURATION_IN_FORCE,
        Event.ZONE_EVACUATION,
        Event.SERVER_LEAVING,
        Event.SERVER_ENTRY_UNUSABLE,
        Event.SERVER_WANTS_NOTHING,
        Event.SERVER_WANTED_AGAIN,
        Event.DEPENDENCY_LOST,
        Event.DEPENDENCY_REGAINED,
        Event.PROCESS_SUSPENDED,
        Event.PROGRAM_STARTED,
        Event.PROGRAM_STOPPING,
        Event.LINES_LEFT_OUT,
    }
)

# Lines about the content of a request, on any node and at any time: its
# repeats have other ids.
CONTENT_EVENTS = frozenset(
    {
        Event.SERVER_CRASHED,
        Event.REQUEST_QUARANTINED,
        Event.QUARANTINE_ENDED,
    }
)

# Fields that every line has, or that no reader needs.
HIDDEN_FIELDS = frozenset(
    {"event", "node", "timestamp", "task_uuid", "task_level", "message_type"}
)

Line = dict[str, object]


@dataclass(frozen=True, slots=True)
class LogExplanation:
    """What the logs say of a request, the oldest line first."""

    lines: tuple[Line, ...]
    # Lines of the input that are not JSON objects.
    unreadable_count: int


def explain_log(texts: Iterable[str], request_id: str) -> LogExplanation:
    """Collects the lines of a request and their context."""
    lines: list[Line] = []
    unreadable = 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found = decode(text[start:])
        except DecodeError:
            unreadable += 1
            continue
        if isinstance(found, dict) and "event" in found:
            lines.append(found)
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return LogExplanation((), unreadable)
    times = [_time(line) for line in own]
    nodes = {line.get("node") for line in own}
    servers = {line["server"] for line in own if "server" in line}
    digests = {line["digest"] for line in own if "digest" in line}
    context = [
        line
        for line in lines
        if line["event"] in CONTENT_EVENTS
        and line.get("digest") in digests
        and line.get("request") != request_id
    ]
    context += [
        line
        for line in lines
        if _is_context(line, servers)
        and line.get("node") in nodes
        and min(times) - CONTEXT_BEFORE_S <= _time(line) <= max(times)
    ]
    return LogExplanation(
        tuple(sorted((*own, *context), key=_time)), unreadable
    )


def describe_line(line: Line) -> str:
    """Returns a line for people: time, node, event and its fields."""
    fields = " ".join(
        f"{name}={_value(value)}"
        for name, value in line.items()
        if name not in HIDDEN_FIELDS
    )
    name = str(line.get("message_type", line["event"]))
    return f"{_time(line):.3f} {line.get('node', '')} {name} {fields}".rstrip()


def _is_context(line: Line, servers: set[object]) -> bool:
    if line["event"] not in CONTEXT_EVENTS:
        return False
    return "server" not in line or line["server"] in servers


def _time(line: Line) -> float:
    value = line.get("timestamp", 0.0)
    return float(value) if isinstance(value, int | float) else 0.0


def _value(value: object) -> str:
    return value if isinstance(value, str) else encode(value).decode()
