"""Tests of following the store: silent watches and order of versions."""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf
from random import Random

from anyio import create_task_group
from anyio import sleep_forever
import pytest
from result import Err
from result import Ok
from result import Result

from tests.platform_fakes import LeaseStoreFake
from tests.platform_fakes import StoreLink
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.fleet_changes import ConfigurationChange
from wasabiwing.fleet_changes import EvacuationChange
from wasabiwing.fleet_changes import FleetChange
from wasabiwing.fleet_follower import BATCH_PAUSE_S
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.fleet_follower import FleetView
from wasabiwing.fleet_follower import RETRY_PAUSE_S
from wasabiwing.fleet_follower import WATCH_WAIT_AFTER_FAILURE_S
from wasabiwing.fleet_follower import WATCH_WAIT_S
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.ports import StoreChanges
from wasabiwing.ports import StoredValue
from wasabiwing.ports import StoreSnapshot
from wasabiwing.ports import WatchEvent
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.service_configuration import RequestLimits
from wasabiwing.service_configuration import ServiceConfiguration
from wasabiwing.store_progress import MAX_LAG_S
from wasabiwing.store_progress import StoreProgress
from wasabiwing.timers import FakeTimer
from wasabiwing_platform.store import LONG_POLL_SLACK_S

# Time for which a disturbance excuses a node, in seconds.
CONTACT_S = 3.0

Answer = Result[StoreChanges, Failure] | None


class ScriptedStore(StoreLink):
    """Gives prepared answers to watches; ``None`` leaves one unanswered."""

    def __init__(self, timer: FakeTimer) -> None:
        super().__init__(LeaseStoreFake(timer))
        self._timer = timer
        # Times until the next watches are answered, in seconds.
        self.delays: deque[float] = deque()
        self.answers: deque[Answer] = deque()
        self.snapshots = 0
        self.watches = 0
        self.waits: list[float] = []
        self.values: tuple[StoredValue, ...] = ()
        self.newest = 10

    async def snapshot(self, prefix: str) -> Result[StoreSnapshot, Failure]:
        self.snapshots += 1
        # A store's revision never goes back.
        return Ok(StoreSnapshot(self.values, self.newest))

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[StoreChanges, Failure]:
        self.watches += 1
        self.waits.append(wait_s)
        answer = self.answers.popleft() if self.answers else None
        if self.delays:
            await self._timer.sleep(self.delays.popleft())
        if answer is None:
            await sleep_forever()
        assert answer is not None
        if isinstance(answer, Ok):
            self.newest = max(self.newest, answer.ok_value.revision)
        return answer


def decode(key: str, value: bytes | None) -> Result[FleetChange | None, str]:
    """Decodes the configuration versions and evacuations of a test."""
    if key == "configuration" and value is not None:
        if not value.isdigit():
            return Err("not a number")
        return Ok(
            ConfigurationChange(
                ServiceConfiguration(int(value), (), {}, RequestLimits())
            )
        )
    if key.startswith("out/"):
        return Ok(EvacuationChange(key[4:], value is not None))
    return Ok(None)


def change(revision: int, key: str, value: bytes | None) -> Answer:
    """Returns a watch's answer with one change."""
    event = WatchEvent(key, revision, value)
    return Ok(StoreChanges((event,), revision))


class Followed:
    """A follower with its fake clock and store."""

    def __init__(self) -> None:
        self.timer = FakeTimer()
        self.store = ScriptedStore(self.timer)
        self.view = FleetView("node", ServerDirectory(self.timer))
        self.progress = StoreProgress(self.timer)
        self.follower = FleetFollower(
            "node",
            self.timer,
            self.store,
            decode,
            self.view,
            NodeRegistry("node"),
            self.progress,
            Random(1),
        )

    @property
    def version(self) -> int:
        """Configuration version in force."""
        assert self.view.configuration is not None
        return self.view.configuration.version


