"""Tests of the state of nodes when heads, links and the store fail."""

import pytest

from tests.relay_fleet import encode_large_configuration
from tests.relay_fleet import FaultSchedule
from tests.relay_fleet import relay_fleet
from tests.relay_fleet import RelayFleet
from tests.relay_fleet import RelayNode
from tests.relay_fleet import ZONES
from wasabiwing.fleet_relay import MAX_INITIAL_AGE_S
from wasabiwing.messages import Envelope
from wasabiwing.messages import FleetContent
from wasabiwing.messages import RelayedValue
from wasabiwing.node_registry import NodeRecord
from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.zone_heads import choose_heads
from wasabiwing.zone_heads import HEADS_PER_ZONE
from wasabiwing.zone_heads import rank_nodes

pytestmark = pytest.mark.anyio

# Time in which a change has to be in force on all nodes, in seconds.
CHANGE_S = 4.0

SERVER_KEYS = {f"servers/server-{number}" for number in range(6)}

# Time after which a leaving server gets no new requests, in seconds.
DRAIN_S = 4.0


def versions(fleet: RelayFleet) -> set[int | None]:
    """Returns the configuration versions in force on the nodes."""
    return {node.version for node in fleet.nodes}


def usable(node: RelayNode) -> set[str]:
    """Returns the ids of servers that get new requests from a node."""
    return {server.id for server in node.view.servers("models")}


class TestChoice:
    """Tests of the choice of heads."""

    def test_large_vms_come_first_and_all_agree(self) -> None:
        records = [
            NodeRecord(f"node-{number}", "", "zone", 20 if number > 7 else 5)
            for number in range(10)
        ]
        ranking = rank_nodes("zone", records)
        assert set(ranking[:2]) == {"node-8", "node-9"}
        assert ranking == rank_nodes("zone", records[::-1])

    def test_silent_heads_are_skipped_and_lower_ranks_not_checked(
        self,
    ) -> None:
        checked_ids: list[str] = []

        def is_silent(node_id: str) -> bool:
            checked_ids.append(node_id)
            return node_id == "a"

        assert choose_heads(["a", "b", "c", "d"], is_silent) == ("b", "c")
        assert checked_ids == ["a", "b", "c"]


