"""Finds the backend server for an attempt: what is known, then the choice.

Reads the fleet, the loads and the prompt index, and leaves the decision to
``server_choice`` and ``call_refusal``.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wasabiwing.call_refusal import max_wait_for_server_s
from wasabiwing.call_refusal import misses_deadline
from wasabiwing.call_refusal import misses_latency_target
from wasabiwing.candidate_sets import candidate_sets
from wasabiwing.candidate_sets import expected_cached_tokens
from wasabiwing.candidate_sets import search_candidate_sets
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.cold_rate_limiter import ColdRateLimiter
from wasabiwing.fleet_follower import FleetView
from wasabiwing.node_registry import NodeRegistry
from wasabiwing.prefill_rates import PrefillRates
from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.routed_calls import RoutedCall
from wasabiwing.server_choice import Candidate
from wasabiwing.server_choice import choose_server
from wasabiwing.server_choice import has_room
from wasabiwing.server_choice import ServerChoice
from wasabiwing.server_directory import RegisteredServer
from wasabiwing.server_loads import ServerLoads
from wasabiwing.server_statements import ServerStatements
from wasabiwing.server_statements import WithholdReason
from wasabiwing.suspect_isolation import SuspectIsolation
from wasabiwing.timers import TimerService
from wasabiwing.zone_heads import MAX_FULL_MESH_NODES


@dataclass(frozen=True, slots=True)
class PlacedAttempt:
    """A server with what the choice predicted."""

    server: RegisteredServer
    choice: ServerChoice
    # Prompt tokens that the server has to compute.
    uncached_tokens: int
    # Uncomputed prompt tokens ahead of this one.
    queued_tokens: float
    # Version of the configuration that the choice is based on.
    version: int
    # Digest of a request that is suspected of crashes; empty for others.
    suspect_digest: str = ""


@dataclass(frozen=True, slots=True)
class _Choice:
    """The best of the servers that were looked at."""

    placement: ServerChoice
    candidate: Candidate
    # Why a request would be in vain there.
    failure: Failure | None


class CallPlacement:
    """Chooses servers for one node."""

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
        self._cold = ColdRateLimiter(node_id, timer)

    def choose_server(
        self, call: RoutedCall, tried: frozenset[str]
    ) -> Result[PlacedAttempt, Failure]:
        """Returns the server for the next attempt.

        ``NO_BACKEND_SERVER`` says that none is left, ``OVERLOADED`` that
        none has room at this moment, ``DEADLINE_UNREACHABLE`` that the
        caller would not wait long enough, and ``QUARANTINED`` that the
        request crashes servers.
        """
        refusal = self._isolation.refusal(call)
        if refusal is not None:
            return Err(refusal)
        servers = self._view.servers(call.service)
        untried = [server for server in servers if server.id not in tried]
        if not untried:
            return Err(Failure(ResultCode.NO_BACKEND_SERVER, call.service))
        willing = self._willing(call, untried)
        if isinstance(willing, Err):
            return willing
        open_servers = [
            server
            for server in willing.ok_value
            if self._may_send(call, server)
        ]
        if not open_servers:
            cold = ",".join(server.id for server in willing.ok_value)
            return Err(Failure(ResultCode.OVERLOADED, f"cold: {cold}"))
        digest = self._isolation.suspect_digest(call)
        apart = frozenset(
            self._isolation.allowed_servers(
                digest,
                [server.id for server in open_servers],
                lambda server_id: self._running(call, server_id),
            )
        )
        if not apart:
            return Err(Failure(ResultCode.OVERLOADED, "suspected of a crash"))
        open_servers = [item for item in open_servers if item.id in apart]
        choice = self._choose(call, open_servers)
        if choice.failure is not None:
            return Err(choice.failure)
        placement, chosen = choice.placement, choice.candidate
        server = next(
            server for server in open_servers if server.id == chosen.id
        )
        configuration = self._view.configuration
        if self._view.directory.is_cold(server.id):
            self._cold.take_token(server.id)
        return Ok(
            PlacedAttempt(
                server,
                placement,
                chosen.uncached_tokens,
                chosen.load.pending_tokens,
                0 if configuration is None else configuration.version,
                digest,
            )
        )

    def _willing(
        self, call: RoutedCall, servers: list[RegisteredServer]
    ) -> Result[list[RegisteredServer], Failure]:
        """Returns the servers that take requests, by their own word.

        Where none does, the request waits only if one will very soon.
        """
        withheld_by_id = {
            server.id: self._statements.withhold_reason(server.id)
            for server in servers
        }
        willing = [
            server for server in servers if withheld_by_id[server.id] is None
        ]
        if willing:
            return Ok(willing)
        detail = ",".join(
            f"{server_id} {reason}"
            for server_id, reason in sorted(withheld_by_id.items())
        )
        reasons = set(withheld_by_id.values())
        if WithholdReason.STARTING in reasons:
            return Err(Failure(ResultCode.OVERLOADED, detail))
        if reasons == {WithholdReason.LEAVING}:
            return Err(Failure(ResultCode.NO_BACKEND_SERVER, detail))
        first_s = self._statements.shortest_pause_left_s(
            server_id
            for server_id, reason in withheld_by_id.items()
            if reason is WithholdReason.UNWANTED
        )
        waits = first_s <= max_wait_for_server_s(call.route.latency_target_s)
        return Err(
            Failure(
                ResultCode.OVERLOADED
                if waits
                else ResultCode.NO_BACKEND_SERVER,
                detail,
                retry_after_s=first_s,
            )
        )

    def _choose(
        self, call: RoutedCall, open_servers: list[RegisteredServer]
    ) -> _Choice:
        """Chooses among few servers first where many nodes choose."""
        server_by_id = {server.id: server for server in open_servers}
        key = _affinity_key(call)
        many_nodes = self._nodes.count > MAX_FULL_MESH_NODES
        sets: Iterable[list[str]] = [list(server_by_id)]
        if many_nodes:
            sets = candidate_sets(
                key, call.head.attempt_id, list(server_by_id)
            )
        choice = search_candidate_sets(
            sets,
            lambda server_id, place: self._candidate(
                call, server_by_id[server_id], place if many_nodes else None
            ),
            lambda candidates: self._judge(call, key, candidates),
            lambda choice: (
                choice.failure is None and has_room(choice.candidate)
            ),
        )
        assert choice is not None
        return choice

    def _judge(
        self, call: RoutedCall, key: str, candidates: Sequence[Candidate]
    ) -> _Choice:
        """Takes the best server, or says why it would be in vain."""
        placement = choose_server(
            candidates,
            key,
            self._rates.prefill_s_per_token(call.service),
            self._rates.base_first_token_s(call.service),
        )
        chosen = next(
            candidate
            for candidate in candidates
            if candidate.id == placement.server_id
        )
        now = self._timer.now()
        remaining_s = call.deadline - now
        in_time_s = call.route.latency_target_s - (now - call.received_at)
        failure = None
        if chosen.uncached_tokens and (
            misses_deadline(placement.first_event_s, remaining_s)
            or misses_latency_target(
                placement.first_event_s, in_time_s, chosen.load
            )
        ):
            failure = Failure(
                ResultCode.DEADLINE_UNREACHABLE,
                f"first event in {placement.first_event_s:.2f} s at"
                f" {chosen.id} behind"
                f" {chosen.load.pending_tokens:.0f} tokens, wanted in"
                f" {in_time_s:.2f} s, given up in {remaining_s:.2f} s",
                retry_after_s=placement.first_event_s,
            )
        return _Choice(placement, chosen, failure)

    def _running(self, call: RoutedCall, server_id: str) -> int:
        return self._loads.estimate(
            server_id, call.service, call.urgency_class
        ).running

    def _may_send(self, call: RoutedCall, server: RegisteredServer) -> bool:
        if not self._view.directory.is_cold(server.id):
            return True
        configuration = self._view.configuration
        if configuration is None:
            return False
        profile = configuration.service_by_name.get(call.service)
        per_s = 0.0 if profile is None else profile.cold_requests_per_s
        return self._cold.has_token(server.id, per_s, self._nodes.node_ids())

    def _candidate(
        self, call: RoutedCall, server: RegisteredServer, place: int | None
    ) -> Candidate:
        """Returns what is known; ``place`` is that in the prompt's set."""
        uncached = 0
        if call.head.prompt_tokens is not None:
            cached = self._prompts.cached_tokens(
                server.id, call.head.prompt_parts
            )
            if place is not None:
                shared = sum(
                    part.tokens for part in call.head.prompt_parts[:-1]
                )
                expected = expected_cached_tokens(place, shared)
                cached = max(cached, expected)
            uncached = max(call.head.prompt_tokens - cached, 1)
        return Candidate(
            server.id,
            server.availability_zone == self._availability_zone,
            server.slots,
            self._loads.estimate(server.id, call.service, call.urgency_class),
            uncached,
        )


def _affinity_key(call: RoutedCall) -> str:
    """Returns the shared part of the prompt that distinguishes it most."""
    parts = call.head.prompt_parts
    if len(parts) >= 2:
        return parts[-2].id
    return parts[0].id if parts else call.head.attempt_id
