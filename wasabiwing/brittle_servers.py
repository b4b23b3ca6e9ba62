"""Which backend servers are brittle, as one gateway or node knows.

Load pattern: many nodes that see the same, slightly old loads, and together
send more than a server has room for. A brittle server crashes when it refuses
more than a few requests in a second, so it gets only as many as its slots
hold. What one process learns goes to all others as a fact. Servers of one
service turn brittle together, and a new start has said nothing yet: beside a
brittle server the others count as brittle until an answer shows otherwise.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.facts import FactRule
from wasabiwing.facts import Facts
from wasabiwing.messages import Fact
from wasabiwing.server_statements import RECORD_LIFETIME_S
from wasabiwing.server_statements import UNKNOWN_START
from wasabiwing.timers import TimerService

FACT_KIND = "server-brittle"

# Value of a fact that says that a server is not brittle any more.
NOT_BRITTLE = "none"

# Time for which a statement of an earlier start, or of a server that is gone,
# says something about the servers of its service, in seconds.
EARLIER_START_S = 30.0


@dataclass(frozen=True, slots=True)
class _Statement:
    """What one start of a server's process has stated last."""

    # Start of the process in milliseconds of Unix time; 0 if unknown.
    started_ms: int
    # Requests that the server can refuse in a second without a crash;
    # ``None`` if it is not brittle.
    max_refusals: int | None
    # Monotonic time at which this process learned it.
    learned_at: float


@dataclass(frozen=True, slots=True)
class _Presumption:
    """What is presumed of servers beside brittle ones of their service."""

    # Lowest number of refusals that a brittle one could bear.
    max_refusals: int
    # Times from which and until which it is presumed.
    since: float
    until: float


class BrittleServers:
    """Statements of all servers, as one gateway or node knows them."""

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
        self._statement_by_server: dict[str, _Statement] = {}
        # Servers whose last statement was that they are brittle.
        self._brittle_ids: set[str] = set()
        self._presumption_by_service: dict[str, _Presumption] = {}
        facts.set_rule(FACT_KIND, FactRule(lifetime_s=RECORD_LIFETIME_S))
        facts.subscribe(FACT_KIND, self._apply)

    def max_refusals_by_server(
        self, service: str, server_ids: Iterable[str]
    ) -> dict[str, int]:
        """Returns the brittle ones among the servers of a service.

        The values are the numbers of requests that they can refuse in a
        second without a crash.
        """
        if not self._brittle_ids and not self._presumption_by_service:
            return {}
        now = self._timer.now()
        ids = list(server_ids)
        stated = [
            statement.max_refusals
            for server_id in ids
            if server_id in self._brittle_ids
            and (statement := self._recent(server_id)) is not None
            and statement.max_refusals is not None
        ]
        presumption = self._presumption_by_service.get(service)
        if stated:
            presumption = _Presumption(
                min(stated),
                now if presumption is None else presumption.since,
                now + EARLIER_START_S,
            )
            self._presumption_by_service[service] = presumption
        if presumption is None or presumption.until <= now:
            self._presumption_by_service.pop(service, None)
            return {}
        found: dict[str, int] = {}
        for server_id in ids:
            statement = self._of_this_start(server_id)
            if statement is None:
                found[server_id] = presumption.max_refusals
            elif statement.max_refusals is not None:
                found[server_id] = statement.max_refusals
        return found

    def known_s(self, service: str) -> float:
        """Returns for how long brittle servers of a service are known."""
        presumption = self._presumption_by_service.get(service)
        if presumption is None:
            return 0.0
        return self._timer.now() - presumption.since

    def note_answer(
        self,
        server_id: str,
        started_ms: int,
        max_refusals: int | None,
        sent_at: float,
    ) -> None:
        """Records what an answer says; ``None`` if nothing.

        ``sent_at`` is the monotonic time at which the request was sent.
        """
        known = self._statement_by_server.get(server_id)
        if known is not None and UNKNOWN_START not in (
            started_ms,
            known.started_ms,
        ):
            if started_ms < known.started_ms:
                return
            if started_ms > known.started_ms:
                known = None
        if known is None and max_refusals is None:
            self._forget_old()
            if server_id in self._brittle_ids:
                # The earlier start was brittle, so others have to be told.
                self._publish(server_id, started_ms, None)
                return
            self._statement_by_server[server_id] = _Statement(
                started_ms, None, self._timer.now()
            )
            return
        if known is None:
            self._publish(server_id, started_ms, max_refusals)
            return
        if max_refusals == known.max_refusals:
            self._statement_by_server[server_id] = _Statement(
                max(started_ms, known.started_ms),
                max_refusals,
                self._timer.now(),
            )
            return
        # An answer that was overtaken can only make the server brittle.
        if sent_at >= known.learned_at or (
            max_refusals is not None
            and (
                known.max_refusals is None or max_refusals < known.max_refusals
            )
        ):
            self._publish(server_id, started_ms, max_refusals)

    def _of_this_start(self, server_id: str) -> _Statement | None:
        """Returns what the running process of a server has stated."""
        statement = self._statement_by_server.get(server_id)
        if statement is None:
            return None
        started_ms = self._started_ms_of(server_id)
        if UNKNOWN_START not in (started_ms, statement.started_ms) and (
            started_ms > statement.started_ms
        ):
            return None
        age_s = self._timer.now() - statement.learned_at
        return None if age_s > RECORD_LIFETIME_S else statement

    def _recent(self, server_id: str) -> _Statement | None:
        """Returns a server's statement, also of an earlier start."""
        statement = self._of_this_start(server_id)
        if statement is not None:
            return statement
        statement = self._statement_by_server.get(server_id)
        if statement is None:
            return None
        age_s = self._timer.now() - statement.learned_at
        return None if age_s > EARLIER_START_S else statement

    def _forget_old(self) -> None:
        """Drops the statements of servers that are gone for long."""
        oldest = self._timer.now() - RECORD_LIFETIME_S
        for server_id in list(self._brittle_ids):
            if self._statement_by_server[server_id].learned_at < oldest:
                self._brittle_ids.discard(server_id)
                del self._statement_by_server[server_id]

    def _publish(
        self, server_id: str, started_ms: int, max_refusals: int | None
    ) -> None:
        known = self._facts.get(FACT_KIND, server_id)
        epoch = 1 if known is None else known.epoch + 1
        text = NOT_BRITTLE if max_refusals is None else str(max_refusals)
        self._facts.publish(
            FACT_KIND, server_id, f"{started_ms} {text}", epoch
        )

    def _apply(self, fact: Fact) -> None:
        """Applies a fact of this or another process."""
        started, _, text = fact.value.partition(" ")
        try:
            started_ms = int(started)
            max_refusals = None if text == NOT_BRITTLE else int(text)
            if max_refusals is not None and max_refusals < 0:
                raise ValueError
        except ValueError:
            log_event(
                Event.MESSAGE_DROPPED,
                self._node_id,
                reason="unreadable statement",
                detail=f"{fact.key}: {fact.value}",
            )
            return
        previous = self._statement_by_server.get(fact.key)
        self._statement_by_server[fact.key] = _Statement(
            started_ms, max_refusals, self._timer.now()
        )
        if max_refusals is None:
            self._brittle_ids.discard(fact.key)
        elif fact.key not in self._brittle_ids:
            self._brittle_ids.add(fact.key)
            self._count("BRITTLE")
        log_event(
            Event.SERVER_BRITTLE_CHANGED,
            self._node_id,
            server=fact.key,
            max_refusals=max_refusals,
            previous=None if previous is None else previous.max_refusals,
            change=fact.epoch,
        )
