"""The ``wasabiwing-replay`` program: replays a trace, checks its outcomes.

The target is a remote system whose addresses are in a settings file. A program
that can start a deployment itself, such as the one in the demo package, passes
a function that ``--local`` uses.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from contextlib import asynccontextmanager
from pathlib import Path
from sys import stderr
from typing import NoReturn
from typing import TypeVar
from uuid import uuid4

from anyio import run
from fire import Fire
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import EXIT_USAGE
from wasabiwing.configuration import Configuration
from wasabiwing.events import open_log
from wasabiwing.operations import check_document
from wasabiwing.outcome_checks import check_outcomes
from wasabiwing.outcome_checks import VerdictState
from wasabiwing.replay_operator import OperatorEventRunner
from wasabiwing.replay_records import BackendRecords
from wasabiwing.replay_records import ReplayTarget
from wasabiwing.replay_report import show_progress
from wasabiwing.replay_report import verdict_table
from wasabiwing.replay_report import write_output
from wasabiwing.replay_run import Replay
from wasabiwing.settings import ReplaySettings
from wasabiwing.settings import settings_or_exit
from wasabiwing.timers import SystemTimer
from wasabiwing.trace_format import load_trace
from wasabiwing.trace_format import Trace
from wasabiwing.trace_format import TraceEvent
from wasabiwing.trace_outcomes import load_outcomes
from wasabiwing.trace_outcomes import Outcomes

# Exit status if a stated outcome was missed.
EXIT_MISSED = 1

T = TypeVar("T")

LocalTargetOpener = Callable[
    [Configuration, Trace], AbstractAsyncContextManager[ReplayTarget]
]


class RemoteTarget:
    """A remote system, known by its addresses.

    It performs operator events. It can neither inject faults nor return the
    records of its backend servers, so checks that need those are not made.
    """

    def __init__(
        self, settings: ReplaySettings, configuration: Configuration
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._event_runner = OperatorEventRunner(
            settings.store_urls, lambda: uuid4().hex
        )

    @property
    def configuration(self) -> Configuration:
        return self._configuration

    @property
    def gateway_urls(self) -> tuple[str, ...]:
        return self._settings.gateway_urls

    def token(self, organisation: str) -> str:
        return self._settings.token_by_organisation.get(organisation, "")

    async def perform(self, event: TraceEvent) -> Result[None, str]:
        if not self._settings.store_urls:
            return Err("the settings name no store")
        return await self._event_runner.perform(event)

    def is_expected_answer(
        self, path: str, prompt: str, tokens: int, text: str
    ) -> bool | None:
        return None

    def backend_records(self, started_at: float) -> BackendRecords | None:
        return None


def run_command_line(open_local: LocalTargetOpener | None) -> None:
    """Runs the command line.

    ``open_local`` starts the target of ``--local``; without it, that option is
    refused.
    """

    def replay(
        trace: str,
        outcomes: str,
        settings: str = "",
        local: str = "",
        output: str = "",
    ) -> None:
        """Replays a trace and checks its stated outcomes.

        ``--settings`` names a file with the addresses of a system.
        ``--local`` names a configuration file and starts a deployment of it
        in this process. ``--output`` names a folder for JSON, a plot and
        the log.
        """
        loaded = _loaded_or_exit(trace, load_trace(Path(trace)))
        stated = _loaded_or_exit(outcomes, load_outcomes(Path(outcomes)))
        folder = Path(output) if output else None
        if bool(settings) == bool(local):
            _exit_usage("601 USAGE: give either --settings or --local", ())
        if local and open_local is None:
            _exit_usage("601 USAGE: --local needs the demo package", ())
        if local and open_local is not None:
            configuration = _load_configuration(local)
            target_context = open_local(configuration, loaded)
        else:
            remote = settings_or_exit(settings, ReplaySettings)
            missing = token_errors(loaded, remote)
            if missing:
                _exit_usage(f"601 USAGE: {settings}", missing)
            configuration = _load_configuration(remote.configuration)
            target_context = _open_remote(remote, configuration)
        _check_references(trace, loaded, outcomes, stated, configuration)
        run(
            _replay,
            target_context,
            loaded,
            stated,
            folder,
            backend_options={"use_uvloop": True},
        )

    Fire(replay)


@asynccontextmanager
async def _open_remote(
    settings: ReplaySettings, configuration: Configuration
) -> AsyncIterator[ReplayTarget]:
    yield RemoteTarget(settings, configuration)


async def _replay(
    target_context: AbstractAsyncContextManager[ReplayTarget],
    trace: Trace,
    outcomes: Outcomes,
    folder: Path | None,
) -> None:
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        open_log((folder / f"{trace.header.name}.log").open("w"))
    async with target_context as target:
        replay = Replay(trace, target, SystemTimer(), show_progress)
        records = await replay.run()
    verdicts = check_outcomes(outcomes, records)
    if stderr.isatty():
        stderr.write("\n")
    for line in verdict_table(trace, records, verdicts):
        print(line)
    if folder is not None:
        write_output(folder, trace, records, verdicts)
    if any(item.state is VerdictState.MISSED for item in verdicts):
        raise SystemExit(EXIT_MISSED)


def reference_errors(
    trace: Trace, outcomes: Outcomes, configuration: Configuration
) -> list[str]:
    """Returns an error for each undefined name in a trace and its outcomes."""
    routes = {item.id for item in configuration.routes}
    organisations = {item.id for item in configuration.organisations}
    errors = []
    for item in trace.requests:
        if item.route not in routes:
            errors.append(f"request {item.id}: unknown route {item.route!r}")
        if item.organisation not in organisations:
            errors.append(
                f"request {item.id}: unknown organisation"
                f" {item.organisation!r}"
            )
    if outcomes.trace != trace.header.name:
        errors.append(f"$.trace: the trace is {trace.header.name!r}")
    for number, stated in enumerate(outcomes.latency):
        errors += [
            f"$.latency[{number}].routes: unknown route {route!r}"
            for route in stated.routes
            if route not in routes
        ]
    return errors


def token_errors(trace: Trace, settings: ReplaySettings) -> list[str]:
    """Returns an error for each organisation of a trace without a token."""
    needed = {item.organisation for item in trace.requests}
    return [
        f"$.token_by_organisation: no token: {organisation}"
        for organisation in sorted(needed)
        if not settings.token_by_organisation.get(organisation)
    ]


def _check_references(
    trace_path: str,
    trace: Trace,
    outcomes_path: str,
    outcomes: Outcomes,
    configuration: Configuration,
) -> None:
    errors = reference_errors(trace, outcomes, configuration)
    if errors:
        _exit_usage(f"601 USAGE: {trace_path}, {outcomes_path}", errors)


def _loaded_or_exit(path: str, loaded: Result[T, list[str]]) -> T:
    if isinstance(loaded, Ok):
        return loaded.ok_value
    _exit_usage(f"601 USAGE: {path}", loaded.err_value)


def _load_configuration(path: str) -> Configuration:
    try:
        document = Path(path).read_bytes()
    except OSError as error:
        _exit_usage(f"601 USAGE: {path}: {error.strerror}", ())
    checked = check_document(document)
    if isinstance(checked, Err):
        _exit_usage(f"601 USAGE: {path}", checked.err_value.lines)
    return checked.ok_value


def _exit_usage(headline: str, lines: list[str] | tuple[str, ...]) -> NoReturn:
    print(headline, file=stderr)
    for line in lines:
        print(f"  {line}", file=stderr)
    raise SystemExit(EXIT_USAGE)


def main() -> None:
    """Entry point of ``wasabiwing-replay`` without the demo package."""
    run_command_line(None)
