"""Tests of deferred jobs over real sockets."""

from typing import Any

from anyio import create_task_group
from anyio import Event
from anyio import fail_after
from anyio import sleep
from msgspec.json import decode
import pytest

from tests.examples import Caller
from tests.examples import error_of
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from tests.examples import wait_healthy
from tests.fault_injecting_store import Fault
from tests.fault_injecting_store import FaultInjectingStore
from tests.policy_examples import policy_bench
from tests.stream_caller import recomputed_tokens
from tests.stream_caller import slow_engines
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.http_client import HttpClient
from wasabiwing.job_home import round_robin_offset
from wasabiwing.job_partition import job_with_result
from wasabiwing.job_partition import JobPartition
from wasabiwing.job_records import derive_job_id
from wasabiwing.job_records import Job
from wasabiwing.job_records import JOB_STORE_PREFIX
from wasabiwing.job_records import JobState
from wasabiwing.job_records import RETENTION_S
from wasabiwing.ports import HttpReply
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import FakeTimer
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.engine import answer_text

pytestmark = pytest.mark.anyio

CONFIGURATION = example_configuration()


async def submit(
    vm: EntryVm, text: str, max_tokens: int = 20, key: str = ""
) -> HttpReply:
    """Submits a job through the gateway of one VM."""
    headers = {"Prefer": "respond-async"}
    if key:
        headers["Idempotency-Key"] = key
    return await Caller(HttpClient()).send(
        vm,
        "POST",
        "/v1/completions",
        {"model": "pickup-summary", "prompt": text, "max_tokens": max_tokens},
        headers,
    )


def location_of(reply: HttpReply) -> str:
    """Returns the location of the result of an accepted job."""
    assert reply.status == 202, reply.body
    return dict(reply.headers)[b"location"].decode()


async def wait_for_result(vm: EntryVm, location: str) -> str:
    """Waits for a job's result and returns its text."""
    with fail_after(2 * TEST_TIMEOUT_S):
        while True:
            reply = await Caller(HttpClient()).send(vm, "GET", location)
            if reply.status == 200:
                document = decode(reply.body, type=dict[str, Any])
                return str(document["choices"][0]["text"])
            # 503 is answered until a lost controller is detected as dead.
            assert reply.status in (202, 503), reply.body
            await sleep(0.1)


def engine_request_count(deployment: LocalDeployment) -> int:
    """Returns how many requests the engines have received."""
    engines = deployment.engine_by_id.values()
    return sum(len(engine.request_ids) for engine in engines)


