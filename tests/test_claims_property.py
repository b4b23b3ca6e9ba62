"""Property tests of the claim journal under generated fault schedules."""

from collections import Counter

from anyio import create_task_group
from anyio import run
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace
from result import Err

from tests.fault_injecting_store import Fault
from tests.fault_injecting_store import FaultInjectingStore
from wasabiwing.claim_journal import PartitionJournal
from wasabiwing.claim_records import Claim
from wasabiwing.claim_records import CLAIM_STORE_PREFIX
from wasabiwing.claim_records import JournalLimits
from wasabiwing.codes import RunState
from wasabiwing.messages import ClaimState
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import FakeTimer

HOMES = 2

# Segments are small, so that schedules need several of them.
LIMITS = JournalLimits(segment_bytes=60, value_bytes=2_000)

home = st.integers(0, HOMES - 1)
request_index = st.integers(0, 5)
# What a gateway does with its grant. "finish": it sends the request and
# reports the answer. "unknown": it sends the request and reports an unknown
# outcome. "die": it sends the request and reports nothing. "release": it is
# paused and then releases the claim without sending the request. "pause": it
# is paused and then reports nothing.
use = st.sampled_from(["finish", "unknown", "die", "release", "pause"])
# Whether the gateway receives the reply. If not, a later step may ask again.
reply_received = st.booleans()
request = st.tuples(
    home, st.sampled_from("abc"), st.sampled_from("xy"), use, reply_received
)
fault_schedules = st.one_of(
    st.lists(st.sampled_from(Fault), max_size=4),
    # A write takes effect, and its home cannot find that out for a while.
    st.just([Fault.REPLY_LOST, Fault.DOWN, Fault.DOWN]),
)
step = st.one_of(
    st.tuples(st.just("claim"), st.lists(request, min_size=1, max_size=3)),
    st.tuples(st.just("resend"), home, request_index),
    st.tuples(st.just("faults"), fault_schedules),
    st.tuples(st.just("advance"), st.sampled_from([0.6, 30.0, 100.0])),
    st.tuples(st.just("restart"), home),
)


class ClaimSimulation:
    """Gateways and home controllers of one partition, without a network."""

    def __init__(self, homes: int) -> None:
        self.timer = FakeTimer()
        self.store = FaultInjectingStore()
        self.start_count = 0
        self.homes = [self.start_home() for _ in range(homes)]
        self.runs: Counter[tuple[str, str]] = Counter()
        self.requests: list[tuple[Claim, str]] = []
        # Ids of requests that got a reply; a gateway ignores later replies.
        self.replied_request_ids: set[str] = set()
        self.refused: list[tuple[str, str]] = []

    def start_home(self) -> PartitionJournal:
        self.start_count += 1
        budget = StoreBudget(self.timer, 1e9)
        return PartitionJournal(
            f"h{self.start_count}", 0, self.store, self.timer, budget, LIMITS
        )

    async def claim(
        self,
        home_index: int,
        wanted: Claim,
        use: str,
        reply_received: bool = True,
    ) -> None:
        journal = self.homes[home_index % len(self.homes)]
        reply = await journal.acquire(wanted)
        request_id = wanted.request_id
        if not reply_received or request_id in self.replied_request_ids:
            return
        self.replied_request_ids.add(request_id)
        if isinstance(reply, Err):
            if reply.err_value.run_state is RunState.NOT_RUN:
                # The request must not run; check() verifies that. With a
                # single home, no other request may have run with the key.
                self.refused.append((wanted.key, request_id))
                if len(self.homes) == 1:
                    assert not self.has_run(wanted.key)
            return
        claim = reply.ok_value
        assert claim.key == wanted.key
        if claim.state is ClaimState.FINISHED:
            expected = f"{claim.key}{claim.request_id}".encode()
            assert claim.body == expected
            assert self.runs[(claim.key, claim.request_id)] == 1
        if claim.request_id != request_id:
            return
        if claim.state is ClaimState.GRANTED:
            await self.use_grant(journal, wanted, use)

    async def use_grant(
        self, journal: PartitionJournal, wanted: Claim, use: str
    ) -> None:
        key, request_id = wanted.key, wanted.request_id
        if use in ("finish", "unknown", "die"):
            self.runs[(key, request_id)] += 1
        change_by_use = {
            "finish": replace(
                wanted,
                state=ClaimState.FINISHED,
                body=f"{key}{request_id}".encode(),
            ),
            "unknown": replace(wanted, state=ClaimState.UNKNOWN),
            "release": replace(wanted, state=ClaimState.RELEASED),
        }
        if use in change_by_use:
            await journal.record_outcome(
                (wanted.organisation, key),
                request_id,
                lambda claim: change_by_use[use],
            )

    def has_run(self, key: str) -> bool:
        return any(run_key == key for run_key, _ in self.runs)

    async def apply(self, action: tuple[object, ...]) -> None:
        match action:
            case ("claim", list() as requests):
                async with create_task_group() as tasks:
                    for home_index, key, body, use, reply_received in requests:
                        wanted = Claim(
                            "org",
                            key,
                            body.encode(),
                            f"r{len(self.requests)}",
                            "gateway",
                            ClaimState.GRANTED,
                            "",
                            20.0,
                        )
                        self.requests.append((wanted, use))
                        tasks.start_soon(
                            self.claim, home_index, wanted, use, reply_received
                        )
            case ("resend", int() as home_index, int() as index):
                if index < len(self.requests):
                    await self.claim(home_index, *self.requests[index])
            case ("faults", list() as faults):
                self.store.faults.extend(faults)
            case ("advance", float() as seconds):
                await self.timer.advance(seconds)
            case ("restart", int() as home_index):
                self.homes[home_index % len(self.homes)] = self.start_home()
        self.check()

    def check(self) -> None:
        runs_by_key: Counter[str] = Counter()
        for (key, _), runs in self.runs.items():
            runs_by_key[key] += runs
        assert all(runs == 1 for runs in runs_by_key.values())
        for refused in self.refused:
            assert self.runs[refused] == 0


