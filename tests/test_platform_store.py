"""Tests of the store's adapter against the stand-in, with its faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from anyio import create_task_group
from anyio import Event
import pytest
from result import Err
from result import Result

from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import serve_http
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.ports import HttpReply
from wasabiwing.store_eras import era_of
from wasabiwing.store_eras import revision_of
from wasabiwing.store_eras import store_position
from wasabiwing.timers import FakeTimer
from wasabiwing_platform.store import PlatformStore
from wasabiwing_platform_standins.store import PAGE_ITEMS
from wasabiwing_platform_standins.store import StoreFault
from wasabiwing_platform_standins.store import StoreStandIn


class Served:
    """A store stand-in and a client of it."""

    def __init__(self, address: str, timer: FakeTimer) -> None:
        self.timer = timer
        self.codes: list[ResultCode] = []
        self.client = PlatformStore(address, self._count)
        self.store: StoreStandIn

    @property
    def position(self) -> int:
        """Position of the store's latest change."""
        return store_position(self.store.era or 0, self.store.revision)

    def _count(self, kind: str, code: ResultCode) -> None:
        self.codes.append(code)


@asynccontextmanager
async def served() -> AsyncIterator[Served]:
    """Runs a store with a client."""
    timer = FakeTimer()
    store = StoreStandIn(timer)
    listener = bind_listener("127.0.0.1", 0)
    async with create_task_group() as tasks:
        tasks.start_soon(serve_http, store.application(), listener, Event())
        found = Served(listener_address(listener), timer)
        found.store = store
        yield found
        await found.client.close()
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
class TestReads:
    """Reads and watches."""

    async def test_values_come_back_byte_for_byte(self) -> None:
        async with served() as found:
            found.store.put("a/b", b"\x00\xff")
            value = (await found.client.get("a/b")).unwrap()
            assert value is not None and value.value == b"\x00\xff"
            assert (await found.client.get("a/c")).unwrap() is None

    async def test_snapshot_reads_all_pages(self) -> None:
        async with served() as found:
            for number in range(PAGE_ITEMS + 3):
                found.store.put(f"k/{number:04}", b"x")
            found.store.put("other", b"x")
            snapshot = (await found.client.snapshot("k/")).unwrap()
            assert len(snapshot.values) == PAGE_ITEMS + 3
            assert snapshot.revision == found.position

    async def test_watch_tells_changes_and_removals(self) -> None:
        async with served() as found:
            before = found.store.revision
            found.store.put("a", b"1")
            found.store.remove("a")
            changes = (await found.client.changes("", before, 1.0)).unwrap()
            assert [event.value for event in changes.events] == [b"1", None]
            assert changes.revision == found.position

    async def test_dropped_history_has_a_code_of_its_own(self) -> None:
        async with served() as found:
            before = found.store.revision
            found.store.put("a", b"1")
            found.store.drop_history()
            failure = await found.client.changes("", before, 1.0)
            assert isinstance(failure, Err)
            code = failure.err_value.code
            assert code is ResultCode.STORE_HISTORY_GONE


