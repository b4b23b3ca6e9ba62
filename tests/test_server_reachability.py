"""Tests of what a process believes about its links to backend servers."""

import pytest

from wasabiwing.server_reachability import CHECK_PERIOD_S
from wasabiwing.server_reachability import CUT_OFF_SERVERS
from wasabiwing.server_reachability import MAX_PROBES
from wasabiwing.server_reachability import ServerReachability
from wasabiwing.server_reachability import SUSPECT_SILENCE_S
from wasabiwing.timers import FakeTimer

pytestmark = pytest.mark.anyio

STEP_S = 0.05


class Links:
    """Links of one process to servers, some of which are cut."""

    def __init__(self, count: int) -> None:
        self.timer = FakeTimer()
        self.address_by_id = {
            f"server-{number}": f"address-{number}" for number in range(count)
        }
        self.cut_addresses: set[str] = set()
        self.refusing_addresses: set[str] = set()
        self.silence_by_id: dict[str, float] = {}
        self.probed_ids: list[str] = []
        self.reachability = ServerReachability(
            "node-1",
            self.timer,
            lambda: self.address_by_id,
            lambda: self.silence_by_id,
            self._connects,
        )

    @property
    def ids(self) -> list[str]:
        """Ids of all servers."""
        return list(self.address_by_id)

    def cut_all(self) -> None:
        """Cuts all links."""
        self.cut_addresses = set(self.address_by_id.values())

    def fail(self, *server_ids: str) -> None:
        """Lets connects of callers' requests fail."""
        for server_id in server_ids:
            self.reachability.note_connect_failed(server_id)

    async def seconds_until_cut_off(self, limit_s: float) -> float:
        """Returns after how many seconds the process knows that it is cut."""
        began_at = self.timer.now()
        while not self.reachability.is_cut_off:
            await self.timer.advance(STEP_S)
            if self.timer.now() - began_at > limit_s:
                pytest.fail(f"not known after {limit_s} s")
        return self.timer.now() - began_at

    async def _connects(self, address: str) -> bool | None:
        self.probed_ids.append(
            next(
                server_id
                for server_id, known in self.address_by_id.items()
                if known == address
            )
        )
        if address in self.refusing_addresses:
            return False
        return None if address in self.cut_addresses else True


class TestCut:
    """A process that loses its links to all servers at once."""

    @pytest.mark.parametrize("count", [1, 3, 6, 45])
    async def test_cut_is_known_within_a_second_of_one_silent_server(
        self, count: int
    ) -> None:
        links = Links(count)
        links.cut_all()
        links.silence_by_id = {links.ids[0]: SUSPECT_SILENCE_S}
        await links.seconds_until_cut_off(1.0)
        assert links.reachability.is_cut_off_from(links.ids)

    async def test_end_of_a_cut_is_noticed_without_a_request(self) -> None:
        links = Links(6)
        links.cut_all()
        links.fail(*links.ids[:CUT_OFF_SERVERS])
        assert links.reachability.is_cut_off
        await links.timer.advance(5.0)
        links.cut_addresses.clear()
        await links.timer.advance(1.0)
        assert not links.reachability.is_cut_off
        await links.timer.advance(2.0)
        assert links.reachability.unreachable_share(links.ids) == 0.0

    async def test_servers_are_probed_at_a_bounded_rate(self) -> None:
        links = Links(45)
        links.cut_all()
        links.fail(links.ids[0])
        await links.timer.advance(10.0)
        assert len(links.probed_ids) <= 10.0 / CHECK_PERIOD_S * MAX_PROBES


class TestOpenConnections:
    """What failed probes tell about connections that are open."""

    async def test_server_that_refuses_connections_may_still_answer(
        self,
    ) -> None:
        """Guards against a sound run that is given up."""
        links = Links(3)
        links.refusing_addresses = set(links.address_by_id.values())
        links.silence_by_id = dict.fromkeys(links.ids, SUSPECT_SILENCE_S)
        await links.seconds_until_cut_off(1.0)
        assert not any(map(links.reachability.gets_no_answer, links.ids))

    async def test_server_without_any_answer_is_known(self) -> None:
        links = Links(3)
        links.cut_all()
        links.silence_by_id = {links.ids[0]: SUSPECT_SILENCE_S}
        await links.seconds_until_cut_off(1.0)
        assert all(map(links.reachability.gets_no_answer, links.ids))
        links.reachability.note_heard(links.ids[0])
        assert not links.reachability.gets_no_answer(links.ids[0])


class TestSoundLinks:
    """Servers that fail while the links of the process are sound."""

    async def test_silent_server_that_accepts_connections_is_reachable(
        self,
    ) -> None:
        """A sound server may be silent for a second."""
        links = Links(3)
        links.silence_by_id = dict.fromkeys(links.ids, 1.2)
        await links.timer.advance(2.0)
        assert not links.reachability.is_cut_off
        assert not any(map(links.reachability.is_unreachable, links.ids))

    async def test_crash_of_one_server_is_no_cut(self) -> None:
        links = Links(6)
        links.cut_addresses = {links.address_by_id[links.ids[0]]}
        links.fail(links.ids[0])
        for _ in range(60):
            links.reachability.note_heard(links.ids[1])
            await links.timer.advance(STEP_S)
            assert not links.reachability.is_cut_off
        assert links.reachability.is_unreachable(links.ids[0])
        # The others were heard and needed no probe.
        assert set(links.probed_ids) == {links.ids[0]}

    async def test_crash_of_one_service_is_no_cut_from_another(self) -> None:
        links = Links(6)
        crashed, others = links.ids[:3], links.ids[3:]
        links.cut_addresses = {links.address_by_id[item] for item in crashed}
        links.fail(*crashed)
        await links.timer.advance(2.0)
        assert links.reachability.is_cut_off_from(crashed)
        assert not links.reachability.is_cut_off_from(others)
        assert not links.reachability.is_cut_off

    async def test_server_that_is_heard_again_is_reachable(self) -> None:
        links = Links(3)
        links.fail(links.ids[0])
        links.reachability.note_heard(links.ids[0])
        assert not links.reachability.is_unreachable(links.ids[0])

    async def test_server_that_left_is_forgotten(self) -> None:
        links = Links(3)
        links.cut_all()
        links.fail(links.ids[0])
        del links.address_by_id[links.ids[0]]
        await links.timer.advance(CHECK_PERIOD_S)
        assert not links.reachability.is_unreachable("server-0")

    async def test_process_without_requests_probes_nothing(self) -> None:
        links = Links(6)
        links.cut_all()
        await links.timer.advance(10.0)
        assert not links.probed_ids

    async def test_no_servers_are_no_cut(self) -> None:
        links = Links(0)
        assert not links.reachability.is_cut_off_from([])
        assert links.reachability.unreachable_share([]) == 0.0
