"""Fixtures shared by all tests."""

from typing import Any

import pytest

from tests.load_independent_clock import load_independent_time
from tests.load_independent_clock import LoadIndependentLoop


@pytest.fixture
def anyio_backend(
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[str, dict[str, Any]]:
    """Runs asynchronous tests on asyncio, as the programs do.

    Programs and stand-ins read the clock of the test's event loop, which
    excludes scheduling delays.
    """
    monkeypatch.setattr(
        "wasabiwing.timers.clock_gettime", load_independent_time
    )
    monkeypatch.setattr("wasabiwing.timers.time", load_independent_time)
    for module in ("desk", "engine", "prefix_cache"):
        monkeypatch.setattr(
            f"wasabiwing_standins.{module}.monotonic", load_independent_time
        )
    return "asyncio", {"loop_factory": LoadIndependentLoop}