@pytest.mark.anyio
class TestWrites:
    """Changes under a condition."""

    async def test_condition_that_fails_shows_the_current_value(self) -> None:
        async with served() as found:
            first = (await found.client.swap("a", 0, b"1")).unwrap()
            assert first.swapped
            second = (await found.client.swap("a", 0, b"2")).unwrap()
            assert not second.swapped and second.current is not None
            assert second.current.value == b"1"
            third = await found.client.swap("a", first.revision, b"3")
            assert third.unwrap().swapped
            assert found.store.value("a") == b"3"

    async def test_keys_end_with_their_lease(self) -> None:
        async with served() as found:
            lease = (await found.client.grant_lease(3.0)).unwrap()
            await found.client.swap("a", 0, b"1", lease.id)
            await found.timer.advance(2.0)
            assert (await found.client.keep_alive(lease.id)).unwrap().ttl_s
            await found.timer.advance(2.0)
            assert found.store.value("a") == b"1"
            await found.timer.advance(2.0)
            assert found.store.value("a") is None
            lost = await found.client.keep_alive(lease.id)
            assert isinstance(lost, Err)
            assert lost.err_value.code is ResultCode.LEASE_LOST
            gone = await found.client.swap("a", 0, b"1", lease.id)
            assert isinstance(gone, Err)
            assert gone.err_value.code is ResultCode.LEASE_LOST

    async def test_refusal_did_nothing(self) -> None:
        async with served() as found:
            found.store.fault = StoreFault.BUSY
            refused = await found.client.swap("a", 0, b"1")
            assert isinstance(refused, Err)
            code = refused.err_value.code
            assert code is ResultCode.STORE_UNAVAILABLE
            assert found.store.value("a") is None

    async def test_lost_answer_may_have_had_its_effect(self) -> None:
        async with served() as found:
            found.store.fault = StoreFault.LOSES_ANSWERS
            lost = await found.client.swap("a", 0, b"1")
            assert isinstance(lost, Err)
            assert lost.err_value.code is ResultCode.STORE_REPLY_LOST
            assert found.store.value("a") == b"1"
            assert found.codes == [ResultCode.STORE_REPLY_LOST]

    async def test_unreachable_store_did_nothing(self) -> None:
        listener = bind_listener("127.0.0.1", 0)
        address = listener_address(listener)
        listener.close()
        client = PlatformStore(address, lambda kind, code: None)
        refused = await client.swap("a", 0, b"1")
        assert isinstance(refused, Err)
        assert refused.err_value.code is ResultCode.STORE_UNAVAILABLE
        await client.close()


@pytest.mark.anyio
class TestRestores:
    """Answers before and after the store comes back from a copy."""

    async def test_revisions_fall_with_a_restore(self) -> None:
        """Guards against a later change that looks like an earlier one."""
        async with served() as found:
            copy = found.store.copy()
            found.store.put("a", b"1")
            found.store.put("b", b"1")
            before = (await found.client.get("b")).unwrap()
            found.store.restore(copy)
            found.store.put("b", b"2")
            after = (await found.client.get("b")).unwrap()
            assert before is not None and after is not None
            assert revision_of(after.revision) < revision_of(before.revision)
            assert after.revision > before.revision
            assert found.client.eras.current == 2

    async def test_watch_from_a_revision_that_is_gone_has_a_code(
        self,
    ) -> None:
        async with served() as found:
            copy = found.store.copy()
            found.store.put("a", b"1")
            snapshot = (await found.client.snapshot("")).unwrap()
            found.store.restore(copy)
            watched = await found.client.changes("", snapshot.revision, 1.0)
            code = watched.unwrap_err().code
            assert code is ResultCode.STORE_HISTORY_GONE

    async def test_listing_holds_pages_of_two_eras(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a listing that no store ever held."""
        async with served() as found:
            found.store.put("a", b"old")
            for number in range(PAGE_ITEMS):
                found.store.put(f"k/{number:04}", b"old")
            copy = found.store.copy()
            found.store.put("a", b"lost")
            send = found.client._client.send
            pages = 0

            async def send_and_restore(
                *args: Any, **options: Any
            ) -> Result[HttpReply, Failure]:
                nonlocal pages
                pages += 1
                reply = await send(*args, **options)
                if pages == 1:
                    found.store.restore(copy)
                return reply

            monkeypatch.setattr(found.client._client, "send", send_and_restore)
            snapshot = (await found.client.snapshot("")).unwrap()
            assert pages == 4
            value_by_key = {
                stored.key: stored.value for stored in snapshot.values
            }
            assert len(value_by_key) == len(snapshot.values)
            assert value_by_key["a"] == b"old"
            assert {era_of(item.revision) for item in snapshot.values} == {2}
            assert snapshot.revision == found.position

    async def test_store_that_names_no_era_has_one(self) -> None:
        async with served() as found:
            found.store.era = None
            found.store.put("a", b"1")
            stored = (await found.client.get("a")).unwrap()
            assert stored is not None
            assert stored.revision == found.store.revision
