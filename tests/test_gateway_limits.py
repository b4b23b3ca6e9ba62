"""Tests of servers that name a limit, through gateways."""

from collections.abc import Sequence
from random import Random
from time import monotonic

from anyio import create_task_group
from anyio import current_time
from anyio import sleep
import pytest

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.policy_examples import pool_configuration
from tests.policy_examples import SilentTransport
from wasabiwing.cluster_view import ClusterView
from wasabiwing.facts import Facts
from wasabiwing.gateway_limits import AnswerHeads
from wasabiwing.http_client import HttpClient
from wasabiwing.ports import HttpReply
from wasabiwing.server_limits import ServerLimits
from wasabiwing.timers import FakeTimer
from wasabiwing_demo.deployment import EntryVm

pytestmark = pytest.mark.anyio

CONTACT_S = 3.0
WINDOW_S = 4.0
TRAFFIC_S = CONTACT_S + WINDOW_S + 1.0

LIMIT_PER_S = 1.5
ALLOWED_REQUESTS = int(LIMIT_PER_S * WINDOW_S * 1.5 + 5)


def worst_window(arrivals: Sequence[float], since: float) -> int:
    """Returns the most arrivals in a window that begins after a time."""
    return max(
        (
            sum(begin <= moment < begin + WINDOW_S for moment in arrivals)
            for begin in arrivals
            if begin >= since
        ),
        default=0,
    )


async def read_status_steadily(
    caller: Caller, vms: Sequence[EntryVm], per_s: float
) -> list[HttpReply]:
    """Sends status reads to all gateways, without waiting for answers."""
    replies: list[HttpReply] = []
    headers = {"X-Deadline-Ms": "600"}

    async def send(vm: EntryVm) -> None:
        path = "/orders/status"
        replies.append(await caller.send(vm, "GET", path, headers=headers))

    started_at = current_time()
    async with create_task_group() as tasks:
        for number in range(int(TRAFFIC_S * per_s)):
            due = started_at + number / per_s
            await sleep(max(due - current_time(), 0.0))
            tasks.start_soon(send, vms[number % len(vms)])
    return replies


class TestTwoGateways:
    """Two gateways before three plain servers."""

    async def test_gateways_together_exceed_the_limit_of_one_server(
        self,
    ) -> None:
        client = HttpClient()
        async with running_deployment(example_configuration()) as deployment:
            desks = list(deployment.desk_by_id.values())
            caller = Caller(client)
            for vm in deployment.vms:
                await caller.send(vm, "GET", "/orders/status")
            [limited, *_] = [desk for desk in desks if desk.arrivals_at]
            limited.faults.limit_per_s = LIMIT_PER_S
            named_at = monotonic()
            replies = await read_status_steadily(caller, deployment.vms, 20)
            assert {reply.status for reply in replies} == {200}
            worst = worst_window(limited.arrivals_at, named_at + CONTACT_S)
            assert worst <= ALLOWED_REQUESTS
        await client.close()

    async def test_limits_of_all_servers_are_used_and_kept(self) -> None:
        client = HttpClient()
        async with running_deployment(example_configuration()) as deployment:
            desks = list(deployment.desk_by_id.values())
            for desk in desks:
                desk.faults.limit_per_s = LIMIT_PER_S
            caller = Caller(client)
            replies = await read_status_steadily(caller, deployment.vms, 20)
            assert {reply.status for reply in replies} > {200}
            used = 0
            since = min(desk.arrivals_at[0] for desk in desks) + CONTACT_S
            for desk in desks:
                worst = worst_window(desk.arrivals_at, since)
                assert worst <= ALLOWED_REQUESTS
                used += sum(moment >= since for moment in desk.arrivals_at)
            limit = LIMIT_PER_S * len(desks) * (TRAFFIC_S - CONTACT_S)
            assert used >= 0.8 * limit
        await client.close()


class TestAnswerHeads:
    """What a gateway reads from the heads of answers."""

    def test_only_answers_of_known_servers_count(self) -> None:
        timer = FakeTimer()
        view = ClusterView()
        view.put_in_force(1, pool_configuration(1, 1))
        facts = Facts(timer, SilentTransport(), Random(1), tuple)
        limits = ServerLimits("gateway", timer, facts)
        heads = AnswerHeads("gateway", timer, view, limits, lambda name: None)
        heads.observe("127.0.0.1:9")(((b"Server-Limit", b"1.5"),))
        known_ids = ("a0", "b0", "c0")
        assert not any(map(limits.limit_per_s, known_ids))
        observer = heads.observe("127.0.0.1:1")
        observer(((b"Server-Limit", b"1.5"),))
        assert [limits.limit_per_s(item) for item in known_ids].count(1.5) == 1
        observer(((b"Server-Limit", b"-1"),))
        assert any(map(limits.limit_per_s, known_ids))
        observer(())
        assert not any(map(limits.limit_per_s, known_ids))
