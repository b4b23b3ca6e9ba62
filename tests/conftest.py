"""Fixtures shared by all tests."""

from typing import Any

import pytest

from tests.own_time import own_time
from tests.own_time import OwnTimeLoop


@pytest.fixture
def anyio_backend(
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[str, dict[str, Any]]:
    """Runs asynchronous tests on asyncio, as the programs do.

    Programs and stand-ins read the clock of the test's event loop.
    """
    monkeypatch.setattr("wasabiwing.timers.clock_gettime", own_time)
    monkeypatch.setattr("wasabiwing.timers.time", own_time)
    for module in ("desk", "engine", "prefix_cache"):
        monkeypatch.setattr(
            f"wasabiwing_standins.{module}.monotonic", own_time
        )
    return "asyncio", {"loop_factory": OwnTimeLoop}