@asynccontextmanager
async def follower(
    *answers: Answer, delay_s: float = 0.0
) -> AsyncIterator[Followed]:
    """Runs a follower on prepared answers, the first after a delay."""
    found = Followed()
    found.store.delays.append(delay_s)
    found.store.answers.extend(answers)
    found.store.values = (StoredValue("configuration", b"5", 9),)
    async with create_task_group() as tasks:
        tasks.start_soon(found.follower.run)
        await found.timer.advance(0.0)
        yield found
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
class TestFollower:
    """Tests of snapshots and watches."""

    async def test_newer_version_is_put_in_force(self) -> None:
        async with follower(change(11, "configuration", b"7")) as found:
            assert found.version == 7

    async def test_older_version_never_returns(self) -> None:
        answers = [
            change(11, "configuration", b"7"),
            change(12, "configuration", b"6"),
            change(13, "configuration", b"x"),
        ]
        async with follower(*answers) as found:
            await found.timer.advance(3 * BATCH_PAUSE_S)
            assert found.version == 7

    async def test_lost_history_leads_to_a_snapshot(self) -> None:
        gone = Err(Failure(ResultCode.STORE_HISTORY_GONE))
        async with follower(gone) as found:
            assert found.store.snapshots == 2

    async def test_evacuation_that_ended_in_lost_history_is_ended(
        self,
    ) -> None:
        gone = Err(Failure(ResultCode.STORE_HISTORY_GONE))
        async with follower(change(11, "out/zone-a", b"{}"), gone) as found:
            assert found.view.evacuated_zones == {"zone-a"}
            await found.timer.advance(BATCH_PAUSE_S)
            assert found.view.evacuated_zones == frozenset()

    async def test_state_is_kept_while_the_store_is_unavailable(self) -> None:
        down = Err(Failure(ResultCode.STORE_UNAVAILABLE))
        async with follower(down, down, down) as found:
            await found.timer.advance(10 * RETRY_PAUSE_S)
            assert found.version == 5
            assert found.store.snapshots == 1

    async def test_silent_watch_is_restarted_when_other_nodes_are_ahead(
        self,
    ) -> None:
        """Guards against a configuration that arrives late.

        The watch's connection was lost without an error, and the node waited
        for the watch to time out.
        """
        silent = None
        news = change(11, "configuration", b"7")
        async with follower(silent, news) as found:
            assert found.version == 5
            found.progress.note_peer_revision(11)
            await found.timer.advance(MAX_LAG_S + 0.1)
            found.progress.note_peer_revision(11)
            await found.timer.advance(0.0)
            assert found.version == 7

    @pytest.mark.parametrize(
        ("code", "is_outage"),
        [
            (ResultCode.STORE_REPLY_LOST, False),
            (ResultCode.STORE_UNAVAILABLE, True),
        ],
    )
    async def test_cut_watch_keeps_a_removed_server_for_two_seconds(
        self, code: ResultCode, is_outage: bool
    ) -> None:
        nothing: Answer = Ok(StoreChanges((), 10))
        async with follower(nothing, Err(Failure(code)), nothing) as found:
            await found.timer.advance(4 * RETRY_PAUSE_S)
            recovered_at = found.view.directory.store_recovered_at
            assert (recovered_at > -inf) == is_outage

    @pytest.mark.parametrize("pause_s", [0.0, BATCH_PAUSE_S])
    async def test_silent_connection_hides_a_change_for_three_seconds(
        self, pause_s: float
    ) -> None:
        """Guards against a dropped route in use for longer (CONFIG).

        No other node is ahead, as their connections are silent too.
        """
        lost = Err(Failure(ResultCode.STORE_REPLY_LOST))
        news = change(11, "configuration", b"7")
        silent_s = pause_s + WATCH_WAIT_S + LONG_POLL_SLACK_S
        async with follower(lost, news, delay_s=silent_s) as found:
            await found.timer.advance(CONTACT_S - 0.3)
            assert found.version == 7

    async def test_store_that_stays_silent_is_called_without_pause(
        self,
    ) -> None:
        """Guards against calls of many nodes at the moment it returns."""
        lost = Err(Failure(ResultCode.STORE_REPLY_LOST))
        silent_s = WATCH_WAIT_S + LONG_POLL_SLACK_S
        again_s = WATCH_WAIT_AFTER_FAILURE_S + LONG_POLL_SLACK_S
        async with follower(lost, lost, lost, delay_s=silent_s) as found:
            found.store.delays.extend([again_s] * 2)
            await found.timer.advance(silent_s)
            assert found.store.watches == 2
            await found.timer.advance(again_s + RETRY_PAUSE_S - 0.1)
            assert found.store.watches == 2
            await found.timer.advance(RETRY_PAUSE_S + 0.1)
            assert found.store.watches == 3

    async def test_watch_that_is_never_answered_counts_as_cut(self) -> None:
        """Its store may have been away for as long as the watch waited."""
        lost = Err(Failure(ResultCode.STORE_REPLY_LOST))
        nothing: Answer = Ok(StoreChanges((), 10))
        silent_s = WATCH_WAIT_S + 0.5
        async with follower(lost, nothing, delay_s=silent_s) as found:
            found.view.directory.note_store_alive()
            await found.timer.advance(silent_s - 0.1)
            found.view.directory.note_store_alive()
            await found.timer.advance(3 * RETRY_PAUSE_S)
            assert found.view.directory.store_recovered_at > -inf

    async def test_watch_after_a_failure_waits_a_short_time_only(
        self,
    ) -> None:
        """Guards against a configuration that arrives late after an outage.

        The store left a call at the end of the outage unanswered, and the
        node waited for it longer than a configuration may take.
        """
        down = Err(Failure(ResultCode.STORE_UNAVAILABLE))
        nothing: Answer = Ok(StoreChanges((), 10))
        async with follower(nothing, down, down, nothing) as found:
            await found.timer.advance(10 * RETRY_PAUSE_S)
            calm, first, second, third, after = found.store.waits
            assert calm == first == after
            assert second < 0.5 and third < 0.5

    async def test_watch_is_not_restarted_when_no_node_is_ahead(self) -> None:
        async with follower() as found:
            for _ in range(10):
                found.progress.note_peer_revision(9)
                await found.timer.advance(MAX_LAG_S)
            assert found.store.watches == 1
