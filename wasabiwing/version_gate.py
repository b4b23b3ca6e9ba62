"""Decides on a gateway which version of a rollout a request may run on.

The gateway also collects the outcomes of attempts by version and reports them
to its controller.
"""

from collections import Counter
from collections.abc import Callable

from xxhash import xxh64_intdigest

from wasabiwing.calls import AttemptOutcome
from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Pool
from wasabiwing.evidence import EvidenceCollector
from wasabiwing.evidence import EvidenceKey
from wasabiwing.evidence import load_level
from wasabiwing.evidence import Sample
from wasabiwing.evidence import sample_from_outcome
from wasabiwing.facts import Facts
from wasabiwing.messages import EvidenceEntry
from wasabiwing.messages import EvidenceReport
from wasabiwing.ports import Transport
from wasabiwing.rollout_facts import rollout_key
from wasabiwing.rollout_facts import rollout_phase
from wasabiwing.rollout_schedule import effective_share
from wasabiwing.rollout_schedule import Phase
from wasabiwing.rollout_schedule import probation_allowance
from wasabiwing.rollout_schedule import PROBATION_WINDOW_S
from wasabiwing.timers import TimerService

# Period of the reports to the controller, in seconds.
REPORT_PERIOD_S = 1.0

# Time after its start in which a gateway sends nothing to versions on
# probation, in seconds, because it may not know a verdict yet. The gateway and
# its controller, which may have just started as well, exchange digests of
# facts every 2 s.
STARTUP_HOLD_S = 5.0

# Number of values of the hash that assigns requests to versions.
HASH_RANGE = 1 << 64


class VersionGate:
    """Splits the traffic of pools with a rollout between their versions."""

    def __init__(
        self,
        timer: TimerService,
        transport: Transport,
        facts: Facts,
        controller_address: str,
        gateway_count: Callable[[], int],
        startup_hold_s: float = 0.0,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._facts = facts
        self._controller_address = controller_address
        self._gateway_count = gateway_count
        self._collector = EvidenceCollector()
        self._probation_sent_by_rollout: Counter[str] = Counter()
        self._window_started_at = timer.now()
        self._hold_ends_at = timer.now() + startup_hold_s
        # Requests sent to each version, by rollout, since the new version's
        # share is above zero.
        self._new_sent_by_rollout: Counter[str] = Counter()
        self._old_sent_by_rollout: Counter[str] = Counter()

    def start(self) -> None:
        """Starts the timer of the reports."""
        self._timer.subscribe(REPORT_PERIOD_S, self.report)

    def is_withheld(
        self, call: Call, server: BackendServer, retry: bool = False
    ) -> bool:
        """Whether a request must not be sent to a server, for its version.

        Each request is assigned to one version by a hash of its id, so all
        its attempts agree. The old version may serve requests that the new
        version refused, but not the other way round. Below full share, a
        request gets at most one attempt at the new version: retries would
        otherwise raise the traffic of a bad version.
        """
        rollout = call.pool.rollout
        if rollout is None or server.version != rollout.to_version:
            return False
        if retry and self._share(call.pool) < 1.0:
            return True
        return not self.is_assigned_to_new(call)

    def preferred_version(self, call: Call) -> str | None:
        """Returns the version that a request uses if that has a free slot.

        Returns ``None`` if the request is not assigned to a new version.
        """
        if call.pool.rollout is None or not self.is_assigned_to_new(call):
            return None
        return call.pool.rollout.to_version

    def note_sent(self, call: Call, choice: ServerAssignment) -> None:
        """Counts an attempt that is sent to a version of a rollout."""
        self._count_sent(call, choice)
        now = self._timer.now()
        if now - self._window_started_at >= PROBATION_WINDOW_S:
            self._window_started_at = now
            self._probation_sent_by_rollout.clear()
        rollout = call.pool.rollout
        if rollout and choice.server.version == rollout.to_version:
            self._probation_sent_by_rollout[
                rollout_key(call.pool.id, rollout)
            ] += 1

    def note_ended(
        self, choice: ServerAssignment, outcome: AttemptOutcome
    ) -> None:
        """Collects the outcome of an attempt as evidence on its version."""
        call = choice.call
        if call is None or call.pool.rollout is None:
            return
        sample = sample_from_outcome(outcome, choice.server_is_cold)
        if sample is None:
            return
        key = EvidenceKey(
            call.pool.id,
            choice.server.version,
            call.route.id,
            load_level(choice.in_flight, choice.limit),
        )
        self._collector.add(key, sample)

    async def report(self) -> None:
        """Sends the samples since the last report to the controller."""
        entries_by_pool: dict[str, list[EvidenceEntry]] = {}
        for key, samples in self._collector.drain().items():
            entries = entries_by_pool.setdefault(key.pool_id, [])
            entries.append(_entry(key, samples))
        for pool_id, entries in entries_by_pool.items():
            self._transport.send(
                self._controller_address,
                EvidenceReport(pool_id, tuple(entries)),
            )

    def is_assigned_to_new(self, call: Call) -> bool:
        """Whether a request may run on the new version of its pool."""
        pool = call.pool
        if pool.rollout is None:
            return False
        phase, _ = rollout_phase(self._facts, pool)
        share = effective_share(pool.rollout, phase, self._timer.wall_time())
        position = xxh64_intdigest(call.request_id.encode()) / HASH_RANGE
        if position >= share:
            return False
        return phase is not Phase.PROBATION or self._may_send_on_probation(
            pool, share
        )

    def _share(self, pool: Pool) -> float:
        assert pool.rollout is not None
        phase, _ = rollout_phase(self._facts, pool)
        return effective_share(pool.rollout, phase, self._timer.wall_time())

    def _may_send_on_probation(self, pool: Pool, share: float) -> bool:
        """Whether the pool's version on probation may get one more request.

        The assignment by hash keeps the share on average only, so the numbers
        of requests sent are compared with the share as well.
        """
        assert pool.rollout is not None
        if self._timer.now() < self._hold_ends_at:
            return False
        key = rollout_key(pool.id, pool.rollout)
        allowance = probation_allowance(self._gateway_count())
        if self._probation_sent_by_rollout[key] >= allowance:
            return False
        new, old = (
            self._new_sent_by_rollout[key] + 1,
            self._old_sent_by_rollout[key],
        )
        return old == 0 or new <= share * (new + old)

    def _count_sent(self, call: Call, choice: ServerAssignment) -> None:
        rollout = call.pool.rollout
        if rollout is None or self._share(call.pool) == 0.0:
            return
        key = rollout_key(call.pool.id, rollout)
        if choice.server.version == rollout.to_version:
            self._new_sent_by_rollout[key] += 1
        elif choice.attempt == 1:
            # Retries are not counted, because they are no new requests.
            self._old_sent_by_rollout[key] += 1


def _entry(key: EvidenceKey, samples: list[Sample]) -> EvidenceEntry:
    return EvidenceEntry(
        key.version,
        key.route_id,
        int(key.load),
        sum(sample.failed for sample in samples),
        sum(
            not sample.failed and sample.first_token_ms is None
            for sample in samples
        ),
        tuple(
            sample.first_token_ms
            for sample in samples
            if sample.first_token_ms is not None
        ),
    )
