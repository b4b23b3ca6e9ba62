"""Load that requests with the same shared part of a prompt put on servers.

Load pattern: many nodes, and a part that more than half of the requests of a
kind share, so that the two servers which would keep it cached are too few.
The load is the work of one node's requests beyond the shared parts, in busy
servers; it decays within seconds, so that a part becomes rare again.
"""

from collections import OrderedDict
from math import exp
from math import sqrt

from wasabiwing.timers import TimerService

# Time constant of the decaying sum of work, in seconds. Each of 40 nodes sees
# a few requests of a frequent part in this time.
LOAD_DECAY_S = 2.0

# Number of standard deviations by which the number of recent requests of a
# part is reduced. At 70 nodes, one request alone would seem to be a load of
# two servers; with 1, a part was found frequent too late in replays.
DOUBT = 0.7

# Number of parts that are remembered; the least recently used are dropped.
MAX_PARTS = 4096


class SharedPartLoads:
    """Recent work of one node's requests, by shared part."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        # Number of requests, their work in seconds, and the time of both.
        self._recent_by_part: OrderedDict[str, tuple[float, float, float]] = (
            OrderedDict()
        )

    def note_request(self, part: str, work_s: float) -> None:
        """Adds a request whose own part takes a server ``work_s`` seconds."""
        count, total_s = self._recent(part)
        self._recent_by_part[part] = (
            count + 1.0,
            total_s + work_s,
            self._timer.now(),
        )
        self._recent_by_part.move_to_end(part)
        if len(self._recent_by_part) > MAX_PARTS:
            self._recent_by_part.popitem(last=False)

    def load(self, part: str) -> float:
        """Returns the number of servers that a part's requests occupy.

        It is a low estimate, as a few requests may have come by chance.
        """
        count, work_s = self._recent(part)
        if count <= DOUBT**2:
            return 0.0
        return work_s / LOAD_DECAY_S * (1.0 - DOUBT / sqrt(count))

    def _recent(self, part: str) -> tuple[float, float]:
        """Returns the decayed number and work of a part's requests."""
        count, work_s, noted_at = self._recent_by_part.get(
            part, (0.0, 0.0, 0.0)
        )
        kept = exp((noted_at - self._timer.now()) / LOAD_DECAY_S)
        return count * kept, work_s * kept
