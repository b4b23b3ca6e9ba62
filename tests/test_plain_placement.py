"""Test of the servers that nodes choose for plain requests, by replay."""

from heapq import heappop
from heapq import heappush
from random import Random

import pytest

from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.server_choice import Candidate
from wasabiwing.server_choice import choose_server
from wasabiwing.server_loads import LoadEstimate

SERVERS = 3
SLOTS = 6
WORK_S = 0.09
PER_S = 53.0
SECONDS = 60.0

# Time after which nodes have heard of a server's speed, in seconds.
NEWS_DELAY_S = 0.1


def mean_answer_s(seed: int, base_s: float | None) -> float:
    """Replays plain requests; returns their mean time.

    Servers are slow by 2.5 times for 15% of the time, redrawn every 0.6 s, and
    state it. They are chosen by ``base_s``, and at random without it.
    """
    random = Random(seed)
    slow = [
        [random.random() < 0.15 for _ in range(int(SECONDS / 0.6) + 2)]
        for _ in range(SERVERS)
    ]

    def slowdown(server: int, now: float) -> float:
        return 2.5 if slow[server][max(int(now / 0.6), 0)] else 1.0

    free_at = [[0.0] * SLOTS for _ in range(SERVERS)]
    ends: list[list[float]] = [[] for _ in range(SERVERS)]
    now = 0.0
    times: list[float] = []
    while now < SECONDS:
        now += random.expovariate(PER_S)
        candidates = []
        for number in range(SERVERS):
            while ends[number] and ends[number][0] <= now:
                heappop(ends[number])
            known = slowdown(number, now - NEWS_DELAY_S)
            load = LoadEstimate(0.0, len(ends[number]), 0, 0.0, False, known)
            candidates.append(Candidate(f"{number}", True, SLOTS, load, 0))
        if base_s is None:
            server = random.randrange(SERVERS)
        else:
            choice = choose_server(candidates, f"r{now}", 0.0, base_s)
            server = int(choice.server_id)
        started_at = max(heappop(free_at[server]), now)
        end = started_at + WORK_S * slowdown(server, started_at)
        heappush(free_at[server], end)
        heappush(ends[server], end)
        times.append(end - now)
    return sum(times) / len(times)


class TestPlainRequests:
    """53 requests a second of 90 ms at three servers with six slots."""

    @pytest.mark.parametrize("seed", [11, 12, 13])
    def test_slow_servers_get_fewer_requests(self, seed: int) -> None:
        """Guards against speeds that count only for prompts."""
        own = mean_answer_s(seed, WORK_S)
        # Without the time of an answer, only running requests count.
        assert own < mean_answer_s(seed, 0.0) * 0.97
        assert own < mean_answer_s(seed, None) * 0.9

    def test_time_of_answers_is_learnt(self) -> None:
        rates = PrefillRates()
        for _ in range(20):
            rates.observe("desk", 0, 0.09)
        assert rates.base_first_token_s("desk") == pytest.approx(0.09)
