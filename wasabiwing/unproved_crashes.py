"""Cuts of requests that may be crashes of their backend servers.

A process without links to servers cannot tell a crash from a cut of its own
links. It keeps such a cut to itself until the crash is proved, by the
registry or by another process, or until the cut is too old.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar

ServerT = TypeVar("ServerT")

# Time in which the crash of a server has to be proved, in seconds: its entry
# in the registry lapses, or it registers anew.
PROOF_TIME_S = 20.0

# Number of cuts that are kept; the oldest is dropped first.
MAX_UNPROVED_CUTS = 1000


@dataclass(frozen=True, slots=True)
class CutRequest:
    """What is kept of a request whose connection was cut."""

    request_id: str
    prompt_scope: str
    shared_parts: tuple[str, ...]
    digest: str
    # Monotonic time at which the attempt began.
    started_at: float
    # Whether the answer had begun, and had gone on for long enough.
    answer_began: bool
    answer_settled: bool


@dataclass(frozen=True, slots=True)
class UnprovedCut(Generic[ServerT]):
    """A cut whose server may have crashed."""

    request: CutRequest
    server: ServerT
    # Monotonic time of the cut.
    cut_at: float
    # Number of the server's latest crash that was known then.
    known_crash: int


class UnprovedCuts(Generic[ServerT]):
    """The unproved cuts of one process, the oldest first."""

    def __init__(self) -> None:
        self._cuts: deque[UnprovedCut[ServerT]] = deque(
            maxlen=MAX_UNPROVED_CUTS
        )

    def __len__(self) -> int:
        return len(self._cuts)

    def add(self, cut: UnprovedCut[ServerT]) -> None:
        """Keeps a cut until it is proved, too old, or one of too many."""
        self._cuts.append(cut)

    def drop(self, digest: str) -> None:
        """Drops the cuts of a digest, because the request has succeeded."""
        self._keep(lambda cut: cut.request.digest != digest)

    def take_proved(
        self,
        now: float,
        is_proved: Callable[[UnprovedCut[ServerT]], bool],
        is_refuted: Callable[[UnprovedCut[ServerT]], bool],
    ) -> list[UnprovedCut[ServerT]]:
        """Removes and returns the cuts whose servers have crashed.

        Removes also those that have another cause or are too old.
        """
        proved = [cut for cut in self._cuts if is_proved(cut)]
        self._keep(
            lambda cut: (
                cut not in proved
                and not is_refuted(cut)
                and now < cut.cut_at + PROOF_TIME_S
            )
        )
        return proved

    def _keep(self, is_kept: Callable[[UnprovedCut[ServerT]], bool]) -> None:
        kept = [cut for cut in self._cuts if is_kept(cut)]
        self._cuts.clear()
        self._cuts.extend(kept)
