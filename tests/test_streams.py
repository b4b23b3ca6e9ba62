"""Tests that callers get complete answers when streams break."""

from functools import partial

from anyio import create_task_group
from anyio import fail_after
from anyio import sleep
import pytest

from tests.examples import Caller
from tests.examples import chat_text
from tests.examples import error_of
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.stream_caller import recomputed_tokens
from tests.stream_caller import send_reclaim_notice
from tests.stream_caller import slow_engines
from tests.stream_caller import StreamCaller
from tests.stream_caller import wait_gateways_known
from wasabiwing.answer_log import AnswerLog
from wasabiwing.http_client import HttpClient
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing_standins.engine import answer_text

pytestmark = pytest.mark.anyio

CONFIGURATION = example_configuration()

# This policy sends the first request to the server with the lowest id, so
# that a test knows on which engine to cause a fault.
running = partial(
    running_deployment, routing_policy=RoutingPolicy.LEAST_OUTSTANDING
)


class TestBrokenEngineStreams:
    """Breaks between the gateway and an engine."""

    async def test_a_cut_stream_is_resumed_at_its_engine(self) -> None:
        """Guards against recomputing tokens that the engine still has."""
        async with running(CONFIGURATION, 1) as deployment:
            for engine in deployment.engine_by_id.values():
                engine.faults.cut_after = 7
            reply = await Caller(HttpClient()).chat(deployment.vms[0], "drop")
            assert chat_text(reply) == answer_text("drop", 20)
            engines = deployment.engine_by_id.values()
            assert sum(len(engine.request_ids) for engine in engines) == 1
            assert await recomputed_tokens(deployment.vms[0], "cut") == 0

    async def test_a_stream_without_marker_is_rerun_and_counted(self) -> None:
        """Guards against taking a stream without marker for complete."""
        async with running(CONFIGURATION, 1) as deployment:
            deployment.engine_by_id["model-1"].faults.end_early_after = 5
            reply = await Caller(HttpClient()).chat(deployment.vms[0], "drop")
            assert chat_text(reply) == answer_text("drop", 20)
            assert await recomputed_tokens(deployment.vms[0], "cut") > 5

    async def test_only_the_marker_missing_adds_no_token(self) -> None:
        """Guards against a rerun that asks for one token too many."""
        async with running(CONFIGURATION, 1) as deployment:
            engine = deployment.engine_by_id["model-1"]
            engine.faults.crash_after = 19
            reply = await Caller(HttpClient()).chat(deployment.vms[0], "drop")
            assert chat_text(reply) == answer_text("drop", 20)

    async def test_a_stalled_stream_continues_elsewhere(self) -> None:
        """Guards against waiting for an engine that stays silent."""
        async with running(
            CONFIGURATION, 1, stream_silence_s=0.2
        ) as deployment:
            stalled = deployment.engine_by_id["model-1"]
            stalled.faults.stall_after = 6
            reply = await Caller(HttpClient()).chat(deployment.vms[0], "drop")
            assert chat_text(reply) == answer_text("drop", 20)
            assert await recomputed_tokens(deployment.vms[0], "stall") > 6
            assert stalled.cancelled_ids

    async def test_a_silent_stream_that_nothing_can_continue_waits(
        self,
    ) -> None:
        """Guards against an answer that ends because its engine is silent."""
        async with running(
            CONFIGURATION, 1, stream_silence_s=0.2
        ) as deployment:
            engines = deployment.engine_by_id.values()
            for engine in engines:
                engine.faults.stall_after = 3
            async with create_task_group() as tasks:

                async def go_on() -> None:
                    await sleep(3.0)
                    for engine in engines:
                        engine.faults.stall_after = None

                tasks.start_soon(go_on)
                reply = await Caller(HttpClient()).chat(
                    deployment.vms[0], "drop"
                )
            assert chat_text(reply) == answer_text("drop", 20)

    async def test_a_crash_in_mid_answer_continues_elsewhere(self) -> None:
        """Guards against losing the answer with its engine."""
        async with running(CONFIGURATION, 1) as deployment:
            deployment.engine_by_id["model-1"].faults.crash_after = 8
            reply = await Caller(HttpClient()).chat(deployment.vms[0], "drop")
            assert chat_text(reply) == answer_text("drop", 20)
            assert await recomputed_tokens(deployment.vms[0], "crash") > 7

    async def test_crossed_replies_reach_no_caller(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against answering one caller with another's stream."""
        events: list[str] = []
        monkeypatch.setattr(
            "wasabiwing.attempt_reader.log_event",
            lambda event, node, **fields: events.append(event.name),
        )
        async with running(CONFIGURATION, 1) as deployment:
            for name in ("model-1", "model-2"):
                deployment.engine_by_id[name].faults.cross_replies = True
            caller = Caller(HttpClient())
            for text in ("first", "second", "third"):
                reply = await caller.chat(deployment.vms[0], text)
                assert chat_text(reply) == answer_text(text, 20)
            assert "STALE_REPLY_DROPPED" in events

    def test_a_late_reply_of_an_earlier_attempt_is_not_appended(self) -> None:
        """Guards against two attempts that mix their events."""
        answer = AnswerLog("request")
        answer.current_attempt = 1
        assert answer.append([b"one"], 1)
        answer.current_attempt = 2
        assert not answer.append([b"late"], 1)
        assert answer.append([b"two"], 2)
        assert answer.payloads == (b"one", b"two")


class TestCallers:
    """Callers that resume, leave or run out of time."""

    async def test_a_caller_resumes_through_every_gateway(self) -> None:
        """Guards against request ids that only one entry VM knows."""
        async with running(CONFIGURATION, 3) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment)
            caller = StreamCaller()
            first, second, third = deployment.vms
            await caller.open(first, "stones", 60, stop_after=5)
            await caller.resume(second, stop_after=20)
            assert not caller.ended
            await caller.resume(third)
            assert caller.ended
            assert caller.text == answer_text("stones", 60)

    async def test_another_organisation_cannot_read_an_answer(self) -> None:
        async with running(CONFIGURATION, 1) as deployment:
            caller = StreamCaller()
            await caller.open(deployment.vms[0], "stones", 5)
            other = Caller(HttpClient(), "bay-landscaping")
            reply = await other.send(
                deployment.vms[0], "GET", f"/v1/requests/{caller.request_id}"
            )
            assert error_of(reply)["code"] == 106

    async def test_an_abandoned_request_is_cancelled_after_its_grace(
        self,
    ) -> None:
        """Guards against engines that go on after the caller has left."""
        async with running(CONFIGURATION, 1, caller_grace_s=0.3) as deployment:
            slow_engines(deployment)
            engine = deployment.engine_by_id["model-1"]
            caller = StreamCaller()
            await caller.open(deployment.vms[0], "stones", 2000, stop_after=5)
            with fail_after(TEST_TIMEOUT_S):
                while caller.request_id not in engine.cancelled_ids:
                    await sleep(0.02)
            assert engine.generated_tokens < 2000

    async def test_a_passed_deadline_cancels_and_answers(self) -> None:
        async with running(CONFIGURATION, 1) as deployment:
            slow_engines(deployment)
            reply = await Caller(HttpClient()).send(
                deployment.vms[0],
                "POST",
                "/v1/chat/completions",
                {"model": "quote", "messages": [], "max_tokens": 2000},
                {"X-Deadline-Ms": "300"},
            )
            assert error_of(reply)["code"] == 214
            assert error_of(reply)["run"] == "may_have_run"
            engine = deployment.engine_by_id["model-1"]
            assert len(engine.cancelled_ids) == 1
            assert 0 < engine.deadlines_ms[0] <= 301


