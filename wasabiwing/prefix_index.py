"""Prefix index: which backend servers may have cached which prompt prefixes.

The index is filled by the gateway's own sends and by the engines' cache
events, which are late and have gaps. It may be wrong: it is bounded in memory
and its entries expire. A prompt is hashed in blocks. The digest of a block
covers the whole prompt up to the block's end, so a server that holds a block
holds all blocks before it.
"""

from collections import OrderedDict
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from wasabiwing.ports import CacheEvent
from wasabiwing.timers import TimerService

# Size of a block in tokens, which is the same in the engines' cache events,
# and in bytes.
BLOCK_TOKENS = 64
BLOCK_BYTES = 256

# Number of blocks by which a longer prompt is matched.
MAX_BLOCKS = 512

# Maximum number of digests in the index, and of servers for each of them. The
# oldest entries are evicted first.
MAX_DIGESTS = 32_768
MAX_HOLDERS = 4

# Seconds after which an entry expires.
ENTRY_LIFETIME_S = 300.0


def block_digests(prompt: str) -> tuple[int, ...]:
    """Returns the digests of a prompt's whole blocks.

    The digest of each block is the hash seed of the next.
    """
    data = prompt.encode()
    end = min(len(data), MAX_BLOCKS * BLOCK_BYTES) - BLOCK_BYTES + 1
    digests: list[int] = []
    digest = 0
    for start in range(0, end, BLOCK_BYTES):
        digest = xxh64_intdigest(data[start : start + BLOCK_BYTES], digest)
        digests.append(digest)
    return tuple(digests)


@dataclass(slots=True)
class _ServerEvents:
    """State of one server's cache events."""

    # Number of the last event; ``None`` before the first one.
    last: int | None = None
    # Start of the engine that sent the last event.
    life: int | None = None
    # Entries of the server with an earlier epoch are invalid.
    epoch: int = 0


class PrefixIndex:
    """The blocks that each server holds, as far as one gateway knows."""

    def __init__(
        self, timer: TimerService, max_digests: int = MAX_DIGESTS
    ) -> None:
        self._timer = timer
        self._max_digests = max_digests
        # Epoch and time of expiry by server id, by digest.
        self._holders_by_digest: OrderedDict[
            int, dict[str, tuple[int, float]]
        ] = OrderedDict()
        self._events_by_server: dict[str, _ServerEvents] = {}

    def __len__(self) -> int:
        return len(self._holders_by_digest)

    def note_sent(self, server_id: str, digests: tuple[int, ...]) -> None:
        """Records that a prompt was sent to a server."""
        self._add(server_id, digests)

    def last_event_number(self, server_id: str) -> int:
        """Returns the number of a server's last event; 0 before the first."""
        return self._events(server_id).last or 0

    def apply_event(self, server_id: str, event: CacheEvent) -> None:
        """Applies one cache event of a server.

        A gap in the event numbers or a restart of the engine, which is seen
        by another ``life``, invalidates all earlier entries of the server. An
        event that was applied already is ignored.
        """
        events = self._events(server_id)
        if events.life is not None and event.life != events.life:
            events.epoch += 1
        elif events.last is not None:
            if event.number <= events.last:
                return
            if event.number != events.last + 1:
                events.epoch += 1
        events.life = event.life
        events.last = event.number
        self._add(server_id, event.stored)
        for digest in event.removed:
            self._remove(server_id, digest)

    def invalidate_server(self, server_id: str) -> None:
        """Invalidates all entries of a server, which has lost its cache."""
        self._events(server_id).epoch += 1

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Drops the event state of all servers but the given ones."""
        for server_id in self._events_by_server.keys() - server_ids:
            del self._events_by_server[server_id]

    def cached_blocks(self, server_id: str, digests: tuple[int, ...]) -> int:
        """Returns how many leading blocks of a prompt a server probably holds.

        The binary search relies on a held block implying the ones before it.
        """
        # Local variables save look-ups: this runs for each candidate of a
        # decision.
        holders_by_digest = self._holders_by_digest
        epoch = self._events(server_id).epoch
        now = self._timer.now()
        held_blocks = 0
        end = len(digests)
        while held_blocks < end:
            middle = (held_blocks + end + 1) // 2
            holders = holders_by_digest.get(digests[middle - 1])
            entry = holders.get(server_id) if holders else None
            if entry and entry[0] == epoch and entry[1] > now:
                held_blocks = middle
            else:
                end = middle - 1
        return held_blocks

    def servers_holding(
        self, digests: tuple[int, ...], limit: int
    ) -> list[str]:
        """Returns up to ``limit`` servers that hold long prefixes of a prompt.

        Servers with the longest prefix are first. The search looks up the
        longest known prefix and then half of it repeatedly, so its cost grows
        with the logarithm of the prompt's length.
        """
        found: dict[str, None] = {}
        block_count = self._known_blocks(digests)
        while block_count and len(found) < limit:
            for server_id in self._holders_by_digest.get(
                digests[block_count - 1], ()
            ):
                if self._holds(server_id, digests[block_count - 1]):
                    found[server_id] = None
            block_count //= 2
        return list(found)[:limit]

    def _known_blocks(self, digests: tuple[int, ...]) -> int:
        known_blocks = 0
        end = len(digests)
        while known_blocks < end:
            middle = (known_blocks + end + 1) // 2
            if digests[middle - 1] in self._holders_by_digest:
                known_blocks = middle
            else:
                end = middle - 1
        return known_blocks

    def _holds(self, server_id: str, digest: int) -> bool:
        entry = self._holders_by_digest.get(digest, {}).get(server_id)
        if entry is None:
            return False
        epoch, expires_at = entry
        if epoch != self._events(server_id).epoch:
            return False
        return self._timer.now() < expires_at

    def _add(self, server_id: str, digests: tuple[int, ...]) -> None:
        """Adds blocks that a server holds, the leading ones as the newest."""
        holders_by_digest = self._holders_by_digest
        entry = (
            self._events(server_id).epoch,
            self._timer.now() + ENTRY_LIFETIME_S,
        )
        for digest in reversed(digests):
            holders = holders_by_digest.get(digest)
            if holders is None:
                holders_by_digest[digest] = {server_id: entry}
                continue
            holders_by_digest.move_to_end(digest)
            # The newest holder is the last one of the mapping.
            holders.pop(server_id, None)
            holders[server_id] = entry
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
        while len(holders_by_digest) > self._max_digests:
            holders_by_digest.popitem(last=False)

    def _remove(self, server_id: str, digest: int) -> None:
        holders = self._holders_by_digest.get(digest)
        if holders is None:
            return
        holders.pop(server_id, None)
        if not holders:
            del self._holders_by_digest[digest]

    def _events(self, server_id: str) -> _ServerEvents:
        events = self._events_by_server.get(server_id)
        if events is None:
            events = _ServerEvents()
            self._events_by_server[server_id] = events
        return events
