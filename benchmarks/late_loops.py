"""How long messages wait at a process whose event loop is late.

Three processes' transports send a message each 20 ms to a fourth one, all in
one event loop that other work holds for some time in each round::

    python -m benchmarks.late_loops

``read`` counts the messages that were read until the end; ``delay`` is the
time from sending until reading, of those.
"""

from contextlib import AsyncExitStack
from statistics import median
from time import perf_counter
from time import sleep as hold

from anyio import create_task_group
from anyio import run
from anyio import sleep
from anyio.lowlevel import checkpoint
from fire import Fire

from wasabiwing.messages import SlotEnded
from wasabiwing.nng_transport import NngTransport
from wasabiwing.nng_transport import open_transport

HOLDS_S = (0.0, 0.001, 0.005, 0.02, 0.08)
SENDERS = 3
SEND_PERIOD_S = 0.02
DURATION_S = 5.0
CONNECT_S = 0.5


async def hold_loop(hold_s: float) -> None:
    """Holds the loop for some time in each round, until cancelled."""
    while True:
        hold(hold_s)
        await checkpoint()


async def read(receiver: NngTransport, delays_s: list[float]) -> None:
    """Reads messages that name their times, until cancelled."""
    while True:
        envelope = await receiver.receive()
        assert isinstance(envelope.body, SlotEnded)
        sent_at = float(envelope.body.request_id)
        delays_s.append(perf_counter() - sent_at)


async def measure(hold_s: float) -> None:
    """Sends messages for ``DURATION_S`` and prints their delays."""
    delays_s: list[float] = []
    sent = 0
    async with AsyncExitStack() as stack:
        receiver, *senders = [
            await stack.enter_async_context(
                open_transport(f"node-{number}", "tcp://127.0.0.1:0")
            )
            for number in range(SENDERS + 1)
        ]
        async with create_task_group() as tasks:
            tasks.start_soon(read, receiver, delays_s)
            end = perf_counter() + CONNECT_S + DURATION_S
            counts_from = end - DURATION_S
            while (now := perf_counter()) < end:
                if now >= counts_from and not sent:
                    delays_s.clear()
                    if hold_s:
                        tasks.start_soon(hold_loop, hold_s)
                for sender in senders:
                    message = SlotEnded("desk", "server-0", str(now))
                    sender.send(receiver.address, message)
                    sent += now >= counts_from
                await sleep(SEND_PERIOD_S)
            tasks.cancel_scope.cancel()
    print(
        f"hold {hold_s * 1000:3.0f} ms: sent {sent:4}, read {len(delays_s):4},"
        f" delay {median(delays_s) * 1000:5.0f} ms in the median,"
        f" {max(delays_s) * 1000:5.0f} ms at most"
    )


def main() -> None:
    """Measures each hold."""
    for hold_s in HOLDS_S:
        run(measure, hold_s, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    Fire(main)
