"""Registry and codec of all messages between wasabiwing processes.

Every message is a frozen record with a tag number for its type. A record is
encoded as a msgpack array of its tag and fields. Consecutive releases can
exchange messages because new fields are added at the end and have defaults,
unknown trailing fields are ignored, and the receiver drops a message with an
unknown tag.
"""

from enum import IntEnum
from enum import unique
from typing import TypeVar

from msgspec import Raw
from msgspec import Struct
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder
from result import Err
from result import Ok
from result import Result

from wasabiwing.decoding import UNDECODABLE


class MemberUpdate(Struct, frozen=True, array_like=True):
    """The state of a member as one node knows it.

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
    """Carries the sender's whole member table."""

    updates: tuple[MemberUpdate, ...]
    # Whether the receiver must reply with its own table.
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


class GatewayHello(Struct, frozen=True, array_like=True, tag=30):
    """A gateway's periodic report to the controller on its VM."""

    # Inbox of the gateway.
    address: str
    availability_zone: str
    # Configuration generation in force at the gateway.
    generation: int = 0
    # Address for callers, as host:port.
    http_address: str = ""
    # Whether the gateway is stopping.
    leaving: bool = False


class ControllerState(Struct, frozen=True, array_like=True, tag=31):
    """A controller's periodic report to the gateways on its VM."""

    # Whether the store or any peer has answered the node recently.
    connected: bool
    generation: int
    # Whether the VM is leaving and must take no new work.
    leaving: bool = False


class Fact(Struct, frozen=True, array_like=True):
    """A fact about a key, gossiped between nodes.

    Of two facts of one kind about one key, the one with the larger epoch is
    valid; if the epochs are equal, the one with the larger value.
    """

    kind: str
    key: str
    value: str
    epoch: int
    # Remaining lifetime in seconds; 0 for no limit.
    remaining_s: float = 0.0


class FactNotice(Struct, frozen=True, array_like=True, tag=80):
    """Carries facts that the sender knows."""

    facts: tuple[Fact, ...]


class FactDigest(Struct, frozen=True, array_like=True, tag=81):
    """Asks a peer for its facts if they differ."""

    digest: int


class EvidenceEntry(Struct, frozen=True, array_like=True):
    """Counts of outcomes of one version on one route at one load level."""

    version: str
    route: str
    load: int
    failures: int
    # Successes without a usable latency.
    untimed_successes: int
    # Milliseconds to the first token of the other successes.
    first_token_ms: tuple[int, ...] = ()


class EvidenceReport(Struct, frozen=True, array_like=True, tag=90):
    """Outcomes of one gateway for a pool with a rollout since its last report.

    The gateway sends it to the controller on its VM, which forwards it to the
    pool's home controller.
    """

    pool: str
    entries: tuple[EvidenceEntry, ...]


class CreditUse(Struct, frozen=True, array_like=True):
    """A gateway's use of slots and demand for slots at one backend server."""

    server_id: str
    in_flight: int
    # Number of requests that wait for a slot.
    waiting: int
    # Sequence number of the credit request whose grant the gateway holds; 0
    # for none.
    held_sequence: int = 0
    # Number of credits in that grant; 0 if it has expired.
    held_credits: int = 0
    # Numbers of outcomes since the last report.
    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    # Mean latency of the successes, in milliseconds.
    latency_ms: float = 0.0


class CreditRequest(Struct, frozen=True, array_like=True, tag=70):
    """Asks for a renewal of a gateway's slot credits."""

    # Node id of the gateway.
    gateway: str
    # Inbox of the gateway, to which grants are sent.
    address: str
    # Differs between two runs of the same gateway.
    incarnation: int
    # Increases with each request of this incarnation.
    sequence: int
    # Sequence number of the oldest request whose grant the gateway may still
    # use.
    min_usable_sequence: int
    uses: tuple[CreditUse, ...]
    # Whether a controller has forwarded the request to the home controller.
    forwarded: bool = False


class Credit(Struct, frozen=True, array_like=True):
    """Number of requests that a gateway may have in flight at one server."""

    server_id: str
    count: int


