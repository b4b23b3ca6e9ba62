"""Estimates the time to compute a prompt token from times to first token.

Each pool has an exponentially weighted linear regression of the time to first
token over the uncached tokens; its slope is the time per token. By this time
the choice of a server compares a cached prefix with a queue, so a constant
would lead to wrong choices with engines that are faster or slower.
"""

from collections import defaultdict
from dataclasses import dataclass

# Assumed time per token before enough observations, in seconds.
DEFAULT_PREFILL_S_PER_TOKEN = 0.00002

# Assumed time to first token without a prompt before enough observations, in
# seconds.
DEFAULT_BASE_FIRST_TOKEN_S = 0.1

# Upper bound of the slope, in seconds per token.
MAX_PREFILL_S_PER_TOKEN = 0.001

# Factor by which each new observation reduces the weight of earlier ones.
DECAY_FACTOR = 0.98

# Total weight of the observations that an estimate needs.
MIN_WEIGHT = 8.0


@dataclass(slots=True)
class _Sums:
    """Weighted sums over observations of uncached tokens and seconds."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    token_seconds: float = 0.0


class PrefillRates:
    """Estimated time per uncached prompt token of each pool or service."""

    def __init__(self) -> None:
        self._sums_by_pool: dict[str, _Sums] = defaultdict(_Sums)
        self._slope_by_pool: dict[str, float] = {}
        self._base_by_pool: dict[str, float] = {}

    def observe(self, pool_id: str, tokens: int, first_token_s: float) -> None:
        """Records the time to first token of a prompt.

        ``tokens`` are those of its tokens that were not cached.
        """
        sums = self._sums_by_pool[pool_id]
        sums.weight = sums.weight * DECAY_FACTOR + 1.0
        sums.tokens = sums.tokens * DECAY_FACTOR + tokens
        sums.seconds = sums.seconds * DECAY_FACTOR + first_token_s
        sums.tokens_squared = (
            sums.tokens_squared * DECAY_FACTOR + tokens * tokens
        )
        sums.token_seconds = (
            sums.token_seconds * DECAY_FACTOR + tokens * first_token_s
        )
        variance = sums.tokens_squared - sums.tokens**2 / sums.weight
        if sums.weight >= MIN_WEIGHT and sums.tokens == 0.0:
            # Plain requests have no prompt.
            self._base_by_pool[pool_id] = sums.seconds / sums.weight
        if sums.weight < MIN_WEIGHT or variance < sums.weight:
            return
        covariance = (
            sums.token_seconds - sums.tokens * sums.seconds / sums.weight
        )
        slope = min(max(covariance / variance, 0.0), MAX_PREFILL_S_PER_TOKEN)
        self._slope_by_pool[pool_id] = slope
        mean_s = sums.seconds / sums.weight
        base_s = mean_s - slope * sums.tokens / sums.weight
        self._base_by_pool[pool_id] = max(base_s, 0.0)

    def base_first_token_s(self, pool_id: str) -> float:
        """Returns a pool's time to first token without prompt, in seconds."""
        return self._base_by_pool.get(pool_id, DEFAULT_BASE_FIRST_TOKEN_S)

    def prefill_s_per_token(self, pool_id: str) -> float:
        """Returns a pool's time to compute one prompt token, in seconds."""
        return self._slope_by_pool.get(pool_id, DEFAULT_PREFILL_S_PER_TOKEN)
