"""Directory of a deployment's gateways, as listed by their controllers.

Controllers exchange their lists and send them to their gateways. A gateway
uses the list to find the owner of a request id, and peers for the records of
its own requests.
"""

from dataclasses import dataclass

from wasabiwing.messages import GatewayEntry
from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

# A gateway is live if its controller heard it within this time, in seconds.
LIVE_S = 3.0

# Time for which a gateway that is not heard stays listed, in seconds. Its zone
# decides which peers hold the records of its requests.
EXPIRY_S = 60.0


@dataclass(frozen=True, slots=True)
class _HeardEntry:
    entry: GatewayEntry
    heard_at: float


class GatewayDirectory:
    """Entries of all gateways that were heard within ``EXPIRY_S``."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._heard_by_node: dict[str, _HeardEntry] = {}

    def put(self, entry: GatewayEntry) -> None:
        """Adds a gateway's entry unless a newer one is known."""
        heard_at = self._timer.now() - entry.age_s
        known = self._heard_by_node.get(entry.node_id)
        if known is None or known.heard_at < heard_at:
            self._heard_by_node[entry.node_id] = _HeardEntry(entry, heard_at)

    def entries(self) -> tuple[GatewayEntry, ...]:
        """Returns the entries of all listed gateways with their ages."""
        now = self._timer.now()
        return tuple(
            GatewayEntry(
                heard.entry.node_id,
                heard.entry.address,
                heard.entry.http_address,
                heard.entry.availability_zone,
                heard.entry.leaving,
                now - heard.heard_at,
            )
            for heard in self._heard_by_node.values()
            if now - heard.heard_at < EXPIRY_S
        )

    @property
    def live_count(self) -> int:
        """Number of gateways that were heard within ``LIVE_S``."""
        return sum(entry.age_s < LIVE_S for entry in self.entries())

    @property
    def hosts(self) -> frozenset[str]:
        """Hosts at which the listed gateways serve callers."""
        return frozenset(
            entry.http_address.rpartition(":")[0] for entry in self.entries()
        )

    def get(self, node_id: str) -> GatewayEntry | None:
        """Returns the entry of a gateway by node id, live or not."""
        heard = self._heard_by_node.get(node_id)
        return heard.entry if heard else None

    def rank_handover_peers(
        self, request_id: str, origin: GatewayEntry, excluded: set[str]
    ) -> list[GatewayEntry]:
        """Ranks the live peers that may store a request's record."""
        return [
            entry
            for entry in self.rank_record_peers(request_id, origin)
            if not entry.leaving and entry.availability_zone not in excluded
        ]

    def rank_record_peers(
        self, request_id: str, origin: GatewayEntry
    ) -> list[GatewayEntry]:
        """Ranks the live peers that may hold a request's record.

        Peers in other availability zones come first, and among these one of
        each zone before a second one of any zone.
        """
        live = {
            entry.node_id: entry
            for entry in self.entries()
            if entry.age_s < LIVE_S and entry.node_id != origin.node_id
        }
        ranked = [live[name] for name in rank_members(request_id, live)]
        used_zone_ids = {origin.availability_zone}
        one_per_zone: list[GatewayEntry] = []
        for entry in ranked:
            if entry.availability_zone not in used_zone_ids:
                used_zone_ids.add(entry.availability_zone)
                one_per_zone.append(entry)
        remaining = [entry for entry in ranked if entry not in one_per_zone]
        other_zones = [
            entry
            for entry in remaining
            if entry.availability_zone != origin.availability_zone
        ]
        same_zone = [entry for entry in remaining if entry not in other_zones]
        return one_per_zone + other_zones + same_zone


def node_id_of_request(request_id: str) -> str:
    """Returns the node id in a request id."""
    return request_id.rpartition("-")[0]
