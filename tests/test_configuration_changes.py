"""Tests of requests that are under way while the configuration changes.

A whole node runs on loopback. Requests of all kinds are brought to each step
on their way, then one change is put in force, beside a reload of the settings
or a request to stop. Each caller gets a whole answer or a refusal.
"""

from collections.abc import Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from os import getpid
from os import kill
from signal import SIGHUP

from anyio import BrokenResourceError
from anyio import connect_tcp
from anyio import create_task_group
from anyio import EndOfStream
from anyio import fail_after
from anyio import sleep
from anyio.abc import SocketStream
import pytest

from tests.examples import TEST_TIMEOUT_S
from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from tests.node_deployment import POLL_S
from tests.raw_caller import is_whole
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.examples import EXAMPLE_KEY
from wasabiwing_platform_standins.examples import route_document
from wasabiwing_platform_standins.server import plain_answer
from wasabiwing_platform_standins.server import ServerStandIn
from wasabiwing_platform_standins.server import stream_answer

pytestmark = pytest.mark.anyio

# Time before each event of a stream, and before a plain answer, in seconds.
EVENT_S = 0.2
PLAIN_S = 0.8

# Time for which requests stay at their step after the change, in seconds.
PAUSE_S = 0.2

BODY = b"order 1" * 2000

ROUTES = ("read", "book", "chat", "notes")
STREAMS = ("chat", "notes")

# Refusals of a request that a new configuration no longer takes, and of one
# that finds no server.
REFUSED_STATUSES = ("401", "404", "413", "429", "431", "503")

# Answer to a request whose deadline has passed.
TIMED_OUT = "504"


def routes(**more: object) -> list[dict[str, object]]:
    """Returns the example's routes and a slow one; ``more`` is for all."""
    found = [
        route_document("read", "idempotent", "desk"),
        route_document("book", "non_idempotent", "desk"),
        route_document("chat", "stream", "models", streamResume=True),
        route_document("notes", "stream", "models"),
        route_document("cold", "idempotent", "cold"),
    ]
    return [{**route, **more} for route in found]


def document(version: int = 1, **more: object) -> dict[str, object]:
    """Returns a configuration with a service whose servers are cold."""
    services = [
        {"name": "desk", "maxConns": 50},
        {"name": "models", "maxConns": 50},
        {"name": "cold", "maxConns": 50, "coldPerS": 0.1},
    ]
    return {
        **configuration_document(),
        "version": version,
        "routes": routes(),
        "services": services,
        **more,
    }


LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 100_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}


def limits(**more: int) -> dict[str, object]:
    """Returns a change of the limits on callers."""
    return {"limits": {**LIMITS, **more}}


TENANT = {"name": "north", "apiKeys": [EXAMPLE_KEY]}

CHANGES: dict[str, Mapping[str, object]] = {
    "nothing": {},
    "target": {"routes": routes(service="elsewhere")},
    "no routes": {"routes": []},
    "weights": {
        "routes": [
            {
                **route,
                "trafficSplit": [
                    {"service": "elsewhere", "weight": 0.9},
                    {"service": route["service"], "weight": 0.1},
                ],
            }
            for route in routes()
        ]
    },
    "zero weights": {
        "routes": routes(trafficSplit=[{"service": "desk", "weight": 0}])
    },
    "kind": {"routes": routes(kind="idempotent", streamResume=False)},
    "timeout": {"routes": routes(timeoutMs=100)},
    "attempts": {"routes": routes(maxAttempts=1, targetLatencyMs=1)},
    "no services": {"services": []},
    "organisation": {"tenants": [{**TENANT, "name": "south"}]},
    "no organisations": {"tenants": []},
    "key": {"tenants": [{**TENANT, "apiKeys": ["another"]}]},
    "cap": {"tenants": [{**TENANT, "ratePerS": 0.1, "burst": 1}]},
    "header limit": limits(maxHeaderBytes=10),
    "body limit": limits(maxBodyBytes=10),
    "header timeout": limits(headerTimeoutMs=100),
    "idle timeout": limits(idleTimeoutMs=100),
}


def allowed_statuses(change: str) -> tuple[str, ...]:
    """Returns the statuses of requests that are not run after a change."""
    if change == "timeout":
        return (*REFUSED_STATUSES, TIMED_OUT)
    return REFUSED_STATUSES


