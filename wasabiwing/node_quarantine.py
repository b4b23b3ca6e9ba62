"""Builds a node's quarantine from its server directory and its store."""

from collections.abc import Callable
from random import Random

from wasabiwing.facts import Facts
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.ports import LongPollStore
from wasabiwing.quarantine import Quarantine
from wasabiwing.quarantine_records import QUARANTINE_PREFIX
from wasabiwing.quarantine_records import QuarantineRecords
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_directory import ServerDirectory
from wasabiwing.server_probe import CrashProbe
from wasabiwing.server_probe import server_accepts_connection
from wasabiwing.server_probe import SharedProbe
from wasabiwing.server_statements import ServerStatements
from wasabiwing.timers import TimerService


def build_quarantine(
    node_id: str,
    timer: TimerService,
    store: LongPollStore,
    facts: Facts,
    follower: FleetFollower,
    directory: ServerDirectory,
    statements: ServerStatements,
    judge_period_s: float,
    count_refusal: Callable[[str], None],
) -> Quarantine[RegisteredServer]:
    """Returns a node's quarantine, with its records kept in the store."""
    records = QuarantineRecords(node_id, timer, store, facts)
    store.eras.subscribe(records.rewrite)
    follower.on_key_change(QUARANTINE_PREFIX, records.apply_record)

    def is_leaving(server: RegisteredServer) -> bool:
        """Whether a server is gone or has announced that it leaves."""
        entry = directory.get(server.id)
        if entry is None or entry.draining:
            return True
        return statements.is_leaving(server.id)

    def has_ended(server: RegisteredServer) -> bool:
        """Whether a server's process has gone, or was replaced by another."""
        return directory.started_ms(server.id) != server.started_ms

    probe = CrashProbe(
        timer,
        Random(node_id),
        server_accepts_connection,
        lambda: (
            (entry.address, entry.service)
            for entry in directory.entries()
            if not is_leaving(entry)
        ),
    )
    return Quarantine(
        node_id,
        timer,
        facts,
        is_leaving,
        SharedProbe(probe.runs).probe,
        records.queue_write,
        judge_period_s,
        count_refusal,
        has_ended,
    )
