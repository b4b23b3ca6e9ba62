"""Hands running requests of a leaving entry VM over to two peers.

A gateway that leaves sends a record of each running request to two peers, the
holders, and renews it until the request has ended. A holder takes the request
over when the renewals stop: the holder of rank 0 first, the holder of rank 1
only when rank 0 is silent as well. The holder that runs the request renews the
record of the other one.

During a network partition both holders may run a request; neither clocks nor
an agreement prevent it. This is safe because model requests are idempotent and
both runs give their events the same ids. A holder that runs a request stops
when it receives a record from a sender of a lower rank. If its tokens came
from an engine stream of its own, they are counted as recomputed.
"""

from dataclasses import dataclass

from wasabiwing.answer_log import AnswerLog
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
from wasabiwing.messages import RequestRecord
from wasabiwing.model_dispatch import ModelDispatcher
from wasabiwing.ports import Transport
from wasabiwing.request_table import RequestTable
from wasabiwing.running_request import EnginePosition
from wasabiwing.running_request import Interrupt
from wasabiwing.running_request import RunningRequest
from wasabiwing.timers import TimerService

# Number of peers that hold the record of a request.
HOLDERS = 2

# Period of sending the records again, in seconds.
RENEWAL_PERIOD_S = 0.25

# Time without a renewal after which the first holder takes over, in seconds:
# four lost renewals.
TAKE_OVER_S = 1.0

# Additional time before the second holder takes over, in seconds, in which
# renewals of the first holder reach it.
RANK_DELAY_S = 2.0

# Time for which a caller that returns waits for the take-over, in seconds.
TAKE_OVER_WAIT_S = TAKE_OVER_S + RANK_DELAY_S + 1.0

# Number of renewals after a request has ended, because messages can be lost.
FINAL_RENEWALS = 3


@dataclass(slots=True)
class _HeldRecord:
    """Record of another gateway's request that this gateway holds."""

    record: RequestRecord
    renewed_at: float


