"""Nodes whose leases lapse while the store is away."""

from msgspec.json import encode
import pytest

from tests.node_fleet import node_fleet
from tests.node_fleet import NodeFleet
from wasabiwing.leases import LEASE_PREFIX
from wasabiwing.node_registry import node_lease_name
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.presence import FEW_NODES_TTL_S
from wasabiwing.presence import MANY_NODES_TTL_S
from wasabiwing.server_directory import LAPSE_GRACE_S
from wasabiwing.zone_heads import MAX_FULL_MESH_NODES
from wasabiwing_platform_standins.examples import configuration_document

OTHER = node_lease_name("node-2", "10.0.0.2:7000", "zone-a", 10)


async def play_outage(fleet: NodeFleet, outage_s: float) -> list[int]:
    """Returns the least number of nodes that each node knew afterwards."""
    for link in fleet.links:
        link.unavailable = True
    await fleet.timer.advance(outage_s)
    fleet.store.expire()
    for link in fleet.links:
        link.unavailable = False
    least = [len(fleet.nodes)] * len(fleet.nodes)
    for _ in range(50):
        await fleet.timer.advance(0.1)
        least = [
            min(known, node.nodes.count)
            for known, node in zip(least, fleet.nodes, strict=True)
        ]
    return least


class TestFleet:
    """Whole nodes before and after an outage in which all leases lapse."""

    @pytest.mark.anyio
    @pytest.mark.parametrize("count", [3, 7, 20])
    async def test_each_node_knows_only_itself_as_the_store_returns(
        self, count: int
    ) -> None:
        """Guards against limits that each node uses alone (FAILBACK)."""
        many = count > MAX_FULL_MESH_NODES
        ttl_s = MANY_NODES_TTL_S if many else FEW_NODES_TTL_S
        async with node_fleet(count) as fleet:
            fleet.store.put("op/config", encode(configuration_document()))
            await fleet.timer.advance(4.0)
            assert await play_outage(fleet, ttl_s + 2.0) == [count] * count

    @pytest.mark.anyio
    async def test_node_that_ended_in_the_outage_counts_for_ever(self) -> None:
        async with node_fleet(3) as fleet:
            await fleet.timer.advance(4.0)
            lease = LEASE_PREFIX + OTHER
            fleet.store.put(lease, b"node-2")
            await fleet.timer.advance(1.0)
            known = [node.nodes.count for node in fleet.nodes]
            for link in fleet.links:
                link.unavailable = True
            await fleet.timer.advance(FEW_NODES_TTL_S + 2.0)
            fleet.store.put(lease, None)
            for link in fleet.links:
                link.unavailable = False
            await fleet.timer.advance(LAPSE_GRACE_S + 2.0)
            assert [node.nodes.count for node in fleet.nodes] == [
                count - 1 for count in known
            ]


class Registry:
    """A registry that knows another node, with its clock."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.kept_until_s = 0.0
        self.nodes = NodeRegistry(
            "node-1", lambda: self.now_s, lambda: self.kept_until_s
        )
        self.nodes.apply(OTHER, b"node-2")


class TestRegistry:
    """What a registry keeps of a node whose lease has ended."""

    def test_node_that_left_is_kept_without_an_outage(self) -> None:
        registry = Registry()
        registry.nodes.apply(OTHER, None)
        assert registry.nodes.count == 1
        assert not registry.nodes.peers()

    @pytest.mark.parametrize("is_listed", [False, True])
    def test_lapsed_node_is_gone_at_once(self, is_listed: bool) -> None:
        registry = Registry()
        registry.kept_until_s = 102.0
        if is_listed:
            registry.nodes.replace_all(())
        else:
            registry.nodes.apply(OTHER, None)
        assert OTHER not in registry.nodes.held_lease_names
        registry.now_s = 101.9
        assert registry.nodes.node_ids() == ["node-1", "node-2"]
        registry.now_s = 102.0
        assert registry.nodes.node_ids() == ["node-1"]
        assert not registry.nodes.ids_by_zone()

    def test_node_that_is_back_is_removed_later(self) -> None:
        registry = Registry()
        registry.kept_until_s = 102.0
        registry.nodes.apply(OTHER, None)
        registry.nodes.apply(OTHER, b"node-2")
        registry.now_s = 110.0
        assert registry.nodes.count == 2
        registry.nodes.replace_all((OTHER,))
        assert registry.nodes.count == 2
