"""Fetches newer configuration generations from other processes.

Controllers and gateways use it. A process that receives notice of a higher
generation requests the manifest from the sender, and then only the chunks
that it does not have. A lower generation is never put in force.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from zlib import decompressobj
from zlib import error as ZlibError

from result import Err
from xxhash import xxh3_128_hexdigest

from wasabiwing.configuration import Configuration
from wasabiwing.configuration_store import chunk_digests
from wasabiwing.configuration_store import join_configuration
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import ConfigurationChunk
from wasabiwing.messages import ConfigurationReply
from wasabiwing.messages import ConfigurationRequest
from wasabiwing.messages import Envelope
from wasabiwing.messages import GenerationNotice
from wasabiwing.ports import Transport
from wasabiwing.timers import TimerService

# A fetch is abandoned after this time without a new chunk, in seconds.
FETCH_TIMEOUT_S = 2.0

FETCH_CHECK_PERIOD_S = 0.5

# Maximum bytes of chunks in one reply; the receiver sends another request for
# the rest.
MAX_REPLY_BYTES = 1_000_000

# Largest chunk after decompression, in bytes. It bounds the memory that a
# faulty peer can make this process use.
MAX_DOCUMENT_BYTES = 16_000_000

ConfigurationListener = Callable[[int, Configuration], Awaitable[None]]


@dataclass(slots=True)
class _Fetch:
    """State of fetching one generation from one process."""

    generation: int
    digest: str
    source: str
    # Monotonic time of the last chunk, or of the first request.
    progress_at: float
    chunk_by_digest: dict[str, bytes] = field(default_factory=dict)


class ConfigurationFollower:
    """Holds and updates the configuration in force in one process."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        in_force: ConfigurationListener,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._in_force = in_force
        self.generation = 0
        self.digest = ""
        self.configuration: Configuration | None = None
        self.chunk_by_digest: dict[str, bytes] = {}
        self._fetch: _Fetch | None = None

    def register(self, router: MessageRouter) -> None:
        """Registers the message handlers and the fetch timeout."""
        router.register(GenerationNotice, self._on_notice)
        router.register(ConfigurationRequest, self._on_request)
        router.register(ConfigurationReply, self._on_reply)
        self._timer.subscribe(FETCH_CHECK_PERIOD_S, self._expire_fetch)

    def notice(self) -> GenerationNotice:
        """Returns the message that announces the generation in force."""
        return GenerationNotice(self.generation, self.digest)

    def note_peer_generation(self, address: str, generation: int) -> None:
        """Requests a peer's generation if it is higher than known."""
        fetched_generation = self._fetch.generation if self._fetch else 0
        if generation > max(self.generation, fetched_generation):
            self._transport.send(
                address, ConfigurationRequest(self.generation)
            )

    async def put_in_force(
        self,
        generation: int,
        digest: str,
        configuration: Configuration,
        chunk_by_digest: dict[str, bytes],
    ) -> None:
        """Puts a higher generation in force; a lower one is ignored."""
        if generation <= self.generation:
            return
        self.generation = generation
        self.digest = digest
        self.configuration = configuration
        self.chunk_by_digest = chunk_by_digest
        if self._fetch and self._fetch.generation <= generation:
            self._fetch = None
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            self._node_id,
            generation=generation,
            digest=digest,
        )
        await self._in_force(generation, configuration)

    async def _on_notice(
        self, envelope: Envelope, notice: GenerationNotice
    ) -> None:
        fetched_generation = self._fetch.generation if self._fetch else 0
        if notice.generation <= max(self.generation, fetched_generation):
            return
        # Most chunks of a superseded fetch are also in the newer generation.
        known = {**self.chunk_by_digest}
        if self._fetch:
            known.update(self._fetch.chunk_by_digest)
        self._fetch = _Fetch(
            notice.generation,
            notice.digest,
            envelope.reply_to,
            self._timer.now(),
            known,
        )
        await self._continue_fetch(self._fetch)

    async def _continue_fetch(self, fetch: _Fetch) -> None:
        """Requests missing chunks, or puts the generation in force."""
        if fetch.digest not in fetch.chunk_by_digest:
            self._request_chunks(fetch, (fetch.digest,))
            return
        listed_digests = chunk_digests(fetch.digest, fetch.chunk_by_digest)
        if isinstance(listed_digests, Err):
            self._abandon_fetch(fetch, listed_digests.err_value)
            return
        missing = tuple(
            digest
            for digest in listed_digests.ok_value
            if digest not in fetch.chunk_by_digest
        )
        if missing:
            self._request_chunks(fetch, missing)
            return
        joined = join_configuration(fetch.digest, fetch.chunk_by_digest)
        if isinstance(joined, Err):
            self._abandon_fetch(fetch, joined.err_value)
            return
        chunk_by_digest = {
            digest: fetch.chunk_by_digest[digest]
            for digest in (fetch.digest, *listed_digests.ok_value)
        }
        await self.put_in_force(
            fetch.generation, fetch.digest, joined.ok_value, chunk_by_digest
        )

    def _request_chunks(self, fetch: _Fetch, digests: tuple[str, ...]) -> None:
        self._transport.send(
            fetch.source, ConfigurationRequest(self.generation, digests)
        )

    def _abandon_fetch(self, fetch: _Fetch, failure: str) -> None:
        self._fetch = None
        log_event(
            Event.CONFIGURATION_REJECTED,
            self._node_id,
            generation=fetch.generation,
            failure=failure,
        )

    async def _expire_fetch(self) -> None:
        """Abandons a fetch from a silent source.

        A later notice of another process starts the fetch again.
        """
        fetch = self._fetch
        if fetch is None:
            return
        if self._timer.now() - fetch.progress_at >= FETCH_TIMEOUT_S:
            self._fetch = None

    async def _on_request(
        self, envelope: Envelope, request: ConfigurationRequest
    ) -> None:
        if not request.chunks:
            if self.generation > request.above_generation:
                self._transport.send(envelope.reply_to, self.notice())
            return
        chunks: list[ConfigurationChunk] = []
        size = 0
        for digest in request.chunks:
            data = self.chunk_by_digest.get(digest)
            if data is None:
                continue
            if chunks and size + len(data) > MAX_REPLY_BYTES:
                break
            chunks.append(ConfigurationChunk(digest, data))
            size += len(data)
        if chunks:
            reply = ConfigurationReply(
                self.generation, self.digest, tuple(chunks)
            )
            self._transport.send(envelope.reply_to, reply)
            return
        # This process has a newer generation, which the receiver should fetch.
        self._transport.send(envelope.reply_to, self.notice())

    async def _on_reply(
        self, envelope: Envelope, reply: ConfigurationReply
    ) -> None:
        fetch = self._fetch
        if fetch is None:
            return
        has_new_chunks = False
        for chunk in reply.chunks:
            known = chunk.digest in fetch.chunk_by_digest
            if not known and is_sound_chunk(chunk):
                fetch.chunk_by_digest[chunk.digest] = chunk.data
                has_new_chunks = True
        if has_new_chunks:
            fetch.progress_at = self._timer.now()
            await self._continue_fetch(fetch)


def is_sound_chunk(chunk: ConfigurationChunk) -> bool:
    """Returns whether the content of a chunk matches its digest."""
    decompressor = decompressobj()
    try:
        document = decompressor.decompress(chunk.data, MAX_DOCUMENT_BYTES)
    except ZlibError:
        return False
    return decompressor.eof and xxh3_128_hexdigest(document) == chunk.digest
