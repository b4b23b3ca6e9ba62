"""Tests of the whole path from a caller to backend servers and back."""

from dataclasses import replace

from msgspec.json import decode
import pytest

from tests.examples import Caller
from tests.examples import chat_text
from tests.examples import error_of
from tests.examples import example_configuration
from tests.examples import running_deployment
from wasabiwing.http_client import HttpClient
from wasabiwing_standins.engine import answer_text

pytestmark = pytest.mark.anyio


class TestModelRequests:
    """Model requests to engines over real sockets."""

    async def test_every_vm_returns_the_whole_answer(self) -> None:
        async with running_deployment(example_configuration()) as deployment:
            caller = Caller(HttpClient())
            for vm in deployment.vms:
                reply = await caller.chat(vm, f"bags for {vm.name}")
                assert reply.status == 200
                expected = answer_text(f"bags for {vm.name}", 20)
                assert chat_text(reply) == expected

    async def test_a_stream_has_numbered_events_and_a_terminal_marker(
        self,
    ) -> None:
        async with running_deployment(example_configuration()) as deployment:
            caller = Caller(HttpClient())
            reply = await caller.chat(
                deployment.vms[0], "stones", max_tokens=3, stream=True
            )
            blocks = reply.body.decode().strip().split("\n\n")
            assert [block.split("\n")[0] for block in blocks] == [
                "id: 1",
                "id: 2",
                "id: 3",
                "id: 4",
            ]
            assert blocks[-1].endswith("data: [DONE]")

    async def test_a_cut_engine_connection_is_continued_elsewhere(
        self,
    ) -> None:
        """Guards against an answer that ends early and looks complete."""
        async with running_deployment(example_configuration()) as deployment:
            for engine in deployment.engine_by_id.values():
                engine.faults.cut_after = 7
            caller = Caller(HttpClient())
            reply = await caller.chat(deployment.vms[0], "drop", 20)
            assert chat_text(reply) == answer_text("drop", 20)

    async def test_an_early_end_without_marker_is_reported_as_a_failure(
        self,
    ) -> None:
        async with running_deployment(example_configuration()) as deployment:
            for engine in deployment.engine_by_id.values():
                engine.faults.end_early_after = 0
            caller = Caller(HttpClient())
            reply = await caller.chat(deployment.vms[0], "drop", 20)
            assert reply.status == 502
            assert error_of(reply)["run"] == "may_have_run"


class TestRefusals:
    """Refusals have a result code and a correct run state."""

    async def test_invalid_requests_are_refused_as_not_run(self) -> None:
        async with running_deployment(
            example_configuration(), vm_count=1
        ) as deployment:
            vm = deployment.vms[0]
            known = Caller(HttpClient())
            unknown = Caller(HttpClient(), "nobody")
            replies = {
                101: await known.send(vm, "GET", "/nowhere"),
                102: await unknown.chat(vm, "text"),
                104: await known.send(vm, "POST", "/orders/drops", {}),
                100: await known.send(vm, "POST", "/v1/completions", []),
            }
            for code, reply in replies.items():
                assert error_of(reply)["code"] == code
                assert error_of(reply)["run"] == "not_run"
            requests = [
                engine.request_ids
                for engine in deployment.engine_by_id.values()
            ]
            assert not any(requests)

    async def test_a_body_above_the_limit_is_refused_with_its_code(
        self,
    ) -> None:
        configuration = replace(example_configuration(), max_body_bytes=100)
        async with running_deployment(configuration, vm_count=1) as deployment:
            caller = Caller(HttpClient())
            reply = await caller.chat(deployment.vms[0], "x" * 200)
            assert reply.status == 413
            assert error_of(reply)["code"] == 108
            assert error_of(reply)["run"] == "not_run"

    async def test_an_engine_that_refuses_everywhere_leaves_not_run(
        self,
    ) -> None:
        async with running_deployment(
            example_configuration(), vm_count=1
        ) as deployment:
            for engine in deployment.engine_by_id.values():
                engine.faults.refuse = True
            caller = Caller(HttpClient())
            reply = await caller.chat(deployment.vms[0], "text")
            assert error_of(reply)["run"] == "not_run"
            assert reply.status == 503


class TestPlainServices:
    """Idempotent plain service calls."""

    async def test_a_status_check_survives_a_failing_server(self) -> None:
        async with running_deployment(
            example_configuration(), vm_count=1
        ) as deployment:
            deployment.desk_by_id["desk-1"].faults.cut_before_run = True
            caller = Caller(HttpClient())
            reply = await caller.send(
                deployment.vms[0], "GET", "/orders/status"
            )
            assert reply.status == 200
            assert decode(reply.body)["server"] != "desk-1"
