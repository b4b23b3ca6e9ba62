"""The gateway's side of rollouts: which version a request may run on.

Also collects the outcomes by version and reports them to the controller.
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

REPORT_PERIOD_S = 1.0

# A gateway that has just started sends nothing to versions on probation for
# this time, because it may not have heard a verdict yet. Facts are compared
# every 2 s, by the gateway and by a controller that may be new as well.
STARTUP_HOLD_S = 5.0

DIGEST_RANGE = 1 << 64


class VersionGate:
    """Divides the traffic of pools with a rollout between the versions."""

    def __init__(
        self,
        timer: TimerService,
        transport: Transport,
        facts: Facts,
        controller_address: str,
        gateway_count: Callable[[], int],
        learning_s: float = 0.0,
    ) -> None:
        self._timer = timer
        self._transport = transport
        self._facts = facts
        self._controller_address = controller_address
        self._gateway_count = gateway_count
        self._collector = EvidenceCollector()
        self._probation_sent: Counter[str] = Counter()
        self._window_started_at = timer.now()
        self._learned_at = timer.now() + learning_s
        # Requests sent by rollout since its share is above zero.
        self._new_sent: Counter[str] = Counter()
        self._old_sent: Counter[str] = Counter()

    def start(self) -> None:
        """Starts to report outcomes."""
        self._timer.subscribe(REPORT_PERIOD_S, self.report)

    def is_withheld(
        self, call: Call, server: BackendServer, retry: bool = False
    ) -> bool:
        """Whether a server's version may not get a request.

        Each request is assigned to one version by its id, so all its
        attempts agree. The old version may take requests of the new one
        that are refused there, but not the other way round. Below full
        share, a request gets one attempt at the new version at most: a bad
        version would otherwise raise its traffic by its own failures.
        """
        rollout = call.pool.rollout
        if rollout is None or server.version != rollout.to_version:
            return False
        if retry and self._share(call.pool) < 1.0:
            return True
        return not self.is_assigned_to_new(call)

    def preferred_version(self, call: Call) -> str | None:
        """Returns the version that a request goes to if it has a slot."""
        if call.pool.rollout is None or not self.is_assigned_to_new(call):
            return None
        return call.pool.rollout.to_version

    def note_sent(self, call: Call, choice: ServerAssignment) -> None:
        """Counts a request that goes to a version of a rollout."""
        self._count_share(call, choice)
        now = self._timer.now()
        if now - self._window_started_at >= PROBATION_WINDOW_S:
            self._window_started_at = now
            self._probation_sent.clear()
        rollout = call.pool.rollout
        if rollout and choice.server.version == rollout.to_version:
            self._probation_sent[rollout_key(call.pool.id, rollout)] += 1

    def note_ended(
        self, choice: ServerAssignment, outcome: AttemptOutcome
    ) -> None:
        """Takes in the outcome of an attempt."""
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
        """Sends the outcomes since the last report."""
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
        """Whether a request may run on the new version of a rollout."""
        pool = call.pool
        if pool.rollout is None:
            return False
        phase, _ = rollout_phase(self._facts, pool)
        share = effective_share(pool.rollout, phase, self._timer.wall())
        drawn = xxh64_intdigest(call.request_id.encode()) / DIGEST_RANGE
        if drawn >= share:
            return False
        return phase is not Phase.PROBATION or self._may_probe(pool, share)

    def _share(self, pool: Pool) -> float:
        assert pool.rollout is not None
        phase, _ = rollout_phase(self._facts, pool)
        return effective_share(pool.rollout, phase, self._timer.wall())

    def _may_probe(self, pool: Pool, share: float) -> bool:
        """Whether a version on probation may get one more request.

        The draw by request id holds the share on average only, so what was
        really sent is compared with it, too.
        """
        assert pool.rollout is not None
        if self._timer.now() < self._learned_at:
            return False
        key = rollout_key(pool.id, pool.rollout)
        allowance = probation_allowance(self._gateway_count())
        if self._probation_sent[key] >= allowance:
            return False
        new, old = self._new_sent[key] + 1, self._old_sent[key]
        return old == 0 or new <= share * (new + old)

    def _count_share(self, call: Call, choice: ServerAssignment) -> None:
        rollout = call.pool.rollout
        if rollout is None or self._share(call.pool) == 0.0:
            return
        key = rollout_key(call.pool.id, rollout)
        if choice.server.version == rollout.to_version:
            self._new_sent[key] += 1
        elif choice.attempt == 1:
            # Retries are left out: they are not requests of the pool.
            self._old_sent[key] += 1


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