class CreditGrant(Struct, frozen=True, array_like=True, tag=71):
    """Answers a credit request."""

    incarnation: int
    # Sequence number of the request that is answered.
    sequence: int
    # Validity of the credits, counted from the time at which the request was
    # sent.
    lifetime_ms: int
    credits: tuple[Credit, ...]


class ServerState(Struct, frozen=True, array_like=True):
    """The state of one backend server as its home controller knows it."""

    server_id: str
    # Concurrency limit of the server over all gateways.
    limit: int
    cold: bool
    # Number of requests that the server reported as running.
    running: int
    leaving: bool = False


class ServerReport(Struct, frozen=True, array_like=True, tag=72):
    """A home controller's report of servers whose state has changed."""

    servers: tuple[ServerState, ...]


@unique
class ClaimState(IntEnum):
    """States of a claim, in the journal and in replies."""

    GRANTED = 0
    FINISHED = 1
    UNKNOWN = 2
    # Released by its gateway, because the request was not sent.
    RELEASED = 3
    # The following states occur in replies only.
    RUNNING = 4
    REUSED = 5
    REFUSED = 6


class ClaimRequest(Struct, frozen=True, array_like=True, tag=60):
    """Asks for the right of a gateway to send a non-idempotent request."""

    request_id: str
    organisation: str
    key: str
    request_fingerprint: bytes
    # Node id of the gateway that will send the request, and its inbox.
    gateway: str
    gateway_address: str
    # Time after which a missing outcome counts as unknown, in seconds.
    outcome_timeout_s: float
    # Whether to look the key up without granting a claim. The reply for a free
    # key then has the state ``RELEASED``.
    lookup_only: bool = False
    # How often the message has been forwarded by a controller.
    hops: int = 0


class ClaimReply(Struct, frozen=True, array_like=True, tag=61):
    """The home controller's answer about the claim of a key."""

    # Request that asked for the claim.
    request_id: str
    state: ClaimState
    # Request that holds the claim.
    holder_request_id: str = ""
    # Recorded answer of a finished request.
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    truncated: bool = False
    # Result code and run state of a refusal.
    code: int = 0
    run_state: str = "may_have_run"
    detail: str = ""


class OutcomeReport(Struct, frozen=True, array_like=True, tag=62):
    """Reports the outcome of a request that holds a claim."""

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
    """Acknowledges that the outcome of a request is in the journal."""

    request_id: str


class ClaimStatusRequest(Struct, frozen=True, array_like=True, tag=64):
    """Asks for the claim that an earlier request holds or held."""

    request_id: str
    organisation: str
    partition: int
    gateway_address: str
    hops: int = 0


class GatewayEntry(Struct, frozen=True, array_like=True):
    """An entry of the gateway directory."""

    node_id: str
    # Inbox of the gateway, as tcp://host:port.
    address: str
    # Address for callers, as host:port.
    http_address: str
    availability_zone: str
    leaving: bool
    # Seconds since the last heartbeat of the gateway to its own controller.
    age_s: float


class GatewayList(Struct, frozen=True, array_like=True, tag=40):
    """Carries the gateways that a controller knows."""

    gateways: tuple[GatewayEntry, ...]


class ServerNotice(Struct, frozen=True, array_like=True, tag=41):
    """Announces that backend servers and zones will be reclaimed."""

    server_ids: tuple[str, ...]
    zone_ids: tuple[str, ...]
    # Remaining notice period in seconds.
    remaining_s: float


class NoticeEnded(Struct, frozen=True, array_like=True, tag=91):
    """Announces that a VM under notice is gone or its notice was withdrawn."""

    vm_id: str


class RequestRecord(Struct, frozen=True, array_like=True, tag=42):
    """A running request of a leaving gateway, sent to a peer that holds it."""

    request_id: str
    organisation_id: str
    route_id: str
    path: str
    body: bytes
    streamed: bool
    max_tokens: int
    # Remaining time until the deadline, in seconds.
    deadline_s: float
    # Rank of the receiver among the holders; the holder with rank 0 takes over
    # first.
    rank: int
    # Inbox of the other holder; empty for none.
    other_holder: str
    # Rank of the sender; -1 for the gateway that accepted the request.
    sender_rank: int
    attempt: int
    # Server and engine stream that the events come from; empty for none.
    server_id: str
    stream_id: str
    # Offset in the answer at which that stream began.
    base_offset: int
    # All events of the answer so far; their number is the current offset.
    payloads: tuple[bytes, ...]
    # Whether the answer is complete.
    finished: bool = False


