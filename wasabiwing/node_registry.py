"""The nodes of a deployment, as their leases in the store show them.

Each node holds a lease whose name carries its id, inbox address, zone and
capacity. A node is removed when its lease ends.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from wasabiwing.decoding import parse_whole_number

NODE_LEASE_PREFIX = "node/"


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """One node of the deployment."""

    id: str
    # ``host:port``.
    inbox: str
    availability_zone: str = ""
    # Processor time of the VM, in tenths of a core.
    capacity: int = 0


def node_lease_name(
    node_id: str, inbox: str, availability_zone: str = "", capacity: int = 0
) -> str:
    """Returns the name of a node's lease; ``inbox`` is ``host:port``."""
    zone_and_capacity = f"{availability_zone}/{capacity}"
    return f"{NODE_LEASE_PREFIX}{node_id}@{inbox}/{zone_and_capacity}"


class NodeRegistry:
    """Records of all nodes by node id.

    Leases lapse while the store is away, and nodes register anew soon after
    its return. ``kept_until`` returns the time until which such a node is
    kept; limits that nodes share by their number would not hold otherwise.
    """

    def __init__(
        self,
        own_id: str,
        now: Callable[[], float] = lambda: 0.0,
        kept_until: Callable[[], float] = lambda: -inf,
    ) -> None:
        self._own_id = own_id
        # Monotonic times in seconds.
        self._now = now
        self._kept_until = kept_until
        self._removal_at_by_id: dict[str, float] = {}
        self._record_by_id: dict[str, NodeRecord] = {}
        self._ids_by_zone: dict[str, list[str]] | None = None
        # Names of all leases that any node holds.
        self.held_lease_names: frozenset[str] = frozenset()

    @property
    def count(self) -> int:
        """Number of nodes, including this one."""
        self._remove_lapsed()
        own = self._own_id not in self._record_by_id
        return len(self._record_by_id) + own

    def node_ids(self) -> list[str]:
        """Returns the sorted ids of all nodes, including this one."""
        self._remove_lapsed()
        return sorted(self._record_by_id.keys() | {self._own_id})

    def get(self, node_id: str) -> NodeRecord | None:
        """Returns a node's record."""
        return self._record_by_id.get(node_id)

    def peers(self) -> dict[str, str]:
        """Returns the inboxes of the other nodes by node id."""
        self._remove_lapsed()
        return {
            node_id: record.inbox
            for node_id, record in self._record_by_id.items()
            if node_id != self._own_id
        }

    def ids_by_zone(self) -> dict[str, list[str]]:
        """Returns the ids of the registered nodes by zone."""
        self._remove_lapsed()
        if self._ids_by_zone is None:
            found: dict[str, list[str]] = defaultdict(list)
            for record in self._record_by_id.values():
                found[record.availability_zone].append(record.id)
            self._ids_by_zone = dict(found)
        return self._ids_by_zone

    def apply(self, lease_name: str, value: bytes | None) -> None:
        """Applies a change of a lease; ``None`` means that it ended."""
        if value is None:
            self.held_lease_names -= {lease_name}
        else:
            self.held_lease_names |= {lease_name}
        record = _parse(lease_name)
        if record is None:
            return
        if value is not None:
            self._record_by_id[record.id] = record
            self._removal_at_by_id.pop(record.id, None)
        elif self._record_by_id.get(record.id) == record:
            self._remove(record.id)
        self._ids_by_zone = None

    def replace_all(self, lease_names: Iterable[str]) -> None:
        """Replaces all records by those of a complete listing of leases."""
        self.held_lease_names = frozenset(lease_names)
        records = [_parse(name) for name in sorted(self.held_lease_names)]
        listed_by_id = {
            record.id: record for record in records if record is not None
        }
        for node_id in self._record_by_id.keys() - listed_by_id.keys():
            self._remove(node_id)
        for node_id in listed_by_id:
            self._removal_at_by_id.pop(node_id, None)
        self._record_by_id |= listed_by_id
        self._ids_by_zone = None

    def _remove(self, node_id: str) -> None:
        """Removes a node, or has it removed once it is kept no longer."""
        removal_at = self._kept_until()
        if removal_at > self._now():
            self._removal_at_by_id.setdefault(node_id, removal_at)
        else:
            del self._record_by_id[node_id]
            self._removal_at_by_id.pop(node_id, None)

    def _remove_lapsed(self) -> None:
        """Removes the nodes that are kept no longer."""
        if not self._removal_at_by_id:
            return
        now = self._now()
        for node_id, removal_at in list(self._removal_at_by_id.items()):
            if removal_at <= now:
                del self._removal_at_by_id[node_id]
                del self._record_by_id[node_id]
                self._ids_by_zone = None


def _parse(lease_name: str) -> NodeRecord | None:
    if not lease_name.startswith(NODE_LEASE_PREFIX):
        return None
    parts = lease_name.removeprefix(NODE_LEASE_PREFIX).split("/")
    node_id, separator, inbox = parts[0].rpartition("@")
    if not separator or not node_id:
        return None
    capacity = parse_whole_number(parts[2]) if len(parts) == 3 else None
    if capacity is None:
        return NodeRecord(node_id, inbox)
    return NodeRecord(node_id, inbox, parts[1], capacity)
