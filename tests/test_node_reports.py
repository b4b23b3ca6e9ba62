"""Tests of the reports between nodes."""

import pytest

from tests.network import Bench
from tests.network import bench
from wasabiwing.first_event_counts import FleetFirstEvents
from wasabiwing.messages import NodeReport
from wasabiwing.node_registry import node_lease_name
from wasabiwing.node_registry import NodeRecord
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.node_reports import HEAD_REPORT_EVERY
from wasabiwing.node_reports import NodeReports
from wasabiwing.node_reports import REPORT_PERIOD_S
from wasabiwing.node_reports import ReportedState
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.routed_calls import PromptPart
from wasabiwing.sent_orders import SentOrders
from wasabiwing.server_demand import ServerDemand
from wasabiwing.server_loads import ServerLoads
from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.store_progress import StoreProgress
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import UsageCaps
from wasabiwing.usage_windows import UsageWindows
from wasabiwing.zone_heads import HEADS_PER_ZONE
from wasabiwing.zone_heads import MAX_FULL_MESH_NODES
from wasabiwing.zone_heads import ZoneHeads

PARTS = (PromptPart("a", 100), PromptPart("b", 50))


class ReportingNode:
    """A node that only sends and receives reports."""

    def __init__(self, found: Bench, name: str) -> None:
        self.name = name
        self.inbox = f"{name}:7000"
        self.transport = found.network.open(name, f"tcp://{self.inbox}")
        self.nodes = NodeRegistry(name)
        timer = found.timer
        heads = ZoneHeads(NodeRecord(name, self.inbox), timer, self.nodes)
        self.reports = NodeReports(
            name, timer, self.transport, self.nodes, heads
        )
        self.received = 0
        self.shared = ReportedState(
            UsageCaps(timer, True, lambda: 1.0, CapTolerance(8.0, 0.0, 0.0)),
            UsageWindows(timer, name, 5.0),
            ServerLoads(timer, PrefillRates()),
            PromptCacheIndex(),
            ServerDemand(timer),
            StoreProgress(timer),
            FleetFirstEvents(timer),
            SentOrders(timer),
        )
        found.tasks.start_soon(self._receive)

    def set_known_nodes(self, *others: "ReportingNode") -> None:
        """Replaces the node's registry by other nodes."""
        self.nodes.replace_all(
            node_lease_name(node.name, node.inbox) for node in others
        )

    async def _receive(self) -> None:
        while True:
            envelope = await self.transport.receive()
            assert isinstance(envelope.body, NodeReport)
            self.received += 1
            self.reports.receive(envelope, envelope.body, self.shared)


@pytest.mark.anyio
class TestNodeReports:
    """Tests of what reports tell nodes about each other."""

    async def test_loads_and_prompt_parts_are_known_to_the_other_node(
        self,
    ) -> None:
        async with bench() as found:
            one, two = (ReportingNode(found, name) for name in ("one", "two"))
            one.set_known_nodes(two)
            one.shared.loads.note_sent("server", "r1", 1, 900)
            one.reports.note_placement("server", PARTS)
            await one.reports.send(one.shared)
            await found.timer.advance(0.01)
            loads = two.shared.loads
            assert loads.estimate("server", "models", 0).pending_tokens == 0
            assert loads.estimate("server", "models", 1).pending_tokens > 0
            assert loads.estimate("server", "models", 0).running == 1
            assert two.shared.prompts.cached_tokens("server", PARTS) == 150

    async def test_use_of_a_cap_is_deducted_once(self) -> None:
        north = OrganisationProfile(
            "north", frozenset(), None, True, 1, 10.0, 1000.0
        )
        async with bench() as found:
            one, two = (ReportingNode(found, name) for name in ("one", "two"))
            one.set_known_nodes(two)
            two.shared.caps.admit(north, 1)
            one.shared.caps.admit(north, 600)
            for _ in range(3):
                await one.reports.send(one.shared)
                await found.timer.advance(REPORT_PERIOD_S)
            assert two.received == 3
            level = two.shared.caps.own_usage()[0].level
            assert 390 <= level <= 400

    async def test_node_whose_lease_expired_still_gets_reports(self) -> None:
        """Guards against a configuration that arrives late after an outage.

        Without reports, a node whose lease expired cannot see that its watch
        of the store lags.
        """
        async with bench() as found:
            one, two = (ReportingNode(found, name) for name in ("one", "two"))
            one.set_known_nodes(two)
            two.set_known_nodes(one)
            await two.reports.send(two.shared)
            await found.timer.advance(REPORT_PERIOD_S)
            one.set_known_nodes()
            await one.reports.send(one.shared)
            await found.timer.advance(0.01)
            assert two.received == 1

    async def test_many_nodes_report_to_the_heads_of_their_zone(self) -> None:
        """Guards against sending that grows with the number of nodes."""
        async with bench() as found:
            one = ReportingNode(found, "one")
            others = [
                ReportingNode(found, f"other-{number}")
                for number in range(2 * MAX_FULL_MESH_NODES)
            ]
            one.set_known_nodes(*others)
            for other in others:
                other.set_known_nodes(one, *others)
            for _ in range(8):
                await one.reports.send(one.shared)
                await found.timer.advance(REPORT_PERIOD_S)
            received = [other.received for other in others if other.received]
            assert len(received) <= HEADS_PER_ZONE
            assert set(received) == {8 // HEAD_REPORT_EVERY}
