"""Tests of moves to another server that are prepared and then not needed."""

import pytest

from tests.node_deployment import deployment
from wasabiwing.attempt_watch import AttemptWatch
from wasabiwing.server_slots import ServerSlots
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio


class TestAnswerThatComesWithTheMove:
    """The answer is whole just as the watch gives up its attempt."""

    async def test_the_other_server_keeps_no_request(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        found: list[ServerSlots] = []
        note_sent = ServerSlots.note_sent

        def record(
            self: ServerSlots, service: str, server_id: str, request_id: str
        ) -> None:
            found.append(self)
            note_sent(self, service, server_id, request_id)

        async def prepare_too_late(self: AttemptWatch) -> None:
            for attempt in self._running:
                if not attempt.cancel_requested and attempt.may_move():
                    # The cancellation would come after the answer's end.
                    attempt.cancel_requested = True

        monkeypatch.setattr(ServerSlots, "note_sent", record)
        monkeypatch.setattr(AttemptWatch, "check", prepare_too_late)
        async with deployment() as system:
            for number in range(2):
                server = ServerStandIn(f"server-{number}", work_s=0.5)
                await system.add_server("desk", server)
            await system.wait_ready()
            reply = await system.call("/read/1")
            assert reply.status == 200
            assert len(found) == 2
            assert not any(found[0]._running.get("desk", {}).values())
