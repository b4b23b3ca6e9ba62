"""Tests of parts of prompts that crash backend servers."""

from collections.abc import Callable
from random import Random

import pytest

from tests.part_fleet import CONTACT_S
from tests.part_fleet import CRASHES_BEFORE
from tests.part_fleet import MAX_SENT_AFTER
from tests.part_fleet import PartCall
from tests.part_fleet import PartFleet
from tests.part_fleet import PartNode
from tests.part_fleet import run_now
from wasabiwing.codes import ResultCode
from wasabiwing.crashing_parts import ANSWER_SAMPLE_S
from wasabiwing.crashing_parts import CRASH_PARTS_FACT_KIND
from wasabiwing.crashing_parts import EVIDENCE_LIFETIME_S
from wasabiwing.crashing_parts import JUDGEMENT_DELAY_S
from wasabiwing.crashing_parts import MAX_PARTS
from wasabiwing.crashing_parts import MAX_PROBE_AFTER_S
from wasabiwing.crashing_parts import MAX_SIGHTINGS
from wasabiwing.crashing_parts import MIN_CRASHES
from wasabiwing.crashing_parts import MIN_CRASHES_AFTER_CLEARANCE
from wasabiwing.crashing_parts import MIN_CRASHES_OF_TIE
from wasabiwing.crashing_parts import MIN_CRASHES_WITHOUT_ANSWERS
from wasabiwing.crashing_parts import MIN_OTHER_ANSWERS
from wasabiwing.crashing_parts import part_keys
from wasabiwing.crashing_parts import PROBE_AFTER_S
from wasabiwing.crashing_parts import SETTLE_S
from wasabiwing.crashing_parts import WRONG_VERDICT_S
from wasabiwing.part_frequencies import MIN_ANSWERS
from wasabiwing.quarantine_facts import QUARANTINE_FACT_KIND
from wasabiwing.quarantine_facts import QUARANTINE_LIFETIME_S

# Time in which facts have reached all nodes, in seconds.
SPREAD_S = 0.5
JUDGED_S = JUDGEMENT_DELAY_S + SPREAD_S
CLEARED_S = 1.0

# Rates of requests by number of nodes, per second.
RATE_BY_NODES = {3: 12.0, 7: 30.0, 195: 300.0}

# Time with sound requests before, in seconds.
WARM_S = 5.0

# Time for which a part crashes servers, in seconds.
DEADLY_S = 20.0


class Parts:
    """A node without traffic of its own, beside others."""

    def __init__(self, nodes: int = 1) -> None:
        self.fleet = PartFleet(nodes, 200)
        self.node = self.fleet.nodes[0]
        self._crashes = 0

    def crash(
        self,
        *parts: str,
        node: PartNode | None = None,
        beside: tuple[PartCall, ...] = (),
        began_s: float | None = None,
        repeat_of: PartCall | None = None,
    ) -> PartCall:
        """Reports that a server crashed under a request with parts.

        ``began_s`` is the time since which the answer had gone on;
        ``repeat_of`` a request that is sent once more.
        """
        server = self.fleet.servers[self._crashes]
        self._crashes += 1
        now = self.fleet.clock.now()
        call = repeat_of or self.fleet.call(*parts)
        server.up = False
        for item in (call, *beside):
            run_now(
                (node or self.node).quarantine.note_cut(
                    item,
                    server,
                    now,
                    None if began_s is None else now - began_s,
                )
            )
        server.up = True
        self.fleet.clock.advance(0.1)
        return call

    def begin(self, *parts: str, node: PartNode | None = None) -> PartCall:
        """Reports that an answer began and went on."""
        call = self.fleet.call(*parts)
        (node or self.node).quarantine.note_answer_began(call)
        self.fleet.clock.advance(CLEARED_S)
        return call

    def refused(self, *parts: str, node: PartNode | None = None) -> bool:
        """Whether a new request with the parts is refused."""
        call = self.fleet.call(*parts)
        refusal = (node or self.node).quarantine.refusal(call)
        assert refusal is None or refusal.code is ResultCode.QUARANTINED
        return refusal is not None

    def judge(self) -> None:
        """Waits until crashes are judged, while other answers begin."""
        for number in range(MIN_OTHER_ANSWERS):
            self.fleet.clock.advance(2 * ANSWER_SAMPLE_S)
            for node in self.fleet.nodes:
                node.quarantine.note_answer_began(
                    self.fleet.call(f"unrelated-{number}")
                )
        self.fleet.clock.advance(JUDGED_S)

    def accuse(self, part: str = "bad", crashes: int = MIN_CRASHES) -> None:
        """Has a part quarantined by crashes."""
        for number in range(crashes):
            self.crash(part, f"{part}-{number}")
        self.judge()
        assert self.refused(part)


