"""Ports: the interfaces through which the package uses outside systems.

Each port has one adapter module. Methods return ``Result`` values; an
adapter raises nothing but cancellation.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from result import Result

from wasabiwing.codes import Failure
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message
from wasabiwing.store_eras import StoreEras


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value of the key-value service with its revision."""

    key: str
    value: bytes
    # Revision of the last change of this key.
    revision: int


@dataclass(frozen=True, slots=True)
class SwapResult:
    """Outcome of a compare-and-swap."""

    swapped: bool
    # Revision after the swap, or of the current value.
    revision: int
    # The value with another revision; ``None`` if it was swapped or the key
    # does not exist.
    current: StoredValue | None = None


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the key-value service."""

    id: int
    # Remaining lifetime in seconds when the reply was made.
    ttl_s: float


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change that a watch reports; ``value`` is ``None`` for a deletion."""

    key: str
    revision: int
    value: bytes | None


class LeaseStore(Protocol):
    """Single keys and leases of the key-value service."""

    async def get(self, key: str) -> Result[StoredValue | None, Failure]:
        """Reads one key."""

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> Result[SwapResult, Failure]:
        """Writes a key if its revision is still the expected one.

        Revision 0 means that the key must not exist. ``STORE_REPLY_LOST``
        says that the write may have happened; ``STORE_UNAVAILABLE`` says
        that it has not.
        """

    async def delete(
        self, key: str, expected_revision: int
    ) -> Result[SwapResult, Failure]:
        """Deletes a key if its revision is still the expected one."""

    async def grant_lease(self, ttl_s: float) -> Result[Lease, Failure]:
        """Creates a lease."""

    async def keep_alive(self, lease_id: int) -> Result[Lease, Failure]:
        """Extends a lease; ``LEASE_LOST`` when it has expired."""


class ConfigStore(LeaseStore, Protocol):
    """The platform's key-value service with streaming watches."""

    async def list_prefix(
        self, prefix: str
    ) -> Result[tuple[StoredValue, ...], Failure]:
        """Reads all keys with a prefix, in order."""

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """Ends a lease; its keys are deleted."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> AbstractAsyncContextManager[
        AsyncIterator[Result[WatchEvent, Failure]]
    ]:
        """Follows changes of all keys with a prefix.

        The iterator ends after its first failure.
        """


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """All values below a prefix, and the revision to follow changes from."""

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """Changes in order, and the revision to continue from."""

    events: tuple[WatchEvent, ...]
    revision: int


class LongPollStore(LeaseStore, Protocol):
    """A key-value service whose changes are read by long polls.

    All its revisions are positions of ``store_eras``, so that they rise over
    restores.
    """

    @property
    def eras(self) -> StoreEras:
        """The eras of the store that its answers have named."""

    async def snapshot(self, prefix: str) -> Result[StoreSnapshot, Failure]:
        """Reads all keys with a prefix."""

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[StoreChanges, Failure]:
        """Waits up to ``wait_s`` seconds for changes after a revision.

        ``STORE_HISTORY_GONE`` says that a new snapshot is needed.
        """


class Transport(Protocol):
    """Messages between wasabiwing processes; delivery is at most once."""

    @property
    def address(self) -> str:
        """Inbox address of this process, with its actual port."""

    def send(
        self, address: str, message: Message, correlation_id: int = 0
    ) -> None:
        """Queues a message; the oldest is dropped when the queue is full."""

    async def receive(self) -> Envelope:
        """Returns the next message from the inbox."""


@dataclass(frozen=True, slots=True)
class Member:
    """A live controller."""

    node_id: str
    # Inbox address, as tcp://host:port.
    address: str
    availability_zone: str
    region: str


class MemberView(Protocol):
    """The membership as other modules of a controller read it."""

    @property
    def own(self) -> Member:
        """This controller."""

    def live(self) -> tuple[Member, ...]:
        """All controllers that count as alive and this one, by node id."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Calls ``changed`` after each change of the live members."""


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole HTTP answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    # Whether the sender stated where the body ends.
    states_end: bool = True
    # Whether the sender had accepted the whole request, if it did not.
    took_request: bool = True


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A model request as sent to an engine."""

    request_id: str
    attempt: int
    # Path of the OpenAI-compatible API.
    path: str
    body: bytes
    # Lower numbers are served first.
    priority: int
    # Time left until the deadline, in milliseconds.
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache.

    Digests are those of ``wasabiwing.prefix_index.block_digests``.
    """

    # Rises by one with each event of an engine, from 1.
    number: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    # Changes when the engine restarts with an empty cache.
    life: int = 0


class EngineStream(Protocol):
    """A streamed answer of a model engine."""

    # The engine's id of the stream, for resuming and cancelling.
    stream_id: str
    # Request and attempt that the engine states to answer; empty and
    # ``None`` if it states none.
    request_id: str
    attempt: int | None

    def chunks(self) -> AsyncIterator[Result[bytes, Failure]]:
        """Yields raw server-sent event bytes; ends after a failure."""


