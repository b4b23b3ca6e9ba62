"""Judges rollouts on a controller, from the evidence that gateways report.

The home controller of a pool judges the pool's rollout. It publishes a change
of phase as a fact, which needs no store. It also writes the change to the
store as soon as the store answers, so that it outlives all controllers.
"""

from collections.abc import Callable

from result import Err

from wasabiwing.configuration import Configuration
from wasabiwing.configuration import Pool
from wasabiwing.configuration import Rollout
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.evidence import EvidenceKey
from wasabiwing.evidence import LoadLevel
from wasabiwing.evidence import Sample
from wasabiwing.facts import Facts
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import Envelope
from wasabiwing.messages import EvidenceEntry
from wasabiwing.messages import EvidenceReport
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import Member
from wasabiwing.ports import MemberView
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import owner
from wasabiwing.rollout_facts import decode_verdict_record
from wasabiwing.rollout_facts import encode_verdict_record
from wasabiwing.rollout_facts import ROLLOUT_FACT_KIND
from wasabiwing.rollout_facts import rollout_key
from wasabiwing.rollout_facts import rollout_phase
from wasabiwing.rollout_facts import VERDICT_PREFIX
from wasabiwing.rollout_judge import RolloutJudge
from wasabiwing.rollout_schedule import late_reason
from wasabiwing.rollout_schedule import Phase
from wasabiwing.rollout_schedule import settled_at
from wasabiwing.status import RolloutState
from wasabiwing.status import RolloutStatus
from wasabiwing.timers import TimerService

# Period of judgement and of the exchange with the store, in seconds.
JUDGE_PERIOD_S = 1.0

# Delay before a record that the store did not take is written again, in
# seconds.
RECORD_RETRY_S = 5.0

# Returns the part of a pool's usable slots, from 0 to 1, that a version has;
# the arguments are the ids of the pool and the version.
CapacityShare = Callable[[str, str], float]


