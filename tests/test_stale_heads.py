"""Tests of changes that the heads of zones cannot read from the store."""

from collections.abc import Iterable

import pytest

from tests.relay_fleet import delay
from tests.relay_fleet import encode_large_configuration
from tests.relay_fleet import Fault
from tests.relay_fleet import FaultSchedule
from tests.relay_fleet import first_of_each_zone
from tests.relay_fleet import HEAD_FAULTS
from tests.relay_fleet import refuse
from tests.relay_fleet import relay_fleet
from tests.relay_fleet import RelayFleet
from tests.relay_fleet import RelayNode
from tests.relay_fleet import restore_path
from tests.relay_fleet import silence
from tests.relay_fleet import STEP_S
from tests.relay_fleet import ZONES
from wasabiwing.messages import Envelope
from wasabiwing.messages import FleetRequest
from wasabiwing.zone_heads import HEADS_PER_ZONE
from wasabiwing.zone_heads import MAX_FULL_MESH_NODES

pytestmark = pytest.mark.anyio

# Smallest bound on the time until a change is in force, in seconds, of the
# users' deployments (``configApplyMs``, ``drainMs``), and of those with heads
# of zones.
CHANGE_S = 2.0
MANY_NODES_CHANGE_S = 3.0

# Time until all fleets of the tests have settled after a change, in seconds.
SETTLED_S = 9.0


async def change_times(
    fleet: RelayFleet, affected: Iterable[RelayNode]
) -> dict[str, float]:
    """Returns when a change was known at the other nodes, in seconds.

    The change is a new configuration and a server that leaves.
    """
    affected_ids = {node.id for node in affected}
    fleet.store.put("configuration", b"2")
    fleet.state_by_server["server-1"] = "draining"
    fleet.store.put("servers/server-1", b"draining 0")
    known_at_by_id: dict[str, float] = {}
    for step in range(round(SETTLED_S / STEP_S)):
        await fleet.run(STEP_S)
        for node in fleet.nodes:
            if node.id in affected_ids or node.id in known_at_by_id:
                continue
            servers = {found.id for found in node.view.servers("models")}
            if node.version == 2 and "server-1" not in servers:
                known_at_by_id[node.id] = (step + 1) * STEP_S
    for node in fleet.nodes:
        if node.id not in affected_ids:
            known_at_by_id.setdefault(node.id, SETTLED_S)
    return known_at_by_id


def store_calls(fleet: RelayFleet) -> int:
    """Returns the number of reading calls that nodes have made so far."""
    return sum(node.link.watches + node.link.reads for node in fleet.nodes)


def stand_ins(fleet: RelayFleet) -> list[str]:
    """Returns the nodes that read the store in place of a head."""
    return [node.id for node in fleet.nodes if node.relay.readers.stands_in]


class TestHeadsWithoutStore:
    """Tests of nodes that hear heads which know nothing newer."""

    @pytest.mark.parametrize("nodes", [1, 3, 7, 30, 78])
    @pytest.mark.parametrize("fault", [refuse, silence])
    @pytest.mark.parametrize("lost", [2, 4])
    async def test_change_is_known_late_while_all_heads_lack_the_store(
        self, nodes: int, fault: Fault, lost: int
    ) -> None:
        """Guards against requests at servers that have left (DRAIN, CONFIG).

        Nodes heard the heads of their zones and did not read the store.
        """
        async with relay_fleet(nodes) as fleet:
            victims = first_of_each_zone(fleet, lost)
            if nodes <= MAX_FULL_MESH_NODES:
                victims = victims[: nodes - 1]
            for node in victims:
                fault(node)
            times = await change_times(fleet, victims)
            assert max(times.values()) < CHANGE_S

    @pytest.mark.parametrize("fault", [refuse, silence, delay(0.9)])
    @pytest.mark.parametrize("lost", [1, 3, 9])
    @pytest.mark.parametrize("since_s", [0.0, 0.5, 0.95, 1.4, 6.0])
    async def test_change_is_known_late_whoever_lacks_the_store(
        self, fault: Fault, lost: int, since_s: float
    ) -> None:
        async with relay_fleet(30) as fleet:
            victims = first_of_each_zone(fleet, lost)
            for node in victims:
                fault(node)
            await fleet.run(since_s)
            times = await change_times(fleet, victims)
            assert max(times.values()) < CHANGE_S

    async def test_change_is_known_late_while_heads_lose_the_store_in_turn(
        self,
    ) -> None:
        async with relay_fleet(30) as fleet:
            victims: list[RelayNode] = []
            for count in range(1, 7):
                for node in first_of_each_zone(fleet, count):
                    if node not in victims:
                        refuse(node)
                        victims.append(node)
                await fleet.run(0.5)
            times = await change_times(fleet, victims)
            assert max(times.values()) < CHANGE_S

    @pytest.mark.parametrize("last", [0, 2, 29])
    async def test_only_node_with_the_store_tells_its_zone_at_once(
        self, last: int
    ) -> None:
        """All other nodes get the change from the only one that reads it."""
        async with relay_fleet(30) as fleet:
            reader = fleet.nodes[last]
            for node in fleet.nodes:
                if node is not reader:
                    refuse(node)
            await fleet.run(4.0)
            times = await change_times(fleet, ())
            assert times[reader.id] < CHANGE_S
            assert max(times.values()) < MANY_NODES_CHANGE_S

    @pytest.mark.parametrize("delay_s", [0.4, 0.9, 2.5])
    async def test_change_is_known_late_while_answers_to_heads_are_late(
        self, delay_s: float
    ) -> None:
        """Guards against late answers that count as current."""
        async with relay_fleet(30) as fleet:
            victims = first_of_each_zone(fleet, 2)
            for node in victims:
                delay(delay_s)(node)
            await fleet.run(1.5)
            times = await change_times(fleet, victims)
            assert max(times.values()) < CHANGE_S

    @pytest.mark.parametrize("since_s", [0.0, 2.0])
    async def test_change_is_known_late_while_links_of_heads_are_slow(
        self, since_s: float
    ) -> None:
        """Guards against heads that refresh each other's old knowledge."""
        async with relay_fleet(30) as fleet:
            victims = first_of_each_zone(fleet, 2)
            fleet.network.delay_s = (0.6, 0.65)
            await fleet.run(2.0)
            for node in victims:
                refuse(node)
            await fleet.run(since_s)
            times = await change_times(fleet, victims)
            assert max(times.values()) < MANY_NODES_CHANGE_S

    async def test_long_change_is_known_late_as_heads_answer_no_requests(
        self,
    ) -> None:
        """The change is too long for pushes, and requests get no answer."""

        async def ignore(envelope: Envelope, request: FleetRequest) -> None:
            pass

        async with relay_fleet(30) as fleet:
            for zone in ZONES:
                for head in fleet.heads(zone):
                    head.messages.register(FleetRequest, ignore)
            content = encode_large_configuration(2, 2000)
            fleet.store.put("configuration", content)
            await fleet.run(CHANGE_S)
            assert {node.version for node in fleet.nodes} == {2}

    async def test_heads_ask_stand_ins_for_what_these_have_just_read(
        self,
    ) -> None:
        """Guards against a further message each way before a change is known.

        The first push of a stand-in has the changes of the time before it.
        """
        asked: list[str] = []

        async with relay_fleet(30) as fleet:

            async def note(envelope: Envelope, request: FleetRequest) -> None:
                asked.append(envelope.sender)

            victims = first_of_each_zone(fleet, 2)
            for node in victims:
                refuse(node)
            for node in fleet.nodes:
                node.messages.register(FleetRequest, note)
            times = await change_times(fleet, victims)
            assert max(times.values()) < CHANGE_S
            assert asked == []