class TestAccusation:
    """Which part of the requests in crashes is quarantined."""

    def test_part_in_crashes_of_different_requests_is_refused(self) -> None:
        on = Parts()
        for number in range(MIN_CRASHES):
            assert not on.refused("first", "bad", "other")
            on.crash(f"first-{number}", "bad", f"third-{number}")
        assert not on.refused("first", "bad", "other")
        on.judge()
        assert on.refused("first", "bad", "other")
        assert not on.refused("first", "third-1")
        assert not on.refused("first-1")

    def test_last_part_is_not_compared(self) -> None:
        call = PartCall("r", (), b"")
        assert part_keys(call) == {}

    def test_crashes_at_different_nodes_add_up(self) -> None:
        on = Parts(3)
        for number, node in enumerate(on.fleet.nodes):
            on.crash(f"first-{number}", "bad", node=node)
        on.judge()
        for node in on.fleet.nodes:
            assert on.refused("bad", node=node)

    def test_repeats_of_one_request_accuse_no_part(self) -> None:
        """Guards against refusing the parts of one crashing request."""
        on = Parts()
        call = on.fleet.call("first", "second")
        for server in on.fleet.servers[:5]:
            server.up = False
            run_now(on.node.quarantine.note_cut(call, server, 0.0))
        on.judge()
        assert not on.refused("first")
        assert not on.refused("second")

    def test_answer_that_had_begun_accuses_nothing(self) -> None:
        on = Parts()
        for number in range(5):
            on.crash("first", f"second-{number}", began_s=1.0)
        on.judge()
        assert not on.refused("first")

    def test_first_event_just_before_the_crash_is_no_alibi(self) -> None:
        """Guards against servers that send one event and then crash."""
        on = Parts()
        for number in range(MIN_CRASHES):
            call = on.fleet.call("bad", f"second-{number}")
            on.node.quarantine.note_answer_began(call)
            on.fleet.clock.advance(SETTLE_S / 2)
            server = on.fleet.servers[number]
            server.up = False
            now = on.fleet.clock.now()
            run_now(
                on.node.quarantine.note_cut(
                    call, server, now - SETTLE_S, now - SETTLE_S / 2
                )
            )
            on.fleet.clock.advance(CLEARED_S)
        on.judge()
        assert on.refused("bad")

    def test_deepest_of_inseparable_parts_is_refused(self) -> None:
        """Guards against refusing more requests than the crashes show."""
        on = Parts()
        for _ in range(MIN_CRASHES):
            on.crash("first", "second", "bad")
        on.judge()
        assert on.refused("first", "second", "bad")
        assert not on.refused("first", "second")

    def test_crashes_with_another_second_part_widen_the_verdict(self) -> None:
        """Guards against a crash for each part that follows the deadly one."""
        on = Parts()
        for _ in range(MIN_CRASHES):
            on.crash("bad", "second")
        on.judge()
        assert on.refused("bad", "second") and not on.refused("bad")
        for number in range(2):
            on.crash("bad", f"other-{number}")
        on.judge()
        assert on.refused("bad")
        assert not on.refused("second")

    def test_two_deadly_parts_at_once_are_both_refused(self) -> None:
        on = Parts()
        for number in range(MIN_CRASHES):
            on.crash(f"a-{number}", "bad")
            on.crash("worse", f"b-{number}")
        on.judge()
        assert on.refused("bad")
        assert on.refused("worse")
        assert not on.refused("a-1", "b-1")

    def test_requests_beside_the_culprit_are_not_accused(self) -> None:
        on = Parts()
        for number in range(MIN_CRASHES):
            sound = on.fleet.call("rare", "other")
            on.crash(f"a-{number}", "bad", beside=(sound,))
        on.crash("c", "bad")
        on.judge()
        assert on.refused("bad")
        assert not on.refused("rare", "other")

    def test_inseparable_parts_do_not_hide_a_third(self) -> None:
        """Guards against a judgement that ends at the first tie."""
        on = Parts()
        on.begin("bad", "other")
        for _ in range(2):
            # Requests of a conversation that is given up, each with a retry.
            call = on.crash("conversation", "turn", "bad")
            on.crash(repeat_of=call)
        for number in range(2 * MIN_CRASHES_OF_TIE):
            on.crash(f"a-{number}", f"b-{number}", "bad")
        on.judge()
        assert on.refused("bad")

    def test_nothing_is_accused_while_no_answer_begins(self) -> None:
        """Guards against blaming parts for the loss of all servers."""
        on = Parts()
        for number in range(MIN_ANSWERS):
            on.begin("first", f"other-{number}")
        for number in range(2 * MIN_CRASHES_WITHOUT_ANSWERS):
            on.crash("first", f"second-{number}")
        on.fleet.clock.advance(JUDGED_S)
        assert not on.refused("first")

    def test_new_part_is_accused_while_no_answer_begins(self) -> None:
        """Guards against the crash of each server that comes back."""
        on = Parts()
        for number in range(MIN_ANSWERS):
            on.begin("first", f"other-{number}")
        for number in range(MIN_CRASHES_WITHOUT_ANSWERS):
            on.crash("first", "bad", f"second-{number}")
        on.fleet.clock.advance(JUDGED_S)
        assert on.refused("bad")
        assert not on.refused("first")

    def test_equal_ids_in_two_services_are_different_parts(self) -> None:
        one = PartCall("r", ("bad",), b"", "service-a")
        two = PartCall("r", ("bad",), b"", "service-b")
        assert set(part_keys(one)).isdisjoint(part_keys(two))


