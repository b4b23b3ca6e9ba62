"""Tests that spending against caps is counted once."""

from wasabiwing.messages import CapSpending
from wasabiwing.messages import CapSpent
from wasabiwing.messages import OrganisationCap
from wasabiwing.spending_totals import ReceivedTotals
from wasabiwing.spending_totals import REPEATED_FOR_S
from wasabiwing.spending_totals import StatedTotals

CAPS = {"north": OrganisationCap("north", 1, 10.0, 100.0)}


class SpendingTrial:
    """A process that states its spending to one issuer."""

    def __init__(self) -> None:
        self.now = 0.0
        self.stated = StatedTotals(7)
        self.received = ReceivedTotals()
        self.counted = 0.0
        self.refunded = 0.0

    def state(
        self, amount: float, late_refund: float = 0.0, is_lost: bool = False
    ) -> CapSpending | None:
        """States an amount two seconds after the last one."""
        self.now += 2.0
        new = {"north": (amount, late_refund)} if amount else {}
        sent = self.stated.statement("issuer", new, CAPS, self.now)
        if sent is not None and not is_lost:
            self.receive(sent)
        return sent

    def receive(self, spending: CapSpending) -> None:
        """Counts a statement."""
        for use in self.received.new_uses("node", spending, self.now):
            self.counted += use.amount
            self.refunded += use.late_refund


class TestLostStatements:
    """Statements that a silent connection swallows."""

    def test_next_statement_makes_up_for_lost_ones(self) -> None:
        """Guards against caps that are exceeded by what was lost."""
        trial = SpendingTrial()
        trial.state(5.0, 1.0)
        trial.state(20.0, 2.0, is_lost=True)
        trial.state(-3.0, 4.0, is_lost=True)
        trial.state(1.0)
        assert trial.counted == 23.0
        assert trial.refunded == 7.0

    def test_last_statement_is_repeated(self) -> None:
        trial = SpendingTrial()
        trial.state(5.0)
        trial.state(20.0, is_lost=True)
        trial.state(0.0, is_lost=True)
        assert trial.stated.issuers_to_repeat(trial.now) == {"issuer"}
        trial.state(0.0)
        assert trial.counted == 25.0
        trial.now += REPEATED_FOR_S
        assert trial.state(0.0) is None
        assert trial.stated.issuers_to_repeat(trial.now) == set()

    def test_statement_that_comes_twice_or_late_is_counted_once(self) -> None:
        trial = SpendingTrial()
        first = trial.state(5.0)
        trial.state(20.0)
        last = trial.state(1.0)
        assert first is not None and last is not None
        trial.receive(first)
        trial.receive(last)
        trial.receive(last)
        assert trial.counted == 26.0


class TestOtherBuildsAndStarts:
    """Statements whose totals say nothing."""

    def test_build_without_totals_is_counted_by_what_is_new(self) -> None:
        trial = SpendingTrial()
        for _ in range(3):
            trial.receive(CapSpending((CapSpent(CAPS["north"], 4.0),)))
        assert trial.counted == 12.0

    def test_issuer_that_starts_counts_what_is_new(self) -> None:
        """Guards against the whole past as spending of this moment."""
        trial = SpendingTrial()
        trial.state(500.0)
        trial.received, trial.counted = ReceivedTotals(), 0.0
        trial.state(5.0)
        assert trial.counted == 5.0
