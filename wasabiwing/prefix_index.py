"""Prefix index: which backend servers may hold which prompt prefixes.

Filled by the gateway's own sends and by the engines' cache events, which
are late and have gaps. It is only a hint: it is bounded in memory and its
entries expire. A prompt is hashed in blocks; each block's digest covers the
whole prompt up to its end, so a held block implies the ones before it.
"""

from collections import OrderedDict
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from wasabiwing.ports import CacheEvent
from wasabiwing.timers import TimerService

# Tokens of one block; the same as in the engines' cache events.
BLOCK_TOKENS = 64
BLOCK_BYTES = 256

# Longer prompts are matched by their first blocks only.
MAX_BLOCKS = 512

# Bounds of the index. The oldest entries are dropped first.
MAX_DIGESTS = 32_768
MAX_HOLDERS = 4

# Time after which an entry is no longer believed, in seconds.
ENTRY_LIFETIME_S = 300.0


def block_digests(prompt: str) -> tuple[int, ...]:
    """Returns the digests of a prompt's whole blocks, chained by seed."""
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
    """Position in the cache events of one server."""

    # Number of the last event; ``None`` before the first one.
    last: int | None = None
    life: int | None = None
    # Entries of an earlier epoch are invalid.
    epoch: int = 0


class PrefixIndex:
    """Which servers hold which blocks, as far as this gateway knows."""

    def __init__(
        self, timer: TimerService, max_digests: int = MAX_DIGESTS
    ) -> None:
        self._timer = timer
        self._max_digests = max_digests
        # Epoch and time of expiry by server, by digest.
        self._holders: OrderedDict[int, dict[str, tuple[int, float]]] = (
            OrderedDict()
        )
        self._events_by_server: dict[str, _ServerEvents] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def note_sent(self, server_id: str, digests: tuple[int, ...]) -> None:
        """Records that a prompt was sent to a server."""
        self._add(server_id, digests)

    def last_event_number(self, server_id: str) -> int:
        """Returns the number of the last event of a server; 0 for none."""
        return self._events(server_id).last or 0

    def apply_event(self, server_id: str, event: CacheEvent) -> None:
        """Applies one cache event.

        A gap in the numbers invalidates all that was known of the server
        before, and so does a new life of the engine. A number that was
        applied already is ignored.
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
        """Forgets the servers that left the configuration."""
        for server_id in self._events_by_server.keys() - server_ids:
            del self._events_by_server[server_id]

    def cached_blocks(self, server_id: str, digests: tuple[int, ...]) -> int:
        """Returns how many leading blocks a server is believed to hold.

        Searches by halving, because a held block implies the ones before.
        """
        # Runs for each candidate of a decision, so look-ups are local.
        holders_by_digest = self._holders
        epoch = self._events(server_id).epoch
        now = self._timer.now()
        held = 0
        end = len(digests)
        while held < end:
            middle = (held + end + 1) // 2
            holders = holders_by_digest.get(digests[middle - 1])
            entry = holders.get(server_id) if holders else None
            if entry and entry[0] == epoch and entry[1] > now:
                held = middle
            else:
                end = middle - 1
        return held

    def servers_holding(
        self, digests: tuple[int, ...], limit: int
    ) -> list[str]:
        """Returns servers that hold long prefixes, the longest first.

        Looks at the longest known prefix, then at prefixes of half the
        length each, so the cost grows with the logarithm of the length.
        """
        found: dict[str, None] = {}
        depth = self._known_blocks(digests)
        while depth and len(found) < limit:
            for server_id in self._holders.get(digests[depth - 1], ()):
                if self._holds(server_id, digests[depth - 1]):
                    found[server_id] = None
            depth //= 2
        return list(found)[:limit]

    def _known_blocks(self, digests: tuple[int, ...]) -> int:
        known = 0
        end = len(digests)
        while known < end:
            middle = (known + end + 1) // 2
            if digests[middle - 1] in self._holders:
                known = middle
            else:
                end = middle - 1
        return known

    def _holds(self, server_id: str, digest: int) -> bool:
        entry = self._holders.get(digest, {}).get(server_id)
        if entry is None:
            return False
        epoch, expires_at = entry
        if epoch != self._events(server_id).epoch:
            return False
        return self._timer.now() < expires_at

    def _add(self, server_id: str, digests: tuple[int, ...]) -> None:
        """Adds blocks; the leading ones are dropped last by the bound."""
        holders_by_digest = self._holders
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
        holders = self._holders.get(digest)
        if holders is None:
            return
        holders.pop(server_id, None)
        if not holders:
            del self._holders[digest]

    def _events(self, server_id: str) -> _ServerEvents:
        events = self._events_by_server.get(server_id)
        if events is None:
            events = _ServerEvents()
            self._events_by_server[server_id] = events
        return events
