"""Command line of the soak: ``python -m wasabiwing_soak --help``."""

from pathlib import Path
from secrets import randbelow
from sys import path

# The stand-ins of the platform are not installed with the product.
path.append(str(Path(__file__).parent.parent / "platform"))

from anyio import run  # noqa: E402
from fire import Fire  # noqa: E402

from wasabiwing_soak.report import report_lines  # noqa: E402
from wasabiwing_soak.report import write_report  # noqa: E402
from wasabiwing_soak.soak import run_soak  # noqa: E402
from wasabiwing_soak.soak import SoakOptions  # noqa: E402

RANDOM_SEEDS = 1_000_000


def start(
    seed: int | None = None,
    count: int = 1,
    seconds: float = 30.0,
    nodes: int = 3,
    servers: int = 4,
    callers: int = 6,
    check_times: bool = True,
    other_build: str = "",
    stops: bool = False,
    parts: bool = False,
    cuts: bool = False,
    output: str = "out/soak",
) -> None:
    """Runs ``count`` soaks with consecutive seeds from ``seed`` on.

    The first seed is random if ``seed`` is missing. Each soak plays faults
    for ``seconds`` and writes settings, logs, a report and a plot into
    OUTPUT/SEED. With ``other_build``, the path of another checkout, each
    second start of a node runs that checkout's program. With ``stops``, the
    faults are series of planned stops and what may accompany them; with
    ``parts``, they are prompt parts that crash servers; with ``cuts``, nodes
    are cut from all servers. The exit status is 1
    if a promise was broken.
    """
    first = randbelow(RANDOM_SEEDS) if seed is None else seed
    broken = 0
    for number in range(first, first + count):
        options = SoakOptions(
            number,
            seconds,
            nodes,
            servers,
            callers,
            check_times,
            other_build,
            stops,
            parts,
            cuts,
        )
        folder = Path(output) / str(number)
        result = run(run_soak, options, folder)
        write_report(folder, result)
        for line in report_lines(result):
            print(line, flush=True)
        broken += bool(result.violations)
    print(f"{count} soaks, {broken} with a broken promise")
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    Fire(start)
