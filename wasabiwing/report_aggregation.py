"""Aggregates the reports of a zone's nodes for all other nodes.

Load pattern: hundreds of nodes with a few requests a second each. A node
needs only the aggregate over all other nodes, so heads send aggregates, whose
size does not grow with the number of nodes. Usage of caps is sent as the
totals of one source at a time: a lost message then loses no usage, and a
change of heads loses a fraction of a second of usage.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import NodeReport
from wasabiwing.messages import ServerLoadEntry
from wasabiwing.routed_calls import URGENCIES
from wasabiwing.server_loads import NodeLoad
from wasabiwing.timers import TimerService

# A source of totals that is not heard for this long may be replaced by another
# one, in seconds.
SOURCE_TIMEOUT_S = 1.0

# Totals of a source are compared with its earlier ones if those are younger
# than this, in seconds.
MAX_SOURCE_GAP_S = 2.0

# Reports and aggregates are used for this long after arrival, in seconds.
REPORT_RETENTION_S = 1.6


class CounterDeltas:
    """Turns the totals that sources report into changes, by subject.

    A subject is counted by one or more sources, of which one is followed. Its
    totals may also fall, when the charge of a request is refunded. If the
    source falls silent, another one is followed; what that one counted before
    is left out.
    """

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._total_by_key: dict[tuple[str, str], float] = defaultdict(float)
        self._last_total_by_source: dict[tuple[str, str, str], float] = {}
        self._heard_at_by_source: dict[tuple[str, str], float] = {}
        # The followed source of a subject, and when it was last heard.
        self._source_by_subject: dict[str, tuple[str, float]] = {}

    def update(
        self,
        subject: str,
        source: str,
        value_by_key: Mapping[str, float],
        age_s: float,
    ) -> dict[str, float]:
        """Returns the changes of a subject's totals, by key.

        A source that has just started, ``age_s`` seconds ago, counts from
        zero. The result is empty for a source that is not followed. It is
        also empty for an older source that was never heard or not for a
        while, because its counts may be known from elsewhere.
        """
        followed = self._try_follow(subject, source)
        now = self._timer.now()
        heard_at = self._heard_at_by_source.get((subject, source), -inf)
        self._heard_at_by_source[(subject, source)] = now
        has_started = heard_at == -inf and 0.0 < age_s < MAX_SOURCE_GAP_S
        followed = followed and (
            has_started or now - heard_at < MAX_SOURCE_GAP_S
        )
        change_by_key = {}
        for key, value in value_by_key.items():
            # The total of a new key of a followed source began at zero.
            last = self._last_total_by_source.get((subject, source, key), 0.0)
            self._last_total_by_source[(subject, source, key)] = value
            if not followed:
                continue
            change_by_key[key] = value - last
            self._total_by_key[(subject, key)] += value - last
        return change_by_key

    def _try_follow(self, subject: str, source: str) -> bool:
        now = self._timer.now()
        current, heard_at = self._source_by_subject.get(subject, ("", -inf))
        if current != source and now - heard_at < SOURCE_TIMEOUT_S:
            return False
        self._source_by_subject[subject] = (source, now)
        return True

    def totals(self, is_included: Callable[[str], bool]) -> dict[str, float]:
        """Returns the sum over the included subjects, by key."""
        sum_by_key: dict[str, float] = defaultdict(float)
        for (subject, key), total in self._total_by_key.items():
            if is_included(subject):
                sum_by_key[key] += total
        return sum_by_key


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    """A report, with the time at which it arrived."""

    received_at: float
    report: NodeReport


class ReportAggregator:
    """Reports and aggregates that a head of a zone has received."""

    def __init__(self, zone: str, timer: TimerService) -> None:
        self._zone = zone
        self._timer = timer
        self._report_by_node: dict[str, _ReceivedReport] = {}
        self._aggregate_by_zone: dict[str, tuple[float, AggregatedReport]] = {}
        self._usage = CounterDeltas(timer)
        # Incarnation ids of this zone's nodes that were heard.
        self.incarnation_ids: set[str] = set()

    def note_report(
        self, node_id: str, report: NodeReport
    ) -> dict[str, float]:
        """Keeps a node's report; returns its usage since the last one."""
        self._report_by_node[node_id] = _ReceivedReport(
            self._timer.now(), report
        )
        self.incarnation_ids.add(report.incarnation_id)
        return self._usage.update(
            report.incarnation_id,
            report.incarnation_id,
            {use.organisation: use.used for use in report.organisation_usage},
            report.age_s,
        )

    def note_zone(
        self, zone: str, aggregate: AggregatedReport
    ) -> dict[str, float]:
        """Keeps a zone's aggregate; returns its usage since the last one."""
        self._aggregate_by_zone[zone] = (self._timer.now(), aggregate)
        return self._usage.update(
            zone,
            aggregate.incarnation_id,
            {
                use.organisation: use.used
                for use in aggregate.organisation_usage
            },
            aggregate.age_s,
        )

    def heard_since(self, node_id: str, moment: float) -> bool:
        """Returns whether a node's report arrived since a monotonic time."""
        received = self._report_by_node.get(node_id)
        return received is not None and received.received_at >= moment

    def zone_node_count(self, since: float) -> int:
        """Returns the number of this zone's nodes that reported since."""
        return sum(
            received.received_at >= since
            for received in self._report_by_node.values()
        )

    def other_zones_node_count(self, since: float) -> int:
        """Returns the number of nodes in the other zones' aggregates."""
        return sum(
            aggregate.node_count
            for received_at, aggregate in self._aggregate_by_zone.values()
            if received_at >= since
        )

    def zone_usage(self) -> dict[str, float]:
        """Returns the usage of this zone since this head started."""
        return self._usage.totals(self.incarnation_ids.__contains__)

    def fleet_usage(self) -> dict[str, float]:
        """Returns the usage of all nodes since this head started."""
        return self._usage.totals(lambda _: True)

    def zone_load(self, without: str = "") -> dict[str, NodeLoad]:
        """Returns the load of this zone's nodes in flight, by server."""
        loads: dict[str, NodeLoad] = {}
        for node_id, report in self._recent_reports().items():
            if node_id == without:
                continue
            for item in report.servers:
                add_load(loads, item.server_id, read_load(item))
        return loads

    def load_by_zone(self) -> dict[str, dict[str, NodeLoad]]:
        """Returns the load in flight of the other zones, by server."""
        return {
            zone: read_loads(aggregate.servers)
            for zone, aggregate in self._recent_aggregates().items()
        }

    def zone_demand(self) -> dict[str, float]:
        """Returns the demand of this zone's nodes by service."""
        total: dict[str, float] = defaultdict(float)
        for report in self._recent_reports().values():
            for service, demand in report.demand:
                total[service] += demand
        return total

    def demand_by_zone(self) -> dict[str, dict[str, float]]:
        """Returns the demand of the other zones, by service."""
        return {
            zone: dict(aggregate.demand)
            for zone, aggregate in self._recent_aggregates().items()
        }

    def _recent_reports(self) -> dict[str, NodeReport]:
        oldest = self._timer.now() - REPORT_RETENTION_S
        return {
            node_id: received.report
            for node_id, received in self._report_by_node.items()
            if received.received_at >= oldest
        }

    def _recent_aggregates(self) -> dict[str, AggregatedReport]:
        oldest = self._timer.now() - REPORT_RETENTION_S
        return {
            zone: aggregate
            for zone, (
                received_at,
                aggregate,
            ) in self._aggregate_by_zone.items()
            if received_at >= oldest
        }


