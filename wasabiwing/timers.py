"""Timer service: the only source of time for all other modules.

Modules subscribe to periodic ticks, sleep and read the clock through it, so
that a test can replace it by ``FakeTimer`` and advance the clock itself.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from math import floor
from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import time
from typing import Protocol

from anyio import create_task_group
from anyio import Event as AnyioEvent
from anyio import sleep
from anyio import sleep_forever
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint

from wasabiwing.error_containment import run_logging_errors

Tick = Callable[[], Awaitable[None]]

# Rounds of the event loop before the fake clock advances: a woken task may
# wake further tasks, and such chains must end first.
EVENT_LOOP_ROUNDS = 25


class TimerService(Protocol):
    """The clock, sleeping and periodic ticks."""

    def now(self) -> float:
        """Returns monotonic time in seconds, including suspensions."""

    def wall_time(self) -> float:
        """Returns seconds since the epoch; for schedules and logs only."""

    async def sleep(self, seconds: float) -> None:
        """Waits ``seconds``; returns at once for zero or less."""

    def subscribe(self, period_s: float, tick: Tick) -> None:
        """Calls ``tick`` every ``period_s`` seconds while the service runs."""

    async def run(self) -> None:
        """Calls the subscribed ticks until cancelled."""


def next_tick(origin: float, now: float, period_s: float) -> float:
    """Returns when the next tick after ``now`` is due.

    Ticks are due at ``origin`` plus multiples of ``period_s``, in seconds.
    """
    return origin + (floor((now - origin) / period_s) + 1) * period_s


class SystemTimer:
    """The timer service of a running program; each subscription is a task.

    Ticks are due at multiples of their periods from the service's start, so
    that a process wakes up once for all that are due together.
    """

    def __init__(self) -> None:
        self._origin = self.now()
        self._pending: list[tuple[float, Tick]] = []
        self._task_group: TaskGroup | None = None

    def now(self) -> float:
        # ``CLOCK_MONOTONIC`` stops while a VM is suspended; leases and
        # deadlines go on.
        return clock_gettime(CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        return time()

    async def sleep(self, seconds: float) -> None:
        await sleep(max(seconds, 0.0))

    def subscribe(self, period_s: float, tick: Tick) -> None:
        if self._task_group is None:
            self._pending.append((period_s, tick))
        else:
            self._task_group.start_soon(
                self._call_periodically, period_s, tick
            )

    async def run(self) -> None:
        async with create_task_group() as task_group:
            self._task_group = task_group
            for period_s, tick in self._pending:
                task_group.start_soon(self._call_periodically, period_s, tick)
            self._pending.clear()
            await sleep_forever()

    async def _call_periodically(self, period_s: float, tick: Tick) -> None:
        while True:
            # Missed ticks, as of a suspended VM, are skipped.
            due = next_tick(self._origin, self.now(), period_s)
            await self.sleep(due - self.now())
            await run_logging_errors("", f"tick of {tick.__qualname__}", tick)


@dataclass(order=True)
class _Alarm:
    """One future wake-up of the fake clock."""

    due: float
    sequence: int
    wake: Callable[[], Awaitable[None]] = field(compare=False)


class FakeTimer:
    """A clock for tests that moves only when ``advance`` is called."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._alarms: list[_Alarm] = []
        self._sequence = count()

    def now(self) -> float:
        return self._now

    def wall_time(self) -> float:
        return self._now

    async def sleep(self, seconds: float) -> None:
        if seconds <= 0:
            await checkpoint()
            return
        woken = AnyioEvent()

        async def wake() -> None:
            woken.set()

        self._push(self._now + seconds, wake)
        await woken.wait()

    def subscribe(self, period_s: float, tick: Tick) -> None:
        async def fire() -> None:
            await tick()
            self._push(self._now + period_s, fire)

        self._push(self._now + period_s, fire)

    async def run(self) -> None:
        await sleep_forever()

    async def advance(self, seconds: float) -> None:
        """Advances the clock; wakes sleepers and ticks in order of time."""
        end = self._now + seconds
        await run_ready_tasks()
        while self._alarms and self._alarms[0].due <= end:
            alarm = heappop(self._alarms)
            self._now = max(self._now, alarm.due)
            await alarm.wake()
            await run_ready_tasks()
        self._now = end
        await run_ready_tasks()

    def _push(self, due: float, wake: Callable[[], Awaitable[None]]) -> None:
        heappush(self._alarms, _Alarm(due, next(self._sequence), wake))


async def run_ready_tasks() -> None:
    """Lets all runnable tasks run until they wait again."""
    for _ in range(EVENT_LOOP_ROUNDS):
        await checkpoint()