class TestClearance:
    """Answers that begin clear their parts."""

    def test_popular_sound_part_is_never_accused(self) -> None:
        """Guards against refusing all requests with the first part."""
        on = Parts(3)
        for number in range(12):
            on.crash("first", f"second-{number}", f"third-{number}")
            on.begin("first", node=on.fleet.nodes[number % 3])
            for node in on.fleet.nodes:
                assert not on.refused("first", node=node)

    def test_answer_that_began_before_the_crashes_clears_nothing(self) -> None:
        on = Parts()
        on.begin("bad")
        on.accuse()
        assert on.refused("bad")

    def test_part_that_turns_deadly_later_is_found(self) -> None:
        """Guards against a clearance that holds for ever."""
        on = Parts()
        on.crash("bad", "a")
        on.begin("bad", "b")
        on.fleet.clock.advance(60.0)
        on.accuse(crashes=MIN_CRASHES_AFTER_CLEARANCE)

    def test_clearance_ends_the_quarantine_on_all_nodes(self) -> None:
        on = Parts(3)
        on.accuse()
        # Sent before the verdict.
        on.begin("bad", node=on.fleet.nodes[2])
        for node in on.fleet.nodes:
            assert not on.refused("bad", node=node)

    def test_order_of_facts_does_not_matter(self) -> None:
        """Guards against a started node that accuses sound popular parts.

        It hears crashes and clearances in any order.
        """
        on = Parts(2)
        for number in range(6):
            on.crash("first", f"second-{number}")
            on.begin("first")
        started = on.fleet.start("node-001")
        on.fleet.clock.advance(5.0)
        assert len(started.facts.all(CRASH_PARTS_FACT_KIND)) == 6
        for node in on.fleet.nodes:
            assert not on.refused("first", node=node)

    def test_cleared_part_leaves_no_guilt_to_its_neighbours(self) -> None:
        """Guards against accusing rare parts when a verdict ends."""
        on = Parts()
        for _ in range(MIN_CRASHES):
            sound = on.fleet.call("rare", "other")
            on.crash("bad", beside=(sound,))
        on.crash("bad", "c")
        on.judge()
        on.fleet.clock.advance(WRONG_VERDICT_S)
        assert on.refused("bad")
        on.begin("bad")
        on.judge()
        assert not on.refused("rare")
        assert not on.refused("other")
        on.accuse(crashes=MIN_CRASHES_AFTER_CLEARANCE)

    def test_few_nodes_publish_a_clearance(self) -> None:
        """Guards against one message from each node for each answer."""
        on = Parts(50)
        on.crash("first", "second")
        on.fleet.clock.advance(SPREAD_S)
        before = on.fleet.sent_messages
        for node in on.fleet.nodes:
            node.quarantine.note_answer_began(on.fleet.call("first"))
        on.fleet.clock.advance(CLEARED_S)
        one_flood = len(on.fleet.nodes) * 4
        assert on.fleet.sent_messages - before < 4 * one_flood


