"""Tests of traces, stated outcomes, their checks and the replay itself."""

from dataclasses import replace

from anyio import create_task_group
from anyio import Event
import pytest
from result import Err
from result import Ok
from result import Result

from tests.examples import example_configuration
from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import build_application
from wasabiwing.asgi import HttpRequest
from wasabiwing.asgi import HttpRoute
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import Responder
from wasabiwing.asgi import serve_http
from wasabiwing.configuration import Configuration
from wasabiwing.outcome_checks import check_outcomes
from wasabiwing.outcome_checks import Verdict
from wasabiwing.outcome_checks import VerdictState
from wasabiwing.replay import reference_errors
from wasabiwing.replay import RemoteTarget
from wasabiwing.replay import token_errors
from wasabiwing.replay_records import Arrival
from wasabiwing.replay_records import BackendRecords
from wasabiwing.replay_records import Ending
from wasabiwing.replay_records import EventRecord
from wasabiwing.replay_records import ReplayedRequest
from wasabiwing.replay_records import ReplayRecords
from wasabiwing.replay_run import Replay
from wasabiwing.settings import ReplaySettings
from wasabiwing.timers import SystemTimer
from wasabiwing.trace_format import EventAction
from wasabiwing.trace_format import parse_trace
from wasabiwing.trace_format import Trace
from wasabiwing.trace_format import TraceEvent
from wasabiwing.trace_format import TraceHeader
from wasabiwing.trace_format import TraceRequest
from wasabiwing.trace_outcomes import LatencyMeasure
from wasabiwing.trace_outcomes import LatencyShare
from wasabiwing.trace_outcomes import Outcomes
from wasabiwing.validation import parse_document
from wasabiwing_demo.replay_local import is_continued_answer
from wasabiwing_demo.replay_local import open_local_target
from wasabiwing_standins.engine import answer_text

pytestmark = pytest.mark.anyio

HEADER = b'{"kind": "header", "format": 1, "name": "test", "seed": 1}'

REQUEST = TraceRequest(
    "request", "r1", 0.0, "north-haul", "quote", 0, max_tokens=4, stream=True
)

TOKENS = {"north-haul": "demo-token-north-haul"}

RECORD = ReplayedRequest(
    id="r1",
    organisation="north-haul",
    route="quote",
    priority_class=0,
    key="",
    streamed=True,
    crashing=False,
    due_s=0.0,
    sent_s=0.0,
    ended_s=0.1,
    ending=Ending.COMPLETE,
    request_id="gateway-1",
    first_token_s=0.05,
    between_tokens_s=0.01,
    tokens=10,
)

DRAIN = TraceEvent("event", 1.0, EventAction.DRAIN_ZONE, "zone-a")
RETURN = TraceEvent("event", 9.0, EventAction.RETURN_ZONE, "zone-a")
BACKEND = BackendRecords(generated_tokens=10)


def trace_of(*requests: TraceRequest) -> Trace:
    """Returns a trace without events."""
    return Trace(TraceHeader("header", 1, "test", 1), requests, ())


def verdict(
    outcomes: Outcomes,
    *requests: ReplayedRequest,
    events: tuple[EventRecord, ...] = (),
    backend: BackendRecords | None = BACKEND,
) -> Verdict:
    """Returns the verdict on the only stated outcome."""
    records = ReplayRecords(requests, events, backend)
    return check_outcomes(outcomes, records)[1]


class TestTraceFormat:
    """All malformed lines must be reported, and none replayed."""

    def test_all_malformed_lines_are_named(self) -> None:
        lines = (
            HEADER,
            b"{",
            b'{"kind": "other"}',
            b'{"kind": "request", "id": "a", "at_s": -1}',
            b'{"kind": "event", "at_s": 1, "action": "drain_zone"}',
            b'{"kind": "event", "at_s": 1, "action": "store_down"}',
            b'{"kind": "event", "at_s": 1, "action": "explode"}',
            HEADER,
        )
        errors = parse_trace(b"\n".join(lines)).unwrap_err()
        named = {int(error.split(":")[0].split()[1]) for error in errors}
        assert named == {2, 3, 4, 5, 6, 7, 8}
        assert "line 5: $.target: needed by drain_zone" in errors
        assert "line 6: $.duration_s: needed by store_down" in errors

    def test_a_second_use_of_an_id_and_a_missing_header_are_found(
        self,
    ) -> None:
        line = (
            b'{"kind": "request", "id": "a", "at_s": 1, "organisation": "o",'
            b' "route": "r", "priority_class": 0}'
        )
        errors = parse_trace(b"\n".join((line, line))).unwrap_err()
        assert errors == [
            "line 2: $.id: 'a' is used in line 1",
            "line 1: no valid header",
        ]

    def test_unknown_names_are_found(self) -> None:
        trace = trace_of(replace(REQUEST, route="none", organisation="no"))
        found = reference_errors(
            trace, Outcomes("other"), example_configuration()
        )
        assert len(found) == 3

    def test_an_organisation_without_a_token_is_found(self) -> None:
        settings = ReplaySettings(("http://127.0.0.1:9",), "", TOKENS)
        other = replace(REQUEST, organisation="pine-gardens")
        assert token_errors(trace_of(REQUEST), settings) == []
        found = token_errors(trace_of(REQUEST, other), settings)
        assert found == ["$.token_by_organisation: no token: pine-gardens"]


