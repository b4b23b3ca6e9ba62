"""Queues of requests that wait for a server, one for each service of a node.

Whatever may make room (an answer that begins or ends, a report, a statement, a
changed server) wakes the best waiter by ``queue_order``. It looks for a server
and, once it has got or not got one, the next waiter is woken, so that each
one sees the requests that were sent before it. Waiters of one kind, which
would get the same answer, are not asked again until there is a new signal.
Room that sends no signal, as cold limits and pauses do, is looked for by one
timer for all queues.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from math import exp
from math import inf

from anyio import create_task_group
from anyio import Event as AnyioEvent

from wasabiwing.queue_order import due_at
from wasabiwing.queue_order import fair_cost
from wasabiwing.queue_order import finish_tag
from wasabiwing.queue_order import head_key
from wasabiwing.queue_order import HeadKey
from wasabiwing.queue_order import Level
from wasabiwing.queue_order import predicted_room_s
from wasabiwing.queue_order import queue_level
from wasabiwing.queue_order import start_by
from wasabiwing.queue_order import start_tag
from wasabiwing.refused_requests import RefusedRequests
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.timers import TimerService

# Period in which waiting requests look for room that sends no signal, in
# seconds. It is that of the check of slots, because ticks of one period share
# a wake-up.
CHECK_PERIOD_S = 0.05

# Shortest time between two rounds of a queue that mere news start, in seconds.
# News of servers come some hundred times a second, also without any room.
NEWS_INTERVAL_S = 0.01

# Time over which served waiters are counted, in seconds.
SERVED_WINDOW_S = 1.0

# Time constant of the average of refused tokens, in seconds.
REFUSED_TIME_CONSTANT_S = 1.0

# What distinguishes waiting requests for which the choice of a server may
# differ: the servers tried before, the digest of a suspect, the rank and the
# order of magnitude of the prompt's tokens.
WaiterKind = tuple[frozenset[str], str, int, int]


@dataclass(slots=True)
class _Flow:
    """Virtual times of one organisation in one rank."""

    start_tag: float = 0.0
    finish_tag: float = 0.0


@dataclass(frozen=True, slots=True)
class _Place:
    """What the place of a waiting request in its queue follows from."""

    flow: _Flow
    start_by: float
    # Level and due time until ``start_by``, and after it.
    in_time: tuple[Level, float]
    late: tuple[Level, float]


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a server."""

    call: RoutedCall
    kind: WaiterKind
    sequence: int
    joined_at: float
    woken: AnyioEvent = field(default_factory=AnyioEvent)
    # Whether it looks for a server by itself, because a grant is its own.
    has_own_signal: bool = False
    place: _Place = field(init=False)


class RequestQueue:
    """The requests of one service that wait at one node."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._waiters: list[Waiter] = []
        # By rank and organisation.
        self._flow_by_key: dict[tuple[int, str], _Flow] = {}
        self._virtual_time_by_rank: dict[int, float] = {}
        # The waiter that looks for a server now, and the kinds for which
        # there was none since the last signal.
        self._searching: Waiter | None = None
        self._failed_kinds: set[WaiterKind] = set()
        self._round_at = -inf
        # Times at which waiters have got a server.
        self._served_at: deque[float] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens of the waiting requests."""
        return sum(prompt_tokens(waiter.call) for waiter in self._waiters)

    def has_precedence(self, call: RoutedCall, kind: WaiterKind) -> bool:
        """Whether requests of a kind wait that go before one that arrives."""
        if not self._waiters:
            return False
        level = queue_level(call, self._timer.now())
        return any(
            waiter.kind == kind
            and not waiter.has_own_signal
            and queue_level(waiter.call, self._timer.now()) <= level
            for waiter in self._waiters
        )

    def position(self, waiter: Waiter) -> int:
        """Returns how many waiting requests go before a waiting one."""
        now = self._timer.now()
        key = _key(waiter, now)
        return sum(_key(other, now) < key for other in self._waiters)

    def join(self, waiter: Waiter) -> None:
        """Adds a request to the queue."""
        call = waiter.call
        flow = self._flow(call)
        if not any(item.place.flow is flow for item in self._waiters):
            flow.start_tag = self._next_start(call, flow)
        waiter.place = _Place(
            flow,
            start_by(call),
            (queue_level(call, -inf), due_at(call, -inf)),
            (queue_level(call, inf), due_at(call, inf)),
        )
        self._waiters.append(waiter)

    def leave(self, waiter: Waiter, served: bool) -> None:
        """Removes a request that got a server or waits no longer."""
        self._waiters.remove(waiter)
        if served:
            self._served_at.append(self._timer.now())
        self._end_search(waiter)

    def charge(self, call: RoutedCall) -> None:
        """Charges a request that got a server to its organisation."""
        flow = self._flow(call)
        start = self._next_start(call, flow)
        rank = call.rank
        self._virtual_time_by_rank[rank] = start
        flow.finish_tag = finish_tag(start, fair_cost(call))
        flow.start_tag = flow.finish_tag

    def note_failed(self, waiter: Waiter) -> None:
        """Records that there was no server for a waiter."""
        if waiter is self._searching:
            self._failed_kinds.add(waiter.kind)
            self._end_search(waiter)

    def predicted_room_s(self, waiter: Waiter) -> float | None:
        """Returns the predicted seconds until a waiter gets a server."""
        oldest = self._timer.now() - SERVED_WINDOW_S
        while self._served_at and self._served_at[0] < oldest:
            self._served_at.popleft()
        return predicted_room_s(
            self.position(waiter), len(self._served_at) / SERVED_WINDOW_S
        )

    def wake(self, is_news: bool = False) -> None:
        """Wakes the best waiter, because there may be room.

        Mere news that come soon after others are left to the next signal.
        """
        now = self._timer.now()
        if not self._waiters or (
            is_news and now - self._round_at < NEWS_INTERVAL_S
        ):
            return
        self._round_at = now
        self._failed_kinds.clear()
        if self._searching is None:
            self._wake_next()

    async def wait(self, waiter: Waiter, seconds: float) -> None:
        """Waits until a waiter's turn, for ``seconds`` at most."""
        woken = waiter.woken
        async with create_task_group() as task_group:

            async def time_out() -> None:
                await self._timer.sleep(seconds)
                woken.set()

            task_group.start_soon(time_out)
            await woken.wait()
            task_group.cancel_scope.cancel()
        waiter.woken = AnyioEvent()

    def _end_search(self, waiter: Waiter) -> None:
        if waiter is self._searching:
            self._searching = None
            self._wake_next()

    def _wake_next(self) -> None:
        found = [
            waiter
            for waiter in self._waiters
            if waiter.kind not in self._failed_kinds
            and not waiter.has_own_signal
        ]
        if found:
            now = self._timer.now()
            self._searching = min(found, key=lambda item: _key(item, now))
            self._searching.woken.set()

    def _next_start(self, call: RoutedCall, flow: _Flow) -> float:
        rank = call.rank
        virtual_time = self._virtual_time_by_rank.get(rank, 0.0)
        return start_tag(virtual_time, flow.finish_tag)

    def _flow(self, call: RoutedCall) -> _Flow:
        key = (call.rank, call.organisation_name)
        flow = self._flow_by_key.get(key)
        if flow is None:
            flow = self._flow_by_key[key] = _Flow()
        return flow


