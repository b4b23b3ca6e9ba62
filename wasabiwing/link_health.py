"""Decides when a connection to another process is silent and dialled anew.

Load pattern: open connections that fall silent for good without a reset, in
one direction or in both, while new ones work; some addresses accept
connections that fall silent again. The kernel of the other end, or a device
between, may go on to acknowledge bytes that no process reads, so only a
process that answers shows that a connection is alive.
"""

from collections.abc import Callable
from math import inf

# Time without an acknowledgement of sent messages after which a connection
# counts as silent, in seconds. Longer than a pause of a busy process, and
# short enough for a second connection before usage of a window is due.
SILENT_AFTER_S = 1.75

# Time to the acknowledgement of messages whose receiver sends nothing else,
# in seconds. Longer than the period of reports to heads, which acknowledge
# pushes, so that few messages are sent for acknowledgements only.
ACKNOWLEDGE_AFTER_S = 0.75

# Largest time between two connections to an address that stays silent, in
# seconds.
MAX_SILENT_AFTER_S = 30.0

# Times are varied by this share, so that the processes around one that was
# suspended do not all dial it at once.
JITTER = 0.2

# Time without messages after which a connection is probed, in seconds. It
# doubles with each probe until a message is sent.
PROBE_AFTER_S = 3.0

# Doublings of a time after which it stays the same.
MAX_DOUBLINGS = 8


class LinkHealth:
    """What one process knows of its connection to another one.

    All times are monotonic, in seconds. ``random`` returns numbers from 0 to
    1. Messages that only acknowledge are not noted as sent.
    """

    def __init__(self, now: float, random: Callable[[], float]) -> None:
        self._random = random
        self._dialled_at = now
        self._used_at = now
        self._probe_count = 0
        # Time of the oldest sent message that is not acknowledged.
        self._awaited_since: float | None = None
        # Time since which nothing was acknowledged, over all connections.
        self._silent_since: float | None = None
        # Connections in a row that were silent, and those that the other end
        # did not hear.
        self._silent_count = 0
        self._unheard_count = 0
        self._is_unheard = False
        # Whether the other end acknowledges; unknown until it is heard.
        self._acknowledges: bool | None = None
        self._limit_s = self._next_limit()

    @property
    def is_silent(self) -> bool:
        """Whether the latest connection was opened because of silence."""
        return self._silent_count > 0

    def silent_s(self, now: float) -> float:
        """Returns how long nothing was acknowledged; 0 if not silent."""
        if self._silent_since is None or not self.is_silent:
            return 0.0
        return now - self._silent_since

    def note_dialled(self, now: float) -> None:
        """Records a new connection in place of a silent one."""
        if self._is_silent_at(now):
            self._silent_count += 1
        if self._is_unheard:
            self._unheard_count += 1
        self._dialled_at = now
        self._awaited_since = None
        self._is_unheard = False
        self._limit_s = self._next_limit()

    def note_sent(self, now: float, is_probe: bool = False) -> None:
        """Records a message that the other end should acknowledge."""
        if is_probe:
            self._probe_count += 1
        else:
            self._probe_count = 0
        self._used_at = now
        if self._acknowledges is False:
            return
        if self._awaited_since is None:
            self._awaited_since = now
        if self._silent_since is None:
            self._silent_since = self._awaited_since

    def note_acknowledged(self, now: float) -> float | None:
        """Records an acknowledgement; returns the length of a silence."""
        silent_s = self.silent_s(now) if self.is_silent else None
        self._awaited_since = None
        self._silent_since = None
        self._silent_count = 0
        self._limit_s = self._next_limit()
        return silent_s

    def note_heard(self, acknowledges: bool, is_unheard: bool) -> None:
        """Records a message of the other end.

        ``acknowledges`` is false for a build without acknowledgements, whose
        silence shows nothing. ``is_unheard`` says that the other end misses
        acknowledgements, which this process may have sent in vain.
        """
        self._acknowledges = acknowledges
        self._is_unheard = is_unheard
        if not is_unheard:
            self._unheard_count = 0
        if not acknowledges:
            self._awaited_since = None
            self._silent_since = None
            self._silent_count = 0

    def note_pause(self, pause_s: float) -> None:
        """Leaves out a time in which this process did not run."""
        self._dialled_at += pause_s
        self._used_at += pause_s
        if self._awaited_since is not None:
            self._awaited_since += pause_s

    def must_dial(self, now: float) -> bool:
        """Whether the connection is to be replaced by a new one."""
        if self._is_unheard and now - self._dialled_at > self._limit_s:
            return True
        return self._is_silent_at(now)

    def must_probe(self, now: float) -> bool:
        """Whether a connection that is not in use is to be probed."""
        if self._awaited_since is not None or self._acknowledges is False:
            return False
        if self.is_silent:
            return True
        gap_s = PROBE_AFTER_S * 2.0 ** min(self._probe_count, MAX_DOUBLINGS)
        return now - self._used_at > gap_s

    def _is_silent_at(self, now: float) -> bool:
        since = inf if self._awaited_since is None else self._awaited_since
        return now - since > self._limit_s

    def _next_limit(self) -> float:
        count = max(self._silent_count, self._unheard_count)
        limit_s = SILENT_AFTER_S * 2.0 ** min(count, MAX_DOUBLINGS)
        limit_s = min(limit_s, MAX_SILENT_AFTER_S)
        return limit_s * (1.0 + JITTER * self._random())
