"""Tests over real sockets that non-idempotent requests run at most once."""

from anyio import create_task_group
from anyio import create_tcp_listener
from anyio import fail_after
from anyio import sleep
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
import pytest
from result import Err
from result import Ok
from result import Result

from tests.examples import Caller
from tests.examples import error_of
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.load_independent_clock import suspend
from wasabiwing import claim_client
from wasabiwing.calls import Call
from wasabiwing.claim_client import ClaimClient
from wasabiwing.claim_client import ClaimGrant
from wasabiwing.claim_client import RecordedResult
from wasabiwing.claim_records import CLAIM_STORE_PREFIX
from wasabiwing.claim_records import partition_of_key
from wasabiwing.codes import RunState
from wasabiwing.http_client import HttpClient
from wasabiwing.plain_service import HttpPlainService
from wasabiwing.ports import HttpReply
from wasabiwing.rendezvous import owner
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment

pytestmark = pytest.mark.anyio

PATH = "/orders/drops"


async def send_order(
    vm: EntryVm, key: str, bags: int = 1, organisation: str = "north-haul"
) -> HttpReply:
    """Sends a non-idempotent request through the gateway of one VM."""
    return await Caller(HttpClient(), organisation).send(
        vm, "POST", PATH, {"bags": bags}, {"Idempotency-Key": key}
    )


async def get_status(
    vm: EntryVm, request_id: str, organisation: str = "north-haul"
) -> HttpReply:
    """Asks the gateway of one VM for the outcome of an earlier request."""
    caller = Caller(HttpClient(), organisation)
    return await caller.send(vm, "GET", f"/v1/requests/{request_id}")


def request_id_of(reply: HttpReply) -> str:
    """Returns the request id in the headers of a reply."""
    return dict(reply.headers)[b"x-request-id"].decode()


def run_counts(deployment: LocalDeployment) -> dict[str, int]:
    """Returns how often the services ran each organisation's key."""
    return dict(deployment.ledger.runs_by_key)


def key_of_first_home(deployment: LocalDeployment) -> str:
    """Returns a key whose home controller is that of the first VM."""
    names = [f"{vm.name}-controller" for vm in deployment.vms]
    return next(
        key
        for key in (f"key-{number}" for number in range(1000))
        if owner(f"claims/{partition_of_key('north-haul', key)}", names)
        == names[0]
    )


async def wait_until_recorded(
    deployment: LocalDeployment, reply: HttpReply
) -> None:
    """Waits until the body of a reply is in the claim journal."""
    with fail_after(TEST_TIMEOUT_S):
        while not any(
            reply.body in segment
            for segment in deployment.store.values(CLAIM_STORE_PREFIX).values()
        ):
            await sleep(0.01)


async def send_until_ok(vm: EntryVm, key: str) -> None:
    """Repeats a request until it is answered with status 200."""
    with fail_after(TEST_TIMEOUT_S):
        while (await send_order(vm, key)).status != 200:
            await sleep(0.02)


class TestStoreFaults:
    """The key-value service loses replies or is unavailable."""

    async def test_a_lost_reply_of_the_claim_is_read_back(self) -> None:
        async with running_deployment(
            example_configuration(), 1
        ) as deployment:
            deployment.store.lose_replies = 1
            reply = await send_order(deployment.vms[0], "k")
            repeat = await send_order(deployment.vms[0], "k")
            assert (reply.status, repeat.status) == (200, 200)
            assert reply.body == repeat.body
            assert run_counts(deployment) == {"north-haul/k": 1}

    async def test_an_outage_refuses_new_keys_and_answers_known_ones(
        self,
    ) -> None:
        async with running_deployment(
            example_configuration(), 1
        ) as deployment:
            first = await send_order(deployment.vms[0], "k")
            await wait_until_recorded(deployment, first)
            partition = partition_of_key("north-haul", "k")
            new_key = next(
                key
                for key in map(str, range(1000))
                if partition_of_key("north-haul", key) == partition
            )
            await deployment.store.set_down(True)
            refused = await send_order(deployment.vms[0], new_key)
            assert error_of(refused)["code"] == 209
            assert error_of(refused)["run"] == "not_run"
            assert (
                await send_order(deployment.vms[0], "k")
            ).body == first.body
            await deployment.store.set_down(False)
            assert (await send_order(deployment.vms[0], new_key)).status == 200
            assert set(run_counts(deployment).values()) == {1}


