"""Relays requests to nodes that reach the backend servers.

The other node treats a relayed request as a caller's own, except that its
usage cap is charged here and that it is not relayed again. Its answer is
passed on: events of a stream as they come, other answers once they are whole.
"""

from dataclasses import dataclass
from functools import partial

from msgspec.json import decode
from result import Err

from wasabiwing.answer_end import answer_framing
from wasabiwing.answer_end import EndJudge
from wasabiwing.answer_end import Framing
from wasabiwing.answer_end import is_whole_document
from wasabiwing.answer_end import SUCCESS_STATUSES
from wasabiwing.answer_relay import AnswerOutput
from wasabiwing.answer_relay import CallProgress
from wasabiwing.answer_relay import send_whole
from wasabiwing.answer_relay import WholeAnswer
from wasabiwing.answer_relay import without_length
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.codes import RunState
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.relay_peers import ATTEMPTS_LEFT
from wasabiwing.relay_peers import DECLINED
from wasabiwing.relay_peers import RELAY_HEADERS
from wasabiwing.relay_peers import RELAYED_BY
from wasabiwing.relay_peers import RelayPeer
from wasabiwing.relay_peers import RelayPeers
from wasabiwing.routed_calls import AnswerHead
from wasabiwing.routed_calls import CallCodec
from wasabiwing.routed_calls import RawHeaders
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.run_promises import PROMISE_STATUSES
from wasabiwing.run_promises import unproved_promise
from wasabiwing.server_connections import DEFAULT_IDLE_TIMEOUT_S
from wasabiwing.server_connections import ServerAnswer
from wasabiwing.server_connections import ServerConnections
from wasabiwing.server_probe import ListenerProbe
from wasabiwing.server_probe import server_listens
from wasabiwing.service_configuration import RouteKind
from wasabiwing.timers import TimerService


@dataclass(frozen=True, slots=True)
class RelayEnd:
    """How the relay of a request has ended."""

    # Whether another node took the request.
    taken: bool
    # ``None`` if the caller got the answer.
    failure: Failure | None = None
    # Whether no further attempt may follow.
    final: bool = False


DECLINED_BY_ALL = RelayEnd(False)


