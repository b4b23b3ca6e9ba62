"""Tests of requests whose backend server is silent for a while.

A whole node runs on loopback. A silent server is sound: it goes on later, and
a request that no other server can carry on waits for it.
"""

from collections import Counter

from anyio import create_task_group
from anyio import current_time
from anyio import sleep
import pytest

from tests.node_deployment import BOUNDS
from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from tests.node_deployment import POLL_S
from wasabiwing.retry_budgets import USED_BUDGET_SHARE
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import route_document
from wasabiwing_platform_standins.server import plain_answer
from wasabiwing_platform_standins.server import ServerFault
from wasabiwing_platform_standins.server import ServerStandIn
from wasabiwing_platform_standins.server import stream_answer

pytestmark = pytest.mark.anyio

# Silence of a sound server, in seconds; longer than that after which the node
# sends an attempt elsewhere.
SILENCE_S = 2.2

# Time before each event of a stream, or before a plain answer, in seconds.
WORK_S = 0.1

SLOTS = 100

BODY = b"order 1"

ROUTES = ("read", "chat")

WHOLE_BY_ROUTE = {"read": plain_answer(BODY), "chat": stream_answer()}

SERVICE_BY_ROUTE = {"read": "desk", "chat": "models"}


def quick_routes(max_attempts: int = 2) -> dict[str, object]:
    """Returns a configuration whose plain requests soon go elsewhere."""
    return configuration_document(
        routes=[
            route_document(
                "read",
                "idempotent",
                "desk",
                targetLatencyMs=400,
                maxAttempts=max_attempts,
            ),
            route_document(
                "chat",
                "stream",
                "models",
                streamResume=True,
                maxAttempts=max_attempts,
            ),
        ]
    )


class Silence:
    """Callers of one route of a node, whose servers fall silent."""

    def __init__(self, system: Deployment, route: str) -> None:
        self.system = system
        self._route = route
        self.servers: list[ServerStandIn] = []
        self.endings: Counter[str] = Counter()

    async def add_server(
        self, work_s: float = WORK_S, slots: int = SLOTS
    ) -> None:
        """Starts a server of the route."""
        server = ServerStandIn(f"server-{len(self.servers) + 1}")
        server.work_s = work_s
        self.servers.append(server)
        await self.system.add_server(
            SERVICE_BY_ROUTE[self._route], server, slots=slots
        )

    @property
    def received(self) -> int:
        """Number of requests that the servers have received."""
        return sum(len(item.received_requests) for item in self.servers)

    async def call(self) -> None:
        """Sends a request and records how it ended."""
        try:
            reply = await self.system.call(f"/{self._route}/1", body=BODY)
        except Exception:
            self.endings["cut"] += 1
            return
        whole = reply.body == WHOLE_BY_ROUTE[self._route]
        self.endings[f"{reply.status}{'' if whole else ' broken'}"] += 1

    async def call_during_silence(
        self, count: int = 1, silent: int | None = None
    ) -> None:
        """Sends requests, after which ``silent`` servers send nothing.

        All servers are silent if it is ``None``.
        """
        async with create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self.call)
            while self.received < count:
                await sleep(POLL_S)
            for server in self.servers[:silent]:
                server.silent_until = current_time() + SILENCE_S