class TestPropagation:
    """Tests of state and aggregates that reach all nodes."""

    async def test_only_heads_read_the_store(self) -> None:
        async with relay_fleet(30) as fleet:
            before = {node.id: node.link.watches for node in fleet.nodes}
            await fleet.run(10.0)
            watching = {
                node.id
                for node in fleet.nodes
                if node.link.watches > before[node.id]
            }
            heads = {head.id for zone in ZONES for head in fleet.heads(zone)}
            assert watching <= heads
            assert len(heads) == HEADS_PER_ZONE * len(ZONES)

    async def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        calls = []
        for count in (20, 60):
            async with relay_fleet(count) as fleet:
                before = sum(node.link.watches for node in fleet.nodes)
                await fleet.run(5.0)
                after = sum(node.link.watches for node in fleet.nodes)
                calls.append(after - before)
        assert calls[1] <= calls[0] * 1.2

    async def test_change_reaches_all(self) -> None:
        async with relay_fleet(30) as fleet:
            fleet.store.put("configuration", b"2")
            fleet.store.put("out/zone-a", b"")
            fleet.state_by_server["server-1"] = "draining"
            await fleet.run(CHANGE_S)
            assert versions(fleet) == {2}
            for node in fleet.nodes:
                assert node.view.evacuated_zones == {"zone-a"}
                node.view.evacuated_zones = frozenset()
                assert "server-1" not in usable(node)

    async def test_large_configuration_reaches_all(self) -> None:
        async with relay_fleet(30) as fleet:
            fleet.store.put(
                "configuration", encode_large_configuration(2, 2000)
            )
            await fleet.run(CHANGE_S)
            assert versions(fleet) == {2}

    async def test_heartbeats_are_not_relayed(self) -> None:
        async with relay_fleet(30) as fleet:
            await fleet.run(3.0)
            head = fleet.heads(ZONES[0])[0]
            revision = head.follower.store_cache.revision
            assert revision is not None
            changes = head.follower.store_cache.changes_since(revision - 40)
            assert changes is not None
            assert not [
                change for change in changes if change.key in SERVER_KEYS
            ]

    async def test_aggregates_hold_the_load_of_all_others(self) -> None:
        async with relay_fleet(30) as fleet:
            for node in fleet.nodes:
                node.shared.loads.note_sent("server-1", f"r-{node.id}", 0, 9)
            await fleet.run(2.0)
            for node in fleet.nodes:
                loads = node.shared.loads
                running = loads.estimate("server-1", "models", 0).running
                assert running == 30

    async def test_use_of_a_cap_is_deducted_once_by_all(self) -> None:
        north = OrganisationProfile(
            "north", frozenset(), None, True, 1, 0.001, 100_000.0
        )
        async with relay_fleet(30) as fleet:
            for node in fleet.nodes:
                node.shared.caps.admit(north, 1)
            await fleet.run(2.0)
            for _ in range(10):
                for node in fleet.nodes:
                    node.shared.caps.admit(north, 100)
                await fleet.run(0.5)
            await fleet.run(2.0)
            for node in fleet.nodes:
                [use] = node.shared.caps.own_usage()
                assert use.level == pytest.approx(70_000.0, abs=100.0)

    async def test_refunded_requests_are_not_deducted(
        self,
    ) -> None:
        """Guards against refusals by a cap that is not used up.

        The charges of requests had been refunded, but other nodes had
        deducted them.
        """
        north = OrganisationProfile(
            "north", frozenset(), None, True, 1, 0.001, 100_000.0
        )
        async with relay_fleet(30) as fleet:
            for node in fleet.nodes:
                node.shared.caps.admit(north, 1)
            await fleet.run(2.0)
            for _ in range(5):
                for node in fleet.nodes:
                    node.shared.caps.admit(north, 900)
                await fleet.run(0.8)
                for node in fleet.nodes:
                    node.shared.caps.refund(north, 900)
                await fleet.run(0.8)
            await fleet.run(2.0)
            for node in fleet.nodes:
                [use] = node.shared.caps.own_usage()
                assert use.level == pytest.approx(100_000.0, abs=100.0)

    async def test_a_temporary_head_deducts_nothing_twice(self) -> None:
        """Guards against refusals by a cap that is not used up.

        Nodes that became heads for a while deducted the same usage twice.
        """
        north = OrganisationProfile(
            "north", frozenset(), None, True, 1, 0.001, 100_000.0
        )
        async with relay_fleet(30) as fleet:
            for node in fleet.nodes:
                node.shared.caps.admit(north, 1)
            await fleet.run(2.0)
            for _ in range(3):
                for head in fleet.heads(ZONES[0]):
                    head.transport.paused = True
                for _ in range(6):
                    for node in fleet.nodes:
                        node.shared.caps.admit(north, 50)
                    await fleet.run(0.5)
                for node in fleet.nodes:
                    node.transport.resume()
                await fleet.run(3.0)
            used = 30 + 30 * 50 * 18
            for node in fleet.nodes:
                [use] = node.shared.caps.own_usage()
                # A change of heads may lose one second of usage.
                assert 100_000.0 - used - 100 <= use.level <= 100_000.0

    async def test_use_before_the_first_report_is_deducted(self) -> None:
        """Guards against a cap that is exceeded after a restart of all nodes.

        Each node left out what the others had admitted before their first
        reports.
        """
        north = OrganisationProfile(
            "north", frozenset(), None, True, 1, 0.001, 100_000.0
        )
        async with relay_fleet(30) as fleet:
            for node in fleet.nodes:
                node.kill()
            await fleet.run(0.5)
            for number in range(30):
                fleet.start(number, 2)
            await fleet.run(0.1)
            for node in fleet.nodes:
                node.shared.caps.admit(north, 1000)
            await fleet.run(3.0)
            for node in fleet.nodes:
                [use] = node.shared.caps.own_usage()
                assert use.level == pytest.approx(70_000.0, abs=100.0)

    async def test_usage_of_all_nodes_is_known_to_heads(self) -> None:
        async with relay_fleet(30) as fleet:
            window = fleet.nodes[0].shared.windows.window_now()
            for node in fleet.nodes:
                node.shared.windows.count_request("north")
            await fleet.run(2.5)
            for zone in ZONES:
                for head in fleet.heads(zone):
                    totals = head.reports.window_totals(
                        window, head.shared.windows
                    )
                    assert totals == {"north": 30}
                    assert head.reports.heard_share() == 1.0


