"""Adds the reports of a zone's nodes up for all other nodes.

Load pattern: hundreds of nodes with a few requests a second each. What a
node has to know is the sum over all others, so a head passes sums on, and
what a node gets does not grow with the fleet. Use of caps travels as totals
of one source at a time, so that a lost message costs nothing and a change of
heads a fraction of a second of use.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import NodeReport
from wasabiwing.messages import ServerUse
from wasabiwing.routed_calls import URGENCY_CLASSES
from wasabiwing.server_loads import NodeLoad
from wasabiwing.timers import TimerService

# A source of totals that is not heard for this long is no longer followed, in
# seconds.
SOURCE_SILENCE_S = 1.0

# Totals of a source are compared with earlier ones up to this age, in seconds.
SOURCE_GAP_S = 2.0

# Reports and sums are used for this long, in seconds.
SUMS_MEMORY_S = 1.6


class CounterDeltas:
    """Totals of several subjects, each counted by one or more sources.

    One source of a subject is followed, and its totals may also fall, when a
    request is given back. If it falls silent another one takes over, whose
    earlier counts are left out.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._total_by_key: dict[tuple[str, str], float] = defaultdict(float)
        self._last_by_source: dict[tuple[str, str, str], float] = {}
        self._heard_at_by_source: dict[tuple[str, str], float] = {}
        # The source that is followed, and when it was last heard.
        self._source_by_subject: dict[str, tuple[str, float]] = {}

    def update(
        self,
        subject: str,
        source: str,
        value_by_key: Mapping[str, float],
        age_s: float,
    ) -> dict[str, float]:
        """Returns by how much the totals of a subject have changed.

        A source that has just started, ``age_s`` seconds ago, counts from
        zero. Nothing is returned for one that is older and was not heard
        before or for a while, since what it counted may be known otherwise,
        and for one that is not followed.
        """
        followed = self._follows(subject, source)
        now = self._timer.now()
        heard_at = self._heard_at_by_source.get((subject, source), -inf)
        self._heard_at_by_source[(subject, source)] = now
        has_started = heard_at == -inf and 0.0 < age_s < SOURCE_GAP_S
        followed = followed and (has_started or now - heard_at < SOURCE_GAP_S)
        change_by_key = {}
        for key, value in value_by_key.items():
            # A key that is new within a followed source began at zero.
            last = self._last_by_source.get((subject, source, key), 0.0)
            self._last_by_source[(subject, source, key)] = value
            if not followed:
                continue
            change_by_key[key] = value - last
            self._total_by_key[(subject, key)] += value - last
        return change_by_key

    def _follows(self, subject: str, source: str) -> bool:
        now = self._timer.now()
        current, heard_at = self._source_by_subject.get(subject, ("", -inf))
        if current != source and now - heard_at < SOURCE_SILENCE_S:
            return False
        self._source_by_subject[subject] = (source, now)
        return True

    def totals(self, counts: Callable[[str], bool]) -> dict[str, float]:
        """Returns the sum over the subjects that count, by key."""
        sums: dict[str, float] = defaultdict(float)
        for (subject, key), total in self._total_by_key.items():
            if counts(subject):
                sums[key] += total
        return sums


@dataclass(frozen=True, slots=True)
class _Told:
    """A report, with the time at which it arrived."""

    at: float
    report: NodeReport


