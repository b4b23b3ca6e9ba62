"""Tests of the programs' settings files."""

from dataclasses import fields
from pathlib import Path
from re import findall
from re import split

from msgspec.json import decode
from msgspec.json import encode
import pytest
from result import Err
from result import Result

from tests.examples import EXAMPLES
from wasabiwing.settings import ControllerSettings
from wasabiwing.settings import ControlSettings
from wasabiwing.settings import GatewaySettings
from wasabiwing.settings import load_settings
from wasabiwing.settings import settings_or_exit

DOCS = Path(__file__).parent.parent / "docs"

PROGRAMS = [
    ("wasabiwing-gateway", "gateway", GatewaySettings),
    ("wasabiwing-controller", "controller", ControllerSettings),
    ("wasabictl", "wasabictl", ControlSettings),
]


class TestSettings:
    """Loading and validation of settings files."""

    @pytest.mark.parametrize("deployment", ["lakeshore", "granite-hollow"])
    @pytest.mark.parametrize(("program", "name", "kind"), PROGRAMS)
    def test_examples_are_valid(
        self, deployment: str, program: str, name: str, kind: type
    ) -> None:
        loaded: Result[object, list[str]] = load_settings(
            EXAMPLES / deployment / f"{name}.json", kind
        )
        assert loaded.is_ok(), (program, loaded)

    def test_every_wrong_field_is_named_and_the_program_exits_with_2(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        text = (EXAMPLES / "lakeshore" / "gateway.json").read_bytes()
        document = decode(text, type=dict[str, object])
        document["listen_port"] = "http"
        document["colour"] = "red"
        del document["node_id"]
        path = tmp_path / "gateway.json"
        path.write_bytes(encode(document))
        with pytest.raises(SystemExit) as ended:
            settings_or_exit(str(path), GatewaySettings)
        assert ended.value.code == 2
        text_out = capsys.readouterr().err
        assert "$.listen_port: expected integer, got str" in text_out
        assert "'colour' was unexpected" in text_out
        assert "'node_id' is a required property" in text_out

    def test_a_gateway_closes_its_port_before_it_is_killed(
        self, tmp_path: Path
    ) -> None:
        text = (EXAMPLES / "lakeshore" / "gateway.json").read_bytes()
        document = decode(text, type=dict[str, object])
        document.update(stop_grace_s=5.0, kill_grace_s=5.0)
        path = tmp_path / "gateway.json"
        path.write_bytes(encode(document))
        loaded = load_settings(path, GatewaySettings)
        assert loaded == Err(["$: kill_grace_s must exceed stop_grace_s"])

    def test_a_missing_file_is_named(self, tmp_path: Path) -> None:
        loaded = load_settings(tmp_path / "none.json", GatewaySettings)
        assert isinstance(loaded, Err)
        assert "none.json" in loaded.err_value[0]

    @pytest.mark.parametrize(("program", "name", "kind"), PROGRAMS)
    def test_every_setting_is_documented(
        self, program: str, name: str, kind: type
    ) -> None:
        text = (DOCS / "settings.md").read_text()
        section = split(rf"## {program}\n", text)[1].split("\n## ")[0]
        documented = findall(r"(?m)^\| `(\w+)` \|", section)
        assert documented == [field.name for field in fields(kind)]
