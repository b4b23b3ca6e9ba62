"""What the long-running programs share: signals, logs and the event loop."""

from collections.abc import Awaitable
from collections.abc import Callable
from signal import SIG_IGN
from signal import SIGHUP
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from sys import stdout
from time import monotonic

from anyio import create_task_group
from anyio import Event
from anyio import open_signal_receiver
from anyio import run
from eliot import add_destinations

from wasabiwing.events import open_log
from wasabiwing.log_writer import LogWriter

Program = Callable[[Event], Awaitable[None]]


def run_program(program: Program, log_path: str) -> None:
    """Runs a program until it ends; SIGTERM and SIGINT ask it to stop.

    The log is appended to ``log_path``, or written to standard output if the
    path is empty.
    """
    stream = open(log_path, "a") if log_path else stdout
    open_log(stream)
    _run(program)


def run_with_bounded_log(program: Program) -> None:
    """Runs a program that never blocks on a slow reader of its log."""
    writer = LogWriter(stdout.buffer, monotonic)
    writer.start()
    add_destinations(writer)
    try:
        _run(program)
    finally:
        writer.close()


def _run(program: Program) -> None:
    # A program that follows no changed settings must not end by the signal.
    signal(SIGHUP, SIG_IGN)
    run(run_until_signal, program, backend_options={"use_uvloop": True})


async def run_until_signal(program: Program) -> None:
    """Runs a program to its end; the first signal sets its stop event.

    Later signals change nothing, so that they don't cut what is draining.
    """
    stop = Event()
    async with create_task_group() as tasks:

        async def wait_for_signal() -> None:
            with open_signal_receiver(SIGINT, SIGTERM) as signals:
                async for _ in signals:
                    stop.set()

        tasks.start_soon(wait_for_signal)
        await program(stop)
        tasks.cancel_scope.cancel()
