"""Exchanges reports between nodes several times a second.

Up to ``MAX_FULL_MESH_NODES`` nodes each send their report to all others.
Load pattern: more nodes, on narrow links, where a full mesh would delay the
events of streams. Then a node reports to the heads of its zone. The heads
aggregate the reports, exchange the aggregates and send them to the nodes.
Reports carry totals instead of differences, so that a lost report only delays
the data.
"""

from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from wasabiwing.first_event_counts import FleetFirstEvents
from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import Envelope
from wasabiwing.messages import HeadPush
from wasabiwing.messages import IncarnationWindows
from wasabiwing.messages import NodeReport
from wasabiwing.messages import OrganisationUsage
from wasabiwing.messages import PromptPlacement
from wasabiwing.messages import ServerLoadEntry
from wasabiwing.messages import WindowUsage
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.ports import Transport
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.report_aggregation import add_load
from wasabiwing.report_aggregation import CounterDeltas
from wasabiwing.report_aggregation import read_loads
from wasabiwing.report_aggregation import ReportAggregator
from wasabiwing.report_aggregation import subtract_own_load
from wasabiwing.routed_calls import PromptPart
from wasabiwing.sent_orders import SentOrders
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_loads import NodeLoad
from wasabiwing.server_loads import ServerLoads
from wasabiwing.store_eras import era_of
from wasabiwing.store_eras import revision_of
from wasabiwing.store_eras import store_position
from wasabiwing.store_progress import StoreProgress
from wasabiwing.timers import TimerService
from wasabiwing.usage_caps import CapUsage
from wasabiwing.usage_caps import UsageCaps
from wasabiwing.usage_windows import UsageWindows
from wasabiwing.usage_windows import WindowCount
from wasabiwing.zone_heads import ZoneHeads

# Interval between two reports of a node, in seconds. Usage caps may be
# exceeded by the requests that arrive within it.
REPORT_PERIOD_S = 0.25

# A node reports to the heads of its zone once in this many periods.
HEAD_REPORT_EVERY = 2

# Number of missed reports after which a node counts as silent.
MISSED_REPORTS = 6

# The other nodes report the counts of a node that is not heard for this long,
# in seconds: two of its reports are missing.
INHERIT_AFTER_S = 0.6

# One report out of this many carries the counts of usage windows, which are
# not due until seconds later.
WINDOWS_EVERY = 4

# Time after the last report of a node without a lease in which it still gets
# reports, in seconds.
EXPIRED_LEASE_GRACE_S = 5.0

# Maximum number of prompt placements in one report.
MAX_PLACEMENTS = 64

# Time after which the aggregates of all zones contain every report that was
# sent before, in seconds: the periods from node to head and from head to head,
# and the transmission.
AGGREGATION_DELAY_S = 1.0

# Key of the aggregate of all other nodes among the loads of peers.
FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class ReportedState:
    """The parts of a node whose state the reports carry."""

    caps: UsageCaps
    windows: UsageWindows
    loads: ServerLoads
    prompts: PromptCacheIndex
    demand: ServerDemand
    store: StoreProgress
    first_events: FleetFirstEvents
    orders: SentOrders


