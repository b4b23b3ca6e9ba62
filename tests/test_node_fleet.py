"""Tests of a node while servers and configurations change or it stops."""

from anyio import connect_tcp
from anyio import create_task_group
from anyio import current_time
from anyio import fail_after
from anyio import sleep
from msgspec.json import encode
import pytest

from tests.examples import TEST_TIMEOUT_S
from tests.node_deployment import deployment
from tests.node_deployment import POLL_S
from tests.node_fleet import node_fleet
from wasabiwing.events import Event
from wasabiwing.http_client import find_header
from wasabiwing_platform_standins.examples import configuration_document
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio


class TestFleet:
    """Tests of changes in the store that a node follows."""

    async def test_leaving_server_gets_no_new_requests(self) -> None:
        async with deployment() as found:
            leaving = ServerStandIn("server-1")
            staying = ServerStandIn("server-2")
            await found.add_server("desk", leaving)
            await found.wait_ready()
            assert (await found.call("/read/1")).status == 200
            await found.add_server("desk", staying)
            found.register("server-1", "desk", state="draining")
            while not staying.received_requests:
                await found.call("/read/1")
            before = len(leaving.received_requests)
            for _ in range(5):
                assert (await found.call("/read/1")).status == 200
            assert len(leaving.received_requests) == before

    async def test_evacuated_zone_gets_no_requests_until_the_evacuation_ends(
        self,
    ) -> None:
        async with deployment() as found:
            server = ServerStandIn("server-1")
            await found.add_server("desk", server)
            found.store.put("op/evacuate/zone-a", b"{}")
            await found.wait_ready()
            assert (await found.call("/read/1")).status == 503
            assert server.received_requests == []
            found.store.remove("op/evacuate/zone-a")
            while (await found.call("/read/1")).status != 200:
                await sleep(POLL_S)
            assert server.runs == 1

    async def test_newer_configuration_replaces_an_older_one_only(
        self,
    ) -> None:
        async with deployment() as found:
            await found.add_server("desk", ServerStandIn("server-1"))
            await found.wait_ready()
            moved = configuration_document(
                3, tenants=[{"name": "north", "apiKeys": ["key-new"]}]
            )
            found.configure(moved)
            while (await found.call("/read/1", key="key-new")).status != 200:
                await sleep(POLL_S)
            assert (await found.call("/read/1")).status == 401
            found.configure(configuration_document(2))
            found.store.put("servers/mark", b"not a document")
            for _ in range(60):
                reply = await found.call("/read/1", key="key-new")
                assert reply.status == 200
                await sleep(POLL_S)

    async def test_unreadable_entry_harms_no_other(self) -> None:
        async with deployment() as found:
            found.store.put("servers/broken", b"\xff\xfe")
            found.store.put("servers/other", encode({"service": "desk"}))
            await found.add_server("desk", ServerStandIn("server-1"))
            await found.wait_ready()
            assert (await found.call("/read/1")).status == 200

    async def test_lost_history_leads_to_a_new_snapshot(self) -> None:
        async with deployment() as found:
            await found.add_server("desk", ServerStandIn("server-1"))
            await found.wait_ready()
            found.store.drop_history()
            second = ServerStandIn("server-2")
            await found.add_server("desk", second)
            found.store.remove("servers/server-1")
            while not second.received_requests:
                await found.call("/read/1")
            assert second.runs >= 1