class PeerRelay:
    """Relays requests of one node to others."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        codec: CallCodec,
        peers: RelayPeers,
        connections: ServerConnections,
        listens: ListenerProbe = server_listens,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._codec = codec
        self._peers = peers
        self._connections = connections
        # Any node may stop to listen before its last answers.
        self._end_judge: EndJudge[RelayPeer] = EndJudge(
            timer,
            lambda peer: True,
            listens,
            lambda peer: connections.keeps_connection(peer.id),
        )

    async def relay(
        self, call: RoutedCall, progress: CallProgress, output: AnswerOutput
    ) -> RelayEnd:
        """Asks other nodes in turn until one takes the request."""
        for peer in self._peers.choose():
            log_event(
                Event.REQUEST_RELAYED,
                self._node_id,
                request=call.head.attempt_id,
                route=call.route.name,
                to=peer.id,
            )
            # The request counts as run until it is known not to have run.
            progress.possible_runs += 1
            end = await self._ask(peer, call, progress, output)
            if not end.taken or _has_not_run(end.failure):
                progress.possible_runs -= 1
            if end.taken:
                return end
        return DECLINED_BY_ALL

    def any_available(self) -> bool:
        """Whether there is another node to ask."""
        return self._peers.any_available()

    async def close_expired(self) -> None:
        """Closes connections to nodes that may no longer be used."""
        await self._connections.close_expired()

    async def _ask(
        self,
        peer: RelayPeer,
        call: RoutedCall,
        progress: CallProgress,
        output: AnswerOutput,
    ) -> RelayEnd:
        remaining_s = call.deadline - self._timer.now()
        sent = await self._connections.send(
            peer.id,
            peer.address,
            call.method,
            call.target,
            self._headers(call, progress, remaining_s),
            call.body,
            remaining_s,
        )
        if isinstance(sent, Err):
            failure = sent.err_value
            if failure.run_state is RunState.NOT_RUN:
                self._peers.note_unreachable(peer.id)
                await self._connections.close_idle(peer.id)
                self._log_declined(call, peer, failure.detail)
                return DECLINED_BY_ALL
            return RelayEnd(True, _broken_off(peer, failure))
        answer = sent.ok_value
        whole = False
        try:
            end = await self._pass_on(peer, call, answer, progress, output)
            whole = not end.taken or end.final or end.failure is None
            return end
        finally:
            await answer.close(DEFAULT_IDLE_TIMEOUT_S if whole else None)

    def _headers(
        self, call: RoutedCall, progress: CallProgress, remaining_s: float
    ) -> RawHeaders:
        # This attempt is counted already.
        attempts_left = call.route.max_attempts - progress.possible_runs + 1
        return (
            *self._codec.peer_headers(
                call, remaining_s, progress.event_splitter.last_event_id
            ),
            (RELAYED_BY, self._node_id.encode()),
            (ATTEMPTS_LEFT, str(max(attempts_left, 1)).encode()),
        )

    async def _pass_on(
        self,
        peer: RelayPeer,
        call: RoutedCall,
        answer: ServerAnswer,
        progress: CallProgress,
        output: AnswerOutput,
    ) -> RelayEnd:
        """Passes another node's answer on to the caller."""
        head = self._codec.read_answer(answer.status, answer.headers)
        reason = _declined(answer.headers)
        if reason:
            await answer.read()
            self._peers.note_declined(peer.id)
            self._log_declined(call, peer, reason)
            return DECLINED_BY_ALL
        is_success = answer.status in SUCCESS_STATUSES
        if head.attempt_id not in ("", call.head.attempt_id) or (
            is_success and not head.stamped
        ):
            return RelayEnd(
                True,
                _broken_off(
                    peer, Failure(ResultCode.SERVER_ERROR, "another answer")
                ),
            )
        if is_success and call.route.kind is RouteKind.STREAM:
            return await self._pass_on_stream(
                peer, call, answer, head, progress, output
            )
        body = await answer.read()
        if isinstance(body, Err):
            return RelayEnd(True, _broken_off(peer, body.err_value))
        end_failure = await self._end_judge.failure(
            peer,
            _framing(call, answer),
            bool(body.ok_value) or not is_success,
            call.deadline - self._timer.now(),
            took_request=answer.took_request,
            shows_end=partial(
                is_whole_document, answer.headers, body.ok_value
            ),
        )
        if end_failure is not None:
            return RelayEnd(True, _broken_off(peer, end_failure))
        whole_answer = WholeAnswer(
            answer.status,
            _without_relay_headers(head.forwarded_headers),
            body.ok_value,
            _framing(call, answer) is not Framing.CONNECTION,
        )
        false_promise = unproved_promise(
            answer.status,
            head.not_run
            or (not head.stamped and _states_not_run(body.ok_value)),
            call.route.repeatable,
        )
        if false_promise is not None:
            # A node of an earlier build passes on what servers say.
            return RelayEnd(True, _broken_off(peer, false_promise), final=True)
        if not head.stamped:
            return self._refused(peer, whole_answer, progress, output)
        if output.started:
            failure = Failure(
                ResultCode.STREAM_INCOMPLETE,
                f"status {answer.status} on resume",
                RunState.RAN,
            )
            return RelayEnd(True, failure, final=True)
        await send_whole(output, whole_answer)
        return RelayEnd(True)

    def _refused(
        self,
        peer: RelayPeer,
        answer: WholeAnswer,
        progress: CallProgress,
        output: AnswerOutput,
    ) -> RelayEnd:
        """Returns the end of a request that the other node has failed."""
        not_run = answer.status in PROMISE_STATUSES
        earlier_runs = progress.possible_runs > 1
        if not output.started and not (not_run and earlier_runs):
            progress.fallback_answer = answer
        return RelayEnd(
            True,
            Failure(
                ResultCode.ATTEMPT_FAILED,
                f"status {answer.status} of node {peer.id}",
                RunState.NOT_RUN if not_run else RunState.MAY_HAVE_RUN,
            ),
            final=True,
        )

    async def _pass_on_stream(
        self,
        peer: RelayPeer,
        call: RoutedCall,
        answer: ServerAnswer,
        head: AnswerHead,
        progress: CallProgress,
        output: AnswerOutput,
    ) -> RelayEnd:
        """Passes on the events of a stream, each once it is complete."""
        cutter = progress.event_splitter
        events_before = cutter.event_count
        headers = without_length(
            _without_relay_headers(head.forwarded_headers)
        )
        states_end = _framing(call, answer) is not Framing.CONNECTION
        async for chunk in answer.chunks():
            if isinstance(chunk, Err):
                cutter.discard_incomplete_event()
                return RelayEnd(True, _broken_off(peer, chunk.err_value))
            events = cutter.feed(chunk.ok_value)
            if cutter.is_event_too_long:
                cutter.discard_incomplete_event()
                failure = Failure(ResultCode.SERVER_CUT, "an endless event")
                return RelayEnd(True, _broken_off(peer, failure))
            if not events:
                continue
            progress.last_event_at = self._timer.now()
            if not output.started:
                await output.start(answer.status, headers, states_end)
            await output.write(events)
        if cutter.is_inside_event or (not states_end and output.states_end):
            cutter.discard_incomplete_event()
            failure = Failure(ResultCode.SERVER_CUT, "the end is not proved")
            return RelayEnd(True, _broken_off(peer, failure))
        end_failure = await self._end_judge.failure(
            peer,
            _framing(call, answer),
            cutter.event_count > events_before,
            call.deadline - self._timer.now(),
            took_request=answer.took_request,
        )
        if end_failure is not None:
            return RelayEnd(True, _broken_off(peer, end_failure))
        if not output.started:
            await output.start(answer.status, headers)
        await output.finish()
        return RelayEnd(True)

    def _log_declined(
        self, call: RoutedCall, peer: RelayPeer, reason: str
    ) -> None:
        log_event(
            Event.RELAY_DECLINED,
            self._node_id,
            request=call.head.attempt_id,
            by=peer.id,
            reason=reason,
        )


def _framing(call: RoutedCall, answer: ServerAnswer) -> Framing:
    return answer_framing(
        call.method.decode("latin-1"), answer.status, answer.headers
    )


def _declined(headers: RawHeaders) -> str:
    """Returns why a node declined a request, or ``""``."""
    for name, value in headers:
        if name.lower() == DECLINED:
            return value.decode("latin-1") or "declined"
    return ""


def _states_not_run(body: bytes) -> bool:
    """Whether a node's error document states that a request has not run."""
    try:
        document = decode(body, type=dict[str, dict[str, object]])
    except UNDECODABLE:
        return False
    return document.get("error", {}).get("run") == RunState.NOT_RUN.value


def _without_relay_headers(headers: RawHeaders) -> RawHeaders:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in RELAY_HEADERS
    )


def _broken_off(peer: RelayPeer, failure: Failure) -> Failure:
    """Returns the failure of a request whose relay ended before its answer."""
    return Failure(
        ResultCode.ATTEMPT_FAILED,
        f"node {peer.id}: {failure.code.name} {failure.detail}",
        RunState.MAY_HAVE_RUN,
    )


def _has_not_run(failure: Failure | None) -> bool:
    return failure is not None and failure.run_state is RunState.NOT_RUN
