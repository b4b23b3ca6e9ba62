"""An event loop whose clock leaves out waiting for a processor.

Tests run up to sixteen programs on one event loop, with real sockets. On a
machine that is busy with other work, the ordinary clock goes on while the
loop waits for a processor, and limits meant for the network pass. Here time
passes while all programs wait and with the processor time that they use, as
on a machine that has nothing else to do.
"""

from asyncio import get_running_loop
from asyncio import SelectorEventLoop
from selectors import DefaultSelector
from selectors import SelectorKey
from time import monotonic
from time import thread_time
from time import time


class _OwnTimeSelector(DefaultSelector):
    """Adds up the time spent in waiting and the processor time used."""

    def __init__(self) -> None:
        super().__init__()
        # Also read as the time of day.
        self._now_s = time()
        self._counted_s = thread_time()

    def now(self) -> float:
        """Returns the clock in seconds."""
        used = thread_time()
        self._now_s += used - self._counted_s
        self._counted_s = used
        return self._now_s

    def pass_time(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._now_s += seconds

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        began = monotonic()
        ready = super().select(timeout)
        waited = monotonic() - began
        # What exceeds the time asked for is waiting for a processor.
        if timeout is not None:
            waited = min(waited, max(timeout, 0.0))
        self.pass_time(waited)
        return ready


class LoadIndependentLoop(SelectorEventLoop):
    """The event loop of asynchronous tests."""

    def __init__(self) -> None:
        self._selector_clock = _OwnTimeSelector()
        super().__init__(self._selector_clock)

    def time(self) -> float:
        """Seconds without waits for a processor, from the time of day on."""
        return self._selector_clock.now()

    def pass_time(self, seconds: float) -> None:
        """Moves the clock as if the process had been suspended."""
        self._selector_clock.pass_time(seconds)


def load_independent_time(_clock: int = 0) -> float:
    """Returns the clock of the running loop, in seconds."""
    return get_running_loop().time()


def suspend(seconds: float) -> None:
    """Lets time pass while nothing of the running loop goes on."""
    loop = get_running_loop()
    assert isinstance(loop, LoadIndependentLoop)
    loop.pass_time(seconds)
