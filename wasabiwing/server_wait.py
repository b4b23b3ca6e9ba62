"""Waits for a backend server with room for the next attempt of a request.

Between ``call_forwarding``, which makes the attempt, and ``server_selection``,
which chooses the server. A request waits only while a server may have room
again soon.
"""

from collections.abc import Callable

from result import Err

from wasabiwing.answer_relay import CallProgress
from wasabiwing.call_refusal import max_wait_for_server_s
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.quarantine import Quarantine
from wasabiwing.relay_peers import MOST_UNREACHABLE
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_selection import SelectedServer
from wasabiwing.server_selection import ServerSelector
from wasabiwing.timers import TimerService

# Period in seconds at which a waiting request looks for a server with room.
SERVER_POLL_S = 0.015

# Longest wait in seconds for a server by a request that is suspected of a
# crash: until the crash is attributed to a request, or until the same request
# has ended elsewhere in this node.
SUSPECT_WAIT_S = 0.5


class ServerWait:
    """Finds servers for the requests of one node, and waits for room."""

    def __init__(
        self,
        timer: TimerService,
        placement: ServerSelector,
        quarantine: Quarantine[RegisteredServer],
        stop_refusal: Callable[[RoutedCall, float], Failure | None],
        unreachable_share: Callable[[RoutedCall], float],
    ) -> None:
        self._timer = timer
        self._placement = placement
        self._quarantine = quarantine
        self._stop_refusal = stop_refusal
        self._unreachable_share = unreachable_share

    async def wait(
        self, call: RoutedCall, progress: CallProgress
    ) -> SelectedServer | Failure:
        """Returns a server for the next attempt, or why there is none.

        While no server has room, the request waits for a short time.
        """
        if (
            progress.relayed
            and self._unreachable_share(call) >= MOST_UNREACHABLE
        ):
            return Failure(ResultCode.CONNECT_FAILED, "few servers reached")
        wait_s = max_wait_for_server_s(call.route.latency_target_s)
        if self._quarantine.suspect_digest(call):
            wait_s = SUSPECT_WAIT_S
        wait_until = self._timer.now() + wait_s
        refusal = self._stop_refusal(call, progress.came_at)
        if refusal is not None:
            return refusal
        while True:
            placed = self._placement.choose_server(
                call, frozenset(progress.tried_server_ids)
            )
            if isinstance(placed, Err) and progress.silent_server_ids:
                # Those that took over have refused.
                tried = progress.tried_server_ids - progress.silent_server_ids
                placed = self._placement.choose_server(call, frozenset(tried))
            if not isinstance(placed, Err):
                return placed.ok_value
            failure = placed.err_value
            waiting_helps = failure.code is ResultCode.OVERLOADED
            if not waiting_helps or self._timer.now() >= wait_until:
                self._placement.give_up(call)
                return failure
            await self._placement.wait_for_room(SERVER_POLL_S)