class TestLostHeads:
    """Tests of heads and nodes that are killed or cut off."""

    @pytest.mark.parametrize("both", [False, True])
    async def test_killed_heads_are_replaced_in_time(self, both: bool) -> None:
        async with relay_fleet(30) as fleet:
            victims = fleet.heads(ZONES[0])
            for head in victims[: 2 if both else 1]:
                head.kill()
            fleet.store.put("configuration", b"2")
            fleet.state_by_server["server-1"] = "draining"
            await fleet.run(CHANGE_S)
            assert versions(fleet) == {2}
            assert all("server-1" not in usable(n) for n in fleet.nodes)
            await fleet.run(4.0)
            assert len(fleet.heads(ZONES[0])) == HEADS_PER_ZONE

    async def test_usage_counts_of_a_killed_node_are_kept(self) -> None:
        async with relay_fleet(30) as fleet:
            heads = {head.id for zone in ZONES for head in fleet.heads(zone)}
            window = fleet.nodes[0].shared.windows.window_now()
            victim = next(n for n in fleet.nodes if n.id not in heads)
            victim.shared.windows.count_request("north")
            await fleet.run(2.5)
            victim.kill()
            fleet.heads(ZONES[1])[0].kill()
            await fleet.run(2.0)
            for zone in ZONES:
                for head in fleet.heads(zone):
                    totals = head.reports.window_totals(
                        window, head.shared.windows
                    )
                    assert totals == {"north": 1}

    async def test_cut_off_heads_get_changes_from_other_zones(self) -> None:
        """The store rejects the calls of both heads of a zone."""
        async with relay_fleet(30) as fleet:
            for head in fleet.heads(ZONES[0]):
                head.link.unavailable = True
            fleet.store.put("configuration", b"2")
            await fleet.run(2.0)
            assert versions(fleet) == {2}

    async def test_isolated_node_reads_the_store(self) -> None:
        async with relay_fleet(30) as fleet:
            isolated = next(
                node for node in fleet.nodes if node.heads.own_rank() is None
            )
            fleet.network.group_by_address[isolated.transport.address] = 1
            fleet.store.put("configuration", b"2")
            fleet.state_by_server["server-1"] = "draining"
            await fleet.run(DRAIN_S)
            assert isolated.version == 2
            assert "server-1" not in usable(isolated)

    async def test_node_that_the_store_rejects_gets_changes_from_others(
        self,
    ) -> None:
        async with relay_fleet(30) as fleet:
            rejected = fleet.nodes[3::2]
            for node in rejected:
                node.link.unavailable = True
            fleet.store.put("configuration", b"2")
            fleet.store.put("out/zone-b", b"")
            await fleet.run(CHANGE_S)
            assert versions(fleet) == {2}
            assert all(
                node.view.evacuated_zones == {"zone-b"} for node in rejected
            )


class TestOrder:
    """Tests that older state never replaces newer state."""

    async def test_late_messages_change_nothing(self) -> None:
        async with relay_fleet(20) as fleet:
            fleet.network.late_share = 0.2
            for version in range(2, 12):
                fleet.store.put("configuration", str(version).encode())
                await fleet.run(0.7)
            await fleet.run(10.0)
            assert versions(fleet) == {11}
            for node in fleet.nodes:
                assert node.versions == sorted(node.versions)

    async def test_removed_server_does_not_come_back(self) -> None:
        async with relay_fleet(20) as fleet:
            fleet.network.late_share = 0.2
            del fleet.state_by_server["server-2"]
            fleet.store.put("servers/server-2", None)
            await fleet.run(2.5)
            for _ in range(20):
                assert all("server-2" not in usable(n) for n in fleet.nodes)
                await fleet.run(0.5)

    @pytest.mark.parametrize(
        ("age_s", "taken"), [(0.5, True), (MAX_INITIAL_AGE_S + 1.0, False)]
    )
    async def test_started_node_rejects_old_state(
        self, age_s: float, taken: bool
    ) -> None:
        """Guards against withdrawn keys that are accepted again.

        The store rejects a restarted node, and a head that was suspended does
        not know yet what has changed.
        """
        async with relay_fleet(20) as fleet:
            head = fleet.heads(ZONES[0])[0]
            log = head.follower.store_cache
            packed = log.compressed_values_since(0)
            content = FleetContent(
                0,
                log.revision or 0,
                int(age_s * 1000),
                tuple(
                    RelayedValue(item.key, item.revision, item.content)
                    for item in packed
                ),
                log.keys(),
            )
            new = RelayNode(fleet, 19, 2)
            envelope = Envelope(head.id, head.transport.address, 0, content)
            await new.relay.receive_catch_up(envelope, content)
            assert (new.version == 1) is taken

    @pytest.mark.parametrize("seed", range(10))
    async def test_schedules_of_faults_end_in_one_state(
        self, seed: int
    ) -> None:
        """Plays a seeded schedule of node, head, link and store faults."""
        async with relay_fleet(18, seed=seed) as fleet:
            schedule = FaultSchedule(fleet, seed)
            assert await schedule.run(10) == [], schedule.faults_run