class JobSubmit(Struct, frozen=True, array_like=True, tag=50):
    """Asks the home controller to store a job."""

    job_id: str
    organisation: str
    route: str
    path: str
    body: bytes
    request_fingerprint: bytes
    gateway_address: str
    hops: int = 0


class JobStatusRequest(Struct, frozen=True, array_like=True, tag=51):
    """Asks the home controller for the state and result of a job."""

    job_id: str
    organisation: str
    gateway_address: str
    hops: int = 0


class JobReply(Struct, frozen=True, array_like=True, tag=52):
    """The home controller's answer about a job."""

    job_id: str
    # Number of a ``JobState``.
    state: int
    # Path of the request.
    path: str = ""
    # Body of the result; empty without a result.
    body: bytes = b""
    # Result code, run state and detail of a failure.
    code: int = 0
    run_state: str = "may_have_run"
    detail: str = ""


class JobOffer(Struct, frozen=True, array_like=True, tag=53):
    """The home controller's offer of a pending job to a gateway."""

    job_id: str
    organisation: str
    route: str
    path: str
    body: bytes
    # Number of tokens that an earlier gateway had generated when its progress
    # reports ended.
    lost_tokens: int = 0


class JobProgress(Struct, frozen=True, array_like=True, tag=54):
    """A gateway's report that it runs a job or has released it."""

    job_id: str
    gateway_address: str
    # Number of tokens generated so far; not used for a released job.
    tokens: int
    released: bool = False
    # Whether the job was released after it may have run.
    failed: bool = False
    hops: int = 0


class JobResult(Struct, frozen=True, array_like=True, tag=55):
    """A gateway's report of the end of a job; code 0 means success."""

    job_id: str
    gateway_address: str
    body: bytes = b""
    code: int = 0
    run_state: str = ""
    detail: str = ""
    hops: int = 0


class JobAck(Struct, frozen=True, array_like=True, tag=56):
    """Acknowledges that the result of a job is in the store."""

    job_id: str


# New message classes are added here and to the union below.
class OrganisationUsage(Struct, frozen=True, array_like=True):
    """Usage of an organisation that a node has admitted since its start."""

    organisation: str
    used: float
    # Level of the node's token bucket for the organisation.
    level: float


class WindowUsage(Struct, frozen=True, array_like=True):
    """Number of an organisation's requests that started in a usage window."""

    window: int
    organisation: str
    count: int


class ServerLoadEntry(Struct, frozen=True, array_like=True):
    """A node's requests in flight at a backend server."""

    server_id: str
    # Prompt tokens of the requests without a first event, by urgency; without
    # zeros at the end.
    pending_by_urgency: tuple[int, ...]
    # Number of requests in flight.
    running: int


class FirstEventEntry(Struct, frozen=True, array_like=True):
    """Recent first events of a server in its slow start."""

    server_id: str
    in_time: int
    # Late first events, and attempts that failed.
    troubled: int


class PromptPlacement(Struct, frozen=True, array_like=True):
    """Parts of a prompt that a backend server has computed."""

    server_id: str
    # Id and length in tokens of each part.
    parts: tuple[tuple[str, int], ...]


class IncarnationWindows(Struct, frozen=True, array_like=True):
    """Usage window counts of a node's incarnation that no longer reports."""

    incarnation_id: str
    windows: tuple[WindowUsage, ...]


class OrderedServers(Struct, frozen=True, array_like=True):
    """A holder's newest order for servers of one kind in a zone."""

    service: str
    zone: str
    reclaimable: bool
    # Number of servers that the zone should have.
    count: int
    # Servers that were registered when the order was sent.
    present: int
    # Fencing number of the holder.
    fence: int
    # Time since the order was sent, in seconds.
    age_s: float


