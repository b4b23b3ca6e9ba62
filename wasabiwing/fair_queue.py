"""Queue of one pool with strict priority classes and fairness inside a class.

Between the organisations of a class it is a start-time fair queue: each
organisation has a start tag, the one with the lowest tag is served next, and
its tag then rises by the tokens of the request divided by the organisation's
weight. Deficit round robin was not chosen because its quantum would have to
exceed the largest request, which would delay short chats behind it. Inside an
organisation the request with the earliest deadline is first.
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
from wasabiwing.queue_order import finish_tag
from wasabiwing.queue_order import head_key
from wasabiwing.queue_order import start_tag

# What distinguishes waiting requests for which the router may decide
# differently: the ids of the servers tried before, whether the prompt is long,
# whether a rollout assigns the request to the new version, and the digest of a
# request that is suspected of crashes.
WaiterKind = tuple[frozenset[str], bool, bool, str]


@dataclass(slots=True)
class Waiter:
    """A request that waits for a slot."""

    call: Call
    attempt: int
    excluded: frozenset[str]
    kind: WaiterKind
    # Tokens of the prompt and of the longest possible answer.
    total_tokens: int
    # Whether a process that stops may still refuse the request.
    refusable: bool = True
    resolved: Event = field(default_factory=Event)
    result: Result[ServerAssignment, Failure] | None = None

    def resolve(self, result: Result[ServerAssignment, Failure]) -> None:
        """Ends the request's wait with a slot or a failure."""
        self.result = result
        self.resolved.set()


@dataclass(slots=True)
class _Flow:
    """Waiting requests of one organisation in one priority class."""

    weight: float
    # Virtual times at which the flow's next request starts and at which its
    # last one ended.
    start_tag: float = 0.0
    finish_tag: float = 0.0
    tokens: int = 0
    # Heap entries are deadline, sequence number and waiter.
    heap_by_kind: dict[WaiterKind, list[tuple[float, int, Waiter]]] = field(
        default_factory=dict
    )
    count: int = 0


class FairQueue:
    """The queue of one pool in one gateway."""

    def __init__(self) -> None:
        # Flows by organisation id, by priority class.
        self._flows_by_class: dict[int, dict[str, _Flow]] = {}
        self._virtual_time_by_class: dict[int, float] = {}
        self._sequence = count()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def waiting_count(self, organisation_id: str) -> int:
        """Returns how many requests of an organisation wait in the queue."""
        return sum(
            flows[organisation_id].count
            for flows in self._flows_by_class.values()
            if organisation_id in flows
        )

    def has_precedence(self, call: Call, kind: WaiterKind) -> bool:
        """Whether requests of a kind wait that go before a new call."""
        return any(
            kind in flow.heap_by_kind
            for priority, flows in self._flows_by_class.items()
            if priority <= call.route.priority_class
            for flow in flows.values()
        )

    def tokens_ahead(self, call: Call) -> float:
        """Returns the tokens that are served before a new call.

        They include a part of those of the other organisations in the call's
        class, which are served in proportion to their weights.
        """
        own_class = call.route.priority_class
        ahead = 0.0
        for priority, flows in self._flows_by_class.items():
            if priority < own_class:
                ahead += sum(flow.tokens for flow in flows.values())
        flows = self._flows_by_class.get(own_class, {})
        own_flow = flows.get(call.organisation.id)
        own_tokens = (own_flow.tokens if own_flow else 0) + total_tokens(call)
        share = own_tokens / call.organisation.weight
        for organisation_id, flow in flows.items():
            if organisation_id != call.organisation.id:
                ahead += min(flow.tokens, share * flow.weight)
        return ahead + (own_flow.tokens if own_flow else 0)

    def push(self, waiter: Waiter) -> None:
        """Adds a request to the queue."""
        flow = self._flow(waiter.call)
        if flow.count == 0:
            virtual_time = self._virtual_time_by_class[
                waiter.call.route.priority_class
            ]
            flow.start_tag = start_tag(virtual_time, flow.finish_tag)
        heap = flow.heap_by_kind.setdefault(waiter.kind, [])
        heappush(heap, (waiter.call.deadline, next(self._sequence), waiter))
        flow.count += 1
        flow.tokens += waiter.total_tokens
        self._count += 1

    def charge(self, call: Call) -> None:
        """Charges the tokens of a call that did not wait to its flow."""
        flow = self._flow(call)
        priority = call.route.priority_class
        start = start_tag(
            self._virtual_time_by_class[priority], flow.finish_tag
        )
        self._advance(priority, flow, start, total_tokens(call))

    def remove(self, waiter: Waiter) -> None:
        """Removes a request from the queue without charging its tokens."""
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
        flow.tokens -= waiter.total_tokens
        self._count -= 1

    def remove_served(self, waiter: Waiter) -> None:
        """Removes a request that got a slot and charges its tokens."""
        flow = self._flow(waiter.call)
        start = flow.start_tag
        self.remove(waiter)
        self._advance(
            waiter.call.route.priority_class,
            flow,
            start,
            waiter.total_tokens,
        )

    def heads_in_order(self) -> Iterator[Waiter]:
        """Yields the first request of each kind and flow, the next one first.

        The queue must not change during the iteration.
        """
        for priority in sorted(self._flows_by_class):
            heads = [
                (head_key(flow.start_tag, *heap[0][:2]), heap[0][2])
                for flow in self._flows_by_class[priority].values()
                for heap in flow.heap_by_kind.values()
            ]
            heads.sort(key=lambda head: head[0])
            for _, waiter in heads:
                yield waiter

    def _advance(
        self, priority: int, flow: _Flow, start: float, tokens: int
    ) -> None:
        self._virtual_time_by_class[priority] = max(
            self._virtual_time_by_class[priority], start
        )
        flow.finish_tag = finish_tag(start, tokens, flow.weight)
        flow.start_tag = flow.finish_tag

    def _flow(self, call: Call) -> _Flow:
        priority = call.route.priority_class
        flows = self._flows_by_class.setdefault(priority, {})
        self._virtual_time_by_class.setdefault(priority, 0.0)
        flow = flows.get(call.organisation.id)
        if flow is None:
            flow = _Flow(call.organisation.weight)
            flows[call.organisation.id] = flow
        flow.weight = call.organisation.weight
        return flow


def total_tokens(call: Call) -> int:
    """Returns the tokens of a call's prompt and of its longest answer."""
    return call.prompt_tokens + call.max_tokens
