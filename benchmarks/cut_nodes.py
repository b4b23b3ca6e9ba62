"""What callers get from nodes that have lost their links to all servers.

Real nodes, servers and proxies run on loopback in one process; the links of
some nodes to all servers are cut for 6 s::

    PYTHONPATH=platform python -m benchmarks.cut_nodes

Prints how many first tries that were sent from 3 to 5 s after the begin of
the cut were served, at cut nodes and at the others, and how long after that
begin a cut node first served one. The clock leaves out waits for a processor.
"""

from collections.abc import Sequence
from unittest.mock import patch

from anyio import run
from fire import Fire

from tests.cut_nodes import CutOutcome
from tests.cut_nodes import linked_nodes
from tests.cut_nodes import play_cut
from tests.cut_nodes import ROUTES
from tests.load_independent_clock import load_independent_time
from tests.load_independent_clock import LoadIndependentLoop
from wasabiwing_soak.loopback_proxy import LinkCut

# Numbers of nodes, and of those that are cut.
FLEETS = ((4, 1), (4, 3), (7, 5))


def served_of_sent(outcome: CutOutcome, cut: bool, route: str) -> str:
    """Returns how many counted tries were served, of how many."""
    tries = outcome.counted(cut, route)
    return f"{sum(item.served for item in tries)} of {len(tries)}"


async def play(cut: LinkCut, node_count: int, cut_count: int) -> None:
    """Plays one cut and prints a row for each route and for all."""
    async with linked_nodes(node_count) as nodes:
        outcome = await play_cut(nodes, cut, cut_count)
    for route in (*ROUTES, ""):
        first_s = outcome.first_served_s(route)
        print(
            f"| {cut} | {cut_count} of {node_count} | {route or 'all'} |"
            f" {served_of_sent(outcome, True, route)} |"
            f" {served_of_sent(outcome, False, route)} |"
            f" {'none' if first_s is None else f'{first_s:.2f} s'} |",
            flush=True,
        )


def start(
    cuts: Sequence[str] = tuple(LinkCut),
    fleets: Sequence[tuple[int, int]] = FLEETS,
) -> None:
    """Prints the table for ways of cutting and (nodes, cut nodes) pairs."""
    print("| cut | nodes cut | route | cut nodes | others | first served |")
    print("|---|---|---|---|---|---|")
    for cut in cuts:
        for node_count, cut_count in fleets:
            with (
                patch(
                    "wasabiwing.timers.clock_gettime", load_independent_time
                ),
                patch("wasabiwing.timers.time", load_independent_time),
            ):
                run(
                    play,
                    LinkCut(cut),
                    node_count,
                    cut_count,
                    backend_options={"loop_factory": LoadIndependentLoop},
                )


if __name__ == "__main__":
    Fire(start)
