"""Tests of who reads the store, and of what the log tells of it."""

import pytest

from tests.relay_fleet import refuse
from tests.relay_fleet import relay_fleet
from tests.relay_fleet import ZONES
from wasabiwing.events import Event
from wasabiwing.store_knowledge import STORE_SOURCE
from wasabiwing.store_knowledge import StoreKnowledge
from wasabiwing.timers import FakeTimer

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
