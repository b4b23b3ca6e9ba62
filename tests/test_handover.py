"""Tests of entry VMs that leave with running requests, over real sockets."""

from typing import Any

from anyio import create_task_group
from anyio import Event as Signal
from anyio import fail_after
from anyio import sleep
from anyio.abc import TaskGroup
import pytest
from result import Err

from tests.examples import Caller
from tests.examples import chat_text
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.stream_caller import send_reclaim_notice
from tests.stream_caller import slow_engines
from tests.stream_caller import StreamCaller
from tests.stream_caller import wait_gateways_known
from wasabiwing.handover import Handover
from wasabiwing.http_client import HttpClient
from wasabiwing.ports import HttpReply
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.engine import answer_text

pytestmark = pytest.mark.anyio

CONFIGURATION = example_configuration()


async def open_streams(
    deployment: LocalDeployment, tasks: TaskGroup, count: int, tokens: int
) -> list[StreamCaller]:
    """Starts streams at the first entry VM and waits until they run."""
    callers = [StreamCaller() for _ in range(count)]
    for number, caller in enumerate(callers):
        tasks.start_soon(caller.open, deployment.vms[0], f"n{number}", tokens)
    with fail_after(TEST_TIMEOUT_S):
        while not all(caller.payload_by_id for caller in callers):
            await sleep(0.01)
    return callers


def requests_sent(deployment: LocalDeployment) -> int:
    """Returns the number of requests that engines were asked to run."""
    engines = deployment.engine_by_id.values()
    return sum(len(engine.request_ids) for engine in engines)


def watch_records(
    monkeypatch: pytest.MonkeyPatch, count: int = 1
) -> tuple[list[dict[str, Any]], Signal]:
    """Collects log events; the signal is set after ``count`` handovers."""
    seen: list[dict[str, Any]] = []
    enough = Signal()

    def record(event: Any, node: str, **fields: Any) -> None:
        seen.append({"event": event.name, "node": node, **fields})
        kept = [s for s in seen if s["event"] == "REQUEST_HANDED_OVER"]
        if len(kept) >= count:
            enough.set()

    monkeypatch.setattr("wasabiwing.handover.log_event", record)
    return seen, enough


