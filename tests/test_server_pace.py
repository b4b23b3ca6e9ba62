"""Tests of the slow start of servers that have just started or recovered."""

from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from random import Random

import pytest

from wasabiwing.first_event_counts import FirstEventCounts
from wasabiwing.first_event_counts import total_counts
from wasabiwing.server_pace import admission_window
from wasabiwing.server_pace import INITIAL_WINDOW
from wasabiwing.server_pace import is_in_time
from wasabiwing.server_pace import is_steady
from wasabiwing.server_pace import MAX_SLOW_START_S
from wasabiwing.server_pace import node_share
from wasabiwing.server_pace import RECOVERY_FAILURES
from wasabiwing.server_pace import ServerPace
from wasabiwing.server_pace import SHARE_PERIOD_S
from wasabiwing.server_pace import STEADY_EVENTS
from wasabiwing.timers import FakeTimer

SERVICE = "engines"
NEW = "server-new"

# Seconds between two reports of a node to all others.
REPORT_S = 0.25

# Seconds in which a warm server computes a prompt.
PROMPT_S = 0.05

# How many times longer a prompt takes at a server that has just started, and
# for how many seconds.
START_SLOWDOWN = 4.0
START_SLOW_S = 2.0

# Seconds within which a first event is wanted, and for which requests come.
TARGET_S = 1.0
PLAY_S = 5.0


class TestAdmissionWindow:
    """The window follows from the first events of all nodes."""

    def test_unknown_server_gets_few_requests(self) -> None:
        assert admission_window(FirstEventCounts()) == INITIAL_WINDOW

    def test_first_events_in_time_widen_the_window(self) -> None:
        windows = [
            admission_window(FirstEventCounts(in_time=count))
            for count in range(10)
        ]
        assert windows == sorted(set(windows))

    def test_late_first_events_narrow_it(self) -> None:
        calm = admission_window(FirstEventCounts(8, 0))
        assert admission_window(FirstEventCounts(8, 8)) < calm

    def test_a_server_that_only_fails_still_gets_a_trial(self) -> None:
        assert admission_window(FirstEventCounts(0, 1000)) == 1

    def test_a_server_is_not_steady_beside_trouble(self) -> None:
        assert is_steady(FirstEventCounts(STEADY_EVENTS, 0))
        assert not is_steady(FirstEventCounts(STEADY_EVENTS - 1, 0))
        assert not is_steady(FirstEventCounts(STEADY_EVENTS, STEADY_EVENTS))

    def test_prediction_of_nothing_allows_a_margin(self) -> None:
        assert is_in_time(0.0, 0.09)
        assert not is_in_time(0.0, 0.11)
        assert is_in_time(1.0, 1.9)
        assert not is_in_time(1.0, 2.1)


class TestNodeShare:
    """Nodes divide a window without a message of its own."""

    @pytest.mark.parametrize("nodes", [1, 3, 7, 33, 78, 195])
    @pytest.mark.parametrize("window", [1, 4, 33, 40, 500])
    def test_shares_add_up_to_the_window(
        self, nodes: int, window: int
    ) -> None:
        ids = [f"node-{number}" for number in range(nodes)]
        shares = [node_share(window, node, ids, "key") for node in ids]
        assert sum(shares) == window
        assert max(shares) - min(shares) <= 1

    def test_no_share_is_kept_for_a_node_without_requests(self) -> None:
        # A server would stay idle while other nodes have requests for it.
        ids = [f"node-{number}" for number in range(33)]
        served = {
            node
            for period in range(60)
            for node in ids
            if node_share(INITIAL_WINDOW, node, ids, f"server:{period}")
        }
        assert len(served) > 30


@dataclass
class _Node:
    """A node that hears of the others' first events with its reports."""

    pace: ServerPace
    heard: FirstEventCounts = field(default_factory=FirstEventCounts)
    pending: int = 0


class _Fleet:
    """Nodes that all send to one new server as soon as they may."""

    def __init__(self, timer: FakeTimer, node_count: int) -> None:
        self.timer = timer
        self.ids = [f"node-{number}" for number in range(node_count)]
        self.nodes: list[_Node] = []
        # Requests without a first event in the latest reports of all nodes.
        self.reported_pending = 0
        for node_id in self.ids:
            self._add_node(node_id)
        for node in self.nodes:
            node.pace.note_first_event("other", SERVICE, 0.1, 0.1)
            node.pace.note_registered(
                NEW, SERVICE, round(timer.wall_time() * 1000)
            )

    def _add_node(self, node_id: str) -> None:
        index = len(self.nodes)
        self.nodes.append(
            _Node(
                ServerPace(
                    node_id, self.timer, lambda _: self.nodes[index].heard
                )
            )
        )

    def exchange_reports(self) -> None:
        """Gives each node the counts of all others."""
        self.reported_pending = sum(node.pending for node in self.nodes)
        reported = [node.pace.own_counts().get(NEW) for node in self.nodes]
        for index, node in enumerate(self.nodes):
            node.heard = total_counts(
                counts
                for other, counts in enumerate(reported)
                if other != index and counts is not None
            )

    def wanting(self, uses_pace: bool) -> list[_Node]:
        """Returns the nodes that may send one more request."""
        return [
            node
            for node in self.nodes
            if not uses_pace or node.pace.may_send(NEW, node.pending, self.ids)
        ]


@dataclass
class _Outcome:
    """What became of the requests that were sent to a new server."""

    # Most requests without a first event at one time while the server is slow.
    most_pending: int = 0
    # Requests with a first event within the target, and all others.
    in_time: int = 0
    late: int = 0


