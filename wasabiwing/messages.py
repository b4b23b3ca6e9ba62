"""Registry and codec of all messages between wasabiwing processes.

Every message is a frozen record with a kind number. A record is encoded as a
msgpack array, so neighbouring releases understand each other: new fields go
to the end and have defaults, unknown trailing fields are ignored, and a
message of an unknown kind is dropped by the receiver.
"""

from enum import IntEnum
from enum import unique
from typing import TypeVar

from msgspec import DecodeError
from msgspec import Raw
from msgspec import Struct
from msgspec import ValidationError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder
from result import Err
from result import Ok
from result import Result


class MemberUpdate(Struct, frozen=True, array_like=True):
    """What one node says about a member.

    ``state`` is 0 for alive, 1 for suspected, 2 for dead and 3 for left.
    """

    node_id: str
    address: str
    availability_zone: str
    region: str
    incarnation: int
    state: int
    # Configuration generation in force at the member.
    generation: int = 0
    # HTTP address of the member's status page, as host:port.
    status_address: str = ""


class Ping(Struct, frozen=True, array_like=True, tag=10):
    """Membership probe with piggybacked updates."""

    updates: tuple[MemberUpdate, ...] = ()
    generation: int = 0


class Ack(Struct, frozen=True, array_like=True, tag=11):
    """Answer to a probe; ``target`` is the member that answered."""

    target: str
    updates: tuple[MemberUpdate, ...] = ()
    generation: int = 0


class PingRequest(Struct, frozen=True, array_like=True, tag=12):
    """Asks a peer to probe a member that did not answer directly."""

    target: str
    target_address: str
    updates: tuple[MemberUpdate, ...] = ()


class MemberTableDigest(Struct, frozen=True, array_like=True, tag=13):
    """Asks a peer for its member table if it differs."""

    digest: int


class MemberTableReply(Struct, frozen=True, array_like=True, tag=14):
    """A whole member table."""

    updates: tuple[MemberUpdate, ...]
    # Whether the receiver sends its own table back.
    reply_requested: bool = False


class GenerationNotice(Struct, frozen=True, array_like=True, tag=20):
    """Tells which configuration generation the sender has in force."""

    generation: int
    digest: str


class ConfigurationChunk(Struct, frozen=True, array_like=True):
    """A compressed chunk of a configuration, named by its digest."""

    digest: str
    data: bytes


class ConfigurationRequest(Struct, frozen=True, array_like=True, tag=21):
    """Asks for the generation in force, or for chunks of it."""

    above_generation: int
    # Digests of the missing chunks; empty asks for a ``GenerationNotice``.
    chunks: tuple[str, ...] = ()


class ConfigurationReply(Struct, frozen=True, array_like=True, tag=22):
    """Carries chunks of a configuration."""

    generation: int
    digest: str
    chunks: tuple[ConfigurationChunk, ...] = ()


class GatewayHeartbeat(Struct, frozen=True, array_like=True, tag=30):
    """A gateway reports to the controller on its VM."""

    address: str
    availability_zone: str
    generation: int = 0
    # Callers' side, as host:port.
    http_address: str = ""
    # Whether the gateway is stopping.
    leaving: bool = False


class ControllerState(Struct, frozen=True, array_like=True, tag=31):
    """A controller tells its gateways about the node's standing."""

    # Whether the node hears the store or any peer.
    connected: bool
    generation: int
    # Whether the VM is leaving and must take no new work.
    leaving: bool = False


class Fact(Struct, frozen=True, array_like=True):
    """A monotone fact; of two about one key, the larger one holds."""

    kind: str
    key: str
    value: str
    epoch: int
    # Remaining lifetime in seconds; 0 for no limit.
    remaining_s: float = 0.0


class FactNotice(Struct, frozen=True, array_like=True, tag=80):
    """Carries facts."""

    facts: tuple[Fact, ...]


class FactDigest(Struct, frozen=True, array_like=True, tag=81):
    """Asks a peer for its facts if they differ."""

    digest: int


class EvidenceEntry(Struct, frozen=True, array_like=True):
    """Outcomes of one version on one route and load level."""

    version: str
    route: str
    load: int
    failures: int
    # Successes without a usable latency.
    untimed_successes: int
    # Milliseconds to the first token of the other successes.
    first_token_ms: tuple[int, ...] = ()


class EvidenceReport(Struct, frozen=True, array_like=True, tag=90):
    """A gateway's outcomes for a pool with a rollout since its last report.

    It goes to the gateway's controller, which passes it to the pool's home.
    """

    pool: str
    entries: tuple[EvidenceEntry, ...]


