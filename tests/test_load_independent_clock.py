"""Tests of the clock of the event loop on which tests with sockets run."""

import gc
from time import thread_time

import pytest

from tests.load_independent_clock import load_independent_time

OBJECT_COUNT = 300_000


@pytest.mark.anyio
class TestLoadIndependentClock:
    """What the clock of a test's event loop counts as time."""

    async def test_full_collection_makes_a_request_late(self) -> None:
        """Guards against time limits that garbage of other tests uses up."""
        objects = [[number] for number in range(OBJECT_COUNT)]
        began_s = load_independent_time()
        thread_began_s = thread_time()
        gc.collect()
        took_s = thread_time() - thread_began_s
        assert load_independent_time() - began_s < took_s / 2
        assert len(objects) == OBJECT_COUNT

    async def test_work_of_a_program_counts(self) -> None:
        began_s = load_independent_time()
        thread_began_s = thread_time()
        gc.disable()
        try:
            total = sum(number * number for number in range(OBJECT_COUNT))
        finally:
            gc.enable()
        took_s = thread_time() - thread_began_s
        assert load_independent_time() - began_s >= took_s * 0.99
        assert total
