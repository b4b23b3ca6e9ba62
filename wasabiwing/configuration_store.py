"""Stores the configuration in the key-value service and reads it back.

The file is split into content-addressed chunks, so that a change of one
backend server rewrites and transfers only a small part. The root record names
the manifest chunk and is replaced by compare-and-swap, which puts the whole
file in force atomically.
"""

from collections.abc import Container
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import TypeVar
from zlib import compress
from zlib import decompress
from zlib import error as ZlibError

from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result
from xxhash import xxh3_128_hexdigest
from xxhash import xxh64_intdigest

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Configuration
from wasabiwing.configuration import encode_configuration
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.ports import ConfigStore
from wasabiwing.ports import SwapResult

T = TypeVar("T")

ROOT_KEY = "/wasabiwing/config/root"
CHUNK_PREFIX = "/wasabiwing/config/chunk/"

# The store holds values of up to a megabyte; this leaves room for encoding.
MAX_CHUNK_BYTES = 700_000

# Backend servers of a pool are spread over buckets of about this size; each
# bucket is one chunk of a few kilobytes.
SERVERS_PER_BUCKET = 64


@dataclass(frozen=True, slots=True)
class Root:
    """The root record, which names the configuration in force."""

    generation: int
    # Digest of the manifest chunk.
    digest: str
    # Unique id of the apply operation that wrote this record.
    apply_id: str


@dataclass(frozen=True, slots=True)
class StoredRoot:
    """The root record with its revision in the store."""

    root: Root
    revision: int


