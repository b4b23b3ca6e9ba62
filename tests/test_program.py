"""Tests of the signals that stop a program."""

from os import devnull
from os import getpid
from os import kill
from signal import getsignal
from signal import SIGHUP
from signal import SIGINT
from signal import signal as set_handler
from signal import SIGTERM

from anyio import create_task_group
from anyio import Event
from anyio import sleep
import pytest

from wasabiwing.node_program import reload_on_signal
from wasabiwing.program import run_program
from wasabiwing.program import run_until_signal

# Time in which a signal reaches the event loop, in seconds.
SIGNAL_S = 0.05


class TestSignals:
    """Signals to a program that serves or drains."""

    @pytest.mark.anyio
    @pytest.mark.parametrize("signal", [SIGTERM, SIGINT])
    async def test_a_second_signal_does_not_end_the_drain(
        self, signal: int
    ) -> None:
        """Guards against requests that a second SIGTERM cuts off."""
        drained = False

        async def program(stop: Event) -> None:
            nonlocal drained
            # The receiver of signals starts beside the program.
            await sleep(SIGNAL_S)
            kill(getpid(), signal)
            await stop.wait()
            kill(getpid(), signal)
            await sleep(SIGNAL_S)
            drained = True

        await run_until_signal(program)
        assert drained

    def test_a_signal_to_reload_ends_no_program(self) -> None:
        """Guards against requests that SIGHUP cuts off."""

        async def program(stop: Event) -> None:
            kill(getpid(), SIGHUP)
            await sleep(SIGNAL_S)
            kill(getpid(), SIGTERM)
            await stop.wait()

        earlier = getsignal(SIGHUP)
        try:
            run_program(program, devnull)
        finally:
            set_handler(SIGHUP, earlier)

    @pytest.mark.anyio
    async def test_settings_that_raise_at_sighup_end_the_node(self) -> None:
        """Guards against an error of a file that others write."""
        reload_count = 0

        async def reload() -> None:
            nonlocal reload_count
            reload_count += 1
            raise ZeroDivisionError("unexpected")

        async with create_task_group() as tasks:
            tasks.start_soon(reload_on_signal, "node", reload)
            await sleep(SIGNAL_S)
            for _ in range(2):
                kill(getpid(), SIGHUP)
                await sleep(SIGNAL_S)
            tasks.cancel_scope.cancel()
        assert reload_count == 2