class TestProbe:
    """The end of a quarantine."""

    def probe(self, on: Parts, seconds: float) -> list[PartCall]:
        """Sends requests with the part for a time; returns those let by."""
        passed = []
        until = on.fleet.clock.now() + seconds
        while on.fleet.clock.now() < until:
            on.fleet.clock.advance(0.1)
            for node in on.fleet.nodes:
                call = on.fleet.call("bad")
                if node.quarantine.refusal(call) is None:
                    # Asked again before each attempt.
                    assert node.quarantine.refusal(call) is None
                    passed.append(call)
        return passed

    @pytest.mark.parametrize("nodes", [1, 3, 50])
    def test_one_request_is_let_through(self, nodes: int) -> None:
        """Guards against a server lost to each node that probes."""
        on = Parts(nodes)
        on.accuse()
        assert self.probe(on, PROBE_AFTER_S - 5.0) == []
        assert len(self.probe(on, 14.0)) == 1

    def test_crash_of_the_probe_doubles_the_pause(self) -> None:
        on = Parts()
        on.accuse()
        pauses = []
        for _ in range(7):
            began = on.fleet.clock.now()
            [call] = self.probe_until_passed(on)
            pauses.append(on.fleet.clock.now() - began)
            server = on.fleet.servers[-1]
            server.up = False
            run_now(
                on.node.quarantine.note_cut(call, server, on.fleet.clock.now())
            )
            on.fleet.clock.advance(SPREAD_S)
            assert on.node.quarantine.refusal(call) is not None
        assert pauses == sorted(pauses)
        assert pauses[1] > 1.5 * pauses[0]
        assert pauses[-1] < MAX_PROBE_AFTER_S + 20.0

    def probe_until_passed(self, on: Parts) -> list[PartCall]:
        """Sends requests until one is let through."""
        passed: list[PartCall] = []
        while not passed:
            passed = self.probe(on, 0.1)
        return passed

    def test_answer_of_the_probe_ends_the_quarantine(self) -> None:
        """Guards against refusing a part that is sound again."""
        on = Parts(3)
        on.accuse()
        call = self.probe_until_passed(on)[0]
        for node in on.fleet.nodes:
            if node.quarantine.refusal(call) is None:
                node.quarantine.note_answer_began(call)
        on.fleet.clock.advance(CLEARED_S)
        for node in on.fleet.nodes:
            assert not on.refused("bad", node=node)

    def test_quarantine_ends_without_requests(self) -> None:
        on = Parts()
        on.accuse()
        on.fleet.clock.advance(QUARANTINE_LIFETIME_S)
        assert not on.refused("bad")
        on.accuse()


