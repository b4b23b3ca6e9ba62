"""Decides which node carries a request of a node that reaches no server.

Load pattern: most or all nodes of a zone lose their links to all backend
servers at once, while callers, the store and the other nodes reach them. Their
requests are spread over all nodes that may carry them, and a node that
declined is left out for a while. A relayed request is never relayed again.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.timers import TimerService

# Headers between nodes: the id of the node that relays a request, the number
# of attempts that are left for it, and why a node declined it.
RELAYED_BY = b"x-wasabiwing-relayed-by"
ATTEMPTS_LEFT = b"x-wasabiwing-attempts-left"
DECLINED = b"x-wasabiwing-declined"
RELAY_HEADERS = frozenset({RELAYED_BY, ATTEMPTS_LEFT, DECLINED})

# Number of nodes that are asked to carry one request, also if all of them
# were left out.
MAX_ASKED_NODES = 6
MAX_ASKED_AGAIN = 2

# Time for which a node is not asked again after it declined, and after it
# accepted no connection, in seconds. Nodes of an earlier build accept none.
DECLINED_S = 1.0
UNREACHABLE_S = 3.0

# Number of relayed requests that one node carries at a time.
MAX_RELAYED_REQUESTS = 256

# Number of failed connects of one request after which it is relayed, and the
# time in seconds without a sign of any server after which one is enough.
FAILED_CONNECTS_TO_RELAY = 2
UNHEARD_S = 0.5

# Share of a service's servers that are unreachable from which a node relays
# what it would refuse, and declines what others relay.
MOST_UNREACHABLE = 0.5

# Failures of a request that has not run, after which another node may be
# asked: this node cannot carry any request of the service now.
DECLINING_CODES = frozenset(
    {
        ResultCode.CONNECT_FAILED,
        ResultCode.CONFIGURATION_MISSING,
        ResultCode.NODE_LEAVING,
        ResultCode.NO_BACKEND_SERVER,
        ResultCode.UNKNOWN_ORGANISATION,
        ResultCode.UNKNOWN_ROUTE,
    }
)


def is_relay_due(
    cut_off: bool, failed_connects: int, untried_servers: int, heard: bool
) -> bool:
    """Whether a request is relayed instead of sent to a server.

    ``cut_off`` says whether this node is cut off from all servers that may
    take the request, ``failed_connects`` and ``untried_servers`` count the
    servers that accepted no connection for it and those not tried yet, and
    ``heard`` says whether any server was heard within ``UNHEARD_S``.
    """
    if cut_off or failed_connects >= FAILED_CONNECTS_TO_RELAY:
        return True
    return failed_connects > 0 and (untried_servers == 0 or not heard)


def may_relay_refusal(failure: Failure, unreachable_share: float) -> bool:
    """Whether another node is asked to carry a request that is refused here.

    ``unreachable_share`` is that of the servers that may take the request.
    """
    return (
        unreachable_share >= MOST_UNREACHABLE
        and failure.code is not ResultCode.QUARANTINED
        and failure.code is not ResultCode.NODE_LEAVING
    )


def is_declined(failure: Failure) -> bool:
    """Whether a node that carries a request declines it by a failure.

    A failure that says when the servers take requests again holds at all
    nodes.
    """
    return (
        failure.code in DECLINING_CODES
        and failure.run_state is RunState.NOT_RUN
        and failure.retry_after_s is None
    )


def decline_reason(stopping: bool, loaded: bool, relayed_count: int) -> str:
    """Returns why a node takes no relayed request, or ``""``.

    ``relayed_count`` is the number of those that it carries.
    """
    if stopping:
        return "stopping"
    if not loaded:
        return "no configuration"
    if relayed_count >= MAX_RELAYED_REQUESTS:
        return "too many requests"
    return ""


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """A node that may carry requests of this one."""

    id: str
    # ``host:port`` of its endpoint for relayed requests.
    address: str


def relay_address(inbox: str) -> str:
    """Returns the endpoint for relayed requests that belongs to an inbox.

    It is the port after that of the inbox. Both are of the form
    ``host:port``; an inbox may begin with a scheme.
    """
    host, _, port = inbox.rpartition("//")[2].rpartition(":")
    return f"{host}:{int(port) + 1}"


class RelayPeers:
    """The nodes that may carry requests of this one.

    ``inbox_by_node`` returns the inboxes of the other nodes that are alive,
    ``address_of`` the address for relayed requests that belongs to an inbox.
    """

    def __init__(
        self,
        timer: TimerService,
        inbox_by_node: Callable[[], Mapping[str, str]],
        random: Random,
        address_of: Callable[[str], str] = relay_address,
    ) -> None:
        self._timer = timer
        self._inbox_by_node = inbox_by_node
        self._random = random
        self._address_of = address_of
        # Monotonic time until which a node is not asked, by its id.
        self._left_out_until_by_id: dict[str, float] = {}

    def choose(self) -> list[RelayPeer]:
        """Returns the nodes to ask, in this order.

        If all are left out, those are asked that are so for the shortest time.
        """
        inbox_by_node = self._inbox_by_node()
        asked_ids = self._available_ids(inbox_by_node)
        count = min(len(asked_ids), MAX_ASKED_NODES)
        chosen_ids = self._random.sample(asked_ids, count)
        if not chosen_ids:
            chosen_ids = sorted(
                self._left_out_until_by_id,
                key=self._left_out_until_by_id.__getitem__,
            )[:MAX_ASKED_AGAIN]
        return [
            RelayPeer(node_id, self._address_of(inbox_by_node[node_id]))
            for node_id in chosen_ids
        ]

    def any_available(self) -> bool:
        """Whether there is any node to ask."""
        return bool(self._available_ids(self._inbox_by_node()))

    def note_declined(self, node_id: str) -> None:
        """Records that a node declined a request."""
        self._leave_out(node_id, DECLINED_S)

    def note_unreachable(self, node_id: str) -> None:
        """Records that a node accepted no connection."""
        self._leave_out(node_id, UNREACHABLE_S)

    def _available_ids(self, inbox_by_node: Mapping[str, str]) -> list[str]:
        now = self._timer.now()
        for node_id, until in list(self._left_out_until_by_id.items()):
            if until <= now or node_id not in inbox_by_node:
                del self._left_out_until_by_id[node_id]
        return [
            node_id
            for node_id in sorted(inbox_by_node)
            if node_id not in self._left_out_until_by_id
        ]

    def _leave_out(self, node_id: str, seconds: float) -> None:
        self._left_out_until_by_id[node_id] = self._timer.now() + seconds
