"""Tests of nodes whose links to all backend servers are cut.

Callers, the store and the other nodes still reach such a node.
"""

from anyio import create_task_group
from anyio import sleep
import pytest

from tests.cut_nodes import FirstTry
from tests.cut_nodes import linked_nodes
from tests.cut_nodes import LinkedNodes
from tests.cut_nodes import play_cut
from tests.cut_nodes import ROUTES
from tests.cut_nodes import SERVERS_PER_SERVICE
from wasabiwing.node_settings import NodeSettings
from wasabiwing_soak.loopback_proxy import LinkCut

pytestmark = pytest.mark.anyio

NODES = 4

# Share of the first tries served at cut nodes in proportion to the others, and
# the number of failed first tries that is allowed in any case: a fixed one and
# a share of all.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50

# Requests of one text that run for each cut node when the cut begins.
RUNNING = 3 * SERVERS_PER_SERVICE

# Run time of these requests, and time in which nodes learn of crashes, in
# seconds.
LONG_RUN_S = 1.0
CONTACT_S = 3.0


def served_count(tries: list[FirstTry]) -> int:
    """Returns the number of served tries."""
    return sum(item.served for item in tries)


class TestFirstTries:
    """First tries at nodes that have lost their links to all servers."""

    @pytest.mark.parametrize("cut_count", [1, 3])
    @pytest.mark.parametrize("cut", list(LinkCut))
    async def test_callers_of_a_node_cut_from_all_servers_are_refused(
        self, cut: LinkCut, cut_count: int
    ) -> None:
        async with linked_nodes(NODES) as nodes:
            outcome = await play_cut(nodes, cut, cut_count)
        at_cut, at_others = outcome.counted(True), outcome.counted(False)
        assert at_cut
        assert at_others
        served = served_count(at_cut)
        other_share = served_count(at_others) / len(at_others)
        failed = len(at_cut) - served
        allowed = MAX_FAILED + MAX_FAILED_SHARE * (
            len(at_cut) + len(at_others)
        )
        assert (
            served >= MIN_SERVED_RATIO * other_share * len(at_cut)
            or failed <= allowed
        ), f"{served} of {len(at_cut)} served, others {other_share:.0%}"
        assert len(at_others) - served_count(at_others) <= allowed


async def send_and_cut(nodes: LinkedNodes, route: str, cut_count: int) -> None:
    """Cuts nodes while requests of one text, sent by them, run."""
    cut_nodes = nodes.nodes[:cut_count]
    for server in nodes.servers:
        server.work_s = LONG_RUN_S

    async def ask(node: NodeSettings) -> None:
        # Its end does not matter.
        await nodes.send(node, route, b"same text", 2 * LONG_RUN_S)

    async with create_task_group() as callers:
        for node in cut_nodes:
            for _ in range(RUNNING):
                callers.start_soon(ask, node)
        await sleep(LONG_RUN_S / 2)
        nodes.set_cut([item.node_id for item in cut_nodes], LinkCut.REFUSE)


class TestCrashEvidence:
    """What nodes without links to servers make of broken connections."""

    @pytest.mark.parametrize("cut_count", [1, 3])
    @pytest.mark.parametrize("route", ROUTES)
    async def test_cut_nodes_quarantine_sound_requests(
        self, route: str, cut_count: int
    ) -> None:
        async with linked_nodes(NODES) as nodes:
            await send_and_cut(nodes, route, cut_count)
            await sleep(CONTACT_S)
            for server in nodes.servers:
                server.work_s = 0.0
            reply = await nodes.send(
                nodes.nodes[-1], route, b"same text", 5 * LONG_RUN_S
            )
        assert reply.status == 200, reply
