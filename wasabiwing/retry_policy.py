"""The retry table and its decisions in one gateway.

A retry needs three things: the table allows it for the failure, the request
has attempts left, and the pool's budget has a token.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import Pool
from wasabiwing.retry_budgets import RetryBudget

MAX_ATTEMPTS = 4

# Longest pause before the first retry, in seconds; it doubles each time.
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 0.5


@dataclass(frozen=True, slots=True)
class RetryRule:
    """One row of the retry table."""

    # Whether another attempt is allowed, by kind of request.
    idempotent: bool
    non_idempotent: bool
    # Whether to pause first, because the cause may be overload.
    backoff: bool


# Codes that are missing here are never retried. A non-idempotent request is
# only retried when no byte of it left.
RETRY_TABLE: Mapping[ResultCode, RetryRule] = {
    #                             idempotent  non-idempotent  pause
    ResultCode.CONNECT_FAILED: RetryRule(True, True, False),
    ResultCode.SERVER_REFUSED: RetryRule(True, False, True),
    ResultCode.SERVER_ERROR: RetryRule(True, False, True),
    ResultCode.SERVER_CUT: RetryRule(True, False, False),
    ResultCode.SERVER_TIMEOUT: RetryRule(True, False, True),
    ResultCode.STREAM_INCOMPLETE: RetryRule(True, False, False),
}


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to try again, and why."""

    retry: bool
    reason: str
    # Pause before the next attempt, in seconds.
    backoff_s: float = 0.0
    # Whether only the budget stands against the retry.
    over_budget: bool = False


class RetryPolicy:
    """Decides on all retries of one gateway."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._budget_by_pool: dict[str, RetryBudget] = {}

    def note_first_attempt(self, pool: Pool) -> None:
        """Notes the first attempt of a request."""
        self._budget(pool).note_first_attempt(pool.retry_budget)

    def decide(
        self, pool: Pool, failure: Failure, idempotent: bool, attempt: int
    ) -> RetryDecision:
        """Applies the table and the budget to a failed attempt."""
        rule = RETRY_TABLE.get(failure.code)
        if rule is None:
            return RetryDecision(False, "the failure is final")
        if not idempotent and not rule.non_idempotent:
            return RetryDecision(False, "non-idempotent and was sent")
        if not idempotent and failure.run_state is not RunState.NOT_RUN:
            return RetryDecision(False, "non-idempotent and may have run")
        if attempt >= MAX_ATTEMPTS:
            return RetryDecision(False, "no attempts left")
        if not self._budget(pool).take_token():
            return RetryDecision(
                False, "retry budget used up", over_budget=True
            )
        pause_s = self._pause_s(attempt) if rule.backoff else 0.0
        return RetryDecision(True, "another server may succeed", pause_s)

    def _budget(self, pool: Pool) -> RetryBudget:
        return self._budget_by_pool.setdefault(pool.id, RetryBudget())

    def _pause_s(self, attempt: int) -> float:
        longest_s = min(BACKOFF_BASE_S * 2.0 ** (attempt - 1), BACKOFF_LIMIT_S)
        return self._random.uniform(0.0, longest_s)


def final_failure(
    failure: Failure, decision: RetryDecision, run: RunState
) -> Failure:
    """Returns the caller's failure after the last attempt."""
    code = failure.code
    if decision.over_budget:
        code = ResultCode.RETRY_BUDGET_EXHAUSTED
    return Failure(
        code,
        str(failure) if decision.over_budget else failure.detail,
        run,
        failure.retry_after_s,
        failure.status_request_id,
    )
