"""Registry of numbered log events, and the function that logs them.

All code of the package logs with ``log_event``. The number of an event never
changes its meaning. ``docs/events.md`` lists the events, and a test compares
that table with this module. Log lines are JSON, written by eliot.
"""

from enum import IntEnum
from enum import unique
from typing import TextIO

from eliot import log_message
from eliot import to_file


@unique
class Event(IntEnum):
    """Numbers of all log events, grouped by hundreds."""

    # 1xx: programs.
    PROGRAM_STARTED = 100
    PROGRAM_STOPPING = 101
    PROGRAM_STOPPED = 102
    TASK_FAILED = 103
    DEPENDENCY_LOST = 104
    DEPENDENCY_REGAINED = 105
    SETTINGS_RELOADED = 106
    LINES_LEFT_OUT = 107
    PROCESS_SUSPENDED = 108
    READINESS_CHANGED = 109
    STOP_UNFINISHED = 110
    STORE_RESTORED = 111
    STORE_ERA_UNUSABLE = 112
    STORE_LISTING_REFUSED = 113
    STORE_KNOWLEDGE_KEPT = 114
    STORE_REWRITTEN = 115
    STORE_KNOWLEDGE_OLD = 116
    STORE_KNOWLEDGE_RENEWED = 117
    # 2xx: requests.
    ROUTE_DECISION = 200
    REQUEST_ADMITTED = 201
    REQUEST_REFUSED = 202
    ATTEMPT_FAILED = 203
    REQUEST_FINISHED = 204
    STALE_REPLY_DROPPED = 205
    REQUEST_RESUMED = 206
    REQUEST_HANDED_OVER = 207
    REQUEST_QUARANTINED = 208
    RETRY_DECISION = 209
    ADMISSION_REFUSED = 210
    QUARANTINE_ENDED = 211
    CALLER_LEFT = 212
    QUARANTINE_NOT_STORED = 213
    REQUEST_TAKEN_STOPPING = 214
    PART_QUARANTINED = 215
    PART_QUARANTINE_ENDED = 216
    PART_CLEARED = 217
    PART_PROBED = 218
    ANSWER_END_UNPROVED = 219
    REQUEST_RELAYED = 222
    RELAY_DECLINED = 223
    SILENT_ATTEMPT_KEPT = 224
    REQUEST_WAITED = 230
    CLIENT_REFUSED = 231
    # 3xx: configuration.
    CONFIGURATION_IN_FORCE = 300
    CONFIGURATION_REJECTED = 301
    CONFIGURATION_APPLIED = 302
    ZONE_EVACUATION = 303
    CONFIGURATION_FROM_NODE = 304
    # 4xx: membership and messages.
    MEMBER_JOINED = 400
    MEMBER_SUSPECTED = 401
    MEMBER_DEAD = 402
    MEMBER_LEFT = 403
    MESSAGE_DROPPED = 404
    NODE_ISOLATED = 405
    LINK_SILENT = 406
    LINK_HEARD = 407
    # 5xx: slots and backend servers.
    LIMIT_CHANGED = 500
    SERVER_COLD = 501
    SERVER_LEAVING = 502
    HOME_GAINED = 503
    HOME_LOST = 504
    SERVER_ENTRY_UNUSABLE = 505
    SERVER_UNREACHABLE = 506
    SERVER_CRASHED = 507
    SERVER_WANTS_NOTHING = 508
    SERVER_WANTED_AGAIN = 509
    SERVER_STATEMENT_IGNORED = 510
    ANSWER_HEADER_UNKNOWN = 511
    SERVER_LIMIT_CHANGED = 512
    PERMIT_ISSUER_SILENT = 513
    SERVER_BRITTLE_CHANGED = 514
    BRITTLE_SERVER_SPARED = 515
    SERVER_CRASH_UNPROVED = 516
    SERVERS_CUT_OFF = 518
    SERVERS_REACHED = 519
    USAGE_CAP_STATE = 520
    USAGE_CAP_ISSUED = 521
    CAP_ISSUER_SILENT = 522
    SLOW_START_BEGUN = 530
    SLOW_START_ENDED = 531
    # 6xx: claims and jobs.
    CLAIM_GRANTED = 600
    CLAIM_REPEATED = 601
    PARTITION_LOADED = 602
    PARTITION_LOST = 603
    JOB_ACCEPTED = 604
    JOB_FINISHED = 605
    # 7xx: rollouts, VMs and orders.
    ROLLOUT_SHARE = 700
    ROLLOUT_VERDICT = 701
    ROLLOUT_LATE = 702
    ROLLOUT_DONE = 703
    VM_START = 704
    VM_START_REFUSED = 705
    VM_NOTICE = 706
    PLACEMENT_DECISION = 707
    ORDER_SENT = 708
    ORDER_WITHHELD = 709
    LEASE_GAINED = 710
    LEASE_LOST = 711
    VM_NOTICE_ENDED = 712
    SERVERS_ORDERED = 713
    SERVERS_REFUSED = 714
    USAGE_REPORTED = 715
    USAGE_WITHHELD = 716
    PRESENCE_FAILED = 717


