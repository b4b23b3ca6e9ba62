"""Tests of a node's entry in the store and its lease."""

import pytest

from tests.platform_fakes import LeaseStoreFake
from tests.platform_fakes import StoreLink
from wasabiwing.presence import MANY_NODES_TTL_S
from wasabiwing.presence import Presence
from wasabiwing.presence import PRESENCE_PERIOD_S
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio

NAME = "node/one@one:7000/zone/5"


class TestPresence:
    """Tests of the entry across restarts, lost replies and outages."""

    async def test_a_restarted_node_takes_its_entry_over(self) -> None:
        timer = FakeTimer()
        store = LeaseStoreFake(timer)
        await Presence("one", NAME, timer, StoreLink(store)).renew(True)
        again = Presence("one", NAME, timer, StoreLink(store))
        await again.renew(True)
        assert again.is_registered
        for _ in range(30):
            await timer.advance(PRESENCE_PERIOD_S)
            await again.renew(True)
            store.expire()
            assert len(store.item_by_key) == 1

    async def test_entry_whose_reply_was_lost_is_not_written_twice(
        self,
    ) -> None:
        timer = FakeTimer()
        store = LeaseStoreFake(timer)
        link = StoreLink(store, replies_to_drop=1)
        presence = Presence("one", NAME, timer, link)
        await presence.renew(True)
        assert not presence.is_registered
        await presence.renew(True)
        assert presence.is_registered
        assert len(store.item_by_key) == 1

    async def test_entry_returns_after_an_outage(self) -> None:
        timer = FakeTimer()
        store = LeaseStoreFake(timer)
        link = StoreLink(store)
        presence = Presence("one", NAME, timer, link)
        await presence.renew(True)
        link.unavailable = True
        await timer.advance(MANY_NODES_TTL_S + 1.0)
        await presence.renew(True)
        assert not presence.is_registered
        link.unavailable = False
        await presence.renew(True)
        store.expire()
        assert len(store.item_by_key) == 1

    async def test_a_stopped_node_has_no_entry(self) -> None:
        timer = FakeTimer()
        store = LeaseStoreFake(timer)
        presence = Presence("one", NAME, timer, StoreLink(store))
        await presence.renew(False)
        await presence.leave()
        await presence.renew(False)
        assert store.item_by_key == {}
