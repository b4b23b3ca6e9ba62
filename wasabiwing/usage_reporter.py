"""Reports the usage of each window once, across changes of the holder.

The counts of a window are stored by a conditional write before they are sent.
A later holder that reports the window finds them in the store and sends the
same counts, so that two reports of a window never differ. A restore of the
store may undo the record: the node that wrote it writes it again, and a window
that ended before the restore, or before the start of a process that may have
missed it, is reported by no node that knows no record.
"""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Mapping
from math import inf

from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.duty_port import DutyCalls
from wasabiwing.duty_port import DutyStamp
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.node_reports import NodeReports
from wasabiwing.ports import LeaseStore
from wasabiwing.ports import StoredValue
from wasabiwing.timers import TimerService
from wasabiwing.usage_windows import UsageWindows

USAGE_PREFIX = "/wasabiwing/usage/"

# Time after the end of a window in which reports of the other nodes arrive,
# in seconds.
SETTLE_S = 0.6

# Share of the time until a report is due in which reports of silent nodes are
# awaited.
MAX_WAIT_SHARE = 0.55

# Lifetime of a record in the store, in seconds: far beyond the time in which
# a window may still be reported.
RECORD_LIFETIME_S = 300.0


# Number of windows whose records a node can write again after a restore.
MAX_RECORDED_WINDOWS = 24


class UsageReporter:
    """Reports usage windows while this node holds the duties."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        store: LeaseStore,
        cloud: DutyCalls,
        windows: UsageWindows,
        reports: NodeReports,
        due_s: float,
        was_restored: Callable[[], bool] = lambda: False,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._store = store
        self._cloud = cloud
        self._windows = windows
        self._reports = reports
        self._due_s = due_s
        # First window that this holder has not reported.
        self._next_window: int | None = None
        self._record_lease = 0
        self._record_lease_until = 0.0
        # Counts of the latest windows that this node has recorded, and the
        # windows whose records have to be written again.
        self._recorded_by_window: OrderedDict[int, Mapping[str, int]] = (
            OrderedDict()
        )
        self._windows_to_rewrite: list[int] = []
        # Whether the store was ever restored, and the monotonic times of its
        # latest known restore and of this process's start.
        self._was_restored = was_restored
        self._restored_at = -inf
        self._started_at = timer.now()

    def note_restore(self) -> None:
        """Records that the store was restored from a copy."""
        self._restored_at = self._timer.now()
        self._record_lease_until = 0.0
        self._windows_to_rewrite = list(self._recorded_by_window)

    async def rewrite_records(self) -> None:
        """Writes records again after a restore; stops at a failure."""
        while self._windows_to_rewrite:
            window = self._windows_to_rewrite[0]
            counts = self._recorded_by_window.get(window)
            if counts is None:
                # Too old to be reported again.
                self._windows_to_rewrite.remove(window)
                continue
            recorded = await self._record(window, counts)
            if isinstance(recorded, Err):
                return
            if window in self._windows_to_rewrite:
                self._windows_to_rewrite.remove(window)
            log_event(
                Event.STORE_REWRITTEN,
                self._node_id,
                key=f"{USAGE_PREFIX}{window}",
                is_same=recorded.ok_value == counts,
            )

    def reset(self) -> None:
        """Forgets the next window; called when this node becomes holder."""
        self._next_window = None

    async def report_next(self, stamp: DutyStamp) -> Result[bool, Failure]:
        """Reports the next window; returns false if it is not ready yet."""
        window = self._next_window
        if window is None:
            window = self._windows.oldest_window()
        if not self._is_ready(window):
            return Ok(False)
        recorded = await self._stored_counts(window)
        if isinstance(recorded, Err):
            return recorded
        counts = recorded.ok_value
        if counts is None:
            log_event(
                Event.USAGE_WITHHELD,
                self._node_id,
                window=window,
                failure="a restore may have undone the record of its report",
            )
            self._next_window = window + 1
            return Ok(True)
        sent = await self._cloud.report_usage(stamp, window, counts)
        if isinstance(sent, Err):
            return sent
        self._next_window = window + 1
        log_event(
            Event.USAGE_REPORTED,
            self._node_id,
            window=window,
            counts=dict(counts),
            fence=stamp.fencing_number,
            late_s=round(self._timer.now() - self._windows.window_end(window)),
        )
        return Ok(True)

    def _is_ready(self, window: int) -> bool:
        """Whether all nodes reported a window's counts or the wait is over."""
        now = self._timer.now()
        ended_at = self._windows.window_end(window)
        if now < ended_at + SETTLE_S:
            return False
        if now > ended_at + self._due_s * MAX_WAIT_SHARE:
            return True
        return self._reports.all_heard_since(ended_at + SETTLE_S / 2)

    async def _stored_counts(
        self, window: int
    ) -> Result[Mapping[str, int] | None, Failure]:
        """Returns a window's counts in the store; writes them if missing.

        ``None`` says that other counts may have been reported.
        """
        counts = self._recorded_by_window.get(window)
        if counts is None:
            if self._windows.window_end(window) <= self._unknown_until():
                return await self._counts_before_restore(window)
            counts = self._reports.window_totals(window, self._windows)
        return await self._record(window, counts)

    def _unknown_until(self) -> float:
        """Returns until when a report may be unknown to this node.

        A process knows nothing of a restore before its start.
        """
        if self._was_restored():
            return max(self._restored_at, self._started_at)
        return self._restored_at

    async def _counts_before_restore(
        self, window: int
    ) -> Result[Mapping[str, int] | None, Failure]:
        key = f"{USAGE_PREFIX}{window}"
        found = await self._store.get(key)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Ok(None)
        return _decode_counts(found.ok_value)

    async def _record(
        self, window: int, counts: Mapping[str, int]
    ) -> Result[Mapping[str, int], Failure]:
        """Returns a window's counts in the store, which are written first."""
        lease = await self._current_record_lease()
        if isinstance(lease, Err):
            return lease
        key = f"{USAGE_PREFIX}{window}"
        value = encode(counts, order="sorted")
        swapped = await self._store.swap(key, 0, value, lease.ok_value)
        if isinstance(swapped, Err):
            if swapped.err_value.code is ResultCode.LEASE_LOST:
                self._record_lease_until = 0.0
            return swapped
        if swapped.ok_value.swapped:
            self._recorded_by_window[window] = counts
            if len(self._recorded_by_window) > MAX_RECORDED_WINDOWS:
                self._recorded_by_window.popitem(last=False)
            return Ok(counts)
        current = swapped.ok_value.current
        if current is None:
            return Err(Failure(ResultCode.STORE_CONFLICT, key))
        return _decode_counts(current)

    async def _current_record_lease(self) -> Result[int, Failure]:
        """Returns the id of the store lease with which records expire."""
        now = self._timer.now()
        if now < self._record_lease_until:
            return Ok(self._record_lease)
        granted = await self._store.grant_lease(RECORD_LIFETIME_S)
        if isinstance(granted, Err):
            return granted
        self._record_lease = granted.ok_value.id
        # A new lease is granted early enough for each record to last.
        self._record_lease_until = now + RECORD_LIFETIME_S / 2
        return Ok(self._record_lease)


def _decode_counts(stored: StoredValue) -> Result[dict[str, int], Failure]:
    try:
        return Ok(decode(stored.value, type=dict[str, int]))
    except UNDECODABLE as error:
        return Err(
            Failure(ResultCode.STORE_CONFLICT, f"{stored.key}: {error}")
        )
