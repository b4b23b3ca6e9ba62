"""Admits requests of organisations by their usage caps, on one node.

One node of the fleet decides for an organisation (``cap_issuer``); rendezvous
hashing chooses it, so that all agree without a message. A request that fits
into this node's share of a small part of what is left is admitted without a
message. If no issuer answers, the node spends its own share of the cap.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from math import inf
from random import Random

from anyio import create_task_group
from anyio import Event as AnyioEvent

from wasabiwing.cap_issuer import CapIssuer
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.message_router import MessageRouter
from wasabiwing.messages import CapDecision
from wasabiwing.messages import CapRequest
from wasabiwing.messages import CapSpending
from wasabiwing.messages import CapSpent
from wasabiwing.messages import Envelope
from wasabiwing.messages import OrganisationCap
from wasabiwing.ports import Transport
from wasabiwing.rendezvous import rank_members
from wasabiwing.service_configuration import OrganisationProfile
from wasabiwing.spending_totals import ReceivedTotals
from wasabiwing.spending_totals import StatedTotals
from wasabiwing.timers import TimerService
from wasabiwing.usage_caps import CapRefusal
from wasabiwing.usage_caps import CapTolerance
from wasabiwing.usage_caps import MIN_RETRY_AFTER_S
from wasabiwing.usage_caps import request_cost
from wasabiwing.usage_caps import UsageCaps

# Time in which an issuer has to answer, in seconds, the number of requests in
# a row without an answer after which it is passed over, and for how long, in
# seconds, at first and at most.
ANSWER_TIMEOUT_S = 0.08
MAX_UNANSWERED = 2
PASSED_OVER_S = 2.0
MAX_PASSED_OVER_S = 30.0

# Largest number of issuers that a request asks one after the other.
MAX_ASKED = 2

# Period in which the other nodes are read anew, in seconds.
MEMBERS_PERIOD_S = 0.25

# Time for which a node counts as live after it was heard, and in which it has
# to answer a probe, in seconds.
HEARD_S = 0.5
PROBE_TIMEOUT_S = 0.08

# Time after which it shows which nodes are cut off, in seconds.
CAUTIOUS_S = 1.5

# Largest number of probes without an answer that are remembered.
MAX_PROBES = 64

# Issuers that are told what this node admits: the first choice and those that
# take its place.
TOLD_ISSUERS = 3

# Period of the messages that tell them, in seconds.
SPENDING_PERIOD_S = 0.25

# Share of what is left of a cap that all nodes together may spend without
# asking, and the time in which they may spend it, in seconds: longer than
# reports need to reach all nodes.
UNASKED_SHARE = 0.15
UNASKED_WINDOW_S = 1.5

# Longest time for which a denial holds for other requests, in seconds.
MAX_DENIAL_S = 0.5

# Time after its last use for which this node's own credit is kept, in seconds.
CREDIT_LIFETIME_S = 5.0

# Age of a charge up to which its refund counts as quick, in seconds.
QUICK_REFUND_S = 0.3


@dataclass(slots=True)
class _Ask:
    """A request to an issuer that waits for the decision."""

    answered: AnyioEvent
    decision: CapDecision | None = None


@dataclass(frozen=True, slots=True)
class _Silence:
    """Requests that an issuer did not answer."""

    unanswered: int = 0
    # Time until which the issuer is not asked, and for how long it was not.
    until: float = -inf
    passed_over_s: float = 0.0


@dataclass(slots=True)
class _Denial:
    """The decision of an issuer that refuses an organisation's requests."""

    until: float
    # Time at which the next refused caller should return.
    return_at: float
    level: float


@dataclass(slots=True)
class _Credit:
    """What this node may spend while no issuer answers, in the cap's unit."""

    left: float
    updated_at: float


@dataclass(slots=True)
class _Spending:
    """What was spent in the last seconds, in the cap's unit."""

    window_s: float
    amounts: deque[tuple[float, float]] = field(default_factory=deque)

    def total(self, now: float) -> float:
        """Returns the sum over the window."""
        while self.amounts and self.amounts[0][0] <= now - self.window_s:
            self.amounts.popleft()
        return sum(amount for _, amount in self.amounts)

    def add(self, now: float, amount: float) -> None:
        """Adds an amount that is spent now."""
        self.amounts.append((now, amount))


