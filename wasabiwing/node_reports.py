"""What the nodes tell each other several times a second.

Every node sends its report to every other one. Reports carry totals and not
differences, so that a lost one costs nothing but time. Load pattern: many
nodes on narrow links, where a report to all others at once would hold up the
events of streams. So a report goes to a part of the nodes at a time, and how
many a node gets per second does not grow with their number.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from wasabiwing.demand import Demand
from wasabiwing.messages import Envelope
from wasabiwing.messages import NodeReport
from wasabiwing.messages import OrganisationUse
from wasabiwing.messages import PromptPlacement
from wasabiwing.messages import ServerUse
from wasabiwing.messages import WindowUse
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.ports import Transport
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.routed_calls import PromptPart
from wasabiwing.server_loads import PeerLoad
from wasabiwing.server_loads import ServerLoads
from wasabiwing.store_progress import StoreProgress
from wasabiwing.timers import TimerService
from wasabiwing.usage_caps import CapUse
from wasabiwing.usage_caps import UsageCaps
from wasabiwing.usage_windows import UsageWindows
from wasabiwing.usage_windows import WindowCount

# Time between two reports in seconds, up to ``FULL_RATE_NODES`` nodes. Usage
# caps may be exceeded by what arrives in that time.
REPORT_PERIOD_S = 0.25

# Nodes that get a report at the same time; where there are more, they take
# turns.
FULL_RATE_NODES = 13

# Reports that may be missed before a node counts as silent.
MISSED_REPORTS = 6

# Counts of usage windows are in one report out of so many, up to
# ``FULL_RATE_NODES`` nodes; they are due seconds later.
WINDOWS_EVERY = 4

# Reports go on to a node without a lease for this long after its last one,
# in seconds.
LAPSED_MEMORY_S = 5.0

# Placements that one report carries at most.
MOST_PLACEMENTS = 64


@dataclass(frozen=True, slots=True)
class SharedState:
    """The parts of a node whose state the reports carry."""

    caps: UsageCaps
    windows: UsageWindows
    loads: ServerLoads
    prompts: PromptCacheIndex
    demand: Demand
    store: StoreProgress


class NodeReports:
    """Sends this node's report and takes over those of others."""

    def __init__(
        self,
        life: str,
        timer: TimerService,
        transport: Transport,
        nodes: NodeRegistry,
    ) -> None:
        self._life = life
        self._timer = timer
        self._transport = transport
        self._nodes = nodes
        self._heard_at_by_node: dict[str, float] = {}
        self._inbox_by_heard: dict[str, str] = {}
        # Placements with the time at which they were made.
        self._placements: deque[tuple[float, PromptPlacement]] = deque(
            maxlen=MOST_PLACEMENTS
        )
        self._turn = 0

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
        period_s = REPORT_PERIOD_S * self._groups()
        since = self._timer.now() - period_s * MISSED_REPORTS
        heard = sum(
            self.heard_since(node_id, since) for node_id in self._nodes.peers()
        )
        return (heard + 1) / self._nodes.count

    def heard_since(self, node_id: str, moment: float) -> bool:
        """Whether a report of another node arrived after a moment."""
        return self._heard_at_by_node.get(node_id, 0.0) >= moment

    async def send(self, shared: SharedState) -> None:
        """Sends the report to the nodes whose turn it is."""
        groups = self._groups()
        self._turn += 1
        receivers = [
            inbox
            for number, inbox in enumerate(sorted(self._receivers()))
            if number % groups == self._turn % groups
        ]
        if not receivers:
            return
        report = self._build(shared, groups)
        for inbox in receivers:
            self._transport.send(inbox, report)

    def _groups(self) -> int:
        """Returns how many groups of nodes take turns."""
        return ceil(self._nodes.count / FULL_RATE_NODES)

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

    def receive(
        self, envelope: Envelope, report: NodeReport, shared: SharedState
    ) -> None:
        """Takes over another node's report."""
        now = self._timer.now()
        self._heard_at_by_node[envelope.sender] = now
        self._inbox_by_heard[envelope.sender] = envelope.reply_to
        shared.caps.note_peer(
            report.life,
            [
                CapUse(item.organisation, item.used, item.level)
                for item in report.caps
            ],
        )
        shared.windows.note_peer(
            report.life,
            [
                WindowCount(item.window, item.organisation, item.count)
                for item in report.windows
            ],
        )
        shared.loads.note_peer(
            envelope.sender,
            {
                item.server_id: PeerLoad(item.pending_by_class, item.running)
                for item in report.servers
            },
        )
        shared.demand.note_peer(envelope.sender, dict(report.demand))
        shared.store.note_peer(report.revision)
        for placement in report.placements:
            shared.prompts.note(
                placement.server_id,
                [PromptPart(*part) for part in placement.parts],
            )

    def _build(self, shared: SharedState, groups: int) -> NodeReport:
        period_s = REPORT_PERIOD_S * groups
        # A little longer than a round, so that no group misses one.
        since = self._timer.now() - period_s * 1.2
        rounds = self._turn // groups
        with_windows = rounds % max(WINDOWS_EVERY // groups, 1) == 0
        return NodeReport(
            self._life,
            tuple(
                OrganisationUse(use.organisation, use.used, use.level)
                for use in shared.caps.own_use()
            ),
            tuple(
                WindowUse(item.window, item.organisation, item.count)
                for item in shared.windows.own_counts()
                if with_windows
            ),
            tuple(
                ServerUse(server_id, load.pending_by_class, load.running)
                for server_id, load in shared.loads.own_load().items()
            ),
            tuple(
                placement
                for placed_at, placement in self._placements
                if placed_at >= since
            ),
            tuple(shared.demand.own().items()),
            shared.store.revision,
        )
