"""Tests of routing decisions: filters, scores and zones."""

from collections import Counter
from dataclasses import replace

import pytest

from tests.policy_examples import FAST_FAILURE
from tests.policy_examples import policy_bench
from tests.policy_examples import PolicyBench
from tests.policy_examples import SUCCESS
from tests.policy_examples import UNREACHABLE
from wasabiwing.calls import AttemptOutcome
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import PoolKind
from wasabiwing.configuration import Rollout
from wasabiwing.configuration import RolloutStep
from wasabiwing.configuration import ServerRole
from wasabiwing.configuration import ZoneState
from wasabiwing.routing import LOGGED_SERVERS
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing.server_records import LoadReport
from wasabiwing.server_records import REPORT_MAX_AGE_S
from wasabiwing.working_sets import WORKING_SET_SIZE
from wasabiwing.zone_ramps import ZONE_RAMP_S

pytestmark = pytest.mark.anyio


class TestFilters:
    """Servers that must not get a request, whatever their score is."""

    def test_each_filter_leaves_its_reason_in_the_decision(self) -> None:
        bench = policy_bench(servers_per_zone=2)
        assert bench.view.index is not None
        configuration = bench.view.index.configuration
        pool = configuration.pools[0]
        servers = tuple(
            replace(
                server,
                role=ServerRole.DECODE
                if server.id == "a1"
                else ServerRole.BOTH,
                version="r2" if server.id == "b1" else "r1",
            )
            for server in pool.servers
        )
        rollout = Rollout("r1", "r2", 1e9, (RolloutStep(0.0, 1.0),))
        pools = (replace(pool, servers=servers, rollout=rollout),)
        bench.apply(replace(configuration, pools=pools))
        bench.set_zone("c", ZoneState.DRAINED)
        bench.view.leaving_server_ids.add("a0")
        assert bench.choose(bench.call("q")) == "b0"
        (record,) = bench.decisions.records_of_request("q")
        assert record["filtered"] == {
            "a0": "leaving",
            "a1": "role",
            "b1": "version withheld",
            "c0": "zone drained",
            "c1": "zone drained",
        }

    def test_an_organisation_without_the_route_gets_no_server(self) -> None:
        bench = policy_bench()
        call = bench.call("q")
        route = replace(call.route, organisations=("other",))
        refused = bench.router.choose_server(
            replace(call, route=route), 1, frozenset()
        )
        code = refused.unwrap_err().code
        assert code is ResultCode.NO_BACKEND_SERVER

    def test_full_servers_give_overloaded_and_not_no_backend_server(
        self,
    ) -> None:
        bench = policy_bench(slots=1)
        for number in range(3):
            bench.choose(bench.call(f"{number}"))
        refused = bench.router.choose_server(bench.call("q"), 1, frozenset())
        assert refused.unwrap_err().code is ResultCode.OVERLOADED

    def test_long_prompts_leave_slots_for_chats(self) -> None:
        """Guards against long prompts that take all slots of a server."""
        bench = policy_bench(slots=4)
        for number in range(3):
            bench.choose(bench.call(f"{number}", prompt_tokens=9000))
        long = bench.call("long", prompt_tokens=9000)
        refused = bench.router.choose_server(long, 1, frozenset())
        assert refused.unwrap_err().code is ResultCode.OVERLOADED
        for number in range(9):
            bench.choose(bench.call(f"chat {number}"))

    def test_large_bodies_of_plain_services_are_not_long_prompts(
        self,
    ) -> None:
        bench = policy_bench(slots=4)
        call = bench.call("filing", prompt_tokens=9000)
        pool = replace(call.pool, kind=PoolKind.PLAIN)
        for _ in range(12):
            bench.choose(replace(call, pool=pool))


