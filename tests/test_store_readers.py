"""Tests of who reads the store, and of what the log tells of it."""

import pytest

from tests.relay_fleet import refuse
from tests.relay_fleet import relay_fleet
from tests.relay_fleet import ZONES
from wasabiwing.events import Event
from wasabiwing.messages import Envelope
from wasabiwing.messages import HeadPush
from wasabiwing.store_knowledge import STORE_SOURCE
from wasabiwing.store_knowledge import StoreKnowledge
from wasabiwing.store_readers import FIRST_STAND_IN_AGE_S
from wasabiwing.store_readers import LAST_STAND_IN_AGE_S
from wasabiwing.store_readers import stand_in_age_s
from wasabiwing.timers import FakeTimer
from wasabiwing.zone_heads import rank_nodes

pytestmark = pytest.mark.anyio

Lines = list[tuple[Event, str, dict[str, object]]]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    """Returns what is logged of the age of knowledge."""
    found: Lines = []
    monkeypatch.setattr(
        "wasabiwing.store_readers.log_event",
        lambda event, node, **fields: found.append((event, node, fields)),
    )
    return found


class TestKnowledge:
    """Tests of the age of what a node knows."""

    async def test_older_knowledge_changes_nothing(self) -> None:
        timer = FakeTimer()
        knowledge = StoreKnowledge("node-0", timer)
        knowledge.note_read(timer.now())
        await timer.advance(2.0)
        knowledge.note_synced(timer.now() - 1.0, "node-1")
        knowledge.note_synced(timer.now() - 1.5, "node-2")
        assert knowledge.age_s() == pytest.approx(1.0)
        assert knowledge.read_age_s() == pytest.approx(2.0)
        assert knowledge.source == "node-1"
        knowledge.note_read(timer.now())
        assert knowledge.source == STORE_SOURCE

    async def test_read_told_by_others_is_no_later_read_of_the_zone(
        self,
    ) -> None:
        timer = FakeTimer()
        knowledge = StoreKnowledge("node-0", timer)
        knowledge.note_zone_read(timer.now(), "node-1")
        await timer.advance(3.0)
        knowledge.note_synced(timer.now(), "node-2")
        assert knowledge.age_s() == pytest.approx(0.0)
        assert knowledge.zone_read_age_s() == pytest.approx(3.0)
        assert knowledge.zone_reader == "node-1"


class TestStandIns:
    """Tests of the order in which nodes stand in for heads."""

    @pytest.mark.parametrize("count", [1, 2, 3, 10, 26, 39, 117, 1400])
    def test_nodes_stand_in_by_rank_and_none_waits_longer(
        self, count: int
    ) -> None:
        ages = [stand_in_age_s(place, count) for place in range(count)]
        assert ages == sorted(ages)
        assert FIRST_STAND_IN_AGE_S <= ages[0]
        assert ages[-1] <= LAST_STAND_IN_AGE_S
        # Half of the nodes wait for more than half of the time that is left.
        middle = (FIRST_STAND_IN_AGE_S + LAST_STAND_IN_AGE_S) / 2
        assert sum(age < middle for age in ages) <= count / 2 + 1

    async def test_stand_in_stops_once_a_preceding_node_reads(self) -> None:
        async with relay_fleet(30) as fleet:
            node = next(
                found
                for found in fleet.nodes
                if found.heads.own_position()[0] == 5
            )
            ranking = rank_nodes(
                node.zone,
                [
                    found.record
                    for found in fleet.nodes
                    if found.zone == node.zone
                ],
            )
            refuse(node)
            node.transport.paused = True
            await fleet.run(LAST_STAND_IN_AGE_S + 0.5)
            readers = node.relay.readers
            assert readers.stands_in
            now = fleet.timer.now()
            node.follower.knowledge.note_synced(now, "node")
            readers.note_zone_read(ranking[6], now)
            assert readers.stands_in
            readers.note_zone_read(ranking[4], now)
            assert not readers.stands_in

    async def test_stand_in_beside_heads_of_an_earlier_build_reads_for_ever(
        self,
    ) -> None:
        """Guards against calls to the store by all nodes in an upgrade.

        Pushes of earlier builds do not tell who has read the store.
        """
        async with relay_fleet(30) as fleet:
            head = fleet.heads(ZONES[0])[0]
            node = next(
                found
                for found in fleet.nodes
                if found.zone == ZONES[0] and found.heads.own_rank() is None
            )
            node.transport.paused = True
            refuse(node)
            await fleet.run(LAST_STAND_IN_AGE_S + 0.5)
            assert node.relay.readers.stands_in
            revision = node.follower.store_cache.revision or 0
            push = HeadPush(ZONES[0], revision, revision, 100)
            envelope = Envelope(head.id, head.transport.address, 0, push)
            await node.relay.receive_push(envelope, push)
            assert not node.relay.readers.stands_in


class TestLog:
    """Tests of log lines of old knowledge."""

    async def test_current_knowledge_is_not_logged(self, lines: Lines) -> None:
        async with relay_fleet(30) as fleet:
            lines.clear()
            await fleet.run(5.0)
            assert lines == []

    async def test_old_knowledge_names_its_source_and_the_readers(
        self, lines: Lines
    ) -> None:
        """All nodes have lost the store, so that all knowledge gets old."""
        async with relay_fleet(30) as fleet:
            lines.clear()
            for node in fleet.nodes:
                refuse(node)
            await fleet.run(6.0)
            old = list(lines)
            assert {node_id for _, node_id, _ in old} == set(fleet.node_by_id)
            heads = {head.id for zone in ZONES for head in fleet.heads(zone)}
            for event, node_id, fields in old:
                assert event is Event.STORE_KNOWLEDGE_OLD
                assert fields["version"] == 1
                assert fields["hears_head"] or node_id in heads
                assert (fields["rank"] is None) == (node_id not in heads)
            assert len(old) <= 30 * 5
            lines.clear()
            for node in fleet.nodes:
                node.link.unavailable = False
            await fleet.run(4.0)
            renewed = [line for line in lines if line[1] not in heads]
            assert renewed
            for event, _, fields in renewed[-1:]:
                assert event is Event.STORE_KNOWLEDGE_RENEWED
                assert fields["source"]
