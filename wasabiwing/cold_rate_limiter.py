"""Limits the rate at which a node sends requests to cold backend servers.

Load pattern: a zone's servers come back cold while all nodes have requests
for them. A few nodes share the rate of requests that a cold server can serve.
They are chosen by rendezvous hashing, so that all nodes agree without a
message.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

# Maximum number of nodes that share one cold server. Each may send one request
# at once, so their number must stay well below the requests that the server
# can serve in a second.
MAX_NODES = 8

# Share of a cold server's rate that the nodes use together.
USED_RATE_SHARE = 0.8


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one node at one server."""

    tokens: float
    refilled_at: float


class ColdRateLimiter:
    """Rate limits of one node for all cold servers."""

    def __init__(self, node_id: str, timer: TimerService) -> None:
        self._node_id = node_id
        self._timer = timer
        self._bucket_by_server: dict[str, _Bucket] = {}
        # The nodes from which those that share a server were chosen, and the
        # chosen ones, by server id.
        self._sharing_by_server: dict[
            str, tuple[tuple[str, ...], list[str]]
        ] = {}

    def has_token(
        self, server_id: str, per_s: float, node_ids: Sequence[str]
    ) -> bool:
        """Whether this node may send one more request to a server now.

        ``per_s`` is the number of requests per second that the cold server
        can serve for all nodes together; 0 sets no limit. ``node_ids`` are
        all nodes of the fleet.
        """
        if per_s <= 0:
            return True
        sharing_ids = self._sharing_nodes(server_id, per_s, tuple(node_ids))
        if self._node_id not in sharing_ids:
            return False
        now = self._timer.now()
        rate = per_s * USED_RATE_SHARE / len(sharing_ids)
        bucket = self._bucket_by_server.setdefault(
            server_id, _Bucket(1.0, now)
        )
        added = (now - bucket.refilled_at) * rate
        bucket.tokens = min(bucket.tokens + added, 1.0)
        bucket.refilled_at = now
        return bucket.tokens >= 1.0

    def _sharing_nodes(
        self, server_id: str, per_s: float, node_ids: tuple[str, ...]
    ) -> list[str]:
        cached = self._sharing_by_server.get(server_id)
        if cached is not None and cached[0] == node_ids:
            return cached[1]
        node_count = min(MAX_NODES, int(per_s) or 1)
        sharing_ids = rank_members(server_id, node_ids)[:node_count]
        self._sharing_by_server[server_id] = (node_ids, sharing_ids)
        return sharing_ids

    def take_token(self, server_id: str) -> None:
        """Takes the token for a request that is sent to a server."""
        bucket = self._bucket_by_server.get(server_id)
        if bucket is not None:
            bucket.tokens -= 1.0
