"""What all clients of a process hold, and what is closed at its limits.

One budget serves all listeners of a process; ``guarded_protocol`` reports to
it. Refusals are counted, and logged at most once a second for each cause.
"""

from collections import Counter
from collections.abc import Callable
from math import ceil
from os import sysconf
from resource import getrlimit
from resource import RLIMIT_NOFILE
from typing import Protocol

from wasabiwing.client_limits import BYTES_PER_MB
from wasabiwing.client_limits import Cause
from wasabiwing.client_limits import ClientLimits
from wasabiwing.client_limits import connection_rank
from wasabiwing.client_limits import memory_rank
from wasabiwing.client_limits import process_limits
from wasabiwing.client_limits import ProcessLimits
from wasabiwing.client_limits import Standing
from wasabiwing.events import Event
from wasabiwing.events import log_event

# Shortest time between two log lines on refusals with the same cause.
LOG_PERIOD_S = 1.0

# At a limit, connections are closed until this part of it is in use, so that
# not each further byte or connection orders all of them again.
CONNECTIONS_AFTER_CLOSING = 0.98
MEMORY_AFTER_CLOSING = 0.9

# Limits of processes that nobody has sized, such as stand-ins.
UNSIZED = ProcessLimits(100_000, 1 << 40)


def machine_limits(memory_mb: float, descriptors: int) -> ProcessLimits:
    """Returns the limits on a machine of a size.

    A size of 0 stands for what the operating system says.
    """
    if not memory_mb:
        pages = sysconf("SC_PHYS_PAGES") * sysconf("SC_PAGE_SIZE")
        memory_mb = pages / BYTES_PER_MB
    if not descriptors:
        descriptors = getrlimit(RLIMIT_NOFILE)[0]
    return process_limits(memory_mb, descriptors)


class BudgetedConnection(Protocol):
    """A connection whose share the budget knows."""

    def standing(self) -> Standing:
        """Returns what the connection has delivered and holds."""

    def cut(self) -> None:
        """Closes the connection at once."""


class ConnectionBudget:
    """The connections of a process and what they hold."""

    def __init__(
        self,
        node_id: str = "",
        limits: Callable[[], ClientLimits] = ClientLimits,
        process: ProcessLimits = UNSIZED,
        count_refusal: Callable[[str], None] = lambda cause: None,
    ) -> None:
        self._node_id = node_id
        # Returns the limits in force for one connection.
        self.limits = limits
        self._process = process
        self._count_refusal = count_refusal
        # Bytes that each open connection holds.
        self._held_by_connection: dict[BudgetedConnection, int] = {}
        self._held_bytes = 0
        self._unlogged_by_cause: Counter[Cause] = Counter()
        self._logged_at_by_cause: dict[Cause, float] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes that all connections hold."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._held_by_connection)

    def add(self, connection: BudgetedConnection, now: float) -> None:
        """Adds a connection; closes others, or this one, at the limit."""
        self._held_by_connection[connection] = 0
        if self.connections <= self._process.max_connections:
            return
        kept = ceil(self._process.max_connections * CONNECTIONS_AFTER_CLOSING)
        ordered = sorted(
            self._held_by_connection,
            key=lambda item: connection_rank(item.standing()),
        )
        for item in ordered[: self.connections - kept]:
            self._cut(item, Cause.CONNECTIONS, now)

    def remove(self, connection: BudgetedConnection) -> None:
        """Removes a connection that was closed."""
        self._held_bytes -= self._held_by_connection.pop(connection, 0)

    def hold(
        self, connection: BudgetedConnection, held: int, now: float
    ) -> None:
        """Sets what a connection holds; closes some at the limit."""
        before = self._held_by_connection.get(connection)
        if before is None:
            return
        self._held_by_connection[connection] = held
        self._held_bytes += held - before
        if self._held_bytes > self._process.max_held_bytes:
            self._free_memory(now)

    def refused(self, cause: Cause, now: float) -> None:
        """Counts and logs the refusal of a client at ``now``."""
        self._count_refusal(cause.value)
        self._unlogged_by_cause[cause] += 1
        logged_at = self._logged_at_by_cause.get(cause)
        if logged_at is not None and now - logged_at < LOG_PERIOD_S:
            return
        self._logged_at_by_cause[cause] = now
        log_event(
            Event.CLIENT_REFUSED,
            self._node_id,
            cause=cause.value,
            count=self._unlogged_by_cause.pop(cause),
            connections=self.connections,
            held_bytes=self._held_bytes,
        )

    def _free_memory(self, now: float) -> None:
        kept = int(self._process.max_held_bytes * MEMORY_AFTER_CLOSING)
        ordered = sorted(
            (item for item, held in self._held_by_connection.items() if held),
            key=lambda item: memory_rank(item.standing()),
        )
        for item in ordered:
            if self._held_bytes <= kept:
                return
            self._cut(item, Cause.MEMORY, now)

    def _cut(
        self, connection: BudgetedConnection, cause: Cause, now: float
    ) -> None:
        self.remove(connection)
        self.refused(cause, now)
        connection.cut()
