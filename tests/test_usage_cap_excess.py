"""Tests of what an organisation gets from a fleet, against its usage cap."""

import pytest

from tests.cap_fleet import Demand
from tests.cap_fleet import play
from tests.cap_fleet import restart
from tests.cap_fleet import share_of_nodes

pytestmark = pytest.mark.anyio

# Share of a cap's rate that an organisation gets at least while it asks for
# more.
MIN_USED_SHARE = 0.95


class TestExcess:
    """An organisation asks all nodes for many times its cap."""

    @pytest.mark.parametrize(
        ("count", "times_rate", "first_node_share", "restarted_share"),
        [
            (1, 7.0, 0.0, 0.0),
            (3, 20.0, 0.0, 0.1),
            (7, 3.0, 0.9, 0.1),
            (7, 20.0, 0.0, 0.0),
            (30, 7.0, 0.0, 0.0),
            (30, 20.0, 0.0, 0.0),
            (30, 20.0, 0.0, 0.1),
            (78, 7.0, 0.0, 0.0),
            (78, 20.0, 0.0, 0.1),
            (78, 20.0, 0.9, 0.0),
            (195, 3.0, 0.0, 0.1),
            (195, 7.0, 0.0, 0.0),
        ],
    )
    async def test_organisation_gets_its_cap_and_not_more(
        self,
        count: int,
        times_rate: float,
        first_node_share: float,
        restarted_share: float,
    ) -> None:
        """Guards against nodes that all admit the same part of a cap."""
        outcome = await play(
            count,
            [Demand(times_rate, first_node_share=first_node_share)],
            actions=restart(share_of_nodes(restarted_share)),
        )
        assert outcome.worst_share <= 1.0
        assert outcome.used_share(4.0, 12.0) >= MIN_USED_SHARE