class ReportAggregator:
    """What a head of a zone adds up."""

    def __init__(self, zone: str, timer: TimerService) -> None:
        self._zone = zone
        self._timer = timer
        self._told_by_node: dict[str, _Told] = {}
        self._sums_by_zone: dict[str, tuple[float, AggregatedReport]] = {}
        self._used = CounterDeltas(timer)
        # Lives of this zone's nodes that were heard.
        self.incarnation_ids: set[str] = set()

    def note_report(
        self, node_id: str, report: NodeReport
    ) -> dict[str, float]:
        """Takes a node's report; returns what it has used since the last."""
        self._told_by_node[node_id] = _Told(self._timer.now(), report)
        self.incarnation_ids.add(report.incarnation_id)
        return self._used.update(
            report.incarnation_id,
            report.incarnation_id,
            {use.organisation: use.used for use in report.organisation_usage},
            report.age_s,
        )

    def note_zone(self, zone: str, sums: AggregatedReport) -> dict[str, float]:
        """Takes another zone's sums; returns the use since the last."""
        self._sums_by_zone[zone] = (self._timer.now(), sums)
        return self._used.update(
            zone,
            sums.incarnation_id,
            {use.organisation: use.used for use in sums.organisation_usage},
            sums.age_s,
        )

    def heard_since(self, node_id: str, moment: float) -> bool:
        """Whether a node's report arrived after a moment."""
        told = self._told_by_node.get(node_id)
        return told is not None and told.at >= moment

    def zone_node_count(self, since: float) -> int:
        """Returns how many nodes of this zone reported after a moment."""
        return sum(told.at >= since for told in self._told_by_node.values())

    def other_zones_node_count(self, since: float) -> int:
        """Returns the nodes in the sums of the other zones."""
        return sum(
            sums.node_count
            for told_at, sums in self._sums_by_zone.values()
            if told_at >= since
        )

    def zone_usage(self) -> dict[str, float]:
        """Returns the use of this zone's nodes since this head started."""
        return self._used.totals(self.incarnation_ids.__contains__)

    def fleet_usage(self) -> dict[str, float]:
        """Returns the use of all nodes since this head started."""
        return self._used.totals(lambda _: True)

    def zone_load(self, without: str = "") -> dict[str, NodeLoad]:
        """Returns what this zone's nodes have in flight, by server."""
        loads: dict[str, NodeLoad] = {}
        for node_id, report in self._recent_reports().items():
            if node_id == without:
                continue
            for item in report.servers:
                add_load(loads, item.server_id, read_load(item))
        return loads

    def load_by_zone(self) -> dict[str, dict[str, NodeLoad]]:
        """Returns what the nodes of the other zones have in flight."""
        return {
            zone: read_loads(sums.servers)
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

    def _recent_reports(self) -> dict[str, NodeReport]:
        oldest = self._timer.now() - SUMS_MEMORY_S
        return {
            node_id: told.report
            for node_id, told in self._told_by_node.items()
            if told.at >= oldest
        }

    def _recent_sums(self) -> dict[str, AggregatedReport]:
        oldest = self._timer.now() - SUMS_MEMORY_S
        return {
            zone: sums
            for zone, (told_at, sums) in self._sums_by_zone.items()
            if told_at >= oldest
        }


def read_load(item: ServerUse) -> NodeLoad:
    """Returns a load as this release counts it.

    Another release may know more or fewer classes of urgency.
    """
    missing = (0,) * URGENCY_CLASSES
    pending = (*item.pending_by_class, *missing)[:URGENCY_CLASSES]
    return NodeLoad(pending, item.running)


def read_loads(items: Iterable[ServerUse]) -> dict[str, NodeLoad]:
    """Returns loads by server."""
    return {item.server_id: read_load(item) for item in items}


def add_load(
    loads: dict[str, NodeLoad], server_id: str, load: NodeLoad
) -> None:
    """Adds a load to the sum of a server."""
    before = loads.get(server_id)
    if before is None:
        loads[server_id] = load
        return
    loads[server_id] = NodeLoad(
        tuple(
            one + other
            for one, other in zip(
                before.pending_by_class, load.pending_by_class, strict=True
            )
        ),
        before.running + load.running,
    )


def subtract_own_load(
    loads: Mapping[str, NodeLoad], own: Mapping[str, NodeLoad]
) -> dict[str, NodeLoad]:
    """Returns the loads of the other nodes from a sum with this one's."""
    others = {}
    for server_id, load in loads.items():
        part = own.get(server_id)
        if part is None:
            others[server_id] = load
            continue
        others[server_id] = NodeLoad(
            tuple(
                max(all_nodes - this_node, 0)
                for all_nodes, this_node in zip(
                    load.pending_by_class, part.pending_by_class, strict=True
                )
            ),
            max(load.running - part.running, 0),
        )
    return others