class TestOutcomesFile:
    """A misspelt outcome must be reported instead of ignored."""

    def test_errors_have_their_paths(self) -> None:
        document = (
            b'{"trace": "t", "max_doubled_run": 0, "latency": [{"share": 2,'
            b' "priority_class": 0, "measure": "mean", "within_ms": 1}]}'
        )
        errors = parse_document(document, Outcomes).unwrap_err()
        paths = [error.split(":")[0] for error in errors]
        assert paths == ["$.latency[0].measure", "$.latency[0].share", "$"]


class TestOutcomeChecks:
    """Each check must report a broken guarantee as missed."""

    @pytest.mark.parametrize("measure", list(LatencyMeasure))
    def test_latency_counts_late_and_refused_requests(
        self, measure: LatencyMeasure
    ) -> None:
        stated = Outcomes("t", (LatencyShare(0, measure, 200, 0.6),))
        late = replace(
            RECORD, first_token_s=0.3, between_tokens_s=0.3, ended_s=0.3
        )
        refused = replace(RECORD, ending=Ending.REFUSED)
        other = replace(RECORD, priority_class=1)
        assert verdict(stated, RECORD, RECORD, late).state == "met"
        for bad in (late, refused):
            seen = verdict(stated, RECORD, other, bad)
            assert seen.state is VerdictState.MISSED
        assert verdict(stated, other).state is VerdictState.NOT_CHECKED

    @pytest.mark.parametrize("ending", [Ending.CUT, Ending.WRONG])
    def test_lost_and_swapped_answers_are_missed(self, ending: Ending) -> None:
        stated = Outcomes("t", max_lost_or_cut=0)
        assert verdict(stated, RECORD).state is VerdictState.MET
        seen = verdict(stated, replace(RECORD, ending=ending))
        assert seen.state is VerdictState.MISSED
        assert "gateway-1" in seen.findings[0]

    def test_deferred_jobs_without_results_are_not_passed(self) -> None:
        stated = Outcomes("t", max_lost_or_cut=0)
        seen = verdict(stated, replace(RECORD, ending=Ending.DEFERRED))
        assert seen.state is VerdictState.NOT_CHECKED

    def test_accepted_failures_are_missed_unless_excused(self) -> None:
        failed = replace(RECORD, ending=Ending.FAILED, code=208)
        stated = Outcomes("t", max_failed_accepted=0)
        assert verdict(stated, failed).state is VerdictState.MISSED
        excused = replace(stated, excused_codes=(208,))
        assert verdict(excused, failed).state is VerdictState.MET

    def test_a_second_run_of_a_key_is_missed(self) -> None:
        stated = Outcomes("t", max_doubled_runs=0)
        once = BackendRecords({"north-haul/k": 1})
        twice = BackendRecords({"north-haul/k": 2})
        assert verdict(stated, backend=once).state is VerdictState.MET
        assert verdict(stated, backend=twice).state is VerdictState.MISSED

    def test_a_refused_request_that_reached_a_server_is_missed(self) -> None:
        stated = Outcomes("t", max_false_not_run=0)
        refused = replace(RECORD, ending=Ending.REFUSED)
        keyed = replace(refused, key="k", request_id="")
        reached = BackendRecords(
            {"north-haul/k": 1}, reached_ids=frozenset(("gateway-1",))
        )
        for item in (refused, keyed):
            assert verdict(stated, item).state is VerdictState.MET
            seen = verdict(stated, item, backend=reached)
            assert seen.state is VerdictState.MISSED
        answered = replace(keyed, ending=Ending.COMPLETE)
        seen = verdict(stated, keyed, answered, backend=reached)
        assert seen.state is VerdictState.MET

    def test_tokens_generated_twice_are_missed(self) -> None:
        stated = Outcomes("t", max_generated_per_delivered=1.1)
        assert verdict(stated, RECORD).state is VerdictState.MET
        twice = replace(BACKEND, generated_tokens=20)
        seen = verdict(stated, RECORD, backend=twice)
        assert seen.state is VerdictState.MISSED

    @pytest.mark.parametrize(
        ("arrival", "state"),
        [
            (Arrival(3.9, "s", "zone-a"), VerdictState.MET),
            (Arrival(5.0, "s", "zone-a"), VerdictState.MISSED),
            (Arrival(5.0, "s", "zone-b"), VerdictState.MET),
            (Arrival(9.5, "s", "zone-a"), VerdictState.MET),
        ],
    )
    def test_new_work_in_a_drained_zone_is_missed(
        self, arrival: Arrival, state: VerdictState
    ) -> None:
        events = (EventRecord(DRAIN, 1.0, 1.0), EventRecord(RETURN, 9.0, 9.0))
        backend = BackendRecords(arrivals=(arrival,))
        stated = Outcomes("t", drain_silence_s=3)
        seen = verdict(stated, events=events, backend=backend)
        assert seen.state is state

    def test_without_the_servers_records_nothing_is_passed(self) -> None:
        stated = Outcomes(
            "t",
            max_doubled_runs=0,
            max_false_not_run=0,
            max_generated_per_delivered=1.1,
            drain_silence_s=3,
        )
        events = (EventRecord(DRAIN, 1.0, None, "refused"),)
        verdicts = check_outcomes(
            stated, ReplayRecords((RECORD,), events, None)
        )
        assert len(verdicts) == 5
        for item in verdicts:
            assert item.state is VerdictState.NOT_CHECKED


