"""Schedules of faults for what heads of zones pass on, by the thousand."""

from anyio import run
from fire import Fire

from tests.relay_fleet import FaultSchedule
from tests.relay_fleet import relay_fleet

NODES = 18

ROUNDS = 10

# Progress is shown once in so many schedules.
SHOWN_EVERY = 100


async def _play(first_seed: int, schedules: int) -> int:
    failed = 0
    for seed in range(first_seed, first_seed + schedules):
        async with relay_fleet(NODES, seed=seed) as fleet:
            schedule = FaultSchedule(fleet, seed)
            broken = await schedule.run(ROUNDS)
        if broken:
            failed += 1
            print(f"seed {seed}: {schedule.faults_run}")
            for line in broken[:5]:
                print(f"  {line}")
        done = seed - first_seed + 1
        if done % SHOWN_EVERY == 0:
            print(f"{done} schedules, {failed} with a broken promise")
    return failed


def main(schedules: int = 1000, seed: int = 1000) -> None:
    """Plays schedules with consecutive seeds; status 1 if one fails."""
    failed = run(_play, seed, schedules)
    print(f"{schedules} schedules, {failed} with a broken promise")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    Fire(main)
