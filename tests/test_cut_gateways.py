"""Tests of gateways whose links to all backend servers are cut.

Callers, the controllers and the other gateways still reach such a gateway.
"""

import pytest

from tests.cut_gateways import FirstTry
from tests.cut_gateways import linked_gateways
from tests.cut_gateways import play_cut
from wasabiwing_soak.loopback_proxy import LinkCut

pytestmark = pytest.mark.anyio

GATEWAYS = 3

# Share of the first tries served at cut gateways in proportion to the others,
# and the share of all that may fail in any case.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED_SHARE = 1 / 50


def served_count(tries: list[FirstTry]) -> int:
    """Returns the number of served tries."""
    return sum(item.served for item in tries)


class TestFirstTries:
    """First tries at gateways that have lost their links to all servers."""

    @pytest.mark.parametrize("cut_count", [1, 2])
    @pytest.mark.parametrize("cut", list(LinkCut))
    async def test_callers_of_a_gateway_cut_from_all_servers_are_refused(
        self, cut: LinkCut, cut_count: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with linked_gateways(monkeypatch, GATEWAYS) as deployment:
            outcome = await play_cut(deployment, cut, cut_count)
            runs_by_key = deployment.system.ledger.runs_by_key
        at_cut, at_others = outcome.counted(True), outcome.counted(False)
        assert at_cut
        assert at_others
        other_share = served_count(at_others) / len(at_others)
        assert 1.0 - other_share <= MAX_FAILED_SHARE, outcome.summary()
        assert served_count(at_cut) >= MIN_SERVED_RATIO * other_share * len(
            at_cut
        ), outcome.summary()
        assert max(runs_by_key.values()) == 1
        for item in outcome.tries:
            if item.route == "charge" and item.run_state == "not_run":
                assert f"north-haul/{item.mark}" not in runs_by_key