class _FaultyTarget(RemoteTarget):
    """Refuses all events and records them."""

    def __init__(self, url: str, configuration: Configuration) -> None:
        super().__init__(ReplaySettings((url,), "", TOKENS), configuration)
        self.asked: list[EventAction] = []

    async def perform(self, event: TraceEvent) -> Result[None, str]:
        self.asked.append(event.action)
        return Err("refused")


class TestAnswers:
    """Swapped and shortened answers must not count as correct."""

    def test_only_continued_completions_may_change_their_prompt(self) -> None:
        whole = answer_text("p", 9)
        begin = answer_text("p", 4)
        continued = begin + answer_text("p" + begin, 5)
        assert is_continued_answer("p", 9, whole, 0)
        assert is_continued_answer("p", 9, continued, 2)
        assert not is_continued_answer("p", 9, continued, 0)
        for wrong in (begin, answer_text("q", 9), whole + begin):
            assert not is_continued_answer("p", 9, wrong, 2)


class TestReplay:
    """Replays against a slow system and against a local deployment."""

    async def test_a_system_that_answers_nothing_does_not_slow_arrivals(
        self,
    ) -> None:
        arrived: list[str] = []
        release = Event()

        async def call(request: HttpRequest, responder: Responder) -> None:
            arrived.append(request.path)
            if len(arrived) == 30:
                release.set()
            # No answer comes before the last request has arrived.
            await release.wait()
            await responder.send_json(200, {})

        async def health(request: HttpRequest, responder: Responder) -> None:
            await responder.send_json(200, {})

        application = build_application(
            (HttpRoute("GET", "/healthz", health),), call, lambda: 10_000
        )
        trace = trace_of(
            *(
                replace(REQUEST, id=f"r{number}", at_s=number / 100)
                for number in range(30)
            )
        )
        trace = replace(trace, events=(DRAIN,))
        async with create_task_group() as tasks:
            listener = bind_listener("127.0.0.1", 0)
            tasks.start_soon(serve_http, application, listener, Event())
            target = _FaultyTarget(
                f"http://{listener_address(listener)}", example_configuration()
            )
            replay = Replay(trace, target, SystemTimer(), lambda _: None)
            records = await replay.run()
            tasks.cancel_scope.cancel()
        endings = [item.ending for item in records.requests]
        assert endings == [Ending.COMPLETE] * 30
        assert target.asked == [EventAction.DRAIN_ZONE]
        assert records.events[0].accepted_s is None
        assert records.backend is None

    async def test_a_short_local_replay_meets_its_outcomes(self) -> None:
        keyed = replace(
            REQUEST,
            id="keyed",
            route="book-drop",
            body="{}",
            key="k",
            stream=False,
        )
        events = (replace(DRAIN, at_s=0.2, target="great-lakes-c"),)
        trace = replace(
            trace_of(REQUEST, keyed, replace(keyed, id="again", at_s=0.5)),
            events=events,
        )
        async with open_local_target(example_configuration(), trace) as target:
            replay = Replay(trace, target, SystemTimer(), lambda _: None)
            records = await replay.run()
            assert isinstance(await target.perform(RETURN), Err)
            restored = replace(RETURN, target="great-lakes-c")
            assert isinstance(await target.perform(restored), Ok)
        assert [item.ending for item in records.requests] == [
            Ending.COMPLETE
        ] * 3
        stated = Outcomes(
            "test",
            max_doubled_runs=0,
            max_lost_or_cut=0,
            max_false_not_run=0,
            max_generated_per_delivered=1.0,
            drain_silence_s=3,
        )
        for item in check_outcomes(stated, records):
            assert item.state is VerdictState.MET, item