TEXT_BY_EVENT: dict[Event, str] = {
    Event.PROGRAM_STARTED: "A program is ready to serve.",
    Event.PROGRAM_STOPPING: "A program received a request to stop.",
    Event.PROGRAM_STOPPED: "A program has finished its work and exits.",
    Event.TASK_FAILED: "A background task failed and is run again.",
    Event.DEPENDENCY_LOST: "An outside system stopped answering.",
    Event.DEPENDENCY_REGAINED: "An outside system answers again.",
    Event.SETTINGS_RELOADED: "The settings file was read again.",
    Event.LINES_LEFT_OUT: "Lines of one event were left out, with a count.",
    Event.PROCESS_SUSPENDED: "The process did not run for a while.",
    Event.READINESS_CHANGED: (
        "The readiness that the load balancer reads changed, with the reason."
    ),
    Event.STOP_UNFINISHED: (
        "Requests still run shortly before a stopping process is killed."
    ),
    Event.STORE_RESTORED: "The store came back from an older copy.",
    Event.STORE_ERA_UNUSABLE: (
        "An answer of the store names no era, or an earlier one."
    ),
    Event.STORE_LISTING_REFUSED: (
        "A listing of the store is older than what the node knows."
    ),
    Event.STORE_KNOWLEDGE_KEPT: (
        "What a node knew goes before what a restored store says."
    ),
    Event.STORE_REWRITTEN: "A node wrote again what a restore had undone.",
    Event.STORE_KNOWLEDGE_OLD: (
        "A node acts on an old copy of the store; from whom, and who reads."
    ),
    Event.STORE_KNOWLEDGE_RENEWED: (
        "A node's copy of the store is current again."
    ),
    Event.ROUTE_DECISION: (
        "A backend server was chosen; candidates, scores and filters."
    ),
    Event.REQUEST_ADMITTED: "A request was accepted into a queue.",
    Event.REQUEST_REFUSED: "A request was refused, with its run state.",
    Event.ATTEMPT_FAILED: "One attempt at a backend server failed.",
    Event.REQUEST_FINISHED: "A request got its whole answer.",
    Event.STALE_REPLY_DROPPED: (
        "A reply of an earlier attempt arrived and was dropped."
    ),
    Event.REQUEST_RESUMED: "A stream continues after a break.",
    Event.REQUEST_HANDED_OVER: "A peer keeps the record of a request.",
    Event.REQUEST_QUARANTINED: (
        "A request digest was seen in repeated crashes and is refused."
    ),
    Event.RETRY_DECISION: "The retry table was applied to a failure.",
    Event.ADMISSION_REFUSED: "A request cannot wait for a slot any longer.",
    Event.QUARANTINE_ENDED: "A request with a refused digest succeeded.",
    Event.QUARANTINE_NOT_STORED: (
        "A quarantine could not be written to the store yet."
    ),
    Event.REQUEST_TAKEN_STOPPING: (
        "A request was taken while the process stops, with the time left."
    ),
    Event.SILENT_ATTEMPT_KEPT: (
        "An attempt at a silent server goes on; nothing else can carry it."
    ),
    Event.REQUEST_WAITED: (
        "A request has waited for a server with room, and whether it got one."
    ),
    Event.CLIENT_REFUSED: (
        "Clients sent too much or too slowly and were refused or cut."
    ),
    Event.PART_QUARANTINED: (
        "A part of prompts was in repeated crashes; requests are refused."
    ),
    Event.PART_QUARANTINE_ENDED: (
        "Requests with a part of a prompt are no longer refused."
    ),
    Event.PART_CLEARED: "An answer began on a part that was in crashes.",
    Event.PART_PROBED: "One request with a quarantined part is let through.",
    Event.ANSWER_END_UNPROVED: (
        "An answer ended with its connection, which does not prove it whole."
    ),
    Event.REQUEST_RELAYED: (
        "Another node carries a request, as this one reaches no server."
    ),
    Event.RELAY_DECLINED: (
        "Another node does not carry a request; it has not run there."
    ),
    Event.CALLER_LEFT: "A caller closed the connection before the end.",
    Event.CONFIGURATION_IN_FORCE: "A node put a generation in force.",
    Event.CONFIGURATION_REJECTED: "A received configuration is unusable.",
    Event.CONFIGURATION_APPLIED: "An operator's file was accepted.",
    Event.CONFIGURATION_FROM_NODE: (
        "A node got a configuration from another, as the store's is unusable."
    ),
    Event.ZONE_EVACUATION: "A zone is drained, or put back into service.",
    Event.MEMBER_JOINED: "A member was seen alive for the first time.",
    Event.MEMBER_SUSPECTED: "A member did not answer probes.",
    Event.MEMBER_DEAD: "A suspected member was declared dead.",
    Event.MEMBER_LEFT: "A member announced that it leaves.",
    Event.MESSAGE_DROPPED: "A message could not be sent or decoded.",
    Event.NODE_ISOLATED: "The node hears neither the store nor a peer.",
    Event.LIMIT_CHANGED: "The concurrency limit of a server changed.",
    Event.SERVER_COLD: "A backend server is in cold start (again).",
    Event.SERVER_LEAVING: "A backend server takes no new work.",
    Event.HOME_GAINED: "This controller became the home of a server.",
    Event.HOME_LOST: "This controller is no longer the home of a server.",
    Event.SERVER_ENTRY_UNUSABLE: "A registry entry names no usable server.",
    Event.SERVER_UNREACHABLE: "A backend server accepted no connection.",
    Event.SERVER_CRASHED: (
        "A backend server cut a request and accepts no connection."
    ),
    Event.SERVER_WANTS_NOTHING: (
        "A backend server asked for a pause without requests."
    ),
    Event.SERVER_WANTED_AGAIN: (
        "The pause of a backend server is over; its slow start begins."
    ),
    Event.SERVER_STATEMENT_IGNORED: (
        "A server's statement in an answer cannot be used."
    ),
    Event.ANSWER_HEADER_UNKNOWN: (
        "A server's answer has a header that the program does not read."
    ),
    Event.SERVER_LIMIT_CHANGED: (
        "A backend server named a limit of requests, or none any more."
    ),
    Event.PERMIT_ISSUER_SILENT: (
        "A process did not answer a request for permits; the next is asked."
    ),
    Event.SERVER_BRITTLE_CHANGED: (
        "A backend server stated that it is brittle, or no longer does."
    ),
    Event.BRITTLE_SERVER_SPARED: (
        "A brittle server refused a request and gets fewer for a while."
    ),
    Event.SERVER_CRASH_UNPROVED: (
        "A server cut a request and cannot be reached, like other servers."
    ),
    Event.SERVERS_CUT_OFF: "The process reaches no backend server.",
    Event.SERVERS_REACHED: "The process reaches a backend server again.",
    Event.USAGE_CAP_STATE: (
        "What a process knows of an organisation that nears its usage cap."
    ),
    Event.USAGE_CAP_ISSUED: (
        "What a process decided for all on an organisation at its usage cap."
    ),
    Event.CAP_ISSUER_SILENT: (
        "A process did not answer for a usage cap; the next is asked."
    ),
    Event.SLOW_START_BEGUN: (
        "A server has started or recovers, and gets few requests at first."
    ),
    Event.SLOW_START_ENDED: (
        "A server has answered enough requests in time, or no longer counts."
    ),
    Event.CLAIM_GRANTED: "A gateway may send a non-idempotent request.",
    Event.CLAIM_REPEATED: "A known idempotency key was asked for again.",
    Event.PARTITION_LOADED: "A claim partition was read from the store.",
    Event.PARTITION_LOST: "Another controller owns the claim partition.",
    Event.JOB_ACCEPTED: "A deferred job was recorded.",
    Event.JOB_FINISHED: "A deferred job has its result.",
    Event.ROLLOUT_SHARE: "The traffic share of a version changed.",
    Event.ROLLOUT_VERDICT: "A version was judged.",
    Event.ROLLOUT_LATE: "A rollout cannot meet its schedule.",
    Event.ROLLOUT_DONE: "A version has settled at full share.",
    Event.VM_START: "A VM was ordered.",
    Event.VM_START_REFUSED: "The cloud refused to start a VM.",
    Event.VM_NOTICE: "A VM will be reclaimed.",
    Event.PLACEMENT_DECISION: "A place for a VM was chosen, with the prices.",
    Event.ORDER_SENT: "An order was sent to a model engine.",
    Event.ORDER_WITHHELD: "An order was not sent, with the reason.",
    Event.LEASE_GAINED: "The node holds a lease.",
    Event.LEASE_LOST: "The node no longer holds a lease.",
    Event.VM_NOTICE_ENDED: "A VM under notice is gone or stays.",
    Event.SERVERS_ORDERED: "Backend servers were ordered, with the need.",
    Event.SERVERS_REFUSED: "An order for backend servers was refused.",
    Event.USAGE_REPORTED: "The usage of a window was reported.",
    Event.PRESENCE_FAILED: "The node's entry was not written or removed.",
    Event.USAGE_WITHHELD: "The usage of a window was not reported, and why.",
    Event.LINK_SILENT: (
        "A process acknowledges no messages and is connected to anew."
    ),
    Event.LINK_HEARD: (
        "A process acknowledges messages again, with the time it did not."
    ),
}


def open_log(stream: TextIO) -> None:
    """Starts writing this process's events to a text stream as JSON lines."""
    to_file(stream)


def log_event(event: Event, node: str, **fields: object) -> None:
    """Logs one event of a node with fields, whose values JSON can hold."""
    log_message(
        message_type=event.name.lower(),
        event=int(event),
        node=node,
        **fields,
    )
