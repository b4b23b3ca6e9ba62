"""Adds the reports of a zone's nodes up for all other nodes.

Load pattern: hundreds of nodes with a few requests a second each. What a
node has to know is the sum over all others, so a head passes sums on, and
what a node gets does not grow with the fleet. Use of caps travels as totals
that only grow; totals of two heads of a zone are aligned when first seen, so
that a change of heads costs a fraction of a second of use.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

from wasabiwing.messages import NodeReport
from wasabiwing.messages import ReportSums
from wasabiwing.server_loads import PeerLoad
from wasabiwing.timers import TimerService

# Reports and sums are used for this long, in seconds.
SUMS_MEMORY_S = 1.6


class AlignedTotals:
    """Growing totals of one subject that several sources count."""

    def __init__(self) -> None:
        self._total_by_key: dict[tuple[str, str], float] = defaultdict(float)
        self._base_by_source: dict[tuple[str, str, str], float] = {}

    def note(
        self, subject: str, source: str, key: str, value: float
    ) -> float | None:
        """Returns what is new; ``None`` for a source not seen before."""
        total = self._total_by_key[(subject, key)]
        base = self._base_by_source.get((subject, source, key))
        if base is None:
            self._base_by_source[(subject, source, key)] = value - total
            return None
        new = value - base - total
        if new <= 0:
            return 0.0
        self._total_by_key[(subject, key)] = total + new
        return new

    def totals(self, counts: Callable[[str], bool]) -> dict[str, float]:
        """Returns the sum over the subjects that count, by key."""
        sums: dict[str, float] = defaultdict(float)
        for (subject, key), total in self._total_by_key.items():
            if counts(subject):
                sums[key] += total
        return sums


@dataclass(frozen=True, slots=True)
class _Told:
    """A report or a sum, with the time at which it arrived."""

    at: float
    report: NodeReport


class HeadSums:
    """What a head of a zone adds up."""

    def __init__(self, zone: str, timer: TimerService) -> None:
        self._zone = zone
        self._timer = timer
        self._told_by_node: dict[str, _Told] = {}
        self._sums_by_zone: dict[str, tuple[float, ReportSums]] = {}
        self._used = AlignedTotals()
        # Lives of this zone's nodes that were heard.
        self.lives: set[str] = set()

    def note_report(
        self, node_id: str, report: NodeReport
    ) -> dict[str, float]:
        """Takes a node's report; returns what it has used since the last."""
        self._told_by_node[node_id] = _Told(self._timer.now(), report)
        self.lives.add(report.life)
        return self._increments(
            report.life,
            {use.organisation: use.used for use in report.caps},
            report.life,
        )

    def note_zone(self, zone: str, sums: ReportSums) -> dict[str, float]:
        """Takes another zone's sums; returns the use since the last."""
        self._sums_by_zone[zone] = (self._timer.now(), sums)
        return self._increments(
            zone,
            {use.organisation: use.used for use in sums.caps},
            sums.life,
        )

    def heard_since(self, node_id: str, moment: float) -> bool:
        """Whether a node's report arrived after a moment."""
        told = self._told_by_node.get(node_id)
        return told is not None and told.at >= moment

    def zone_heard(self, since: float) -> int:
        """Returns how many nodes of this zone reported after a moment."""
        return sum(told.at >= since for told in self._told_by_node.values())

    def others_heard(self, since: float) -> int:
        """Returns the nodes in the sums of the other zones."""
        return sum(
            sums.heard
            for told_at, sums in self._sums_by_zone.values()
            if told_at >= since
        )

    def used_in_zone(self) -> dict[str, float]:
        """Returns the use of this zone's nodes since this head started."""
        return self._used.totals(self.lives.__contains__)

    def used_in_fleet(self) -> dict[str, float]:
        """Returns the use of all nodes since this head started."""
        return self._used.totals(lambda _: True)

    def zone_load(self, without: str = "") -> dict[str, PeerLoad]:
        """Returns what this zone's nodes have in flight, by server."""
        loads: dict[str, PeerLoad] = {}
        for node_id, report in self._recent_reports().items():
            if node_id == without:
                continue
            for item in report.servers:
                add_load(
                    loads,
                    item.server_id,
                    PeerLoad(item.pending_by_class, item.running),
                )
        return loads

    def load_by_zone(self) -> dict[str, dict[str, PeerLoad]]:
        """Returns what the nodes of the other zones have in flight."""
        return {
            zone: {
                item.server_id: PeerLoad(item.pending_by_class, item.running)
                for item in sums.servers
            }
            for zone, sums in self._recent_sums().items()
        }

    def zone_demand(self) -> dict[str, float]:
        """Returns the demand of this zone's nodes by service."""
        total: dict[str, float] = defaultdict(float)
        for report in self._recent_reports().values():
            for service, demand in report.demand:
                total[service] += demand
        return total

    def demand_by_zone(self) -> dict[str, dict[str, float]]:
        """Returns the demand of the other zones."""
        return {
            zone: dict(sums.demand)
            for zone, sums in self._recent_sums().items()
        }

    def _increments(
        self, subject: str, used_by_key: Mapping[str, float], source: str
    ) -> dict[str, float]:
        noted = {
            key: self._used.note(subject, source, key, used)
            for key, used in used_by_key.items()
        }
        return {key: new or 0.0 for key, new in noted.items()}

    def _recent_reports(self) -> dict[str, NodeReport]:
        oldest = self._timer.now() - SUMS_MEMORY_S
        return {
            node_id: told.report
            for node_id, told in self._told_by_node.items()
            if told.at >= oldest
        }

    def _recent_sums(self) -> dict[str, ReportSums]:
        oldest = self._timer.now() - SUMS_MEMORY_S
        return {
            zone: sums
            for zone, (told_at, sums) in self._sums_by_zone.items()
            if told_at >= oldest
        }


def add_load(
    loads: dict[str, PeerLoad], server_id: str, load: PeerLoad
) -> None:
    """Adds a load to the sum of a server."""
    before = loads.get(server_id)
    if before is None:
        loads[server_id] = load
        return
    loads[server_id] = PeerLoad(
        tuple(
            one + other
            for one, other in zip(
                before.pending_by_class, load.pending_by_class, strict=True
            )
        ),
        before.running + load.running,
    )


def without_own(
    loads: Mapping[str, PeerLoad], own: Mapping[str, PeerLoad]
) -> dict[str, PeerLoad]:
    """Returns the loads of the other nodes from a sum with this one's."""
    others = {}
    for server_id, load in loads.items():
        part = own.get(server_id)
        if part is None:
            others[server_id] = load
            continue
        others[server_id] = PeerLoad(
            tuple(
                max(all_nodes - this_node, 0)
                for all_nodes, this_node in zip(
                    load.pending_by_class, part.pending_by_class, strict=True
                )
            ),
            max(load.running - part.running, 0),
        )
    return others