class NodeReport(Struct, frozen=True, array_like=True, tag=100):
    """A node's report to other nodes, sent several times a second."""

    # Identifies one start of the node.
    incarnation_id: str
    organisation_usage: tuple[OrganisationUsage, ...] = ()
    windows: tuple[WindowUsage, ...] = ()
    servers: tuple[ServerLoadEntry, ...] = ()
    # Prompt placements since the previous report.
    placements: tuple[PromptPlacement, ...] = ()
    # Demand for prompt computation by service, in servers.
    demand: tuple[tuple[str, float], ...] = ()
    # Revision of the newest store change that the node has seen.
    revision: int = 0
    # Usage window counts of incarnations that no longer report.
    departed_windows: tuple[IncarnationWindows, ...] = ()
    # Time since the node started, in seconds; 0 if it is not reported.
    age_s: float = 0.0
    # Era of the store to which ``revision`` belongs; so in all messages.
    store_era: int = 0
    first_events: tuple[FirstEventEntry, ...] = ()
    # Server orders that this node has sent as holder of the duties.
    orders: tuple[OrderedServers, ...] = ()


class AggregatedReport(Struct, frozen=True, array_like=True):
    """The sum of the reports of a zone's nodes, or of all nodes."""

    # Identifies one start of the node that aggregated the reports. The
    # organisations' usage is counted from that start.
    incarnation_id: str
    # Number of nodes whose reports are aggregated.
    node_count: int
    organisation_usage: tuple[OrganisationUsage, ...] = ()
    windows: tuple[WindowUsage, ...] = ()
    servers: tuple[ServerLoadEntry, ...] = ()
    demand: tuple[tuple[str, float], ...] = ()
    # Time since that node started, in seconds; 0 if it is not reported.
    age_s: float = 0.0


class RelayedChange(Struct, frozen=True, array_like=True):
    """A change in the store that a zone head relays."""

    key: str
    revision: int
    # ``None`` for a removed key.
    value: bytes | None = None
    # Whether the value is too long for this message and must be requested.
    omitted: bool = False


class HeadPush(Struct, frozen=True, array_like=True, tag=101):
    """Newest state of the store, sent by zone heads and their stand-ins."""

    zone: str
    # Newest revision of the store that the head knows; 0 for none.
    revision: int
    # ``changes`` contains all changes after this revision.
    since: int
    # Age of the head's copy of the store, in milliseconds. The copy may lack
    # changes that were made since.
    age_ms: int
    # Time since the store last recovered, in milliseconds; -1 for never.
    since_store_recovery_ms: int = -1
    changes: tuple[RelayedChange, ...] = ()
    # Sent to other zone heads.
    zone_aggregate: AggregatedReport | None = None
    # Sent to the nodes of the zone.
    fleet_aggregate: AggregatedReport | None = None
    store_era: int = 0
    # The node of the sender's zone that read the store last, and how long
    # ago, in milliseconds; -1 for never.
    zone_reader: str = ""
    zone_read_age_ms: int = -1
    # Sums over the zone's nodes beside ``zone_aggregate``, and over all nodes
    # beside ``fleet_aggregate``.
    first_events: tuple[FirstEventEntry, ...] = ()
    # Sent to other zone heads, as in ``NodeReport``.
    orders: tuple[OrderedServers, ...] = ()


class FleetRequest(Struct, frozen=True, array_like=True, tag=102):
    """Asks a zone head for all changes after a revision; 0 for all keys."""

    revision: int
    store_era: int = 0


class RelayedValue(Struct, frozen=True, array_like=True):
    """A key of the store and its value."""

    key: str
    revision: int
    # The value, compressed with zlib.
    content: bytes


class FleetContent(Struct, frozen=True, array_like=True, tag=103):
    """Answers a catch-up request."""

    # Revision after which changes were requested.
    since: int
    # Newest revision that the sender knows.
    revision: int
    # Age of the sender's copy of the store, in milliseconds.
    age_ms: int
    values: tuple[RelayedValue, ...]
    # All keys that exist in the store.
    keys: tuple[str, ...]
    store_era: int = 0


# Version in a request for any configuration.
NO_VERSION = -1


class NewerConfigurationRequest(Struct, frozen=True, array_like=True, tag=104):
    """Asks for a configuration after a version; -1 for any."""

    version: int


class NewerConfiguration(Struct, frozen=True, array_like=True, tag=105):
    """Carries the configuration that the sender has in force."""

    # Key of the configuration in the store.
    key: str
    # The document, compressed with zlib.
    content: bytes


