"""Prefix cache of the model engine stand-in, with its event log."""

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from time import monotonic

from xxhash import xxh64_intdigest

BYTES_PER_TOKEN = 4

# Prompts are cached in blocks of this many tokens.
CACHE_BLOCK_TOKENS = 64

# Number of events that the log keeps; a reader that falls further behind
# misses the older events.
MAX_EVENTS = 4096


@dataclass(frozen=True, slots=True)
class CacheChange:
    """A published change of the cache: blocks stored and blocks removed."""

    number: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]
    # Number of the cache's incarnation; changes when the cache is lost.
    life: int


class PrefixCache:
    """A cache of prompt blocks that evicts the least recently used ones."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._cached: OrderedDict[int, None] = OrderedDict()
        self._last_number = 0
        self._incarnation = 0
        # Monotonic times and contents of the latest events.
        self._log: deque[tuple[float, CacheChange]] = deque(maxlen=MAX_EVENTS)

    def clear(self) -> None:
        """Drops all blocks and events; the event numbers start at 1 again."""
        self._cached.clear()
        self._log.clear()
        self._last_number = 0
        self._incarnation += 1

    def uncached_tokens(self, prompt: str) -> int:
        """Adds a prompt to the cache; returns the tokens to compute."""
        data = prompt.encode()
        size = CACHE_BLOCK_TOKENS * BYTES_PER_TOKEN
        digest = 0
        hits = 0
        stored: list[int] = []
        for start in range(0, len(data) - size + 1, size):
            digest = xxh64_intdigest(data[start : start + size], digest)
            if digest in self._cached:
                hits += 1
                self._cached.move_to_end(digest)
            else:
                self._cached[digest] = None
                stored.append(digest)
        removed = self._evict()
        if stored or removed:
            self._publish(tuple(stored), tuple(removed))
        total = len(data) // BYTES_PER_TOKEN + 1
        return max(total - hits * CACHE_BLOCK_TOKENS, 1)

    def events(
        self, after: int, lag_s: float, gap_every: int
    ) -> list[CacheChange]:
        """Returns the visible events with numbers above ``after``.

        If ``after`` exceeds all numbers of this log, it comes from an earlier
        incarnation of the cache, so all visible events are returned.
        """
        if after > self._last_number:
            after = 0
        visible_until = monotonic() - lag_s
        return [
            change
            for at, change in self._log
            if change.number > after
            and at <= visible_until
            and not (gap_every and change.number % gap_every == 0)
        ]

    def _evict(self) -> list[int]:
        removed: list[int] = []
        while len(self._cached) > self._max_blocks:
            removed.append(self._cached.popitem(last=False)[0])
        return removed

    def _publish(
        self, stored: tuple[int, ...], removed: tuple[int, ...]
    ) -> None:
        self._last_number += 1
        change = CacheChange(
            self._last_number, stored, removed, self._incarnation
        )
        self._log.append((monotonic(), change))
