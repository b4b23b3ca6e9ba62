"""Issues the slots of brittle servers to all gateways or nodes.

Load pattern: more requests than the slots of servers that crash when they
refuse more than a few requests in a second, behind many gateways or nodes of
which each sees a small part. One of them keeps account of the slots of a
service and lends each of them for one request, so that no server gets more
than it has room for and few slots serve any number of processes. A request
that no slot reaches in time is told so at once. This module sends nothing.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from math import ceil
from math import floor
from math import inf
from random import Random

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.messages import SlotEnded
from wasabiwing.messages import SlotGrant
from wasabiwing.messages import SlotReport
from wasabiwing.messages import SlotRequest
from wasabiwing.timers import TimerService

# Time for which a slot counts as taken after its grant and after each report
# that names its request, in seconds. Grants and reports may be lost.
GRANT_LIFETIME_S = 0.6
REPORT_LIFETIME_S = 2.0

# Time after its first message about a service in which a process does not know
# yet which slots are taken, in seconds; longer than the period of reports.
WARM_UP_S = 0.35

# Age from which a process would have heard of brittle servers before, in
# seconds.
INFORMED_AGE_S = 3.0

# Time in which refusals are counted, in seconds, and the share of those that
# a server can bear after which it gets no requests for that time.
REFUSAL_WINDOW_S = 1.0
MAX_REFUSAL_SHARE = 0.5

# Weight of the refusal of a request that had no slot, because its process did
# not know of the brittle server. It says nothing about the slots.
UNKNOWN_WEIGHT = 0.5

# Time after which a server that had less room than slots is tried with one
# more request, in seconds.
ROOM_STEP_S = 3.0

# Weight of the latest run in the average duration of runs.
DURATION_WEIGHT = 0.1

# Multiple of its wait beyond which a request does not queue.
QUEUE_FACTOR = 1.5

# Shortest time after which a refused caller is asked to return, and the
# longest by which callers are asked to return one after the other, in seconds.
MIN_RETURN_S = 0.1
MAX_STAGGER_S = 1.5

# Period in which a process that may issue a part of a slot draws anew whether
# it may issue the whole one, in seconds.
DRAW_PERIOD_S = 1.0

# Grants for requests of processes, by the processes' ids.
Grants = list[tuple[str, SlotGrant]]

# A request's process and id.
_Key = tuple[str, str]


@dataclass(slots=True)
class _Server:
    """Slots of one server that are taken, and what it has refused."""

    slots: int = 1
    max_refusals: int = 0
    # When the slots count as free again, by request.
    expiry_by_key: dict[_Key, float] = field(default_factory=dict)
    # Times of the grants, by request.
    granted_at: dict[_Key, float] = field(default_factory=dict)
    # Times and weights of refusals.
    refusals: deque[tuple[float, float]] = field(default_factory=deque)
    # Number of requests that the server held when it refused one, and when
    # one more is tried; more than its slots if unknown.
    room: float = inf
    next_step_at: float = 0.0


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A request in the queue for a slot."""

    request: SlotRequest
    since: float
    expires_at: float


@dataclass(slots=True)
class _Service:
    """Queue of one service."""

    waiter_by_key: dict[_Key, _Waiter] = field(default_factory=dict)
    # Average time for which a request keeps a slot, in seconds; 0 if unknown.
    duration_s: float = 0.0
    # Latest time at which a refused caller was asked to return.
    return_at: float = -inf
    # Time of the first message about the service.
    opened_at: float = 0.0
    # Draw from 0 to 1 for a part of a slot, and when it ends.
    draw: float = 0.0
    draw_until: float = -inf