class TestCalls:
    """Tests of calls to a store that some nodes or none reach."""

    async def test_few_nodes_stand_in_for_heads_without_the_store(
        self,
    ) -> None:
        async with relay_fleet(78) as fleet:
            victims = first_of_each_zone(fleet, 4)
            for node in victims:
                refuse(node)
            await fleet.run(4.0)
            refused = {node.id for node in victims}
            reading = set(stand_ins(fleet)) - refused
            assert len(reading) <= 2 * HEADS_PER_ZONE * len(ZONES)

    async def test_stand_ins_stop_when_heads_read_again(self) -> None:
        async with relay_fleet(30) as fleet:
            victims = first_of_each_zone(fleet, 3)
            for node in victims:
                refuse(node)
            await fleet.run(4.0)
            assert stand_ins(fleet)
            for node in victims:
                restore_path(node)
            await fleet.run(4.0)
            assert stand_ins(fleet) == []

    async def test_nodes_do_not_all_call_a_returned_store_at_once(
        self,
    ) -> None:
        async with relay_fleet(78) as fleet:
            for node in fleet.nodes:
                silence(node)
            await fleet.run(8.0)
            before = store_calls(fleet)
            await fleet.run(5.0)
            assert store_calls(fleet) - before <= 78 * 5.0
            for node in fleet.nodes:
                restore_path(node)
            most = 0
            for _ in range(40):
                before = store_calls(fleet)
                await fleet.run(STEP_S)
                most = max(most, store_calls(fleet) - before)
            assert most <= 78 / 4
            await fleet.run(3.0)
            assert stand_ins(fleet) == []


class TestOrder:
    """Tests that no node goes back while heads lose the store."""

    @pytest.mark.parametrize("seed", range(10))
    async def test_schedules_of_lost_heads_end_in_one_state(
        self, seed: int
    ) -> None:
        """Plays a seeded schedule of faults of heads, links and the store."""
        async with relay_fleet(18, seed=seed) as fleet:
            schedule = FaultSchedule(fleet, seed, HEAD_FAULTS)
            assert await schedule.run(10) == [], schedule.faults_run

    @pytest.mark.parametrize("lost", [2, 4])
    async def test_restarted_node_starts_from_an_old_head(
        self, lost: int
    ) -> None:
        """A node that cannot read the store starts beside heads that lag."""
        async with relay_fleet(30) as fleet:
            victims = first_of_each_zone(fleet, lost)
            for node in victims:
                refuse(node)
            await fleet.run(0.5)
            fleet.store.put("configuration", b"2")
            node = next(n for n in fleet.nodes if n not in victims)
            node.kill()
            started = fleet.start(int(node.id.removeprefix("node-")), 2)
            refuse(started)
            await fleet.run(CHANGE_S + 1.0)
            assert started.version == 2
            assert started.versions == sorted(started.versions)
