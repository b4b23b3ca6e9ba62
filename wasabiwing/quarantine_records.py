"""Keeps quarantines in the platform's store, where they outlive all nodes.

Load pattern: all nodes are stopped at once while a caller goes on repeating a
request that crashes servers. A node that saw a crash of it writes the record;
every node reads it with everything else that the store holds, before it takes
its first request.
"""

from msgspec import DecodeError
from msgspec import Struct
from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.facts import Facts
from wasabiwing.ports import LeaseStore
from wasabiwing.quarantine import QUARANTINE_FACT_KIND
from wasabiwing.timers import TimerService

QUARANTINE_PREFIX = "/wasabiwing/quarantine/"

# Lifetime of a record, in seconds: the longest lease that the store grants.
RECORD_TTL_S = 600.0

# How often records that could not be written are tried again, in seconds.
WRITE_PERIOD_S = 0.5

# Records that wait to be written; more than that are left to the gossip.
MOST_WAITING = 100


class _Record(Struct, frozen=True):
    """A record as it is stored."""

    # Odd for a digest that is refused, even for one that is not any more.
    epoch: int
    value: str


class QuarantineRecords:
    """Reads and writes the records of one node."""

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
        # Revision of the record in the store, by digest; 0 for none.
        self._revision_by_waiting: dict[str, int] = {}
        timer.subscribe(WRITE_PERIOD_S, self.write)

    def queue_write(self, digest: str) -> None:
        """Writes the quarantine of a digest down with the next tick."""
        if len(self._revision_by_waiting) < MOST_WAITING:
            self._revision_by_waiting.setdefault(digest, 0)

    def apply_record(self, key: str, value: bytes | None) -> None:
        """Takes over a record; one that has ended says nothing."""
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
        """Writes the records that wait."""
        for digest, revision in list(self._revision_by_waiting.items()):
            written = await self._write(digest, revision)
            if isinstance(written, Err):
                log_event(
                    Event.QUARANTINE_NOT_STORED,
                    self._node_id,
                    digest=digest,
                    failure=str(written.err_value),
                )
                return
            if written.ok_value is None:
                del self._revision_by_waiting[digest]
            else:
                self._revision_by_waiting[digest] = written.ok_value

    async def _write(
        self, digest: str, revision: int
    ) -> Result[int | None, Failure]:
        """Writes a record; returns the revision of an older one, if any."""
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
    except DecodeError:
        return None