def play(homes: int, actions: list[tuple[object, ...]]) -> ClaimSimulation:
    """Runs a schedule and checks the guarantees after each step."""

    async def run_steps() -> ClaimSimulation:
        simulation = ClaimSimulation(homes)
        for action in actions:
            await simulation.apply(action)
        return simulation

    return run(run_steps)


class TestSchedules:
    """No fault schedule runs a key twice or reports a false run state."""

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.lists(step, max_size=14))
    def test_two_homes_that_both_believe_they_own_the_partition(
        self, actions: list[tuple[object, ...]]
    ) -> None:
        play(HOMES, actions)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(step, max_size=14))
    def test_one_home_that_restarts(
        self, actions: list[tuple[object, ...]]
    ) -> None:
        """Guards, by key as well, against a false ``not_run``."""
        play(1, actions)


class TestChosenSchedules:
    """Schedules that are generated too rarely."""

    def test_a_grant_that_another_home_confirmed_is_not_taken_back(
        self,
    ) -> None:
        """Guards against a second run after a lost refusal.

        The first home does not learn that its grant was written and refuses
        the request. The refusal is lost, the gateway asks the second home, and
        the second home grants the same request.
        """
        outage = [Fault.NONE, Fault.REPLY_LOST, Fault.DOWN, Fault.DOWN]
        simulation = play(
            HOMES,
            [
                ("faults", outage),
                ("claim", [(0, "a", "x", "die", False)]),
                ("resend", 1, 0),
                ("claim", [(0, "a", "x", "finish", True)]),
            ],
        )
        assert simulation.runs == {("a", "r0"): 1}

    def test_a_refused_grant_that_was_written_does_not_block_its_key(
        self,
    ) -> None:
        outage = [Fault.NONE, Fault.REPLY_LOST, Fault.DOWN, Fault.DOWN]
        simulation = play(
            1,
            [
                ("faults", outage),
                ("claim", [(0, "a", "x", "finish", True)]),
                ("claim", [(0, "a", "x", "finish", True)]),
            ],
        )
        assert simulation.refused == [("a", "r0")]
        assert simulation.runs == {("a", "r1"): 1}

    def test_old_segments_are_deleted_and_newer_claims_stay(self) -> None:
        requests = [(0, key, "x", "finish", True) for key in "abcdef"]
        half_s = LIMITS.retention_s / 2
        simulation = play(
            1,
            [
                *(("claim", [request]) for request in requests),
                ("advance", half_s),
                ("claim", [(0, "g", "x", "finish", True)]),
                ("advance", half_s + 1.0),
                *(
                    ("claim", [(0, f"h{number}", "x", "finish", True)])
                    for number in range(8)
                ),
                ("claim", [(0, "g", "x", "finish", True)]),
                ("restart", 0),
                ("claim", [(0, "g", "x", "finish", True)]),
            ],
        )
        assert (
            min(simulation.store.value_by_key)
            > f"{CLAIM_STORE_PREFIX}0/00000006"
        )
        assert simulation.runs[("g", "r6")] == 1

    def test_an_outcome_that_never_comes_becomes_unknown(self) -> None:
        """Guards against repeats that wait forever for a dead gateway."""
        schedule: list[tuple[object, ...]] = [
            ("claim", [(0, "a", "x", "die", True)]),
            ("restart", 0),
            ("claim", [(0, "a", "x", "finish", True)]),
        ]
        for waited_s, overdue in ((0.6, False), (30.0, True)):
            simulation = play(1, [*schedule, ("advance", waited_s)])
            journal = simulation.homes[0]
            claim = journal.get_cached(("org", "a"))
            assert claim is not None
            assert claim.request_id == "r0"
            assert journal.is_overdue(claim) is overdue
