"""An event loop whose clock excludes scheduling delays of a busy machine.

Tests run up to sixteen programs on one event loop, with real sockets. While
the loop waits for a processor, an ordinary clock goes on, and timeouts meant
for the network expire. The clock of this loop advances by the time in which
the loop waits for events and by the processor time of its thread, as on an
otherwise idle machine.
"""

from asyncio import get_running_loop
from asyncio import SelectorEventLoop
from selectors import DefaultSelector
from selectors import SelectorKey
from time import monotonic
from time import thread_time
from time import time


class _LoadIndependentSelector(DefaultSelector):
    """Sums up the time of waits for events and the thread's processor time."""

    def __init__(self) -> None:
        super().__init__()
        # Starts at the time of day, because programs also read that from it.
        self._now_s = time()
        self._last_thread_time_s = thread_time()

    def now(self) -> float:
        """Returns the time of the clock, in seconds."""
        thread_time_s = thread_time()
        self._now_s += thread_time_s - self._last_thread_time_s
        self._last_thread_time_s = thread_time_s
        return self._now_s

    def advance_clock(self, seconds: float) -> None:
        """Advances the clock by a time."""
        self._now_s += seconds

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        began = monotonic()
        ready = super().select(timeout)
        waited_s = monotonic() - began
        # Time beyond the timeout is a wait for a processor.
        if timeout is not None:
            waited_s = min(waited_s, max(timeout, 0.0))
        self.advance_clock(waited_s)
        return ready


class LoadIndependentLoop(SelectorEventLoop):
    """The event loop of asynchronous tests, on the clock of its selector."""

    def __init__(self) -> None:
        self._selector_clock = _LoadIndependentSelector()
        super().__init__(self._selector_clock)

    def time(self) -> float:
        """Returns the loop's time in seconds, without scheduling delays."""
        return self._selector_clock.now()

    def advance_clock(self, seconds: float) -> None:
        """Advances the clock as if the process had been suspended."""
        self._selector_clock.advance_clock(seconds)


def load_independent_time(_clock: int = 0) -> float:
    """Returns the time of the running loop, in seconds.

    It replaces clock functions that take the id of a clock, or nothing.
    """
    return get_running_loop().time()


def suspend(seconds: float) -> None:
    """Advances the running loop's clock as a suspended process would see."""
    loop = get_running_loop()
    assert isinstance(loop, LoadIndependentLoop)
    loop.advance_clock(seconds)