class CapAdmission:
    """Admits or refuses the requests that come to one node.

    ``members`` returns the inbox of each other node, whether or not it is
    heard, by its id.
    """

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        transport: Transport,
        caps: UsageCaps,
        tolerance: CapTolerance,
        members: Callable[[], Mapping[str, str]],
        heard_share: Callable[[], float],
        random: Random,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._transport = transport
        self._caps = caps
        self._random = random
        self._read_members = members
        # Inboxes of the other nodes by id, and the time until which they are
        # used.
        self._inbox_by_node: Mapping[str, str] = {}
        self._members_until = -inf
        self._reported_share = heard_share
        # Share of the nodes whose messages on caps came lately.
        self._direct_share = 0.0
        self._issuer = CapIssuer(
            timer,
            tolerance,
            self._heard_share,
            lambda cap: caps.known_level(
                cap.organisation, cap.rate_per_s, cap.burst
            ),
        )
        self._cap_by_organisation: dict[str, OrganisationCap] = {}
        self._denial_by_organisation: dict[str, _Denial] = {}
        self._silence_by_issuer: dict[str, _Silence] = {}
        self._ask_by_number: dict[int, _Ask] = {}
        self._last_number = 0
        # Organisations whose levels were asked of another node.
        self._level_asked: set[str] = set()
        # Organisations of the probes that are not answered yet.
        self._probed_by_number: dict[int, str] = {}
        # Times of the last message of, and the last probe to, another node.
        self._heard_at_by_node: dict[str, float] = {}
        self._probed_at_by_node: dict[str, float] = {}
        # Time of the first probe that a silent node has not answered.
        self._silent_since_by_node: dict[str, float] = {}
        # Whether a node had just started when it was last heard.
        self._is_young_by_node: dict[str, bool] = {}
        self._unasked_by_organisation: dict[str, _Spending] = {}
        self._credit_by_organisation: dict[str, _Credit] = {}
        # Amounts and late refunds that an issuer is still to be told, by
        # issuer and organisation.
        self._untold: dict[str, dict[str, tuple[float, float]]] = {}
        self._stated_totals = StatedTotals(random.randrange(1, 2**31))
        self._received_totals = ReceivedTotals()
        # Ranking of the nodes by organisation.
        self._ranking_by_organisation: dict[str, list[str]] = {}

    def register(self, messages: MessageRouter) -> None:
        """Registers the handlers of other nodes' messages."""
        messages.register(CapRequest, self._receive_request)
        messages.register(CapDecision, self._receive_decision)
        messages.register(CapSpending, self._receive_spending)

    async def admit(
        self,
        organisation: OrganisationProfile,
        tokens: int | None,
        version: int,
    ) -> CapRefusal | None:
        """Returns ``None`` if a request may be sent, and charges its cost.

        ``version`` is that of the configuration with the organisation's cap.
        """
        if organisation.rate_per_s <= 0:
            return None
        cost = request_cost(organisation, tokens)
        cap = OrganisationCap(
            organisation.name,
            version,
            organisation.rate_per_s,
            organisation.burst,
        )
        self._cap_by_organisation[organisation.name] = cap
        known_level = self._caps.level(organisation)
        denial = self._denial_by_organisation.get(organisation.name)
        if denial is not None and denial.until > self._timer.now():
            return self._refuse(organisation, cost, denial)
        if self._may_spend_unasked(organisation.name, cost, known_level):
            self._charge(organisation, cost, "")
            return None
        request = CapRequest(cap, cost)
        issuer_id, decision = await self._ask_issuers(request)
        if decision is None:
            return self._admit_alone(organisation, cost, tokens)
        if decision.admitted:
            self._charge(organisation, cost, issuer_id)
            return None
        now = self._timer.now()
        denial = _Denial(
            now + min(decision.wait_s, MAX_DENIAL_S),
            now + decision.return_s,
            decision.level,
        )
        self._denial_by_organisation[organisation.name] = denial
        return self._refuse(organisation, cost, denial)

    def refund(
        self,
        organisation: OrganisationProfile,
        tokens: int | None,
        age_s: float,
    ) -> None:
        """Refunds a request that has not run, charged ``age_s`` ago."""
        if organisation.rate_per_s <= 0:
            return
        self._caps.refund(organisation, tokens)
        cost = request_cost(organisation, tokens)
        is_quick = age_s <= QUICK_REFUND_S
        for issuer_id in self._told_issuers(organisation.name):
            if is_quick:
                self._note_untold(issuer_id, organisation.name, -cost, 0.0)
            else:
                self._note_untold(issuer_id, organisation.name, 0.0, cost)

    async def tell_issuers(self) -> None:
        """Tells issuers what was admitted without a decision of theirs.

        Called every ``SPENDING_PERIOD_S``.
        """
        self._direct_share = self._measure_direct_share()
        self._issuer.refill()
        now = self._timer.now()
        self._received_totals.forget(now)
        untold, self._untold = self._untold, {}
        own = untold.pop(self._node_id, {})
        self._issuer.note_spent(
            CapSpent(self._cap_by_organisation[name], amount, refund)
            for name, (amount, refund) in own.items()
        )
        told = untold.keys() | self._stated_totals.issuers_to_repeat(now)
        inbox_by_id = self._members() if told else {}
        for issuer_id in told & inbox_by_id.keys():
            spending = self._stated_totals.statement(
                issuer_id,
                untold.get(issuer_id, {}),
                self._cap_by_organisation,
                now,
            )
            if spending is not None:
                self._transport.send(inbox_by_id[issuer_id], spending)

    def log_states(self) -> None:
        """Logs what this node knows of and decided on caps that are short."""
        for state in self._caps.take_states():
            log_event(
                Event.USAGE_CAP_STATE,
                self._node_id,
                organisation=state.organisation,
                level=round(state.level),
                rate_per_s=state.rate_per_s,
                news_age_s=round(state.news_age_s, 2),
                heard_share=round(state.heard_share, 3),
                admitted=round(state.admitted),
                refunded=round(state.refunded),
                deducted=round(state.deducted),
                refusals=state.refusals,
            )
        for issued in self._issuer.take_states():
            log_event(
                Event.USAGE_CAP_ISSUED,
                self._node_id,
                organisation=issued.organisation,
                level=round(issued.level),
                rate_per_s=issued.rate_per_s,
                granted=round(issued.granted),
                spent=round(issued.spent),
                denials=issued.denials,
            )

    def _refuse(
        self, organisation: OrganisationProfile, cost: float, denial: _Denial
    ) -> CapRefusal:
        now = self._timer.now()
        wait_s = max(denial.return_at - now, MIN_RETRY_AFTER_S)
        denial.return_at = now + wait_s + cost / organisation.rate_per_s
        self._caps.note_refusal(organisation.name)
        return CapRefusal(wait_s, cost, denial.level)

    def _may_spend_unasked(
        self, organisation: str, cost: float, known_level: float
    ) -> bool:
        """Whether the cost is within this node's part of what is left."""
        count = len(self._members()) + 1
        if count == 1:
            return False
        now = self._timer.now()
        spending = self._unasked_by_organisation.setdefault(
            organisation, _Spending(UNASKED_WINDOW_S)
        )
        if spending.total(now) + cost > known_level * UNASKED_SHARE / count:
            return False
        spending.add(now, cost)
        return True

    def _admit_alone(
        self,
        organisation: OrganisationProfile,
        cost: float,
        tokens: int | None,
    ) -> CapRefusal | None:
        """Decides without an issuer, by this node's share of the cap."""
        now = self._timer.now()
        per_s = organisation.rate_per_s / (len(self._members()) + 1)
        credit = self._credit_by_organisation.get(organisation.name)
        if credit is None or now - credit.updated_at > CREDIT_LIFETIME_S:
            # Nodes with less than a request's cost each begin at different
            # times, so that all together spend the cap's rate.
            credit = _Credit(per_s - self._random.uniform(0.0, cost), now)
            self._credit_by_organisation[organisation.name] = credit
        credit.left += (now - credit.updated_at) * per_s
        credit.left = min(credit.left, per_s)
        credit.updated_at = now
        if credit.left <= 0.0:
            self._caps.note_refusal(organisation.name)
            wait_s = max(-credit.left / per_s, MIN_RETRY_AFTER_S)
            return CapRefusal(wait_s, cost, credit.left)
        refusal = self._caps.admit(organisation, tokens)
        if refusal is None:
            credit.left -= cost
            self._tell_later(organisation.name, cost, "")
        return refusal

    def _charge(
        self, organisation: OrganisationProfile, cost: float, issuer_id: str
    ) -> None:
        """Charges a request that an issuer admitted; empty for none."""
        self._caps.charge(organisation, cost)
        self._tell_later(organisation.name, cost, issuer_id)

    def _tell_later(
        self, organisation: str, cost: float, issuer_id: str
    ) -> None:
        for told_id in self._told_issuers(organisation):
            if told_id != issuer_id:
                self._note_untold(told_id, organisation, cost, 0.0)

    def _note_untold(
        self,
        issuer_id: str,
        organisation: str,
        amount: float,
        late_refund: float,
    ) -> None:
        amounts = self._untold.setdefault(issuer_id, {})
        earlier = amounts.get(organisation, (0.0, 0.0))
        amounts[organisation] = (
            earlier[0] + amount,
            earlier[1] + late_refund,
        )

    async def _ask_issuers(
        self, request: CapRequest
    ) -> tuple[str, CapDecision | None]:
        """Asks the best issuers in turn; returns the one that decided.

        The decision is ``None`` if none answers.
        """
        decided: tuple[str, CapDecision | None] = ("", None)
        asked = 0
        now = self._timer.now()
        for issuer_id in self._ranking(request.cap.organisation):
            silence = self._silence_by_issuer.get(issuer_id)
            if silence is not None and silence.until > now:
                continue
            if asked == MAX_ASKED:
                break
            asked += 1
            decision = await self._ask(issuer_id, request)
            if decision is None:
                continue
            decided = (issuer_id, decision)
            if decision.admitted or not decision.is_young:
                break
        return decided

    async def _ask(
        self, issuer_id: str, request: CapRequest
    ) -> CapDecision | None:
        """Returns an issuer's decision, or ``None`` if it does not answer."""
        if issuer_id == self._node_id:
            return self._decide(request)
        inbox = self._members().get(issuer_id)
        if inbox is None:
            return None
        self._last_number += 1
        number = self._last_number
        ask = _Ask(AnyioEvent())
        self._ask_by_number[number] = ask
        self._transport.send(inbox, request, number)

        async def expire() -> None:
            await self._timer.sleep(ANSWER_TIMEOUT_S)
            ask.answered.set()

        try:
            async with create_task_group() as tasks:
                tasks.start_soon(expire)
                await ask.answered.wait()
                tasks.cancel_scope.cancel()
        finally:
            del self._ask_by_number[number]
        if ask.decision is None:
            self._note_unanswered(request.cap.organisation, issuer_id)
        return ask.decision

    def _note_unanswered(self, organisation: str, issuer_id: str) -> None:
        """Passes over an issuer that did not answer again and again."""
        before = self._silence_by_issuer.get(issuer_id, _Silence())
        if before.unanswered + 1 < MAX_UNANSWERED:
            self._silence_by_issuer[issuer_id] = _Silence(
                before.unanswered + 1, before.until, before.passed_over_s
            )
            return
        seconds = min(
            max(before.passed_over_s * 2, PASSED_OVER_S), MAX_PASSED_OVER_S
        )
        # One more request without an answer passes it over again.
        self._silence_by_issuer[issuer_id] = _Silence(
            MAX_UNANSWERED - 1, self._timer.now() + seconds, seconds
        )
        log_event(
            Event.CAP_ISSUER_SILENT,
            self._node_id,
            organisation=organisation,
            issuer=issuer_id,
            passed_over_s=seconds,
        )

    def _told_issuers(self, organisation: str) -> list[str]:
        return self._ranking(organisation)[:TOLD_ISSUERS]

    def _members(self) -> Mapping[str, str]:
        """Returns the inboxes of the other nodes by id."""
        now = self._timer.now()
        if now >= self._members_until:
            self._members_until = now + MEMBERS_PERIOD_S
            inbox_by_node = self._read_members()
            if inbox_by_node.keys() != self._inbox_by_node.keys():
                self._ranking_by_organisation = {}
            self._inbox_by_node = inbox_by_node
        return self._inbox_by_node

    def _ranking(self, organisation: str) -> list[str]:
        """Returns the nodes, the first choice for deciding first."""
        members = self._members()
        known = self._ranking_by_organisation.get(organisation)
        if known is None:
            known = rank_members(
                f"cap/{organisation}", (*members, self._node_id)
            )
            self._ranking_by_organisation[organisation] = known
        return known

    def _decide(self, request: CapRequest) -> CapDecision:
        """Decides as an issuer on a request of this or another node."""
        organisation = request.cap.organisation
        ranking = self._ranking(organisation)
        better = ranking[: ranking.index(self._node_id)]
        acts_first = all(
            [
                self._leaves_to_others(node_id, request.cap)
                for node_id in better
            ]
        )
        self._ask_level(ranking, request.cap)
        since = self._timer.now() - CAUTIOUS_S
        is_cautious = any(
            self._silent_since_by_node.get(node_id, -inf) > since
            for node_id in better
        )
        return self._issuer.decide(request, acts_first, is_cautious)

    def _leaves_to_others(self, node_id: str, cap: OrganisationCap) -> bool:
        """Whether a better choice is silent or knows less than this node.

        A node that was not heard for a while is probed.
        """
        now = self._timer.now()
        heard_at = self._heard_at_by_node.get(node_id, -inf)
        if now - heard_at < HEARD_S:
            is_young = self._is_young_by_node.get(node_id, False)
            return is_young and not self._issuer.is_young
        probed_at = self._probed_at_by_node.get(node_id, -inf)
        if now - probed_at > HEARD_S:
            self._probe(node_id, cap)
        silent_since = self._silent_since_by_node.setdefault(node_id, now)
        return now - silent_since > PROBE_TIMEOUT_S

    def _ask_level(self, ranking: Sequence[str], cap: OrganisationCap) -> None:
        """Asks the best other node what is left, once after the start."""
        if not self._issuer.is_young or cap.organisation in self._level_asked:
            return
        self._level_asked.add(cap.organisation)
        others = [node_id for node_id in ranking if node_id != self._node_id]
        if others:
            self._probe(others[0], cap)

    def _probe(self, node_id: str, cap: OrganisationCap) -> None:
        """Sends a request without cost, which shows that a node is live."""
        inbox = self._members().get(node_id)
        if inbox is None:
            return
        self._probed_at_by_node[node_id] = self._timer.now()
        self._last_number += 1
        self._probed_by_number[self._last_number] = cap.organisation
        while len(self._probed_by_number) > MAX_PROBES:
            del self._probed_by_number[next(iter(self._probed_by_number))]
        self._transport.send(inbox, CapRequest(cap, 0.0), self._last_number)

    def _heard_share(self) -> float:
        """Returns the share of the nodes that are not cut off from this one.

        Reports miss nodes for a while when the heads of zones change.
        """
        return max(self._reported_share(), self._direct_share)

    def _measure_direct_share(self) -> float:
        since = self._timer.now() - CAUTIOUS_S
        members = self._members()
        heard = sum(
            self._heard_at_by_node.get(node_id, -inf) > since
            for node_id in members
        )
        return (heard + 1) / (len(members) + 1)

    def _note_heard(self, node_id: str) -> None:
        self._heard_at_by_node[node_id] = self._timer.now()
        self._silent_since_by_node.pop(node_id, None)

    async def _receive_request(
        self, envelope: Envelope, request: CapRequest
    ) -> None:
        self._note_heard(envelope.sender)
        if request.cost > 0.0:
            decision = self._decide(request)
        else:
            # A probe; no node answers it by another one.
            decision = self._issuer.decide(request, True)
        self._transport.send(
            envelope.reply_to, decision, envelope.correlation_id
        )

    async def _receive_decision(
        self, envelope: Envelope, decision: CapDecision
    ) -> None:
        sender = envelope.sender
        self._silence_by_issuer.pop(sender, None)
        self._note_heard(sender)
        self._is_young_by_node[sender] = decision.is_young
        ask = self._ask_by_number.get(envelope.correlation_id)
        probed = self._probed_by_number.pop(envelope.correlation_id, "")
        if ask is not None:
            ask.decision = decision
            ask.answered.set()
        elif probed:
            if self._issuer.is_young and not decision.is_young:
                self._issuer.adopt_level(probed, decision.level)
        elif (
            decision.admitted
            and decision.organisation in self._cap_by_organisation
        ):
            # The request went on without the decision, or is gone.
            self._note_untold(
                sender, decision.organisation, -decision.cost, 0.0
            )

    async def _receive_spending(
        self, envelope: Envelope, spending: CapSpending
    ) -> None:
        self._note_heard(envelope.sender)
        uses = self._received_totals.new_uses(
            envelope.sender, spending, self._timer.now()
        )
        self._issuer.note_spent(uses)
        for use in uses:
            self._ask_level(self._ranking(use.cap.organisation), use.cap)