class PermitRequest(Struct, frozen=True, array_like=True, tag=110):
    """Asks for permits to send requests to servers that limit their rate."""

    service: str
    # Ids of the limited servers, the preferred one first, with their limits
    # in requests per second.
    limits: tuple[tuple[str, float], ...]
    # Number of requests that wait for a permit, the lowest urgency number
    # among them, and the seconds for which they may wait.
    waiting: int
    urgency: int
    wait_s: float
    # Number of requests that the sender expects soon.
    expected: int = 0
    # Unused permits that the sender gives back, by server id.
    returned: tuple[tuple[str, int], ...] = ()


class PermitGrant(Struct, frozen=True, array_like=True, tag=111):
    """Answers a request for permits."""

    service: str
    # Number of granted permits by server id.
    granted: tuple[tuple[str, int], ...]
    # Estimated seconds until a permit for the next waiting request, and the
    # seconds after which a refused caller should return; 0 if none was
    # missing.
    wait_s: float = 0.0
    return_s: float = 0.0


class SlotRequest(Struct, frozen=True, array_like=True, tag=112):
    """Asks for a slot of a brittle server for one request."""

    service: str
    request_id: str
    # Ids of the brittle servers, the preferred one first, with the number of
    # their slots and of the requests that they can refuse in a second.
    servers: tuple[tuple[str, int, int], ...]
    urgency: int
    # Seconds for which the request may wait, and for which its process has
    # known of brittle servers of the service.
    wait_s: float
    known_s: float = 0.0


class SlotGrant(Struct, frozen=True, array_like=True, tag=113):
    """Answers a request for a slot."""

    service: str
    request_id: str
    # Server whose slot is granted; empty if none is.
    server_id: str = ""
    # Seconds after which a refused caller should return; 0 if the request
    # has a place in the queue.
    return_s: float = 0.0


class SlotEnded(Struct, frozen=True, array_like=True, tag=114):
    """States that a request has left the slot of a brittle server."""

    service: str
    server_id: str
    request_id: str
    # Whether the server refused the request.
    refused: bool = False
    # Slots of the server, and requests that it can refuse in a second.
    slots: int = 1
    max_refusals: int = 0


class SlotReport(Struct, frozen=True, array_like=True, tag=115):
    """States which requests of the sender are at brittle servers."""

    service: str
    # Ids of the requests by server id.
    running: tuple[tuple[str, tuple[str, ...]], ...]


class OrganisationCap(Struct, frozen=True, array_like=True):
    """The usage cap of an organisation."""

    organisation: str
    # Version of the configuration that the cap is from.
    version: int
    rate_per_s: float
    burst: float


class CapRequest(Struct, frozen=True, array_like=True, tag=116):
    """Asks to admit a request by its organisation's usage cap."""

    cap: OrganisationCap
    # Cost of the request, in the cap's unit.
    cost: float


class CapDecision(Struct, frozen=True, array_like=True, tag=117):
    """Answers a request for admission by a usage cap."""

    organisation: str
    cost: float
    admitted: bool
    # Seconds until the cap admits a request again, and after which the caller
    # should return; 0 if the request is admitted.
    wait_s: float = 0.0
    return_s: float = 0.0
    # Level of the organisation's bucket, in the cap's unit.
    level: float = 0.0
    # Whether the sender has started so recently that another process may know
    # more.
    is_young: bool = False


class CapSpent(Struct, frozen=True, array_like=True):
    """Usage of an organisation that a node admitted by itself."""

    cap: OrganisationCap
    # Usage, less refunds that came soon, in the cap's unit.
    amount: float
    # Refunds that came late, in the cap's unit.
    late_refund: float = 0.0


class CapSpending(Struct, frozen=True, array_like=True, tag=118):
    """States what the sender admitted without the receiver's decision."""

    uses: tuple[CapSpent, ...]
    # Number of this start of the sender, and the totals of amounts and late
    # refunds since then that belong to ``uses``; 0 and empty for a build
    # that states none.
    start: int = 0
    totals: tuple[tuple[int, int], ...] = ()


class StatedSpeed(Struct, frozen=True, array_like=True):
    """The speed that a backend server has stated."""

    server_id: str
    # Time for a piece of work, in percent of the usual time.
    percent: int
    # Time for which the statement does not lose weight, in milliseconds.
    held_ms: int = 0


