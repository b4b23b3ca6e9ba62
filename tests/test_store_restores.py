"""Tests of nodes whose store comes back from an older copy."""

import pytest
from result import Result

from tests.platform_fakes import LeaseStoreFake
from tests.platform_fakes import LongPollStoreLink
from tests.relay_fleet import relay_fleet
from tests.relay_fleet import RelayFleet
from tests.relay_fleet import RelayNode
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.events import Event
from wasabiwing.fleet_follower import RESTORE_HOLD_S
from wasabiwing.leases import LeaseHolder
from wasabiwing.ports import StoredValue
from wasabiwing.presence import Presence
from wasabiwing.restorable_store import RestorableStore
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.store_eras import era_of
from wasabiwing.store_eras import revision_of
from wasabiwing.store_eras import store_position
from wasabiwing.store_eras import StoreEras
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio

# Time in which a change has to be in force on all nodes, in seconds.
APPLY_S = 4.0

# Calls to the store that a node may make within ``APPLY_S`` of its return:
# a listing, watches, a lease and an entry, and renewals.
CALLS_PER_NODE = 16

# Number of nodes that read the store themselves: up to 13, and the heads.
NODE_COUNTS = (1, 3, 7, 30, 195)


async def lose(fleet: RelayFleet, lost_s: float, down_s: float = 2.0) -> None:
    """Restores the store from a copy that is ``lost_s`` seconds old.

    Servers write again what they wrote.
    """
    copy = fleet.store.copy()
    await fleet.run(lost_s)
    links = [node.link for node in fleet.nodes]
    for link in links:
        link.unavailable = True
    await fleet.run(down_s)
    fleet.store.restore(copy)
    for link in links:
        link.unavailable = False


def versions(fleet: RelayFleet) -> set[int | None]:
    """Returns the configuration versions in force on the nodes."""
    return {node.version for node in fleet.nodes}


def usable(node: RelayNode) -> set[str]:
    """Returns the ids of servers that get new requests from a node."""
    return {server.id for server in node.view.servers("models")}


