"""Tests that the documents agree with the code and the repository."""

from ast import get_docstring
from ast import parse as parse_module
from dataclasses import Field
from dataclasses import fields
from dataclasses import is_dataclass
from dataclasses import MISSING
from inspect import getmembers
from inspect import isclass
from inspect import signature
from pathlib import Path
from re import findall
from re import split
from typing import Any

from msgspec.json import encode
import pytest
from result import Ok

from wasabiwing import configuration
from wasabiwing import settings
from wasabiwing.codes import ResultCode
from wasabiwing.controller_http import NoticeDocument
from wasabiwing.ctl import Commands
from wasabiwing.validation import parse_document

ROOT = Path(__file__).parent.parent
OPERATORS = ROOT / "docs" / "operators"
PAGES = sorted((*ROOT.glob("docs/**/*.md"), ROOT / "README.md"))

# Folders whose files the documents refer to by path.
FOLDERS = (
    "docs|examples|tests|benchmarks|platform|deploy"
    "|wasabiwing(?:_demo|_standins|_soak)?"
)

each_page = pytest.mark.parametrize(
    "page", PAGES, ids=lambda page: str(page.relative_to(ROOT))
)


def data_classes(module: object) -> dict[str, type[Any]]:
    """Returns the data classes that a module defines, by name."""
    return {
        name: kind
        for name, kind in getmembers(module, isclass)
        if is_dataclass(kind)
        and kind.__module__ == getattr(module, "__name__")
    }


def default_text(item: Field[Any]) -> str:
    """Returns a field's default as the reference shows it."""
    value = item.default
    if item.default_factory is not MISSING:
        value = item.default_factory()
    return "" if value is MISSING else f"`{encode(value).decode()}`"


class TestConfigurationReference:
    """``docs/operators/configuration.md`` against the data classes."""

    def test_every_field_is_listed_with_its_default(self) -> None:
        """Guards against fields that are added, renamed or removed."""
        text = (OPERATORS / "configuration.md").read_text()
        parts = split(r"(?m)^### `(\w+)`$", text)[1:]
        listed = {
            name: findall(r"(?m)^\| `(\w+)` \| (\S*) ?\|", body)
            for name, body in zip(parts[::2], parts[1::2], strict=True)
        }
        assert listed == {
            name: [(item.name, default_text(item)) for item in fields(kind)]
            for name, kind in data_classes(configuration).items()
        }


class TestAlerts:
    """``docs/operators/alerts.md`` against the metrics and codes."""

    text = (OPERATORS / "alerts.md").read_text()

    def test_every_metric_has_a_row(self) -> None:
        declared = {
            name
            for path in ROOT.glob("wasabiwing/*.py")
            for name in findall(
                r'\b(?:Counter|Gauge|Histogram|Summary)\(\s*"(\w+)"',
                path.read_text(),
            )
        }
        listed = findall(r"(?m)^\| `(wasabiwing_\w+)` \|", self.text)
        assert sorted(listed) == sorted(declared)
        assert declared

    def test_every_result_code_has_one_row(self) -> None:
        rows = findall(r"(?m)^\| (\d+) \| `(\w+)` \|", self.text)
        assert rows == [(str(int(code)), code.name) for code in ResultCode]

    def test_codes_marked_unused_are_not_produced(self) -> None:
        """Guards against a code that is marked as unused after it is produced.

        The gateway's table of HTTP statuses names codes without producing
        them.
        """
        produced = "".join(
            path.read_text()
            for path in ROOT.glob("wasabiwing/*.py")
            if path.name not in ("codes.py", "gateway_http.py")
        )
        unused = findall(
            r"(?m)^\| \d+ \| `(\w+)` \| [^|]*unused \|", self.text
        )
        used = set(findall(r"\bResultCode\.(\w+)", produced))
        assert used.isdisjoint(unused)
        assert unused


class TestCommands:
    """Commands of ``wasabictl`` in the documents."""

    @each_page
    def test_commands_exist_with_their_options(self, page: Path) -> None:
        text = page.read_text().replace("\\\n", " ")
        for name, rest in findall(
            r"(?m)(?:`|^ {4})wasabictl ([\w-]+)([^`\n]*)", text
        ):
            command = getattr(Commands, name.replace("-", "_"), None)
            assert command is not None, name
            known = signature(command).parameters
            for option in findall(r"--([\w-]+)", rest):
                assert option.replace("-", "_") in known, (name, option)

    def test_options_in_the_text_exist(self) -> None:
        known = {
            parameter
            for name, command in getmembers(Commands, callable)
            if not name.startswith("_")
            for parameter in signature(command).parameters
        }
        for page in OPERATORS.glob("*.md"):
            for option in findall(r"`--([\w-]+)", page.read_text()):
                assert option.replace("-", "_") in known, (page, option)


class TestPaths:
    """Links and paths that the documents name."""

    @each_page
    def test_links_and_paths_exist(self, page: Path) -> None:
        text = page.read_text()
        links = findall(r"\]\((?!\w+:)([^)#]+)", text)
        missing = [link for link in links if not (page.parent / link).exists()]
        paths = findall(rf"`((?:{FOLDERS})/[\w./-]*)`", text)
        missing += [path for path in paths if not (ROOT / path).exists()]
        assert missing == []


class TestJsonBlocks:
    """JSON examples in the documents."""

    @each_page
    def test_blocks_match_a_data_class(self, page: Path) -> None:
        kinds = (
            *data_classes(configuration).values(),
            *data_classes(settings).values(),
            NoticeDocument,
        )
        text = page.read_text()
        blocks = findall(r"(?s)```json\n(.*?)```", text)
        blocks += findall(r"-d '(\{.*\})'", text)
        for block in blocks:
            document = block.encode()
            assert any(
                isinstance(parse_document(document, kind), Ok)
                for kind in kinds
            ), block


class TestModules:
    """``docs/modules.md`` against the docstrings of the modules."""

    @pytest.mark.parametrize(
        "folder",
        [
            "wasabiwing",
            "wasabiwing_demo",
            "wasabiwing_standins",
            "benchmarks",
            "platform/wasabiwing_platform",
            "platform/wasabiwing_platform_standins",
            "wasabiwing_soak",
        ],
    )
    def test_every_module_has_a_row_with_its_summary(
        self, folder: str
    ) -> None:
        package = Path(folder).name
        text = (ROOT / "docs" / "modules.md").read_text()
        section = text.split(f"## {package}\n")[1].split("\n## ")[0]
        rows = findall(r"(?m)^\| `(\w+)` \| (.+) \|$", section)
        expected = []
        for path in sorted((ROOT / folder).glob("*.py")):
            if path.stem != "__init__":
                docstring = get_docstring(parse_module(path.read_text())) or ""
                summary = docstring.split("\n\n")[0].replace("\n", " ")
                expected.append((path.stem, summary))
        assert rows == expected
