"""Chooses the backend server for one attempt of a routed request.

Collects what the node knows of the fleet, the servers' loads and their prompt
caches; ``server_choice`` scores the servers, and ``call_refusal`` says when a
request is refused.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace

from result import Err
from result import Ok
from result import Result

from wasabiwing.call_refusal import misses_deadline
from wasabiwing.call_refusal import misses_deadline_as_late
from wasabiwing.call_refusal import misses_latency_target
from wasabiwing.candidate_sets import candidate_sets
from wasabiwing.candidate_sets import expected_cached_tokens
from wasabiwing.candidate_sets import prompt_group_size
from wasabiwing.candidate_sets import PROMPT_SET_SIZE
from wasabiwing.candidate_sets import search_candidate_sets
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.cold_rate_limiter import ColdRateLimiter
from wasabiwing.fleet_follower import FleetView
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.queue_order import longest_wait_s
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.send_permits import MAX_DESCRIBED
from wasabiwing.send_permits import SendPermits
from wasabiwing.server_choice import Candidate
from wasabiwing.server_choice import choose_server
from wasabiwing.server_choice import has_room
from wasabiwing.server_choice import ServerChoice
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_loads import ServerLoads
from wasabiwing.server_pace import ServerPace
from wasabiwing.server_slots import MAX_AWAITED_S
from wasabiwing.server_slots import ServerSlots
from wasabiwing.server_statements import ServerStatements
from wasabiwing.server_statements import WithholdReason
from wasabiwing.shared_part_loads import SharedPartLoads
from wasabiwing.suspect_isolation import SuspectIsolation
from wasabiwing.timers import TimerService
from wasabiwing.zone_heads import MAX_FULL_MESH_NODES


@dataclass(frozen=True, slots=True)
class SelectedServer:
    """The server chosen for one attempt, with the choice's predictions."""

    server: RegisteredServer
    choice: ServerChoice
    # Tokens of this prompt that the server has to compute.
    uncached_tokens: int
    # Tokens of other prompts that the server has to compute before it.
    queued_tokens: float
    # Version of the configuration that the choice is based on.
    version: int
    # Digest of a request that is suspected of crashes; empty for others.
    suspect_digest: str = ""
    # Factors on the server's time for a piece of work; 1 as usual. The second
    # follows from its statements alone.
    slowdown: float = 1.0
    stated_slowdown: float = 1.0
    # Whether the request is to be sent as late work.
    late: bool = False


@dataclass(frozen=True, slots=True)
class _Evaluation:
    """The best server of a set of candidates."""

    choice: ServerChoice
    candidate: Candidate
    # Why the request cannot be answered in time there; ``None`` if it can.
    failure: Failure | None


