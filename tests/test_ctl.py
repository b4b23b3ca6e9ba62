"""Tests of ``wasabictl``: its commands against a running deployment."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextlib import redirect_stderr
from contextlib import redirect_stdout
from dataclasses import dataclass
from functools import partial
from io import StringIO
from pathlib import Path
from typing import Any

from anyio.to_thread import run_sync
from msgspec.json import decode
from msgspec.json import encode
import pytest

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import EXAMPLES
from tests.examples import running_deployment
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import encode_configuration
from wasabiwing.configuration import ZoneState
from wasabiwing.ctl import main
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import read_stored
from wasabiwing.operations import StoredConfiguration
from wasabiwing_demo.deployment import LocalDeployment

pytestmark = pytest.mark.anyio

ZONE = "great-lakes-a"


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit status and output of a command."""

    status: object
    out: str
    err: str


def _run(arguments: tuple[str, ...]) -> CommandResult:
    out = StringIO()
    err = StringIO()
    status: object = 0
    with redirect_stdout(out), redirect_stderr(err):
        try:
            main(arguments)
        except SystemExit as exited:
            status = exited.code
    return CommandResult(status, out.getvalue(), err.getvalue())


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator who runs commands against a deployment."""

    deployment: LocalDeployment
    folder: Path
    settings: str

    async def ctl(self, *arguments: str) -> CommandResult:
        """Runs a command that talks to the cluster."""
        return await run_sync(
            _run, (*arguments, f"--settings={self.settings}")
        )

    async def stored(self) -> StoredConfiguration:
        """Returns the newest configuration in the store."""
        store = EtcdStore((self.deployment.store.url,))
        stored = (await read_stored(store)).unwrap()
        await store.close()
        assert stored is not None
        return stored

    def write(self, document: bytes) -> str:
        """Writes a configuration file and returns its path."""
        path = self.folder / "configuration.json"
        path.write_bytes(document)
        return str(path)

    async def changed_file(self, **fields: Any) -> str:
        """Writes the stored configuration with other top-level values."""
        document = _document((await self.stored()).configuration)
        return self.write(encode({**document, **fields}))


def _document(configuration: Configuration) -> dict[str, Any]:
    return decode(encode_configuration(configuration), type=dict[str, Any])


@asynccontextmanager
async def running_operator(folder: Path) -> AsyncIterator[Operator]:
    """Runs two entry VMs with generation 1 in force."""
    async with running_deployment(example_configuration()) as deployment:
        path = folder / "wasabictl.json"
        path.write_bytes(
            encode(
                {
                    "store_urls": [deployment.store.url],
                    "controller_urls": [
                        f"http://{vm.controller.http}" for vm in deployment.vms
                    ],
                    "gateway_urls": [vm.url for vm in deployment.vms],
                }
            )
        )
        yield Operator(deployment, folder, str(path))


class TestCheck:
    """Invalid files are refused with all their errors and status 2."""

    def test_a_valid_file_is_summarized(self) -> None:
        result = _run(
            ("check", str(EXAMPLES / "lakeshore" / "configuration.json"))
        )
        assert result.status == 0
        assert "valid; 2 pools" in result.out

    def test_each_invalid_file_has_its_own_error(self, tmp_path: Path) -> None:
        """Guards against a standard error stream that is bound at import."""
        document = _document(example_configuration())
        routes = [{**document["routes"][0], "pool": "none"}]
        cases = (
            (b'{"name":', "300 CONFIGURATION_MALFORMED", "not valid JSON"),
            (encode({**document, "colour": 1}), "300", "'colour' was unexp"),
            (encode({**document, "routes": routes}), "301", "unknown pool"),
        )
        path = tmp_path / "file.json"
        for content, code, text in cases:
            path.write_bytes(content)
            result = _run(("check", str(path)))
            assert result.status == 2
            assert result.err.startswith(code)
            assert text in result.err
            assert result.out == ""
        missing = _run(("check", str(tmp_path / "missing.json")))
        assert missing.status == 2
        assert "601 USAGE" in missing.err
        assert "No such file" in missing.err

    def test_names_that_look_like_numbers_stay_text(self) -> None:
        """Guards against Fire, which parses ``1e3`` as 1000.0."""
        assert "601 USAGE: 1e3: No such" in _run(("check", "1e3")).err


class TestChanges:
    """Plans and changes of the configuration."""

    async def test_plan_writes_nothing_and_apply_waits(
        self, tmp_path: Path
    ) -> None:
        async with running_operator(tmp_path) as operator:
            file = await operator.changed_file(max_body_bytes=4321)
            plan = await operator.ctl("plan", file)
            assert plan.status == 0
            assert "against generation 1" in plan.out
            assert "$.max_body_bytes: " in plan.out
            assert (await operator.stored()).root.root.generation == 1
            applied = await operator.ctl("apply", file, "--base=1", "--wait")
            assert applied.status == 0, applied.err
            assert applied.out.startswith("accepted as generation 2\ndone: ")
            stored = await operator.stored()
            assert stored.configuration.max_body_bytes == 4321
            status = await operator.ctl("status")
            assert status.status == 0
            for vm in operator.deployment.vms:
                line = f"{vm.availability_zone} {vm.name}-controller: "
                assert line + "generation 2 " in status.out

    async def test_errors_change_nothing_and_say_why(
        self, tmp_path: Path
    ) -> None:
        async with running_operator(tmp_path) as operator:
            before = await operator.stored()
            routes = [
                {**route, "pool": "none"}
                for route in _document(before.configuration)["routes"]
            ]
            changed: dict[str, Any] = {"max_body_bytes": 4321}
            cases: tuple[tuple[dict[str, Any], str, int, str], ...] = (
                (changed, "--base=7", 1, "303 CONFIGURATION_CONFLICT"),
                ({"pools": [], "routes": []}, "--wait", 1, "302 CONFIG"),
                ({"colour": 1}, "--wait", 2, "300 CONFIGURATION_MALFORMED"),
                ({"routes": routes}, "--wait", 2, "301 CONFIGURATION_REF"),
                (changed, "--base=x", 2, "601 USAGE: --base expects int"),
                (changed, "--wait=false", 2, "601 USAGE: --wait expects"),
                # Fire calls a command before it finds a misspelt option.
                (changed, "--bsae=7", 2, "ERROR: Could not consume arg"),
            )
            for fields, option, status, text in cases:
                file = await operator.changed_file(**fields)
                result = await operator.ctl("apply", file, option)
                assert result.status == status, (option, result)
                assert result.err.startswith(text)
                assert result.out == ""
            malformed = await operator.ctl("apply", operator.write(b"{"))
            assert malformed.status == 2
            assert "not valid JSON" in malformed.err
            file = await operator.changed_file(**changed)
            await operator.deployment.store.set_down(True)
            result = await operator.ctl("apply", file)
            assert result.status == 1
            assert result.err.startswith("400 STORE_UNAVAILABLE")
            await operator.deployment.store.set_down(False)
            assert await operator.stored() == before

    async def test_a_plan_of_an_unsafe_change_fails(
        self, tmp_path: Path
    ) -> None:
        async with running_operator(tmp_path) as operator:
            file = await operator.changed_file(pools=[], routes=[])
            plan = await operator.ctl("plan", file)
            assert plan.status == 1
            assert "refused without --force: 2" in plan.out


class TestZones:
    """Draining an availability zone and bringing it back."""

    async def test_a_zone_is_drained_and_returned(
        self, tmp_path: Path
    ) -> None:
        async with running_operator(tmp_path) as operator:
            cases = (
                ("drain-zone", ZoneState.DRAINED, 2),
                # A repeated drain makes no new generation.
                ("drain-zone", ZoneState.DRAINED, 2),
                ("return-zone", ZoneState.ACTIVE, 3),
            )
            for command, state, generation in cases:
                result = await operator.ctl(command, ZONE)
                assert result.status == 0, result.err
                assert result.out == (
                    f"availability zone {ZONE} is {state} as of generation"
                    f" {generation}\n"
                )
                zones = (await operator.stored()).configuration
                assert zones.availability_zones[0].state is state
            unknown = await operator.ctl("drain-zone", "nowhere")
            assert unknown.status == 1
            assert "unknown availability zone 'nowhere'" in unknown.err
            assert (await operator.stored()).root.root.generation == 3


class TestExplain:
    """Tests of ``explain``: the decisions on a request."""

    async def test_a_request_is_explained_and_an_unknown_one_is_not(
        self, tmp_path: Path
    ) -> None:
        async with running_operator(tmp_path) as operator:
            vm = operator.deployment.vms[0]
            client = HttpClient()
            reply = await Caller(client).chat(vm, "text")
            await client.close()
            request_id = dict(reply.headers)[b"x-request-id"].decode()
            explained = await operator.ctl("explain", request_id)
            assert explained.status == 0
            assert f"{vm.name}-gateway ROUTE_DECISION" in explained.out
            unknown = await operator.ctl("explain", "gateway-0123")
            assert unknown.status == 1
            assert unknown.err.startswith("106 UNKNOWN_REQUEST")


class TestUnreachable:
    """Invalid settings, unreachable processes, and interrupts."""

    def test_an_interrupt_ends_without_a_traceback(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a traceback: only Ctrl-C ends ``watch``."""

        async def interrupted(*_: object) -> AsyncIterator[str]:
            yield "first line"
            raise KeyboardInterrupt

        monkeypatch.setattr("wasabiwing.ctl.watch_changes", interrupted)
        path = tmp_path / "wasabictl.json"
        path.write_bytes(b'{"store_urls": [], "controller_urls": []}')
        result = _run(("watch", f"--settings={path}"))
        assert result == CommandResult(130, "first line\n", "")

    def test_explain_says_when_it_could_not_ask_the_gateways(
        self, tmp_path: Path
    ) -> None:
        """Guards against "unknown request" if gateways did not answer."""
        path = tmp_path / "wasabictl.json"
        document: dict[str, Any] = {"store_urls": [], "controller_urls": []}
        path.write_bytes(encode(document))
        command = ("explain", "a-1", f"--settings={path}")
        result = _run(command)
        assert result.status == 2
        assert "$.gateway_urls: must not be empty" in result.err
        document["gateway_urls"] = ["http://127.0.0.1:9"]
        path.write_bytes(encode(document))
        result = _run(command)
        assert result.status == 1
        assert "a-1; not all gateways answered" in result.err

    async def test_status_without_controllers_fails(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "wasabictl.json"
        closed = ["http://127.0.0.1:9"]
        path.write_bytes(
            encode({"store_urls": closed, "controller_urls": closed})
        )
        command = ("status", f"--settings={path}")
        result = await run_sync(partial(_run, command))
        assert result.status == 1
        assert "http://127.0.0.1:9: no answer" in result.out

    def test_bad_settings_are_reported_with_paths(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "wasabictl.json"
        path.write_bytes(b'{"store_url": []}')
        result = _run(("status", f"--settings={path}"))
        assert result.status == 2
        assert result.err.startswith("600 SETTINGS_MALFORMED")
        assert "$: " in result.err
