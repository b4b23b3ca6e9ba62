"""Tests of the signals that stop a program."""

from os import getpid
from os import kill
from signal import SIGINT
from signal import SIGTERM

from anyio import Event
from anyio import sleep
import pytest

from wasabiwing.program import run_until_signal

pytestmark = pytest.mark.anyio

# Time in which a signal reaches the event loop, in seconds.
SIGNAL_S = 0.05


class TestSignals:
    """A program that drains after the first request to stop."""

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
