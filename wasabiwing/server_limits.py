"""Limits of requests per second that backend servers name in their answers.

Load pattern: a server in need names what it takes from all gateways or nodes
together, while each of them sends a small part. A limit learned by one process
goes to all others as a fact, so that a process need not send a request to
learn it. Answers overtake each other: only the answer to a request that was
sent after the current limit was learned can raise the limit or end it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.facts import FactRule
from wasabiwing.facts import Facts
from wasabiwing.messages import Fact
from wasabiwing.server_statements import RECORD_LIFETIME_S
from wasabiwing.server_statements import UNKNOWN_START
from wasabiwing.timers import TimerService

FACT_KIND = "server-limit"

# Value of a fact that says that a server names no limit any more.
NO_LIMIT = "none"


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Limit that one start of a server's process has named."""

    # Start of the process in milliseconds of Unix time; 0 if unknown.
    started_ms: int
    # Requests per second.
    per_s: float
    # Monotonic time at which this process learned the limit.
    learned_at: float


class ServerLimits:
    """Limits of all servers, as one gateway or node knows them."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        facts: Facts,
        started_ms_of: Callable[[str], int] = lambda server_id: UNKNOWN_START,
        count: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._facts = facts
        # Returns the start time of a registered server's process.
        self._started_ms_of = started_ms_of
        self._count = count
        self._limit_by_server: dict[str, ServerLimit] = {}
        facts.set_rule(FACT_KIND, FactRule(lifetime_s=RECORD_LIFETIME_S))
        facts.subscribe(FACT_KIND, self._apply)

    def limit_per_s(self, server_id: str) -> float | None:
        """Returns a server's limit in requests per second, or ``None``."""
        limit = self._current(server_id)
        return None if limit is None else limit.per_s

    def note_answer(
        self,
        server_id: str,
        started_ms: int,
        per_s: float | None,
        sent_at: float,
    ) -> None:
        """Records the limit that an answer names; ``None`` if it names none.

        ``sent_at`` is the monotonic time at which the request was sent.
        """
        limit = self._current(server_id)
        if limit is None:
            if per_s is not None:
                self._publish(server_id, started_ms, per_s)
            return
        if UNKNOWN_START not in (started_ms, limit.started_ms):
            if started_ms < limit.started_ms:
                return
            if started_ms > limit.started_ms:
                self._publish(server_id, started_ms, per_s)
                return
        is_newer = sent_at >= limit.learned_at
        if per_s == limit.per_s:
            self._limit_by_server[server_id] = ServerLimit(
                limit.started_ms, per_s, self._timer.now()
            )
        elif is_newer or (per_s is not None and per_s < limit.per_s):
            self._publish(server_id, started_ms, per_s)

    def _current(self, server_id: str) -> ServerLimit | None:
        """Returns a server's limit unless it belongs to an earlier start."""
        limit = self._limit_by_server.get(server_id)
        if limit is None:
            return None
        age_s = self._timer.now() - limit.learned_at
        started_ms = self._started_ms_of(server_id)
        is_of_earlier_start = (
            limit.started_ms != UNKNOWN_START and started_ms > limit.started_ms
        )
        if is_of_earlier_start or age_s > RECORD_LIFETIME_S:
            del self._limit_by_server[server_id]
            return None
        return limit

    def _drop_old(self) -> None:
        """Drops the limits of servers that are gone or have started anew."""
        for server_id in list(self._limit_by_server):
            self._current(server_id)

    def _publish(
        self, server_id: str, started_ms: int, per_s: float | None
    ) -> None:
        known = self._facts.get(FACT_KIND, server_id)
        epoch = 1 if known is None else known.epoch + 1
        text = NO_LIMIT if per_s is None else repr(per_s)
        self._facts.publish(
            FACT_KIND, server_id, f"{started_ms} {text}", epoch
        )

    def _apply(self, fact: Fact) -> None:
        """Applies a fact of this or another process."""
        started, _, text = fact.value.partition(" ")
        try:
            started_ms = int(started)
            per_s = None if text == NO_LIMIT else float(text)
            if per_s is not None and not 0.0 <= per_s < inf:
                raise ValueError
        except ValueError:
            log_event(
                Event.MESSAGE_DROPPED,
                self._node_id,
                reason="unreadable limit",
                detail=f"{fact.key}: {fact.value}",
            )
            return
        previous = self._limit_by_server.pop(fact.key, None)
        if per_s is not None:
            self._limit_by_server[fact.key] = ServerLimit(
                started_ms, per_s, self._timer.now()
            )
            if previous is None:
                self._count("LIMITED")
                self._drop_old()
        log_event(
            Event.SERVER_LIMIT_CHANGED,
            self._node_id,
            server=fact.key,
            per_s=per_s,
            previous=None if previous is None else previous.per_s,
            change=fact.epoch,
        )