class TestControllers:
    """Several home controllers of one partition at once or in turn."""

    async def test_two_homes_of_a_partition_grant_a_key_once(self) -> None:
        """Guards against a double run while the views of members differ."""
        async with running_deployment(
            example_configuration(), joined=False
        ) as deployment:
            replies: list[HttpReply] = []

            async def send(vm: EntryVm) -> None:
                replies.append(await send_order(vm, "k"))

            async with create_task_group() as tasks:
                for vm in (*deployment.vms, *deployment.vms):
                    tasks.start_soon(send, vm)
            assert run_counts(deployment) == {"north-haul/k": 1}
            assert {reply.status for reply in replies} == {200}
            assert len({reply.body for reply in replies}) == 1

    async def test_a_new_home_answers_from_the_journal(self) -> None:
        """Guards against a repeat that runs after its home was replaced."""
        async with running_deployment(example_configuration()) as deployment:
            key = key_of_first_home(deployment)
            first = await send_order(deployment.vms[0], key)
            await wait_until_recorded(deployment, first)
            deployment.vms[0].kill()
            with fail_after(TEST_TIMEOUT_S):
                while (
                    repeat := await send_order(deployment.vms[1], key)
                ).status != 200:
                    assert error_of(repeat)["run"] == "may_have_run"
                    await sleep(0.05)
            assert repeat.body == first.body
            assert run_counts(deployment) == {f"north-haul/{key}": 1}