class TestJobs:
    """Submits, results and failures of jobs."""

    async def test_a_result_is_served_by_any_gateway_to_its_owner(
        self,
    ) -> None:
        """Guards against showing results to other organisations."""
        async with running_deployment(CONFIGURATION, 2) as deployment:
            first, second = deployment.vms
            location = location_of(await submit(first, "yard"))
            assert deployment.store.values(JOB_STORE_PREFIX)
            assert await wait_for_result(second, location) == answer_text(
                "yard", 20
            )
            other = Caller(HttpClient(), "bay-landscaping")
            reply = await other.send(second, "GET", location)
            assert reply.status == 404
            assert error_of(reply)["code"] == ResultCode.UNKNOWN_REQUEST

    async def test_repeats_with_a_key_return_the_same_job(self) -> None:
        """Guards against a repeat that runs the job again."""
        async with running_deployment(CONFIGURATION, 2) as deployment:
            first, second = deployment.vms
            location = location_of(await submit(first, "yard", key="k"))
            again = location_of(await submit(second, "yard", key="k"))
            assert again == location
            await wait_for_result(first, location)
            assert location_of(await submit(first, "yard", key="k")) == again
            assert engine_request_count(deployment) == 1
            reused = await submit(second, "other", key="k")
            code = error_of(reused)["code"]
            assert code == ResultCode.IDEMPOTENCY_KEY_REUSED

    async def test_a_lost_store_reply_records_one_job(self) -> None:
        """Guards against a job that is refused, or stored twice."""
        async with running_deployment(CONFIGURATION, 1) as deployment:
            vm = deployment.vms[0]
            await sleep(1.0)
            deployment.store.lose_replies = 1
            location = location_of(await submit(vm, "yard"))
            assert await wait_for_result(vm, location) == answer_text(
                "yard", 20
            )
            assert len(deployment.store.values(JOB_STORE_PREFIX)) == 1
            assert engine_request_count(deployment) == 1

    async def test_a_store_outage_refuses_submits_and_keeps_results(
        self,
    ) -> None:
        """Guards against losing a result, and against a false not_run."""
        async with running_deployment(CONFIGURATION, 1) as deployment:
            vm = deployment.vms[0]
            slow_engines(deployment, 0.02)
            location = location_of(await submit(vm, "yard", 50))
            with fail_after(TEST_TIMEOUT_S):
                while not engine_request_count(deployment):
                    await sleep(0.02)
            deployment.store.down = True
            refused = error_of(await submit(vm, "late"))
            assert refused["code"] == ResultCode.JOB_UNAVAILABLE
            assert refused["run"] == "not_run"
            with fail_after(TEST_TIMEOUT_S):
                while any(
                    engine.in_flight
                    for engine in deployment.engine_by_id.values()
                ):
                    await sleep(0.02)
            deployment.store.down = False
            assert await wait_for_result(vm, location) == answer_text(
                "yard", 50
            )
            assert engine_request_count(deployment) == 1

    async def test_jobs_survive_the_loss_of_every_entry_vm(self) -> None:
        """Guards against jobs that are only kept in the memory of a VM."""
        async with running_deployment(CONFIGURATION, 2) as deployment:
            slow_engines(deployment, 0.1)
            locations = {
                f"yard {number}": location_of(
                    await submit(deployment.vms[0], f"yard {number}", 60)
                )
                for number in range(4)
            }
            with fail_after(TEST_TIMEOUT_S):
                while engine_request_count(deployment) < 4:
                    await sleep(0.02)
            zone = CONFIGURATION.availability_zones[0]
            lost_vms = []
            for number in range(2):
                vm = await deployment.add_vm(
                    f"new-{number}", zone.id, zone.region
                )
                await wait_healthy(HttpClient(), vm)
                await sleep(1.0)
                lost_vms.append(deployment.vms.pop(0))
                lost_vms[-1].kill()
            slow_engines(deployment, 0.001)
            for text, location in locations.items():
                for vm in deployment.vms:
                    assert await wait_for_result(vm, location) == answer_text(
                        text, 60
                    )
            assert engine_request_count(deployment) > 4

    async def test_jobs_of_a_lost_gateway_run_again_and_are_counted(
        self,
    ) -> None:
        """Guards against jobs that wait for a gateway that was lost."""
        async with running_deployment(CONFIGURATION, 2) as deployment:
            slow_engines(deployment, 0.1)
            first, second = deployment.vms
            locations = {
                f"yard {number}": location_of(
                    await submit(second, f"yard {number}", 60, f"k{number}")
                )
                for number in range(6)
            }
            names = [item.rpartition("/")[2] for item in locations.values()]
            # Both gateways are offered jobs, whichever address sorts first.
            assert {round_robin_offset(name) % 2 for name in names} == {0, 1}
            with fail_after(TEST_TIMEOUT_S):
                while engine_request_count(deployment) < 6:
                    await sleep(0.02)
            # Progress is reported every second.
            await sleep(1.5)
            first.gateway_scope.cancel()
            for text, location in locations.items():
                assert await wait_for_result(second, location) == answer_text(
                    text, 60
                )
            assert engine_request_count(deployment) > 6
            assert await recomputed_tokens(second, "job") > 0

    async def test_no_job_starts_while_a_higher_class_waits(self) -> None:
        """Guards against jobs that delay callers."""
        async with running_deployment(CONFIGURATION, 1) as deployment:
            vm = deployment.vms[0]
            slow_engines(deployment)
            caller = Caller(HttpClient())
            stop = Event()

            async def chat(number: int) -> None:
                while not stop.is_set():
                    await caller.chat(vm, f"stone {number}", 20)

            async with create_task_group() as tasks:
                # There are more callers than slots, so that some always wait.
                for number in range(120):
                    tasks.start_soon(chat, number)
                await sleep(1.0)
                location = location_of(await submit(vm, "yard"))
                await sleep(2.0)
                reply = await caller.send(vm, "GET", location)
                assert reply.status == 202
                stop.set()
            assert await wait_for_result(vm, location) == answer_text(
                "yard", 20
            )


