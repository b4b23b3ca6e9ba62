"""Chooses a backend server for one attempt by filters and a score.

A decision considers only a bounded number of a pool's servers, see
``docs/design/routing.md``. It is logged in one line with the candidates, their
scores and the reasons why other servers were filtered out.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from result import Err
from result import Ok
from result import Result

from wasabiwing.calls import Call
from wasabiwing.calls import ServerAssignment
from wasabiwing.cluster_view import ClusterView
from wasabiwing.cluster_view import ConfigurationIndex
from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import PoolKind
from wasabiwing.configuration import ServerRole
from wasabiwing.decisions import DecisionLog
from wasabiwing.events import Event
from wasabiwing.gateway_credits import GatewayCredits
from wasabiwing.prefix_index import BLOCK_TOKENS
from wasabiwing.prefix_index import PrefixIndex
from wasabiwing.queue_order import longest_wait_s
from wasabiwing.routing_scores import RoutingPolicy
from wasabiwing.routing_scores import SCORE_BY_POLICY
from wasabiwing.routing_scores import ScoreInputs
from wasabiwing.send_permits import PermitOutlook
from wasabiwing.send_permits import SendPermits
from wasabiwing.server_records import ServerRecords
from wasabiwing.server_statements import ServerStatements
from wasabiwing.server_statements import WithholdReason
from wasabiwing.suspect_isolation import SuspectIsolation
from wasabiwing.timers import TimerService
from wasabiwing.version_gate import VersionGate
from wasabiwing.working_sets import WorkingSets
from wasabiwing.zone_ramps import ZoneRamps

# Pools of up to this many servers are scored as a whole.
SMALL_POOL_SERVERS = 16

# For one decision in a larger pool: servers that are drawn at random from the
# working set, and servers that may hold the prompt's prefix.
SAMPLE_SIZE = 4
PREFIX_HOLDERS = 3

# Servers of the whole pool that are drawn when all servers of the working set
# are filtered out.
FALLBACK_SIZE = 64

# Maximum number of scores, and of filtered servers, in one log line.
LOGGED_SERVERS = 8

# Prompts of more tokens than this may use only a share of a server's slots,
# because their computation delays the first tokens of short requests.
LONG_PROMPT_TOKENS = 2048
LONG_PROMPT_SHARE = 0.25

# Reasons for filtering a server that end when a slot becomes free.
BUSY_REASONS = frozenset(
    {"no credit", "long prompts", "suspect running", WithholdReason.STARTING}
)


# Reason for filtering a server whose named limit leaves no room.
LIMIT_USED_UP = "limit used up"


@dataclass(slots=True)
class _Survey:
    """Candidates and filtered servers of one decision."""

    candidates: list[BackendServer] = field(default_factory=list)
    # Servers of zones that were returned recently and that this decision
    # leaves out so that they get only part of their share.
    ramping: list[BackendServer] = field(default_factory=list)
    # Servers on which a request runs that is suspected of crashes.
    with_suspect: list[BackendServer] = field(default_factory=list)
    # Servers that accepted no connection of this gateway.
    unreachable: list[BackendServer] = field(default_factory=list)
    reason_by_server: dict[str, str] = field(default_factory=dict)


class Router:
    """Makes the routing decisions of one gateway."""

    def __init__(
        self,
        node_id: str,
        zone: str,
        view: ClusterView,
        credits: GatewayCredits,
        timer: TimerService,
        random: Random,
        decisions: DecisionLog,
        policy: RoutingPolicy = RoutingPolicy.EXPECTED_TIME,
        gate: VersionGate | None = None,
        isolation: SuspectIsolation | None = None,
        permits: SendPermits | None = None,
        is_unreachable: Callable[[str], bool] = lambda server_id: False,
    ) -> None:
        self._timer = timer
        self._is_unreachable = is_unreachable
        self._view = view
        self._credits = credits
        self._random = random
        self._decisions = decisions
        # ``None`` in programs without rollouts, such as benchmarks.
        self.gate = gate
        self._index: ConfigurationIndex | None = None
        self.isolation = isolation or SuspectIsolation()
        # ``None`` in programs without other gateways, such as benchmarks.
        self._permits = permits
        self.statements = ServerStatements(node_id, timer, random)
        self.records = ServerRecords(timer)
        self.prefixes = PrefixIndex(timer)
        self.working_sets = WorkingSets(node_id, zone, view)
        self._ramps = ZoneRamps(timer)
        self._score = SCORE_BY_POLICY[policy](
            ScoreInputs(zone, view, self.records, self.prefixes, random)
        )

    def choose_server(
        self, call: Call, attempt: int, excluded: frozenset[str]
    ) -> Result[ServerAssignment, Failure]:
        """Chooses a server for an attempt and takes a slot there.

        ``excluded`` holds the ids of the servers of earlier attempts. The
        error ``NO_BACKEND_SERVER`` means that no server may take the request,
        and ``OVERLOADED`` that a slot may become free for it.
        """
        refusal = self.isolation.refusal(call)
        if refusal is not None:
            return Err(refusal)
        self._update_index()
        survey = self._survey(call, excluded)
        chosen, score_by_server = self._best(call, survey)
        outlook = self._want_permits(call, chosen, score_by_server, survey)
        if chosen is None and outlook is not None:
            # A permit that this gateway issues itself is there at once.
            survey = self._survey(call, excluded)
            chosen, score_by_server = self._best(call, survey)
        self._write(call, attempt, chosen, score_by_server, survey)
        if chosen is None:
            return Err(self._failure_without_candidate(call, survey, outlook))
        return Ok(self.assign(call, chosen, attempt))

    def has_candidate(self, call: Call, excluded: frozenset[str]) -> bool:
        """Whether a server would be chosen now; takes no slot."""
        self._update_index()
        return bool(self._survey(call, excluded).candidates)

    def assign(
        self, call: Call, server: BackendServer, attempt: int
    ) -> ServerAssignment:
        """Takes a slot at a server for an attempt."""
        assignment = self._assignment(call, attempt, server)
        self._credits.take_slot(server.id)
        self.isolation.note_started(server.id, assignment.suspect_digest)
        self.statements.note_sent(server.id)
        if self._permits is not None:
            self._permits.note_sent(call.pool.id, server.id, call.request_id)
        self.records.note_sent(assignment)
        if self.gate is not None:
            self.gate.note_sent(call, assignment)
        self.prefixes.note_sent(server.id, call.prefix_digests)
        return assignment

    def may_use_route(self, call: Call) -> bool:
        """Whether the call's organisation may use its route."""
        allowed = call.route.organisations
        return not allowed or call.organisation.id in allowed

    def _assignment(
        self, call: Call, attempt: int, server: BackendServer
    ) -> ServerAssignment:
        cached = self.prefixes.cached_blocks(server.id, call.prefix_digests)
        state = self._view.state_by_server.get(server.id)
        own_outstanding = self.records.record(server.id).outstanding
        return ServerAssignment(
            server,
            attempt,
            call.pool.id,
            max(call.prompt_tokens - cached * BLOCK_TOKENS, 1),
            is_long_prompt(call),
            call.prompt_tokens + call.max_tokens,
            self.isolation.suspect_digest(call),
            call,
            max(own_outstanding, state.running if state else 0),
            state.limit if state else server.max_slots,
            state is None or state.cold,
        )

    def _update_index(self) -> None:
        index = self._view.index
        if index is self._index or index is None:
            return
        self._index = index
        self._ramps.note_zone_states(index)
        server_ids = frozenset(index.server_by_id)
        self.records.keep_only(server_ids)
        self.prefixes.keep_only(server_ids)

    def _survey(self, call: Call, excluded: frozenset[str]) -> _Survey:
        """Filters a bounded number of servers for a decision.

        Further servers are filtered only if no candidate remains.
        """
        survey = _Survey()
        if not self.may_use_route(call):
            return survey
        shares = self._ramps.share_by_zone()
        ramping_zone_ids = {
            zone_id
            for zone_id, share in shares.items()
            if self._random.random() >= share
        }
        for servers in self._server_groups(call):
            for server in servers:
                self._classify(
                    call, server, excluded, ramping_zone_ids, survey
                )
            if survey.candidates:
                self._prefer_version(call, survey)
                self._keep_least_loaded(call, survey)
                return survey
        # A server of a zone that ramps up, one that runs a suspect, or one
        # that may be reached again is better than a refusal.
        survey.candidates = (
            survey.ramping or survey.with_suspect or survey.unreachable
        )
        for server in survey.candidates:
            survey.reason_by_server.pop(server.id, None)
        self._keep_least_loaded(call, survey)
        return survey

    def _keep_least_loaded(self, call: Call, survey: _Survey) -> None:
        """Keeps the least loaded candidates if the call is a suspect."""
        if not self.isolation.suspect_digest(call):
            return
        load_by_server = {
            server.id: self.records.estimated_load(server.id)
            for server in survey.candidates
        }
        least = min(load_by_server.values(), default=0)
        for server in tuple(survey.candidates):
            if load_by_server[server.id] > least:
                survey.candidates.remove(server)
                survey.reason_by_server[server.id] = "busier"

    def _prefer_version(self, call: Call, survey: _Survey) -> None:
        """Drops the candidates of other versions than the call's own.

        During a rollout each call is assigned to a version. The other
        candidates stay if none of that version is left.
        """
        version = self.gate.preferred_version(call) if self.gate else None
        if version is None:
            return
        own_version = [
            item for item in survey.candidates if item.version == version
        ]
        if not own_version:
            return
        for server in survey.candidates:
            if server.version != version:
                survey.reason_by_server[server.id] = "other version"
        survey.candidates = own_version

    def _server_groups(self, call: Call) -> Iterable[Iterable[BackendServer]]:
        """Yields groups of servers in the order in which they are filtered."""
        pool = call.pool
        if len(pool.servers) <= SMALL_POOL_SERVERS:
            yield pool.servers
            return
        members = self.working_sets.servers(pool)
        version = self.gate.preferred_version(call) if self.gate else None
        if version is not None:
            yield [item for item in members if item.version == version]
        sample = (
            self._random.sample(members, SAMPLE_SIZE)
            if len(members) > SAMPLE_SIZE
            else list(members)
        )
        yield [*sample, *self._prefix_holders(call)]
        yield members
        yield self._random.sample(
            pool.servers, min(FALLBACK_SIZE, len(pool.servers))
        )

    def _prefix_holders(self, call: Call) -> list[BackendServer]:
        if self._index is None:
            return []
        server_ids = self.prefixes.servers_holding(
            call.prefix_digests, PREFIX_HOLDERS
        )
        by_id = self._index.server_by_id
        pool = self._index.pool_id_by_server
        return [
            by_id[server_id]
            for server_id in server_ids
            if pool.get(server_id) == call.pool.id
        ]

    def _classify(
        self,
        call: Call,
        server: BackendServer,
        excluded: frozenset[str],
        ramping_zone_ids: set[str],
        survey: _Survey,
    ) -> None:
        if server.id in survey.reason_by_server:
            return
        reason = self._filter_reason(call, server, excluded)
        if not reason and server.availability_zone in ramping_zone_ids:
            reason = "zone ramps up"
            survey.ramping.append(server)
        if not reason and self.isolation.has_suspect(server.id):
            reason = "suspect running"
            survey.with_suspect.append(server)
        if not reason and self._is_unreachable(server.id):
            reason = "unreachable"
            survey.unreachable.append(server)
        if reason:
            survey.reason_by_server[server.id] = reason
        else:
            survey.candidates.append(server)

    def _filter_reason(
        self, call: Call, server: BackendServer, excluded: frozenset[str]
    ) -> str:
        if server.id in excluded:
            return "tried"
        if not self._view.zone_takes_work(server.availability_zone):
            return "zone drained"
        if self._view.is_leaving(server):
            return "leaving"
        withhold_reason = self.statements.withhold_reason(server.id)
        if withhold_reason is not None:
            return withhold_reason.value
        if self._permits is not None and not self._permits.may_send(
            call.pool.id,
            server.id,
            call.request_id,
            call.route.priority_class,
        ):
            return LIMIT_USED_UP
        if self.gate and self.gate.is_withheld(call, server, bool(excluded)):
            return "version withheld"
        if server.role is ServerRole.DECODE:
            return "role"
        if self._credits.available_slots(server.id) <= 0:
            return "no credit"
        if is_long_prompt(call):
            allowed = max(int(server.max_slots * LONG_PROMPT_SHARE), 1)
            if self.records.record(server.id).outstanding_long >= allowed:
                return "long prompts"
        digest = self.isolation.suspect_digest(call)
        if digest and self.isolation.must_wait(digest, server.id):
            return "suspect running"
        return ""

    def _best(
        self, call: Call, survey: _Survey
    ) -> tuple[BackendServer | None, dict[str, float]]:
        """Returns the best candidate, and the scores of all by server id."""
        score_by_server = {
            server.id: self._score(call, server)
            for server in survey.candidates
        }
        chosen = min(
            survey.candidates,
            key=lambda server: (score_by_server[server.id], server.id),
            default=None,
        )
        return chosen, score_by_server

    def _want_permits(
        self,
        call: Call,
        chosen: BackendServer | None,
        score_by_server: dict[str, float],
        survey: _Survey,
    ) -> PermitOutlook | None:
        """Asks for a permit where a better server needs one.

        Returns what a call without a chosen server may expect.
        """
        index = self._index
        if self._permits is None or index is None:
            return None
        score_by_limited = {
            server_id: self._score(call, index.server_by_id[server_id])
            for server_id, reason in survey.reason_by_server.items()
            if reason == LIMIT_USED_UP and server_id in index.server_by_id
        }
        wanted_ids = sorted(
            score_by_limited, key=lambda item: (score_by_limited[item], item)
        )
        wait_s = None
        if chosen is None:
            wait_s = self._longest_wait_s(call)
        else:
            wanted_ids = [
                server_id
                for server_id in wanted_ids
                if score_by_limited[server_id] < score_by_server[chosen.id]
            ]
        if not wanted_ids:
            return None
        return self._permits.want(
            call.pool.id,
            wanted_ids,
            call.request_id,
            call.route.priority_class,
            wait_s,
        )

    def _failure_without_candidate(
        self, call: Call, survey: _Survey, outlook: PermitOutlook | None
    ) -> Failure:
        """Returns the failure of a decision without a candidate.

        ``OVERLOADED`` says that waiting may help; otherwise the failure says
        when a retry may.
        """
        reasons = survey.reason_by_server
        if BUSY_REASONS.intersection(reasons.values()):
            return Failure(ResultCode.OVERLOADED)
        if outlook is not None:
            waits = outlook.wait_s < self._longest_wait_s(call)
            return Failure(
                ResultCode.OVERLOADED
                if waits
                else ResultCode.NO_BACKEND_SERVER,
                f"limits used up for {outlook.wait_s:.1f} s",
                retry_after_s=outlook.return_s,
            )
        paused_ids = [
            server_id
            for server_id, reason in reasons.items()
            if reason == WithholdReason.UNWANTED.value
        ]
        if not paused_ids:
            return Failure(ResultCode.NO_BACKEND_SERVER)
        shortest_pause_s = self.statements.shortest_pause_left_s(paused_ids)
        waits = shortest_pause_s < self._longest_wait_s(call)
        return Failure(
            ResultCode.OVERLOADED if waits else ResultCode.NO_BACKEND_SERVER,
            f"no server wants requests for {shortest_pause_s:.1f} s",
            retry_after_s=shortest_pause_s,
        )

    def _longest_wait_s(self, call: Call) -> float:
        return longest_wait_s(call.deadline - self._timer.now())

    def _write(
        self,
        call: Call,
        attempt: int,
        chosen: BackendServer | None,
        score_by_server: dict[str, float],
        survey: _Survey,
    ) -> None:
        best = sorted(score_by_server.items(), key=lambda item: item[1])
        reasons = list(survey.reason_by_server.items())
        self._decisions.write(
            Event.ROUTE_DECISION,
            call.request_id,
            attempt=attempt,
            chosen=chosen.id if chosen else None,
            scores=dict(best[:LOGGED_SERVERS]),
            filtered=dict(reasons[:LOGGED_SERVERS]),
            candidate_count=len(best),
            filtered_count=len(reasons),
        )


def is_long_prompt(call: Call) -> bool:
    """Whether a call's prompt counts as long; plain services have none."""
    return (
        call.pool.kind is PoolKind.MODEL
        and call.prompt_tokens > LONG_PROMPT_TOKENS
    )