class TestSuspects:
    """Requests that ran beside a crash, and their isolation."""

    def crash_twice(self, on: Parts, began_s: float) -> list[bool]:
        """Reports two crashes under a request; returns whether suspected."""
        call = on.fleet.call("part")
        suspected = []
        for server in on.fleet.servers[:2]:
            now = on.fleet.clock.now()
            server.up = False
            run_now(
                on.node.quarantine.note_cut(call, server, now, now - began_s)
            )
            on.fleet.clock.advance(SPREAD_S)
            suspected.append(bool(on.node.quarantine.suspect_digest(call)))
        assert on.node.quarantine.refusal(call) is not None
        return suspected

    def test_one_crash_during_its_answer_isolates_no_request(self) -> None:
        """Guards against sound streams that wait for a server of their own.

        All streams on a crashed server are resumed at the same moment.
        """
        assert self.crash_twice(Parts(), 1.0) == [False, True]

    def test_crash_before_its_answer_isolates_a_request(self) -> None:
        assert self.crash_twice(Parts(), 0.0) == [True, True]

    def test_verdict_about_a_part_frees_the_requests_beside_it(self) -> None:
        """Guards against refusing sound requests for the crashes of others."""
        on = Parts()
        sound = on.fleet.call("sound")
        for number in range(MIN_CRASHES):
            on.crash("bad", f"second-{number}", beside=(sound,))
        assert on.node.quarantine.suspect_digest(sound)
        on.judge()
        assert on.refused("bad")
        assert not on.node.quarantine.suspect_digest(sound)

    def test_success_clears_a_request_that_is_no_suspect(self) -> None:
        on = Parts()
        call = on.crash("part", began_s=1.0)
        on.node.quarantine.note_success(call)
        server = on.fleet.servers[9]
        server.up = False
        now = on.fleet.clock.now()
        run_now(on.node.quarantine.note_cut(call, server, now, now - 1.0))
        assert not on.node.quarantine.suspect_digest(call)


class TestSlowProbe:
    """A server that crashes just after its answer began."""

    def test_an_answer_does_not_settle_while_a_crash_is_probed(self) -> None:
        """Guards against a verdict that its own crash ends."""
        on = Parts()
        on.accuse()
        call = on.fleet.call("bad", "other")
        server = on.fleet.servers[99]
        server.up = False
        cut_at = on.fleet.clock.now()
        on.node.quarantine.note_answer_began(call)
        on.fleet.probe_s = 2 * SETTLE_S
        run_now(on.node.quarantine.note_cut(call, server, cut_at, cut_at))
        on.fleet.clock.advance(CLEARED_S)
        assert on.refused("bad")


class TestBounds:
    """Memory for evidence."""

    def test_evidence_is_bounded(self) -> None:
        on = Parts()
        parts = on.node.quarantine.parts
        for number in range(MAX_SIGHTINGS + 200):
            on.node.facts.publish(
                CRASH_PARTS_FACT_KIND,
                f"server/{number}/request",
                f"part-{number}.0",
                1,
            )
        assert parts.evidence_count == MAX_SIGHTINGS
        on.fleet.clock.advance(EVIDENCE_LIFETIME_S + 10.0)
        assert parts.evidence_count == 0

    def test_long_prompt_is_compared_at_growing_distances(self) -> None:
        parts = tuple(str(number) for number in range(500))
        chosen = list(part_keys(PartCall("r", parts, b"")).values())
        assert len(chosen) == MAX_PARTS
        assert chosen[:3] == ["0", "1", "2"]
        assert chosen[-1] == "499"

    @pytest.mark.parametrize("value", ["", "a", "a.b", "a.1,", "a.-1", "a.²"])
    def test_unreadable_evidence_is_ignored(self, value: str) -> None:
        on = Parts()
        on.node.facts.publish(CRASH_PARTS_FACT_KIND, "server/1/r", value, 1)
        assert on.node.quarantine.parts.evidence_count == 0


