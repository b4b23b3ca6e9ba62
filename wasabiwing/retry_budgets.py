"""Retry budgets: limits on the retries of a pool or service.

Load pattern: servers that fail while all callers retry; without a budget the
retries would be the larger part of the load.
"""

from collections.abc import Callable

# Tokens of a new budget, and the maximum that a budget can hold. Without them,
# a pool with little traffic would fail the requests of a single failing server
# although other servers are free.
BUDGET_RESERVE = 10.0

# Share of a deployment's bound on retries that all nodes together may use. The
# rest covers requests that a server received although the connection seemed to
# fail.
USED_BUDGET_SHARE = 0.6


class RetryBudget:
    """Token bucket for the retries of one pool or service.

    Each first attempt adds the pool's share of a token and each retry takes
    one token, so that retries add at most this share to the load.
    """

    def __init__(
        self, reserve: Callable[[], float] = lambda: BUDGET_RESERVE
    ) -> None:
        self._reserve = reserve
        self._tokens = reserve()

    def note_first_attempt(self, share: float) -> None:
        """Adds a share of a token for the first attempt of a request."""
        self._tokens = min(self._tokens + share, self._reserve())

    def has_token(self, kept_share: float = 0.0) -> bool:
        """Whether a token is left besides a share of the full budget."""
        reserve = self._reserve()
        self._tokens = min(self._tokens, reserve)
        # A budget of a single token can keep none back.
        kept = max(min(kept_share * reserve, reserve - 1.0), 0.0)
        return self._tokens - 1.0 >= kept

    def take_token(self) -> bool:
        """Takes a token for a retry, and returns whether there was one."""
        if not self.has_token():
            return False
        self._tokens -= 1.0
        return True


class ServiceRetryBudgets:
    """One node's shares of the retry budgets of routed services.

    ``ratio`` and ``reserve`` are bounds for all nodes together: the number of
    retries per request, and of retries in addition to that in a window.
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
        """Adds the first attempt of a request to its service's budget."""
        self._budget(service).note_first_attempt(self._share)

    def has_token(self, service: str, kept_share: float) -> bool:
        """Whether a service has a token besides a share of its budget."""
        return self._budget(service).has_token(kept_share)

    def take_token(self, service: str) -> bool:
        """Takes a token of a service's budget; returns whether it had one."""
        return self._budget(service).take_token()

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budget_by_service:
            self._budget_by_service[service] = RetryBudget(self._reserve)
        return self._budget_by_service[service]
