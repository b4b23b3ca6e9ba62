"""Checks the records of a replay against the outcomes stated for a trace."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from enum import StrEnum
from math import inf

from wasabiwing.replay_records import BackendRecords
from wasabiwing.replay_records import Ending
from wasabiwing.replay_records import EventRecord
from wasabiwing.replay_records import ReplayedRequest
from wasabiwing.replay_records import ReplayRecords
from wasabiwing.trace_format import EventAction
from wasabiwing.trace_outcomes import LatencyMeasure
from wasabiwing.trace_outcomes import LatencyShare
from wasabiwing.trace_outcomes import Outcomes

# Largest number of findings that a verdict lists.
MAX_FINDINGS = 20


class VerdictState(StrEnum):
    """Result of the check of one outcome."""

    MET = "met"
    MISSED = "missed"
    NOT_CHECKED = "not checked"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the check of one outcome, with the stated and seen values."""

    outcome: str
    stated: str
    seen: str
    state: VerdictState
    findings: tuple[str, ...] = ()


def check_outcomes(
    outcomes: Outcomes, records: ReplayRecords
) -> tuple[Verdict, ...]:
    """Returns a verdict on the events and on each stated outcome."""
    verdicts = [_events_verdict(records.events)]
    verdicts += [
        _latency_verdict(stated, records.requests)
        for stated in outcomes.latency
    ]
    if outcomes.max_lost_or_cut is not None:
        verdicts.append(
            _lost_verdict(outcomes.max_lost_or_cut, records.requests)
        )
    if outcomes.max_failed_accepted is not None:
        verdicts.append(_failed_verdict(outcomes, records.requests))
    verdicts += _backend_verdicts(outcomes, records)
    return tuple(verdicts)


def describe_request(record: ReplayedRequest) -> str:
    """Returns a line about a request, with the ids to find it in the logs."""
    return (
        f"{record.id} {record.route} sent at {record.sent_s:.2f} s:"
        f" {record.ending.value} code {record.code} status {record.status}"
        f" request {record.request_id or '-'} {record.detail}"
    ).rstrip()


def _events_verdict(events: tuple[EventRecord, ...]) -> Verdict:
    """Returns the verdict on whether all events were performed.

    Without one of its events, a trace does not test what it states.
    """
    missing = [item for item in events if item.accepted_s is None]
    return Verdict(
        "events performed",
        str(len(events)),
        str(len(events) - len(missing)),
        VerdictState.NOT_CHECKED if missing else VerdictState.MET,
        tuple(
            f"{item.event.action.value} {item.event.target} at"
            f" {item.started_s:.2f} s: {item.detail}"
            for item in missing
        ),
    )


def _latency_verdict(
    stated: LatencyShare, requests: tuple[ReplayedRequest, ...]
) -> Verdict:
    streams_only = stated.measure is not LatencyMeasure.WHOLE
    counted = [
        item
        for item in requests
        if item.priority_class == stated.priority_class
        and (not stated.routes or item.route in stated.routes)
        and (item.streamed or not streams_only)
        and not item.crashing
    ]
    late = [
        item
        for item in counted
        if _time_s(item, stated.measure) * 1000 > stated.within_ms
    ]
    name = f"class {stated.priority_class} {stated.measure.value}"
    text = f"{stated.share:.1%} within {stated.within_ms:g} ms"
    if not counted:
        return Verdict(name, text, "no request", VerdictState.NOT_CHECKED)
    share = 1 - len(late) / len(counted)
    return Verdict(
        name,
        text,
        f"{share:.1%} of {len(counted)}",
        _state_of(share >= stated.share),
        tuple(describe_request(item) for item in late[:MAX_FINDINGS]),
    )


def _time_s(record: ReplayedRequest, measure: LatencyMeasure) -> float:
    if record.ending is not Ending.COMPLETE:
        return inf
    if measure is LatencyMeasure.WHOLE:
        return record.ended_s - record.sent_s
    if measure is LatencyMeasure.FIRST_TOKEN:
        return inf if record.first_token_s is None else record.first_token_s
    return record.between_tokens_s or 0.0


def _lost_verdict(
    limit: int, requests: tuple[ReplayedRequest, ...]
) -> Verdict:
    lost = [
        item
        for item in requests
        if item.ending in (Ending.CUT, Ending.WRONG) and not item.crashing
    ]
    verdict = _count_verdict(
        "lost or cut answers", limit, map(describe_request, lost)
    )
    deferred = sum(item.ending is Ending.DEFERRED for item in requests)
    if deferred and verdict.state is VerdictState.MET:
        # The replay does not fetch the results of deferred jobs, so a lost
        # result would go unnoticed.
        return replace(
            verdict,
            state=VerdictState.NOT_CHECKED,
            findings=(f"results of {deferred} deferred jobs not fetched",),
        )
    return verdict


