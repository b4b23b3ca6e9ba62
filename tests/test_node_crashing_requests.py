"""Requests that crash the servers that run them, through whole nodes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.examples import error_of
from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.http_client import find_header
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

DEADLY = b"deadly order"

SERVERS = 8

# Sendings of the deadly request, each a new attempt of the caller.
SENDINGS = 8

# Servers of a service that one request may bring down.
MOST_CRASHES = 2

SERVICE_BY_PATH = {
    "/read/1": "desk",
    "/book/1": "desk",
    "/chat/1": "models",
    "/notes/1": "models",
}


@asynccontextmanager
async def crashing(
    service: str, servers: int = SERVERS
) -> AsyncIterator[tuple[Deployment, list[ServerStandIn]]]:
    """Runs a node before servers that the deadly request crashes."""
    async with deployment() as found:
        started = []
        for number in range(servers):
            server = ServerStandIn(f"server-{number}", deadly_body=DEADLY)
            started.append(server)
            await found.add_server(service, server)
        await found.wait_ready()
        yield found, started


async def send_deadly(found: Deployment, path: str) -> int:
    """Sends the deadly request once; 0 for an answer that broke off."""
    try:
        return (await found.call(path, body=DEADLY)).status
    except Exception:
        # ``unwrap`` of a stream that was cut.
        return 0


def crashes(servers: list[ServerStandIn]) -> int:
    """Number of times that servers have crashed."""
    return sum(server.crashes for server in servers)


class TestCrashingRequest:
    """One node, and servers that end with the request that they run."""

    @pytest.mark.parametrize("path", SERVICE_BY_PATH)
    async def test_repeats_crash_no_more_than_two_servers(
        self, path: str
    ) -> None:
        """Guards against repeats that empty a service, each a new request."""
        async with crashing(SERVICE_BY_PATH[path]) as (found, servers):
            statuses = []
            for number in range(SENDINGS):
                await send_deadly(found, path)
                healthy = await found.call(path, body=b"order %d" % number)
                statuses.append(healthy.status)
            assert crashes(servers) <= MOST_CRASHES
            assert statuses == [200] * SENDINGS

    async def test_refusal_of_a_crashing_request_says_not_run(self) -> None:
        async with crashing("desk") as (found, servers):
            for _ in range(3):
                await send_deadly(found, "/read/1")
            runs = sum(server.runs for server in servers)
            reply = await found.call("/read/1", body=DEADLY)
            assert reply.status == 503
            assert error_of(reply)["code"] == ResultCode.QUARANTINED
            assert error_of(reply)["run"] == RunState.NOT_RUN.value
            # A repeat would not help.
            assert find_header(reply.headers, b"retry-after") is None
            assert sum(server.runs for server in servers) == runs

    async def test_another_body_is_served(self) -> None:
        async with crashing("desk") as (found, servers):
            for _ in range(3):
                await send_deadly(found, "/read/1")
            assert (await found.call("/read/1", body=b"")).status == 200
            assert (await found.call("/read/2", body=DEADLY)).status == 502


class TestHealthyTraffic:
    """Requests beside one that crashes servers."""

    async def test_restart_of_servers_refuses_nobody(self) -> None:
        """Guards against taking the victims of crashes for their cause."""
        async with crashing("desk", 3) as (found, servers):
            for _ in range(3):
                for server in servers:
                    found.kill_server(server.id)
                    reply = await found.call("/read/1")
                    assert reply.status == 200
                    await found.restart_server(server.id)
