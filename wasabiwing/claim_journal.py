"""The claim journal of one partition.

A claim is the durable right to send one non-idempotent request once. The
home controller appends the states of claims to the partition's newest
segment by compare-and-swap, many claims in one swap. The segment's revision
is the fence: a controller that is no longer the home loses the swap and
loads the partition again. Older segments are sealed by a swap of their own,
so that their revision changes before the next segment exists.
"""

from collections.abc import Callable
from dataclasses import dataclass

from anyio import Lock
from msgspec import DecodeError
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
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.messages import ClaimState
from wasabiwing.ports import ConfigStore
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import TimerService

# Swaps tried for one group before its claims are refused.
MAX_SWAPS = 5

# A running claim is looked up again in the store after this time, because
# another controller may have been its home since, in seconds.
REFRESH_S = 0.5


# Returns the next state of a key, or ``None`` to leave it as it is.
Propose = Callable[[Claim | None], Claim | None]


@dataclass(slots=True, eq=False)
class _Entry:
    """One change that waits for its group commit."""

    key: ClaimKey
    propose: Propose
    # State after the commit; only valid once ``done`` and without a failure.
    claim: Claim | None = None
    failure: Failure | None = None
    done: bool = False


class PartitionJournal:
    """Claims of one partition, as its home controller sees them."""

    def __init__(
        self,
        instance: str,
        partition: int,
        store: ConfigStore,
        timer: TimerService,
        budget: StoreBudget,
        limits: JournalLimits | None = None,
    ) -> None:
        # Unique name of this run of the controller.
        self._instance = instance
        self._partition = partition
        self._prefix = f"{CLAIM_STORE_PREFIX}{partition}/"
        self._store = store
        self._timer = timer
        self._budget = budget
        self._limits = limits or JournalLimits()
        self._lock = Lock()
        self._pending: list[_Entry] = []
        self._claim_by_key: dict[ClaimKey, Claim] = {}
        self._key_by_request: dict[str, ClaimKey] = {}
        self._segment_by_key: dict[ClaimKey, int] = {}
        self._seen_at: dict[str, float] = {}
        # Revision and time of sealing of the older segments, by number.
        self._sealed_by_number: dict[int, tuple[int, float]] = {}
        self._number = 1
        self._revision = 0
        self._open = Segment("")
        # Encoded size of the open segment.
        self._open_bytes = 0
        self._counter = 0
        # Whether the state above is that of the last read or own write.
        self._current = False
        self._confirmed_at = 0.0
        # Grants whose write may have happened though they were not given.
        self._doubtful: set[str] = set()
        # Whether the partition was read at least once.
        self.loaded = False

    async def acquire(self, wanted: Claim) -> Result[Claim, Failure]:
        """Returns the claim of a key, after granting it if it is free.

        The grant is for the caller's request only if the returned claim has
        its request id and is granted. Known keys are answered without the
        store.
        """
        known = self.get_cached((wanted.organisation, wanted.key))
        if known is not None and not _belongs_to(known, wanted):
            return Ok(await self._refreshed(known))
        if known is not None and self._is_own(known):
            return Ok(known)

        def propose(current: Claim | None) -> Claim | None:
            if current is None or self._is_free(current):
                return replace(wanted, grant_id=self._next_id())
            if not _belongs_to(current, wanted) or self._is_own(current):
                return None
            # Another controller wrote this grant and may take it back if it
            # did not learn that the write happened. A new grant id stops it.
            return replace(current, grant_id=self._next_id())

        return await self._commit(
            _Entry((wanted.organisation, wanted.key), propose)
        )

    async def record_outcome(
        self, key: ClaimKey, request_id: str, change: Callable[[Claim], Claim]
    ) -> Result[Claim, Failure]:
        """Records the outcome of a request that holds the claim."""

        def propose(current: Claim | None) -> Claim | None:
            if current is None or current.request_id != request_id:
                return None
            if current.state not in (ClaimState.GRANTED, ClaimState.UNKNOWN):
                return None
            changed = change(current)
            return None if changed == current else changed

        return await self._commit(_Entry(key, propose))

    def get_cached(self, key: ClaimKey) -> Claim | None:
        """Returns the known claim of a key that is not free."""
        claim = self._claim_by_key.get(key)
        return None if claim is None or self._is_free(claim) else claim

    async def find_by_key(self, key: ClaimKey) -> Claim | None:
        """Returns the claim of a key, read again if it is running."""
        claim = self.get_cached(key)
        return None if claim is None else await self._refreshed(claim)

    async def find_by_request_id(
        self, request_id: str
    ) -> Result[Claim | None, Failure]:
        """Returns the claim of a request id."""
        key = self._key_by_request.get(request_id)
        if key is None or not self.loaded:
            async with self._lock:
                loaded = await self._load()
            if isinstance(loaded, Err):
                return loaded
            key = self._key_by_request.get(request_id)
        if key is None:
            return Ok(None)
        return Ok(await self._refreshed(self._claim_by_key[key]))

    def is_overdue(self, claim: Claim) -> bool:
        """Returns whether a granted claim's outcome is not to be expected.

        The time is measured from when this controller first saw the claim.
        """
        seen_at = self._seen_at.get(claim.request_id, self._timer.now())
        return self._timer.now() >= seen_at + claim.outcome_timeout_s

    async def load(self) -> Result[None, Failure]:
        """Reads the partition unless its state is that of the store."""
        async with self._lock:
            return Ok(None) if self._current else await self._load()

    async def _refreshed(self, claim: Claim) -> Claim:
        """Reads a running claim again if another home may have ended it."""
        age_s = self._timer.now() - self._confirmed_at
        if claim.state is not ClaimState.GRANTED or age_s < REFRESH_S:
            return claim
        async with self._lock:
            await self._load()
        return self.get_cached((claim.organisation, claim.key)) or claim

    def _is_free(self, claim: Claim) -> bool:
        if claim.state is ClaimState.RELEASED:
            return True
        return (
            claim.state is ClaimState.GRANTED
            and claim.grant_id in self._doubtful
        )

    def _is_own(self, claim: Claim) -> bool:
        return claim.grant_id.startswith(f"{self._instance}/")

    def _next_id(self) -> str:
        self._counter += 1
        return f"{self._instance}/{self._partition}/{self._counter}"

    async def _commit(self, entry: _Entry) -> Result[Claim, Failure]:
        self._pending.append(entry)
        async with self._lock:
            if not entry.done:
                await self._budget.acquire()
                # Entries that came during the wait join this group.
                group = list(self._pending)
                await self._commit_group(group)
                self._pending = [
                    waiting for waiting in self._pending if not waiting.done
                ]
        if entry.failure is not None:
            return Err(entry.failure)
        if entry.claim is None:
            return Err(Failure(ResultCode.UNKNOWN_REQUEST))
        return Ok(entry.claim)

    async def _commit_group(self, group: list[_Entry]) -> None:
        failure = Failure(ResultCode.STORE_CONFLICT)
        for number in range(MAX_SWAPS):
            if number:
                await self._budget.acquire()
            if not self._current or self._is_first_write_late():
                loaded = await self._load()
                if isinstance(loaded, Err):
                    failure = loaded.err_value
                    break
            staged = self._stage(group)
            written = await self._write(tuple(staged.values()))
            if isinstance(written, Ok):
                for entry in group:
                    entry.claim = self._claim_by_key.get(entry.key)
                    entry.done = True
                return
            failure = written.err_value
        # Before the first load, and after losing the partition, another
        # controller may have granted one of the keys.
        known = self.loaded and failure.code is not ResultCode.STORE_CONFLICT
        run = RunState.NOT_RUN if known else RunState.MAY_HAVE_RUN
        for entry in group:
            entry.failure = Failure(
                ResultCode.CLAIM_UNAVAILABLE, str(failure), run, 1.0
            )
            entry.done = True

    def _is_first_write_late(self) -> bool:
        """Returns whether the next write could reuse a deleted number.

        A new segment must not exist, which is also true of one that another
        controller created, sealed and deleted after the last read.
        """
        age_s = self._timer.now() - self._confirmed_at
        return self._revision == 0 and age_s > self._limits.max_roll_delay_s

    def _stage(self, group: list[_Entry]) -> dict[ClaimKey, Claim]:
        """Decides the next states, each entry after the ones before it."""
        staged: dict[ClaimKey, Claim] = {}
        for entry in group:
            current = staged.get(entry.key, self._claim_by_key.get(entry.key))
            proposed = entry.propose(current)
            if proposed is not None:
                staged[entry.key] = proposed
        return staged

    async def _write(self, claims: tuple[Claim, ...]) -> Result[None, Failure]:
        """Appends claims to the open segment, in parts below the limit."""
        while claims:
            part = fitting_claims(
                claims, self._limits.value_bytes - self._open_bytes
            )
            if not part or self._open_bytes > self._limits.segment_bytes:
                rolled = await self._roll()
                if isinstance(rolled, Err):
                    return rolled
                continue
            segment = Segment(self._next_id(), (*self._open.claims, *part))
            swapped = await self._swap(segment, part)
            if isinstance(swapped, Err):
                return swapped
            for claim in part:
                self._apply(claim, self._number)
            claims = claims[len(part) :]
        return Ok(None)

    async def _swap(
        self, segment: Segment, part: tuple[Claim, ...]
    ) -> Result[None, Failure]:
        """Replaces the open segment; a lost reply is resolved by reading."""
        key = f"{self._prefix}{self._number:08d}"
        value = encode(segment)
        grants = {
            claim.grant_id
            for claim in part
            if claim.state is ClaimState.GRANTED
        }
        # Until the outcome is known, also if this task is cancelled.
        self._current = False
        self._doubtful |= grants
        swapped = await self._store.swap(key, self._revision, value)
        if isinstance(swapped, Ok) and not swapped.ok_value.swapped:
            self._doubtful -= grants
            log_event(
                Event.PARTITION_LOST, self._instance, partition=self._partition
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
        self._doubtful -= grants
        self._revision = revision
        self._open = segment
        self._open_bytes = len(value)
        self._current = True
        self._confirmed_at = self._timer.now()
        return Ok(None)

    async def _roll(self) -> Result[None, Failure]:
        """Seals the open segment and deletes the oldest if it expired."""
        sealed = replace(
            self._open, commit_id=self._next_id(), sealed_at=self._timer.wall()
        )
        await self._budget.acquire()
        swapped = await self._swap(sealed, ())
        if isinstance(swapped, Err):
            return swapped
        self._sealed_by_number[self._number] = (
            self._revision,
            sealed.sealed_at,
        )
        await self._delete_expired()
        self._number += 1
        self._revision = 0
        self._open = Segment("")
        self._open_bytes = 0
        return Ok(None)

    async def _delete_expired(self) -> None:
        oldest = min(self._sealed_by_number)
        revision, sealed_at = self._sealed_by_number[oldest]
        kept_s = self._timer.wall() - sealed_at
        if oldest == self._number or kept_s < self._limits.retention_s:
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
            for key, number in self._segment_by_key.items()
            if number <= oldest
        ]
        for key in expired:
            self._seen_at.pop(self._claim_by_key[key].request_id, None)
            self._forget(key)

    async def _load(self) -> Result[None, Failure]:
        """Reads all segments of the partition."""
        listed = await self._store.list_prefix(self._prefix)
        if isinstance(listed, Err):
            return listed
        try:
            segments = [read_segment(value) for value in listed.ok_value]
        except (DecodeError, ValueError) as error:
            return Err(Failure(ResultCode.STORE_UNAVAILABLE, str(error)))
        for key in list(self._claim_by_key):
            self._forget(key)
        self._sealed_by_number.clear()
        self._number, self._revision, self._open = 1, 0, Segment("")
        for number, revision, segment in segments:
            for claim in segment.claims:
                self._apply(claim, number)
            if segment.sealed_at:
                self._sealed_by_number[number] = (revision, segment.sealed_at)
                self._number, self._revision = number + 1, 0
                self._open = Segment("")
            else:
                self._number, self._revision = number, revision
                self._open = segment
        self._open_bytes = len(encode(self._open))
        self._seen_at = {
            request_id: self._seen_at[request_id]
            for request_id in self._key_by_request
        }
        if not self.loaded:
            log_event(
                Event.PARTITION_LOADED,
                self._instance,
                partition=self._partition,
                segments=len(segments),
            )
        self._current = True
        self.loaded = True
        self._confirmed_at = self._timer.now()
        return Ok(None)

    def _apply(self, claim: Claim, number: int) -> None:
        key = (claim.organisation, claim.key)
        earlier = self._claim_by_key.get(key)
        if earlier is not None and earlier.request_id != claim.request_id:
            self._key_by_request.pop(earlier.request_id, None)
            self._seen_at.pop(earlier.request_id, None)
        self._claim_by_key[key] = claim
        self._segment_by_key[key] = number
        self._key_by_request[claim.request_id] = key
        self._seen_at.setdefault(claim.request_id, self._timer.now())

    def _forget(self, key: ClaimKey) -> None:
        claim = self._claim_by_key.pop(key)
        self._segment_by_key.pop(key, None)
        self._key_by_request.pop(claim.request_id, None)


def _belongs_to(claim: Claim, wanted: Claim) -> bool:
    """Returns whether a granted claim is that of the same request."""
    return (
        claim.request_id == wanted.request_id
        and claim.state is ClaimState.GRANTED
    )
