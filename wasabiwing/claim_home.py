"""The controller's side of claims: the home of some partitions.

Claim messages go to the partition's home by rendezvous hashing, over one hop
at most. A controller that gets a message that was already passed on acts as
the home, whatever it believes; the journal's fence keeps that safe.
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

# How often partitions that this controller became the home of are loaded, in
# seconds. A partition that was loaded before an outage of the store answers
# known keys during the outage.
LOAD_PERIOD_S = 1.0

ClaimMessage = ClaimRequest | OutcomeReport | ClaimStatusRequest


class ClaimHome:
    """Answers claim messages for the partitions of one controller."""

    def __init__(
        self,
        instance: str,
        timer: TimerService,
        store: ConfigStore,
        transport: Transport,
        members: MemberView,
        budget: StoreBudget,
        tasks: TaskGroup,
    ) -> None:
        self._instance = instance
        self._transport = transport
        self._members = members
        self._tasks = tasks
        self._journals = tuple(
            PartitionJournal(instance, partition, store, timer, budget)
            for partition in range(CLAIM_PARTITION_COUNT)
        )
        # Requests in work, by gateway inbox and correlation.
        self._claiming: set[tuple[str, int]] = set()
        timer.subscribe(LOAD_PERIOD_S, self.load_partitions)

    def register(self, router: MessageRouter) -> None:
        """Takes the claim messages of the inbox."""
        router.register(ClaimRequest, self._on_claim)
        router.register(OutcomeReport, self._on_outcome)
        router.register(ClaimStatusRequest, self._on_status)

    async def load_partitions(self) -> None:
        """Reads the partitions of this home that were never read."""
        for partition, journal in enumerate(self._journals):
            if journal.loaded or self._home(partition) != self._members.own:
                continue
            if isinstance(await journal.load(), Err):
                return

    def _home(self, partition: int) -> Member:
        members = {member.node_id: member for member in self._members.live()}
        home = owner(f"claims/{partition}", members)
        return members[home] if home is not None else self._members.own

    async def _on_claim(
        self, envelope: Envelope, request: ClaimRequest
    ) -> None:
        partition = partition_of_key(request.organisation, request.key)
        asked = (request.gateway_address, envelope.correlation_id)

        async def answer() -> None:
            if asked in self._claiming:
                # A copy that was sent again; the first one is answered.
                return
            self._claiming.add(asked)
            try:
                reply = await self._claim(self._journals[partition], request)
            finally:
                self._claiming.discard(asked)
            self._transport.send(
                request.gateway_address, reply, envelope.correlation_id
            )

        self._pass_on_or_start(partition, request, envelope, answer)

    async def _on_outcome(
        self, envelope: Envelope, report: OutcomeReport
    ) -> None:
        partition = partition_of_key(report.organisation, report.key)

        async def answer() -> None:
            if await self._record(self._journals[partition], report):
                self._transport.send(
                    report.gateway_address,
                    OutcomeAck(report.request_id),
                    envelope.correlation_id,
                )

        self._pass_on_or_start(partition, report, envelope, answer)

    async def _on_status(
        self, envelope: Envelope, request: ClaimStatusRequest
    ) -> None:
        if not 0 <= request.partition < CLAIM_PARTITION_COUNT:
            return

        async def answer() -> None:
            reply = await self._status(request)
            self._transport.send(
                request.gateway_address, reply, envelope.correlation_id
            )

        self._pass_on_or_start(request.partition, request, envelope, answer)

    def _pass_on_or_start(
        self,
        partition: int,
        message: ClaimMessage,
        envelope: Envelope,
        answer: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        home = self._home(partition)
        if message.hops == 0 and home != self._members.own:
            passed_on = replace(message, hops=1)
            self._transport.send(
                home.address, passed_on, envelope.correlation_id
            )
        else:
            self._tasks.start_soon(answer)

    async def _claim(
        self, journal: PartitionJournal, request: ClaimRequest
    ) -> ClaimReply:
        if request.lookup_only:
            known = await journal.find_by_key(
                (request.organisation, request.key)
            )
            if known is None:
                return ClaimReply(request.request_id, ClaimState.RELEASED)
            return _reply(journal, request.request_id, known, request)
        claimed = await journal.acquire(_wanted(request))
        if isinstance(claimed, Err):
            return _refusal(request.request_id, claimed.err_value)
        claim = claimed.ok_value
        granted = (
            claim.request_id == request.request_id
            and claim.state is ClaimState.GRANTED
        )
        log_event(
            Event.CLAIM_GRANTED if granted else Event.CLAIM_REPEATED,
            self._instance,
            request=request.request_id,
            holder=claim.request_id,
            gateway=request.gateway,
            state=claim.state.name,
        )
        if granted:
            return ClaimReply(
                request.request_id, ClaimState.GRANTED, claim.request_id
            )
        return _reply(journal, request.request_id, claim, request)

    async def _record(
        self, journal: PartitionJournal, report: OutcomeReport
    ) -> bool:
        """Returns whether the report needs no repeat."""
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
        return _reply(journal, request.request_id, claim)


def _wanted(request: ClaimRequest) -> Claim:
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


def _reply(
    journal: PartitionJournal,
    request_id: str,
    claim: Claim,
    request: ClaimRequest | None = None,
) -> ClaimReply:
    """Describes a claim that another request holds or held."""
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
