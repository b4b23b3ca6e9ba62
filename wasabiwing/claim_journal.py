"""The claim journal of one partition.

A claim is the durable right to send one non-idempotent request once. The
home controller of the partition appends the states of claims to the newest
segment by compare-and-swap, and one swap carries many claims. The segment's
revision acts as the fencing number: the swap of a controller that is no longer
the home fails, and that controller loads the partition again. A full segment
is sealed by a swap of its own before the next segment is created, so that its
revision has changed and writes of an earlier home fail.
"""

from collections.abc import Callable
from dataclasses import dataclass

from anyio import Lock
from msgspec.msgpack import encode
from msgspec.structs import replace
from result import Err
from result import Ok
from result import Result

from wasabiwing.claim_records import Claim
from wasabiwing.claim_records import CLAIM_STORE_PREFIX
from wasabiwing.claim_records import ClaimKey
from wasabiwing.claim_records import fitting_claims
from wasabiwing.claim_records import JournalLimits
from wasabiwing.claim_records import read_segment
from wasabiwing.claim_records import Segment
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.messages import ClaimState
from wasabiwing.ports import ConfigStore
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import TimerService

# Swaps that are tried for one group of changes before its claims are refused.
MAX_SWAP_ATTEMPTS = 5

# Greatest age in seconds of the cached state from which a running claim is
# answered. After that the partition is read again, because another controller
# may have become its home and recorded the outcome.
RUNNING_CLAIM_MAX_AGE_S = 0.5


# Returns the next claim of a key, given the current one, or ``None`` to leave
# the key unchanged.
NextClaim = Callable[[Claim | None], Claim | None]


@dataclass(slots=True, eq=False)
class _PendingChange:
    """A change of one key that waits for the next group commit."""

    key: ClaimKey
    next_claim: NextClaim
    # Claim after the commit; valid once ``done`` is set without a failure.
    claim: Claim | None = None
    failure: Failure | None = None
    done: bool = False


