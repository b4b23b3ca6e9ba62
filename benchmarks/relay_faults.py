"""Seeded fault schedules for the relay of store changes by zone heads."""

from anyio import run
from fire import Fire

from tests.relay_fleet import FaultSchedule
from tests.relay_fleet import relay_fleet

NODES = 18

ROUNDS = 10

# Number of schedules between two lines of progress.
SCHEDULES_PER_LINE = 100


async def _run_schedules(first_seed: int, schedules: int) -> int:
    failed = 0
    for seed in range(first_seed, first_seed + schedules):
        async with relay_fleet(NODES, seed=seed) as fleet:
            schedule = FaultSchedule(fleet, seed)
            violations = await schedule.run(ROUNDS)
        if violations:
            failed += 1
            print(f"seed {seed}: {schedule.faults_run}")
            for line in violations[:5]:
                print(f"  {line}")
        done = seed - first_seed + 1
        if done % SCHEDULES_PER_LINE == 0:
            print(f"{done} schedules, {failed} with violations")
    return failed


def main(schedules: int = 1000, seed: int = 1000) -> None:
    """Runs schedules with consecutive seeds; exits with 1 if one fails."""
    failed = run(_run_schedules, seed, schedules)
    print(f"{schedules} schedules, {failed} with violations")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    Fire(main)
