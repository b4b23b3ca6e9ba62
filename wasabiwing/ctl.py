"""The ``wasabictl`` program: the command line for operators."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
from pathlib import Path
import sys
from typing import NoReturn
from typing import TypeVar
from uuid import uuid4

from anyio import run
from fire import Fire
from fire.decorators import SetParseFn
from msgspec.json import encode
from result import Err
from result import Result

from wasabiwing.cluster_status import ApplyState
from wasabiwing.cluster_status import describe_status
from wasabiwing.cluster_status import read_status
from wasabiwing.cluster_status import wait_outcome
from wasabiwing.cluster_status import watch_changes
from wasabiwing.codes import EXIT_USAGE
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import ZoneState
from wasabiwing.configuration_store import Root
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.explain import explain_request
from wasabiwing.explain_log import describe_line
from wasabiwing.explain_log import explain_log
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing.operations import check_document
from wasabiwing.operations import plan_configuration
from wasabiwing.operations import set_zone_state
from wasabiwing.settings import ControlSettings
from wasabiwing.settings import settings_or_exit
from wasabiwing.timers import SystemTimer

# Exit status for an action that failed or did not finish in time.
EXIT_FAILED = 1

# Exit status after Ctrl-C, as shells report it: 128 and the signal's number.
EXIT_INTERRUPTED = 130

DEFAULT_WAIT_S = 60.0

StoreChange = Callable[[EtcdStore], Awaitable[Result[Root, Failure]]]

Action = Callable[[], None]

Command = TypeVar("Command", bound=Callable[..., None])


def with_text_arguments(command: Command) -> Command:
    """Makes Fire pass a command's names as they were typed.

    Otherwise Fire parses values as Python literals, and the name ``1e3``
    becomes a number.
    """
    SetParseFn(str, "file", "settings", "zone", "request_id", "log")(command)
    return command


class Commands:
    """Checks and applies configuration files and shows the cluster.

    Every command that talks to the cluster takes ``--settings``, the path
    of a JSON file with the addresses of the store and the controllers.
    """

    def __init__(self, schedule: Callable[[Action], None]) -> None:
        # Fire reports unknown arguments only after it has called the command.
        # Commands therefore only schedule their action, so that a misspelt
        # option changes nothing.
        self._schedule = schedule

    @with_text_arguments
    def check(self, file: str) -> None:
        """Checks a configuration file without applying it."""
        self._schedule(partial(_check, file))

    @with_text_arguments
    def plan(self, file: str, settings: str) -> None:
        """Shows what applying a file would change; writes nothing."""

        def act() -> None:
            configuration = _load(file)
            loaded = settings_or_exit(settings, ControlSettings)
            run(_plan, loaded, configuration)

        self._schedule(act)

    @with_text_arguments
    def apply(
        self,
        file: str,
        settings: str,
        base: int | None = None,
        wait: bool = False,
        timeout_s: float = DEFAULT_WAIT_S,
        force: bool = False,
    ) -> None:
        """Applies a file as a whole.

        With ``--base`` the change is refused unless that generation is the
        newest one. With ``--wait`` the command ends when all live members
        have it in force and its rollouts have ended. With ``--force``
        findings of the safety check do not stop it.
        """
        _check_option_type("--base", base, int, type(None))
        _check_option_type("--wait", wait, bool)
        _check_option_type("--timeout-s", timeout_s, int, float)
        _check_option_type("--force", force, bool)
        self._schedule(
            partial(_apply, file, settings, base, wait, timeout_s, force)
        )

    @with_text_arguments
    def drain_zone(
        self, zone: str, settings: str, force: bool = False
    ) -> None:
        """Lets an availability zone get no new work."""
        _check_option_type("--force", force, bool)
        self._schedule(
            partial(_set_zone_state, zone, settings, ZoneState.DRAINED, force)
        )

    @with_text_arguments
    def return_zone(self, zone: str, settings: str) -> None:
        """Lets a drained availability zone take work again."""
        self._schedule(
            partial(_set_zone_state, zone, settings, ZoneState.ACTIVE, False)
        )

    @with_text_arguments
    def status(self, settings: str) -> None:
        """Shows the members, their zones and the generations in force."""
        self._schedule(partial(_run_with_settings, _status, settings))

    @with_text_arguments
    def watch(self, settings: str) -> None:
        """Prints changes of members and generations as they happen."""
        self._schedule(partial(_run_with_settings, _watch, settings))

    @with_text_arguments
    def explain(self, request_id: str, settings: str) -> None:
        """Shows the decisions on a request, in order of time.

        Asks all gateways of the settings; each keeps only its latest
        decisions.
        """

        async def act(loaded: ControlSettings) -> None:
            await _explain(loaded, request_id)

        self._schedule(partial(_run_with_settings, act, settings))

    @with_text_arguments
    def explain_log(
        self, request_id: str, log: str = "-", json: bool = False
    ) -> None:
        """Shows what collected logs of nodes say of a request.

        Args:
          request_id: the id of the caller's attempt
          log: a file with log lines of any number of nodes; - reads
            standard input
          json: print JSON lines instead of text
        """
        _check_option_type("--json", json, bool)
        self._schedule(partial(_explain_log, str(request_id), str(log), json))


def _check_option_type(option: str, value: object, *kinds: type) -> None:
    """Exits with a usage error unless the value has one of the types."""
    if type(value) not in kinds:
        names = " or ".join(
            kind.__name__ for kind in kinds if kind is not type(None)
        )
        code = ResultCode.USAGE
        _exit_usage(
            f"{int(code)} {code.name}: {option} expects {names},"
            f" got {value!r}",
            (),
        )


def _run_with_settings(
    action: Callable[[ControlSettings], Awaitable[None]], settings: str
) -> None:
    run(action, settings_or_exit(settings, ControlSettings))


def _check(file: str) -> None:
    configuration = _load(file)
    servers = sum(len(pool.servers) for pool in configuration.pools)
    print(
        f"{file}: valid; {len(configuration.pools)} pools,"
        f" {servers} backend servers, {len(configuration.routes)} routes"
    )


def _apply(
    file: str,
    settings: str,
    base: int | None,
    wait: bool,
    timeout_s: float,
    force: bool,
) -> None:
    configuration = _load(file)
    loaded = settings_or_exit(settings, ControlSettings)

    async def act(store: EtcdStore) -> Result[Root, Failure]:
        return await apply_configuration(
            store,
            configuration,
            base,
            uuid4().hex,
            force=force,
            now_s=SystemTimer().wall_time(),
        )

    run(
        _change_store,
        loaded,
        "accepted as",
        act,
        configuration if wait else None,
        timeout_s,
    )


def _load(file: str) -> Configuration:
    try:
        document = Path(file).read_bytes()
    except OSError as error:
        code = ResultCode.USAGE
        _exit_usage(f"{int(code)} {code.name}: {file}: {error.strerror}", ())
    checked = check_document(document)
    if isinstance(checked, Err):
        failure = checked.err_value
        _exit_usage(
            f"{int(failure.code)} {failure.code.name}: {file}", failure.lines
        )
    return checked.ok_value


async def _plan(
    settings: ControlSettings, configuration: Configuration
) -> None:
    store = EtcdStore(settings.store_urls)
    planned = await plan_configuration(
        store, configuration, SystemTimer().wall_time()
    )
    await store.close()
    if isinstance(planned, Err):
        _exit_failed(planned.err_value)
    plan = planned.ok_value
    print(f"against generation {plan.base_generation}")
    for headline, lines in (
        ("changes", plan.changes),
        ("effects", plan.effects),
        ("refused without --force", plan.unsafe),
    ):
        print(f"{headline}: {len(lines)}")
        for line in lines:
            print(f"  {line}")
    if plan.unsafe:
        raise SystemExit(EXIT_FAILED)


async def _change_store(
    settings: ControlSettings,
    headline: str,
    act: StoreChange,
    wait_for: Configuration | None,
    timeout_s: float,
) -> None:
    """Makes a change in the store and prints its outcome.

    With a configuration as ``wait_for``, it also waits until that is in force
    on all live members, for ``timeout_s`` seconds at most.
    """
    store = EtcdStore(settings.store_urls)
    applied = await act(store)
    await store.close()
    if isinstance(applied, Err):
        _exit_failed(applied.err_value)
    generation = applied.ok_value.generation
    print(f"{headline} generation {generation}")
    if wait_for is None:
        return
    client = HttpClient()
    outcome = await wait_outcome(
        client,
        SystemTimer(),
        settings.controller_urls,
        wait_for,
        generation,
        timeout_s,
    )
    await client.close()
    print(f"{outcome.state}: {outcome.member_count} live members")
    for line in outcome.lines:
        print(f"  {line}")
    if outcome.state is not ApplyState.DONE:
        raise SystemExit(EXIT_FAILED)


def _set_zone_state(
    zone: str, settings: str, state: ZoneState, force: bool
) -> None:
    loaded = settings_or_exit(settings, ControlSettings)

    async def act(store: EtcdStore) -> Result[Root, Failure]:
        return await set_zone_state(
            store,
            zone,
            state,
            lambda: uuid4().hex,
            force=force,
            now_s=SystemTimer().wall_time(),
        )

    # The headline also holds for a zone that was in this state before.
    headline = f"availability zone {zone} is {state} as of"
    run(_change_store, loaded, headline, act, None, 0.0)


async def _status(settings: ControlSettings) -> None:
    client = HttpClient()
    status = await read_status(client, settings.controller_urls)
    await client.close()
    for line in describe_status(status):
        print(line)
    if status.failure_by_url or not status.document_by_url:
        raise SystemExit(EXIT_FAILED)


async def _watch(settings: ControlSettings) -> None:
    client = HttpClient()
    urls = settings.controller_urls
    async for line in watch_changes(client, SystemTimer(), urls):
        print(line, flush=True)


async def _explain(settings: ControlSettings, request_id: str) -> None:
    if not settings.gateway_urls:
        code = ResultCode.SETTINGS_MALFORMED
        line = "$.gateway_urls: must not be empty for explain"
        _exit_usage(f"{int(code)} {code.name}", (line,))
    client = HttpClient()
    explanation = await explain_request(
        client, settings.gateway_urls, request_id
    )
    await client.close()
    for line in explanation.lines:
        print(line)
    for problem in explanation.problems:
        print(problem, file=sys.stderr)
    if not explanation.lines:
        detail = request_id
        if explanation.problems:
            detail += "; not all gateways answered"
        _exit_failed(Failure(ResultCode.UNKNOWN_REQUEST, detail))


def _explain_log(request_id: str, log: str, as_json: bool) -> None:
    try:
        text = sys.stdin.read() if log == "-" else Path(log).read_text()
    except (OSError, UnicodeDecodeError) as error:
        _exit_usage(f"{log}: cannot be read", (str(error),))
    found = explain_log(text.splitlines(), request_id)
    for line in found.lines:
        print(encode(line).decode() if as_json else describe_line(line))
    if found.unreadable_count:
        _print_error(f"{found.unreadable_count} lines are not JSON")
    if not found.lines:
        _exit_failed(Failure(ResultCode.UNKNOWN_REQUEST, request_id))


def _exit_usage(headline: str, lines: tuple[str, ...]) -> NoReturn:
    _print_error(headline, *lines)
    raise SystemExit(EXIT_USAGE)


def _print_error(headline: str, *lines: str) -> None:
    print(headline.rstrip(), file=sys.stderr)
    for line in lines:
        print(f"  {line}", file=sys.stderr)


def _exit_failed(failure: Failure) -> NoReturn:
    _print_error(*str(failure).splitlines())
    raise SystemExit(EXIT_FAILED)


def main(arguments: Sequence[str] | None = None) -> None:
    """Entry point of ``wasabictl``; ``None`` takes the process's arguments."""
    actions: list[Action] = []
    command = None if arguments is None else list(arguments)
    Fire(Commands(actions.append), command=command, name="wasabictl")
    try:
        for action in actions:
            action()
    except KeyboardInterrupt:
        raise SystemExit(EXIT_INTERRUPTED) from None