async def _play(uses_pace: bool, node_count: int) -> _Outcome:
    """Plays the start of a server to which all nodes like to send.

    The other servers take what is not sent to it.
    """
    timer = FakeTimer()
    fleet = _Fleet(timer, node_count)
    random = Random(node_count)
    outcome = _Outcome()
    started_at = free_at = next_report = timer.now()
    running: list[tuple[float, int, _Node, float, float]] = []
    sent = 0
    while timer.now() < started_at + PLAY_S or running:
        now = timer.now()
        if now >= next_report:
            fleet.exchange_reports()
            next_report = now + REPORT_S
        while running and running[0][0] <= now:
            done_at, _, node, sent_at, predicted_s = heappop(running)
            node.pending -= 1
            first_event_s = done_at - sent_at
            if first_event_s <= TARGET_S:
                outcome.in_time += 1
            else:
                outcome.late += 1
            node.pace.note_first_event(
                NEW, SERVICE, predicted_s, first_event_s
            )
        for node in fleet.wanting(uses_pace):
            if now >= started_at + PLAY_S or random.random() >= 0.1:
                continue
            # A node knows its own requests and those that were reported.
            predicted_s = PROMPT_S * (node.pending + fleet.reported_pending)
            if predicted_s > TARGET_S:
                continue
            is_slow = now < started_at + START_SLOW_S
            work_s = PROMPT_S * (START_SLOWDOWN if is_slow else 1.0)
            free_at = max(free_at, now) + work_s
            node.pending += 1
            sent += 1
            heappush(running, (free_at, sent, node, now, predicted_s))
            if is_slow:
                outcome.most_pending = max(outcome.most_pending, len(running))
        await timer.advance(0.01)
    return outcome


@pytest.mark.anyio
class TestNewServer:
    """A server starts while many nodes have requests."""

    @pytest.mark.parametrize("node_count", [7, 33, 78, 195])
    async def test_nodes_that_each_send_a_request_do_not_overload_it(
        self, node_count: int
    ) -> None:
        before = await _play(False, node_count)
        paced = await _play(True, node_count)
        assert paced.most_pending < before.most_pending
        assert paced.late < before.late
        # The limit must not leave the server idle.
        assert paced.in_time >= before.in_time

    async def test_it_is_steady_after_answers_in_time(self) -> None:
        timer = FakeTimer()
        fleet = _Fleet(timer, 3)
        for _ in range(STEADY_EVENTS):
            for node in fleet.nodes:
                node.pace.note_first_event(NEW, SERVICE, 0.1, 0.1)
        assert all(
            node.pace.may_send(NEW, 1000, fleet.ids) for node in fleet.nodes
        )

    async def test_it_is_not_limited_for_ever_without_requests(self) -> None:
        timer = FakeTimer()
        fleet = _Fleet(timer, 3)
        assert not fleet.nodes[0].pace.may_send(NEW, 1000, fleet.ids)
        await timer.advance(MAX_SLOW_START_S + 0.1)
        assert fleet.nodes[0].pace.may_send(NEW, 1000, fleet.ids)

    async def test_each_node_gets_a_share_in_turn(self) -> None:
        timer = FakeTimer()
        fleet = _Fleet(timer, 33)
        allowed = set()
        for _ in range(24):
            for node_id, node in zip(fleet.ids, fleet.nodes, strict=True):
                if node.pace.may_send(NEW, 0, fleet.ids):
                    allowed.add(node_id)
            await timer.advance(SHARE_PERIOD_S)
        assert len(allowed) > 25


@pytest.mark.anyio
class TestKnownServers:
    """Servers that are there before traffic, or come back as they were."""

    async def test_servers_before_traffic_are_not_limited(self) -> None:
        timer = FakeTimer()
        pace = ServerPace("node-1", timer, lambda _: FirstEventCounts())
        pace.note_registered(NEW, SERVICE, round(timer.wall_time() * 1000))
        assert pace.may_send(NEW, 1000, ["node-1"])

    async def test_entry_that_lapsed_with_an_old_process_is_not_new(
        self,
    ) -> None:
        timer = FakeTimer()
        pace = ServerPace("node-1", timer, lambda _: FirstEventCounts())
        pace.note_first_event("other", SERVICE, 0.1, 0.1)
        started_s = timer.wall_time() - MAX_SLOW_START_S - 1.0
        pace.note_registered(NEW, SERVICE, round(started_s * 1000))
        assert pace.may_send(NEW, 1000, ["node-1"])

    async def test_single_failures_do_not_limit_a_steady_server(self) -> None:
        pace = ServerPace("node-1", FakeTimer(), lambda _: FirstEventCounts())
        for _ in range(100):
            pace.note_failed(NEW)
            pace.note_first_event(NEW, SERVICE, 0.1, 0.1)
        assert pace.may_send(NEW, 1000, ["node-1"])

    async def test_server_that_only_fails_recovers_by_a_slow_start(
        self,
    ) -> None:
        timer = FakeTimer()
        pace = ServerPace("node-1", timer, lambda _: FirstEventCounts())
        for _ in range(RECOVERY_FAILURES):
            pace.note_failed(NEW)
        assert pace.may_send(NEW, 0, ["node-1"])
        assert not pace.may_send(NEW, INITIAL_WINDOW, ["node-1"])
        # Its failures are forgotten as it answers in time.
        for _ in range(40):
            await timer.advance(0.1)
            pace.note_first_event(NEW, SERVICE, 0.1, 0.1)
        assert pace.may_send(NEW, 1000, ["node-1"])
