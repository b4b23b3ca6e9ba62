"""State of a model request that the parts of the gateway share.

The dispatcher updates the state; the request table, a reclaim notice or a
handover can interrupt the request.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum

from anyio import CancelScope

from wasabiwing.answer_log import AnswerLog
from wasabiwing.calls import Call
from wasabiwing.codes import RunState
from wasabiwing.configuration import BackendServer


class Interrupt(StrEnum):
    """Why a running attempt is ended from outside."""

    # No caller reads the answer any more.
    ABANDONED = "abandoned"
    DEADLINE = "deadline"
    # The backend server is leaving; the request continues elsewhere.
    MOVE = "move"
    # Another gateway runs the request.
    YIELDED = "yielded"
    # Another gateway runs the request from an engine stream of its own.
    DUPLICATE = "duplicate"


@dataclass(frozen=True, slots=True)
class EnginePosition:
    """The stream of an engine that an answer is read from."""

    server: BackendServer
    stream_id: str
    # Offset in the answer log at which the engine's stream began.
    base_offset: int


class RunningRequest:
    """One model request and its progress."""

    def __init__(
        self,
        call: Call,
        answer: AnswerLog,
        position: EnginePosition | None = None,
        attempt: int = 0,
    ) -> None:
        self.call = call
        self.answer = answer
        self.engine_position = position
        self.attempt = attempt
        # Server of the attempt that is running; ``None`` between attempts.
        self.server: BackendServer | None = None
        self.failures = 0
        self.failed_connects = 0
        # Whether the server cut the connection of the last attempt.
        self.last_attempt_cut = False
        # Monotonic time of the first event of the last attempt, in seconds;
        # ``None`` before it.
        self.attempt_began_at: float | None = None
        self.run_state = (
            RunState.NOT_RUN if attempt == 0 else RunState.MAY_HAVE_RUN
        )
        self.tried_server_ids: set[str] = set()
        self.pending_interrupt: Interrupt | None = None
        # Connections that read the answer, and when the last one ended.
        self.reader_count = 0
        self.last_reader_left_at: float | None = None
        # Rank of this gateway among the holders of a request that it took
        # over; -1 for its own requests.
        self.holder_rank = -1
        self._scope: CancelScope | None = None

    def interrupt(self, reason: Interrupt) -> None:
        """Ends the running attempt; a later reason replaces only ``MOVE``."""
        if self.pending_interrupt in (None, Interrupt.MOVE):
            self.pending_interrupt = reason
        if self._scope is not None:
            self._scope.cancel()

    @contextmanager
    def interruptible(self) -> Iterator[None]:
        """Leaves the block early when the request is interrupted."""
        with CancelScope() as scope:
            self._scope = scope
            if self.pending_interrupt is not None:
                scope.cancel()
            try:
                yield
            finally:
                self._scope = None
