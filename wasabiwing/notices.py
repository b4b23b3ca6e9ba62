"""Reclaim notices on a controller: what it was told and passes on."""

from collections.abc import Callable

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import ReclaimNoticeEnded
from wasabiwing.messages import ServerReclaimNotice
from wasabiwing.ports import Transport
from wasabiwing.timers import TimerService

# Messages can be lost, so notices are sent again with this period.
RESEND_PERIOD_S = 0.5

# Notices that ended are remembered so long, in seconds: a late copy from a
# peer must not start them again.
MEMORY_S = 60.0

# The end of a notice is told again for this time, in seconds, and copies of
# the notice that arrive meanwhile are dropped. A VM that gets a new notice
# within this time is marked after it, by the next copy.
ENDED_S = 5.0

Addresses = Callable[[], tuple[str, ...]]
NoticeCallback = Callable[[ServerReclaimNotice], None]


class NoticeTable:
    """The notices that a controller knows, until their end."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        peer_addresses: Addresses,
        gateway_addresses: Addresses,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._peer_addresses = peer_addresses
        self._gateway_addresses = gateway_addresses
        # Monotonic end by the servers and zones of a notice.
        self._end_by_subject: dict[
            tuple[tuple[str, ...], tuple[str, ...]], float
        ] = {}
        # Time until which the end of a VM's notice is told, by VM id.
        self._ended_until_by_vm: dict[str, float] = {}
        self._callbacks: list[NoticeCallback] = []

    def subscribe(self, callback: NoticeCallback) -> None:
        """Calls ``callback`` with each new notice."""
        self._callbacks.append(callback)

    def register(self, router: MessageRouter) -> None:
        """Takes over the messages about notices."""
        router.register(ServerReclaimNotice, self._on_notice)
        router.register(ReclaimNoticeEnded, self._on_ended)
        self._timer.subscribe(RESEND_PERIOD_S, self._send_all)

    def add(self, notice: ServerReclaimNotice) -> None:
        """Takes in a notice and passes it on at once if it is new."""
        subject = (notice.server_ids, notice.zone_ids)
        if subject in self._end_by_subject or self._has_ended(notice):
            return
        self._end_by_subject[subject] = self._timer.now() + notice.remaining_s
        log_event(
            Event.VM_NOTICE,
            self._node_id,
            servers=list(notice.server_ids),
            zones=list(notice.zone_ids),
            remaining_s=notice.remaining_s,
        )
        self._send(notice)
        for callback in self._callbacks:
            callback(notice)

    def end(self, vm_id: str) -> None:
        """Ends the notice of a VM that is gone or stays, and tells so."""
        if vm_id in self._ended_until_by_vm:
            return
        self._end_by_subject.pop(((vm_id,), ()), None)
        self._ended_until_by_vm[vm_id] = self._timer.now() + ENDED_S
        log_event(Event.VM_NOTICE_ENDED, self._node_id, vm=vm_id)
        self._send(ReclaimNoticeEnded(vm_id))

    def _has_ended(self, notice: ServerReclaimNotice) -> bool:
        return any(
            server_id in self._ended_until_by_vm
            for server_id in notice.server_ids
        )

    async def _on_ended(
        self, envelope: Envelope, message: ReclaimNoticeEnded
    ) -> None:
        self.end(message.vm_id)

    async def _on_notice(
        self, envelope: Envelope, notice: ServerReclaimNotice
    ) -> None:
        for vm_id in notice.server_ids:
            if vm_id in self._ended_until_by_vm:
                # The peer has missed the end and would tell the notice on.
                self._transport.send(
                    envelope.reply_to, ReclaimNoticeEnded(vm_id)
                )
        self.add(notice)

    async def _send_all(self) -> None:
        now = self._timer.now()
        for subject, end in list(self._end_by_subject.items()):
            if end + MEMORY_S <= now:
                del self._end_by_subject[subject]
            if end <= now:
                continue
            self._send(ServerReclaimNotice(subject[0], subject[1], end - now))
        for vm_id, until in list(self._ended_until_by_vm.items()):
            if until <= now:
                del self._ended_until_by_vm[vm_id]
            else:
                self._tell_gateways(ReclaimNoticeEnded(vm_id))

    def _send(self, message: ServerReclaimNotice | ReclaimNoticeEnded) -> None:
        for address in self._peer_addresses():
            self._transport.send(address, message)
        self._tell_gateways(message)

    def _tell_gateways(
        self, message: ServerReclaimNotice | ReclaimNoticeEnded
    ) -> None:
        for address in self._gateway_addresses():
            self._transport.send(address, message)