class Rollouts:
    """Rollouts that one controller knows, and judges of its own pools."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        store: ConfigStore,
        members: MemberView,
        facts: Facts,
        capacity_share: CapacityShare,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._store = store
        self._members = members
        self._facts = facts
        self._capacity_share = capacity_share
        self._generation = 0
        self._pool_by_id: dict[str, Pool] = {}
        self._judge_by_rollout: dict[str, RolloutJudge] = {}
        self._late_reason_by_rollout: dict[str, str] = {}
        # Records that the store has not taken yet, by rollout: phase, reason
        # and monotonic time of the next try.
        self._unwritten_by_rollout: dict[str, tuple[Phase, str, float]] = {}
        # Phase of the latest record that was queued or read, by rollout.
        self._recorded_phase_by_rollout: dict[str, Phase] = {}
        self._records_read = False

    def register(self, router: MessageRouter) -> None:
        """Registers the handler of evidence reports and starts the timers."""
        router.register(EvidenceReport, self._on_report)
        self._timer.subscribe(JUDGE_PERIOD_S, self.judge_own_pools)
        # The exchange has its own timer, because a slow store must not delay
        # verdicts.
        self._timer.subscribe(JUDGE_PERIOD_S, self.exchange_records)

    def put_in_force(
        self, generation: int, configuration: Configuration
    ) -> None:
        """Applies a configuration and drops evidence of ended rollouts."""
        self._generation = generation
        self._pool_by_id = {pool.id: pool for pool in configuration.pools}
        current_keys = {
            rollout_key(pool.id, pool.rollout)
            for pool in configuration.pools
            if pool.rollout is not None
        }
        for key in self._judge_by_rollout.keys() - current_keys:
            del self._judge_by_rollout[key]

    def statuses(self) -> tuple[RolloutStatus, ...]:
        """Returns the status of each pool's rollout."""
        return tuple(
            self._status(pool, pool.rollout)
            for pool in self._pool_by_id.values()
            if pool.rollout is not None
        )

    def may_stop(self, pool_id: str, version: str) -> bool:
        """Whether VMs that run a version of a pool may be stopped."""
        pool = self._pool_by_id.get(pool_id)
        if pool is None or pool.rollout is None:
            return True
        if version != pool.rollout.from_version:
            return True
        return self._is_settled(pool, pool.rollout)

    async def judge_own_pools(self) -> None:
        """Judges the rollouts of pools whose home is this controller."""
        for pool in self._pool_by_id.values():
            if pool.rollout is not None and self._is_home(pool.id):
                self._judge(pool, pool.rollout)

    async def exchange_records(self) -> None:
        """Reads the store's records once, and writes queued ones."""
        if not self._records_read:
            await self._read_records()
        await self._write_records()

    def _is_home(self, pool_id: str) -> bool:
        return self._home(pool_id) == self._members.own

    def _home(self, pool_id: str) -> Member:
        """Returns the pool's home controller in the own region.

        Each region judges for itself, so a network partition between regions
        delays no verdict.
        """
        region = self._members.own.region
        member_by_id = {
            member.node_id: member
            for member in self._members.live()
            if member.region == region
        }
        home_id = owner(f"rollout/{pool_id}", member_by_id)
        return member_by_id[home_id] if home_id else self._members.own

    async def _on_report(
        self, envelope: Envelope, report: EvidenceReport
    ) -> None:
        home = self._home(report.pool)
        if home != self._members.own:
            # A report that another controller has forwarded is dropped if
            # the controllers disagree on the home, so that it cannot loop.
            if envelope.correlation_id == 0:
                self._transport.send(home.address, report, 1)
            return
        pool = self._pool_by_id.get(report.pool)
        if pool is None or pool.rollout is None:
            return
        judge = self._judge_for(pool, pool.rollout)
        for entry in report.entries:
            key = EvidenceKey(
                pool.id, entry.version, entry.route, LoadLevel(entry.load)
            )
            judge.add(key, _samples_of_entry(entry))

    def _judge_for(self, pool: Pool, rollout: Rollout) -> RolloutJudge:
        key = rollout_key(pool.id, rollout)
        judge = self._judge_by_rollout.get(key)
        if judge is None:
            judge = RolloutJudge(rollout.from_version, rollout.to_version)
            self._judge_by_rollout[key] = judge
        return judge

    def _judge(self, pool: Pool, rollout: Rollout) -> None:
        phase, reason = rollout_phase(self._facts, pool)
        # The controller that judged may have ended before it wrote the
        # record.
        self._queue_record(rollout_key(pool.id, rollout), phase, reason)
        verdict = self._judge_for(pool, rollout).verdict()
        if verdict.bad and phase is not Phase.BAD:
            phase, reason = Phase.BAD, verdict.reason
            self._publish(pool, rollout, phase, reason)
        elif verdict.passed and phase is Phase.PROBATION:
            phase, reason = Phase.PASSED, verdict.reason
            self._publish(pool, rollout, phase, reason)
        self._report_late(pool, rollout, phase)

    def _publish(
        self, pool: Pool, rollout: Rollout, phase: Phase, reason: str
    ) -> None:
        key = rollout_key(pool.id, rollout)
        self._facts.publish(ROLLOUT_FACT_KIND, key, reason, int(phase))
        self._queue_record(key, phase, reason)
        log_event(
            Event.ROLLOUT_VERDICT,
            self._node_id,
            rollout=key,
            phase=phase.name.lower(),
            reason=reason,
        )

    def _queue_record(self, key: str, phase: Phase, reason: str) -> None:
        """Queues the record of a phase, once for each phase."""
        if phase > self._recorded_phase_by_rollout.get(key, Phase.PROBATION):
            self._recorded_phase_by_rollout[key] = phase
            self._unwritten_by_rollout[key] = (
                phase,
                reason,
                self._timer.now(),
            )

    def _report_late(self, pool: Pool, rollout: Rollout, phase: Phase) -> None:
        key = rollout_key(pool.id, rollout)
        share = self._capacity_share(pool.id, rollout.to_version)
        reason = late_reason(rollout, phase, share, self._timer.wall_time())
        if reason and self._late_reason_by_rollout.get(key) != reason:
            log_event(
                Event.ROLLOUT_LATE, self._node_id, rollout=key, reason=reason
            )
        self._late_reason_by_rollout[key] = reason

    def _is_settled(self, pool: Pool, rollout: Rollout) -> bool:
        phase, _ = rollout_phase(self._facts, pool)
        settled = self._timer.wall_time() >= settled_at(rollout)
        return phase is Phase.PASSED and settled

    def _status(self, pool: Pool, rollout: Rollout) -> RolloutStatus:
        phase, reason = rollout_phase(self._facts, pool)
        if phase is Phase.BAD:
            state = RolloutState.ROLLED_BACK
        elif self._is_settled(pool, rollout):
            state = RolloutState.DONE
        else:
            state = RolloutState.RUNNING
            late = self._late_reason_by_rollout.get(
                rollout_key(pool.id, rollout)
            )
            reason = late or reason
        return RolloutStatus(pool.id, self._generation, state, reason)

    async def _read_records(self) -> None:
        """Publishes the stored verdicts, also of controllers that are gone."""
        listed = await self._store.list_prefix(VERDICT_PREFIX)
        if isinstance(listed, Err):
            return
        self._records_read = True
        for stored in listed.ok_value:
            record = decode_verdict_record(stored.value)
            if isinstance(record, Err):
                continue
            key, phase, reason = record.ok_value
            self._recorded_phase_by_rollout[key] = phase
            self._facts.publish(ROLLOUT_FACT_KIND, key, reason, int(phase))

    async def _write_records(self) -> None:
        now = self._timer.now()
        for key, (phase, reason, due_at) in list(
            self._unwritten_by_rollout.items()
        ):
            if due_at > now:
                continue
            if await self._write_record(key, phase, reason):
                del self._unwritten_by_rollout[key]
            else:
                due_at = now + RECORD_RETRY_S
                self._unwritten_by_rollout[key] = (phase, reason, due_at)

    async def _write_record(self, key: str, phase: Phase, reason: str) -> bool:
        """Writes a record unless the store has that phase or a later one.

        Returns whether the store has it now.
        """
        store_key = VERDICT_PREFIX + key
        current = await self._store.get(store_key)
        if isinstance(current, Err):
            return False
        revision = 0
        if current.ok_value is not None:
            revision = current.ok_value.revision
            record = decode_verdict_record(current.ok_value.value)
            if not isinstance(record, Err) and record.ok_value[1] >= phase:
                return True
        value = encode_verdict_record(key, phase, reason)
        swapped = await self._store.swap(store_key, revision, value)
        return not isinstance(swapped, Err) and swapped.ok_value.swapped


def _samples_of_entry(entry: EvidenceEntry) -> list[Sample]:
    return [
        *(Sample(True, None) for _ in range(entry.failures)),
        *(Sample(False, None) for _ in range(entry.untimed_successes)),
        *(Sample(False, latency) for latency in entry.first_token_ms),
    ]
