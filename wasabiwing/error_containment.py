"""Contains unexpected errors in the action in which they occur."""

from collections.abc import Awaitable
from collections.abc import Callable
from traceback import format_exception

from wasabiwing.events import Event
from wasabiwing.events import log_event

# Number of a traceback's last lines that are logged.
TRACE_LINES = 6


async def run_logging_errors(
    node_id: str, part: str, action: Callable[[], Awaitable[None]]
) -> bool:
    """Runs an action, logs its exception and returns whether it had none.

    ``part`` is the part of the program that the log line names. Cancellation
    is not caught.
    """
    try:
        await action()
    except Exception as error:
        log_error(node_id, part, error)
        return False
    return True


def call_logging_errors(
    node_id: str, part: str, action: Callable[[], None]
) -> bool:
    """Does the same as ``run_logging_errors`` for a plain function."""
    try:
        action()
    except Exception as error:
        log_error(node_id, part, error)
        return False
    return True


def log_error(node_id: str, part: str, error: Exception) -> None:
    """Logs an unexpected error of a part of the program."""
    trace = "".join(format_exception(error)).splitlines()
    log_event(
        Event.TASK_FAILED,
        node_id,
        part=part,
        error=repr(error),
        trace=trace[-TRACE_LINES:],
    )
