"""Tests of the retry table and the retry budgets."""

from random import Random

import pytest

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import Pool
from wasabiwing.configuration import PoolKind
from wasabiwing.retry_budgets import BUDGET_RESERVE
from wasabiwing.retry_policy import RetryPolicy

POOL = Pool("desk", PoolKind.PLAIN, (), retry_budget=0.1)


class TestRetries:
    """Which requests are retried, and how often."""

    @pytest.mark.parametrize("code", list(ResultCode))
    @pytest.mark.parametrize("run", list(RunState))
    def test_a_non_idempotent_request_that_was_sent_is_never_retried(
        self, code: ResultCode, run: RunState
    ) -> None:
        failure = Failure(code, "", run)
        decision = RetryPolicy(Random(1)).decide(POOL, failure, False, 1)
        no_byte_sent = (code, run) == (
            ResultCode.CONNECT_FAILED,
            RunState.NOT_RUN,
        )
        assert decision.retry == no_byte_sent

    def test_retries_stay_within_the_share_of_first_attempts(self) -> None:
        """Guards against retries that amplify an overload."""
        retries = RetryPolicy(Random(1))
        failure = Failure(ResultCode.SERVER_REFUSED)
        allowed = 0
        for _ in range(1000):
            retries.note_first_attempt(POOL)
            allowed += retries.decide(POOL, failure, True, 1).retry
        assert allowed <= BUDGET_RESERVE + 1000 * POOL.retry_budget
        assert allowed >= 1000 * POOL.retry_budget

    def test_backoffs_follow_from_the_seed(self) -> None:
        failure = Failure(ResultCode.SERVER_REFUSED)
        decisions = [
            [
                RetryPolicy(Random(seed)).decide(POOL, failure, True, attempt)
                for attempt in (1, 2, 3)
            ]
            for seed in (1, 1, 2)
        ]
        assert decisions[0] == decisions[1] != decisions[2]
