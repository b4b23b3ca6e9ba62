"""Tests of requests that crash their servers, through whole nodes."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import sleep
import pytest

from tests.examples import error_of
from tests.node_deployment import Deployment
from tests.node_deployment import deployment
from tests.node_deployment import POLL_S
from tests.node_fleet import node_fleet
from tests.part_fleet import CONTACT_S
from tests.part_fleet import CRASHES_BEFORE
from tests.part_fleet import MAX_SENT_AFTER
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.http_client import find_header
from wasabiwing.node_settings import NodeSettings
from wasabiwing.ports import HttpReply
from wasabiwing.quarantine import CRASH_FACT_KIND
from wasabiwing.quarantine import JUDGEMENT_DELAY_S
from wasabiwing.quarantine_facts import QUARANTINE_FACT_KIND
from wasabiwing.quarantine_records import QUARANTINE_PREFIX
from wasabiwing.quarantine_records import QuarantineRecords
from wasabiwing_platform_standins.server import ServerStandIn

pytestmark = pytest.mark.anyio

CRASHING_BODY = b"deadly order"

SERVERS = 8

# Number of times that a caller sends the crashing request.
SEND_COUNT = 8

# Longer than the judgement of a crash on all nodes takes, in seconds.
JUDGED_S = JUDGEMENT_DELAY_S + 0.15

# Time after which a node that has just started is known to the others, in
# seconds.
NODE_KNOWN_S = 1.5

# Largest number of servers of a service that one request may crash.
MAX_CRASHES = 2

# Requests with a crashing part; they come for longer than ``CONTACT_S``.
PART_REQUESTS = 20

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
    """Runs a node with servers that the crashing request crashes."""
    async with deployment() as found:
        started = []
        for number in range(servers):
            server = ServerStandIn(
                f"server-{number}", crashing_body=CRASHING_BODY
            )
            started.append(server)
            await found.add_server(service, server)
        await found.wait_ready()
        yield found, started


async def send_crashing(
    found: Deployment, path: str, via: NodeSettings | None = None
) -> int:
    """Sends the crashing request; returns the status, or 0 after a cut."""
    try:
        return (await found.call(path, body=CRASHING_BODY, via=via)).status
    except Exception:
        # ``unwrap`` of a stream that was cut.
        return 0


async def call_with_parts(
    found: Deployment,
    path: str,
    parts: list[str],
    via: NodeSettings | None = None,
) -> HttpReply:
    """Sends a request whose prompt has parts of 50 tokens each."""
    headers = {
        "Wasabiwing-Model": "m",
        "Wasabiwing-Token-Counts": f"{50 * len(parts)},20",
        "Wasabiwing-Prompt-Prefix": ",".join(f"{part}:50" for part in parts),
    }
    body = parts[-1].encode()
    return await found.call(path, body=body, headers=headers, via=via)


def crashes(servers: list[ServerStandIn]) -> int:
    """Returns the number of times that servers have crashed."""
    return sum(server.crashes for server in servers)


class TestCrashingRequest:
    """One node, with servers that crash when they run the request."""

    @pytest.mark.parametrize("path", SERVICE_BY_PATH)
    async def test_repeats_crash_no_more_than_two_servers(
        self, path: str
    ) -> None:
        """Guards against repeats that crash all servers of a service.

        Each repeat of the caller is a new request to the node.
        """
        async with crashing(SERVICE_BY_PATH[path]) as (found, servers):
            statuses = []
            for number in range(SEND_COUNT):
                await send_crashing(found, path)
                healthy = await found.call(path, body=b"order %d" % number)
                statuses.append(healthy.status)
            assert crashes(servers) <= MAX_CRASHES
            assert statuses == [200] * SEND_COUNT

    async def test_refusal_of_a_crashing_request_says_not_run(self) -> None:
        async with crashing("desk") as (found, servers):
            for _ in range(3):
                await send_crashing(found, "/read/1")
            runs = sum(server.runs for server in servers)
            reply = await found.call("/read/1", body=CRASHING_BODY)
            assert reply.status == 503
            assert error_of(reply)["code"] == ResultCode.QUARANTINED
            assert error_of(reply)["run"] == RunState.NOT_RUN.value
            # A repeat would be refused as well, so no time is given.
            assert find_header(reply.headers, b"retry-after") is None
            assert sum(server.runs for server in servers) == runs

    async def test_another_body_is_served(self) -> None:
        async with crashing("desk") as (found, servers):
            for _ in range(3):
                await send_crashing(found, "/read/1")
            assert (await found.call("/read/1", body=b"")).status == 200
            assert (
                await found.call("/read/2", body=CRASHING_BODY)
            ).status == 502


class TestCrashingPart:
    """Different requests that share a part of the prompt."""

    @pytest.mark.parametrize("path", ["/chat/1", "/notes/1"])
    @pytest.mark.parametrize("position", [0, 1])
    async def test_requests_that_share_a_part_are_refused(
        self, path: str, position: int
    ) -> None:
        """Guards against one crash for each request with the part.

        Sound requests have the same key and the other parts.
        """
        async with crashing("models") as (found, servers):
            other = await found.start_another("node-2")
            await sleep(NODE_KNOWN_S)
            for server in servers:
                server.crashing_part = "bad"
            statuses = []
            refusals: list[object] = []
            restarts: Counter[str] = Counter()
            for number in range(PART_REQUESTS):
                via = other if number % 2 else None
                parts = ["first", "second", f"own-{number}"]
                for _ in range(2):
                    reply = await call_with_parts(found, path, parts, via)
                    statuses.append(reply.status)
                parts[position] = "bad"
                try:
                    reply = await call_with_parts(found, path, parts, via)
                    refusals.append(error_of(reply).get("code"))
                except Exception:
                    # ``unwrap`` of a stream that was cut.
                    refusals.append(None)
                await sleep(0.3)
                for server in servers:
                    if server.crashes > restarts[server.id]:
                        restarts[server.id] = server.crashes
                        await found.restart_server(server.id)
            assert statuses == [200] * len(statuses)
            assert refusals[-3:] == [ResultCode.QUARANTINED] * 3
            arrivals = sorted(
                request.arrived_at
                for server in servers
                for request in server.received_requests
                if "bad:" in request.headers["wasabiwing-prompt-prefix"]
            )
            # Each arrival crashed a server.
            since = arrivals[min(CRASHES_BEFORE, len(arrivals)) - 1]
            late = [at for at in arrivals if at > since + CONTACT_S]
            assert len(late) <= MAX_SENT_AFTER


class TestOtherNodes:
    """Crashes and quarantines shared between nodes."""

    async def test_repeats_through_two_nodes_crash_no_more_than_two(
        self,
    ) -> None:
        """Guards against counting the crashes of each node apart."""
        async with crashing("desk") as (found, servers):
            other = await found.start_another("node-2")
            await sleep(NODE_KNOWN_S)
            for number in range(SEND_COUNT):
                via = other if number % 2 else None
                await send_crashing(found, "/book/1", via)
                # The caller repeats only after the nodes have shared and
                # judged the crash.
                await sleep(JUDGED_S)
            assert crashes(servers) <= MAX_CRASHES

    async def test_a_later_node_reads_quarantines_from_the_store(self) -> None:
        """Guards against losing quarantines in a restart of all nodes."""
        async with crashing("desk") as (found, servers):
            for _ in range(2):
                await send_crashing(found, "/book/1")
            while not any(
                key.startswith(QUARANTINE_PREFIX) for key in found.store.keys()
            ):
                await sleep(POLL_S)
            other = await found.start_another("node-2")
            reply = await found.call("/book/1", body=CRASHING_BODY, via=other)
            assert error_of(reply)["code"] == ResultCode.QUARANTINED
            assert crashes(servers) == MAX_CRASHES

    async def test_quarantine_reaches_many_nodes_through_zone_heads(
        self,
    ) -> None:
        async with node_fleet(20) as fleet:
            await fleet.timer.advance(3.0)
            fleet.facts[0].publish(
                QUARANTINE_FACT_KIND, "digest", "crashes", 1
            )
            await fleet.timer.advance(0.5)
            assert (
                fleet.count_nodes_with_fact(QUARANTINE_FACT_KIND, "digest")
                == 20
            )

    async def test_a_restarted_node_learns_from_the_others(self) -> None:
        """Guards against losing crashes in a restart without the store."""
        async with node_fleet(3) as fleet:
            await fleet.timer.advance(3.0)
            fleet.facts[0].publish(CRASH_FACT_KIND, "server", "", 1)
            await fleet.timer.advance(1.0)
            fleet.start(3)
            await fleet.timer.advance(1.0)
            assert fleet.count_nodes_with_fact(CRASH_FACT_KIND, "server") == 4

    async def test_quarantine_reaches_few_nodes_directly(self) -> None:
        async with node_fleet(4) as fleet:
            await fleet.timer.advance(3.0)
            fleet.facts[0].publish(
                QUARANTINE_FACT_KIND, "digest", "crashes", 1
            )
            await fleet.timer.advance(0.1)
            assert (
                fleet.count_nodes_with_fact(QUARANTINE_FACT_KIND, "digest")
                == 4
            )


class TestRecords:
    """Records of quarantines in the store."""

    async def test_record_is_written_once_the_store_is_back(self) -> None:
        async with node_fleet(1) as fleet:
            link = fleet.links[0]
            records = QuarantineRecords(
                "node", fleet.timer, link, fleet.facts[0]
            )
            fleet.facts[0].publish(
                QUARANTINE_FACT_KIND, "digest", "crashes", 1
            )
            link.unavailable = True
            records.queue_write("digest")
            await fleet.timer.advance(2.0)
            assert link.store.stored(QUARANTINE_PREFIX + "digest") is None
            link.unavailable = False
            await fleet.timer.advance(2.0)
            assert link.store.stored(QUARANTINE_PREFIX + "digest") is not None

    async def test_record_is_lost_with_a_restore(self) -> None:
        """Guards against a quarantine that the store has forgotten."""
        async with node_fleet(1) as fleet:
            link = fleet.links[0]
            records = QuarantineRecords(
                "node", fleet.timer, link, fleet.facts[0]
            )
            link.eras.subscribe(records.rewrite)
            copy = link.store.copy()
            fleet.facts[0].publish(
                QUARANTINE_FACT_KIND, "digest", "crashes", 1
            )
            records.queue_write("digest")
            await fleet.timer.advance(2.0)
            link.store.restore(copy)
            assert link.store.stored(QUARANTINE_PREFIX + "digest") is None
            await fleet.timer.advance(4.0)
            assert link.store.stored(QUARANTINE_PREFIX + "digest") is not None

    async def test_end_of_a_quarantine_replaces_its_record(self) -> None:
        async with node_fleet(2) as fleet:
            records = [
                QuarantineRecords("node", fleet.timer, link, facts)
                for link, facts in zip(fleet.links, fleet.facts, strict=True)
            ]
            await fleet.timer.advance(1.0)
            for epoch, value in ((1, "crashes"), (2, "cleared")):
                fleet.facts[epoch - 1].publish(
                    QUARANTINE_FACT_KIND, "digest", value, epoch
                )
                records[epoch - 1].queue_write("digest")
                await fleet.timer.advance(2.0)
            # A late record with a smaller epoch changes nothing.
            stored = fleet.links[0].store.stored(QUARANTINE_PREFIX + "digest")
            assert stored is not None and b"cleared" in stored.value
            records[0].apply_record(
                QUARANTINE_PREFIX + "digest", b'{"epoch":1,"value":"crashes"}'
            )
            fact = fleet.facts[0].get(QUARANTINE_FACT_KIND, "digest")
            assert fact is not None and fact.epoch == 2

    @pytest.mark.parametrize("value", [None, b"", b"[]", b'{"epoch":"x"}'])
    async def test_unreadable_record_is_ignored(
        self, value: bytes | None
    ) -> None:
        async with node_fleet(1) as fleet:
            records = QuarantineRecords(
                "node", fleet.timer, fleet.links[0], fleet.facts[0]
            )
            records.apply_record(QUARANTINE_PREFIX + "digest", value)
            assert fleet.facts[0].get(QUARANTINE_FACT_KIND, "digest") is None


class TestHealthyTraffic:
    """Requests that are cut by crashes that they did not cause."""

    async def test_restart_of_servers_refuses_nobody(self) -> None:
        """Guards against refusing requests that did not cause a crash."""
        async with crashing("desk", 3) as (found, servers):
            for _ in range(3):
                for server in servers:
                    found.kill_server(server.id)
                    reply = await found.call("/read/1")
                    assert reply.status == 200
                    await found.restart_server(server.id)
