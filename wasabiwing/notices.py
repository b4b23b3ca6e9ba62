"""Reclaim notices that a controller knows and forwards."""

from collections.abc import Callable

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import NoticeEnded
from wasabiwing.messages import ServerNotice
from wasabiwing.ports import Transport
from wasabiwing.timers import TimerService

# Period of sending notices again, in seconds, because messages can be lost.
RESEND_PERIOD_S = 0.5

# Time for which a notice is kept after its end, in seconds, so that a late
# copy from a peer does not start it again.
RETENTION_S = 60.0

# Time in which the end of a notice is sent again and copies of the notice are
# dropped, in seconds. A new notice for the same VM within this time takes
# effect after it, with the next copy.
END_RESEND_S = 5.0

Addresses = Callable[[], tuple[str, ...]]
NoticeCallback = Callable[[ServerNotice], None]


class NoticeTable:
    """Reclaim notices that one controller knows, until their end."""

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
        # Monotonic time at which a notice ends, by its servers and zones.
        self._ends_at_by_subject: dict[
            tuple[tuple[str, ...], tuple[str, ...]], float
        ] = {}
        # Monotonic time until which the end of a notice is sent, by VM id.
        self._end_resent_until_by_vm: dict[str, float] = {}
        self._callbacks: list[NoticeCallback] = []

    def subscribe(self, callback: NoticeCallback) -> None:
        """Registers a callback for each new notice."""
        self._callbacks.append(callback)

    def register(self, router: MessageRouter) -> None:
        """Registers the handlers of messages about notices, and the timer."""
        router.register(ServerNotice, self._on_notice)
        router.register(NoticeEnded, self._on_ended)
        self._timer.subscribe(RESEND_PERIOD_S, self._resend_all)

    def add(self, notice: ServerNotice) -> None:
        """Adds a notice and forwards it at once if it is new."""
        subject = (notice.server_ids, notice.zone_ids)
        if subject in self._ends_at_by_subject or self._has_ended(notice):
            return
        self._ends_at_by_subject[subject] = (
            self._timer.now() + notice.remaining_s
        )
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
        """Ends the notice of a VM that is gone or stays, and sends its end."""
        if vm_id in self._end_resent_until_by_vm:
            return
        self._ends_at_by_subject.pop(((vm_id,), ()), None)
        self._end_resent_until_by_vm[vm_id] = self._timer.now() + END_RESEND_S
        log_event(Event.VM_NOTICE_ENDED, self._node_id, vm=vm_id)
        self._send(NoticeEnded(vm_id))

    def _has_ended(self, notice: ServerNotice) -> bool:
        return any(
            server_id in self._end_resent_until_by_vm
            for server_id in notice.server_ids
        )

    async def _on_ended(
        self, envelope: Envelope, message: NoticeEnded
    ) -> None:
        self.end(message.vm_id)

    async def _on_notice(
        self, envelope: Envelope, notice: ServerNotice
    ) -> None:
        for vm_id in notice.server_ids:
            if vm_id in self._end_resent_until_by_vm:
                # The peer missed the end and would forward the notice.
                self._transport.send(envelope.reply_to, NoticeEnded(vm_id))
        self.add(notice)

    async def _resend_all(self) -> None:
        now = self._timer.now()
        for subject, ends_at in list(self._ends_at_by_subject.items()):
            if ends_at + RETENTION_S <= now:
                del self._ends_at_by_subject[subject]
            if ends_at <= now:
                continue
            self._send(ServerNotice(subject[0], subject[1], ends_at - now))
        for vm_id, resent_until in list(self._end_resent_until_by_vm.items()):
            if resent_until <= now:
                del self._end_resent_until_by_vm[vm_id]
            else:
                self._send_to_gateways(NoticeEnded(vm_id))

    def _send(self, message: ServerNotice | NoticeEnded) -> None:
        for address in self._peer_addresses():
            self._transport.send(address, message)
        self._send_to_gateways(message)

    def _send_to_gateways(self, message: ServerNotice | NoticeEnded) -> None:
        for address in self._gateway_addresses():
            self._transport.send(address, message)
