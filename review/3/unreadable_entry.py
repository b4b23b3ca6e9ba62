"""Nodes that meet an entry of another writer that can't be read."""

from asyncio import create_task
from asyncio import sleep
from pathlib import Path

from harness import BROKEN
from harness import configuration
from harness import HEARTBEAT_S
from harness import HELD
from harness import Node
from harness import NOT_RUN
from harness import route
from harness import run_case
from harness import Site
from harness import TROUBLE

NODES = 3

# Depth of the nested lists in a field of the unreadable entry, which has
# 4 KB; the store takes values of up to 1 MB.
DEPTH = 2000

# ``configApplyMs`` and ``recoverS`` of the sites, in seconds, and what is
# added so that the bound is surely over.
CONFIG_APPLY_S = 2.0
RECOVER_S = 12.0
SPARE_S = 0.5

# Requests sent to each node.
REQUESTS = 5


def unreadable_entry() -> bytes:
    """Returns an entry whose bytes can't be read."""
    nested = b"[" * DEPTH + b"]" * DEPTH
    return b'{"service":"desk","labels":' + nested + b"}"


async def write_again_and_again(site: Site) -> None:
    """Writes the unreadable entry as often as a worker does."""
    while True:
        site.store.put("servers/i-other", unreadable_entry())
        site.record.note("another writer writes an entry that can't be read")
        await sleep(HEARTBEAT_S)


async def count_answers(site: Site, node: Node, path: str) -> int:
    """Sends requests to a node; returns how many were served."""
    served = 0
    for _ in range(REQUESTS):
        _, answer = await site.consumer.send(node.front, path)
        served += answer.status == 200
    return served


async def play(site: Site) -> int:
    """Plays the case; returns its exit status."""
    store, record = site.store, site.record
    store.put_json("op/config", configuration(1))
    for number in range(3):
        await site.add_worker(f"i-{number}", "desk")
    if not await site.start_nodes(NODES):
        return NOT_RUN
    await sleep(4.0)
    other = create_task(write_again_and_again(site)) if TROUBLE else None
    await sleep(HEARTBEAT_S + 0.1)
    # The operator drops the route ``book``.
    document = configuration(2)
    document["routes"] = [route("status", "idempotent", "desk")]
    store.put_json("op/config", document)
    record.note("acknowledged: version 2, without the route book")
    await sleep(CONFIG_APPLY_S + SPARE_S)
    dropped = 0
    for node in site.nodes:
        dropped += await count_answers(site, node, "/book/1")
    record.note(f"CONFIG: {dropped} requests ran on the dropped route")
    before = 0
    for node in site.nodes:
        before += await count_answers(site, node, "/status/1")
    # The final fault: all processes are killed, and started again.
    for node in site.nodes:
        await node.kill()
    for node in site.nodes:
        await node.start()
    record.note("all processes were killed and started again")
    await sleep(RECOVER_S + SPARE_S)
    after = 0
    for node in site.nodes:
        after += await count_answers(site, node, "/status/1")
        record.note(f"{node.name} is ready: {await node.is_ready()}")
    asked = NODES * REQUESTS
    record.note(f"RECOVER: {after} of {asked} served, {before} before")
    if other is not None:
        other.cancel()
    if before < asked:
        return NOT_RUN
    return BROKEN if dropped or after < asked / 4 else HELD


run_case(Path(__file__).resolve().parent, play)
