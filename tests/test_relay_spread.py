"""Tests of which nodes carry requests when much of a large fleet is cut.

No sockets: each node has its choice of peers; a peer that is cut declines.
"""

from dataclasses import dataclass
from random import Random

from anyio import create_task_group
import pytest

from wasabiwing.relay_peers import RelayPeers
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio

# Requests per second at each node, length of a run, and the part of it that
# counts, in seconds from its begin.
REQUESTS_PER_S = 2.0
RUN_S = 8.0
CONTACT_S = 3.0

# Share of the first tries that must be carried for cut nodes, where the others
# serve all.
MIN_SERVED = 2 / 3


@dataclass(slots=True)
class Spread:
    """How requests of cut nodes were spread."""

    sent: int = 0
    carried: int = 0
    # Peers that were asked for all requests together.
    asked: int = 0
    # Requests that the sound node with most of them carried, and how many it
    # would be on average.
    most: int = 0
    mean: float = 0.0


async def play(node_count: int, cut_count: int, per_s: float) -> Spread:
    """Lets cut nodes choose peers for their requests."""
    random = Random(f"{node_count}/{cut_count}")
    timer = FakeTimer()
    node_ids = [f"node-{number:03}" for number in range(node_count)]
    inbox_by_node = {node_id: f"{node_id}:7000" for node_id in node_ids}
    cut = set(random.sample(node_ids, cut_count))
    carried_by_node = dict.fromkeys(set(node_ids) - cut, 0)
    spread = Spread()

    def others(own_id: str) -> dict[str, str]:
        return {
            node_id: inbox
            for node_id, inbox in inbox_by_node.items()
            if node_id != own_id
        }

    def send(peers: RelayPeers) -> None:
        counts = timer.now() - began_at >= CONTACT_S
        spread.sent += counts
        for peer in peers.choose():
            spread.asked += counts
            if peer.id not in cut:
                spread.carried += counts
                carried_by_node[peer.id] += counts
                return
            peers.note_declined(peer.id)

    async def run_node(node_id: str) -> None:
        peers = RelayPeers(timer, lambda: others(node_id), random)
        while timer.now() < began_at + RUN_S:
            await timer.sleep(random.expovariate(per_s))
            send(peers)

    began_at = timer.now()
    async with create_task_group() as tasks:
        for node_id in sorted(cut):
            tasks.start_soon(run_node, node_id)
        while timer.now() < began_at + RUN_S + 5.0:
            await timer.advance(0.05)
        tasks.cancel_scope.cancel()
    spread.most = max(carried_by_node.values())
    spread.mean = spread.carried / len(carried_by_node)
    return spread


class TestLargeFleets:
    """Most nodes of a large fleet are cut from all servers."""

    @pytest.mark.parametrize(
        ("node_count", "cut_count"),
        [(7, 5), (77, 26), (77, 58), (195, 65), (195, 147)],
    )
    async def test_a_sound_node_carries_what_a_zone_cannot_send(
        self, node_count: int, cut_count: int
    ) -> None:
        spread = await play(node_count, cut_count, REQUESTS_PER_S)
        assert spread.carried >= MIN_SERVED * spread.sent
        # No sound node carries much more than the others.
        assert spread.most <= 2 * spread.mean + 10