class TestPartition:
    """The jobs of one partition in the store."""

    async def test_concurrent_submits_share_one_write(self) -> None:
        """Guards against a separate store write for each job."""
        store, partition = _new_store_and_partition()
        jobs = [_job(f"job {number}") for number in range(5)]
        async with create_task_group() as tasks:
            for job in jobs:
                tasks.start_soon(partition.submit, job)
        assert {job.id for job in partition.pending_jobs()} == {
            job.id for job in jobs
        }
        assert len(store.value_by_key) <= 2

    async def test_a_failed_write_tells_whether_the_job_may_run(self) -> None:
        """Guards against reporting not_run for a job that is in the store."""
        store, partition = _new_store_and_partition()
        await partition.load()
        store.faults.extend([Fault.DOWN])
        refused = (await partition.submit(_job("a"))).unwrap_err()
        assert refused.run_state is RunState.NOT_RUN
        store.faults.extend([Fault.REPLY_LOST, Fault.DOWN])
        unclear = (await partition.submit(_job("b"))).unwrap_err()
        assert unclear.run_state is RunState.MAY_HAVE_RUN
        await partition.load()
        assert [job.id for job in partition.pending_jobs()] == [_job("b").id]

    async def test_an_earlier_home_does_not_overwrite_a_result(self) -> None:
        """Guards against a second result while two controllers are home."""
        store, first = _new_store_and_partition()
        second = _partition_of_new_home(store)
        job = (await first.submit(_job("a"))).unwrap()
        for partition, body in ((second, b"one"), (first, b"two")):

            def end(pending: Job, body: bytes = body) -> Job:
                return job_with_result(pending, None, body, 1.0)

            ended = (await partition.update_pending(job.id, end)).unwrap()
            assert ended is not None
            assert ended.body == b"one"

    async def test_finished_jobs_are_deleted_after_their_retention(
        self,
    ) -> None:
        """Guards against results that fill the store."""
        store, partition = _new_store_and_partition()
        job = (await partition.submit(_job("a"))).unwrap()
        await partition.delete_expired()
        assert store.value_by_key
        await partition.update_pending(
            job.id,
            lambda item: job_with_result(
                item, None, b"x", 1000.0 - RETENTION_S
            ),
        )
        await partition.delete_expired()
        assert not store.value_by_key


class TestAcceptance:
    """When a gateway accepts an offered job."""

    def test_a_pool_without_a_free_slot_accepts_no_job(self) -> None:
        bench = policy_bench(slots=1)
        assert bench.view.index is not None
        pool = bench.view.index.configuration.pools[0]
        assert bench.admission.has_idle_slot(pool)
        for number in range(3):
            bench.choose(bench.call(f"r{number}"))
        assert not bench.admission.has_idle_slot(pool)


def _new_store_and_partition() -> tuple[FaultInjectingStore, JobPartition]:
    store = FaultInjectingStore()
    return store, _partition_of_new_home(store)


def _partition_of_new_home(store: FaultInjectingStore) -> JobPartition:
    timer = FakeTimer()
    name = f"controller-{id(timer)}"
    return JobPartition(name, 0, store, timer, StoreBudget(timer, 1000.0))


def _job(token: str) -> Job:
    return Job(
        derive_job_id("office", token),
        "office",
        "summary",
        "/v1/completions",
        b"digest",
        JobState.PENDING,
        b"{}",
    )
