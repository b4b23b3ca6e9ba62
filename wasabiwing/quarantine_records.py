"""Persists quarantines in the platform's store.

Stored quarantines protect against a restart of all nodes while a caller goes
on repeating a request that crashes servers. A node that saw such a crash
writes the record. Every node reads the records with the rest of the store's
content, before it accepts its first request.
"""

from collections import deque

from msgspec import Struct
from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.facts import Facts
from wasabiwing.ports import LeaseStore
from wasabiwing.quarantine_facts import QUARANTINE_FACT_KIND
from wasabiwing.timers import TimerService

QUARANTINE_PREFIX = "/wasabiwing/quarantine/"

# Lifetime of a stored record, in seconds: the longest lease that the store
# grants.
RECORD_TTL_S = 600.0

# Period of writing queued records, in seconds; failed writes are retried.
WRITE_PERIOD_S = 0.5

# Size of the write queue; quarantines beyond it spread by gossip only.
MAX_PENDING_RECORDS = 100


class _Record(Struct, frozen=True):
    """Quarantine of one digest as the store holds it."""

    # An odd epoch stands for a quarantine, an even epoch for its end.
    epoch: int
    value: str


class QuarantineRecords:
    """Reads and writes quarantine records for one node."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        store: LeaseStore,
        facts: Facts,
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._facts = facts
        # Revision of the record in the store, by the digest whose write is
        # pending; 0 for none.
        self._revision_by_pending_digest: dict[str, int] = {}
        # Digests of the latest records that this node wrote.
        self._written_digests: deque[str] = deque(maxlen=MAX_PENDING_RECORDS)
        timer.subscribe(WRITE_PERIOD_S, self.write)

    def queue_write(self, digest: str) -> None:
        """Queues the quarantine of a digest for the next write."""
        if len(self._revision_by_pending_digest) < MAX_PENDING_RECORDS:
            self._revision_by_pending_digest.setdefault(digest, 0)

    def rewrite(self) -> None:
        """Queues the records again that a restore may have undone."""
        for digest in self._written_digests:
            self.queue_write(digest)

    def apply_record(self, key: str, value: bytes | None) -> None:
        """Publishes a stored record as a fact; a deleted record is ignored."""
        record = _decode(value)
        if record is None:
            if value is not None:
                log_event(
                    Event.CONFIGURATION_REJECTED,
                    self._node_id,
                    key=key,
                    problem="not a quarantine record",
                )
            return
        digest = key.removeprefix(QUARANTINE_PREFIX)
        self._facts.publish(
            QUARANTINE_FACT_KIND, digest, record.value, record.epoch
        )

    async def write(self) -> None:
        """Writes all queued records; stops at the first failure."""
        for digest, revision in list(self._revision_by_pending_digest.items()):
            written = await self._write_record(digest, revision)
            if isinstance(written, Err):
                log_event(
                    Event.QUARANTINE_NOT_STORED,
                    self._node_id,
                    digest=digest,
                    failure=str(written.err_value),
                )
                return
            if written.ok_value is None:
                del self._revision_by_pending_digest[digest]
                if digest not in self._written_digests:
                    self._written_digests.append(digest)
            else:
                self._revision_by_pending_digest[digest] = written.ok_value

    async def _write_record(
        self, digest: str, revision: int
    ) -> Result[int | None, Failure]:
        """Writes the record of a digest.

        Returns ``None`` when nothing is left to write, or the revision of an
        older stored record, which the next write has to replace.
        """
        fact = self._facts.get(QUARANTINE_FACT_KIND, digest)
        if fact is None:
            return Ok(None)
        lease = await self._store.grant_lease(RECORD_TTL_S)
        if isinstance(lease, Err):
            return lease
        swapped = await self._store.swap(
            QUARANTINE_PREFIX + digest,
            revision,
            encode(_Record(fact.epoch, fact.value)),
            lease.ok_value.id,
        )
        if isinstance(swapped, Err):
            return swapped
        found = swapped.ok_value
        if found.swapped or found.current is None:
            return Ok(None if found.swapped else 0)
        record = _decode(found.current.value)
        if record is not None and record.epoch >= fact.epoch:
            return Ok(None)
        return Ok(found.revision)


def _decode(value: bytes | None) -> _Record | None:
    if value is None:
        return None
    try:
        return decode(value, type=_Record)
    except UNDECODABLE:
        return None
