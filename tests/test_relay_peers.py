"""Tests of the choice of a node that carries requests of a cut-off one."""

from collections import Counter
from random import Random

import pytest

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.relay_peers import decline_reason
from wasabiwing.relay_peers import DECLINED_S
from wasabiwing.relay_peers import is_declined
from wasabiwing.relay_peers import is_relay_due
from wasabiwing.relay_peers import MAX_ASKED_NODES
from wasabiwing.relay_peers import MAX_RELAYED_REQUESTS
from wasabiwing.relay_peers import may_relay_refusal
from wasabiwing.relay_peers import relay_address
from wasabiwing.relay_peers import RelayPeers
from wasabiwing.relay_peers import UNREACHABLE_S
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio

SEED = 46


def peers_of(count: int) -> tuple[FakeTimer, RelayPeers, dict[str, str]]:
    """Returns the peers of a node in a deployment."""
    timer = FakeTimer()
    inbox_by_node = {
        f"node-{number}": f"tcp://10.0.{number // 250}.{number % 250}:7600"
        for number in range(count)
    }
    return (
        timer,
        RelayPeers(timer, lambda: inbox_by_node, Random(SEED)),
        (inbox_by_node),
    )


class TestChoice:
    """The nodes that are asked, and their order."""

    async def test_no_peer_is_asked_where_there_is_none(self) -> None:
        _, peers, _ = peers_of(0)
        assert peers.choose() == []

    async def test_address_follows_from_the_inbox(self) -> None:
        assert relay_address("10.1.0.4:7600") == "10.1.0.4:7601"
        assert relay_address("tcp://10.1.0.4:7600") == "10.1.0.4:7601"

    async def test_number_of_asked_nodes_is_bounded(self) -> None:
        _, peers, _ = peers_of(194)
        assert len(peers.choose()) == MAX_ASKED_NODES

    @pytest.mark.parametrize("others", [2, 6, 76, 194])
    async def test_requests_of_a_cut_zone_do_not_meet_at_one_node(
        self, others: int
    ) -> None:
        """All others bear the load, none more than twice its share."""
        _, peers, _ = peers_of(others)
        requests = others * 100
        first = Counter(peers.choose()[0].id for _ in range(requests))
        assert len(first) == others
        assert max(first.values()) <= 200

    async def test_node_that_declined_is_left_out_for_a_while(self) -> None:
        timer, peers, _ = peers_of(3)
        peers.note_declined("node-1")
        peers.note_unreachable("node-2")
        assert [item.id for item in peers.choose()] == ["node-0"]
        await timer.advance(DECLINED_S)
        assert {item.id for item in peers.choose()} == {"node-0", "node-1"}
        await timer.advance(UNREACHABLE_S)
        assert len(peers.choose()) == 3

    async def test_one_decline_of_all_others_is_not_final(self) -> None:
        """A sound node may have declined once."""
        timer, peers, _ = peers_of(2)
        peers.note_declined("node-1")
        await timer.advance(0.1)
        peers.note_declined("node-0")
        assert [item.id for item in peers.choose()] == ["node-1", "node-0"]

    @pytest.mark.parametrize(("nodes", "cut"), [(7, 5), (77, 26), (195, 39)])
    async def test_request_finds_a_node_beside_many_cut_ones(
        self, nodes: int, cut: int
    ) -> None:
        """Most of a zone is cut; each cut node learns whom not to ask."""
        timer, peers, _ = peers_of(nodes - 1)
        found = 0
        requests = 200
        for _ in range(requests):
            await timer.advance(0.1)
            for peer in peers.choose():
                if int(peer.id.removeprefix("node-")) >= cut - 1:
                    found += 1
                    break
                peers.note_declined(peer.id)
        assert found >= 0.97 * requests


class TestWhenToRelay:
    """The requests for which another node is asked."""

    @pytest.mark.parametrize(
        ("cut_off", "failed", "untried", "heard", "due"),
        [
            (False, 0, 5, True, False),
            (False, 0, 5, False, False),
            (True, 0, 5, True, True),
            # A single server that has crashed.
            (False, 1, 4, True, False),
            # No sign of any server.
            (False, 1, 4, False, True),
            (False, 1, 0, True, True),
            # Open connections live on and new ones fail.
            (False, 2, 3, True, True),
        ],
    )
    async def test_relay_follows_from_failed_connects(
        self, cut_off: bool, failed: int, untried: int, heard: bool, due: bool
    ) -> None:
        assert is_relay_due(cut_off, failed, untried, heard) is due

    async def test_refusal_is_relayed_only_beside_unreachable_servers(
        self,
    ) -> None:
        full = Failure(ResultCode.OVERLOADED)
        assert may_relay_refusal(full, 0.7)
        assert not may_relay_refusal(full, 0.3)
        assert not may_relay_refusal(Failure(ResultCode.QUARANTINED), 1.0)


class TestDecline:
    """The requests of others that a node does not carry."""

    async def test_request_that_may_have_run_is_not_declined(self) -> None:
        code = ResultCode.CONNECT_FAILED
        assert is_declined(Failure(code))
        assert not is_declined(Failure(code, "", RunState.MAY_HAVE_RUN))

    async def test_refusal_that_holds_at_all_nodes_is_not_declined(
        self,
    ) -> None:
        paused = Failure(ResultCode.NO_BACKEND_SERVER, retry_after_s=2.0)
        assert not is_declined(paused)
        assert not is_declined(Failure(ResultCode.OVERLOADED))

    async def test_number_of_carried_requests_is_bounded(self) -> None:
        assert not decline_reason(False, True, MAX_RELAYED_REQUESTS - 1)
        assert decline_reason(False, True, MAX_RELAYED_REQUESTS)

    async def test_stopping_or_starting_node_declines(self) -> None:
        assert decline_reason(True, True, 0)
        assert decline_reason(False, False, 0)