@dataclass(slots=True)
class UnderWay:
    """A request at one step, and what its caller got."""

    step: str
    route: str
    stream: SocketStream
    # Bytes that are sent after the change.
    rest: bytes = b""
    answer: bytes = b""

    @property
    def outcome(self) -> str:
        """How the request ended; its status if that is allowed."""
        if not is_whole(self.answer):
            return "no answer" if not self.answer else "cut"
        status = int(self.answer.split(b" ")[1])
        if status != 200:
            return str(status)
        body = self.answer.partition(b"\r\n\r\n")[2]
        if self.route not in STREAMS:
            return "200" if body == plain_answer(BODY) else "broken"
        events = [line for line in body.split(b"\n") if b"data: " in line]
        return (
            "200" if len(events) == stream_answer().count(b"data: ") else "?"
        )


def request(step: str, route: str) -> bytes:
    """Returns the bytes of a request."""
    key = "unknown" if step == "refused" else EXAMPLE_KEY
    fields = caller_headers(f"{step}-{route}", key)
    lines = [f"POST /{route}/1 HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(BODY)}", "", ""]
    return "\r\n".join(lines).encode() + BODY


class Callers:
    """Callers with a request at each step on its way through a node."""

    def __init__(self, system: Deployment, servers: list[ServerStandIn]):
        self.system = system
        self._servers = servers
        self.under_way: list[UnderWay] = []
        self._open = AsyncExitStack()

    async def bring_to_steps(self) -> None:
        """Sends requests until each has come to its step."""
        for route in ROUTES:
            await self._begin("running", route, len(request("running", route)))
        with fail_after(TEST_TIMEOUT_S):
            while sum(
                len(item.received_requests) for item in self._servers
            ) < len(ROUTES):
                await sleep(POLL_S)
        for item in self.under_way:
            if item.route in STREAMS:
                item.answer = await item.stream.receive()
        for route in ROUTES:
            await self._begin("head", route, 60)
            size = len(request("body", route))
            await self._begin("body", route, size - len(BODY) // 2)
        # The last ones are being read as the change comes.
        for route in ROUTES:
            for step in ("sent", "refused"):
                await self._begin(step, route, len(request(step, route)))
        # The first one uses up what a cold server gets; others wait.
        for step in ("first", "waiting"):
            await self._begin(step, "cold", len(request(step, "cold")))

    async def _begin(self, step: str, route: str, size: int) -> None:
        callers = self.system.settings.caller_endpoint
        stream = await self._open.enter_async_context(
            await connect_tcp(callers.host, callers.port)
        )
        data = request(step, route)
        await stream.send(data[:size])
        self.under_way.append(UnderWay(step, route, stream, data[size:]))

    async def finish(self) -> None:
        """Sends what is missing and reads all answers."""
        async with create_task_group() as tasks:
            for item in self.under_way:
                tasks.start_soon(self._finish, item)
        await self._open.aclose()

    async def _finish(self, item: UnderWay) -> None:
        with fail_after(TEST_TIMEOUT_S):
            if item.rest:
                await item.stream.send(item.rest)
            try:
                while not is_whole(item.answer):
                    item.answer += await item.stream.receive()
            except (EndOfStream, BrokenResourceError):
                pass

    async def wait_in_force(self) -> None:
        """Waits until the node uses the second configuration."""
        url = f"http://{self.system.settings.readiness_endpoint}/metrics"
        with fail_after(TEST_TIMEOUT_S):
            while True:
                reply = await self.system.client.send("GET", url)
                if b"configuration_generation 2.0" in reply.unwrap().body:
                    return
                await sleep(POLL_S)


class TestChanges:
    """Each kind of change at each step of a request."""

    @pytest.mark.parametrize("change", CHANGES)
    @pytest.mark.parametrize("stops", [False, True])
    async def test_each_whole_request_gets_an_answer_or_a_refusal(
        self, change: str, stops: bool
    ) -> None:
        async with deployment() as system:
            system.configure(document())
            servers = [ServerStandIn("desk-1", work_s=PLAIN_S)]
            servers.append(ServerStandIn("engine-1", work_s=EVENT_S))
            cold = ServerStandIn("cold-1")
            await system.add_server("desk", servers[0], slots=100)
            await system.add_server("models", servers[1], slots=100)
            await system.add_server("cold", cold, coldLeftMs=60_000)
            await system.wait_ready()
            callers = Callers(system, servers)
            await callers.bring_to_steps()
            system.configure(document(version=2, **CHANGES[change]))
            if stops:
                system.stop.set()
            else:
                kill(getpid(), SIGHUP)
            await callers.wait_in_force()
            await sleep(PAUSE_S)
            await callers.finish()
        bad = [
            (item.step, item.route, item.outcome, item.answer[:200])
            for item in callers.under_way
            if item.outcome != "200"
            and (
                item.step == "running"
                or item.outcome not in allowed_statuses(change)
            )
        ]
        assert not bad, bad
