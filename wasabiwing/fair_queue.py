"""Waiting requests of one pool: strict classes, fair inside a class.

Start-time fair queueing between organisations: each organisation has a
start tag, the one with the lowest tag is served next, and its tag then rises
by the work of the request divided by its weight. It was preferred to deficit
round robin because it needs no quantum, which would have to exceed the
largest request and would delay short chats behind it. Inside an organisation
the earliest deadline is first.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count

from anyio import Event
from result import Result

from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.codes import Failure

# What distinguishes requests that the router may answer differently: the
# servers tried before and whether the prompt is long.
WaiterKind = tuple[frozenset[str], bool, bool, str]


@dataclass(slots=True)
class Waiter:
    """A request that waits for a slot."""

    call: Call
    attempt: int
    excluded: frozenset[str]
    kind: WaiterKind
    # Tokens of the prompt and of the longest answer.
    total_tokens: int
    resolved: Event = field(default_factory=Event)
    result: Result[ServerAssignment, Failure] | None = None

    def resolve(self, result: Result[ServerAssignment, Failure]) -> None:
        """Ends the wait."""
        self.result = result
        self.resolved.set()


@dataclass(slots=True)
class _Flow:
    """Requests of one organisation in one class."""

    weight: float
    # Virtual time at which its next request starts and the last one ended.
    start: float = 0.0
    finish: float = 0.0
    work: int = 0
    # Heaps by kind; entries are deadline, sequence and waiter.
    heap_by_kind: dict[WaiterKind, list[tuple[float, int, Waiter]]] = field(
        default_factory=dict
    )
    count: int = 0


class FairQueue:
    """The queue of one pool in one gateway."""

    def __init__(self) -> None:
        # Flows by organisation, by priority class.
        self._flows: dict[int, dict[str, _Flow]] = {}
        self._virtual_time: dict[int, float] = {}
        self._sequence = count()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def waiting_count(self, organisation_id: str) -> int:
        """Returns how many requests of an organisation wait."""
        return sum(
            flows[organisation_id].count
            for flows in self._flows.values()
            if organisation_id in flows
        )

    def has_precedence(self, call: Call, kind: WaiterKind) -> bool:
        """Whether requests of a kind wait that a new call must not pass."""
        return any(
            kind in flow.heap_by_kind
            for priority, flows in self._flows.items()
            if priority <= call.route.priority_class
            for flow in flows.values()
        )

    def tokens_ahead(self, call: Call) -> float:
        """Returns the tokens that are served before a new request.

        Other organisations of the class are served in proportion to their
        weights while the call's own organisation is.
        """
        own_class = call.route.priority_class
        ahead = 0.0
        for priority, flows in self._flows.items():
            if priority < own_class:
                ahead += sum(flow.work for flow in flows.values())
        flows = self._flows.get(own_class, {})
        own = flows.get(call.organisation.id)
        own_work = (own.work if own else 0) + total_tokens(call)
        share = own_work / call.organisation.weight
        for organisation_id, flow in flows.items():
            if organisation_id != call.organisation.id:
                ahead += min(flow.work, share * flow.weight)
        return ahead + (own.work if own else 0)

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""
        flow = self._flow(waiter.call)
        if flow.count == 0:
            virtual_time = self._virtual_time[waiter.call.route.priority_class]
            flow.start = max(virtual_time, flow.finish)
        heap = flow.heap_by_kind.setdefault(waiter.kind, [])
        heappush(heap, (waiter.call.deadline, next(self._sequence), waiter))
        flow.count += 1
        flow.work += waiter.total_tokens
        self._count += 1

    def charge(self, call: Call) -> None:
        """Accounts for a request that was served without waiting."""
        flow = self._flow(call)
        priority = call.route.priority_class
        start = max(self._virtual_time[priority], flow.finish)
        self._advance(priority, flow, start, total_tokens(call))

    def remove(self, waiter: Waiter) -> None:
        """Takes out a request that was served or has given up."""
        flow = self._flow(waiter.call)
        heap = flow.heap_by_kind[waiter.kind]
        if heap[0][2] is waiter:
            heappop(heap)
        else:
            remaining = [item for item in heap if item[2] is not waiter]
            remaining.sort(key=lambda item: item[:2])
            flow.heap_by_kind[waiter.kind] = heap = remaining
        if not heap:
            del flow.heap_by_kind[waiter.kind]
        flow.count -= 1
        flow.work -= waiter.total_tokens
        self._count -= 1

    def remove_served(self, waiter: Waiter) -> None:
        """Takes out a request that got a slot and charges its work."""
        flow = self._flow(waiter.call)
        start = flow.start
        self.remove(waiter)
        self._advance(
            waiter.call.route.priority_class, flow, start, waiter.total_tokens
        )

    def heads_in_order(self) -> Iterator[Waiter]:
        """Yields the first request of each kind and flow, the best first.

        The queue must not change between two values.
        """
        for priority in sorted(self._flows):
            heads = [
                (flow.start, heap[0][0], heap[0][1], heap[0][2])
                for flow in self._flows[priority].values()
                for heap in flow.heap_by_kind.values()
            ]
            heads.sort(key=lambda head: head[:3])
            for head in heads:
                yield head[3]

    def _advance(
        self, priority: int, flow: _Flow, start: float, work: int
    ) -> None:
        self._virtual_time[priority] = max(self._virtual_time[priority], start)
        flow.finish = start + work / flow.weight
        flow.start = flow.finish

    def _flow(self, call: Call) -> _Flow:
        priority = call.route.priority_class
        flows = self._flows.setdefault(priority, {})
        self._virtual_time.setdefault(priority, 0.0)
        flow = flows.get(call.organisation.id)
        if flow is None:
            flow = _Flow(call.organisation.weight)
            flows[call.organisation.id] = flow
        flow.weight = call.organisation.weight
        return flow


def total_tokens(call: Call) -> int:
    """Returns the work of a call in tokens."""
    return call.prompt_tokens + call.max_tokens
