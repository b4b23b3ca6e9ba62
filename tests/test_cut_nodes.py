"""Tests of nodes whose links to all backend servers are cut.

Callers, the store and the other nodes still reach such a node.
"""

import pytest

from tests.cut_nodes import FirstTry
from tests.cut_nodes import linked_nodes
from tests.cut_nodes import play_cut
from wasabiwing_soak.loopback_proxy import LinkCut

pytestmark = pytest.mark.anyio

NODES = 4

# Share of the first tries served at cut nodes in proportion to the others, and
# the number of failed first tries that is allowed in any case: a fixed one and
# a share of all.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50


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
