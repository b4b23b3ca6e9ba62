"""The nodes of a deployment, as their leases in the store show them.

Each node holds a lease whose name carries its id and inbox address. A lease
that ends takes the node out, so no failure detector of our own is needed at
this size.
"""

from collections.abc import Iterable

NODE_LEASE_PREFIX = "node/"


def node_lease_name(node_id: str, inbox: str) -> str:
    """Returns the name of a node's lease; ``inbox`` is ``host:port``."""
    return f"{NODE_LEASE_PREFIX}{node_id}@{inbox}"


class NodeRegistry:
    """Inbox addresses of all nodes by node id."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._inbox_by_id: dict[str, str] = {}
        # Names of all leases that somebody holds.
        self.held_leases: frozenset[str] = frozenset()

    @property
    def count(self) -> int:
        """Number of nodes, with this one."""
        return len(self._inbox_by_id.keys() | {self._own_id})

    def node_ids(self) -> list[str]:
        """Returns all nodes, with this one, in order."""
        return sorted(self._inbox_by_id.keys() | {self._own_id})

    def peers(self) -> dict[str, str]:
        """Returns the inboxes of the other nodes by node id."""
        return {
            node_id: inbox
            for node_id, inbox in self._inbox_by_id.items()
            if node_id != self._own_id
        }

    def apply(self, lease_name: str, value: bytes | None) -> None:
        """Takes over a change of a lease; ``None`` means that it ended."""
        if value is None:
            self.held_leases -= {lease_name}
        else:
            self.held_leases |= {lease_name}
        parsed = _parse(lease_name)
        if parsed is None:
            return
        node_id, inbox = parsed
        if value is not None:
            self._inbox_by_id[node_id] = inbox
        elif self._inbox_by_id.get(node_id) == inbox:
            del self._inbox_by_id[node_id]

    def replace_all(self, lease_names: Iterable[str]) -> None:
        """Takes over a complete listing of leases."""
        self.held_leases = frozenset(lease_names)
        parsed = [_parse(name) for name in self.held_leases]
        self._inbox_by_id = {
            node_id: inbox
            for item in parsed
            if item is not None
            for node_id, inbox in [item]
        }


def _parse(lease_name: str) -> tuple[str, str] | None:
    if not lease_name.startswith(NODE_LEASE_PREFIX):
        return None
    name = lease_name.removeprefix(NODE_LEASE_PREFIX)
    node_id, separator, inbox = name.rpartition("@")
    if not separator or not node_id:
        return None
    return node_id, inbox