class CreditUse(Struct, frozen=True, array_like=True):
    """What a gateway reports and asks for at one backend server."""

    server_id: str
    in_flight: int
    # Requests that wait for a slot.
    waiting: int
    # Number of the request whose grant the gateway has; 0 for none.
    held_sequence: int = 0
    # Credits of that grant; 0 when it has expired.
    held_credits: int = 0
    # Outcomes since the last report.
    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    # Mean over the successes, in milliseconds.
    latency_ms: float = 0.0


class CreditRequest(Struct, frozen=True, array_like=True, tag=70):
    """Renews the slot credits of a gateway."""

    gateway: str
    # Inbox of the gateway, to which grants are sent.
    address: str
    # Differs between two runs of a gateway with the same name.
    incarnation: int
    # Increases with each request of this incarnation.
    sequence: int
    # The gateway uses no grant for an earlier request than this any more.
    min_usable_sequence: int
    uses: tuple[CreditUse, ...]
    # Whether a controller passed the request on to the home controller.
    forwarded: bool = False


class Credit(Struct, frozen=True, array_like=True):
    """Requests that a gateway may have in flight at one server."""

    server_id: str
    count: int


class CreditGrant(Struct, frozen=True, array_like=True, tag=71):
    """Answers a credit request."""

    incarnation: int
    # Number of the request that is answered.
    sequence: int
    # Counted from the moment at which the request was sent.
    lifetime_ms: int
    credits: tuple[Credit, ...]


class ServerState(Struct, frozen=True, array_like=True):
    """What a home controller knows of one backend server."""

    server_id: str
    limit: int
    cold: bool
    # Requests that the server reported as running.
    running: int
    leaving: bool = False


class ServerReport(Struct, frozen=True, array_like=True, tag=72):
    """Tells gateways about servers whose state changed."""

    servers: tuple[ServerState, ...]


@unique
class ClaimState(IntEnum):
    """States of a claim, in the journal and in replies."""

    GRANTED = 0
    FINISHED = 1
    UNKNOWN = 2
    # Given back by its gateway; the request did not leave.
    RELEASED = 3
    # The following states occur in replies only.
    RUNNING = 4
    REUSED = 5
    REFUSED = 6


class ClaimRequest(Struct, frozen=True, array_like=True, tag=60):
    """A gateway asks for the right to send a non-idempotent request."""

    request_id: str
    organisation: str
    key: str
    request_fingerprint: bytes
    # Node that will send the request, and its inbox.
    gateway: str
    gateway_address: str
    # Time by which the outcome is known, in seconds.
    outcome_timeout_s: float
    # Whether to look the key up without granting it. A key that is free is
    # then answered as released.
    lookup_only: bool = False
    # Times that a controller has passed the message on.
    hops: int = 0


class ClaimReply(Struct, frozen=True, array_like=True, tag=61):
    """What the home controller says of a claim."""

    # Request that asked, and request that holds the claim.
    request_id: str
    state: ClaimState
    holder_request_id: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    truncated: bool = False
    # Result code and run state of a refusal.
    code: int = 0
    run_state: str = "may_have_run"
    detail: str = ""


class OutcomeReport(Struct, frozen=True, array_like=True, tag=62):
    """The gateway that holds a claim reports its outcome."""

    request_id: str
    organisation: str
    key: str
    gateway_address: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    truncated: bool = False
    hops: int = 0


class OutcomeAck(Struct, frozen=True, array_like=True, tag=63):
    """The outcome of a request is in the journal."""

    request_id: str


class ClaimStatusRequest(Struct, frozen=True, array_like=True, tag=64):
    """Asks for the claim of an earlier request."""

    request_id: str
    organisation: str
    partition: int
    gateway_address: str
    hops: int = 0


class GatewayEntry(Struct, frozen=True, array_like=True):
    """A gateway as the directory lists it."""

    node_id: str
    # Inbox, as tcp://host:port.
    address: str
    # Callers' side, as host:port.
    http_address: str
    availability_zone: str
    leaving: bool
    # Seconds since the gateway's own controller heard it.
    age_s: float


class GatewayList(Struct, frozen=True, array_like=True, tag=40):
    """The gateways that a controller knows of."""

    gateways: tuple[GatewayEntry, ...]


