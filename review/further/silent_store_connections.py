"""Nodes whose open connections to the store go silent, while new ones work."""

from asyncio import gather
from asyncio import sleep
from pathlib import Path
from time import monotonic

from harness import BROKEN
from harness import CONFIG_APPLY_S
from harness import configuration
from harness import CONTACT_S
from harness import DRAIN_S
from harness import HELD
from harness import Node
from harness import NOT_RUN
from harness import route
from harness import run_case
from harness import Site
from harness import TROUBLE

NODES = 3
ROUNDS = 3

# Time from the silence to the change, in seconds.
CHANGE_AFTER_S = 0.3

# Time after each bound that counts for neither side, in seconds.
SPARE_S = 0.1

# Time from the silence until the requests end, and between two requests.
WATCHED_S = 7.0
REQUEST_PERIOD_S = 0.1


async def send_until(
    site: Site, node: Node, path: str, until: float
) -> list[tuple[float, str, int]]:
    """Sends requests; returns when, by which id and with what status."""
    sent: list[tuple[float, str, int]] = []
    while (now := monotonic()) < until:
        attempt_id, answer = await site.consumer.send(node.front, path)
        sent.append((now, attempt_id, answer.status))
        await sleep(REQUEST_PERIOD_S)
    return sent


async def play_round(site: Site, number: int) -> tuple[int, int]:
    """Plays a silence; returns the breaches of CONFIG and of DRAIN."""
    store, record = site.store, site.record
    worker = await site.add_worker(f"i-leaving-{number}", "desk")
    store.put_json("op/config", configuration(2 * number + 1))
    # The last disturbance must be over for longer than contactMs.
    await sleep(CONTACT_S + 2.0)
    silent_at = monotonic()
    if TROUBLE:
        count = store.silence_connections()
        record.note(f"{count} open connections to the store go silent")
    await sleep(CHANGE_AFTER_S)
    document = configuration(2 * number + 2)
    document["routes"] = [route("status", "idempotent", "desk")]
    store.put_json("op/config", document)
    site.registered.discard(worker.id)
    site.register(worker, state="draining")
    site.registered.discard(worker.id)
    acknowledged_at = monotonic()
    record.note("acknowledged: a version without book; a worker drains")
    until = silent_at + WATCHED_S
    sent_by_route = await gather(
        *(
            send_until(site, node, path, until)
            for node in site.nodes
            for path in ("/book/1", "/status/1")
        )
    )
    in_touch_at = silent_at + CONTACT_S if TROUBLE else silent_at
    config_from = max(in_touch_at, acknowledged_at + CONFIG_APPLY_S) + SPARE_S
    drain_from = max(in_touch_at, acknowledged_at + DRAIN_S) + SPARE_S
    config_breaches = [
        sent_at - silent_at
        for position, sent in enumerate(sent_by_route)
        for sent_at, _, status in sent
        if position % 2 == 0 and status == 200 and sent_at >= config_from
    ]
    drain_breaches = [
        run.began_at - silent_at
        for run in worker.runs
        if run.began_at >= drain_from
    ]
    for name, breaches in (
        ("CONFIG: ran on the dropped route", config_breaches),
        ("DRAIN: reached the draining worker", drain_breaches),
    ):
        record.note(
            f"{name}: {len(breaches)}, seconds after the silence began: "
            + ", ".join(f"{moment:.2f}" for moment in sorted(breaches))
        )
    site.remove_entry(worker)
    return len(config_breaches), len(drain_breaches)


async def play(site: Site) -> int:
    """Plays the case; returns its exit status."""
    site.store.put_json("op/config", configuration(1))
    for number in range(2):
        await site.add_worker(f"i-{number}", "desk")
    if not await site.start_nodes(NODES):
        return NOT_RUN
    breaches = 0
    for number in range(ROUNDS):
        breaches += sum(await play_round(site, number))
    return BROKEN if breaches else HELD


run_case(Path(__file__).resolve().parent, play)
