"""Tests of model requests that are interrupted before they run."""

from random import Random
from typing import Any
from typing import cast

from anyio import create_task_group
from anyio import wait_all_tasks_blocked
import pytest
from result import Err

from tests.policy_examples import policy_bench
from wasabiwing.answer_log import AnswerLog
from wasabiwing.codes import RunState
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.model_dispatch import ModelDispatcher
from wasabiwing.retry_policy import RetryPolicy
from wasabiwing.running_request import Interrupt
from wasabiwing.running_request import RunningRequest


@pytest.mark.anyio
class TestInterruptedWait:
    """Interrupts of a request that waits for a slot."""

    @pytest.mark.parametrize(
        "reason", [Interrupt.ABANDONED, Interrupt.DEADLINE, Interrupt.YIELDED]
    )
    async def test_an_interrupted_wait_ends_the_request_as_not_run(
        self, reason: Interrupt
    ) -> None:
        """Guards against an error in place of the request's failure.

        The code after the wait follows a cancelled scope, so a type checker
        takes it for unreachable and finds no wrong name in it.
        """
        bench = policy_bench(slots=1)
        filler = bench.call("filler")
        while not isinstance(
            bench.router.choose_server(filler, 1, frozenset()), Err
        ):
            pass
        dispatcher = ModelDispatcher(
            "gateway-1",
            bench.timer,
            bench.view,
            bench.admission,
            # Neither an engine nor the quarantine is reached without a slot.
            cast(Any, None),
            GatewayMetrics(),
            RetryPolicy(Random(7)),
            cast(Any, None),
        )
        request = RunningRequest(bench.call("waiting"), AnswerLog("waiting"))
        async with create_task_group() as tasks:
            tasks.start_soon(dispatcher.run, request)
            await wait_all_tasks_blocked()
            # A move concerns only requests that run on a server.
            request.interrupt(Interrupt.MOVE)
            await wait_all_tasks_blocked()
            assert request.answer.failure is None
            request.interrupt(reason)
        failure = request.answer.failure
        assert failure is not None
        assert failure.run_state is RunState.NOT_RUN