def prompts(
    share_by_part: dict[str, float], position: int
) -> Callable[[Random], list[str]]:
    """Returns a source of prompts in which some parts are replaced."""

    def parts(random: Random) -> list[str]:
        found = [
            f"first-{random.randrange(3)}",
            f"second-{random.randrange(12)}",
            f"third-{random.randrange(60)}",
        ]
        for part, share in share_by_part.items():
            if random.random() < share:
                found[position] = part
        return found

    return parts


class TestFleet:
    """Traffic through many nodes while parts crash servers."""

    @pytest.mark.parametrize("position", [0, 1, 2])
    @pytest.mark.parametrize(
        ("nodes", "share"),
        [
            *(
                (nodes, share)
                for nodes in (3, 7)
                for share in (0.01, 0.05, 0.3)
            ),
            (195, 0.02),
        ],
    )
    def test_few_requests_with_the_part_are_sent_after_five_crashes(
        self, nodes: int, share: float, position: int
    ) -> None:
        """Guards against one crash for each request with the part."""
        fleet = PartFleet(nodes)
        fleet.clock.advance(2.0)
        fleet.send(WARM_S, RATE_BY_NODES[nodes], prompts({}, 0))
        fleet.deadly = {"bad"}
        fleet.send(
            DEADLY_S, RATE_BY_NODES[nodes], prompts({"bad": share}, position)
        )
        assert fleet.sent_after_contact <= MAX_SENT_AFTER
        assert fleet.refused_parts() == set()
        crash_times = fleet.crash_times_by_part["bad"]
        if len(crash_times) >= CRASHES_BEFORE:
            since = crash_times[CRASHES_BEFORE - 1] + 2 * CONTACT_S
            assert fleet.served_share(since) > 0.95

    @pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
    @pytest.mark.parametrize("nodes", [3, 7])
    def test_frequent_part_that_turns_deadly_crashes_all_servers(
        self, nodes: int, seed: int
    ) -> None:
        """Guards against waiting for answers while all servers are down."""
        fleet = PartFleet(nodes, 0, seed)
        fleet.clock.advance(2.0)
        parts = prompts({"bad": 0.3}, seed % 3)
        fleet.send(10.0, RATE_BY_NODES[nodes], parts)
        fleet.deadly = {"bad"}
        fleet.send(DEADLY_S, RATE_BY_NODES[nodes], parts)
        assert fleet.sent_after_contact <= MAX_SENT_AFTER

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("nodes", [3, 7])
    def test_part_that_is_sound_again_is_served(
        self, nodes: int, seed: int
    ) -> None:
        """Guards against a quarantine that outlasts its cause."""
        fleet = PartFleet(nodes, 0, seed)
        fleet.clock.advance(2.0)
        parts = prompts({"bad": 0.05}, seed % 3)
        for _ in range(3):
            fleet.crash_times_by_part.clear()
            fleet.sent_times_by_part.clear()
            fleet.deadly = {"bad"}
            fleet.send(DEADLY_S, RATE_BY_NODES[nodes], parts)
            assert fleet.sent_after_contact <= MAX_SENT_AFTER
            fleet.deadly = set()
            fleet.send(35.0, RATE_BY_NODES[nodes], parts)
            since = fleet.clock.now()
            fleet.send(10.0, RATE_BY_NODES[nodes], parts)
            assert fleet.served_share(since, "bad") > 0.95

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_nodes_that_are_cut_off_or_restarted_meanwhile(
        self, seed: int
    ) -> None:
        """Guards against counting on every node to hear every crash."""
        fleet = PartFleet(7, 0, seed)
        fleet.clock.advance(2.0)
        fleet.send(WARM_S, 30.0, prompts({}, 0))
        fleet.deadly = {"bad"}
        parts = prompts({"bad": 0.05}, seed % 3)
        fleet.clock.call_in(
            1.0,
            lambda: fleet.group_by_node.update({"node-005": 1, "node-006": 1}),
        )
        fleet.clock.call_in(2.0, lambda: fleet.stop("node-003"))
        fleet.clock.call_in(3.0, lambda: fleet.stop("node-001"))
        fleet.clock.call_in(4.0, lambda: fleet.restart("node-003"))
        fleet.clock.call_in(5.0, lambda: fleet.restart("node-001"))
        fleet.clock.call_in(9.0, fleet.group_by_node.clear)
        fleet.send(DEADLY_S, 30.0, parts)
        assert fleet.sent_after_contact <= MAX_SENT_AFTER
        assert fleet.served_share(fleet.clock.now() - 8.0) > 0.95

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("nodes", [3, 7])
    def test_two_parts_among_servers_that_are_killed(
        self, nodes: int, seed: int
    ) -> None:
        """Guards against blaming parts for crashes of other causes."""
        fleet = PartFleet(nodes, 12, seed)
        fleet.clock.advance(2.0)
        fleet.send(WARM_S, RATE_BY_NODES[nodes], prompts({}, 0))
        fleet.deadly = {"bad", "worse"}

        def kill() -> None:
            for server in fleet.random.sample(fleet.servers, 2):
                fleet.crash(server)
            fleet.clock.call_in(fleet.random.uniform(0.5, 2.5), kill)

        fleet.clock.call_in(0.1, kill)
        fleet.send(
            DEADLY_S,
            RATE_BY_NODES[nodes],
            prompts({"bad": 0.05, "worse": 0.05}, 1),
        )
        assert fleet.sent_after_contact <= MAX_SENT_AFTER
        since = fleet.clock.now() - DEADLY_S / 2
        assert fleet.served_share(since) > 0.7
        refused = sum(outcome.refused for outcome in fleet.outcomes)
        assert refused <= len(fleet.outcomes) // 20

    def test_kills_without_a_deadly_part_refuse_nobody(self) -> None:
        fleet = PartFleet(3, 8)
        fleet.clock.advance(2.0)

        def kill() -> None:
            fleet.crash(fleet.random.choice(fleet.servers))
            fleet.clock.call_in(0.7, kill)

        fleet.clock.call_in(0.1, kill)
        fleet.send(60.0, 12.0, prompts({}, 0))
        assert fleet.refused_parts() == set()

    def test_node_that_was_cut_off_learns_the_verdict(self) -> None:
        on = Parts(3)
        cut_off = on.fleet.nodes[2]
        on.fleet.group_by_node = {cut_off.id: 1}
        on.accuse()
        assert not on.refused("bad", node=cut_off)
        on.fleet.group_by_node = {}
        on.fleet.clock.advance(5.0)
        assert on.refused("bad", node=cut_off)

    def test_started_node_learns_the_verdict(self) -> None:
        on = Parts(3)
        on.accuse()
        started = on.fleet.start("node-001")
        on.fleet.clock.advance(1.0)
        assert on.refused("bad", node=started)

    def test_verdict_is_stored_by_a_node_that_saw_a_crash(self) -> None:
        on = Parts(3)
        on.accuse()
        [key] = [fact.key for fact in on.node.facts.all(QUARANTINE_FACT_KIND)]
        assert [node.stored for node in on.fleet.nodes] == [[key], [], []]
        assert key.startswith("part-")

    def test_refusals_are_counted_by_part(self) -> None:
        on = Parts()
        on.accuse()
        before = len(on.node.refusals)
        assert on.refused("bad")
        assert on.node.refusals[before:] == list(
            part_keys(on.fleet.call("bad"))
        )
