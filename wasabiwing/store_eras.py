"""Positions in the history of a store that may be restored from a copy.

A restored store is older than before and gives its revisions out again. It
counts its restores in an era, which is the first part of the order of all that
is read from it. A position is the era and the revision in one integer, so that
whatever compares positions also holds over restores.

Load pattern: a restore is seen by all nodes at once, at different moments, and
answers of the earlier era still arrive.
"""

from collections.abc import Callable

from wasabiwing.decoding import parse_whole_number
from wasabiwing.events import Event
from wasabiwing.events import log_event

# Bits of a position below the era. Eras up to 8191 fit into the integers that
# JSON numbers hold exactly; positions are sent as fencing numbers.
REVISION_BITS = 40
REVISION_MASK = (1 << REVISION_BITS) - 1


def store_position(era: int, revision: int) -> int:
    """Returns the position of a revision; 0, which stands for none, stays."""
    return (era << REVISION_BITS) | revision if revision else 0


def era_of(position: int) -> int:
    """Returns the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Returns the store's revision at a position."""
    return position & REVISION_MASK


# Era of a store that was never restored.
FIRST_ERA = 1


class StoreEras:
    """The era of the store, as one process has seen it."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        # Latest era; ``None`` before the first answer.
        self._current: int | None = None
        self._listeners: list[Callable[[], None]] = []
        # Texts for which a line was logged.
        self._logged_texts: set[str] = set()

    @property
    def current(self) -> int:
        """The latest era that an answer has named; 0 before the first."""
        return self._current or 0

    @property
    def was_restored(self) -> bool:
        """Whether the store was ever restored, also before this process."""
        return self.current > FIRST_ERA

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a listener for each restore of the store."""
        self._listeners.append(listener)

    def note_answer(self, text: str) -> int:
        """Reads the era that an answer of the store names.

        Returns the era to which its revisions belong: the latest one if it
        names none. An earlier era belongs to an answer that was late; if all
        answers name it, the store has lost its count, and this process stays
        with what it knows.
        """
        era = parse_whole_number(text)
        if era is None:
            if self._current:
                self._log_unusable(text)
            return self.current
        if self._current is None:
            self._current = era
        elif era > self._current:
            previous, self._current = self._current, era
            log_event(
                Event.STORE_RESTORED,
                self._node_id,
                era=era,
                previous=previous,
            )
            for listener in self._listeners:
                listener()
        elif era < self._current:
            self._log_unusable(text)
        return era

    def _log_unusable(self, text: str) -> None:
        if text not in self._logged_texts:
            self._logged_texts.add(text)
            log_event(
                Event.STORE_ERA_UNUSABLE,
                self._node_id,
                found=text,
                current=self.current,
            )