class ServerReclaimNotice(Struct, frozen=True, array_like=True, tag=41):
    """Backend servers and zones that will be reclaimed."""

    server_ids: tuple[str, ...]
    zone_ids: tuple[str, ...]
    # Rest of the notice period in seconds.
    remaining_s: float


class ReclaimNoticeEnded(Struct, frozen=True, array_like=True, tag=91):
    """A VM under notice is gone, or its notice was withdrawn."""

    vm_id: str


class HandoverRecord(Struct, frozen=True, array_like=True, tag=42):
    """A running request of a gateway that leaves, for a peer to keep."""

    request_id: str
    organisation_id: str
    route_id: str
    path: str
    body: bytes
    streamed: bool
    max_tokens: int
    # Time left until the deadline in seconds.
    deadline_s: float
    # Position in the order of the holders; 0 takes over first.
    rank: int
    # Inbox of the other holder; empty for none.
    other_holder: str
    # Rank of the sender; -1 for the gateway that accepted the request.
    sender_rank: int
    attempt: int
    # Server and stream that the events come from; empty for none.
    server_id: str
    stream_id: str
    # Offset at which that stream began.
    base_offset: int
    # All events so far; their number is the offset sent.
    payloads: tuple[bytes, ...]
    # Whether the answer is whole.
    finished: bool = False


class JobSubmitRequest(Struct, frozen=True, array_like=True, tag=50):
    """A gateway asks for a job to be recorded."""

    job_id: str
    organisation: str
    route: str
    path: str
    body: bytes
    request_fingerprint: bytes
    gateway_address: str
    hops: int = 0


class JobStatusRequest(Struct, frozen=True, array_like=True, tag=51):
    """A gateway asks for the state and the result of a job."""

    job_id: str
    organisation: str
    gateway_address: str
    hops: int = 0


class JobReply(Struct, frozen=True, array_like=True, tag=52):
    """What the home controller says of a job; ``state`` is a ``JobState``."""

    job_id: str
    state: int
    path: str = ""
    body: bytes = b""
    code: int = 0
    run_state: str = "may_have_run"
    detail: str = ""


class JobOffer(Struct, frozen=True, array_like=True, tag=53):
    """The home controller asks a gateway to run a job."""

    job_id: str
    organisation: str
    route: str
    path: str
    body: bytes
    # Tokens that an earlier gateway had generated when it fell silent.
    lost_tokens: int = 0


class JobProgress(Struct, frozen=True, array_like=True, tag=54):
    """A gateway runs a job, or gives it back."""

    job_id: str
    gateway_address: str
    # Tokens so far; of no meaning for a job that is given back.
    tokens: int
    released: bool = False
    # Whether the job was given back after it had run.
    failed: bool = False
    hops: int = 0


class JobResult(Struct, frozen=True, array_like=True, tag=55):
    """A gateway reports the end of a job; code 0 is a success."""

    job_id: str
    gateway_address: str
    body: bytes = b""
    code: int = 0
    run_state: str = ""
    detail: str = ""
    hops: int = 0


class JobAck(Struct, frozen=True, array_like=True, tag=56):
    """The result of a job is in the store."""

    job_id: str


# New message classes are added here and to the union below.
class OrganisationUse(Struct, frozen=True, array_like=True):
    """What a node has admitted of an organisation since it started."""

    organisation: str
    used: float
    # Level of the node's token bucket.
    level: float


class WindowUse(Struct, frozen=True, array_like=True):
    """Requests of an organisation that began to run in a usage window."""

    window: int
    organisation: str
    count: int


class ServerUse(Struct, frozen=True, array_like=True):
    """What a node has in flight at a backend server."""

    server_id: str
    # Prompt tokens of requests without a first event, by class of urgency.
    pending_by_class: tuple[int, ...]
    running: int


class PromptPlacement(Struct, frozen=True, array_like=True):
    """Parts of a prompt that a backend server has computed."""

    server_id: str
    # Ids and lengths in tokens.
    parts: tuple[tuple[str, int], ...]


class IncarnationWindows(Struct, frozen=True, array_like=True):
    """Counts of usage windows of a node that is gone."""

    incarnation_id: str
    windows: tuple[WindowUse, ...]


