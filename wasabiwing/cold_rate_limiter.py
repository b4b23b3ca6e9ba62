"""How many requests a node may send to a cold backend server.

Load pattern: a zone's servers come back cold while all nodes have work for
them. A few nodes, chosen by rendezvous hashing so that all agree without a
message, share what the server bears in a second.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

# Nodes that share one cold server: each may send one request at once, so
# their number must stay well below what a server bears in a second.
MAX_NODES = 8

# Part of a server's rate that is shared out.
USED_SHARE = 0.8


@dataclass(slots=True)
class _Bucket:
    """One node's allowance at one server."""

    level: float
    refilled_at: float


class ColdRateLimiter:
    """Allowance of this node at each cold server."""

    def __init__(self, node_id: str, timer: TimerService) -> None:
        self._node_id = node_id
        self._timer = timer
        self._bucket_by_server: dict[str, _Bucket] = {}
        # Nodes that share a server, and the nodes that they were chosen from.
        self._sharing_by_server: dict[
            str, tuple[tuple[str, ...], list[str]]
        ] = {}

    def has_token(
        self, server_id: str, per_s: float, node_ids: Sequence[str]
    ) -> bool:
        """Whether one more request may be sent now.

        ``per_s`` is the rate that the server bears from all nodes.
        """
        if per_s <= 0:
            return True
        sharing = self._sharing(server_id, per_s, tuple(node_ids))
        if self._node_id not in sharing:
            return False
        now = self._timer.now()
        rate = per_s * USED_SHARE / len(sharing)
        bucket = self._bucket_by_server.setdefault(
            server_id, _Bucket(1.0, now)
        )
        added = (now - bucket.refilled_at) * rate
        bucket.level = min(bucket.level + added, 1.0)
        bucket.refilled_at = now
        return bucket.level >= 1.0

    def _sharing(
        self, server_id: str, per_s: float, node_ids: tuple[str, ...]
    ) -> list[str]:
        known = self._sharing_by_server.get(server_id)
        if known is not None and known[0] == node_ids:
            return known[1]
        count = min(MAX_NODES, int(per_s) or 1)
        sharing = rank_members(server_id, node_ids)[:count]
        self._sharing_by_server[server_id] = (node_ids, sharing)
        return sharing

    def take_token(self, server_id: str) -> None:
        """Uses the allowance for one request."""
        bucket = self._bucket_by_server.get(server_id)
        if bucket is not None:
            bucket.level -= 1.0
