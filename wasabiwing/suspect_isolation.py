"""Isolation of suspected requests from each other and from other requests.

A suspect is a request that is suspected of crashing servers. Gateway and node
ask here which servers a request may use. A suspect never shares a server with
another suspect of this process, and only one request of a digest runs at a
time.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Collection
from typing import Protocol

from wasabiwing.codes import Failure
from wasabiwing.quarantine import IdentifiedCall

# Time after a crash in which a suspect runs only on servers assigned to it, in
# seconds. It is longer than a request unrelated to the crash takes.
OWNERSHIP_S = 0.5


class Suspicions(Protocol):
    """Interface to suspicions and quarantines; see ``Quarantine``."""

    def refusal(self, call: IdentifiedCall) -> Failure | None:
        """Returns the refusal of a quarantined request, or ``None``."""

    def suspect_digest(self, call: IdentifiedCall) -> str:
        """Returns the digest of a suspected request; empty for others."""

    def all_crashes_judged(self, digest: str) -> bool:
        """Whether all crashes with a digest have been judged."""

    def crash_count(self, digest: str) -> int:
        """Returns the number of crashes that a digest is suspected of."""

    def is_owner(self, digest: str, server_id: str) -> bool:
        """Whether a server is assigned to a digest among fellow suspects."""

    def suspicion_age_s(self, digest: str) -> float:
        """Returns the seconds since the newest suspicion of a digest."""


class SuspectIsolation:
    """Counts the suspects that run at one gateway or node and isolates them.

    With up to ``unjudged_crashes`` crashes, a suspect is repeated before they
    are judged: the pauses allowed in a stream leave no time for a wait, and
    so few crashes cannot lead to a quarantine. With more crashes the wait for
    the judgement also gives crashed servers of a small pool time to come back.

    For ``ownership_s`` seconds after a crash a suspect runs only on the
    servers assigned to it. After that time it merely prefers them, because a
    suspect whose caller does not return would hold its servers without using
    them.
    """

    def __init__(
        self,
        quarantine: Suspicions | None = None,
        unjudged_crashes: int = 0,
        ownership_s: float = OWNERSHIP_S,
    ) -> None:
        self._quarantine = quarantine
        self._unjudged_crashes = unjudged_crashes
        self._ownership_s = ownership_s
        self._running_count_by_server: Counter[str] = Counter()
        self._running_count_by_digest: Counter[str] = Counter()

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
        """Whether a suspect must not start on a server now."""
        if (
            self.has_suspect(server_id)
            or self._running_count_by_digest[digest]
        ):
            return True
        quarantine = self._quarantine
        if quarantine is None:
            return False
        if quarantine.suspicion_age_s(digest) < self._ownership_s:
            if not quarantine.is_owner(digest, server_id):
                return True
        if quarantine.crash_count(digest) <= self._unjudged_crashes:
            return False
        return not quarantine.all_crashes_judged(digest)

    def has_suspect(self, server_id: str) -> bool:
        """Whether this process runs a suspect on a server."""
        return self._running_count_by_server[server_id] > 0

    def allowed_servers(
        self,
        digest: str,
        server_ids: Collection[str],
        load: Callable[[str], int],
    ) -> list[str]:
        """Returns the servers that a request may use.

        A suspect may use the least loaded servers without another suspect,
        of which there may be none. Other requests, with an empty ``digest``,
        avoid servers that run a suspect if another server is left.
        """
        if not digest:
            if not self._running_count_by_server:
                return list(server_ids)
            without_suspect = [
                server_id
                for server_id in server_ids
                if not self.has_suspect(server_id)
            ]
            return without_suspect or list(server_ids)
        allowed = [
            server_id
            for server_id in server_ids
            if not self.must_wait(digest, server_id)
        ]
        owned = [
            server_id
            for server_id in allowed
            if self._is_owner(digest, server_id)
        ]
        load_by_server = {
            server_id: load(server_id) for server_id in owned or allowed
        }
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
        """Counts the start of an attempt; only a suspect has a digest."""
        if digest:
            self._running_count_by_server[server_id] += 1
            self._running_count_by_digest[digest] += 1

    def note_ended(self, server_id: str, digest: str) -> None:
        """Counts the end of an attempt; only a suspect has a digest."""
        if digest:
            _decrement(self._running_count_by_server, server_id)
            _decrement(self._running_count_by_digest, digest)


def _decrement(counter: Counter[str], key: str) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
