"""Tests of the server directory: which servers may get new work."""

from dataclasses import replace

import pytest

from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.timers import FakeTimer

WARM = RegisteredServer(
    id="",
    service="desk",
    address="10.0.0.1:80",
    availability_zone="zone-a",
    version="v1",
    slots=8,
)


def entry(
    server_id: str,
    draining: bool = False,
    cold_s: float = 0.0,
    started_ms: int = 0,
) -> RegisteredServer:
    """Returns an entry of a server."""
    return replace(
        WARM,
        id=server_id,
        draining=draining,
        cold_s=cold_s,
        started_ms=started_ms,
    )


def usable(directory: ServerDirectory) -> list[str]:
    """Returns the ids of the servers that may get work."""
    return [server.id for server in directory.servers_of_service("desk")]


class TestServerDirectory:
    """Entries that are added, changed and removed."""

    def test_draining_server_gets_no_work(self) -> None:
        directory = ServerDirectory(FakeTimer())
        directory.put(entry("one"))
        directory.put(entry("two"))
        directory.put(entry("one", draining=True))
        assert usable(directory) == ["two"]
        assert directory.get("one") is not None

    def test_removed_server_gets_no_work(self) -> None:
        directory = ServerDirectory(FakeTimer())
        directory.put(entry("one"))
        directory.remove("one")
        assert usable(directory) == []

    @pytest.mark.anyio
    async def test_entry_that_lapsed_in_an_outage_stays_two_seconds(
        self,
    ) -> None:
        timer = FakeTimer()
        directory = ServerDirectory(timer)
        directory.put(entry("one"))
        directory.note_store_failure()
        await timer.advance(8.0)
        directory.note_store_answer()
        directory.remove("one")
        await timer.advance(1.9)
        assert usable(directory) == ["one"]
        await timer.advance(0.2)
        assert usable(directory) == []

    @pytest.mark.anyio
    async def test_entry_that_comes_back_after_an_outage_stays(self) -> None:
        timer = FakeTimer()
        directory = ServerDirectory(timer)
        directory.put(entry("one"))
        directory.note_store_failure()
        directory.note_store_answer()
        directory.remove("one")
        await timer.advance(1.0)
        directory.put(entry("one"))
        await timer.advance(5.0)
        assert usable(directory) == ["one"]

    @pytest.mark.anyio
    async def test_removal_long_after_an_outage_counts_at_once(self) -> None:
        """Guards against requests to a server removed after the grace time."""
        timer = FakeTimer()
        directory = ServerDirectory(timer)
        directory.put(entry("one"))
        directory.note_store_failure()
        directory.note_store_answer()
        await timer.advance(2.5)
        directory.remove("one")
        assert usable(directory) == []

    @pytest.mark.anyio
    async def test_cut_watch_counts_as_an_outage(self) -> None:
        """Guards against requests to a server removed after a cut (DRAIN)."""
        timer = FakeTimer()
        directory = ServerDirectory(timer)
        directory.put(entry("one"))
        directory.note_store_answer()
        await timer.advance(1.5)
        directory.note_store_alive()
        await timer.advance(0.8)
        directory.note_store_failure(is_cut=True)
        await timer.advance(0.6)
        directory.note_store_failure(is_cut=True)
        await timer.advance(0.3)
        directory.note_store_answer()
        directory.remove("one")
        assert usable(directory) == []

    @pytest.mark.anyio
    @pytest.mark.parametrize(
        ("silence_s", "refusals"), [(2.1, 0), (8.0, 0), (0.0, 1)]
    )
    async def test_entry_that_lapsed_before_a_cut_is_gone(
        self, silence_s: float, refusals: int
    ) -> None:
        """Guards against an outage that ends with a cut, or begins with it."""
        timer = FakeTimer()
        directory = ServerDirectory(timer)
        directory.put(entry("one"))
        directory.note_store_answer()
        await timer.advance(silence_s)
        directory.note_store_failure(is_cut=True)
        for _ in range(refusals):
            directory.note_store_failure()
        await timer.advance(0.4)
        directory.note_store_answer()
        directory.remove("one")
        assert usable(directory) == ["one"]
        await timer.advance(2.1)
        assert usable(directory) == []

    def test_listing_takes_out_what_it_lacks(self) -> None:
        directory = ServerDirectory(FakeTimer())
        directory.put(entry("one"))
        directory.replace_all({"two": entry("two")})
        assert usable(directory) == ["two"]
        assert directory.loaded

    @pytest.mark.anyio
    async def test_server_is_cold_for_the_stated_time(self) -> None:
        timer = FakeTimer()
        directory = ServerDirectory(timer)
        directory.put(entry("one", cold_s=3.0))
        await timer.advance(2.9)
        assert directory.is_cold("one")
        await timer.advance(0.2)
        assert not directory.is_cold("one")
        directory.mark_cold("one", 1.0)
        assert directory.is_cold("one")

    def test_restart_under_the_same_id_is_noticed(self) -> None:
        directory = ServerDirectory(FakeTimer())
        assert directory.put(entry("one", started_ms=1))
        assert not directory.put(entry("one", started_ms=1))
        assert directory.put(entry("one", started_ms=2))