@dataclass(frozen=True, slots=True)
class Manifest:
    """Lists the chunks of one configuration."""

    header: str
    # Bucket digests for each pool, in the order of the pools.
    buckets_by_pool: dict[str, tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class ChunkedConfiguration:
    """A configuration split into chunks, as they are stored."""

    # Digest of the manifest, which is one of the chunks.
    digest: str
    chunk_by_digest: dict[str, bytes]


def split_configuration(configuration: Configuration) -> ChunkedConfiguration:
    """Splits a configuration into compressed chunks."""
    chunk_by_digest: dict[str, bytes] = {}

    def add(document: bytes) -> str:
        digest = xxh3_128_hexdigest(document)
        chunk_by_digest[digest] = compress(document)
        return digest

    buckets_by_pool = {
        pool.id: tuple(
            add(encode(bucket)) for bucket in _buckets(pool.servers)
        )
        for pool in configuration.pools
    }
    stripped_pools = tuple(
        replace(pool, servers=()) for pool in configuration.pools
    )
    stripped = replace(configuration, pools=stripped_pools)
    manifest = Manifest(add(encode_configuration(stripped)), buckets_by_pool)
    digest = add(encode(manifest, order="deterministic"))
    return ChunkedConfiguration(digest, chunk_by_digest)


def chunk_digests(
    digest: str, chunk_by_digest: Mapping[str, bytes]
) -> Result[tuple[str, ...], str]:
    """Returns the digests of the chunks that a manifest lists."""
    read = _read_chunk(chunk_by_digest, digest, Manifest)
    if isinstance(read, Err):
        return read
    manifest = read.ok_value
    return Ok(
        (
            manifest.header,
            *(
                bucket
                for buckets in manifest.buckets_by_pool.values()
                for bucket in buckets
            ),
        )
    )


def join_configuration(
    digest: str, chunk_by_digest: Mapping[str, bytes]
) -> Result[Configuration, str]:
    """Joins chunks to a configuration; the error names the bad chunk."""
    read = _read_chunk(chunk_by_digest, digest, Manifest)
    if isinstance(read, Err):
        return read
    manifest = read.ok_value
    header = _read_chunk(chunk_by_digest, manifest.header, Configuration)
    if isinstance(header, Err):
        return header
    pools = []
    for pool in header.ok_value.pools:
        servers: list[BackendServer] = []
        for bucket in manifest.buckets_by_pool.get(pool.id, ()):
            part = _read_chunk(
                chunk_by_digest, bucket, tuple[BackendServer, ...]
            )
            if isinstance(part, Err):
                return part
            servers.extend(part.ok_value)
        servers.sort(key=lambda server: server.id)
        pools.append(replace(pool, servers=tuple(servers)))
    return Ok(replace(header.ok_value, pools=tuple(pools)))


async def read_root(
    store: ConfigStore,
) -> Result[StoredRoot | None, Failure]:
    """Reads the root record; ``None`` when nothing was applied yet."""
    got = await store.get(ROOT_KEY)
    if isinstance(got, Err):
        return got
    if got.ok_value is None:
        return Ok(None)
    parsed = parse_root(got.ok_value.value)
    if isinstance(parsed, Err):
        return parsed
    return Ok(StoredRoot(parsed.ok_value, got.ok_value.revision))


def parse_root(value: bytes) -> Result[Root, Failure]:
    """Parses the root record."""
    try:
        return Ok(decode(value, type=Root))
    except UNDECODABLE as error:
        return Err(Failure(ResultCode.CONFIGURATION_UNREADABLE, str(error)))


async def write_configuration(
    store: ConfigStore,
    configuration: Configuration,
    base: StoredRoot | None,
    apply_id: str,
    known: Container[str] = (),
) -> Result[Root, Failure]:
    """Writes the chunks, then swaps the root record.

    Chunks whose digests are in ``known`` are in the store already and are not
    written again. Nothing is in force before the swap, so an earlier failure
    changes nothing. If the reply to the swap is lost, the record is read back
    and compared by its ``apply_id``.
    """
    chunked = split_configuration(configuration)
    generation = base.root.generation + 1 if base else 1
    root = Root(generation, chunked.digest, apply_id)
    return await write_root(store, root, base, chunked.chunk_by_digest, known)


async def write_root(
    store: ConfigStore,
    root: Root,
    base: StoredRoot | None,
    chunk_by_digest: Mapping[str, bytes],
    known: Container[str] = (),
) -> Result[Root, Failure]:
    """Writes chunks, then swaps the root record ``base``, if any, for another.

    Chunks whose digests are in ``known`` are in the store already.
    """
    for digest, chunk in chunk_by_digest.items():
        if digest in known:
            continue
        written = await _write_chunk(store, digest, chunk)
        if isinstance(written, Err):
            return written
    revision = base.revision if base else 0
    swapped = await store.swap(ROOT_KEY, revision, encode(root))
    return await _resolve_swap(store, root, swapped)


async def read_configuration(
    store: ConfigStore, root: Root, known: Mapping[str, bytes]
) -> Result[tuple[Configuration, dict[str, bytes]], Failure]:
    """Reads a configuration; fetches only chunks that are not in ``known``.

    The configuration is returned with exactly the chunks that it consists of.
    """
    chunk_by_digest: dict[str, bytes] = {}
    fetched = await _fetch(store, (root.digest,), known, chunk_by_digest)
    if isinstance(fetched, Err):
        return fetched
    digests = chunk_digests(root.digest, chunk_by_digest)
    if isinstance(digests, Err):
        return _unreadable(digests.err_value)
    fetched = await _fetch(store, digests.ok_value, known, chunk_by_digest)
    if isinstance(fetched, Err):
        return fetched
    joined = join_configuration(root.digest, chunk_by_digest)
    if isinstance(joined, Err):
        return _unreadable(joined.err_value)
    return Ok((joined.ok_value, chunk_by_digest))


async def _fetch(
    store: ConfigStore,
    digests: tuple[str, ...],
    known: Mapping[str, bytes],
    fetched_by_digest: dict[str, bytes],
) -> Result[None, Failure]:
    for digest in digests:
        if digest in known:
            fetched_by_digest[digest] = known[digest]
            continue
        got = await store.get(CHUNK_PREFIX + digest)
        if isinstance(got, Err):
            return got
        if got.ok_value is None:
            return _unreadable(f"chunk {digest} is missing")
        fetched_by_digest[digest] = got.ok_value.value
    return Ok(None)


async def _write_chunk(
    store: ConfigStore, digest: str, chunk: bytes
) -> Result[None, Failure]:
    if len(chunk) > MAX_CHUNK_BYTES:
        return Err(
            Failure(
                ResultCode.CONFIGURATION_TOO_LARGE,
                f"a chunk has {len(chunk)} bytes, allowed {MAX_CHUNK_BYTES}",
            )
        )
    # An existing chunk has the same content, so a failed comparison is a
    # success.
    written = await store.swap(CHUNK_PREFIX + digest, 0, chunk)
    if isinstance(written, Ok):
        return Ok(None)
    if written.err_value.code is ResultCode.STORE_REPLY_LOST:
        retried = await store.swap(CHUNK_PREFIX + digest, 0, chunk)
        if isinstance(retried, Ok):
            return Ok(None)
    return written


async def _resolve_swap(
    store: ConfigStore, root: Root, swapped: Result[SwapResult, Failure]
) -> Result[Root, Failure]:
    if isinstance(swapped, Ok) and swapped.ok_value.swapped:
        return Ok(root)
    if isinstance(swapped, Err):
        if swapped.err_value.code is not ResultCode.STORE_REPLY_LOST:
            return swapped
        current = await read_root(store)
        if isinstance(current, Err):
            return swapped
        if current.ok_value and current.ok_value.root == root:
            return Ok(root)
    return Err(
        Failure(
            ResultCode.CONFIGURATION_CONFLICT,
            f"generation {root.generation} was written by another operation",
        )
    )


def _buckets(
    servers: tuple[BackendServer, ...],
) -> list[tuple[BackendServer, ...]]:
    count = -(-len(servers) // SERVERS_PER_BUCKET)
    # A power of two keeps most servers in their bucket as a pool grows.
    count = 1 << max(count - 1, 0).bit_length()
    buckets: list[list[BackendServer]] = [[] for _ in range(count)]
    for server in sorted(servers, key=lambda server: server.id):
        buckets[xxh64_intdigest(server.id.encode()) % count].append(server)
    return [tuple(bucket) for bucket in buckets if bucket]


def _read_chunk(
    chunk_by_digest: Mapping[str, bytes], digest: str, kind: type[T]
) -> Result[T, str]:
    chunk = chunk_by_digest.get(digest)
    if chunk is None:
        return Err(f"chunk {digest} is missing")
    try:
        document = decompress(chunk)
    except ZlibError as error:
        return Err(f"chunk {digest}: {error}")
    if xxh3_128_hexdigest(document) != digest:
        return Err(f"chunk {digest}: the content does not match the digest")
    try:
        return Ok(decode(document, type=kind))
    except UNDECODABLE as error:
        return Err(f"chunk {digest}: {error}")


def _unreadable(detail: str) -> Err[Failure]:
    return Err(Failure(ResultCode.CONFIGURATION_UNREADABLE, detail))