class TestPositions:
    """The order of what is read from a restored store."""

    def test_order_is_by_era_first(self) -> None:
        assert store_position(2, 5) > store_position(1, 900_000)
        assert store_position(1, 6) > store_position(1, 5)
        position = store_position(3, 7)
        assert (era_of(position), revision_of(position)) == (3, 7)

    def test_no_revision_is_no_position_in_any_era(self) -> None:
        assert store_position(9, 0) == 0

    def test_positions_are_whole_numbers_of_json(self) -> None:
        largest = store_position(8191, (1 << 40) - 1)
        assert float(largest) == largest

    def test_first_era_is_no_restore(self) -> None:
        eras = StoreEras("node")
        calls: list[int] = []
        eras.subscribe(lambda: calls.append(eras.current))
        assert eras.note_answer("4") == 4
        assert not calls
        assert eras.note_answer("5") == 5
        assert eras.note_answer("7") == 7
        assert calls == [5, 7]

    @pytest.mark.parametrize("text", ["", "x", "-1", "1.5", "4"])
    def test_unusable_era_changes_nothing_and_is_logged_once(
        self, text: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        events: list[Event] = []
        monkeypatch.setattr(
            "wasabiwing.store_eras.log_event",
            lambda event, node, **fields: events.append(event),
        )
        eras = StoreEras("node")
        eras.note_answer("5")
        for _ in range(3):
            assert eras.note_answer(text) == (4 if text == "4" else 5)
        assert eras.current == 5
        assert events == [Event.STORE_ERA_UNUSABLE]


class TestConfigurations:
    """Configurations that come after the store's return."""

    @pytest.mark.parametrize("count", NODE_COUNTS)
    async def test_new_configuration_is_never_in_force_after_a_restore(
        self, count: int
    ) -> None:
        """Guards against nodes that refuse what a restored store says."""
        async with relay_fleet(count) as fleet:
            await fleet.run(3.0)
            fleet.store.put("configuration", b"2")
            await lose(fleet, 9.0)
            calls = fleet.store.calls
            fleet.store.put("configuration", b"3")
            await fleet.run(APPLY_S)
            assert versions(fleet) == {3}
            assert fleet.store.calls - calls < CALLS_PER_NODE * count
            for node in fleet.nodes:
                assert node.versions == sorted(node.versions)

    @pytest.mark.parametrize("count", [1, 7, 30])
    async def test_configuration_comes_back_older(self, count: int) -> None:
        """A lost version stays in force until a newer one is written."""
        async with relay_fleet(count) as fleet:
            copy = fleet.store.copy()
            fleet.store.put("configuration", b"2")
            await fleet.run(APPLY_S)
            fleet.store.restore(copy)
            await fleet.run(APPLY_S)
            assert versions(fleet) == {2}
            fleet.store.put("configuration", b"2")
            fleet.store.put("configuration", b"5")
            await fleet.run(APPLY_S)
            assert versions(fleet) == {5}

    @pytest.mark.parametrize("seed", range(4))
    async def test_revisions_that_were_given_out_again_hide_a_change(
        self, seed: int
    ) -> None:
        """Guards against a watch from a revision of another content."""
        async with relay_fleet(7, seed=seed) as fleet:
            copy = fleet.store.copy()
            fleet.store.put("configuration", b"2")
            await fleet.run(0.7 + seed * 0.1)
            fleet.store.restore(copy)
            fleet.store.put("configuration", b"3")
            # The revisions that the nodes know exist again.
            for number in range(40):
                fleet.store.put(f"op/{number}", b"")
            await fleet.run(APPLY_S)
            assert versions(fleet) == {3}

    @pytest.mark.parametrize("count", [3, 30])
    async def test_restores_in_a_row_leave_a_node_behind(
        self, count: int
    ) -> None:
        async with relay_fleet(count) as fleet:
            version = 1
            for down_s in (0.0, 2.0, 0.3, 1.0):
                version += 1
                copy = fleet.store.copy()
                fleet.store.put("configuration", str(version).encode())
                await fleet.run(0.8)
                await lose(fleet, 1.0, down_s)
                fleet.store.restore(copy)
                version += 1
                fleet.store.put("configuration", str(version).encode())
                await fleet.run(APPLY_S)
                assert versions(fleet) == {version}

    async def test_node_that_the_store_rejects_stays_in_the_old_era(
        self,
    ) -> None:
        """Guards against a new era that a head cannot pass on."""
        async with relay_fleet(30) as fleet:
            node = next(
                node for node in fleet.nodes if node.heads.own_rank() is None
            )
            await lose(fleet, 5.0)
            node.link.unavailable = True
            fleet.store.put("configuration", b"2")
            await fleet.run(APPLY_S)
            assert node.link.eras.current < fleet.store.era
            assert node.version == 2

    async def test_head_that_pushes_the_old_era_wins(self) -> None:
        """Guards against an older state that a suspended head sends on."""
        async with relay_fleet(30) as fleet:
            head = fleet.heads("zone-a")[0]
            await lose(fleet, 5.0)
            head.link.unavailable = True
            fleet.store.put("configuration", b"2")
            await fleet.run(APPLY_S)
            others = [node for node in fleet.nodes if node is not head]
            assert {node.version for node in others} == {2}
            # It learns the new era from the other heads.
            assert head.version == 2


class TestServers:
    """Servers that were leaving, or had left, before the loss."""

    @pytest.mark.parametrize("count", [3, 30])
    @pytest.mark.parametrize("has_ended", [False, True])
    async def test_server_that_left_is_in_use_again(
        self, count: int, has_ended: bool
    ) -> None:
        """Guards against an older entry of a server that says it leaves."""
        async with relay_fleet(count) as fleet:
            copy = fleet.store.copy()
            fleet.state_by_server["server-0"] = "draining"
            await fleet.run(3.0)
            if has_ended:
                del fleet.state_by_server["server-0"]
                fleet.store.put("servers/server-0", None)
                await fleet.run(3.0)
            fleet.state_by_server.pop("server-0", None)
            fleet.store.restore(copy)
            for _ in range(80):
                await fleet.run(0.05)
                for node in fleet.nodes:
                    assert "server-0" not in usable(node)

    async def test_server_that_registered_after_the_copy_gets_no_requests(
        self,
    ) -> None:
        """Guards against a sound server that is dropped until it writes."""
        async with relay_fleet(7) as fleet:
            copy = fleet.store.copy()
            fleet.state_by_server["server-9"] = "ready"
            await fleet.run(3.0)
            fleet.store.restore(copy)
            for _ in range(60):
                await fleet.run(0.05)
                for node in fleet.nodes:
                    assert "server-9" in usable(node)

    @pytest.mark.parametrize(
        ("known", "listed", "kept"),
        [
            ((100, True), (100, False), (100, True)),
            ((100, False), (100, True), (100, True)),
            ((200, False), (100, False), (200, False)),
            ((100, True), (200, False), (200, False)),
        ],
    )
    def test_entry_of_an_older_copy_yields_to_what_is_known(
        self,
        known: tuple[int, bool],
        listed: tuple[int, bool],
        kept: tuple[int, bool],
    ) -> None:
        directory = ServerDirectory(FakeTimer())
        directory.put(entry(*known))
        assert directory.entry_after_restore(entry(*listed)) == entry(*kept)

    @pytest.mark.parametrize(
        ("started_ms", "returns"), [(99, False), (100, False), (101, True)]
    )
    def test_process_that_has_left_does_not_come_back(
        self, started_ms: int, returns: bool
    ) -> None:
        directory = ServerDirectory(FakeTimer())
        directory.put(entry(100, True))
        directory.remove("server-0")
        listed = entry(started_ms, False)
        found = directory.entry_after_restore(listed)
        assert found == (listed if returns else None)


def entry(started_ms: int, draining: bool) -> RegisteredServer:
    """Returns the registry entry of one process of a server."""
    return RegisteredServer(
        "server-0",
        "models",
        "10.0.0.1:80",
        "zone-a",
        "v1",
        16,
        draining,
        started_ms=started_ms,
    )


class TestEvacuations:
    """Evacuations that the restored store does not hold."""

    @pytest.mark.parametrize("count", [3, 30])
    async def test_evacuation_ends_with_the_loss(self, count: int) -> None:
        """Guards against requests to a zone that the operator evacuates."""
        async with relay_fleet(count) as fleet:
            copy = fleet.store.copy()
            fleet.store.put("out/zone-a", b"")
            await fleet.run(3.0)
            fleet.store.restore(copy)
            await fleet.run(RESTORE_HOLD_S / 2)
            for node in fleet.nodes:
                assert node.view.evacuated_zones == {"zone-a"}
            fleet.store.put("out/zone-a", b"")
            await fleet.run(RESTORE_HOLD_S * 2)
            for node in fleet.nodes:
                assert node.view.evacuated_zones == {"zone-a"}
            fleet.store.put("out/zone-a", None)
            await fleet.run(APPLY_S)
            for node in fleet.nodes:
                assert not node.view.evacuated_zones

    @pytest.mark.parametrize("count", [3, 30])
    async def test_evacuation_that_nobody_writes_again_never_ends(
        self, count: int
    ) -> None:
        async with relay_fleet(count) as fleet:
            copy = fleet.store.copy()
            fleet.store.put("out/zone-a", b"")
            await fleet.run(3.0)
            fleet.store.restore(copy)
            await fleet.run(RESTORE_HOLD_S - 1.0)
            for node in fleet.nodes:
                assert node.view.evacuated_zones == {"zone-a"}
            await fleet.run(1.0 + APPLY_S)
            for node in fleet.nodes:
                assert not node.view.evacuated_zones


class RestoredLease:
    """Two nodes that hold leases in a store, and its restore."""

    def __init__(self) -> None:
        self.timer = FakeTimer()
        self.store = LeaseStoreFake(self.timer)
        self.store.put("first", b"")
        self.links = [LongPollStoreLink(self.store, self.timer) for _ in "ab"]
        self.stores = [RestorableStore(link) for link in self.links]
        self.holders = [
            LeaseHolder(
                name,
                self.timer,
                store,
                3.0,
                lambda link=link: link.eras.current,  # type: ignore[misc]
            )
            for name, store, link in zip(
                "ab", self.stores, self.links, strict=True
            )
        ]

    async def see_era(self) -> None:
        """Lets both nodes get an answer of the store."""
        for store in self.stores:
            await store.get("first")


class TestLeases:
    """Leases and their fencing numbers."""

    async def test_lease_that_the_store_forgot_is_held_on(self) -> None:
        """Guards against a holder whose key another process may take."""
        found = RestoredLease()
        await found.see_era()
        copy = found.store.copy()
        await found.holders[0].acquire("duties")
        found.store.restore(copy)
        # The other node is given the same lease id.
        await found.see_era()
        await found.holders[1].acquire("duties")
        assert found.holders[0].held_lease("duties") is None
        await found.holders[0].extend()
        assert found.holders[0].held_lease("duties") is None
        assert found.holders[1].held_lease("duties") is not None

    async def test_fencing_number_falls_with_the_revisions(self) -> None:
        found = RestoredLease()
        await found.see_era()
        copy = found.store.copy()
        for _ in range(50):
            found.store.put("more", b"")
        before = (await found.holders[0].acquire("duties")).unwrap()
        found.store.restore(copy)
        await found.see_era()
        after = (await found.holders[1].acquire("duties")).unwrap()
        assert revision_of(after.fencing_number) < revision_of(
            before.fencing_number
        )
        assert after.fencing_number > before.fencing_number

    async def test_lease_that_the_copy_holds_is_given_up(self) -> None:
        """A holder whose key the copy has goes on, with a new number."""
        found = RestoredLease()
        before = (await found.holders[0].acquire("duties")).unwrap()
        copy = found.store.copy()
        found.store.put("more", b"")
        found.store.restore(copy)
        await found.see_era()
        assert found.holders[0].held_lease("duties") is None
        await found.holders[0].extend()
        after = found.holders[0].held_lease("duties")
        assert after is not None
        assert after.fencing_number > before.fencing_number

    async def test_lease_that_is_released_meanwhile_is_held_again(
        self,
    ) -> None:
        """Guards against a stop between a restore and the next renewal."""
        found = RestoredLease()
        for name in ("duties", "more"):
            await found.holders[0].acquire(name)
        copy = found.store.copy()
        found.store.restore(copy)
        await found.see_era()
        get = found.links[0].get

        async def get_late(key: str) -> Result[StoredValue | None, Failure]:
            await found.holders[0].release("duties")
            return await get(key)

        found.links[0].get = get_late  # type: ignore[method-assign]
        await found.holders[0].extend()
        assert found.holders[0].held_lease("duties") is None
        assert found.holders[0].held_lease("more") is not None

    async def test_entry_of_a_node_is_lost(self) -> None:
        found = RestoredLease()
        link = found.links[0]
        presence = Presence(
            "a",
            "node/a@10.0.0.1:1/zone/5",
            found.timer,
            found.stores[0],
            current_era=lambda: link.eras.current,
        )
        await found.see_era()
        copy = found.store.copy()
        await presence.renew(False)
        key = "/wasabiwing/lease/node/a@10.0.0.1:1/zone/5"
        assert found.store.stored(key) is not None
        found.store.restore(copy)
        assert found.store.stored(key) is None
        await found.see_era()
        assert not presence.is_registered
        await presence.renew(False)
        assert presence.is_registered
        assert found.store.stored(key) is not None


class TestConditions:
    """Conditional writes whose condition is of an earlier era."""

    async def test_condition_is_met_by_another_content(self) -> None:
        """Guards against a revision that exists again."""
        timer = FakeTimer()
        fake = LeaseStoreFake(timer)
        link = LongPollStoreLink(fake, timer)
        store = RestorableStore(link)
        fake.put("other", b"")
        copy = fake.copy()
        expected = fake.put("key", b"old")
        await store.get("key")
        fake.restore(copy)
        again = fake.put("key", b"new")
        assert revision_of(again) == revision_of(expected)
        await store.get("other")
        swapped = (await store.swap("key", expected, b"mine")).unwrap()
        assert not swapped.swapped
        assert swapped.revision == again
        deleted = (await store.delete("key", expected)).unwrap()
        assert not deleted.swapped
        found = fake.stored("key")
        assert found is not None and found.value == b"new"

    async def test_write_over_an_unseen_restore_is_taken_as_done(
        self,
    ) -> None:
        """The condition was about a value that the store has lost."""
        timer = FakeTimer()
        fake = LeaseStoreFake(timer)
        link = LongPollStoreLink(fake, timer)
        store = RestorableStore(link)
        fake.put("other", b"")
        copy = fake.copy()
        expected = fake.put("key", b"old")
        await store.get("key")
        fake.restore(copy)
        fake.put("key", b"new")
        swapped = await store.swap("key", expected, b"mine")
        failure = swapped.unwrap_err()
        assert failure.code is ResultCode.STORE_REPLY_LOST

    async def test_watch_of_an_earlier_era_goes_on(self) -> None:
        timer = FakeTimer()
        fake = LeaseStoreFake(timer)
        link = LongPollStoreLink(fake, timer)
        store = RestorableStore(link)
        after = fake.put("key", b"old")
        await store.get("key")
        copy = fake.copy()
        fake.restore(copy)
        fake.put("key", b"new")
        watched = await store.changes("", after, 1.0)
        assert watched.unwrap_err().code is ResultCode.STORE_HISTORY_GONE
