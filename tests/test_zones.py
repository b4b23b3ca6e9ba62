"""Tests of zone drains and request explanations over real sockets."""

from dataclasses import replace
from itertools import groupby

from anyio import sleep
from msgspec.json import decode
import pytest

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.examples import TEST_TIMEOUT_S
from wasabiwing.configuration import ZoneState
from wasabiwing.configuration_store import read_configuration
from wasabiwing.configuration_store import read_root
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.explain import explain_request
from wasabiwing.http_client import find_header
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment

pytestmark = pytest.mark.anyio

ZONE = "great-lakes-b"

ATTEMPT_EVENTS = ("ROUTE_DECISION", "RETRY_DECISION")


class TestZoneDrain:
    """A zone that operators drain and return to service."""

    async def test_a_drained_zone_gets_no_work_and_returns_gradually(
        self,
    ) -> None:
        """Guards against a returned zone that gets its full load at once."""
        async with running_deployment(example_configuration()) as deployment:
            caller = Caller(HttpClient())
            await _chats(caller, deployment, 6)
            await _set_zone(deployment, ZoneState.DRAINED)
            drained = _received(deployment)
            assert drained > 0
            await _chats(caller, deployment, 20)
            assert _received(deployment) == drained
            await _set_zone(deployment, ZoneState.ACTIVE)
            await _chats(caller, deployment, 20)
            assert _received(deployment) - drained < 12
            for _ in range(int(TEST_TIMEOUT_S / 0.1)):
                if _received(deployment) > drained:
                    break
                await _chats(caller, deployment, 1)
                await sleep(0.1)
            assert _received(deployment) > drained


class TestExplain:
    """Decisions on a request, from the gateways that made them."""

    async def test_lines_tell_failed_attempts_in_order(self) -> None:
        async with running_deployment(example_configuration()) as deployment:
            for engine in deployment.engine_by_id.values():
                engine.faults.refuse = True
            caller = Caller(HttpClient())
            reply = await caller.chat(deployment.vms[0], "text")
            request_id = find_header(reply.headers, b"x-request-id")
            assert request_id
            urls = (
                "http://127.0.0.1:9",
                *(vm.url for vm in reversed(deployment.vms)),
            )
            explanation = await explain_request(
                caller.client, urls, request_id.decode()
            )
            events = [line.split()[2] for line in explanation.lines]
            attempts = [event for event in events if event in ATTEMPT_EVENTS]
            # A choice may be asked for several times until a slot is free.
            ends = [event for event, _ in groupby(attempts)]
            assert ends == list(ATTEMPT_EVENTS) * 4
            assert len(explanation.problems) == 1
            assert explanation.problems[0].startswith("http://127.0.0.1:9:")

    async def test_an_unknown_request_has_no_lines(self) -> None:
        async with running_deployment(
            example_configuration(), vm_count=1
        ) as deployment:
            client = HttpClient()
            explanation = await explain_request(
                client, (deployment.vms[0].url,), "nothing"
            )
            assert explanation.lines == explanation.problems == ()


async def _chats(
    caller: Caller, deployment: LocalDeployment, count: int
) -> None:
    for number in range(count):
        vm = deployment.vms[number % len(deployment.vms)]
        reply = await caller.chat(vm, f"bags {number}", max_tokens=2)
        assert reply.status == 200


def _received(deployment: LocalDeployment) -> int:
    """Returns how many requests the engines of the zone have received."""
    configuration = example_configuration()
    return sum(
        len(deployment.engine_by_id[server.id].request_ids)
        for pool in configuration.pools
        for server in pool.servers
        if server.id in deployment.engine_by_id
        and server.availability_zone == ZONE
    )


async def _set_zone(deployment: LocalDeployment, state: ZoneState) -> None:
    """Applies another state of the zone and waits for all gateways."""
    store = EtcdStore((deployment.store.url,))
    stored = (await read_root(store)).unwrap()
    assert stored is not None
    read = await read_configuration(store, stored.root, {})
    configuration = read.unwrap()[0]
    zones = tuple(
        replace(zone, state=state) if zone.id == ZONE else zone
        for zone in configuration.availability_zones
    )
    applied = await apply_configuration(
        store,
        replace(configuration, availability_zones=zones),
        None,
        state.value,
    )
    await store.close()
    generation = applied.unwrap().generation
    client = HttpClient()
    for vm in deployment.vms:
        await _wait_generation(client, vm, generation)
    await client.close()


async def _wait_generation(
    client: HttpClient, vm: EntryVm, generation: int
) -> None:
    for _ in range(int(TEST_TIMEOUT_S / 0.02)):
        reply = (await client.send("GET", f"{vm.url}/healthz")).unwrap()
        if decode(reply.body).get("generation") == generation:
            return
        await sleep(0.02)
    raise AssertionError(f"{vm.name} did not reach {generation}")
