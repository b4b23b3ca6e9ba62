"""Counts the work that refused callers want once, by digests of requests.

Servers are ordered for this work, so that a caller that returns must not look
like further work. The order of requests does not depend on it.
"""

from collections import OrderedDict

from wasabiwing.quarantine import request_digest
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.timers import TimerService

# Number and age in seconds of the refused requests that are remembered. A
# caller returns after a third of its remaining time at the latest.
MAX_REFUSED_DIGESTS = 4096
REFUSED_LIFETIME_S = 10.0

# Largest body in bytes of which a digest is computed for a refused request;
# that takes some 60 microseconds.
MAX_DIGEST_BODY_BYTES = 65_536


class RefusedRequests:
    """Requests that one node has refused lately, by digest.

    A caller that returns has the same organisation, target and body, but
    another attempt id. Returns to other nodes are not recognised.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        # Times of the latest refusals by digest, the oldest first.
        self._refused_at: OrderedDict[str, float] = OrderedDict()

    def note(self, call: RoutedCall) -> bool:
        """Records a refusal; returns whether it is the first one."""
        if len(call.body) > MAX_DIGEST_BODY_BYTES:
            return True
        now = self._timer.now()
        oldest = now - REFUSED_LIFETIME_S
        while self._refused_at:
            digest, refused_at = next(iter(self._refused_at.items()))
            if refused_at >= oldest:
                break
            del self._refused_at[digest]
        digest = request_digest(call)
        is_first = self._refused_at.pop(digest, None) is None
        self._refused_at[digest] = now
        if len(self._refused_at) > MAX_REFUSED_DIGESTS:
            self._refused_at.popitem(last=False)
        return is_first
