"""Grants slot credits for backend servers on their home controllers.

A gateway sends its credit request to the controller on its VM, which forwards
each part to the server's home controller; the home controller answers the
gateway directly.
"""

from collections import defaultdict

from msgspec.structs import replace

from wasabiwing.concurrency_limit import ConcurrencyLimit
from wasabiwing.concurrency_limit import LoadSample
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Credit
from wasabiwing.messages import CreditGrant
from wasabiwing.messages import CreditRequest
from wasabiwing.messages import CreditUse
from wasabiwing.messages import Envelope
from wasabiwing.messages import ServerReport
from wasabiwing.messages import ServerState
from wasabiwing.ports import Member
from wasabiwing.ports import MemberView
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import owner
from wasabiwing.slot_allocator import ServerSlotAllocator
from wasabiwing.slot_allocator import SlotTimes
from wasabiwing.timers import TimerService

# Period of the server reports to gateways, in seconds; a server that turns
# cold is reported immediately.
REPORT_PERIOD_S = 2.0


class HomeSlotAllocator:
    """Grants the slots of the servers whose home is this controller."""

    def __init__(
        self,
        timer: TimerService,
        transport: Transport,
        members: MemberView,
        times: SlotTimes,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._members = members
        self._times = times
        self._region_by_server: dict[str, str] = {}
        self.server_by_id: dict[str, BackendServer] = {}
        self._servers_by_pool: dict[str, tuple[BackendServer, ...]] = {}
        self.allocator_by_server: dict[str, ServerSlotAllocator] = {}
        self.leaving_server_ids: set[str] = set()
        self._member_by_id: dict[str, Member] = {}
        self._home_by_server: dict[str, str] = {}
        self._sent_states_by_address: dict[str, dict[str, ServerState]] = {}
        members.subscribe(self.refresh)

    def register(self, router: MessageRouter) -> None:
        """Registers the credit request handler and the periodic reports."""
        router.register(CreditRequest, self.on_request)
        self._timer.subscribe(REPORT_PERIOD_S, self.send_reports)

    def put_in_force(self, configuration: Configuration) -> None:
        """Replaces the known servers by those of a configuration."""
        region_by_zone = {
            zone.id: zone.region for zone in configuration.availability_zones
        }
        servers = [
            server for pool in configuration.pools for server in pool.servers
        ]
        self.server_by_id = {server.id: server for server in servers}
        self._servers_by_pool = {
            pool.id: pool.servers for pool in configuration.pools
        }
        self._region_by_server = {
            server.id: region_by_zone.get(server.availability_zone, "")
            for server in servers
        }
        self.refresh()

    def capacity_share(self, pool_id: str, version: str) -> float:
        """Returns a version's share of a pool's configured slots, from 0 to 1.

        Configured slots are used because only a server's home controller
        knows its current limit. Cold and unreachable servers count in full.
        """
        servers = self._servers_by_pool.get(pool_id, ())
        total = sum(server.max_slots for server in servers)
        own = sum(
            server.max_slots for server in servers if server.version == version
        )
        return own / total if total else 0.0

    def refresh(self) -> None:
        """Updates which servers have their home here.

        Called after a change of the members or of the servers.
        """
        self._assign_homes()
        now = self._timer.now()
        own = self._members.own.node_id
        for server_id, server in self.server_by_id.items():
            is_home = self._home_by_server.get(server_id) == own
            known = server_id in self.allocator_by_server
            if is_home and not known:
                limit = ConcurrencyLimit(
                    server.cold_slots,
                    server.max_slots,
                    self._times.load_lag_s,
                    now,
                )
                self.allocator_by_server[server_id] = ServerSlotAllocator(
                    server_id, limit, self._times, now
                )
                log_event(Event.HOME_GAINED, own, server=server_id)
            elif known and not is_home:
                del self.allocator_by_server[server_id]
                log_event(Event.HOME_LOST, own, server=server_id)
        for server_id in set(self.allocator_by_server) - set(
            self.server_by_id
        ):
            del self.allocator_by_server[server_id]

    def note_unreachable(self, server_id: str) -> None:
        """Records that a server accepts no connections."""
        allocator = self.allocator_by_server.get(server_id)
        if allocator is not None:
            before = allocator.limit.value
            was_cold = allocator.limit.cold
            allocator.limit.note_unreachable(self._timer.now())
            self._report_limit_change(allocator, before, was_cold)

    def note_load(self, server_id: str, sample: LoadSample) -> None:
        """Updates a server's limit and charges from its load report."""
        allocator = self.allocator_by_server.get(server_id)
        if allocator is None:
            return
        before = allocator.limit.value
        was_cold = allocator.limit.cold
        allocator.note_load(sample, self._timer.now())
        self._report_limit_change(allocator, before, was_cold)

    async def on_request(
        self, envelope: Envelope, request: CreditRequest
    ) -> None:
        """Grants credits for servers homed here and forwards the rest."""
        own = self._members.own.node_id
        uses_by_home: dict[str, list[CreditUse]] = defaultdict(list)
        credits: list[Credit] = []
        for use in request.uses:
            allocator = self.allocator_by_server.get(use.server_id)
            if allocator is not None:
                count = self._grant(allocator, request, use)
                credits.append(Credit(use.server_id, count))
            elif not request.forwarded:
                home = self._home_by_server.get(use.server_id)
                if home in self._member_by_id and home != own:
                    address = self._member_by_id[home].address
                    uses_by_home[address].append(use)
        for address, uses in uses_by_home.items():
            self._transport.send(
                address, replace(request, uses=tuple(uses), forwarded=True)
            )
        if credits:
            self._transport.send(
                request.address,
                CreditGrant(
                    request.incarnation,
                    request.sequence,
                    int(self._times.credit_lifetime_s * 1000),
                    tuple(credits),
                ),
            )

    async def send_reports(self) -> None:
        """Sends each gateway the server states that changed since before."""
        self._send_changes()

    def _send_changes(self) -> None:
        now = self._timer.now()
        states_by_address: dict[str, list[ServerState]] = defaultdict(list)
        for server_id, allocator in self.allocator_by_server.items():
            state = ServerState(
                server_id,
                allocator.limit.grantable(now),
                allocator.limit.cold,
                allocator.running_count,
                server_id in self.leaving_server_ids,
            )
            for address in allocator.recent_gateway_addresses(now):
                states_by_address[address].append(state)
        for address, states in states_by_address.items():
            sent = self._sent_states_by_address.get(address, {})
            changed = [
                state for state in states if sent.get(state.server_id) != state
            ]
            if changed:
                self._transport.send(address, ServerReport(tuple(changed)))
        self._sent_states_by_address = {
            address: {state.server_id: state for state in states}
            for address, states in states_by_address.items()
        }

    def _grant(
        self,
        allocator: ServerSlotAllocator,
        request: CreditRequest,
        use: CreditUse,
    ) -> int:
        before = allocator.limit.value
        was_cold = allocator.limit.cold
        leaving = use.server_id in self.leaving_server_ids
        count = allocator.grant_credits(request, use, self._timer.now())
        self._report_limit_change(allocator, before, was_cold)
        return 0 if leaving else count

    def _report_limit_change(
        self, allocator: ServerSlotAllocator, before: int, was_cold: bool
    ) -> None:
        if allocator.limit.cold and not was_cold:
            log_event(
                Event.SERVER_COLD,
                self._members.own.node_id,
                server=allocator.server_id,
            )
            # On this report gateways drop the credits of the warm server.
            self._send_changes()
        if allocator.limit.value != before:
            log_event(
                Event.LIMIT_CHANGED,
                self._members.own.node_id,
                server=allocator.server_id,
                before=before,
                limit=allocator.limit.value,
                cold=allocator.limit.cold,
            )

    def _assign_homes(self) -> None:
        """Recomputes the homes that a change of members may have moved.

        A full recomputation would hash each server with each member, which
        takes seconds at 7,700 servers and 1,400 members.
        """
        members = {item.node_id: item for item in self._members.live()}
        ids_by_region: dict[str, list[str]] = defaultdict(list)
        for member in members.values():
            ids_by_region[member.region].append(member.node_id)
        joined_by_region = {
            region: [key for key in ids if key not in self._member_by_id]
            for region, ids in ids_by_region.items()
        }
        home_by_server: dict[str, str] = {}
        for server_id, region in self._region_by_server.items():
            home = self._home_by_server.get(server_id)
            if home in members and members[home].region == region:
                candidate_ids = [home, *joined_by_region[region]]
            else:
                candidate_ids = ids_by_region.get(region, [])
            chosen = owner(server_id, candidate_ids)
            if chosen is not None:
                home_by_server[server_id] = chosen
        self._member_by_id = members
        self._home_by_server = home_by_server