class NodeReports:
    """Sends this node's reports and applies those of other nodes."""

    def __init__(
        self,
        incarnation_id: str,
        timer: TimerService,
        transport: Transport,
        nodes: NodeRegistry,
        heads: ZoneHeads,
    ) -> None:
        self._incarnation_id = incarnation_id
        self._timer = timer
        self._transport = transport
        self._nodes = nodes
        self._heads = heads
        self._heard_at_by_node: dict[str, float] = {}
        self._heard_at_by_incarnation: dict[str, float] = {}
        self._inbox_by_node: dict[str, str] = {}
        # Monotonic times of prompt placements, with the placements.
        self._placements: deque[tuple[float, PromptPlacement]] = deque(
            maxlen=MAX_PLACEMENTS
        )
        self._period_count = 0
        self._started_at = timer.now()
        self._aggregator = ReportAggregator(heads.zone, timer)
        self._fleet_usage = CounterDeltas(timer)
        # Own usage by organisation that is in the aggregates applied so far.
        self._own_counted_by_organisation: dict[str, float] = {}
        self._last_sent: NodeReport | None = None
        # Number of nodes in a head's latest aggregate, and its arrival time.
        self._aggregate_node_count = 0
        self._aggregate_received_at = 0.0

    def note_placement(
        self, server_id: str, parts: Sequence[PromptPart]
    ) -> None:
        """Adds a prompt's placement on a server to the next reports."""
        placement = PromptPlacement(
            server_id, tuple((part.id, part.tokens) for part in parts)
        )
        self._placements.append((self._timer.now(), placement))

    def heard_share(self) -> float:
        """Returns the share of all nodes that were heard, with this one."""
        since = self._timer.now() - REPORT_PERIOD_S * MISSED_REPORTS
        if self._heads.uses_heads:
            return self._heard_share_by_heads(since)
        heard = sum(
            self.heard_since(node_id, since) for node_id in self._nodes.peers()
        )
        return (heard + 1) / self._nodes.count

    def live_inboxes(self) -> dict[str, str]:
        """Returns the inboxes of the other nodes that were heard, by id.

        In a fleet that uses zone heads, all registered nodes count as heard.
        In others, a node whose lease expired in an outage of the store counts
        as long as its reports arrive.
        """
        if self._heads.uses_heads:
            return {
                node_id: f"tcp://{inbox}"
                for node_id, inbox in self._nodes.peers().items()
            }
        since = self._timer.now() - REPORT_PERIOD_S * MISSED_REPORTS
        return {
            node_id: inbox
            for node_id, inbox in self._inbox_by_node.items()
            if self.heard_since(node_id, since)
        }

    def known_inboxes(self) -> dict[str, str]:
        """Returns the inboxes of the other nodes, heard or not, by id."""
        registered = {
            node_id: f"tcp://{inbox}"
            for node_id, inbox in self._nodes.peers().items()
        }
        return registered | self.live_inboxes()

    def heard_since(self, node_id: str, moment: float) -> bool:
        """Returns whether a node's report arrived since a monotonic time."""
        return self._heard_at_by_node.get(node_id, 0.0) >= moment

    def all_heard_since(self, moment: float) -> bool:
        """Returns whether all other nodes' state at a moment is known."""
        if not self._heads.uses_heads:
            return all(
                self.heard_since(node_id, moment)
                for node_id in self._nodes.peers()
            )
        if self._timer.now() < moment + AGGREGATION_DELAY_S:
            return False
        return self._aggregated_node_count(moment) >= self._nodes.count

    def window_totals(
        self, window: int, windows: UsageWindows
    ) -> dict[str, int]:
        """Returns a usage window's requests in all nodes, by organisation."""
        if not self._heads.uses_heads:
            return windows.count_by_organisation(window)
        return windows.fleet_count_by_organisation(
            window, self._heads.zone, self._aggregator.incarnation_ids
        )

    async def send(self, shared: ReportedState) -> None:
        """Sends this node's report; called every ``REPORT_PERIOD_S``."""
        self._period_count += 1
        shared.caps.refill_buckets()
        if self._heads.uses_heads:
            if self._period_count % HEAD_REPORT_EVERY == 0:
                self._send_to_heads(shared)
            return
        receivers = sorted(self._receiver_inboxes())
        if not receivers:
            return
        report = self._build(shared, self._period_count % WINDOWS_EVERY == 0)
        for inbox in receivers:
            self._transport.send(inbox, report)

    def receive(
        self, envelope: Envelope, report: NodeReport, shared: ReportedState
    ) -> None:
        """Applies another node's report."""
        shared.orders.note_reported(report.orders)
        if self._heads.uses_heads:
            self._receive_as_head(envelope.sender, report, shared)
            return
        now = self._timer.now()
        self._heard_at_by_node[envelope.sender] = now
        self._heard_at_by_incarnation[report.incarnation_id] = now
        self._inbox_by_node[envelope.sender] = envelope.reply_to
        shared.caps.note_peer_usage(
            report.incarnation_id,
            [
                CapUsage(item.organisation, item.used, item.level)
                for item in report.organisation_usage
            ],
            report.age_s,
        )
        shared.windows.note_peer_counts(
            report.incarnation_id, _window_counts(report.windows)
        )
        for inherited in report.departed_windows:
            shared.windows.note_peer_counts(
                inherited.incarnation_id, _window_counts(inherited.windows)
            )
        shared.loads.note_peer_loads(
            envelope.sender,
            read_loads(report.servers),
        )
        shared.demand.note_peer_demand(envelope.sender, dict(report.demand))
        shared.first_events.note_node(envelope.sender, report.first_events)
        shared.store.note_peer_revision(
            store_position(report.store_era, report.revision)
        )
        for placement in report.placements:
            shared.prompts.note_prompt(
                placement.server_id,
                [PromptPart(*part) for part in placement.parts],
            )

    def receive_push(self, push: HeadPush, shared: ReportedState) -> None:
        """Applies the aggregates in a head's push."""
        shared.orders.note_reported(push.orders)
        if push.zone_aggregate is not None:
            self._apply_zone_aggregate(push.zone, push.zone_aggregate, shared)
            if push.zone != self._heads.zone:
                shared.first_events.note_zone(push.zone, push.first_events)
        if push.fleet_aggregate is not None:
            self._apply_fleet_aggregate(push.fleet_aggregate, shared)
            if self._heads.own_rank() is None:
                shared.first_events.note_fleet(push.first_events)

    def aggregate_zone(self, shared: ReportedState) -> AggregatedReport:
        """Returns the aggregated reports of this zone's nodes."""
        own = self._build(shared, True)
        self._aggregator.note_report(_node_id_of(self._incarnation_id), own)
        shared.windows.note_peer_counts(
            own.incarnation_id, _window_counts(own.windows)
        )
        since = self._timer.now() - REPORT_PERIOD_S * MISSED_REPORTS
        return AggregatedReport(
            self._incarnation_id,
            self._aggregator.zone_node_count(since),
            self._aggregate_caps(self._aggregator.zone_usage(), shared),
            _window_uses(
                shared.windows.zone_counts(
                    self._heads.zone, self._aggregator.incarnation_ids
                )
            ),
            _server_uses(self._aggregator.zone_load()),
            tuple(self._aggregator.zone_demand().items()),
            self._age_s(),
        )

    def aggregate_fleet(self, shared: ReportedState) -> AggregatedReport:
        """Returns the aggregated reports of all nodes."""
        loads = self._aggregator.zone_load()
        for load_by_server in self._aggregator.load_by_zone().values():
            for server_id, load in load_by_server.items():
                add_load(loads, server_id, load)
        since = self._timer.now() - REPORT_PERIOD_S * MISSED_REPORTS
        return AggregatedReport(
            self._incarnation_id,
            self._aggregated_node_count(since),
            self._aggregate_caps(self._aggregator.fleet_usage(), shared),
            servers=_server_uses(loads),
            age_s=self._age_s(),
        )

    def _heard_share_by_heads(self, since: float) -> float:
        count = self._nodes.count
        heard = 1
        if self._heads.own_rank() is not None:
            heard = self._aggregated_node_count(since)
        elif self._aggregate_received_at >= since:
            heard = self._aggregate_node_count
        return min(max(heard, 1) / count, 1.0)

    def _aggregated_node_count(self, since: float) -> int:
        """Returns the number of nodes in this head's aggregates."""
        return self._aggregator.zone_node_count(
            since
        ) + self._aggregator.other_zones_node_count(since)

    def _send_to_heads(self, shared: ReportedState) -> None:
        report_count = self._period_count // HEAD_REPORT_EVERY
        report = self._build(shared, report_count % 2 == 0)
        self._last_sent = report
        for node_id in self._heads.heads_of_zone(self._heads.zone):
            inbox = self._heads.inbox(node_id)
            if inbox is not None and node_id != _node_id_of(
                self._incarnation_id
            ):
                self._transport.send(inbox, report)

    def _receive_as_head(
        self, sender: str, report: NodeReport, shared: ReportedState
    ) -> None:
        """Adds a report to the zone's aggregate as head of the zone."""
        record = self._nodes.get(sender)
        if record is None or record.availability_zone != self._heads.zone:
            return
        used_by_organisation = self._aggregator.note_report(sender, report)
        shared.first_events.note_node(sender, report.first_events)
        level_by_organisation = {
            use.organisation: use.level for use in report.organisation_usage
        }
        self._deduct(used_by_organisation, level_by_organisation, shared)
        shared.windows.note_peer_counts(
            report.incarnation_id, _window_counts(report.windows)
        )

    def _apply_zone_aggregate(
        self, zone: str, aggregate: AggregatedReport, shared: ReportedState
    ) -> None:
        """Applies another head's aggregate and updates peers' loads."""
        shared.windows.note_zone_counts(
            zone, _window_counts(aggregate.windows)
        )
        if zone != self._heads.zone:
            used_by_organisation = self._aggregator.note_zone(zone, aggregate)
            level_by_organisation = {
                use.organisation: use.level
                for use in aggregate.organisation_usage
            }
            self._deduct(used_by_organisation, level_by_organisation, shared)
        if self._heads.own_rank() is None:
            return
        loads = self._aggregator.load_by_zone()
        loads[self._heads.zone] = self._aggregator.zone_load(
            _node_id_of(self._incarnation_id)
        )
        shared.loads.replace_peer_loads(loads)
        for name, demand in self._aggregator.demand_by_zone().items():
            shared.demand.note_peer_demand(name, demand)
        own = shared.demand.own_by_service()
        shared.demand.note_peer_demand(
            self._heads.zone,
            {
                service: max(demand - own.get(service, 0.0), 0.0)
                for service, demand in self._aggregator.zone_demand().items()
            },
        )

    def _deduct(
        self,
        used_by_organisation: Mapping[str, float],
        level_by_organisation: Mapping[str, float],
        shared: ReportedState,
    ) -> None:
        """Deducts usage that is reported to heads, if this node is one.

        Other nodes deduct the usage in the fleet's aggregate.
        """
        if self._heads.own_rank() is None:
            return
        for organisation, amount in used_by_organisation.items():
            level = level_by_organisation[organisation]
            shared.caps.deduct_peer_usage(organisation, amount, level)

    def _apply_fleet_aggregate(
        self, aggregate: AggregatedReport, shared: ReportedState
    ) -> None:
        """Applies the aggregate of all nodes, if this node is no head."""
        if self._heads.own_rank() is not None:
            return
        self._aggregate_node_count = aggregate.node_count
        self._aggregate_received_at = self._timer.now()
        sent = self._last_sent
        own_use = sent.organisation_usage if sent is not None else ()
        used_by_organisation = {use.organisation: use.used for use in own_use}
        change_by_organisation = self._fleet_usage.update(
            FLEET,
            aggregate.incarnation_id,
            {
                use.organisation: use.used
                for use in aggregate.organisation_usage
            },
            aggregate.age_s,
        )
        for use in aggregate.organisation_usage:
            own = used_by_organisation.get(use.organisation, 0.0)
            counted = self._own_counted_by_organisation.get(
                use.organisation, 0.0
            )
            change = change_by_organisation.get(use.organisation)
            self._own_counted_by_organisation[use.organisation] = own
            if change is None:
                shared.caps.limit_to_peer_level(use.organisation, use.level)
            else:
                amount = change - (own - counted)
                shared.caps.deduct_peer_usage(
                    use.organisation, amount, use.level
                )
        own_load = read_loads(sent.servers if sent is not None else ())
        load_by_server = read_loads(aggregate.servers)
        shared.loads.replace_peer_loads(
            {FLEET: subtract_own_load(load_by_server, own_load)}
        )

    def _aggregate_caps(
        self, used_by_organisation: dict[str, float], shared: ReportedState
    ) -> tuple[OrganisationUsage, ...]:
        level_by_organisation = {
            use.organisation: use.level for use in shared.caps.own_usage()
        }
        return tuple(
            OrganisationUsage(
                organisation,
                used,
                level_by_organisation.get(organisation, inf),
            )
            for organisation, used in used_by_organisation.items()
        )

    def _receiver_inboxes(self) -> set[str]:
        """Returns the inboxes of all other nodes.

        A node whose lease expired in an outage of the store is included as
        long as its reports arrive.
        """
        since = self._timer.now() - EXPIRED_LEASE_GRACE_S
        registered = {
            f"tcp://{inbox}" for inbox in self._nodes.peers().values()
        }
        heard = {
            inbox
            for node_id, inbox in self._inbox_by_node.items()
            if self.heard_since(node_id, since)
        }
        return registered | heard

    def _build(self, shared: ReportedState, with_windows: bool) -> NodeReport:
        # Slightly longer than a period, so that each placement is reported.
        since = self._timer.now() - REPORT_PERIOD_S * 1.2
        placements = () if self._heads.uses_heads else tuple(self._placements)
        return NodeReport(
            self._incarnation_id,
            tuple(
                OrganisationUsage(use.organisation, use.used, use.level)
                for use in shared.caps.own_usage()
            ),
            _window_uses(shared.windows.own_counts() if with_windows else ()),
            _server_uses(shared.loads.own_load_by_server()),
            tuple(
                placement
                for placed_at, placement in placements
                if placed_at >= since
            ),
            tuple(shared.demand.own_by_service().items()),
            revision_of(shared.store.revision),
            self._silent_node_windows(shared.windows) if with_windows else (),
            self._age_s(),
            era_of(shared.store.revision),
            shared.first_events.own_entries(),
            shared.orders.reported(),
        )

    def _age_s(self) -> float:
        return self._timer.now() - self._started_at

    def _silent_node_windows(
        self, windows: UsageWindows
    ) -> tuple[IncarnationWindows, ...]:
        """Returns the usage window counts of nodes that are silent.

        Nodes that started later get these counts from this report.
        """
        if self._heads.uses_heads:
            return ()
        since = self._timer.now() - INHERIT_AFTER_S
        for other, heard_at in list(self._heard_at_by_incarnation.items()):
            if heard_at < since:
                del self._heard_at_by_incarnation[other]
        return tuple(
            IncarnationWindows(other, _window_uses(counts))
            for other, counts in windows.counts_by_other_incarnation().items()
            if other not in self._heard_at_by_incarnation
        )


def _node_id_of(incarnation_id: str) -> str:
    """Returns the node id in an incarnation id."""
    return incarnation_id.rpartition("/")[0] or incarnation_id


def _window_counts(uses: Iterable[WindowUsage]) -> list[WindowCount]:
    return [
        WindowCount(item.window, item.organisation, item.count)
        for item in uses
    ]


def _window_uses(counts: Iterable[WindowCount]) -> tuple[WindowUsage, ...]:
    return tuple(
        WindowUsage(item.window, item.organisation, item.count)
        for item in counts
    )


def _without_trailing_zeros(numbers: tuple[int, ...]) -> tuple[int, ...]:
    """Returns numbers without zeros at the end; readers add them."""
    count = max(
        (index + 1 for index, number in enumerate(numbers) if number),
        default=0,
    )
    return numbers[:count]


def _server_uses(loads: dict[str, NodeLoad]) -> tuple[ServerLoadEntry, ...]:
    return tuple(
        ServerLoadEntry(
            server_id,
            _without_trailing_zeros(load.pending_by_urgency),
            load.running,
        )
        for server_id, load in loads.items()
    )
