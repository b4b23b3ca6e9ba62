"""Non-idempotent requests run at most once: each failure over real sockets."""

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
from tests.examples import PATIENCE_S
from tests.examples import running_deployment
from tests.own_time import suspend
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


async def book(
    vm: EntryVm, key: str, bags: int = 1, organisation: str = "north-haul"
) -> HttpReply:
    """Books a drop through one gateway."""
    return await Caller(HttpClient(), organisation).send(
        vm, "POST", PATH, {"bags": bags}, {"Idempotency-Key": key}
    )


async def status(
    vm: EntryVm, request_id: str, organisation: str = "north-haul"
) -> HttpReply:
    """Asks one gateway for the outcome of an earlier request."""
    caller = Caller(HttpClient(), organisation)
    return await caller.send(vm, "GET", f"/v1/requests/{request_id}")


def request_id_of(reply: HttpReply) -> str:
    """Returns the id that a reply names."""
    return dict(reply.headers)[b"x-request-id"].decode()


def runs(deployment: LocalDeployment) -> dict[str, int]:
    """Returns how often each key of the organisation has run."""
    return dict(deployment.ledger.runs_by_key)


def first_home_key(deployment: LocalDeployment) -> str:
    """Returns a key whose partition is at home on the first VM."""
    names = [f"{vm.name}-controller" for vm in deployment.vms]
    return next(
        key
        for key in (f"key-{number}" for number in range(1000))
        if owner(f"claims/{partition_of_key('north-haul', key)}", names)
        == names[0]
    )


async def recorded(deployment: LocalDeployment, reply: HttpReply) -> None:
    """Waits until the answer is in the journal."""
    with fail_after(PATIENCE_S):
        while not any(
            reply.body in segment
            for segment in deployment.store.values(CLAIM_STORE_PREFIX).values()
        ):
            await sleep(0.01)


async def booked(vm: EntryVm, key: str) -> None:
    """Repeats a request until it has run."""
    with fail_after(PATIENCE_S):
        while (await book(vm, key)).status != 200:
            await sleep(0.02)


class TestStoreFaults:
    """The key-value service loses replies or is down."""

    async def test_a_lost_reply_of_the_claim_is_read_back(self) -> None:
        async with running_deployment(example_configuration(), 1) as local:
            local.store.lose_replies = 1
            reply = await book(local.vms[0], "k")
            repeat = await book(local.vms[0], "k")
            assert (reply.status, repeat.status) == (200, 200)
            assert reply.body == repeat.body
            assert runs(local) == {"north-haul/k": 1}

    async def test_an_outage_refuses_new_keys_and_answers_known_ones(
        self,
    ) -> None:
        async with running_deployment(example_configuration(), 1) as local:
            first = await book(local.vms[0], "k")
            await recorded(local, first)
            partition = partition_of_key("north-haul", "k")
            new = next(
                key
                for key in map(str, range(1000))
                if partition_of_key("north-haul", key) == partition
            )
            await local.store.set_down(True)
            refused = await book(local.vms[0], new)
            assert error_of(refused)["code"] == 209
            assert error_of(refused)["run"] == "not_run"
            assert (await book(local.vms[0], "k")).body == first.body
            await local.store.set_down(False)
            assert (await book(local.vms[0], new)).status == 200
            assert set(runs(local).values()) == {1}


class TestControllers:
    """Home controllers that compete, and one that replaces another."""

    async def test_two_homes_of_a_partition_grant_a_key_once(self) -> None:
        """Guards against a double run while memberships disagree."""
        async with running_deployment(
            example_configuration(), joined=False
        ) as local:
            replies: list[HttpReply] = []

            async def send(vm: EntryVm) -> None:
                replies.append(await book(vm, "k"))

            async with create_task_group() as tasks:
                for vm in (*local.vms, *local.vms):
                    tasks.start_soon(send, vm)
            assert runs(local) == {"north-haul/k": 1}
            assert {reply.status for reply in replies} == {200}
            assert len({reply.body for reply in replies}) == 1

    async def test_a_new_home_answers_from_the_journal(self) -> None:
        """Guards against a repeat that runs while the home is replaced."""
        async with running_deployment(example_configuration()) as local:
            key = first_home_key(local)
            first = await book(local.vms[0], key)
            await recorded(local, first)
            local.vms[0].kill()
            with fail_after(PATIENCE_S):
                while (repeat := await book(local.vms[1], key)).status != 200:
                    assert error_of(repeat)["run"] == "may_have_run"
                    await sleep(0.05)
            assert repeat.body == first.body
            assert runs(local) == {f"north-haul/{key}": 1}


