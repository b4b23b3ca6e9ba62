"""Memory of the large data structures at the target size.

Each structure is built in a new process, and the growth of the resident
memory of that process is measured. Run from the root of the repository:

    python -m benchmarks.memory
"""

from collections.abc import Callable
from gc import collect
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path

from fire import Fire

from benchmarks.routing import large_configuration
from wasabiwing.answer_log import AnswerLog
from wasabiwing.cluster_view import index_configuration
from wasabiwing.configuration_store import split_configuration
from wasabiwing.member_table import MemberTable
from wasabiwing.messages import MemberUpdate

WORKERS = 7_700
NODES = 1_400

# Mean tokens of an answer: 8.4 million tokens a second over 30,000 requests a
# second.
ANSWER_TOKENS = 280
ANSWERS = 1_000

BYTES_PER_MB = 1_000_000

EVENT = (
    b'{"id":"model-1-1","object":"chat.completion.chunk","created":0,'
    b'"model":"quote","choices":[{"index":0,"delta":{"content":"word "}}]}'
)


def resident_bytes() -> int:
    """Returns the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def build_index() -> object:
    """Builds the index of a configuration in gateways and controllers."""
    return index_configuration(1, large_configuration(WORKERS))


def build_chunks() -> object:
    """Builds the chunks of a configuration that controllers serve."""
    return split_configuration(large_configuration(WORKERS)).chunk_by_digest


def build_members() -> object:
    """Builds the member table of a controller."""
    table = MemberTable()
    for number in range(NODES):
        zone = number % 12
        table.merge(
            MemberUpdate(
                f"entry-{number}-controller",
                f"tcp://10.0.{number // 250}.{number % 250}:7000",
                f"zone-{zone}",
                f"region-{zone % 5}",
                0,
                0,
                1,
                f"10.0.{number // 250}.{number % 250}:8081",
            )
        )
    return table


def build_answers() -> object:
    """Builds answers as gateways keep them for callers that resume."""
    answers = []
    for number in range(ANSWERS):
        answer = AnswerLog(f"request-{number}")
        answer.current_attempt = 1
        for position in range(ANSWER_TOKENS):
            answer.append([b"%b%d" % (EVENT, position)], 1)
        answers.append(answer)
    return answers


BUILDER_BY_NAME: dict[str, Callable[[], object]] = {
    f"index of {WORKERS} servers": build_index,
    f"chunks of {WORKERS} servers": build_chunks,
    f"{NODES} members": build_members,
    f"{ANSWERS} answers of {ANSWER_TOKENS} events": build_answers,
}


def measure(name: str, sender: Connection) -> None:
    """Sends the resident memory before a structure and its growth."""
    collect()
    before = resident_bytes()
    structure = BUILDER_BY_NAME[name]()
    collect()
    sender.send((before, resident_bytes() - before))
    del structure


def main() -> None:
    """Prints a table with one row for each structure."""
    context = get_context("spawn")
    print(f"{'structure':<32} {'base MB':>8} {'grows MB':>9}")
    for name in BUILDER_BY_NAME:
        receiver, sender = context.Pipe(duplex=False)
        process = context.Process(target=measure, args=(name, sender))
        process.start()
        base, growth = receiver.recv()
        process.join()
        print(
            f"{name:<32} {base / BYTES_PER_MB:>8.1f}"
            f" {growth / BYTES_PER_MB:>9.1f}"
        )


if __name__ == "__main__":
    Fire(main)
