"""What one gateway observed of each backend server.

Fed by the router (sends), by admission (outcomes) and by load reports; read
by the scores. Reports lag, repeat or stop, so they are corrected by the
gateway's own sends and ignored when they are too old.
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

# A report older than this many seconds says nothing about the load now.
REPORT_MAX_AGE_S = 3.0

# Failures lose half of their weight in this time, so that a server that
# recovered is tried again.
FAILURE_HALF_LIFE_S = 10.0

# Expected loss of time for each recent failure, in seconds. It is several
# times the target for the first token, so that a server that fails fast
# ranks behind a busy one.
FAILURE_PENALTY_S = 1.5

# A zone counts as lost when so many of its servers could not be reached
# since the last success there.
ZONE_LOST_SERVERS = 2

# Weight of the newest observation in the average time to first token.
AVERAGE_WEIGHT = 0.2

# Least time to first token that is believed, in seconds.
MIN_BASE_S = 0.001

# Failures that say that the server could not be reached.
UNREACHABLE_CODES = frozenset(
    {
        ResultCode.CONNECT_FAILED,
        ResultCode.SERVER_CUT,
        ResultCode.SERVER_TIMEOUT,
    }
)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a backend server as it was reported."""

    # Rises with each report of a server; a repeated number is ignored.
    sequence: int
    # Requests that run and wait at the server, from all gateways.
    running: int
    waiting: int = 0


@dataclass(slots=True)
class ServerRecord:
    """Observations of one server."""

    outstanding: int = 0
    outstanding_long: int = 0
    # Expected time at which the prompts sent so far are computed.
    prefill_until: float = 0.0
    # Number of the last send over all servers; 0 for none.
    last_sent: int = 0
    # Average time to first token without the prompt's computation.
    base_first_token_s: float | None = None
    failures: float = 0.0
    failures_at: float = 0.0
    report: LoadReport | None = None
    reported_at: float = 0.0
    outstanding_at_report: int = 0


class ServerRecords:
    """Observations of all servers that this gateway sent to or heard of."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._sends = 0
        self.rates = PrefillRates()
        self._record_by_server: dict[str, ServerRecord] = {}
        self._unreachable_by_zone: dict[str, set[str]] = defaultdict(set)

    def record(self, server_id: str) -> ServerRecord:
        """Returns the record of a server."""
        found = self._record_by_server.get(server_id)
        if found is None:
            found = ServerRecord()
            self._record_by_server[server_id] = found
        return found

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forgets servers that left the configuration and are idle."""
        self._record_by_server = {
            server_id: record
            for server_id, record in self._record_by_server.items()
            if server_id in server_ids or record.outstanding
        }
        for unreachable in self._unreachable_by_zone.values():
            unreachable &= server_ids

    def note_sent(self, choice: ServerAssignment) -> None:
        """Counts a request that is about to be sent."""
        record = self.record(choice.server.id)
        self._sends += 1
        record.last_sent = self._sends
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
        """Counts the end of an attempt."""
        record = self.record(choice.server.id)
        record.outstanding -= 1
        record.outstanding_long -= choice.long_prompt
        if outcome.failure is None:
            self._unreachable_by_zone[choice.server.availability_zone].clear()
        elif stated_pause_s(outcome.failure) is None:
            self._count_failure(choice.server, record, outcome)
        if outcome.failure is None and outcome.first_token_s is not None:
            self._average(record, choice, outcome.first_token_s)

    def note_report(self, server_id: str, report: LoadReport) -> bool:
        """Takes a load report; returns whether it was a new one."""
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
        """Returns the expected loss of time by failures, in seconds."""
        penalty = 0.0
        unreachable = self._unreachable_by_zone.get(server.availability_zone)
        if unreachable and len(unreachable) >= ZONE_LOST_SERVERS:
            penalty = FAILURE_PENALTY_S
        record = self._record_by_server.get(server.id)
        if record is None or record.failures == 0.0:
            return penalty
        return penalty + FAILURE_PENALTY_S * self._failures(record)

    def prefill_wait_s(self, server_id: str) -> float:
        """Returns the expected wait for prompts sent before, in seconds."""
        record = self._record_by_server.get(server_id)
        if record is None or not record.prefill_until:
            return 0.0
        return max(record.prefill_until - self._timer.now(), 0.0)

    def _average(
        self,
        record: ServerRecord,
        choice: ServerAssignment,
        first_token_s: float,
    ) -> None:
        tokens = choice.uncached_tokens
        self.rates.observe(choice.pool_id, tokens, first_token_s)
        prefill_s = tokens * self.rates.prefill_s_per_token(choice.pool_id)
        base_s = max(first_token_s - prefill_s, MIN_BASE_S)
        earlier = record.base_first_token_s or base_s
        record.base_first_token_s = earlier + AVERAGE_WEIGHT * (
            base_s - earlier
        )

    def _failures(self, record: ServerRecord) -> float:
        age_s = self._timer.now() - record.failures_at
        return record.failures * exp2(-age_s / FAILURE_HALF_LIFE_S)

    def _count_failure(
        self,
        server: BackendServer,
        record: ServerRecord,
        outcome: AttemptOutcome,
    ) -> None:
        record.failures = self._failures(record) + 1.0
        record.failures_at = self._timer.now()
        failure = outcome.failure
        if failure is not None and failure.code in UNREACHABLE_CODES:
            zone = server.availability_zone
            self._unreachable_by_zone[zone].add(server.id)