@dataclass(frozen=True, slots=True)
class CacheExport:
    """A stream's KV cache, ready to be moved to another engine."""

    # Opaque description that the importing engine understands.
    state: bytes
    # The exporting engine's estimate of the transfer time, in seconds.
    transfer_s: float


class ModelEngine(Protocol):
    """A model engine, reached by its address."""

    def open_stream(
        self, address: str, request: EngineRequest
    ) -> AbstractAsyncContextManager[Result[EngineStream, Failure]]:
        """Starts a streamed request; leaving the context closes it."""

    def resume_stream(
        self, address: str, stream_id: str, last_event_id: int
    ) -> AbstractAsyncContextManager[Result[EngineStream, Failure]]:
        """Continues a stream after the event ``last_event_id``."""

    async def complete(
        self, address: str, request: EngineRequest
    ) -> Result[HttpReply, Failure]:
        """Runs a request and returns its whole answer."""

    async def cancel(
        self, address: str, stream_id: str
    ) -> Result[None, Failure]:
        """Cancels a stream."""

    async def set_priority(
        self, address: str, stream_id: str, priority: int
    ) -> Result[None, Failure]:
        """Changes the priority of a running stream."""

    async def cache_events(
        self, address: str, after: int
    ) -> Result[tuple[CacheEvent, ...], Failure]:
        """Returns events with numbers above ``after``; some may be missing."""

    async def export_cache(
        self, address: str, stream_id: str
    ) -> Result[CacheExport, Failure]:
        """Pauses a stream and offers its KV cache to other engines."""

    async def import_cache(
        self, address: str, export: CacheExport, timeout_s: float
    ) -> Result[str, Failure]:
        """Fetches a KV cache; returns the id of the continued stream.

        The stream keeps its event numbers.
        """


class PlainService(Protocol):
    """A plain HTTP service, reached by its address."""

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        may_send: Callable[[], bool] | None = None,
    ) -> Result[HttpReply, Failure]:
        """Sends one request.

        ``may_send`` is called right before the first byte is sent; if it
        returns ``False``, the failure is ``DISPATCH_WINDOW_MISSED``.

        The failure's run state is ``not_run`` only if no byte was sent or the
        service states that the request did not run.
        """

    async def keeps_connection(self, address: str) -> bool:
        """Whether a service's process outlives an answer that just ended.

        Another connection to ``address`` shows it; ``False`` if none does.
        """


@dataclass(frozen=True, slots=True)
class VmInfo:
    """A VM in the cloud's list, which lags behind the cloud's state."""

    id: str
    availability_zone: str
    machine_class: str
    reclaimable: bool
    # ``running``, ``leaving`` or ``ended``.
    state: str
    # ``host:port`` of the process that the VM serves; empty until known.
    address: str
    tags: dict[str, str]


@dataclass(frozen=True, slots=True)
class VmRequest:
    """A request to start a VM."""

    # Repeating a start with the same token returns the same VM.
    client_token: str
    availability_zone: str
    machine_class: str
    reclaimable: bool
    tags: dict[str, str]


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """A notice that the platform will reclaim a VM."""

    vm_id: str
    # Seconds until the reclaim when the reply was made.
    remaining_s: float


class Cloud(Protocol):
    """The cloud API."""

    async def start_vm(self, request: VmRequest) -> Result[VmInfo, Failure]:
        """Starts a VM.

        ``CLOUD_REFUSED`` says that none was started; after
        ``CLOUD_UNAVAILABLE`` one may have been, and the call is repeated
        with the same token.
        """

    async def stop_vm(self, vm_id: str) -> Result[None, Failure]:
        """Ends a VM."""

    async def list_vms(self) -> Result[tuple[VmInfo, ...], Failure]:
        """Lists the VMs; recent changes may be missing."""

    async def notices(self) -> Result[tuple[ReclaimNotice, ...], Failure]:
        """Lists the VMs that will be reclaimed."""


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def reserve(
        self, weights: str, server_id: str
    ) -> Result[None, Failure]:
        """Asks for the right to load weights now.

        ``WEIGHT_STORE_UNAVAILABLE`` carries the time to wait.
        """


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """A control command to a model engine."""

    # ``load`` or ``role``.
    kind: str
    version: str
    weights: str
    adapters: tuple[str, ...]
    role: str
    # Fencing number; engines that check it reject smaller ones.
    number: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that a model engine reports."""

    version: str
    role: str
    ready: bool


class EngineControl(Protocol):
    """The control interface of model engines."""

    async def order(
        self, address: str, order: EngineOrder, timeout_s: float
    ) -> Result[None, Failure]:
        """Sends an order; ``ORDER_FENCED`` when its number is too old."""

    async def state(self, address: str) -> Result[EngineState, Failure]:
        """Reads the state that the engine reports."""
