"""Size and rate of the reports between nodes, by the number of nodes."""

from random import Random

from fire import Fire

from wasabiwing.fleet_relay import NODE_PUSH_EVERY
from wasabiwing.fleet_relay import PUSH_PERIOD_S
from wasabiwing.messages import AggregatedReport
from wasabiwing.messages import encode_envelope
from wasabiwing.messages import Envelope
from wasabiwing.messages import HeadPush
from wasabiwing.messages import Message
from wasabiwing.messages import NodeReport
from wasabiwing.messages import OrganisationUsage
from wasabiwing.messages import PromptPlacement
from wasabiwing.messages import ServerLoadEntry
from wasabiwing.messages import WindowUsage
from wasabiwing.node_reports import HEAD_REPORT_EVERY
from wasabiwing.node_reports import REPORT_PERIOD_S
from wasabiwing.usage_windows import REPORTED_WINDOWS
from wasabiwing.zone_heads import HEADS_PER_ZONE
from wasabiwing.zone_heads import MAX_FULL_MESH_NODES

WINDOW = 353_445_120

INCARNATION_ID = "front-zone-a-1/0123456789abcdef"


class Samples:
    """Generates messages with the content that they have under load."""

    def __init__(self, random: Random, servers: int, names: int) -> None:
        self._random = random
        self._names = [f"org{number:04}" for number in range(names)]
        self._ids = [
            f"i-{random.getrandbits(40):010x}" for _ in range(servers)
        ]

    def report(self, placements: int, busy: int) -> NodeReport:
        """Returns the report of a node with requests at ``busy`` servers."""
        random = self._random
        return NodeReport(
            INCARNATION_ID,
            self._organisation_usage(),
            self._usage_windows(),
            self._server_loads()[:busy],
            tuple(
                PromptPlacement(
                    random.choice(self._ids),
                    (
                        (f"{random.getrandbits(32):08x}", 2520),
                        (f"{random.getrandbits(32):08x}", 3780),
                    ),
                )
                for _ in range(placements)
            ),
            (("models", 0.4),),
            123_456,
        )

    def push(self, to_nodes: bool) -> HeadPush:
        """Returns a zone head's message to its nodes or to other heads."""
        aggregate = AggregatedReport(
            INCARNATION_ID,
            195,
            self._organisation_usage(),
            () if to_nodes else self._usage_windows(),
            self._server_loads(),
            () if to_nodes else (("models", 0.4),),
        )
        return HeadPush(
            "zone-a",
            123_456,
            123_400,
            120,
            -1,
            (),
            None if to_nodes else aggregate,
            aggregate if to_nodes else None,
        )

    def _organisation_usage(self) -> tuple[OrganisationUsage, ...]:
        random = self._random
        return tuple(
            OrganisationUsage(name, random.uniform(0, 1e6), random.random())
            for name in self._names
        )

    def _usage_windows(self) -> tuple[WindowUsage, ...]:
        return tuple(
            WindowUsage(WINDOW + window, name, self._random.randrange(500))
            for window in range(REPORTED_WINDOWS)
            for name in self._names
        )

    def _server_loads(self) -> tuple[ServerLoadEntry, ...]:
        return tuple(
            ServerLoadEntry(
                server_id, (9200, 1800, 0), self._random.randrange(9)
            )
            for server_id in self._ids
        )


def wire_bytes(message: Message) -> int:
    """Returns the size of a message on the wire."""
    envelope = Envelope("front-zone-a-1", "tcp://10.1.0.14:7600", 0, message)
    return len(encode_envelope(envelope))


def main(seed: int = 1) -> None:
    """Prints one row for each size of deployment, with rates in KB/s."""
    random = Random(seed)
    print("nodes  zones  node sends  node gets  head sends  head gets")
    for nodes, zones, servers, organisations in (
        (7, 3, 6, 5),
        (78, 3, 20, 16),
        (195, 5, 40, 19),
        (1444, 12, 600, 100),
    ):
        samples = Samples(random, servers, organisations)
        if nodes <= MAX_FULL_MESH_NODES:
            size = wire_bytes(samples.report(1, servers))
            rate = (nodes - 1) / REPORT_PERIOD_S * size / 1000
            print(f"{nodes:5}  {zones:5}  {rate:10.1f}  {rate:9.1f}")
            continue
        members = nodes // zones
        report_s = REPORT_PERIOD_S * HEAD_REPORT_EVERY
        report = wire_bytes(samples.report(0, 4)) / report_s / 1000
        to_nodes = wire_bytes(samples.push(True)) / 1000
        to_nodes /= PUSH_PERIOD_S * NODE_PUSH_EVERY
        to_heads = wire_bytes(samples.push(False)) / PUSH_PERIOD_S / 1000
        others = zones * HEADS_PER_ZONE - 1
        print(
            f"{nodes:5}  {zones:5}  {report * HEADS_PER_ZONE:10.1f}"
            f"  {to_nodes:9.1f}"
            f"  {members * to_nodes + others * to_heads:10.1f}"
            f"  {members * report + others * to_heads:9.1f}"
        )


if __name__ == "__main__":
    Fire(main)