def _key(waiter: Waiter, now: float) -> tuple[Level, HeadKey]:
    """Returns the key by which a waiting request is ordered now."""
    place = waiter.place
    level, due = place.late if now > place.start_by else place.in_time
    return level, head_key(place.flow.start_tag, due, waiter.sequence)


class RequestQueues:
    """The queues of all services at one node."""

    def __init__(
        self,
        timer: TimerService,
        show_length: Callable[[str, int], None] = lambda service, length: None,
    ) -> None:
        self._timer = timer
        self._show_length = show_length
        self._queue_by_service: dict[str, RequestQueue] = {}
        self._refused = RefusedRequests(timer)
        self._sequence = count()
        # Decayed sum of refused tokens, and the time of its last decay, by
        # service.
        self._refused_by_service: dict[str, tuple[float, float]] = {}
        timer.subscribe(CHECK_PERIOD_S, self.check)

    def queue(self, service: str) -> RequestQueue:
        """Returns the queue of a service."""
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = RequestQueue(self._timer)
            self._queue_by_service[service] = queue
        return queue

    def join(self, call: RoutedCall, kind: WaiterKind) -> Waiter:
        """Adds a request to the queue of its service."""
        waiter = Waiter(
            call,
            kind,
            next(self._sequence),
            self._timer.now(),
        )
        queue = self.queue(call.service)
        queue.join(waiter)
        self._show_length(call.service, len(queue))
        return waiter

    def note_placed(self, call: RoutedCall) -> None:
        """Records a request that has got a server."""
        self.queue(call.service).charge(call)

    def leave(self, waiter: Waiter, served: bool) -> None:
        """Removes a request that got a server or waits no longer."""
        service = waiter.call.service
        queue = self.queue(service)
        queue.leave(waiter, served)
        self._show_length(service, len(queue))

    def note_room(self) -> None:
        """Wakes the best waiters, because there probably is room."""
        for queue in self._queue_by_service.values():
            queue.wake()

    def note_news(self) -> None:
        """Wakes the best waiters, because news may mean that there is room."""
        for queue in self._queue_by_service.values():
            queue.wake(is_news=True)

    async def check(self) -> None:
        """Looks for room that sends no signal."""
        self.note_room()

    def note_refused(self, call: RoutedCall) -> None:
        """Records a request that is refused for lack of capacity.

        One that is refused again is counted once in the refused tokens.
        """
        if not self._refused.note(call):
            return
        now = self._timer.now()
        tokens = self._refused_tokens(call.service) + prompt_tokens(call)
        self._refused_by_service[call.service] = (tokens, now)

    def waiting_tokens(self, service: str) -> float:
        """Returns the prompt tokens of a service's waiting requests."""
        queue = self._queue_by_service.get(service)
        return 0.0 if queue is None else float(queue.waiting_tokens)

    def refused_tokens_per_s(self, service: str) -> float:
        """Returns the prompt tokens that are refused per second.

        They are averaged over the last seconds; requests that return count
        once.
        """
        return self._refused_tokens(service) / REFUSED_TIME_CONSTANT_S

    def _refused_tokens(self, service: str) -> float:
        tokens, noted_at = self._refused_by_service.get(service, (0.0, 0.0))
        age_s = self._timer.now() - noted_at
        return tokens * exp(-age_s / REFUSED_TIME_CONSTANT_S)


def prompt_tokens(call: RoutedCall) -> int:
    """Returns the prompt tokens that servers must compute for a request.

    Parts that other requests share are left out, because some server has
    them cached.
    """
    parts = call.head.prompt_parts
    if len(parts) > 1:
        return parts[-1].tokens
    return call.head.prompt_tokens or 0


def waiter_kind(
    call: RoutedCall, tried: frozenset[str], suspect_digest: str
) -> WaiterKind:
    """Returns what the choice of a server for a waiting request depends on."""
    size = (call.head.prompt_tokens or 0).bit_length()
    return tried, suspect_digest, call.rank, size