class SpeedNotice(Struct, frozen=True, array_like=True, tag=130):
    """Tells that backend servers have stated another speed."""

    speeds: tuple[StatedSpeed, ...]


class LinkState(Struct, frozen=True, array_like=True, tag=120):
    """Carries acknowledgements of a process that has nothing else to send."""

    # Whether the receiver is to acknowledge it.
    is_probe: bool = False


class ServerFirstEvents(Struct, frozen=True, array_like=True):
    """Lateness of the first events that a node got from a server."""

    server_id: str
    count: int
    # Sum of the logarithms of observed over predicted times, in hundredths.
    log_sum: int


class FirstEventReport(Struct, frozen=True, array_like=True, tag=131):
    """Reports first events since the last report to the servers' collector."""

    events: tuple[ServerFirstEvents, ...]


class LearnedSpeed(Struct, frozen=True, array_like=True):
    """The speed of a backend server that follows from its first events."""

    server_id: str
    # Time for a piece of work, in percent of that of other servers.
    percent: int


class LearnedSpeedNotice(Struct, frozen=True, array_like=True, tag=132):
    """Tells which backend servers are slower or faster than others."""

    speeds: tuple[LearnedSpeed, ...]


Message = (
    Ping
    | Ack
    | PingRequest
    | MemberTableDigest
    | MemberTableReply
    | GenerationNotice
    | ConfigurationRequest
    | ConfigurationReply
    | GatewayHello
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
    | ServerNotice
    | NoticeEnded
    | RequestRecord
    | JobSubmit
    | JobStatusRequest
    | JobReply
    | JobOffer
    | JobProgress
    | JobResult
    | JobAck
    | NodeReport
    | HeadPush
    | FleetRequest
    | FleetContent
    | NewerConfigurationRequest
    | NewerConfiguration
    | PermitRequest
    | PermitGrant
    | SlotRequest
    | SlotGrant
    | SlotEnded
    | SlotReport
    | CapRequest
    | CapDecision
    | CapSpending
    | SpeedNotice
    | LinkState
    | FirstEventReport
    | LearnedSpeedNotice
)

M = TypeVar("M", bound=Struct)


class Envelope(Struct, frozen=True, array_like=True):
    """A message with its sender, as sent between two processes."""

    # Node id of the sender.
    sender: str
    # Inbox address of the sender.
    reply_to: str
    # Number that matches a reply to its request; 0 for none.
    correlation_id: int
    body: Message
    # Number of the sender's connection on which this is sent; 0 from a build
    # that acknowledges nothing.
    link: int = 0
    # Number of the receiver's connection on which the sender has heard
    # something since its last message to the receiver; 0 for nothing.
    heard_link: int = 0
    # Whether the sender's messages to the receiver stay unacknowledged.
    is_unheard: bool = False


class _RawEnvelope(Struct, frozen=True, array_like=True):
    """An envelope whose body is left encoded."""

    sender: str
    reply_to: str
    correlation: int
    body: Raw


_ENCODER = Encoder()
_DECODER = Decoder(Envelope)
_RAW_DECODER = Decoder(_RawEnvelope)

# The encoded defaults of ``link``, ``heard_link`` and ``is_unheard``.
_NO_LINK_STATE = b"\x00\x00\xc2"


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes an envelope for sending."""
    return _ENCODER.encode(envelope)


def with_link_state(
    data: bytes, link: int, heard_link: int, is_unheard: bool
) -> bytes:
    """Sets the last fields of an encoded envelope that has their defaults."""
    return data[: -len(_NO_LINK_STATE)] + b"".join(
        (
            _ENCODER.encode(link),
            _ENCODER.encode(heard_link),
            _ENCODER.encode(is_unheard),
        )
    )


def decode_envelope(data: bytes) -> Result[Envelope, str]:
    """Decodes an envelope; the error says why it must be dropped."""
    try:
        return Ok(_DECODER.decode(data))
    except UNDECODABLE as error:
        return Err(f"{_decode_sender(data)}: {error}")


def _decode_sender(data: bytes) -> str:
    try:
        return _RAW_DECODER.decode(data).sender
    except UNDECODABLE:
        return "unknown sender"
