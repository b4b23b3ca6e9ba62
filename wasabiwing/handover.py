"""Requests of entry VMs that leave, as records held by two peers.

A gateway that leaves sends a record of each running request to two peers at
once and renews it until the request has ended. The peers take over when the
renewals stop: rank 0 first, rank 1 only when rank 0 is silent as well. The
one that runs the request renews the record of the other one.

No clock or agreement excludes that both run a request during a partition.
Model requests are idempotent, and both give their events the same ids; when
a peer that runs hears from a sender of a lower rank, it stops, and tokens
that came from an engine stream of its own are counted as recomputed.
"""

from dataclasses import dataclass

from wasabiwing.calls import Call
from wasabiwing.cluster_view import ClusterView
from wasabiwing.codes import RunState
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.gateway_directory import GatewayDirectory
from wasabiwing.gateway_directory import node_id_of_request
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import GatewayEntry
from wasabiwing.messages import HandoverRecord
from wasabiwing.model_dispatch import ModelDispatcher
from wasabiwing.ports import Transport
from wasabiwing.request_table import RequestTable
from wasabiwing.running_request import EnginePosition
from wasabiwing.running_request import Interrupt
from wasabiwing.running_request import RunningRequest
from wasabiwing.streams import AnswerLog
from wasabiwing.timers import TimerService

HOLDERS = 2

RENEWAL_PERIOD_S = 0.25

# Silence after which the first holder takes over: four lost renewals.
TAKE_OVER_S = 1.0

# Added silence for the second holder, so that the renewals of the first one
# reach it before it starts.
RANK_DELAY_S = 2.0

# Time in which a caller's request waits for the take-over.
TAKE_WAIT_S = TAKE_OVER_S + RANK_DELAY_S + 1.0

# Renewals of a whole answer, because messages can be lost.
FINAL_RENEWALS = 3


@dataclass(slots=True)
class _Held:
    """A record that this gateway keeps."""

    record: HandoverRecord
    renewed_at: float