class TestServerReclaim:
    """Backend servers with a reclaim notice."""

    @pytest.mark.parametrize("by_cache", [True, False])
    async def test_streams_leave_a_server_at_once(
        self, by_cache: bool
    ) -> None:
        """Guards against streams that end with their server."""
        async with running(CONFIGURATION, 2) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment)
            leaving = deployment.engine_by_id["model-1"]
            if not by_cache:
                leaving.times.transfer_s = 10.0
            callers = [StreamCaller() for _ in range(4)]
            async with create_task_group() as tasks:
                for number, caller in enumerate(callers):
                    vm = deployment.vms[number % 2]
                    tasks.start_soon(caller.open, vm, f"n{number}", 100)
                await sleep(0.2)
                assert leaving.in_flight
                # One VM gets the notice and must pass it to the other.
                await send_reclaim_notice(deployment.vms[1], 5.0, ("model-1",))
                with fail_after(2.0):
                    while leaving.in_flight:
                        await sleep(0.01)
                leaving.crash()
            for number, caller in enumerate(callers):
                assert caller.ended
                assert caller.text == answer_text(f"n{number}", 100)
            counts = [
                await recomputed_tokens(vm, "reclaim") for vm in deployment.vms
            ]
            assert (sum(counts) == 0) == by_cache
            imported = [
                len(engine.imported_ids)
                for engine in deployment.engine_by_id.values()
            ]
            assert (sum(imported) > 0) == by_cache

    async def test_no_stream_moves_to_a_zone_under_notice(self) -> None:
        """Guards against moving a stream twice, or losing it."""
        async with running(CONFIGURATION, 1) as deployment:
            slow_engines(deployment)
            caller = StreamCaller()
            async with create_task_group() as tasks:
                tasks.start_soon(caller.open, deployment.vms[0], "n", 60)
                await sleep(0.2)
                zones = ("great-lakes-b", "great-lakes-c")
                await send_reclaim_notice(
                    deployment.vms[0], 5.0, ("model-1",), zones
                )
            assert caller.text == answer_text("n", 60)
            assert deployment.engine_by_id["model-4"].imported_ids
