"""The controller's side of claims.

The home controller of a partition is chosen by rendezvous hashing over the
live members. A controller that receives a claim message forwards it to the
home of its partition. A message is forwarded once at most: a controller that
receives a forwarded message handles it as the home, even if its own view of
the members names another one. The fencing number of the journal makes that
safe.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from anyio.abc import TaskGroup
from msgspec.structs import replace
from result import Err

from wasabiwing.claim_journal import PartitionJournal
from wasabiwing.claim_records import Claim
from wasabiwing.claim_records import CLAIM_PARTITION_COUNT
from wasabiwing.claim_records import partition_of_key
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import ClaimReply
from wasabiwing.messages import ClaimRequest
from wasabiwing.messages import ClaimState
from wasabiwing.messages import ClaimStatusRequest
from wasabiwing.messages import Envelope
from wasabiwing.messages import OutcomeAck
from wasabiwing.messages import OutcomeReport
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import Member
from wasabiwing.ports import MemberView
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import owner
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import TimerService

# Time between two checks for partitions that this controller has become the
# home of and must load, in seconds. Keys of a partition that was loaded before
# an outage of the store can be answered during the outage.
LOAD_PERIOD_S = 1.0

ClaimMessage = ClaimRequest | OutcomeReport | ClaimStatusRequest


class ClaimHome:
    """Answers claim messages for the partitions of one home controller."""

    def __init__(
        self,
        incarnation_id: str,
        timer: TimerService,
        store: ConfigStore,
        transport: Transport,
        members: MemberView,
        budget: StoreBudget,
        tasks: TaskGroup,
    ) -> None:
        self._incarnation_id = incarnation_id
        self._transport = transport
        self._members = members
        self._tasks = tasks
        self._journals = tuple(
            PartitionJournal(incarnation_id, partition, store, timer, budget)
            for partition in range(CLAIM_PARTITION_COUNT)
        )
        # Inbox of the gateway and correlation id of each claim request that is
        # being handled.
        self._claims_in_progress: set[tuple[str, int]] = set()
        timer.subscribe(LOAD_PERIOD_S, self.load_partitions)

    def register(self, router: MessageRouter) -> None:
        """Registers the handlers of claim messages."""
        router.register(ClaimRequest, self._on_claim)
        router.register(OutcomeReport, self._on_outcome)
        router.register(ClaimStatusRequest, self._on_status)

    async def load_partitions(self) -> None:
        """Loads the partitions of this home that it has not loaded yet."""
        for partition, journal in enumerate(self._journals):
            if journal.loaded or self._home_of(partition) != self._members.own:
                continue
            if isinstance(await journal.load(), Err):
                return

    def _home_of(self, partition: int) -> Member:
        members = {member.node_id: member for member in self._members.live()}
        home = owner(f"claims/{partition}", members)
        return members[home] if home is not None else self._members.own

    async def _on_claim(
        self, envelope: Envelope, request: ClaimRequest
    ) -> None:
        partition = partition_of_key(request.organisation, request.key)
        request_key = (request.gateway_address, envelope.correlation_id)

        async def handle() -> None:
            if request_key in self._claims_in_progress:
                # A copy of a request that is still being handled.
                return
            self._claims_in_progress.add(request_key)
            try:
                reply = await self._acquire(self._journals[partition], request)
            finally:
                self._claims_in_progress.discard(request_key)
            self._transport.send(
                request.gateway_address, reply, envelope.correlation_id
            )

        self._forward_or_handle(partition, request, envelope, handle)

    async def _on_outcome(
        self, envelope: Envelope, report: OutcomeReport
    ) -> None:
        partition = partition_of_key(report.organisation, report.key)

        async def handle() -> None:
            if await self._record_outcome(self._journals[partition], report):
                self._transport.send(
                    report.gateway_address,
                    OutcomeAck(report.request_id),
                    envelope.correlation_id,
                )

        self._forward_or_handle(partition, report, envelope, handle)

    async def _on_status(
        self, envelope: Envelope, request: ClaimStatusRequest
    ) -> None:
        if not 0 <= request.partition < CLAIM_PARTITION_COUNT:
            return

        async def handle() -> None:
            reply = await self._status(request)
            self._transport.send(
                request.gateway_address, reply, envelope.correlation_id
            )

        self._forward_or_handle(request.partition, request, envelope, handle)

    def _forward_or_handle(
        self,
        partition: int,
        message: ClaimMessage,
        envelope: Envelope,
        handle: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        home = self._home_of(partition)
        if message.hops == 0 and home != self._members.own:
            forwarded = replace(message, hops=1)
            self._transport.send(
                home.address, forwarded, envelope.correlation_id
            )
        else:
            self._tasks.start_soon(handle)

    async def _acquire(
        self, journal: PartitionJournal, request: ClaimRequest
    ) -> ClaimReply:
        if request.lookup_only:
            known = await journal.find_by_key(
                (request.organisation, request.key)
            )
            if known is None:
                return ClaimReply(request.request_id, ClaimState.RELEASED)
            return _reply_about_claim(
                journal, request.request_id, known, request
            )
        acquired = await journal.acquire(_requested_claim(request))
        if isinstance(acquired, Err):
            return _refusal(request.request_id, acquired.err_value)
        claim = acquired.ok_value
        granted = (
            claim.request_id == request.request_id
            and claim.state is ClaimState.GRANTED
        )
        log_event(
            Event.CLAIM_GRANTED if granted else Event.CLAIM_REPEATED,
            self._incarnation_id,
            request=request.request_id,
            holder=claim.request_id,
            gateway=request.gateway,
            state=claim.state.name,
        )
        if granted:
            return ClaimReply(
                request.request_id, ClaimState.GRANTED, claim.request_id
            )
        return _reply_about_claim(journal, request.request_id, claim, request)

    async def _record_outcome(
        self, journal: PartitionJournal, report: OutcomeReport
    ) -> bool:
        """Records an outcome; returns whether it can be acknowledged."""
        recorded = await journal.record_outcome(
            (report.organisation, report.key),
            report.request_id,
            lambda claim: replace(
                claim,
                state=report.state,
                status=report.status,
                content_type=report.content_type,
                body=report.body,
                truncated=report.truncated,
            ),
        )
        return not isinstance(recorded, Err)

    async def _status(self, request: ClaimStatusRequest) -> ClaimReply:
        journal = self._journals[request.partition]
        found = await journal.find_by_request_id(request.request_id)
        if isinstance(found, Err):
            return _refusal(
                request.request_id,
                Failure(
                    ResultCode.CLAIM_UNAVAILABLE,
                    str(found.err_value),
                    RunState.MAY_HAVE_RUN,
                ),
            )
        claim = found.ok_value
        if claim is None or claim.organisation != request.organisation:
            return _refusal(
                request.request_id,
                Failure(ResultCode.UNKNOWN_REQUEST, "", RunState.MAY_HAVE_RUN),
            )
        return _reply_about_claim(journal, request.request_id, claim)


def _requested_claim(request: ClaimRequest) -> Claim:
    return Claim(
        request.organisation,
        request.key,
        request.request_fingerprint,
        request.request_id,
        request.gateway,
        ClaimState.GRANTED,
        "",
        request.outcome_timeout_s,
    )


def _reply_about_claim(
    journal: PartitionJournal,
    request_id: str,
    claim: Claim,
    request: ClaimRequest | None = None,
) -> ClaimReply:
    """Builds the reply about a claim that is not granted to the request."""
    if (
        request is not None
        and request.request_fingerprint != claim.request_fingerprint
    ):
        return ClaimReply(request_id, ClaimState.REUSED, claim.request_id)
    state = claim.state
    if state is ClaimState.GRANTED:
        overdue = journal.is_overdue(claim)
        state = ClaimState.UNKNOWN if overdue else ClaimState.RUNNING
    return ClaimReply(
        request_id,
        state,
        claim.request_id,
        claim.status,
        claim.content_type,
        claim.body,
        claim.truncated,
    )


def _refusal(request_id: str, failure: Failure) -> ClaimReply:
    return ClaimReply(
        request_id,
        ClaimState.REFUSED,
        code=int(failure.code),
        run_state=failure.run_state.value,
        detail=failure.detail,
    )