class NodeReport(Struct, frozen=True, array_like=True, tag=100):
    """What a node tells others several times a second."""

    # Names one start of the node.
    incarnation_id: str
    organisation_usage: tuple[OrganisationUse, ...] = ()
    windows: tuple[WindowUse, ...] = ()
    servers: tuple[ServerUse, ...] = ()
    # Placements since the report before.
    placements: tuple[PromptPlacement, ...] = ()
    # Prompt computing time sent to each service, in servers.
    demand: tuple[tuple[str, float], ...] = ()
    # Newest change of the store that the node has seen.
    revision: int = 0
    departed_windows: tuple[IncarnationWindows, ...] = ()
    # Time since the node started, in seconds; 0 where it is not told.
    age_s: float = 0.0


class AggregatedReport(Struct, frozen=True, array_like=True):
    """What the nodes of a zone, or of all zones, report together."""

    # Names one start of the node that added the reports up; the use of caps
    # counts from there.
    incarnation_id: str
    # Nodes whose reports are in the sums.
    node_count: int
    organisation_usage: tuple[OrganisationUse, ...] = ()
    windows: tuple[WindowUse, ...] = ()
    servers: tuple[ServerUse, ...] = ()
    demand: tuple[tuple[str, float], ...] = ()
    # Time since the node started, in seconds; 0 where it is not told.
    age_s: float = 0.0


class RelayedChange(Struct, frozen=True, array_like=True):
    """A change in the store that a head passes on."""

    key: str
    revision: int
    # Absent for a removed key.
    value: bytes | None = None
    # The value is too long for this message and has to be asked for.
    omitted: bool = False


class HeadPush(Struct, frozen=True, array_like=True, tag=101):
    """What the head of a zone tells other heads and the zone's nodes."""

    zone: str
    # Revision of the store that the head knows; 0 for none.
    revision: int
    # The changes are complete after this revision.
    since: int
    # How long changes may have gone unseen by the head, in milliseconds.
    age_ms: int
    # Time since the store last came back, in milliseconds; -1 for never.
    since_store_recovery_ms: int = -1
    changes: tuple[RelayedChange, ...] = ()
    # For other heads.
    zone_aggregate: AggregatedReport | None = None
    # For the nodes of the zone.
    fleet_aggregate: AggregatedReport | None = None


class CatchUpRequest(Struct, frozen=True, array_like=True, tag=102):
    """Asks a head for all that changed after a revision; 0 for all."""

    revision: int


class RelayedValue(Struct, frozen=True, array_like=True):
    """A key of the store; the content is compressed with zlib."""

    key: str
    revision: int
    content: bytes


class CatchUpReply(Struct, frozen=True, array_like=True, tag=103):
    """Answers a request for changes."""

    # Revision that was asked for.
    since: int
    revision: int
    age_ms: int
    values: tuple[RelayedValue, ...]
    # All keys that exist.
    keys: tuple[str, ...]


Message = (
    Ping
    | Ack
    | PingRequest
    | MemberTableDigest
    | MemberTableReply
    | GenerationNotice
    | ConfigurationRequest
    | ConfigurationReply
    | GatewayHeartbeat
    | ControllerState
    | FactNotice
    | FactDigest
    | EvidenceReport
    | CreditRequest
    | CreditGrant
    | ServerReport
    | ClaimRequest
    | ClaimReply
    | OutcomeReport
    | OutcomeAck
    | ClaimStatusRequest
    | GatewayList
    | ServerReclaimNotice
    | ReclaimNoticeEnded
    | HandoverRecord
    | JobSubmitRequest
    | JobStatusRequest
    | JobReply
    | JobOffer
    | JobProgress
    | JobResult
    | JobAck
    | NodeReport
    | HeadPush
    | CatchUpRequest
    | CatchUpReply
)

M = TypeVar("M", bound=Struct)


class Envelope(Struct, frozen=True, array_like=True):
    """What travels between two processes."""

    sender: str
    # Inbox address of the sender.
    reply_to: str
    # Number that ties a reply to its request; 0 for none.
    correlation_id: int
    body: Message


class _RawEnvelope(Struct, frozen=True, array_like=True):
    """The envelope as read when the body's kind is not known."""

    sender: str
    reply_to: str
    correlation: int
    body: Raw


_ENCODER = Encoder()
_DECODER = Decoder(Envelope)
_RAW_DECODER = Decoder(_RawEnvelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the wire form of an envelope."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Result[Envelope, str]:
    """Reads an envelope; the error says why it must be dropped."""
    try:
        return Ok(_DECODER.decode(data))
    except (DecodeError, ValidationError) as error:
        return Err(f"{_sender(data)}: {error}")


def _sender(data: bytes) -> str:
    try:
        return _RAW_DECODER.decode(data).sender
    except (DecodeError, ValidationError):
        return "unknown sender"