class TestGateway:
    """The gateway that holds the claim."""

    async def test_a_gateway_paused_after_the_claim_does_not_send(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        obtain = ClaimClient.acquire

        async def obtain_and_pause(
            self: ClaimClient, call: Call
        ) -> Result[ClaimGrant, RecordedResult]:
            obtained = await obtain(self, call)
            suspend(0.5)
            return obtained

        async with running_deployment(example_configuration(), 1) as local:
            with monkeypatch.context() as patches:
                patches.setattr(claim_client, "DISPATCH_WINDOW_S", 0.4)
                patches.setattr(ClaimClient, "acquire", obtain_and_pause)
                reply = await book(local.vms[0], "k")
            assert error_of(reply)["code"] == 213
            assert error_of(reply)["run"] == "not_run"
            assert runs(local) == {}
            # The claim is given back in the background.
            await booked(local.vms[0], "k")
            assert runs(local) == {"north-haul/k": 1}

    async def test_a_repeat_through_another_gateway_waits_for_the_first(
        self,
    ) -> None:
        async with running_deployment(example_configuration()) as local:
            for desk in local.desk_by_id.values():
                desk.faults.delay_s = 0.6
            replies: list[HttpReply] = []

            async def send(vm: EntryVm) -> None:
                replies.append(await book(vm, "k"))

            async with create_task_group() as tasks:
                tasks.start_soon(send, local.vms[0])
                while not runs(local):
                    await sleep(0.01)
                tasks.start_soon(send, local.vms[1])
            assert replies[0].status == 200
            assert replies[0].body == replies[1].body
            assert runs(local) == {"north-haul/k": 1}

    async def test_a_key_with_another_body_is_refused(self) -> None:
        async with running_deployment(example_configuration(), 1) as local:
            await book(local.vms[0], "k", bags=1)
            other = await book(local.vms[0], "k", bags=2)
            assert other.status == 422
            assert error_of(other)["code"] == 105
            assert error_of(other)["run"] == "not_run"
            assert runs(local) == {"north-haul/k": 1}

    async def test_the_status_link_works_through_any_gateway(self) -> None:
        """Guards also against showing it to another organisation."""
        async with running_deployment(example_configuration()) as local:
            key = first_home_key(local)
            first = await book(local.vms[0], key)
            request_id = request_id_of(first)
            await recorded(local, first)
            for vm in local.vms:
                # A home reads a running claim again after REFRESH_S.
                with fail_after(PATIENCE_S):
                    while (await status(vm, request_id)).status == 202:
                        await sleep(0.05)
                assert (await status(vm, request_id)).body == first.body
                foreign = await status(vm, request_id, "bay-landscaping")
                assert foreign.status == 404


class TestBackendServers:
    """Backend servers that die before, during or after the run."""

    async def test_a_dead_server_is_no_attempt_and_another_one_runs(
        self,
    ) -> None:
        async with running_deployment(example_configuration(), 1) as local:
            *dead, _ = local.desk_by_id.values()
            for desk in dead:
                desk.server.kill()
            await sleep(0.05)
            assert (await book(local.vms[0], "k")).status == 200
            assert runs(local) == {"north-haul/k": 1}

    async def test_a_claim_that_never_left_is_given_back(self) -> None:
        async with running_deployment(example_configuration(), 1) as local:
            for desk in local.desk_by_id.values():
                desk.server.kill()
            await sleep(0.05)
            refused = await book(local.vms[0], "k")
            assert error_of(refused)["run"] == "not_run"
            for desk in local.desk_by_id.values():
                await desk.start()
            await booked(local.vms[0], "k")
            assert runs(local) == {"north-haul/k": 1}

    @pytest.mark.parametrize(
        "fault", ["kill", "cut_before_run", "cut_after_run", "fail_after_run"]
    )
    async def test_a_request_that_left_is_never_sent_again(
        self, fault: str
    ) -> None:
        async with running_deployment(example_configuration(), 1) as local:
            desks = local.desk_by_id.values()
            for desk in desks:
                if fault == "kill":
                    desk.faults.delay_s = 30.0
                else:
                    setattr(desk.faults, fault, True)
            replies: list[HttpReply] = []

            async def send() -> None:
                replies.append(await book(local.vms[0], "k"))

            async with create_task_group() as tasks:
                tasks.start_soon(send)
                while fault == "kill" and not runs(local):
                    await sleep(0.01)
                if fault == "kill":
                    for desk in desks:
                        desk.server.kill()
            await send()
            for reply in replies:
                assert error_of(reply)["run"] == "may_have_run"
                link = error_of(reply)["status"]
                assert link == f"/v1/requests/{request_id_of(replies[0])}"
            assert runs(local).get("north-haul/k", 0) <= 1
            assert error_of(replies[1])["code"] == 206

    async def test_a_reused_connection_that_closes_proves_nothing(
        self,
    ) -> None:
        """Guards against taking the library's error for ``not_run``."""
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
