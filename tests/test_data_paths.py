"""Tests that gateway and node apply the same rules by the same modules."""

from ast import ImportFrom
from ast import parse
from ast import walk
from pathlib import Path
from re import findall
from re import MULTILINE

import pytest

ROOT = Path(__file__).parent.parent
PROGRAMS = ("gateway", "node")

# Heading in docs/modules.md of a table with the module that decides on each
# rule.
HEADING = "## Rules of both data paths"


def rules() -> list[tuple[str, str]]:
    """Returns each rule with the module that decides on it."""
    text = (ROOT / "docs" / "modules.md").read_text()
    table = text.partition(HEADING)[2].partition("\n## ")[0]
    return findall(r"^\| ([a-z][^|]*) \| `(\w+)` \|", table, flags=MULTILINE)


def imported_by(program: str) -> set[str]:
    """Returns the modules that a program imports directly or indirectly."""
    found: set[str] = set()
    pending = [program]
    while pending:
        module = pending.pop()
        path = ROOT / "wasabiwing" / f"{module}.py"
        if module in found or not path.exists():
            continue
        found.add(module)
        for item in walk(parse(path.read_text())):
            if isinstance(item, ImportFrom) and item.module:
                pending.append(item.module.removeprefix("wasabiwing."))
    return found


class TestRules:
    """The rules that callers and backend servers rely on."""

    @pytest.mark.parametrize("program", PROGRAMS)
    @pytest.mark.parametrize(
        ("rule", "module"),
        [pytest.param(*rule, id=rule[1]) for rule in rules()],
    )
    def test_no_rule_is_kept_by_one_data_path_only(
        self, rule: str, module: str, program: str
    ) -> None:
        """Guards against a rule that only the gateway or the node applies."""
        assert module in imported_by(program), rule

    def test_table_is_read(self) -> None:
        assert ("requests that crash servers", "quarantine") in rules()
