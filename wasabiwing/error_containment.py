"""Keeps an unexpected error from ending more than what it happened in."""

from collections.abc import Awaitable
from collections.abc import Callable
from traceback import format_exception

from wasabiwing.events import Event
from wasabiwing.events import log_event

# Last lines of a traceback that are logged.
TRACE_LINES = 6


async def run_logging_errors(
    node_id: str, part: str, action: Callable[[], Awaitable[None]]
) -> bool:
    """Runs an action; logs an error of it and returns whether it ended well.

    Cancellation passes through.
    """
    try:
        await action()
    except Exception as error:
        trace = "".join(format_exception(error)).splitlines()
        log_event(
            Event.TASK_FAILED,
            node_id,
            part=part,
            error=repr(error),
            trace=trace[-TRACE_LINES:],
        )
        return False
    return True
