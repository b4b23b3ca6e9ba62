"""Retry budgets: how many retries a pool or service may get.

Load pattern: servers that fail while all callers repeat; without a budget the
retries would be the larger part of the load.
"""

from collections.abc import Callable

# Retries that a pool may use before its traffic has earned any, and the most
# that a quiet time can save up. A single failing server of a quiet pool would
# otherwise fail its requests although others are free.
BUDGET_RESERVE = 10.0

# Part of a deployment's bound that the nodes together may use; the rest
# covers requests that a server got although its connection seemed to fail.
USED_BUDGET_SHARE = 0.6


class RetryBudget:
    """Tokens for retries of one pool.

    Each first attempt adds the pool's share of a token and each retry takes
    one, so that retries add at most this share to the load.
    """

    def __init__(
        self, reserve: Callable[[], float] = lambda: BUDGET_RESERVE
    ) -> None:
        self._reserve = reserve
        self._tokens = reserve()

    def note_first_attempt(self, share: float) -> None:
        """Notes the first attempt of a request."""
        self._tokens = min(self._tokens + share, self._reserve())

    def take_token(self) -> bool:
        """Takes a token for a retry if there is one."""
        self._tokens = min(self._tokens, self._reserve())
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ServiceRetryBudgets:
    """One node's part of the retry budgets of routed services.

    ``ratio`` and ``reserve`` are bounds for all nodes together: retries per
    request, and retries on top of that in a window.
    """

    def __init__(
        self, ratio: float, reserve: float, node_count: Callable[[], int]
    ) -> None:
        self._share = ratio * USED_BUDGET_SHARE
        self._reserve = lambda: max(
            reserve * USED_BUDGET_SHARE / node_count(), 1.0
        )
        self._budget_by_service: dict[str, RetryBudget] = {}

    def note_first_attempt(self, service: str) -> None:
        """Notes the first attempt of a request."""
        self._budget(service).note_first_attempt(self._share)

    def take_token(self, service: str) -> bool:
        """Takes a token for a retry if there is one."""
        return self._budget(service).take_token()

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budget_by_service:
            self._budget_by_service[service] = RetryBudget(self._reserve)
        return self._budget_by_service[service]
