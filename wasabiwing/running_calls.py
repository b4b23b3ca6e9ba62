"""The requests that one node serves at the moment."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field

from anyio import CancelScope

from wasabiwing.answer_relay import AnswerOutput
from wasabiwing.routed_calls import RoutedCall


@dataclass(eq=False, slots=True)
class RunningCall:
    """A request that is being served."""

    call: RoutedCall
    output: AnswerOutput
    # The scope in which the request is served.
    scope: CancelScope = field(default_factory=CancelScope)
    # Whether it was cancelled because the process is about to be killed.
    ended_by_stop: bool = False


class RunningCalls:
    """Keeps the requests that are being served by one node."""

    def __init__(self) -> None:
        self._running: set[RunningCall] = set()

    @contextmanager
    def add(
        self, call: RoutedCall, output: AnswerOutput
    ) -> Iterator[RunningCall]:
        """Keeps a request while its block runs."""
        running = RunningCall(call, output)
        self._running.add(running)
        try:
            yield running
        finally:
            self._running.discard(running)

    def all(self) -> tuple[RunningCall, ...]:
        """Returns the requests, the oldest first."""
        return tuple(
            sorted(self._running, key=lambda item: item.call.received_at)
        )
