"""The ``wasabiwing-replay`` program: replays a trace, checks its outcomes.

The target is built from a settings file. A program that can start a
deployment itself, such as the one in the demo package, passes a function
for ``--local``.
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

# Exit status when an outcome was missed.
EXIT_MISSED = 1

T = TypeVar("T")

LocalTargetOpener = Callable[
    [Configuration, Trace], AbstractAsyncContextManager[ReplayTarget]
]


class RemoteTarget:
    """A system that runs elsewhere, known by its addresses.

    It takes operator events. It offers neither faults nor the records of
    its backend servers, so checks that need those are not made.
    """

    def __init__(
        self, settings: ReplaySettings, configuration: Configuration
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._operator = OperatorEventRunner(
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
        return await self._operator.perform(event)

    def is_expected_answer(
        self, path: str, prompt: str, tokens: int, text: str
    ) -> bool | None:
        return None

    def backend_records(self, started_at: float) -> BackendRecords | None:
        return None


def run_command_line(open_local: LocalTargetOpener | None) -> None:
    """Runs the command line; ``open_local_target`` serves ``--local``."""

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
        loaded = _checked(trace, load_trace(Path(trace)))
        stated = _checked(outcomes, load_outcomes(Path(outcomes)))
        folder = Path(output) if output else None
        if bool(settings) == bool(local):
            _end_usage("601 USAGE: give either --settings or --local", ())
        if local and open_local is None:
            _end_usage("601 USAGE: --local needs the demo package", ())
        if local and open_local is not None:
            configuration = _load_configuration(local)
            opened = open_local(configuration, loaded)
        else:
            known = settings_or_exit(settings, ReplaySettings)
            missing = token_errors(loaded, known)
            if missing:
                _end_usage(f"601 USAGE: {settings}", missing)
            configuration = _load_configuration(known.configuration)
            opened = _open_addresses(known, configuration)
        _check_references(trace, loaded, outcomes, stated, configuration)
        run(
            _replay,
            opened,
            loaded,
            stated,
            folder,
            backend_options={"use_uvloop": True},
        )

    Fire(replay)


@asynccontextmanager
async def _open_addresses(
    settings: ReplaySettings, configuration: Configuration
) -> AsyncIterator[ReplayTarget]:
    yield RemoteTarget(settings, configuration)


async def _replay(
    opened: AbstractAsyncContextManager[ReplayTarget],
    trace: Trace,
    outcomes: Outcomes,
    folder: Path | None,
) -> None:
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        open_log((folder / f"{trace.header.name}.log").open("w"))
    async with opened as target:
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
    """Returns what the trace and outcomes name and nothing defines."""
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
    """Returns the organisations of a trace that have no token."""
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
        _end_usage(f"601 USAGE: {trace_path}, {outcomes_path}", errors)


def _checked(path: str, loaded: Result[T, list[str]]) -> T:
    if isinstance(loaded, Ok):
        return loaded.ok_value
    _end_usage(f"601 USAGE: {path}", loaded.err_value)


def _load_configuration(path: str) -> Configuration:
    try:
        document = Path(path).read_bytes()
    except OSError as error:
        _end_usage(f"601 USAGE: {path}: {error.strerror}", ())
    checked = check_document(document)
    if isinstance(checked, Err):
        _end_usage(f"601 USAGE: {path}", checked.err_value.lines)
    return checked.ok_value


def _end_usage(headline: str, lines: list[str] | tuple[str, ...]) -> NoReturn:
    print(headline, file=stderr)
    for line in lines:
        print(f"  {line}", file=stderr)
    raise SystemExit(EXIT_USAGE)


def main() -> None:
    """Entry point without the demo package."""
    run_command_line(None)
