"""Shares the event loop among tasks that read without waiting.

Load pattern: peers that send their bytes in very many small pieces, on many
connections at once. Pieces that have arrived need no wait, so that a task
could read them for seconds. A task reads on for ``SLICE_S``; then it waits
for its turn, and each round of the loop has one turn for all such tasks.
"""

from asyncio import AbstractEventLoop
from asyncio import Future
from asyncio import get_running_loop
from collections import deque
from collections.abc import Callable
from time import perf_counter
from weakref import WeakKeyDictionary

# Time in seconds for which a task reads on without giving way.
SLICE_S = 0.002


class ReadingTurns:
    """Turns of all tasks of one event loop that have used up their slices.

    ``clock`` returns monotonic seconds.
    """

    def __init__(
        self,
        loop: AbstractEventLoop,
        clock: Callable[[], float] = perf_counter,
    ) -> None:
        self._loop = loop
        self.clock = clock
        self._round = 0
        self._is_end_scheduled = False
        self._waiting: deque[Future[None]] = deque()

    def current_round(self) -> int:
        """Returns a number that changes with each round of the loop."""
        if not self._is_end_scheduled:
            self._is_end_scheduled = True
            self._loop.call_soon(self._end_round)
        return self._round

    async def wait(self) -> None:
        """Waits for the next turn, after those that wait already."""
        turn: Future[None] = self._loop.create_future()
        if not self._waiting:
            self._loop.call_soon(self._give_turn)
        self._waiting.append(turn)
        await turn

    def _end_round(self) -> None:
        self._is_end_scheduled = False
        self._round += 1

    def _give_turn(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            # A cancelled task needs no turn.
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            self._loop.call_soon(self._give_turn)


class ReadingSlice:
    """The time for which one task has read without giving way."""

    __slots__ = ("_turns", "_round", "_began_at")

    def __init__(self, turns: ReadingTurns) -> None:
        self._turns = turns
        self._round = -1
        self._began_at = 0.0

    def used_s(self) -> float:
        """Returns the seconds since the task last gave way."""
        round_number = self._turns.current_round()
        now = self._turns.clock()
        if round_number != self._round:
            self._round = round_number
            self._began_at = now
        return now - self._began_at

    async def give_way_if_used_up(self) -> None:
        """Waits for a turn if the task has read for ``SLICE_S``."""
        if self.used_s() > SLICE_S:
            await self._turns.wait()


_turns_by_loop: WeakKeyDictionary[AbstractEventLoop, ReadingTurns] = (
    WeakKeyDictionary()
)


def new_reading_slice() -> ReadingSlice:
    """Returns the slice of a task on the running event loop."""
    loop = get_running_loop()
    turns = _turns_by_loop.get(loop)
    if turns is None:
        turns = _turns_by_loop[loop] = ReadingTurns(loop)
    return ReadingSlice(turns)
