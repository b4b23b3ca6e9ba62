"""Tests of when an attempt at a silent server is given up."""

import pytest

from wasabiwing.retry_budgets import RetryBudget
from wasabiwing.silent_attempts import KEPT_BUDGET_SHARE
from wasabiwing.silent_attempts import Prospects
from wasabiwing.silent_attempts import wait_reason
from wasabiwing.silent_attempts import WaitReason


class TestSilentServer:
    """What a request needs to be carried on elsewhere."""

    @pytest.mark.parametrize(
        ("prospects", "reason"),
        [
            (Prospects(1, False, True), None),
            (Prospects(0, False, True), WaitReason.LAST_ATTEMPT),
            (Prospects(1, True, True), WaitReason.STOPPING),
            (Prospects(1, False, False), WaitReason.BUDGET),
        ],
    )
    def test_an_attempt_is_given_up_only_for_another(
        self, prospects: Prospects, reason: WaitReason | None
    ) -> None:
        assert wait_reason(prospects) is reason


class TestKeptBudget:
    """The part of a retry budget that silent servers may use."""

    @pytest.mark.parametrize(
        ("reserve", "moves"), [(30.0, 15), (4.0, 2), (1.0, 1), (0.5, 0)]
    )
    def test_many_silent_attempts_leave_tokens_for_failures(
        self, reserve: float, moves: int
    ) -> None:
        budget = RetryBudget(lambda: reserve)
        taken = 0
        while budget.has_token(KEPT_BUDGET_SHARE):
            assert budget.take_token()
            taken += 1
        assert taken == moves
        left = 0
        while budget.take_token():
            left += 1
        assert taken + left == int(reserve)