class SlotIssuer:
    """Issues the slots of the services that this process is chosen for."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        share: Callable[[str], float],
        is_first: Callable[[str], bool],
        issuable: Callable[[str, int], int],
        random: Random,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        # Returns the share of the slots that this process may issue for a
        # service.
        self._share = share
        # Returns whether no other live process is a better choice for issuing
        # the slots of a service.
        self._is_first = is_first
        # Returns how many of a server's slots belong to this process and
        # those that it hears.
        self._issuable = issuable
        self._random = random
        self._created_at = timer.now()
        self._server_by_id: dict[str, _Server] = {}
        self._service_by_name: dict[str, _Service] = {}

    def ask(self, asker: str, request: SlotRequest) -> SlotGrant:
        """Answers a request for a slot."""
        now = self._timer.now()
        service = self._service(request.service)
        key = (asker, request.request_id)
        known = service.waiter_by_key.pop(key, None)
        waiter = _Waiter(
            request,
            now if known is None else known.since,
            now + request.wait_s,
        )
        self._drop_expired(service)
        before = [
            other.request
            for other in service.waiter_by_key.values()
            if _rank(other) < _rank(waiter)
        ]
        ahead = len(before)
        server_id = self._free_server(service, request)
        is_warm = now - service.opened_at >= WARM_UP_S
        # A server that has only just become brittle has places left.
        may_grant = is_warm or (
            request.known_s < WARM_UP_S
            and now - self._created_at >= INFORMED_AGE_S
        )
        if (
            may_grant
            and server_id
            and not any(self._free_server(service, other) for other in before)
        ):
            return self._grant(key, request, server_id)
        ids = [server_id for server_id, _, _ in request.servers]
        capacity = sum(self._capacity(server_id) for server_id in ids)
        slot_s = service.duration_s / max(capacity, 0.1)
        wait_s = slot_s * (ahead + 1)
        if wait_s <= request.wait_s * QUEUE_FACTOR and ahead <= capacity:
            service.waiter_by_key[key] = waiter
            return SlotGrant(request.service, request.request_id)
        earliest_at = max(service.return_at + slot_s, now + wait_s)
        latest_at = now + max(wait_s, MAX_STAGGER_S)
        service.return_at = min(
            max(earliest_at, now + MIN_RETURN_S), latest_at
        )
        return SlotGrant(
            request.service,
            request.request_id,
            return_s=service.return_at - now,
        )

    def end(self, holder: str, ended: SlotEnded) -> Grants:
        """Frees a request's slot; returns grants for requests that wait."""
        now = self._timer.now()
        server = self._server(ended.server_id)
        key = (holder, ended.request_id)
        granted_at = server.granted_at.pop(key, None)
        had_slot = server.expiry_by_key.pop(key, None) is not None
        if ended.refused:
            server.slots = ended.slots
            server.max_refusals = ended.max_refusals
            self._note_refusal(ended.server_id, server, had_slot)
        elif granted_at is not None:
            service = self._service(ended.service)
            change = now - granted_at - service.duration_s
            weight = DURATION_WEIGHT if service.duration_s else 1.0
            service.duration_s += change * weight
        return self.grant_waiting(ended.service)

    def report(self, holder: str, report: SlotReport) -> None:
        """Takes over which requests a process has at the servers."""
        now = self._timer.now()
        self._service(report.service)
        running = {
            (server_id, (holder, request_id))
            for server_id, request_ids in report.running
            for request_id in request_ids
        }
        for server_id, key in running:
            server = self._server(server_id)
            server.expiry_by_key[key] = now + REPORT_LIFETIME_S
        for server_id, _ in report.running:
            server = self._server(server_id)
            for key in list(server.expiry_by_key):
                # A grant may still be on its way to its process.
                granted_at = server.granted_at.get(key, -inf)
                if (
                    key[0] == holder
                    and (server_id, key) not in running
                    and now - granted_at > GRANT_LIFETIME_S
                ):
                    del server.expiry_by_key[key]
                    server.granted_at.pop(key, None)

    def grant_waiting(self, service_name: str) -> Grants:
        """Returns grants for requests that wait and whose turn it is."""
        service = self._service(service_name)
        self._drop_expired(service)
        granted: Grants = []
        if self._timer.now() - service.opened_at < WARM_UP_S:
            return granted
        for key, waiter in sorted(
            service.waiter_by_key.items(), key=lambda item: _rank(item[1])
        ):
            server_id = self._free_server(service, waiter.request)
            if server_id:
                del service.waiter_by_key[key]
                grant = self._grant(key, waiter.request, server_id)
                granted.append((key[0], grant))
        return granted

    def check(self) -> Grants:
        """Returns grants for requests that wait for any service.

        Slots get free without a message, too, when reports or grants expire
        and when a server has refused nothing for a while.
        """
        self._drop_unused()
        granted: Grants = []
        for name, service in self._service_by_name.items():
            if service.waiter_by_key:
                granted += self.grant_waiting(name)
        return granted

    def _grant(
        self, key: _Key, request: SlotRequest, server_id: str
    ) -> SlotGrant:
        now = self._timer.now()
        server = self._server(server_id)
        server.expiry_by_key[key] = now + GRANT_LIFETIME_S
        server.granted_at[key] = now
        return SlotGrant(request.service, request.request_id, server_id)

    def _free_server(self, service: _Service, request: SlotRequest) -> str:
        """Returns the first server with a free slot, or an empty string."""
        for server_id, slots, max_refusals in request.servers:
            server = self._server(server_id)
            server.slots, server.max_refusals = slots, max_refusals
        share = self._share(request.service)
        taken_by_id = {
            server_id: self._taken(server_id)
            for server_id, _, _ in request.servers
        }
        is_first = self._is_first(request.service)
        issuable_by_id = {
            server_id: self._issuable(server_id, slots)
            # A better choice may lend the same slot, and a server that bears
            # no refusal would crash.
            if is_first or max_refusals > 0
            else 0
            for server_id, slots, max_refusals in request.servers
        }
        order = list(taken_by_id)
        if share < 1.0:
            total = self._whole(service, share * sum(issuable_by_id.values()))
            if sum(taken_by_id.values()) >= total:
                return ""
            # Processes that cannot hear each other prefer the same servers.
            self._random.shuffle(order)
        return next(
            (
                server_id
                for server_id in order
                if taken_by_id[server_id]
                < min(
                    self._capacity(server_id),
                    ceil(issuable_by_id[server_id] * share),
                )
            ),
            "",
        )

    def _whole(self, service: _Service, slots: float) -> int:
        """Returns a number of slots rounded up or down by a draw.

        On the average over time and processes it is the number itself.
        """
        now = self._timer.now()
        if now >= service.draw_until:
            service.draw = self._random.random()
            service.draw_until = now + DRAW_PERIOD_S
        return floor(slots) + (service.draw < slots - floor(slots))

    def _capacity(self, server_id: str) -> int:
        """Returns how many requests a server may have at this moment."""
        now = self._timer.now()
        server = self._server(server_id)
        if server.room < server.slots and now >= server.next_step_at:
            server.room += 1
            server.next_step_at = now + ROOM_STEP_S
        refusals = server.refusals
        while refusals and refusals[0][0] <= now - REFUSAL_WINDOW_S:
            refusals.popleft()
        weight = sum(weight for _, weight in refusals)
        if refusals and weight >= server.max_refusals * MAX_REFUSAL_SHARE:
            return 0
        return int(min(server.slots, server.room))

    def _taken(self, server_id: str) -> int:
        """Returns how many requests a server has."""
        now = self._timer.now()
        server = self._server(server_id)
        expired = [
            key
            for key, expires_at in server.expiry_by_key.items()
            if expires_at <= now
        ]
        for key in expired:
            del server.expiry_by_key[key]
            server.granted_at.pop(key, None)
        return len(server.expiry_by_key)

    def _note_refusal(
        self, server_id: str, server: _Server, had_slot: bool
    ) -> None:
        now = self._timer.now()
        server.refusals.append((now, 1.0 if had_slot else UNKNOWN_WEIGHT))
        if had_slot:
            server.room = max(min(self._taken(server_id), server.slots - 1), 1)
            server.next_step_at = now + ROOM_STEP_S
        log_event(
            Event.BRITTLE_SERVER_SPARED,
            self._node_id,
            server=server_id,
            room=min(server.room, server.slots),
            slots=server.slots,
            refusals=len(server.refusals),
            max_refusals=server.max_refusals,
        )

    def _drop_expired(self, service: _Service) -> None:
        now = self._timer.now()
        service.waiter_by_key = {
            key: waiter
            for key, waiter in service.waiter_by_key.items()
            if waiter.expires_at > now
        }

    def _drop_unused(self) -> None:
        """Drops servers without requests and refusals."""
        self._server_by_id = {
            server_id: server
            for server_id, server in self._server_by_id.items()
            if server.expiry_by_key
            or server.refusals
            or server.room < server.slots
        }

    def _server(self, server_id: str) -> _Server:
        return self._server_by_id.setdefault(server_id, _Server())

    def _service(self, name: str) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            service = _Service(opened_at=self._timer.now())
            self._service_by_name[name] = service
        return service


def _rank(waiter: _Waiter) -> tuple[int, float]:
    """Returns the position of a request in the queue; lower goes first."""
    return waiter.request.urgency, waiter.since
