"""Tests of the fault soak: its schedule, its checks, its proxy, a short run.

The short run checks no times, so its verdict does not depend on how busy the
machine is.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from random import Random

from anyio import BrokenResourceError
from anyio import connect_tcp
from anyio import create_task_group
from anyio import create_tcp_listener
from anyio import EndOfStream
from anyio import fail_after
from anyio import move_on_after
from anyio import sleep
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
import pytest

from tests.examples import TEST_TIMEOUT_S
from tests.node_deployment import deployment
from tests.node_deployment import POLL_S
from wasabiwing.codes import RunState
from wasabiwing.http_client import HttpClient
from wasabiwing_platform_standins.balancer import BalancerStandIn
from wasabiwing_soak.fault_schedule import draw_schedule
from wasabiwing_soak.fault_schedule import FaultKind
from wasabiwing_soak.loopback_proxy import HOST
from wasabiwing_soak.loopback_proxy import LoopbackProxy
from wasabiwing_soak.promises import CallRecord
from wasabiwing_soak.promises import check_answers
from wasabiwing_soak.promises import check_leaving
from wasabiwing_soak.promises import check_pauses
from wasabiwing_soak.promises import check_runs
from wasabiwing_soak.promises import check_stops
from wasabiwing_soak.promises import check_times
from wasabiwing_soak.promises import check_usage
from wasabiwing_soak.promises import check_versions
from wasabiwing_soak.promises import LinkFault
from wasabiwing_soak.promises import NodeDisturbance
from wasabiwing_soak.promises import Promise
from wasabiwing_soak.promises import RequestArrival
from wasabiwing_soak.promises import SeenVersion
from wasabiwing_soak.promises import ServerStatement
from wasabiwing_soak.promises import Violation
from wasabiwing_soak.report import report_lines
from wasabiwing_soak.report import write_report
from wasabiwing_soak.server_limits import check_limits
from wasabiwing_soak.server_limits import limit_uses
from wasabiwing_soak.server_limits import NamedLimit
from wasabiwing_soak.soak import run_soak
from wasabiwing_soak.soak import SoakOptions

pytestmark = pytest.mark.anyio

LEAVES = ServerStatement("server-0", 0, "book 1", 10.1, True, None)

REFUSES = ServerStatement("server-0", 0, "book 1", 10.1, False, 4.0)

SERVED = CallRecord(
    body="book 1",
    repeatable=False,
    is_stream=False,
    node="node-0",
    sent_s=10.0,
    ended_s=10.2,
    status=200,
    answer=b"answer to book 1",
    expected=b"answer to book 1",
    claim=None,
)
CUT = replace(SERVED, status=0, answer=b"")
STOP = NodeDisturbance("node-0", True, 10.1, 12.0)


def promises(violations: list[Violation]) -> list[Promise]:
    """Returns which promises were broken."""
    return [violation.promise for violation in violations]


class TestStatements:
    """Checks of servers that leave or want no requests."""

    def test_leaving_server_gets_nothing_later_from_that_node(self) -> None:
        later = replace(SERVED, body="book 2", sent_s=12.5, ended_s=12.6)
        arrival = RequestArrival("server-0", 0, "book 2", 12.55)
        calls = [SERVED, later]
        [found] = check_leaving(calls, [LEAVES], [arrival], [])
        assert found.promise is Promise.LEAVING
        for excused in (
            [SERVED, replace(later, sent_s=12.1)],
            [SERVED, replace(later, node="node-1")],
            [replace(SERVED, status=0), later],
        ):
            assert not check_leaving(excused, [LEAVES], [arrival], [])
        restart = NodeDisturbance("node-0", False, 11.0, 12.0)
        assert not check_leaving(calls, [LEAVES], [arrival], [restart])
        new_life = replace(arrival, incarnation_id=1)
        assert not check_leaving(calls, [LEAVES], [new_life], [])

    def test_unwilling_server_gets_two_more_at_most(self) -> None:
        calls = [replace(SERVED, body=f"book {n}") for n in range(1, 5)]
        arrivals = [
            RequestArrival("server-0", 0, f"book {n}", 10.4 + n)
            for n in (2, 3, 4)
        ]
        late = [replace(item, at_s=item.at_s - 1.0) for item in arrivals]
        [found] = check_pauses(calls, [REFUSES], late, [], [])
        assert found.promise is Promise.PAUSE
        # The last one of these comes after the time.
        assert not check_pauses(calls, [REFUSES], arrivals, [], [])
        trouble = LinkFault("server-0", 11.0, 11.5)
        assert not check_pauses(calls, [REFUSES], late, [], [trouble])
        pause = NodeDisturbance("node-0", False, 11.0, 12.0)
        assert not check_pauses(calls, [REFUSES], late, [pause], [])


class TestLimits:
    """Checks of servers that name a limit."""

    LIMIT = NamedLimit("server-0", 1.0, 10.0, 20.0)

    def test_requests_of_all_nodes_are_counted_together(self) -> None:
        node_by_body = {f"read {n}": f"node-{n % 3}" for n in range(12)}
        arrivals = [RequestArrival("server-0", 0, "read 0", 10.0)]
        arrivals += [
            RequestArrival("server-0", 0, f"read {n}", 13.0 + n / 10)
            for n in range(12)
        ]
        [use] = limit_uses([self.LIMIT], arrivals, node_by_body, [])
        assert (use.worst, use.allowed) == (12, 11)
        assert use.used_share == pytest.approx(12 / 7)
        [found] = check_limits([use])
        assert found.promise is Promise.LIMIT
        # The time before the limit binds, another server, a restart of a
        # node, and a new start of the server.
        early = [replace(item, at_s=item.at_s - 2.0) for item in arrivals[1:]]
        [use] = limit_uses(
            [self.LIMIT], arrivals[:1] + early, node_by_body, []
        )
        assert use.worst < 11
        other = [replace(item, server="server-1") for item in arrivals]
        assert not limit_uses([self.LIMIT], other, node_by_body, [])
        restart = NodeDisturbance("node-1", False, 12.0, 12.5)
        [use] = limit_uses([self.LIMIT], arrivals, node_by_body, [restart])
        assert not check_limits([use])
        anew = [*arrivals, replace(arrivals[0], incarnation_id=1)]
        assert not limit_uses([self.LIMIT], anew, node_by_body, [])


class TestSchedule:
    """Faults drawn from a seed."""

    def test_the_same_seed_gives_the_same_faults(self) -> None:
        assert draw_schedule(7, 30.0) == draw_schedule(7, 30.0)
        assert draw_schedule(7, 30.0) != draw_schedule(8, 30.0)

    def test_all_kinds_come_and_all_faults_end(self) -> None:
        faults = [
            fault for seed in range(20) for fault in draw_schedule(seed, 30.0)
        ]
        assert {fault.kind for fault in faults} == set(FaultKind)
        assert all(fault.ends_s <= 30.0 for fault in faults)
        # Faults come in series and overlap.
        assert any(
            later.at_s < earlier.ends_s
            for earlier, later in zip(faults, faults[1:], strict=False)
        )


class TestPromises:
    """Each check finds what breaks its promise, and nothing else."""

    def test_a_request_may_run_twice_only_if_it_may_be_repeated(self) -> None:
        assert check_runs([SERVED], {"book 1": 1}) == []
        found = check_runs([SERVED], {"book 1": 2})
        assert promises(found) == [Promise.RUNS_ONCE]
        repeatable = replace(SERVED, repeatable=True)
        assert check_runs([repeatable], {"book 1": 2}) == []

    def test_a_refusal_must_be_true(self) -> None:
        refused = replace(SERVED, status=503, claim=RunState.NOT_RUN)
        assert check_runs([refused], {}) == []
        found = check_runs([refused], {"book 1": 1})
        assert promises(found) == [Promise.TRUE_REFUSAL]
        unknown = replace(refused, claim=RunState.MAY_HAVE_RUN)
        assert check_runs([unknown], {"book 1": 1}) == []

    def test_an_answer_must_be_whole_and_the_requests_own(self) -> None:
        assert check_answers([SERVED, CUT]) == []
        short = replace(SERVED, answer=b"answer to")
        other = replace(SERVED, answer=b"answer to book 2")
        found = check_answers([short, other])
        assert promises(found) == [Promise.WHOLE_ANSWER] * 2

    def test_a_planned_stop_must_not_cut_what_came_before(self) -> None:
        assert promises(check_stops([CUT], [STOP])) == [Promise.PLANNED_STOP]
        assert check_stops([SERVED], [STOP]) == []
        later = replace(CUT, sent_s=10.15)
        assert check_stops([later], [STOP]) == []
        killed = replace(STOP, planned=False)
        assert check_stops([CUT], [killed]) == []
        assert check_stops([CUT], [STOP, killed]) == []

    def test_a_node_that_works_must_answer_in_time(self) -> None:
        late = replace(SERVED, ended_s=15.0)
        assert check_times([SERVED], [], 4.0) == []
        assert promises(check_times([late], [], 4.0)) == [Promise.IN_TIME]
        assert promises(check_times([CUT], [], 4.0)) == [Promise.IN_TIME]
        assert check_times([late, CUT], [STOP], 4.0) == []
        # A stream that cannot be completed ends without its end.
        assert check_times([replace(CUT, is_stream=True)], [], 4.0) == []

    def test_only_a_new_process_may_start_with_an_older_version(self) -> None:
        seen = [SeenVersion("node-0#1", 1.0, 5), SeenVersion("node-0#2", 2, 4)]
        assert check_versions(seen) == []
        back = SeenVersion("node-0#1", 3.0, 4)
        found = check_versions([*seen, back])
        assert promises(found) == [Promise.CONFIGURATION]

    def test_a_window_has_one_count(self) -> None:
        reports = [(1, {"north": 3}), (1, {"north": 3}), (2, {"north": 4})]
        assert check_usage(reports, 9.0) == []
        found = check_usage([*reports, (2, {"north": 5})], 9.0)
        assert promises(found) == [Promise.USAGE_ONCE]


@asynccontextmanager
async def echo_behind_proxy() -> AsyncIterator[LoopbackProxy]:
    """Runs a server that sends back what it gets, behind a proxy."""

    async def echo(stream: SocketStream) -> None:
        async with stream:
            # A proxy that resets ends this side, too.
            with suppress(BrokenResourceError):
                async for data in stream:
                    await stream.send(data)
                await stream.send_eof()

    async with create_task_group() as tasks:
        listener = await create_tcp_listener(local_host=HOST, local_port=0)
        port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, echo)
        proxy = LoopbackProxy(f"{HOST}:{port}")
        await tasks.start(proxy.run)
        yield proxy
        tasks.cancel_scope.cancel()


async def connect(proxy: LoopbackProxy) -> SocketStream:
    """Connects to a proxy."""
    host, _, port = proxy.address.rpartition(":")
    return await connect_tcp(host, int(port))


class TestLoopbackProxy:
    """Faults of the network."""

    async def test_passes_data_and_its_end_on(self) -> None:
        async with (
            echo_behind_proxy() as proxy,
            await connect(proxy) as stream,
        ):
            with fail_after(TEST_TIMEOUT_S):
                await stream.send(b"hello")
                assert await stream.receive() == b"hello"
                await stream.send_eof()
                with pytest.raises(EndOfStream):
                    await stream.receive()

    @pytest.mark.parametrize("to_target", [True, False])
    async def test_silence_holds_data_back_until_it_ends(
        self, to_target: bool
    ) -> None:
        async with (
            echo_behind_proxy() as proxy,
            await connect(proxy) as stream,
        ):
            proxy.set_silence(to_target, not to_target)
            await stream.send(b"hello")
            with move_on_after(0.2) as scope:
                await stream.receive()
            assert scope.cancelled_caught
            proxy.set_silence(False, False)
            with fail_after(TEST_TIMEOUT_S):
                assert await stream.receive() == b"hello"

    async def test_reset_ends_connections_at_once(self) -> None:
        async with (
            echo_behind_proxy() as proxy,
            await connect(proxy) as stream,
        ):
            with fail_after(TEST_TIMEOUT_S):
                await stream.send(b"hello")
                await stream.receive()
                assert proxy.reset() == 1
                with pytest.raises(BrokenResourceError):
                    await stream.receive()


class TestBalancer:
    """The stand-in of the load balancer."""

    async def test_sends_callers_to_ready_nodes_only(self) -> None:
        async with deployment() as found:
            random = Random(1)
            changes: list[tuple[str, bool]] = []
            balancer = BalancerStandIn(
                {"node-1": str(found.settings.readiness_endpoint)},
                on_change=lambda node, ready: changes.append((node, ready)),
            )
            client = HttpClient()
            await balancer.check_readiness(client, "node-1")
            assert balancer.pick_node(random) is None
            await found.wait_ready()
            await balancer.check_readiness(client, "node-1")
            assert balancer.pick_node(random) == "node-1"
            found.stop.set()
            with fail_after(TEST_TIMEOUT_S):
                while balancer.pick_node(random) is not None:
                    await balancer.check_readiness(client, "node-1")
                    await sleep(POLL_S)
            assert changes == [("node-1", True), ("node-1", False)]
            await client.close()


class TestShortSoak:
    """Real programs, a few seconds of faults."""

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_no_promise_is_broken(
        self, seed: int, tmp_path: Path
    ) -> None:
        options = SoakOptions(
            seed, seconds=6.0, nodes=2, callers=3, check_times=False
        )
        result = await run_soak(options, tmp_path)
        assert result.violations == ()
        assert any(call.status == 200 for call in result.calls)
        write_report(tmp_path, result)
        assert (tmp_path / "soak.png").stat().st_size > 0
        assert report_lines(result)[0].startswith(f"seed {seed}: ")
