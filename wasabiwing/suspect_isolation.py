"""Keeps suspected requests apart while they run.

Gateway and node ask here before they send a suspected request. A suspect
never shares a server with another suspect of this process, and of requests
with one digest only one runs at a time.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Collection
from typing import Protocol

from wasabiwing.codes import Failure
from wasabiwing.quarantine import IdentifiedCall

# Time after a crash in which a suspect runs on its own servers only, in
# seconds: longer than a request that has nothing to do with the crash takes.
OWNERSHIP_S = 0.5


class Suspicions(Protocol):
    """What is known of requests that crash servers."""

    def refusal(self, call: IdentifiedCall) -> Failure | None:
        """Returns the refusal of a quarantined request, or ``None``."""

    def suspect_digest(self, call: IdentifiedCall) -> str:
        """Returns the digest of a suspected request; empty for others."""

    def all_crashes_judged(self, digest: str) -> bool:
        """Whether all crashes of a digest have been judged."""

    def crash_count(self, digest: str) -> int:
        """Number of crashes that a digest is suspected of."""

    def is_owner(self, digest: str, server_id: str) -> bool:
        """Whether a server is a suspect's among all that crashed with it."""

    def suspicion_age_s(self, digest: str) -> float:
        """Returns the seconds since the newest suspicion of a digest."""


class SuspectIsolation:
    """The suspected requests that one gateway or node runs.

    Up to ``free_crashes`` crashes a request is repeated before they are
    judged: the pauses that a stream may make leave no time to wait, and fewer
    crashes cannot lead to a refusal. In a small pool the wait gives crashed
    servers time to come back. For ``ownership_s`` seconds after a crash a
    suspect runs on its own servers only; later, and where there is no such
    time, it prefers them: a suspect whose caller does not return keeps its
    servers without using them.
    """

    def __init__(
        self,
        quarantine: Suspicions | None = None,
        free_crashes: int = 0,
        ownership_s: float = OWNERSHIP_S,
    ) -> None:
        self._quarantine = quarantine
        self._free_crashes = free_crashes
        self._ownership_s = ownership_s
        self._running_by_server: Counter[str] = Counter()
        self._running_by_digest: Counter[str] = Counter()

    def refusal(self, call: IdentifiedCall) -> Failure | None:
        """Returns the refusal of a quarantined request, or ``None``."""
        if self._quarantine is None:
            return None
        return self._quarantine.refusal(call)

    def suspect_digest(self, call: IdentifiedCall) -> str:
        """Returns the digest of a suspected request; empty for others."""
        if self._quarantine is None:
            return ""
        return self._quarantine.suspect_digest(call)

    def must_wait(self, digest: str, server_id: str) -> bool:
        """Whether a suspect may not start on a server now."""
        if self.has_suspect(server_id) or self._running_by_digest[digest]:
            return True
        quarantine = self._quarantine
        if quarantine is None:
            return False
        if quarantine.suspicion_age_s(digest) < self._ownership_s:
            if not quarantine.is_owner(digest, server_id):
                return True
        if quarantine.crash_count(digest) <= self._free_crashes:
            return False
        return not quarantine.all_crashes_judged(digest)

    def has_suspect(self, server_id: str) -> bool:
        """Whether a suspect of this process runs on a server."""
        return self._running_by_server[server_id] > 0

    def allowed_servers(
        self,
        digest: str,
        server_ids: Collection[str],
        load: Callable[[str], int],
    ) -> list[str]:
        """Returns the servers that a request may use.

        A suspect gets the least loaded ones without another suspect, perhaps
        none. ``digest`` is empty for other requests; they avoid servers with
        a suspect where they can.
        """
        if not digest:
            if not self._running_by_server:
                return list(server_ids)
            safe = [name for name in server_ids if not self.has_suspect(name)]
            return safe or list(server_ids)
        allowed = [
            server_id
            for server_id in server_ids
            if not self.must_wait(digest, server_id)
        ]
        owned = [name for name in allowed if self._is_owner(digest, name)]
        load_by_server = {name: load(name) for name in owned or allowed}
        least = min(load_by_server.values(), default=0)
        return [
            server_id
            for server_id, running in load_by_server.items()
            if running == least
        ]

    def _is_owner(self, digest: str, server_id: str) -> bool:
        quarantine = self._quarantine
        return quarantine is None or quarantine.is_owner(digest, server_id)

    def note_started(self, server_id: str, digest: str) -> None:
        """Counts an attempt; the digest is empty unless it is a suspect's."""
        if digest:
            self._running_by_server[server_id] += 1
            self._running_by_digest[digest] += 1

    def note_ended(self, server_id: str, digest: str) -> None:
        """Counts the end of an attempt."""
        if digest:
            _subtract(self._running_by_server, server_id)
            _subtract(self._running_by_digest, digest)


def _subtract(counter: Counter[str], key: str) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