class Handover:
    """Sends the records of this gateway and holds those of others."""

    def __init__(
        self,
        own: GatewayEntry,
        timer: TimerService,
        view: ClusterView,
        transport: Transport,
        directory: GatewayDirectory,
        answers: RequestTable,
        models: ModelDispatcher,
    ) -> None:
        self._own = own
        self._timer = timer
        self._view = view
        self._transport = transport
        self._directory = directory
        self._answers = answers
        self._models = models
        self._held_by_request: dict[str, _Held] = {}
        # Inboxes by rank of the peers that hold a request of this gateway.
        self._peers_by_request: dict[str, dict[int, str]] = {}
        self._renewals_left: dict[str, int] = {}
        self._raised: set[str] = set()
        timer.subscribe(RENEWAL_PERIOD_S, self.renew)
        timer.subscribe(RENEWAL_PERIOD_S, self._take_over_silent)

    def register(self, router: MessageRouter) -> None:
        """Takes over the messages about records."""
        router.register(HandoverRecord, self._on_record)

    @property
    def held_ids(self) -> tuple[str, ...]:
        """Requests of other gateways whose records are kept here."""
        return tuple(self._held_by_request)

    @property
    def has_pending_renewals(self) -> bool:
        """Whether a peer must still hear of a request."""
        return bool(self._renewals_left)

    async def renew(self) -> None:
        """Sends the records of all requests that peers must know."""
        for request in self._answers.running():
            request_id = request.call.request_id
            if self._view.leaving and request_id not in self._raised:
                self._raised.add(request_id)
                self._peers_by_request[request_id] = self._choose(request_id)
                request.holder_rank = -1
            if self._peers_by_request.get(request_id):
                self._renewals_left[request_id] = FINAL_RENEWALS
        for request_id, left in list(self._renewals_left.items()):
            ended = self._send(request_id)
            if ended:
                self._renewals_left[request_id] = left - 1
            if left <= 1 and ended:
                del self._renewals_left[request_id]
                self._peers_by_request.pop(request_id, None)
                self._raised.discard(request_id)

    async def raise_priorities(self) -> None:
        """Lets the engines finish the requests of this gateway first."""
        for request in self._answers.running():
            await self._models.raise_priority(request)

    async def wait_for_takeover(
        self, request_id: str
    ) -> RunningRequest | None:
        """Waits until a held request runs here; ``None`` if it does not."""
        latest = self._timer.now() + TAKE_WAIT_S
        while request_id in self._held_by_request:
            if self._timer.now() >= latest:
                return None
            await self._timer.sleep(RENEWAL_PERIOD_S / 2)
        return self._answers.get(request_id)

    def _choose(self, request_id: str) -> dict[int, str]:
        origin = (
            self._directory.get(node_id_of_request(request_id)) or self._own
        )
        peers = [
            entry.address
            for entry in self._directory.rank_handover_peers(
                request_id, origin, self._view.leaving_zone_ids
            )
            if entry.node_id != self._own.node_id
        ]
        return dict(enumerate(peers[:HOLDERS]))

    def _send(self, request_id: str) -> bool:
        """Sends one record; returns whether the request has ended."""
        request = self._answers.get(request_id)
        if request is None:
            return True
        if request.answer.ended and not request.answer.finished:
            return True
        peers = self._peers_by_request[request_id]
        for rank, address in peers.items():
            other = next(
                (name for item, name in peers.items() if item != rank), ""
            )
            record = self._record(request, rank, other)
            self._transport.send(address, record)
        return request.answer.ended

    def _record(
        self, request: RunningRequest, rank: int, other: str
    ) -> HandoverRecord:
        call = request.call
        position = request.engine_position
        return HandoverRecord(
            call.request_id,
            call.organisation.id,
            call.route.id,
            call.path,
            call.body,
            call.streamed,
            call.max_tokens,
            call.deadline - self._timer.now(),
            rank,
            other,
            request.holder_rank,
            request.attempt,
            position.server.id if position else "",
            position.stream_id if position else "",
            position.base_offset if position else 0,
            request.answer.payloads,
            request.answer.finished,
        )

    async def _on_record(
        self, envelope: Envelope, record: HandoverRecord
    ) -> None:
        request_id = record.request_id
        known = self._answers.get(request_id)
        if known is not None and known.answer.finished:
            return
        if known is not None:
            if record.sender_rank >= known.holder_rank:
                return
            self._yield_to(known, record)
        if record.finished:
            self._held_by_request.pop(request_id, None)
            self._keep_whole(record)
            return
        if request_id not in self._held_by_request:
            log_event(
                Event.REQUEST_HANDED_OVER,
                self._own.node_id,
                request=request_id,
                sender=envelope.sender,
                rank=record.rank,
                offset=len(record.payloads),
            )
        self._held_by_request[request_id] = _Held(record, self._timer.now())

    def _yield_to(
        self, request: RunningRequest, record: HandoverRecord
    ) -> None:
        position = request.engine_position
        shared = position is None or position.stream_id == record.stream_id
        request.interrupt(Interrupt.YIELDED if shared else Interrupt.DUPLICATE)
        self._peers_by_request.pop(record.request_id, None)
        self._renewals_left.pop(record.request_id, None)

    def _keep_whole(self, record: HandoverRecord) -> None:
        request = self._restore(record)
        if request is not None:
            request.answer.finish()
            self._answers.add(request)

    async def _take_over_silent(self) -> None:
        now = self._timer.now()
        for request_id, held in list(self._held_by_request.items()):
            patience_s = TAKE_OVER_S + RANK_DELAY_S * held.record.rank
            if now - held.renewed_at >= patience_s:
                del self._held_by_request[request_id]
                self._take_over(held)

    def _take_over(self, held: _Held) -> None:
        record = held.record
        request = self._restore(record, self._timer.now() - held.renewed_at)
        if request is None:
            return
        request.holder_rank = record.rank
        # A caller that was cut off gets its grace period from now on.
        request.last_reader_left_at = self._timer.now()
        log_event(
            Event.REQUEST_RESUMED,
            self._own.node_id,
            request=record.request_id,
            by="take-over",
            rank=record.rank,
            offset=request.answer.offset,
        )
        if record.other_holder:
            other_rank = HOLDERS - 1 - record.rank
            self._peers_by_request[record.request_id] = {
                other_rank: record.other_holder
            }
        self._answers.add(request)

    def _restore(
        self, record: HandoverRecord, age_s: float = 0.0
    ) -> RunningRequest | None:
        """Rebuilds a request from its record and the configuration."""
        call = self._call(record, age_s)
        if call is None:
            return None
        answer = AnswerLog(record.request_id)
        answer.append(list(record.payloads), 0)
        position: EnginePosition | None = None
        index = self._view.index
        server = index.server_by_id.get(record.server_id) if index else None
        if server is not None and record.stream_id:
            position = EnginePosition(
                server, record.stream_id, record.base_offset
            )
        request = RunningRequest(call, answer, position, record.attempt)
        request.run_state = RunState.MAY_HAVE_RUN
        return request

    def _call(self, record: HandoverRecord, age_s: float) -> Call | None:
        index = self._view.index
        if index is None:
            return None
        configuration = index.configuration
        organisation = next(
            (
                item
                for item in configuration.organisations
                if item.id == record.organisation_id
            ),
            None,
        )
        route = next(
            (r for r in configuration.routes if r.id == record.route_id), None
        )
        if organisation is None or route is None:
            return None
        now = self._timer.now()
        return Call(
            request_id=record.request_id,
            organisation=organisation,
            route=route,
            pool=index.pool_by_id[route.pool],
            method="POST",
            path=record.path,
            body=record.body,
            idempotency_key="",
            prompt_tokens=len(record.body) // 4 + 1,
            max_tokens=record.max_tokens,
            received_at=now,
            deadline=now + record.deadline_s - age_s,
            streamed=record.streamed,
        )
