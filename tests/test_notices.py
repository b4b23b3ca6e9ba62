"""Tests of reclaim notices from the cloud."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager

from anyio import create_task_group
from anyio import fail_after
from anyio import sleep
import pytest
from result import Ok
from result import Result

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.network import bench
from tests.test_rollouts import FixedMembers
from wasabiwing.codes import Failure
from wasabiwing.http_client import HttpClient
from wasabiwing.http_cloud import HttpCloud
from wasabiwing.notice_poller import NoticePoller
from wasabiwing.notices import NoticeTable
from wasabiwing.ports import Member
from wasabiwing.ports import ReclaimNotice
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.cloud import CloudStandIn
from wasabiwing_standins.cloud import CloudVm

pytestmark = pytest.mark.anyio

SERVER = "model-1"


@asynccontextmanager
async def deployment_with_cloud(
    vm_ids: tuple[str, ...],
) -> AsyncIterator[tuple[LocalDeployment, CloudStandIn]]:
    """Runs three entry VMs and a cloud that knows some VMs by id."""
    async with create_task_group() as tasks:
        cloud = CloudStandIn(tasks)
        await cloud.start()
        for vm_id in vm_ids:
            vm = CloudVm(vm_id, "great-lakes-a", "small", True, "", {}, 0.0)
            cloud.vm_by_id[vm_id] = vm
        async with running_deployment(
            example_configuration(), 3, cloud_url=cloud.url
        ) as deployment:
            yield deployment, cloud
        tasks.cancel_scope.cancel()


async def send_until(
    deployment: LocalDeployment, holds: Callable[[], bool]
) -> None:
    """Sends requests through all gateways until a condition holds."""
    caller = Caller(HttpClient())
    with fail_after(TEST_TIMEOUT_S):
        while not holds():
            for vm in deployment.vms:
                reply = await caller.chat(vm, "bags", max_tokens=2)
                assert reply.status == 200
    await caller.client.close()


async def health(deployment: LocalDeployment) -> list[int]:
    """Returns the status of each gateway's health check."""
    client = HttpClient()
    replies = [
        (await client.send("GET", f"{vm.url}/healthz")).unwrap()
        for vm in deployment.vms
    ]
    await client.close()
    return [reply.status for reply in replies]


class TestCloudNotices:
    """Notices of the cloud, over real sockets."""

    async def test_a_server_returns_after_a_withdrawn_notice(self) -> None:
        """Guards against work for a server under notice.

        Also guards against a server that stays out of use after its notice
        was withdrawn.
        """
        async with deployment_with_cloud((SERVER,)) as (deployment, cloud):
            engine = deployment.engine_by_id[SERVER]
            await send_until(deployment, lambda: bool(engine.request_ids))
            cloud.give_notice(SERVER, 60.0)
            # Time until the last new work, as the design page states.
            await sleep(3.0)
            received = len(engine.request_ids)
            caller = Caller(HttpClient())
            for number in range(30):
                reply = await caller.chat(
                    deployment.vms[number % 3], "bags", max_tokens=2
                )
                assert reply.status == 200
            await caller.client.close()
            assert len(engine.request_ids) == received
            vm = cloud.vm_by_id[SERVER]
            vm.state, vm.reclaim_at = "running", None
            await send_until(
                deployment, lambda: len(engine.request_ids) > received
            )

    async def test_only_the_entry_vm_under_notice_leaves(self) -> None:
        """Guards against an entry VM that misses its own notice."""
        async with deployment_with_cloud(("entry-2",)) as (deployment, cloud):
            cloud.give_notice("entry-2", 60.0)
            with fail_after(TEST_TIMEOUT_S):
                while (await health(deployment))[1] == 200:
                    await sleep(0.05)
            first, _, third = await health(deployment)
            assert (first, third) == (200, 200)


class CountingCloud(HttpCloud):
    """Cloud without notices that counts calls."""

    def __init__(self) -> None:
        super().__init__("http://127.0.0.1:9")
        self.calls = 0

    async def notices(self) -> Result[tuple[ReclaimNotice, ...], Failure]:
        self.calls += 1
        return Ok(())


class TestNoticePoller:
    """Choice of the controllers that poll."""

    async def test_two_controllers_of_a_zone_poll(self) -> None:
        """Guards against a call rate that grows with the fleet."""
        async with bench() as on:
            cloud = CountingCloud()
            members = [
                Member(f"c{number}", f"tcp://c{number}", "a", "r")
                for number in range(5)
            ]
            for member in members:
                transport = on.network.open(member.node_id, member.address)
                notices = NoticeTable(
                    member.node_id, on.timer, transport, tuple, tuple
                )
                NoticePoller(
                    on.timer, cloud, FixedMembers(member, members), notices
                ).start()
            await on.timer.advance(3.5)
            assert cloud.calls == 2 * 3
