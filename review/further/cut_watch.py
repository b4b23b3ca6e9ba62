"""A watch is cut just before a worker's entry is removed."""

from asyncio import gather
from asyncio import sleep
from pathlib import Path
from time import monotonic

from harness import BROKEN
from harness import configuration
from harness import CONTACT_S
from harness import DRAIN_S
from harness import HELD
from harness import Node
from harness import NOT_RUN
from harness import run_case
from harness import Site
from harness import TROUBLE

NODES = 3
ROUNDS = 5

# Time in which the watches are cut that wait, one of each node, and time from
# there to the removal, in seconds.
CUT_FOR_S = 0.6
REMOVAL_AFTER_S = 0.05

# Time after the bound that counts for neither side, in seconds.
SPARE_S = 0.1

# Time from the removal until the requests end, and between two requests.
WATCHED_S = 3.5
REQUEST_PERIOD_S = 0.02


async def send_until(site: Site, node: Node, until: float) -> None:
    """Sends requests to a node, one after the other."""
    while monotonic() < until:
        await site.consumer.send(node.front, "/status/1", "GET", b"")
        await sleep(REQUEST_PERIOD_S)


async def play_round(site: Site, number: int) -> int:
    """Plays a cut; returns how many requests reached the worker late."""
    worker = await site.add_worker(f"i-leaving-{number}", "desk")
    await sleep(CONTACT_S + 1.0)
    if TROUBLE:
        cut = 0
        cut_until = monotonic() + CUT_FOR_S
        while monotonic() < cut_until and cut < NODES:
            cut += site.store.cut_watches()
            await sleep(0.01)
        site.record.note(f"the store has cut {cut} waiting watches")
    else:
        await sleep(CUT_FOR_S)
    await sleep(REMOVAL_AFTER_S)
    # This worker never reports draining, and goes on.
    site.remove_entry(worker)
    removed_at = monotonic()
    site.record.note(f"acknowledged: {worker.id} is gone")
    until = removed_at + WATCHED_S
    await gather(*(send_until(site, node, until) for node in site.nodes))
    bound = removed_at + DRAIN_S + SPARE_S
    late = [
        run.began_at - removed_at
        for run in worker.runs
        if run.began_at >= bound
    ]
    site.record.note(
        f"DRAIN: {len(late)} requests reached {worker.id}, seconds after the"
        " ack: " + ", ".join(f"{moment:.2f}" for moment in late)
    )
    return len(late)


async def play(site: Site) -> int:
    """Plays the case; returns its exit status."""
    site.store.put_json("op/config", configuration(1))
    for number in range(2):
        await site.add_worker(f"i-{number}", "desk")
    if not await site.start_nodes(NODES):
        return NOT_RUN
    late = 0
    for number in range(ROUNDS):
        late += await play_round(site, number)
    return BROKEN if late else HELD


run_case(Path(__file__).resolve().parent, play)
