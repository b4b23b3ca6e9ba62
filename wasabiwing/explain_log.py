"""Explains how a request ended, from collected logs of nodes.

The logs are JSON lines of any number of nodes, in any order. The result has
the lines about the request, and lines of the nodes that handled it about its
servers, the configuration and the store around that time. Lines about crashes
by requests of the same content are included from all nodes.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.json import decode
from msgspec.json import encode

from wasabiwing.decoding import UNDECODABLE
from wasabiwing.events import Event

# Time before the request's first line from which context lines are shown, in
# seconds. They tell the state of servers, configuration and store at the
# decision.
CONTEXT_BEFORE_S = 5.0

# Events about servers, configuration, store and process that give context.
CONTEXT_EVENTS = frozenset(
    {
        Event.CONFIGURATION_IN_FORCE,
        Event.ZONE_EVACUATION,
        Event.SERVER_LEAVING,
        Event.SERVER_ENTRY_UNUSABLE,
        Event.SERVER_WANTS_NOTHING,
        Event.SERVER_WANTED_AGAIN,
        Event.SERVER_LIMIT_CHANGED,
        Event.SERVER_BRITTLE_CHANGED,
        Event.BRITTLE_SERVER_SPARED,
        Event.PERMIT_ISSUER_SILENT,
        Event.DEPENDENCY_LOST,
        Event.DEPENDENCY_REGAINED,
        Event.PROCESS_SUSPENDED,
        Event.PROGRAM_STARTED,
        Event.PROGRAM_STOPPING,
        Event.LINES_LEFT_OUT,
    }
)

# Events about the content of a request. Their lines are matched by digest on
# any node and at any time, because repeats of a request have other ids.
CONTENT_EVENTS = frozenset(
    {
        Event.SERVER_CRASHED,
        Event.SERVER_CRASH_UNPROVED,
        Event.REQUEST_QUARANTINED,
        Event.QUARANTINE_ENDED,
    }
)

# Fields that are shown apart, or that no reader needs.
HIDDEN_FIELDS = frozenset(
    {"event", "node", "timestamp", "task_uuid", "task_level", "message_type"}
)

LogLine = dict[str, object]


@dataclass(frozen=True, slots=True)
class LogExplanation:
    """Log lines that concern a request, in order of time."""

    lines: tuple[LogLine, ...]
    # Number of input lines with an opening brace that are not JSON.
    unreadable_count: int


def explain_log(texts: Iterable[str], request_id: str) -> LogExplanation:
    """Collects the lines about a request and their context.

    ``texts`` are the input lines. A line without a JSON object is skipped.
    """
    lines: list[LogLine] = []
    unreadable_count = 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found = decode(text[start:])
        except UNDECODABLE:
            unreadable_count += 1
            continue
        if isinstance(found, dict) and "event" in found:
            lines.append(found)
    own_lines = [line for line in lines if line.get("request") == request_id]
    if not own_lines:
        return LogExplanation((), unreadable_count)
    times = [_time_of(line) for line in own_lines]
    nodes = {line.get("node") for line in own_lines}
    servers = {line["server"] for line in own_lines if "server" in line}
    digests = {line["digest"] for line in own_lines if "digest" in line}
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
        and min(times) - CONTEXT_BEFORE_S <= _time_of(line) <= max(times)
    ]
    return LogExplanation(
        tuple(sorted((*own_lines, *context), key=_time_of)), unreadable_count
    )


def describe_line(line: LogLine) -> str:
    """Returns a log line as readable text: time, node, event and fields."""
    fields = " ".join(
        f"{name}={_value_text(value)}"
        for name, value in line.items()
        if name not in HIDDEN_FIELDS
    )
    name = str(line.get("message_type", line["event"]))
    return (
        f"{_time_of(line):.3f} {line.get('node', '')} {name} {fields}".rstrip()
    )


def _is_context(line: LogLine, servers: set[object]) -> bool:
    if line["event"] not in CONTEXT_EVENTS:
        return False
    return "server" not in line or line["server"] in servers


def _time_of(line: LogLine) -> float:
    value = line.get("timestamp", 0.0)
    return float(value) if isinstance(value, int | float) else 0.0


def _value_text(value: object) -> str:
    return value if isinstance(value, str) else encode(value).decode()