class TestAnnouncedLoss:
    """Entry VMs that are killed after a notice."""

    async def test_requests_of_a_killed_vm_continue_at_one_peer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests of a lost VM that are lost or run twice."""
        seen, handed_over = watch_records(monkeypatch, 6)
        async with running_deployment(CONFIGURATION, 3) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment, 0.03)
            async with create_task_group() as tasks:
                callers = await open_streams(deployment, tasks, 3, 150)
                await send_reclaim_notice(deployment.vms[0], 5.0, own_vm=True)
                with fail_after(TEST_TIMEOUT_S):
                    await handed_over.wait()
                await sleep(0.1)
                raised = [
                    name
                    for engine in deployment.engine_by_id.values()
                    for name in engine.raised_priority_ids
                ]
                deployment.vms[0].kill()
            assert len(raised) == 3
            assert not any(caller.ended for caller in callers)
            for caller in callers:
                await caller.finish(*deployment.vms[1:])
            for number, caller in enumerate(callers):
                assert caller.text == answer_text(f"n{number}", 150)
            assert requests_sent(deployment) == 3
            taken = [s for s in seen if s["event"] == "REQUEST_RESUMED"]
            assert [s["rank"] for s in taken] == [0, 0, 0]

    async def test_a_caller_without_an_answer_is_redirected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers that lose the VM before they have an id."""
        _, handed_over = watch_records(monkeypatch, 2)
        async with running_deployment(CONFIGURATION, 3) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment, 0.03)
            replies: list[HttpReply] = []

            async def ask() -> None:
                caller = Caller(HttpClient())
                replies.append(await caller.chat(deployment.vms[0], "n0", 100))

            async with create_task_group() as tasks:
                tasks.start_soon(ask)
                await sleep(0.3)
                await send_reclaim_notice(deployment.vms[0], 5.0, own_vm=True)
                with fail_after(TEST_TIMEOUT_S):
                    await handed_over.wait()
            assert replies[0].status == 303
            deployment.vms[0].kill()
            location = dict(replies[0].headers)[b"location"].decode()
            with fail_after(TEST_TIMEOUT_S):
                while True:
                    reply = await Caller(HttpClient()).send(
                        deployment.vms[1], "GET", location
                    )
                    if reply.status == 200:
                        break
                    await sleep(0.1)
            assert chat_text(reply) == answer_text("n0", 100)

    async def test_a_first_holder_is_lost_before_it_takes_over(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against records that are sent only at the end of a notice.

        The first holder is killed as well, before it has taken over.
        """
        seen, handed_over = watch_records(monkeypatch, 2)
        async with running_deployment(CONFIGURATION, 3) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment, 0.03)
            async with create_task_group() as tasks:
                callers = await open_streams(deployment, tasks, 1, 200)
                deployment.vms[0].stop_gateway.set()
                with fail_after(TEST_TIMEOUT_S):
                    await handed_over.wait()
                deployment.vms[0].kill()
                node = next(s["node"] for s in seen if s["rank"] == 0)
                first, second = deployment.vms[1:]
                if not node.startswith(first.name):
                    first, second = second, first
                first.kill()
            await callers[0].finish(second)
            assert callers[0].text == answer_text("n0", 200)

    async def test_a_zone_of_entry_vms_and_engines_is_reclaimed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against handing requests over within the leaving zone."""
        seen, handed_over = watch_records(monkeypatch, 8)
        async with running_deployment(CONFIGURATION, 6) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment, 0.03)
            zone = deployment.vms[0].availability_zone
            leaving = [
                vm for vm in deployment.vms if vm.availability_zone == zone
            ]
            staying = [vm for vm in deployment.vms if vm not in leaving]
            assert len(leaving) == 2
            async with create_task_group() as tasks:
                callers = await open_streams(deployment, tasks, 4, 150)
                await send_reclaim_notice(
                    deployment.vms[2], 3.0, zones=(zone,)
                )
                with fail_after(TEST_TIMEOUT_S):
                    await handed_over.wait()
                    for name in ("model-1", "model-4"):
                        while deployment.engine_by_id[name].in_flight:
                            await sleep(0.01)
                await sleep(0.5)
                for name in ("model-1", "model-4"):
                    deployment.engine_by_id[name].crash()
                for vm in leaving:
                    vm.kill()
            holders = {s["node"] for s in seen if "offset" in s}
            assert not holders & {f"{vm.name}-gateway" for vm in leaving}
            for number, caller in enumerate(callers):
                await caller.finish(*staying)
                assert caller.text == answer_text(f"n{number}", 150)

    async def test_a_holder_yields_to_the_gateway_that_is_alive(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against two gateways that both continue a request.

        The records of a leaving gateway are lost for a while, so a holder
        takes over while that gateway still runs the request.
        """
        seen, handed_over = watch_records(monkeypatch, 2)
        silent = Signal()
        send = "wasabiwing.handover.Handover._send"
        original = Handover._send

        def send_unless_silent(self: Handover, request_id: str) -> bool:
            lost = silent.is_set() and self._own.node_id.startswith("entry-1")
            return False if lost else original(self, request_id)

        async with running_deployment(CONFIGURATION, 3) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment, 0.03)
            async with create_task_group() as tasks:
                callers = await open_streams(deployment, tasks, 1, 200)
                monkeypatch.setattr(send, send_unless_silent)
                deployment.vms[0].stop_gateway.set()
                with fail_after(TEST_TIMEOUT_S):
                    await handed_over.wait()
                    silent.set()
                    while seen[-1]["event"] != "REQUEST_RESUMED":
                        await sleep(0.02)
                monkeypatch.setattr(send, original)
            assert callers[0].ended
            assert callers[0].text == answer_text("n0", 200)
            assert requests_sent(deployment) == 1
            assert not deployment.engine_by_id["model-1"].cancelled_ids


class TestPlannedStop:
    """Planned stop of an entry VM, without a reclaim notice."""

    async def test_a_planned_stop_cuts_no_request(self) -> None:
        """Guards against cutting running requests, streamed or not."""
        async with running_deployment(CONFIGURATION, 2) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment)
            replies: list[HttpReply] = []
            vm = deployment.vms[0]

            async def wait_for_whole() -> None:
                caller = Caller(HttpClient())
                replies.append(await caller.chat(vm, "whole", 100))

            async with create_task_group() as tasks:
                tasks.start_soon(wait_for_whole)
                callers = await open_streams(deployment, tasks, 3, 100)
                vm.stop_gateway.set()
                with fail_after(TEST_TIMEOUT_S):
                    while True:
                        health = await HttpClient().send(
                            "GET", f"{vm.url}/healthz"
                        )
                        if health.unwrap().status == 503:
                            break
            assert chat_text(replies[0]) == answer_text("whole", 100)
            for number, caller in enumerate(callers):
                assert caller.ended
                assert caller.text == answer_text(f"n{number}", 100)
            assert requests_sent(deployment) == 4

    async def test_an_answer_stays_readable_after_the_stop(self) -> None:
        """Guards against losing an answer that ended during the stop."""
        async with running_deployment(CONFIGURATION, 2) as deployment:
            await wait_gateways_known(deployment)
            slow_engines(deployment)
            caller = StreamCaller()
            await caller.open(deployment.vms[0], "stones", 80, stop_after=5)
            deployment.vms[0].stop_gateway.set()
            with fail_after(TEST_TIMEOUT_S):
                while True:
                    health = await HttpClient().send(
                        "GET", f"{deployment.vms[0].url}/healthz"
                    )
                    if isinstance(health, Err):
                        break
                    await sleep(0.05)
            deployment.vms[0].kill()
            await caller.finish(deployment.vms[1])
            assert caller.text == answer_text("stones", 80)
