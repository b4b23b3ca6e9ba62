"""Decides whether an answer's status may promise that a request has not run.

Callers repeat a request that may run only once after such a status. A server
that has run it may answer with the same status; only its statement beside the
status tells.

Load pattern: servers that fail a part of their requests after they have run
them, while their health checks are good.
"""

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState

# Request timeout, misdirected request, too many requests, unavailable.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})


def unproved_promise(
    status: int, states_not_run: bool, repeatable: bool
) -> Failure | None:
    """Returns why a status may not be passed on to a caller, or ``None``.

    ``states_not_run`` says whether the answer states that the request has not
    run. A ``repeatable`` request may run again whatever the status says.
    """
    if repeatable or states_not_run or status not in PROMISE_STATUSES:
        return None
    return Failure(
        ResultCode.SERVER_ERROR,
        f"status {status} without a statement that the request has not run",
        RunState.MAY_HAVE_RUN,
    )
