"""Facts about quarantines of requests and of parts of prompts."""

from wasabiwing.facts import FactRule
from wasabiwing.facts import Facts

QUARANTINE_FACT_KIND = "quarantine"

QUARANTINE_LIFETIME_S = 3600.0

QUARANTINE_RULE = FactRule(QUARANTINE_LIFETIME_S)


def is_quarantined(facts: Facts, key: str) -> bool:
    """Whether a digest or a part is in quarantine: its epoch is odd."""
    fact = facts.get(QUARANTINE_FACT_KIND, key)
    return fact is not None and fact.epoch % 2 == 1


def publish_quarantine(
    facts: Facts, key: str, begins: bool, value: str
) -> bool:
    """Publishes the begin, renewal or end of a quarantine.

    Returns whether the fact was new to this process.
    """
    known = facts.get(QUARANTINE_FACT_KIND, key)
    epoch = known.epoch + 1 if known else 1
    if epoch % 2 != int(begins):
        epoch += 1
    return facts.publish(QUARANTINE_FACT_KIND, key, value, epoch)