def read_load(item: ServerLoadEntry) -> NodeLoad:
    """Returns a reported load with this release's urgencies.

    Another release may have more or fewer; urgencies without work at the end
    are not sent.
    """
    missing = (0,) * URGENCIES
    pending = (*item.pending_by_urgency, *missing)[:URGENCIES]
    return NodeLoad(pending, item.running)


def read_loads(items: Iterable[ServerLoadEntry]) -> dict[str, NodeLoad]:
    """Returns reported loads by server id."""
    return {item.server_id: read_load(item) for item in items}


def add_load(
    loads: dict[str, NodeLoad], server_id: str, load: NodeLoad
) -> None:
    """Adds a load to the total load of a server."""
    before = loads.get(server_id)
    if before is None:
        loads[server_id] = load
        return
    loads[server_id] = NodeLoad(
        tuple(
            first + second
            for first, second in zip(
                before.pending_by_urgency, load.pending_by_urgency, strict=True
            )
        ),
        before.running + load.running,
    )


def subtract_own_load(
    loads: Mapping[str, NodeLoad], own: Mapping[str, NodeLoad]
) -> dict[str, NodeLoad]:
    """Returns an aggregate's loads without those of this node."""
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
                    load.pending_by_urgency,
                    part.pending_by_urgency,
                    strict=True,
                )
            ),
            max(load.running - part.running, 0),
        )
    return others
