"""Tests of queueing: order, fairness, bounds and final answers."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager

from anyio import create_task_group
from anyio.abc import TaskGroup
import pytest
from result import Ok

from tests.policy_examples import DONE
from tests.policy_examples import policy_bench
from tests.policy_examples import PolicyBench
from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.configuration import ZoneState
from wasabiwing.timers import settle

pytestmark = pytest.mark.anyio

SLOTS = 3


class Line:
    """Callers that wait for slots, and what they got in which order."""

    def __init__(self, bench: PolicyBench, tasks: TaskGroup) -> None:
        self.bench = bench
        self._tasks = tasks
        self.served: list[str] = []
        self.choices: list[ServerAssignment] = []
        self.refusal_by_id: dict[str, Failure] = {}

    async def add(self, *calls: Call) -> None:
        """Lets callers arrive in order."""
        for call in calls:
            self._tasks.start_soon(self._acquire, call)
            await settle()

    async def fill(self) -> None:
        """Takes all slots."""
        for number in range(SLOTS):
            await self.add(self.bench.call(f"fill {number}", "filler"))
        assert len(self.choices) == SLOTS
        self.served.clear()

    async def free(self, count: int = 1) -> None:
        """Ends the oldest running requests, one after the other."""
        for _ in range(count):
            self.bench.admission.release(self.choices.pop(0), DONE)
            await settle()

    async def _acquire(self, call: Call) -> None:
        got = await self.bench.admission.acquire(call, 1, frozenset())
        if isinstance(got, Ok):
            self.served.append(call.request_id)
            self.choices.append(got.ok_value)
        else:
            self.refusal_by_id[call.request_id] = got.err_value


class TestOrder:
    """Who gets a slot that becomes free."""

    async def test_class_comes_first_and_then_the_deadline(self) -> None:
        async with _callers() as tasks:
            line = await _full_line(tasks)
            call = line.bench.call
            await line.add(
                call("note", priority_class=3, deadline_s=5.0),
                call("chat late", deadline_s=50.0),
                call("chat soon", deadline_s=20.0),
                call("quote", priority_class=0, deadline_s=59.0),
            )
            await line.free(4)
            assert line.served == ["quote", "chat soon", "chat late", "note"]

    async def test_tenfold_traffic_does_not_delay_others(self) -> None:
        """Guards against one organisation that fills the whole queue."""
        async with _callers() as tasks:
            line = await _full_line(tasks)
            call = line.bench.call
            await line.add(*[call(f"big {n}", "big") for n in range(50)])
            await line.add(*[call(f"small {n}", "small") for n in range(5)])
            await line.free(12)
            places = [
                place
                for place, request_id in enumerate(line.served)
                if request_id.startswith("small")
            ]
            assert len(places) == 5
            assert places[-1] <= 10

    async def test_shares_are_counted_in_tokens(self) -> None:
        """Guards against shares by requests, which favour long ones."""
        async with _callers() as tasks:
            line = await _full_line(tasks)
            call = line.bench.call
            await line.add(
                *[call(f"l{n}", "long", 1180) for n in range(20)],
                *[call(f"s{n}", "short", 100) for n in range(40)],
            )
            await line.free(22)
            long = sum(name.startswith("l") for name in line.served)
            assert long in (2, 3)

    async def test_past_use_of_a_free_system_is_no_debt(self) -> None:
        async with _callers() as tasks:
            line = Line(policy_bench(slots=1), tasks)
            for number in range(30):
                await line.add(line.bench.call(f"early {number}", "early"))
                await line.free()
            await line.fill()
            call = line.bench.call
            await line.add(
                *[call(f"e{n}", "early") for n in range(4)],
                *[call(f"n{n}", "new") for n in range(4)],
            )
            await line.free(4)
            assert sorted(name[0] for name in line.served) == list("eenn")

    async def test_chats_pass_long_prompts_that_no_server_may_take(
        self,
    ) -> None:
        async with _callers() as tasks:
            line = Line(policy_bench(slots=2), tasks)
            call = line.bench.call
            await line.add(*[call(f"n{n}", "x", 9000) for n in range(6)])
            assert line.served == ["n0", "n1", "n2"]
            await line.add(call("chat", "x"))
            assert line.served[3:] == ["chat"]
            await line.free()
            assert line.served[4:] == ["n3"]


class TestWaking:
    """A freed slot wakes one request, and asks the router once."""

    async def test_the_router_is_asked_once_for_a_freed_slot(self) -> None:
        async with _callers() as tasks:
            line = await _full_line(tasks)
            call = line.bench.call
            await line.add(*[call(f"{n}") for n in range(40)])
            asked = _count_decisions(line.bench)
            await line.free(5)
            assert asked() == 5
            assert len(line.served) == 5

    async def test_arrivals_behind_a_queue_do_not_ask_the_router(
        self,
    ) -> None:
        async with _callers() as tasks:
            line = await _full_line(tasks)
            await line.add(line.bench.call("first"))
            asked = _count_decisions(line.bench)
            await line.add(*[line.bench.call(f"{n}") for n in range(20)])
            assert asked() == 0

    async def test_new_capacity_is_used_without_a_release(self) -> None:
        async with _callers() as tasks:
            bench = policy_bench(slots=1)
            bench.set_zone("c", ZoneState.DRAINED)
            line = Line(bench, tasks)
            await line.add(*[bench.call(f"{n}") for n in range(3)])
            assert len(line.served) == 2
            bench.set_zone("c", ZoneState.ACTIVE)
            await bench.timer.advance(0.1)
            assert len(line.served) == 3

    async def test_a_caller_that_leaves_frees_its_place(self) -> None:
        async with _callers() as tasks:
            line = await _full_line(tasks)
            async with create_task_group() as leaving:
                other = Line(line.bench, leaving)
                await other.add(line.bench.call("gone"))
                leaving.cancel_scope.cancel()
            await line.add(line.bench.call("stays"))
            await line.free()
            assert line.served == ["stays"]

    async def test_a_slot_given_to_a_caller_that_left_is_passed_on(
        self,
    ) -> None:
        """Guards against a slot that stays taken for ever."""
        async with _callers() as tasks:
            line = await _full_line(tasks)
            async with create_task_group() as leaving:
                other = Line(line.bench, leaving)
                await other.add(line.bench.call("gone", deadline_s=1.0))
                await line.add(line.bench.call("stays"))
                line.bench.admission.release(line.choices.pop(0), DONE)
                leaving.cancel_scope.cancel()
            # ``acquire`` either passes the slot on or returns it to a caller
            # that must end it.
            for choice in other.choices:
                line.bench.admission.release(choice, DONE)
            await settle()
            assert line.served == ["stays"]


class TestRefusals:
    """Final answers, as early as they are known."""

    async def test_an_organisation_has_a_bounded_queue(self) -> None:
        async with _callers() as tasks:
            line = await _full_line(tasks)
            call = line.bench.call
            await line.add(
                *[call(f"b{n}", "big", queue_limit=3) for n in range(5)],
                call("other", "small", queue_limit=3),
            )
            assert list(line.refusal_by_id) == ["b3", "b4"]
            refusal = line.refusal_by_id["b3"]
            assert refusal.code is ResultCode.OVERLOADED
            assert refusal.run_state is RunState.NOT_RUN
            assert refusal.retry_after_s

    async def test_a_deadline_that_cannot_be_met_is_refused_at_once(
        self,
    ) -> None:
        async with _callers() as tasks:
            line = await _full_line(tasks)
            # One outcome sets the rate: 120 tokens a second for each slot.
            await line.add(line.bench.call("first", "filler"))
            await line.free()
            call = line.bench.call
            await line.add(*[call(f"{n}", deadline_s=90) for n in range(30)])
            before = line.bench.timer.now()
            await line.add(call("hopeless", deadline_s=2.0))
            refusal = line.refusal_by_id["hopeless"]
            assert line.bench.timer.now() == before
            assert refusal.code is ResultCode.DEADLINE_UNREACHABLE
            assert refusal.run_state is RunState.NOT_RUN
            # 30 requests at three a second take 10 s, 8 s past the deadline.
            assert refusal.retry_after_s == pytest.approx(8.0)
            await line.add(call("other", "small", deadline_s=2.0))
            assert "other" not in line.refusal_by_id

    async def test_a_burst_on_an_idle_system_is_not_refused(self) -> None:
        """Guards against a rate that measures demand, not capacity."""
        async with _callers() as tasks:
            line = Line(policy_bench(slots=1), tasks)
            await line.add(line.bench.call("one"))
            await line.bench.timer.advance(30.0)
            await line.free()
            call = line.bench.call
            await line.add(*[call(f"{n}", deadline_s=3.0) for n in range(8)])
            assert not line.refusal_by_id

    async def test_a_passed_deadline_is_answered_without_a_release(
        self,
    ) -> None:
        async with _callers() as tasks:
            line = await _full_line(tasks)
            await line.add(line.bench.call("late", deadline_s=1.0))
            await line.bench.timer.advance(1.1)
            refusal = line.refusal_by_id["late"]
            assert refusal.code is ResultCode.DEADLINE_UNREACHABLE
            assert refusal.run_state is RunState.NOT_RUN

    async def test_requests_are_told_at_once_when_no_server_is_left(
        self,
    ) -> None:
        """Guards against a final answer that waits for the deadline."""
        async with _callers() as tasks:
            line = await _full_line(tasks)
            await line.add(line.bench.call("waits"))
            for zone in ("a", "b", "c"):
                line.bench.set_zone(zone, ZoneState.DRAINED)
            await line.bench.timer.advance(0.1)
            code = line.refusal_by_id["waits"].code
            assert code is ResultCode.NO_BACKEND_SERVER


@asynccontextmanager
async def _callers() -> AsyncIterator[TaskGroup]:
    """Ends callers that still wait when a test is done."""
    async with create_task_group() as tasks:
        yield tasks
        tasks.cancel_scope.cancel()


async def _full_line(tasks: TaskGroup) -> Line:
    """Returns a line before servers that have no free slot."""
    line = Line(policy_bench(slots=1), tasks)
    await line.fill()
    return line


def _count_decisions(bench: PolicyBench) -> Callable[[], int]:
    """Counts router calls from now on."""
    asked: list[str] = []
    choose = bench.router.choose_server

    def spy(call: Call, attempt: int, excluded: frozenset[str]) -> object:
        asked.append(call.request_id)
        return choose(call, attempt, excluded)

    bench.router.choose_server = spy  # type: ignore[method-assign,assignment]
    return lambda: len(asked)
