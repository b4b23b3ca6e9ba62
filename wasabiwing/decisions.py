"""Decision records of one gateway, which ``wasabictl explain`` shows.

Each record is logged and kept in a ring buffer in memory.
"""

from collections import deque

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.timers import TimerService

# Maximum number of records that a gateway keeps; the oldest are dropped first.
RING_RECORDS = 4096


class DecisionLog:
    """The latest decisions of one gateway."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        max_records: int = RING_RECORDS,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._records: deque[dict[str, object]] = deque(maxlen=max_records)

    def write(self, event: Event, request_id: str, **fields: object) -> None:
        """Logs a decision about a request and keeps its record.

        The values of ``fields`` must be serialisable as JSON.
        """
        self._records.append(
            {
                "time": self._timer.wall_time(),
                "node": self._node_id,
                "event": event.name,
                "request": request_id,
                **fields,
            }
        )
        log_event(event, self._node_id, request=request_id, **fields)

    def records_of_request(self, request_id: str) -> list[dict[str, object]]:
        """Returns the records of a request, the oldest first."""
        return [
            record
            for record in self._records
            if record["request"] == request_id
        ]
