"""Keys, facts and store records of the phase of a rollout.

A phase is shared as a gossiped fact and stored as a record. The key names the
pool, the new version and the start of the rollout, so a verdict holds for this
rollout until the configuration states another one. The fact's epoch is the
phase, which only ever grows.
"""

from msgspec.json import decode
from msgspec.json import encode
from result import Err
from result import Ok
from result import Result

from wasabiwing.configuration import Pool
from wasabiwing.configuration import Rollout
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.facts import Facts
from wasabiwing.rollout_schedule import Phase

ROLLOUT_FACT_KIND = "rollout"

VERDICT_PREFIX = "/wasabiwing/verdicts/"


def rollout_key(pool_id: str, rollout: Rollout) -> str:
    """Returns the key of a pool's rollout in facts and in the store."""
    return f"{pool_id}/{rollout.to_version}/{rollout.start_s:.3f}"


def rollout_phase(facts: Facts, pool: Pool) -> tuple[Phase, str]:
    """Returns the phase of a pool's rollout and the reason for the phase."""
    if pool.rollout is None:
        return Phase.PASSED, ""
    fact = facts.get(ROLLOUT_FACT_KIND, rollout_key(pool.id, pool.rollout))
    if fact is None:
        return Phase.PROBATION, ""
    return Phase(fact.epoch), fact.value


def encode_verdict_record(key: str, phase: Phase, reason: str) -> bytes:
    """Encodes a verdict on a rollout as a record of the store."""
    return encode({"rollout": key, "phase": int(phase), "reason": reason})


def decode_verdict_record(value: bytes) -> Result[tuple[str, Phase, str], str]:
    """Decodes a verdict record; the error says what is wrong with it."""
    try:
        document = decode(value, type=dict[str, str | int])
        return Ok(
            (
                str(document["rollout"]),
                Phase(int(document["phase"])),
                str(document["reason"]),
            )
        )
    except (*UNDECODABLE, KeyError) as error:
        return Err(str(error))
