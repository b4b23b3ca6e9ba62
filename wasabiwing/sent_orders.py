"""Keeps the newest server orders of all holders, on each node.

An order replaces the platform's number of servers for a zone, and servers
that boot are not registered yet. A new holder that does not know them would
order too few and thereby release some. Holders therefore report their orders
until the servers have booted.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from wasabiwing.messages import OrderedServers
from wasabiwing.timers import TimerService

# Time for which orders are reported, in seconds: by then the other nodes know
# them, and each is known for longer than it is reported.
REPORTED_S = 3.0

# Key of an order: service, zone, whether the servers are reclaimable.
OrderKey = tuple[str, str, bool]


@dataclass(frozen=True, slots=True)
class SentOrder:
    """The last order of a service for one kind of servers in a zone."""

    # Fencing number under which it was sent.
    fence: int
    count: int
    # Servers that were registered when the order was sent.
    present: int
    sent_at: float


class SentOrders:
    """The newest order for each service, zone and kind of servers."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._order_by_key: dict[OrderKey, SentOrder] = {}
        # Keys of orders that this node has sent itself.
        self._own_keys: set[OrderKey] = set()

    def note_sent(
        self, key: OrderKey, fence: int, count: int, present: int
    ) -> None:
        """Records an order of this node."""
        self._order_by_key[key] = SentOrder(
            fence, count, present, self._timer.now()
        )
        self._own_keys.add(key)

    def get(self, key: OrderKey) -> SentOrder | None:
        """Returns the newest known order for a kind of servers."""
        return self._order_by_key.get(key)

    def reported(self) -> tuple[OrderedServers, ...]:
        """Returns this node's recent orders, for its reports."""
        now = self._timer.now()
        return tuple(
            OrderedServers(
                *key, order.count, order.present, order.fence, age_s
            )
            for key in sorted(self._own_keys)
            if (order := self._order_by_key.get(key)) is not None
            and (age_s := now - order.sent_at) <= REPORTED_S
        )

    def note_reported(self, orders: Iterable[OrderedServers]) -> None:
        """Applies the orders that another node has reported."""
        now = self._timer.now()
        for reported in orders:
            key = (reported.service, reported.zone, reported.reclaimable)
            order = SentOrder(
                reported.fence,
                reported.count,
                reported.present,
                now - reported.age_s,
            )
            known = self._order_by_key.get(key)
            if known is None or (known.fence, known.sent_at) < (
                order.fence,
                order.sent_at,
            ):
                self._order_by_key[key] = order
                self._own_keys.discard(key)
