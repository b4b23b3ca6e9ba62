"""The retry policy of one gateway.

A failed attempt is retried if the retry table allows it for the failure, the
request has attempts left, and the pool's retry budget has a token.
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

# Longest backoff before the first retry, in seconds, which doubles with each
# further retry, and its upper bound.
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 0.5


@dataclass(frozen=True, slots=True)
class RetryRule:
    """One row of the retry table."""

    # Whether another attempt is allowed for each kind of request.
    idempotent: bool
    non_idempotent: bool
    # Whether the retry waits first, because overload may be the cause.
    backoff: bool


# Failures with other codes are never retried. A non-idempotent request is
# retried only if no byte of it was sent.
RETRY_TABLE: Mapping[ResultCode, RetryRule] = {
    #                             idempotent  non-idempotent  backoff
    ResultCode.CONNECT_FAILED: RetryRule(True, True, False),
    ResultCode.SERVER_REFUSED: RetryRule(True, False, True),
    ResultCode.SERVER_ERROR: RetryRule(True, False, True),
    ResultCode.SERVER_CUT: RetryRule(True, False, False),
    ResultCode.SERVER_TIMEOUT: RetryRule(True, False, True),
    ResultCode.STREAM_INCOMPLETE: RetryRule(True, False, False),
}


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a failed attempt is retried, and why."""

    retry: bool
    reason: str
    # Seconds to wait before the next attempt.
    backoff_s: float = 0.0
    # Whether the retry was refused only because the budget is used up.
    over_budget: bool = False


# The decision on an attempt that no other one here may follow, because this
# gateway reaches no server.
LEFT_TO_PEERS = RetryDecision(False, "another gateway carries the request")


class RetryPolicy:
    """Decides on the retries of one gateway's requests."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._budget_by_pool: dict[str, RetryBudget] = {}

    def note_first_attempt(self, pool: Pool) -> None:
        """Adds the first attempt of a request to the pool's retry budget."""
        self._budget(pool).note_first_attempt(pool.retry_budget)

    def decide(
        self, pool: Pool, failure: Failure, idempotent: bool, attempt: int
    ) -> RetryDecision:
        """Returns whether a failed attempt is retried.

        ``attempt`` is the number of the failed attempt, from 1. A retry takes
        a token of the pool's budget.
        """
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
        backoff_s = self._backoff_s(attempt) if rule.backoff else 0.0
        return RetryDecision(True, "another server may succeed", backoff_s)

    def has_token(self, pool: Pool, kept_share: float) -> bool:
        """Whether a pool has a token besides a share of its budget."""
        return self._budget(pool).has_token(kept_share)

    def _budget(self, pool: Pool) -> RetryBudget:
        return self._budget_by_pool.setdefault(pool.id, RetryBudget())

    def _backoff_s(self, attempt: int) -> float:
        max_backoff_s = min(
            BACKOFF_BASE_S * 2.0 ** (attempt - 1), BACKOFF_LIMIT_S
        )
        return self._random.uniform(0.0, max_backoff_s)


def final_failure(
    failure: Failure, decision: RetryDecision, run: RunState
) -> Failure:
    """Returns the failure that the caller gets after the last attempt.

    ``run`` says whether any of the attempts has run the request.
    """
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