class TestScores:
    """The default score and the baselines."""

    def test_a_server_that_fails_fast_attracts_no_traffic(self) -> None:
        bench = policy_bench()
        chosen = Counter[str]()
        for number in range(300):
            choice = bench.router.choose_server(
                bench.call(f"{number}"), 1, frozenset()
            ).unwrap()
            failed = choice.server.id == "a0"
            bench.admission.release(
                choice, FAST_FAILURE if failed else SUCCESS
            )
            chosen[choice.server.id] += 1
        assert chosen["a0"] == 1

    async def test_a_server_that_recovered_is_used_again(self) -> None:
        bench = policy_bench()
        assert bench.run_one("1", FAST_FAILURE) == "a0"
        assert bench.run_one("2") != "a0"
        await bench.timer.advance(120.0)
        assert bench.run_one("3") == "a0"

    def test_a_cached_prefix_outweighs_distance(self) -> None:
        bench = policy_bench()
        prompt = "passage note " * 2000
        bench.router.prefixes.note_sent(
            "c0", bench.call("q", prompt=prompt).prefix_digests
        )
        call = bench.call("q", prompt=prompt, prompt_tokens=len(prompt) // 4)
        assert bench.choose(call) == "c0"

    def test_a_long_queue_outweighs_a_cached_prefix(self) -> None:
        """Guards against a wait that is longer than computing the prefix."""
        bench = policy_bench(slots=16)
        prompt = "passage note " * 2000
        call = bench.call("q", prompt=prompt, prompt_tokens=len(prompt) // 4)
        bench.router.prefixes.note_sent("c0", call.prefix_digests)
        bench.router.records.note_report("c0", LoadReport(1, 200))
        assert bench.choose(call) != "c0"

    def test_a_cheaper_zone_is_preferred_at_equal_load(self) -> None:
        bench = policy_bench()
        assert bench.view.index is not None
        configuration = bench.view.index.configuration
        prices = {"a": 2.0, "b": 1.0, "c": 2.0}
        machine = replace(
            configuration.machine_classes[0], reclaimable_price_by_zone=prices
        )
        bench.apply(replace(configuration, machine_classes=(machine,)))
        assert bench.choose(bench.call("q")) == "b0"

    @pytest.mark.parametrize("policy", RoutingPolicy)
    def test_every_policy_fills_all_slots(self, policy: RoutingPolicy) -> None:
        bench = policy_bench(slots=2, policy=policy)
        chosen = Counter(
            bench.choose(bench.call(f"{number}")) for number in range(6)
        )
        assert chosen == {"a0": 2, "b0": 2, "c0": 2}


class TestLoadReports:
    """Load reports that lag, are repeated or stop."""

    def test_sends_since_the_report_are_added(self) -> None:
        bench = policy_bench(slots=16)
        for server_id, running in (("a0", 4), ("b0", 7), ("c0", 99)):
            report = LoadReport(1, running)
            bench.router.records.note_report(server_id, report)
        chosen = [bench.choose(bench.call(f"{n}")) for n in range(8)]
        assert chosen[0] == "a0"
        assert "b0" in chosen
        assert "c0" not in chosen

    async def test_a_repeated_report_does_not_count_as_new(self) -> None:
        bench = policy_bench()
        records = bench.router.records
        assert records.note_report("a0", LoadReport(1, 50))
        await bench.timer.advance(REPORT_MAX_AGE_S + 0.1)
        assert not records.note_report("a0", LoadReport(1, 50))
        assert records.estimated_load("a0") == 0

    async def test_an_old_report_gives_way_to_own_observations(self) -> None:
        bench = policy_bench()
        bench.router.records.note_report("a0", LoadReport(1, 50))
        assert bench.choose(bench.call("1")) != "a0"
        await bench.timer.advance(REPORT_MAX_AGE_S + 0.1)
        assert bench.choose(bench.call("2")) == "a0"


class TestZones:
    """Zones that are drained, are returned or fail."""

    async def test_a_zone_returns_gradually(self) -> None:
        bench = policy_bench(servers_per_zone=2, slots=16)
        bench.set_zone("a", ZoneState.DRAINED)
        drained = await _count_by_zone(bench, 50)
        bench.set_zone("a", ZoneState.ACTIVE)
        counts: list[int] = []
        for _ in range(4):
            counts.append((await _count_by_zone(bench, 200))["a"])
            await bench.timer.advance(ZONE_RAMP_S / 3)
        assert drained["a"] == 0
        assert 0 < counts[0] < 50
        assert counts == sorted(counts)
        assert counts[3] == 200

    async def test_a_returning_zone_is_used_when_nothing_else_is_left(
        self,
    ) -> None:
        bench = policy_bench()
        bench.set_zone("a", ZoneState.DRAINED)
        bench.choose(bench.call("0"))
        bench.set_zone("a", ZoneState.ACTIVE)
        bench.set_zone("b", ZoneState.DRAINED)
        bench.set_zone("c", ZoneState.DRAINED)
        assert await _count_by_zone(bench, 20) == {"a": 20}

    def test_a_zone_that_fails_is_avoided_after_two_unreachable_servers(
        self,
    ) -> None:
        bench = policy_bench(servers_per_zone=4)
        tried = [
            bench.run_one(f"{number}", UNREACHABLE) for number in range(3)
        ]
        assert [server_id[0] for server_id in tried[:2]] == ["a", "a"]
        assert tried[2][0] != "a"

    def test_a_gateway_that_restarts_uses_all_zones_at_once(self) -> None:
        bench = policy_bench(slots=1)
        chosen = {bench.choose(bench.call(f"{n}")) for n in range(3)}
        assert chosen == {"a0", "b0", "c0"}


class TestLargePools:
    """Decisions whose cost is bounded in pools of thousands of servers."""

    def test_decisions_stay_in_the_working_set_and_log_few_servers(
        self,
    ) -> None:
        bench = policy_bench(servers_per_zone=500)
        chosen = {bench.run_one(f"{number}") for number in range(300)}
        assert len(chosen) <= WORKING_SET_SIZE
        for number in range(300):
            (record,) = bench.decisions.records_of_request(f"{number}")
            scores = record["scores"]
            assert isinstance(scores, dict)
            assert len(scores) <= LOGGED_SERVERS

    def test_a_prefix_holder_outside_the_sample_is_considered(self) -> None:
        bench = policy_bench(servers_per_zone=500)
        prompt = "passage note " * 2000
        call = bench.call("q", prompt=prompt, prompt_tokens=len(prompt) // 4)
        bench.router.prefixes.note_sent("c499", call.prefix_digests)
        assert bench.choose(call) == "c499"

    def test_a_full_working_set_falls_back_to_the_other_servers(self) -> None:
        bench = policy_bench(servers_per_zone=500, slots=1)
        chosen = [
            bench.choose(bench.call(f"{number}"))
            for number in range(WORKING_SET_SIZE + 20)
        ]
        assert len(set(chosen)) == WORKING_SET_SIZE + 20


async def _count_by_zone(bench: PolicyBench, count: int) -> Counter[str]:
    """Runs ``count`` requests and returns how many each zone got.

    The requests follow each other slowly enough that no prompt waits.
    """
    zones = Counter[str]()
    for number in range(count):
        zones[bench.run_one(f"z{number}")[0]] += 1
        await bench.timer.advance(0.005)
    return zones


class TestLearnedTimes:
    """Times that the default score learns from outcomes."""

    def test_the_time_per_prompt_token_is_learned(self) -> None:
        """Guards against cached prefixes that count too little.

        On a slow engine a constant time per token would be too short.
        """
        bench = policy_bench()
        for number in range(40):
            tokens = 100 + 50 * (number % 20)
            call = bench.call(f"{number}", prompt_tokens=tokens)
            choice = bench.router.choose_server(call, 1, frozenset()).unwrap()
            outcome = AttemptOutcome(None, 0.03 + tokens * 0.0002, 1.0)
            bench.admission.release(choice, outcome)
        learned = bench.router.records.rates.prefill_s_per_token("model")
        assert learned == pytest.approx(0.0002)

    async def test_prompts_in_computation_delay_the_next_one(self) -> None:
        bench = policy_bench()
        records = bench.router.records
        bench.choose(bench.call("long", prompt_tokens=10_000))
        assert records.prefill_wait_s("a0") == pytest.approx(0.2)
        assert bench.choose(bench.call("chat")) != "a0"
        await bench.timer.advance(0.2)
        assert records.prefill_wait_s("a0") == 0.0
