"""Tests of explaining a request's end from collected logs."""

from pathlib import Path
from re import findall

from msgspec.json import encode
import pytest
from pytest import MonkeyPatch

from wasabiwing.codes import EXIT_USAGE
from wasabiwing.ctl import EXIT_FAILED
from wasabiwing.ctl import main
from wasabiwing.events import Event
from wasabiwing.explain_log import describe_line
from wasabiwing.explain_log import explain_log

ROOT = Path(__file__).parent.parent


def line(
    event: Event, at: float, node: str = "node-1", **fields: object
) -> str:
    """Returns a log line."""
    return encode(
        {"event": int(event), "node": node, "timestamp": at, **fields}
    ).decode()


class TestExplainLog:
    """Choice and order of the lines shown."""

    def test_lines_of_a_request_come_from_all_nodes_in_order(self) -> None:
        found = explain_log(
            [
                line(Event.REQUEST_REFUSED, 12.0, "node-2", request="r1"),
                line(Event.ROUTE_DECISION, 11.0, request="r1", server="s1"),
                line(Event.ROUTE_DECISION, 11.5, request="r2", server="s1"),
            ],
            "r1",
        )
        assert [item["timestamp"] for item in found.lines] == [11.0, 12.0]

    def test_context_is_what_these_nodes_knew_of_these_servers(self) -> None:
        found = explain_log(
            [
                line(Event.SERVER_LEAVING, 9.0, server="s1"),
                line(Event.SERVER_LEAVING, 9.0, server="s2"),
                line(Event.SERVER_LEAVING, 9.0, "node-2", server="s1"),
                line(Event.CONFIGURATION_IN_FORCE, 8.0, version=3),
                line(Event.CONFIGURATION_IN_FORCE, 1.0, version=2),
                line(Event.ROUTE_DECISION, 10.0, request="r1", server="s1"),
                line(Event.DEPENDENCY_LOST, 11.0, dependency="store"),
            ],
            "r1",
        )
        events = [item["event"] for item in found.lines]
        assert events == [
            int(Event.CONFIGURATION_IN_FORCE),
            int(Event.SERVER_LEAVING),
            int(Event.ROUTE_DECISION),
        ]

    def test_crashes_under_the_same_content_are_shown_from_all_nodes(
        self,
    ) -> None:
        refused = {"request": "r9", "digest": "d1", "code": "QUARANTINED"}
        found = explain_log(
            [
                line(Event.SERVER_CRASHED, 1.0, request="r1", digest="d1"),
                line(Event.SERVER_CRASHED, 1.5, request="r2", digest="d2"),
                line(Event.REQUEST_QUARANTINED, 2.0, "node-2", digest="d1"),
                line(Event.REQUEST_REFUSED, 90.0, "node-3", **refused),
            ],
            "r9",
        )
        assert [item["timestamp"] for item in found.lines] == [1.0, 2.0, 90.0]

    def test_prefixes_and_broken_lines_do_no_harm(self) -> None:
        text = line(Event.REQUEST_FINISHED, 5.0, request="r1")
        found = explain_log(["plain", f"12.0 node-1 {text}", "{x"], "r1")
        assert len(found.lines) == 1
        assert found.unreadable_count == 1

    def test_unknown_request_has_no_lines(self) -> None:
        assert explain_log([], "r1").lines == ()

    def test_line_for_people(self) -> None:
        text = line(
            Event.REQUEST_REFUSED,
            5.25,
            request="r1",
            detail="a b",
            offers=1,
            message_type="request_refused",
        )
        found = explain_log([text], "r1")
        assert describe_line(found.lines[0]) == (
            "5.250 node-1 request_refused request=r1 detail=a b offers=1"
        )


class TestOperatorsPage:
    """Commands of ``docs/OPERATIONS.md``, run as the page shows them."""

    def test_each_command_prints_the_lines_shown(
        self, capsys: pytest.CaptureFixture[str], monkeypatch: MonkeyPatch
    ) -> None:
        monkeypatch.chdir(ROOT)
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        sections = findall(
            r"(?s)    wasabictl (explain-log \w+ --log examples\S+)\n(.*?)"
            r"(?=\n##|\n    wasabictl)",
            page,
        )
        assert len(sections) == 3
        for command, text in sections:
            main(command.split())
            printed = capsys.readouterr().out
            shown = "\n".join(findall(r"(?m)^    +(\S.*)$", text)).split()
            assert shown
            for word in shown:
                assert word in printed.split(), word

    def test_unknown_id_is_an_error(self, monkeypatch: MonkeyPatch) -> None:
        monkeypatch.chdir(ROOT)
        log = "examples/node-logs/three-failures.jsonl"
        with pytest.raises(SystemExit) as ended:
            main(["explain-log", "nothing", "--log", log])
        assert ended.value.code == EXIT_FAILED

    def test_missing_file_is_a_usage_error(self) -> None:
        with pytest.raises(SystemExit) as ended:
            main(["explain-log", "r1", "--log", "no-such-file"])
        assert ended.value.code == EXIT_USAGE
