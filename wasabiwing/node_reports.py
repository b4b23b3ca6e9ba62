"""What the nodes tell each other several times a second.

Up to ``MAX_FULL_MESH_NODES`` nodes each send their report to all others.
Load pattern: more nodes, on narrow links, where that would hold up the events
of streams. Then a node reports to the heads of its zone, which add the
reports up, tell each other, and tell the nodes the sum. Reports carry totals
and not differences, so that a lost one costs nothing but time.
"""

from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import Envelope
from wasabiwing.messages import HeadPush
from wasabiwing.messages import IncarnationWindows
from wasabiwing.messages import NodeReport
from wasabiwing.messages import OrganisationUse
from wasabiwing.messages import PromptPlacement
from wasabiwing.messages import ServerUse
from wasabiwing.messages import WindowUse
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.ports import Transport
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.report_aggregation import add_load
from wasabiwing.report_aggregation import CounterDeltas
from wasabiwing.report_aggregation import read_loads
from wasabiwing.report_aggregation import ReportAggregator
from wasabiwing.report_aggregation import subtract_own_load
from wasabiwing.routed_calls import PromptPart
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_loads import NodeLoad
from wasabiwing.server_loads import ServerLoads
from wasabiwing.store_progress import StoreProgress
from wasabiwing.timers import TimerService
from wasabiwing.usage_caps import CapUse
from wasabiwing.usage_caps import UsageCaps
from wasabiwing.usage_windows import UsageWindows
from wasabiwing.usage_windows import WindowCount
from wasabiwing.zone_heads import ZoneHeads

# Time between two reports in seconds. Usage caps may be exceeded by what
# arrives in that time.
REPORT_PERIOD_S = 0.25

# A node reports to the heads of its zone once in so many periods.
HEAD_REPORT_EVERY = 2

# Reports that may be missed before a node counts as silent.
MISSED_REPORTS = 6

# Counts of a node that is not heard for this long are told by the others, in
# seconds: two of its reports are missing.
INHERITED_AFTER_S = 0.6

# Counts of usage windows are in one report out of so many; they are due
# seconds later.
WINDOWS_EVERY = 4

# Reports go on to a node without a lease for this long after its last one,
# in seconds.
LAPSED_MEMORY_S = 5.0

# Placements that one report carries at most.
MAX_PLACEMENTS = 64

# Time after which sums of all zones contain every report sent before, in
# seconds: from node to head, from head to head, and the way.
SUMS_DELAY_S = 1.0

# Name of the sum of all other nodes among the loads.
FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class SharedState:
    """The parts of a node whose state the reports carry."""

    caps: UsageCaps
    windows: UsageWindows
    loads: ServerLoads
    prompts: PromptCacheIndex
    demand: ServerDemand
    store: StoreProgress


