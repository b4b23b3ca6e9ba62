"""Requests of one connection that were not answered yet, and their reading."""

from dataclasses import dataclass

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

# Memory of a request beside its head and body: its state, task and scope.
REQUEST_MEMORY_BYTES = 4096


class GatedFlow(FlowControl):
    """Flow control that does not resume reading while it is held.

    uvicorn resumes reading whenever an application asks for more of a body,
    also while a further request waits for its turn.
    """

    _held = False

    def hold(self, held: bool) -> None:
        """Pauses reading until this is called with ``False``."""
        self._held = held
        if held:
            self.pause_reading()
        else:
            self.resume_reading()

    def resume_reading(self) -> None:
        if not self._held:
            super().resume_reading()


@dataclass(slots=True)
class PendingRequest:
    """A request that was not answered yet."""

    # Bytes of its head and body, and what they need beside.
    held_bytes: int = REQUEST_MEMORY_BYTES
    # uvicorn's state; ``None`` before the end of the head.
    cycle: RequestResponseCycle | None = None

    def has_response(self) -> bool:
        """Whether a response was begun."""
        return self.cycle is not None and self.cycle.response_started

    def abandon(self) -> None:
        """Tells the request's task that its client is gone; frees the head.

        The event loop may read from all connections before the task runs.
        """
        if self.cycle is None:
            return
        self.cycle.disconnected = True
        self.cycle.message_event.set()
        self.cycle.body = bytearray()
        headers = self.cycle.scope["headers"]
        assert isinstance(headers, list)
        headers.clear()
