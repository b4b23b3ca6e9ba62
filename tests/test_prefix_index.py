"""Tests of the prefix index and of the engines' cache events."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from anyio import create_task_group
from msgspec.json import encode
import pytest
from result import Err
from result import Ok
from result import Result

from tests.policy_examples import policy_bench
from tests.policy_examples import PolicyBench
from wasabiwing.cache_poller import CachePoller
from wasabiwing.cache_poller import POLL_PERIOD_S
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.http_client import HttpClient
from wasabiwing.openai_engine import OpenAiEngine
from wasabiwing.ports import CacheEvent
from wasabiwing.prefix_index import block_digests
from wasabiwing.prefix_index import ENTRY_LIFETIME_S
from wasabiwing.prefix_index import MAX_BLOCKS
from wasabiwing.prefix_index import MAX_HOLDERS
from wasabiwing.prefix_index import PrefixIndex
from wasabiwing.timers import FakeTimer
from wasabiwing_standins.engine import EngineStandIn

pytestmark = pytest.mark.anyio

# Ten whole blocks.
PROMPT = "survey note\n" * 214
DIGESTS = block_digests(PROMPT)


class TestDigests:
    """Hashed blocks of a prompt."""

    def test_prompts_share_digests_up_to_their_first_difference(self) -> None:
        other = block_digests(PROMPT[:1000] + "#" + PROMPT[1001:])
        assert len(DIGESTS) == len(other) == 10
        assert other[:3] == DIGESTS[:3]
        assert not set(other[3:]) & set(DIGESTS[3:])

    def test_very_long_prompts_are_hashed_in_part(self) -> None:
        assert len(block_digests("x" * 10_000_000)) == MAX_BLOCKS


class TestIndex:
    """Entries from own sends and cache events, their expiry and bounds."""

    def test_own_sends_are_found_for_a_longer_prompt(self) -> None:
        index = PrefixIndex(FakeTimer())
        index.note_sent("a0", DIGESTS)
        longer = block_digests(PROMPT + "and more of it " * 100)
        assert index.cached_blocks("a0", longer) == 10
        assert index.cached_blocks("b0", longer) == 0
        assert index.servers_holding(longer, 4) == ["a0"]

    def test_the_longest_prefix_comes_first(self) -> None:
        index = PrefixIndex(FakeTimer())
        index.note_sent("short", DIGESTS[:3])
        index.note_sent("long", DIGESTS)
        assert index.servers_holding(DIGESTS, 4) == ["long", "short"]

    async def test_entries_expire(self) -> None:
        timer = FakeTimer()
        index = PrefixIndex(timer)
        index.note_sent("a0", DIGESTS)
        await timer.advance(ENTRY_LIFETIME_S)
        assert index.cached_blocks("a0", DIGESTS) == 0
        assert index.servers_holding(DIGESTS, 4) == []

    def test_a_gap_invalidates_what_is_older(self) -> None:
        """Guards against blocks whose removal event was lost."""
        index = PrefixIndex(FakeTimer())
        index.note_sent("a0", DIGESTS[:5])
        index.note_sent("b0", DIGESTS[:5])
        index.apply_event("a0", CacheEvent(1, stored=DIGESTS[5:8]))
        assert index.cached_blocks("a0", DIGESTS) == 8
        index.apply_event("a0", CacheEvent(3, stored=DIGESTS[:2]))
        assert index.cached_blocks("a0", DIGESTS) == 2
        assert index.cached_blocks("b0", DIGESTS) == 5

    def test_a_repeated_or_late_event_changes_nothing(self) -> None:
        index = PrefixIndex(FakeTimer())
        index.apply_event("a0", CacheEvent(1, stored=DIGESTS))
        index.apply_event("a0", CacheEvent(2, removed=DIGESTS[4:]))
        index.apply_event("a0", CacheEvent(1, stored=DIGESTS))
        assert index.cached_blocks("a0", DIGESTS) == 4

    def test_an_engine_restart_invalidates_its_entries(self) -> None:
        index = PrefixIndex(FakeTimer())
        index.apply_event("a0", CacheEvent(1, stored=DIGESTS))
        index.apply_event("a0", CacheEvent(2, stored=DIGESTS[:1], life=1))
        assert index.cached_blocks("a0", DIGESTS) == 1

    def test_memory_is_bounded(self) -> None:
        index = PrefixIndex(FakeTimer(), max_digests=100)
        for number in range(50):
            index.note_sent("a0", block_digests(f"{number}" + PROMPT))
        for number in range(20):
            index.note_sent(f"s{number}", DIGESTS)
        assert len(index) == 100
        assert len(index.servers_holding(DIGESTS, 50)) == MAX_HOLDERS


class _EventSource(OpenAiEngine):
    """An engine client that answers polls from lists of events."""

    def __init__(self) -> None:
        self.events_by_address: dict[str, list[CacheEvent]] = {}
        self.polled: list[tuple[str, int]] = []

    async def cache_events(
        self, address: str, after: int
    ) -> Result[tuple[CacheEvent, ...], Failure]:
        self.polled.append((address, after))
        events = self.events_by_address.get(address)
        if events is None:
            return Err(Failure(ResultCode.CONNECT_FAILED))
        return Ok(tuple(item for item in events if item.number > after))


class TestPoller:
    """The poller that reads the cache events of the working set."""

    async def test_events_reach_the_index_and_are_asked_for_once(
        self,
    ) -> None:
        source = _EventSource()
        source.events_by_address["a"] = [CacheEvent(1, DIGESTS)]
        async with _polling(source, ("a", "b")) as (bench, index):
            assert index.cached_blocks("a", DIGESTS) == 10
            assert sorted(source.polled) == [("a", 0), ("b", 0)]
            source.polled.clear()
            await bench.timer.advance(POLL_PERIOD_S)
            assert sorted(source.polled) == [("a", 1), ("b", 0)]

    async def test_a_server_that_was_removed_is_no_longer_polled(
        self,
    ) -> None:
        source = _EventSource()
        async with _polling(source, ("a", "b")) as (bench, _):
            bench.apply(_with_servers(bench, ("b",)))
            await bench.timer.advance(POLL_PERIOD_S)
            source.polled.clear()
            await bench.timer.advance(POLL_PERIOD_S)
            assert source.polled == [("b", 0)]


class TestEngineEvents:
    """Cache events of the engine stand-in, read through the adapter."""

    async def test_events_describe_the_engine_cache(self) -> None:
        async with _engine() as (engine, client):
            await _complete(engine, PROMPT)
            events = (await client.cache_events(engine.address, 0)).unwrap()
            assert events == (CacheEvent(1, DIGESTS),)
            later = (await client.cache_events(engine.address, 1)).unwrap()
            assert later == ()

    async def test_fault_switches_delay_and_omit_events(self) -> None:
        async with _engine() as (engine, client):
            engine.faults.cache_event_gap_every = 2
            for number in range(3):
                await _complete(engine, f"{number}" + PROMPT)
            events = (await client.cache_events(engine.address, 0)).unwrap()
            assert [event.number for event in events] == [1, 3]
            engine.faults.cache_event_lag_s = 3600.0
            late = (await client.cache_events(engine.address, 0)).unwrap()
            assert late == ()

    async def test_an_event_number_from_before_a_restart_returns_all_events(
        self,
    ) -> None:
        async with _engine() as (engine, client):
            await _complete(engine, PROMPT)
            events = (await client.cache_events(engine.address, 99)).unwrap()
            assert [event.number for event in events] == [1]


@asynccontextmanager
async def _engine() -> AsyncIterator[tuple[EngineStandIn, OpenAiEngine]]:
    async with create_task_group() as tasks:
        engine = EngineStandIn(tasks, "model-1")
        await engine.start()
        client = OpenAiEngine()
        yield engine, client
        await client.close()
        tasks.cancel_scope.cancel()


async def _complete(engine: EngineStandIn, prompt: str) -> None:
    client = HttpClient()
    reply = await client.send(
        "POST",
        f"http://{engine.address}/v1/completions",
        {"Content-Type": "application/json"},
        encode({"prompt": prompt, "max_tokens": 1}),
        timeout_s=20.0,
    )
    assert reply.unwrap().status == 200
    await client.close()


@asynccontextmanager
async def _polling(
    source: _EventSource, addresses: tuple[str, ...]
) -> AsyncIterator[tuple[PolicyBench, PrefixIndex]]:
    """Runs a poller and waits until its first polls are answered."""
    bench = policy_bench()
    bench.apply(_with_servers(bench, addresses))
    index = bench.router.prefixes
    async with create_task_group() as tasks:
        CachePoller(
            bench.timer,
            bench.view,
            source,
            index,
            bench.router.working_sets,
            tasks,
        )
        await bench.timer.advance(POLL_PERIOD_S)
        yield bench, index
        tasks.cancel_scope.cancel()


def _with_servers(
    bench: PolicyBench, addresses: tuple[str, ...]
) -> Configuration:
    """Returns a configuration whose server ids are their addresses."""
    assert bench.view.index is not None
    configuration = bench.view.index.configuration
    servers = tuple(
        BackendServer(address, address, "a", "r1") for address in addresses
    )
    pools = (replace(configuration.pools[0], servers=servers),)
    return replace(configuration, pools=pools)
