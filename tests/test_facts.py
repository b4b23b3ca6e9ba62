"""Tests of facts that spread by gossip."""

from random import Random

import pytest

from tests.network import Bench
from tests.network import bench
from wasabiwing.facts import FactRule
from wasabiwing.facts import Facts
from wasabiwing.message_router import MessageRouter

pytestmark = pytest.mark.anyio


def start_facts_node(
    on: Bench,
    number: int,
    peers: tuple[int, ...],
    gateways: tuple[str, ...] = (),
) -> Facts:
    """Starts a node that is linked to some peers; returns its facts."""
    transport = on.network.open(f"n{number}", f"tcp://{number}")
    router = MessageRouter(f"n{number}", transport)
    on.tasks.start_soon(router.run)
    addresses = tuple(f"tcp://{peer}" for peer in peers)
    facts = Facts(
        on.timer,
        transport,
        Random(number),
        lambda: addresses,
        lambda: gateways,
    )
    facts.set_rule("notice", FactRule(lifetime_s=30))
    facts.set_rule("verdict", FactRule(ends_with_generation=True))
    facts.register(router)
    return facts


def start_chain(on: Bench) -> list[Facts]:
    """Starts three nodes, each linked to the next."""
    return [
        start_facts_node(on, 0, (1,)),
        start_facts_node(on, 1, (0, 2)),
        start_facts_node(on, 2, (1,)),
    ]


def values(nodes: list[Facts], kind: str, key: str) -> list[str | None]:
    """Returns the value that each node holds for a key."""
    found = [node.get(kind, key) for node in nodes]
    return [fact.value if fact else None for fact in found]


class TestFacts:
    """Gossip and merging of facts."""

    async def test_expired_fact_makes_way_for_a_smaller_epoch(self) -> None:
        """Guards against a fact that is neither held nor replaced."""
        async with bench() as on:
            node = start_facts_node(on, 0, ())
            node.publish("notice", "key", "old", 5)
            await on.timer.advance(31.0)
            assert node.publish("notice", "key", "new", 1)
            assert values([node], "notice", "key") == ["new"]

    async def test_a_fact_reaches_nodes_without_a_direct_link(self) -> None:
        async with bench() as on:
            nodes = start_chain(on)
            heard: list[str] = []
            nodes[2].subscribe("q", lambda fact: heard.append(fact.value))
            assert nodes[0].publish("q", "digest", "bad", 1)
            await on.timer.advance(0.1)
            assert values(nodes, "q", "digest") == ["bad"] * 3
            assert heard == ["bad"]
            assert not nodes[2].publish("q", "digest", "bad", 1)

    async def test_a_gateway_gets_facts_by_push_and_digest_exchange(
        self,
    ) -> None:
        async with bench() as on:
            controller = start_facts_node(on, 0, (), gateways=("tcp://1",))
            gateway = start_facts_node(on, 1, (0,))
            controller.publish("q", "key", "first", 1)
            await on.timer.advance(0.1)
            assert values([gateway], "q", "key") == ["first"]
            on.network.loss_share = 1.0
            controller.publish("q", "key", "second", 2)
            await on.timer.advance(1)
            on.network.loss_share = 0.0
            await on.timer.advance(3)
            assert values([gateway], "q", "key") == ["second"]

    async def test_the_order_of_messages_makes_no_difference(self) -> None:
        async with bench() as on:
            nodes = start_chain(on)
            nodes[0].publish("q", "key", "b", 2)
            nodes[2].publish("q", "key", "a", 2)
            nodes[1].publish("q", "key", "z", 1)
            await on.timer.advance(0.1)
            assert values(nodes, "q", "key") == ["b"] * 3

    async def test_a_node_that_missed_a_fact_gets_it_later(self) -> None:
        async with bench() as on:
            nodes = start_chain(on)
            on.network.loss_share = 1.0
            nodes[0].publish("q", "key", "bad", 1)
            await on.timer.advance(3)
            assert values(nodes, "q", "key") == ["bad", None, None]
            on.network.loss_share = 0.0
            await on.timer.advance(15)
            assert values(nodes, "q", "key") == ["bad"] * 3

    async def test_an_expired_fact_is_not_kept_alive_by_peers(self) -> None:
        async with bench() as on:
            nodes = start_chain(on)
            nodes[0].publish("notice", "zone-a", "reclaim", 1)
            await on.timer.advance(29)
            assert values(nodes, "notice", "zone-a") == ["reclaim"] * 3
            late = start_facts_node(on, 3, (1,))
            await on.timer.advance(0.5)
            await on.timer.advance(5)
            assert values([*nodes, late], "notice", "zone-a") == [None] * 4
            assert nodes[0].all("notice") == ()

    async def test_a_newer_generation_clears_a_verdict_for_good(self) -> None:
        """Guards against peers of an older generation that restore it."""
        async with bench() as on:
            nodes = start_chain(on)
            nodes[0].publish("verdict", "pool", "bad", 4)
            await on.timer.advance(0.1)
            nodes[0].set_generation(5)
            await on.timer.advance(10)
            assert values(nodes, "verdict", "pool") == [None, "bad", "bad"]
            nodes[0].set_generation(4)
            assert not nodes[0].publish("verdict", "pool", "bad", 4)
