"""Waits for a backend server with room for the next attempt of a request.

Between ``call_forwarding``, which makes the attempt, and ``server_selection``,
which chooses the server once there is room. The order of waiting requests is
that of ``request_queue``, and the longest wait follows from ``queue_order``.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from wasabiwing.answer_relay import CallProgress
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.metrics import GatewayMetrics
from wasabiwing.queue_order import is_room_too_late
from wasabiwing.queue_order import longest_wait_s
from wasabiwing.relay_peers import MOST_UNREACHABLE
from wasabiwing.request_queue import RequestQueue
from wasabiwing.request_queue import RequestQueues
from wasabiwing.request_queue import Waiter
from wasabiwing.request_queue import waiter_kind
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.server_selection import SelectedServer
from wasabiwing.timers import TimerService

# Period in seconds at which a request that awaits a permit or a slot asks for
# it again. The issuer takes one that does not for gone.
GRANT_POLL_S = 0.015

# Longest wait in seconds for a server by a request that is suspected of a
# crash: until the crash is attributed to a request, or until the same request
# has ended elsewhere in this node.
SUSPECT_WAIT_S = 0.5


class Placement(Protocol):
    """Chooses servers; see ``ServerSelector``."""

    def choose_server(
        self, call: RoutedCall, tried: frozenset[str]
    ) -> Result[SelectedServer, Failure]:
        """Returns the server for the next attempt of a request."""

    def give_up(self, call: RoutedCall) -> None:
        """Records that a request looks for no server any more."""

    def awaits_grant(self, call: RoutedCall) -> bool:
        """Whether a request awaits a permit or a slot that is its own."""

    async def wait_for_grant(self, seconds: float) -> None:
        """Waits until a permit or a slot comes, for ``seconds`` at most."""


class ServerWait:
    """Finds servers for the requests of one node, and waits for room."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        placement: Placement,
        queues: RequestQueues,
        metrics: GatewayMetrics,
        suspect_digest: Callable[[RoutedCall], str],
        stop_refusal: Callable[[RoutedCall, float], Failure | None],
        unreachable_share: Callable[[RoutedCall], float],
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._placement = placement
        self._queues = queues
        self._metrics = metrics
        self._suspect_digest = suspect_digest
        self._stop_refusal = stop_refusal
        self._unreachable_share = unreachable_share

    async def wait(
        self, call: RoutedCall, progress: CallProgress
    ) -> SelectedServer | Failure:
        """Returns a server for the next attempt, or why there is none.

        While no server has room, the request waits in its service's queue.
        """
        if (
            progress.relayed
            and self._unreachable_share(call) >= MOST_UNREACHABLE
        ):
            return Failure(ResultCode.CONNECT_FAILED, "few servers reached")
        refusal = self._stop_refusal(call, progress.came_at)
        if refusal is not None:
            return refusal
        queue = self._queues.queue(call.service)
        suspect_digest = self._suspect_digest(call)
        kind = waiter_kind(
            call, frozenset(progress.tried_server_ids), suspect_digest
        )
        if not queue.has_precedence(call, kind):
            placed = self._choose(call, progress)
            if isinstance(placed, Ok):
                self._queues.note_placed(call)
                return placed.ok_value
            if placed.err_value.code is not ResultCode.OVERLOADED:
                self._placement.give_up(call)
                return placed.err_value
        waiter = self._queues.join(call, kind)
        ahead = queue.position(waiter)
        served = False
        try:
            placed = await self._wait_in_queue(
                waiter, progress, queue, suspect_digest
            )
            served = isinstance(placed, Ok)
        finally:
            self._queues.leave(waiter, served)
            self._note_waited(waiter, ahead, served)
        if isinstance(placed, Ok):
            self._queues.note_placed(call)
            return placed.ok_value
        return placed.err_value

    async def _wait_in_queue(
        self,
        waiter: Waiter,
        progress: CallProgress,
        queue: RequestQueue,
        suspect_digest: str,
    ) -> Result[SelectedServer, Failure]:
        """Returns the server for a waiting request, or why there is none."""
        call = waiter.call
        now = waiter.joined_at
        wait_s = longest_wait_s(call.leaves_at - now)
        if suspect_digest:
            wait_s = min(wait_s, SUSPECT_WAIT_S)
        # The first look for a server has failed or was left to those ahead.
        failure = Failure(ResultCode.OVERLOADED, "others wait")
        room_s = queue.predicted_room_s(waiter)
        wait_until = now + wait_s
        if is_room_too_late(room_s, wait_s):
            wait_until = now
        while True:
            waiter.has_own_signal = self._placement.awaits_grant(call)
            if wait_until <= now or is_room_too_late(
                room_s, call.leaves_at - now
            ):
                self._placement.give_up(call)
                return Err(_with_return(failure, room_s))
            if waiter.has_own_signal:
                await self._placement.wait_for_grant(GRANT_POLL_S)
            else:
                await queue.wait(waiter, wait_until - now)
            placed = self._choose(call, progress)
            if isinstance(placed, Ok):
                return placed
            failure = placed.err_value
            if failure.code is not ResultCode.OVERLOADED:
                self._placement.give_up(call)
                return placed
            queue.note_failed(waiter)
            now = self._timer.now()
            room_s = queue.predicted_room_s(waiter)

    def _choose(
        self, call: RoutedCall, progress: CallProgress
    ) -> Result[SelectedServer, Failure]:
        placed = self._placement.choose_server(
            call, frozenset(progress.tried_server_ids)
        )
        if isinstance(placed, Err) and progress.silent_server_ids:
            # Those that took over have refused.
            tried = progress.tried_server_ids - progress.silent_server_ids
            placed = self._placement.choose_server(call, frozenset(tried))
        return placed

    def _note_waited(self, waiter: Waiter, ahead: int, served: bool) -> None:
        """Logs and counts the wait of a request."""
        call = waiter.call
        wait_s = self._timer.now() - waiter.joined_at
        self._metrics.queue_wait.labels(call.service).observe(wait_s)
        log_event(
            Event.REQUEST_WAITED,
            self._node_id,
            request=call.head.attempt_id,
            route=call.route.name,
            organisation=call.organisation_name,
            ahead=ahead,
            served=served,
            wait_s=round(wait_s, 3),
        )


def _with_return(failure: Failure, room_s: float | None) -> Failure:
    """Returns a refusal whose caller returns when there is room."""
    if failure.retry_after_s is not None or room_s is None:
        return failure
    return replace(failure, retry_after_s=room_s)
