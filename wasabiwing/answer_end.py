"""Decides whether an answer that has ended is a whole answer.

A length or a last chunk proves the end of an answer. An answer with neither
ends with its connection, as does one whose server has crashed.

Load pattern: servers that crash, or leave, while they send such answers. What
tells the two apart is mostly outside the answer: a server that accepts no
connection any more, that cut other requests at the same moment, or that has
not taken its whole request. A server that leaves may stop to listen before its
last answers. They are whole if its process outlives them, or if they show
their own end; where nothing tells, they are broken off, which their callers
can see.
"""

from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from enum import StrEnum
from math import inf
from typing import Generic
from typing import Protocol
from typing import TypeVar

from anyio import move_on_after
from msgspec.json import decode

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.routed_calls import RawHeaders
from wasabiwing.timers import TimerService

# Statuses of answers that never have a body: no content, not modified.
BODYLESS_STATUSES = (204, 304)

SUCCESS_STATUSES = range(200, 300)

# Statuses that a final answer may have, by RFC 9110, section 15.
DEFINED_STATUSES = range(200, 600)

# Time in seconds before the end of an answer within which a cut of another
# request shows that the server crashed.
CUT_WINDOW_S = 0.1

# Number of servers whose latest cut is remembered.
MAX_CUT_SERVERS = 4096

# Media type of JSON documents, and the suffix of types that are based on it.
JSON_TYPE = b"application/json"
JSON_SUFFIX = b"+json"

# First bytes of JSON values of which no proper part is a value. A part of a
# number may be one.
JSON_BEGINNINGS = (b"{", b"[", b'"')

# Share of the time left to a request for which its answer may be checked.
CHECK_SHARE = 0.5


class Framing(StrEnum):
    """How an answer states where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # The body lasts until the server closes the connection.
    CONNECTION = "connection"
    # The answer has no body.
    NONE = "none"


def answer_framing(method: str, status: int, headers: RawHeaders) -> Framing:
    """Returns the framing of an answer, by RFC 9112, section 6.3."""
    if method == "HEAD" or status in BODYLESS_STATUSES:
        return Framing.NONE
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION


def status_fault(status: int) -> Failure | None:
    """Returns why an answer's status makes it no answer, or ``None``.

    The request may have run: nothing else that the server says is credible.
    """
    if status in DEFINED_STATUSES:
        return None
    return Failure(
        ResultCode.SERVER_ERROR,
        f"status {status}, which HTTP does not define",
        RunState.MAY_HAVE_RUN,
    )


def is_whole_document(headers: RawHeaders, body: bytes) -> bool:
    """Whether a body is a JSON document that shows its own end."""
    value_by_name = {name.lower(): value for name, value in headers}
    media_type = value_by_name.get(b"content-type", b"").partition(b";")[0]
    media_type = media_type.strip().lower()
    is_json = media_type == JSON_TYPE or media_type.endswith(JSON_SUFFIX)
    if not is_json or not body.lstrip().startswith(JSON_BEGINNINGS):
        return False
    try:
        decode(body)
    except UNDECODABLE:
        return False
    return True


class EndedServer(Protocol):
    """Backend server that has ended an answer."""

    @property
    def id(self) -> str:
        """Id of the backend server."""

    @property
    def address(self) -> str:
        """Address of the backend server, as ``host:port``."""


ServerT = TypeVar("ServerT", bound=EndedServer)


class EndJudge(Generic[ServerT]):
    """Judges the ends of answers that one process gets.

    ``is_leaving`` tells whether a server has announced that it ends; it may
    then close its listener before its last answers, or end in the middle of
    one. ``listens`` tells whether a process listens at an address; ``None``
    if the address does not answer. ``keeps_connection`` tells whether a
    server's process still holds another connection of this process some time
    after the end of an answer.
    """

    def __init__(
        self,
        timer: TimerService,
        is_leaving: Callable[[ServerT], bool],
        listens: Callable[[str], Awaitable[bool | None]],
        keeps_connection: Callable[[ServerT], Awaitable[bool]],
    ) -> None:
        self._timer = timer
        self._is_leaving = is_leaving
        self._listens = listens
        self._keeps_connection = keeps_connection
        # Monotonic time of the latest cut, by server id.
        self._cut_at_by_server: OrderedDict[str, float] = OrderedDict()

    def note_cut(self, server: ServerT) -> None:
        """Records that a server ended a connection within an answer."""
        self._cut_at_by_server[server.id] = self._timer.now()
        self._cut_at_by_server.move_to_end(server.id)
        if len(self._cut_at_by_server) > MAX_CUT_SERVERS:
            self._cut_at_by_server.popitem(last=False)

    async def failure(
        self,
        server: ServerT,
        framing: Framing,
        has_content: bool,
        remaining_s: float,
        is_inside_event: bool = False,
        may_be_continued: bool = False,
        took_request: Callable[[], bool] = lambda: True,
        shows_end: Callable[[], bool] = lambda: False,
    ) -> Failure | None:
        """Returns why an ended answer is not whole, or ``None``.

        ``has_content`` says whether the answer brought an event, or a byte of
        a plain body. Without any, the end of a connection is no answer. The
        end of an answer without length and chunks waits while its server is
        probed; ``remaining_s`` is the time left until its caller gives up.
        ``may_be_continued`` says that another server may carry on a stream
        after its last event, and then proves its end. ``took_request`` tells
        whether the server accepted every byte of the request, ``shows_end``
        whether the content itself shows that it is whole.
        """
        if is_inside_event:
            return self._cut(server, "ended inside an event")
        if framing is not Framing.CONNECTION:
            return None
        if not has_content:
            return self._cut(
                server, "ended with its connection before any content"
            )
        if not took_request():
            return self._cut(server, "ended before its request was taken")
        ended_at = self._timer.now()
        listens: bool | None = None
        is_alive = False
        with move_on_after(max(remaining_s, 0.0) * CHECK_SHARE):
            listens = await self._listens(server.address)
            is_alive = listens is True or (
                self._is_leaving(server)
                and await self._keeps_connection(server)
            )
        if not took_request():
            return self._cut(server, "was reset after its end")
        is_leaving = self._is_leaving(server)
        if listens is False and not is_leaving:
            return self._cut(server, "ended as its server stopped to listen")
        if (
            is_leaving
            and not is_alive
            and (may_be_continued or not shows_end())
        ):
            # A planned end is no evidence of a crash.
            return Failure(
                ResultCode.STREAM_INCOMPLETE,
                "nothing shows that its server, which leaves, outlived it",
                RunState.MAY_HAVE_RUN,
            )
        cut_at = self._cut_at_by_server.get(server.id, -inf)
        if cut_at >= ended_at - CUT_WINDOW_S:
            return self._cut(server, "ended as its server cut other answers")
        return None

    def _cut(self, server: ServerT, detail: str) -> Failure:
        self.note_cut(server)
        return Failure(ResultCode.SERVER_CUT, detail, RunState.MAY_HAVE_RUN)
