"""Observations of each backend server by one gateway.

The router records sends, admission records outcomes, and load reports add the
servers' own figures; the routing scores read all of them. Load reports lag,
repeat or stop, so they are corrected by the gateway's own sends and ignored
when they are too old.
"""

from collections import defaultdict
from dataclasses import dataclass
from math import exp2

from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import ServerAssignment
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.server_statements import stated_pause_s
from wasabiwing.timers import TimerService

# Age from which a load report is ignored, in seconds.
REPORT_MAX_AGE_S = 3.0

# Time in which failures lose half of their weight, in seconds, so that a
# server that recovered is tried again.
FAILURE_HALF_LIFE_S = 10.0

# Expected loss of time for each recent failure, in seconds. It is several
# times the target for the first token, so that a server that fails fast
# ranks behind a busy one.
FAILURE_PENALTY_S = 1.5

# Number of a zone's servers that were unreachable since the last success there
# from which the zone counts as lost.
ZONE_LOST_SERVER_COUNT = 2

# Weight of the newest observation in the average time to first token.
NEWEST_WEIGHT = 0.2

# Smallest base time to first token that is plausible, in seconds.
MIN_BASE_FIRST_TOKEN_S = 0.001

# Failures that mean that the server could not be reached.
UNREACHABLE_CODES = frozenset(
    {
        ResultCode.CONNECT_FAILED,
        ResultCode.SERVER_CUT,
        ResultCode.SERVER_TIMEOUT,
    }
)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A reported load of a backend server."""

    # Rises with each report of a server; a report that repeats it is ignored.
    sequence: int
    # Requests of all gateways that run and that wait at the server.
    running: int
    waiting: int = 0


@dataclass(slots=True)
class ServerRecord:
    """Observations of one server."""

    outstanding: int = 0
    outstanding_long: int = 0
    # Expected time at which the prompts sent so far have been computed.
    prefill_until: float = 0.0
    # Number of the last send, counted over all servers; 0 for none.
    last_sent: int = 0
    # Average time to first token without that for computing the prompt.
    base_first_token_s: float | None = None
    failures: float = 0.0
    failures_at: float = 0.0
    report: LoadReport | None = None
    reported_at: float = 0.0
    outstanding_at_report: int = 0


class ServerRecords:
    """Records of all servers that this gateway sent to or has heard of."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._send_count = 0
        self.rates = PrefillRates()
        self._record_by_server: dict[str, ServerRecord] = {}
        self._unreachable_by_zone: dict[str, set[str]] = defaultdict(set)

    def record(self, server_id: str) -> ServerRecord:
        """Returns the record of a server; creates it if necessary."""
        found = self._record_by_server.get(server_id)
        if found is None:
            found = ServerRecord()
            self._record_by_server[server_id] = found
        return found

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Removes idle servers that are not in the configuration any more."""
        self._record_by_server = {
            server_id: record
            for server_id, record in self._record_by_server.items()
            if server_id in server_ids or record.outstanding
        }
        for unreachable_ids in self._unreachable_by_zone.values():
            unreachable_ids &= server_ids

    def note_sent(self, choice: ServerAssignment) -> None:
        """Counts a request that is about to be sent to a server."""
        record = self.record(choice.server.id)
        self._send_count += 1
        record.last_sent = self._send_count
        record.outstanding += 1
        record.outstanding_long += choice.long_prompt
        prefill_s = self.rates.prefill_s_per_token(choice.pool_id)
        record.prefill_until = (
            max(record.prefill_until, self._timer.now())
            + choice.uncached_tokens * prefill_s
        )

    def note_ended(
        self, choice: ServerAssignment, outcome: AttemptOutcome
    ) -> None:
        """Counts the end of an attempt at a server."""
        record = self.record(choice.server.id)
        record.outstanding -= 1
        record.outstanding_long -= choice.long_prompt
        if outcome.failure is None:
            self._unreachable_by_zone[choice.server.availability_zone].clear()
        elif stated_pause_s(outcome.failure) is None:
            self._count_failure(choice.server, record, outcome)
        if outcome.failure is None and outcome.first_token_s is not None:
            self._update_average(record, choice, outcome.first_token_s)

    def note_report(self, server_id: str, report: LoadReport) -> bool:
        """Stores a server's load report; returns whether it is a new one."""
        record = self.record(server_id)
        if record.report and report.sequence <= record.report.sequence:
            return False
        record.report = report
        record.reported_at = self._timer.now()
        record.outstanding_at_report = record.outstanding
        return True

    def estimated_load(self, server_id: str) -> int:
        """Returns the estimated number of requests at a server."""
        record = self._record_by_server.get(server_id)
        if record is None:
            return 0
        report = record.report
        if report is None:
            return record.outstanding
        if self._timer.now() - record.reported_at > REPORT_MAX_AGE_S:
            return record.outstanding
        change = record.outstanding - record.outstanding_at_report
        reported = report.running + report.waiting + change
        return max(reported, record.outstanding)

    def failure_penalty_s(self, server: BackendServer) -> float:
        """Returns a server's expected loss of time by failures, in seconds."""
        penalty = 0.0
        unreachable_ids = self._unreachable_by_zone.get(
            server.availability_zone
        )
        if unreachable_ids and len(unreachable_ids) >= ZONE_LOST_SERVER_COUNT:
            penalty = FAILURE_PENALTY_S
        record = self._record_by_server.get(server.id)
        if record is None or record.failures == 0.0:
            return penalty
        return penalty + FAILURE_PENALTY_S * self._decayed_failures(record)

    def prefill_wait_s(self, server_id: str) -> float:
        """Returns a server's wait for prompts sent before, in seconds."""
        record = self._record_by_server.get(server_id)
        if record is None or not record.prefill_until:
            return 0.0
        return max(record.prefill_until - self._timer.now(), 0.0)

    def _update_average(
        self,
        record: ServerRecord,
        choice: ServerAssignment,
        first_token_s: float,
    ) -> None:
        tokens = choice.uncached_tokens
        self.rates.observe(choice.pool_id, tokens, first_token_s)
        prefill_s = tokens * self.rates.prefill_s_per_token(choice.pool_id)
        base_s = max(first_token_s - prefill_s, MIN_BASE_FIRST_TOKEN_S)
        earlier = record.base_first_token_s or base_s
        record.base_first_token_s = earlier + NEWEST_WEIGHT * (
            base_s - earlier
        )

    def _decayed_failures(self, record: ServerRecord) -> float:
        age_s = self._timer.now() - record.failures_at
        return record.failures * exp2(-age_s / FAILURE_HALF_LIFE_S)

    def _count_failure(
        self,
        server: BackendServer,
        record: ServerRecord,
        outcome: AttemptOutcome,
    ) -> None:
        record.failures = self._decayed_failures(record) + 1.0
        record.failures_at = self._timer.now()
        failure = outcome.failure
        if failure is not None and failure.code in UNREACHABLE_CODES:
            zone = server.availability_zone
            self._unreachable_by_zone[zone].add(server.id)