class ServerSelector:
    """Chooses the backend servers for the requests of one node."""

    def __init__(
        self,
        node_id: str,
        availability_zone: str,
        timer: TimerService,
        view: FleetView,
        nodes: NodeRegistry,
        loads: ServerLoads,
        prompts: PromptCacheIndex,
        rates: PrefillRates,
        isolation: SuspectIsolation,
        statements: ServerStatements,
        permits: SendPermits,
        is_unreachable: Callable[[str], bool],
        slots: ServerSlots,
        pace: ServerPace,
        has_idle_connection: Callable[[str], bool] = lambda server_id: True,
    ) -> None:
        self._availability_zone = availability_zone
        self._timer = timer
        self._view = view
        self._nodes = nodes
        self._loads = loads
        self._prompts = prompts
        self._rates = rates
        self._isolation = isolation
        self._statements = statements
        self._permits = permits
        self._is_unreachable = is_unreachable
        self._slots = slots
        self._pace = pace
        self._has_idle_connection = has_idle_connection
        self._cold_rate_limiter = ColdRateLimiter(node_id, timer)
        self._part_loads = SharedPartLoads(timer)

    def server_ids(self, service: str) -> frozenset[str]:
        """Returns the ids of the servers that may get a service's requests."""
        return frozenset(server.id for server in self._view.servers(service))

    def fleet_work_s(self, service: str, tokens: float) -> float:
        """Returns how long the servers compute some tokens of each node."""
        count = max(len(self._view.servers(service)), 1)
        token_s = self._rates.prefill_s_per_token(service)
        return tokens * token_s * self._nodes.count / count

    def choose_server(
        self,
        call: RoutedCall,
        tried: frozenset[str],
        needs_room: bool = False,
    ) -> Result[SelectedServer, Failure]:
        """Returns the server for the next attempt of a request.

        ``tried`` holds the ids of the servers of earlier attempts. A server
        without a free slot is chosen only if not ``needs_room``. The error
        ``NO_BACKEND_SERVER`` says that no other server may take the request,
        ``OVERLOADED`` that none has room at this moment,
        ``DEADLINE_UNREACHABLE`` that the answer would begin too late for the
        caller's deadline, and ``QUARANTINED`` that the request crashes
        servers. If it would begin far after the route's latency target but
        early enough for the caller, the server gets it as late work.
        """
        refusal = self._isolation.refusal(call)
        if refusal is not None:
            return Err(refusal)
        servers = self._view.servers(call.service)
        untried = [server for server in servers if server.id not in tried]
        if not untried:
            return Err(Failure(ResultCode.NO_BACKEND_SERVER, call.service))
        accepting = self._accepting_servers(call, untried)
        if isinstance(accepting, Err):
            return accepting
        allowed_servers = [
            server
            for server in accepting.ok_value
            if self._is_within_cold_rate(call, server)
        ]
        if not allowed_servers:
            cold = ",".join(server.id for server in accepting.ok_value)
            return Err(Failure(ResultCode.OVERLOADED, f"cold: {cold}"))
        digest = self._isolation.suspect_digest(call)
        allowed_ids = frozenset(
            self._isolation.allowed_servers(
                digest,
                [server.id for server in allowed_servers],
                lambda server_id: self._running_requests(call, server_id),
            )
        )
        if not allowed_ids:
            return Err(Failure(ResultCode.OVERLOADED, "suspected of a crash"))
        allowed_servers = [
            item for item in allowed_servers if item.id in allowed_ids
        ]
        evaluated = self._choose_within_pace(
            call, allowed_servers, [server.id for server in servers]
        )
        if isinstance(evaluated, Err):
            return evaluated
        evaluation = evaluated.ok_value
        late = None
        if evaluation.failure is not None:
            late = None if needs_room else self._late(call, allowed_servers)
            if late is None:
                return Err(evaluation.failure)
            evaluation = late
        choice, chosen = evaluation.choice, evaluation.candidate
        if needs_room and not has_room(chosen):
            return Err(Failure(ResultCode.OVERLOADED, f"full: {chosen.id}"))
        server = next(
            server for server in allowed_servers if server.id == chosen.id
        )
        configuration = self._view.configuration
        if self._view.directory.is_cold(server.id):
            self._cold_rate_limiter.take_token(server.id)
        self._note_part_load(call)
        self._permits.note_sent(call.service, server.id, call.request_id)
        self._slots.note_sent(call.service, server.id, call.request_id)
        return Ok(
            SelectedServer(
                server,
                choice,
                chosen.uncached_tokens,
                chosen.load.pending_tokens,
                0 if configuration is None else configuration.version,
                digest,
                chosen.load.slowdown,
                self._loads.speeds.stated_slowdown(server.id),
                late is not None,
            )
        )

    def _late(
        self, call: RoutedCall, servers: list[RegisteredServer]
    ) -> _Evaluation | None:
        """Returns the best server for a request that is sent as late work.

        The result is ``None`` if none is predicted to begin it early enough.
        Brittle servers and those without a permit are left to other requests.
        """
        brittle = self._slots.brittle_servers(
            call.service, (server.id for server in servers)
        )
        usable = [
            server
            for server in self._permitted_servers(call, servers)
            if server.id not in brittle
        ]
        if not usable:
            return None
        found = self._choose_from_sets(replace(call, late=True), usable)
        return found if found.failure is None else None

    def _accepting_servers(
        self, call: RoutedCall, servers: list[RegisteredServer]
    ) -> Result[list[RegisteredServer], Failure]:
        """Returns the servers that, as they state, accept requests.

        If no server does, the error is ``OVERLOADED``, after which the
        request waits, only where one accepts requests again within the time
        that a request may wait for a server.
        """
        reason_by_id = {
            server.id: self._statements.withhold_reason(server.id)
            for server in servers
        }
        accepting = [
            server for server in servers if reason_by_id[server.id] is None
        ]
        if accepting:
            return Ok(accepting)
        detail = ",".join(
            f"{server_id} {reason}"
            for server_id, reason in sorted(reason_by_id.items())
        )
        reasons = set(reason_by_id.values())
        if WithholdReason.STARTING in reasons:
            return Err(Failure(ResultCode.OVERLOADED, detail))
        if reasons == {WithholdReason.LEAVING}:
            return Err(Failure(ResultCode.NO_BACKEND_SERVER, detail))
        shortest_pause_s = self._statements.shortest_pause_left_s(
            server_id
            for server_id, reason in reason_by_id.items()
            if reason is WithholdReason.UNWANTED
        )
        may_wait = shortest_pause_s <= self._longest_wait_s(call)
        return Err(
            Failure(
                ResultCode.OVERLOADED
                if may_wait
                else ResultCode.NO_BACKEND_SERVER,
                detail,
                retry_after_s=shortest_pause_s,
            )
        )

    def _choose_within_pace(
        self,
        call: RoutedCall,
        allowed_servers: list[RegisteredServer],
        service_ids: Sequence[str],
    ) -> Result[_Evaluation, Failure]:
        """Returns the best server, preferably within its slow start.

        A server whose admission window is full is used where the others have
        no room or would answer too late.
        """
        node_ids = self._nodes.node_ids()
        paced = [
            server
            for server in allowed_servers
            if self._pace.may_send(
                server.id, self._loads.own_pending_count(server.id), node_ids
            )
        ]
        if paced and len(paced) < len(allowed_servers):
            evaluated = self._choose_within_slots(call, paced, service_ids)
            if isinstance(evaluated, Ok):
                evaluation = evaluated.ok_value
                if evaluation.failure is None and has_room(
                    evaluation.candidate
                ):
                    return evaluated
        return self._choose_within_slots(call, allowed_servers, service_ids)

    def _choose_within_slots(
        self,
        call: RoutedCall,
        allowed_servers: list[RegisteredServer],
        service_ids: Iterable[str],
    ) -> Result[_Evaluation, Failure]:
        """Returns the best server, a brittle one only with a slot of it.

        A request asks for a slot where the other servers have no room. The
        error is ``OVERLOADED`` while a slot may become free in time, and
        otherwise ``NO_BACKEND_SERVER``.
        """
        refusals_by_id = self._slots.brittle_servers(call.service, service_ids)
        if not refusals_by_id:
            return self._choose_within_limits(call, allowed_servers)
        brittle = [
            item for item in allowed_servers if item.id in refusals_by_id
        ]
        others = [
            item for item in allowed_servers if item.id not in refusals_by_id
        ]
        if not brittle:
            return self._choose_within_limits(call, others)
        elsewhere = (
            self._choose_within_limits(call, others) if others else None
        )
        if isinstance(elsewhere, Ok):
            evaluation = elsewhere.ok_value
            if evaluation.failure is None and has_room(evaluation.candidate):
                return elsewhere
        wait_s = self._longest_wait_s(call)
        outlook = self._slots.want(
            call.service,
            call.request_id,
            self._by_preference(call, brittle, refusals_by_id),
            call.rank,
            wait_s,
        )
        if outlook.server_id:
            granted = [
                item for item in brittle if item.id == outlook.server_id
            ]
            if not granted:
                self._slots.give_up(call.service, call.request_id)
                return Err(Failure(ResultCode.OVERLOADED, "slot came late"))
            return self._choose_within_limits(call, granted)
        if elsewhere is not None and (
            outlook.refused or outlook.waited_s >= MAX_AWAITED_S
        ):
            return elsewhere
        names = ",".join(item.id for item in brittle[:MAX_DESCRIBED])
        return Err(
            Failure(
                ResultCode.NO_BACKEND_SERVER
                if outlook.refused
                else ResultCode.OVERLOADED,
                f"no free slot of brittle servers: {names}",
                retry_after_s=outlook.return_s,
            )
        )

    def _by_preference(
        self,
        call: RoutedCall,
        brittle: list[RegisteredServer],
        refusals_by_id: Mapping[str, int],
    ) -> list[tuple[str, int, int]]:
        """Returns brittle servers with slots and refusals, best first."""
        server_by_id = {server.id: server for server in brittle}
        scored = self._choose_from_sets(call, brittle).choice.score_by_server
        # Those that were not scored come last.
        order = dict.fromkeys([server_id for server_id, _ in scored])
        order |= dict.fromkeys(server_by_id)
        return [
            (
                server_id,
                server_by_id[server_id].slots,
                refusals_by_id[server_id],
            )
            for server_id in order
        ]

    def note_ended(
        self, call: RoutedCall, server: RegisteredServer, refused: bool
    ) -> None:
        """Records that a request's attempt at a server has ended."""
        self._slots.note_ended(
            call.service, server.id, call.request_id, server.slots, refused
        )

    def give_up(self, call: RoutedCall) -> None:
        """Records that a request looks for no server any more."""
        self._slots.give_up(call.service, call.request_id)

    def _choose_within_limits(
        self, call: RoutedCall, allowed_servers: list[RegisteredServer]
    ) -> Result[_Evaluation, Failure]:
        """Returns the best server to which a request may be sent now.

        A permit is asked for where a better server lacks one. The error is
        ``OVERLOADED`` if all lack one and a permit may come in time, and
        otherwise ``NO_BACKEND_SERVER``.
        """
        permitted = self._permitted_servers(call, allowed_servers)
        evaluation = self._choose_from_sets(call, allowed_servers)
        permitted_ids = {server.id for server in permitted}
        if evaluation.candidate.id in permitted_ids:
            return Ok(evaluation)
        if permitted and self._permits.are_all_limited(permitted_ids):
            # Permits for further servers are fetched as these are used.
            return Ok(self._choose_from_sets(call, permitted))
        wait_s = self._longest_wait_s(call)
        scored_ids = [
            server_id for server_id, _ in evaluation.choice.score_by_server
        ]
        other_ids = [
            server.id
            for server in allowed_servers
            if server.id not in scored_ids
        ]
        outlook = self._permits.want(
            call.service,
            [
                server_id
                for server_id in (*scored_ids, *other_ids)
                if server_id not in permitted_ids
            ],
            call.request_id,
            call.rank,
            None if permitted else wait_s,
        )
        permitted = self._permitted_servers(call, allowed_servers)
        if permitted and not (outlook.answer_awaited and wait_s > 0.0):
            return Ok(self._choose_from_sets(call, permitted))
        may_wait = outlook.wait_s <= wait_s
        return Err(
            Failure(
                ResultCode.OVERLOADED
                if may_wait
                else ResultCode.NO_BACKEND_SERVER,
                f"limits used up for {outlook.wait_s:.2f} s: "
                + self._permits.describe_limits(scored_ids),
                retry_after_s=outlook.return_s,
            )
        )

    def awaits_grant(self, call: RoutedCall) -> bool:
        """Whether a request awaits a permit or a slot that is its own."""
        return self._slots.is_wanted(
            call.service, call.request_id
        ) or self._permits.is_wanted(call.service, call.request_id)

    async def wait_for_grant(self, seconds: float) -> None:
        """Waits until a permit or a slot comes, for ``seconds`` at most."""
        if self._slots.is_awaited:
            await self._slots.wait(seconds)
        else:
            await self._permits.wait(seconds)

    def _permitted_servers(
        self, call: RoutedCall, servers: list[RegisteredServer]
    ) -> list[RegisteredServer]:
        """Returns the servers whose named limits have room for a request."""
        return [
            server
            for server in servers
            if self._permits.may_send(
                call.service, server.id, call.request_id, call.rank
            )
        ]

    def _choose_from_sets(
        self, call: RoutedCall, allowed_servers: list[RegisteredServer]
    ) -> _Evaluation:
        """Returns the best server for a request.

        In a fleet of many nodes it is searched for in small sets first.
        """
        server_by_id = {server.id: server for server in allowed_servers}
        key = _prompt_key(call)
        many_nodes = self._uses_many_nodes()
        sets: Iterable[list[str]] = [list(server_by_id)]
        group_size = PROMPT_SET_SIZE
        if many_nodes:
            group_size = prompt_group_size(
                self._part_loads.load(key) * self._nodes.count,
                len(server_by_id),
            )
            sets = candidate_sets(
                key, call.head.attempt_id, list(server_by_id), group_size
            )

        def position_of(position: int | None) -> int | None:
            # All servers of a large group keep the shared part.
            if position is None or not many_nodes:
                return None
            return 0 if group_size > PROMPT_SET_SIZE else position

        evaluation = search_candidate_sets(
            sets,
            lambda server_id, position: self._candidate(
                call, server_by_id[server_id], position_of(position)
            ),
            lambda candidates: self._evaluate(call, key, candidates),
            lambda evaluation: (
                evaluation.failure is None and has_room(evaluation.candidate)
            ),
        )
        assert evaluation is not None
        return evaluation

    def _evaluate(
        self, call: RoutedCall, key: str, candidates: Sequence[Candidate]
    ) -> _Evaluation:
        """Returns the best candidate, and whether it can answer in time."""
        choice = choose_server(
            candidates,
            key,
            self._rates.prefill_s_per_token(call.service),
            self._rates.base_first_token_s(call.service),
        )
        chosen = next(
            candidate
            for candidate in candidates
            if candidate.id == choice.server_id
        )
        now = self._timer.now()
        remaining_s = call.leaves_at - now
        target_left_s = call.route.latency_target_s - (now - call.waits_since)
        failure = None
        if call.late:
            misses = misses_deadline_as_late(choice.first_event_s, remaining_s)
        else:
            misses = misses_deadline(
                choice.first_event_s, remaining_s
            ) or misses_latency_target(
                choice.first_event_s, target_left_s, chosen.load
            )
        if chosen.uncached_tokens and misses:
            failure = Failure(
                ResultCode.DEADLINE_UNREACHABLE,
                f"first event in {choice.first_event_s:.2f} s at"
                f" {chosen.id} behind"
                f" {chosen.load.pending_tokens:.0f} tokens, wanted in"
                f" {target_left_s:.2f} s, given up in {remaining_s:.2f} s",
                retry_after_s=choice.first_event_s,
            )
        return _Evaluation(choice, chosen, failure)

    def _longest_wait_s(self, call: RoutedCall) -> float:
        return longest_wait_s(call.leaves_at - self._timer.now())

    def _uses_many_nodes(self) -> bool:
        return self._nodes.count > MAX_FULL_MESH_NODES

    def _note_part_load(self, call: RoutedCall) -> None:
        """Adds a request to the load of the part that it shares."""
        parts = call.head.prompt_parts
        if len(parts) >= 2:
            token_s = self._rates.prefill_s_per_token(call.service)
            self._part_loads.note_request(
                _prompt_key(call), parts[-1].tokens * token_s
            )

    def _running_requests(self, call: RoutedCall, server_id: str) -> int:
        return self._loads.estimate(
            server_id, call.service, call.urgency
        ).running

    def _is_within_cold_rate(
        self, call: RoutedCall, server: RegisteredServer
    ) -> bool:
        if not self._view.directory.is_cold(server.id):
            return True
        configuration = self._view.configuration
        if configuration is None:
            return False
        profile = configuration.service_by_name.get(call.service)
        per_s = 0.0 if profile is None else profile.cold_requests_per_s
        return self._cold_rate_limiter.has_token(
            server.id, per_s, self._nodes.node_ids()
        )

    def _candidate(
        self, call: RoutedCall, server: RegisteredServer, position: int | None
    ) -> Candidate:
        """Returns what the node knows of a server for a request.

        ``position`` is the server's position in the set of servers that
        follows from the prompt; ``None`` outside of that set.
        """
        uncached = 0
        if call.head.prompt_tokens is not None:
            cached = self._prompts.cached_tokens(
                server.id, call.head.prompt_parts
            )
            if position is not None:
                shared = sum(
                    part.tokens for part in call.head.prompt_parts[:-1]
                )
                expected = expected_cached_tokens(position, shared)
                cached = max(cached, expected)
            uncached = max(call.head.prompt_tokens - cached, 1)
        load = self._loads.estimate(server.id, call.service, call.urgency)
        if self._is_unreachable(server.id):
            load = replace(load, avoided=True)
        return Candidate(
            server.id,
            server.availability_zone == self._availability_zone,
            server.slots,
            load,
            uncached,
            # With few nodes connections are reused anyway.
            self._uses_many_nodes()
            and not self._has_idle_connection(server.id),
        )


def _prompt_key(call: RoutedCall) -> str:
    """Returns the key by which a request's servers are ranked.

    It is the id of the last part of the prompt that other requests share,
    and the attempt's id for a request without a prompt.
    """
    parts = call.head.prompt_parts
    if len(parts) >= 2:
        return parts[-2].id
    return parts[0].id if parts else call.head.attempt_id
