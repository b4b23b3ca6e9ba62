"""States spending against usage caps so that each amount is counted once.

Load pattern: connections that lose messages for some seconds before they are
replaced. Besides what is new, each statement has the totals since the sender's
start. A receiver that knows earlier totals counts the difference, so that the
next statement makes up for lost ones. Totals are repeated for a while after
the last change.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec.structs import replace

from wasabiwing.messages import CapSpending
from wasabiwing.messages import CapSpent
from wasabiwing.messages import OrganisationCap

# Time after a change in which totals are repeated: longer than a silent
# connection is kept; and the interval, in seconds.
REPEATED_FOR_S = 5.0
REPEAT_EVERY_S = 2.0

# Time after the last statement for which a sender's totals are kept, in
# seconds.
TOTALS_LIFETIME_S = 60.0


@dataclass(slots=True)
class _Stated:
    """Totals of one organisation that one issuer is told, in its cap's unit.

    Times are monotonic, in seconds.
    """

    amount: float
    late_refund: float
    changed_at: float
    sent_at: float


class StatedTotals:
    """What one process states to the issuers.

    ``start`` is a number of this start of the process, not 0.
    """

    def __init__(self, start: int) -> None:
        self._start = start
        self._stated: dict[tuple[str, str], _Stated] = {}

    def statement(
        self,
        issuer_id: str,
        new: Mapping[str, tuple[float, float]],
        cap_by_organisation: Mapping[str, OrganisationCap],
        now: float,
    ) -> CapSpending | None:
        """Returns what to tell an issuer, or ``None`` if there is nothing.

        ``new`` has the amounts and late refunds since the last statement.
        """
        due = [
            name
            for (told_id, name), stated in self._stated.items()
            if told_id == issuer_id
            and name not in new
            and now - stated.sent_at >= REPEAT_EVERY_S
            and now - stated.changed_at <= REPEATED_FOR_S
        ]
        uses = []
        totals = []
        for name in (*new, *due):
            amount, late_refund = new.get(name, (0.0, 0.0))
            stated = self._stated.setdefault(
                (issuer_id, name), _Stated(0.0, 0.0, now, now)
            )
            stated.amount += amount
            stated.late_refund += late_refund
            stated.sent_at = now
            if name in new:
                stated.changed_at = now
            uses.append(
                CapSpent(cap_by_organisation[name], amount, late_refund)
            )
            totals.append((round(stated.amount), round(stated.late_refund)))
        if not uses:
            return None
        return CapSpending(tuple(uses), self._start, tuple(totals))

    def issuers_to_repeat(self, now: float) -> set[str]:
        """Returns the issuers whose totals changed a short while ago."""
        for key, stated in list(self._stated.items()):
            # Receivers forget first: lower totals would be refunds to them.
            if now - stated.changed_at > 2 * TOTALS_LIFETIME_S:
                del self._stated[key]
        return {
            issuer_id
            for (issuer_id, _), stated in self._stated.items()
            if now - stated.changed_at <= REPEATED_FOR_S
        }


@dataclass(frozen=True, slots=True)
class _Known:
    """Totals that a process has stated, and when."""

    amount: int
    late_refund: int
    heard_at: float


class ReceivedTotals:
    """Totals that other processes have stated to this one."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, int, str], _Known] = {}

    def new_uses(
        self, sender: str, spending: CapSpending, now: float
    ) -> tuple[CapSpent, ...]:
        """Returns what a statement adds to the earlier ones of its sender.

        A build without totals states what is new only.
        """
        if not spending.start:
            return spending.uses
        uses = []
        for use, (amount, late_refund) in zip(
            spending.uses, spending.totals, strict=False
        ):
            key = (sender, spending.start, use.cap.organisation)
            known = self._known.get(key)
            self._known[key] = _Known(amount, late_refund, now)
            if known is None:
                uses.append(use)
                continue
            uses.append(
                replace(
                    use,
                    amount=float(amount - known.amount),
                    late_refund=float(late_refund - known.late_refund),
                )
            )
        return tuple(uses)

    def forget(self, now: float) -> None:
        """Forgets totals of processes that state nothing any more."""
        for key, known in list(self._known.items()):
            if now - known.heard_at > TOTALS_LIFETIME_S:
                del self._known[key]
