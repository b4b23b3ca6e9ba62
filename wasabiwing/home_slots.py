"""Slot credits on the home controller.

A gateway sends its credit request to the controller on its VM, which passes
each part on to the server's home controller; that one answers the gateway
directly.
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

# A server that turns cold is reported at once.
REPORT_PERIOD_S = 2.0


class HomeSlotAllocator:
    """Lends the slots of the servers whose home this controller is."""

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
        self._sent_by_address: dict[str, dict[str, ServerState]] = {}
        members.subscribe(self.refresh)

    def register(self, router: MessageRouter) -> None:
        """Takes over credit requests and sends reports."""
        router.register(CreditRequest, self.on_request)
        self._timer.subscribe(REPORT_PERIOD_S, self.send_reports)

    def put_in_force(self, configuration: Configuration) -> None:
        """Takes over the servers of a configuration."""
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
        """Estimates a version's part of a pool's slots, from 0 to 1.

        The configured slots are taken, because limits are known only at the
        servers' homes. Servers that are cold or lost count in full.
        """
        servers = self._servers_by_pool.get(pool_id, ())
        total = sum(server.max_slots for server in servers)
        own = sum(
            server.max_slots for server in servers if server.version == version
        )
        return own / total if total else 0.0

    def refresh(self) -> None:
        """Gains and loses home roles after a change."""
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
        """Notes that a server accepts no connection."""
        lending = self.allocator_by_server.get(server_id)
        if lending is not None:
            before = lending.limit.value
            was_cold = lending.limit.cold
            lending.limit.note_unreachable(self._timer.now())
            self._note_change(lending, before, was_cold)

    def note_load(self, server_id: str, sample: LoadSample) -> None:
        """Takes a load report of a server into account."""
        lending = self.allocator_by_server.get(server_id)
        if lending is None:
            return
        before = lending.limit.value
        was_cold = lending.limit.cold
        lending.note_load(sample, self._timer.now())
        self._note_change(lending, before, was_cold)

    async def on_request(
        self, envelope: Envelope, request: CreditRequest
    ) -> None:
        """Answers for own servers and passes the rest on."""
        own = self._members.own.node_id
        uses_by_home: dict[str, list[CreditUse]] = defaultdict(list)
        credits: list[Credit] = []
        for use in request.uses:
            lending = self.allocator_by_server.get(use.server_id)
            if lending is not None:
                count = self._grant(lending, request, use)
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
        """Sends each gateway the states that changed."""
        self._send_changes()

    def _send_changes(self) -> None:
        now = self._timer.now()
        states_by_address: dict[str, list[ServerState]] = defaultdict(list)
        for server_id, lending in self.allocator_by_server.items():
            state = ServerState(
                server_id,
                lending.limit.grantable(now),
                lending.limit.cold,
                lending.running,
                server_id in self.leaving_server_ids,
            )
            for address in lending.recent_gateway_addresses(now):
                states_by_address[address].append(state)
        for address, states in states_by_address.items():
            sent = self._sent_by_address.get(address, {})
            changed = [
                state for state in states if sent.get(state.server_id) != state
            ]
            if changed:
                self._transport.send(address, ServerReport(tuple(changed)))
        self._sent_by_address = {
            address: {state.server_id: state for state in states}
            for address, states in states_by_address.items()
        }

    def _grant(
        self,
        lending: ServerSlotAllocator,
        request: CreditRequest,
        use: CreditUse,
    ) -> int:
        before = lending.limit.value
        was_cold = lending.limit.cold
        leaving = use.server_id in self.leaving_server_ids
        count = lending.grant_credits(request, use, self._timer.now())
        self._note_change(lending, before, was_cold)
        return 0 if leaving else count

    def _note_change(
        self, lending: ServerSlotAllocator, before: int, was_cold: bool
    ) -> None:
        if lending.limit.cold and not was_cold:
            log_event(
                Event.SERVER_COLD,
                self._members.own.node_id,
                server=lending.server_id,
            )
            # Gateways drop the credits of a warm server when they hear it.
            self._send_changes()
        if lending.limit.value != before:
            log_event(
                Event.LIMIT_CHANGED,
                self._members.own.node_id,
                server=lending.server_id,
                before=before,
                limit=lending.limit.value,
                cold=lending.limit.cold,
            )

    def _assign_homes(self) -> None:
        """Recomputes the homes that a change of members can have moved.

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
                rivals = [home, *joined_by_region[region]]
            else:
                rivals = ids_by_region.get(region, [])
            chosen = owner(server_id, rivals)
            if chosen is not None:
                home_by_server[server_id] = chosen
        self._member_by_id = members
        self._home_by_server = home_by_server