class PartitionJournal:
    """The claims of one partition, cached and written by its home controller.

    Several controllers may hold a journal of the same partition while their
    views of the membership differ; compare-and-swap keeps that safe.
    """

    def __init__(
        self,
        incarnation_id: str,
        partition: int,
        store: ConfigStore,
        timer: TimerService,
        budget: StoreBudget,
        limits: JournalLimits | None = None,
    ) -> None:
        # Differs between two runs of the same controller.
        self._incarnation_id = incarnation_id
        self._partition = partition
        self._prefix = f"{CLAIM_STORE_PREFIX}{partition}/"
        self._store = store
        self._timer = timer
        self._budget = budget
        self._limits = limits or JournalLimits()
        self._lock = Lock()
        self._pending_changes: list[_PendingChange] = []
        self._claim_by_key: dict[ClaimKey, Claim] = {}
        self._key_by_request_id: dict[str, ClaimKey] = {}
        self._segment_number_by_key: dict[ClaimKey, int] = {}
        # When this controller first read or wrote the claim of a request.
        self._first_seen_at_by_request_id: dict[str, float] = {}
        # Revisions and wall-clock sealing times of the sealed segments.
        self._sealed_by_number: dict[int, tuple[int, float]] = {}
        # The open segment; its revision is 0 while it is not in the store.
        self._open_number = 1
        self._open_revision = 0
        self._open_segment = Segment("")
        # Encoded size of the open segment.
        self._open_bytes = 0
        self._last_id_number = 0
        # Whether the cached state is that of the last read or own write.
        self._cache_is_current = False
        # Time of that read or write.
        self._cache_confirmed_at = 0.0
        # Ids of grants that were refused although their write may have taken
        # effect. Their keys count as free.
        self._unconfirmed_grant_ids: set[str] = set()
        # Whether the partition was read at least once.
        self.loaded = False

    async def acquire(self, wanted: Claim) -> Result[Claim, Failure]:
        """Grants the wanted claim if its key is free; returns the key's claim.

        The wanted request holds the claim only if the returned claim has its
        request id and is granted. The claim of a cached key is returned
        without a write.
        """
        known = self.get_cached((wanted.organisation, wanted.key))
        if known is not None and not _is_granted_to_request(known, wanted):
            return Ok(await self._refresh_if_running(known))
        if known is not None and self._is_granted_here(known):
            return Ok(known)

        def next_claim(current: Claim | None) -> Claim | None:
            if current is None or self._is_free(current):
                return replace(wanted, grant_id=self._next_id())
            if not _is_granted_to_request(
                current, wanted
            ) or self._is_granted_here(current):
                return None
            # Another controller wrote this grant and may treat the key as free
            # if it did not learn that its write took effect. A new grant id
            # prevents that.
            return replace(current, grant_id=self._next_id())

        return await self._commit(
            _PendingChange((wanted.organisation, wanted.key), next_claim)
        )

    async def record_outcome(
        self, key: ClaimKey, request_id: str, update: Callable[[Claim], Claim]
    ) -> Result[Claim, Failure]:
        """Records the outcome of the request that holds the claim of a key."""

        def next_claim(current: Claim | None) -> Claim | None:
            if current is None or current.request_id != request_id:
                return None
            if current.state not in (ClaimState.GRANTED, ClaimState.UNKNOWN):
                return None
            changed = update(current)
            return None if changed == current else changed

        return await self._commit(_PendingChange(key, next_claim))

    def get_cached(self, key: ClaimKey) -> Claim | None:
        """Returns the cached claim of a key; ``None`` if the key is free."""
        claim = self._claim_by_key.get(key)
        return None if claim is None or self._is_free(claim) else claim

    async def find_by_key(self, key: ClaimKey) -> Claim | None:
        """Returns the claim of a cached key.

        A running claim is read again after ``RUNNING_CLAIM_MAX_AGE_S``.
        """
        claim = self.get_cached(key)
        return None if claim is None else await self._refresh_if_running(claim)

    async def find_by_request_id(
        self, request_id: str
    ) -> Result[Claim | None, Failure]:
        """Returns the claim that the request with this id holds or held.

        An unknown request id makes the journal read the partition again.
        """
        key = self._key_by_request_id.get(request_id)
        if key is None or not self.loaded:
            async with self._lock:
                loaded = await self._load()
            if isinstance(loaded, Err):
                return loaded
            key = self._key_by_request_id.get(request_id)
        if key is None:
            return Ok(None)
        return Ok(await self._refresh_if_running(self._claim_by_key[key]))

    def is_overdue(self, claim: Claim) -> bool:
        """Returns whether the outcome timeout of a granted claim has passed.

        The timeout starts when this controller first reads or writes the
        claim.
        """
        seen_at = self._first_seen_at_by_request_id.get(
            claim.request_id, self._timer.now()
        )
        return self._timer.now() >= seen_at + claim.outcome_timeout_s

    async def load(self) -> Result[None, Failure]:
        """Reads the partition unless the cached state is current."""
        async with self._lock:
            return Ok(None) if self._cache_is_current else await self._load()

    async def _refresh_if_running(self, claim: Claim) -> Claim:
        """Returns a claim, after reading a running one again if it is old."""
        age_s = self._timer.now() - self._cache_confirmed_at
        if (
            claim.state is not ClaimState.GRANTED
            or age_s < RUNNING_CLAIM_MAX_AGE_S
        ):
            return claim
        async with self._lock:
            await self._load()
        return self.get_cached((claim.organisation, claim.key)) or claim

    def _is_free(self, claim: Claim) -> bool:
        if claim.state is ClaimState.RELEASED:
            return True
        return (
            claim.state is ClaimState.GRANTED
            and claim.grant_id in self._unconfirmed_grant_ids
        )

    def _is_granted_here(self, claim: Claim) -> bool:
        return claim.grant_id.startswith(f"{self._incarnation_id}/")

    def _next_id(self) -> str:
        self._last_id_number += 1
        return (
            f"{self._incarnation_id}/{self._partition}/{self._last_id_number}"
        )

    async def _commit(self, change: _PendingChange) -> Result[Claim, Failure]:
        self._pending_changes.append(change)
        async with self._lock:
            if not change.done:
                await self._budget.acquire()
                # Changes that were added during the wait join this group.
                group = list(self._pending_changes)
                await self._commit_group(group)
                self._pending_changes = [
                    waiting
                    for waiting in self._pending_changes
                    if not waiting.done
                ]
        if change.failure is not None:
            return Err(change.failure)
        if change.claim is None:
            return Err(Failure(ResultCode.UNKNOWN_REQUEST))
        return Ok(change.claim)

    async def _commit_group(self, group: list[_PendingChange]) -> None:
        failure = Failure(ResultCode.STORE_CONFLICT)
        for number in range(MAX_SWAP_ATTEMPTS):
            if number:
                await self._budget.acquire()
            if not self._cache_is_current or self._may_reuse_segment_number():
                loaded = await self._load()
                if isinstance(loaded, Err):
                    failure = loaded.err_value
                    break
            staged = self._stage(group)
            written = await self._write(tuple(staged.values()))
            if isinstance(written, Ok):
                for change in group:
                    change.claim = self._claim_by_key.get(change.key)
                    change.done = True
                return
            failure = written.err_value
        # Another controller may have granted one of the keys before the first
        # load, or after this controller lost the partition.
        keys_known = (
            self.loaded and failure.code is not ResultCode.STORE_CONFLICT
        )
        run_state = RunState.NOT_RUN if keys_known else RunState.MAY_HAVE_RUN
        for change in group:
            change.failure = Failure(
                ResultCode.CLAIM_UNAVAILABLE, str(failure), run_state, 1.0
            )
            change.done = True

    def _may_reuse_segment_number(self) -> bool:
        """Returns whether creating the open segment could reuse its number.

        The swap that creates a segment requires that its key does not exist.
        That also holds for a segment that another controller has created,
        sealed and deleted since the last read.
        """
        age_s = self._timer.now() - self._cache_confirmed_at
        return (
            self._open_revision == 0 and age_s > self._limits.max_roll_delay_s
        )

    def _stage(self, group: list[_PendingChange]) -> dict[ClaimKey, Claim]:
        """Returns the next claims by key, after all changes in order."""
        staged: dict[ClaimKey, Claim] = {}
        for change in group:
            current = staged.get(
                change.key, self._claim_by_key.get(change.key)
            )
            proposed = change.next_claim(current)
            if proposed is not None:
                staged[change.key] = proposed
        return staged

    async def _write(self, claims: tuple[Claim, ...]) -> Result[None, Failure]:
        """Appends claims to the newest segment.

        Several swaps are used if the claims would exceed the value size limit,
        and a segment that is full is sealed first.
        """
        while claims:
            part = fitting_claims(
                claims, self._limits.value_bytes - self._open_bytes
            )
            if not part or self._open_bytes > self._limits.segment_bytes:
                started = await self._start_next_segment()
                if isinstance(started, Err):
                    return started
                continue
            segment = Segment(
                self._next_id(), (*self._open_segment.claims, *part)
            )
            swapped = await self._swap(segment, part)
            if isinstance(swapped, Err):
                return swapped
            for claim in part:
                self._cache_claim(claim, self._open_number)
            claims = claims[len(part) :]
        return Ok(None)

    async def _swap(
        self, segment: Segment, part: tuple[Claim, ...]
    ) -> Result[None, Failure]:
        """Replaces the open segment in the store.

        If the swap fails without a definite result, the segment is read again
        to find out whether it was written.
        """
        key = f"{self._prefix}{self._open_number:08d}"
        value = encode(segment)
        grants = {
            claim.grant_id
            for claim in part
            if claim.state is ClaimState.GRANTED
        }
        # Holds until the result of the swap is known, also if this task is
        # cancelled meanwhile.
        self._cache_is_current = False
        self._unconfirmed_grant_ids |= grants
        swapped = await self._store.swap(key, self._open_revision, value)
        if isinstance(swapped, Ok) and not swapped.ok_value.swapped:
            self._unconfirmed_grant_ids -= grants
            log_event(
                Event.PARTITION_LOST,
                self._incarnation_id,
                partition=self._partition,
            )
            return Err(Failure(ResultCode.STORE_CONFLICT, key))
        if isinstance(swapped, Ok):
            revision = swapped.ok_value.revision
        else:
            read = await self._store.get(key)
            if isinstance(read, Err):
                return read
            found = read.ok_value
            if found is None or found.value != value:
                return Err(swapped.err_value)
            revision = found.revision
        self._unconfirmed_grant_ids -= grants
        self._open_revision = revision
        self._open_segment = segment
        self._open_bytes = len(value)
        self._cache_is_current = True
        self._cache_confirmed_at = self._timer.now()
        return Ok(None)

    async def _start_next_segment(self) -> Result[None, Failure]:
        """Seals the open segment and starts the next one.

        Also deletes the oldest sealed segment if its retention has ended.
        """
        sealed = replace(
            self._open_segment,
            commit_id=self._next_id(),
            sealed_at=self._timer.wall_time(),
        )
        await self._budget.acquire()
        swapped = await self._swap(sealed, ())
        if isinstance(swapped, Err):
            return swapped
        self._sealed_by_number[self._open_number] = (
            self._open_revision,
            sealed.sealed_at,
        )
        await self._delete_expired()
        self._open_number += 1
        self._open_revision = 0
        self._open_segment = Segment("")
        self._open_bytes = 0
        return Ok(None)

    async def _delete_expired(self) -> None:
        oldest = min(self._sealed_by_number)
        revision, sealed_at = self._sealed_by_number[oldest]
        kept_s = self._timer.wall_time() - sealed_at
        if oldest == self._open_number or kept_s < self._limits.retention_s:
            return
        await self._budget.acquire()
        deleted = await self._store.delete(
            f"{self._prefix}{oldest:08d}", revision
        )
        if isinstance(deleted, Err):
            return
        del self._sealed_by_number[oldest]
        expired = [
            key
            for key, number in self._segment_number_by_key.items()
            if number <= oldest
        ]
        for key in expired:
            self._first_seen_at_by_request_id.pop(
                self._claim_by_key[key].request_id, None
            )
            self._uncache_key(key)

    async def _load(self) -> Result[None, Failure]:
        """Replaces the cached state by all segments of the partition."""
        listed = await self._store.list_prefix(self._prefix)
        if isinstance(listed, Err):
            return listed
        try:
            segments = [read_segment(value) for value in listed.ok_value]
        except UNDECODABLE as error:
            return Err(Failure(ResultCode.STORE_UNAVAILABLE, str(error)))
        for key in list(self._claim_by_key):
            self._uncache_key(key)
        self._sealed_by_number.clear()
        self._open_number, self._open_revision, self._open_segment = (
            1,
            0,
            Segment(""),
        )
        for number, revision, segment in segments:
            for claim in segment.claims:
                self._cache_claim(claim, number)
            if segment.sealed_at:
                self._sealed_by_number[number] = (revision, segment.sealed_at)
                self._open_number, self._open_revision = number + 1, 0
                self._open_segment = Segment("")
            else:
                self._open_number, self._open_revision = number, revision
                self._open_segment = segment
        self._open_bytes = len(encode(self._open_segment))
        self._first_seen_at_by_request_id = {
            request_id: self._first_seen_at_by_request_id[request_id]
            for request_id in self._key_by_request_id
        }
        if not self.loaded:
            log_event(
                Event.PARTITION_LOADED,
                self._incarnation_id,
                partition=self._partition,
                segments=len(segments),
            )
        self._cache_is_current = True
        self.loaded = True
        self._cache_confirmed_at = self._timer.now()
        return Ok(None)

    def _cache_claim(self, claim: Claim, number: int) -> None:
        key = (claim.organisation, claim.key)
        earlier = self._claim_by_key.get(key)
        if earlier is not None and earlier.request_id != claim.request_id:
            self._key_by_request_id.pop(earlier.request_id, None)
            self._first_seen_at_by_request_id.pop(earlier.request_id, None)
        self._claim_by_key[key] = claim
        self._segment_number_by_key[key] = number
        self._key_by_request_id[claim.request_id] = key
        self._first_seen_at_by_request_id.setdefault(
            claim.request_id, self._timer.now()
        )

    def _uncache_key(self, key: ClaimKey) -> None:
        claim = self._claim_by_key.pop(key)
        self._segment_number_by_key.pop(key, None)
        self._key_by_request_id.pop(claim.request_id, None)


def _is_granted_to_request(claim: Claim, wanted: Claim) -> bool:
    """Returns whether a claim is granted to the wanted claim's request."""
    return (
        claim.request_id == wanted.request_id
        and claim.state is ClaimState.GRANTED
    )
