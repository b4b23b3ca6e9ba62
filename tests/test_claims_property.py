"""Schedules of faults on the claim journal, drawn by hypothesis."""

from collections import Counter

from anyio import create_task_group
from anyio import run
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace
from result import Err

from tests.store_fake import Fault
from tests.store_fake import StoreFake
from wasabiwing.claim_journal import PartitionJournal
from wasabiwing.claim_records import Claim
from wasabiwing.claim_records import CLAIM_STORE_PREFIX
from wasabiwing.claim_records import JournalLimits
from wasabiwing.codes import RunState
from wasabiwing.messages import ClaimState
from wasabiwing.store_budget import StoreBudget
from wasabiwing.timers import FakeTimer

HOMES = 2

# Small segments, so that schedules cross their boundaries.
LIMITS = JournalLimits(segment_bytes=60, value_bytes=2_000)

home = st.integers(0, HOMES - 1)
number = st.integers(0, 5)
# What a gateway does with its grant: it sends and reports the answer, sends
# and loses track, sends and dies, is paused and gives the claim back, or is
# paused and dies.
use = st.sampled_from(["finish", "unknown", "die", "release", "pause"])
# A gateway that did not hear the reply asks again in a later step.
heard = st.booleans()
request = st.tuples(
    home, st.sampled_from("abc"), st.sampled_from("xy"), use, heard
)
fault_lists = st.one_of(
    st.lists(st.sampled_from(Fault), max_size=4),
    # Nothing tells the home for a while that its write took effect.
    st.just([Fault.REPLY_LOST, Fault.DOWN, Fault.DOWN]),
)
step = st.one_of(
    st.tuples(st.just("claim"), st.lists(request, min_size=1, max_size=3)),
    st.tuples(st.just("resend"), home, number),
    st.tuples(st.just("faults"), fault_lists),
    st.tuples(st.just("advance"), st.sampled_from([0.6, 30.0, 100.0])),
    st.tuples(st.just("restart"), home),
)


class World:
    """Gateways and home controllers around one partition."""

    def __init__(self, homes: int) -> None:
        self.timer = FakeTimer()
        self.store = StoreFake()
        self.started = 0
        self.homes = [self.new_home() for _ in range(homes)]
        self.runs: Counter[tuple[str, str]] = Counter()
        self.wanted: list[tuple[Claim, str]] = []
        # The first reply decides; a gateway ignores later ones.
        self.decided: set[str] = set()
        self.refused: list[tuple[str, str]] = []

    def new_home(self) -> PartitionJournal:
        self.started += 1
        budget = StoreBudget(self.timer, 1e9)
        return PartitionJournal(
            f"h{self.started}", 0, self.store, self.timer, budget, LIMITS
        )

    async def claim(
        self, at: int, wanted: Claim, use: str, heard: bool = True
    ) -> None:
        journal = self.homes[at % len(self.homes)]
        answer = await journal.acquire(wanted)
        request_id = wanted.request_id
        if not heard or request_id in self.decided:
            return
        self.decided.add(request_id)
        if isinstance(answer, Err):
            if answer.err_value.run_state is RunState.NOT_RUN:
                # Only the home's own knowledge can make this false by key.
                self.refused.append((wanted.key, request_id))
                if len(self.homes) == 1:
                    assert not self.has_run(wanted.key)
            return
        claim = answer.ok_value
        assert claim.key == wanted.key
        if claim.state is ClaimState.FINISHED:
            expected = f"{claim.key}{claim.request_id}".encode()
            assert claim.body == expected
            assert self.runs[(claim.key, claim.request_id)] == 1
        if claim.request_id != request_id:
            return
        if claim.state is ClaimState.GRANTED:
            await self.use(journal, wanted, use)

    async def use(
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
                    for at, key, body, use, heard in requests:
                        wanted = Claim(
                            "org",
                            key,
                            body.encode(),
                            f"r{len(self.wanted)}",
                            "gateway",
                            ClaimState.GRANTED,
                            "",
                            20.0,
                        )
                        self.wanted.append((wanted, use))
                        tasks.start_soon(self.claim, at, wanted, use, heard)
            case ("resend", int() as at, int() as index):
                if index < len(self.wanted):
                    await self.claim(at, *self.wanted[index])
            case ("faults", list() as faults):
                self.store.faults.extend(faults)
            case ("advance", float() as seconds):
                await self.timer.advance(seconds)
            case ("restart", int() as at):
                self.homes[at % len(self.homes)] = self.new_home()
        self.check()

    def check(self) -> None:
        runs_by_key: Counter[str] = Counter()
        for (key, _), runs in self.runs.items():
            runs_by_key[key] += runs
        assert all(runs == 1 for runs in runs_by_key.values())
        for refused in self.refused:
            assert self.runs[refused] == 0


def play(homes: int, actions: list[tuple[object, ...]]) -> World:
    """Plays a schedule and checks the guarantees after each step."""

    async def play_all() -> World:
        world = World(homes)
        for action in actions:
            await world.apply(action)
        return world

    return run(play_all)


class TestSchedules:
    """No schedule of faults runs a key twice or tells a falsehood."""

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
    """Schedules too rare for the drawn ones."""

    def test_a_grant_that_another_home_confirmed_is_not_taken_back(
        self,
    ) -> None:
        """Guards against a second run after a refusal got lost.

        The first home does not learn that its grant was written and refuses;
        the refusal is lost, and the second home grants the same request.
        """
        outage = [Fault.NONE, Fault.REPLY_LOST, Fault.DOWN, Fault.DOWN]
        world = play(
            HOMES,
            [
                ("faults", outage),
                ("claim", [(0, "a", "x", "die", False)]),
                ("resend", 1, 0),
                ("claim", [(0, "a", "x", "finish", True)]),
            ],
        )
        assert world.runs == {("a", "r0"): 1}

    def test_a_refused_grant_that_was_written_does_not_block_its_key(
        self,
    ) -> None:
        outage = [Fault.NONE, Fault.REPLY_LOST, Fault.DOWN, Fault.DOWN]
        world = play(
            1,
            [
                ("faults", outage),
                ("claim", [(0, "a", "x", "finish", True)]),
                ("claim", [(0, "a", "x", "finish", True)]),
            ],
        )
        assert world.refused == [("a", "r0")]
        assert world.runs == {("a", "r1"): 1}

    def test_old_segments_are_deleted_and_newer_claims_stay(self) -> None:
        requests = [(0, key, "x", "finish", True) for key in "abcdef"]
        half_s = LIMITS.retention_s / 2
        world = play(
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
            min(world.store.value_by_key) > f"{CLAIM_STORE_PREFIX}0/00000006"
        )
        assert world.runs[("g", "r6")] == 1

    def test_an_outcome_that_never_comes_becomes_unknown(self) -> None:
        """Guards against a repeat that waits for a dead gateway for ever."""
        schedule: list[tuple[object, ...]] = [
            ("claim", [(0, "a", "x", "die", True)]),
            ("restart", 0),
            ("claim", [(0, "a", "x", "finish", True)]),
        ]
        for waited_s, overdue in ((0.6, False), (30.0, True)):
            world = play(1, [*schedule, ("advance", waited_s)])
            journal = world.homes[0]
            claim = journal.get_cached(("org", "a"))
            assert claim is not None
            assert claim.request_id == "r0"
            assert journal.is_overdue(claim) is overdue
