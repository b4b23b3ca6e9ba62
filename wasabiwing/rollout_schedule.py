"""Traffic share of a new version, by the schedule and the rollout's phase."""

from enum import IntEnum
from enum import unique

from wasabiwing.configuration import Rollout

# Largest share of a pool's traffic that a version gets during probation.
PROBATION_SHARE = 0.05

# Requests that all gateways together may send to a version on probation within
# one window. A new window lets a rollout continue whose traffic is uneven over
# the gateways. The window is longer than any verdict on that many outcomes
# takes.
PROBATION_REQUESTS = 400
PROBATION_WINDOW_S = 30.0

# Smallest part of ``PROBATION_REQUESTS`` for one gateway. Without it the
# gateways of a large fleet would get a part of 0 and collect no evidence.
MIN_PROBATION_REQUESTS = 2


@unique
class Phase(IntEnum):
    """Phase of a new version in its rollout; it only ever grows."""

    PROBATION = 0
    PASSED = 1
    BAD = 2


def scheduled_share(rollout: Rollout, now_s: float) -> float:
    """Returns the share that the schedule allows at a time.

    ``now_s`` is in seconds since the epoch.
    """
    elapsed_s = now_s - rollout.start_s
    share = 0.0
    for step in rollout.steps:
        if elapsed_s >= step.after_s:
            share = step.share
    return share


def effective_share(rollout: Rollout, phase: Phase, now_s: float) -> float:
    """Returns the traffic share of the new version, limited by its phase."""
    if phase is Phase.BAD:
        return 0.0
    share = scheduled_share(rollout, now_s)
    if phase is Phase.PROBATION:
        return min(share, PROBATION_SHARE)
    return share


def probation_allowance(gateway_count: int) -> int:
    """Returns the requests that one gateway may send in a probation window."""
    return max(
        PROBATION_REQUESTS // max(gateway_count, 1), MIN_PROBATION_REQUESTS
    )


def full_share_at(rollout: Rollout) -> float:
    """Returns the time at which the schedule reaches its last share.

    The time is in seconds since the epoch.
    """
    return rollout.start_s + rollout.steps[-1].after_s


def settled_at(rollout: Rollout) -> float:
    """Returns the time from which VMs of the old version may be stopped.

    The time is in seconds since the epoch.
    """
    return full_share_at(rollout) + rollout.settle_s


def late_reason(
    rollout: Rollout, phase: Phase, capacity_share: float, now_s: float
) -> str:
    """Returns why a rollout cannot meet its schedule; empty if it can.

    ``capacity_share`` is the new version's part of the pool's slots. It is
    compared with the next step before that step is due, so that the delay is
    reported early.
    """
    if phase is Phase.BAD:
        return "the version was judged bad"
    if phase is Phase.PROBATION:
        if scheduled_share(rollout, now_s) > PROBATION_SHARE:
            return "there is not enough evidence to pass probation"
    next_steps = [
        step
        for step in rollout.steps
        if now_s - rollout.start_s < step.after_s
    ]
    needed_share = (
        next_steps[0].share if next_steps else rollout.steps[-1].share
    )
    if capacity_share < needed_share:
        return (
            f"the version has {capacity_share:.0%} of the pool's slots,"
            f" the next step needs {needed_share:.0%}"
        )
    return ""