class Handover:
    """Sends records of own requests and holds those of other gateways."""

    def __init__(
        self,
        own: GatewayEntry,
        timer: TimerService,
        view: ClusterView,
        transport: Transport,
        directory: GatewayDirectory,
        requests: RequestTable,
        models: ModelDispatcher,
    ) -> None:
        self._own = own
        self._timer = timer
        self._view = view
        self._transport = transport
        self._directory = directory
        self._requests = requests
        self._models = models
        self._held_by_request: dict[str, _HeldRecord] = {}
        # Inboxes of the holders of this gateway's requests, by rank.
        self._holders_by_request: dict[str, dict[int, str]] = {}
        self._renewals_left_by_request: dict[str, int] = {}
        self._request_ids_with_holders: set[str] = set()
        timer.subscribe(RENEWAL_PERIOD_S, self.renew)
        timer.subscribe(RENEWAL_PERIOD_S, self._take_over_unrenewed)

    def register(self, router: MessageRouter) -> None:
        """Registers the handler of records."""
        router.register(RequestRecord, self._on_record)

    @property
    def held_request_ids(self) -> tuple[str, ...]:
        """Returns the ids of requests whose records are held here."""
        return tuple(self._held_by_request)

    @property
    def has_pending_renewals(self) -> bool:
        """Whether a record must still be sent to a peer."""
        return bool(self._renewals_left_by_request)

    def has_holder(self, request_id: str) -> bool:
        """Whether a peer holds the record of a running request."""
        return bool(self._holders_by_request.get(request_id))

    async def renew(self) -> None:
        """Sends the records of all requests that have holders.

        On a leaving gateway, running requests without holders get theirs
        first.
        """
        for request in self._requests.running():
            request_id = request.call.request_id
            if (
                self._view.leaving
                and request_id not in self._request_ids_with_holders
            ):
                request.holder_rank = -1
                holders = self._choose_holders(request_id)
                # Without a live peer, one is looked for again.
                if holders:
                    self._request_ids_with_holders.add(request_id)
                    self._holders_by_request[request_id] = holders
            if self._holders_by_request.get(request_id):
                self._renewals_left_by_request[request_id] = FINAL_RENEWALS
        for request_id, left in list(self._renewals_left_by_request.items()):
            ended = self._send(request_id)
            if ended:
                self._renewals_left_by_request[request_id] = left - 1
            if left <= 1 and ended:
                del self._renewals_left_by_request[request_id]
                self._holders_by_request.pop(request_id, None)
                self._request_ids_with_holders.discard(request_id)

    async def raise_priorities(self) -> None:
        """Raises the priority of this gateway's requests at the engines.

        The engines then finish them before other requests.
        """
        for request in self._requests.running():
            await self._models.raise_priority(request)

    async def wait_for_takeover(
        self, request_id: str
    ) -> RunningRequest | None:
        """Waits until a held request is taken over by this gateway.

        Returns the running request, or ``None`` if this gateway does not run
        it within ``TAKE_OVER_WAIT_S``.
        """
        gives_up_at = self._timer.now() + TAKE_OVER_WAIT_S
        while request_id in self._held_by_request:
            if self._timer.now() >= gives_up_at:
                return None
            await self._timer.sleep(RENEWAL_PERIOD_S / 2)
        return self._requests.get(request_id)

    def _choose_holders(self, request_id: str) -> dict[int, str]:
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
        """Sends the record of a request; returns whether that has ended."""
        request = self._requests.get(request_id)
        if request is None:
            return True
        if request.answer.ended and not request.answer.finished:
            return True
        holders = self._holders_by_request[request_id]
        for rank, address in holders.items():
            other_holder = next(
                (inbox for item, inbox in holders.items() if item != rank), ""
            )
            record = self._record(request, rank, other_holder)
            self._transport.send(address, record)
        return request.answer.ended

    def _record(
        self, request: RunningRequest, rank: int, other_holder: str
    ) -> RequestRecord:
        call = request.call
        position = request.engine_position
        return RequestRecord(
            call.request_id,
            call.organisation.id,
            call.route.id,
            call.path,
            call.body,
            call.streamed,
            call.max_tokens,
            call.deadline - self._timer.now(),
            rank,
            other_holder,
            request.holder_rank,
            request.attempt,
            position.server.id if position else "",
            position.stream_id if position else "",
            position.base_offset if position else 0,
            request.answer.payloads,
            request.answer.finished,
        )

    async def _on_record(
        self, envelope: Envelope, record: RequestRecord
    ) -> None:
        request_id = record.request_id
        own_run = self._requests.get(request_id)
        if own_run is not None and own_run.answer.finished:
            return
        if own_run is not None:
            if record.sender_rank >= own_run.holder_rank:
                return
            self._yield_to(own_run, record)
        if record.finished:
            self._held_by_request.pop(request_id, None)
            self._keep_finished(record)
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
        self._held_by_request[request_id] = _HeldRecord(
            record, self._timer.now()
        )

    def _yield_to(
        self, request: RunningRequest, record: RequestRecord
    ) -> None:
        position = request.engine_position
        same_stream = (
            position is None or position.stream_id == record.stream_id
        )
        request.interrupt(
            Interrupt.YIELDED if same_stream else Interrupt.DUPLICATE
        )
        self._holders_by_request.pop(record.request_id, None)
        self._renewals_left_by_request.pop(record.request_id, None)

    def _keep_finished(self, record: RequestRecord) -> None:
        request = self._restore(record)
        if request is not None:
            request.answer.finish()
            self._requests.add(request)

    async def _take_over_unrenewed(self) -> None:
        now = self._timer.now()
        for request_id, held in list(self._held_by_request.items()):
            silence_limit_s = TAKE_OVER_S + RANK_DELAY_S * held.record.rank
            if now - held.renewed_at >= silence_limit_s:
                del self._held_by_request[request_id]
                self._take_over(held)

    def _take_over(self, held: _HeldRecord) -> None:
        record = held.record
        request = self._restore(record, self._timer.now() - held.renewed_at)
        if request is None:
            return
        request.holder_rank = record.rank
        # The grace period of a caller that was cut off starts now.
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
            self._holders_by_request[record.request_id] = {
                other_rank: record.other_holder
            }
        self._requests.add(request)

    def _restore(
        self, record: RequestRecord, age_s: float = 0.0
    ) -> RunningRequest | None:
        """Rebuilds a request from its record and the configuration.

        ``age_s`` is the time in seconds since the record was renewed. Returns
        ``None`` if the configuration lacks the organisation or the route.
        """
        call = self._rebuild_call(record, age_s)
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

    def _rebuild_call(
        self, record: RequestRecord, age_s: float
    ) -> Call | None:
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
            (
                item
                for item in configuration.routes
                if item.id == record.route_id
            ),
            None,
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
