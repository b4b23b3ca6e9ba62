"""Probes members of the cluster, directly and through other members.

``membership`` starts the probes and decides what their outcome means.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from random import Random

from anyio import create_task_group
from anyio import Event

from wasabiwing.messages import Ack
from wasabiwing.messages import Envelope
from wasabiwing.messages import MemberUpdate
from wasabiwing.messages import PingRequest
from wasabiwing.ports import Transport
from wasabiwing.timers import TimerService

# Time to wait for an acknowledgement, in seconds, first of the direct probe
# and then again of the indirect probes.
ACK_TIMEOUT_S = 0.5

# Number of peers that are asked to probe a silent member.
INDIRECT_PROBES = 3

# Sends a probe to an address with a correlation_id id. The last argument is
# the known state of the receiver, if any.
SendPing = Callable[[str, int, MemberUpdate | None], None]


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    """Running probe on behalf of another member."""

    # Inbox of the member that asked.
    address: str
    # Correlation id of that member's request.
    correlation_id: int
    expires_at: float


class Prober:
    """Sends probes for one member and waits for their acknowledgements."""

    def __init__(
        self,
        timer: TimerService,
        transport: Transport,
        random: Random,
        send_ping: SendPing,
        piggyback: Callable[[], tuple[MemberUpdate, ...]],
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._random = random
        self._send_ping = send_ping
        self._piggyback = piggyback
        self._correlation_ids = count(1)
        self._acknowledged_by_correlation_id: dict[int, Event] = {}
        self._relay_by_correlation_id: dict[int, _RelayedProbe] = {}

    async def probe(
        self, target: MemberUpdate, peer_addresses: Sequence[str]
    ) -> bool:
        """Probes a member; returns whether it acknowledged in time."""
        correlation_id = next(self._correlation_ids)
        acknowledged = Event()
        self._acknowledged_by_correlation_id[correlation_id] = acknowledged
        try:
            self._send_ping(target.address, correlation_id, target)
            if await self._wait(acknowledged):
                return True
            self._request_indirect_probes(
                target, peer_addresses, correlation_id
            )
            return await self._wait(acknowledged)
        finally:
            del self._acknowledged_by_correlation_id[correlation_id]

    def relay_probe(self, envelope: Envelope, request: PingRequest) -> None:
        """Probes a member on behalf of the sender of a request."""
        correlation_id = next(self._correlation_ids)
        self._relay_by_correlation_id[correlation_id] = _RelayedProbe(
            envelope.reply_to,
            envelope.correlation_id,
            self._timer.now() + 2 * ACK_TIMEOUT_S,
        )
        self._send_ping(request.target_address, correlation_id, None)

    def handle_ack(self, envelope: Envelope, ack: Ack) -> None:
        """Ends the probe that an acknowledgement answers, or forwards it."""
        relay = self._relay_by_correlation_id.pop(
            envelope.correlation_id, None
        )
        if relay is not None:
            self._transport.send(relay.address, ack, relay.correlation_id)
            return
        acknowledged = self._acknowledged_by_correlation_id.get(
            envelope.correlation_id
        )
        if acknowledged is not None:
            acknowledged.set()

    def expire_relays(self) -> None:
        """Drops relayed probes that were not acknowledged in time."""
        now = self._timer.now()
        self._relay_by_correlation_id = {
            correlation_id: relay
            for correlation_id, relay in self._relay_by_correlation_id.items()
            if relay.expires_at > now
        }

    def _request_indirect_probes(
        self,
        target: MemberUpdate,
        peer_addresses: Sequence[str],
        correlation_id: int,
    ) -> None:
        others = [
            address for address in peer_addresses if address != target.address
        ]
        chosen = self._random.sample(others, min(INDIRECT_PROBES, len(others)))
        for address in chosen:
            message = PingRequest(
                target.node_id, target.address, self._piggyback()
            )
            self._transport.send(address, message, correlation_id)

    async def _wait(self, acknowledged: Event) -> bool:
        async with create_task_group() as tasks:

            async def expire() -> None:
                await self._timer.sleep(ACK_TIMEOUT_S)
                tasks.cancel_scope.cancel()

            tasks.start_soon(expire)
            await acknowledged.wait()
            tasks.cancel_scope.cancel()
        return acknowledged.is_set()