class TestColdServers:
    """Tests of the low request rate of cold servers."""

    async def test_a_cold_server_is_not_overloaded(self) -> None:
        """Guards against a crash of a cold server by too many requests."""
        async with deployment() as found:
            warm = ServerStandIn("server-1", work_s=0.05)
            cold = ServerStandIn("server-2", work_s=0.05, cold_per_s=5.0)
            document = configuration_document()
            services = document["services"]
            assert isinstance(services, list)
            services[0]["coldPerS"] = 5.0
            found.configure(document)
            await found.add_server("desk", warm)
            cold.cold_until = current_time() + 60.0
            await found.add_server("desk", cold, coldLeftMs=60_000)
            await found.wait_ready()
            statuses: list[int] = []

            async def call() -> None:
                statuses.append((await found.call("/read/1")).status)

            async with create_task_group() as tasks:
                for _ in range(80):
                    tasks.start_soon(call)
                    await sleep(0.02)
            assert statuses == [200] * 80
            assert not cold.crashed
            assert 1 <= cold.runs < warm.runs

    async def test_the_stand_in_crashes_at_twice_its_rate(self) -> None:
        async with deployment() as found:
            cold = ServerStandIn("server-1", cold_per_s=5.0)
            cold.cold_until = current_time() + 60.0
            await found.add_server("desk", cold)
            await found.wait_ready()
            for _ in range(10):
                assert (await found.call("/read/1")).status == 200
            assert not cold.crashed
            assert (await found.call("/read/1")).status == 502
            assert cold.crashed


class TestPlannedStop:
    """Tests of a node that is asked to stop."""

    async def test_running_request_ends_and_the_node_leaves_rotation(
        self,
    ) -> None:
        async with deployment() as found:
            server = ServerStandIn("server-1")
            await found.add_server("desk", server)
            await found.wait_ready()
            found.stop.set()
            while await found.readiness_status() == 200:
                await sleep(POLL_S)
            reply = await found.call("/read/1")
            assert reply.status == 200
            assert find_header(reply.headers, b"connection") == b"close"
            await found.stopped.wait()
            leases = [key for key in found.store.keys() if "/lease/" in key]
            assert leases == []

    async def test_each_readiness_change_is_logged_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        logged: list[tuple[object, object, object]] = []

        def record(event: Event, node: str, **fields: object) -> None:
            if event is Event.READINESS_CHANGED:
                logged.append(
                    (fields["ready"], fields["stopping"], fields["version"])
                )

        monkeypatch.setattr("wasabiwing.node.log_event", record)
        async with deployment() as found:
            await found.wait_ready()
            assert await found.readiness_status() == 200
            found.stop.set()
            while await found.readiness_status() == 200:
                await sleep(POLL_S)
            assert logged == [(True, False, 1), (False, True, 1)]


class TestSlowCallers:
    """Tests of callers that send slowly."""

    async def test_slow_headers_end_their_connection_only(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        codes: list[object] = []

        def record(event: Event, node: str, **fields: object) -> None:
            if event is Event.REQUEST_REFUSED:
                codes.append(fields["code"])

        monkeypatch.setattr("wasabiwing.node.log_event", record)
        async with deployment() as found:
            limits = {"headerTimeoutMs": 200, "idleTimeoutMs": 15_000}
            found.configure(configuration_document(limits=limits))
            await found.add_server("desk", ServerStandIn("server-1"))
            await found.wait_ready()
            callers = found.settings.caller_endpoint
            stream = await connect_tcp(callers.host, callers.port)
            async with stream:
                await stream.send(b"POST /read/1 HTTP/1.1\r\nHost: desk")
                # Another caller is served at the same time.
                assert (await found.call("/read/1")).status == 200
                answer = b""
                with fail_after(TEST_TIMEOUT_S):
                    async for data in stream:
                        answer += data
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert codes == ["HEADERS_TOO_SLOW"]
            # A kept-alive connection is not closed for slow headers.
            await sleep(0.5)
            assert (await found.call("/read/1")).status == 200


class TestPermits:
    """Which of several nodes issues permits for limited servers."""

    async def test_lapsed_leases_leave_one_issuer(self) -> None:
        """Guards against nodes that each issue the whole limit.

        Leases lapse while the store loses answers; the nodes still hear each
        other. The server then got twice what it had named.
        """
        async with node_fleet(3) as fleet:
            await fleet.timer.advance(3.0)
            for node in fleet.nodes:
                node.nodes.replace_all(())
            ids = {f"node-{number:03}" for number in range(3)}
            for number, node in enumerate(fleet.nodes):
                assert node.nodes.count == 1
                heard = set(node.live_inboxes())
                assert heard == ids - {f"node-{number:03}"}
