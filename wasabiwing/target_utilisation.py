"""Decides how busy backend servers may be for prompts to be on time.

Load pattern: prompts of unequal length arrive at random, on servers whose
speed varies. A prompt waits for those before it, as in an M/G/1 queue, and
the wait that callers accept is their target less the time to compute it.
"""

from math import exp

from wasabiwing.capacity_plan import TARGET_UTILISATION
from wasabiwing.prefill_rates import DEFAULT_BASE_FIRST_TOKEN_S

# Highest share of a server's time that prompts may take. In a simulation of
# 33 nodes that know the servers' load 0.25 to 1 s late, with 15% of the
# servers slower by 2.5 times, 1% of the prompts were late at 0.6 and 4% at
# 0.75 (``benchmarks/server_utilisation.py``). It is reached only when a zone
# is lost: there is a reserve of a half.
MAX_UTILISATION = 0.6

# Share of the prompts that may wait for longer than callers accept.
LATE_SHARE = 0.01

# Step of the search for the utilisation.
STEP = 0.02


def target_utilisation(
    target_s: float, mean_s: float, mean_square_s2: float
) -> float:
    """Returns the highest utilisation at which prompts are on time.

    ``target_s`` is the shortest target of a first event, ``mean_s`` the mean
    computing time of a prompt and ``mean_square_s2`` that of its square. The
    share of prompts that wait for longer than ``t`` is about
    ``u * exp(-(1 - u) * t / r)``, where ``u`` is the utilisation and ``r`` the
    mean time that is left of a prompt that is being computed. As choosing the
    least loaded server shortens the waits, the result is never below
    ``TARGET_UTILISATION``.
    """
    accepted_s = target_s - mean_s - DEFAULT_BASE_FIRST_TOKEN_S
    if mean_s <= 0.0 or accepted_s <= 0.0:
        return TARGET_UTILISATION
    residual_s = max(mean_square_s2 / mean_s / 2.0, mean_s / 2.0)
    utilisation = MAX_UTILISATION
    while utilisation > TARGET_UTILISATION:
        late = utilisation * exp(
            -(1.0 - utilisation) * accepted_s / residual_s
        )
        if late <= LATE_SHARE:
            return utilisation
        utilisation -= STEP
    return TARGET_UTILISATION
