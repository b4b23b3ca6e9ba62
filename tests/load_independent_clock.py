"""An event loop whose clock excludes scheduling delays of a busy machine.

Tests run up to sixteen programs on one event loop, with real sockets. While
the loop waits for a processor, an ordinary clock goes on, and timeouts meant
for the network expire. The clock of this loop advances by the time in which
the loop waits for events and by the processor time of its thread, as on an
otherwise idle machine. It leaves out full garbage collections, which go
through the objects of all tests and take longer than those of any program.
"""

from asyncio import get_running_loop
from asyncio import SelectorEventLoop
from collections import defaultdict
import gc
from selectors import DefaultSelector
from selectors import SelectorKey
from threading import get_ident
from time import monotonic
from time import thread_time
from time import time

FULL_COLLECTION = 2


class _CollectionTimes:
    """Sums up the processor time of full garbage collections."""

    def __init__(self) -> None:
        # In seconds, by the id of the thread that collected.
        self.seconds_by_thread: dict[int, float] = defaultdict(float)
        self._began_s = 0.0
        gc.callbacks.append(self._note)

    def _note(self, phase: str, info: dict[str, int]) -> None:
        if info["generation"] != FULL_COLLECTION:
            return
        if phase == "start":
            self._began_s = thread_time()
            return
        self.seconds_by_thread[get_ident()] += thread_time() - self._began_s


_collection_times = _CollectionTimes()


def _work_time() -> float:
    """Returns the processor time of this thread in seconds."""
    return thread_time() - _collection_times.seconds_by_thread[get_ident()]


class _LoadIndependentSelector(DefaultSelector):
    """Sums up the time of waits for events and the thread's processor time."""

    def __init__(self) -> None:
        super().__init__()
        # Starts at the time of day, because programs also read that from it.
        self._now_s = time()
        self._last_work_time_s = _work_time()

    def now(self) -> float:
        """Returns the time of the clock, in seconds."""
        work_time_s = _work_time()
        self._now_s += work_time_s - self._last_work_time_s
        self._last_work_time_s = work_time_s
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
