"""Dispatch of received messages to handlers by message type."""

from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from typing import cast
from typing import TypeVar

from wasabiwing.error_containment import run_logging_errors
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message
from wasabiwing.ports import Transport

M = TypeVar("M", bound=Message)

Handler = Callable[[Envelope, M], Awaitable[None]]


class MessageRouter:
    """Reads the inbox of one process and calls the registered handlers."""

    def __init__(self, node_id: str, transport: Transport) -> None:
        self._node_id = node_id
        self._transport = transport
        self._handler_by_type: dict[type, Handler[Message]] = {}

    def register(self, message_type: type[M], handler: Handler[M]) -> None:
        """Sets the handler of one message type."""
        self._handler_by_type[message_type] = cast(Handler[Message], handler)

    async def run(self) -> None:
        """Reads and dispatches messages until cancelled.

        Errors of handlers are logged and do not end the loop. Handlers run
        one after the other, so a handler that has to wait for another process
        must start a task of its own.
        """
        while True:
            envelope = await self._transport.receive()
            handler = self._handler_by_type.get(type(envelope.body))
            if handler is None:
                log_event(
                    Event.MESSAGE_DROPPED,
                    self._node_id,
                    reason="no handler",
                    detail=type(envelope.body).__name__,
                )
                continue
            await run_logging_errors(
                self._node_id,
                type(envelope.body).__name__,
                partial(handler, envelope, envelope.body),
            )