class TestNowhereElse:
    """Requests that no other server can carry on."""

    @pytest.mark.parametrize("route", ROUTES)
    async def test_the_only_server_is_waited_for(self, route: str) -> None:
        async with deployment() as system:
            silence = Silence(system, route)
            system.configure(quick_routes())
            await silence.add_server()
            await system.wait_ready()
            await silence.call_during_silence(4)
        assert silence.endings == {"200": 4}
        assert silence.received == 4

    async def test_a_begun_stream_is_not_cut(self) -> None:
        async with deployment() as system:
            silence = Silence(system, "chat")
            system.configure(quick_routes())
            await silence.add_server()
            await system.wait_ready()
            async with create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(silence.call)
                while silence.received < 4:
                    await sleep(POLL_S)
                await sleep(1.5 * WORK_S)
                silence.servers[0].silent_until = current_time() + SILENCE_S
        assert silence.endings == {"200": 4}

    @pytest.mark.parametrize("route", ROUTES)
    async def test_the_last_attempt_is_not_given_up(self, route: str) -> None:
        async with deployment() as system:
            silence = Silence(system, route)
            system.configure(quick_routes(max_attempts=1))
            await silence.add_server()
            await silence.add_server()
            await system.wait_ready()
            await silence.call_during_silence(4)
        assert silence.endings == {"200": 4}
        assert silence.received == 4

    @pytest.mark.parametrize("route", ROUTES)
    async def test_no_request_goes_from_one_silent_server_to_another(
        self, route: str
    ) -> None:
        async with deployment() as system:
            silence = Silence(system, route)
            system.configure(quick_routes())
            for _ in range(3):
                await silence.add_server()
            await system.wait_ready()
            await silence.call_during_silence(12)
        assert silence.endings == {"200": 12}

    @pytest.mark.parametrize("route", ROUTES)
    async def test_a_dead_server_takes_over_nothing(self, route: str) -> None:
        """Guards against a choice of the other server that is gone."""
        async with deployment() as system:
            silence = Silence(system, route)
            system.configure(quick_routes())
            await silence.add_server()
            await system.wait_ready()
            # Registered, but nothing listens there.
            system.address_by_server["gone"] = "127.0.0.1:9"
            async with create_task_group() as tasks:
                tasks.start_soon(silence.call_during_silence, 4)
                while silence.received < 4:
                    await sleep(POLL_S)
                system.register("gone", SERVICE_BY_ROUTE[route])
        assert silence.endings == {"200": 4}

    @pytest.mark.parametrize("route", ROUTES)
    async def test_a_refusal_leads_back_to_the_silent_server(
        self, route: str
    ) -> None:
        """Guards against a request that its new server does not take."""
        async with deployment() as system:
            silence = Silence(system, route)
            system.configure(quick_routes())
            await silence.add_server()
            await system.wait_ready()
            full = ServerStandIn("full", [ServerFault.FULL] * 100)
            async with create_task_group() as tasks:
                tasks.start_soon(silence.call_during_silence, 4)
                while silence.received < 4:
                    await sleep(POLL_S)
                await system.add_server(SERVICE_BY_ROUTE[route], full)
        assert silence.endings == {"200": 4}
        assert full.received_requests

    async def test_a_stopping_node_waits_for_a_silent_server(self) -> None:
        """Nothing else is begun that can't end before the kill."""
        async with deployment() as system:
            silence = Silence(system, "chat")
            system.configure(quick_routes())
            for _ in range(2):
                await silence.add_server(work_s=1.0)
            await system.wait_ready()
            async with create_task_group() as tasks:
                for _ in range(24):
                    tasks.start_soon(silence.call)
            silence.endings.clear()
            async with create_task_group() as tasks:
                tasks.start_soon(silence.call)
                while silence.received < 25:
                    await sleep(POLL_S)
                system.stop.set()
                await sleep(2.5)
                for server in silence.servers[:1]:
                    server.silent_until = current_time() + SILENCE_S
                for server in silence.servers[1:]:
                    server.work_s = 3.0
        assert silence.endings == {"200": 1}


class TestRetryBudget:
    """Many requests at one server that falls silent."""

    @pytest.mark.parametrize("route", ROUTES)
    async def test_requests_beyond_the_budget_wait(self, route: str) -> None:
        """Half of the budget is left for servers that fail."""
        tokens = BOUNDS.retry_reserve * USED_BUDGET_SHARE
        count = int(tokens) + 10
        async with deployment() as system:
            silence = Silence(system, route)
            system.configure(quick_routes())
            await silence.add_server()
            await system.wait_ready()
            async with create_task_group() as tasks:
                tasks.start_soon(silence.call_during_silence, count, 1)
                while silence.received < count:
                    await sleep(POLL_S)
                await silence.add_server()
        assert silence.endings == {"200": count}
        assert 0 < len(silence.servers[1].received_requests) <= tokens / 2
