"""Learns the time to compute a prompt token from first token times.

One exponentially weighted linear regression for each pool: the slope over
the uncached tokens is the time per token. It decides how a cached prefix
compares with a queue, so an assumed constant would misplace requests on
engines that are faster or slower.
"""

from collections import defaultdict
from dataclasses import dataclass

# Time per token before enough observations, in seconds.
DEFAULT_PREFILL_S = 0.00002

# Time to a first token without any prompt before enough observations, in
# seconds.
DEFAULT_BASE_S = 0.1

# Bounds of a believable slope, in seconds per token.
SLOWEST_PREFILL_S = 0.001

# Factor on earlier observations with each new one.
MEMORY = 0.98

# Observations, by weight, that a slope needs.
ENOUGH = 8.0


@dataclass(slots=True)
class _Sums:
    """Weighted sums over pairs of uncached tokens and seconds."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    products: float = 0.0


class PrefillRates:
    """Time per uncached prompt token, by pool."""

    def __init__(self) -> None:
        self._sums_by_pool: dict[str, _Sums] = defaultdict(_Sums)
        self._slope_by_pool: dict[str, float] = {}
        self._base_by_pool: dict[str, float] = {}

    def observe(self, pool_id: str, tokens: int, first_token_s: float) -> None:
        """Takes the time to first token of a prompt."""
        sums = self._sums_by_pool[pool_id]
        sums.weight = sums.weight * MEMORY + 1.0
        sums.tokens = sums.tokens * MEMORY + tokens
        sums.seconds = sums.seconds * MEMORY + first_token_s
        sums.tokens_squared = sums.tokens_squared * MEMORY + tokens * tokens
        sums.products = sums.products * MEMORY + tokens * first_token_s
        variance = sums.tokens_squared - sums.tokens**2 / sums.weight
        if sums.weight < ENOUGH or variance < sums.weight:
            return
        shared = sums.products - sums.tokens * sums.seconds / sums.weight
        slope = min(max(shared / variance, 0.0), SLOWEST_PREFILL_S)
        self._slope_by_pool[pool_id] = slope
        mean_s = sums.seconds / sums.weight
        base_s = mean_s - slope * sums.tokens / sums.weight
        self._base_by_pool[pool_id] = max(base_s, 0.0)

    def base_first_token_s(self, pool_id: str) -> float:
        """Returns the time to a first token without prompt, in seconds."""
        return self._base_by_pool.get(pool_id, DEFAULT_BASE_S)

    def prefill_s_per_token(self, pool_id: str) -> float:
        """Returns the time for one prompt token, in seconds."""
        return self._slope_by_pool.get(pool_id, DEFAULT_PREFILL_S)
