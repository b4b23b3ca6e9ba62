"""A node's copy of the store, in a form that it can send to other nodes.

The copy has the store's contents at one revision, which never goes back.
A change up to that revision is already included and is ignored, also if
another node sent it.
"""

from collections import deque
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from zlib import compress
from zlib import decompressobj
from zlib import error as ZlibError

from wasabiwing.ports import StoredValue
from wasabiwing.ports import WatchEvent

# Number of latest changes that are kept one by one.
MAX_RECENT_CHANGES = 512

# Longest value that is sent along with a change, in bytes.
MAX_INLINE_VALUE_BYTES = 4096

# Fastest level: a large document is compressed once for all nodes of a zone.
COMPRESSION_LEVEL = 1

# Largest value that is accepted from another node, in bytes; the store holds
# none that is larger.
MAX_VALUE_BYTES = 4_194_304


def compress_value(value: bytes) -> bytes:
    """Returns a value in the form that is sent to other nodes."""
    return compress(value, COMPRESSION_LEVEL)


def decompress_value(content: bytes) -> bytes | None:
    """Returns a value that another node sent; ``None`` if it is unusable."""
    decompressor = decompressobj()
    try:
        value = decompressor.decompress(content, MAX_VALUE_BYTES)
    except ZlibError:
        return None
    return value if decompressor.eof else None


@dataclass(frozen=True, slots=True)
class CompressedValue:
    """A key's value in the compressed form that is sent to other nodes."""

    key: str
    content: bytes
    revision: int


class StoreCache:
    """Keys and values of the store at one revision."""

    def __init__(self) -> None:
        # Revision of the store that is held here; ``None`` before the first
        # read.
        self.revision: int | None = None
        self._value_by_key: dict[str, StoredValue] = {}
        self._compressed_by_key: dict[str, CompressedValue] = {}
        self._recent: deque[WatchEvent] = deque(maxlen=MAX_RECENT_CHANGES)
        # All retained changes after this revision are in ``_recent``.
        self._recent_since = 0

    def note_changes(
        self, events: Iterable[WatchEvent], revision: int
    ) -> list[WatchEvent]:
        """Applies changes; returns those after the known revision."""
        known = self.revision or 0
        new = [
            event
            for event in events
            if event.revision > known and not self._is_older(event)
        ]
        for event in new:
            if event.value is None:
                self._value_by_key.pop(event.key, None)
                self._compressed_by_key.pop(event.key, None)
            else:
                self._value_by_key[event.key] = StoredValue(
                    event.key, event.value, event.revision
                )
        self.revision = max(known, revision)
        return new

    def retain_change(self, event: WatchEvent) -> None:
        """Keeps a change that other nodes need to get."""
        if len(self._recent) == self._recent.maxlen:
            self._recent_since = self._recent[0].revision
        self._recent.append(event)

    def replace_all(
        self, values: Sequence[StoredValue], revision: int
    ) -> bool:
        """Replaces the contents by a listing; false if it is older."""
        if self.revision is not None and revision < self.revision:
            return False
        self._value_by_key = {stored.key: stored for stored in values}
        self._compressed_by_key.clear()
        self._recent.clear()
        self._recent_since = revision
        self.revision = revision
        return True

    def forget(self) -> None:
        """Drops the contents, so that a complete listing is read."""
        self.replace_all((), self.revision or 0)
        self.revision = None

    def values(self) -> tuple[StoredValue, ...]:
        """Returns all keys with their values and revisions."""
        return tuple(self._value_by_key.values())

    def revision_of(self, key: str) -> int:
        """Returns the revision of a key's value; 0 if there is none."""
        stored = self._value_by_key.get(key)
        return 0 if stored is None else stored.revision

    def keys(self) -> tuple[str, ...]:
        """Returns all keys."""
        return tuple(self._value_by_key)

    def changes_since(self, revision: int) -> tuple[WatchEvent, ...] | None:
        """Returns kept changes; ``None`` if some of them were evicted."""
        if revision < self._recent_since:
            return None
        return tuple(
            event for event in self._recent if event.revision > revision
        )

    def compressed_values_since(
        self, revision: int
    ) -> tuple[CompressedValue, ...]:
        """Returns the compressed values written after a revision."""
        return tuple(
            self._compress_value(stored)
            for stored in self._value_by_key.values()
            if stored.revision > revision
        )

    def _is_older(self, event: WatchEvent) -> bool:
        """Whether a later page of a listing already had a newer value."""
        stored = self._value_by_key.get(event.key)
        return stored is not None and stored.revision >= event.revision

    def _compress_value(self, stored: StoredValue) -> CompressedValue:
        known = self._compressed_by_key.get(stored.key)
        if known is None or known.revision != stored.revision:
            content = compress_value(stored.value)
            known = CompressedValue(stored.key, content, stored.revision)
            self._compressed_by_key[stored.key] = known
        return known