class NodeReports:
    """Sends this node's report and takes over those of others."""

    def __init__(
        self,
        incarnation_id: str,
        timer: TimerService,
        transport: Transport,
        nodes: NodeRegistry,
        heads: ZoneHeads,
    ) -> None:
        self._life = incarnation_id
        self._timer = timer
        self._transport = transport
        self._nodes = nodes
        self._heads = heads
        self._heard_at_by_node: dict[str, float] = {}
        self._heard_at_by_life: dict[str, float] = {}
        self._inbox_by_heard: dict[str, str] = {}
        # Placements with the time at which they were made.
        self._placements: deque[tuple[float, PromptPlacement]] = deque(
            maxlen=MAX_PLACEMENTS
        )
        self._turn = 0
        self._started_at = timer.now()
        self._sums = ReportAggregator(heads.zone, timer)
        self._fleet_used = CounterDeltas(timer)
        # Own use by organisation that is in the sums taken over so far.
        self._own_counted: dict[str, float] = {}
        self._last_sent: NodeReport | None = None
        # Nodes in the sums that a head last told, and when it did.
        self._told_heard = 0
        self._told_at = 0.0

    def note_placement(
        self, server_id: str, parts: Sequence[PromptPart]
    ) -> None:
        """Tells the other nodes where a prompt's shared parts are."""
        placement = PromptPlacement(
            server_id, tuple((part.id, part.tokens) for part in parts)
        )
        self._placements.append((self._timer.now(), placement))

    def heard_share(self) -> float:
        """Returns the share of the nodes, with this one, heard from."""
        since = self._timer.now() - REPORT_PERIOD_S * MISSED_REPORTS
        if self._heads.uses_heads:
            return self._heard_share_of_sums(since)
        heard = sum(
            self.heard_since(node_id, since) for node_id in self._nodes.peers()
        )
        return (heard + 1) / self._nodes.count

    def heard_since(self, node_id: str, moment: float) -> bool:
        """Whether a report of another node arrived after a moment."""
        return self._heard_at_by_node.get(node_id, 0.0) >= moment

    def all_heard_since(self, moment: float) -> bool:
        """Whether what all other nodes did before a moment is known here."""
        if not self._heads.uses_heads:
            return all(
                self.heard_since(node_id, moment)
                for node_id in self._nodes.peers()
            )
        if self._timer.now() < moment + SUMS_DELAY_S:
            return False
        return self._heard_by_heads(moment) >= self._nodes.count

    def window_totals(
        self, window: int, windows: UsageWindows
    ) -> dict[str, int]:
        """Returns the requests of a usage window in all nodes."""
        if not self._heads.uses_heads:
            return windows.count_by_organisation(window)
        return windows.fleet_count_by_organisation(
            window, self._heads.zone, self._sums.incarnation_ids
        )

    async def send(self, shared: SharedState) -> None:
        """Sends the report; called every ``REPORT_PERIOD_S``."""
        self._turn += 1
        shared.caps.refill_buckets()
        if self._heads.uses_heads:
            if self._turn % HEAD_REPORT_EVERY == 0:
                self._send_to_heads(shared)
            return
        receivers = sorted(self._receivers())
        if not receivers:
            return
        report = self._build(shared, self._turn % WINDOWS_EVERY == 0)
        for inbox in receivers:
            self._transport.send(inbox, report)

    def receive(
        self, envelope: Envelope, report: NodeReport, shared: SharedState
    ) -> None:
        """Takes over another node's report."""
        if self._heads.uses_heads:
            self._take_for_zone(envelope.sender, report, shared)
            return
        now = self._timer.now()
        self._heard_at_by_node[envelope.sender] = now
        self._heard_at_by_life[report.incarnation_id] = now
        self._inbox_by_heard[envelope.sender] = envelope.reply_to
        shared.caps.note_peer_usage(
            report.incarnation_id,
            [
                CapUse(item.organisation, item.used, item.level)
                for item in report.organisation_usage
            ],
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
        shared.store.note_peer(report.revision)
        for placement in report.placements:
            shared.prompts.note_prompt(
                placement.server_id,
                [PromptPart(*part) for part in placement.parts],
            )

    def receive_push(self, push: HeadPush, shared: SharedState) -> None:
        """Takes over the sums of a head."""
        if push.zone_aggregate is not None:
            self._take_zone_sums(push.zone, push.zone_aggregate, shared)
        if push.fleet_aggregate is not None:
            self._take_fleet_sums(push.fleet_aggregate, shared)

    def aggregate_zone(self, shared: SharedState) -> AggregatedReport:
        """Returns what this zone's nodes report together."""
        own = self._build(shared, True)
        self._sums.note_report(_node_of(self._life), own)
        shared.windows.note_peer_counts(
            own.incarnation_id, _window_counts(own.windows)
        )
        since = self._timer.now() - REPORT_PERIOD_S * MISSED_REPORTS
        return AggregatedReport(
            self._life,
            self._sums.zone_node_count(since),
            self._cap_sums(self._sums.zone_usage(), shared),
            _window_uses(
                shared.windows.zone_counts(
                    self._heads.zone, self._sums.incarnation_ids
                )
            ),
            _server_uses(self._sums.zone_load()),
            tuple(self._sums.zone_demand().items()),
            self._age_s(),
        )

    def aggregate_fleet(self, shared: SharedState) -> AggregatedReport:
        """Returns what all nodes report together."""
        loads = self._sums.zone_load()
        for load_by_server in self._sums.load_by_zone().values():
            for server_id, load in load_by_server.items():
                add_load(loads, server_id, load)
        since = self._timer.now() - REPORT_PERIOD_S * MISSED_REPORTS
        return AggregatedReport(
            self._life,
            self._heard_by_heads(since),
            self._cap_sums(self._sums.fleet_usage(), shared),
            servers=_server_uses(loads),
            age_s=self._age_s(),
        )

    def _heard_share_of_sums(self, since: float) -> float:
        count = self._nodes.count
        heard = 1
        if self._heads.own_rank() is not None:
            heard = self._heard_by_heads(since)
        elif self._told_at >= since:
            heard = self._told_heard
        return min(max(heard, 1) / count, 1.0)

    def _heard_by_heads(self, since: float) -> int:
        """Returns the nodes whose reports this head has in its sums."""
        return self._sums.zone_node_count(
            since
        ) + self._sums.other_zones_node_count(since)

    def _send_to_heads(self, shared: SharedState) -> None:
        rounds = self._turn // HEAD_REPORT_EVERY
        report = self._build(shared, rounds % 2 == 0)
        self._last_sent = report
        for node_id in self._heads.heads_of_zone(self._heads.zone):
            inbox = self._heads.inbox(node_id)
            if inbox is not None and node_id != _node_of(self._life):
                self._transport.send(inbox, report)

    def _take_for_zone(
        self, sender: str, report: NodeReport, shared: SharedState
    ) -> None:
        """Takes a report as a head of the sender's zone."""
        record = self._nodes.get(sender)
        if record is None or record.availability_zone != self._heads.zone:
            return
        used = self._sums.note_report(sender, report)
        level_by_organisation = {
            use.organisation: use.level for use in report.organisation_usage
        }
        self._deduct(used, level_by_organisation, shared)
        shared.windows.note_peer_counts(
            report.incarnation_id, _window_counts(report.windows)
        )

    def _take_zone_sums(
        self, zone: str, sums: AggregatedReport, shared: SharedState
    ) -> None:
        """Takes another head's sums and brings the loads up to date."""
        shared.windows.note_zone_counts(zone, _window_counts(sums.windows))
        if zone != self._heads.zone:
            used = self._sums.note_zone(zone, sums)
            level_by_organisation = {
                use.organisation: use.level for use in sums.organisation_usage
            }
            self._deduct(used, level_by_organisation, shared)
        if self._heads.own_rank() is None:
            return
        loads = self._sums.load_by_zone()
        loads[self._heads.zone] = self._sums.zone_load(_node_of(self._life))
        shared.loads.replace_peer_loads(loads)
        for name, demand in self._sums.demand_by_zone().items():
            shared.demand.note_peer_demand(name, demand)
        own = shared.demand.own_by_service()
        shared.demand.note_peer_demand(
            self._heads.zone,
            {
                service: max(demand - own.get(service, 0.0), 0.0)
                for service, demand in self._sums.zone_demand().items()
            },
        )

    def _deduct(
        self,
        used: Mapping[str, float],
        level_by_organisation: Mapping[str, float],
        shared: SharedState,
    ) -> None:
        """Deducts use that only heads hear of; others hear the sum."""
        if self._heads.own_rank() is None:
            return
        for organisation, amount in used.items():
            level = level_by_organisation[organisation]
            shared.caps.deduct_peer_usage(organisation, amount, level)

    def _take_fleet_sums(
        self, sums: AggregatedReport, shared: SharedState
    ) -> None:
        """Takes the sums of all nodes as a node that is no head."""
        if self._heads.own_rank() is not None:
            return
        self._told_heard = sums.node_count
        self._told_at = self._timer.now()
        sent = self._last_sent
        own_use = sent.organisation_usage if sent is not None else ()
        used_by_organisation = {use.organisation: use.used for use in own_use}
        change_by_organisation = self._fleet_used.update(
            FLEET,
            sums.incarnation_id,
            {use.organisation: use.used for use in sums.organisation_usage},
            sums.age_s,
        )
        for use in sums.organisation_usage:
            own = used_by_organisation.get(use.organisation, 0.0)
            counted = self._own_counted.get(use.organisation, 0.0)
            change = change_by_organisation.get(use.organisation)
            self._own_counted[use.organisation] = own
            if change is None:
                shared.caps.limit_to_peer_level(use.organisation, use.level)
            else:
                amount = change - (own - counted)
                shared.caps.deduct_peer_usage(
                    use.organisation, amount, use.level
                )
        own_load = read_loads(sent.servers if sent is not None else ())
        load_by_server = read_loads(sums.servers)
        shared.loads.replace_peer_loads(
            {FLEET: subtract_own_load(load_by_server, own_load)}
        )

    def _cap_sums(
        self, used_by_organisation: dict[str, float], shared: SharedState
    ) -> tuple[OrganisationUse, ...]:
        level_by_organisation = {
            use.organisation: use.level for use in shared.caps.own_use()
        }
        return tuple(
            OrganisationUse(
                organisation,
                used,
                level_by_organisation.get(organisation, inf),
            )
            for organisation, used in used_by_organisation.items()
        )

    def _receivers(self) -> set[str]:
        """Returns the inboxes of all other nodes.

        A node whose lease lapsed in an outage of the store is still there
        while it is heard.
        """
        since = self._timer.now() - LAPSED_MEMORY_S
        registered = {
            f"tcp://{inbox}" for inbox in self._nodes.peers().values()
        }
        heard = {
            inbox
            for node_id, inbox in self._inbox_by_heard.items()
            if self.heard_since(node_id, since)
        }
        return registered | heard

    def _build(self, shared: SharedState, with_windows: bool) -> NodeReport:
        # A little longer than a period, so that no report misses one.
        since = self._timer.now() - REPORT_PERIOD_S * 1.2
        placements = () if self._heads.uses_heads else tuple(self._placements)
        return NodeReport(
            self._life,
            tuple(
                OrganisationUse(use.organisation, use.used, use.level)
                for use in shared.caps.own_use()
            ),
            _window_uses(shared.windows.own_counts() if with_windows else ()),
            _server_uses(shared.loads.own_load_by_server()),
            tuple(
                placement
                for placed_at, placement in placements
                if placed_at >= since
            ),
            tuple(shared.demand.own_by_service().items()),
            shared.store.revision,
            self._inherited(shared.windows) if with_windows else (),
            self._age_s(),
        )

    def _age_s(self) -> float:
        return self._timer.now() - self._started_at

    def _inherited(
        self, windows: UsageWindows
    ) -> tuple[IncarnationWindows, ...]:
        """Returns the counts of nodes that are no longer heard.

        Nodes that started later learn them from here.
        """
        if self._heads.uses_heads:
            return ()
        since = self._timer.now() - INHERITED_AFTER_S
        for life, heard_at in list(self._heard_at_by_life.items()):
            if heard_at < since:
                del self._heard_at_by_life[life]
        return tuple(
            IncarnationWindows(life, _window_uses(counts))
            for life, counts in windows.counts_by_other_incarnation().items()
            if life not in self._heard_at_by_life
        )


def _node_of(life: str) -> str:
    """Returns the node that a life belongs to."""
    return life.rpartition("/")[0] or life


def _window_counts(uses: Iterable[WindowUse]) -> list[WindowCount]:
    return [
        WindowCount(item.window, item.organisation, item.count)
        for item in uses
    ]


def _window_uses(counts: Iterable[WindowCount]) -> tuple[WindowUse, ...]:
    return tuple(
        WindowUse(item.window, item.organisation, item.count)
        for item in counts
    )


def _server_uses(loads: dict[str, NodeLoad]) -> tuple[ServerUse, ...]:
    return tuple(
        ServerUse(server_id, load.pending_by_class, load.running)
        for server_id, load in loads.items()
    )