class TestGateway:
    """Claims as their gateways acquire, release and show them."""

    async def test_a_gateway_paused_after_the_claim_does_not_send(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        acquire = ClaimClient.acquire

        async def acquire_and_pause(
            self: ClaimClient, call: Call
        ) -> Result[ClaimGrant, RecordedResult]:
            acquired = await acquire(self, call)
            suspend(0.5)
            return acquired

        async with running_deployment(
            example_configuration(), 1
        ) as deployment:
            with monkeypatch.context() as patches:
                patches.setattr(claim_client, "DISPATCH_WINDOW_S", 0.4)
                patches.setattr(ClaimClient, "acquire", acquire_and_pause)
                reply = await send_order(deployment.vms[0], "k")
            assert error_of(reply)["code"] == 213
            assert error_of(reply)["run"] == "not_run"
            assert run_counts(deployment) == {}
            # The claim is released in the background.
            await send_until_ok(deployment.vms[0], "k")
            assert run_counts(deployment) == {"north-haul/k": 1}

    async def test_a_repeat_through_another_gateway_waits_for_the_first(
        self,
    ) -> None:
        async with running_deployment(example_configuration()) as deployment:
            for desk in deployment.desk_by_id.values():
                desk.faults.delay_s = 0.6
            replies: list[HttpReply] = []

            async def send(vm: EntryVm) -> None:
                replies.append(await send_order(vm, "k"))

            async with create_task_group() as tasks:
                tasks.start_soon(send, deployment.vms[0])
                while not run_counts(deployment):
                    await sleep(0.01)
                tasks.start_soon(send, deployment.vms[1])
            assert replies[0].status == 200
            assert replies[0].body == replies[1].body
            assert run_counts(deployment) == {"north-haul/k": 1}

    async def test_a_key_with_another_body_is_refused(self) -> None:
        async with running_deployment(
            example_configuration(), 1
        ) as deployment:
            await send_order(deployment.vms[0], "k", bags=1)
            other = await send_order(deployment.vms[0], "k", bags=2)
            assert other.status == 422
            assert error_of(other)["code"] == 105
            assert error_of(other)["run"] == "not_run"
            assert run_counts(deployment) == {"north-haul/k": 1}

    async def test_the_status_link_works_through_any_gateway(self) -> None:
        """Guards also against showing an answer to another organisation."""
        async with running_deployment(example_configuration()) as deployment:
            key = key_of_first_home(deployment)
            first = await send_order(deployment.vms[0], key)
            request_id = request_id_of(first)
            await wait_until_recorded(deployment, first)
            for vm in deployment.vms:
                # A home controller reads a running claim again only after
                # RUNNING_CLAIM_MAX_AGE_S.
                with fail_after(TEST_TIMEOUT_S):
                    while (await get_status(vm, request_id)).status == 202:
                        await sleep(0.05)
                assert (await get_status(vm, request_id)).body == first.body
                foreign = await get_status(vm, request_id, "bay-landscaping")
                assert foreign.status == 404


class TestBackendServers:
    """Backend servers that fail before, during or after the run."""

    async def test_an_unreachable_server_is_replaced_by_another_one(
        self,
    ) -> None:
        async with running_deployment(
            example_configuration(), 1
        ) as deployment:
            *dead, _ = deployment.desk_by_id.values()
            for desk in dead:
                desk.server.kill()
            await sleep(0.05)
            assert (await send_order(deployment.vms[0], "k")).status == 200
            assert run_counts(deployment) == {"north-haul/k": 1}

    async def test_the_claim_of_an_unsent_request_is_released(self) -> None:
        async with running_deployment(
            example_configuration(), 1
        ) as deployment:
            for desk in deployment.desk_by_id.values():
                desk.server.kill()
            await sleep(0.05)
            refused = await send_order(deployment.vms[0], "k")
            assert error_of(refused)["run"] == "not_run"
            for desk in deployment.desk_by_id.values():
                await desk.start()
            await send_until_ok(deployment.vms[0], "k")
            assert run_counts(deployment) == {"north-haul/k": 1}

    @pytest.mark.parametrize(
        "fault", ["kill", "cut_before_run", "cut_after_run", "fail_after_run"]
    )
    async def test_a_request_that_was_sent_is_never_sent_again(
        self, fault: str
    ) -> None:
        async with running_deployment(
            example_configuration(), 1
        ) as deployment:
            desks = deployment.desk_by_id.values()
            for desk in desks:
                if fault == "kill":
                    desk.faults.delay_s = 30.0
                else:
                    setattr(desk.faults, fault, True)
            replies: list[HttpReply] = []

            async def send() -> None:
                replies.append(await send_order(deployment.vms[0], "k"))

            async with create_task_group() as tasks:
                tasks.start_soon(send)
                while fault == "kill" and not run_counts(deployment):
                    await sleep(0.01)
                if fault == "kill":
                    for desk in desks:
                        desk.server.kill()
            await send()
            for reply in replies:
                assert error_of(reply)["run"] == "may_have_run"
                link = error_of(reply)["status"]
                assert link == f"/v1/requests/{request_id_of(replies[0])}"
            assert run_counts(deployment).get("north-haul/k", 0) <= 1
            assert error_of(replies[1])["code"] == 206

    async def test_a_cut_of_a_reused_connection_may_have_run(
        self,
    ) -> None:
        """Guards against reporting ``not_run`` for a request that was read.

        The server reads the second request of a connection and closes the
        connection without an answer, so that the HTTP client library reports
        an error.
        """
        received: list[int] = []

        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                received.append(1)
                await stream.send(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                )
                await stream.receive()
                received.append(2)

        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        service = HttpPlainService()
        async with create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            replies = [
                await service.call(
                    f"127.0.0.1:{port}", "POST", PATH, {}, b"{}", 5.0
                )
                for _ in range(2)
            ]
            tasks.cancel_scope.cancel()
        assert isinstance(replies[0], Ok)
        assert isinstance(replies[1], Err)
        assert replies[1].err_value.run_state is RunState.MAY_HAVE_RUN
        assert received == [1, 2]
