"""Tests of the speeds that nodes learn together from first events."""

from random import Random

from anyio import create_task_group
import pytest

from tests.network import FakeNetwork
from wasabiwing.learned_speeds import LearnedSpeeds
from wasabiwing.learned_speeds import LEARNING_PERIOD_S
from wasabiwing.message_router import MessageRouter
from wasabiwing.server_speeds import ServerSpeeds
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio

NODES = 40
SERVERS = 10
SLOW = "server-3"
SLOW_FACTOR = 2.5

# First events of one node in a second.
PER_S = 0.8


async def learned(
    seed: int, seconds: int, exchanges: bool
) -> list[list[float]]:
    """Returns the slowdowns that the nodes expect of each server at the end.

    Times vary by a factor, and predictions are a third too short everywhere.
    """
    random = Random(seed)
    timer = FakeTimer(0.0)
    node_ids = [f"n{number}" for number in range(NODES)]
    inboxes = {node_id: f"tcp://{node_id}" for node_id in node_ids}
    servers = [f"server-{number}" for number in range(SERVERS)]
    speeds = [ServerSpeeds(timer) for _ in node_ids]
    async with create_task_group() as tasks:
        network = FakeNetwork(timer, tasks)
        nodes = []
        for node_id, known in zip(node_ids, speeds, strict=True):
            transport = network.open(node_id, inboxes[node_id])
            others = {
                other: inbox
                for other, inbox in inboxes.items()
                if other != node_id
            }
            node = LearnedSpeeds(
                node_id,
                timer,
                transport,
                known,
                lambda: node_ids,
                lambda others=others: others,  # type: ignore[misc]
                lambda server_id: server_id in servers,
            )
            router = MessageRouter(node_id, transport)
            node.register(router)
            tasks.start_soon(router.run)
            nodes.append(node)
        for _ in range(int(seconds / LEARNING_PERIOD_S)):
            for known in speeds:
                for _ in range(int(LEARNING_PERIOD_S * PER_S)):
                    server_id = random.choice(servers)
                    slowdown = known.slowdown(server_id)
                    factor = SLOW_FACTOR if server_id == SLOW else 1.0
                    observed_s = 0.45 * factor * random.uniform(0.6, 1.5)
                    known.note_first_event(
                        server_id, 0.3 * slowdown, observed_s, slowdown
                    )
            await timer.advance(LEARNING_PERIOD_S / 2)
            if exchanges:
                for node in nodes:
                    await node.exchange()
            await timer.advance(LEARNING_PERIOD_S / 2)
        per_s = network.sent_bytes / seconds / NODES
        assert per_s < 400.0
        tasks.cancel_scope.cancel()
    return [
        [known.slowdown(server_id) for known in speeds]
        for server_id in servers
    ]


class TestLearnedSpeeds:
    """Forty nodes, each with a first event of a server every 12 s."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_all_nodes_learn_a_slower_server_together(
        self, seed: int
    ) -> None:
        """Guards against speeds that no node alone has the events to learn."""
        found = await learned(seed, 30, True)
        slow = found.pop(int(SLOW.rpartition("-")[2]))
        assert min(slow) > 1.5 and max(slow) < 2.6
        for others in found:
            assert min(others) > 0.7 and max(others) < 1.35
        alone = (await learned(seed, 30, False))[3]
        assert max(alone) < min(slow)
