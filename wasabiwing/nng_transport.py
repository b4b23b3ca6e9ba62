"""Adapter of the ``Transport`` port: pynng push and pull sockets over TCP.

Each process has one pull socket as its inbox, and one push socket and one
task for each destination. A destination that is unreachable never blocks the
sender: its queue is bounded and the oldest message is dropped.
"""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import create_task_group
from anyio import Event
from anyio import move_on_after
from anyio import sleep
from anyio.abc import TaskGroup
from pynng import NNGException
from pynng import Pull0
from pynng import Push0
from pynng import Timeout
from result import Err

from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.messages import decode_envelope
from wasabiwing.messages import encode_envelope
from wasabiwing.messages import Envelope
from wasabiwing.messages import Message

QUEUE_LENGTH = 1024

SEND_TIMEOUT_MS = 1000

# Largest message, in bytes; a configuration chunk stays below 1 MB.
MAX_MESSAGE_BYTES = 4_000_000

# Seconds without messages after which a destination's socket and task end.
# Destinations change as members join and leave, 2,700 a day at the target
# scale.
IDLE_CLOSE_S = 60.0

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000


class _Outbox:
    """The queue of messages to one destination."""

    def __init__(self) -> None:
        self._queue: deque[bytes] = deque(maxlen=QUEUE_LENGTH)
        self._filled = Event()

    def push(self, data: bytes) -> bool:
        """Queues a message; returns whether an older one was dropped."""
        dropped = len(self._queue) == QUEUE_LENGTH
        self._queue.append(data)
        self._filled.set()
        return dropped

    async def pop(self) -> bytes | None:
        """Waits for a message; ``None`` after ``IDLE_CLOSE_S`` seconds."""
        while not self._queue:
            self._filled = Event()
            with move_on_after(IDLE_CLOSE_S) as scope:
                await self._filled.wait()
            if scope.cancelled_caught and not self._queue:
                return None
        return self._queue.popleft()


class NngTransport:
    """Sends to any number of destinations and receives from all."""

    def __init__(
        self, node_id: str, inbox: Pull0, address: str, tasks: TaskGroup
    ) -> None:
        self._node_id = node_id
        self._inbox = inbox
        self._address = address
        self._tasks = tasks
        self._outbox_by_address: dict[str, _Outbox] = {}
        # The last message with its correlation id and encoded envelope: one
        # message often goes to many destinations.
        self._last_encoded: tuple[Message, int, bytes] | None = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_messages = 0

    @property
    def address(self) -> str:
        return self._address

    def send(
        self, address: str, message: Message, correlation_id: int = 0
    ) -> None:
        data = self._encode(message, correlation_id)
        outbox = self._outbox_by_address.get(address)
        if outbox is None:
            outbox = _Outbox()
            self._outbox_by_address[address] = outbox
            self._tasks.start_soon(self._serve_destination, address, outbox)
        if outbox.push(data):
            self.dropped_messages += 1

    async def receive(self) -> Envelope:
        while True:
            data = await self._inbox.arecv()
            self.received_bytes += len(data)
            decoded = decode_envelope(data)
            if isinstance(decoded, Err):
                self._report_drop("undecodable", decoded.err_value)
                continue
            return decoded.ok_value

    def _encode(self, message: Message, correlation_id: int) -> bytes:
        last = self._last_encoded
        if last and last[0] is message and last[1] == correlation_id:
            return last[2]
        data = encode_envelope(
            Envelope(self._node_id, self._address, correlation_id, message)
        )
        self._last_encoded = (message, correlation_id, data)
        return data

    async def _serve_destination(self, address: str, outbox: _Outbox) -> None:
        with Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        ) as socket:
            try:
                socket.dial(address, block=False)
            except NNGException as error:
                self._report_drop("unusable address", f"{address}: {error}")
                del self._outbox_by_address[address]
                return
            while True:
                data = await outbox.pop()
                if data is None:
                    del self._outbox_by_address[address]
                    return
                try:
                    await socket.asend(data)
                except Timeout:
                    self._report_drop("unreachable", address)
                except NNGException as error:
                    self._report_drop("send failed", f"{address}: {error}")
                    await sleep(RECONNECT_MAX_MS / 1000)
                else:
                    self.sent_bytes += len(data)

    def _report_drop(self, reason: str, detail: str) -> None:
        self.dropped_messages += 1
        log_event(
            LogEvent.MESSAGE_DROPPED,
            self._node_id,
            reason=reason,
            detail=detail,
        )


@asynccontextmanager
async def open_transport(
    node_id: str, inbox_address: str
) -> AsyncIterator[NngTransport]:
    """Opens a process's inbox; port 0 stands for a free port.

    Raises ``NNGException`` when the address cannot be bound.
    """
    with Pull0(recv_max_size=MAX_MESSAGE_BYTES) as inbox:
        listener = inbox.listen(inbox_address)
        address = f"tcp://{listener.local_address}"
        async with create_task_group() as tasks:
            yield NngTransport(node_id, inbox, address, tasks)
            tasks.cancel_scope.cancel()
