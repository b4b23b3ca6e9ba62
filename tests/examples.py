"""Configurations and callers that several tests use."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from anyio import create_task_group
from anyio import fail_after
from anyio import sleep
from msgspec.json import decode
from msgspec.json import encode
from result import Ok

from wasabiwing.configuration import Configuration
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_client import HttpClient
from wasabiwing.operations import apply_configuration
from wasabiwing.operations import check_document
from wasabiwing.ports import HttpReply
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing_demo.deployment import CREDIT_LIFETIME_S
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_demo.deployment import LocalDeployment
from wasabiwing_standins.engine import EngineTimes

EXAMPLES = Path(__file__).parent.parent / "examples"

# Engine times that keep the tests fast; no test depends on their values.
FAST_TIMES = EngineTimes(prefill_s=0.0, decode_s=0.001)

# Longest wait for an event that a test expects; reached only by a test that
# fails.
TEST_TIMEOUT_S = 20.0


def example_configuration(name: str = "lakeshore") -> Configuration:
    """Returns one of the example configurations."""
    document = (EXAMPLES / name / "configuration.json").read_bytes()
    return check_document(document).unwrap()


@dataclass(slots=True)
class Caller:
    """A client that sends requests with the token of an organisation."""

    client: HttpClient
    organisation: str = "north-haul"

    async def send(
        self,
        vm: EntryVm,
        method: str,
        path: str,
        document: Any = None,
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        """Sends a request to a VM's gateway and returns the answer."""
        reply = await self.client.send(
            method,
            vm.url + path,
            {
                "Authorization": f"Bearer demo-token-{self.organisation}",
                **(headers or {}),
            },
            b"" if document is None else encode(document),
            TEST_TIMEOUT_S,
        )
        return reply.unwrap()

    async def chat(
        self,
        vm: EntryVm,
        text: str,
        max_tokens: int = 20,
        model: str = "quote",
        stream: bool = False,
    ) -> HttpReply:
        """Sends a chat request to a VM's gateway and returns the answer."""
        return await self.send(
            vm,
            "POST",
            "/v1/chat/completions",
            {
                "model": model,
                "messages": [{"role": "user", "content": text}],
                "max_tokens": max_tokens,
                "stream": stream,
            },
        )


def chat_text(reply: HttpReply) -> str:
    """Returns the text of a whole chat answer."""
    document = decode(reply.body, type=dict[str, Any])
    return str(document["choices"][0]["message"]["content"])


def error_of(reply: HttpReply) -> dict[str, Any]:
    """Returns the error object of a refusal."""
    document = decode(reply.body, type=dict[str, Any])
    error = document["error"]
    assert isinstance(error, dict)
    return error


@asynccontextmanager
async def running_deployment(
    configuration: Configuration,
    vm_count: int = 2,
    stream_silence_s: float = 10.0,
    caller_grace_s: float = 5.0,
    joined: bool = True,
    credit_lifetime_s: float = CREDIT_LIFETIME_S,
    routing_policy: RoutingPolicy = RoutingPolicy.EXPECTED_TIME,
    cloud_url: str = "",
    weight_store_url: str = "",
    stop_grace_s: float = 0.0,
    kill_grace_s: float = 30.0,
) -> AsyncIterator[LocalDeployment]:
    """Runs a deployment in which a configuration is in force on all VMs.

    Homes have granted credits for all servers. With ``joined`` false, each VM
    knows no other member.
    """
    async with create_task_group() as tasks:
        deployment = LocalDeployment(tasks, FAST_TIMES)
        deployment.stream_silence_s = stream_silence_s
        deployment.caller_grace_s = caller_grace_s
        deployment.credit_lifetime_s = credit_lifetime_s
        deployment.cloud_url = cloud_url
        deployment.weight_store_url = weight_store_url
        deployment.stop_grace_s = stop_grace_s
        deployment.kill_grace_s = kill_grace_s
        local = await deployment.start_standins(configuration)
        for number in range(vm_count):
            zone = local.availability_zones[
                number % len(local.availability_zones)
            ]
            await deployment.add_vm(
                f"entry-{number + 1}",
                zone.id,
                zone.region,
                joins=joined,
                routing_policy=routing_policy,
            )
        store = EtcdStore((deployment.store.url,))
        applied = await apply_configuration(store, local, None, "test")
        assert isinstance(applied, Ok)
        await store.close()
        client = HttpClient()
        for vm in deployment.vms:
            await wait_healthy(client, vm)
        await wait_credits(client, deployment)
        await client.close()
        yield deployment
        tasks.cancel_scope.cancel()


async def wait_healthy(client: HttpClient, vm: EntryVm) -> None:
    """Waits until a VM's gateway reports that it is healthy."""
    for _ in range(int(TEST_TIMEOUT_S / 0.02)):
        reply = await client.send("GET", f"{vm.url}/healthz")
        if isinstance(reply, Ok) and reply.ok_value.status == 200:
            return
        await sleep(0.02)
    raise AssertionError(f"{vm.name} did not become healthy")


async def wait_credits(
    client: HttpClient, deployment: LocalDeployment
) -> None:
    """Waits until homes have granted slots of every backend server."""
    expected_ids = {*deployment.engine_by_id, *deployment.desk_by_id}
    with fail_after(TEST_TIMEOUT_S):
        while not expected_ids <= await _servers_with_granted_slots(
            client, deployment
        ):
            await sleep(0.02)


async def _servers_with_granted_slots(
    client: HttpClient, deployment: LocalDeployment
) -> set[str]:
    server_ids: set[str] = set()
    for vm in deployment.vms:
        reply = await client.send(
            "GET", f"http://{vm.controller.http}/v1/status"
        )
        homes = decode(reply.unwrap().body)["home_servers"]
        server_ids |= {home["server_id"] for home in homes if home["charged"]}
    return server_ids