def _failed_verdict(
    outcomes: Outcomes, requests: tuple[ReplayedRequest, ...]
) -> Verdict:
    failed = [
        item
        for item in requests
        if item.ending is Ending.FAILED
        and item.code not in outcomes.excused_codes
        and not item.crashing
    ]
    limit = outcomes.max_failed_accepted or 0
    return _count_verdict(
        "accepted and failed", limit, map(describe_request, failed)
    )


def _backend_verdicts(
    outcomes: Outcomes, records: ReplayRecords
) -> list[Verdict]:
    backend = records.backend
    requests = records.requests
    verdicts = []
    if outcomes.max_doubled_runs is not None:
        limit = outcomes.max_doubled_runs
        found = None if backend is None else doubled_runs(backend)
        verdicts.append(_count_verdict("doubled runs", limit, found))
    if outcomes.max_false_not_run is not None:
        limit = outcomes.max_false_not_run
        found = None if backend is None else false_not_run(requests, backend)
        verdicts.append(_count_verdict("false not_run", limit, found))
    if outcomes.max_generated_per_delivered is not None:
        cost = outcomes.max_generated_per_delivered
        verdicts.append(_token_cost_verdict(cost, requests, backend))
    if outcomes.drain_silence_s is not None:
        verdicts.append(_drain_verdict(outcomes.drain_silence_s, records))
    return verdicts


def doubled_runs(backend: BackendRecords) -> list[str]:
    """Returns a line for each run of a key beyond its first."""
    return [
        f"{key}: run {number}"
        for key, runs in backend.runs_by_key.items()
        for number in range(2, runs + 1)
    ]


def false_not_run(
    requests: tuple[ReplayedRequest, ...], backend: BackendRecords
) -> list[str]:
    """Returns lines about requests refused as ``not_run`` that have run.

    A key counts only if all requests with it were refused, because a repeat
    of a request that has run may itself be refused without a run.
    """
    by_key: dict[str, list[ReplayedRequest]] = defaultdict(list)
    found = []
    for item in requests:
        if item.key:
            by_key[f"{item.organisation}/{item.key}"].append(item)
        elif item.ending is Ending.REFUSED and item.request_id:
            if item.request_id in backend.reached_ids:
                found.append(describe_request(item))
    for key, items in by_key.items():
        refused = all(item.ending is Ending.REFUSED for item in items)
        if refused and backend.runs_by_key.get(key, 0):
            found.append(describe_request(items[0]))
    return found


def _token_cost_verdict(
    limit: float,
    requests: tuple[ReplayedRequest, ...],
    backend: BackendRecords | None,
) -> Verdict:
    name = "generated per delivered token"
    delivered = sum(item.tokens for item in requests)
    if backend is None or not delivered:
        seen = "no records" if backend is None else "no token"
        return Verdict(name, f"{limit:g}", seen, VerdictState.NOT_CHECKED)
    ratio = backend.generated_tokens / delivered
    seen = f"{ratio:.3f}"
    return Verdict(name, f"{limit:g}", seen, _state_of(ratio <= limit))


def _drain_verdict(limit_s: float, records: ReplayRecords) -> Verdict:
    name = "last new work after drain"
    text = f"{limit_s:g} s"
    drains = [
        item
        for item in records.events
        if item.event.action is EventAction.DRAIN_ZONE
        and item.accepted_s is not None
    ]
    if records.backend is None or not drains:
        seen = "no records" if records.backend is None else "no drain"
        return Verdict(name, text, seen, VerdictState.NOT_CHECKED)
    last_s = 0.0
    findings = []
    for drain in drains:
        drained_s = drain.accepted_s or 0.0
        returned_s = _returned_s(drain, records.events)
        for arrival in records.backend.arrivals:
            after_s = arrival.at_s - drained_s
            if arrival.zone_id != drain.event.target:
                continue
            if after_s < 0 or arrival.at_s >= returned_s:
                continue
            last_s = max(last_s, after_s)
            if after_s > limit_s:
                findings.append(
                    f"{arrival.server_id} at {arrival.at_s:.2f} s,"
                    f" {after_s:.2f} s after the drain"
                )
    return Verdict(
        name,
        text,
        f"{last_s:.2f} s",
        _state_of(not findings),
        tuple(findings[:MAX_FINDINGS]),
    )


def _returned_s(drain: EventRecord, events: tuple[EventRecord, ...]) -> float:
    """Returns the time at which a drained zone was next put back into use."""
    return min(
        (
            item.started_s
            for item in events
            if item.event.action is EventAction.RETURN_ZONE
            and item.event.target == drain.event.target
            and item.started_s > drain.started_s
        ),
        default=inf,
    )


def _count_verdict(
    name: str, limit: int, found: Iterable[str] | None
) -> Verdict:
    if found is None:
        return Verdict(
            name, f"{limit}", "no records", VerdictState.NOT_CHECKED
        )
    lines = tuple(found)
    return Verdict(
        name,
        f"{limit}",
        f"{len(lines)}",
        _state_of(len(lines) <= limit),
        lines[:MAX_FINDINGS],
    )


def _state_of(met: bool) -> VerdictState:
    return VerdictState.MET if met else VerdictState.MISSED
