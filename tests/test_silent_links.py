"""Tests of connections between processes that fall silent for good."""

from collections.abc import Callable

from anyio import sleep
import pytest

from tests.silent_links import Connection
from tests.silent_links import linked_nodes
from tests.silent_links import share_of_links

pytestmark = pytest.mark.anyio

# Length of a usage window in these tests, in seconds: reports cover three
# windows, and the time to find silent connections is that of a deployment.
WINDOW_S = 2.0

# Time that nodes take to connect to each other, in seconds.
START_S = 1.0

# Time until a window's counts are read, after its end, in windows: due after
# 10 s for windows of 5 s.
DUE_WINDOWS = 2


def to_first_half(found: Connection) -> bool:
    """Selects the connections to some nodes, and none to the others."""
    return found.target % 2 == 0


# Time in which silent connections are replaced, and from then on closed at
# both ends, in seconds.
REPLACED_S = 4.0


class TestUsageOverSilentLinks:
    """Usage of windows while connections between nodes are silent."""

    @pytest.mark.parametrize(
        ("nodes", "zones", "is_hit"),
        [
            (7, 1, to_first_half),
            (7, 1, lambda found: True),
            (7, 1, share_of_links(0.7, 5)),
            (15, 3, to_first_half),
            (15, 3, lambda found: True),
        ],
        ids=["one way", "all", "0.7", "one way with heads", "all with heads"],
    )
    async def test_windows_are_counted_in_all_nodes(
        self, nodes: int, zones: int, is_hit: Callable[[Connection], bool]
    ) -> None:
        """Guards against usage that is wrong until the processes end."""
        async with linked_nodes(nodes, zones, WINDOW_S) as found:
            await sleep(START_S)
            first = found.nodes[0].windows.window_now() + 1
            found.forwarders.silence(is_hit)
            last = first + 1
            windows = found.nodes[0].windows
            while windows.window_now() <= last + DUE_WINDOWS:
                await sleep(0.1)
            assert found.wrong_windows(first, last) == []

    async def test_windows_are_right_once_new_connections_work(self) -> None:
        """Guards against waits that grow too long to be right in time."""
        async with linked_nodes(7, 1, WINDOW_S) as found:
            await sleep(START_S)
            found.forwarders.starts_silent = lambda target: True
            found.forwarders.silence(lambda connection: True)
            await sleep(REPLACED_S)
            found.forwarders.starts_silent = lambda target: False
            windows = found.nodes[0].windows
            # Up to 6 s go by until the next connection.
            first = windows.window_now() + 3
            while windows.window_now() <= first + DUE_WINDOWS:
                await sleep(0.1)
            assert found.wrong_windows(first, first) == []


class TestSilentConnections:
    """What becomes of connections that are silent."""

    async def test_both_ends_close_them(self) -> None:
        """Guards against descriptors of connections whose end is lost."""
        async with linked_nodes(4, 1, WINDOW_S) as found:
            await sleep(START_S)
            found.forwarders.silence(lambda connection: True)
            silent = tuple(found.forwarders.connections)
            assert len(silent) == 12
            await sleep(REPLACED_S)
            assert {found.closed_ends for found in silent} == {2}

    async def test_connections_with_answers_are_not_replaced(self) -> None:
        async with linked_nodes(4, 1, WINDOW_S) as found:
            await sleep(START_S + REPLACED_S)
            assert len(found.forwarders.connections) == 12
